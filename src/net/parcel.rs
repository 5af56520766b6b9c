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

/// What is delivered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Parcel {
    /// The flow's id on the wire.
    pub id: String,
    /// The idempotency key, in keyed classes.
    pub key: Option<String>,
    /// For mail flows.
    pub mail: Option<Envelope>,
    /// The body, passed on unchanged.
    pub body: Rc<[u8]>,
}
