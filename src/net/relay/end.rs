//! Parts of the end: the order to it, and its last words.

use super::*;
use std::rc::Rc;
use tokio::signal::unix::Signal;

/// Begins the drain at the first of these signals; a second one changes nothing.
pub(super) fn when_told([mut one, mut other]: [Signal; 2], phase: Phase) -> JoinHandle<()> {
    spawn_local(async move {
        tokio::select! {
            _ = one.recv() => {}
            _ = other.recv() => {}
        }
        phase.advance(State::Draining);
    })
}

/// The program stops: the last answers leave, and clients' connections end.
pub(super) async fn last_words(phase: &Phase, front: Option<Rc<Edge>>) {
    // Whatever was answered in the last step is on its way to the client connections.
    sleep(LAST_WORDS).await;
    phase.advance(State::Stopped);
    if let Some(front) = front {
        front.closed().await;
    }
}
