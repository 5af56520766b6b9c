//! What operators order of the owner, and what they are answered. No socket.

use super::undelivered::shelf::Filter;
use serde::{Deserialize, Serialize};

/// What only the owner can do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdminOrder {
    /// Nothing more to this real server.
    Exclude(String),
    /// Put it back.
    Include(String),
    /// Send clients away.
    Evacuate,
    /// Back to work.
    Activate,
}

/// What an operator orders.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Order {
    /// Kept messages.
    List {
        /// Which.
        #[serde(default)]
        filter: Filter,
        /// Those after this key.
        after: Option<u64>,
        /// With their bodies.
        #[serde(default)]
        bodies: bool,
    },
    /// Changes some.
    Change {
        /// Which.
        #[serde(default)]
        filter: Filter,
        /// Those after this key.
        after: Option<u64>,
        /// How.
        what: What,
        /// Who orders it.
        by: String,
    },
    /// What was done and how full it is.
    Stats,
}

/// What is done with kept messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    /// They go again, if they never ran or a repeat is dropped.
    Resend,
    /// They go again, though they may have run.
    ResendMayHaveRun,
    /// They are set aside.
    Hold,
    /// They go.
    Discard,
}

/// What an order is answered by.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Answer {
    /// What is wrong with it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
    /// What there is.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub items: Vec<serde_json::Value>,
    /// Messages that were changed.
    #[serde(default)]
    pub done: u64,
    /// Messages that were left as they are.
    #[serde(default)]
    pub left: u64,
    /// Where to go on, if that was not all.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub next: Option<u64>,
}

impl Answer {
    /// An order that is not followed.
    pub fn error(what: impl Into<String>) -> Answer {
        Answer { error: Some(what.into()), ..Answer::default() }
    }
}
