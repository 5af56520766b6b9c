//! One try of a client: what it asks, on which route, and how long it may take.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Uri};

use crate::clock::Instant;
use crate::configuration::{Configuration, Route, RouteType};
use crate::prefix::{self, Part};
use crate::unit_hash::unit_hash;

/// A request without a deadline of its own has this long, in ms.
const DEFAULT_DEADLINE_MS: u64 = 30_000;

/// Headers that concern one connection only, and those that the system sets anew.
const NOT_FORWARDED: [&str; 11] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "deadline-ms",
    "expect-instance",
    "priority",
];

/// Whether a header is passed along.
pub(super) fn is_forwarded(name: &HeaderName) -> bool {
    !NOT_FORWARDED.contains(&name.as_str())
}

/// What identifies a turn of a program.
#[derive(Debug, Clone)]
pub(super) struct TurnRequest {
    /// The program.
    pub program: String,
    /// The tokens that its turns together may generate.
    pub budget: u64,
    /// The most that this turn may generate.
    pub max_tokens: u64,
}

/// One try.
pub(super) struct Call {
    pub configuration: Rc<Configuration>,
    pub route: Rc<Route>,
    pub service: Rc<str>,
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub id: String,
    pub began: Instant,
    /// When the client's deadline or the route's time-out ends it.
    pub expires_at: Instant,
    /// When the client's deadline ends it.
    pub deadline: Instant,
    pub parts: Vec<Part>,
    pub turn: Option<TurnRequest>,
    /// The time until its program should be over, in ms.
    pub finish_ms: Option<f64>,
    pub previous: Option<String>,
    pub last_event: Option<String>,
}

impl Call {
    /// Reads a request's head; `roll` in 0..1 chooses among the services of a split route.
    pub(super) fn new(
        configuration: Rc<Configuration>, route: Rc<Route>, head: hyper::http::request::Parts, now: Instant,
        fraction: f64,
    ) -> Call {
        let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        let number = |name: &str| text(name).and_then(|value| value.trim().parse::<u64>().ok());
        let deadline_ms = number("deadline-ms").unwrap_or(DEFAULT_DEADLINE_MS);
        let timeout_ms = deadline_ms.min(route.timeout_ms);
        let split_by = text("session").map_or(fraction, unit_hash);
        let is_stream = route.route_type == RouteType::Streaming;
        let turn = match (text("program"), number("budget")) {
            (Some(program), Some(budget)) if is_stream => {
                let max_tokens =
                    text("token-count").and_then(|count| count.split(',').nth(1)?.trim().parse().ok());
                Some(TurnRequest { program: program.to_owned(), budget, max_tokens: max_tokens.unwrap_or(0) })
            }
            _ => None,
        };
        let parts = if is_stream { text("prompt-prefix").map(prefix::parse) } else { None };
        Call {
            service: pick_service(&route, split_by),
            id: text("request-id").unwrap_or_default().to_owned(),
            began: now,
            expires_at: now + Duration::from_millis(timeout_ms),
            deadline: now + Duration::from_millis(deadline_ms),
            parts: parts.unwrap_or_default(),
            turn,
            finish_ms: text("finish-ms").and_then(|left| left.trim().parse().ok()),
            previous: text("previous").filter(|_| route.retained).map(str::to_owned),
            last_event: text("last-event-id").map(str::to_owned),
            configuration,
            route,
            method: head.method,
            uri: head.uri,
            headers: head.headers,
            body: Bytes::new(),
        }
    }

    /// Whether the route's answers are streams of events.
    pub(super) fn is_stream(&self) -> bool {
        self.route.route_type == RouteType::Streaming
    }

    /// Whether a program may begin with it: a stream that names no turn before it, and that is not taken up after a cut.
    pub(super) fn may_be_first(&self) -> bool {
        self.is_stream() && self.previous.is_none() && self.last_event.is_none()
    }

    /// Whether a program begins with it for sure; where turns are not retained, only the claims on its budget tell.
    pub(super) fn is_certainly_first(&self) -> bool {
        self.may_be_first() && (self.route.retained || self.turn.is_none())
    }

    /// Whether its client asks for a version of weights: a 421 may then mean that the endpoint has another.
    pub(super) fn expects_version(&self) -> bool {
        self.headers.contains_key("expect-version")
    }

    /// Tokens in one event of a stream.
    pub(super) fn tokens_per_event(&self) -> u64 {
        let service = self.configuration.services.get(&*self.service);
        service.and_then(|service| service.engine.as_ref()).map_or(1, |engine| engine.chunk_size)
    }

    /// Tokens that an endpoint's memory holds.
    pub(super) fn engine_capacity_tokens(&self) -> u64 {
        let service = self.configuration.services.get(&*self.service);
        service.and_then(|service| service.engine.as_ref()).map_or(0, |engine| engine.kv_capacity_tokens)
    }

    /// Time left at `now`.
    pub(super) fn remaining(&self, now: Instant) -> Duration {
        self.expires_at.since(now)
    }

    /// When the last of its answer may come.
    pub(super) fn latest_response_end(&self) -> Instant {
        if self.is_stream() { self.deadline } else { self.expires_at }
    }

    /// The time within which an answer earns its full worth.
    pub(super) fn target_latency(&self) -> Duration {
        Duration::from_millis(self.route.target_latency_ms)
    }

    /// The headers of a send.
    pub(super) fn headers_for(&self, now: Instant, instance: &str, last_event: Option<&str>) -> HeaderMap {
        let mut headers = HeaderMap::with_capacity(self.headers.len() + 4);
        for (name, value) in &self.headers {
            if is_forwarded(name) && (last_event.is_none() || name != "last-event-id") {
                headers.append(name.clone(), value.clone());
            }
        }
        let left = self.deadline.since(now).as_millis().max(1);
        set(&mut headers, "deadline-ms", &left.to_string());
        set(&mut headers, "expect-instance", instance);
        if self.is_stream() {
            set(&mut headers, "priority", &self.route.priority.to_string());
        }
        if let Some(id) = last_event {
            set(&mut headers, "last-event-id", id);
        }
        headers
    }
}

fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

fn pick_service(route: &Route, fraction: f64) -> Rc<str> {
    let total: f64 = route.split.iter().map(|(_, weight)| weight).sum();
    let mut left = fraction * total;
    for (service, weight) in &route.split {
        left -= weight;
        if left < 0.0 {
            return service.as_str().into();
        }
    }
    let heaviest = route.split.iter().max_by(|one, other| one.1.total_cmp(&other.1));
    heaviest.map_or("", |(service, _)| service.as_str()).into()
}
