//! Everything that touches a socket, a file or a clock.

pub mod clock;
pub mod config;
pub mod discovery;
pub mod edge;
pub mod http;
pub mod journal;
pub mod mail;
pub mod notices;
pub mod operator;
pub mod owner;
pub mod parcel;
pub mod phase;
pub mod pool;
pub mod relay;
pub mod upstream;
