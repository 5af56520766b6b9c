//! What charts show, gathered from events in one pass, in memory that does not grow with the trace: spans of time
//! are made longer when there are too many.

use hdrhistogram::Histogram;
use onyxstile_trace::about::about;
use onyxstile_trace::events::event::What;
use onyxstile_trace::events::{End, Event, FileHeader, Outcome, State};
use onyxstile_trace::ladder::{Ladder, Rung};
use std::collections::BTreeMap;

/// Spans on a chart, at most; beyond, each two become one.
const SPANS_MAX: usize = 240;
/// Real servers on a chart of their health, at most.
const SERVERS_MAX: usize = 40;

/// Something summed up by spans of time.
#[derive(Debug)]
pub struct Spans<T> {
    start: Option<u64>,
    width: u64,
    spans: Vec<T>,
}

impl<T: Default> Spans<T> {
    fn new() -> Self {
        Spans { start: None, width: 1_000_000, spans: Vec::new() }
    }

    fn at(&mut self, at: u64, join: impl Fn(&mut T, T)) -> &mut T {
        let start = *self.start.get_or_insert(at - at % 1_000_000);
        loop {
            let n = (at.saturating_sub(start) / self.width) as usize;
            if n < SPANS_MAX {
                if self.spans.len() <= n {
                    self.spans.resize_with(n + 1, T::default);
                }
                return &mut self.spans[n];
            }
            let mut old = std::mem::take(&mut self.spans).into_iter();
            while let Some(mut one) = old.next() {
                old.next().into_iter().for_each(|other| join(&mut one, other));
                self.spans.push(one);
            }
            self.width *= 2;
        }
    }

    /// Points: seconds since the start, and a figure.
    fn points(&self, figure: impl Fn(&T) -> f64) -> Vec<(f64, f64)> {
        let width = self.width as f64 / 1e6;
        self.spans.iter().enumerate().map(|(n, s)| ((n as f64 + 0.5) * width, figure(s))).collect()
    }
}

/// A line of a chart.
#[derive(Debug)]
pub struct Line {
    /// Its name.
    pub name: String,
    /// Its points.
    pub points: Vec<(f64, f64)>,
}

/// What a real server was taken for, from when to when (seconds since the start).
#[derive(Debug)]
pub struct Bar {
    /// Its row.
    pub row: usize,
    /// From, to.
    pub span: (f64, f64),
    /// What: well 0, warming 1, down 2.
    pub state: usize,
}

/// What is drawn.
#[derive(Debug)]
pub enum Picture {
    /// Lines over time.
    Lines {
        /// What the upward axis shows.
        what: &'static str,
        /// The lines.
        lines: Vec<Line>,
    },
    /// Rows of bars over time.
    Bars {
        /// The rows' names.
        rows: Vec<String>,
        /// The bars.
        bars: Vec<Bar>,
        /// The end of time, seconds.
        end: f64,
    },
    /// A flow's rungs.
    Rungs(Vec<Rung>),
}

/// Worth in a span of time.
#[derive(Debug, Default, Clone, Copy)]
pub struct Worth {
    offered: f64,
    delivered: f64,
}

/// Times to delivery in a span of time.
#[derive(Debug)]
pub struct Latency(Histogram<u64>);

impl Default for Latency {
    fn default() -> Self {
        // Bounds that are always good: a microsecond to an hour by two digits.
        Latency(
            Histogram::new_with_bounds(1, 3_600_000_000, 2)
                .unwrap_or_else(|_| Histogram::new(2).expect("two digits")),
        )
    }
}

/// Gathers what one chart shows.
#[derive(Debug)]
pub enum Chart {
    /// Worth a second: handed in, and delivered.
    Worth(Spans<Worth>, BTreeMap<String, onyxstile_trace::events::Class>),
    /// Bands of the time to delivery.
    Latency(Spans<Latency>),
    /// Attempts turned away, by destination.
    Refusals(BTreeMap<String, Spans<u64>>),
    /// What real servers were taken for.
    Health(Health),
    /// One flow.
    Ladder(Ladder, u64),
}

/// What real servers were taken for.
#[derive(Debug, Default)]
pub struct Health {
    start: Option<u64>,
    last: u64,
    servers: BTreeMap<String, Vec<(u64, usize)>>,
}

impl Chart {
    /// A chart of a name.
    ///
    /// # Errors
    /// There is no such chart, or a ladder without a flow.
    pub fn new(name: &str, header: &FileHeader, flow: Option<u64>) -> Result<Chart, String> {
        match name {
            "worth" => {
                let classes = header.classes.iter().map(|c| (c.name.clone(), c.clone())).collect();
                Ok(Chart::Worth(Spans::new(), classes))
            }
            "latency" => Ok(Chart::Latency(Spans::new())),
            "refusals" => Ok(Chart::Refusals(BTreeMap::new())),
            "health" => Ok(Chart::Health(Health::default())),
            "ladder" if flow.is_none() => Err("a ladder needs --flow".into()),
            "ladder" => Ok(Chart::Ladder(Ladder::default(), 0)),
            other => Err(format!("`{other}` is none of worth, latency, refusals, health, ladder")),
        }
    }

    /// An event at a wall time.
    pub fn add(&mut self, at: u64, event: &Event) {
        match self {
            Chart::Worth(spans, classes) => {
                let class =
                    |c: &BTreeMap<String, onyxstile_trace::events::Class>| c.get(about(event).class).cloned();
                let full = class(classes).map_or(1.0, |c| c.worth as f64 / 1e3);
                let join = |a: &mut Worth, b: Worth| {
                    (a.offered, a.delivered) = (a.offered + b.offered, a.delivered + b.delivered);
                };
                match &event.what {
                    Some(What::Offered(_)) => spans.at(at, join).offered += full,
                    Some(What::Ended(e)) if e.end == End::Delivered as i32 => {
                        // Down by a line from the aim to the end of its time.
                        let part = class(classes).filter(|c| e.elapsed_us > c.aim_us).map_or(1.0, |c| {
                            let over = (e.elapsed_us - c.aim_us) as f64;
                            let whole = c.life_us.saturating_sub(c.aim_us).max(1) as f64;
                            1.0 - (1.0 - f64::from(c.late) / 1e3) * (over / whole).min(1.0)
                        });
                        spans.at(at, join).delivered += full * part;
                    }
                    _ => {}
                }
            }
            Chart::Latency(spans) => {
                if let Some(What::Ended(e)) = &event.what
                    && e.end == End::Delivered as i32
                {
                    let join = |a: &mut Latency, b: Latency| {
                        let _ = a.0.add(&b.0);
                    };
                    spans.at(at, join).0.saturating_record(e.elapsed_us);
                }
            }
            Chart::Refusals(by) => {
                if let Some(What::AttemptEnded(e)) = &event.what
                    && e.outcome == Outcome::Overloaded as i32
                {
                    let destination = about(event).destination;
                    let known = by.len() < 12 || by.contains_key(destination);
                    let name = if known { destination } else { "(others)" };
                    let spans = by.entry(name.to_string()).or_insert_with(Spans::new);
                    *spans.at(at, |a, b| *a += b) += 1;
                }
            }
            Chart::Health(health) => {
                health.start.get_or_insert(at);
                health.last = at;
                let state = |n: i32| match State::try_from(n) {
                    Ok(State::Down) => 2,
                    Ok(State::Warming) => 1,
                    _ => 0,
                };
                if let Some(What::Health(e)) = &event.what
                    && (health.servers.len() < SERVERS_MAX || health.servers.contains_key(&e.server))
                {
                    health.servers.entry(e.server.clone()).or_default().push((at, state(e.to)));
                }
            }
            Chart::Ladder(ladder, last) => {
                ladder.add(at, event);
                *last = at;
            }
        }
    }

    /// What is to be drawn.
    pub fn close(self) -> Picture {
        match self {
            Chart::Worth(s, _) => {
                let seconds = s.width as f64 / 1e6;
                let line = |name: &str, points| Line { name: name.into(), points };
                let offered = line("handed in", s.points(|w| w.offered / seconds));
                let delivered = line("delivered", s.points(|w| w.delivered / seconds));
                Picture::Lines { what: "worth a second", lines: vec![offered, delivered] }
            }
            Chart::Latency(s) => {
                let band = |(name, q): (&str, f64)| Line {
                    name: name.into(),
                    points: s.points(|h| h.0.value_at_quantile(q).min(h.0.max()) as f64 / 1e3),
                };
                let bands = [("median", 0.5), ("90 %", 0.9), ("99 %", 0.99)];
                Picture::Lines { what: "ms to delivery", lines: bands.into_iter().map(band).collect() }
            }
            Chart::Refusals(by) => {
                // All begin where the first does.
                let start = by.values().filter_map(|s| s.start).min().unwrap_or(0);
                let line = |(name, s): (String, Spans<u64>)| {
                    let shift = (s.start.unwrap_or(start) - start) as f64 / 1e6;
                    let seconds = s.width as f64 / 1e6;
                    let points = s.points(|n| *n as f64 / seconds).into_iter().map(|(x, y)| (x + shift, y));
                    Line { name, points: points.collect() }
                };
                Picture::Lines {
                    what: "calls turned away, a second",
                    lines: by.into_iter().map(line).collect(),
                }
            }
            Chart::Health(h) => {
                let start = h.start.unwrap_or(0);
                let seconds = |at: u64| (at - start) as f64 / 1e6;
                let end = seconds(h.last.max(start));
                let mut bars = Vec::new();
                let rows: Vec<String> = h.servers.keys().cloned().collect();
                for (row, changes) in h.servers.into_values().enumerate() {
                    let mut before = (0.0, 0);
                    for (at, state) in changes {
                        bars.push(Bar { row, span: (before.0, seconds(at)), state: before.1 });
                        before = (seconds(at), state);
                    }
                    bars.push(Bar { row, span: (before.0, end), state: before.1 });
                }
                Picture::Bars { rows, bars, end }
            }
            Chart::Ladder(ladder, last) => Picture::Rungs(ladder.rungs(last)),
        }
    }
}
