//! Status request of an operator to one machine.

use std::io::{self, Write};
use std::net::SocketAddrV4;
use std::time::Duration;

use super::error::RoleError;
use super::rpc::Client;
use crate::wire::{Request, Response};

/// Response timeout.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Requests the status of a controller or a storage machine and prints its lines.
pub async fn run(address: SocketAddrV4) -> Result<(), RoleError> {
    match Client::default().call(address, &Request::Status, TIMEOUT).await {
        Ok(Response::Status(lines)) => {
            // Unlike `println!`, this does not panic if nobody reads the lines.
            let mut text = lines.join("\n");
            text.push('\n');
            io::stdout().write_all(text.as_bytes()).map_err(|error| RoleError::Io("standard output", error))
        }
        Ok(_) => Err(RoleError::Io("status", io::Error::other("unexpected response"))),
        Err(error) => Err(RoleError::Io("status", io::Error::other(error.to_string()))),
    }
}
