//! One checker for all stories and histories: what must hold at the end, whatever happened.

use crate::clients::Handed;
use crate::world::{COLD_MS, FACTOR, NOTICE_LIFE, ORDER_LIFE, SPAN, START, WINDOW, World};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// After a message's time, its end has been told within this.
const SLACK: Duration = Duration::from_millis(3500);
/// A wait or a drain binds from when it was told, and this later; calls that were on their way are let through.
const WAY: Duration = Duration::from_millis(250);
const DRAIN: Duration = Duration::from_millis(2250);

/// A partner that came back cold at this moment, bearing so many calls a second when warm.
#[derive(Debug, Clone, Copy)]
pub struct Cold {
    pub partner: usize,
    pub at: Instant,
    pub capacity: f64,
}

/// What is promised in a story.
#[derive(Debug, Clone, Default)]
pub struct Promise {
    /// What was answered 202 gets an end: no folder was lost, old or damaged.
    pub none_lost: bool,
    /// Told waits are kept through restarts.
    pub waits: bool,
    pub cold: Vec<Cold>,
}

/// Waits until every message that was taken on is over, one way or the other, or should have been long ago.
pub fn settle(world: &World) {
    let handed = world.handed.lock().unwrap().clone();
    let life = |h: &Handed| if h.class == "orders" { ORDER_LIFE } else { NOTICE_LIFE };
    let open = |h: &&Handed| h.status == Some(202) && !ended(world, &h.id);
    let last = handed.iter().map(|h| h.at + life(h) + SLACK).max();
    while last.is_some_and(|at| Instant::now() < at) && handed.iter().filter(open).count() > 0 {
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn ended(world: &World, id: &str) -> bool {
    world.effects(id) > 0 || !world.notices(id).is_empty()
}

/// All that is broken, in words.
pub fn broken(world: &World, promise: &Promise) -> Vec<String> {
    let mut found = Vec::new();
    let mut by_id: BTreeMap<String, Vec<Handed>> = BTreeMap::new();
    for h in world.handed.lock().unwrap().iter() {
        by_id.entry(h.id.clone()).or_default().push(h.clone());
    }
    for (id, handed) in &by_id {
        let (effects, notices) = (world.effects(id), world.notices(id));
        let class = handed[0].class;
        if class == "orders" && effects > 1 {
            found.push(format!("once-only {id} ran {effects} times"));
        }
        if class == "notices" && effects > 1 {
            found.push(format!(
                "keyed {id} took effect {effects} times, its window of {WINDOW:?} passed between"
            ));
        }
        let taken = handed.iter().any(|h| h.status == Some(202));
        if promise.none_lost && taken && effects == 0 && notices.is_empty() {
            found.push(format!("{id} ({class}) was answered 202 and has no end"));
        }
        let returned = notices.iter().any(|n| n.contains("returned"));
        if returned && effects > 0 && class == "orders" {
            found.push(format!("{id} was handed back as harmless, and ran"));
        }
        let states: std::collections::BTreeSet<bool> =
            notices.iter().map(|n| n.contains("returned")).collect();
        if states.len() > 1 && class == "orders" {
            found.push(format!("{id} has two ends: {notices:?}"));
        }
    }
    // What happened to the messages that are named.
    if !found.is_empty() {
        let first = world.handed.lock().unwrap().first().map(|h| h.at);
        let ms = |at: Instant| first.map_or(0, |f| at.saturating_duration_since(f).as_millis());
        for (id, handed) in &by_id {
            if found.iter().any(|f| f.split(' ').any(|w| w == id.as_str())) {
                let calls = world.partners.iter().flat_map(|p| p.calls.lock().unwrap().clone());
                let calls: Vec<_> =
                    calls.filter(|c| c.id == *id).map(|c| (ms(c.at), c.relay, c.ran)).collect();
                let handed: Vec<_> = handed.iter().map(|h| (ms(h.at), h.relay, h.status)).collect();
                let downs: Vec<_> = world.downs.iter().map(|(i, at)| (*i, ms(*at))).collect();
                eprintln!(
                    "{id}: handed in {handed:?}, calls {calls:?}, notices {:?}, downs {downs:?}",
                    world.notices(id)
                );
            }
        }
    }
    for (p, partner) in world.partners.iter().enumerate() {
        let calls = partner.calls.lock().unwrap();
        let strange = calls.iter().filter(|c| !by_id.contains_key(&c.id));
        found.extend(strange.map(|c| {
            format!("relay {} called partner {p} with `{}`, which no client handed in", c.relay, c.id)
        }));
        if promise.waits {
            for (relay, from, until) in partner.told.lock().unwrap().iter() {
                // An answer that was on its way when the relay went down was told to nobody.
                let on_its_way = |(i, at): &(usize, Instant)| i == relay && *at > *from && *at < *from + WAY;
                if world.downs.iter().any(on_its_way) {
                    continue;
                }
                // A wait binds who has heard it, and a call counts from when it left: a link may hold either.
                let gate = &world.gates[*relay][p];
                let Some(heard) = gate.heard(*from) else { continue };
                let early = |c: &&crate::partner::Call| {
                    c.relay == *relay && c.at < *until && gate.left(c.at) > heard + WAY && c.at > *from + WAY
                };
                let early = calls.iter().filter(early).count();
                if early > 0 {
                    found.push(format!(
                        "relay {relay} called partner {p} {early} times in a wait that it was told"
                    ));
                }
            }
        }
        if let Some((rev, _)) = world.drained[p] {
            for (i, m) in world.members.iter().enumerate() {
                let told = m.list.told.lock().unwrap().iter().find(|(r, _)| *r >= rev).map(|(_, at)| *at);
                let late = |at: Instant| calls.iter().filter(|c| c.relay == i && c.at > at + DRAIN).count();
                if let Some(late) = told.map(late).filter(|n| *n > 0) {
                    found.push(format!(
                        "relay {i} called partner {p} {late} times after it was told that it drains"
                    ));
                }
            }
        }
        for cold in promise.cold.iter().filter(|c| c.partner == p) {
            let since: Vec<Instant> = calls.iter().map(|c| c.at).filter(|at| *at >= cold.at).collect();
            for from in &since {
                let age = (*from - cold.at).as_secs_f64() + SPAN.as_secs_f64();
                let warm = (age * 1000.0 / COLD_MS as f64).min(1.0);
                let n = FACTOR * cold.capacity * (START + (1.0 - START) * warm) * SPAN.as_secs_f64();
                let most = n + 3.0 * n.sqrt() + 3.0;
                let came = since.iter().filter(|at| **at >= *from && **at < *from + SPAN).count();
                if came as f64 > most {
                    let after = (*from - cold.at).as_millis();
                    found.push(format!(
                        "partner {p} got {came} calls of {most:.0}, {after} ms after it came back cold"
                    ));
                    break;
                }
            }
        }
    }
    found
}

/// Panics with all that is broken.
pub fn must_hold(world: &World, promise: &Promise) {
    settle(world);
    let found = broken(world, promise);
    assert!(found.is_empty(), "{found:#?}");
}
