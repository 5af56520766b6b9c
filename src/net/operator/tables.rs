//! The file's plainer tables.

use super::*;

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

/// A real server.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerTable {
    pub(super) uid: String,
    pub(super) address: SocketAddr,
    pub(super) protocol: Protocol,
    pub(super) destination: u64,
    #[serde(default = "default_state")]
    pub(super) state: String,
    #[serde(default)]
    pub(super) kind: String,
    #[serde(default)]
    pub(super) zone: String,
    #[serde(default)]
    pub(super) rate: f64,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum Protocol {
    Http,
    Smtp,
    Lmtp,
}

/// Where a recipient's domain or a path belongs.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteTable {
    pub(super) domain: Option<String>,
    pub(super) path: Option<String>,
    pub(super) destination: u64,
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
fn default_state() -> String {
    "up".into()
}
