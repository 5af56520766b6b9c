//! The settings file of one process (`boot.toml`): what the platform tells it at the start. Unknown fields are ignored.

mod metrics_address;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::time::Duration;

use quick_error::quick_error;
use serde::Deserialize;

use crate::tolerance::{Location, Tolerance};
pub use metrics_address::{MetricsAddress, MetricsAddressError};

/// The variable that holds the path of the settings file.
pub const PATH_VARIABLE: &str = "ONYXSTILE_CONFIG";

quick_error! {
    /// Why a settings file can't be used.
    #[derive(Debug)]
    pub enum SettingsError {
        /// The variable that names the file is not set.
        NoPath {
            display("the variable {} is not set", PATH_VARIABLE)
        }
        /// The file can't be read.
        Unreadable(path: PathBuf, error: std::io::Error) {
            display("{}: {}", path.display(), error)
        }
        /// The file is not valid TOML or lacks a field.
        Malformed(path: PathBuf, error: String) {
            display("{}: {}", path.display(), error)
        }
        /// A field holds a value that this program can't work with.
        Unusable(path: PathBuf, field: &'static str, reason: String) {
            display("{}: {}: {}", path.display(), field, reason)
        }
    }
}

/// The addresses that a role listens on; which are present depends on what the role serves.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct Listen {
    /// Where clients connect (edge).
    pub front: Option<SocketAddrV4>,
    /// Where the platform asks for readiness (edge).
    pub readiness: Option<SocketAddrV4>,
    /// Where endpoints and the operator connect (control plane).
    pub control: Option<SocketAddrV4>,
    /// Where a proxy hears its agent, for hosts with several relays; by default loopback, at the second internal port.
    pub feed: Option<SocketAddrV4>,
}

/// What the machine grants the process.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Memory in MB above which the process is killed.
    pub memory_mb: u64,
    /// Open descriptors, 200 of which are kept for files outside the disk folder.
    pub max_fds: u64,
    /// Room on the disk in MB.
    pub disk_mb: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { memory_mb: 128, max_fds: 1024, disk_mb: 0 }
    }
}

/// The shortest and the longest time, in seconds, that is believed to pass between SIGTERM and the kill.
const GRACE_RANGE_S: (f64, f64) = (0.5, 24.0 * 3600.0);

/// Room before the kill for the last bytes to leave.
const KILL_MARGIN: Duration = Duration::from_millis(400);

/// Time bounds of the deployment. All are given by the platform; the defaults are those of a small deployment.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Within this many ms after its acknowledgement a drain is in force on each relay.
    pub drain_ms: u64,
    /// Seconds between SIGTERM and SIGKILL.
    pub grace_s: f64,
    /// Within this many ms after its acknowledgement a configuration is in force.
    pub config_apply_ms: u64,
    /// Seconds that a returned machine has until it must carry its part again.
    pub catch_up_s: f64,
    /// A stream's event may be held this many ms.
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
    /// The machine's name, as the operator calls it.
    pub node_name: String,
    /// `edge`, `core` or `storage`.
    #[serde(default)]
    pub machine_class: String,
    /// The machine's address.
    pub ip: Ipv4Addr,
    /// The zone that the machine stands in.
    #[serde(default)]
    pub zone: String,
    /// First and last port left free for what relays say to each other.
    pub internal_port_range: (u16, u16),
    /// Control addresses of some machines, as the operator's list gave them.
    #[serde(default)]
    pub seed_nodes: Vec<SocketAddrV4>,
    /// True only at the first start of the whole system, on empty disks.
    #[serde(default)]
    pub bootstrap: bool,
    /// Whether the loss of this machine is counted by `fault_tolerance`.
    #[serde(default)]
    pub counts_for_quorum: bool,
    /// The folder for data, on machines with a disk.
    pub data_dir: Option<PathBuf>,
    /// About how often an endpoint sends a heartbeat, in ms.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Zones with the region of each.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// Where to listen.
    #[serde(default)]
    pub listen: Listen,
    /// What the machine grants.
    #[serde(default)]
    pub limits: Limits,
    /// What may be lost.
    #[serde(default)]
    pub fault_tolerance: Tolerance,
    /// Time bounds.
    #[serde(default)]
    pub bounds: Bounds,
    /// Where this process tells its figures; from the command line, for two processes of a machine share this file.
    #[serde(skip)]
    pub metrics: Option<MetricsAddress>,
}

fn default_heartbeat_ms() -> u64 {
    1000
}

impl Settings {
    /// Reads the file that the variable [`PATH_VARIABLE`] names.
    pub fn from_environment() -> Result<Settings, SettingsError> {
        let path = std::env::var_os(PATH_VARIABLE).ok_or(SettingsError::NoPath)?;
        Settings::read(Path::new(&path))
    }

    /// Reads and checks one file.
    pub fn read(path: &Path) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| SettingsError::Unreadable(path.to_owned(), error))?;
        Settings::parse(path, &text)
    }

    /// Parses and checks a settings file's text; `path` is for messages only.
    pub fn parse(path: &Path, text: &str) -> Result<Settings, SettingsError> {
        let settings: Settings = toml::from_str(text)
            .map_err(|error| SettingsError::Malformed(path.to_owned(), error.to_string()))?;
        let (first, last) = settings.internal_port_range;
        if first == 0 || last < first.saturating_add(1) {
            let reason = format!("{first} to {last} holds fewer than two ports");
            return Err(SettingsError::Unusable(path.to_owned(), "internal_port_range", reason));
        }
        if settings.heartbeat_ms == 0 {
            return Err(SettingsError::Unusable(path.to_owned(), "heartbeat_ms", "is 0".into()));
        }
        Ok(settings)
    }

    /// The port on which controllers, storage machines and agents hear each other, by TCP and UDP.
    pub fn peer_port(&self) -> u16 {
        self.internal_port_range.0
    }

    /// The port on which a proxy hears its agent, on loopback only.
    pub fn feed_port(&self) -> u16 {
        self.internal_port_range.0 + 1
    }

    /// Where a proxy hears its agent.
    pub fn feed_address(&self) -> SocketAddrV4 {
        self.listen.feed.unwrap_or(SocketAddrV4::new(Ipv4Addr::LOCALHOST, self.feed_port()))
    }

    /// Machine addresses of the seeds.
    pub fn seed_addresses(&self) -> Vec<Ipv4Addr> {
        self.seed_nodes.iter().map(|seed| *seed.ip()).collect()
    }

    /// Where a machine of `zone` stands.
    pub fn location(&self, zone: &str) -> Location {
        let region = self.zones.get(zone).cloned().unwrap_or_default();
        Location { region, zone: zone.to_owned() }
    }

    /// How long a process has between SIGTERM and the kill.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.bounds.grace_s.max(GRACE_RANGE_S.0).min(GRACE_RANGE_S.1))
    }
}

/// How long a role may take to end where the kill comes `grace` after SIGTERM: the last bytes leave before that.
pub fn shutdown_time(grace: Duration) -> Duration {
    grace.saturating_sub(KILL_MARGIN)
}
