//! Everything that touches a socket, a file or a clock.

pub mod admin;
pub mod clock;
pub mod config;
pub mod control;
pub mod directory;
pub mod discovery;
pub mod edge;
pub mod figures;
pub mod http;
pub mod inbox;
pub mod journal;
pub mod listed;
pub mod mail;
pub mod notices;
pub mod operator;
pub mod owner;
pub mod parcel;
pub mod phase;
pub mod pool;
pub mod relay;
pub mod routing;
pub mod trace;
pub mod undelivered;
pub mod unix;
pub mod upgrade;
pub mod upstream;
