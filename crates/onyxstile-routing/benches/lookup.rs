//! What a look-up and a choice cost: 100 hosts of 100 locations, groups of 10, 100 and 5,000 servers.

#![allow(missing_docs)]

use criterion::{Criterion, criterion_group, criterion_main};
use onyxstile_routing::config::*;
use onyxstile_routing::{Groups, Table};
use std::hint::black_box;

fn table() -> Table {
    let upstream = group(Method::RoundRobin, 1);
    let location = |kind, path: String| LocationConfig {
        path,
        kind,
        upstream: Some("u".into()),
        max_body: DEFAULT_BODY,
        ..LocationConfig::default()
    };
    let host = |h: usize| HostConfig {
        names: vec![format!("h{h}.example"), format!("*.w{h}.example")],
        default: false,
        location: (0..100)
            .map(|l| {
                let kind = if l % 5 == 0 { Match::Exact } else { Match::Prefix };
                location(kind, format!("/service-{}/part-{l}/", l % 7))
            })
            .collect(),
    };
    let host = (0..100).map(host).collect();
    Table::build(&RoutingConfig { upstream: vec![upstream], host, ..RoutingConfig::default() }).unwrap()
}

fn group(method: Method, size: usize) -> UpstreamConfig {
    let peer = |n: usize| PeerConfig {
        address: format!("10.{}.{}.1:80", n / 250, n % 250).parse().unwrap(),
        name: String::new(),
        weight: 1 + (n % 5) as u32,
        max_conns: 0,
        backup: false,
        down: false,
    };
    let key = if matches!(method, Method::Hash | Method::Consistent) { "$uri" } else { "" };
    let server = (0..size).map(peer).collect();
    UpstreamConfig { name: "u".into(), destination: 1, method, key: key.into(), server }
}

fn lookups(c: &mut Criterion) {
    let table = table();
    for (name, host, path) in [
        ("exact", "h57.example", "/service-4/part-25/"),
        ("prefix", "h57.example", "/service-3/part-24/orders/17"),
        ("wildcard and prefix", "a.b.w57.example", "/service-3/part-24/orders/17"),
        ("no location", "h57.example", "/service-3/none"),
    ] {
        c.bench_function(&format!("find/{name}"), |b| {
            b.iter(|| black_box(table.find(black_box(host), black_box(path.as_bytes()))))
        });
    }
}

fn choices(c: &mut Criterion) {
    for method in [
        Method::RoundRobin,
        Method::LeastConn,
        Method::IpHash,
        Method::Hash,
        Method::Consistent,
        Method::Random,
        Method::RandomTwo,
    ] {
        for size in [10, 100, 5000] {
            let config = RoutingConfig { upstream: vec![group(method, size)], ..RoutingConfig::default() };
            let mut groups = Groups::new(&config, 1);
            (0..size).for_each(|at| groups.name(1, at, at as u32));
            (0..size).for_each(|at| groups.busy(at as u32, (at % 3) as u32));
            let mut n = 0u32;
            c.bench_function(&format!("choose/{method:?}/{size}"), |b| {
                b.iter(|| {
                    n = n.wrapping_add(1);
                    black_box(groups.propose(1, &n.to_le_bytes()[..3], &mut |_| true))
                })
            });
        }
    }
}

criterion_group!(benches, lookups, choices);
criterion_main!(benches);
