//! Why a message is beyond a quota, as far as this relay can tell, and when to come again.

use std::fmt;
use std::time::Duration;

/// Which rule said so.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Why {
    /// What this relay holds is spent.
    Spent,
    /// It holds nothing of this quota now.
    NoRights,
    /// Its own rights rest: it has begun lately, and may have lent them before.
    Resting,
    /// A span ends or begins, and clocks differ.
    Edge,
    /// Nothing is allowed, or fewer at once than were handed in.
    Never,
}

impl fmt::Display for Why {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Why::Spent => "spent",
            Why::NoRights => "no rights here",
            Why::Resting => "rights rest after a start",
            Why::Edge => "a span's edge",
            Why::Never => "never",
        })
    }
}

/// A message is beyond a quota.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal {
    /// Whose.
    pub customer: String,
    /// Of which class, if the quota is for one.
    pub class: Option<String>,
    /// The rule.
    pub why: Why,
    /// When it can come again.
    pub wait: Duration,
    /// Whether more is taken at the least rank.
    pub spare: bool,
    /// This relay's own units, what it has lent of them, what it has borrowed, and what can be spent here.
    pub own: u32,
    /// Lent.
    pub lent: u32,
    /// Borrowed.
    pub borrowed: u32,
    /// Spent here since the start of the process.
    pub taken: u64,
    /// Messages a second that are handed in here.
    pub demand: f64,
    /// How old the picture of the others is: since when none of them was heard on this quota; none if never.
    pub heard: Option<Duration>,
}
