//! Calls to real servers that speak SMTP or LMTP.
//!
//! Up to the last byte of a message nothing of it can have taken effect; from the first byte of the dot that
//! ends it, it may have, until the real server says otherwise.

use super::codec::{CodecError, Lines, Reply, stuffed};
use super::{Dialect, Times};
use crate::core::{CallEnd, End, FlowNo, Outcome, ServerNo};
use crate::net::inbox::OwnerMessage;
use crate::net::parcel::Parcel;
use crate::net::pool::{Pool, Pooled};
use crate::net::socket::connect;
use crate::net::upstream::Switch;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout, timeout_at};

/// Bytes written at a time.
const BLOCK: usize = 4096;
/// One flow of a call.
#[derive(Debug, Clone)]
pub struct Item {
    /// The flow.
    pub flow: FlowNo,
    /// Number of the attempt.
    pub attempt: u32,
    /// What to send, with its envelope.
    pub parcel: Rc<Parcel>,
}

/// A call: transactions one after the other on one connection.
#[derive(Debug, Clone)]
pub struct MailCall {
    /// The real server.
    pub server: ServerNo,
    /// Its address.
    pub address: SocketAddr,
    /// What it speaks.
    pub dialect: Dialect,
    /// When to stop waiting.
    pub give_up_at: Instant,
    /// Each with flows of one sender and one body.
    pub transactions: Vec<Vec<Item>>,
}

/// How far a flow of a call has come.
#[derive(Debug, Clone, PartialEq)]
enum Stage {
    /// Nothing that could take effect has been written.
    Unsent,
    /// The end of its message is being written, or was.
    Sent,
    /// The real server has spoken.
    Done(Outcome, Option<End>, String),
}

/// Why a conversation cannot go on.
#[derive(Debug)]
enum Stopped {
    /// The real server closes shop, or refuses us: in its words.
    Closing(String),
    /// A wait was told meanwhile.
    Held,
    /// It took too long.
    Late,
    /// Anything else.
    Broken(CodecError),
}

impl From<std::io::Error> for Stopped {
    fn from(e: std::io::Error) -> Self {
        Stopped::Broken(CodecError::Io(e))
    }
}

#[derive(Debug)]
struct Connection {
    lines: Lines<TcpStream>,
    eight_bit: bool,
    size: bool,
}

#[derive(Debug)]
struct Inner {
    idle: Pool<Connection>,
    hostname: String,
    dial_timeout: Duration,
    times: Times,
    owner: mpsc::Sender<OwnerMessage>,
}

/// Makes mail calls and keeps connections.
#[derive(Debug, Clone)]
pub struct MailUpstream(Rc<Inner>);

impl MailUpstream {
    /// A pool with no connections, for so many idle ones. Ends of calls go to `owner`.
    pub fn new(
        hostname: String, dial_timeout: Duration, times: Times, idle: usize,
        owner: mpsc::Sender<OwnerMessage>,
    ) -> Self {
        let idle = Pool::new(times.keep, idle);
        MailUpstream(Rc::new(Inner { idle, hostname, dial_timeout, times, owner }))
    }

    /// Starts a call; one switch acts on all its flows.
    pub fn call(&self, call: MailCall) -> Switch {
        let switch = Switch::default();
        tokio::task::spawn_local(self.clone().run(call, switch.clone()));
        switch
    }

    /// Probes a real server: whether it greets us.
    pub fn probe(&self, server: ServerNo, address: SocketAddr, dialect: Dialect) {
        let this = self.clone();
        tokio::task::spawn_local(async move {
            let outcome = match timeout(this.0.dial_timeout * 2, this.connect(address, dialect)).await {
                Ok(Ok(c)) => {
                    this.0.idle.put(server, c);
                    Outcome::Success
                }
                Ok(Err(Stopped::Closing(_))) => Outcome::Overloaded { wait: None },
                Ok(Err(Stopped::Late)) | Err(_) => Outcome::TimedOut,
                Ok(Err(_)) => Outcome::Unreachable,
            };
            let _ = this.0.owner.send(OwnerMessage::Probed(server, outcome, None)).await;
        });
    }

    async fn run(self, call: MailCall, switch: Switch) {
        let started = Instant::now();
        let items: Vec<&Item> = call.transactions.iter().flatten().collect();
        let stages = RefCell::new(vec![Stage::Unsent; items.len()]);
        // As with any call, its connection is closed before its end is told.
        let (unsent, sent, what) = tokio::select! {
            biased;
            made = timeout_at(call.give_up_at, self.converse(&call, &switch, &stages)) => match made {
                Ok(Ok(())) => (Outcome::Unreachable, Outcome::Broken, String::new()),
                Ok(Err(Stopped::Closing(text))) => (Outcome::Overloaded { wait: None }, Outcome::Broken, text),
                Ok(Err(Stopped::Held)) => (Outcome::Void, Outcome::Broken, String::new()),
                Ok(Err(Stopped::Late)) | Err(_) => (Outcome::Unreachable, Outcome::TimedOut, "no reply in time".into()),
                Ok(Err(Stopped::Broken(e))) => (Outcome::Unreachable, Outcome::Broken, e.to_string()),
            },
            () = switch.stopped() => (Outcome::Void, Outcome::Withdrawn, "called off".into()),
        };
        for (item, stage) in items.iter().zip(stages.into_inner()) {
            let (outcome, finished, detail) = match stage {
                Stage::Unsent => (unsent, None, what.clone()),
                Stage::Sent => (sent, None, what.clone()),
                Stage::Done(outcome, finished, text) => (outcome, finished, text),
            };
            tracing::debug!(
                flow = item.flow.0,
                attempt = item.attempt,
                server = call.server.0,
                ?outcome,
                elapsed_us = started.elapsed().as_micros() as u64,
                detail,
                "attempt ended"
            );
            let (flow, attempt, server) = (item.flow, item.attempt, call.server);
            let elapsed = started.elapsed();
            let end = CallEnd { flow, attempt, server, outcome, finished, elapsed, limit: None };
            let detail = Some(detail).filter(|d| !d.is_empty());
            // The owner outlives all calls but at exit.
            let _ = self.0.owner.send(OwnerMessage::CallEnded(end, detail)).await;
        }
    }

    async fn converse(
        &self, call: &MailCall, switch: &Switch, stages: &RefCell<Vec<Stage>>,
    ) -> Result<(), Stopped> {
        let mut c = match self.0.idle.take(call.server) {
            Some((c, _)) => c,
            None => self.connect(call.address, call.dialect).await?,
        };
        let mut first = 0;
        for transaction in &call.transactions {
            if switch.held() {
                // Guards told waits and drains: nothing new begins once the call is held.
                self.0.idle.put(call.server, c);
                return Err(Stopped::Held);
            }
            let its = StagesFrom { all: stages, first };
            self.transact(&mut c, call.dialect, transaction, &its).await?;
            first += transaction.len();
        }
        self.0.idle.put(call.server, c);
        Ok(())
    }

    async fn connect(&self, address: SocketAddr, dialect: Dialect) -> Result<Connection, Stopped> {
        let dialled = timeout(self.0.dial_timeout, connect(address)).await;
        let stream = dialled.map_err(|_| Stopped::Late)??;
        let mut c = Connection { lines: Lines::new(stream), eight_bit: false, size: false };
        let greeting = self.reply(&mut c, self.0.times.command).await?;
        if greeting.code != 220 {
            return Err(Stopped::Closing(greeting.text()));
        }
        let name = &self.0.hostname;
        let hello = match dialect {
            Dialect::Smtp => self.command(&mut c, &format!("EHLO {name}")).await?,
            Dialect::Lmtp => self.command(&mut c, &format!("LHLO {name}")).await?,
        };
        (c.eight_bit, c.size) = (hello.offers("8BITMIME"), hello.offers("SIZE"));
        let plain = hello.kind() == 5 && dialect == Dialect::Smtp;
        let hello = if plain { self.command(&mut c, &format!("HELO {name}")).await? } else { hello };
        if hello.kind() == 2 { Ok(c) } else { Err(Stopped::Closing(hello.text())) }
    }

    async fn transact(
        &self, c: &mut Connection, dialect: Dialect, items: &[Item], stages: &StagesFrom<'_>,
    ) -> Result<(), Stopped> {
        let Some(parcel) = items.first().map(|i| &i.parcel) else { return Ok(()) };
        let eight_bit = !parcel.body.is_ascii();
        if eight_bit && !c.eight_bit {
            (0..items.len()).for_each(|i| {
                stages.set(
                    i,
                    done(&Reply {
                        code: 554,
                        lines: vec!["5.6.3 the message is 8-bit and the server takes none".into()],
                    }),
                )
            });
            return Ok(());
        }
        let from = parcel.mail.as_ref().map_or("", |m| m.from.as_str());
        let body = if eight_bit { " BODY=8BITMIME" } else { "" };
        let size = if c.size { format!(" SIZE={}", parcel.body.len()) } else { String::new() };
        let reply = self.command(c, &format!("MAIL FROM:<{from}>{body}{size}")).await?;
        if reply.kind() != 2 {
            (0..items.len()).for_each(|i| stages.set(i, done(&reply)));
            return Ok(());
        }
        let mut taken = Vec::new();
        for (i, item) in items.iter().enumerate() {
            let to = item.parcel.mail.as_ref().map_or("", |m| m.to.as_str());
            let reply = self.command(c, &format!("RCPT TO:<{to}>")).await?;
            if reply.kind() == 2 { taken.push(i) } else { stages.set(i, done(&reply)) }
        }
        if taken.is_empty() {
            return self.reset(c).await;
        }
        let reply = self.command(c, "DATA").await?;
        if reply.code != 354 {
            taken.iter().for_each(|i| stages.set(*i, done(&reply)));
            return self.reset(c).await;
        }
        for block in stuffed(&parcel.body).chunks(BLOCK) {
            let written = timeout(self.0.times.block, c.lines.get_mut().write_all(block)).await;
            written.map_err(|_| Stopped::Late)??;
        }
        // Guards orders against taking effect twice: from here on the message may run, whatever is heard or
        // not heard of it.
        taken.iter().for_each(|i| stages.set(*i, Stage::Sent));
        timeout(self.0.times.block, c.lines.get_mut().write_all(b".\r\n"))
            .await
            .map_err(|_| Stopped::Late)??;
        match dialect {
            Dialect::Smtp => {
                let reply = self.reply(c, self.0.times.done).await?;
                taken.iter().for_each(|i| stages.set(*i, done(&reply)));
                closing(&reply)
            }
            Dialect::Lmtp => {
                let mut last = Ok(());
                for i in &taken {
                    let reply = self.reply(c, self.0.times.done).await?;
                    stages.set(*i, done(&reply));
                    last = last.and(closing(&reply));
                }
                last
            }
        }
    }

    async fn reset(&self, c: &mut Connection) -> Result<(), Stopped> {
        let reply = self.command(c, "RSET").await?;
        if reply.kind() == 2 { Ok(()) } else { Err(Stopped::Closing(reply.text())) }
    }

    /// A command and its reply. A 421 ends the conversation: the real server closes the connection after it.
    async fn command(&self, c: &mut Connection, line: &str) -> Result<Reply, Stopped> {
        c.lines.get_mut().write_all(format!("{line}\r\n").as_bytes()).await?;
        let reply = self.reply(c, self.0.times.command).await?;
        closing(&reply)?;
        Ok(reply)
    }

    async fn reply(&self, c: &mut Connection, time: Duration) -> Result<Reply, Stopped> {
        timeout(time, c.lines.reply()).await.map_err(|_| Stopped::Late)?.map_err(Stopped::Broken)
    }

    /// Closes the idle connections to a real server.
    pub fn release(&self, server: ServerNo) {
        self.0.idle.release(server);
    }

    /// Closes idle connections in time, for as long as the program runs.
    pub async fn sweep(self) {
        self.0.idle.sweep().await;
    }
}

impl Pooled for Connection {
    fn stream(&mut self) -> &mut TcpStream {
        self.lines.get_mut()
    }

    fn has_more(&self) -> bool {
        self.lines.has_more()
    }
}

/// What a reply to a part of a transaction means for the flows that it is about.
fn done(reply: &Reply) -> Stage {
    match reply.kind() {
        2 => Stage::Done(Outcome::Success, None, reply.text()),
        // The real server did its part; the flow is over all the same.
        5 => Stage::Done(Outcome::Success, Some(End::Failed), reply.text()),
        _ => Stage::Done(Outcome::Overloaded { wait: None }, None, reply.text()),
    }
}

fn closing(reply: &Reply) -> Result<(), Stopped> {
    if reply.code == 421 { Err(Stopped::Closing(reply.text())) } else { Ok(()) }
}

/// The stages of one transaction's flows.
struct StagesFrom<'a> {
    all: &'a RefCell<Vec<Stage>>,
    first: usize,
}

impl StagesFrom<'_> {
    fn set(&self, i: usize, stage: Stage) {
        if let Some(s) = self.all.borrow_mut().get_mut(self.first + i) {
            *s = stage;
        }
    }
}
