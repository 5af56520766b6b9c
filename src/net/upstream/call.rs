//! One call, from its connection to its end.

use super::answer::{Answer, Said, told_wait};
use super::read::Asked;
use super::request::request;
use super::*;
use crate::core::End;
use crate::net::socket::connect;
use std::io;
use tokio::time::{sleep, sleep_until};

/// Time within which a call breaks whose connection was gone before it.
const AT_ONCE: Duration = Duration::from_millis(20);
/// How long an answer that has come by the end of its call may take to be read.
const LATE_ANSWER: Duration = Duration::from_millis(100);
/// A delivery this shortly before the end of a flow's time counts as too late: that time began before the relay
/// read of it, and the platform goes by its own clock. Such a flow ends by a notice, which does no harm.
const LAST_MOMENT: Duration = Duration::from_millis(20);

/// How far a call has come.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Stage {
    /// Its last byte has not been written.
    Unsent,
    /// It may run.
    Sent,
    /// The first line of its answer says 200 (or all of it, to a call that several share), and was read then.
    Delivered(Instant),
}

/// Why an exchange came to no answer.
#[derive(Debug)]
pub(super) enum Cut {
    /// It ended so.
    Ended(Outcome),
    /// Another process is to go on with it; if its request is written, on this connection.
    Parked(Option<Reader<TcpStream>>),
    /// Nobody waits for it any more, for this reason; nothing of its answer had come on this connection.
    GivenUp(Outcome, Reader<TcpStream>),
}

impl From<Outcome> for Cut {
    fn from(outcome: Outcome) -> Cut {
        Cut::Ended(outcome)
    }
}

impl Upstream {
    /// Makes a call, or goes on with one whose request is written on `connection`, `before` later.
    pub(super) async fn run(
        self, order: CallOrder, connection: Option<Reader<TcpStream>>, before: Duration, switch: Switch,
    ) {
        let started = Instant::now() - before;
        let stage = Cell::new(if connection.is_some() { Stage::Sent } else { Stage::Unsent });
        let made = {
            // Dropping the exchange closes its connection, before the end is told: no second call of the flow
            // can go out while this one is still open.
            let exchange = self.exchange(&order, connection, &switch, &stage);
            let over = async {
                let outcome = given_up(&order, &switch).await;
                // Once all is written, the exchange itself looks whether an answer has come by now.
                if stage.get() != Stage::Unsent {
                    sleep(LATE_ANSWER).await;
                }
                outcome
            };
            tokio::select! {
                biased;
                made = exchange => made,
                outcome = over => Err(Cut::Ended(outcome)),
            }
        };
        let all = |answer| vec![answer; order.items.len()];
        let answers = match (made, stage.get()) {
            (Err(Cut::Parked(connection)), _) => {
                let note = note(&order, started.elapsed(), connection.is_some());
                // If the socket cannot be had any more, whoever goes on takes the call for broken.
                let stream = connection.and_then(|c| c.into_parts().0.into_std().ok());
                return self.0.parking.leave_call(ParkedCall { stream, note });
            }
            (Err(Cut::GivenUp(outcome, connection)), _) => {
                self.listen_on(order.server, connection, order.items.len() == 1);
                all(Answer::of(outcome))
            }
            (Ok(answers), _) => answers,
            // Called off or out of time before its last byte was written: it never ran.
            (Err(Cut::Ended(Outcome::Withdrawn)), Stage::Unsent) => all(Answer::of(Outcome::Void)),
            (Err(Cut::Ended(Outcome::TimedOut)), Stage::Unsent) => all(Answer::of(Outcome::Unreachable)),
            // Whatever became of the rest of the answer, its first line was true.
            (_, Stage::Delivered(_)) => all(Answer::of(Outcome::Success)),
            (Err(Cut::Ended(outcome)), _) => all(Answer::of(outcome)),
        };
        let mut ends = Vec::with_capacity(answers.len());
        for (item, answer) in order.items.iter().zip(answers) {
            tracing::debug!(
                flow = item.flow.0,
                attempt = item.attempt,
                server = order.server.0,
                outcome = ?answer.outcome,
                limit = ?answer.limit,
                elapsed_us = started.elapsed().as_micros() as u64,
                "attempt ended"
            );
            let mut end = ended(&order, item, answer, started.elapsed());
            // Guards the one end of a flow that is answered after its time. A thread that was kept from running
            // finds answer and time-out together; what it reads then was written when the flow was over for
            // whoever handed it in, and its end is still owed.
            if matches!(stage.get(), Stage::Delivered(at) if at + LAST_MOMENT > item.over_at)
                && end.outcome == Outcome::Success
            {
                end.finished = Some(End::Failed);
            }
            ends.push(end);
        }
        self.tell(ends).await;
    }

    async fn exchange(
        &self, order: &CallOrder, written_on: Option<Reader<TcpStream>>, switch: &Switch, stage: &Cell<Stage>,
    ) -> Result<Vec<Answer>, Cut> {
        let alone = order.items.len() == 1;
        let given_up = given_up(order, switch);
        let asked = Asked { server: order.server, alone, parking: Some(&self.0.parking), keep: true };
        if let Some(connection) = written_on {
            let said = self.answer(asked, connection, stage, given_up).await?;
            return Ok(self.answers(order, said));
        }
        let (connection, idle) = tokio::select! {
            biased;
            connection = self.connection(order.server, order.address) => connection?,
            () = self.0.parking.opened() => return Err(Cut::Parked(None)),
        };
        if switch.held() {
            // Guards told waits: while this connection came up, another call was told to wait.
            self.0.idle.put(order.server, connection);
            return Err(Outcome::Void.into());
        }
        if self.0.parking.is_open() {
            self.0.idle.put(order.server, connection);
            return Err(Cut::Parked(None));
        }
        let written = Instant::now();
        if written >= order.write_by {
            // Guards the window for repeats: this connection took longer to come up than was left of it.
            self.0.idle.put(order.server, connection);
            return Err(Outcome::Void.into());
        }
        let request = request(order, written);
        let connection = tokio::select! {
            biased;
            connection = self.write(connection, &request, stage) => connection,
            // The connection goes before its last byte is written: it never ran.
            () = sleep_until(order.write_by) => return Err(Outcome::Unreachable.into()),
            // Its connection closes before its last byte is written: it never ran.
            () = self.0.parking.opened() => return Err(Cut::Parked(None)),
        };
        let connection = connection?;
        order.items.iter().for_each(|_| self.0.figures.sent());
        let said = self.answer(asked, connection, stage, given_up).await;
        if let (Err(Cut::Ended(Outcome::Broken)), Some(idle)) = (&said, idle)
            && written.elapsed() < AT_ONCE
        {
            self.0.idle.broke(idle);
        }
        Ok(self.answers(order, said?))
    }

    /// What an answer says of each attempt. A wait that it tells binds, also where it refuses none of them.
    fn answers(&self, order: &CallOrder, said: Said) -> Vec<Answer> {
        let answers = order.answers(&said);
        let told = said.1.as_ref().and_then(|h| h.field("wait-ms")).and_then(told_wait);
        let bound = answers.iter().any(|a| matches!(a.outcome, Outcome::Overloaded { .. }));
        if told.is_some() && !bound && answers.len() > 1 && said.0 == 200 {
            let wait = Outcome::Overloaded { wait: told };
            // Without a wait of our own: what was read must not be cut off here.
            let _ = self.0.owner.try_send(OwnerMessage::Probed(order.server, wait, None));
        }
        answers
    }

    /// A connection, and how long it was idle if it is not a new one.
    pub(super) async fn connection(
        &self, server: ServerNo, address: SocketAddr,
    ) -> Result<(Reader<TcpStream>, Option<Duration>), Outcome> {
        match self.0.idle.take(server) {
            Some((connection, idle)) => Ok((connection, Some(idle))),
            None => self.dial(address).await.map(|new| (new, None)).map_err(|e| {
                tracing::debug!(server = server.0, "no connection: {e}");
                Outcome::Unreachable
            }),
        }
    }

    pub(super) async fn write(
        &self, mut connection: Reader<TcpStream>, request: &[u8], stage: &Cell<Stage>,
    ) -> Result<Reader<TcpStream>, Cut> {
        // Broken before the last byte is written, it never ran; the real server begins with the last byte.
        connection.get_mut().write_all(request).await.map_err(|_| Outcome::Unreachable)?;
        stage.set(Stage::Sent);
        Ok(connection)
    }

    async fn dial(&self, address: SocketAddr) -> io::Result<Reader<TcpStream>> {
        Ok(Reader::new(timeout(self.0.dial_timeout, connect(address)).await??))
    }
}

pub(super) fn ended(order: &CallOrder, item: &Item, answer: Answer, elapsed: Duration) -> CallEnd {
    let Answer { outcome, finished, limit } = answer;
    let (Item { flow, attempt, .. }, server) = (item, order.server);
    CallEnd { flow: *flow, attempt: *attempt, server, outcome, finished, elapsed, limit }
}

/// Returns once nobody waits for a call any more, and why.
async fn given_up(order: &CallOrder, switch: &Switch) -> Outcome {
    tokio::select! {
        biased;
        () = switch.stopped() => Outcome::Withdrawn,
        () = sleep_until(order.give_up_at) => Outcome::TimedOut,
    }
}

/// What goes with a call that is parked.
fn note(order: &CallOrder, elapsed: Duration, sent: bool) -> CallNote {
    let (now, server, address) = (Instant::now(), order.server, order.address);
    let left = order.give_up_at.saturating_duration_since(now);
    let write_left = order.write_by.saturating_duration_since(now);
    let items = order.items.iter().map(|i| {
        let left = i.over_at.saturating_duration_since(now);
        ItemNote { flow: i.flow, attempt: i.attempt, left }
    });
    // What its switch says may change until it is handed over: the owner, who has that, puts it in.
    let (items, held, stopped) = (items.collect(), false, false);
    CallNote { items, server, address, left, write_left, elapsed, sent, held, stopped }
}
