//! What an operator may ask for: `[undelivered]` and its rules.

use serde::Deserialize;
use std::fmt;
use std::time::Duration;

/// When messages go again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum When {
    /// Once calls to the destination have not failed for so long.
    Well(Duration),
    /// The same, between two times of the day (UTC, from midnight). They may span midnight.
    Daily(Duration, Duration, Duration),
    /// When a person says so.
    Hand,
}

/// Which of several goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Order {
    /// The one that failed first.
    #[default]
    Oldest,
    /// The one that failed last.
    Newest,
}

/// A rule. The first that fits a message is its rule.
#[derive(Debug, Clone, PartialEq)]
pub struct Rule {
    /// Classes that it is for; empty: all.
    pub classes: Vec<String>,
    /// Destinations that it is for; empty: all.
    pub destinations: Vec<u64>,
    /// Whether messages are kept at all.
    pub keep: bool,
    /// Where room is short, the lowest goes first.
    pub rank: u32,
    /// When they go again.
    pub when: When,
    /// Resends that begin for a destination in a second, at most.
    pub per_s: f64,
    /// Resends of a destination that are open at once, at most; it begins with one.
    pub at_once: usize,
    /// Which goes first.
    pub order: Order,
    /// Resends of a message, at most.
    pub tries: u32,
    /// Time before its second; doubled for each further one, 64 times at most.
    pub pause: Duration,
}

impl Rule {
    fn fits(&self, class: &str, destination: u64) -> bool {
        (self.classes.is_empty() || self.classes.iter().any(|c| c == class))
            && (self.destinations.is_empty() || self.destinations.contains(&destination))
    }
}

/// All rules, and how much is kept.
#[derive(Debug, Clone, PartialEq)]
pub struct Rules {
    /// In their order.
    pub rules: Vec<Rule>,
    /// How long a message is kept.
    pub keep_for: Duration,
    /// Messages, at most.
    pub most: usize,
    /// Bytes of messages, at most.
    pub bytes: u64,
    /// Of these, bytes of one customer.
    pub customer_bytes: u64,
}

impl Rules {
    /// The rule of a message, if it is kept.
    pub fn of(&self, class: &str, destination: u64) -> Option<&Rule> {
        self.rules.iter().find(|r| r.fits(class, destination)).filter(|r| r.keep)
    }
}

/// What is wrong with a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wrong(pub String);

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "undelivered: {}", self.0)
    }
}

impl std::error::Error for Wrong {}

/// A rule as it stands in the file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RuleTable {
    #[serde(default)]
    class: Vec<String>,
    #[serde(default)]
    destination: Vec<u64>,
    #[serde(default = "yes")]
    keep: bool,
    #[serde(default = "one")]
    rank: u32,
    #[serde(default = "well")]
    when: String,
    #[serde(default = "ten")]
    well_s: f64,
    from: Option<String>,
    to: Option<String>,
    #[serde(default = "two")]
    per_s: f64,
    #[serde(default = "four")]
    at_once: usize,
    #[serde(default)]
    order: Order,
    #[serde(default = "fifty")]
    tries: u32,
    #[serde(default = "thirty")]
    pause_s: f64,
}

fn yes() -> bool {
    true
}
fn one() -> u32 {
    1
}
fn well() -> String {
    "well".into()
}
fn ten() -> f64 {
    10.0
}
fn two() -> f64 {
    2.0
}
fn four() -> usize {
    4
}
fn fifty() -> u32 {
    50
}
fn thirty() -> f64 {
    30.0
}

fn time_of_day(text: &str) -> Option<Duration> {
    let (hours, minutes) = text.split_once(':')?;
    let (hours, minutes): (u64, u64) = (hours.parse().ok()?, minutes.parse().ok()?);
    (hours < 24 && minutes < 60 && text.len() == 5).then(|| Duration::from_secs(hours * 3600 + minutes * 60))
}

impl RuleTable {
    /// Checks it.
    ///
    /// # Errors
    /// A figure that cannot work.
    pub fn check(&self) -> Result<Rule, Wrong> {
        let wrong = |what: &str| Err(Wrong(what.to_string()));
        let seconds =
            |s: f64| Duration::try_from_secs_f64(s).ok().filter(|d| *d <= Duration::from_secs(30 * 86_400));
        let Some(well) = seconds(self.well_s) else { return wrong("`well_s` has to be from 0 to 30 days") };
        let Some(pause) = seconds(self.pause_s) else {
            return wrong("`pause_s` has to be from 0 to 30 days");
        };
        if !(0.01..=1000.0).contains(&self.per_s) {
            return wrong("`per_s` has to be from 0.01 to 1000");
        }
        if !(1..=1000).contains(&self.at_once) || !(1..=1000).contains(&self.tries) {
            return wrong("`at_once` and `tries` have to be from 1 to 1000");
        }
        let time = |text: &Option<String>| text.as_deref().and_then(time_of_day);
        let when = match (self.when.as_str(), time(&self.from), time(&self.to)) {
            ("well", ..) => When::Well(well),
            ("hand", ..) => When::Hand,
            ("daily", Some(from), Some(to)) if from != to => When::Daily(from, to, well),
            ("daily", ..) => return wrong("`daily` needs `from` and `to`, as \"06:30\" (UTC)"),
            _ => return wrong("`when` is `well`, `daily` or `hand`"),
        };
        if self.when != "daily" && (self.from.is_some() || self.to.is_some()) {
            return wrong("`from` and `to` go with `when = \"daily\"`");
        }
        Ok(Rule {
            classes: self.class.clone(),
            destinations: self.destination.clone(),
            keep: self.keep,
            rank: self.rank,
            when,
            per_s: self.per_s,
            at_once: self.at_once,
            order: self.order,
            tries: self.tries,
            pause,
        })
    }
}
