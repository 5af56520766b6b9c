//! Spoilt answers, and such that come late.

use super::super::*;
use crate::api::LimitReport;
use crate::core::{End, FlowNo};
use std::io::{Read, Write};
use std::thread;

const GOOD: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Backend-Load: x0=0.5,x1=9\r\n\r\n";

/// Makes a call that is answered so, and another; their ends, and on how many connections they went.
fn call(answer: &'static str) -> (CallEnd, CallEnd, usize) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (count, counted) = std::sync::mpsc::channel();
    thread::spawn(move || {
        let mut first = true;
        for stream in listener.incoming().map_while(Result::ok) {
            count.send(()).unwrap();
            let says = if std::mem::take(&mut first) { answer } else { GOOD };
            thread::spawn(move || {
                let (mut stream, mut says) = (stream, says);
                let mut bytes = [0; 4096];
                while stream.read(&mut bytes).is_ok_and(|n| n > 0) {
                    let _ = stream.write_all(says.as_bytes());
                    says = GOOD;
                }
            });
        }
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (owner, mut ends) = mpsc::channel(8);
        let second = Duration::from_secs(1);
        let upstream = Upstream::new(second, second * 9, 8, owner, Figures::default(), Parking::default());
        let mut seen = Vec::new();
        for flow in 1..=2 {
            let body: Rc<[u8]> = b"ab"[..].into();
            let parcel =
                Rc::new(Parcel { id: format!("f{flow}"), key: None, mail: None, routed: None, body });
            let (flow, give_up_at) = (FlowNo(flow), Instant::now() + second * 3);
            let items = vec![Item { flow, attempt: 0, over_at: give_up_at, parcel }];
            upstream.call(CallOrder {
                items,
                server: ServerNo(1),
                address,
                give_up_at,
                write_by: give_up_at,
            });
            match timeout(second * 9, ends.recv()).await.unwrap() {
                Some(OwnerMessage::CallEnded(end, _)) => seen.push(end),
                other => panic!("{other:?}"),
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        (seen[0], seen[1], counted.try_iter().count())
    })
}

#[test]
fn a_spoilt_answer_delivers_by_its_first_line_or_may_have_run_and_its_connection_goes() {
    let long: &'static str = format!("HTTP/1.1 200 OK\r\nX: {}", "x".repeat(20_000)).leak();
    let twice: &'static str = format!("{GOOD}{GOOD}").leak();
    let early: &'static str = format!("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n{GOOD}").leak();
    for (answer, outcome, connections) in [
        (GOOD, Outcome::Success, 1),
        (early, Outcome::Success, 1),
        (twice, Outcome::Success, 2),
        (long, Outcome::Success, 2),
        ("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxxx", Outcome::Success, 2),
        ("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nxxxx", Outcome::Success, 2),
        ("HTTP/1.1 200 OK\r\n: :\r\n\r\n", Outcome::Success, 2),
        ("HTTP/1.1 200 OK\r\nand no more", Outcome::Success, 2),
        ("HTTP/1.1 503 no\r\nContent-Length: 9\r\n\r\nxxxx", Outcome::Broken, 2),
        ("HTTP/1.1 429 no\r\nWait-Ms: 9\r\n:\r\n\r\n", Outcome::Broken, 2),
        ("HTTP/1.1 2000 OK\r\n\r\n", Outcome::Broken, 2),
        ("\u{1}\u{2}noise", Outcome::Broken, 2),
        ("HTTP/1.", Outcome::Broken, 2),
        ("HTTP/1.1 503 no\r\nContent-Length: 2\r\n\r\nno", Outcome::Overloaded { wait: None }, 1),
    ] {
        let (first, second, opened) = call(answer);
        assert_eq!((first.outcome, opened), (outcome, connections), "{answer:.60}");
        assert!(first.elapsed < Duration::from_secs(1), "{answer:.60} took {:?}", first.elapsed);
        assert_eq!(second.outcome, Outcome::Success, "after {answer:.60}");
        assert_eq!(second.limit, Some(LimitReport { left: 0.5, rate: 9.0 }));
    }
}

#[test]
fn an_answer_read_after_the_time_of_its_flow_leaves_the_end_owed() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let ms = Duration::from_millis;
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let mut bytes = [0; 4096];
            while stream.read(&mut bytes).is_ok_and(|n| n > 0) {
                thread::sleep(ms(150));
                let _ = stream.write_all(GOOD.as_bytes());
            }
        }
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (owner, mut ends) = mpsc::channel(8);
        let upstream = Upstream::new(ms(1000), ms(9000), 8, owner, Figures::default(), Parking::default());
        // Of a flow with time left, and of one whose time is up as the thread does not get to run.
        for (time, finished) in [(2000, None), (100, Some(End::Failed))] {
            let parcel = Rc::new(Parcel {
                id: "f".into(),
                key: None,
                mail: None,
                routed: None,
                body: b"ab"[..].into(),
            });
            let over_at = Instant::now() + ms(time);
            let items = vec![Item { flow: FlowNo(1), attempt: 0, over_at, parcel }];
            upstream.call(CallOrder {
                items,
                server: ServerNo(1),
                address,
                give_up_at: over_at,
                write_by: over_at,
            });
            tokio::time::sleep(ms(50)).await;
            thread::sleep(ms(250));
            match timeout(ms(9000), ends.recv()).await.unwrap() {
                Some(OwnerMessage::CallEnded(end, _)) => {
                    assert_eq!((end.outcome, end.finished), (Outcome::Success, finished));
                }
                other => panic!("{other:?}"),
            }
        }
    });
}
