//! The serving tier for agent programs: proxies on edge machines, each with an agent on the same machine, controllers on
//! core machines, and storage machines. docs/design/system.md describes which data each role keeps and which roles
//! communicate.
//!
//! The decision logic is pure: it takes the current time, a seed and events, and returns effects. Sockets, files and the
//! clock are in [`role`].

pub mod admission;
pub mod answer_memory;
pub mod balance;
pub mod byte_budget;
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
pub mod process;
pub mod program;
pub mod read_pace;
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
