//! The table: from a request's host and target to the location that holds it, and what follows from that.

mod check;
mod hosts;
mod request;
mod resolution;
#[cfg(test)]
mod tests;

pub use check::BuildError;
pub use request::Request;
pub use resolution::{Counted, CountedAs, Passed, Place, Resolution};

use std::collections::BTreeSet;
use std::net::IpAddr;

use check::{allowed, check_upstream};
use hosts::HostNames;

use crate::config::{AccessRule, HostConfig, LocationConfig, Match, Method, RoutingConfig, ZoneConfig};
use crate::location::{Entry, Level};
use crate::path::escape;
use crate::vars::{Template, Variables};

/// Locations inside one another, at most.
const DEPTH_MAX: usize = 16;

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
    /// Builds the table and checks all that it refers to.
    ///
    /// # Errors
    /// What cannot work, by the entry that it is in.
    pub fn build(config: &RoutingConfig) -> Result<Table, BuildError> {
        let variables = Variables::build(&config.geo, &config.map).map_err(BuildError)?;
        let custom = |name: &str| variables.knows(name);
        let template = |text: &str, what: &dyn Fn() -> String| {
            Template::parse(text, &custom).map_err(|v| BuildError(format!("{}: `${v}` is not known", what())))
        };
        let mut zone_keys = Vec::new();
        let mut zone_names = BTreeSet::new();
        for zone in &config.zone {
            let what = || format!("zone `{}`", zone.name);
            if !zone_names.insert(&zone.name) {
                return Err(BuildError(format!("{} stands twice", what())));
            }
            if zone.rate_per_s.is_some_and(|r| !r.is_finite() || r <= 0.0) || zone.keys == 0 {
                return Err(BuildError(format!("{}: its rate and its keys have to be above 0", what())));
            }
            zone_keys.push(template(&zone.key, &what)?);
        }
        let mut upstreams = Vec::new();
        let mut destinations = BTreeSet::new();
        for u in &config.upstream {
            check_upstream(u)?;
            if !destinations.insert(u.destination)
                || config.upstream.iter().filter(|o| o.name == u.name).count() > 1
            {
                return Err(BuildError(format!(
                    "upstream `{}`: its name or destination stands twice",
                    u.name
                )));
            }
            let key = match u.method {
                Method::Hash | Method::Consistent => {
                    Some(template(&u.key, &|| format!("upstream `{}`", u.name))?)
                }
                _ => None,
            };
            upstreams.push(Upstream {
                name: u.name.clone(),
                destination: u.destination,
                method: u.method,
                key,
            });
        }
        let zones = config.zone.clone();
        let mut table = Table {
            names: HostNames::default(),
            hosts: Vec::new(),
            locations: Vec::new(),
            upstreams,
            zones,
            zone_keys,
            variables,
        };
        for host in &config.host {
            table.add_host(host)?;
        }
        Ok(table)
    }

    fn add_host(&mut self, host: &HostConfig) -> Result<(), BuildError> {
        let number = self.hosts.len();
        let shown = host.names.first().cloned().unwrap_or_default();
        let wrong = |e: String| BuildError(format!("host `{shown}`: {e}"));
        for name in &host.names {
            self.names.insert(name, number).map_err(wrong)?;
        }
        if host.default {
            self.names.default = number;
        }
        let level = self.level(&host.location, 0).map_err(wrong)?;
        self.hosts.push(Host { shown, level });
        Ok(())
    }

    fn level(&mut self, locations: &[LocationConfig], depth: usize) -> Result<Level, String> {
        if depth > DEPTH_MAX {
            return Err("locations too deep in one another".into());
        }
        let mut entries = Vec::new();
        for l in locations {
            let modifier = match l.kind {
                Match::Prefix | Match::Named => "",
                Match::PrefixFirst => "^~ ",
                Match::Exact => "= ",
                Match::Regex => "~ ",
                Match::RegexNoCase => "~* ",
            };
            let shown = format!("{modifier}{}", l.path);
            let wrong = |e: String| format!("location `{shown}`: {e}");
            let plain = matches!(l.kind, Match::Prefix | Match::PrefixFirst | Match::Exact);
            if plain && !l.path.starts_with('/') {
                return Err(wrong("its path has to begin with `/`".into()));
            }
            if !plain && l.uri.is_some() {
                return Err(wrong("`uri` needs a path whose place it can take".into()));
            }
            if l.uri.as_ref().is_some_and(|u| !u.starts_with('/')) {
                return Err(wrong("`uri` has to begin with `/`".into()));
            }
            let upstream = l.upstream.as_ref().map(|name| {
                let at = self.upstreams.iter().position(|u| u.name == *name);
                at.ok_or_else(|| wrong(format!("there is no upstream `{name}`")))
            });
            let upstream = upstream.transpose()?;
            let mut limits = Vec::new();
            let zone = |name: &str, rate: bool| {
                let at = self.zones.iter().position(|z| z.name == name && z.rate_per_s.is_some() == rate);
                let kind = if rate { "with a rate" } else { "without a rate" };
                at.ok_or_else(|| wrong(format!("there is no zone `{name}` {kind}")))
            };
            for limit in &l.limit_req {
                limits.push((zone(&limit.zone, true)?, CountedAs::Rate { burst: limit.burst }));
            }
            for limit in &l.limit_conn {
                limits.push((zone(&limit.zone, false)?, CountedAs::InHand { most: limit.most }));
            }
            let number = self.locations.len();
            self.locations.push(Location {
                shown,
                prefix: plain.then_some(l.path.len()),
                upstream,
                uri: l.uri.clone(),
                answer: l.answer,
                access: l.access.clone(),
                limits,
                max_body: l.max_body,
            });
            let inside = self.level(&l.location, depth + 1)?;
            entries.push(Entry { kind: l.kind, path: l.path.clone(), number, inside });
        }
        Level::build(entries)
    }

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
