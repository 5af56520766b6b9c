//! The laboratory: stand-in partners, a stand-in reverse proxy, a load driver, and what is measured with them.
//! Everything stays on loopback.
//!
//! * [`http`] - as much of HTTP/1.1 as stand-ins need, apart from the relay's own
//! * [`partner`] - real servers by a script, which write down what they saw
//! * [`proxy`] - a reverse proxy that chooses as nginx's documentation says, with a look at every server
//! * [`relay`] - a relay as a process of its own
//! * [`load`] - clients that come at their times, whether they are answered or not
//! * [`compare`] - the same traffic through proxy and relay
//! * [`cost`] - what recording costs
//! * [`replay`](mod@replay) - a recorded day again, through a relay by another configuration
//! * [`outage`] - a partner shut under load, and what is kept and sent again
//! * [`comeback`] - a fleet's return after a loss of power, in virtual time
//! * [`goodput`] - programs in their aim over load, with the tier's own decisions, in virtual time
//! * [`tier`] - a small serving tier as processes, and a conversation through it
//! * [`chart`] - pictures of what was measured

pub mod chart;
pub mod comeback;
pub mod compare;
pub mod cost;
pub mod demo;
pub mod goodput;
pub mod http;
pub mod load;
pub mod outage;
pub mod partner;
pub mod proxy;
pub mod relay;
pub mod replay;
pub mod tier;

/// How an experiment ends that could not be done.
pub type Failed = Box<dyn std::error::Error>;
