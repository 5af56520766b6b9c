//! Runtime of the roles: sockets, files and clocks around the pure state machines, which make all decisions.

pub mod agent;
pub mod controller;
pub mod data_folder;
pub mod error;
pub mod essential_tasks;
pub mod guarded_body;
pub mod host;
pub mod http;
pub mod identity;
pub mod lingering_close;
pub mod listener;
pub mod membership;
pub mod metered_socket;
pub mod metrics;
pub mod process_end;
pub mod proxy;
pub mod rpc;
pub mod settings_wait;
pub mod shortest_grace;
pub mod shutdown;
pub mod signals;
pub mod socket;
pub mod status;
pub mod storage;
pub mod subscription;
pub mod watched_stream;

pub use error::{RoleError, StartError};
