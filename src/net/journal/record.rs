//! What the journal's records say: flows taken, calls, ends, what is owed.

use crate::api::Past;
use crate::core::{End, FlowNo, ServerNo};
use crate::net::parcel::Parcel;
use onyxstile_peers::{Fate, Life};
use onyxstile_recovery::Durability;
use std::rc::Rc;
use std::time::Duration;

/// Longer than any key's window.
const LONG_AGO: Duration = Duration::from_secs(30 * 86_400);

/// A flow as it was taken, in terms that outlive the settings' numbering.
#[derive(Debug, Clone, PartialEq)]
pub struct TakenFlow {
    /// When it is given up, Unix time.
    pub deadline: Duration,
    /// Its class, by name.
    pub class: String,
    /// Its tenant, by name.
    pub tenant: Option<String>,
    /// Its destination.
    pub destination: u64,
    /// What is delivered.
    pub parcel: Rc<Parcel>,
    /// For a resend: the flow that had failed, by whose number it is kept. Nobody is owed word of a resend's end.
    pub resend_of: Option<FlowNo>,
}

/// A send: when, Unix time, and to which real server, by its lasting name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SentTo {
    /// When.
    pub at: Duration,
    /// Where to.
    pub server: String,
}

/// What the platform still has to be told of a flow's end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Owed {
    /// The flow's id on the wire.
    pub id: String,
    /// None: failed. Else it was handed back, and may come again after this time.
    pub returned_after: Option<Duration>,
}

/// A process began in this folder. Written, and synced, before anything else is said or done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Started {
    /// Which life of the relay it is.
    pub life: Life,
    /// Which relay of the fleet the folder is, by its place among them; none where there is no fleet.
    pub node: Option<u16>,
    /// Which start of the machine, as the machine words it.
    pub boot: String,
    /// What its writes outlast.
    pub durability: Durability,
    /// When, Unix time.
    pub at: Duration,
}

/// One record.
#[derive(Debug, Clone, PartialEq)]
pub enum Record {
    /// A flow was taken.
    Taken(FlowNo, TakenFlow),
    /// A call is about to go out.
    Sent(FlowNo, SentTo),
    /// The call that was out has ended; true: it is proved that it never ran.
    CallEnded(FlowNo, bool),
    /// The flow is over, and this is still owed.
    Ended(FlowNo, Option<Owed>),
    /// A mail flow is over, and the notification of that is taken as a flow of its own: both or neither.
    Bounced(FlowNo, FlowNo, TakenFlow),
    /// What was owed has been heard.
    Noticed(FlowNo),
    /// Operators have banned a real server, by its lasting name, or (false) ended that.
    Banned(String, bool),
    /// An endpoint, by its lasting name, is down or cold, or (false) well: what a later process has to know of it.
    Ill(String, bool),
    /// The limit that an endpoint, by its lasting name, last told, calls a second; 0: it tells none any more.
    Limit(String, f64),
    /// In a rewritten file: what the records of an open flow added up to.
    Progress(FlowNo, Progress),
    /// In a rewritten file: the next flow's number.
    Next(FlowNo),
    /// A process began.
    Started(Started),
    /// What follows was written at this time, Unix time, or later.
    Moment(Duration),
    /// The process ended in order at this time: nothing is missing before this.
    Closed(Duration),
    /// A real server, by its lasting name, told to send nothing until this time.
    Wait(String, Duration),
    /// In a rewritten file: a flow, by the digest of its id, that is over, how, and since when.
    Over(u64, Fate, Duration),
    /// In a rewritten file: flows that were over before this may be missing among [`Record::Over`].
    OverFrom(Duration),
}

/// What was done for an open flow.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Progress {
    /// Attempts that went out.
    pub attempts: u32,
    /// The call that is out.
    pub out: Option<SentTo>,
    /// The first call that may have run.
    pub risk: Option<SentTo>,
}

impl Owed {
    /// What is owed for a flow that ended so; nothing for one that was delivered.
    pub fn of(id: &str, end: End) -> Option<Owed> {
        let returned_after = match end {
            End::Delivered | End::Over => return None,
            End::Failed => None,
            End::Returned(wait) => Some(wait),
        };
        Some(Owed { id: id.to_string(), returned_after })
    }
}

impl Progress {
    /// What the next process makes of it at its start. A call that was out may have run.
    pub fn past(self, now: Duration, number: impl FnOnce(&str) -> ServerNo) -> Past {
        // Guards keyed flows against a clock that was set back: nobody can tell how old such a send is.
        let age = |at| now.checked_sub(at).unwrap_or(LONG_AGO);
        let risk = self.risk.or(self.out).map(|r| (age(r.at), number(&r.server)));
        Past { held: true, attempts: self.attempts, risk }
    }
}
