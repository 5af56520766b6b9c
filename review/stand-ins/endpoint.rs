//! Endpoints: they register themselves, work on `capacity` requests at a time, queue a few more, reject the rest as not
//! executed, and note each request that they run.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::record;
use crate::wire::{self, Head};

/// Interval of heartbeats, as in the settings.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// What an endpoint answers with.
#[derive(Clone, Copy)]
pub enum Work {
    /// A body after this time.
    Plain(Duration),
    /// An event stream of so many events with this time before each.
    Stream(u32, Duration),
}

/// A request that an endpoint began to work on.
#[derive(Clone)]
pub struct Run {
    pub request: String,
    pub endpoint: String,
    pub body: Vec<u8>,
}

/// What an endpoint is.
#[derive(Clone)]
pub struct Kind {
    pub service: &'static str,
    pub id: String,
    pub zone: String,
    pub capacity: usize,
    pub queue: usize,
    pub work: Work,
    /// In trouble: a share of at most this size of its answers, drawn by lot, is sent once more, late: in the place of the next
    /// answer on that connection.
    pub surplus: f64,
}

#[derive(Default)]
struct Places {
    running: usize,
    waiting: usize,
}

/// A running endpoint.
pub struct Endpoint {
    kind: Kind,
    places: Mutex<Places>,
    is_freed: Condvar,
    runs: Runs,
    is_in_trouble: AtomicBool,
    lot: AtomicU64,
    /// Answers while in trouble, and how many of them were sent once more.
    pub answers: AtomicU64,
    pub repeated: AtomicU64,
}

/// The runs of all endpoints, in order.
pub type Runs = Arc<Mutex<Vec<Run>>>;

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Endpoint {
    /// Starts an endpoint that registers at `controllers`.
    pub fn start(
        kind: Kind, runs: &Runs, controllers: &[SocketAddrV4], seed: u64,
    ) -> io::Result<Arc<Endpoint>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let std::net::SocketAddr::V4(address) = listener.local_addr()? else {
            return Err(io::ErrorKind::Other.into());
        };
        let endpoint = Arc::new(Endpoint {
            kind,
            places: Mutex::default(),
            is_freed: Condvar::new(),
            runs: runs.clone(),
            is_in_trouble: AtomicBool::new(false),
            lot: AtomicU64::new(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1),
            answers: AtomicU64::new(0),
            repeated: AtomicU64::new(0),
        });
        let serving = endpoint.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let endpoint = serving.clone();
                std::thread::spawn(move || endpoint.serve(stream));
            }
        });
        let (beating, controllers) = (endpoint.clone(), controllers.to_vec());
        std::thread::spawn(move || beating.send_heartbeats(address, &controllers));
        Ok(endpoint)
    }

    /// Begins or ends the trouble.
    pub fn set_trouble(&self, is_on: bool) {
        self.is_in_trouble.store(is_on, Ordering::Relaxed);
    }

    fn draw(&self) -> f64 {
        let next = self.lot.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        let mixed = (next ^ (next >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    fn send_heartbeats(&self, address: SocketAddrV4, controllers: &[SocketAddrV4]) {
        let Kind { service, id, zone, capacity, .. } = &self.kind;
        let mut chosen = (self.draw() * controllers.len() as f64) as usize;
        for sequence in 1u64.. {
            let body = format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"revision\":\"v1\",\
                 \"capacity\":{capacity},\"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":{sequence}}}"
            );
            let fields = [("Host", "control".to_owned()), ("Content-Type", "application/json".to_owned())];
            let request = wire::request("PUT", &format!("/api/instances/{id}"), &fields, body.as_bytes());
            for _ in 0..controllers.len() {
                let answer =
                    wire::ask(controllers[chosen % controllers.len()], &request, Duration::from_secs(1));
                if answer.is_ok_and(|answer| answer.head.status() / 100 == 2) {
                    break;
                }
                chosen += 1;
            }
            std::thread::sleep(HEARTBEAT);
        }
    }

    fn serve(&self, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let mut reader = BufReader::new(stream);
        let mut surplus: Option<Vec<u8>> = None;
        while let Ok(Some(head)) = wire::read_head(&mut reader) {
            let Ok(body) = wire::whole_body(&mut reader, &head) else { return };
            if let Some(answer) = surplus.take() {
                record::note(&format!("{} sends an answer once more, late", self.kind.id));
                if reader.get_mut().write_all(&answer).is_err() {
                    return;
                }
            }
            match self.answer(&mut reader, &head, body) {
                Ok(answer) => surplus = self.repeat(answer),
                Err(_) => return,
            }
        }
    }

    /// The answer if it is one of those that are sent once more.
    fn repeat(&self, answer: Vec<u8>) -> Option<Vec<u8>> {
        if answer.is_empty() || !self.is_in_trouble.load(Ordering::Relaxed) {
            return None;
        }
        let answers = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
        let is_within_share =
            (self.repeated.load(Ordering::Relaxed) + 1) as f64 <= self.kind.surplus * answers as f64;
        let is_repeated = self.draw() < self.kind.surplus && is_within_share;
        self.repeated.fetch_add(u64::from(is_repeated), Ordering::Relaxed);
        is_repeated.then_some(answer)
    }

    fn answer(&self, reader: &mut BufReader<TcpStream>, head: &Head, body: Vec<u8>) -> io::Result<Vec<u8>> {
        let Kind { id: own, .. } = &self.kind;
        let request = head.field("request-id").unwrap_or_default().to_owned();
        if head.first.starts_with("GET /healthz") {
            let answer = format!("HTTP/1.1 200 OK\r\nInstance-Id: {own}\r\nContent-Length: 0\r\n\r\n");
            reader.get_mut().write_all(answer.as_bytes())?;
            return Ok(Vec::new());
        }
        if head.field("expect-instance").is_some_and(|expected| expected != own) {
            return self.refuse(reader, "421 Misdirected Request", &request);
        }
        if !self.take_place() {
            return self.refuse(reader, "503 Service Unavailable", &request);
        }
        let result = if is_closed(reader.get_ref()) {
            // Its caller has gone while it was queued: it is dropped.
            Err(io::ErrorKind::ConnectionAborted.into())
        } else {
            record::note(&format!("{own} runs {request}"));
            locked(&self.runs).push(Run { request: request.clone(), endpoint: own.clone(), body });
            self.work(reader, head, &request)
        };
        locked(&self.places).running -= 1;
        self.is_freed.notify_one();
        result
    }

    fn refuse(&self, reader: &mut BufReader<TcpStream>, status: &str, request: &str) -> io::Result<Vec<u8>> {
        record::note(&format!("{} refuses {request}", self.kind.id));
        let answer = format!(
            "HTTP/1.1 {status}\r\nRequest-Id: {request}\r\nNot-Executed: 1\r\n{}Content-Length: 0\r\n\r\n",
            self.load()
        );
        reader.get_mut().write_all(answer.as_bytes())?;
        Ok(answer.into_bytes())
    }

    fn load(&self) -> String {
        let places = locked(&self.places);
        format!("Server-Load: {},{},{}\r\n", places.running, places.waiting, self.kind.capacity)
    }

    /// Takes a place, after a wait in the queue if there is room in it.
    fn take_place(&self) -> bool {
        let mut places = locked(&self.places);
        if places.running >= self.kind.capacity {
            if places.waiting >= self.kind.queue {
                return false;
            }
            places.waiting += 1;
            while places.running >= self.kind.capacity {
                places = self.is_freed.wait(places).unwrap_or_else(PoisonError::into_inner);
            }
            places.waiting -= 1;
        }
        places.running += 1;
        true
    }

    fn work(&self, reader: &mut BufReader<TcpStream>, head: &Head, request: &str) -> io::Result<Vec<u8>> {
        let seal = format!("Request-Id: {request}\r\nResponse-Seal: seal.{}.{request}\r\n", self.kind.id);
        match self.kind.work {
            Work::Plain(time) => {
                std::thread::sleep(time.mul_f64(0.5 + self.draw()));
                let body = format!("done {request}");
                let answer = format!(
                    "HTTP/1.1 200 OK\r\n{seal}{}Content-Length: {}\r\n\r\n{body}",
                    self.load(),
                    body.len()
                );
                reader.get_mut().write_all(answer.as_bytes())?;
                Ok(answer.into_bytes())
            }
            Work::Stream(events, pause) => {
                let stream = reader.get_mut();
                let begin = format!(
                    "HTTP/1.1 200 OK\r\n{seal}{}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                    self.load()
                );
                stream.write_all(begin.as_bytes())?;
                let after: u32 = head.field("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
                for number in after + 1..=events {
                    std::thread::sleep(pause);
                    let event = format!("id: {number}\ndata: word {number} of {events}\n\n");
                    stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
                }
                stream.write_all(b"0\r\n\r\n")?;
                Ok(Vec::new())
            }
        }
    }
}

/// Whether the caller has closed a connection.
fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    stream.set_nonblocking(true).ok();
    let is_closed = matches!(stream.peek(&mut byte), Ok(0));
    stream.set_nonblocking(false).ok();
    is_closed
}
