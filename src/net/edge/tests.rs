//! Bytes that arrive in the very step in which a client connection is closed, with real sockets.
//!
//! The runtime hears of bytes when it looks at its sockets, between tasks. What is written and the cause of the close come
//! in one poll here, so that the connection's task has the cause and not the bytes: each time, not now and then.

use super::*;
use crate::net::routing::Staged;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream as StdStream};
use std::thread;
use tokio::io::AsyncReadExt;
use tokio::task::{LocalSet, spawn_local};

const READY: &[u8] = b"GET /health/ready HTTP/1.1\r\n\r\n";

struct Front {
    edge: Rc<Edge>,
    phase: Phase,
    evacuation: Evacuation,
    at: SocketAddr,
    _queue: mpsc::Receiver<OwnerMessage>,
}

/// A front that serves, for the time of a test.
fn with_front<T>(body: impl AsyncFnOnce(Front) -> T) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let (phase, evacuation) = (Phase::new(), Evacuation::default());
        phase.advance(State::Serving);
        let (owner, queue) = mpsc::channel(8);
        let clock = Clock::start();
        let routing = Routing::new(Staged::build(Default::default()).unwrap(), 1, clock.now());
        let parts = EdgeParts {
            owner,
            phase: phase.clone(),
            evacuation: evacuation.clone(),
            figures: Figures::default(),
            clock,
            limits: EdgeLimits { connections: 8, closing: 4, bodies: 1 << 20 },
            routing,
            parking: Parking::default(),
        };
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = listener.local_addr().unwrap();
        let http = HttpSettings { listen: at, outcomes: None, paths: Vec::new(), classes: Vec::new() };
        let edge = Edge::new(parts, &http);
        spawn_local(edge.clone().serve(listener));
        yield_now().await;
        body(Front { edge, phase, evacuation, at, _queue: queue }).await
    })
}

/// A client that has had one answer and rests.
async fn resting(at: SocketAddr) -> TcpStream {
    let mut client = TcpStream::connect(at).await.unwrap();
    client.write_all(READY).await.unwrap();
    let mut bytes = [0; 512];
    assert!(client.read(&mut bytes).await.unwrap() > 0);
    client
}

/// All that a client hears until the connection ends in order.
async fn hears(client: &mut TcpStream) -> String {
    let mut all = Vec::new();
    let read = timeout(Duration::from_secs(9), client.read_to_end(&mut all)).await.expect("an end");
    read.expect("an end, and no reset");
    String::from_utf8(all).unwrap()
}

#[test]
fn a_request_that_comes_in_the_step_of_the_stop_is_answered() {
    with_front(async |front| {
        let mut client = resting(front.at).await;
        // Not a word of it has reached the runtime when the connection hears of the stop.
        assert_eq!(client.try_write(READY).unwrap(), READY.len());
        front.phase.advance(State::Stopped);
        let said = hears(&mut client).await;
        assert!(said.starts_with("HTTP/1.1 503") && said.contains("Retry-After"), "{said}");
        front.edge.closed().await;
        assert!(front.edge.open.borrow().is_empty());
    });
}

#[test]
fn one_that_is_not_accepted_yet_at_the_stop_is_answered_too_and_later_ones_are_refused() {
    with_front(async |front| {
        let mut client = StdStream::connect(front.at).unwrap();
        client.write_all(READY).unwrap();
        let silent = StdStream::connect(front.at).unwrap();
        front.phase.advance(State::Stopped);
        for client in [client, silent] {
            client.set_nonblocking(true).unwrap();
            let said = hears(&mut TcpStream::from_std(client).unwrap()).await;
            assert!(said.starts_with("HTTP/1.1 503"), "{said}");
        }
        assert!(StdStream::connect(front.at).is_err(), "nobody listens any more");
    });
}

#[test]
fn half_a_request_at_the_stop_is_answered() {
    with_front(async |front| {
        let mut client = resting(front.at).await;
        client.write_all(b"POST /orders HTTP/1.1\r\nX-Corr").await.unwrap();
        // Its task has begun to read.
        sleep(Duration::from_millis(50)).await;
        front.phase.advance(State::Stopped);
        let said = hears(&mut client).await;
        assert!(said.starts_with("HTTP/1.1 503"), "{said}");
    });
}

/// The timer that closes a resting connection and a request come together: the thread was kept from running, and what
/// writes the request is woken first.
#[test]
fn a_request_that_comes_in_the_step_of_an_idle_close_is_answered() {
    with_front(async |front| {
        let mut client = resting(front.at).await;
        let request = client.as_std_writer();
        front.evacuation.set(true);
        let due = Instant::now() + EVACUATED_IDLE;
        yield_now().await;
        spawn_local(async move {
            tokio::time::sleep_until(due - Duration::from_millis(30)).await;
            thread::sleep(Duration::from_millis(60));
        });
        spawn_local(async move {
            tokio::time::sleep_until(due - Duration::from_millis(10)).await;
            let mut request = request;
            request.write_all(READY).unwrap();
        });
        let said = hears(&mut client).await;
        assert!(said.starts_with("HTTP/1.1 503"), "{said}");
        assert!(said.contains("Connection: close"), "{said}");
    });
}

/// What is still unread when an answer says that the connection closes does not take the answer along, and is nobody's.
#[test]
fn bytes_after_the_last_request_do_not_reset_its_answer() {
    with_front(async |front| {
        let mut client = StdStream::connect(front.at).unwrap();
        client.set_read_timeout(Some(Duration::from_secs(9))).unwrap();
        let asked = thread::spawn(move || {
            client.write_all(b"GET /nothing HTTP/1.1\r\n\r\n").unwrap();
            let (mut said, mut part) = (Vec::new(), [0; 64]);
            // More comes, before and after the answer.
            for _ in 0..20 {
                let _ = client.write_all(READY);
                thread::sleep(Duration::from_millis(2));
            }
            while let Ok(n) = client.read(&mut part)
                && n > 0
            {
                said.extend_from_slice(&part[..n]);
            }
            String::from_utf8(said).unwrap()
        });
        while !asked.is_finished() {
            sleep(Duration::from_millis(5)).await;
        }
        let said = asked.join().unwrap();
        assert!(said.starts_with("HTTP/1.1 404"), "{said}");
        assert_eq!(said.matches("HTTP/1.1").count(), 1, "only the first is answered: {said}");
    });
}

/// Connections that are being closed hold few places, and never another's.
#[test]
fn those_that_do_not_close_make_way() {
    with_front(async |front| {
        let mut faulty = Vec::new();
        for _ in 0..40 {
            let mut client = TcpStream::connect(front.at).await.unwrap();
            client.write_all(b"GET /nothing HTTP/1.1\r\n\r\n").await.unwrap();
            faulty.push(client);
            let (open, closing) = (front.edge.open.borrow().len(), front.edge.closing.borrow().len());
            assert!(open + closing <= 12, "{open} open and {closing} closing");
        }
        let began = Instant::now();
        let _client = resting(front.at).await;
        assert!(began.elapsed() < LINGER_MOST, "{:?}", began.elapsed());
    });
}

/// Far less than it would take if each of the 40 were listened to in turn.
const LINGER_MOST: Duration = Duration::from_millis(700);

trait Writer {
    fn as_std_writer(&self) -> StdStream;
}

impl Writer for TcpStream {
    /// The same socket, written to without the runtime.
    fn as_std_writer(&self) -> StdStream {
        socket2::SockRef::from(self).try_clone().unwrap().into()
    }
}
