//! Two events that cross, each story in its bad order: by scripted peers, and not by chance. docs/design/crossings.md
//! has them all.
#![allow(missing_docs)]

mod peers;

use peers::discovery::*;
use peers::front::*;
use peers::*;
use std::net::SocketAddr;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The usual configuration, with more time to connect.
fn patient(platform: SocketAddr, server: SocketAddr) -> String {
    config(platform, server, 50).replace(r#""dialTimeoutMs":500"#, r#""dialTimeoutMs":5000"#)
}

/// As one of so many relays that share a discovery, which has to be asked.
fn shared(platform: SocketAddr, server: SocketAddr, relays: u32) -> String {
    let text = config(platform, server, 50).replace(r#""siblings":1"#, &format!(r#""siblings":{relays}"#));
    text.replace(r#""settings":{"#, r#""settings":{"discovery":"ask","#)
        .replace(r#""invariants":{"#, r#""invariants":{"mustAskInMs":10000,"#)
}

/// A call is chosen, its connection does not come up, the endpoint begins to drain, and the connection comes up.
#[test]
fn a_drain_that_comes_while_a_call_connects_keeps_it_from_being_written() {
    let folder = Folder::new("drain-connect");
    let crowded = Crowded::new();
    let (good, heard) = server(|_| "200 OK");
    let (news, told) = channel();
    let told = Mutex::new(told);
    let old = crowded.address;
    let (platform, _) = discovery(move |_, talk| {
        begin(talk);
        if told.lock().unwrap().recv().is_ok() {
            tell(
                talk,
                &list(2, false, &[("s", old, 7, "draining"), ("t", good, 7, "up"), ("u", good, 8, "up")]),
            );
        }
        stay(talk);
    });
    let relay = Relay::platform(&folder, &patient(platform, crowded.address));
    assert!(hand_in(&relay, "orders", "first").starts_with("202"));
    // Its call connects. The news has come once it has brought another destination.
    sleep(ms(200));
    news.send(()).unwrap();
    until("the news", || {
        let said =
            ask(&mut Talk::to(relay.address("HTTP")), &flow("orders", "other").replace("dest=7", "dest=8"));
        said.starts_with("202").then_some(())
    });
    crowded.let_in();
    until("the late connection", || (crowded.came.load(SeqCst) > 0).then_some(()));
    until("the first one's way", || heard.lock().unwrap().contains(&"first".to_string()).then_some(()));
    sleep(ms(300));
    assert!(crowded.heard.lock().unwrap().is_empty(), "{:?}", crowded.heard.lock().unwrap());
}

/// Discovery takes a call and says nothing; it is back the moment after. The agent's news counts from then on.
#[test]
fn a_call_that_discovery_never_answers_is_soon_made_again() {
    let folder = Folder::new("silent-call");
    let (at, _) = server(|_| "200 OK");
    let (platform, _) = discovery(move |n, talk| {
        if n > 0 {
            begin(talk);
            tell(talk, &list(2, false, &[("t", at, 8, "up")]));
        }
        stay(talk);
    });
    let relay = Relay::platform(&folder, &config(platform, at, 50));
    let began = Instant::now();
    let other = |id: &str| flow("orders", id).replace("dest=7", "dest=8");
    until("the news", || {
        let said = ask(&mut Talk::to(relay.address("HTTP")), &other("o"));
        said.starts_with("202").then_some(())
    });
    assert!(began.elapsed() < ms(1500), "{:?}", began.elapsed());
}

/// The same of a discovery that 300 relays share, and of a watch that falls silent there: asked again within the time after
/// which a change counts as told, with a margin for the answer.
#[test]
fn one_of_many_relays_asks_a_shared_discovery_again_in_time() {
    let (silence, at_silence) = channel();
    let tell_silence = Mutex::new(silence);
    let (at, _) = server(|_| "200 OK");
    let (platform, asked) = discovery(move |n, talk| {
        if n == 1 {
            begin(talk);
            tell(talk, &list(2, false, &[("t", at, 8, "up")]));
            tell_silence.lock().unwrap().send(Instant::now()).unwrap();
        }
        stay(talk);
    });
    let folder = Folder::new("shared-silence");
    let _relay = Relay::platform(&folder, &shared(platform, at, 300));
    let when = |n: usize| until("the next call", || asked.lock().unwrap().get(n).map(|a| a.0));
    let (first, second) = (when(0), when(1));
    assert!(second - first < ms(5400), "{:?} after a call that was never answered", second - first);
    let (silent, third) = (at_silence.recv().unwrap(), when(2));
    assert!(third - silent < ms(5400), "{:?} after the watch fell silent", third - silent);
    assert!(third - silent > ms(2500), "a sign of life comes every 2 s: {:?}", third - silent);
}

/// A new list, and then an older one, on the same watch and on the next.
#[test]
fn an_older_list_after_a_newer_one_changes_nothing() {
    let folder = Folder::new("older-list");
    let ((old, heard_old), (new, heard_new)) = (server(|_| "200 OK"), server(|_| "200 OK"));
    let (platform, asked) = discovery(move |n, talk| {
        begin(talk);
        if n == 0 {
            tell(talk, &list(5, true, &[("s", old, 7, "draining"), ("t", new, 7, "up")]));
            tell(talk, &list(4, true, &[("s", old, 7, "up")]));
            // It ends, and the next one begins with the old list.
            sleep(ms(200));
            return;
        }
        tell(talk, &list(4, true, &[("s", old, 7, "up")]));
        stay(talk);
    });
    let relay = Relay::platform(&folder, &config(platform, old, 50));
    until("the second watch", || (asked.lock().unwrap().len() > 1).then_some(()));
    sleep(ms(300));
    for id in ["a", "b", "c", "d"] {
        assert!(hand_in(&relay, "orders", id).starts_with("202"));
    }
    until("all four", || (heard_new.lock().unwrap().len() == 4).then_some(()));
    assert!(heard_old.lock().unwrap().is_empty(), "it drains");
    assert!(asked.lock().unwrap()[1].1.contains("from=5"), "{:?}", asked.lock().unwrap());
}

/// Clients that say nothing take all descriptors that clients may have while discovery is silent; the kernel's limit is as
/// the configuration says. At the return all is served: the list, a new client, its call and a notice.
#[test]
fn idle_clients_may_fill_the_descriptors_while_discovery_is_down() {
    let folder = Folder::new("descriptors");
    let (at, heard) = server(|_| "200 OK");
    let up = Arc::new(Mutex::new(false));
    let is_up = up.clone();
    let (platform, _) = discovery(move |_, talk| {
        if *is_up.lock().unwrap() {
            begin(talk);
            tell(talk, &list(2, false, &[("t", at, 8, "up")]));
        }
        stay(talk);
    });
    let text = config(platform, at, 50).replace(r#""sockets":256"#, r#""sockets":120"#);
    let relay = Relay::platform_limited(&folder, &text, 120);
    let to = relay.address("HTTP");
    let mut idle = Vec::new();
    for n in 0..150 {
        let mut talk = Talk::to(to);
        if n % 2 == 0 {
            // Some have had an answer, and rest.
            assert!(ask(&mut talk, "GET /health/live HTTP/1.1\r\n\r\n").starts_with("200"), "{n}");
        }
        idle.push(talk);
    }
    // While all that stands, a client of use finds a place.
    let said = hand_in(&relay, "orders", "while-it-is-down");
    assert!(said.starts_with("202"), "{said}");
    *up.lock().unwrap() = true;
    let began = Instant::now();
    until("the news", || {
        let said = ask(&mut Talk::to(to), &flow("orders", "after").replace("dest=7", "dest=8"));
        said.starts_with("202").then_some(())
    });
    assert!(began.elapsed() < ms(3000), "{:?}", began.elapsed());
    until("both calls", || (heard.lock().unwrap().len() >= 2).then_some(()));
    assert_eq!(relay.count("accept: "), 0, "it never ran out of descriptors");
    drop(idle);
}

/// Told to end while half a request has come: its client is answered, and sees an end in order.
#[test]
fn a_request_that_is_not_whole_when_the_relay_ends_is_answered() {
    let folder = Folder::new("half-request");
    let (platform, _) = platform();
    let (at, heard) = server(|_| "200 OK");
    let mut relay = Relay::platform(&folder, &config(platform, at, 50));
    let (mut half, mut resting) = (Talk::to(relay.address("HTTP")), Talk::to(relay.address("HTTP")));
    for talk in [&mut half, &mut resting] {
        assert!(ask(talk, "GET /health/ready HTTP/1.1\r\n\r\n").starts_with("200"));
    }
    relay.signal("TERM");
    relay.logged("-> Draining");
    // A second order to end changes nothing.
    relay.signal("TERM");
    half.write(&flow("orders", "half")[..60]);
    let said = half.line().unwrap_or_default();
    assert!(said.starts_with("HTTP/1.1 503"), "`{said}`");
    while half.line().is_some() {}
    assert!(half.is_over() && resting.line().is_none() && resting.is_over(), "an end, and no reset");
    assert!(relay.ended());
    assert!(heard.lock().unwrap().is_empty());
}

/// Killed with its room full of messages that were never sent, while discovery says nothing: the next process is ready at once,
/// and each of them is tried before its time is up, though clients go on handing in.
#[test]
fn a_restart_with_much_that_is_untried_is_ready_at_once_and_tries_it() {
    let folder = Folder::new("untried");
    let crowded = Crowded::new();
    let (platform, _) = discovery(|_, talk| stay(talk));
    let text = patient(platform, crowded.address);
    let relay = Relay::platform(&folder, &text);
    let ids: Vec<_> = (0..40).map(|n| format!("held-{n}")).collect();
    for id in &ids {
        assert!(hand_in(&relay, "orders", id).starts_with("202"), "{id}");
    }
    relay.kill();
    crowded.let_in();
    let began = Instant::now();
    let relay = Relay::platform(&folder, &text);
    let ready = ask(&mut Talk::to(relay.address("HTTP")), "GET /health/ready HTTP/1.1\r\n\r\n");
    assert!(ready.starts_with("200") && began.elapsed() < ms(2000), "{ready} after {:?}", began.elapsed());
    let end = Instant::now() + ms(8500);
    let mut n = 0;
    while Instant::now() < end {
        let _ = hand_in(&relay, "orders", &format!("new-{n}"));
        n += 1;
        sleep(ms(100));
    }
    // Those that were out at the kill may have run, and fail by notice: eight, for there are so many slots.
    let heard = crowded.heard.lock().unwrap();
    let tried = ids.iter().filter(|id| heard.contains(id)).count();
    assert!(tried >= 32, "{tried} of 40, {n} came meanwhile");
}
