//! The same traffic through the stand-in proxy and through a relay that was set up from the same sample: both
//! should choose the same real server, and ask it for the same target, for each request.

use crate::Failed;
use crate::http::{Wire, post};
use crate::partner::{Ability, Partner};
use crate::proxy::Proxy;
use crate::relay::{Folder, Relay};
use onyxstile_nginx::parse::{Disk, parse};
use onyxstile_nginx::{Imported, import, write};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// How long a message that was taken on may be on its way.
const PATIENCE: Duration = Duration::from_secs(5);

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

/// What a request came to.
#[derive(Debug, Clone, PartialEq, Eq)]
enum End {
    To(usize, String),
    Status(u16),
    Lost,
}

struct Bed {
    partners: Vec<Rc<Partner>>,
    proxy: SocketAddr,
    relay: Relay,
    imported: Imported,
    _folder: Folder,
}

/// Addresses of real servers as the samples write them.
fn addresses(text: &str) -> Vec<String> {
    let mut found = Vec::new();
    for (at, _) in text.match_indices("127.0.0.").chain(text.match_indices("localhost:")) {
        let word: String =
            text[at..].chars().take_while(|c| c.is_ascii_alphanumeric() || ".:".contains(*c)).collect();
        if word.split_once(":7").is_some_and(|(_, p)| p.len() == 3) && !found.contains(&word) {
            found.push(word);
        }
    }
    found
}

fn copy_samples(from: &Path, to: &Path, replace: &BTreeMap<String, String>) -> std::io::Result<()> {
    std::fs::create_dir_all(to)?;
    for entry in std::fs::read_dir(from)? {
        let path = entry?.path();
        let name = to.join(path.file_name().unwrap_or_default());
        if path.is_dir() {
            copy_samples(&path, &name, replace)?;
        } else {
            let mut text = std::fs::read_to_string(&path)?;
            replace.iter().for_each(|(old, new)| text = text.replace(old.as_str(), new));
            std::fs::write(name, text)?;
        }
    }
    Ok(())
}

impl Bed {
    async fn make(binary: &Path, sample: &Path) -> Result<Bed, Failed> {
        let name = sample.file_stem().unwrap_or_default().to_string_lossy().into_owned();
        let folder = Folder::new(&name)?;
        let from = sample.parent().unwrap_or(Path::new("."));
        let mut text = std::fs::read_to_string(sample)?;
        if text.contains("include conf.d/*") {
            text += &std::fs::read_to_string(from.join("conf.d/10-groups.conf"))?;
        }
        let (mut partners, mut replace) = (Vec::new(), BTreeMap::new());
        for address in addresses(&text) {
            let partner = Partner::start(Ability::default()).await?;
            // Marked first, so that no port given out now is taken for one of the sample's.
            let host = if address.starts_with("localhost") { "localhost" } else { "127.0.0.1" };
            replace.insert(address, format!("{host}:{}", partner.address.port()));
            partners.push(partner);
        }
        let inside = folder.0.join("samples");
        copy_samples(from, &inside, &replace)?;
        let file = inside.join(sample.file_name().unwrap_or_default());
        let proxy = Rc::new(Proxy::read(&file)?).serve().await?;
        let imported = import(&parse(&Disk, &file)?);
        let relay = Relay::start(binary, &folder.0, &write::write(&imported, &name)).await?;
        Ok(Bed { partners, proxy, relay, imported, _folder: folder })
    }

    /// Where a request that was sent on has arrived.
    fn arrived(&self, id: &str, after: &[usize]) -> Option<End> {
        let partners = self.partners.iter().zip(after).enumerate();
        partners.into_iter().find_map(|(n, (p, from))| {
            let seen = p.seen.borrow();
            let call = seen[*from..].iter().find(|s| s.id == id)?;
            Some(End::To(n, call.target.clone()))
        })
    }

    async fn one(&self, to: SocketAddr, request: &Asked, id: &str) -> Result<End, Failed> {
        let after: Vec<usize> = self.partners.iter().map(|p| p.seen.borrow().len()).collect();
        let mut wire = Wire::to(to, Some(request.client)).await?;
        let answer = wire.ask(&post(&request.host, &request.target, id, &request.fields)).await?;
        match answer.status() {
            200 | 202 => {
                let end = Instant::now() + PATIENCE;
                while Instant::now() < end {
                    if let Some(end) = self.arrived(id, &after) {
                        return Ok(end);
                    }
                    sleep(Duration::from_millis(1)).await;
                }
                Ok(End::Lost)
            }
            status => Ok(End::Status(status)),
        }
    }

    fn counts(&self) -> Vec<usize> {
        self.partners.iter().map(|p| p.delivered()).collect()
    }

    /// Clients at once; how often each server was chosen.
    async fn many(
        &self, to: SocketAddr, asked: &[Asked], each: usize, tag: &str,
    ) -> Result<Vec<usize>, Failed> {
        let before = self.counts();
        let clients = asked.iter().enumerate().map(|(n, request)| {
            let (request, tag) = (request.clone(), tag.to_string());
            spawn_local(async move {
                let mut wire = Wire::to(to, Some(request.client)).await?;
                let mut taken = 0;
                for i in 0..each {
                    // One a client that differs each time, for methods that go by it.
                    let target = format!(
                        "{}{}plant={n}-{i}",
                        request.target,
                        if request.target.contains('?') { '&' } else { '?' }
                    );
                    for again in 0..50 {
                        let id = format!("{tag}{n}-{i}-{again}");
                        let answer = wire.ask(&post(&request.host, &target, &id, &request.fields)).await?;
                        if answer.status() < 300 {
                            taken += 1;
                            break;
                        }
                        if answer.field("connection") == Some("close") {
                            wire = Wire::to(to, Some(request.client)).await?;
                        }
                        sleep(Duration::from_millis(20)).await;
                    }
                }
                Ok::<usize, std::io::Error>(taken)
            })
        });
        let mut taken = 0;
        for client in clients.collect::<Vec<_>>() {
            taken += client.await??;
        }
        let end = Instant::now() + PATIENCE;
        loop {
            let counts: Vec<usize> = self.counts().iter().zip(&before).map(|(a, b)| a - b).collect();
            if counts.iter().sum::<usize>() >= taken || Instant::now() > end {
                return Ok(counts);
            }
            sleep(Duration::from_millis(5)).await;
        }
    }
}

/// A request of the traffic.
#[derive(Debug, Clone)]
struct Asked {
    host: String,
    target: String,
    client: IpAddr,
    fields: String,
}

/// Targets that all samples are asked for, beside those that their own locations suggest.
const TARGETS: [&str; 14] = [
    "/",
    "/x",
    "/a/b/c?plant=gori",
    "/a.php",
    "/images/1.gif",
    "/files/1.JPG",
    "//x//y/../z",
    "/x%20y/%7Ez?b=c%20d",
    "/id/1234",
    "/id/12",
    "/app/a.json",
    "/app/admin/a.json",
    "/slow/1",
    "/canary/x",
];
const HOSTS: [&str; 10] = [
    "shop.example",
    "SHOP.example:8080",
    "www.a.example",
    "a.example",
    "b.example",
    "x.b.example",
    "y.c.example",
    "c.org",
    "plant12.example",
    "nobody.example",
];

fn traffic(imported: &Imported, count: usize, seed: u64) -> Vec<Asked> {
    let mut targets: Vec<String> = TARGETS.iter().map(|t| t.to_string()).collect();
    for l in imported.routing.host.iter().flat_map(|h| &h.location).filter(|l| l.path.starts_with('/')) {
        let path = l.path.replace(' ', "%20");
        targets.push(path.clone());
        targets.push(format!("{path}x/y?plant=7"));
        targets.push(path.trim_end_matches('/').to_string());
    }
    targets.retain(|t| t.starts_with('/'));
    let mut hosts: Vec<String> = HOSTS.iter().map(|h| h.to_string()).collect();
    let own = imported
        .routing
        .host
        .iter()
        .flat_map(|h| &h.names)
        .filter(|n| n.contains(".example") && !n.contains(['~', '*']));
    let own: Vec<String> = own.map(|n| n.trim_start_matches('.').to_string()).collect();
    // Most of the traffic is for the sample's own hosts.
    (0..4).for_each(|_| hosts.extend(own.iter().cloned()));
    let mut random = Pcg32::seed_from_u64(seed);
    let mut below = |n: usize| (random.next_u64() % n as u64) as usize;
    (0..count)
        .map(|_| Asked {
            host: hosts[below(hosts.len())].clone(),
            target: targets[below(targets.len())].clone(),
            client: IpAddr::V4(Ipv4Addr::new(127, below(2) as u8, below(3) as u8, 1 + below(12) as u8)),
            fields: format!("X-Plant: {}\r\n", ["gori", "Batumi", "rustavi", "none"][below(4)]),
        })
        .collect()
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
