//! What machines of the membership send each other.

use std::net::Ipv4Addr;

use borsh::{BorshDeserialize, BorshSerialize};

use super::table::Member;

/// What one datagram asks or answers.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Kind {
    /// Asks for an [`Kind::Ack`] with the same number.
    Ping(u64),
    /// Answers a ping; `on_behalf_of` is the machine that was probed.
    Ack {
        /// The ping's number.
        number: u64,
        /// The machine that answered.
        on_behalf_of: [u8; 4],
    },
    /// Asks the receiver to ping `target` and to pass its ack on.
    PingRequest {
        /// The number that the ack is to carry.
        number: u64,
        /// The machine to ping.
        target: [u8; 4],
    },
    /// Asks for the whole table, in as many datagrams as it takes.
    Join,
    /// Part of the table, for one that joins.
    Records,
}

/// One datagram.
#[derive(Debug, Clone, BorshSerialize, BorshDeserialize)]
pub struct Datagram {
    /// Who sends it.
    pub from: Member,
    /// What it is for.
    pub kind: Kind,
    /// Records that spread on it.
    pub records: Vec<Member>,
}

/// A datagram to be sent.
#[derive(Debug, Clone)]
pub struct Outgoing {
    /// The machine that it goes to.
    pub to: Ipv4Addr,
    /// What it carries.
    pub datagram: Datagram,
}
