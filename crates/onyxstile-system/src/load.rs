//! What an endpoint tells of its load with its answers. Pure.

/// What an endpoint tells of its load (`Server-Load`).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

impl Load {
    /// Reads running, waiting and slots, joined by commas.
    pub fn parse(header: &str) -> Option<Load> {
        let mut numbers = header.split(',').map(|number| number.trim().parse().ok());
        Some(Load { running: numbers.next()??, waiting: numbers.next()?? })
    }
}
