//! What a setting costs: relays with it off and on side by side, under the same load. The recorder, and writes that
//! outlast a loss of power.

use crate::Failed;
use crate::demo::{configuration, imported};
use crate::load::{self, Load};
use crate::partner::{Ability, Partner};
use crate::relay::{Folder, Relay};
use serde::Serialize;
use std::path::Path;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// One relay's figures.
#[derive(Debug, Serialize)]
pub struct Row {
    /// How it was set.
    pub way: &'static str,
    /// Messages handed in.
    pub messages: u64,
    /// Of these, delivered.
    pub delivered: usize,
    /// The relay's processor time for a message, microseconds, with all its threads.
    pub cpu_us: f64,
    /// Of that, the recorder's thread.
    pub cpu_trace_us: f64,
    /// Bytes of trace for a message.
    pub bytes: f64,
    /// Answered after so long: median and 99th percentile, microseconds.
    pub wait_us: [u64; 2],
    /// The relay's peak of memory, bytes.
    pub peak_bytes: u64,
    /// Syncs for a message, and steps that shared one.
    pub syncs: f64,
    /// See `syncs`.
    pub group: f64,
}

/// The settings' cold time and the span of their rule on cold partners, after which a call finds them warm, and some.
const COLD: Duration = Duration::from_secs(18);

/// A way that a relay is set: its name, and what the operator's file says of it.
pub type Set = (&'static str, &'static str);

/// What writes outlast: `off` is as on the platform.
pub const DURABLE: [Set; 3] = [
    ("off", ""),
    ("process", "[durability]\nlevel = \"process\"\n"),
    ("power", "[durability]\nlevel = \"power\"\n"),
];

/// The recorder.
pub const WAYS: [Set; 3] = [
    ("off", ""),
    ("on", "[trace]\nfolder = \"traces\"\n"),
    ("sampled, one in ten", "[trace]\nfolder = \"traces\"\nsample = 0.1\n"),
];

async fn one(binary: &Path, set: Set, per_s: f64, seconds: u64, seed: u64) -> Result<Row, Failed> {
    let (way, table) = set;
    let mut partners = Vec::new();
    for _ in 0..3 {
        partners
            .push(Partner::start(Ability { pace: Duration::from_millis(5), ..Ability::default() }).await?);
    }
    let folder = Folder::new(&format!("cost-{}", way.split(',').next().unwrap_or_default()))?;
    let text = imported(&folder, &configuration(&partners, &[""; 3]))?;
    let mut relay = Relay::start(binary, &folder.0, &format!("{text}\n{table}")).await?;
    let returned = Instant::now() + Duration::from_secs(20);
    while table.contains("durability") && relay.logged("state=serving").is_empty() {
        if Instant::now() > returned {
            return Err("the relay does not return to service".into());
        }
        sleep(Duration::from_millis(50)).await;
    }
    if !table.is_empty() {
        // A first start takes partners for cold: what that costs is no matter of syncs.
        sleep(COLD).await;
    }
    let load = |time, seed| Load {
        address: relay.address,
        host: "shop.example".into(),
        target: "/orders/new".into(),
        fields: "",
        per_s,
        time: Duration::from_secs(time),
        seed,
    };
    let delivered = || partners.iter().map(|p| p.delivered()).sum::<usize>();
    // The first seconds are for caches and connections.
    load::run(load(2, seed + 1000)).await?;
    sleep(Duration::from_millis(1500)).await;
    let (before, cpu, bytes) = (delivered(), relay.cpu()?, size(&folder.0.join("traces")));
    let result = load::run(load(seconds, seed)).await?;
    let end = Instant::now() + Duration::from_secs(30);
    while delivered() - before < result.taken.len() && Instant::now() < end {
        sleep(Duration::from_millis(50)).await;
    }
    // Whatever waits for its block is written by then.
    sleep(Duration::from_millis(1500)).await;
    let after = relay.cpu()?;
    let messages = result.offered as f64;
    let us = |a: Duration, b: Duration| (a - b).as_secs_f64() * 1e6 / messages;
    let (cpu_us, cpu_trace_us) = (us(after.0, cpu.0), us(after.1, cpu.1));
    let peak_bytes = relay.peak_bytes().unwrap_or_default();
    relay.stop().await?;
    let closed = relay.logged("journal closed").pop().unwrap_or_default();
    let figure = |name: &str| {
        let word = closed.split(' ').find_map(|w| w.strip_prefix(name));
        word.and_then(|w| w.parse::<f64>().ok()).unwrap_or(0.0)
    };
    let (syncs, steps) = (figure("syncs="), figure("steps="));
    Ok(Row {
        way,
        messages: result.offered,
        delivered: delivered() - before,
        cpu_us,
        cpu_trace_us,
        bytes: (size(&folder.0.join("traces")) - bytes) as f64 / messages,
        wait_us: [result.wait_us[0], result.wait_us[1]],
        peak_bytes,
        // Those of the first seconds are among them, and so are their messages.
        syncs: syncs / (messages + 2.0 * per_s),
        group: steps / syncs.max(1.0),
    })
}

fn size(folder: &Path) -> u64 {
    let entries = std::fs::read_dir(folder).into_iter().flatten();
    entries.filter_map(|e| Some(e.ok()?.metadata().ok()?.len())).sum()
}

/// Runs all three ways at once, several times; each row is of one relay in one round.
///
/// # Errors
/// Something does not start.
pub async fn run(
    binary: &Path, ways: [Set; 3], per_s: f64, seconds: u64, rounds: u64,
) -> Result<Vec<Row>, Failed> {
    let mut rows = Vec::new();
    for round in 0..rounds {
        let (a, b, c) = tokio::join!(
            one(binary, ways[0], per_s, seconds, round),
            one(binary, ways[1], per_s, seconds, round),
            one(binary, ways[2], per_s, seconds, round)
        );
        rows.extend([a?, b?, c?]);
    }
    Ok(rows)
}

/// The middle of some figures.
pub fn median(mut figures: Vec<f64>) -> f64 {
    figures.sort_by(f64::total_cmp);
    figures.get(figures.len() / 2).copied().unwrap_or_default()
}
