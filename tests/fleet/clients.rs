//! Clients: what they hand in, where, and what they hear.

use crate::world::{NOTICE_LIFE, ORDER_LIFE, World};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

/// What a client handed in, and what it heard.
#[derive(Debug, Clone)]
pub struct Handed {
    pub id: String,
    pub class: &'static str,
    pub relay: usize,
    pub partner: usize,
    pub at: Instant,
    /// The answer's status; none if there was no answer.
    pub status: Option<u16>,
}

impl World {
    pub fn new_id(&self) -> String {
        // No other world's: several are played side by side, on ports that one has left and another has got.
        format!("m{}-{}", self.seed, self.next.fetch_add(1, Relaxed))
    }

    /// Hands a new message in at a relay.
    pub fn hand(&self, i: usize, class: &'static str, partner: usize) -> (String, Option<u16>) {
        let id = self.new_id();
        let status = self.hand_again(i, class, partner, &id, false);
        (id, status)
    }

    /// Hands a message in, or in again; `marked` as one that another relay did not answer for.
    pub fn hand_again(
        &self, i: usize, class: &'static str, partner: usize, id: &str, marked: bool,
    ) -> Option<u16> {
        let at = Instant::now();
        let process = self.members[i].process.as_ref()?;
        let status = process.http().and_then(|to| ask(to, class, partner, id, marked));
        let handed = Handed { id: id.to_string(), class, relay: i, partner, at, status };
        self.handed.lock().unwrap().push(handed);
        status
    }

    /// Hands in until the answer is one of `wanted`, or for so long.
    pub fn hand_until(
        &self, i: usize, class: &'static str, partner: usize, id: &str, wanted: &[u16], time: Duration,
    ) -> Option<u16> {
        let end = Instant::now() + time;
        loop {
            let status = self.hand_again(i, class, partner, id, true);
            if status.is_some_and(|s| wanted.contains(&s)) || Instant::now() > end {
                return status;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }
}

fn ask(to: SocketAddr, class: &str, partner: usize, id: &str, marked: bool) -> Option<u16> {
    let (left, key) = match class {
        "orders" => (ORDER_LIFE, String::new()),
        _ => (NOTICE_LIFE, format!("Idempotency-Key: k-{id}\r\n")),
    };
    let repeat = if marked { "X-Repeat: again\r\n" } else { "" };
    let text = format!(
        "POST /{class} HTTP/1.1\r\nX-Correlation-Id: {id}\r\nX-Time-Left-Ms: {}\r\n{key}{repeat}Envelope: dest={partner}\r\nContent-Length: 2\r\n\r\nab",
        left.as_millis()
    );
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_millis(400)).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(800))).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    let mut bytes = [0; 512];
    let length = stream.read(&mut bytes).ok()?;
    String::from_utf8_lossy(&bytes[..length]).split(' ').nth(1)?.parse().ok()
}
