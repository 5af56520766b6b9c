//! The table: from a request's host and target to the location that holds it, and what follows from that.

mod build;
mod check;
mod hosts;
mod request;
mod resolution;
#[cfg(test)]
mod tests;

pub use check::BuildError;
pub use request::Request;
pub use resolution::{Counted, CountedAs, Passed, Place, Resolution};

use std::net::IpAddr;

use check::allowed;
use hosts::HostNames;

use crate::config::{AccessRule, Method, ZoneConfig};
use crate::location::Level;
use crate::path::escape;
use crate::vars::{Template, Variables};

#[derive(Debug)]
struct Location {
    shown: String,
    /// Bytes of the prefix that `uri` stands for; none for a regex.
    prefix: Option<usize>,
    upstream: Option<usize>,
    uri: Option<String>,
    answer: Option<u16>,
    access: Vec<AccessRule>,
    limits: Vec<(usize, CountedAs)>,
    max_body: u64,
}

#[derive(Debug)]
struct Host {
    shown: String,
    level: Level,
}

#[derive(Debug)]
struct Upstream {
    name: String,
    destination: u64,
    method: Method,
    key: Option<Template>,
}

/// The whole table, ready to be asked.
#[derive(Debug)]
pub struct Table {
    names: HostNames,
    hosts: Vec<Host>,
    locations: Vec<Location>,
    upstreams: Vec<Upstream>,
    zones: Vec<ZoneConfig>,
    zone_keys: Vec<Template>,
    variables: Variables,
}

impl Table {
    /// The zones that limits count in.
    pub fn zones(&self) -> &[ZoneConfig] {
        &self.zones
    }

    /// Whether the table routes anything.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// The host and the location that a request belongs to, by their numbers.
    pub fn find(&self, host: &str, path: &[u8]) -> (usize, Option<usize>) {
        let host = self.names.find(host);
        (host, self.hosts.get(host).and_then(|h| h.level.find(path)))
    }

    /// What becomes of a request, before its limits are counted.
    pub fn resolve(&self, request: &Request<'_>) -> Resolution {
        let (host, found) = self.find(&request.host(), request.path());
        let Some(host) = self.hosts.get(host) else { return Resolution::Unmatched(None) };
        let place = |number: Option<usize>| Place {
            host: host.shown.clone(),
            location: number.map_or(String::new(), |n| self.locations[n].shown.clone()),
        };
        // One whose target could not be carried over is asked for with its slash all the same.
        let passes =
            |n: &usize| self.locations[*n].upstream.is_some() || self.locations[*n].answer == Some(502);
        let exact = found.is_some_and(|n| self.locations[n].prefix == Some(request.path().len()));
        if !exact && let Some(slashed) = host.level.with_slash(request.path()).filter(passes) {
            let args = if request.parsed.args.is_some() { "?" } else { "" };
            let target = format!("{}/{args}{}", escape(request.path()), request.args());
            return Resolution::AddSlash(target, place(Some(slashed)));
        }
        let Some(number) = found else { return Resolution::Unmatched(Some(place(None))) };
        let location = &self.locations[number];
        // In nginx's order: `return` belongs to the rewrite phase, then access, then the content.
        if let Some(status) = location.answer {
            return Resolution::Answer(status, place(found));
        }
        if !allowed(&location.access, request.client) {
            return Resolution::Denied(place(found));
        }
        if location.max_body > 0 && request.body.is_some_and(|b| b > location.max_body) {
            return Resolution::TooLarge(place(found));
        }
        let Some(upstream) = location.upstream.map(|u| &self.upstreams[u]) else {
            return Resolution::Unmatched(Some(place(found)));
        };
        let key = match (upstream.method, &upstream.key, request.client) {
            (_, Some(template), _) => template.expand(request, &self.variables),
            // The first three octets, so that one network's clients stay together (nginx, `ip_hash`).
            (Method::IpHash, _, IpAddr::V4(a)) => a.octets()[..3].to_vec(),
            (Method::IpHash, _, IpAddr::V6(a)) => a.octets().to_vec(),
            _ => Vec::new(),
        };
        let counted = |(zone, what): &(usize, CountedAs)| {
            let key = self.zone_keys[*zone].expand(request, &self.variables);
            (!key.is_empty()).then_some(Counted { zone: *zone, key, what: *what })
        };
        Resolution::Pass(Passed {
            place: place(found),
            upstream: upstream.name.clone(),
            destination: upstream.destination,
            path: self.rewritten(location, request),
            key,
            limits: location.limits.iter().filter_map(counted).collect(),
        })
    }

    /// The target as the real server is asked for it: with a `uri` it stands in the place of the prefix, before
    /// the rest of the normal path; without one it goes on as it came (nginx, `proxy_pass`).
    fn rewritten(&self, location: &Location, request: &Request<'_>) -> String {
        let (Some(uri), Some(prefix)) = (&location.uri, location.prefix) else {
            return request.target.split('#').next().unwrap_or_default().to_string();
        };
        let rest = request.path().get(prefix..).unwrap_or_default();
        let args = request.parsed.args.as_ref().map(|a| format!("?{a}")).unwrap_or_default();
        format!("{uri}{}{args}", escape(rest))
    }
}
