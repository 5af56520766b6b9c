//! The command line argument for the metrics address.

use std::str::FromStr;

use quick_error::quick_error;

quick_error! {
    /// Why a text is not a metrics address.
    #[derive(Debug, PartialEq, Eq)]
    pub enum MetricsAddressError {
        /// It contains no slash.
        NoPath {
            display("expected PORT/PATH")
        }
        /// The part before the slash is not a port.
        Port(text: String) {
            display("{:?} is not a port", text)
        }
    }
}

/// Where a role serves its metrics: a port of the machine's address, and a path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MetricsAddress {
    /// The port.
    pub port: u16,
    /// The path, including the leading slash.
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
