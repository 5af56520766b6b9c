//! The operator's file: what the platform does not set up. TOML.

mod mail;
mod tables;

use super::listed::{ConfigError, FixedServer, RawEntry, Wire};
use super::mail::{self as mail_front, Dialect, MailSettings, Times};
use super::peers::settings::{DurabilityTable, PeersTable};
use super::trace::settings::TraceTable;
use super::undelivered::settings::UndeliveredTable;
use crate::api::{DestinationId, Effect, Settings};
use crate::settings::Names;
use mail::MAIL_KIND;
pub use mail::MailTable;
use onyxstile_routing::config::UpstreamConfig;
use onyxstile_routing::{RoutingConfig, Table};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tables::Protocol;
pub use tables::{HttpTable, PluginsTable, RelayTable, RouteTable, ServerTable};

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
    /// What writes to the folder that lasts outlast.
    pub durability: Option<DurabilityTable>,
    /// The other relays of the fleet.
    pub peers: Option<PeersTable>,
    /// Scripts called at points of a flow's life.
    #[serde(default)]
    pub plugins: PluginsTable,
    /// The module's settings without a platform, in the platform's words.
    pub settings: Option<toml::Table>,
}

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
            Some(m) if !mail_front::address::is_domain(&m.hostname) => {
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
                pod_group: if is_mail { mail_front::destination(s.destination).0 } else { s.destination },
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
            let plain = crate::api::KindSettings { per_call: 1, independent_routes: false };
            settings.kinds.resize(names.kinds.len() - 1, plain);
            settings.kinds.push(crate::api::KindSettings { per_call: 1, independent_routes: true });
        }
    }
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
mod tests;
