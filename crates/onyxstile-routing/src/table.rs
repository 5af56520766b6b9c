//! The table: from a request's host and target to the location that holds it, and what follows from that.

use crate::config::{
    AccessRule, HostConfig, LocationConfig, Match, Method, RoutingConfig, UpstreamConfig, ZoneConfig,
};
use crate::location::{Entry, Level, compile};
use crate::path::{PathError, Target, escape};
use crate::vars::{Template, Variables};
use regex::bytes::Regex;
use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::net::IpAddr;

/// Locations inside one another, at most.
const DEPTH_MAX: usize = 16;

/// A table that cannot work; which entry of it, and why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BuildError(pub String);

impl fmt::Display for BuildError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for BuildError {}

/// A request, as far as it is routed.
pub struct Request<'a> {
    /// Its `Host` field.
    pub host: Option<&'a str>,
    /// Its method.
    pub method: &'a str,
    /// Its target, as it came.
    pub target: &'a str,
    /// The address of its client.
    pub client: IpAddr,
    /// The value of a header field, by its name in lower case.
    pub header: &'a dyn Fn(&str) -> Option<String>,
    /// Bytes of its body, where its head says so.
    pub body: Option<u64>,
    parsed: Target,
}

impl<'a> Request<'a> {
    /// A request to be routed.
    ///
    /// # Errors
    /// A target that no path can be made of.
    pub fn new(
        host: Option<&'a str>, method: &'a str, target: &'a str, client: IpAddr,
        header: &'a dyn Fn(&str) -> Option<String>, body: Option<u64>,
    ) -> Result<Request<'a>, PathError> {
        // An IPv4 address that came by an IPv6 socket is one.
        let client = client.to_canonical();
        Ok(Request { host, method, target, client, header, body, parsed: Target::parse(target)? })
    }

    /// The normal form of its path.
    pub fn path(&self) -> &[u8] {
        &self.parsed.path
    }

    /// What follows the `?`.
    pub fn args(&self) -> &str {
        self.parsed.args.as_deref().unwrap_or_default()
    }

    /// The host that it names, in lower case and without a port.
    pub fn host(&self) -> String {
        plain_host(self.host.unwrap_or_default())
    }
}

/// A host without its port and a last dot, in lower case.
fn plain_host(host: &str) -> String {
    let end = match host.strip_prefix('[').and_then(|h| h.find(']')) {
        Some(bracket) => bracket + 2,
        None => host.find(':').unwrap_or(host.len()),
    };
    let name = &host[..end];
    name.strip_suffix('.').unwrap_or(name).to_ascii_lowercase()
}

/// What is to be done with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Resolution {
    /// It goes to a group.
    Pass(Passed),
    /// Its client may not (403).
    Denied(Place),
    /// Its body is too large (413).
    TooLarge(Place),
    /// It is answered with this status.
    Answer(u16, Place),
    /// It lacks the slash at its end (301), and would have to ask for this.
    AddSlash(String, Place),
    /// No location takes it (404).
    Unmatched(Option<Place>),
}

/// Where in the table a request belongs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// The first name of its host.
    pub host: String,
    /// Its location, as nginx would write it.
    pub location: String,
}

/// A request that a group takes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Passed {
    /// Where it belongs.
    pub place: Place,
    /// The group's name.
    pub upstream: String,
    /// The group's destination.
    pub destination: u64,
    /// The target to ask the real server for.
    pub path: String,
    /// What the group's method goes by: the client's address, the key, or nothing.
    pub key: Vec<u8>,
    /// Limits that it counts against.
    pub limits: Vec<Counted>,
}

/// A limit that a request counts against.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Counted {
    /// The zone's number in the table.
    pub zone: usize,
    /// What it counts under.
    pub key: Vec<u8>,
    /// Whether its rate counts, or its being in hand.
    pub what: CountedAs,
}

/// What of a request a limit counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CountedAs {
    /// Its rate; so many may come early.
    Rate {
        /// How many.
        burst: u32,
    },
    /// Its being in hand, with so many at once.
    InHand {
        /// How many.
        most: u32,
    },
}

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

#[derive(Debug, Default)]
struct HostNames {
    exact: HashMap<String, usize>,
    /// `*.name`, by `name`.
    leading: HashMap<String, usize>,
    /// `name.*`, by `name`.
    trailing: HashMap<String, usize>,
    regexes: Vec<(Regex, usize)>,
    default: usize,
}

impl HostNames {
    /// The host that a name belongs to: an exact one, the longest `*.name`, the longest `name.*`, the first
    /// regex, or the default (nginx, "Server names").
    fn find(&self, name: &str) -> usize {
        if let Some(host) = self.exact.get(name) {
            return *host;
        }
        let after_dots = name.char_indices().filter(|(_, c)| *c == '.').map(|(at, _)| at);
        let leading = || after_dots.clone().find_map(|at| self.leading.get(&name[at + 1..]));
        let trailing = || after_dots.clone().rev().find_map(|at| self.trailing.get(&name[..at]));
        let regex = || self.regexes.iter().find(|(r, _)| r.is_match(name.as_bytes())).map(|(_, h)| h);
        *leading().or_else(trailing).or_else(regex).unwrap_or(&self.default)
    }

    fn insert(&mut self, name: &str, host: usize) -> Result<(), String> {
        let twice = |old: Option<usize>| match old {
            Some(old) if old != host => Err(format!("the name `{name}` belongs to two hosts")),
            _ => Ok(()),
        };
        let lower = name.to_ascii_lowercase();
        if let Some(pattern) = name.strip_prefix('~') {
            self.regexes.push((compile(pattern, true).map_err(|e| format!("name `{name}`: {e}"))?, host));
            Ok(())
        } else if let Some(rest) = lower.strip_prefix("*.") {
            twice(self.leading.insert(rest.to_string(), host))
        } else if let Some(rest) = lower.strip_prefix('.') {
            twice(self.exact.insert(rest.to_string(), host))?;
            twice(self.leading.insert(rest.to_string(), host))
        } else if let Some(rest) = lower.strip_suffix(".*") {
            twice(self.trailing.insert(rest.to_string(), host))
        } else if lower.contains('*') {
            Err(format!("the name `{name}`: `*` may stand for whole parts at an end only"))
        } else {
            twice(self.exact.insert(lower, host))
        }
    }
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

fn check_upstream(u: &UpstreamConfig) -> Result<(), BuildError> {
    let wrong = |e: &str| Err(BuildError(format!("upstream `{}`: {e}", u.name)));
    let hashes = matches!(u.method, Method::Hash | Method::Consistent);
    if hashes == u.key.is_empty() {
        return wrong("a key is needed for `hash` and `consistent`, and for nothing else");
    }
    if u.server.iter().all(|s| s.backup) {
        return wrong("it has no server that is no backup");
    }
    if u.server.iter().any(|s| s.weight == 0 || s.weight > 65_535) {
        return wrong("weights are from 1 to 65535");
    }
    let without_backup = !matches!(u.method, Method::RoundRobin | Method::LeastConn);
    if without_backup && u.server.iter().any(|s| s.backup) {
        return wrong("its method knows no backup servers");
    }
    let addresses: BTreeSet<_> = u.server.iter().map(|s| s.address).collect();
    if addresses.len() < u.server.len() {
        return wrong("an address stands twice");
    }
    Ok(())
}

/// The first rule that holds the address counts; where none does, it may.
fn allowed(rules: &[AccessRule], client: IpAddr) -> bool {
    let says = |rule: &AccessRule| match rule {
        AccessRule::Allow(net) => net.contains(&client).then_some(true),
        AccessRule::Deny(net) => net.contains(&client).then_some(false),
        AccessRule::AllowAll => Some(true),
        AccessRule::DenyAll => Some(false),
    };
    rules.iter().find_map(says).unwrap_or(true)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::config::*;

    fn location(kind: Match, path: &str, uri: Option<&str>) -> LocationConfig {
        let (upstream, uri) = (Some("u".to_string()), uri.map(str::to_string));
        LocationConfig {
            path: path.into(),
            kind,
            upstream,
            uri,
            max_body: DEFAULT_BODY,
            ..LocationConfig::default()
        }
    }

    fn upstream(method: Method, key: &str) -> UpstreamConfig {
        let address = "127.0.0.1:7001".parse().unwrap();
        let peer =
            PeerConfig { address, name: String::new(), weight: 1, max_conns: 0, backup: false, down: false };
        UpstreamConfig { name: "u".into(), destination: 5, method, key: key.into(), server: vec![peer] }
    }

    fn config(locations: Vec<LocationConfig>) -> RoutingConfig {
        let host = HostConfig { names: vec!["a.example".into()], default: false, location: locations };
        RoutingConfig {
            upstream: vec![upstream(Method::RoundRobin, "")],
            host: vec![host],
            ..RoutingConfig::default()
        }
    }

    fn ask(table: &Table, host: &str, target: &str, client: &str) -> Resolution {
        let header = |name: &str| (name == "x-plant").then(|| "Gori".to_string());
        let client = client.parse().unwrap();
        table.resolve(&Request::new(Some(host), "POST", target, client, &header, Some(100)).unwrap())
    }

    fn path(table: &Table, target: &str) -> String {
        match ask(table, "a.example", target, "192.0.2.1") {
            Resolution::Pass(p) => p.path,
            other => format!("{other:?}"),
        }
    }

    #[test]
    fn hosts_are_found_in_the_documented_order() {
        let names = [
            "www.example.org",
            "*.example.org",
            "mail.*",
            "~^w.*\\.example\\.net$",
            ".example.com",
            "*.a.example.org",
        ];
        let host = |name: &&str| HostConfig { names: vec![name.to_string()], ..HostConfig::default() };
        let mut config = RoutingConfig { host: names.iter().map(host).collect(), ..RoutingConfig::default() };
        config.host.push(HostConfig { names: vec!["_".into()], default: true, location: vec![] });
        let table = Table::build(&config).unwrap();
        for (name, number) in [
            ("www.example.org", 0),
            ("WWW.Example.ORG:8080", 0),
            ("www.example.org.", 0),
            ("x.example.org", 1),
            ("x.y.example.org", 1),
            ("x.a.example.org", 5),
            ("example.org", 6),
            ("mail.example.org", 1),
            ("mail.example.info", 2),
            ("www.example.net", 3),
            ("example.com", 4),
            ("x.example.com", 4),
            ("[::1]:80", 6),
            ("", 6),
        ] {
            assert_eq!(table.find(&plain_host(name), b"/").0, number, "{name}");
        }
        let bad = |name: &str| {
            let host = HostConfig { names: vec![name.into()], ..HostConfig::default() };
            Table::build(&RoutingConfig { host: vec![host], ..RoutingConfig::default() }).is_err()
        };
        assert!(bad("a.*.b") && bad("~(") && bad("w*.example.org"));
    }

    #[test]
    fn the_path_after_proxy_pass_takes_the_place_of_the_prefix() {
        let table = Table::build(&config(vec![
            location(Match::Prefix, "/name/", Some("/remote/")),
            location(Match::Prefix, "/some/path/", None),
            location(Match::Exact, "/one", Some("/two?x=1")),
            location(Match::Prefix, "/bare", Some("/")),
        ]))
        .unwrap();
        for (target, asked) in [
            ("/name/a%20b?c=d", "/remote/a%20b?c=d"),
            ("/name//../name/x", "/remote/x"),
            ("/some/path/a%2e%20b/?q", "/some/path/a%2e%20b/?q"),
            ("/some/path/../path/x", "/some/path/../path/x"),
            ("/one", "/two?x=1"),
            ("/bare/x", "//x"),
        ] {
            assert_eq!(path(&table, target), asked, "{target}");
        }
        // Two that differ by a slash: without a location of its own the shorter one is asked to add it.
        assert!(path(&table, "/name?q=1").starts_with("AddSlash(\"/name/?q=1\""));
        let both = vec![
            location(Match::Prefix, "/name/", Some("/slash/")),
            location(Match::Prefix, "/name", Some("/none")),
        ];
        let table = Table::build(&config(both)).unwrap();
        assert_eq!((path(&table, "/name"), path(&table, "/name/x")), ("/none".into(), "/slash/x".into()));
        assert_eq!(path(&table, "/names"), "/nones");
    }

    #[test]
    fn who_may_not_and_what_is_too_large_is_said_in_order() {
        let mut closed = location(Match::Prefix, "/closed/", None);
        closed.access = vec![
            AccessRule::Deny("192.0.2.9/32".parse().unwrap()),
            AccessRule::Allow("192.0.2.0/24".parse().unwrap()),
            AccessRule::Allow("2001:db8::/32".parse().unwrap()),
            AccessRule::DenyAll,
        ];
        let mut small = location(Match::Prefix, "/small/", None);
        small.max_body = 99;
        let mut gone = location(Match::Prefix, "/gone/", None);
        gone.answer = Some(410);
        let table = Table::build(&config(vec![closed, small, gone])).unwrap();
        let passes = |client| matches!(ask(&table, "a.example", "/closed/x", client), Resolution::Pass(_));
        assert!(passes("192.0.2.8") && passes("2001:db8::1") && passes("::ffff:192.0.2.8"));
        assert!(!passes("192.0.2.9") && !passes("198.51.100.1") && !passes("::1"));
        assert!(matches!(ask(&table, "a.example", "/small/x", "::1"), Resolution::TooLarge(_)));
        assert!(matches!(ask(&table, "a.example", "/gone/x", "::1"), Resolution::Answer(410, _)));
        assert!(matches!(ask(&table, "a.example", "/x", "::1"), Resolution::Unmatched(Some(_))));
    }

    #[test]
    fn keys_are_made_of_variables_geo_and_map() {
        let networks = [("10.0.0.0/8", "wide"), ("10.1.0.0/16", "near"), ("2001:db8::/32", "six")];
        let networks = networks.iter().map(|(n, v)| (n.parse().unwrap(), v.to_string())).collect();
        let geo = GeoConfig { variable: "net".into(), default: "far".into(), networks };
        let values = [("gori-near".to_string(), "g".to_string())].into();
        let map = MapConfig {
            variable: "plant".into(),
            source: "$http_x_plant-${net}".into(),
            default: "d".into(),
            values,
        };
        let mut config = config(vec![location(Match::Prefix, "/", None)]);
        (config.geo, config.map) = (vec![geo], vec![map]);
        config.upstream = vec![upstream(Method::Hash, "$plant|$arg_b|$uri|$host")];
        let table = Table::build(&config).unwrap();
        let key = |client| match ask(&table, "A.example:1", "/x//y?a=1&B=2", client) {
            Resolution::Pass(p) => String::from_utf8(p.key).unwrap(),
            other => panic!("{other:?}"),
        };
        assert_eq!(key("10.1.2.3"), "g|2|/x/y|a.example");
        assert_eq!(key("10.2.2.3"), "d|2|/x/y|a.example");
        config.upstream = vec![upstream(Method::Hash, "$nothing")];
        assert!(Table::build(&config).unwrap_err().0.contains("`$nothing`"));
        config.upstream = vec![upstream(Method::IpHash, "")];
        match ask(&Table::build(&config).unwrap(), "", "/", "10.1.2.3") {
            Resolution::Pass(p) => assert_eq!(p.key, [10, 1, 2]),
            other => panic!("{other:?}"),
        }
        // One that stands on itself ends.
        let circle =
            MapConfig { variable: "c".into(), source: "$c".into(), default: "x".into(), values: [].into() };
        config.map = vec![circle];
        config.upstream = vec![upstream(Method::Hash, "$c")];
        ask(&Table::build(&config).unwrap(), "", "/", "10.1.2.3");
    }

    #[test]
    fn what_cannot_work_is_refused_with_its_entry() {
        let broken = |change: &dyn Fn(&mut RoutingConfig)| {
            let mut c = config(vec![location(Match::Prefix, "/", None)]);
            change(&mut c);
            Table::build(&c).err().map(|e| e.0).unwrap_or_default()
        };
        assert_eq!(broken(&|_| {}), "");
        assert!(broken(&|c| c.host[0].location[0].upstream = Some("v".into())).contains("no upstream `v`"));
        assert!(broken(&|c| c.upstream[0].server[0].backup = true).contains("no backup"));
        assert!(broken(&|c| c.upstream[0].server[0].weight = 0).contains("weights"));
        assert!(broken(&|c| c.upstream[0].key = "x".into()).contains("key"));
        assert!(broken(&|c| c.host[0].location[0].path = "x".into()).contains("begin with"));
        let twice = |c: &mut RoutingConfig| {
            let again = c.upstream[0].server[0].clone();
            c.upstream[0].server.push(again);
        };
        assert!(broken(&twice).contains("twice"));
        let limit = LimitReq { zone: "z".into(), burst: 1 };
        assert!(broken(&|c| c.host[0].location[0].limit_req = vec![limit.clone()]).contains("zone `z`"));
        assert!(broken(&|c| c.host[0].location[0].location = c.host[0].location.clone()).is_empty());
    }
}
