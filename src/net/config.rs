//! What a relay is told at its start: the environment and the platform's configuration.

use crate::api::Settings;
use crate::settings::{self, Names};
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A configuration that cannot work.
#[derive(Debug)]
pub struct ConfigError(pub String);

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ConfigError {}

/// One entry of discovery's list.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct RawEntry {
    /// Its lasting name.
    pub uid: String,
    /// Its address.
    pub endpoint: String,
    /// Its zone.
    #[serde(default)]
    pub az: String,
    /// Its kind.
    #[serde(default)]
    pub model: String,
    /// Its destination.
    pub pod_group: u64,
    /// `up`, `draining` or `removed`.
    pub state: String,
    /// What the settings' weight source says.
    #[serde(default)]
    pub capacity_hint: f64,
}

/// Discovery's list, or what changed in it.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
pub struct RawList {
    /// Its version.
    pub rev: u64,
    /// Whether this is all of it.
    #[serde(default)]
    pub all: bool,
    /// The entries.
    #[serde(default)]
    pub targets: Vec<RawEntry>,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(default)]
struct RawLimits {
    sockets: usize,
    disk_mb: f64,
}

impl Default for RawLimits {
    fn default() -> Self {
        RawLimits { sockets: 1024, disk_mb: 64.0 }
    }
}

#[derive(Deserialize)]
struct RawConfig {
    #[serde(default)]
    name: String,
    listen: Option<String>,
    discovery: Option<String>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: RawLimits,
    #[serde(default)]
    known: RawList,
    settings: serde_json::Value,
}

/// What the relay runs by.
#[derive(Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Discovery.
    pub discovery: SocketAddr,
    /// The folder that lasts.
    pub state: PathBuf,
    /// Most bytes in it.
    pub disk: u64,
    /// Most file descriptors.
    pub sockets: usize,
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
    /// Reads the environment and the file that it names.
    ///
    /// # Errors
    /// What is missing or cannot be read.
    pub fn from_environment() -> Result<Config, ConfigError> {
        let variable = |name: &str| std::env::var(name).ok().filter(|v| !v.is_empty());
        let path = variable("GW_CONFIG").ok_or(ConfigError("GW_CONFIG is not set".into()))?;
        let text = std::fs::read_to_string(&path).map_err(|e| ConfigError(format!("{path}: {e}")))?;
        let state = variable("GW_STATE").ok_or(ConfigError("GW_STATE is not set".into()))?;
        let mut config = Config::read(&text, state.into())?;
        if let Some(listen) = variable("GW_LISTEN") {
            config.listen = address("GW_LISTEN", &listen)?;
        }
        if let Some(discovery) = variable("GW_DISCOVERY") {
            config.discovery = address("GW_DISCOVERY", &discovery)?;
        }
        config.name = variable("GW_NAME").unwrap_or(config.name);
        Ok(config)
    }

    /// Reads the platform's configuration.
    ///
    /// # Errors
    /// What is missing or cannot be read.
    pub fn read(text: &str, state: PathBuf) -> Result<Config, ConfigError> {
        let raw: RawConfig =
            serde_json::from_str(text).map_err(|e| ConfigError(format!("configuration: {e}")))?;
        let (settings, names) =
            settings::read(&raw.settings.to_string()).map_err(|e| ConfigError(format!("settings: {e}")))?;
        let needed = |what: &str, value: Option<String>| {
            value.ok_or(ConfigError(format!("{what} is missing"))).and_then(|v| address(what, &v))
        };
        // Any text serves as a seed; hexadecimal digits are what the platform writes.
        let seed = u64::from_str_radix(&raw.seed, 16).unwrap_or_else(|_| {
            raw.seed.bytes().fold(1, |s: u64, b| s.wrapping_mul(31).wrapping_add(b.into()))
        });
        Ok(Config {
            name: raw.name,
            listen: needed("listen", raw.listen)?,
            discovery: needed("discovery", raw.discovery)?,
            state,
            disk: (raw.limits.disk_mb.max(0.0) * 1e6) as u64,
            sockets: raw.limits.sockets,
            seed,
            known: raw.known,
            settings,
            names,
        })
    }
}

fn address(what: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError(format!("{what}: `{text:.60}` is no address with a port")))
}
