//! Real servers as discovery and the operator list them, and the error of a configuration that cannot work.

use super::mail::Dialect;
use serde::{Deserialize, Serialize};
use std::fmt;

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
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
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

/// How a real server is spoken to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Wire {
    /// The platform's protocol.
    Http,
    /// Mail.
    Mail(Dialect),
}

/// A real server that the operator names.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FixedServer {
    /// In discovery's form.
    pub entry: RawEntry,
    /// How it is spoken to.
    pub wire: Wire,
}
