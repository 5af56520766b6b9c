//! What answers say, and what may share a call.

use super::super::answer::{Answer, limit};
use super::super::*;
use crate::core::{End, FlowNo};
use crate::net::http::{BODY_MAX, Head};

#[test]
fn a_shared_answer_says_of_each_message_what_became_of_it_or_it_may_have_run() {
    let head = |fields: &str| {
        let text = format!("HTTP/1.1 200 OK\r\n{fields}\r\n");
        Head::parse(text.as_bytes()).unwrap().unwrap().0
    };
    let read = |status, fields: &str, body: &[u8]| {
        let answers = Answer::read_bulk(&["a", "b"], status, Some(&head(fields)), body);
        answers.iter().map(|a| (a.outcome, a.finished)).collect::<Vec<_>>()
    };
    let (well, failed) = ((Outcome::Success, None), (Outcome::Failure, None));
    let (lost, void) = ((Outcome::Broken, None), (Outcome::Void, None));
    let refused = |ms| (Outcome::Overloaded { wait: (ms > 0).then_some(Duration::from_millis(ms)) }, None);
    for (body, ends) in [
        (&b"a delivered\r\nb failed\r\n"[..], [well, failed]),
        (b"b spent\na over", [(Outcome::Void, Some(End::Over)), void]),
        // Unknown, doubled, contradictory, left out, and no text at all.
        (b"c delivered\r\nb refused\r\nb refused\r\n", [lost, refused(0)]),
        (b"a delivered\r\na refused\r\nb delivered\r\n", [lost, well]),
        (b"a delivered now\r\nb\r\n", [lost, lost]),
        (b"a DELIVERED\r\n\r\n: :", [lost, lost]),
        (b"a delivered\r\n\xff", [lost, lost]),
        (b"", [lost, lost]),
    ] {
        assert_eq!(read(200, "", body), ends, "{}", String::from_utf8_lossy(body));
    }
    assert_eq!(read(200, "Wait-Ms: 70\r\n", b"a refused\r\nb delivered"), [refused(70), well]);
    assert_eq!(read(429, "Wait-Ms: 70\r\n", b""), [refused(70); 2]);
    assert_eq!(read(503, "", b"a delivered"), [refused(0); 2]);
    assert_eq!(read(413, "", b""), [void; 2]);
    assert_eq!((read(500, "", b""), read(302, "", b"")), (vec![failed; 2], vec![failed; 2]));
}

#[test]
fn a_report_that_cannot_be_true_is_none() {
    for noise in ["", "x0", "x0=a,x1=1", "x0=NaN,x1=1", "x0=0.5,x1=1e300", "x0=-1,x1=2", "x0=0.5"] {
        assert_eq!(limit(noise), None, "{noise}");
    }
}

#[test]
fn only_what_fits_and_is_nobody_s_own_shares_a_call() {
    let item = |id: &str, bytes: usize, routed: bool| {
        let routed = routed.then(|| crate::net::parcel::Routed { path: "/a".into(), key: vec![] });
        let body: Rc<[u8]> = vec![7; bytes].into();
        let parcel = Rc::new(Parcel { id: id.into(), key: None, mail: None, routed, body });
        Item { flow: FlowNo(1), attempt: 0, over_at: Instant::now(), parcel }
    };
    let (address, give_up_at) = (([127, 0, 0, 1], 9).into(), Instant::now());
    let call = CallOrder {
        items: vec![item("a", 9, false)],
        server: ServerNo(1),
        address,
        give_up_at,
        write_by: give_up_at,
    };
    assert!(call.takes(&item("b", 9, false), 2) && !call.takes(&item("b", 9, false), 1));
    assert!(!call.takes(&item("a", 9, false), 5), "one message twice");
    assert!(!call.takes(&item("b", 9, true), 5) && !call.takes(&item("b", BODY_MAX - 9, false), 5));
}
