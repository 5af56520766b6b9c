//! Load reported by an endpoint with its answers. Performs no I/O.

/// Load reported by an endpoint (`Server-Load`).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
}

impl Load {
    /// Parses comma-separated running requests, waiting requests and slots.
    pub fn parse(header: &str) -> Option<Load> {
        let mut numbers = header.split(',').map(|number| number.trim().parse().ok());
        Some(Load { running: numbers.next()??, waiting: numbers.next()?? })
    }
}
