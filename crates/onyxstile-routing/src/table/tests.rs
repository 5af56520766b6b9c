//! The table, as nginx documents its own.

use super::hosts::plain_host;

use super::*;
use crate::config::*;

fn location(kind: Match, path: &str, uri: Option<&str>) -> LocationConfig {
    let (upstream, uri) = (Some("u".to_string()), uri.map(str::to_string));
    LocationConfig {
        path: path.into(),
        kind,
        upstream,
        uri,
        max_body: DEFAULT_BODY,
        ..LocationConfig::default()
    }
}

fn upstream(method: Method, key: &str) -> UpstreamConfig {
    let address = "127.0.0.1:7001".parse().unwrap();
    let peer =
        PeerConfig { address, name: String::new(), weight: 1, max_conns: 0, backup: false, down: false };
    UpstreamConfig { name: "u".into(), destination: 5, method, key: key.into(), server: vec![peer] }
}

fn config(locations: Vec<LocationConfig>) -> RoutingConfig {
    let host = HostConfig { names: vec!["a.example".into()], default: false, location: locations };
    RoutingConfig {
        upstream: vec![upstream(Method::RoundRobin, "")],
        host: vec![host],
        ..RoutingConfig::default()
    }
}

fn ask(table: &Table, host: &str, target: &str, client: &str) -> Resolution {
    let header = |name: &str| (name == "x-plant").then(|| "Gori".to_string());
    let client = client.parse().unwrap();
    table.resolve(&Request::new(Some(host), "POST", target, client, &header, Some(100)).unwrap())
}

fn path(table: &Table, target: &str) -> String {
    match ask(table, "a.example", target, "192.0.2.1") {
        Resolution::Pass(p) => p.path,
        other => format!("{other:?}"),
    }
}

#[test]
fn hosts_are_found_in_the_documented_order() {
    let names = [
        "www.example.org",
        "*.example.org",
        "mail.*",
        "~^w.*\\.example\\.net$",
        ".example.com",
        "*.a.example.org",
    ];
    let host = |name: &&str| HostConfig { names: vec![name.to_string()], ..HostConfig::default() };
    let mut config = RoutingConfig { host: names.iter().map(host).collect(), ..RoutingConfig::default() };
    config.host.push(HostConfig { names: vec!["_".into()], default: true, location: vec![] });
    let table = Table::build(&config).unwrap();
    for (name, number) in [
        ("www.example.org", 0),
        ("WWW.Example.ORG:8080", 0),
        ("www.example.org.", 0),
        ("x.example.org", 1),
        ("x.y.example.org", 1),
        ("x.a.example.org", 5),
        ("example.org", 6),
        ("mail.example.org", 1),
        ("mail.example.info", 2),
        ("www.example.net", 3),
        ("example.com", 4),
        ("x.example.com", 4),
        ("[::1]:80", 6),
        ("", 6),
    ] {
        assert_eq!(table.find(&plain_host(name), b"/").0, number, "{name}");
    }
    let bad = |name: &str| {
        let host = HostConfig { names: vec![name.into()], ..HostConfig::default() };
        Table::build(&RoutingConfig { host: vec![host], ..RoutingConfig::default() }).is_err()
    };
    assert!(bad("a.*.b") && bad("~(") && bad("w*.example.org"));
}

#[test]
fn the_path_after_proxy_pass_takes_the_place_of_the_prefix() {
    let table = Table::build(&config(vec![
        location(Match::Prefix, "/name/", Some("/remote/")),
        location(Match::Prefix, "/some/path/", None),
        location(Match::Exact, "/one", Some("/two?x=1")),
        location(Match::Prefix, "/bare", Some("/")),
    ]))
    .unwrap();
    for (target, asked) in [
        ("/name/a%20b?c=d", "/remote/a%20b?c=d"),
        ("/name//../name/x", "/remote/x"),
        ("/some/path/a%2e%20b/?q", "/some/path/a%2e%20b/?q"),
        ("/some/path/../path/x", "/some/path/../path/x"),
        ("/one", "/two?x=1"),
        ("/bare/x", "//x"),
    ] {
        assert_eq!(path(&table, target), asked, "{target}");
    }
    // Two that differ by a slash: without a location of its own the shorter one is asked to add it.
    assert!(path(&table, "/name?q=1").starts_with("AddSlash(\"/name/?q=1\""));
    let both = vec![
        location(Match::Prefix, "/name/", Some("/slash/")),
        location(Match::Prefix, "/name", Some("/none")),
    ];
    let table = Table::build(&config(both)).unwrap();
    assert_eq!((path(&table, "/name"), path(&table, "/name/x")), ("/none".into(), "/slash/x".into()));
    assert_eq!(path(&table, "/names"), "/nones");
}

#[test]
fn who_may_not_and_what_is_too_large_is_said_in_order() {
    let mut closed = location(Match::Prefix, "/closed/", None);
    closed.access = vec![
        AccessRule::Deny("192.0.2.9/32".parse().unwrap()),
        AccessRule::Allow("192.0.2.0/24".parse().unwrap()),
        AccessRule::Allow("2001:db8::/32".parse().unwrap()),
        AccessRule::DenyAll,
    ];
    let mut small = location(Match::Prefix, "/small/", None);
    small.max_body = 99;
    let mut gone = location(Match::Prefix, "/gone/", None);
    gone.answer = Some(410);
    let table = Table::build(&config(vec![closed, small, gone])).unwrap();
    let passes = |client| matches!(ask(&table, "a.example", "/closed/x", client), Resolution::Pass(_));
    assert!(passes("192.0.2.8") && passes("2001:db8::1") && passes("::ffff:192.0.2.8"));
    assert!(!passes("192.0.2.9") && !passes("198.51.100.1") && !passes("::1"));
    assert!(matches!(ask(&table, "a.example", "/small/x", "::1"), Resolution::TooLarge(_)));
    assert!(matches!(ask(&table, "a.example", "/gone/x", "::1"), Resolution::Answer(410, _)));
    assert!(matches!(ask(&table, "a.example", "/x", "::1"), Resolution::Unmatched(Some(_))));
}

#[test]
fn keys_are_made_of_variables_geo_and_map() {
    let networks = [("10.0.0.0/8", "wide"), ("10.1.0.0/16", "near"), ("2001:db8::/32", "six")];
    let networks = networks.iter().map(|(n, v)| (n.parse().unwrap(), v.to_string())).collect();
    let geo = GeoConfig { variable: "net".into(), default: "far".into(), networks };
    let values = [("gori-near".to_string(), "g".to_string())].into();
    let map = MapConfig {
        variable: "plant".into(),
        source: "$http_x_plant-${net}".into(),
        default: "d".into(),
        values,
    };
    let mut config = config(vec![location(Match::Prefix, "/", None)]);
    (config.geo, config.map) = (vec![geo], vec![map]);
    config.upstream = vec![upstream(Method::Hash, "$plant|$arg_b|$uri|$host")];
    let table = Table::build(&config).unwrap();
    let key = |client| match ask(&table, "A.example:1", "/x//y?a=1&B=2", client) {
        Resolution::Pass(p) => String::from_utf8(p.key).unwrap(),
        other => panic!("{other:?}"),
    };
    assert_eq!(key("10.1.2.3"), "g|2|/x/y|a.example");
    assert_eq!(key("10.2.2.3"), "d|2|/x/y|a.example");
    config.upstream = vec![upstream(Method::Hash, "$nothing")];
    assert!(Table::build(&config).unwrap_err().0.contains("`$nothing`"));
    config.upstream = vec![upstream(Method::IpHash, "")];
    match ask(&Table::build(&config).unwrap(), "", "/", "10.1.2.3") {
        Resolution::Pass(p) => assert_eq!(p.key, [10, 1, 2]),
        other => panic!("{other:?}"),
    }
    // One that stands on itself ends.
    let circle =
        MapConfig { variable: "c".into(), source: "$c".into(), default: "x".into(), values: [].into() };
    config.map = vec![circle];
    config.upstream = vec![upstream(Method::Hash, "$c")];
    ask(&Table::build(&config).unwrap(), "", "/", "10.1.2.3");
}

#[test]
fn what_cannot_work_is_refused_with_its_entry() {
    let broken = |change: &dyn Fn(&mut RoutingConfig)| {
        let mut c = config(vec![location(Match::Prefix, "/", None)]);
        change(&mut c);
        Table::build(&c).err().map(|e| e.0).unwrap_or_default()
    };
    assert_eq!(broken(&|_| {}), "");
    assert!(broken(&|c| c.host[0].location[0].upstream = Some("v".into())).contains("no upstream `v`"));
    assert!(broken(&|c| c.upstream[0].server[0].backup = true).contains("no backup"));
    assert!(broken(&|c| c.upstream[0].server[0].weight = 0).contains("weights"));
    assert!(broken(&|c| c.upstream[0].key = "x".into()).contains("key"));
    assert!(broken(&|c| c.host[0].location[0].path = "x".into()).contains("begin with"));
    let twice = |c: &mut RoutingConfig| {
        let again = c.upstream[0].server[0].clone();
        c.upstream[0].server.push(again);
    };
    assert!(broken(&twice).contains("twice"));
    let limit = LimitReq { zone: "z".into(), burst: 1 };
    assert!(broken(&|c| c.host[0].location[0].limit_req = vec![limit.clone()]).contains("zone `z`"));
    assert!(broken(&|c| c.host[0].location[0].location = c.host[0].location.clone()).is_empty());
}
