//! What the relay reports of itself: one object of counts, read without a step of the owner.
//!
//! The owner feeds it where it is known what went into and came out of a step; the edge adds what it turns down by
//! itself, the calls what they have written whole. Every flow is counted once, by the process in which it ended.

use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::rc::Rc;

/// What became of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// Delivered.
    Served,
    /// Turned down, or handed back by a notice.
    Refused,
    /// Failed, at once or by a notice.
    Failed,
}

const FATES: [(Fate, &str); 3] =
    [(Fate::Served, "served"), (Fate::Refused, "refused"), (Fate::Failed, "failed")];

/// The counts of one process, from 0 at its start.
#[derive(Debug, Clone, Default)]
pub struct Figures(Rc<Counts>);

#[derive(Debug, Default)]
struct Counts {
    /// By class: its name, and how many flows met each fate, in the order of [`FATES`].
    classes: Vec<(String, [Cell<u64>; 3])>,
    attempts: Cell<u64>,
    in_flight: Cell<usize>,
    servers: RefCell<Servers>,
}

/// What is known of real servers.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Servers {
    /// In the list.
    pub known: usize,
    /// Of these, those that get nothing now: banned by an operator, or by the relay's choice.
    pub excluded: usize,
}

impl Figures {
    /// Nothing has been counted. Every class is reported from the start.
    pub fn new(classes: &[String]) -> Figures {
        let classes = classes.iter().map(|c| (c.clone(), Default::default())).collect();
        Figures(Rc::new(Counts { classes, ..Counts::default() }))
    }

    /// A flow of this class met its fate. A class that the settings do not know has no counts.
    pub fn ended(&self, class: &str, fate: Fate) {
        let of = self.0.classes.iter().find(|(name, _)| name == class);
        if let Some((_, counts)) = of {
            let count = &counts[fate as usize];
            count.set(count.get() + 1);
        }
    }

    /// A message was written whole to a real server.
    pub fn sent(&self) {
        self.0.attempts.set(self.0.attempts.get() + 1);
    }

    /// So many flows are taken and not ended.
    pub fn in_flight(&self, flows: usize) {
        self.0.in_flight.set(flows);
    }

    /// The real servers as they are now.
    pub fn servers(&self, servers: Servers) {
        self.0.servers.replace(servers);
    }

    /// All counts, a line each. Classes are the only label: `served`, `refused` and `failed` carry it.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for (n, (_, what)) in FATES.iter().enumerate() {
            for (class, counts) in &self.0.classes {
                let class = class.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n");
                let _ = writeln!(text, "svc_{what}{{class=\"{class}\"}} {}", counts[n].get());
            }
        }
        let Servers { known, excluded } = *self.0.servers.borrow();
        let single = [
            ("attempts", self.0.attempts.get()),
            ("in_flight", self.0.in_flight.get() as u64),
            ("endpoints_known", known as u64),
            ("endpoints_excluded", excluded as u64),
        ];
        for (what, count) in single {
            let _ = writeln!(text, "svc_{what} {count}");
        }
        text
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_report_has_every_class_from_the_start_and_counts_by_fate() {
        let figures = Figures::new(&["orders".into(), "a\"b".into()]);
        figures.ended("orders", Fate::Served);
        figures.ended("orders", Fate::Served);
        figures.ended("orders", Fate::Refused);
        figures.ended("a\"b", Fate::Failed);
        figures.ended("nobody's", Fate::Failed);
        figures.sent();
        figures.in_flight(14);
        figures.servers(Servers { known: 16, excluded: 2 });
        let golden = "svc_served{class=\"orders\"} 2\nsvc_served{class=\"a\\\"b\"} 0\n\
            svc_refused{class=\"orders\"} 1\nsvc_refused{class=\"a\\\"b\"} 0\n\
            svc_failed{class=\"orders\"} 0\nsvc_failed{class=\"a\\\"b\"} 1\n\
            svc_attempts 1\nsvc_in_flight 14\nsvc_endpoints_known 16\nsvc_endpoints_excluded 2\n";
        assert_eq!(figures.text(), golden);
    }
}
