//! Datagrams of the membership protocol.

use std::net::Ipv4Addr;

use borsh::{BorshDeserialize, BorshSerialize};

use super::table::Member;

/// The request or answer in a datagram.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Kind {
    /// Requests an [`Kind::Ack`] with the same number.
    Ping(u64),
    /// Answers a ping; `on_behalf_of` is the machine that was probed.
    Ack {
        /// Number of the ping.
        number: u64,
        /// The machine that answered.
        on_behalf_of: [u8; 4],
    },
    /// Asks the receiver to ping `target` and to forward its ack.
    PingRequest {
        /// Number that the ack must carry.
        number: u64,
        /// The machine to ping.
        target: [u8; 4],
    },
    /// Requests the full member table, in as many datagrams as needed.
    Join,
    /// Part of the member table, sent to a joining machine.
    Records,
}

/// A datagram of the membership protocol.
#[derive(Debug, Clone, BorshSerialize, BorshDeserialize)]
pub struct Datagram {
    /// Record of the sender.
    pub from: Member,
    /// The request or answer.
    pub kind: Kind,
    /// Piggybacked member records.
    pub records: Vec<Member>,
}

/// A datagram to send.
#[derive(Debug, Clone)]
pub struct Outgoing {
    /// Address of the receiver.
    pub to: Ipv4Addr,
    /// The datagram.
    pub datagram: Datagram,
}
