//! Tests of the built adapter over its wire protocol.
#![allow(missing_docs)]

use std::io::Write;
use std::process::{Command, Stdio};

const CONFIG: &str = r#"{"classes":[{"name":"note","aimMs":2000,"deadlineMs":9000,"worth":1,"lateWorth":0.5,"effect":"repeatable","group":"all","stream":false,"windowMs":0}],"extra":{"maxCalls":4,"losesWorth":"line","perCall":[1],"ownLimits":[false]},"invariants":{"coldMs":9000,"overloadFactor":2,"overloadForMs":3000,"startCapacity":0.2},"limits":{"dialTimeoutMs":1000,"keepaliveMs":10000,"maxAttempts":6,"maxRetryAfterMs":2000,"maxStreams":1,"mostHeld":50,"probes":false,"cancelling":true},"models":["shop"],"siblings":2,"tariffs":{"crossZone":0.03},"tickMs":5,"zone":"left","zones":["left","right"],"unheardOf":{"a":[1]}}"#;

fn talk(input: &str) -> (String, String, bool) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_onyxstile-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The adapter may stop reading at a malformed line.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    let out = child.wait_with_output().unwrap();
    let text = |b: Vec<u8>| String::from_utf8(b).unwrap();
    (text(out.stdout), text(out.stderr), out.status.success())
}

fn start(sender: u32) -> String {
    format!(
        "on {sender}\nlaunch 5 {CONFIG}\nsnapshot_rows 0 1\nentry 10.0.0.1:80 left shop 3 live 1 -\nannounce restored 0 1\n"
    )
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    assert_eq!(talk("frame 1.5\nover_to_you\n"), ("done\n".into(), String::new(), true));
}

#[test]
fn a_message_is_sent_and_an_instance_can_restart_in_one_batch() {
    let order = "order 77 note - - 9000.0 - 3 0\n";
    let input = format!("frame 100.25\n{}{order}crash_now\n{}{order}over_to_you\n", start(3), start(3));
    let (out, err, ok) = talk(&input);
    assert!(ok, "{err}");
    assert_eq!(out.matches("hand_off 77 10.0.0.1:80 ").count(), 1, "{out}");
    assert!(out.starts_with("at 3\n") && out.ends_with("done\n"), "{out}");
}

#[test]
fn list_numbers_are_resolved_in_the_order_of_the_batch() {
    let second = "snapshot_rows 0 1\nentry 10.0.0.2:80 left shop 3 live 1 -\n";
    let input = format!(
        "frame 0\n{}{second}on 4\nlaunch 6 {CONFIG}\nannounce restored 0 2\norder 9 note 0 - 9000 - 3 0\non 3\norder 8 note 0 - 9000 - 3 0\nover_to_you\n",
        start(3)
    );
    let (out, err, ok) = talk(&input);
    assert!(ok, "{err}");
    assert!(out.contains("hand_off 8 10.0.0.1:80") && out.contains("hand_off 9 10.0.0.2:80"), "{out}");
}

#[test]
fn all_events_of_the_protocol_are_read() {
    let rest = "whisper 2 6869\nfirst 77 0 10.0.0.1:80 3.5\nwake 5\naborted 4\nannounce unavailable - 3\nprobed 10.0.0.1:80 success 4.5 x0:0.5,x1:3,rif:2\nresult 77 0 10.0.0.1:80 overloaded 18.5 0 250.5 -\nresult 123 4 10.0.0.9:80 void 0 1 1 -\n";
    let input = format!(
        "frame 0\n{}order 77 note - - 9000 12.5 3 21\nover_to_you\nframe 5\non 3\n{rest}over_to_you\n",
        start(3)
    );
    let (out, err, ok) = talk(&input);
    assert!(ok, "{err}");
    assert_eq!(out.matches("done\n").count(), 2);
}

#[test]
fn input_that_ends_stops_the_process_cleanly() {
    for input in ["", "frame 5\non 3\n", "frame 5\nover_to_", "frame 5\nover_to_you\n"] {
        let (_, err, ok) = talk(input);
        assert!(ok && err.is_empty(), "{input:?}: {err}");
    }
}

#[test]
fn malformed_lines_are_reported_with_line_and_field() {
    let cases = [
        ("frame x\n", "line 1: field clock"),
        ("hello\n", "line 1: field message name"),
        ("frame 0\nwake 1\n", "line 2: field on"),
        ("frame 0\non 1\nwake 1\n", "line 3: field sender"),
        ("frame 0\non 1\nlaunch 4 {}\n", "line 3: field config"),
        ("frame 0\nsnapshot_rows 16 1\n", "line 2: field sheet"),
        ("frame 0\nsnapshot_rows 0 1\nentry 1:1 left shop 3 asleep 1 -\n", "line 3: field stageState"),
        ("frame 0\nsnapshot_rows 0 2\nover_to_you\n", "line 3: field membersList"),
        ("frame 5\nover_to_you\nframe 4\n", "line 3: field clock"),
    ];
    for (input, expected) in cases {
        let (_, err, ok) = talk(input);
        assert!(!ok && err.contains(expected) && err.lines().count() == 1, "{input:?}: {err}");
    }
    let bad = [
        "order 1 other - - 5 - 3 0",
        "order 1 note - - soon - 3 0",
        "result 1 0 a:1 fine 1 1 - -",
        "wake 1 2",
        "wake -1",
    ];
    for line in bad {
        let (_, err, ok) = talk(&format!("frame 0\n{}{line}\nover_to_you\n", start(1)));
        assert!(!ok && err.contains("line 7: field "), "{line}: {err}");
    }
    let refused = CONFIG.replace("\"maxCalls\":4", "\"maxCalls\":0");
    let (_, err, ok) = talk(&format!("frame 0\non 1\nlaunch 4 {refused}\n"));
    assert!(!ok && err.contains("config") && err.contains("no slot"), "{err}");
}
