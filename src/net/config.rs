//! What a relay is told at its start: the environment and the platform's configuration.

use super::listed::{ConfigError, FixedServer, RawList};
use super::mail::MailSettings;
use super::operator::OperatorFile;
use super::peers::settings::{DurabilitySettings, PeersSettings};
use super::shares::Shares;
use super::trace::settings::{TraceSettings, shares};
use super::undelivered::settings::UndeliveredSettings;
use crate::api::{DestinationId, Settings};
use crate::plugin::Hooks;
use crate::settings::{self, Names};
use onyxstile_routing::RoutingConfig;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(default)]
struct RawLimits {
    sockets: usize,
    disk_mb: f64,
    memory_mb: f64,
}

impl Default for RawLimits {
    fn default() -> Self {
        RawLimits { sockets: 1024, disk_mb: 64.0, memory_mb: 64.0 }
    }
}

#[derive(Deserialize)]
struct RawConfig {
    #[serde(default)]
    name: String,
    listen: Option<String>,
    admin: Option<String>,
    discovery: Option<String>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: RawLimits,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    #[serde(default)]
    known: RawList,
    settings: serde_json::Value,
}

/// The HTTP front.
#[derive(Debug, Clone)]
pub struct HttpSettings {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Who is told how flows ended; where nobody is, the log is.
    pub outcomes: Option<SocketAddr>,
    /// Destinations by path, for requests that name none.
    pub paths: Vec<(String, DestinationId)>,
    /// Classes and how long their flows live, for requests that do not say it.
    pub classes: Vec<(String, Duration)>,
}

/// What the relay runs by.
#[derive(Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// The HTTP front.
    pub http: Option<HttpSettings>,
    /// Where operators call, if they can.
    pub admin: Option<SocketAddr>,
    /// Discovery, where there is one.
    pub discovery: Option<SocketAddr>,
    /// The mail front.
    pub mail: Option<MailSettings>,
    /// The operator's scripts.
    pub hooks: Rc<Hooks>,
    /// Real servers that the operator names.
    pub fixed: Vec<FixedServer>,
    /// The routing table.
    pub routing: Option<RoutingConfig>,
    /// What is recorded, if anything is.
    pub trace: Option<TraceSettings>,
    /// What is kept of what fails, if anything is.
    pub undelivered: Option<UndeliveredSettings>,
    /// What writes outlast, if the operator says that.
    pub durability: Option<DurabilitySettings>,
    /// The other relays, if they are wanted.
    pub peers: Option<PeersSettings>,
    /// The platform's addresses of them.
    platform_peers: (Option<SocketAddr>, Vec<SocketAddr>),
    /// The folder that lasts.
    pub state: PathBuf,
    /// Most bytes in it.
    pub disk: u64,
    /// How descriptors and memory are divided.
    pub shares: Shares,
    /// For random numbers.
    pub seed: u64,
    /// The list as this relay last held it.
    pub known: RawList,
    /// The module's settings.
    pub settings: Settings,
    /// The names in them.
    pub names: Names,
}

impl Config {
    /// Reads the environment, the file that it names, and the operator's file if there is one.
    ///
    /// # Errors
    /// What is missing or cannot be read.
    pub fn load(operator: Option<&Path>) -> Result<Config, ConfigError> {
        let variable = |name: &str| std::env::var(name).ok().filter(|v| !v.is_empty());
        let file = operator.map(OperatorFile::read).transpose()?;
        let mut config = match (variable("GW_CONFIG"), &file) {
            (Some(path), _) => {
                let text = std::fs::read_to_string(&path).map_err(|e| ConfigError(format!("{path}: {e}")))?;
                let state = variable("GW_STATE").ok_or(ConfigError("GW_STATE is not set".into()))?;
                Config::platform(&text, state.into(), &variable)?
            }
            (None, Some(file)) => Config::alone(file)?,
            (None, None) => return Err(ConfigError("GW_CONFIG is not set, and no file is given".into())),
        };
        if let Some(file) = file {
            config.mail = file.mail(&mut config.settings, &mut config.names)?;
            file.add_routed_kind(&mut config.settings, &mut config.names);
            config.fixed = file.servers();
            config.routing = file.routing.clone();
            if let Some(trace) = &file.trace {
                let trace = trace.check(&config.state, config.disk)?;
                // What lies in one folder counts against one limit.
                let taken = if shares(&trace.folder, &config.state) { trace.total } else { 0 };
                config.disk -= taken.min(config.disk);
                config.trace = Some(trace);
            }
            config.durability = file.durability.as_ref().map(|d| d.check()).transpose()?;
            let (listen, all) = &config.platform_peers;
            config.peers = file.peers.as_ref().map(|p| p.check(*listen, all)).transpose()?;
            if let Some(table) = &file.undelivered {
                let kept = table.check(&config.state, config.disk)?;
                let taken = if shares(&kept.folder, &config.state) { kept.store.limit } else { 0 };
                config.disk -= taken.min(config.disk);
                config.undelivered = Some(kept);
            }
            config.hooks =
                Rc::new(Hooks::load(&file.plugins.scripts).map_err(|e| ConfigError(e.to_string()))?);
            if let Some(http) = &mut config.http {
                http.paths = file.paths();
                let classes = config.names.classes.iter().zip(&config.settings.classes);
                http.classes = classes.map(|(name, c)| (name.clone(), c.deadline)).collect();
            }
        }
        config.settings.check().map_err(|e| ConfigError(e.to_string()))?;
        Ok(config)
    }

    /// A relay of the platform's.
    fn platform(
        text: &str, state: PathBuf, variable: &dyn Fn(&str) -> Option<String>,
    ) -> Result<Config, ConfigError> {
        let raw: RawConfig =
            serde_json::from_str(text).map_err(|e| ConfigError(format!("configuration: {e}")))?;
        let (settings, names) =
            settings::read(&raw.settings.to_string()).map_err(|e| ConfigError(format!("settings: {e}")))?;
        let needed = |name: &str, value: Option<String>| {
            // The file comes first: it may have been replaced since the process was given its environment.
            let value = value.or_else(|| variable(name)).ok_or(ConfigError(format!("{name} is not set")))?;
            value.parse().map_err(|_| ConfigError(format!("{name}: `{value:.60}` is no address with a port")))
        };
        // Any text serves as a seed; hexadecimal digits are what the platform writes.
        let seed = u64::from_str_radix(&raw.seed, 16).unwrap_or_else(|_| {
            raw.seed.bytes().fold(1, |s: u64, b| s.wrapping_mul(31).wrapping_add(b.into()))
        });
        let discovery: SocketAddr = needed("GW_DISCOVERY", raw.discovery)?;
        let listen: SocketAddr = needed("GW_LISTEN", raw.listen)?;
        // Here the environment comes first: two processes that share the file, as a new version takes over, each
        // have an address of their own.
        let admin = variable("GW_ADMIN").or(raw.admin).filter(|a| !a.is_empty());
        let admin: Option<SocketAddr> = admin.map(|a| needed("GW_ADMIN", Some(a))).transpose()?;
        if let Some(admin) = admin.filter(|a| a.port() != 0 && (*a == listen || *a == discovery)) {
            let whose = if admin == listen { "the clients'" } else { "discovery's" };
            return Err(ConfigError(format!("admin: {admin} is {whose} address too")));
        }
        Ok(Config {
            name: variable("GW_NAME").unwrap_or(raw.name),
            http: Some(HttpSettings {
                listen,
                outcomes: Some(discovery),
                paths: Vec::new(),
                classes: Vec::new(),
            }),
            admin,
            discovery: Some(discovery),
            mail: None,
            hooks: no_hooks()?,
            fixed: Vec::new(),
            routing: None,
            trace: None,
            undelivered: None,
            durability: None,
            peers: None,
            platform_peers: (raw.peer_listen, raw.peers),
            state,
            disk: (raw.limits.disk_mb.max(0.0) * 1e6) as u64,
            shares: Shares::of(raw.limits.sockets, raw.limits.memory_mb, settings.max_calls),
            seed,
            known: raw.known,
            settings,
            names,
        })
    }

    /// A relay that only the operator's file tells of.
    fn alone(file: &OperatorFile) -> Result<Config, ConfigError> {
        let relay =
            file.relay.clone().ok_or(ConfigError("without a platform, [relay] has to say `state`".into()))?;
        let (settings, names) =
            settings::read(&file.settings_text()?).map_err(|e| ConfigError(format!("settings: {e}")))?;
        let http = file.http.as_ref();
        let http = http.map(|h| HttpSettings {
            listen: h.listen,
            outcomes: h.outcomes,
            paths: Vec::new(),
            classes: Vec::new(),
        });
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Ok(Config {
            name: relay.name.unwrap_or_else(|| file.mail.as_ref().map_or("onyxstile", |_| "mail").into()),
            http,
            admin: relay.admin,
            discovery: None,
            mail: None,
            hooks: no_hooks()?,
            fixed: Vec::new(),
            routing: None,
            trace: None,
            undelivered: None,
            durability: None,
            peers: None,
            platform_peers: (None, Vec::new()),
            state: relay.state,
            disk: (relay.disk_mb.max(0.0) * 1e6) as u64,
            shares: Shares::of(relay.sockets, relay.memory_mb, settings.max_calls),
            seed: since.as_nanos() as u64 ^ u64::from(std::process::id()),
            known: RawList::default(),
            settings,
            names,
        })
    }
}

fn no_hooks() -> Result<Rc<Hooks>, ConfigError> {
    Hooks::load(&[]).map(Rc::new).map_err(|e| ConfigError(e.to_string()))
}
