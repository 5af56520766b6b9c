//! Calls to real servers over HTTP, one at a time on each connection, and the connections kept for them.

mod answer;
mod call;
mod order;
mod probe;
mod read;
mod request;

use super::figures::Figures;
use super::http::Reader;
use super::inbox::OwnerMessage;
use super::parcel::Parcel;
use super::pool::{Pool, Pooled};
use super::upgrade::parking::{CallNote, IdleNote, ItemNote, ParkedCall, ParkedIdle, Parking};
use crate::core::{CallEnd, Outcome, ServerNo};
pub use answer::Answer;
use call::{Cut, ended};
pub use order::{CallOrder, Item, Switch};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

/// Share of the platform's keep-alive time for which an idle connection is kept: a request that crosses the
/// other side's closing ends as a reset, which may have run.
const KEEP_SHARE: f64 = 0.85;

#[derive(Debug)]
struct Inner {
    idle: Pool<Reader<TcpStream>>,
    dial_timeout: Duration,
    owner: mpsc::Sender<OwnerMessage>,
    figures: Figures,
    parking: Parking,
    /// Calls that were given up and are listened to.
    listened: Cell<usize>,
}

/// Makes calls and keeps connections.
#[derive(Debug, Clone)]
pub struct Upstream(Rc<Inner>);

impl Upstream {
    /// A pool with no connections, for so many idle ones. Ends of calls go to `owner`.
    pub fn new(
        dial_timeout: Duration, keepalive: Duration, idle: usize, owner: mpsc::Sender<OwnerMessage>,
        figures: Figures, parking: Parking,
    ) -> Self {
        let keep = keepalive.mul_f64(KEEP_SHARE);
        Upstream(Rc::new(Inner {
            idle: Pool::new(keep, idle),
            dial_timeout,
            owner,
            figures,
            parking,
            listened: Cell::new(0),
        }))
    }

    /// Starts a call.
    pub fn call(&self, order: CallOrder) -> Switch {
        let switch = Switch::default();
        self.begin(order, None, Duration::ZERO, &switch);
        switch
    }

    /// Goes on with a call that was parked, with what each of its flows delivers.
    pub fn adopt(&self, call: ParkedCall, parcels: Vec<Rc<Parcel>>) -> Switch {
        let (switch, now) = (Switch::default(), Instant::now());
        let ParkedCall { stream, note } = call;
        let CallNote { items, server, address, left, write_left, elapsed, held, stopped, sent } = note;
        if held {
            switch.hold();
        }
        if stopped {
            switch.stop();
        }
        let items = items.into_iter().zip(parcels).map(|(i, parcel)| {
            let ItemNote { flow, attempt, left } = i;
            Item { flow, attempt, over_at: now + left, parcel }
        });
        let (give_up_at, write_by) = (now + left, now + write_left);
        let order = CallOrder { items: items.collect(), server, address, give_up_at, write_by };
        let connection = stream.and_then(|s| TcpStream::from_std(s).ok()).map(Reader::new);
        // A socket that cannot be had any more had a call on it all the same.
        if sent && connection.is_none() {
            let (this, busy) = (self.clone(), self.0.parking.busy());
            tokio::task::spawn_local(async move {
                let ends = order.items.iter().map(|i| ended(&order, i, Answer::of(Outcome::Broken), elapsed));
                this.tell(ends.collect()).await;
                drop(busy);
            });
            return switch;
        }
        self.begin(order, connection, elapsed, &switch);
        switch
    }

    async fn tell(&self, ends: Vec<CallEnd>) {
        for end in ends {
            // The owner outlives all calls but at exit.
            let _ = self.0.owner.send(OwnerMessage::CallEnded(end, None)).await;
        }
    }

    fn begin(
        &self, order: CallOrder, connection: Option<Reader<TcpStream>>, before: Duration, switch: &Switch,
    ) {
        let (this, busy, switch) = (self.clone(), self.0.parking.busy(), switch.clone());
        tokio::task::spawn_local(async move {
            this.run(order, connection, before, switch).await;
            drop(busy);
        });
    }

    /// Closes the idle connections to a real server.
    pub fn release(&self, server: ServerNo) {
        self.0.idle.release(server);
    }

    /// Takes all idle connections out, with how long each has been idle.
    pub fn park_idle(&self) -> Vec<ParkedIdle> {
        let idle = self.0.idle.take_all().into_iter();
        let idle = idle.filter_map(|(server, connection, age)| {
            let stream = connection.into_parts().0.into_std().ok()?;
            Some(ParkedIdle { stream, note: IdleNote { server, age } })
        });
        idle.collect()
    }

    /// Takes idle connections in that were taken out elsewhere.
    pub fn adopt_idle(&self, idle: Vec<ParkedIdle>) {
        for ParkedIdle { stream, note } in idle {
            if let Ok(stream) = TcpStream::from_std(stream) {
                self.0.idle.put_aged(note.server, Reader::new(stream), note.age);
            }
        }
    }

    /// Closes idle connections in time, for as long as the program runs.
    pub async fn sweep(self) {
        self.0.idle.sweep().await;
    }
}

impl Pooled for Reader<TcpStream> {
    fn stream(&mut self) -> &mut TcpStream {
        self.get_mut()
    }

    fn has_more(&self) -> bool {
        Reader::has_more(self)
    }
}

#[cfg(test)]
mod tests;
