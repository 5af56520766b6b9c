//! A partner that is shut under full load and comes back cold, and relays that keep what failed and send it again.

use crate::Failed;
use crate::chart::{Line, panels};
use crate::load::{self, Load};
use crate::partner::{Ability, Mood, Partner};
use crate::relay::{Folder, Relay};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::UnixStream;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

/// What is played.
#[derive(Debug, Clone, Copy)]
pub struct Outage {
    /// Relays.
    pub relays: usize,
    /// Messages a second, at all of them together.
    pub per_s: f64,
    /// Calls that the partner takes in a second.
    pub limit: usize,
    /// Seconds before it is shut, while it is, and after.
    pub seconds: [u64; 3],
}

/// The partner's cold start: the share of its limit that it begins with, and how long it takes.
const COLD: (f64, Duration) = (0.17, Duration::from_secs(14));
/// What a cold partner stands: so many times what it can do, for so long.
const STANDS: (f64, u64) = (2.0, 3);

/// How long the shelves may take to empty once the load is over.
const DRAINS: Duration = Duration::from_secs(240);

/// What came of it.
#[derive(Debug, Serialize)]
pub struct Came {
    /// Messages handed in.
    pub offered: u64,
    /// Taken on.
    pub taken: usize,
    /// Of these, delivered without being kept.
    pub delivered_at_once: usize,
    /// Failed, so that the client was told.
    pub failed: usize,
    /// Of these, delivered after the return by a resend.
    pub delivered_later: usize,
    /// Of these, on the shelves at the end, by state.
    pub kept: BTreeMap<String, u64>,
    /// Of those taken on, nowhere.
    pub lost: usize,
    /// Taken effect more than once.
    pub twice: usize,
    /// Seconds after the return until half, nine tenths and all of what was delivered later had been.
    pub later_s: [f64; 3],
    /// Calls turned away after the return, of how many.
    pub refused_after: (usize, usize),
    /// The most calls in any three seconds after the return, over what the partner could do then; above 2 it would
    /// have fallen over.
    pub most_over: f64,
    /// Peak of memory of a relay, bytes.
    pub peak_bytes: u64,
}

fn file(partner: &Partner, relays: usize) -> String {
    format!(
        r#"[relay]
state = "state"
[http]
listen = "127.0.0.1:0"
[[server]]
uid = "partner"
address = "{}"
protocol = "http"
destination = 7
[[route]]
path = "/orders"
destination = 7
[undelivered]
disk_mb = 32
[[undelivered.rule]]
class = ["orders"]
well_s = 2
per_s = 10
at_once = 4
pause_s = 5
[settings]
siblings = {relays}
models = []
zones = []
tickMs = 5
[[settings.classes]]
name = "orders"
aimMs = 2500
deadlineMs = 10000
effect = "once"
worth = 2
[settings.extra]
maxCalls = 12
[settings.invariants]
startCapacity = 0.17
coldMs = 14000
overloadFactor = 2
overloadForMs = 3000
[settings.limits]
dialTimeoutMs = 300
keepaliveMs = 5000
maxAttempts = 12
maxRetryAfterMs = 20000
maxStreams = 1
mostHeld = 200
probes = true
cancelling = true
[settings.tariffs]
"#,
        partner.address
    )
}

/// Asks a relay by its control socket; the items of the answer.
async fn ask(folder: &Path, order: &str) -> Result<serde_json::Value, Failed> {
    let mut stream = BufReader::new(UnixStream::connect(folder.join("state/control")).await?);
    stream.get_mut().write_all(format!("{order}\n").as_bytes()).await?;
    let mut line = String::new();
    stream.read_line(&mut line).await?;
    Ok(serde_json::from_str(&line)?)
}

/// The most calls in a span after the return, over what the partner could do in it.
fn most_over(calls: &[f64], limit: usize) -> f64 {
    let (span, slice) = (STANDS.1 as f64, 0.05);
    let capacity = |from: f64| {
        let slices = (span / slice) as usize;
        let at =
            |n: usize| COLD.0 + (1.0 - COLD.0) * ((from + n as f64 * slice) / COLD.1.as_secs_f64()).min(1.0);
        (0..slices).map(|n| at(n) * limit as f64 * slice).sum::<f64>()
    };
    let within = |from: f64| calls.iter().filter(|t| **t >= from && **t < from + span).count() as f64;
    (0..1200).map(|n| f64::from(n) * slice).map(|from| within(from) / capacity(from)).fold(0.0, f64::max)
}

/// Plays it.
///
/// # Errors
/// Something does not start, or a rule broke.
pub async fn run(binary: &Path, outage: Outage, chart: &Path) -> Result<Came, Failed> {
    let limit = Some((outage.limit, Duration::from_secs(1)));
    let ability = Ability { pace: Duration::from_millis(40), limit, tells: true, cold: Some(COLD) };
    let partner = Partner::start(ability).await?;
    let mut relays = Vec::new();
    for n in 0..outage.relays {
        let folder = Folder::new(&format!("outage-{n}"))?;
        let relay = Relay::start(binary, &folder.0, &file(&partner, outage.relays)).await?;
        relays.push((folder, relay));
    }
    let [before, shut, after] = outage.seconds.map(Duration::from_secs);
    let started = Instant::now();
    let back = started + before + shut;
    let script = partner.clone();
    spawn_local(async move {
        sleep_until(started + before).await;
        script.set(Mood::Refuses(None));
        sleep_until(back).await;
        script.set(Mood::Well);
    });
    let loads = relays.iter().enumerate().map(|(n, (_, relay))| {
        spawn_local(load::run(Load {
            address: relay.address,
            host: "a".into(),
            target: "/orders/new".into(),
            fields: "X-Service-Class: orders\r\nX-Time-Left-Ms: 10000\r\n",
            per_s: outage.per_s / outage.relays as f64,
            time: before + shut + after,
            seed: n as u64 + 1,
        }))
    });
    let loads: Vec<_> = loads.collect();
    // What waits on the shelves, each second.
    let folders: Vec<_> = relays.iter().map(|(f, _)| f.0.clone()).collect();
    let end = started + before + shut + after;
    let shelves = spawn_local(async move {
        let mut points = Vec::new();
        while Instant::now() < end + DRAINS {
            let mut kept = 0;
            for folder in &folders {
                let stats = ask(folder, "{\"order\":\"stats\"}").await.unwrap_or_default();
                kept += stats["items"][0]["messages"].as_u64().unwrap_or(0);
            }
            points.push((started.elapsed().as_secs_f64(), kept as f64));
            if Instant::now() > end + Duration::from_secs(12) && kept == 0 {
                break;
            }
            sleep(Duration::from_secs(1)).await;
        }
        points
    });
    let (mut offered, mut taken) = (0, Vec::new());
    for load in loads {
        let result = load.await??;
        offered += result.offered;
        taken.extend(result.taken);
    }
    let points = shelves.await?;

    let (mut failed, mut kept, mut on_shelf) = (BTreeSet::new(), BTreeMap::new(), BTreeSet::new());
    let mut peak_bytes = 0;
    for (folder, relay) in &relays {
        for line in relay.logged("undelivered: {") {
            let id = line.split("\"id\":\"").nth(1).and_then(|l| l.split('"').next()).unwrap_or_default();
            if line.contains("\"failed\"") {
                failed.insert(id.to_string());
            }
        }
        let mut after = String::from("null");
        loop {
            let page = ask(&folder.0, &format!("{{\"order\":\"list\",\"after\":{after}}}")).await?;
            for item in page["items"].as_array().into_iter().flatten() {
                *kept.entry(item["state"].as_str().unwrap_or_default().to_string()).or_insert(0) += 1;
                on_shelf.insert(item["id"].as_str().unwrap_or_default().to_string());
            }
            match page["next"].as_u64() {
                Some(next) => after = next.to_string(),
                None => break,
            }
        }
        peak_bytes = peak_bytes.max(relay.peak_bytes().unwrap_or_default());
    }
    // After the shelves were read: what left one meanwhile was delivered before this.
    let seen = partner.seen.borrow().clone();
    let calls: Vec<_> = seen.iter().filter(|s| s.target != "/stats").collect();
    let mut effects: BTreeMap<&str, (usize, Instant)> = BTreeMap::new();
    for s in calls.iter().filter(|s| s.status == 200) {
        effects.entry(&s.id).or_insert((0, s.at)).0 += 1;
    }
    let told_back = relays.iter().flat_map(|(_, r)| r.logged("\"returned\"")).collect::<Vec<_>>().join("\n");
    let lost = taken.iter().filter(|id| {
        let known = effects.contains_key(id.as_str()) || on_shelf.contains(*id);
        !known && !failed.contains(*id) && !told_back.contains(&format!("\"{id}\""))
    });
    let gone =
        failed.iter().filter(|id| !effects.contains_key(id.as_str()) && !on_shelf.contains(*id)).count();
    let mut later: Vec<f64> = failed
        .iter()
        .filter_map(|id| effects.get(id.as_str()))
        .map(|(_, at)| (*at - back).as_secs_f64())
        .collect();
    later.sort_by(f64::total_cmp);
    let part =
        |share: f64| later.get(((later.len() as f64 * share) as usize).min(later.len().max(1) - 1)).copied();
    let after_return: Vec<f64> =
        calls.iter().filter(|s| s.at >= back).map(|s| (s.at - back).as_secs_f64()).collect();
    let refused = calls.iter().filter(|s| s.at >= back && s.status != 200).count();
    let came = Came {
        offered,
        taken: taken.len(),
        delivered_at_once: taken
            .iter()
            .filter(|id| effects.contains_key(id.as_str()) && !failed.contains(*id))
            .count(),
        failed: failed.len(),
        delivered_later: later.len(),
        kept,
        lost: lost.count() + gone,
        twice: effects.values().filter(|e| e.0 > 1).count(),
        later_s: [part(0.5), part(0.9), part(1.0)].map(Option::unwrap_or_default),
        refused_after: (refused, after_return.len()),
        most_over: most_over(&after_return, outage.limit),
        peak_bytes,
    };
    let length = points.last().map_or(0.0, |p| p.0).ceil() as usize + 1;
    let count = |wanted: &dyn Fn(&&crate::partner::Seen) -> bool| {
        let mut seconds = vec![0.0; length];
        for s in calls.iter().copied().filter(wanted) {
            if let Some(second) = seconds.get_mut((s.at - started).as_secs() as usize) {
                *second += 1.0;
            }
        }
        seconds.into_iter().enumerate().map(|(t, n)| (t as f64, n)).collect()
    };
    let later = |s: &&crate::partner::Seen| s.status == 200 && failed.contains(&s.id);
    let first = |s: &&crate::partner::Seen| s.status == 200 && !failed.contains(&s.id);
    let lines = vec![
        Line { name: "delivered".into(), points: count(&first) },
        Line { name: "delivered by a resend".into(), points: count(&later) },
        Line { name: "turned away".into(), points: count(&|s: &&crate::partner::Seen| s.status != 200) },
    ];
    let shelf =
        vec![Line { name: "kept".into(), points: points.iter().map(|(t, n)| (*t, n / 10.0)).collect() }];
    let marks = [(before.as_secs_f64(), "shut"), ((before + shut).as_secs_f64(), "back, cold")];
    let panes = [("calls a second", lines), ("messages kept, tens", shelf)];
    panels(chart, "A partner is shut under load and comes back cold", ("seconds", ""), &panes, &marks)?;
    for (_, relay) in relays {
        relay.kill().await;
    }
    let held = came.most_over <= STANDS.0 && came.lost + came.twice == 0;
    if held { Ok(came) } else { Err(format!("a rule was broken: {}", serde_json::to_string(&came)?).into()) }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_a_cold_partner_is_sent_is_held_against_what_it_can_do() {
        // Sixty a second, cold at 17 %: 46 calls in the first three seconds.
        let even = |per_s: f64| (0..600).map(|n| f64::from(n) / per_s).collect::<Vec<_>>();
        assert!(most_over(&even(12.0), 60) < 1.1);
        assert!(most_over(&even(40.0), 60) > 2.0);
        assert!(most_over(&even(59.0).iter().map(|t| t + 14.0).collect::<Vec<_>>(), 60) < 1.01);
    }
}
