//! Stand-in servers: each with its fault.

use crate::peers::*;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// What a stand-in does wrong.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
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
pub type Taken = Arc<Mutex<Vec<(String, String)>>>;

/// A stand-in server. In LMTP, recipients named `never` get a 550 and those named `lost` nothing after the
/// message, and then the connection is closed.
pub fn stand_in(lmtp: bool, fault: Fault) -> (SocketAddr, Taken) {
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
