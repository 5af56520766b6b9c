//! What a request's head says of its flow.

use super::*;

/// Letters of an id, a key or a name, at most.
const WORD_MAX: usize = 200;

impl Edge {
    /// What a request's head says of its flow.
    pub(super) fn terms(
        &self, head: &Head, peer: IpAddr, length: Option<u64>,
    ) -> Result<(Terms, Option<Held>), Unfit> {
        let word = |name: &str, what: &'static str| match head.only(name).map_err(|_| what)? {
            Some(v) if v.is_empty() || v.len() > WORD_MAX || !v.bytes().all(|b| b.is_ascii_graphic()) => {
                Err(what)
            }
            other => Ok(other.map(str::to_string)),
        };
        let path = head.first[1].strip_prefix('/').ok_or("the path")?;
        let first = path.split(['/', '?']).next().unwrap_or_default().to_string();
        let named = word("x-service-class", "the class")?;
        let envelope = head.only("envelope").map_err(|_| "two envelopes")?.unwrap_or_default();
        let pairs = envelope.split([';', ',', '&', ' ']).filter_map(|p| p.split_once('='));
        let mut dests = pairs.filter(|(n, _)| n.trim() == "dest").map(|(_, v)| digits(v.trim()));
        let dest = dests.next();
        if dests.next().is_some() {
            return Err("two destinations".into());
        }
        let key = word("idempotency-key", "the key")?;
        let tenant = word("x-account", "the account")?;
        let id = word("x-correlation-id", "the id")?;
        let repeat = head.only("x-repeat").ok().flatten() == Some("again");
        let left = head.only("x-time-left-ms").ok().flatten().map(digits);
        if dest.is_none() && !self.parts.routing.is_empty() {
            // A routed client may know nothing of classes, ids or times.
            let only = || self.classes.first().filter(|_| self.classes.len() == 1).map(|c| c.0.clone());
            let class = named.or_else(only).ok_or("the class")?;
            let life = self.classes.iter().find(|c| c.0 == class).map(|c| c.1);
            let left = match left {
                Some(left) => left.map(Duration::from_millis),
                None => life,
            };
            let deadline = self.parts.clock.now() + left.ok_or("the time left")?;
            let way = self.parts.routing.way(head, peer, length, self.parts.clock.now());
            let way = way.map_err(|no| match no {
                NoWay::Limited(_) => Unfit::Limited(class.clone(), Reply::no_way(no)),
                no => Unfit::Answered(Reply::no_way(no)),
            })?;
            let id = id.unwrap_or_else(|| {
                self.ids.1.set(self.ids.1.get() + 1);
                format!("r{:x}-{:x}", self.ids.0, self.ids.1.get())
            });
            let (destination, routed) = (way.destination, Some(way.routed));
            return Ok((
                Terms { class, tenant, deadline, destination, id, key, routed, repeat },
                Some(way.held),
            ));
        }
        // The first part of the path is the class, but for paths that the operator has routed.
        let path = self.paths.iter().find(|(p, _)| head.first[1].starts_with(p.as_str()));
        if path.is_none() && named.as_ref().is_some_and(|c| *c != first) {
            return Err("two classes".into());
        }
        let class = named.filter(|_| path.is_some()).unwrap_or(first);
        let left = left.flatten().ok_or("the time left")?;
        let dest = dest.map(|d| d.map(DestinationId));
        let destination = dest.unwrap_or_else(|| path.map(|(_, d)| *d)).ok_or("the destination")?;
        let id = id.ok_or("no id")?;
        let deadline = self.parts.clock.now() + Duration::from_millis(left);
        Ok((Terms { class, tenant, deadline, destination, id, key, routed: None, repeat }, None))
    }
}

/// A number in plain digits, and no more of them than a number of use has.
fn digits(text: &str) -> Option<u64> {
    let plain = !text.is_empty() && text.len() <= 15 && text.bytes().all(|b| b.is_ascii_digit());
    text.parse().ok().filter(|_| plain)
}

/// What a head says of a flow.
pub(super) struct Terms {
    pub(super) class: String,
    pub(super) tenant: Option<String>,
    pub(super) deadline: Duration,
    pub(super) destination: DestinationId,
    pub(super) id: String,
    pub(super) key: Option<String>,
    pub(super) routed: Option<Routed>,
    /// The client marks it as handed in before, at a relay that did not answer.
    pub(super) repeat: bool,
}

/// Why a head is of no use.
pub(super) enum Unfit {
    /// It is not as it should be.
    Malformed(&'static str),
    /// A limit turns it down; its class, and the answer.
    Limited(String, Reply),
    /// It has its answer.
    Answered(Reply),
}

impl From<&'static str> for Unfit {
    fn from(what: &'static str) -> Unfit {
        Unfit::Malformed(what)
    }
}
