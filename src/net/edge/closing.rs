//! A client connection's rest and its end: what has come by then is answered, and what was answered arrives.
//!
//! The end has an order. First the socket itself is asked for bytes that the runtime has not heard of; who sent them has
//! its answer. Then the sending side is shut, and what still comes is read and thrown away, within bounds, until the
//! client has closed too. A request among that crossed the end: its client sees the end and no answer, and hands it in
//! anew; it is never sent on. Only then is the socket closed. A close over unread bytes would reset the connection, and
//! the reset would take along answers that the client has not read yet.

use super::*;
use crate::net::socket::{Unread, end, unread};

/// How long all clients together are listened to after the end, once the program stops; and how long one that has just come
/// may take to send what it came for.
const LAST_CLOSE: Duration = Duration::from_millis(100);
const LAST_WORD: Duration = Duration::from_millis(50);

/// How a connection's rest ended.
pub(super) enum Rested {
    /// A request has begun.
    Begun,
    /// The client has gone.
    Gone,
    /// Another process is to go on with it.
    Parked,
    /// There is no time for a request, and whoever is there is told so.
    Answer(Reply),
    /// Nobody asks for anything: it is closed.
    Close,
}

/// Why a resting connection is closed.
#[derive(Clone, Copy, PartialEq)]
enum Why {
    /// It has rested for long, or its client is sent away.
    Idle,
    /// Another connection needs its place.
    Room,
    /// The program stops.
    Stopped,
}

impl Edge {
    /// Waits for a request.
    pub(super) async fn rest(
        &self, reader: &mut Reader<TcpStream>, connection: &Connection, due: Instant,
    ) -> Rested {
        let (mut left, mut idle) = (due.saturating_duration_since(Instant::now()), Duration::ZERO);
        let why = loop {
            tokio::select! {
                biased;
                begun = reader.begun() => return if begun.is_ok() { Rested::Begun } else { Rested::Gone },
                () = connection.close.notified() => break Why::Room,
                () = self.parts.phase.reached(State::Stopped) => break Why::Stopped,
                () = self.sent_away() => break Why::Idle,
                () = self.parts.parking.opened() => return Rested::Parked,
                () = sleep(left) => {
                    idle += left;
                    // A client that never sent anything is not one that keeps its connection.
                    if !connection.served.get() || self.crowded() || idle >= IDLE_MOST {
                        break Why::Idle;
                    }
                    left = IDLE_LEAST;
                }
            }
        };
        if why == Why::Stopped && !connection.served.get() {
            // Guards a client that has just come: it hears that there is nobody, and does not find out by a close.
            let _ = timeout(LAST_WORD, reader.begun()).await;
            return Rested::Answer(Reply::turned_away());
        }
        match unread(reader.get_mut()) {
            Unread::Nothing | Unread::End => Rested::Close,
            Unread::Bytes if why == Why::Idle => Rested::Begun,
            Unread::Bytes => Rested::Answer(Reply::turned_away()),
        }
    }

    /// Closes a connection that has had its last answer.
    pub(super) async fn close(&self, mut reader: Reader<TcpStream>, number: u64, connection: &Connection) {
        // It has its answer: whoever needs the place may have it, or a flood of faulty requests would hold them all.
        let its = self.open.borrow_mut().remove(&number);
        connection.bound.set(false);
        self.closing.borrow_mut().extend(its.map(|c| (number, c)));
        tokio::select! {
            // The end is begun whatever else is the case: the sending side is shut in its first step.
            biased;
            () = end(reader.get_mut()) => {}
            () = connection.close.notified() => {}
        }
    }

    /// A connection has gone, however it ended.
    pub(super) fn forget(&self, number: u64) {
        self.open.borrow_mut().remove(&number);
        self.closing.borrow_mut().remove(&number);
        self.gone.notify_waiters();
    }

    /// Returns once all connections have ended, or their time is up. The program has to have stopped.
    pub async fn closed(&self) {
        let all = async {
            loop {
                let gone = self.gone.notified();
                if self.open.borrow().is_empty() && self.closing.borrow().is_empty() {
                    return;
                }
                gone.await;
            }
        };
        if timeout(LAST_CLOSE, all).await.is_err() {
            let left = self.open.borrow().len() + self.closing.borrow().len();
            tracing::info!("{left} client connections did not close in time");
        }
    }

    /// Ends the listening to a connection that has had its last answer, the oldest first; false if there is none.
    pub(super) fn cut_closing(&self) -> bool {
        let closing = self.closing.borrow();
        let first = closing.values().find(|c| !c.bound.replace(true));
        first.inspect(|c| c.close.notify_one()).is_some()
    }
}
