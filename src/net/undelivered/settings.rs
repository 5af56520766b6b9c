//! `[undelivered]` of the operator's file.

use crate::net::listed::ConfigError;
use crate::net::mail;
use onyxstile_store::Options;
use onyxstile_undelivered::Rules;
use onyxstile_undelivered::rules::RuleTable;
use serde::Deserialize;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// What waits for the disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SyncPolicy {
    /// Nothing: a killed process loses nothing, a loss of power may, and may let a message take effect twice.
    None,
    /// The beginning of a resend: a loss of power may cost messages that were kept just before, and lets nothing take
    /// effect twice.
    Begins,
    /// Everything.
    All,
}

/// The table as it stands.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UndeliveredTable {
    /// Where messages are kept; named from where the file is. Otherwise `undelivered` in the folder that lasts.
    pub folder: Option<PathBuf>,
    #[serde(default = "disk_mb")]
    disk_mb: f64,
    #[serde(default = "keep_h")]
    keep_h: f64,
    #[serde(default = "most")]
    most: usize,
    customer_mb: Option<f64>,
    #[serde(default = "sync")]
    sync: SyncPolicy,
    #[serde(default)]
    rule: Vec<RuleTable>,
}

fn disk_mb() -> f64 {
    16.0
}
fn keep_h() -> f64 {
    72.0
}
fn most() -> usize {
    10_000
}
fn sync() -> SyncPolicy {
    SyncPolicy::Begins
}

/// What a keeper goes by.
#[derive(Debug, Clone)]
pub struct UndeliveredSettings {
    /// Where messages are kept.
    pub folder: PathBuf,
    /// How the store is kept.
    pub store: Options,
    /// What waits for the disk.
    pub sync: SyncPolicy,
    /// What is kept and when it goes.
    pub rules: Rules,
}

/// How a store of so many bytes is kept.
pub fn store_options(limit: u64) -> Options {
    Options { limit, segment: 1 << 20, commit: 1 << 20, verify: true }
}

impl UndeliveredTable {
    /// Checks it. `state`: the folder that lasts. `disk`: bytes allowed in it.
    ///
    /// # Errors
    /// A figure that cannot work, or no room beside the journal.
    pub fn check(&self, state: &Path, disk: u64) -> Result<UndeliveredSettings, ConfigError> {
        let wrong = |what: &str| Err(ConfigError(format!("undelivered: {what}")));
        if !(0.25..=100_000.0).contains(&self.disk_mb) {
            return wrong("`disk_mb` has to be from 0.25 to 100000");
        }
        if !(1..=1_000_000).contains(&self.most) {
            return wrong("`most` has to be from 1 to 1000000");
        }
        let keep_for = Duration::try_from_secs_f64(self.keep_h * 3600.0);
        let Some(keep_for) =
            keep_for.ok().filter(|k| !k.is_zero() && *k <= Duration::from_secs(3660 * 86_400))
        else {
            return wrong("`keep_h` has to be above 0, and ten years at most");
        };
        let limit = (self.disk_mb * 1e6) as u64;
        let folder = self.folder.clone().unwrap_or_else(|| state.join("undelivered"));
        if crate::net::trace::settings::shares(&folder, state) && limit > disk / 2 {
            return wrong("`disk_mb` is over half of what the folder of the journal may hold");
        }
        // What a store can hold for good (`Store::capacity`), but for what it needs for each record.
        let bytes = limit / 4;
        let customer_bytes = self.customer_mb.map_or(bytes, |mb| (mb.max(0.0) * 1e6) as u64);
        let mut rules = Vec::new();
        for table in &self.rule {
            let mut rule = table.check().map_err(|e| ConfigError(e.to_string()))?;
            // As the operator writes them, mail's destinations and others share numbers.
            rule.destinations =
                rule.destinations.iter().flat_map(|d| [*d, mail::destination(*d).0]).collect();
            rules.push(rule);
        }
        let rules = Rules { rules, keep_for, most: self.most, bytes, customer_bytes };
        Ok(UndeliveredSettings { folder, store: store_options(limit), sync: self.sync, rules })
    }
}

#[cfg(test)]
mod tests;
