//! Writes an import as an operator's file: each entry after a comment that names the line it came from, in the
//! order of the configuration, so that a second import of it differs only where it does.

use crate::import::Imported;
use crate::parse::At;
use onyxstile_routing::config::*;
use serde::Serialize;
use std::fmt::Write;

/// What stands where nginx gives nothing. One class, given up after half a minute, whose messages never take
/// effect twice: the safest there is.
const SETTINGS: &str = r#"
[settings]                      # the module's; docs/import-nginx.md says what to look at first
siblings = 1                    # relays that share the servers
models = []
zones = []
zone = ""
tenants = []
tickMs = 5

[[settings.classes]]
name = "messages"
aimMs = 2500
deadlineMs = 28000
effect = "once"                 # never sent twice; `repeatable` where a repeat does no harm
worth = 1
lateWorth = 0.5

[settings.extra]
maxCalls = 64                   # calls out at once
losesWorth = "halves"
perCall = []
ownLimits = []

[settings.invariants]           # a server that comes back starts at this share, and is warm after coldMs
startCapacity = 0.17
coldMs = 14000
overloadFactor = 2
overloadForMs = 3000

[settings.limits]
dialTimeoutMs = 1000
keepaliveMs = 15000
maxAttempts = 12
maxRetryAfterMs = 2000
maxStreams = 1
mostHeld = 1000
probes = true                   # a server that failed is asked `OPTIONS *` before a message tries it again
cancelling = true

[settings.tariffs]
"#;

/// The whole file. `name` is the configuration's, as the file shows it.
pub fn write(imported: &Imported, name: &str) -> String {
    let mut out = String::new();
    let account = imported.account;
    let _ = writeln!(
        out,
        "# From {name} by `onyxstile import-nginx`: {} directives, {} carried, {} with a difference, {} not\n\
         # carried, {} of no concern here.",
        account.directives, account.carried, account.with_difference, account.not_carried, account.no_concern
    );
    let listen = imported.listen.map_or("127.0.0.1:8080".to_string(), |l| l.to_string());
    let _ = write!(
        out,
        "\n[relay]\nstate = \"state\"               # the folder that lasts\ndisk_mb = 64\nsockets = 1024\nmemory_mb = 64\n\
         \n[http]\nlisten = \"{listen}\"\n# outcomes = \"127.0.0.1:8500\"  # who is told of ends; without it the log is\n"
    );
    out.push_str(SETTINGS);
    let Imported { routing, origins, .. } = imported;
    let at = |at: Option<&At>| at.map_or(String::new(), |at| imported.files.shown(*at));
    for (geo, origin) in routing.geo.iter().zip(&origins.geo) {
        entry(
            &mut out,
            &at(Some(origin)),
            "[[routing.geo]]",
            &GeoConfig { networks: [].into(), ..geo.clone() },
        );
        entry(&mut out, "", "[routing.geo.networks]", &geo.networks);
    }
    for (map, origin) in routing.map.iter().zip(&origins.map) {
        entry(
            &mut out,
            &at(Some(origin)),
            "[[routing.map]]",
            &MapConfig { values: [].into(), ..map.clone() },
        );
        entry(&mut out, "", "[routing.map.values]", &map.values);
    }
    for (zone, origin) in routing.zone.iter().zip(&origins.zones) {
        entry(&mut out, &at(Some(origin)), "[[routing.zone]]", zone);
    }
    for (n, upstream) in routing.upstream.iter().enumerate() {
        let bare = UpstreamConfig { server: vec![], ..upstream.clone() };
        entry(&mut out, &at(origins.upstreams.get(n)), "[[routing.upstream]]", &bare);
        for (s, server) in upstream.server.iter().enumerate() {
            let origin = origins.servers.get(n).and_then(|o| o.get(s));
            entry(&mut out, &at(origin), "[[routing.upstream.server]]", server);
        }
    }
    let mut places = origins.locations.iter();
    for (host, origin) in routing.host.iter().zip(&origins.hosts) {
        let bare = HostConfig { location: vec![], ..host.clone() };
        entry(&mut out, &at(Some(origin)), "[[routing.host]]", &bare);
        locations(&mut out, &host.location, "routing.host.location", &mut || at(places.next()));
    }
    out
}

fn locations(out: &mut String, all: &[LocationConfig], path: &str, place: &mut dyn FnMut() -> String) {
    for l in all {
        let bare = LocationConfig { location: vec![], limit_req: vec![], limit_conn: vec![], ..l.clone() };
        entry(out, &place(), &format!("[[{path}]]"), &bare);
        l.limit_req.iter().for_each(|limit| entry(out, "", &format!("[[{path}.limit_req]]"), limit));
        l.limit_conn.iter().for_each(|limit| entry(out, "", &format!("[[{path}.limit_conn]]"), limit));
        locations(out, &l.location, &format!("{path}.location"), place);
    }
}

/// An entry whose values are all simple ones or lists of them.
fn entry(out: &mut String, origin: &str, header: &str, value: &impl Serialize) {
    let text = toml::to_string(value).unwrap_or_default();
    // Tables that were emptied above are written by their own headers.
    let lines =
        text.lines().filter(|l| !matches!(*l, "server = []" | "location = []" | "[networks]" | "[values]"));
    let body: Vec<_> = lines.filter(|l| !l.is_empty()).collect();
    let comment = if origin.is_empty() { String::new() } else { format!("# {origin}\n") };
    let _ = write!(out, "\n{comment}{header}\n{}\n", body.join("\n"));
}
