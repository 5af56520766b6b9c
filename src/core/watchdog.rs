//! The vigil: an account of every promise that is open, which speaks up when one is broken.
//!
//! Each flow that was taken on owes its end by its deadline: delivered, or told by a notice that was heard.
//! The vigil keeps the story of each such flow for as long as that is owed, and hands it out once if the time
//! passes without it. Stories that end well cost a few words of memory and are never told. It decides nothing
//! and reads no clock.

use super::FlowNo;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::time::Duration;

/// How long after its deadline a flow's end may still be on its way. The platform allows 300 ms
/// (PROTOCOL, "The rules on sockets").
pub const GRACE: Duration = Duration::from_millis(250);
/// How long after a start an end that fell due while no process ran may be on its way (1.5 s there).
pub const GRACE_AFTER_START: Duration = Duration::from_millis(1200);
/// Lines of a story that are kept; without a bound a flow of many attempts would keep them all.
const EVENTS_MAX: usize = 40;

#[derive(Debug)]
struct WatchedFlow {
    id: String,
    since: Duration,
    deadline: Duration,
    due: Duration,
    events: Vec<(Duration, FlowEvent)>,
}

/// What happened to a flow, as far as its story needs it.
#[derive(Debug, Clone, PartialEq)]
pub enum FlowEvent {
    /// A call was ordered: number of the attempt, real server, and when it is given up.
    Sent(u32, u32, Duration),
    /// A call's end came in: number of the attempt, and how it ended.
    CallEnded(u32, &'static str),
    /// The module stopped waiting for a call.
    Stopped(u32),
    /// The flow's end: how, and whether a notice is owed for it.
    Ended(&'static str, bool),
    /// Its notice went to the task that tells the platform.
    Notifying,
}

/// Open promises, by flow.
#[derive(Debug, Default)]
pub struct DeadlineWatchdog {
    watched: BTreeMap<FlowNo, WatchedFlow>,
    by_due: BTreeSet<(Duration, FlowNo)>,
    missed: u64,
}

impl DeadlineWatchdog {
    /// A flow was taken on, or taken up from an earlier process (`recovered`).
    pub fn watch(&mut self, flow: FlowNo, id: &str, now: Duration, deadline: Duration, recovered: bool) {
        let due_at =
            if recovered { (now + GRACE_AFTER_START).max(deadline + GRACE) } else { deadline + GRACE };
        let watched =
            WatchedFlow { id: id.to_string(), since: now, deadline, due: due_at, events: Vec::new() };
        self.by_due.insert((due_at, flow));
        self.watched.insert(flow, watched);
    }

    /// Something happened to a flow; unknown ones have had their end.
    pub fn record(&mut self, flow: FlowNo, now: Duration, event: FlowEvent) {
        if let Some(w) = self.watched.get_mut(&flow)
            && w.events.len() < EVENTS_MAX
        {
            w.events.push((now, event));
        }
    }

    /// Nothing is owed for the flow any more. Its story, if that came too late.
    pub fn resolve(&mut self, flow: FlowNo, now: Duration) -> Option<String> {
        let w = self.watched.remove(&flow)?;
        if !self.by_due.remove(&(w.due, flow)) || now <= w.due {
            return None;
        }
        self.missed += 1;
        Some(event_history(flow, &w, now))
    }

    /// The stories of flows whose time has passed; each is told once.
    pub fn overdue(&mut self, now: Duration) -> Vec<String> {
        let mut reports = Vec::new();
        while let Some((due, flow)) = self.by_due.first().copied().filter(|(due, _)| *due < now) {
            self.by_due.remove(&(due, flow));
            self.missed += 1;
            reports.extend(self.watched.get(&flow).map(|w| event_history(flow, w, now)));
        }
        reports
    }

    /// When the next promise falls due.
    pub fn next_due(&self) -> Option<Duration> {
        self.by_due.first().map(|(due, _)| *due)
    }

    /// Promises that are open.
    pub fn open(&self) -> usize {
        self.watched.len()
    }

    /// Promises broken so far.
    pub fn missed(&self) -> u64 {
        self.missed
    }
}

fn event_history(flow: FlowNo, w: &WatchedFlow, now: Duration) -> String {
    let at = |t: Duration| t.saturating_sub(w.since).as_millis();
    let mut text = format!(
        "flow {} ({}) is without its end {} ms after its time of {} ms:",
        flow.0,
        w.id,
        now.saturating_sub(w.deadline).as_millis(),
        at(w.deadline)
    );
    for (t, event) in &w.events {
        let _ = write!(text, " +{} ", at(*t));
        let _ = match event {
            FlowEvent::Sent(n, server, until) => write!(text, "call {n} to {server} until +{};", at(*until)),
            FlowEvent::CallEnded(n, outcome) => write!(text, "call {n} {outcome};"),
            FlowEvent::Stopped(n) => write!(text, "call {n} stopped;"),
            FlowEvent::Ended(end, true) => write!(text, "{end}, a notice is owed;"),
            FlowEvent::Ended(end, false) => write!(text, "{end};"),
            FlowEvent::Notifying => write!(text, "being told;"),
        };
    }
    text
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(n: u64) -> Duration {
        Duration::from_millis(n)
    }

    #[test]
    fn a_promise_that_passes_is_told_once_with_its_story_and_one_kept_is_not() {
        let mut watchdog = DeadlineWatchdog::default();
        watchdog.watch(FlowNo(1), "a", ms(1000), ms(3000), false);
        watchdog.watch(FlowNo(2), "b", ms(1000), ms(3000), false);
        watchdog.record(FlowNo(1), ms(1010), FlowEvent::Sent(0, 7, ms(3000)));
        assert_eq!(watchdog.resolve(FlowNo(2), ms(3200)), None);
        assert_eq!(watchdog.next_due(), Some(ms(3250)));
        assert!(watchdog.overdue(ms(3250)).is_empty());
        let reports = watchdog.overdue(ms(3251));
        assert_eq!(
            reports,
            ["flow 1 (a) is without its end 251 ms after its time of 2000 ms: +10 call 0 to 7 until +2000;"]
        );
        assert!(watchdog.overdue(ms(9000)).is_empty(), "told once");
        assert_eq!((watchdog.resolve(FlowNo(1), ms(9000)), watchdog.open(), watchdog.missed()), (None, 0, 1));
    }

    #[test]
    fn an_end_that_came_too_late_is_told_also_where_nobody_looked_meanwhile() {
        let mut watchdog = DeadlineWatchdog::default();
        watchdog.watch(FlowNo(1), "a", ms(0), ms(100), false);
        watchdog.record(FlowNo(1), ms(90), FlowEvent::Ended("failed", true));
        watchdog.record(FlowNo(1), ms(91), FlowEvent::Notifying);
        let history = watchdog.resolve(FlowNo(1), ms(1100)).unwrap();
        assert!(history.ends_with("+90 failed, a notice is owed; +91 being told;"), "{history}");
        assert_eq!((watchdog.open(), watchdog.next_due()), (0, None));
    }

    #[test]
    fn what_fell_due_while_no_process_ran_has_time_from_the_start() {
        let mut watchdog = DeadlineWatchdog::default();
        watchdog.watch(FlowNo(1), "a", ms(9000), ms(100), true);
        assert!(watchdog.overdue(ms(10_200)).is_empty());
        assert_eq!(watchdog.overdue(ms(10_201)).len(), 1);
    }
}
