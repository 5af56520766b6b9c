//! Events as people and scripts read them.

use crate::about::{about, name};
use crate::events::event::What;
use crate::events::{Effect, End, Event, FileHeader, Listed, Outcome, Report, Stage, State, Why};
use serde_json::{Map, Value, json};
use std::fmt::Write;

/// The name of an outcome.
pub fn outcome(n: i32) -> &'static str {
    match Outcome::try_from(n).unwrap_or_default() {
        Outcome::Unknown => "unknown",
        Outcome::Success => "success",
        Outcome::Failure => "failure",
        Outcome::Overloaded => "overloaded",
        Outcome::TimedOut => "timed_out",
        Outcome::Unreachable => "unreachable",
        Outcome::Broken => "broken",
        Outcome::Withdrawn => "withdrawn",
        Outcome::Void => "void",
    }
}

/// The name of a flow's end.
pub fn end(n: i32) -> &'static str {
    match End::try_from(n).unwrap_or_default() {
        End::Unknown => "unknown",
        End::Delivered => "delivered",
        End::Failed => "failed",
        End::Returned => "returned",
        End::Over => "over",
    }
}

/// The name of a reason for which a flow was not taken on.
pub fn why(n: i32) -> &'static str {
    match Why::try_from(n).unwrap_or_default() {
        Why::Unknown => "unknown",
        Why::Module => "module",
        Why::GivenUp => "given_up",
        Why::Full => "full",
        Why::Journal => "journal",
        Why::Script => "script",
        Why::Ending => "ending",
        Why::NamesUnknown => "names_unknown",
    }
}

fn effect(n: i32) -> &'static str {
    match Effect::try_from(n).unwrap_or_default() {
        Effect::Unknown => "unknown",
        Effect::Repeatable => "repeatable",
        Effect::Keyed => "keyed",
        Effect::Once => "once",
    }
}

/// The name of what the module takes a real server for.
pub fn state(n: i32) -> &'static str {
    match State::try_from(n).unwrap_or_default() {
        State::Unknown => "unknown",
        State::Well => "well",
        State::Warming => "warming",
        State::Down => "down",
    }
}

fn listed(n: i32) -> &'static str {
    match Listed::try_from(n).unwrap_or_default() {
        Listed::Unknown => "unknown",
        Listed::Up => "up",
        Listed::Draining => "draining",
        Listed::Removed => "removed",
    }
}

fn stage(n: i32) -> &'static str {
    match Stage::try_from(n).unwrap_or_default() {
        Stage::Unknown => "unknown",
        Stage::Serving => "serving",
        Stage::Draining => "draining",
        Stage::Stopped => "stopped",
    }
}

fn report(fields: &mut Vec<(&'static str, Value)>, report: &Option<Report>) {
    if let Some(r) = report {
        fields.push(("limit_left", json!(f64::from(r.left) / 1e6)));
        fields.push(("limit_per_s", json!(r.per_1000_s as f64 / 1e3)));
    }
}

/// What an event says beside whose it is.
fn fields(what: &What) -> Vec<(&'static str, Value)> {
    match what {
        What::Offered(e) => vec![
            ("id", json!(e.id)),
            ("life_us", json!(e.life_us)),
            ("aim_us", json!(e.aim_us)),
            ("effect", json!(effect(e.effect))),
            ("size", json!(e.size)),
        ],
        What::Taken(_) | What::NoticeOwed(_) | What::NoticeHeard(_) | What::WaitEnded(_) => vec![],
        What::TurnedDown(e) => {
            let mut fields = vec![("why", json!(why(e.why))), ("wait_us", json!(e.wait_us))];
            if !e.id.is_empty() {
                fields.push(("id", json!(e.id)));
            }
            fields
        }
        What::Recovered(e) => vec![
            ("id", json!(e.id)),
            ("life_us", json!(e.life_us)),
            ("attempts", json!(e.attempts)),
            ("may_have_run", json!(e.may_have_run)),
            ("effect", json!(effect(e.effect))),
            ("aim_us", json!(e.aim_us)),
        ],
        What::Sent(e) => vec![("attempt", json!(e.attempt)), ("patience_us", json!(e.patience_us))],
        What::AttemptEnded(e) => {
            let mut fields = vec![
                ("attempt", json!(e.attempt)),
                ("outcome", json!(outcome(e.outcome))),
                ("elapsed_us", json!(e.elapsed_us)),
            ];
            report(&mut fields, &e.report);
            fields
        }
        What::AttemptStopped(e) => vec![("attempt", json!(e.attempt))],
        What::WaitTold(e) => {
            vec![("wait_us", json!(e.wait_us)), ("server_alone", json!(e.server_alone))]
        }
        What::TimerFired(e) => vec![("firings", json!(e.firings)), ("won", json!(e.won))],
        What::Health(e) => vec![
            ("from", json!(state(e.from))),
            ("to", json!(state(e.to))),
            ("after", json!(outcome(e.after))),
        ],
        What::Probed(e) => {
            let mut fields = vec![];
            match e.outcome {
                0 => fields.push(("asked", json!(true))),
                n => fields.push(("outcome", json!(outcome(n)))),
            }
            report(&mut fields, &e.report);
            fields
        }
        What::ListChanged(e) => vec![("address", json!(e.address)), ("state", json!(listed(e.state)))],
        What::ConfigurationChanged(e) => vec![("taken", json!(e.taken)), ("servers", json!(e.servers))],
        What::Ended(e) => vec![
            ("end", json!(end(e.end))),
            ("elapsed_us", json!(e.elapsed_us)),
            ("attempts", json!(e.attempts)),
            ("wait_us", json!(e.wait_us)),
            ("late", json!(e.late)),
        ],
        What::Phase(e) => vec![("stage", json!(stage(e.stage)))],
        What::Dropped(e) => vec![("events", json!(e.events)), ("disk", json!(e.disk))],
    }
}

/// All of an event by field names: number, wall time, relay, name, whose it is, what it says.
fn all(header: &FileHeader, number: u64, event: &Event) -> Vec<(&'static str, Value)> {
    let at = header.start_us.saturating_add(event.at_us);
    let source = header.sources.get(event.source as usize);
    let relay = source.map_or(header.relay.as_str(), |s| s.relay.as_str());
    let mut out = vec![
        ("n", json!(number)),
        ("time_us", json!(at)),
        ("relay", json!(relay)),
        ("event", json!(name(event))),
    ];
    let its = about(event);
    out.extend(its.flow.map(|n| ("flow", json!(n))));
    let names = [
        ("class", its.class),
        ("customer", its.customer),
        ("destination", its.destination),
        ("server", its.server),
    ];
    out.extend(names.iter().filter(|(_, v)| !v.is_empty()).map(|(k, v)| (*k, json!(v))));
    out.extend(event.what.iter().flat_map(fields));
    out
}

/// An event as one line of JSON.
pub fn json_line(header: &FileHeader, number: u64, event: &Event) -> String {
    let map: Map<String, Value> =
        all(header, number, event).into_iter().map(|(k, v)| (k.to_string(), v)).collect();
    Value::Object(map).to_string()
}

/// An event as one line for people.
pub fn line(header: &FileHeader, number: u64, event: &Event) -> String {
    let mut out = String::new();
    for (key, value) in all(header, number, event) {
        let _ = match (key, value) {
            ("n", v) => write!(out, "{:>8}", v.as_u64().unwrap_or(0)),
            ("time_us", v) => write!(out, "  {}", time(v.as_u64().unwrap_or(0))),
            ("relay", Value::String(v)) => write!(out, "  {v}"),
            ("event", Value::String(v)) => write!(out, "  {v:<15}"),
            (key, Value::String(v)) => write!(out, " {key}={v}"),
            (key, v) if key.ends_with("_us") => {
                let span = v.as_u64().unwrap_or(0) as f64 / 1e3;
                write!(out, " {}={span:.3}ms", key.trim_end_matches("_us"))
            }
            (key, v) => write!(out, " {key}={v}"),
        };
    }
    out
}

/// A wall time, microseconds since 1970, in UTC (RFC 3339).
pub fn time(us: u64) -> String {
    let (seconds, us) = (us / 1_000_000, us % 1_000_000);
    let (days, of_day) = ((seconds / 86_400) as i64, seconds % 86_400);
    // Days since 0000-03-01, in eras of 400 years.
    let z = days + 719_468;
    let (era, of_era) = (z.div_euclid(146_097), z.rem_euclid(146_097));
    let year_of_era = (of_era - of_era / 1460 + of_era / 36_524 - of_era / 146_096) / 365;
    let of_year = of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let m = (5 * of_year + 2) / 153;
    let (day, month) = (of_year - (153 * m + 2) / 5 + 1, if m < 10 { m + 3 } else { m - 9 });
    let year = year_of_era + era * 400 + i64::from(month <= 2);
    let (h, min, s) = (of_day / 3600, of_day / 60 % 60, of_day % 60);
    format!("{year:04}-{month:02}-{day:02}T{h:02}:{min:02}:{s:02}.{us:06}Z")
}

/// Reads a wall time: RFC 3339 in UTC (`2026-12-01T14:02:00Z`, with or without fraction, date and `Z`), or seconds
/// since 1970. A time without a date is of the day of `near` (microseconds since 1970).
pub fn read_time(text: &str, near: u64) -> Option<u64> {
    if let Ok(seconds) = text.parse::<f64>() {
        return (0.0..1e12).contains(&seconds).then_some((seconds * 1e6) as u64);
    }
    let text = text.trim_end_matches('Z');
    let (date, clock) = text.split_once('T').map_or((None, text), |(d, c)| (Some(d), c));
    let numbers = |text: &str, by: char| -> Option<Vec<u64>> {
        text.split(by).map(|p| (p.len() <= 4).then(|| p.parse().ok()).flatten()).collect()
    };
    let (clock, fraction) = clock.split_once('.').unwrap_or((clock, ""));
    let clock = numbers(clock, ':')?;
    let [h, m] = *clock.get(..2)? else { return None };
    let s = clock.get(2).copied().unwrap_or(0);
    if clock.len() > 3 || h > 23 || m > 59 || s > 60 || fraction.len() > 6 {
        return None;
    }
    let us: u64 = if fraction.is_empty() { 0 } else { format!("{fraction:0<6}").parse().ok()? };
    let day = match date {
        None => near / 86_400_000_000,
        Some(date) => {
            let [y, mo, d] = *numbers(date, '-')?.get(..3)? else { return None };
            if !(1970..=9999).contains(&y) || !(1..=12).contains(&mo) || !(1..=31).contains(&d) {
                return None;
            }
            let y = if mo <= 2 { y - 1 } else { y };
            let (era, of_era) = (y / 400, y % 400);
            let of_year = (153 * (if mo > 2 { mo - 3 } else { mo + 9 }) + 2) / 5 + d - 1;
            (era * 146_097 + of_era * 365 + of_era / 4 - of_era / 100 + of_year).checked_sub(719_468)?
        }
    };
    Some((day * 86_400 + h * 3600 + m * 60 + s) * 1_000_000 + us)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn times_are_written_and_read_alike() {
        for (us, text) in [
            (0, "1970-01-01T00:00:00.000000Z"),
            (951_782_400_000_001, "2000-02-29T00:00:00.000001Z"),
            (1_796_133_720_500_000, "2026-12-01T14:02:00.500000Z"),
        ] {
            assert_eq!(time(us), text);
            assert_eq!(read_time(text, 0), Some(us));
        }
        let near = read_time("2026-12-01T14:02:00Z", 0).unwrap();
        assert_eq!(read_time("14:05", near), Some(near + 180_000_000));
        assert_eq!(read_time("1796133720.5", 0), Some(1_796_133_720_500_000));
        for bad in ["", "x", "25:00", "14", "2026-13-01T00:00:00Z", "2026-12-01T14:02:00+04:00"] {
            assert!(read_time(bad, 0).is_none_or(|_| bad == "14"), "{bad}");
        }
    }
}
