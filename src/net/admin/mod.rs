//! The operators' address: a call of one line, one answer, and the connection ends.
//!
//! Its places and descriptors are its own, and what it asks of the owner goes by a queue of its own, which the owner
//! looks at first: no client can keep an operator waiting.

pub mod codec;

use super::figures::Figures;
use super::inbox::OwnerMessage;
use super::phase::{Phase, State};
use codec::{Call, LINE_MAX};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, timeout};

/// Callers at once; where more come, the one that has waited longest gives way. Their descriptors are set aside.
pub const CALLERS: usize = 16;
/// Orders that may wait for the owner.
pub const ORDERS: usize = 8;
/// How long a caller may take to finish its line, and how long it may take to read its answer. An operator waits for
/// one second; who is slower than this is not going to ask anything.
const LINE_TIME: Duration = Duration::from_millis(2500);
const ANSWER_TIME: Duration = Duration::from_millis(1000);
/// How long the owner may take.
const OWNER_TIME: Duration = Duration::from_millis(900);

/// Whether the process can serve: true once it is, whatever it tells clients.
#[derive(Debug, Clone)]
pub struct Admin {
    /// Where orders go.
    pub owner: mpsc::Sender<OwnerMessage>,
    /// What `telemetry` reports.
    pub figures: Figures,
    /// What `readyz` goes by.
    pub phase: Phase,
}

impl Admin {
    /// Answers callers for as long as the program runs.
    pub async fn serve(self, listener: TcpListener) {
        let callers: RefCell<VecDeque<Weak<Notify>>> = RefCell::default();
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(e) => {
                    tracing::warn!("admin: accept: {e}");
                    sleep(Duration::from_millis(20)).await;
                    continue;
                }
            };
            let there = Rc::new(Notify::new());
            {
                let mut callers = callers.borrow_mut();
                callers.retain(|c| c.strong_count() > 0);
                callers.push_back(Rc::downgrade(&there));
                if callers.len() > CALLERS
                    && let Some(first) = callers.pop_front().and_then(|c| c.upgrade())
                {
                    first.notify_one();
                }
            }
            let admin = self.clone();
            spawn_local(async move {
                tokio::select! {
                    () = admin.attend(stream) => {}
                    () = there.notified() => {}
                }
            });
            yield_now().await;
        }
    }

    async fn attend(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(Some(line)) = timeout(LINE_TIME, read_line(&mut stream)).await else { return };
        let answer = match line.and_then(|line| codec::parse(&line)) {
            Ok(call) => self.answer(call).await,
            Err(what) => format!("400 {what}\n"),
        };
        let write = async {
            stream.write_all(answer.as_bytes()).await?;
            stream.shutdown().await?;
            // What came after the line is read away, or the answer would go down with a reset.
            let mut rest = [0; 512];
            while stream.read(&mut rest).await? > 0 {}
            Ok::<_, std::io::Error>(())
        };
        let _ = timeout(ANSWER_TIME, write).await;
    }

    async fn answer(&self, call: Call) -> String {
        let order = match call {
            Call::Readyz if self.phase.state() == State::Serving => return "200 ready\n".into(),
            Call::Readyz => return format!("400 {:?}\n", self.phase.state()).to_lowercase(),
            Call::Telemetry => return format!("{}EOF\n", self.figures.text()),
            Call::Order(order) => order,
        };
        let (reply, answer) = oneshot::channel();
        let asked = async {
            self.owner.send(OwnerMessage::Admin(order, reply)).await.ok()?;
            answer.await.ok()
        };
        match timeout(OWNER_TIME, asked).await {
            Ok(Some(Ok(()))) => "200 done\n".into(),
            Ok(Some(Err(what))) => format!("400 {what}\n"),
            Ok(None) => "400 this process no longer decides\n".into(),
            Err(_) => "400 the owner is busy; ask again\n".into(),
        }
    }
}

/// The line, without its end; none if there is nobody who would hear of it.
async fn read_line(stream: &mut TcpStream) -> Option<Result<Vec<u8>, &'static str>> {
    let mut line = Vec::new();
    loop {
        let mut part = [0; LINE_MAX];
        let n = stream.read(&mut part).await.ok()?;
        line.extend_from_slice(&part[..n]);
        if let Some(end) = line.iter().position(|b| *b == b'\n') {
            line.truncate(end);
            return Some(if end > LINE_MAX { Err("the line is too long") } else { Ok(line) });
        }
        if n == 0 && line.is_empty() {
            return None;
        }
        if n == 0 {
            // Whoever ends its side has said all that it will.
            return Some(Ok(line));
        }
        if line.len() > LINE_MAX {
            return Some(Err("the line is too long"));
        }
    }
}
