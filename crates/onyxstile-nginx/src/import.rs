//! From directives to the routing table, with an account of every one of them.

use crate::known::{Known, known};
use crate::parse::{At, Directive, Files, Parsed};
use ipnet::IpNet;
use onyxstile_routing::config::*;
use onyxstile_routing::location;
use onyxstile_routing::vars::Template;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

/// Bytes of a body that the relay takes, whatever is set.
const BODY_MAX: u64 = 64 * 1024;
/// Keys that nginx holds in a megabyte, of 64 bytes each ("limit_req_zone"); and keys of a zone here, at most.
const KEYS_PER_MB: u64 = 16_000;
const KEYS_MAX: u64 = 100_000;

/// What became of a directive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Level {
    /// It sets nothing that the relay could do.
    NoConcern,
    /// The relay does as it says.
    Carried,
    /// The relay does something else instead.
    CarriedWithDifference,
    /// The relay does nothing of it.
    NotCarried,
}

impl fmt::Display for Level {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Level::NoConcern => "no-concern",
            Level::Carried => "carried",
            Level::CarriedWithDifference => "carried-with-difference",
            Level::NotCarried => "not-carried",
        })
    }
}

/// What is said of a directive.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Diagnostic {
    /// Its file.
    pub file: String,
    /// Its line, from 1.
    pub line: u32,
    /// Its column, from 1.
    pub column: u32,
    /// What became of it.
    pub level: Level,
    /// The directive.
    pub directive: String,
    /// Why.
    pub message: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Diagnostic { file, line, column, level, directive, message } = self;
        write!(f, "{file}:{line}:{column}: {level}: `{directive}`: {message}")
    }
}

/// How many directives there were, and what became of them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Account {
    /// Directives read.
    pub directives: usize,
    /// Of no concern here.
    pub no_concern: usize,
    /// Carried.
    pub carried: usize,
    /// Carried with a difference.
    pub with_difference: usize,
    /// Not carried.
    pub not_carried: usize,
}

/// Where the entries of the table come from.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Origins {
    /// Groups, in order.
    pub upstreams: Vec<At>,
    /// Their servers, by group.
    pub servers: Vec<Vec<At>>,
    /// Hosts, in order.
    pub hosts: Vec<At>,
    /// Locations, in the order in which they are written: each host's, each before those inside it.
    pub locations: Vec<At>,
    /// Zones, in order.
    pub zones: Vec<At>,
    /// `geo` blocks.
    pub geo: Vec<At>,
    /// `map` blocks.
    pub map: Vec<At>,
}

/// What came of an import.
#[derive(Debug, Clone)]
pub struct Imported {
    /// The routing table.
    pub routing: RoutingConfig,
    /// Where its entries come from.
    pub origins: Origins,
    /// Where the first host listens.
    pub listen: Option<SocketAddr>,
    /// What is said of directives that were not simply carried, by place.
    pub diagnostics: Vec<Diagnostic>,
    /// The count.
    pub account: Account,
    /// The files that were read.
    pub files: Files,
}

/// What holds in a block and in those inside it that do not say otherwise: nginx hands lists down only to
/// blocks that have none of their own.
#[derive(Debug, Clone)]
struct Scope {
    access: Vec<AccessRule>,
    limit_req: Vec<LimitReq>,
    limit_conn: Vec<LimitConn>,
    max_body: u64,
}

/// Carries a configuration over.
pub fn import(parsed: &Parsed) -> Imported {
    let mut importer = Importer {
        files: &parsed.files,
        routing: RoutingConfig::default(),
        origins: Origins::default(),
        listen: None,
        listens: BTreeSet::new(),
        said: Vec::new(),
        levels: BTreeMap::new(),
        taken_names: BTreeSet::new(),
        passing_names: BTreeSet::new(),
        destinations: 0,
    };
    importer.main(&parsed.directives);
    importer.rest(&parsed.directives);
    let count = parsed.directives.iter().map(Directive::count).sum();
    let mut account = Account { directives: count, ..Account::default() };
    for level in importer.levels.values() {
        match level {
            Level::NoConcern => account.no_concern += 1,
            Level::Carried => account.carried += 1,
            Level::CarriedWithDifference => account.with_difference += 1,
            Level::NotCarried => account.not_carried += 1,
        }
    }
    let Importer { routing, origins, listen, mut said, .. } = importer;
    said.sort_by_key(|(at, ..)| *at);
    let diagnostics = said.into_iter().map(|(at, level, directive, message)| Diagnostic {
        file: parsed.files.path(at.file).display().to_string(),
        line: at.place.line,
        column: at.place.column,
        level,
        directive,
        message,
    });
    Imported {
        routing,
        origins,
        listen,
        diagnostics: diagnostics.collect(),
        account,
        files: parsed.files.clone(),
    }
}

struct Importer<'a> {
    files: &'a Files,
    routing: RoutingConfig,
    origins: Origins,
    listen: Option<SocketAddr>,
    listens: BTreeSet<String>,
    said: Vec<(At, Level, String, String)>,
    /// What became of each directive so far: the worst that was said of it.
    levels: BTreeMap<At, Level>,
    taken_names: BTreeSet<String>,
    /// Names of hosts that pass something on: one that only answers gives way to them.
    passing_names: BTreeSet<String>,
    destinations: u64,
}

/// A call that passes requests on.
enum Target {
    Group(String, Option<String>),
    Nowhere,
}

impl Importer<'_> {
    fn level(&mut self, d: &Directive, level: Level) {
        let old = self.levels.entry(d.at).or_insert(level);
        *old = level.max(*old);
    }

    fn carry(&mut self, d: &Directive) {
        self.level(d, Level::Carried);
    }

    fn say(&mut self, d: &Directive, level: Level, message: impl Into<String>) {
        self.level(d, level);
        self.said.push((d.at, level, d.shown(), message.into()));
    }

    fn differs(&mut self, d: &Directive, message: impl Into<String>) {
        self.say(d, Level::CarriedWithDifference, message);
    }

    fn leave(&mut self, d: &Directive, message: impl Into<String>) {
        self.say(d, Level::NotCarried, message);
    }

    /// Leaves a block with all that stands in it; what is inside is counted, and said with the block.
    fn leave_all(&mut self, d: &Directive, message: impl Into<String>) {
        self.leave(d, message);
        self.count_inside(d, Level::NotCarried);
    }

    fn count_inside(&mut self, d: &Directive, level: Level) {
        for inner in d.block.iter().flatten() {
            self.level(inner, level);
            self.count_inside(inner, level);
        }
    }

    /// A directive that is not worked on where it stands.
    fn other(&mut self, d: &Directive) {
        match known(d.name()) {
            _ if d.name() == "include" => self.carry(d),
            Some(Known::NoConcern) => {
                self.level(d, Level::NoConcern);
                self.count_inside(d, Level::NoConcern);
            }
            Some(Known::Difference(what)) => {
                self.differs(d, what);
                self.count_inside(d, Level::CarriedWithDifference);
            }
            Some(Known::NotCarried(why)) => self.leave_all(d, why),
            None if d.name() == "if" => {
                self.leave_all(d, "conditions are not carried; requests go on as if it were not there");
            }
            None => self.leave_all(d, "no directive that is known here"),
        }
    }

    /// Whatever was not come by does nothing where it stands.
    fn rest(&mut self, directives: &[Directive]) {
        for d in directives {
            if !self.levels.contains_key(&d.at) {
                self.leave(d, "it does nothing where it stands");
            }
            self.rest(d.block.as_deref().unwrap_or_default());
        }
    }

    fn main(&mut self, directives: &[Directive]) {
        for d in directives {
            match (d.name(), &d.block) {
                ("http", Some(inside)) => {
                    self.carry(d);
                    self.http(inside);
                }
                ("stream" | "mail", Some(_)) => self.leave_all(d, "only `http` is carried over"),
                // Files that are included by a main one are often handed over alone.
                ("upstream" | "server" | "map" | "geo" | "limit_req_zone" | "limit_conn_zone", _) => {
                    self.http(directives);
                    return;
                }
                _ => self.other(d),
            }
        }
    }

    fn http(&mut self, directives: &[Directive]) {
        // Zones, variables and groups may be named before they stand there.
        let variables = directives.iter().filter(|d| matches!(d.name(), "geo" | "map" | "split_clients"));
        for d in variables.clone() {
            self.variable(d);
        }
        let mut outer =
            Scope { access: vec![], limit_req: vec![], limit_conn: vec![], max_body: DEFAULT_BODY };
        for d in directives {
            match (d.name(), &d.block) {
                ("limit_req_zone" | "limit_conn_zone", None) => self.zone(d),
                ("upstream", Some(inside)) => self.upstream(d, inside),
                _ => {}
            }
        }
        self.scope(directives, &mut outer);
        let passing = directives.iter().filter(|d| d.name() == "server" && passes(d));
        let names = passing.filter_map(|d| d.block.as_deref()).flat_map(server_names);
        self.passing_names.extend(names.cloned());
        for d in directives {
            match (d.name(), &d.block) {
                ("geo" | "map" | "split_clients" | "limit_req_zone" | "limit_conn_zone", _) => {}
                ("upstream", Some(_)) => {}
                ("server", Some(inside)) => self.server(d, inside, &outer),
                (name, _) if SCOPED.contains(&name) => {}
                _ => self.other(d),
            }
        }
    }

    // ---- Variables and zones ------------------------------------------------------------------------------

    fn variable(&mut self, d: &Directive) {
        match (d.name(), &d.block, d.arguments()) {
            ("geo", Some(inside), [variable]) => self.geo(d, "", variable, inside),
            ("geo", Some(inside), [address, variable]) => self.geo(d, address, variable, inside),
            ("map", Some(inside), [source, variable]) => self.map(d, source, variable, inside),
            ("split_clients", Some(_), _) => self.other(d),
            _ => self.leave_all(d, "a block with its source and its variable is needed"),
        }
    }

    fn own(&self, variable: &str) -> bool {
        self.routing.geo.iter().any(|g| g.variable == variable)
            || self.routing.map.iter().any(|m| m.variable == variable)
    }

    fn geo(&mut self, d: &Directive, address: &str, variable: &str, inside: &[Directive]) {
        let name = variable.trim_start_matches('$');
        if !matches!(address, "" | "$remote_addr") {
            return self.leave_all(d, "only the address of the client's connection is looked up");
        }
        if self.own(name) {
            return self.leave_all(d, "the variable is set before");
        }
        let (mut default, mut networks) = (String::new(), BTreeMap::new());
        for entry in inside {
            match (&entry.words[..], network(entry.name())) {
                ([word, value], _) if word == "default" => {
                    default = value.clone();
                    self.carry(entry);
                }
                ([_, value], Some(net)) => {
                    networks.insert(net, value.clone());
                    self.carry(entry);
                }
                ([word], _) if word == "ranges" => {
                    self.leave(entry, "ranges of addresses are not carried, networks are")
                }
                ([word, _], _) if word == "include" => self.carry(entry),
                ([word, _], _) if matches!(word.as_str(), "proxy" | "delete") => {
                    self.leave(entry, "the client's address is its connection's, and what is set stays set");
                }
                _ => self.leave(entry, "neither a network nor `default`"),
            }
        }
        self.carry(d);
        self.origins.geo.push(d.at);
        self.routing.geo.push(GeoConfig { variable: name.into(), default, networks });
    }

    fn map(&mut self, d: &Directive, source: &str, variable: &str, inside: &[Directive]) {
        let name = variable.trim_start_matches('$');
        if self.own(name) {
            return self.leave_all(d, "the variable is set before");
        }
        if let Err(unknown) = Template::parse(source, &|v| self.own(v) || v == name) {
            return self.leave_all(d, format!("`${unknown}` is not known here"));
        }
        let (mut default, mut values) = (String::new(), BTreeMap::new());
        for entry in inside {
            match &entry.words[..] {
                [word] if word == "volatile" => self.level(entry, Level::NoConcern),
                [word] if word == "hostnames" => {
                    self.leave(entry, "names with a `*` are not carried, whole names are");
                }
                [word, _] if word == "include" => self.carry(entry),
                [_, value] if value.contains('$') => self.leave(entry, "values are literal"),
                [word, value] if word == "default" => {
                    default = value.clone();
                    self.carry(entry);
                }
                [word, _] if word.starts_with('~') => {
                    self.leave(entry, "regexes are not carried, whole values are")
                }
                [word, value] => {
                    let literal = word.strip_prefix('\\').unwrap_or(word);
                    values.insert(literal.to_string(), value.clone());
                    self.carry(entry);
                }
                _ => self.leave(entry, "a value and what it becomes are needed"),
            }
        }
        self.carry(d);
        self.origins.map.push(d.at);
        let source = source.to_string();
        self.routing.map.push(MapConfig { variable: name.into(), source, default, values });
    }

    fn zone(&mut self, d: &Directive) {
        let rated = d.name() == "limit_req_zone";
        let Some((key, rest)) = d.arguments().split_first() else { return self.leave(d, "a key is needed") };
        if let Err(unknown) = Template::parse(key, &|v| self.own(v)) {
            return self.leave(d, format!("`${unknown}` is not known here; its limits do not hold"));
        }
        let (mut name, mut keys, mut rate) = (None, KEYS_PER_MB, None);
        for word in rest {
            match word.split_once('=') {
                Some(("zone", value)) => {
                    let (zone, size) = value.split_once(':').unwrap_or((value, "1m"));
                    name = Some(zone.to_string());
                    let bytes = size_of(size).unwrap_or(1 << 20);
                    keys = (bytes.saturating_mul(KEYS_PER_MB) >> 20).max(1);
                }
                Some(("rate", value)) => rate = rate_of(value),
                _ => self.differs(d, format!("`{word}` is not heeded")),
            }
        }
        let Some(name) = name else { return self.leave(d, "`zone=NAME:SIZE` is needed") };
        if rated && rate.is_none() {
            return self.leave(d, "`rate=N r/s` or `r/m` is needed, and above 0");
        }
        if self.routing.zone.iter().any(|z| z.name == name) {
            return self.leave(d, "a zone of that name stands before; the first one holds");
        }
        if keys > KEYS_MAX {
            self.differs(d, format!("{KEYS_MAX} keys are held at most"));
        }
        self.carry(d);
        self.origins.zones.push(d.at);
        let rate_per_s = rate.filter(|_| rated);
        self.routing.zone.push(ZoneConfig {
            name,
            key: key.clone(),
            keys: keys.min(KEYS_MAX) as usize,
            rate_per_s,
        });
    }

    // ---- Groups -------------------------------------------------------------------------------------------

    fn upstream(&mut self, d: &Directive, inside: &[Directive]) {
        let [name] = d.arguments() else { return self.leave_all(d, "an upstream has one name") };
        if self.routing.upstream.iter().any(|u| u.name == *name) {
            return self.leave_all(d, "an upstream of that name stands before; the first one holds");
        }
        let (mut method, mut key) = (Method::RoundRobin, String::new());
        for s in inside {
            match (s.name(), s.arguments()) {
                ("server" | "keepalive" | "zone", _) => {}
                ("least_conn", []) => method = Method::LeastConn,
                ("ip_hash", []) => method = Method::IpHash,
                ("hash", [k, how @ ..]) => match (Template::parse(k, &|v| self.own(v)), how) {
                    (Err(unknown), _) => {
                        self.leave(
                            s,
                            format!("`${unknown}` is not known here; the group goes by round robin"),
                        );
                        continue;
                    }
                    (_, []) => (method, key) = (Method::Hash, k.clone()),
                    (_, [word]) if word == "consistent" => (method, key) = (Method::Consistent, k.clone()),
                    _ => {
                        self.leave(s, "`hash KEY` or `hash KEY consistent` is known");
                        continue;
                    }
                },
                ("random", []) => method = Method::Random,
                ("random", [two]) if two == "two" => method = Method::RandomTwo,
                ("random", [two, by]) if two == "two" && by == "least_conn" => method = Method::RandomTwo,
                ("random", _) => {
                    method = Method::RandomTwo;
                    self.differs(
                        s,
                        "the one of two with fewer calls out is taken: answers' times are not compared",
                    );
                }
                ("least_time", _) => {
                    method = Method::LeastConn;
                    self.differs(
                        s,
                        "the one with fewest calls out is taken: answers' times are not compared",
                    );
                }
                _ => {
                    self.other(s);
                    continue;
                }
            }
            if s.name() != "server" && s.name() != "keepalive" && s.name() != "zone" {
                self.carry(s);
            } else if s.name() != "server" {
                self.other(s);
            }
        }
        let mut server = Vec::new();
        let mut origins = Vec::new();
        for s in inside.iter().filter(|s| s.name() == "server") {
            if let Some(peer) = self.peer(s, method, &server) {
                server.push(peer);
                origins.push(s.at);
            }
        }
        if server.iter().all(|s| s.backup) {
            return self.leave(
                d,
                "no server that is no backup could be carried over; what is passed to it is answered 502",
            );
        }
        self.carry(d);
        self.origins.upstreams.push(d.at);
        self.origins.servers.push(origins);
        self.destinations += 1;
        let (name, destination) = (name.clone(), self.destinations);
        self.routing.upstream.push(UpstreamConfig { name, destination, method, key, server });
    }

    fn peer(&mut self, d: &Directive, method: Method, before: &[PeerConfig]) -> Option<PeerConfig> {
        let Some((written, words)) = d.arguments().split_first() else {
            self.leave(d, "an address is needed");
            return None;
        };
        let Some(address) = address(written, 80) else {
            let why = if written.starts_with("unix:") {
                "sockets of the file system are not spoken to"
            } else {
                "names are not looked up; an address is needed"
            };
            self.leave(d, why);
            return None;
        };
        if written.starts_with("localhost") {
            self.differs(d, "taken for 127.0.0.1 alone");
        }
        if before.iter().any(|p| p.address == address) {
            self.leave(d, "the address stands in the group before; add to its weight instead");
            return None;
        }
        let name = if *written == address.to_string() { String::new() } else { written.clone() };
        let mut peer = PeerConfig { address, name, weight: 1, max_conns: 0, backup: false, down: false };
        let known_to_nginx = matches!(method, Method::RoundRobin | Method::LeastConn);
        for word in words {
            let (key, value) = word.split_once('=').map_or((word.as_str(), None), |(k, v)| (k, Some(v)));
            let number = value.and_then(|v| v.parse::<u32>().ok());
            match (key, number) {
                ("weight", Some(n @ 1..=65_535)) => peer.weight = n,
                ("weight", Some(n)) if n > 65_535 => {
                    peer.weight = 65_535;
                    self.differs(d, "the weight is 65535, the highest here");
                }
                ("max_conns", Some(n)) => peer.max_conns = n,
                ("max_fails" | "fail_timeout", _) => {
                    self.differs(
                        d,
                        format!("`{word}`: the module finds out by itself who fails and for how long"),
                    );
                }
                ("backup", _) if known_to_nginx => peer.backup = true,
                ("backup", _) => {
                    self.leave(d, "the group's method knows no backup servers (nginx refuses this as well)");
                    return None;
                }
                ("down", _) => peer.down = true,
                ("slow_start", _) => {
                    self.differs(
                        d,
                        format!(
                            "`{word}`: a server that comes back is warmed up as [settings] invariants say"
                        ),
                    );
                }
                ("drain", _) => peer.down = true,
                ("resolve" | "service", _) => {
                    self.leave(d, format!("`{word}`: names are not looked up"));
                    return None;
                }
                _ => self.differs(d, format!("`{word}` is not heeded")),
            }
        }
        self.carry(d);
        Some(peer)
    }

    /// The group of an address that `proxy_pass` names itself.
    fn implicit(&mut self, d: &Directive, host: &str, address: SocketAddr) -> String {
        if !self.routing.upstream.iter().any(|u| u.name == host) {
            self.destinations += 1;
            self.origins.upstreams.push(d.at);
            self.origins.servers.push(vec![d.at]);
            let peer = PeerConfig {
                address,
                name: String::new(),
                weight: 1,
                max_conns: 0,
                backup: false,
                down: false,
            };
            self.routing.upstream.push(UpstreamConfig {
                name: host.into(),
                destination: self.destinations,
                method: Method::RoundRobin,
                key: String::new(),
                server: vec![peer],
            });
        }
        host.to_string()
    }

    // ---- Hosts and locations ------------------------------------------------------------------------------

    fn server(&mut self, d: &Directive, inside: &[Directive], outer: &Scope) {
        let mut names: Vec<String> = Vec::new();
        let mut default = false;
        if server_names(inside).any(|n| self.passing_names.contains(n)) && !passes(d) {
            return self.leave_all(
                d,
                "its names are another block's, which passes requests on; there is one listener here",
            );
        }
        for s in inside {
            match s.name() {
                "listen" => default |= self.listen(s),
                "server_name" => {
                    let mut carried = true;
                    for name in s.arguments() {
                        if !self.name(s, name, &mut names) {
                            carried = false;
                        }
                    }
                    if carried {
                        self.carry(s);
                    }
                }
                _ => {}
            }
        }
        let mut scope = outer.clone();
        self.scope(inside, &mut scope);
        // `return` of a whole server stands before all its locations.
        let answer = inside.iter().find(|s| s.name() == "return" && s.block.is_none());
        let mut locations = Vec::new();
        let at = self.origins.locations.len();
        if let Some(r) = answer {
            let status = self.answer(r);
            self.origins.locations.push(r.at);
            locations.push(LocationConfig { path: "/".into(), answer: Some(status), ..plain(&scope) });
        }
        for s in inside {
            match (s.name(), &s.block) {
                ("listen" | "server_name", _) => {}
                ("return", None) => {}
                ("location", Some(_)) if answer.is_some() => {
                    self.leave_all(s, "the `return` of its server answers before any location is looked for");
                }
                ("location", Some(deeper)) => self.location(s, deeper, &scope, &mut locations),
                (name, _) if SCOPED.contains(&name) => {}
                _ => self.other(s),
            }
        }
        if default && self.routing.host.iter().any(|h| h.default) {
            default = false;
            self.differs(d, "another host is the default already; there is one listener here");
        }
        if names.is_empty() && !self.routing.host.is_empty() && !default {
            self.origins.locations.truncate(at);
            return self.leave(
                d,
                "it has no name of its own; there is one listener here, and its default is another host",
            );
        }
        self.carry(d);
        self.origins.hosts.push(d.at);
        self.routing.host.push(HostConfig { names, default, location: locations });
    }

    fn name(&mut self, d: &Directive, name: &str, names: &mut Vec<String>) -> bool {
        let pattern = name.strip_prefix('~');
        if let Some(Err(e)) = pattern.map(|p| location::compile(p, true)) {
            self.leave(d, format!("`{name}`: {e}"));
            return false;
        }
        if pattern.is_none() && name.contains('*') && !name.starts_with("*.") && !name.ends_with(".*") {
            self.leave(d, format!("`{name}`: `*` may stand for whole parts at an end only"));
            return false;
        }
        if !self.taken_names.insert(name.to_string()) {
            self.leave(d, format!("`{name}` is an earlier host's; there is one listener here"));
            return false;
        }
        names.push(name.to_string());
        true
    }

    /// Whether it makes its host the default.
    fn listen(&mut self, d: &Directive) -> bool {
        let Some((written, words)) = d.arguments().split_first() else {
            self.leave(d, "an address or a port is needed");
            return false;
        };
        let port = |p: &str| p.parse().ok().map(|p| SocketAddr::from((Ipv4Addr::UNSPECIFIED, p)));
        let any = |p: &str| port(p.strip_prefix("*:")?);
        let at = port(written).or_else(|| any(written)).or_else(|| address(written, 80));
        let at = at.or_else(|| {
            let port = written.strip_prefix("[::]:")?.parse().ok()?;
            Some(SocketAddr::from((Ipv6Addr::UNSPECIFIED, port)))
        });
        let tls = words.iter().any(|w| matches!(w.as_str(), "ssl" | "quic" | "http3"));
        match at {
            None => self.leave(d, "neither an address nor a port"),
            Some(_) if tls => {
                self.leave(d, "TLS is not spoken; its host is reached in the clear at the one listener")
            }
            Some(at) => {
                self.listens.insert(at.to_string());
                if *self.listen.get_or_insert(at) == at {
                    self.carry(d);
                } else {
                    self.differs(
                        d,
                        "there is one listener here, the first; hosts are told apart by their names",
                    );
                }
            }
        }
        words.iter().any(|w| matches!(w.as_str(), "default_server" | "default"))
    }

    /// What of a block holds in it and below.
    fn scope(&mut self, inside: &[Directive], scope: &mut Scope) {
        let has = |names: &[&str]| inside.iter().any(|d| names.contains(&d.name()) && d.block.is_none());
        if has(&["allow", "deny"]) {
            scope.access.clear();
        }
        if has(&["limit_req"]) {
            scope.limit_req.clear();
        }
        if has(&["limit_conn"]) {
            scope.limit_conn.clear();
        }
        for d in inside.iter().filter(|d| SCOPED.contains(&d.name())) {
            match (d.name(), d.arguments()) {
                ("allow" | "deny", [whom]) => self.access(d, whom, scope),
                ("client_max_body_size", [size]) => match size_of(size) {
                    Some(bytes) => {
                        scope.max_body = bytes;
                        if bytes == 0 || bytes > BODY_MAX {
                            self.differs(d, "the relay takes 64 KiB at most");
                        }
                        self.carry(d);
                    }
                    None => self.leave(d, "no size"),
                },
                ("limit_req", words) => self.limit_req(d, words, scope),
                ("limit_conn", [zone, most]) => {
                    let known = self.routing.zone.iter().any(|z| z.name == *zone && z.rate_per_s.is_none());
                    match most.parse() {
                        Ok(most) if known => {
                            scope.limit_conn.push(LimitConn { zone: zone.clone(), most });
                            self.differs(d, "counted from a request's head to its verdict: a message that was taken on is no longer in hand");
                        }
                        _ => self.leave(d, "its zone was not carried over, or its number is none"),
                    }
                }
                _ => self.leave(d, "it is not as the documentation has it"),
            }
        }
    }

    fn access(&mut self, d: &Directive, whom: &str, scope: &mut Scope) {
        let allow = d.name() == "allow";
        let rule = match (whom, network(whom)) {
            ("all", _) if allow => AccessRule::AllowAll,
            ("all", _) => AccessRule::DenyAll,
            (_, Some(net)) if allow => AccessRule::Allow(net),
            (_, Some(net)) => AccessRule::Deny(net),
            // Left out, an `allow` lets in fewer and a `deny` more than nginx does.
            _ => return self.leave(d, "neither a network nor `all`"),
        };
        scope.access.push(rule);
        self.carry(d);
    }

    fn limit_req(&mut self, d: &Directive, words: &[String], scope: &mut Scope) {
        let (mut zone, mut burst, mut at_once) = (None, 0, false);
        for word in words {
            match word.split_once('=').unwrap_or((word, "")) {
                ("zone", name) => zone = Some(name.to_string()),
                ("burst", n) => burst = n.parse().unwrap_or(0),
                ("nodelay", "") => at_once = true,
                ("delay", _) => {}
                _ => self.differs(d, format!("`{word}` is not heeded")),
            }
        }
        let known = |z: &String| self.routing.zone.iter().any(|k| k.name == *z && k.rate_per_s.is_some());
        let Some(zone) = zone.filter(known) else {
            return self.leave(d, "its zone was not carried over");
        };
        if burst > 0 && !at_once {
            self.differs(
                d,
                "what nginx delays is taken on at once; the module paces what goes on to the servers",
            );
        }
        self.carry(d);
        scope.limit_req.push(LimitReq { zone, burst });
    }

    /// The status that a `return` answers with.
    fn answer(&mut self, d: &Directive) -> u16 {
        match d.arguments() {
            [status] if status.parse::<u16>().is_ok_and(|s| (100..600).contains(&s)) => {
                self.carry(d);
                status.parse().unwrap_or(404)
            }
            [status, ..] if status.parse::<u16>().is_ok_and(|s| (100..600).contains(&s)) => {
                self.differs(d, "answered with the status alone");
                status.parse().unwrap_or(404)
            }
            [_] => {
                self.differs(d, "answered 302, without where to");
                302
            }
            _ => {
                self.leave(d, "a status is needed; answered 404");
                404
            }
        }
    }

    fn location(
        &mut self, d: &Directive, inside: &[Directive], outer: &Scope, level: &mut Vec<LocationConfig>,
    ) {
        let (kind, path) = match d.arguments() {
            [path] if path.starts_with('@') => (Match::Named, path),
            [path] => match path.strip_prefix('=').or(path.strip_prefix("^~")).or(path.strip_prefix('~')) {
                Some(_) => {
                    self.leave_all(d, "a space is needed between the modifier and the path");
                    return;
                }
                None => (Match::Prefix, path),
            },
            [modifier, path] => match modifier.as_str() {
                "=" => (Match::Exact, path),
                "^~" => (Match::PrefixFirst, path),
                "~" => (Match::Regex, path),
                "~*" => (Match::RegexNoCase, path),
                _ => {
                    self.leave_all(d, "no modifier that is known");
                    return;
                }
            },
            _ => {
                self.leave_all(d, "a path is needed");
                return;
            }
        };
        let regex = matches!(kind, Match::Regex | Match::RegexNoCase);
        if regex && let Err(e) = location::compile(path, kind == Match::RegexNoCase) {
            self.leave_all(d, format!("its regex: {e}"));
            return;
        }
        if !regex && kind != Match::Named && !path.starts_with('/') {
            self.leave_all(d, "its path does not begin with `/`, so that no request is ever for it");
            return;
        }
        let alike = |kind: Match| if kind == Match::PrefixFirst { Match::Prefix } else { kind };
        if !regex && level.iter().any(|l| l.path == *path && alike(l.kind) == alike(kind)) {
            return self.leave_all(
                d,
                "the same location stands before (nginx refuses this as well); the first one holds",
            );
        }
        let mut scope = outer.clone();
        self.scope(inside, &mut scope);
        let mut found = LocationConfig { path: path.clone(), kind, ..plain(&scope) };
        let number = self.origins.locations.len();
        self.origins.locations.push(d.at);
        let mut target = None;
        let mut internal = None;
        for i in inside {
            match (i.name(), &i.block, i.arguments()) {
                ("proxy_pass", None, [to]) => {
                    target = Some(self.target(i, to, regex || kind == Match::Named))
                }
                ("location", Some(deeper), _) => self.location(i, deeper, &scope, &mut found.location),
                ("return", None, _) => found.answer = Some(self.answer(i)),
                ("internal", None, []) => internal = Some(i),
                ("fastcgi_pass" | "uwsgi_pass" | "scgi_pass" | "grpc_pass" | "memcached_pass", None, _) => {
                    self.leave(i, "only HTTP is spoken to real servers; answered 502");
                    target = Some(Target::Nowhere);
                }
                (name, ..) if SCOPED.contains(&name) => {}
                _ => self.other(i),
            }
        }
        if let Some(i) = internal {
            found.answer = Some(404);
            self.carry(i);
        }
        match target {
            Some(Target::Group(upstream, uri)) => (found.upstream, found.uri) = (Some(upstream), uri),
            Some(Target::Nowhere) => found.answer = found.answer.or(Some(502)),
            None if found.answer.is_none() && kind != Match::Named && found.location.is_empty() => {
                found.answer = Some(404);
                self.differs(d, "it passes nothing on: answered 404, for the relay serves no files");
            }
            None => {}
        }
        if kind == Match::Named {
            self.origins.locations.truncate(number);
            self.leave(d, "nothing that is carried over leads to it");
            return;
        }
        self.carry(d);
        level.push(found);
    }

    /// Where a `proxy_pass` leads.
    fn target(&mut self, d: &Directive, to: &str, bare: bool) -> Target {
        if to.starts_with("https://") {
            self.leave(d, "TLS to real servers is not spoken; answered 502");
            return Target::Nowhere;
        }
        let Some(rest) = to.strip_prefix("http://") else {
            self.leave(d, "only http:// is spoken; answered 502");
            return Target::Nowhere;
        };
        if rest.starts_with("unix:") {
            self.leave(d, "sockets of the file system are not spoken to; answered 502");
            return Target::Nowhere;
        }
        if rest.contains('$') {
            self.leave(d, "a target with variables is not carried; answered 502");
            return Target::Nowhere;
        }
        let (host, uri) = match rest.find('/') {
            Some(at) => (&rest[..at], Some(rest[at..].to_string())),
            None => (rest, None),
        };
        if uri.is_some() && bare {
            self.leave(d, "a path after the server has no place in a location by regex or name (nginx refuses this as well); answered 502");
            return Target::Nowhere;
        }
        let group = if self.routing.upstream.iter().any(|u| u.name == host) {
            host.to_string()
        } else if let Some(address) = address(host, 80) {
            self.implicit(d, host, address)
        } else {
            self.leave(
                d,
                "no upstream of that name was carried over, and names are not looked up; answered 502",
            );
            return Target::Nowhere;
        };
        self.carry(d);
        Target::Group(group, uri)
    }
}

impl fmt::Debug for Importer<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Importer").field("files", &self.files).finish_non_exhaustive()
    }
}

/// Directives that hold in a block and in those inside it.
const SCOPED: [&str; 5] = ["allow", "deny", "client_max_body_size", "limit_req", "limit_conn"];

/// Whether anything in a block passes requests on.
fn passes(d: &Directive) -> bool {
    d.name() == "proxy_pass" || d.block.iter().flatten().any(passes)
}

fn server_names(inside: &[Directive]) -> impl Iterator<Item = &String> {
    inside.iter().filter(|s| s.name() == "server_name").flat_map(Directive::arguments)
}

fn plain(scope: &Scope) -> LocationConfig {
    let Scope { access, limit_req, limit_conn, max_body } = scope.clone();
    LocationConfig { access, limit_req, limit_conn, max_body, ..LocationConfig::default() }
}

/// An address, with a port where none is written. `localhost` needs no look-up.
fn address(text: &str, port: u16) -> Option<SocketAddr> {
    let text = match text.strip_prefix("localhost") {
        Some(rest) if rest.is_empty() || rest.starts_with(':') => format!("127.0.0.1{rest}"),
        _ => text.to_string(),
    };
    let bare = text.strip_prefix('[').and_then(|t| t.strip_suffix(']')).unwrap_or(&text);
    text.parse().ok().or_else(|| Some(SocketAddr::new(bare.parse::<IpAddr>().ok()?, port)))
}

/// A network, or one address.
fn network(text: &str) -> Option<IpNet> {
    text.parse::<IpNet>().ok().map(|n| n.trunc()).or_else(|| text.parse::<IpAddr>().ok().map(IpNet::from))
}

/// `10m`, `512k`, `1g` or bytes.
fn size_of(text: &str) -> Option<u64> {
    let (digits, shift) = match text.char_indices().last()? {
        (at, 'k' | 'K') => (&text[..at], 10),
        (at, 'm' | 'M') => (&text[..at], 20),
        (at, 'g' | 'G') => (&text[..at], 30),
        _ => (text, 0),
    };
    digits.parse::<u64>().ok()?.checked_mul(1 << shift)
}

/// `10r/s` or `30r/m`, in requests a second.
fn rate_of(text: &str) -> Option<f64> {
    let (digits, per) =
        text.strip_suffix("r/s").map(|d| (d, 1.0)).or(text.strip_suffix("r/m").map(|d| (d, 60.0)))?;
    digits.parse::<u32>().ok().filter(|n| *n > 0).map(|n| f64::from(n) / per)
}
