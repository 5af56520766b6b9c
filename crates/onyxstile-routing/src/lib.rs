//! Routing as nginx words it: virtual hosts, locations, upstream groups with their balancing methods, and limits.
//!
//! Nothing here reads a socket, a file or a clock, and nothing here decides whether a message is sent: a
//! [`Table`] says what a request asks for, [`Limits`] whether it is within what is allowed, and a [`Groups`]
//! proposes real servers in the order of a balancing method. The decision module disposes: it is asked about
//! each proposal in turn, and the first that it would allow is taken.
//!
//! * [`config`]: the table as it is written in an operator's file
//! * [`path`]: targets and their normal form
//! * [`table`]: from host and path to a location, and what holds there
//! * [`group`]: balancing methods
//! * [`limit`]: rates and numbers of requests, by key
//! * [`vars`]: variables, and the keys made of them

pub mod config;
pub mod group;
pub mod limit;
pub mod location;
pub mod path;
pub mod table;
pub mod vars;

pub use config::RoutingConfig;
pub use group::{Groups, Proposal};
pub use limit::Limits;
pub use table::{BuildError, Passed, Request, Resolution, Table};
