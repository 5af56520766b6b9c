//! Endpoints, and clients that use their connections in every way until the other side is gone; each request is accounted for.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::Run;
use crate::support::listener::{field, listen, read_head};

/// What a request may take, as the client says.
const DEADLINE: Duration = Duration::from_millis(900);
/// An answer, or the end of the connection, comes by so long after that.
const HELD: Duration = Duration::from_millis(1500);
/// A whole request that is closed without an answer is so within this time.
const SILENCE: Duration = Duration::from_millis(1000);
/// The longest work of an endpoint, in ms.
const WORK_MS: u64 = 250;
const ENDPOINTS: usize = 2;

/// What became of a request.
enum Outcome {
    /// A whole answer: its status and body.
    Answered(u16, String),
    /// The connection ended before.
    Closed,
    /// Neither came.
    Held,
}

struct Record {
    id: String,
    edge: usize,
    began: Instant,
    sent: Instant,
    ended: Instant,
    outcome: Outcome,
}

/// All traffic of a run.
#[derive(Default)]
pub struct Traffic {
    pub endpoints: RefCell<Vec<SocketAddrV4>>,
    runs: RefCell<HashMap<String, u32>>,
    records: RefCell<Vec<Record>>,
    last_id: Cell<u64>,
}

impl Traffic {
    /// Starts the endpoints.
    pub async fn start(run: &Rc<Run>) -> Rc<Traffic> {
        let traffic = Rc::new(Traffic::default());
        for _ in 0..ENDPOINTS {
            let (serving, run) = (traffic.clone(), run.clone());
            let address = listen(move |stream| serving.clone().serve(run.clone(), stream)).await;
            traffic.endpoints.borrow_mut().push(address);
        }
        traffic
    }

    async fn serve(self: Rc<Traffic>, run: Rc<Run>, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Some(head) = read_head(&mut stream, &mut buffer).await {
            let id = field(&head, "request-id").unwrap_or_default();
            *self.runs.borrow_mut().entry(id.clone()).or_default() += 1;
            run.rest(WORK_MS).await;
            let body = format!("for {id}");
            let answer = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// One client after the other, each with a connection of its own.
    pub async fn client(self: Rc<Traffic>, run: Rc<Run>) {
        while !run.is_over.get() {
            let edge = run.roll(run.edges.len() as u64) as usize;
            let front = SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, run.edges[edge].host), run.ports.front);
            match TcpStream::connect(front).await {
                Ok(stream) => self.converse(&run, edge, stream).await,
                Err(_) => run.rest(40).await,
            }
        }
    }

    async fn converse(&self, run: &Run, edge: usize, mut stream: TcpStream) {
        if run.roll(3) == 0 {
            run.rest(2500).await;
        }
        for _ in 0..=run.roll(6) {
            let record = self.request(run, edge, &mut stream).await;
            let goes_on = matches!(record.outcome, Outcome::Answered(..));
            self.records.borrow_mut().push(record);
            if !goes_on {
                return;
            }
            if run.roll(2) == 0 {
                run.rest(1500).await;
            }
        }
    }

    async fn request(&self, run: &Run, edge: usize, stream: &mut TcpStream) -> Record {
        self.last_id.set(self.last_id.get() + 1);
        let id = format!("r{}", self.last_id.get());
        let text = format!(
            "POST /r/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\nContent-Length: 4\r\n\r\nbody",
            DEADLINE.as_millis()
        );
        let began = Instant::now();
        let split = if run.roll(4) == 0 { 1 + run.roll(text.len() as u64 - 1) as usize } else { text.len() };
        // What can't be sent shows in the answer that is missing.
        stream.write_all(&text.as_bytes()[..split]).await.ok();
        if split < text.len() {
            run.rest(900).await;
            stream.write_all(&text.as_bytes()[split..]).await.ok();
        }
        let sent = Instant::now();
        let outcome = tokio::time::timeout(DEADLINE + HELD, read_answer(stream)).await;
        let outcome = outcome.unwrap_or(Outcome::Held);
        Record { id, edge, began, sent, ended: Instant::now(), outcome }
    }

    /// Holds all requests against the rules.
    pub fn judge(&self, run: &Run) {
        for record in &*self.records.borrow() {
            let runs = self.runs.borrow().get(&record.id).copied().unwrap_or(0);
            let edge = &run.edges[record.edge];
            let slack = Duration::from_millis(50);
            let was_killed = edge.was_killed(record.began, record.ended + slack);
            let took = record.ended - record.sent;
            let fault = match &record.outcome {
                _ if runs > 1 => Some("ran more than once".to_owned()),
                Outcome::Answered(200, body) if runs == 1 && *body == format!("for {}", record.id) => None,
                Outcome::Answered(200, body) => Some(format!("ran {runs} times and got {body:?}")),
                Outcome::Answered(503, _) if runs > 0 => Some("ran and was refused".to_owned()),
                Outcome::Answered(503, _) => None,
                Outcome::Answered(504, _) if record.ended - record.began >= DEADLINE.mul_f64(0.8) => None,
                Outcome::Answered(status, body) => Some(format!("got {status} {body:?}, ran {runs} times")),
                _ if was_killed => None,
                Outcome::Closed if runs > 0 => {
                    Some(format!("ran and was closed after {took:?} without an answer"))
                }
                Outcome::Closed if took > SILENCE => {
                    Some(format!("was closed after {took:?} without an answer"))
                }
                Outcome::Closed => None,
                Outcome::Held => Some("was neither answered nor closed".to_owned()),
            };
            if let Some(fault) = fault {
                run.fault(format!("request {} at {} {fault}", record.id, edge.name));
            }
        }
    }

    /// Requests and answers, in numbers.
    pub fn summary(&self) -> String {
        let records = self.records.borrow();
        let count =
            |is: &dyn Fn(&Outcome) -> bool| records.iter().filter(|record| is(&record.outcome)).count();
        let served = count(&|outcome| matches!(outcome, Outcome::Answered(200, _)));
        let refused = count(&|outcome| matches!(outcome, Outcome::Answered(503, _)));
        let closed = count(&|outcome| matches!(outcome, Outcome::Closed));
        format!("{} requests ({served} served, {refused} refused, {closed} closed)", records.len())
    }
}

/// Reads an answer with a length.
async fn read_answer(stream: &mut TcpStream) -> Outcome {
    let mut buffer = Vec::new();
    loop {
        if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let length: usize =
                field(&head, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
            let body = &buffer[end + 4..];
            if body.len() >= length {
                let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
                return Outcome::Answered(status, String::from_utf8_lossy(body).into_owned());
            }
        }
        match stream.read_buf(&mut buffer).await {
            Ok(0) | Err(_) => return Outcome::Closed,
            Ok(_) => {}
        }
    }
}
