//! The deadline watchdog: tracks every accepted flow and reports those that miss their deadline.
//!
//! Every accepted flow must end by its deadline: delivered, or by a notice that was acknowledged. The watchdog
//! keeps the event history of each open flow and returns it once if the deadline passes without an end. The
//! history of flows that end in time is dropped. It makes no decisions and reads no clock.

use super::FlowNo;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::time::Duration;

/// How long after its deadline a flow's end may still be in transit. The platform allows 300 ms (PROTOCOL, "The
/// rules on sockets").
pub const GRACE: Duration = Duration::from_millis(250);
/// How long after a start the end of a flow that became due while no process ran may be in transit (limit: 1.5
/// s).
pub const GRACE_AFTER_START: Duration = Duration::from_millis(1200);
/// Maximum length of an event history: without it a flow of many attempts would keep all its events.
const EVENTS_MAX: usize = 40;

#[derive(Debug)]
struct WatchedFlow {
    id: String,
    since: Duration,
    deadline: Duration,
    due: Duration,
    events: Vec<(Duration, FlowEvent)>,
}

/// An event in a flow's history.
#[derive(Debug, Clone, PartialEq)]
pub enum FlowEvent {
    /// A call was requested: number of the attempt, real server, and when it is given up.
    Sent(u32, u32, Duration),
    /// A call ended: number of the attempt and outcome.
    CallEnded(u32, &'static str),
    /// The module stopped waiting for a call.
    Stopped(u32),
    /// The flow ended: how, and whether a notice is pending for it.
    Ended(&'static str, bool),
    /// Its notice was passed to the task that notifies the platform.
    Notifying,
}

/// Open flows with their deadlines.
#[derive(Debug, Default)]
pub struct DeadlineWatchdog {
    watched: BTreeMap<FlowNo, WatchedFlow>,
    by_due: BTreeSet<(Duration, FlowNo)>,
    missed: u64,
}

impl DeadlineWatchdog {
    /// Watches a flow that was accepted, or taken over from an earlier process (`recovered`).
    pub fn watch(&mut self, flow: FlowNo, id: &str, now: Duration, deadline: Duration, recovered: bool) {
        let due_at =
            if recovered { (now + GRACE_AFTER_START).max(deadline + GRACE) } else { deadline + GRACE };
        let watched =
            WatchedFlow { id: id.to_string(), since: now, deadline, due: due_at, events: Vec::new() };
        self.by_due.insert((due_at, flow));
        self.watched.insert(flow, watched);
    }

    /// Records an event of a flow; flows that have ended are ignored.
    pub fn record(&mut self, flow: FlowNo, now: Duration, event: FlowEvent) {
        if let Some(w) = self.watched.get_mut(&flow)
            && w.events.len() < EVENTS_MAX
        {
            w.events.push((now, event));
        }
    }

    /// Stops watching a flow that has ended. Returns its event history if that was too late.
    pub fn resolve(&mut self, flow: FlowNo, now: Duration) -> Option<String> {
        let w = self.watched.remove(&flow)?;
        if !self.by_due.remove(&(w.due, flow)) || now <= w.due {
            return None;
        }
        self.missed += 1;
        Some(event_history(flow, &w, now))
    }

    /// The event histories of flows past their deadline; each is returned once.
    pub fn overdue(&mut self, now: Duration) -> Vec<String> {
        let mut reports = Vec::new();
        while let Some((due, flow)) = self.by_due.first().copied().filter(|(due, _)| *due < now) {
            self.by_due.remove(&(due, flow));
            self.missed += 1;
            reports.extend(self.watched.get(&flow).map(|w| event_history(flow, w, now)));
        }
        reports
    }

    /// When the next flow becomes due.
    pub fn next_due(&self) -> Option<Duration> {
        self.by_due.first().map(|(due, _)| *due)
    }

    /// Number of open flows.
    pub fn open(&self) -> usize {
        self.watched.len()
    }

    /// Number of missed deadlines so far.
    pub fn missed(&self) -> u64 {
        self.missed
    }
}

fn event_history(flow: FlowNo, w: &WatchedFlow, now: Duration) -> String {
    let at = |t: Duration| t.saturating_sub(w.since).as_millis();
    let mut text = format!(
        "flow {} ({}) is without its end {} ms after its deadline of {} ms:",
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
            FlowEvent::Ended(end, true) => write!(text, "{end}, a notice is pending;"),
            FlowEvent::Ended(end, false) => write!(text, "{end};"),
            FlowEvent::Notifying => write!(text, "notifying;"),
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
    fn a_missed_deadline_is_reported_once_with_its_history_and_a_met_one_is_not() {
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
            [
                "flow 1 (a) is without its end 251 ms after its deadline of 2000 ms: +10 call 0 to 7 until +2000;"
            ]
        );
        assert!(watchdog.overdue(ms(9000)).is_empty(), "reported once");
        assert_eq!((watchdog.resolve(FlowNo(1), ms(9000)), watchdog.open(), watchdog.missed()), (None, 0, 1));
    }

    #[test]
    fn a_late_end_is_reported_even_if_it_was_not_checked_before() {
        let mut watchdog = DeadlineWatchdog::default();
        watchdog.watch(FlowNo(1), "a", ms(0), ms(100), false);
        watchdog.record(FlowNo(1), ms(90), FlowEvent::Ended("failed", true));
        watchdog.record(FlowNo(1), ms(91), FlowEvent::Notifying);
        let history = watchdog.resolve(FlowNo(1), ms(1100)).unwrap();
        assert!(history.ends_with("+90 failed, a notice is pending; +91 notifying;"), "{history}");
        assert_eq!((watchdog.open(), watchdog.next_due()), (0, None));
    }

    #[test]
    fn a_flow_due_while_no_process_ran_has_time_from_the_start() {
        let mut watchdog = DeadlineWatchdog::default();
        watchdog.watch(FlowNo(1), "a", ms(9000), ms(100), true);
        assert!(watchdog.overdue(ms(10_200)).is_empty());
        assert_eq!(watchdog.overdue(ms(10_201)).len(), 1);
    }
}
