//! The mail front: SMTP (RFC 5321) and LMTP (RFC 2033), in and out.
//!
//! One flow per recipient, of a class that must never take effect twice. A client's 250 means that the
//! journal holds its flows; each then ends by delivery or by one delivery status notification.

pub mod address;
pub mod client;
pub mod codec;
pub mod dsn;
pub mod server;

use crate::api::DestinationId;
use std::net::SocketAddr;
use std::time::Duration;

/// Mail destinations have numbers of their own, above all that the platform gives: a flow of one front can
/// never go to a real server of the other.
const MAIL_SPACE: u64 = 1 << 62;

/// The number of a mail destination, as the operator wrote it.
pub fn destination(written: u64) -> DestinationId {
    DestinationId(MAIL_SPACE | written)
}

/// The number as the operator wrote it, of a mail destination or another.
pub fn written(destination: DestinationId) -> u64 {
    destination.0 & !MAIL_SPACE
}

/// Which of the two protocols.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Dialect {
    /// One final reply for all recipients.
    Smtp,
    /// A final reply for each recipient.
    Lmtp,
}

/// What the front is set up with.
#[derive(Debug, Clone)]
pub struct MailSettings {
    /// Where SMTP clients connect.
    pub smtp: Option<SocketAddr>,
    /// Where LMTP clients connect.
    pub lmtp: Option<SocketAddr>,
    /// The name that the relay goes by.
    pub hostname: String,
    /// The class of every mail flow, by name, and how long one may be delivered.
    pub class: String,
    /// Time until a flow is given up.
    pub deadline: Duration,
    /// Recipients' domains, in lower case, and the destinations that they belong to.
    pub routes: Vec<(String, DestinationId)>,
    /// Where delivery status notifications go.
    pub bounce: Option<DestinationId>,
    /// Bytes of a message, at most.
    pub max_size: usize,
    /// Recipients of a message, at most.
    pub max_recipients: usize,
    /// Open client connections, at most.
    pub max_clients: usize,
    /// Recipients that may share a transaction.
    pub per_call: usize,
    /// Waits, on both sides.
    pub times: Times,
}

/// How long each side is waited for.
#[derive(Debug, Clone, Copy)]
pub struct Times {
    /// For a client's next command.
    pub client: Duration,
    /// For more of a client's message.
    pub client_data: Duration,
    /// For a real server's greeting, and its replies up to the one to DATA.
    pub command: Duration,
    /// For each part of a message to be taken by a real server.
    pub block: Duration,
    /// For the reply to a whole message.
    pub done: Duration,
    /// For which an idle connection to a real server is kept.
    pub keep: Duration,
}

impl MailSettings {
    /// The destination of a recipient, if there is one.
    pub fn route(&self, recipient: &str) -> Option<DestinationId> {
        let domain = recipient.rsplit_once('@')?.1.to_ascii_lowercase();
        self.routes.iter().find(|(d, _)| *d == domain).map(|(_, to)| *to)
    }
}
