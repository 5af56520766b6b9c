//! Relays of a fleet know of each other through this: who is up and since when, and what one of them answers when it is
//! asked. Pure: no socket and no clock; chance comes from a seed.
//!
//! [`Peers`] takes datagrams, the clock and questions in and gives datagrams and news out. Datagrams may be lost, late,
//! doubled and out of order, and hold at most [`DATAGRAM_MAX`] bytes. Membership is SWIM's (crate `foca`); what it lacks
//! is here: lives that outlast a process ([`life`]), questions with an end ([`exchange`]), and bounds on what a silent
//! peer is owed. docs/design/power.md says which ways were weighed.

pub mod book;
mod door;
pub mod exchange;
pub mod facts;
pub mod life;
mod members;
pub mod note;
mod peers;
pub mod roster;

pub use door::{Counts, Effect, Own, Terms};
pub use exchange::{Heard, Number};
pub use facts::{Fact, Weighed};
pub use life::{Life, NodeNo};
pub use note::{About, Answer, DATAGRAM_MAX, Fate, Question};
pub use peers::Peers;
pub use roster::Seen;
