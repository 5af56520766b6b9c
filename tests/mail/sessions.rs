//! What clients hear.

use super::*;

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
