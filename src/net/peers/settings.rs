//! The operator's file on what writes outlast, and on the other relays.

use crate::net::listed::ConfigError;
use onyxstile_peers::NodeNo;
use onyxstile_recovery::Durability;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Relays of a fleet, at most: as many as a claim can ask.
const RELAYS_MOST: usize = 1000;

/// `[durability]`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DurabilityTable {
    /// `process` or `power`.
    level: Level,
    /// A file that says which start of the machine this is.
    #[serde(default = "boot_id")]
    boot_id: PathBuf,
    /// For rehearsals: by how much this relay's clock is off.
    #[serde(default)]
    clock_shift_s: f64,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Level {
    Process,
    Power,
}

fn boot_id() -> PathBuf {
    "/proc/sys/kernel/random/boot_id".into()
}

/// `[peers]`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeersTable {
    /// Where datagrams arrive; the platform's `peer_listen` without.
    listen: Option<SocketAddr>,
    /// The addresses of all relays, this one's own included, in the same order at each; the platform's `peers` without.
    addresses: Option<Vec<SocketAddr>>,
    /// The fleet's name, the same at each of them: what relays of other fleets say is not heard.
    #[serde(default)]
    fleet: String,
    /// This relay's place among them, from 0; where `listen` is among them without.
    number: Option<u16>,
    /// Places of relays that are gone for good: they stay in `addresses`, and nobody waits for their word any more.
    #[serde(default)]
    gone: Vec<u16>,
}

/// What writes outlast.
#[derive(Debug, Clone)]
pub struct DurabilitySettings {
    /// How much.
    pub durability: Durability,
    /// Which start of the machine this is; empty if nobody can tell.
    pub boot: String,
    /// By how much the clock is off, in milliseconds.
    pub shift_ms: i64,
}

/// The other relays.
#[derive(Debug, Clone)]
pub struct PeersSettings {
    /// Where datagrams arrive.
    pub listen: SocketAddr,
    /// The digest of the fleet's name.
    pub fleet: u32,
    /// All relays.
    pub addresses: Vec<SocketAddr>,
    /// This one.
    pub number: NodeNo,
    /// Those that are gone for good.
    pub gone: BTreeSet<NodeNo>,
}

impl DurabilityTable {
    /// What it comes to.
    ///
    /// # Errors
    /// A clock that is off by no time at all.
    pub fn check(&self) -> Result<DurabilitySettings, ConfigError> {
        if !self.clock_shift_s.is_finite() || self.clock_shift_s.abs() > 1e9 {
            return Err(ConfigError("durability: `clock_shift_s` is no time".into()));
        }
        let durability = match self.level {
            Level::Process => Durability::Process,
            Level::Power => Durability::Power,
        };
        // Without an answer any start may be another one.
        let boot = std::fs::read_to_string(&self.boot_id).unwrap_or_default();
        let boot = boot.trim().chars().take(64).collect();
        Ok(DurabilitySettings { durability, boot, shift_ms: (self.clock_shift_s * 1e3) as i64 })
    }
}

impl PeersTable {
    /// What it comes to, with what the platform says.
    ///
    /// # Errors
    /// No address to listen on, this relay is not among all, or one that is gone is not, or is this one.
    pub fn check(
        &self, platform_listen: Option<SocketAddr>, platform_peers: &[SocketAddr],
    ) -> Result<PeersSettings, ConfigError> {
        let wrong = |what: &str| ConfigError(format!("peers: {what}"));
        let listen = self.listen.or(platform_listen).ok_or_else(|| wrong("`listen` is missing"))?;
        let addresses = self.addresses.clone().unwrap_or_else(|| platform_peers.to_vec());
        let own = addresses.iter().position(|a| *a == listen).and_then(|n| u16::try_from(n).ok());
        let number = self.number.or(own).ok_or_else(|| wrong("`listen` is not among `addresses`"))?;
        if addresses.len() > RELAYS_MOST || usize::from(number) >= addresses.len() {
            return Err(wrong("`number` is no place in `addresses`, or there are too many"));
        }
        if let Some(gone) = self.gone.iter().find(|n| **n == number || usize::from(**n) >= addresses.len()) {
            return Err(wrong(&format!(
                "`gone` names {gone}, which is this relay or no place in `addresses`"
            )));
        }
        let gone = self.gone.iter().copied().map(NodeNo).collect();
        let fleet = onyxstile_peers::book::name_digest(&self.fleet);
        Ok(PeersSettings { listen, fleet, addresses, number: NodeNo(number), gone })
    }
}

/// How long flows that were over before this process began may still be asked about.
pub const ID_MEMORY: Duration = Duration::from_secs(120);
/// Ids remembered, at most.
pub const IDS_MOST: usize = 65_536;

#[cfg(test)]
mod tests;
