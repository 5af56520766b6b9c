//! A fleet comes back after a loss of power, in virtual time: the relay's own module, peers and recovery, with partners
//! that are cold and clients that come again. How long until service is back, and what the coldest partner gets.

pub mod report;
mod sim;

use std::time::Duration;

/// How a fleet comes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// As the program does, with the others asked.
    Peers,
    /// As the program does alone.
    Alone,
    /// The same, by relays whose folders are gone, and with them the limits that partners told.
    Forgets,
    /// Everything is admitted at once, to partners that are believed well: the baseline.
    AtOnce,
}

impl Way {
    /// All of them.
    pub const ALL: [Way; 4] = [Way::Peers, Way::Alone, Way::Forgets, Way::AtOnce];

    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Way::Peers => "with peers",
            Way::Alone => "without",
            Way::Forgets => "without, limits forgotten",
            Way::AtOnce => "all at once",
        }
    }
}

/// What is played.
#[derive(Debug, Clone, Copy)]
pub struct Scene {
    /// Relays.
    pub relays: usize,
    /// In a hundred, those that kept their power.
    pub kept: usize,
    /// How they come back.
    pub way: Way,
    /// For all that is chance.
    pub seed: u64,
}

/// What came of it.
#[derive(Debug, Clone, Default)]
pub struct Came {
    /// Until half, nine tenths and 99 in a hundred of what is handed in are delivered again in the second behind.
    pub back: [Option<Duration>; 3],
    /// Datagrams and their bytes, of each relay that came back, in a minute.
    pub notes: f64,
    /// See `notes`.
    pub note_bytes: f64,
    /// The most that a cold partner got in the rule's span, as a share of its budget.
    pub coldest: f64,
    /// Partners that fell.
    pub fallen: usize,
    /// Delivered in each second, as a share of what was handed in for the first time.
    pub curve: Vec<f64>,
}

/// Plays a scene.
pub fn play(scene: Scene) -> Came {
    sim::Sim::new(scene).run()
}

#[cfg(test)]
mod tests;
