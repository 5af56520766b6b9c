//! The operator's file: what the platform does not set up. TOML.

use super::listed::{ConfigError, FixedServer, RawEntry, Wire};
use super::mail::{self, Dialect, MailSettings, Times};
use super::trace::settings::TraceTable;
use super::undelivered::settings::UndeliveredTable;
use crate::api::{DestinationId, Effect, Settings};
use crate::settings::Names;
use onyxstile_routing::config::UpstreamConfig;
use onyxstile_routing::{RoutingConfig, Table};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Bytes of the file, at most.
const FILE_MAX: u64 = 1 << 20;

/// The file as it stands.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorFile {
    /// A relay without a platform.
    pub relay: Option<RelayTable>,
    /// The HTTP front without a platform.
    pub http: Option<HttpTable>,
    /// The mail front.
    pub mail: Option<MailTable>,
    /// Real servers that no discovery names.
    #[serde(default)]
    pub server: Vec<ServerTable>,
    /// Where recipients and paths belong.
    #[serde(default)]
    pub route: Vec<RouteTable>,
    /// Hosts, locations, groups of real servers and limits, as nginx words them.
    pub routing: Option<RoutingConfig>,
    /// What is recorded.
    pub trace: Option<TraceTable>,
    /// What is kept of what fails, and sent again.
    pub undelivered: Option<UndeliveredTable>,
    /// Scripts called at points of a flow's life.
    #[serde(default)]
    pub plugins: PluginsTable,
    /// The module's settings without a platform, in the platform's words.
    pub settings: Option<toml::Table>,
}

/// Scripts, in the order in which they are called.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PluginsTable {
    /// Their files.
    pub scripts: Vec<PathBuf>,
}

/// A relay without a platform.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelayTable {
    /// Its name, as traces have it.
    pub name: Option<String>,
    /// Where operators call (docs/operations.md); nowhere without.
    pub admin: Option<SocketAddr>,
    /// The folder that lasts.
    pub state: PathBuf,
    /// Its limit.
    #[serde(default = "default_disk")]
    pub disk_mb: f64,
    /// Descriptors.
    #[serde(default = "default_sockets")]
    pub sockets: usize,
    /// Memory.
    #[serde(default = "default_memory")]
    pub memory_mb: f64,
}

/// The HTTP front without a platform.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HttpTable {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Who is told how flows ended that were taken on and not delivered; absent: the log is.
    pub outcomes: Option<SocketAddr>,
}

/// The mail front.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MailTable {
    smtp: Option<SocketAddr>,
    lmtp: Option<SocketAddr>,
    hostname: String,
    class: String,
    deadline_s: Option<f64>,
    bounce: Option<u64>,
    #[serde(default = "default_size")]
    max_size: usize,
    #[serde(default = "default_recipients")]
    max_recipients: usize,
    #[serde(default = "default_clients")]
    max_clients: usize,
    #[serde(default = "default_per_call")]
    per_call: usize,
    #[serde(default)]
    times: TimesTable,
}

/// Waits, in seconds. What RFC 5321 (4.5.3.2) asks for at least, unless the operator knows better.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct TimesTable {
    client_s: f64,
    client_data_s: f64,
    command_s: f64,
    block_s: f64,
    done_s: f64,
    keep_s: f64,
}

impl Default for TimesTable {
    fn default() -> Self {
        TimesTable {
            client_s: 300.0,
            client_data_s: 180.0,
            command_s: 300.0,
            block_s: 180.0,
            done_s: 600.0,
            keep_s: 5.0,
        }
    }
}

/// A real server.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerTable {
    uid: String,
    address: SocketAddr,
    protocol: Protocol,
    destination: u64,
    #[serde(default = "default_state")]
    state: String,
    #[serde(default)]
    kind: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    rate: f64,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Protocol {
    Http,
    Smtp,
    Lmtp,
}

/// Where a recipient's domain or a path belongs.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteTable {
    domain: Option<String>,
    path: Option<String>,
    destination: u64,
}

fn default_disk() -> f64 {
    64.0
}
fn default_sockets() -> usize {
    1024
}
fn default_memory() -> f64 {
    64.0
}
fn default_size() -> usize {
    60 * 1024
}
fn default_recipients() -> usize {
    100
}
fn default_clients() -> usize {
    128
}
fn default_per_call() -> usize {
    20
}
fn default_state() -> String {
    "up".into()
}

/// The name of the kind that mail servers are of, unless the file says otherwise.
const MAIL_KIND: &str = "mail";

impl OperatorFile {
    /// Reads a file.
    ///
    /// # Errors
    /// It cannot be read, or something in it cannot be understood.
    pub fn read(path: &Path) -> Result<OperatorFile, ConfigError> {
        let wrong = |e: &dyn std::fmt::Display| ConfigError(format!("{}: {e}", path.display()));
        let length = std::fs::metadata(path).map_err(|e| wrong(&e))?.len();
        if length > FILE_MAX {
            return Err(wrong(&"over 1 MiB"));
        }
        let text = std::fs::read_to_string(path).map_err(|e| wrong(&e))?;
        let mut file = OperatorFile::parse(&text).map_err(|e| wrong(&e))?;
        // Scripts and the folder that lasts are named from where the file is.
        let folder = path.parent().unwrap_or(Path::new(""));
        if let Some(relay) = &mut file.relay {
            relay.state = folder.join(&relay.state);
        }
        if let Some(trace) = &mut file.trace {
            trace.folder = folder.join(&trace.folder);
        }
        if let Some(kept) = file.undelivered.as_mut().and_then(|u| u.folder.as_mut()) {
            *kept = folder.join(&*kept);
        }
        file.plugins.scripts.iter_mut().for_each(|s| *s = folder.join(&s));
        Ok(file)
    }

    /// Reads the text of a file.
    ///
    /// # Errors
    /// Something in it cannot be understood.
    pub fn parse(text: &str) -> Result<OperatorFile, ConfigError> {
        let file: OperatorFile = toml::from_str(text).map_err(|e| ConfigError(e.to_string()))?;
        file.check()?;
        Ok(file)
    }

    fn check(&self) -> Result<(), ConfigError> {
        let mut uids = std::collections::BTreeSet::new();
        for server in &self.server {
            if !uids.insert(&server.uid) {
                return Err(ConfigError(format!("two servers are named `{}`", server.uid)));
            }
            if !matches!(server.state.as_str(), "up" | "draining" | "removed") {
                return Err(ConfigError(format!(
                    "server `{}`: state `{}` is not known",
                    server.uid, server.state
                )));
            }
        }
        if let Some(routing) = &self.routing {
            Table::build(routing).map_err(|e| ConfigError(format!("routing: {e}")))?;
            let taken = |u: &&UpstreamConfig| self.server.iter().any(|s| s.destination == u.destination);
            if let Some(u) = routing.upstream.iter().find(taken) {
                let text = format!("routing: upstream `{}` has the destination of a server", u.name);
                return Err(ConfigError(text));
            }
        }
        let named = |d: u64| self.server.iter().any(|s| s.destination == d);
        for route in &self.route {
            if route.domain.is_some() == route.path.is_some() {
                return Err(ConfigError("a route needs a domain or a path, and not both".into()));
            }
            if !named(route.destination) && (route.domain.is_some() || !self.server.is_empty()) {
                return Err(ConfigError(format!("no server has destination {}", route.destination)));
            }
        }
        match &self.mail {
            Some(m) if m.bounce.is_some_and(|b| !named(b)) => {
                Err(ConfigError("no server has the destination that `bounce` names".into()))
            }
            Some(m) if m.max_size + 4096 > super::http::BODY_MAX => {
                Err(ConfigError("`max_size` leaves no room for trace lines within 64 KiB".into()))
            }
            Some(m) if !mail::address::is_domain(&m.hostname) => {
                Err(ConfigError("`hostname` is no name of a host".into()))
            }
            _ => Ok(()),
        }
    }

    /// The settings that the file gives, in the platform's words, or those of a plain mail relay.
    ///
    /// # Errors
    /// Settings that are no settings.
    pub fn settings_text(&self) -> Result<String, ConfigError> {
        match &self.settings {
            Some(table) => serde_json::to_string(table).map_err(|e| ConfigError(format!("settings: {e}"))),
            None => Ok(PLAIN_SETTINGS.to_string()),
        }
    }

    /// The real servers that it names.
    pub fn servers(&self) -> Vec<FixedServer> {
        let server = |s: &ServerTable| {
            let wire = match s.protocol {
                Protocol::Http => Wire::Http,
                Protocol::Smtp => Wire::Mail(Dialect::Smtp),
                Protocol::Lmtp => Wire::Mail(Dialect::Lmtp),
            };
            let is_mail = wire != Wire::Http;
            let entry = RawEntry {
                uid: s.uid.clone(),
                endpoint: s.address.to_string(),
                az: s.zone.clone(),
                model: if is_mail && s.kind.is_empty() { MAIL_KIND.into() } else { s.kind.clone() },
                pod_group: if is_mail { mail::destination(s.destination).0 } else { s.destination },
                state: s.state.clone(),
                capacity_hint: s.rate,
            };
            FixedServer { entry, wire }
        };
        let groups = self.routing.iter().flat_map(super::routing::servers);
        self.server.iter().map(server).chain(groups).collect()
    }

    /// Paths and the destinations that they belong to, the longest first.
    pub fn paths(&self) -> Vec<(String, DestinationId)> {
        let path = |r: &RouteTable| Some((r.path.clone()?, DestinationId(r.destination)));
        let mut paths: Vec<_> = self.route.iter().filter_map(path).collect();
        paths.sort_by_key(|(p, _)| std::cmp::Reverse(p.len()));
        paths
    }

    /// Puts the kind of real server that groups have among the settings. As nginx has it, each is for itself: what
    /// one refuses says nothing of the others, and a wait that it tells binds it alone.
    pub fn add_routed_kind(&self, settings: &mut Settings, names: &mut Names) {
        if self.routing.is_some() {
            names.kinds.push(super::routing::KIND.into());
            let plain = crate::api::KindSettings { per_call: 1, routes_apart: false };
            settings.kinds.resize(names.kinds.len() - 1, plain);
            settings.kinds.push(crate::api::KindSettings { per_call: 1, routes_apart: true });
        }
    }

    /// The mail front, and its kind of real server among the settings.
    ///
    /// # Errors
    /// A class that the settings do not name, or whose flows might take effect twice.
    pub fn mail(
        &self, settings: &mut Settings, names: &mut Names,
    ) -> Result<Option<MailSettings>, ConfigError> {
        let Some(m) = &self.mail else { return Ok(None) };
        let class = names.classes.iter().position(|c| *c == m.class).map(|c| &settings.classes[c]);
        let class = class.ok_or(ConfigError(format!("mail: class `{}` is not in the settings", m.class)))?;
        if class.effect != Effect::Once {
            return Err(ConfigError(format!("mail: class `{}` may take effect twice", m.class)));
        }
        let deadline = m.deadline_s.map_or(class.deadline, seconds);
        if deadline > class.deadline {
            return Err(ConfigError("mail: `deadline_s` is above the class's".into()));
        }
        names.kinds.push(MAIL_KIND.into());
        settings
            .kinds
            .resize(names.kinds.len() - 1, crate::api::KindSettings { per_call: 1, routes_apart: false });
        settings.kinds.push(crate::api::KindSettings { per_call: m.per_call.max(1), routes_apart: false });
        let route =
            |r: &RouteTable| Some((r.domain.clone()?.to_ascii_lowercase(), mail::destination(r.destination)));
        let t = m.times;
        Ok(Some(MailSettings {
            smtp: m.smtp,
            lmtp: m.lmtp,
            hostname: m.hostname.clone(),
            class: m.class.clone(),
            deadline,
            routes: self.route.iter().filter_map(route).collect(),
            bounce: m.bounce.map(mail::destination),
            max_size: m.max_size,
            max_recipients: m.max_recipients.max(1),
            max_clients: m.max_clients.max(1),
            per_call: m.per_call.max(1),
            times: Times {
                client: seconds(t.client_s),
                client_data: seconds(t.client_data_s),
                command: seconds(t.command_s),
                block: seconds(t.block_s),
                done: seconds(t.done_s),
                keep: seconds(t.keep_s),
            },
        }))
    }
}

fn seconds(s: f64) -> Duration {
    Duration::try_from_secs_f64(s).unwrap_or_default()
}

/// A relay that only carries mail: one class, given up after four hours.
const PLAIN_SETTINGS: &str = r#"{
 "classes": [{"name": "mail", "aimMs": 60000, "deadlineMs": 14400000, "effect": "once", "lateWorth": 0.5, "worth": 1}],
 "extra": {"maxCalls": 32, "losesWorth": "line", "perCall": [], "ownLimits": []},
 "invariants": {"coldMs": 14000, "overloadFactor": 2, "overloadForMs": 3000, "startCapacity": 0.2},
 "limits": {"dialTimeoutMs": 5000, "keepaliveMs": 15000, "maxAttempts": 300, "maxRetryAfterMs": 2000,
  "maxStreams": 1, "mostHeld": 2000, "probes": false, "cancelling": true},
 "models": [], "siblings": 1, "tariffs": {}, "tenants": [], "tickMs": 5, "zone": "", "zones": []
}"#;

#[cfg(test)]
mod tests {
    use super::*;

    fn read(text: &str) -> Result<Option<MailSettings>, String> {
        let file = OperatorFile::parse(text).map_err(|e| e.to_string())?;
        let (mut settings, mut names) = crate::settings::read(&file.settings_text().unwrap()).unwrap();
        file.mail(&mut settings, &mut names).map_err(|e| e.to_string())
    }

    #[test]
    fn the_routing_example_works_and_no_server_is_named_twice() {
        let example = include_str!("../../deploy/routing.example.toml");
        let file = OperatorFile::parse(example).unwrap();
        assert_eq!(file.servers().len(), 7);
        let other =
            "[[server]]\nuid = \"x\"\naddress = \"127.0.0.1:1\"\nprotocol = \"http\"\ndestination = 2\n";
        let e = OperatorFile::parse(&format!("{example}{other}")).unwrap_err().to_string();
        assert!(e.contains("`parts` has the destination of a server"), "{e}");
    }

    #[test]
    fn the_example_works_and_what_is_wrong_is_said() {
        let example = include_str!("../../deploy/mail.example.toml");
        let mail = read(example).unwrap().unwrap();
        assert_eq!(mail.route("Anyone@PLANT-7.example"), Some(mail::destination(7)));
        assert_eq!((mail.route("a@b"), mail.bounce), (None, Some(mail::destination(9))));
        for (from, to) in [
            ("bounce = 9", "bounce = 8"),
            ("class = \"mail\"", "class = \"post\""),
            ("max_size = 61440", "max_size = 65536"),
            ("uid = \"mailhub\"", "uid = \"plant-7-a\""),
            ("state = \"draining\"", "state = \"drained\""),
            ("hostname", "hostnames"),
            ("domain = \"relay.example\"", "path = \"/\"\ndomain = \"relay.example\""),
        ] {
            assert!(example.contains(from) && read(&example.replace(from, to)).is_err(), "{to}");
        }
    }
}
