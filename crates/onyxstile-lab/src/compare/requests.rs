//! The requests that both sides are asked.

use std::net::{IpAddr, Ipv4Addr};

use onyxstile_nginx::Imported;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// A request of the traffic.
#[derive(Debug, Clone)]
pub(super) struct Asked {
    pub(super) host: String,
    pub(super) target: String,
    pub(super) client: IpAddr,
    pub(super) fields: String,
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

/// `count` requests, most of them for the sample's own hosts and locations.
pub(super) fn traffic(imported: &Imported, count: usize, seed: u64) -> Vec<Asked> {
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
