//! Which clients a mail front has room for.

use super::*;
use crate::net::mail::Times;

#[test]
fn one_address_cannot_hold_all_sessions() {
    let time = Duration::from_secs(1);
    let times = Times { client: time, client_data: time, command: time, block: time, done: time, keep: time };
    let settings = MailSettings {
        smtp: None,
        lmtp: None,
        hostname: "relay".into(),
        class: "orders".into(),
        deadline: time,
        routes: Vec::new(),
        bounce: None,
        max_size: 1000,
        max_recipients: 1,
        max_clients: 4,
        per_call: 1,
        times,
    };
    let phase = Phase::new();
    phase.advance(State::Serving);
    let edge = MailEdge::new(settings, mpsc::channel(1).0, phase, Clock::start());
    let (greedy, usual) = (IpAddr::from([127, 0, 0, 1]), IpAddr::from([127, 0, 0, 2]));
    edge.open.borrow_mut().extend([(greedy, 3), (usual, 1)]);
    assert!(edge.busy(greedy) && !edge.busy(usual));
    edge.left(greedy);
    assert!(!edge.busy(greedy));
    edge.left(usual);
    assert_eq!(edge.open.borrow().len(), 1);
}
