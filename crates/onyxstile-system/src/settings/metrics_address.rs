//! Where a role tells its figures, as the command line names it.

use std::str::FromStr;

use quick_error::quick_error;

quick_error! {
    /// Why a text names no place for figures.
    #[derive(Debug, PartialEq, Eq)]
    pub enum MetricsAddressError {
        /// It has no slash.
        NoPath {
            display("it is not PORT/PATH")
        }
        /// What stands before the slash is no port.
        Port(text: String) {
            display("{:?} is no port", text)
        }
    }
}

/// Where a role tells its figures: a port of the machine's address, and a path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MetricsAddress {
    /// The port.
    pub port: u16,
    /// The path, with the slash that it begins with.
    pub path: String,
}

impl FromStr for MetricsAddress {
    type Err = MetricsAddressError;

    fn from_str(text: &str) -> Result<MetricsAddress, MetricsAddressError> {
        let slash = text.find('/').ok_or(MetricsAddressError::NoPath)?;
        let (port, path) = text.split_at(slash);
        match port.parse() {
            Ok(port) if port > 0 => Ok(MetricsAddress { port, path: path.to_owned() }),
            _ => Err(MetricsAddressError::Port(port.to_owned())),
        }
    }
}
