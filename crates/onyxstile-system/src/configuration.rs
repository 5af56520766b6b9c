//! The operator's configuration: routes, services and limits, parsed and validated as a unit.
//!
//! Controllers, which reject invalid configurations, and proxies, which apply them, share this parser, so that nothing is
//! acknowledged that a proxy would interpret differently.

mod read;

pub use read::parse;

use std::collections::HashMap;

use quick_error::quick_error;

use crate::balance::ConnectionLimit;
use crate::json::JsonError;

/// Version number of a configuration, assigned by the operator.
pub type Revision = u64;

quick_error! {
    /// Why a configuration is invalid.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ConfigurationError {
        /// The body is not JSON, or a field is missing or has the wrong type.
        Json(error: JsonError) {
            from()
            display("{}", error)
        }
        /// The body is not UTF-8.
        NotUtf8 {
            display("the body is not UTF-8")
        }
        /// A route refers to a service that is not in the configuration.
        UnknownService(route: String, service: String) {
            display("route {} refers to the unknown service {}", route, service)
        }
        /// Two routes have the same host and prefix.
        DuplicateRoute(first: String, second: String) {
            display("routes {} and {} have the same host and prefix", first, second)
        }
        /// Two services have the same name.
        DuplicateService(name: String) {
            display("service {} is defined twice", name)
        }
        /// The weights of a route's split sum to 0.
        ZeroWeight(route: String) {
            display("the weights of route {} sum to 0", route)
        }
        /// The timeout of a route is 0.
        ZeroTimeout(route: String) {
            display("the timeout_ms of route {} is 0", route)
        }
        /// A route's prefix does not begin and end with a slash.
        InvalidPrefix(route: String, prefix: String) {
            display("the prefix {} of route {} does not begin and end with a slash", prefix, route)
        }
        /// The type of a route is unknown.
        UnknownRouteType(route: String, name: String) {
            display("route {} has the unknown type {}", route, name)
        }
        /// The revision is not greater than the current one.
        StaleRevision(revision: Revision, current: Revision) {
            display("revision {} is not greater than the current revision {}", revision, current)
        }
    }
}

/// How often requests of a route may be executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteType {
    /// Requests may be executed more than once.
    Idempotent,
    /// Requests are executed at most once.
    NonIdempotent,
    /// A stream of events, executed at most once unless the route is resumable.
    Streaming,
}

/// Destination and handling of the requests for one host and path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name assigned by the operator.
    pub name: String,
    /// Host in lower case.
    pub host: String,
    /// Path prefix, which begins and ends with a slash.
    pub path_prefix: String,
    /// How often requests may be executed.
    pub route_type: RouteType,
    /// Maximum time that a request may be held, in ms.
    pub timeout_ms: u64,
    /// Latency target in ms: a response within this time has its full utility.
    pub target_latency_ms: u64,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Services with their weights: a single service with weight 1 if the route has no traffic split.
    pub split: Vec<(String, f64)>,
    /// Maximum number of endpoints that one client attempt may be sent to.
    pub max_attempts: u32,
    /// Whether the tier stores the turns.
    pub retained: bool,
    /// How long a turn is stored, in seconds.
    pub retention_s: f64,
    /// Whether a session prefers the endpoint that served it last (session affinity).
    pub session_affinity: bool,
    /// Whether a stream may be resumed at another endpoint.
    pub resumable: bool,
    /// Target for the gap between events in ms: a response with longer gaps does not count as in time.
    pub target_gap_ms: u64,
}

impl Route {
    /// Whether a request of this route may be executed more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.route_type {
            RouteType::Idempotent => true,
            RouteType::NonIdempotent => false,
            RouteType::Streaming => self.resumable,
        }
    }
}

/// Properties of the model endpoints of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Number of requests that one endpoint executes concurrently.
    pub capacity: u64,
    /// Number of tokens that the memory of one endpoint holds.
    pub kv_capacity_tokens: u64,
    /// Number of tokens per stream event.
    pub chunk_size: u64,
}

/// A service that endpoints register for.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Maximum number of connections that one endpoint accepts from all callers together.
    pub max_connections: u64,
    /// Properties of its model endpoints, if it has any.
    pub engine: Option<Engine>,
}

/// Limits on client requests and connections.
#[derive(Debug, Clone, PartialEq)]
pub struct ClientLimits {
    /// Maximum size of a request head in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// Timeout for receiving a request head, in ms.
    pub header_timeout_ms: u64,
    /// Maximum idle time of a connection, in ms.
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

/// A complete, valid configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// Version number, assigned by the operator.
    pub revision: Revision,
    /// Routes by host, ordered by descending prefix length.
    pub routes: HashMap<String, Vec<std::rc::Rc<Route>>>,
    /// Services by name.
    pub services: HashMap<String, Service>,
    /// Client limits.
    pub limits: ClientLimits,
}

impl Configuration {
    /// Connection limits per service. Model endpoints are called by all relays, because prompts are processed there.
    pub fn connection_limits(&self) -> HashMap<String, ConnectionLimit> {
        let limit = |service: &Service| ConnectionLimit {
            connections: service.max_connections,
            is_called_by_all: service.engine.is_some(),
        };
        self.services.iter().map(|(name, service)| (name.clone(), limit(service))).collect()
    }

    /// Finds the route of a request: among the routes of its host, the one with the longest prefix that matches the path.
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
