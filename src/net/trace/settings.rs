//! `[trace]` of the operator's file.

use crate::net::listed::ConfigError;
use onyxstile_trace::about::NAMES;
use onyxstile_trace::format::Codec;
use serde::Deserialize;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The table as it stands.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceTable {
    /// Where traces go; named from where the file is.
    pub folder: PathBuf,
    #[serde(default = "file_mb")]
    file_mb: f64,
    #[serde(default = "total_mb")]
    total_mb: f64,
    #[serde(default = "block_kb")]
    block_kb: usize,
    #[serde(default = "flush_ms")]
    flush_ms: u64,
    #[serde(default = "buffer")]
    buffer: usize,
    #[serde(default = "sample")]
    sample: f64,
    #[serde(default = "codec")]
    codec: String,
    #[serde(default)]
    events: Vec<String>,
}

fn file_mb() -> f64 {
    16.0
}
fn total_mb() -> f64 {
    64.0
}
fn block_kb() -> usize {
    64
}
fn flush_ms() -> u64 {
    1000
}
fn buffer() -> usize {
    8192
}
fn sample() -> f64 {
    1.0
}
fn codec() -> String {
    "lz4".into()
}

/// What a recorder goes by.
#[derive(Debug, Clone)]
pub struct TraceSettings {
    /// Where traces go.
    pub folder: PathBuf,
    /// Bytes of a file, about.
    pub file: u64,
    /// Bytes of this relay's files together, at most.
    pub total: u64,
    /// Bytes of events in a block.
    pub block: usize,
    /// How blocks are stored.
    pub codec: Codec,
    /// How long an event waits for its block at most: what a kill costs.
    pub flush: Duration,
    /// Events that may wait to be written.
    pub buffer: usize,
    /// Share of flows that are recorded, in millionths.
    pub sample: u32,
    /// Which events are, by their places in [`NAMES`].
    pub events: [bool; NAMES.len()],
}

impl TraceTable {
    /// Checks it. `disk`: bytes allowed in the folder that lasts.
    ///
    /// # Errors
    /// A figure that cannot work, an event that is not known, or no room beside the journal.
    pub fn check(&self, state: &Path, disk: u64) -> Result<TraceSettings, ConfigError> {
        let wrong = |what: &str| Err(ConfigError(format!("trace: {what}")));
        let bytes = |mb: f64| (mb * 1e6) as u64;
        if !(0.01..=1e6).contains(&self.file_mb) || !(0.02..=1e6).contains(&self.total_mb) {
            return wrong("`file_mb` has to be 0.01 at least, and `total_mb` 0.02");
        }
        if self.file_mb * 2.0 > self.total_mb {
            return wrong("`total_mb` has to be twice `file_mb` at least");
        }
        if !(1..=960).contains(&self.block_kb) {
            return wrong("`block_kb` has to be from 1 to 960");
        }
        if !(10..=60_000).contains(&self.flush_ms) {
            return wrong("`flush_ms` has to be from 10 to 60000");
        }
        if !(64..=1_000_000).contains(&self.buffer) {
            return wrong("`buffer` has to be from 64 to 1000000");
        }
        if !(0.0..=1.0).contains(&self.sample) {
            return wrong("`sample` has to be from 0 to 1");
        }
        let codec = match self.codec.as_str() {
            "none" => Codec::None,
            "deflate" => Codec::Deflate,
            "lz4" => Codec::Lz4,
            other => return wrong(&format!("`codec` is `none`, `lz4` or `deflate`, not `{other}`")),
        };
        let mut events = [self.events.is_empty(); NAMES.len()];
        for name in &self.events {
            match NAMES.iter().position(|n| n == name) {
                Some(place) => events[place] = true,
                None => return wrong(&format!("no event is named `{name}`")),
            }
        }
        let total = bytes(self.total_mb);
        if shares(&self.folder, state) && total > disk / 2 {
            return wrong("`total_mb` takes over half of what the folder of the journal may hold");
        }
        Ok(TraceSettings {
            folder: self.folder.clone(),
            file: bytes(self.file_mb),
            total,
            block: self.block_kb * 1024,
            codec,
            flush: Duration::from_millis(self.flush_ms),
            buffer: self.buffer,
            sample: (self.sample * 1e6) as u32,
            events,
        })
    }
}

/// Whether traces lie in the folder that lasts, whose limit they then count against.
pub fn shares(folder: &Path, state: &Path) -> bool {
    // Neither need be there yet; links are followed as far as they are.
    let real = |path: &Path| {
        let absolute = std::path::absolute(path).unwrap_or_else(|_| path.to_path_buf());
        let there = absolute.ancestors().find_map(|a| Some((a, a.canonicalize().ok()?)));
        there.map_or(absolute.clone(), |(a, real)| {
            real.join(absolute.strip_prefix(a).unwrap_or(Path::new("")))
        })
    };
    real(folder).starts_with(real(state))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn check(text: &str) -> Result<TraceSettings, String> {
        let table: TraceTable = toml::from_str(text).map_err(|e| e.to_string())?;
        table.check(Path::new("/nowhere/state"), 100_000_000).map_err(|e| e.to_string())
    }

    #[test]
    fn a_folder_is_enough_and_what_cannot_work_is_said() {
        let plain = check("folder = \"/elsewhere/traces\"").unwrap();
        assert_eq!((plain.file, plain.total, plain.sample), (16_000_000, 64_000_000, 1_000_000));
        assert!(plain.events.iter().all(|e| *e));
        let some = check("folder = \"/x\"\nevents = [\"sent\", \"ended\"]").unwrap();
        assert_eq!(some.events.iter().filter(|e| **e).count(), 2);
        for (text, said) in [
            ("folder = \"/nowhere/state/traces\"", "over half"),
            ("folder = \"/x\"\nfile_mb = 40", "twice"),
            ("folder = \"/x\"\nsample = 1.5", "sample"),
            ("folder = \"/x\"\nevents = [\"send\"]", "no event is named `send`"),
            ("folder = \"/x\"\ncodec = \"zip\"", "zip"),
            ("folder = \"/x\"\nblock_kb = 0", "block_kb"),
            ("folder = \"/x\"\nflush_ms = 1", "flush_ms"),
            ("folder = \"/x\"\nbuffer = 1", "buffer"),
            ("folder = \"/x\"\nfile_mb = -1", "file_mb"),
            ("file_mb = 1", "folder"),
        ] {
            let error = check(text).unwrap_err();
            assert!(error.contains(said), "{text}: {error}");
        }
    }
}
