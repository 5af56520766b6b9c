//! What a front takes in and hands on; the core never looks inside.

use std::rc::Rc;

/// The sender and the one recipient of a mail flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Envelope {
    /// The reverse-path; empty for the null one.
    pub from: String,
    /// The recipient.
    pub to: String,
}

/// How a flow was routed: it goes by this to its end, whatever table is in force meanwhile.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Routed {
    /// The target that the real server is asked for.
    pub path: String,
    /// What its group's method goes by: the client's address, a key, or nothing.
    pub key: Vec<u8>,
}

/// What is delivered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Parcel {
    /// The flow's id on the wire.
    pub id: String,
    /// The idempotency key, in keyed classes.
    pub key: Option<String>,
    /// For mail flows.
    pub mail: Option<Envelope>,
    /// For HTTP flows that a routing table has taken in.
    pub routed: Option<Routed>,
    /// The body, passed on unchanged.
    pub body: Rc<[u8]>,
}
