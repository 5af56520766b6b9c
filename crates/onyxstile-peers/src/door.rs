//! What goes in and out at the door of [`Peers`](crate::Peers).

use crate::exchange::{Heard, Number};
use crate::facts::Fact;
use crate::life::{Life, NodeNo};
use crate::note::{About, Fate};
use crate::roster::Turn;

/// What there is to know at the start.
#[derive(Debug, Clone, Copy)]
pub struct Terms {
    /// The digest of the fleet's name.
    pub fleet: u32,
    /// This relay's number.
    pub node: NodeNo,
    /// Its life.
    pub life: Life,
    /// How many relays there are, this one included.
    pub relays: u16,
    /// For chance.
    pub seed: u64,
}

/// What this relay knows and others may ask for. Asked for at the moment of a question.
pub trait Own {
    /// Of itself; its life is filled in.
    fn about(&self) -> About;
    /// Of partners.
    fn facts(&self) -> Vec<Fact>;
    /// Of flows, by digest.
    fn fate(&self, digest: u64) -> Option<Fate>;
    /// For how many seconds back it knows them all.
    fn whole_s(&self) -> u32;
}

/// What is to be done, or has become known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send this datagram.
    Send(NodeNo, Vec<u8>),
    /// A question ended.
    Heard(NodeNo, Number, Heard),
    /// A relay came, went or came back.
    Turn(NodeNo, Turn),
    /// A peer knows of a later life of this relay: what this process holds is an old copy.
    Overtaken(Life),
}

/// What came and went, for whoever reports it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Datagrams that came.
    pub came: u64,
    /// Of these, such as could not be read, were not for the fleet, or were too many.
    pub dropped: u64,
}
