//! Inputs and effects of a controller.

use std::net::Ipv4Addr;
use std::rc::Rc;

use crate::control::{Durable, ElectorId, Message, Operation, Outcome, Write};
use crate::tolerance::Location;

/// An input of a controller.
#[derive(Debug, Clone)]
pub enum Input {
    /// A message from another controller.
    Message {
        /// Address of the sender.
        from: Ipv4Addr,
        /// The message.
        message: Message,
    },
    /// An operation submitted to this controller.
    Operation {
        /// Number that the reply will carry.
        number: u64,
        /// The operation.
        operation: Operation,
    },
    /// Core machines that membership considers alive, without this one, with their zone and region.
    Live(Vec<(ElectorId, Location)>),
    /// Names of storage machines that membership considers dead or does not know.
    DeadStorage(Vec<String>),
    /// Periodic timer.
    Tick,
}

/// An effect to be executed by the owner of the controller.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Write and sync this record before any later effect.
    Persist(Rc<Durable>),
    /// Append and sync a write to the newest state of this view before any later effect.
    Append {
        /// Number of the view.
        view: u64,
        /// The write.
        write: Rc<Write>,
    },
    /// Send a message.
    Send {
        /// Address of the receiver.
        to: Ipv4Addr,
        /// The message.
        message: Message,
    },
    /// An operation submitted to this controller has ended.
    Reply {
        /// Number given with the operation.
        number: u64,
        /// The outcome.
        outcome: Outcome,
    },
}
