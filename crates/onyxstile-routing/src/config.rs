//! The routing table as an operator's file holds it. Every default is nginx's.

use ipnet::IpNet;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

/// The whole table: `[routing]`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoutingConfig {
    /// Variables by the client's address (`geo`).
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub geo: Vec<GeoConfig>,
    /// Variables by another's value (`map`).
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub map: Vec<MapConfig>,
    /// What limits count in (`limit_req_zone`, `limit_conn_zone`).
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub zone: Vec<ZoneConfig>,
    /// Groups of real servers (`upstream`).
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub upstream: Vec<UpstreamConfig>,
    /// Virtual hosts (`server`).
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub host: Vec<HostConfig>,
}

/// `geo $address $variable { … }`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GeoConfig {
    /// The variable that is set, without its `$`.
    pub variable: String,
    /// Its value where no network holds the address.
    #[serde(default)]
    pub default: String,
    /// Values by network; the longest prefix that holds the address counts.
    #[serde(default)]
    pub networks: BTreeMap<IpNet, String>,
}

/// `map $source $variable { … }` over literal values.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MapConfig {
    /// The variable that is set, without its `$`.
    pub variable: String,
    /// What is looked up: text with variables.
    pub source: String,
    /// Its value where nothing matches.
    #[serde(default)]
    pub default: String,
    /// Values by what the source may be; letters of either case are the same (as nginx has it).
    #[serde(default)]
    pub values: BTreeMap<String, String>,
}

/// A table of keys that limits count in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneConfig {
    /// Its name.
    pub name: String,
    /// Text with variables. A request whose key is empty is not counted.
    pub key: String,
    /// Keys held at once, at most; those longest unused go first.
    #[serde(default = "default_keys")]
    pub keys: usize,
    /// Requests a second, for `limit_req`; absent for `limit_conn`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate_per_s: Option<f64>,
}

/// How a group chooses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Method {
    /// Smooth weighted round robin.
    #[default]
    RoundRobin,
    /// Fewest calls out for its weight (`least_conn`).
    LeastConn,
    /// By the client's address (`ip_hash`).
    IpHash,
    /// By the crc32 of a key (`hash KEY`).
    Hash,
    /// By the key's place among 160 points for each weight (`hash KEY consistent`, ketama).
    Consistent,
    /// By chance and weight (`random`).
    Random,
    /// The one of two chosen by chance that has fewer calls out for its weight (`random two least_conn`).
    RandomTwo,
}

/// A group of real servers: one destination of the decision module's.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamConfig {
    /// Its name.
    pub name: String,
    /// The destination's number; none other may have it.
    pub destination: u64,
    /// How it chooses.
    #[serde(default)]
    pub method: Method,
    /// The key of `hash` and `consistent`: text with variables.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub key: String,
    /// Its real servers.
    #[serde(default)]
    pub server: Vec<PeerConfig>,
}

/// A real server of a group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerConfig {
    /// Where it listens.
    pub address: SocketAddr,
    /// As it was written, where that is not the address: consistent hashing goes by the text.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub name: String,
    /// Its share against the others'.
    #[serde(default = "one", skip_serializing_if = "is_one")]
    pub weight: u32,
    /// Calls out at once, at most; 0 is no limit.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub max_conns: u32,
    /// Used only while no other takes a message.
    #[serde(default, skip_serializing_if = "is_false")]
    pub backup: bool,
    /// Gets nothing.
    #[serde(default, skip_serializing_if = "is_false")]
    pub down: bool,
}

/// A virtual host.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostConfig {
    /// `name`, `*.name`, `.name`, `name.*` or `~regex`; empty matches a request that names no host.
    #[serde(default)]
    pub names: Vec<String>,
    /// Takes what no name matches; the first host does where none says so.
    #[serde(default, skip_serializing_if = "is_false")]
    pub default: bool,
    /// Its locations.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub location: Vec<LocationConfig>,
}

/// How a location's path is compared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Match {
    /// The longest prefix, unless a regex matches.
    #[default]
    Prefix,
    /// `^~`: the longest prefix, and no regex is tried.
    PrefixFirst,
    /// `=`.
    Exact,
    /// `~`.
    Regex,
    /// `~*`.
    RegexNoCase,
    /// `@name`: never found by a path.
    Named,
}

/// A location, with all that holds in it: nothing is inherited here.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LocationConfig {
    /// Its path or regex.
    pub path: String,
    /// How that is compared.
    #[serde(default, rename = "match")]
    pub kind: Match,
    /// The group that takes its messages, by name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub upstream: Option<String>,
    /// What stands in the place of the matched prefix on the way on; absent: the target goes on as it came.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub uri: Option<String>,
    /// Answered with this status (`return`), and passed to nobody.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<u16>,
    /// Who may use it, the first rule that holds the address counts; no rule: everybody.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub access: Vec<AccessRule>,
    /// Limits of its requests' rate.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub limit_req: Vec<LimitReq>,
    /// Limits of its requests in hand.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub limit_conn: Vec<LimitConn>,
    /// Bytes of a body, at most; 0 is no limit but the relay's own.
    #[serde(default = "default_body", skip_serializing_if = "is_default_body")]
    pub max_body: u64,
    /// Locations inside it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub location: Vec<LocationConfig>,
}

/// `allow` or `deny`; in a file, `"allow 192.0.2.0/24"` or `"deny all"`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum AccessRule {
    /// These may.
    Allow(IpNet),
    /// These may not.
    Deny(IpNet),
    /// Everybody may.
    AllowAll,
    /// Nobody may.
    DenyAll,
}

impl TryFrom<String> for AccessRule {
    type Error = String;

    fn try_from(text: String) -> Result<AccessRule, String> {
        let wrong = || format!("`{text}` is no rule; \"allow 192.0.2.0/24\" and \"deny all\" are");
        let (verb, whom) = text.split_once(' ').ok_or_else(wrong)?;
        // A network, or one address.
        let net = || whom.parse().or_else(|_| whom.parse::<IpAddr>().map(IpNet::from)).map_err(|_| wrong());
        match (verb, whom) {
            ("allow", "all") => Ok(AccessRule::AllowAll),
            ("deny", "all") => Ok(AccessRule::DenyAll),
            ("allow", _) => net().map(AccessRule::Allow),
            ("deny", _) => net().map(AccessRule::Deny),
            _ => Err(wrong()),
        }
    }
}

impl From<AccessRule> for String {
    fn from(rule: AccessRule) -> String {
        match rule {
            AccessRule::Allow(net) => format!("allow {net}"),
            AccessRule::Deny(net) => format!("deny {net}"),
            AccessRule::AllowAll => "allow all".into(),
            AccessRule::DenyAll => "deny all".into(),
        }
    }
}

/// `limit_req`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitReq {
    /// The zone's name.
    pub zone: String,
    /// Requests that may come early.
    #[serde(default)]
    pub burst: u32,
}

/// `limit_conn`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitConn {
    /// The zone's name.
    pub zone: String,
    /// Requests in hand at once.
    pub most: u32,
}

/// nginx's `client_max_body_size`.
pub const DEFAULT_BODY: u64 = 1 << 20;

fn default_body() -> u64 {
    DEFAULT_BODY
}
fn default_keys() -> usize {
    16_000
}
fn one() -> u32 {
    1
}
fn is_one(n: &u32) -> bool {
    *n == 1
}
fn is_zero(n: &u32) -> bool {
    *n == 0
}
fn is_false(b: &bool) -> bool {
    !*b
}
fn is_default_body(n: &u64) -> bool {
    *n == DEFAULT_BODY
}
