//! Parsing and validation of the configuration JSON.

use std::collections::HashMap;
use std::rc::Rc;

use super::{ClientLimits, Configuration, ConfigurationError, Engine, Route, RouteType, Service};
use crate::json::{self, Object};

/// Default for the maximum number of endpoints that one client attempt may be sent to.
const DEFAULT_ATTEMPTS: u64 = 3;
/// Numerically largest, and therefore lowest, priority that endpoints support.
const LOWEST_PRIORITY: u64 = 9;

/// Parses a complete configuration and makes all checks that do not depend on the current configuration.
pub fn parse(body: &[u8]) -> Result<Configuration, ConfigurationError> {
    let text = std::str::from_utf8(body).map_err(|_| ConfigurationError::NotUtf8)?;
    let value = json::parse(text)?;
    let root = Object::new(&value, "")?;
    let revision = root.integer("revision")?;
    let services = services(&root)?;
    let routes = routes(&root, &services)?;
    let limits = limits(&root)?;
    Ok(Configuration { revision, routes, services, limits })
}

fn services(root: &Object<'_>) -> Result<HashMap<String, Service>, ConfigurationError> {
    let mut services = HashMap::new();
    for object in root.objects("services")? {
        let service = service(&object)?;
        let name = service.name.clone();
        if services.insert(name.clone(), service).is_some() {
            return Err(ConfigurationError::DuplicateService(name));
        }
    }
    Ok(services)
}

fn service(object: &Object<'_>) -> Result<Service, ConfigurationError> {
    let engine = object.object("engine")?.map(|engine| read_engine(&engine)).transpose()?;
    Ok(Service {
        name: object.string("name")?.to_owned(),
        max_connections: object.integer_or("max_connections", u64::from(u16::MAX))?,
        engine,
    })
}

fn read_engine(object: &Object<'_>) -> Result<Engine, ConfigurationError> {
    Ok(Engine {
        capacity: object.integer_or("capacity", 1)?,
        kv_capacity_tokens: object.integer_or("kv_capacity_tokens", 0)?,
        chunk_size: object.integer_or("chunk_size", 1)?,
    })
}

type Routes = HashMap<String, Vec<Rc<Route>>>;

fn routes(root: &Object<'_>, services: &HashMap<String, Service>) -> Result<Routes, ConfigurationError> {
    let mut routes: Routes = HashMap::new();
    let mut names_by_key: HashMap<(String, String), String> = HashMap::new();
    for object in root.objects("routes")? {
        let route = route(&object)?;
        check(&route, services)?;
        let key = (route.host.clone(), route.path_prefix.clone());
        if let Some(first) = names_by_key.insert(key, route.name.clone()) {
            return Err(ConfigurationError::DuplicateRoute(first, route.name));
        }
        routes.entry(route.host.clone()).or_default().push(Rc::new(route));
    }
    for list in routes.values_mut() {
        list.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
    }
    Ok(routes)
}

fn check(route: &Route, services: &HashMap<String, Service>) -> Result<(), ConfigurationError> {
    if route.timeout_ms == 0 {
        return Err(ConfigurationError::ZeroTimeout(route.name.clone()));
    }
    if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') {
        return Err(ConfigurationError::InvalidPrefix(route.name.clone(), route.path_prefix.clone()));
    }
    for (service, _) in &route.split {
        if !services.contains_key(service) {
            return Err(ConfigurationError::UnknownService(route.name.clone(), service.clone()));
        }
    }
    if route.split.iter().map(|(_, weight)| weight).sum::<f64>() <= 0.0 {
        return Err(ConfigurationError::ZeroWeight(route.name.clone()));
    }
    Ok(())
}

fn route(object: &Object<'_>) -> Result<Route, ConfigurationError> {
    let name = object.string("name")?.to_owned();
    let route_type = match object.string("route_type")? {
        "idempotent" => RouteType::Idempotent,
        "non_idempotent" => RouteType::NonIdempotent,
        "streaming" => RouteType::Streaming,
        other => return Err(ConfigurationError::UnknownRouteType(name, other.to_owned())),
    };
    let timeout_ms = object.number("timeout_ms")?.max(0.0) as u64;
    Ok(Route {
        host: object.string("host")?.to_ascii_lowercase(),
        path_prefix: object.string("path_prefix")?.to_owned(),
        route_type,
        timeout_ms,
        target_latency_ms: object.number_or("target_latency_ms", timeout_ms as f64)?.max(0.0) as u64,
        priority: object.integer_or("priority", LOWEST_PRIORITY)?.min(LOWEST_PRIORITY) as u8,
        split: split(object)?,
        max_attempts: object.integer_or("max_attempts", DEFAULT_ATTEMPTS)?.clamp(1, 1000) as u32,
        retained: object.boolean("retained")?,
        retention_s: object.number_or("retention_s", 60.0)?,
        session_affinity: object.boolean("session_affinity")?,
        resumable: object.boolean("resumable")?,
        target_gap_ms: object.number_or("gap_aim_ms", 0.0)?.max(0.0) as u64,
        name,
    })
}

fn split(object: &Object<'_>) -> Result<Vec<(String, f64)>, ConfigurationError> {
    if object.get("traffic_split").is_none() {
        return Ok(vec![(object.string("service")?.to_owned(), 1.0)]);
    }
    let mut split = Vec::new();
    for part in object.objects("traffic_split")? {
        split.push((part.string("service")?.to_owned(), part.number("weight")?.max(0.0)));
    }
    Ok(split)
}

fn limits(root: &Object<'_>) -> Result<ClientLimits, ConfigurationError> {
    let default = ClientLimits::default();
    let Some(object) = root.object("limits")? else { return Ok(default) };
    Ok(ClientLimits {
        max_header_bytes: object.integer_or("max_header_bytes", default.max_header_bytes as u64)? as usize,
        max_body_bytes: object.integer_or("max_body_bytes", default.max_body_bytes as u64)? as usize,
        header_timeout_ms: object.integer_or("header_timeout_ms", default.header_timeout_ms)?,
        idle_timeout_ms: object.integer_or("idle_timeout_ms", default.idle_timeout_ms)?,
    })
}
