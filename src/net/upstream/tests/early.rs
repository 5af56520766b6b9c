//! Calls that end before their answer.

use super::super::*;
use crate::core::FlowNo;

/// Called off or out of time: before its last byte is written a call never ran, and after that it may have.
#[test]
fn a_call_that_ends_early_never_ran_until_its_last_byte_is_written() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let ms = Duration::from_millis;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (owner, mut ends) = mpsc::channel(8);
        let upstream = Upstream::new(ms(9000), ms(9000), 8, owner, Figures::default(), Parking::default());
        // Nobody reads: what is larger than the sockets' buffers is never written whole.
        for (bytes, called_off, outcome) in [
            (64 << 20, true, Outcome::Void),
            (64 << 20, false, Outcome::Unreachable),
            (2, true, Outcome::Withdrawn),
            (2, false, Outcome::TimedOut),
        ] {
            let body: Rc<[u8]> = vec![7; bytes].into();
            let parcel = Rc::new(Parcel { id: "f".into(), key: None, mail: None, routed: None, body });
            let over_at = Instant::now() + ms(300);
            let (flow, attempt, server) = (FlowNo(1), 0, ServerNo(1));
            let (give_up_at, items) = (over_at, vec![Item { flow, attempt, over_at, parcel }]);
            let order = CallOrder { items, server, address, give_up_at, write_by: give_up_at };
            let switch = upstream.call(order);
            tokio::time::sleep(ms(100)).await;
            if called_off {
                switch.stop();
            }
            match timeout(ms(9000), ends.recv()).await.unwrap() {
                Some(OwnerMessage::CallEnded(end, _)) => assert_eq!(end.outcome, outcome, "{bytes} bytes"),
                other => panic!("{other:?}"),
            }
        }
    });
}
