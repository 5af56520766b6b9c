//! Stories of the mail front: clients and stand-in servers on loopback that stall, refuse and fail.
#![allow(missing_docs)]

mod ends;
#[path = "../peers/mod.rs"]
mod peers;
mod sessions;
mod stand_in;

use peers::*;
use stand_in::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::Duration;

/// An operator's file: quick settings, and a destination for each stand-in.
fn file(folder: &Folder, held: usize, servers: &[(&str, u64, SocketAddr)]) -> String {
    let mut text = format!(
        r#"
[relay]
state = "{}"
[mail]
smtp = "127.0.0.1:0"
lmtp = "127.0.0.1:0"
hostname = "relay.example"
class = "orders"
bounce = 0
times = {{ client_s = 5, client_data_s = 5, command_s = 0.3, block_s = 1, done_s = 6, keep_s = 1 }}
[settings]
classes = [{{ name = "orders", aimMs = 1000, deadlineMs = 9000, worth = 1, lateWorth = 0.5, effect = "once" }}]
extra = {{ maxCalls = 40 }}
invariants = {{ coldMs = 500, overloadFactor = 2, overloadForMs = 100, startCapacity = 1 }}
limits = {{ dialTimeoutMs = 500, keepaliveMs = 5000, maxAttempts = 6, maxRetryAfterMs = 500, maxStreams = 1, mostHeld = {held}, probes = false, cancelling = true }}
models = []
siblings = 1
tariffs = {{}}
tickMs = 5
zones = []
"#,
        state(folder)
    );
    for (protocol, destination, address) in servers {
        text += &format!(
            "[[server]]\nuid = \"s{destination}\"\naddress = \"{address}\"\nprotocol = \"{protocol}\"\n"
        );
        text += &format!("destination = {destination}\n[[route]]\ndomain = \"d{destination}.example\"\n");
        text += &format!("destination = {destination}\n");
    }
    text
}

/// Hands a message in; the replies after its data, one or one for each recipient.
fn hand_in(address: SocketAddr, lmtp: bool, from: &str, to: &[String], body: &str) -> Vec<String> {
    let mut talk = Talk::to(address);
    assert!(talk.reply().starts_with("220"));
    assert!(talk.say(if lmtp { "LHLO client.example" } else { "EHLO client.example" }).starts_with("250"));
    assert!(talk.say(&format!("MAIL FROM:<{from}>")).starts_with("250"));
    for to in to {
        assert!(talk.say(&format!("RCPT TO:<{to}>")).starts_with("250"), "{to}");
    }
    assert!(talk.say("DATA").starts_with("354"));
    talk.write(&format!("{body}.\r\n"));
    (0..if lmtp { to.len() } else { 1 }).map(|_| talk.reply()).collect()
}

/// How often each of them was told of, as its final recipient.
fn reports(bounces: &Taken) -> BTreeMap<String, usize> {
    let mut count = BTreeMap::new();
    for (to, text) in bounces.lock().unwrap().iter() {
        assert_eq!(to, "client@d0.example");
        let about = text.lines().find_map(|l| l.strip_prefix("Final-Recipient: rfc822; ")).unwrap();
        *count.entry(about.to_string()).or_default() += 1;
    }
    count
}
