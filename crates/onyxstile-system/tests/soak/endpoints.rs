//! Endpoints of a run: each follows the instructions in the headers of a request, and records executions and their times.
//! Some requests are refused once, or for seconds. If one of them is sent again on the same connection, a late copy of the
//! refusal arrives before its answer.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::Run;
use crate::support::listener::{field, listen};

/// Number of endpoints of each service.
const COUNT: usize = 2;
/// One of this many requests is refused once.
const REFUSED_ONE_IN: u64 = 12;

/// One execution of a request.
#[derive(Clone, Copy)]
pub struct Execution {
    /// End of the execution; `None` while it is running.
    pub ended: Option<Instant>,
}

/// The endpoints of a run.
#[derive(Default)]
pub struct Endpoints {
    pub addresses: RefCell<Vec<SocketAddrV4>>,
    executions: RefCell<HashMap<String, Vec<Execution>>>,
    prompts: RefCell<HashMap<String, Vec<u8>>>,
    /// First arrivals of requests, except turns of programs.
    first_arrivals: RefCell<HashMap<String, Instant>>,
}

/// Body of the answer to a request, padded to `length` bytes.
pub fn answer_body(id: &str, length: usize) -> Vec<u8> {
    let mut body = format!("for {id};").into_bytes();
    body.resize(length.max(body.len()), b'x');
    body
}

/// One event of a stream, and the text that it adds to the history of the program.
pub fn event(id: &str, number: u64) -> (String, String) {
    (format!("id: {number}\ndata: {id}-{number}\n\n"), format!("{id}-{number}\n"))
}

impl Endpoints {
    /// Starts the endpoints.
    pub async fn start(run: &Rc<Run>) -> Rc<Endpoints> {
        let endpoints = Rc::new(Endpoints::default());
        for _ in 0..COUNT {
            let (serving, run) = (endpoints.clone(), run.clone());
            let address = listen(move |stream| serving.clone().serve(run.clone(), stream)).await;
            endpoints.addresses.borrow_mut().push(address);
        }
        endpoints
    }

    /// Executions of the request `id`.
    pub fn executions(&self, id: &str) -> Vec<Execution> {
        self.executions.borrow().get(id).cloned().unwrap_or_default()
    }

    /// Body of the request of a turn.
    pub fn prompt(&self, id: &str) -> Option<Vec<u8>> {
        self.prompts.borrow().get(id).cloned()
    }

    async fn serve(self: Rc<Self>, run: Rc<Run>, mut stream: TcpStream) {
        let (mut buffer, mut refused) = (Vec::new(), HashSet::new());
        while let Some((head, body)) = read_request(&mut stream, &mut buffer).await {
            let number = |name: &str| field(&head, name).and_then(|text| text.parse::<u64>().ok());
            let id = field(&head, "request-id").unwrap_or_default();
            let is_turn = field(&head, "program").is_some();
            let is_refused = !is_turn && self.refuses(&run, &id, number("full-ms").unwrap_or(0));
            if (is_refused || refused.contains(&id))
                && stream.write_all(refusal(&id).as_bytes()).await.is_err()
            {
                return;
            }
            if is_refused {
                refused.insert(id);
                continue;
            }
            let index = self.begin(&id);
            if is_turn {
                self.prompts.borrow_mut().insert(id.clone(), body);
            } else if body != vec![b'b'; number("body-bytes").unwrap_or(0) as usize] {
                run.record_fault(format!(
                    "request {id} arrived with a body of {} bytes that was not sent",
                    body.len()
                ));
            }
            let work = Duration::from_millis(number("work-ms").unwrap_or(0));
            let sent = match number("events") {
                Some(events) => stream_events(&run, &mut stream, &id, events, work).await,
                None => {
                    run.sleep(work).await;
                    let body = answer_body(&id, number("answer-bytes").unwrap_or(0) as usize);
                    let length = format!("Content-Length: {}", body.len());
                    stream.write_all(&[head_of(&id, &length).into_bytes(), body].concat()).await
                }
            };
            self.end(&id, index);
            if sent.is_err() {
                return;
            }
        }
    }

    /// Whether a request is refused: at random when it arrives for the first time, and for the time for which endpoints are full.
    fn refuses(&self, run: &Run, id: &str, full_ms: u64) -> bool {
        let first = self.first_arrivals.borrow().get(id).copied();
        match first {
            Some(first) => first.elapsed() < Duration::from_millis(full_ms),
            None => {
                self.first_arrivals.borrow_mut().insert(id.to_owned(), Instant::now());
                full_ms > 0 || run.random_below(REFUSED_ONE_IN) == 0
            }
        }
    }

    fn begin(&self, id: &str) -> usize {
        let mut executions = self.executions.borrow_mut();
        let all = executions.entry(id.to_owned()).or_default();
        all.push(Execution { ended: None });
        all.len() - 1
    }

    fn end(&self, id: &str, index: usize) {
        if let Some(execution) = self.executions.borrow_mut().get_mut(id).and_then(|all| all.get_mut(index)) {
            execution.ended = Some(Instant::now());
        }
    }
}

fn refusal(id: &str) -> String {
    format!("HTTP/1.1 503 Full\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
}

fn head_of(id: &str, framing: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\n{framing}\r\n\r\n")
}

async fn stream_events(
    run: &Run, stream: &mut TcpStream, id: &str, events: u64, work: Duration,
) -> std::io::Result<()> {
    stream.write_all(head_of(id, "Transfer-Encoding: chunked").as_bytes()).await?;
    for number in 1..=events {
        run.sleep(work / events as u32).await;
        let (text, _) = event(id, number);
        stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).await?;
    }
    stream.write_all(b"0\r\n\r\n").await
}

/// The next request with its body; `None` after the caller has closed the connection.
async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    loop {
        if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let length: usize = field(&head, "content-length").map_or(0, |text| text.parse().unwrap_or(0));
            while buffer.len() < end + 4 + length {
                if stream.read_buf(buffer).await.ok()? == 0 {
                    return None;
                }
            }
            let body = buffer[end + 4..end + 4 + length].to_vec();
            buffer.drain(..end + 4 + length);
            return Some((head, body));
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}
