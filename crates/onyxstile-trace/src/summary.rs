//! Counts: what became of flows, by class, customer, destination, real server and span of time.

use crate::about::about;
use crate::events::event::What;
use crate::events::{End, Event, Outcome};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Values that are kept one by one before a histogram is made of them: most names have few.
const FEW: usize = 24;

/// Spans of time, in microseconds.
#[derive(Debug, Clone)]
enum Times {
    Few(Vec<u64>),
    Many(Box<Histogram<u64>>),
}

impl Default for Times {
    fn default() -> Self {
        Times::Few(Vec::new())
    }
}

impl Times {
    fn add(&mut self, us: u64) {
        match self {
            Times::Few(few) if few.len() < FEW => few.push(us),
            Times::Few(few) => {
                // Two digits over up to an hour; what is longer counts as an hour.
                let Ok(mut many) = Histogram::new_with_bounds(1, 3_600_000_000, 2) else { return };
                few.iter().chain([&us]).for_each(|v| many.saturating_record(*v));
                *self = Times::Many(Box::new(many));
            }
            Times::Many(many) => many.saturating_record(us),
        }
    }

    /// Median, 90th, 99th part of a hundred, and longest.
    fn quantiles(&self) -> [u64; 4] {
        match self {
            Times::Few(few) if few.is_empty() => [0; 4],
            Times::Few(few) => {
                let mut sorted = few.clone();
                sorted.sort_unstable();
                let at =
                    |q: f64| sorted[((sorted.len() as f64 * q).ceil() as usize).clamp(1, sorted.len()) - 1];
                [at(0.5), at(0.9), at(0.99), at(1.0)]
            }
            Times::Many(many) => [0.5, 0.9, 0.99, 1.0].map(|q| many.value_at_quantile(q).min(many.max())),
        }
    }
}

/// What is counted for a name.
#[derive(Debug, Default, Clone, Serialize)]
pub struct Counts {
    /// Flows that clients handed in.
    pub offered: u64,
    /// Taken on.
    pub taken: u64,
    /// Not taken on.
    pub turned_down: u64,
    /// Taken up by a process from an earlier one.
    pub recovered: u64,
    /// Delivered.
    pub delivered: u64,
    /// Of these, after their aim.
    pub late: u64,
    /// Given up.
    pub failed: u64,
    /// Handed back after they had been taken on.
    pub returned: u64,
    /// Attempts that were sent.
    pub attempts: u64,
    /// Attempts that were answered with a success.
    pub succeeded: u64,
    /// Attempts turned away above a limit, or by a server that was shut.
    pub refused: u64,
    /// Attempts answered with an error.
    pub errors: u64,
    /// Attempts without an answer in time.
    pub timed_out: u64,
    /// Attempts that found no connection.
    pub unreachable: u64,
    /// Attempts whose connection broke.
    pub broken: u64,
    /// Attempts called off, or never sent.
    pub called_off: u64,
    /// Waits that real servers told.
    pub waits: u64,
    /// How long they were, together, microseconds.
    pub waited_us: u64,
    /// Timers that fired.
    pub timers: u64,
    /// Of these, whose roll was won.
    pub rolls_won: u64,
    /// Median, 90%, 99% and longest time from the taking on to the delivery, microseconds.
    pub delivery_us: [u64; 4],
    /// The same of attempts that succeeded.
    pub attempt_us: [u64; 4],
    #[serde(skip)]
    deliveries: Times,
    #[serde(skip)]
    successes: Times,
}

impl Counts {
    fn add(&mut self, event: &Event) {
        match &event.what {
            Some(What::Offered(_)) => self.offered += 1,
            Some(What::Taken(_)) => self.taken += 1,
            Some(What::TurnedDown(e)) => {
                self.turned_down += 1;
                // Turned down before it had a number: it was handed in all the same.
                self.offered += u64::from(!e.id.is_empty());
            }
            Some(What::Recovered(_)) => self.recovered += 1,
            Some(What::Ended(e)) => match End::try_from(e.end) {
                Ok(End::Delivered) => {
                    self.delivered += 1;
                    self.late += u64::from(e.late);
                    self.deliveries.add(e.elapsed_us);
                }
                Ok(End::Failed) => self.failed += 1,
                Ok(End::Returned) => self.returned += 1,
                _ => {}
            },
            Some(What::Sent(_)) => self.attempts += 1,
            Some(What::AttemptEnded(e)) => match Outcome::try_from(e.outcome) {
                Ok(Outcome::Success) => {
                    self.succeeded += 1;
                    self.successes.add(e.elapsed_us);
                }
                Ok(Outcome::Failure) => self.errors += 1,
                Ok(Outcome::Overloaded) => self.refused += 1,
                Ok(Outcome::TimedOut) => self.timed_out += 1,
                Ok(Outcome::Unreachable) => self.unreachable += 1,
                Ok(Outcome::Broken) => self.broken += 1,
                _ => self.called_off += 1,
            },
            Some(What::WaitTold(e)) => {
                self.waits += 1;
                self.waited_us += e.wait_us;
            }
            Some(What::TimerFired(e)) => {
                self.timers += 1;
                self.rolls_won += u64::from(e.won);
            }
            _ => {}
        }
    }

    fn close(&mut self) {
        (self.delivery_us, self.attempt_us) = (self.deliveries.quantiles(), self.successes.quantiles());
    }

    fn columns(&self) -> [(&'static str, u64); 28] {
        let [d50, d90, d99, d100] = self.delivery_us;
        let [a50, a90, a99, a100] = self.attempt_us;
        [
            ("offered", self.offered),
            ("taken", self.taken),
            ("turned_down", self.turned_down),
            ("recovered", self.recovered),
            ("delivered", self.delivered),
            ("late", self.late),
            ("failed", self.failed),
            ("returned", self.returned),
            ("attempts", self.attempts),
            ("succeeded", self.succeeded),
            ("refused", self.refused),
            ("errors", self.errors),
            ("timed_out", self.timed_out),
            ("unreachable", self.unreachable),
            ("broken", self.broken),
            ("called_off", self.called_off),
            ("waits", self.waits),
            ("waited_us", self.waited_us),
            ("timers", self.timers),
            ("rolls_won", self.rolls_won),
            ("delivery_p50_us", d50),
            ("delivery_p90_us", d90),
            ("delivery_p99_us", d99),
            ("delivery_max_us", d100),
            ("attempt_p50_us", a50),
            ("attempt_p90_us", a90),
            ("attempt_p99_us", a99),
            ("attempt_max_us", a100),
        ]
    }
}

/// A summary of events.
#[derive(Debug, Default, Serialize)]
pub struct Summary {
    /// Wall times of the first and last event, microseconds since 1970.
    pub from_us: u64,
    /// See `from_us`.
    pub to_us: u64,
    /// Events counted.
    pub events: u64,
    /// Events that the trace itself says are not in it.
    pub dropped: u64,
    /// Share of flows that was recorded.
    pub sampled: f64,
    /// All together.
    pub all: Counts,
    /// By class.
    pub classes: BTreeMap<String, Counts>,
    /// By customer.
    pub customers: BTreeMap<String, Counts>,
    /// By destination.
    pub destinations: BTreeMap<String, Counts>,
    /// By real server.
    pub servers: BTreeMap<String, Counts>,
    /// By span of time: its beginning, wall time in microseconds.
    pub windows: BTreeMap<u64, Counts>,
    #[serde(skip)]
    window_us: u64,
    #[serde(skip)]
    names_max: usize,
}

/// Where names go for which there is no more room.
pub const OTHERS: &str = "(others)";

fn counts<'a>(among: &'a mut BTreeMap<String, Counts>, name: &str, most: usize) -> Option<&'a mut Counts> {
    if name.is_empty() {
        return None;
    }
    if !among.contains_key(name) {
        let name = if among.len() < most { name } else { OTHERS };
        return Some(among.entry(name.to_string()).or_default());
    }
    among.get_mut(name)
}

impl Summary {
    /// With spans of so long, and so many names of each sort at most; more are counted together as [`OTHERS`].
    pub fn new(window_us: u64, names_max: usize, sampled: u32) -> Summary {
        let sampled = f64::from(sampled) / 1e6;
        Summary { window_us: window_us.max(1), names_max, sampled, ..Summary::default() }
    }

    /// Counts an event that happened at a wall time.
    pub fn add(&mut self, at: u64, event: &Event) {
        self.from_us = if self.events == 0 { at } else { self.from_us.min(at) };
        (self.to_us, self.events) = (self.to_us.max(at), self.events + 1);
        if let Some(What::Dropped(e)) = &event.what {
            self.dropped += e.events;
        }
        let (its, most) = (about(event), self.names_max);
        self.all.add(event);
        let of = [
            (&mut self.classes, its.class),
            (&mut self.customers, its.customer),
            (&mut self.destinations, its.destination),
            (&mut self.servers, its.server),
        ];
        for (among, name) in of {
            counts(among, name, most).into_iter().for_each(|c| c.add(event));
        }
        let window = at - at % self.window_us;
        if self.windows.len() < most || self.windows.contains_key(&window) {
            self.windows.entry(window).or_default().add(event);
        }
    }

    /// Works out what is not a plain count.
    pub fn close(&mut self) {
        let names = [&mut self.classes, &mut self.customers, &mut self.destinations, &mut self.servers];
        names.into_iter().flat_map(|m| m.values_mut()).for_each(Counts::close);
        self.windows.values_mut().for_each(Counts::close);
        self.all.close();
    }

    /// Rows: what they are by, the name, the counts; all if nothing is said of what they are to be by.
    fn rows(&self, wanted: &[String]) -> Vec<(&'static str, String, &Counts)> {
        let mut rows = vec![("all", String::new(), &self.all)];
        let named = [
            ("class", &self.classes),
            ("customer", &self.customers),
            ("destination", &self.destinations),
            ("server", &self.servers),
        ];
        for (by, map) in named {
            rows.extend(map.iter().map(|(name, c)| (by, name.clone(), c)));
        }
        rows.extend(self.windows.iter().map(|(at, c)| ("window", crate::text::time(*at), c)));
        rows.retain(|(by, ..)| *by == "all" || wanted.is_empty() || wanted.iter().any(|w| w == by));
        rows
    }

    /// As lines of comma-separated values (RFC 4180); by what rows are wanted, or all.
    pub fn csv(&self, wanted: &[String]) -> String {
        let heads: Vec<_> = self.all.columns().iter().map(|(name, _)| *name).collect();
        let mut out = format!("by,name,{}\r\n", heads.join(","));
        for (by, name, counts) in self.rows(wanted) {
            let quoted = name.contains([',', '"', '\r', '\n']);
            let name = if quoted { format!("\"{}\"", name.replace('"', "\"\"")) } else { name };
            let values: Vec<_> = counts.columns().iter().map(|(_, v)| v.to_string()).collect();
            let _ = write!(out, "{by},{name},{}\r\n", values.join(","));
        }
        out
    }

    /// As a table for people; by what rows are wanted, or all.
    pub fn text(&self, wanted: &[String]) -> String {
        let mut out = format!(
            "{} to {}: {} events{}{}\n",
            crate::text::time(self.from_us),
            crate::text::time(self.to_us),
            self.events,
            if self.dropped > 0 { format!(", {} more were dropped", self.dropped) } else { String::new() },
            if self.sampled < 1.0 {
                format!(", {:.1}% of flows", self.sampled * 100.0)
            } else {
                String::new()
            }
        );
        let _ = writeln!(
            out,
            "{:<12} {:<28} {:>8} {:>8} {:>7} {:>9} {:>6} {:>6} {:>6} {:>8} {:>7} {:>6} {:>7} {:>9} {:>9}",
            "by",
            "name",
            "offered",
            "taken",
            "turned",
            "delivered",
            "late",
            "failed",
            "back",
            "attempts",
            "refused",
            "t.outs",
            "waits",
            "p50 ms",
            "p99 ms"
        );
        for (by, name, c) in self.rows(wanted) {
            let [p50, _, p99, _] = if by == "server" { c.attempt_us } else { c.delivery_us };
            let _ = writeln!(
                out,
                "{by:<12} {name:<28} {:>8} {:>8} {:>7} {:>9} {:>6} {:>6} {:>6} {:>8} {:>7} {:>6} {:>7} {:>9.1} {:>9.1}",
                c.offered,
                c.taken,
                c.turned_down,
                c.delivered,
                c.late,
                c.failed,
                c.returned,
                c.attempts,
                c.refused,
                c.timed_out,
                c.waits,
                p50 as f64 / 1e3,
                p99 as f64 / 1e3
            );
        }
        out
    }
}
