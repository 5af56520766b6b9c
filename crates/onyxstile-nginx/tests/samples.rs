//! The samples: each is carried over into a table that works, every directive of each is accounted for, and
//! what is said names the line that it is about.
#![allow(missing_docs)]

use onyxstile_nginx::parse::{Disk, parse};
use onyxstile_nginx::{Imported, Level, import, write};
use onyxstile_routing::config::{Match, Method};
use onyxstile_routing::{RoutingConfig, Table};
use std::path::{Path, PathBuf};

fn samples() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("samples");
    let mut files: Vec<_> = std::fs::read_dir(folder).unwrap().map(|e| e.unwrap().path()).collect();
    files.retain(|p| p.extension().is_some_and(|e| e == "conf"));
    files.sort();
    assert!(files.len() >= 30, "{}", files.len());
    files
}

fn read(path: &Path) -> Imported {
    import(&parse(&Disk, path).unwrap_or_else(|e| panic!("{e}")))
}

fn sample(name: &str) -> Imported {
    read(&Path::new(env!("CARGO_MANIFEST_DIR")).join("samples").join(name).with_extension("conf"))
}

fn said(imported: &Imported) -> Vec<(u32, Level)> {
    imported.diagnostics.iter().map(|d| (d.line, d.level)).collect()
}

#[test]
fn every_directive_is_accounted_for_and_the_table_works() {
    for path in samples() {
        let imported = read(&path);
        let a = imported.account;
        let sum = a.no_concern + a.carried + a.with_difference + a.not_carried;
        assert_eq!(a.directives, sum, "{}: {a:?}", path.display());
        Table::build(&imported.routing).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
        for d in &imported.diagnostics {
            let text = std::fs::read_to_string(&d.file).unwrap().replace('\u{feff}', "");
            let line = text.lines().nth(d.line as usize - 1).unwrap();
            let at: String = line.chars().skip(d.column as usize - 1).collect();
            let first = d.directive.split(' ').next().unwrap();
            assert!(at.trim_start_matches('"').starts_with(first), "{d} is not at `{at}`");
        }
    }
}

#[test]
fn the_file_that_is_written_reads_back_and_a_second_import_is_the_same() {
    #[derive(serde::Deserialize)]
    struct File {
        routing: Option<RoutingConfig>,
    }
    for path in samples() {
        let imported = read(&path);
        let text = write::write(&imported, "x.conf");
        let file: File = toml::from_str(&text).unwrap_or_else(|e| panic!("{}: {e}\n{text}", path.display()));
        assert_eq!(file.routing.unwrap_or_default(), imported.routing, "{}\n{text}", path.display());
        assert_eq!(write::write(&read(&path), "x.conf"), text);
    }
}

#[test]
fn groups_come_over_with_weights_backups_and_methods() {
    let weights = |name: &str| {
        let routing = sample(name).routing;
        routing.upstream[0].server.iter().map(|s| (s.weight, s.backup, s.down)).collect::<Vec<_>>()
    };
    let plain = (1, false, false);
    assert_eq!(weights("02-weights-5-1-1"), [(5, false, false), plain, plain]);
    assert_eq!(weights("09-backup"), [plain, plain, (1, true, false), (3, true, false)]);
    assert_eq!(weights("10-one-down"), [plain, (1, false, true), plain, (2, false, false)]);
    for (name, method, key) in [
        ("03-least-conn-weighted", Method::LeastConn, ""),
        ("04-ip-hash", Method::IpHash, ""),
        ("05-hash-uri", Method::Hash, "$request_uri"),
        ("06-hash-consistent-key", Method::Consistent, "$arg_plant"),
        ("07-random", Method::Random, ""),
        ("08-random-two", Method::RandomTwo, ""),
    ] {
        let upstream = &sample(name).routing.upstream[0];
        assert_eq!((upstream.method, upstream.key.as_str()), (method, key), "{name}");
    }
}

#[test]
fn hosts_locations_and_limits_come_over() {
    let gateway = sample("13-microservice-gateway").routing;
    let locations = &gateway.host[0].location;
    assert_eq!(locations[1].uri.as_deref(), Some("/v2/"));
    assert_eq!((locations[2].kind, locations[3].uri.as_deref()), (Match::Exact, None));
    assert_eq!(locations[4].answer, Some(404));
    let limited = sample("20-rate-limited-api").routing;
    assert_eq!(limited.zone[0].rate_per_s, Some(100.0));
    assert_eq!(limited.zone[1].rate_per_s, Some(0.5));
    // A list of its own replaces the one handed down.
    let zones = |at: usize| {
        limited.host[0].location[at].limit_req.iter().map(|l| l.zone.as_str()).collect::<Vec<_>>()
    };
    assert_eq!((zones(0), zones(1)), (vec!["one"], vec!["two"]));
    let nested = sample("15-nested-locations").routing;
    assert_eq!(nested.host[0].location[0].location.len(), 2);
    let included = sample("28-includes").routing;
    assert_eq!((included.upstream[0].server[1].weight, included.host[0].names.len()), (2, 1));
}

#[test]
fn what_is_not_carried_is_said_at_its_line() {
    use Level::{CarriedWithDifference as Differs, NotCarried as Not};
    let count = |name: &str, level| said(&sample(name)).iter().filter(|s| s.1 == level).count();
    assert_eq!(said(&sample("01-plain-round-robin")), []);
    // The block, and the target whose variable it would have set.
    assert_eq!(said(&sample("18-canary-split-clients")), [(3, Not), (22, Not)]);
    assert_eq!(count("25-tls-front", Not), 5);
    assert!(count("30-lua-and-others", Not) >= 6);
    let names = sample("31-names-and-sockets");
    assert_eq!(names.routing.upstream[0].server.len(), 2);
    assert_eq!(said(&names).iter().map(|s| s.0).collect::<Vec<_>>(), [4, 5, 7, 7, 7, 7, 9, 10, 19, 22]);
    assert!(said(&names).iter().any(|s| s.1 == Differs));
    let unknown = sample("30-lua-and-others");
    let unknown = unknown.diagnostics.iter().find(|d| d.directive.starts_with("frobnicate")).unwrap();
    assert!(unknown.message.contains("known here") && unknown.level == Not);
}

#[test]
fn a_large_configuration_is_carried_over_in_under_a_second() {
    let folder = std::env::temp_dir().join(format!("onyxstile-import-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let mut text = String::from("http {\n");
    for u in 0..200 {
        text += &format!("upstream u{u} {{\n");
        (0..200).for_each(|s| text += &format!("  server 10.{u}.{}.{}:80 weight=2;\n", s / 250, s % 250));
        text += "}\n";
    }
    for h in 0..300 {
        text += &format!("server {{ listen 80; server_name h{h}.example;\n");
        for l in 0..100 {
            text += &format!("location /a{l}/ {{ proxy_pass http://u{}; }}\n", (h + l) % 200);
        }
        text += "}\n";
    }
    text += "}\n";
    let path = folder.join("large.conf");
    std::fs::write(&path, text).unwrap();
    let started = std::time::Instant::now();
    let imported = read(&path);
    let took = started.elapsed();
    std::fs::remove_dir_all(&folder).unwrap();
    assert!(imported.account.directives > 100_000, "{}", imported.account.directives);
    // Unoptimised code is some ten times slower than what is shipped.
    let most = if cfg!(debug_assertions) { 15.0 } else { 1.0 };
    assert!(took.as_secs_f64() < most, "{took:?}");
}
