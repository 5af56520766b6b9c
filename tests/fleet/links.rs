//! Links between the parties, each through a proxy of the rig's own: datagrams that are lost, late, doubled and out of
//! order, and ways that are cut in one direction or both.

use crate::dice::Dice;
use crate::peers::Talk;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const LOOK: Duration = Duration::from_millis(2);

/// One way of datagrams: from one relay to another.
#[derive(Default)]
pub struct Way {
    pub cut: AtomicBool,
    /// Percent lost, percent doubled, and milliseconds by which each may be late.
    pub lost: AtomicU64,
    pub doubled: AtomicU64,
    pub late_ms: AtomicU64,
    /// Where the receiver listens now.
    pub to: Mutex<Option<SocketAddr>>,
    pub passed: AtomicU64,
}

/// Opens a way; what is sent to the address that it returns is passed on by its terms.
pub fn datagrams(way: Arc<Way>, seed: u64, over: Arc<AtomicBool>) -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    socket.set_read_timeout(Some(LOOK)).unwrap();
    thread::spawn(move || {
        let mut dice = Dice::new(seed);
        let (mut waiting, mut bytes): (Vec<(Instant, Vec<u8>)>, _) = (Vec::new(), [0; 600]);
        while !over.load(Relaxed) {
            if let Ok(length) = socket.recv(&mut bytes)
                && !way.cut.load(Relaxed)
                && !dice.percent(way.lost.load(Relaxed))
            {
                let copies = if dice.percent(way.doubled.load(Relaxed)) { 2 } else { 1 };
                for _ in 0..copies {
                    let late = dice.below(way.late_ms.load(Relaxed) + 1);
                    waiting.push((Instant::now() + Duration::from_millis(late), bytes[..length].to_vec()));
                }
            }
            let now = Instant::now();
            for (_, bytes) in waiting.extract_if(.., |(at, _)| *at <= now) {
                if let Some(to) = *way.to.lock().unwrap() {
                    way.passed.fetch_add(1, Relaxed);
                    let _ = socket.send_to(&bytes, to);
                }
            }
        }
    });
    address
}

/// Listens until the world is over and serves each connection by `serve` in a thread of its own. (Listeners that outlived their
/// world were 28 descriptors a history: the 20,000 of a process were gone after some 710.)
pub fn listen(over: Arc<AtomicBool>, serve: impl Fn(Talk) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    listener.set_nonblocking(true).unwrap();
    let serve = Arc::new(serve);
    thread::spawn(move || {
        while !over.load(Relaxed) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(LOOK);
                continue;
            };
            stream.set_nonblocking(false).unwrap();
            let serve = serve.clone();
            thread::spawn(move || serve(Talk::new(stream)));
        }
    });
    address
}

/// A way of connections; each direction by itself can be cut: what is sent then is held, silently, until it is whole
/// again or the connection ends.
#[derive(Default)]
pub struct Gate {
    pub there: AtomicBool,
    pub back: AtomicBool,
    /// What was held: on the way there or back, from when, and until when if it was passed on.
    held: Mutex<Vec<Held>>,
}

#[derive(Debug, Clone, Copy)]
struct Held {
    there: bool,
    from: Instant,
    until: Option<Instant>,
}

/// Between a write at one end of a gate and its being held, or its being passed on and its being read at the other.
const NEAR: Duration = Duration::from_millis(100);

impl Gate {
    /// When what was answered at this moment reached the relay; none if it never did.
    pub fn heard(&self, at: Instant) -> Option<Instant> {
        let held = self.held.lock().unwrap();
        let its = |h: &&Held| !h.there && h.from + NEAR > at && h.from < at + NEAR;
        held.iter().filter(its).map(|h| h.until).min().unwrap_or(Some(at))
    }

    /// When what came at this moment had left the relay.
    pub fn left(&self, at: Instant) -> Instant {
        let held = self.held.lock().unwrap();
        let its = |h: &&Held| h.there && h.until.is_some_and(|until| until + NEAR > at && until < at + NEAR);
        held.iter().filter(its).map(|h| h.from).min().unwrap_or(at)
    }

    /// Stands until the way is free.
    fn wait(&self, there: bool, over: &AtomicBool) {
        let cut = if there { &self.there } else { &self.back };
        if !cut.load(Relaxed) {
            return;
        }
        let from = Instant::now();
        let number = {
            let mut held = self.held.lock().unwrap();
            held.push(Held { there, from, until: None });
            held.len() - 1
        };
        while cut.load(Relaxed) && !over.load(Relaxed) {
            thread::sleep(LOOK);
        }
        self.held.lock().unwrap()[number].until = Some(Instant::now());
    }
}

/// Opens a gate in front of an address.
pub fn connections(gate: Arc<Gate>, to: SocketAddr, over: Arc<AtomicBool>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    listener.set_nonblocking(true).unwrap();
    thread::spawn(move || {
        while !over.load(Relaxed) {
            let Ok((client, _)) = listener.accept() else {
                thread::sleep(LOOK);
                continue;
            };
            let Ok(server) = TcpStream::connect(to) else { continue };
            let (c, s) = (client.try_clone().unwrap(), server.try_clone().unwrap());
            let (g, o) = (gate.clone(), over.clone());
            thread::spawn(move || pass(client, server, &g, true, &o));
            let (g, o) = (gate.clone(), over.clone());
            thread::spawn(move || pass(s, c, &g, false, &o));
        }
    });
    address
}

fn pass(mut from: TcpStream, mut to: TcpStream, gate: &Gate, there: bool, over: &AtomicBool) {
    from.set_nonblocking(false).unwrap();
    let _ = from.set_read_timeout(Some(Duration::from_millis(20)));
    let _ = to.set_nodelay(true);
    let mut bytes = [0; 4096];
    while !over.load(Relaxed) {
        match from.read(&mut bytes) {
            Ok(0) => break,
            Ok(length) => {
                gate.wait(there, over);
                if to.write_all(&bytes[..length]).is_err() {
                    break;
                }
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => break,
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
