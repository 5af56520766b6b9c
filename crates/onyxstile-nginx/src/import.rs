//! From directives to the routing table, with an account of every one of them.

mod groups;
mod hosts;
mod variables;

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
