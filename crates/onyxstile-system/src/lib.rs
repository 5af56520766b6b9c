//! The serving tier for agent programs: proxies on edge machines with an agent beside each, controllers on core
//! machines, storage machines. docs/design/system.md says who keeps what and who speaks to whom.
//!
//! What decides is pure: `now`, a seed and events in, effects out. Sockets, files and the clock are in [`role`].

pub mod admission;
pub mod balance;
pub mod clock;
pub mod configuration;
pub mod connection_watchdog;
pub mod control;
pub mod controller;
pub mod disk;
pub mod evidence;
pub mod feed_state;
pub mod json;
pub mod load;
pub mod logging;
pub mod metrics;
pub mod prefix;
pub mod program;
pub mod registry;
pub mod relays;
pub mod retry;
pub mod role;
pub mod settings;
pub mod slots;
pub mod sse;
pub mod storage_plan;
pub mod stream_timing;
pub mod swim;
pub mod tally;
pub mod tolerance;
pub mod unit_hash;
pub mod wire;
