//! What a controller takes in and wants done.

use std::net::Ipv4Addr;
use std::rc::Rc;

use crate::control::{Durable, ElectorId, Message, Operation, Outcome, Write};
use crate::tolerance::Location;

/// What a controller takes in.
#[derive(Debug, Clone)]
pub enum Input {
    /// A message of another controller.
    Message {
        /// The machine that sent it.
        from: Ipv4Addr,
        /// What it says.
        message: Message,
    },
    /// An operation that was handed in here.
    Operation {
        /// A number that the outcome will carry.
        number: u64,
        /// What is asked.
        operation: Operation,
    },
    /// Core machines that membership holds alive, this one left out, and where each stands.
    Live(Vec<(ElectorId, Location)>),
    /// Names of storage machines that membership holds dead or does not know.
    DeadStorage(Vec<String>),
    /// Time has passed.
    Tick,
}

/// What a controller wants done.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Write and sync this before any later effect.
    Persist(Rc<Durable>),
    /// Write and sync a write that was made to the newest state in this view before any later effect.
    Append {
        /// The view.
        view: u64,
        /// The write.
        write: Rc<Write>,
    },
    /// Send a message.
    Send {
        /// The machine that it goes to.
        to: Ipv4Addr,
        /// What it says.
        message: Message,
    },
    /// An operation that was handed in here has ended.
    Reply {
        /// The number that it was handed in with.
        number: u64,
        /// How it ended.
        outcome: Outcome,
    },
}
