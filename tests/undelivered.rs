//! Messages that were given up: kept, looked at, sent again, and never applied twice, whatever is killed.
#![allow(missing_docs)]

mod peers;

use onyxstile_trace::Reader;
use onyxstile_trace::verify::verify;
use peers::*;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A partner that writes down each effect, by the message's id.
#[derive(Default)]
struct Partner {
    effects: Mutex<BTreeMap<String, u32>>,
    calls: AtomicUsize,
    shut: AtomicBool,
    /// Misbehaves at random, by this seed; 0: never.
    seed: Mutex<u64>,
}

impl Partner {
    fn start(seed: u64) -> (SocketAddr, Arc<Partner>) {
        let partner = Arc::new(Partner { seed: Mutex::new(seed), ..Partner::default() });
        let served = partner.clone();
        (listen(move |talk| served.serve(talk)), partner)
    }

    fn roll(&self) -> u64 {
        let mut seed = self.seed.lock().unwrap();
        if *seed == 0 {
            return 0;
        }
        *seed ^= *seed << 13;
        *seed ^= *seed >> 7;
        *seed ^= *seed << 17;
        *seed % 100
    }

    fn serve(&self, mut talk: Talk) {
        while let Some(first) = talk.line() {
            let (mut length, mut id) = (0, String::new());
            loop {
                let Some(line) = talk.line() else { return };
                if line.is_empty() {
                    break;
                }
                let lower = line.to_ascii_lowercase();
                if let Some(n) = lower.strip_prefix("content-length: ") {
                    length = n.parse().unwrap();
                }
                if lower.starts_with("x-correlation-id: ") {
                    id = line[18..].to_string();
                }
            }
            talk.exact(length);
            if first.starts_with("GET ") {
                let status = if self.shut.load(Relaxed) { "503 shut" } else { "200 OK" };
                talk.write(&format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n"));
                continue;
            }
            self.calls.fetch_add(1, Relaxed);
            let roll = self.roll();
            thread::sleep(Duration::from_millis(if roll == 0 { 2 } else { roll % 12 }));
            if self.shut.load(Relaxed) || (60..70).contains(&roll) {
                talk.write("HTTP/1.1 503 shut\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            *self.effects.lock().unwrap().entry(id).or_default() += 1;
            match roll {
                70..80 => return,
                80..88 => thread::sleep(Duration::from_millis(600)),
                88..100 => talk.write("HTTP/1.1 500 but it was done\r\nContent-Length: 0\r\n\r\n"),
                _ => talk.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
            }
        }
    }

    fn effects(&self, id: &str) -> u32 {
        self.effects.lock().unwrap().get(id).copied().unwrap_or_default()
    }
}

fn file(server: SocketAddr, undelivered: &str) -> String {
    format!(
        r#"
[[server]]
uid = "p"
address = "{server}"
protocol = "http"
destination = 7
[relay]
state = "state"
[http]
listen = "127.0.0.1:0"
{undelivered}
[settings]
siblings = 1
models = []
zones = []
tickMs = 5
[[settings.classes]]
name = "orders"
aimMs = 1500
deadlineMs = 2500
effect = "once"
worth = 1
[settings.extra]
maxCalls = 16
[settings.invariants]
startCapacity = 1
coldMs = 300
overloadFactor = 2
overloadForMs = 100
[settings.limits]
dialTimeoutMs = 200
keepaliveMs = 5000
maxAttempts = 60
maxRetryAfterMs = 500
maxStreams = 1
mostHeld = 200
probes = true
cancelling = true
[settings.tariffs]
"#
    )
}

/// Hands a message in: the status, or none if the connection broke before it was there.
fn hand_in(to: SocketAddr, id: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(to).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    let request = format!(
        "POST /orders HTTP/1.1\r\nHost: a\r\nEnvelope: dest=7\r\nX-Time-Left-Ms: 500\r\nConnection: close\r\n\
         X-Correlation-Id: {id}\r\nContent-Length: 5\r\n\r\nhello"
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).ok()?;
    std::str::from_utf8(&answer[9..]).ok()?.parse().ok()
}

/// What `onyxstile undelivered …` says, and whether it went well.
fn order(folder: &Folder, words: &[&str]) -> (bool, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_onyxstile"));
    let output = command.arg("undelivered").args(words).arg("--state").arg(state(folder)).output().unwrap();
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    (output.status.success(), text + &String::from_utf8_lossy(&output.stderr))
}

fn listed(folder: &Folder) -> Vec<serde_json::Value> {
    let (good, text) = order(folder, &["list", "--format", "json"]);
    assert!(good, "{text}");
    text.lines().map(|l| serde_json::from_str(l).unwrap()).collect()
}

const RULE: &str = "[undelivered]\n[[undelivered.rule]]\nwell_s = 0.3\nper_s = 50\npause_s = 0.1\n";

#[test]
fn what_failed_while_a_partner_was_shut_goes_by_rule_when_it_is_back_and_is_told_once() {
    let folder = Folder::new("undelivered-rule");
    let (address, partner) = Partner::start(0);
    partner.shut.store(true, Relaxed);
    let trace = format!("[trace]\nfolder = \"traces\"\n{RULE}");
    let mut relay = Relay::start(&folder, &file(address, &trace));
    let at = relay.address("HTTP");
    let ids: Vec<String> = (0..16).map(|n| format!("order-{n}")).collect();
    let taken: Vec<&String> = ids.iter().filter(|id| hand_in(at, id) == Some(202)).collect();
    assert!(taken.len() > 10);
    until("their ends", || (listed(&folder).len() == taken.len()).then_some(()));
    let kept = listed(&folder);
    assert!(kept.iter().all(|k| k["class"] == "orders" && k["destination"] == 7), "{kept:?}");
    assert!(partner.effects.lock().unwrap().is_empty());
    partner.shut.store(false, Relaxed);
    until("the resends", || listed(&folder).is_empty().then_some(()));
    assert!(taken.iter().all(|id| partner.effects(id) == 1));
    let (_, stats) = order(&folder, &["stats"]);
    let stats: serde_json::Value = serde_json::from_str(&stats).unwrap();
    assert_eq!(stats["since_start"]["delivered"], taken.len());
    relay.signal("TERM");
    assert!(relay.ended());
    // Nobody heard twice of any: one notice each, and none for the resends.
    assert_eq!(relay.count("undelivered: {"), taken.len() as u64);
    // The trace has the resends as flows of their own, and every rule kept.
    let path = std::fs::read_dir(folder.0.join("traces")).unwrap().next().unwrap().unwrap().path();
    let mut reader = Reader::open(std::fs::File::open(path).unwrap()).unwrap();
    let verdict = verify(&mut reader, &mut |_, _| {}).unwrap();
    assert_eq!((verdict.broken, verdict.open), (0, 0), "{:?}", verdict.told);
    assert!(verdict.flows >= 2 * taken.len() as u64);
}

#[test]
fn an_operator_looks_holds_resends_and_discards_and_a_stopped_relay_s_files_can_be_read() {
    let folder = Folder::new("undelivered-hand");
    let (address, partner) = Partner::start(0);
    partner.shut.store(true, Relaxed);
    let rule = "[undelivered]\n[[undelivered.rule]]\nwhen = \"hand\"\n";
    let mut relay = Relay::start(&folder, &file(address, rule));
    let at = relay.address("HTTP");
    for n in 0..4 {
        assert_eq!(hand_in(at, &format!("o{n}")), Some(202));
    }
    until("their ends", || (listed(&folder).len() == 4).then_some(()));
    partner.shut.store(false, Relaxed);
    let key = |id: &str| {
        let of = listed(&folder).into_iter().find(|k| k["id"] == id);
        of.map(|k| k["key"].to_string()).unwrap()
    };
    let (good, text) = order(&folder, &["show", &key("o0"), "--body"]);
    assert!(good && text.contains("\"body\": \"hello\""), "{text}");
    assert!(!order(&folder, &["show", &key("o0")]).1.contains("hello"), "no body unless it is asked for");
    assert!(order(&folder, &["hold", &key("o1"), "--by", "eka"]).0);
    assert!(order(&folder, &["discard", &key("o2")]).0);
    assert!(order(&folder, &["resend", &key("o0"), "--by", "nino"]).0);
    until("the resend", || (partner.effects("o0") == 1).then_some(()));
    until("its end", || (listed(&folder).len() == 2).then_some(()));
    thread::sleep(Duration::from_millis(500));
    let states: Vec<_> = listed(&folder).iter().map(|k| (k["id"].clone(), k["state"].clone())).collect();
    assert_eq!(
        states,
        [("o1".into(), "held".into()), ("o3".into(), "waiting".into())],
        "nothing goes by itself"
    );
    assert!(!order(&folder, &["resend"]).0, "all of them takes a word");
    assert!(!order(&folder, &["list", "--in-state", "lost"]).0);
    let mode = std::fs::metadata(folder.0.join("state/control")).unwrap().permissions();
    assert_eq!(std::os::unix::fs::PermissionsExt::mode(&mode) & 0o777, 0o600);
    relay.signal("TERM");
    assert!(relay.ended());
    assert_eq!(listed(&folder).len(), 2);
    assert!(!order(&folder, &["resend", &key("o3")]).0, "a stopped relay changes nothing");
    let (_, export) = order(&folder, &["export"]);
    assert!(export.lines().count() == 2 && export.contains("\"by\":\"eka (uid "), "{export}");
    // And the next process has them.
    let _relay = Relay::start(&folder, &file(address, rule));
    assert!(order(&folder, &["resend", &key("o1"), &key("o3")]).0);
    until("both", || (partner.effects("o1") == 1 && partner.effects("o3") == 1).then_some(()));
}

#[test]
fn what_may_have_run_goes_only_on_a_person_s_word_and_bad_orders_cost_nothing() {
    let folder = Folder::new("undelivered-risk");
    // Takes effect and never answers.
    let partner = Arc::new(Partner::default());
    let served = partner.clone();
    let silent = Arc::new(AtomicBool::new(true));
    let hush = silent.clone();
    let address = listen(move |mut talk| {
        if !hush.load(Relaxed) {
            return served.serve(talk);
        }
        while talk.line().is_some_and(|l| !l.is_empty()) {}
        talk.exact(5);
        thread::sleep(Duration::from_secs(2));
    });
    let _relay = Relay::start(&folder, &file(address, RULE));
    let at = _relay.address("HTTP");
    assert_eq!(hand_in(at, "risky"), Some(202));
    until("its end", || (listed(&folder).len() == 1).then_some(()));
    silent.store(false, Relaxed);
    thread::sleep(Duration::from_millis(1000));
    let kept = listed(&folder);
    assert_eq!(
        (&kept[0]["state"], kept[0]["may_have_run"]["server"].as_str()),
        (&"may-have-run".into(), Some("p"))
    );
    let key = kept[0]["key"].to_string();
    assert!(!order(&folder, &["resend", &key]).0);
    assert_eq!(partner.effects("risky"), 0);
    // Orders that are none, endless, or never end.
    let control = folder.0.join("state/control");
    for bad in [&b"{}\n"[..], b"{\"order\":\"destroy\"}\n", &[b'x'; 70_000], b"\xff\xfe\n"] {
        let mut stream = std::os::unix::net::UnixStream::connect(&control).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        let _ = stream.write_all(bad);
        let mut answer = [0; 9];
        let n = stream.read(&mut answer).unwrap_or(0);
        assert!(n == 0 || answer.starts_with(b"{\"error\""), "{:?}", String::from_utf8_lossy(&answer));
    }
    let (good, text) = order(&folder, &["resend", &key, "--may-have-run", "--by", "eka"]);
    assert!(good, "{text}");
    until("its second", || (partner.effects("risky") == 1).then_some(()));
    until("its end", || listed(&folder).is_empty().then_some(()));
}

#[test]
fn rules_are_read_again_while_resends_are_under_way() {
    let folder = Folder::new("undelivered-reload");
    let (address, partner) = Partner::start(0);
    partner.shut.store(true, Relaxed);
    let hand = "[undelivered]\n[[undelivered.rule]]\nwhen = \"hand\"\n";
    let relay = Relay::start(&folder, &file(address, hand));
    let at = relay.address("HTTP");
    for n in 0..10 {
        assert_eq!(hand_in(at, &format!("o{n}")), Some(202));
    }
    until("their ends", || (listed(&folder).len() == 10).then_some(()));
    partner.shut.store(false, Relaxed);
    // A file that is not good changes nothing; a good one is in force at once.
    for (text, what) in [
        (file(address, "[undelivered]\nkeep_h = -1\n"), "not taken over"),
        (file(address, RULE), "read again"),
    ] {
        std::fs::write(folder.0.join("relay.toml"), text).unwrap();
        relay.signal("HUP");
        relay.logged(what);
    }
    until("the resends", || listed(&folder).is_empty().then_some(()));
    assert!((0..10).all(|n| partner.effects(&format!("o{n}")) == 1));
}

/// What one relay's life of kills showed.
#[derive(Debug, Default)]
struct Shown {
    kills: usize,
    taken: usize,
    resends: u64,
    delivered: usize,
    may_have_run: usize,
}

/// A relay is killed again and again while it resends to a partner that does everything wrong.
fn killed(seed: u64, kills: usize) -> Shown {
    let folder = Folder::new(&format!("undelivered-kill-{seed}"));
    let (address, partner) = Partner::start(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    let rule = "[undelivered]\nsync = \"none\"\ndisk_mb = 1\n\
                [[undelivered.rule]]\nwell_s = 0\nper_s = 200\nat_once = 4\ntries = 1000\npause_s = 0.02\n";
    let text = file(address, rule);
    let (mut shown, mut taken, mut unsure) = (Shown::default(), Vec::new(), Vec::new());
    for round in 0..kills {
        let relay = Relay::start(&folder, &text);
        let at = relay.address("HTTP");
        // Some fail while it is shut, and go again while others come.
        partner.shut.store(round % 3 == 0, Relaxed);
        let end = Instant::now() + Duration::from_millis(20 + partner.roll() * 9);
        for n in 0.. {
            let id = format!("k{seed}-{round}-{n}");
            if n < 6 {
                match hand_in(at, &id) {
                    Some(202) => taken.push(id),
                    Some(_) => {}
                    None => unsure.push(id),
                }
            }
            if Instant::now() >= end {
                break;
            }
            thread::sleep(Duration::from_millis(1 + partner.roll() / 20));
        }
        shown.resends += relay.count("a resend begins");
        relay.kill();
        shown.kills += 1;
    }
    partner.shut.store(false, Relaxed);
    *partner.seed.lock().unwrap() = 0;
    let relay = Relay::start(&folder, &text);
    let moving = |k: &serde_json::Value| k["state"] == "waiting" || k["state"] == "resending";
    until("all that may go", || (!listed(&folder).iter().any(moving)).then_some(()));
    thread::sleep(Duration::from_millis(600));
    let kept = listed(&folder);
    assert!(!kept.iter().any(moving));
    for id in taken.iter().chain(&unsure) {
        assert!(partner.effects(id) <= 1, "seed {seed}: {id} was applied {} times", partner.effects(id));
    }
    let on_shelf = |id: &String| kept.iter().any(|k| k["id"] == **id);
    for id in &taken {
        assert!(partner.effects(id) == 1 || on_shelf(id), "seed {seed}: {id} is lost");
    }
    for k in &kept {
        assert_eq!(k["state"], "may-have-run", "{k}");
    }
    shown.resends += relay.count("a resend begins");
    shown.taken = taken.len();
    shown.delivered = taken.iter().filter(|id| partner.effects(id) == 1).count();
    shown.may_have_run = kept.len();
    shown
}

/// `KILLS` says how many, `SEED` from which seed on; eight relays share them.
#[test]
fn no_order_is_applied_twice_and_none_is_lost_however_often_the_relay_is_killed_while_it_resends() {
    let number = |name: &str, other| std::env::var(name).map_or(other, |v| v.parse().unwrap());
    let (kills, seed): (usize, u64) = (number("KILLS", 32), number("SEED", 1) as u64);
    let relays = if kills > 100 { 8 } else { 4 };
    let lives: Vec<_> =
        (0..relays).map(|n| thread::spawn(move || killed(seed + n as u64, kills.div_ceil(relays)))).collect();
    let lives: Vec<Shown> = lives.into_iter().map(|l| l.join().unwrap()).collect();
    let sum = |f: fn(&Shown) -> usize| lives.iter().map(f).sum::<usize>();
    let resends: u64 = lives.iter().map(|l| l.resends).sum();
    println!(
        "{} kills from seed {seed}: {} orders taken on, {} took effect, none twice; {resends} resends; {} may have run \
         and wait for a person",
        sum(|l| l.kills),
        sum(|l| l.taken),
        sum(|l| l.delivered),
        sum(|l| l.may_have_run)
    );
    assert!(resends > 10 && sum(|l| l.taken) > kills);
}
