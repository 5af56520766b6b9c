//! Stories of the mail front: clients and stand-in servers on loopback that stall, refuse and fail.
#![allow(missing_docs)]

mod peers;

use peers::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

/// What a stand-in does wrong.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// Says so at a command, the first time or always. `.` stands for the reply to the message.
    Once(&'static str, &'static str),
    Always(&'static str, &'static str),
    /// Closes at a command, the first time.
    CutOnce(&'static str),
    /// Says nothing at a command, the first time.
    MuteOnce(&'static str),
    /// Takes the message and closes, or says nothing.
    CutAfterDot,
    MuteAfterDot,
}

/// Messages that may have taken effect, by recipient: each with its text.
type Taken = Arc<Mutex<Vec<(String, String)>>>;

/// A stand-in server. In LMTP, recipients named `never` get a 550 and those named `lost` nothing after the
/// message, and then the connection is closed.
fn stand_in(lmtp: bool, fault: Fault) -> (SocketAddr, Taken) {
    let taken = Taken::default();
    let (to, faults) = (taken.clone(), Mutex::new(0));
    let address = listen(move |mut talk| {
        // True: go on with the reply given.
        let pass = |talk: &mut Talk, at: &str, good: &str| {
            let mut faults = faults.lock().unwrap();
            let (first, here) = (*faults == 0, |c: &str| c == at);
            let bad = match fault {
                Fault::Once(c, reply) if here(c) && first => Some(reply),
                Fault::Always(c, reply) if here(c) => Some(reply),
                Fault::CutOnce(c) if here(c) && first => Some("cut"),
                Fault::MuteOnce(c) if here(c) && first => Some("mute"),
                Fault::CutAfterDot if here(".") => Some("cut"),
                Fault::MuteAfterDot if here(".") => Some("mute"),
                _ => None,
            };
            *faults += usize::from(bad.is_some());
            drop(faults);
            match bad {
                Some("cut") => false,
                Some("mute") => talk.line().is_some(),
                Some(reply) => {
                    talk.write(&format!("{reply}\r\n"));
                    !reply.starts_with("421")
                }
                None => {
                    talk.write(&format!("{good}\r\n"));
                    true
                }
            }
        };
        if !pass(&mut talk, "greeting", "220 stand-in") {
            return;
        }
        let mut recipients = Vec::new();
        while let Some(line) = talk.line() {
            let verb = line.split(' ').next().unwrap().to_ascii_uppercase();
            let on = match verb.as_str() {
                "LHLO" | "EHLO" => {
                    assert_eq!(verb == "LHLO", lmtp);
                    pass(&mut talk, "EHLO", "250-stand-in\r\n250-8BITMIME\r\n250 SIZE 99999")
                }
                "RCPT" => {
                    let to = line.split(['<', '>']).nth(1).unwrap().to_string();
                    recipients.push(to);
                    pass(&mut talk, "RCPT", "250 ok")
                }
                "DATA" => {
                    if !pass(&mut talk, "DATA", "354 go on") {
                        return;
                    }
                    if fault == Fault::Always("DATA", "554 no") {
                        continue;
                    }
                    if fault == Fault::CutOnce("body") && *faults.lock().unwrap() == 0 {
                        *faults.lock().unwrap() += 1;
                        talk.line();
                        return;
                    }
                    let mut text = String::new();
                    loop {
                        match talk.line() {
                            Some(l) if l == "." => break,
                            Some(l) => text += &format!("{}\n", l.strip_prefix('.').unwrap_or(&l)),
                            None => return,
                        }
                    }
                    let refused = matches!(fault, Fault::Always(".", _))
                        || matches!(fault, Fault::Once(".", _)) && *faults.lock().unwrap() == 0;
                    let mut lost = false;
                    for to_one in recipients.drain(..) {
                        let never = lmtp && to_one.starts_with("never");
                        lost |= lmtp && to_one.starts_with("lost");
                        if !never && !refused {
                            to.lock().unwrap().push((to_one, text.clone()));
                        }
                        if lmtp && !lost {
                            talk.write(if never { "550 5.1.1 no\r\n" } else { "250 ok\r\n" });
                        }
                    }
                    if lost {
                        return;
                    }
                    lmtp || pass(&mut talk, ".", "250 ok")
                }
                "MAIL" => {
                    recipients.clear();
                    pass(&mut talk, "MAIL", "250 ok")
                }
                _ => pass(&mut talk, &verb, "250 ok"),
            };
            if !on {
                return;
            }
        }
    });
    (address, taken)
}

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
fn a_client_hears_what_is_refused_and_why() {
    let folder = Folder::new("client");
    let (bounce, bounces) = stand_in(false, Fault::None);
    let (dead, _) = stand_in(false, Fault::Always("greeting", "421 closed"));
    let relay = Relay::start(&folder, &file(&folder, 20, &[("smtp", 0, bounce), ("smtp", 1, dead)]));
    let smtp = relay.address("SMTP");
    let one = ["x@d1.example".to_string()];
    // Smuggled ends, long lines, size, and data before it was asked for.
    assert!(hand_in(smtp, false, "", &one, "a\n.\nMAIL FROM:<b@c>\r\n")[0].starts_with("554 5.6.0"));
    assert!(hand_in(smtp, false, "", &one, &format!("{}\r\n", "a".repeat(1000)))[0].starts_with("554 5.6.0"));
    assert!(hand_in(smtp, false, "", &one, &"0123456\r\n".repeat(9000))[0].starts_with("552 5.3.4"));
    let mut talk = Talk::to(smtp);
    talk.reply();
    for (command, code) in [
        ("RCPT TO:<x@d1.example>", "503"),
        ("MAIL FROM:<a@b>", "503"),
        ("HELO a", "250"),
        ("MAIL FROM:<a@b> SIZE=99999999", "552"),
        ("MAIL FROM:<a@b", "501"),
        ("MAIL FROM:<a@b>", "250"),
        ("RCPT TO:<x@elsewhere.example>", "550"),
        ("DATA", "503"),
        ("RCPT TO:<x@d1.example>", "250"),
    ] {
        assert!(talk.say(command).starts_with(code), "{command}");
    }
    assert!(talk.say("DATA\r\nA: b\r\n.").starts_with("503"));
    // A null reverse-path gets no notification; over the limit nothing is taken.
    let many: Vec<_> = (0..15).map(|i| format!("x{i}@d1.example")).collect();
    assert!(hand_in(smtp, false, "", &many, "A: b\r\n")[0].starts_with("250"));
    assert!(hand_in(smtp, false, "", &many, "A: b\r\n")[0].starts_with("452"));
    let mut waiting = Talk::to(smtp);
    assert!(waiting.reply().starts_with("220"));
    // Told to end, it says so to those that wait, and takes nothing more.
    relay.signal("TERM");
    assert!(waiting.reply().starts_with("421"));
    assert!(Talk::to(smtp).reply().starts_with("421"));
    let mut relay = relay;
    assert!(relay.ended());
    assert_eq!(bounces.lock().unwrap().len(), 0);
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
fn a_script_can_turn_down_and_hears_of_ends_and_one_that_fails_stops_nothing() {
    let folder = Folder::new("script");
    let (server, taken) = stand_in(false, Fault::None);
    let mut text = file(&folder, 20, &[("smtp", 0, server), ("smtp", 1, server)]);
    let script = r#"
        fn flow_taken(f) { if f.to.starts_with("never") { #{ turn_down: 1 } } else { #{ label: "seen" } } }
        fn attempt_ended(f, a) { loop {} }
        fn flow_ended(f, end) { print(`${f.to} ${f.label} ${f.destination} ${end}`) }
    "#;
    std::fs::write(folder.0.join("one.rhai"), script).unwrap();
    text += "[plugins]\nscripts = [\"one.rhai\"]\n";
    let relay = Relay::start(&folder, &text);
    let to = ["never@d1.example", "ok@d1.example"].map(str::to_string);
    assert!(hand_in(relay.address("SMTP"), false, "", &to, "A: b\r\n")[0].starts_with("451"));
    let said = hand_in(relay.address("LMTP"), true, "", &to, "A: b\r\n");
    assert!(said[0].starts_with("451") && said[1].starts_with("250"), "{said:?}");
    relay.logged("ok@d1.example seen 1 delivered");
    relay.logged("attempt_ended: Too many operations");
    assert_eq!(taken.lock().unwrap().len(), 1);
}

/// What `onyxstile undelivered …` says.
fn undelivered(folder: &Folder, words: &[&str]) -> String {
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_onyxstile"));
    let output = command.arg("undelivered").args(words).arg("--state").arg(state(folder)).output().unwrap();
    String::from_utf8(output.stdout).unwrap()
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

/// Commands that a client sent behind the one that ends its session, or that come as the relay closes down, are read away: the
/// last reply is heard, and the connection ends in order.
#[test]
fn a_session_that_ends_over_unread_commands_is_not_reset() {
    let folder = Folder::new("mail-unread");
    let (address, _) = stand_in(false, Fault::None);
    let mut relay = Relay::start(&folder, &file(&folder, 100, &[("smtp", 0, address)]));
    let more = "NOOP\r\n".repeat(2000);
    for quits in [true, false] {
        let mut talk = Talk::to(relay.address("SMTP"));
        assert!(talk.reply().starts_with("220"));
        if quits {
            talk.write(&format!("QUIT\r\n{more}"));
        } else {
            relay.signal("TERM");
            relay.logged("-> Draining");
            assert!(talk.reply().starts_with("421"));
            talk.write(&more);
            sleep(Duration::from_millis(50));
            assert!(talk.is_over(), "an end, and no reset");
            continue;
        }
        assert!(talk.reply().starts_with("221"));
        sleep(Duration::from_millis(50));
        assert!(talk.is_over(), "an end, and no reset");
    }
    assert!(relay.ended());
}
