//! Hosts many controllers on one pipe.

use crate::fields::{Fields, Malformed, excerpt, long_excerpt, write_ms};
use onyxstile::Controller;
use onyxstile::api::*;
use onyxstile::settings::{self, Names};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

/// Number of list slots; lists are numbered from 0 to 15.
const MAX_LISTS: usize = 16;

/// An entry of a list, not yet resolved for an instance.
#[derive(Clone)]
pub struct ListEntry {
    endpoint: String,
    zone: String,
    kind: String,
    destination: DestinationId,
    state: ListState,
    rate: f64,
    line: u64,
}

impl ListEntry {
    pub fn parse(fields: &mut Fields<'_>, line: u64) -> Result<Self, Malformed> {
        let endpoint = fields.word("endpoint")?.to_string();
        let zone = fields.word("site")?.to_string();
        let kind = fields.word("hw")?.to_string();
        let destination = DestinationId(integer(fields.word("cell")?, "cell")?);
        let state = match fields.word("stageState")? {
            "live" => ListState::Live,
            "quiescing" => ListState::Draining,
            "dead" => ListState::Gone,
            other => {
                return Err(Malformed::new("stageState", format!("`{}` is unknown", excerpt(other))));
            }
        };
        let rate = fields.optional_number::<f64>("units")?.unwrap_or(0.0);
        if fields.optional("sinceMs")?.map(|w| crate::fields::time(w, "sinceMs")).transpose().is_err() {
            return Err(Malformed::new("sinceMs", "is not a time in milliseconds"));
        }
        Ok(ListEntry { endpoint, zone, kind, destination, state, rate, line })
    }
}

struct Instance {
    controller: Controller,
    names: Names,
    endpoints: BTreeMap<String, EndpointId>,
    addresses: Vec<String>,
    events: Vec<Event>,
    addressed: bool,
}

impl Instance {
    fn endpoint(&mut self, address: &str) -> EndpointId {
        if let Some(id) = self.endpoints.get(address) {
            return *id;
        }
        let id = EndpointId(self.addresses.len() as u32);
        self.addresses.push(address.to_string());
        self.endpoints.insert(address.to_string(), id);
        id
    }

    fn info(&mut self, entry: &ListEntry) -> Result<EndpointInfo, Malformed> {
        let kind = index(&self.names.kinds, &entry.kind, "hw").map_err(|e| e.at_line(entry.line))?;
        let zone = index(&self.names.zones, &entry.zone, "site").map_err(|e| e.at_line(entry.line))?;
        Ok(EndpointInfo {
            id: self.endpoint(&entry.endpoint),
            destination: entry.destination,
            kind: KindId(kind),
            zone: ZoneId(zone),
            state: entry.state,
            rate: entry.rate,
        })
    }
}

/// All instances of this process.
pub struct Host {
    now: Duration,
    started: bool,
    current: Option<u64>,
    instances: BTreeMap<u64, Instance>,
    lists: Vec<Option<Vec<ListEntry>>>,
    open_list: usize,
}

impl Host {
    pub fn new() -> Self {
        Host {
            now: Duration::ZERO,
            started: false,
            current: None,
            instances: BTreeMap::new(),
            lists: vec![None; MAX_LISTS],
            open_list: 0,
        }
    }

    /// Begins a batch at this clock, which must not go back.
    pub fn begin(&mut self, clock: Duration) -> Result<(), Malformed> {
        if self.started && clock < self.now {
            return Err(Malformed::new("clock", "is earlier than the previous one"));
        }
        self.now = clock;
        self.started = true;
        self.current = None;
        Ok(())
    }

    /// Begins a list; returns the number of entries that follow.
    pub fn begin_list(&mut self, fields: &mut Fields<'_>) -> Result<usize, Malformed> {
        let number: usize = fields.number("sheet")?;
        if number >= MAX_LISTS {
            return Err(Malformed::new("sheet", format!("{number} is above {}", MAX_LISTS - 1)));
        }
        let entries = fields.number("membersList")?;
        fields.end()?;
        self.open_list = number;
        self.lists[number] = Some(Vec::new());
        Ok(entries)
    }

    /// Adds the next entry to the open list.
    pub fn add_entry(&mut self, entry: ListEntry) {
        if let Some(entries) = &mut self.lists[self.open_list] {
            entries.push(entry);
        }
    }

    /// Handles any other line of a batch.
    pub fn event(&mut self, name: &str, fields: &mut Fields<'_>) -> Result<(), Malformed> {
        if name == "on" {
            self.current = Some(fields.number("sender")?);
            return fields.end();
        }
        let sender = self.current.ok_or_else(|| Malformed::new("on", "no instance has been selected yet"))?;
        if name == "launch" {
            let seed: u64 = fields.number("entropy")?;
            let (settings, names) = settings::read(fields.text("config")?)
                .map_err(|e| Malformed::new("config", long_excerpt(&e.to_string())))?;
            let controller = Controller::new(settings, seed, self.now)
                .map_err(|e| Malformed::new("config", e.to_string()))?;
            let fresh = Instance {
                controller,
                names,
                endpoints: BTreeMap::new(),
                addresses: Vec::new(),
                events: Vec::new(),
                addressed: true,
            };
            self.instances.insert(sender, fresh);
            return Ok(());
        }
        if name == "crash_now" {
            self.instances.remove(&sender);
            return fields.end();
        }
        let Some(instance) = self.instances.get_mut(&sender) else {
            return Err(Malformed::new("sender", format!("instance {sender} has not been launched")));
        };
        instance.addressed = true;
        match name {
            "announce" => {
                let how = fields.word("how")?;
                let list_number: Option<usize> = fields.optional_number("sheet")?;
                fields.optional_number::<u64>("seqNo")?;
                if how == "unavailable" {
                    instance.events.push(Event::ListUnavailable);
                    return Ok(());
                }
                let entries = list_number.and_then(|s| self.lists.get(s)).and_then(Option::as_ref);
                let entries =
                    entries.ok_or_else(|| Malformed::new("sheet", "refers to no list sent before"))?;
                let list = entries.iter().map(|r| instance.info(r)).collect::<Result<Vec<_>, _>>()?;
                instance.events.push(match how {
                    "update" => Event::ListUpdate(list),
                    "replace" | "restored" => Event::ListReplaced(list),
                    other => return Err(Malformed::new("how", format!("`{}` is unknown", excerpt(other)))),
                });
            }
            "order" => {
                let id = MessageId(fields.number("xid")?);
                let class = ClassId(index(&instance.names.classes, fields.word("band")?, "band")?);
                let tenant = match fields.optional("account")? {
                    None | Some("0") => None,
                    Some(name) => Some(TenantId(index(&instance.names.tenants, name, "account")?)),
                };
                let key = fields.optional_number("targetKey")?.map(OrderKey);
                let remaining = fields.time("remainingMs")?;
                fields.optional("weightHintMs")?;
                let destination = DestinationId(integer(fields.word("terminatesAt")?, "terminatesAt")?);
                fields.optional_number::<u64>("marks")?;
                instance.events.push(Event::Message(NewMessage {
                    id,
                    class,
                    tenant,
                    key,
                    destination,
                    remaining,
                    past: Past::default(),
                }));
            }
            "result" => {
                let id = MessageId(fields.number("xid")?);
                let attempt = fields.number("copy")?;
                let endpoint = instance.endpoint(fields.word("endpoint")?);
                let reason = fields.word("reason")?;
                let elapsed = fields.time("spentMs")?;
                let terminal = fields.flag("terminal")?;
                let detail =
                    fields.optional("detail")?.map(|w| crate::fields::time(w, "detail")).transpose()?;
                let outcome = outcome(reason, detail)?;
                let limit = limit_report(fields)?;
                let end = AttemptEnd { id, attempt, endpoint, outcome, elapsed, terminal, limit };
                instance.events.push(Event::Outcome(end));
            }
            "aborted" => instance.events.push(Event::Withdrawn(MessageId(fields.number("xid")?))),
            "wake" => instance.events.push(Event::Wake(fields.number("nonce")?)),
            "probed" => {
                let endpoint = instance.endpoint(fields.word("endpoint")?);
                let outcome = outcome(fields.word("reason")?, None)?;
                fields.time("spentMs")?;
                let limit = limit_report(fields)?;
                instance.events.push(Event::Probed { endpoint, outcome, limit });
            }
            // Streams and peers are validated but not used in decisions.
            "first" => {
                fields.number::<u64>("xid")?;
                fields.number::<u32>("copy")?;
                fields.word("endpoint")?;
                fields.time("spentMs")?;
            }
            "whisper" => {
                fields.number::<u64>("neighbour")?;
                fields.optional("bytes")?;
            }
            other => {
                return Err(Malformed::new("message name", format!("`{}` is unknown", excerpt(other))));
            }
        }
        fields.end()
    }

    /// Ends the batch: steps every instance that was addressed and writes its actions.
    pub fn finish(&mut self, reply: &mut String) {
        let mut actions = Vec::new();
        for (number, instance) in &mut self.instances {
            if !std::mem::take(&mut instance.addressed) {
                continue;
            }
            actions.clear();
            instance.controller.step(self.now, &instance.events, &mut actions);
            instance.events.clear();
            if !actions.is_empty() {
                let _ = writeln!(reply, "at {number}");
            }
            for action in &actions {
                write_action(reply, action, &instance.addresses);
            }
        }
        reply.push_str("done\n");
    }
}

fn write_action(out: &mut String, action: &Action, addresses: &[String]) {
    let _ = match action {
        Action::Send { id, endpoint, give_up_at } => {
            let _ = write!(out, "hand_off {} {} ", id.0, addresses[endpoint.0 as usize]);
            write_ms(out, *give_up_at);
            writeln!(out)
        }
        Action::Refuse { id, wait } => {
            let _ = write!(out, "overload_reply {} ", id.0);
            write_ms(out, *wait);
            writeln!(out)
        }
        Action::Fail(id) => writeln!(out, "end_failed {}", id.0),
        Action::Cancel { id, attempt } => writeln!(out, "abandon {} {attempt}", id.0),
        Action::Wake { after, token } => {
            out.push_str("schedule ");
            write_ms(out, *after);
            writeln!(out, " {token}")
        }
        Action::Release(endpoint) => writeln!(out, "release {}", addresses[endpoint.0 as usize]),
        Action::Probe(endpoint) => writeln!(out, "sample {}", addresses[endpoint.0 as usize]),
        Action::Subscribe => writeln!(out, "observe 1"),
        Action::Note(_) => Ok(()),
        Action::Log(text) => writeln!(out, "write_log {}", text.replace(['\n', '\r'], " ")),
    };
}

fn index(names: &[String], name: &str, field: &'static str) -> Result<usize, Malformed> {
    let found = names.iter().position(|n| n == name);
    found.ok_or_else(|| Malformed::new(field, format!("`{}` is not in the settings", excerpt(name))))
}

/// An integer, possibly with a fraction of zeros.
fn integer(word: &str, field: &'static str) -> Result<u64, Malformed> {
    let digits = word.split_once('.').filter(|(_, part)| part.bytes().all(|b| b == b'0'));
    let digits = digits.map_or(word, |(whole, _)| whole);
    digits.parse().map_err(|_| Malformed::new(field, format!("`{}` is not an integer", excerpt(word))))
}

fn outcome(reason: &str, detail: Option<Duration>) -> Result<Outcome, Malformed> {
    Ok(match reason {
        "success" => Outcome::Success,
        "failure" => Outcome::Failure,
        "overloaded" => Outcome::Overloaded { wait: detail.filter(|d| !d.is_zero()) },
        "timed_out" => Outcome::TimedOut,
        "unreachable" => Outcome::Unreachable,
        "broken" => Outcome::Broken,
        "withdrawn" => Outcome::Withdrawn,
        "void" => Outcome::Void,
        other => return Err(Malformed::new("reason", format!("`{}` is unknown", excerpt(other)))),
    })
}

fn limit_report(fields: &mut Fields<'_>) -> Result<Option<LimitReport>, Malformed> {
    let Some(pairs) = fields.optional("healthInfo")? else { return Ok(None) };
    let (mut left, mut rate) = (None, None);
    for pair in pairs.split(',') {
        let Some((name, value)) = pair.split_once(':') else {
            return Err(Malformed::new(
                "healthInfo",
                format!("`{}` is not a name and a value", excerpt(pair)),
            ));
        };
        let value = value.parse::<f64>().ok().filter(|v| v.is_finite());
        let value = value
            .ok_or_else(|| Malformed::new("healthInfo", format!("`{}` has no number", excerpt(pair))))?;
        match name {
            "x0" => left = Some(value),
            "x1" => rate = Some(value),
            _ => {}
        }
    }
    Ok(left.zip(rate).map(|(left, rate)| LimitReport { left, rate }))
}
