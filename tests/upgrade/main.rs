//! Stories of a new version that takes over under load: two real processes, one folder, and a kill at every step.
#![allow(missing_docs)]

mod kills;
#[path = "../peers/mod.rs"]
mod peers;

use onyxstile::net::upgrade::state::{FORMAT, Hello, State, read, write};
use onyxstile::net::upgrade::wire::{Kind, Peer};
use peers::front::*;
use peers::*;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::thread::sleep;
use std::time::{Duration, Instant};

fn slow_server(time: Duration) -> (std::net::SocketAddr, Heard) {
    server_after(time, |_| "200 OK")
}

fn ready(relay: &Relay) {
    until("readyz", || call(relay, "readyz").starts_with("200").then_some(()));
}

fn served(relay: &Relay) -> u64 {
    let text = call(relay, "telemetry");
    let counts =
        text.lines().filter_map(|l| l.strip_prefix("svc_served{")?.rsplit(' ').next()?.parse::<u64>().ok());
    counts.sum()
}

#[test]
fn clients_calls_bans_and_counts_move_to_the_new_process_and_nobody_notices() {
    let folder = Folder::new("upgrade");
    let (platform, notices) = platform();
    let (address, heard) = slow_server(Duration::from_millis(600));
    let text = with_admin(&config(platform, address, 50));
    let mut old = Relay::platform(&folder, &text);
    let at = old.address("HTTP");
    let (mut idle, mut half) = (Talk::to(at), Talk::to(at));
    assert!(ask(&mut idle, &flow("orders", "out")).starts_with("202"));
    until("the call", || (heard.lock().unwrap().len() == 1).then_some(()));
    let whole = flow("notices", "half");
    let (one, two) = whole.split_at(60);
    half.write(one);
    says(&old, "exclude s", "200");
    sleep(Duration::from_millis(50));
    let new = Relay::beside(&folder);
    ready(&new);
    says(&old, "readyz", "400");
    says(&old, "exclude s", "400");
    // The order that was out ends where it began, and is counted by whoever heard of its end.
    until("the end", || (served(&new) == 1).then_some(()));
    assert_eq!((served(&old), heard.lock().unwrap().len()), (0, 1));
    // The client goes on where it was; so does the other, which never let go of its connection.
    assert!(ask(&mut half, two).starts_with("202"));
    assert!(ask(&mut idle, &flow("orders", "after")).starts_with("202"));
    assert!(ask(&mut idle, &flow("orders", "out")).starts_with("202"), "taken on before, once");
    old.signal("TERM");
    assert!(old.ended());
    sleep(Duration::from_millis(700));
    assert_eq!(heard.lock().unwrap().len(), 1, "the ban has moved along");
    says(&new, "include s", "200");
    until("all", || (served(&new) == 3).then_some(()));
    assert!(notices.lock().unwrap().is_empty());
    // And once more, while clients are sent away: the third is not ready for them until it is told.
    says(&new, "evacuate", "200");
    let third = Relay::beside(&folder);
    ready(&third);
    let health = || ask(&mut Talk::to(at), "GET /health/ready HTTP/1.1\r\n\r\n");
    assert!(health().starts_with("503"));
    says(&third, "activate", "200");
    assert!(health().starts_with("200"));
    assert!(hand_in(&third, "orders", "last").starts_with("202"));
    until("the last", || (served(&third) == 1).then_some(()));
}

#[test]
fn a_day_of_upgrades_under_load_loses_and_doubles_nothing() {
    let folder = Folder::new("upgrades");
    let (platform, notices) = platform();
    let (address, heard) = slow_server(Duration::from_millis(30));
    let text = with_admin(&config(platform, address, 200));
    let mut relay = Relay::platform(&folder, &text);
    let at = relay.address("HTTP");
    let taken = std::sync::Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = (0..4)
        .map(|c| {
            let taken = taken.clone();
            std::thread::spawn(move || {
                let mut talk = Talk::to(at);
                for n in 0..60 {
                    let said = ask(&mut talk, &flow("orders", &format!("c{c}-{n}")));
                    assert!(!said.is_empty(), "a connection was cut under client {c} at {n}");
                    taken.fetch_add(usize::from(said.starts_with("202")), SeqCst);
                    sleep(Duration::from_millis(20));
                }
            })
        })
        .collect();
    for _ in 0..4 {
        sleep(Duration::from_millis(250));
        let next = Relay::beside(&folder);
        ready(&next);
        relay.signal("TERM");
        assert!(relay.ended());
        relay = next;
    }
    clients.into_iter().for_each(|c| c.join().unwrap());
    let taken = taken.load(SeqCst);
    assert!(taken > 100, "{taken}");
    until("all ends", || call(&relay, "telemetry").contains("svc_in_flight 0\n").then_some(()));
    let mut ids = heard.lock().unwrap().clone();
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), heard.lock().unwrap().len(), "an order ran twice");
    let told = notices.lock().unwrap().len();
    assert_eq!(ids.len() + told, taken, "delivered and told, of those taken on");
}

#[test]
fn what_cannot_be_handed_over_is_refused_by_name_and_the_old_process_goes_on() {
    let folder = Folder::new("refused");
    let (platform, _) = platform();
    let (address, heard) = server(|_| "200 OK");
    let text = with_admin(&config(platform, address, 50));
    let relay = Relay::platform(&folder, &text);
    let said = Relay::fails(&folder, &text.replace("\"maxAttempts\":6", "\"maxAttempts\":5"));
    assert!(said.contains("refuses to hand over: the settings differ"), "{said}");
    // Another format, and one that claims to be ready without having been asked.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let socket = tokio::net::UnixStream::connect(folder.0.join("state/upgrade")).await.unwrap();
        let mut peer = Peer::new(socket);
        let hello = Hello { format: FORMAT + 1, version: "9".into(), settings: vec![] };
        peer.say(Kind::Hello, &write(&hello).unwrap()).await.unwrap();
        let (kind, why) = peer.hear().await.unwrap().unwrap();
        assert_eq!((kind, &why[..]), (Kind::Never, &b"the state has another format"[..]));
        let socket = tokio::net::UnixStream::connect(folder.0.join("state/upgrade")).await.unwrap();
        Peer::new(socket).say(Kind::Ready, &[]).await.unwrap();
    });
    // One that says nothing, one that says nonsense, and one that hangs up.
    for nonsense in ["", "GET / HTTP/1.1\r\n\r\n", "H\u{4}\0\0\0abcd", "H\0\0\0\u{1}"] {
        use std::io::Write;
        let mut socket = std::os::unix::net::UnixStream::connect(folder.0.join("state/upgrade")).unwrap();
        socket.write_all(nonsense.as_bytes()).unwrap();
    }
    assert!(hand_in(&relay, "orders", "on").starts_with("202"));
    until("the call", || (heard.lock().unwrap().len() == 1).then_some(()));
    ready(&relay);
}

#[test]
fn a_folder_held_by_a_process_that_does_not_answer_is_never_written_by_a_second_one() {
    let folder = Folder::new("held");
    let (platform, _) = platform();
    let (address, _) = server(|_| "200 OK");
    let lock = std::fs::File::create(folder.0.join("state/lock")).unwrap();
    lock.lock().unwrap();
    let began = Instant::now();
    let said = Relay::fails(&folder, &with_admin(&config(platform, address, 50)));
    assert!(said.contains("another process has it"), "{said}");
    assert!(began.elapsed() < Duration::from_secs(12));
    assert!(!folder.0.join("state/journal").exists());
    // As soon as it is free, the next process has it.
    drop(lock);
    ready(&Relay::platform(&folder, &with_admin(&config(platform, address, 50))));
}

/// Where the socket for upgrades cannot be had, the relay serves all the same and says so once.
#[test]
fn a_relay_that_cannot_listen_for_upgrades_serves_without_them() {
    let folder = Folder::new("no-socket");
    let (platform, _) = platform();
    let (address, heard) = slow_server(Duration::ZERO);
    std::fs::create_dir_all(folder.0.join("state").join("upgrade")).unwrap();
    let text = with_admin(&config(platform, address, 50));
    let relay = Relay::platform(&folder, &text);
    ready(&relay);
    let mut client = Talk::to(relay.address("HTTP"));
    assert!(ask(&mut client, &flow("orders", "alone")).starts_with("202"));
    until("the call", || (heard.lock().unwrap().len() == 1).then_some(()));
    assert_eq!(relay.count("no upgrades under load"), 1);
}
