//! The operator's configuration: routes, services and limits, read and checked whole.
//!
//! The same reading serves the controllers (which refuse what is invalid) and the proxies (which act on it), so that
//! nothing can be acknowledged that a proxy would read otherwise.

mod read;

pub use read::parse;

use std::collections::HashMap;

use quick_error::quick_error;

use crate::balance::ConnectionLimit;
use crate::json::JsonError;

/// A version number of the operator's.
pub type Revision = u64;

quick_error! {
    /// Why a configuration is invalid.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ConfigurationError {
        /// It is no JSON, or a field is missing or of another type.
        Json(error: JsonError) {
            from()
            display("{}", error)
        }
        /// The body is not text.
        NotText {
            display("the body is not UTF-8")
        }
        /// A route names a service that the configuration lacks.
        UnknownService(route: String, service: String) {
            display("route {} names the unknown service {}", route, service)
        }
        /// Two routes have the same host and prefix.
        DuplicateRoute(first: String, second: String) {
            display("routes {} and {} have the same host and prefix", first, second)
        }
        /// Two services have the same name.
        DuplicateService(name: String) {
            display("service {} stands twice", name)
        }
        /// The weights of a route's split sum to 0.
        NoWeight(route: String) {
            display("the weights of route {} sum to 0", route)
        }
        /// A route's time-out is 0.
        NoTimeout(route: String) {
            display("the timeout_ms of route {} is 0", route)
        }
        /// A route's prefix does not begin and end with a slash.
        Prefix(route: String, prefix: String) {
            display("the prefix {} of route {} does not begin and end with a slash", prefix, route)
        }
        /// A route's type is none of the known ones.
        RouteType(route: String, name: String) {
            display("route {} has the unknown type {}", route, name)
        }
        /// The revision is not above the current one.
        OldRevision(revision: Revision, current: Revision) {
            display("revision {} is not above the current {}", revision, current)
        }
    }
}

/// What may be repeated on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteType {
    /// May run more than once.
    Idempotent,
    /// Runs once at most.
    NonIdempotent,
    /// A stream of events, which runs once at most unless the route is resumable.
    Streaming,
}

/// Where the requests of one host and prefix go and how they are treated.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The operator's name for it.
    pub name: String,
    /// The host, in lower case.
    pub host: String,
    /// The prefix of the path, which begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub route_type: RouteType,
    /// Longest time that the operator wants a request held, in ms.
    pub timeout_ms: u64,
    /// The time within which an answer earns its full worth, in ms.
    pub target_latency_ms: u64,
    /// The rank; 0 is the highest.
    pub priority: u8,
    /// Services with their weights; one with weight 1 where the route isn't split.
    pub split: Vec<(String, f64)>,
    /// The largest number of endpoints to which one try may be sent.
    pub max_attempts: u32,
    /// Whether the system keeps the turns.
    pub retained: bool,
    /// How long a turn is kept, in seconds.
    pub retention_s: f64,
    /// Whether a session prefers the endpoint that served it last.
    pub session_affinity: bool,
    /// Whether a stream may be taken up at another endpoint.
    pub resumable: bool,
    /// The longest pause between events that keeps an answer in time, in ms.
    pub target_gap_ms: u64,
}

impl Route {
    /// Whether a request of this route may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.route_type {
            RouteType::Idempotent => true,
            RouteType::NonIdempotent => false,
            RouteType::Streaming => self.resumable,
        }
    }
}

/// What is known of a service's model endpoints.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Requests that one endpoint runs at once.
    pub capacity: u64,
    /// Tokens that one endpoint's memory holds.
    pub kv_capacity_tokens: u64,
    /// Tokens in one event of a stream.
    pub chunk_size: u64,
}

/// A service that endpoints register for.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Connections that one endpoint takes from all callers together.
    pub max_connections: u64,
    /// Its model endpoints, where it has any.
    pub engine: Option<Engine>,
}

/// Bounds on what clients may send.
#[derive(Debug, Clone, PartialEq)]
pub struct ClientLimits {
    /// Most bytes of a request's head.
    pub max_header_bytes: usize,
    /// Most bytes of a request's body.
    pub max_body_bytes: usize,
    /// Time for a request's head, in ms.
    pub header_timeout_ms: u64,
    /// Time that a connection may rest, in ms.
    pub idle_timeout_ms: u64,
}

impl Default for ClientLimits {
    fn default() -> Self {
        ClientLimits {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout_ms: 3000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// One whole, valid configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// The operator's number for it.
    pub revision: Revision,
    /// Routes by host; the longest prefix first.
    pub routes: HashMap<String, Vec<std::rc::Rc<Route>>>,
    /// Services by name.
    pub services: HashMap<String, Service>,
    /// Bounds for clients.
    pub limits: ClientLimits,
}

impl Configuration {
    /// What the endpoints of each service take: all relays call model endpoints, for their prompts are read there.
    pub fn connection_limits(&self) -> HashMap<String, ConnectionLimit> {
        let limit = |service: &Service| ConnectionLimit {
            connections: service.max_connections,
            is_called_by_all: service.engine.is_some(),
        };
        self.services.iter().map(|(name, service)| (name.clone(), limit(service))).collect()
    }

    /// The route of a request: of the routes of its host, the one with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&std::rc::Rc<Route>> {
        let lower;
        let host = if host.bytes().any(|byte| byte.is_ascii_uppercase()) {
            lower = host.to_ascii_lowercase();
            &lower
        } else {
            host
        };
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.routes.get(host).or_else(|| self.routes.get(name))?;
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }
}
