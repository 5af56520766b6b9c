//! Membership by SWIM (crate `foca`): who is up, found out by probes that relays pass on for each other, and told along
//! with them. Its timers are kept here in the caller's clock; its chance comes from the caller's seed.

use crate::life::{Life, NodeNo};
use crate::note::DATAGRAM_MAX;
use foca::{
    AccumulatingRuntime, Config, Foca, Identity, NoCustomBroadcast, OwnedNotification, PostcardCodec, Timer,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// What a letter takes of a datagram beside membership's own bytes, at most.
const ENVELOPE: usize = 32;
/// One other relay is probed in this time.
const PROBE_EVERY: Duration = Duration::from_millis(700);
/// It answers within this time, or others are asked to probe it.
const PROBE_ANSWER: Duration = Duration::from_millis(250);
/// One that nobody reached is down after this long, unless it speaks up.
const DOWN_AFTER: Duration = Duration::from_millis(1500);
/// First and longest pause between calls to relays that are not known to be up: liveness needs none of them.
const CALL_FIRST: Duration = Duration::from_millis(100);
const CALL_LAST: Duration = Duration::from_millis(3200);
/// Relays called at once.
const CALLED: usize = 3;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Who {
    node: NodeNo,
    life: Life,
}

impl Identity for Who {
    type Addr = NodeNo;

    fn renew(&self) -> Option<Self> {
        let turn = self.life.turn.checked_add(1)?;
        Some(Who { life: Life { turn, ..self.life }, ..*self })
    }

    fn addr(&self) -> NodeNo {
        self.node
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        self.life.order(&other.life).is_gt()
    }
}

/// What membership found out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Found {
    /// This life of a relay is up.
    Up(NodeNo, Life),
    /// This life of it is not.
    Down(NodeNo, Life),
    /// This relay was taken for dead, and took itself back.
    Back(Life),
}

/// Membership, as one relay has it.
pub struct Members {
    foca: Foca<Who, PostcardCodec, SmallRng, NoCustomBroadcast>,
    timers: Vec<(Duration, Timer<Who>)>,
    me: Who,
    relays: u16,
    rng: SmallRng,
    call_at: Duration,
    call_pause: Duration,
}

impl std::fmt::Debug for Members {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Members({:?}, {} up)", self.me, self.foca.num_members())
    }
}

impl Members {
    /// Alone so far. `relays`: how many there are in all.
    pub fn new(node: NodeNo, life: Life, relays: u16, seed: u64, now: Duration) -> Members {
        let me = Who { node, life };
        let most = |n| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
        let config = Config {
            probe_period: PROBE_EVERY,
            probe_rtt: PROBE_ANSWER,
            num_indirect_probes: most(2),
            // Enough that news reaches all of some hundred relays, in the logarithm of their number.
            max_transmissions: NonZeroU8::new(12).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: DOWN_AFTER,
            remove_down_after: Some(Duration::from_secs(120)),
            max_packet_size: most(DATAGRAM_MAX - ENVELOPE),
            notify_down_members: true,
            periodic_announce: None,
            periodic_announce_to_down_members: None,
            periodic_gossip: None,
        };
        let foca = Foca::new(me, config, SmallRng::seed_from_u64(seed), PostcardCodec);
        let rng = SmallRng::seed_from_u64(seed ^ 0x5eed);
        Members { foca, timers: Vec::new(), me, relays, rng, call_at: now, call_pause: CALL_FIRST }
    }

    /// A datagram of membership's came. False if it could not be read.
    pub fn take(
        &mut self, bytes: &[u8], now: Duration, out: &mut Vec<(NodeNo, Vec<u8>)>, found: &mut Vec<Found>,
    ) -> bool {
        let mut runtime = AccumulatingRuntime::new();
        let read = self.foca.handle_data(bytes, &mut runtime);
        self.drain(runtime, now, out, found);
        !matches!(read, Err(foca::Error::Decode(_) | foca::Error::MalformedPacket | foca::Error::DataTooBig))
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Duration, out: &mut Vec<(NodeNo, Vec<u8>)>, found: &mut Vec<Found>) {
        let mut due: Vec<_> = self.timers.extract_if(.., |(at, _)| *at <= now).collect();
        due.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.cmp(&b.1)));
        for (_, timer) in due {
            let mut runtime = AccumulatingRuntime::new();
            // A timer of a life that is over is nothing.
            let _ = self.foca.handle_timer(timer, &mut runtime);
            self.drain(runtime, now, out, found);
        }
        if now >= self.call_at {
            self.call_at = now + self.call_pause;
            self.call_pause = (self.call_pause * 2).min(CALL_LAST);
            self.call(now, out, found);
        }
    }

    /// Calls some relays that are not known to be up: those that come back, and those that were cut off, are found again
    /// by this from both sides.
    fn call(&mut self, now: Duration, out: &mut Vec<(NodeNo, Vec<u8>)>, found: &mut Vec<Found>) {
        let up: Vec<_> = self.foca.iter_members().map(|m| m.id().node).collect();
        let mut others: Vec<_> =
            (0..self.relays).map(NodeNo).filter(|n| *n != self.me.node && !up.contains(n)).collect();
        for _ in 0..CALLED.min(others.len()) {
            let chosen = (rand::Rng::next_u32(&mut self.rng) as usize) % others.len();
            let node = others.swap_remove(chosen);
            let mut runtime = AccumulatingRuntime::new();
            let _ = self.foca.announce(Who { node, life: Life::UNKNOWN }, &mut runtime);
            self.drain(runtime, now, out, found);
        }
    }

    /// When there is something to do next.
    pub fn next(&self) -> Duration {
        self.timers.iter().map(|(at, _)| *at).min().map_or(self.call_at, |at| at.min(self.call_at))
    }

    /// The life that this relay goes by.
    pub fn life(&self) -> Life {
        self.me.life
    }

    /// This relay is another life from now on: it found out that it was not what it had taken itself for.
    pub fn become_life(&mut self, life: Life, now: Duration, out: &mut Vec<(NodeNo, Vec<u8>)>) {
        self.me.life = life;
        let mut runtime = AccumulatingRuntime::new();
        let _ = self.foca.change_identity(self.me, &mut runtime);
        self.drain(runtime, now, out, &mut Vec::new());
        (self.call_at, self.call_pause) = (now, CALL_FIRST);
    }

    fn drain(
        &mut self, mut runtime: AccumulatingRuntime<Who>, now: Duration, out: &mut Vec<(NodeNo, Vec<u8>)>,
        found: &mut Vec<Found>,
    ) {
        while let Some((to, bytes)) = runtime.to_send() {
            out.push((to.node, bytes.to_vec()));
        }
        while let Some((after, timer)) = runtime.to_schedule() {
            self.timers.push((now + after, timer));
        }
        while let Some(news) = runtime.to_notify() {
            match news {
                OwnedNotification::MemberUp(w) | OwnedNotification::Rename(_, w) => {
                    found.push(Found::Up(w.node, w.life));
                }
                OwnedNotification::MemberDown(w) => found.push(Found::Down(w.node, w.life)),
                OwnedNotification::Rejoin(w) => {
                    self.me = w;
                    found.push(Found::Back(w.life));
                }
                OwnedNotification::Active | OwnedNotification::Idle | OwnedNotification::Defunct => {}
            }
        }
    }
}
