//! Calls against scripted endpoints, and what answers say.

mod answers;
mod calls;
mod early;
mod given_up;
mod late;

use super::*;
use crate::core::FlowNo;

const MS: Duration = Duration::from_millis(1);

/// Runs a test with something that makes calls, and where their ends are told.
fn run(dial: Duration, body: impl AsyncFnOnce(Upstream, mpsc::Receiver<OwnerMessage>)) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (owner, ends) = mpsc::channel(8);
        body(Upstream::new(dial, MS * 9000, 8, owner, Figures::default(), Parking::default()), ends).await;
    });
}

/// A call of one flow, to be given up after some time; its flow lives for long.
fn order(address: SocketAddr, time: Duration) -> CallOrder {
    let body = b"ab"[..].into();
    let parcel = Rc::new(Parcel { id: "f".into(), key: None, mail: None, routed: None, body });
    let give_up_at = Instant::now() + time;
    let items = vec![Item { flow: FlowNo(1), attempt: 0, over_at: give_up_at + MS * 9000, parcel }];
    CallOrder { items, server: ServerNo(1), address, give_up_at, write_by: give_up_at }
}

/// What the owner hears next: of a call's end, or beside one.
async fn next(ends: &mut mpsc::Receiver<OwnerMessage>) -> (&'static str, Outcome) {
    match timeout(MS * 9000, ends.recv()).await.unwrap() {
        Some(OwnerMessage::CallEnded(end, _)) => ("call", end.outcome),
        Some(OwnerMessage::Probed(_, outcome, _)) => ("beside", outcome),
        other => panic!("{other:?}"),
    }
}
