//! Stories of the operators' address: calls, figures, bans and evacuation, with scripted clients and real servers.
#![allow(missing_docs)]

mod peers;

use peers::front::*;
use peers::*;
use std::time::{Duration, Instant};

#[test]
fn a_ban_holds_over_list_and_kill_and_one_call_ends_it() {
    let folder = Folder::new("ban");
    let (platform, _) = platform();
    let (address, heard) = server(|_| "200 OK");
    let text = with_admin(&config(platform, address, 50));
    let relay = Relay::platform(&folder, &text);
    assert!(hand_in(&relay, "orders", "first").starts_with("202"));
    until("the first call", || (heard.lock().unwrap().len() == 1).then_some(()));
    for bad in ["exclude nobody", "exclude", "include", "reboot", "exclude s s", "\u{1}"] {
        says(&relay, bad, "400");
    }
    says(&relay, "exclude s", "200");
    says(&relay, "exclude s", "200");
    assert!(call(&relay, "telemetry").contains("svc_endpoints_excluded 1\n"));
    let banned = || hand_in(&relay, "notices", "held");
    assert!(banned().starts_with("202"), "it is held, as for a drain");
    std::thread::sleep(Duration::from_millis(300));
    relay.kill();
    let relay = Relay::platform(&folder, &text);
    std::thread::sleep(Duration::from_millis(1500));
    assert_eq!(heard.lock().unwrap().len(), 1, "a banned server was sent to");
    assert!(call(&relay, "telemetry").contains("svc_endpoints_excluded 1\n"));
    says(&relay, "include s", "200");
    until("the held one", || (heard.lock().unwrap().len() == 2).then_some(()));
    until("the figures", || call(&relay, "telemetry").contains("svc_endpoints_excluded 0\n").then_some(()));
    relay.kill();
    let relay = Relay::platform(&folder, &text);
    assert!(call(&relay, "telemetry").contains("svc_endpoints_excluded 0\n"));
    says(&relay, "include s", "200");
}

#[test]
fn the_figures_are_what_clients_and_servers_counted() {
    let folder = Folder::new("figures");
    let (platform, notices) = platform();
    let (address, heard) = server(|n| if n % 4 == 3 { "500 no" } else { "200 OK" });
    let relay = Relay::platform(&folder, &with_admin(&config(platform, address, 8)));
    let figure = |name: &str| -> u64 {
        let text = call(&relay, "telemetry");
        assert!(text.ends_with("\nEOF\n"), "{text}");
        let line = text.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(' '));
        line.unwrap_or_else(|| panic!("no {name} in {text}")).parse().unwrap()
    };
    assert_eq!(figure("svc_served{class=\"notices\"}"), 0);
    let (mut taken, mut refused) = (0, 0);
    for n in 0..24 {
        let said = hand_in(&relay, "orders", &format!("f{n}"));
        if said.starts_with("202") { taken += 1 } else { refused += 1 }
    }
    // Told twice, a message is one message.
    assert!(hand_in(&relay, "orders", "f0").starts_with("202"));
    until("all ends", || (figure("svc_in_flight") == 0).then_some(()));
    let told = |what: &str| notices.lock().unwrap().iter().filter(|n| n.contains(what)).count() as u64;
    until("all notices", || {
        let ends = figure("svc_served{class=\"orders\"}") + told("failed") + told("returned");
        (ends == taken).then_some(())
    });
    assert_eq!(figure("svc_failed{class=\"orders\"}"), told("failed"));
    assert_eq!(figure("svc_refused{class=\"orders\"}"), told("returned") + refused);
    assert_eq!(figure("svc_attempts"), heard.lock().unwrap().len() as u64);
    assert_eq!(figure("svc_endpoints_known"), 1);
}

#[test]
fn clients_are_sent_away_and_come_back_and_no_message_is_lost() {
    let folder = Folder::new("evacuate");
    let (platform, _) = platform();
    let (address, heard) = server(|_| "200 OK");
    let relay = Relay::platform(&folder, &with_admin(&config(platform, address, 50)));
    let at = relay.address("HTTP");
    let ready = || ask(&mut Talk::to(at), "GET /health/ready HTTP/1.1\r\n\r\n");
    let (mut idle, mut used) = (Talk::to(at), Talk::to(at));
    assert!(ask(&mut idle, &flow("orders", "a")).starts_with("202"));
    // Half of a request is there when the order comes.
    let whole = flow("orders", "b");
    let (one, two) = whole.split_at(40);
    used.write(one);
    says(&relay, "evacuate", "200");
    says(&relay, "evacuate", "200");
    relay.signal("HUP");
    relay.logged("the configuration was read again");
    assert!(ready().starts_with("503"));
    says(&relay, "readyz", "200");
    let began = Instant::now();
    assert!(idle.line().is_none(), "an idle connection is told nothing");
    assert!(began.elapsed() < Duration::from_secs(2));
    let said = ask(&mut used, two);
    assert!(said.starts_with("202") && said.contains("Connection: close"), "{said}");
    assert!(used.line().is_none());
    until("both", || (heard.lock().unwrap().len() == 2).then_some(()));
    says(&relay, "activate", "200");
    says(&relay, "activate", "200");
    assert!(ready().starts_with("200"));
    let mut again = Talk::to(at);
    for n in 0..3 {
        assert!(!ask(&mut again, &flow("orders", &format!("c{n}"))).contains("close"));
        std::thread::sleep(Duration::from_millis(400));
    }
    // Sent away, and told to end: it ends.
    says(&relay, "evacuate", "200");
    relay.signal("TERM");
    let mut relay = relay;
    assert!(relay.ended());
}

#[test]
fn operators_are_heard_with_all_places_taken_and_callers_that_say_nothing() {
    let folder = Folder::new("busy");
    let (platform, _) = platform();
    let (address, _) = server(|_| "200 OK");
    let relay = Relay::platform(&folder, &with_admin(&config(platform, address, 50)));
    let at = relay.address("admin");
    let _flood: Vec<_> = (0..300).map(|_| Talk::to(relay.address("HTTP"))).collect();
    let mut silent: Vec<_> = (0..40).map(|_| Talk::to(at)).collect();
    silent.iter_mut().for_each(|s| s.write("exclu"));
    for _ in 0..10 {
        says(&relay, "readyz", "200");
        says(&relay, "telemetry", "svc_served");
    }
    let mut endless = Talk::to(at);
    endless.write(&"x".repeat(2000));
    assert!(endless.line().is_some_and(|l| l.starts_with("400")));
    let began = Instant::now();
    silent.into_iter().for_each(|mut s| assert!(s.line().is_none()));
    assert!(began.elapsed() < Duration::from_secs(4));
}

#[test]
fn an_address_that_is_another_s_too_is_named_and_nothing_starts() {
    let folder = Folder::new("address");
    let (platform, _) = platform();
    let text = with_admin(&config(platform, platform, 50));
    let other = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let taken = other.local_addr().unwrap().to_string();
    for (listen, admin, what) in [
        ("127.0.0.1:7", "127.0.0.1:7".to_string(), "the clients' address too"),
        ("127.0.0.1:0", platform.to_string(), "discovery's address too"),
        ("127.0.0.1:0", "127.0.0.1".to_string(), "is no address with a port"),
        ("127.0.0.1:0", taken.clone(), &*format!("admin on {taken}")),
    ] {
        let text = text.replace("\"listen\":\"127.0.0.1:0\"", &format!("\"listen\":\"{listen}\""));
        let text = text.replace("\"admin\":\"127.0.0.1:0\"", &format!("\"admin\":\"{admin}\""));
        let said = Relay::fails(&folder, &text);
        assert!(said.contains(what), "{said}");
    }
}
