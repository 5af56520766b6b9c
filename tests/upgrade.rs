//! Stories of a new version that takes over under load: two real processes, one folder, and a kill at every step.
#![allow(missing_docs)]

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

/// Who is killed.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Killed {
    Old,
    New,
}

/// Steps of a hand-over between which a kill can come: each thing said, by the time it has and has not arrived.
const STEPS: usize = 9;

/// Takes the old process' place at its socket. It has to stand there before the new process is started: one that is quicker
/// asks the old process itself, and nobody ever comes here.
fn stand_between(folder: &Folder) -> std::os::unix::net::UnixListener {
    let path = folder.0.join("state/upgrade");
    std::fs::rename(&path, path.with_extension("real")).unwrap();
    std::os::unix::net::UnixListener::bind(&path).unwrap()
}

/// Passes on what both processes say, and kills one of them at a step; true once the new one has been told to go.
async fn between(
    listener: std::os::unix::net::UnixListener, folder: &Folder, step: usize, kill: &mut dyn FnMut(),
) -> std::io::Result<bool> {
    let path = folder.0.join("state/upgrade");
    listener.set_nonblocking(true)?;
    let listener = tokio::net::UnixListener::from_std(listener)?;
    let mut new = Peer::new(listener.accept().await?.0);
    std::fs::remove_file(&path)?;
    std::fs::rename(path.with_extension("real"), &path)?;
    let mut old = Peer::new(tokio::net::UnixStream::connect(&path).await?);
    let mut at = 0;
    let mut reached = || {
        at += 1;
        if at == step + 1 {
            kill();
        }
        at > step
    };
    for (from_new, kind) in
        [(true, Kind::Hello), (false, Kind::State), (true, Kind::Ready), (false, Kind::Go)]
    {
        let heard = if from_new { new.hear().await? } else { old.hear().await? };
        let (said, what) = heard.expect("something is said");
        assert_eq!(said, kind, "{}", String::from_utf8_lossy(&what));
        if reached() {
            return Ok(false);
        }
        let to = if from_new { &mut old } else { &mut new };
        to.say(kind, &what).await?;
        if reached() {
            return Ok(kind == Kind::Go);
        }
        if kind == Kind::State {
            let state: State = read(&what).unwrap();
            let sockets = old.receive_sockets(state.sockets()).await?;
            let sockets: Vec<_> = sockets.iter().map(std::os::fd::AsFd::as_fd).collect();
            new.send_sockets(&sockets).await?;
            if reached() {
                return Ok(false);
            }
        }
    }
    Ok(true)
}

#[test]
fn a_kill_of_either_side_at_any_step_leaves_a_relay_that_keeps_every_promise() {
    for step in 0..STEPS {
        for killed in [Killed::Old, Killed::New] {
            let folder = Folder::new(&format!("step{step}{killed:?}"));
            let (platform, notices) = platform();
            let (address, heard) = slow_server(Duration::from_millis(400));
            let text = with_admin(&config(platform, address, 50));
            let mut old = Relay::platform(&folder, &text);
            says(&old, "exclude nobody", "400");
            assert!(hand_in(&old, "orders", "out").starts_with("202"));
            until("the call", || (heard.lock().unwrap().len() == 1).then_some(()));
            let listener = stand_between(&folder);
            let mut new = Relay::beside(&folder);
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            let done = runtime.block_on(async {
                let mut kill = || match killed {
                    Killed::Old => old.slay(),
                    Killed::New => new.slay(),
                };
                tokio::time::timeout(PATIENCE, between(listener, &folder, step, &mut kill)).await
            });
            drop(runtime);
            let what = format!("{killed:?} killed at step {step}, {done:?}");
            let done = done.unwrap_or_else(|_| panic!("the hand-over stands still: {what}"));
            assert!(done.is_ok(), "nobody was killed: {what}");
            let left = if killed == Killed::Old { &new } else { &old };
            // An old process that had given all away starts again; until then it does not say that it is ready.
            until(&what, || {
                let ready = std::net::TcpStream::connect(left.address("admin")).is_ok()
                    && call(left, "readyz").starts_with("200");
                ready.then_some(())
            });
            assert!(hand_in(left, "orders", "after").starts_with("202"), "{what}");
            until(&what, || call(left, "telemetry").contains("svc_in_flight 0\n").then_some(()));
            until(&what, || {
                let told = notices.lock().unwrap().len();
                (heard.lock().unwrap().len() == 2 && (told == 1 || served(left) == 2)).then_some(())
            });
            // Once each. What was out is failed by its notice only where the socket that it was on went down.
            assert_eq!(*heard.lock().unwrap(), ["out", "after"], "{what}");
            let all_came = killed == Killed::Old && step >= 4;
            let kept = killed == Killed::New && step <= 5;
            let told = notices.lock().unwrap().clone();
            assert_eq!(told.is_empty(), all_came || kept, "{what}: {told:?}");
        }
    }
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
