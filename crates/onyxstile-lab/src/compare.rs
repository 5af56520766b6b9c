//! The same traffic through the stand-in proxy and through a relay that was set up from the same sample: both
//! should choose the same real server, and ask it for the same target, for each request.

mod bed;
mod requests;

use std::net::{IpAddr, Ipv4Addr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Serialize;
use tokio::time::sleep;

use crate::Failed;
use bed::Bed;
use requests::{Asked, traffic};

/// How much traffic.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Requests one after the other.
    pub sequential: usize,
    /// Clients at once, and requests of each.
    pub clients: (usize, usize),
}

/// A line of the table.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// The sample.
    pub sample: String,
    /// Balancing methods in it.
    pub methods: String,
    /// Directives: all, carried, with a difference, not carried, of no concern.
    pub directives: [usize; 5],
    /// Requests one after the other.
    pub sequential: usize,
    /// Of these, how many had the same end by both: the same server and target, or the same status.
    pub same: usize,
    /// The first that had not.
    pub first_other: String,
    /// Requests of clients at once, by either.
    pub concurrent: usize,
    /// Largest difference between a server's shares, in points of 100.
    pub share_points: f64,
}

/// Compares one sample.
///
/// # Errors
/// Something of it does not start.
pub async fn sample(binary: &Path, path: &Path, size: Size, seed: u64) -> Result<Row, Failed> {
    let bed = Bed::make(binary, path).await?;
    let routing = &bed.imported.routing;
    let mut methods: Vec<String> = routing.upstream.iter().map(|u| format!("{:?}", u.method)).collect();
    methods.sort();
    methods.dedup();
    let by_chance = methods.iter().any(|m| m.starts_with("Random"));
    let limited = routing.zone.iter().any(|z| z.rate_per_s.is_some());
    let (mut same, mut first_other) = (0, String::new());
    let asked = traffic(&bed.imported, if by_chance { 0 } else { size.sequential }, seed);
    for (n, request) in asked.iter().enumerate() {
        if limited {
            // Both are to choose, not to refuse.
            sleep(Duration::from_millis(15)).await;
        }
        let proxied = bed.one(bed.proxy, request, &format!("p{n}")).await?;
        let relayed = bed.one(bed.relay.address, request, &format!("r{n}")).await?;
        if proxied == relayed {
            same += 1;
        } else if first_other.is_empty() {
            first_other = format!("{} {}: {proxied:?}, relay {relayed:?}", request.host, request.target);
        }
    }
    // Clients at once, all at the first location that passes something on to a group.
    let open = |h: &onyxstile_nginx::HostConfig| {
        let l = h.location.iter().find(|l| l.upstream.is_some() && l.path.starts_with('/'))?;
        let name = h.names.iter().find(|n| !n.contains(['~', '*', '_']))?;
        Some((name.trim_start_matches('.').to_string(), l.path.clone()))
    };
    let (mut concurrent, mut share_points) = (0, 0.0f64);
    if let Some((host, target)) = routing.host.iter().find_map(open) {
        let (clients, each) = size.clients;
        let client = |n: usize| Asked {
            host: host.clone(),
            target: target.replace(' ', "%20"),
            client: IpAddr::V4(Ipv4Addr::new(127, 0, (n % 200) as u8, 1 + (n % 8) as u8)),
            fields: format!("X-Plant: p{n}\r\n"),
        };
        let asked: Vec<Asked> = (0..clients).map(client).collect();
        let proxied = bed.many(bed.proxy, &asked, each, "P").await?;
        let relayed = bed.many(bed.relay.address, &asked, each, "R").await?;
        concurrent = relayed.iter().sum();
        let share = |counts: &[usize], n: usize| {
            counts[n] as f64 * 100.0 / counts.iter().sum::<usize>().max(1) as f64
        };
        let differs = |n: usize| (share(&proxied, n) - share(&relayed, n)).abs();
        share_points = (0..bed.partners.len()).map(differs).fold(0.0, f64::max);
    }
    let a = bed.imported.account;
    let row = Row {
        sample: path.file_stem().unwrap_or_default().to_string_lossy().into_owned(),
        methods: methods.join(" "),
        directives: [a.directives, a.carried, a.with_difference, a.not_carried, a.no_concern],
        sequential: asked.len(),
        same,
        first_other,
        concurrent,
        share_points,
    };
    bed.relay.kill().await;
    Ok(row)
}

/// The samples of a folder, in order.
///
/// # Errors
/// It cannot be read.
pub fn samples(folder: &Path) -> std::io::Result<Vec<PathBuf>> {
    let mut files: Vec<PathBuf> = std::fs::read_dir(folder)?.flatten().map(|e| e.path()).collect();
    files.retain(|p| p.extension().is_some_and(|e| e == "conf"));
    files.sort();
    Ok(files)
}

/// The table, for a report.
pub fn table(rows: &[Row]) -> String {
    let mut out = String::from(
        "sample,methods,directives,carried,with_difference,not_carried,no_concern,sequential,same,concurrent,share_points\n",
    );
    for r in rows {
        let d = r.directives.map(|n| n.to_string()).join(",");
        let (s, c) = (r.sequential, r.concurrent);
        out += &format!("{},{},{d},{s},{},{c},{:.2}\n", r.sample, r.methods, r.same, r.share_points);
    }
    out
}
