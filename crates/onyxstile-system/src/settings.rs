//! The settings file of a process (`boot.toml`), provided by the platform. Unknown fields are ignored.

pub mod lenient;
mod metrics_address;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::time::Duration;

use quick_error::quick_error;
use serde::Deserialize;

use crate::tolerance::{Location, Tolerance};
pub use metrics_address::{MetricsAddress, MetricsAddressError};

/// Environment variable with the path of the settings file.
pub const PATH_VARIABLE: &str = "ONYXSTILE_CONFIG";

quick_error! {
    /// Why a settings file cannot be used.
    #[derive(Debug)]
    pub enum SettingsError {
        /// The environment variable is not set.
        NoPath {
            display("the variable {} is not set", PATH_VARIABLE)
        }
        /// The file cannot be read.
        Unreadable(path: PathBuf, error: std::io::Error) {
            display("{}: {}", path.display(), error)
        }
        /// The file is not valid TOML or lacks a field.
        Malformed(path: PathBuf, error: String) {
            display("{}: {}", path.display(), error)
        }
        /// The value of a field is not supported.
        Unusable(path: PathBuf, field: &'static str, reason: String) {
            display("{}: {}: {}", path.display(), field, reason)
        }
    }
}

/// Addresses that a process listens on. Which of them are present depends on its role.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct Listen {
    /// Client connections (edge).
    #[serde(default, deserialize_with = "lenient::optional_address")]
    pub front: Option<SocketAddrV4>,
    /// Readiness checks of the platform (edge).
    #[serde(default, deserialize_with = "lenient::optional_address")]
    pub readiness: Option<SocketAddrV4>,
    /// Endpoints and the operator (control plane).
    #[serde(default, deserialize_with = "lenient::optional_address")]
    pub control: Option<SocketAddrV4>,
    /// Updates from the agent to the proxy, for hosts with several relays. The default is the second internal port on
    /// loopback.
    #[serde(default, deserialize_with = "lenient::optional_address")]
    pub feed: Option<SocketAddrV4>,
}

/// Resource limits of the process.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Memory limit in MB, above which the process is killed.
    #[serde(deserialize_with = "lenient::whole_number")]
    pub memory_mb: u64,
    /// Maximum number of open descriptors, 200 of which are reserved for files outside the data folder.
    #[serde(deserialize_with = "lenient::whole_number")]
    pub max_fds: u64,
    /// Disk capacity in MB.
    #[serde(deserialize_with = "lenient::whole_number")]
    pub disk_mb: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { memory_mb: 128, max_fds: 1024, disk_mb: 0 }
    }
}

impl Limits {
    /// Memory limit in bytes.
    pub fn memory_bytes(&self) -> usize {
        (self.memory_mb as usize).saturating_mul(1024 * 1024)
    }
}

/// Accepted range for the time between SIGTERM and SIGKILL, in seconds.
const GRACE_RANGE_S: (f64, f64) = (0.5, 24.0 * 3600.0);

/// Time reserved before SIGKILL to send the last bytes.
const KILL_MARGIN: Duration = Duration::from_millis(400);

/// Time bounds of the deployment, provided by the platform. The defaults suit a small deployment.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Time after its acknowledgement within which a drain takes effect on each relay, in ms.
    #[serde(deserialize_with = "lenient::whole_number")]
    pub drain_ms: u64,
    /// Time between SIGTERM and SIGKILL, in seconds.
    pub grace_s: f64,
    /// Time after its acknowledgement within which a configuration takes effect, in ms.
    #[serde(deserialize_with = "lenient::whole_number")]
    pub config_apply_ms: u64,
    /// Time within which a machine that returns must be fully in service, in seconds.
    pub catch_up_s: f64,
    /// Maximum delay for forwarding a stream event, in ms.
    #[serde(deserialize_with = "lenient::whole_number")]
    pub pass_ms: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds { drain_ms: 2000, grace_s: 8.0, config_apply_ms: 2000, catch_up_s: 4.0, pass_ms: 120 }
    }
}

/// All settings of a process.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// Name of the machine, assigned by the operator.
    pub node_name: String,
    /// `edge`, `core` or `storage`.
    #[serde(default)]
    pub machine_class: String,
    /// Address of the machine.
    pub ip: Ipv4Addr,
    /// Zone of the machine.
    #[serde(default)]
    pub zone: String,
    /// First and last port that is reserved for internal communication.
    pub internal_port_range: (u16, u16),
    /// Control addresses of some machines, as listed by the operator.
    #[serde(default)]
    pub seed_nodes: Vec<SocketAddrV4>,
    /// True only for the first start of the whole system, with empty disks.
    #[serde(default)]
    pub bootstrap: bool,
    /// Whether the loss of this machine counts towards `fault_tolerance`.
    #[serde(default)]
    pub counts_for_quorum: bool,
    /// Data folder, on machines with a disk.
    pub data_dir: Option<PathBuf>,
    /// Approximate interval of endpoint heartbeats, in ms.
    #[serde(default = "default_heartbeat_ms", deserialize_with = "lenient::whole_number")]
    pub heartbeat_ms: u64,
    /// Region of each zone.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// Addresses to listen on.
    #[serde(default)]
    pub listen: Listen,
    /// Resource limits.
    #[serde(default)]
    pub limits: Limits,
    /// Losses that must be tolerated.
    #[serde(default)]
    pub fault_tolerance: Tolerance,
    /// Time bounds.
    #[serde(default)]
    pub bounds: Bounds,
    /// Address that metrics are served at. It comes from the command line, since two processes of a machine share the
    /// settings file.
    #[serde(skip)]
    pub metrics: Option<MetricsAddress>,
}

fn default_heartbeat_ms() -> u64 {
    1000
}

impl Settings {
    /// Reads the file named by the environment variable [`PATH_VARIABLE`].
    pub fn from_environment() -> Result<Settings, SettingsError> {
        let path = std::env::var_os(PATH_VARIABLE).ok_or(SettingsError::NoPath)?;
        Settings::read(Path::new(&path))
    }

    /// Reads and validates a settings file.
    pub fn read(path: &Path) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| SettingsError::Unreadable(path.to_owned(), error))?;
        Settings::parse(path, &text)
    }

    /// Parses and validates the text of a settings file; `path` is used only in error messages.
    pub fn parse(path: &Path, text: &str) -> Result<Settings, SettingsError> {
        let settings: Settings = toml::from_str(text)
            .map_err(|error| SettingsError::Malformed(path.to_owned(), error.to_string()))?;
        let (first, last) = settings.internal_port_range;
        if first == 0 || last < first.saturating_add(1) {
            let reason = format!("the range {first} to {last} holds fewer than two ports");
            return Err(SettingsError::Unusable(path.to_owned(), "internal_port_range", reason));
        }
        if settings.heartbeat_ms == 0 {
            return Err(SettingsError::Unusable(path.to_owned(), "heartbeat_ms", "must not be 0".into()));
        }
        Ok(settings)
    }

    /// Port for communication between controllers, storage machines and agents, over TCP and UDP.
    pub fn peer_port(&self) -> u16 {
        self.internal_port_range.0
    }

    /// Port at which a proxy receives updates from its agent, on loopback only.
    pub fn feed_port(&self) -> u16 {
        self.internal_port_range.0 + 1
    }

    /// Address at which a proxy receives updates from its agent. A machine whose own address is on loopback uses that, so that
    /// several of them fit on one host.
    pub fn feed_address(&self) -> SocketAddrV4 {
        let ip = if self.ip.is_loopback() { self.ip } else { Ipv4Addr::LOCALHOST };
        self.listen.feed.unwrap_or(SocketAddrV4::new(ip, self.feed_port()))
    }

    /// Addresses of the seed machines.
    pub fn seed_addresses(&self) -> Vec<Ipv4Addr> {
        self.seed_nodes.iter().map(|seed| *seed.ip()).collect()
    }

    /// The location (region and zone) of a machine in `zone`.
    pub fn location(&self, zone: &str) -> Location {
        let region = self.zones.get(zone).cloned().unwrap_or_default();
        Location { region, zone: zone.to_owned() }
    }

    /// Time between SIGTERM and SIGKILL, limited to the accepted range.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.bounds.grace_s.max(GRACE_RANGE_S.0).min(GRACE_RANGE_S.1))
    }
}

/// Time that a role may take to shut down if SIGKILL follows SIGTERM after `grace`. It leaves a margin to send the last
/// bytes.
pub fn shutdown_time(grace: Duration) -> Duration {
    grace.saturating_sub(KILL_MARGIN)
}
