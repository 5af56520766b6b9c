//! Whose an event is, and its name.

use crate::events::event::What;
use crate::events::{Event, Flow};

/// Whose an event is: empty names where it is nobody's.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct About<'a> {
    /// The flow's number.
    pub flow: Option<u64>,
    /// The flow's class.
    pub class: &'a str,
    /// The flow's customer.
    pub customer: &'a str,
    /// The destination, also of what concerns a real server.
    pub destination: &'a str,
    /// The real server.
    pub server: &'a str,
}

fn of_flow<'a>(flow: &'a Option<Flow>, server: &'a str) -> About<'a> {
    flow.as_ref().map_or(About { server, ..About::default() }, |f| About {
        flow: Some(f.number),
        class: &f.class,
        customer: &f.customer,
        destination: &f.destination,
        server,
    })
}

/// Whose an event is.
pub fn about(event: &Event) -> About<'_> {
    about_what(event.what.as_ref())
}

/// As [`about`], of what happened alone.
pub fn about_what(what: Option<&What>) -> About<'_> {
    let of_server = |destination, server| About { destination, server, flow: None, class: "", customer: "" };
    match what {
        Some(What::Offered(e)) => of_flow(&e.flow, ""),
        Some(What::Taken(e)) => of_flow(&e.flow, ""),
        Some(What::TurnedDown(e)) => of_flow(&e.flow, ""),
        Some(What::Recovered(e)) => of_flow(&e.flow, ""),
        Some(What::Sent(e)) => of_flow(&e.flow, &e.server),
        Some(What::AttemptEnded(e)) => of_flow(&e.flow, &e.server),
        Some(What::AttemptStopped(e)) => of_flow(&e.flow, ""),
        Some(What::TimerFired(e)) => of_flow(&e.flow, ""),
        Some(What::Ended(e)) => of_flow(&e.flow, ""),
        Some(What::NoticeOwed(e)) => of_flow(&e.flow, ""),
        Some(What::NoticeHeard(e)) => About { flow: Some(e.number), ..About::default() },
        Some(What::WaitTold(e)) => of_server(&e.destination, &e.server),
        Some(What::WaitEnded(e)) => of_server(&e.destination, &e.server),
        Some(What::Health(e)) => of_server(&e.destination, &e.server),
        Some(What::Probed(e)) => of_server(&e.destination, &e.server),
        Some(What::ListChanged(e)) => of_server(&e.destination, &e.server),
        Some(What::ConfigurationChanged(_) | What::Phase(_) | What::Dropped(_)) | None => About::default(),
    }
}

/// Where an event that names its flow in whole keeps it.
pub fn flow_mut(what: &mut What) -> Option<&mut Option<Flow>> {
    match what {
        What::Offered(e) => Some(&mut e.flow),
        What::Taken(e) => Some(&mut e.flow),
        What::TurnedDown(e) => Some(&mut e.flow),
        What::Recovered(e) => Some(&mut e.flow),
        What::Sent(e) => Some(&mut e.flow),
        What::AttemptEnded(e) => Some(&mut e.flow),
        What::AttemptStopped(e) => Some(&mut e.flow),
        What::TimerFired(e) => Some(&mut e.flow),
        What::Ended(e) => Some(&mut e.flow),
        What::NoticeOwed(e) => Some(&mut e.flow),
        _ => None,
    }
}

/// The names of events, in the order of trace.proto.
pub const NAMES: [&str; 19] = [
    "offered",
    "taken",
    "turned_down",
    "recovered",
    "sent",
    "attempt_ended",
    "attempt_stopped",
    "wait_told",
    "wait_ended",
    "timer_fired",
    "health",
    "probed",
    "list_changed",
    "configuration_changed",
    "ended",
    "notice_owed",
    "notice_heard",
    "phase",
    "dropped",
];

/// The place of an event's name in [`NAMES`]; none for one of a newer version.
pub fn kind(what: &What) -> usize {
    match what {
        What::Offered(_) => 0,
        What::Taken(_) => 1,
        What::TurnedDown(_) => 2,
        What::Recovered(_) => 3,
        What::Sent(_) => 4,
        What::AttemptEnded(_) => 5,
        What::AttemptStopped(_) => 6,
        What::WaitTold(_) => 7,
        What::WaitEnded(_) => 8,
        What::TimerFired(_) => 9,
        What::Health(_) => 10,
        What::Probed(_) => 11,
        What::ListChanged(_) => 12,
        What::ConfigurationChanged(_) => 13,
        What::Ended(_) => 14,
        What::NoticeOwed(_) => 15,
        What::NoticeHeard(_) => 16,
        What::Phase(_) => 17,
        What::Dropped(_) => 18,
    }
}

/// The name of an event; one of a newer version is `unknown`.
pub fn name(event: &Event) -> &'static str {
    event.what.as_ref().map_or("unknown", |w| NAMES[kind(w)])
}
