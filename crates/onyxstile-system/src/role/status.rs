//! Status request of an operator to one machine.

use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;

use super::controller::RoleError;
use super::rpc::Client;
use crate::wire::{Request, Response};

/// Response timeout.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Requests the status of a controller or a storage machine and prints its lines.
pub async fn run(address: SocketAddrV4) -> Result<(), RoleError> {
    match Client::default().call(address, &Request::Status, TIMEOUT).await {
        Ok(Response::Status(lines)) => {
            lines.iter().for_each(|line| println!("{line}"));
            Ok(())
        }
        Ok(_) => Err(RoleError::Io("status", io::Error::other("unexpected response"))),
        Err(error) => Err(RoleError::Io("status", io::Error::other(error.to_string()))),
    }
}
