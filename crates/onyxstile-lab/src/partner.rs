//! Stand-in real servers: they answer by a script that may change while they run, and write down every call.

use crate::http::Wire;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// How a stand-in behaves now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Mood {
    /// It answers 200.
    Well,
    /// It takes calls and answers none.
    Hangs,
    /// It turns calls away, telling a wait or none.
    Refuses(Option<Duration>),
    /// It answers 500.
    Fails,
    /// It closes the connection on each call.
    Resets,
    /// It is gone: connections are closed as soon as they are there.
    Gone,
}

/// What a stand-in can do.
#[derive(Debug, Clone, Copy)]
pub struct Ability {
    /// Time for a call.
    pub pace: Duration,
    /// Calls in each span, at most; more are turned away until the span is over.
    pub limit: Option<(usize, Duration)>,
    /// Whether a refusal above the limit tells how long to wait.
    pub tells: bool,
    /// After an outage it begins at this share of its limit, and is warm after this time.
    pub cold: Option<(f64, Duration)>,
}

impl Default for Ability {
    fn default() -> Self {
        Ability { pace: Duration::from_millis(2), limit: None, tells: true, cold: None }
    }
}

/// A call as a stand-in saw it.
#[derive(Debug, Clone)]
pub struct Seen {
    /// When its last byte was there.
    pub at: Instant,
    /// Its id.
    pub id: String,
    /// The target that was asked for.
    pub target: String,
    /// The status that it was answered with; 0 for no answer.
    pub status: u16,
}

/// A stand-in real server.
#[derive(Debug)]
pub struct Partner {
    /// Where it listens.
    pub address: SocketAddr,
    /// How it behaves.
    pub mood: Cell<Mood>,
    /// What it saw.
    pub seen: RefCell<Vec<Seen>>,
    ability: Cell<Ability>,
    /// Calls taken in the present span of its limit.
    taken: RefCell<VecDeque<Instant>>,
    back_since: Cell<Option<Instant>>,
    /// Probes that came; they use up the limit as calls do.
    pub probes: Cell<u64>,
    /// Connections open now, and most at once.
    pub open: Cell<(usize, usize)>,
}

impl Partner {
    /// Starts one on a port of its own.
    ///
    /// # Errors
    /// No port is to be had.
    pub async fn start(ability: Ability) -> io::Result<Rc<Partner>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let partner = Rc::new(Partner {
            address: listener.local_addr()?,
            mood: Cell::new(Mood::Well),
            seen: RefCell::default(),
            ability: Cell::new(ability),
            taken: RefCell::default(),
            back_since: Cell::new(None),
            probes: Cell::new(0),
            open: Cell::new((0, 0)),
        });
        let this = partner.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if this.mood.get() != Mood::Gone {
                    spawn_local(this.clone().serve(stream));
                }
            }
        });
        Ok(partner)
    }

    /// Changes its mood; back from an outage it is cold.
    pub fn set(&self, mood: Mood) {
        if mood == Mood::Well && self.mood.get() != Mood::Well {
            self.back_since.set(Some(Instant::now()));
        }
        self.mood.set(mood);
    }

    /// Changes what it can do.
    pub fn able(&self, ability: Ability) {
        self.ability.set(ability);
    }

    /// How many calls it answered with 200.
    pub fn delivered(&self) -> usize {
        self.seen.borrow().iter().filter(|s| s.status == 200).count()
    }

    fn note(&self, at: Instant, id: &str, target: &str, status: u16, probe: bool) {
        if probe {
            return;
        }
        self.seen.borrow_mut().push(Seen { at, id: id.into(), target: target.into(), status });
    }

    /// Whether there is room under the limit now; if not, when there is.
    fn room(&self, now: Instant) -> Result<(), Duration> {
        let Some((most, span)) = self.ability.get().limit else { return Ok(()) };
        let warm = match (self.ability.get().cold, self.back_since.get()) {
            (Some((from, time)), Some(since)) => {
                let share = (now - since).as_secs_f64() / time.as_secs_f64();
                (from + (1.0 - from) * share).min(1.0)
            }
            _ => 1.0,
        };
        let mut taken = self.taken.borrow_mut();
        while taken.front().is_some_and(|t| now - *t >= span) {
            taken.pop_front();
        }
        if (taken.len() as f64) < most as f64 * warm {
            taken.push_back(now);
            return Ok(());
        }
        Err(taken.front().map_or(span, |t| span - (now - *t)))
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let (open, most) = self.open.get();
        self.open.set((open + 1, most.max(open + 1)));
        let mut wire = Wire::new(stream);
        let _ = self.calls(&mut wire).await;
        let (open, most) = self.open.get();
        self.open.set((open - 1, most));
    }

    async fn calls(&self, wire: &mut Wire) -> io::Result<()> {
        while let Some(call) = wire.read().await? {
            let now = Instant::now();
            let id = call.field("x-correlation-id").unwrap_or_default().to_string();
            let target = call.first.get(1).cloned().unwrap_or_default();
            let probe = call.first[0] == "OPTIONS";
            self.probes.set(self.probes.get() + u64::from(probe));
            let (status, wait) = match self.mood.get() {
                Mood::Well => match self.room(now) {
                    Ok(()) => (200, None),
                    Err(wait) if self.ability.get().tells => (429, Some(wait)),
                    Err(_) => (503, None),
                },
                Mood::Refuses(Some(wait)) => (429, Some(wait)),
                Mood::Refuses(None) => (503, None),
                Mood::Fails => (500, None),
                Mood::Resets | Mood::Gone => {
                    self.note(now, &id, &target, 0, probe);
                    return Ok(());
                }
                Mood::Hangs => {
                    self.note(now, &id, &target, 0, probe);
                    while wire.read().await?.is_some() {}
                    return Ok(());
                }
            };
            if status == 200 {
                sleep(self.ability.get().pace).await;
            }
            self.note(now, &id, &target, status, probe);
            let wait = wait.map_or(String::new(), |w| format!("Wait-Ms: {}\r\n", w.as_millis() + 1));
            wire.write(format!("HTTP/1.1 {status} .\r\n{wait}Content-Length: 0\r\n\r\n").as_bytes()).await?;
        }
        Ok(())
    }
}
