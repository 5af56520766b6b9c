//! How flows end, whatever the servers do.

use super::*;

/// What `onyxstile undelivered …` says.
fn undelivered(folder: &Folder, words: &[&str]) -> String {
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_onyxstile"));
    let output = command.arg("undelivered").args(words).arg("--state").arg(state(folder)).output().unwrap();
    String::from_utf8(output.stdout).unwrap()
}

#[test]
fn no_order_is_doubled_and_every_flow_ends_once_whatever_the_servers_do_and_over_a_restart() {
    // What goes wrong, how often the order may take effect, and how many notifications come of it.
    let stories = [
        (Fault::None, 1, 0),
        (Fault::Once("MAIL", "451 busy"), 1, 0),
        (Fault::Once("RCPT", "450 busy"), 1, 0),
        (Fault::Once(".", "452 busy"), 1, 0),
        (Fault::Once("greeting", "421 closing"), 1, 0),
        (Fault::MuteOnce("greeting"), 1, 0),
        (Fault::MuteOnce("RCPT"), 1, 0),
        (Fault::CutOnce("DATA"), 1, 0),
        // The dot was on its way already: it may have run, as far as the relay can know.
        (Fault::CutOnce("body"), 0, 1),
        (Fault::Always("RCPT", "550 no"), 0, 1),
        (Fault::Always("DATA", "554 no"), 0, 1),
        (Fault::Always(".", "554 no"), 0, 1),
        (Fault::Always("MAIL", "451 busy"), 0, 1),
        (Fault::CutAfterDot, 1, 1),
        (Fault::MuteAfterDot, 1, 1), // And once for the one with a null reverse-path.
    ];
    let folder = Folder::new("stories");
    let (bounce, bounces) = stand_in(false, Fault::None);
    let mut servers = vec![("smtp", 0, bounce)];
    let mut takers = Vec::new();
    for (i, (fault, ..)) in stories.iter().enumerate() {
        let (address, taken) = stand_in(false, *fault);
        servers.push(("smtp", i as u64 + 1, address));
        takers.push(taken);
    }
    let file = file(&folder, 100, &servers);
    let relay = Relay::start(&folder, &file);
    let to: Vec<_> = (1..=stories.len()).map(|d| format!("order@d{d}.example")).collect();
    let body = "Subject: one\r\n\r\n..two\r\n";
    let said = hand_in(relay.address("SMTP"), false, "client@d0.example", &to, body);
    assert!(said[0].starts_with("250"), "{said:?}");
    until("all deliveries", || {
        takers.iter().zip(&stories).all(|(t, s)| t.lock().unwrap().len() >= s.1).then_some(())
    });
    // Killed while the mute one has the order and has not said so, and one more is on its way to it.
    assert!(hand_in(relay.address("SMTP"), false, "", &to[14..], body)[0].starts_with("250"));
    until("the second for the mute one", || (takers[14].lock().unwrap().len() >= 2).then_some(()));
    relay.kill();
    let relay = Relay::start(&folder, &file);
    let wanted: usize = stories.iter().map(|s| s.2).sum();
    until("all notifications", || (bounces.lock().unwrap().len() >= wanted).then_some(()));
    // Nothing comes later, and nothing is left open.
    sleep(Duration::from_millis(1500));
    relay.kill();
    Relay::start(&folder, &file).logged("recovered 0 open flows");
    let told = reports(&bounces);
    for (((fault, times, reported), taken), to) in stories.iter().zip(&takers).zip(&to) {
        let taken = taken.lock().unwrap();
        let second = usize::from(*fault == Fault::MuteAfterDot);
        assert_eq!(taken.len(), *times + second, "{fault:?}");
        assert_eq!(told.get(to).copied().unwrap_or(0), *reported, "{fault:?}");
        assert!(taken.iter().all(|(_, text)| text.ends_with("\nSubject: one\n\n.two\n")), "{taken:?}");
    }
}

#[test]
fn an_lmtp_server_may_take_some_recipients_refuse_others_and_forget_the_rest() {
    let folder = Folder::new("lmtp");
    let (bounce, bounces) = stand_in(false, Fault::None);
    let (server, taken) = stand_in(true, Fault::None);
    let relay = Relay::start(&folder, &file(&folder, 100, &[("smtp", 0, bounce), ("lmtp", 1, server)]));
    let to: Vec<_> =
        ["ok", "never", "ok2", "lost", "after"].iter().map(|n| format!("{n}@d1.example")).collect();
    let said = hand_in(relay.address("LMTP"), true, "client@d0.example", &to, "A: b\r\n\r\n");
    assert!(said.len() == 5 && said.iter().all(|l| l.starts_with("250")), "{said:?}");
    until("the notifications", || (bounces.lock().unwrap().len() >= 3).then_some(()));
    sleep(Duration::from_millis(1500));
    assert_eq!(
        reports(&bounces).into_iter().collect::<Vec<_>>(),
        [("after", 1), ("lost", 1), ("never", 1)].map(|(n, c)| (format!("{n}@d1.example"), c))
    );
    let names: Vec<_> = taken.lock().unwrap().iter().map(|(to, _)| to.clone()).collect();
    assert_eq!(names, ["ok", "ok2", "lost", "after"].map(|n| format!("{n}@d1.example")));
}

#[test]
fn a_server_that_drains_gets_nothing_new() {
    let folder = Folder::new("drain");
    let (first, taken_first) = stand_in(false, Fault::None);
    let (second, taken_second) = stand_in(false, Fault::None);
    let (bounce, _) = stand_in(false, Fault::None);
    let text = file(&folder, 20, &[("smtp", 0, bounce), ("smtp", 1, first)]);
    let relay = Relay::start(&folder, &text);
    let send =
        || hand_in(relay.address("SMTP"), false, "client@d0.example", &["x@d1.example".into()], "A: b\r\n");
    assert!(send()[0].starts_with("250"));
    until("the first", || (taken_first.lock().unwrap().len() == 1).then_some(()));
    let server = |uid: &str, at: SocketAddr, state: &str| {
        format!(
            "[[server]]\nuid = \"{uid}\"\naddress = \"{at}\"\nprotocol = \"smtp\"\ndestination = 1\nstate = \"{state}\"\n"
        )
    };
    let only_first = text.find("[[server]]\nuid = \"s1\"").unwrap();
    let tail = text[only_first..].find("[[route]]").unwrap() + only_first;
    let changed = format!(
        "{}{}{}{}",
        &text[..only_first],
        server("s1", first, "draining"),
        server("s9", second, "up"),
        &text[tail..]
    );
    std::fs::write(folder.0.join("relay.toml"), changed).unwrap();
    relay.signal("HUP");
    relay.logged("read again");
    sleep(Duration::from_millis(50));
    for _ in 0..5 {
        assert!(send()[0].starts_with("250"));
    }
    until("the second", || (taken_second.lock().unwrap().len() == 5).then_some(()));
    assert_eq!(taken_first.lock().unwrap().len(), 1);
}

#[test]
fn recipients_that_were_not_served_are_kept_apart_and_a_resend_tells_no_sender_twice() {
    let folder = Folder::new("mail-kept");
    let (bounce, bounces) = stand_in(false, Fault::None);
    let (server, taken) = stand_in(true, Fault::None);
    let text = file(&folder, 100, &[("smtp", 0, bounce), ("lmtp", 1, server)])
        + "[undelivered]\n[[undelivered.rule]]\nwhen = \"hand\"\n";
    let relay = Relay::start(&folder, &text);
    let to = ["ok@d1.example", "never@d1.example", "lost@d1.example"].map(String::from);
    let said = hand_in(relay.address("LMTP"), true, "client@d0.example", &to, "Subject: a\r\n\r\nb\r\n");
    assert!(said.iter().all(|r| r.starts_with("250")), "{said:?}");
    until("both notifications", || (reports(&bounces).len() == 2).then_some(()));
    let kept = || {
        let list = undelivered(&folder, &["list", "--format", "json"]);
        let items = list.lines().map(|l| serde_json::from_str::<serde_json::Value>(l).unwrap());
        let parts = |i: serde_json::Value| {
            (i["recipient"].as_str().unwrap().to_string(), i["state"].clone(), i["key"].to_string())
        };
        items.map(parts).collect::<Vec<_>>()
    };
    let states: BTreeMap<_, _> = kept().into_iter().map(|(to, state, _)| (to, state)).collect();
    assert_eq!(states[&to[1]], "given-up", "refused for good: {states:?}");
    assert_eq!(states[&to[2]], "may-have-run", "no reply for it came: {states:?}");
    assert_eq!(states.len(), 2);
    let key = kept().into_iter().find(|k| k.0 == to[2]).unwrap().2;
    assert!(undelivered(&folder, &["resend", &key]).starts_with("0 changed, 1 left"));
    let before = taken.lock().unwrap().len();
    assert!(undelivered(&folder, &["resend", &key, "--may-have-run"]).starts_with("1 changed"));
    until("the resend", || (taken.lock().unwrap().len() > before).then_some(()));
    // Its reply is lost again, and nobody hears of that but the operator.
    until("its end", || kept().iter().any(|k| k.0 == to[2] && k.1 == "may-have-run").then_some(()));
    sleep(Duration::from_millis(300));
    assert_eq!(reports(&bounces).values().sum::<usize>(), 2);
}
