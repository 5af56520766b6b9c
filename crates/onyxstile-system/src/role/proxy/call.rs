//! One client request: its route, service and deadlines.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Uri};

use crate::clock::Instant;
use crate::configuration::{Configuration, Route, RouteType};
use crate::prefix::{self, Part};
use crate::unit_hash::unit_hash;

/// Deadline of requests without a `Deadline-Ms` header, in ms.
const DEFAULT_DEADLINE_MS: u64 = 30_000;

/// A turn may have this many times the events that its tokens take, and [`EVENTS_MARGIN`] more.
const EVENTS_MARGIN_FACTOR: u64 = 2;
/// Events of a turn beyond those of its tokens.
const EVENTS_MARGIN: u64 = 16;

/// Hop-by-hop headers, and headers that the proxy sets itself.
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

/// Whether a header is forwarded.
pub(super) fn is_forwarded(name: &HeaderName) -> bool {
    !NOT_FORWARDED.contains(&name.as_str())
}

/// Turn of a program with a token budget.
#[derive(Debug, Clone)]
pub(super) struct TurnRequest {
    /// Name of the program.
    pub program: String,
    /// Tokens that all turns of the program together may generate.
    pub budget: u64,
    /// Maximum number of tokens that this turn may generate.
    pub max_tokens: u64,
}

/// One client request.
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
    /// The earlier of the client's deadline and the route's timeout.
    pub expires_at: Instant,
    /// The client's deadline.
    pub deadline: Instant,
    pub parts: Vec<Part>,
    pub turn: Option<TurnRequest>,
    /// Time until the program is expected to finish, in ms.
    pub finish_ms: Option<f64>,
    pub previous: Option<String>,
    pub last_event: Option<String>,
}

impl Call {
    /// Parses a request's head. `fraction` is a random number in 0..1 that selects the service of a split route for requests
    /// without a session.
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

    /// Whether the route's responses are event streams.
    pub(super) fn is_stream(&self) -> bool {
        self.route.route_type == RouteType::Streaming
    }

    /// Whether the call may be the first of its program: a stream that names no previous turn and does not resume an
    /// interrupted stream.
    pub(super) fn may_be_first(&self) -> bool {
        self.is_stream() && self.previous.is_none() && self.last_event.is_none()
    }

    /// Whether the call is certainly the first of its program. On routes that don't retain turns, only the claims on the budget
    /// show whether it is.
    pub(super) fn is_certainly_first(&self) -> bool {
        self.may_be_first() && (self.route.retained || self.turn.is_none())
    }

    /// Whether the client requires a version of the weights. A 421 may then mean that the endpoint has another version.
    pub(super) fn expects_version(&self) -> bool {
        self.headers.contains_key("expect-version")
    }

    /// Number of tokens in one event of a stream.
    pub(super) fn tokens_per_event(&self) -> u64 {
        let service = self.configuration.services.get(&*self.service);
        service.and_then(|service| service.engine.as_ref()).map_or(1, |engine| engine.chunk_size)
    }

    /// Maximum number of events in the answer: those of the turn, with a margin for events without tokens.
    pub(super) fn events_max(&self) -> u64 {
        let max_tokens = self.turn.as_ref().map_or(0, |turn| turn.max_tokens);
        if max_tokens == 0 {
            return u64::MAX;
        }
        let events = max_tokens.div_ceil(self.tokens_per_event().max(1));
        events.saturating_mul(EVENTS_MARGIN_FACTOR).saturating_add(EVENTS_MARGIN)
    }

    /// Capacity of an endpoint's KV cache, in tokens.
    pub(super) fn engine_capacity_tokens(&self) -> u64 {
        let service = self.configuration.services.get(&*self.service);
        service.and_then(|service| service.engine.as_ref()).map_or(0, |engine| engine.kv_capacity_tokens)
    }

    /// Time from `now` until the call expires.
    pub(super) fn remaining(&self, now: Instant) -> Duration {
        self.expires_at.since(now)
    }

    /// Latest time at which the response may end.
    pub(super) fn latest_response_end(&self) -> Instant {
        if self.is_stream() { self.deadline } else { self.expires_at }
    }

    /// How long the route's turns are kept after their end, in ms.
    pub(super) fn retention_ms(&self) -> u64 {
        (self.route.retention_s * 1000.0) as u64
    }

    /// Target latency: a response within this time has its full utility.
    pub(super) fn target_latency(&self) -> Duration {
        Duration::from_millis(self.route.target_latency_ms)
    }

    /// Headers of a request to the endpoint `instance`.
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
