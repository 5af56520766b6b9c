//! An endpoint that sends bytes until its caller closes the connection. The form of the answer is chosen by the request, so that
//! one endpoint serves all forms; a request without a form is answered correctly, and a correct endpoint answers all requests so.
//!
//! It runs in a thread of its own, so that it always has bytes ready.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

use super::listener::{field, read_head};

/// Header that chooses the form.
pub const FORM_HEADER: &str = "endless-form";
/// Header that chooses the status of the answer.
pub const STATUS_HEADER: &str = "endless-status";
/// Body of a correct answer.
pub const CORRECT_BODY: &str = "id: 1\ndata: correct\n\n";
/// Number of bytes written at once.
const BLOCK_BYTES: usize = 64 * 1024;

/// What is repeated without end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// One header line.
    HeaderLine,
    /// Header lines.
    HeaderLines,
    /// Heads of the 1xx kind.
    InformationalHeads,
    /// Zeros where the size of a chunk is due.
    JunkForChunkSize,
    /// The extension of a chunk.
    ChunkExtension,
    /// One chunk.
    OneChunk,
    /// Chunks of one byte.
    OneByteChunks,
    /// Lines after the last chunk.
    Trailers,
    /// A body of a huge length, which is told.
    HugeLength,
    /// A body without a length.
    NoLength,
    /// Pieces of a stream that complete no event.
    IncompleteEvent,
    /// Whole events in chunks of their own.
    WholeEvents,
    /// Whole events without a length or chunks.
    UnframedEvents,
    /// The shortest events that there are.
    EmptyEvents,
    /// A body that ends well, and behind it bytes that nobody asked for.
    UnrequestedBytes,
}

/// All forms.
pub const FORMS: [Form; 15] = [
    Form::HeaderLine,
    Form::HeaderLines,
    Form::InformationalHeads,
    Form::JunkForChunkSize,
    Form::ChunkExtension,
    Form::OneChunk,
    Form::OneByteChunks,
    Form::Trailers,
    Form::HugeLength,
    Form::NoLength,
    Form::IncompleteEvent,
    Form::WholeEvents,
    Form::UnframedEvents,
    Form::EmptyEvents,
    Form::UnrequestedBytes,
];

impl Form {
    /// What follows the status line, the id and the seal, and what is then repeated.
    fn bytes(self) -> (&'static str, &'static str) {
        const CHUNKED: &str = "Transfer-Encoding: chunked\r\n\r\n";
        match self {
            Form::HeaderLine => ("Endless: ", "x"),
            Form::HeaderLines => ("", "Endless: x\r\n"),
            Form::InformationalHeads => ("", "HTTP/1.1 103 Early\r\nLink: x\r\n\r\n"),
            Form::JunkForChunkSize => (CHUNKED, "0"),
            Form::ChunkExtension => ("Transfer-Encoding: chunked\r\n\r\n1;", "x"),
            Form::OneChunk => ("Transfer-Encoding: chunked\r\n\r\nfffffffffffff\r\n", "data: x\n"),
            Form::OneByteChunks => (CHUNKED, "1\r\nx\r\n"),
            Form::Trailers => ("Transfer-Encoding: chunked\r\n\r\n0\r\n", "Endless: x\r\n"),
            Form::HugeLength => ("Content-Length: 999999999999999\r\n\r\n", "data: x\n"),
            Form::NoLength => ("Connection: close\r\n\r\n", "data: x\n"),
            Form::IncompleteEvent => (CHUNKED, "8\r\ndata: x\n\r\n"),
            Form::WholeEvents => (CHUNKED, "f\r\nid: 7\ndata: x\n\n\r\n"),
            Form::UnframedEvents => ("Connection: close\r\n\r\n", "id: 7\ndata: x\n\n"),
            Form::EmptyEvents => (CHUNKED, "2\r\n\n\n\r\n"),
            Form::UnrequestedBytes => {
                ("Content-Length: 21\r\n\r\nid: 1\ndata: correct\n\n", "HTTP/1.1 200 OK\r\n")
            }
        }
    }

    /// Whether the stream has whole events, which a relay forwards before it can know that they have no end.
    pub fn has_events(self) -> bool {
        matches!(self, Form::WholeEvents | Form::UnframedEvents | Form::EmptyEvents)
    }

    /// Whether the answer is complete, however much follows it.
    pub fn is_complete(self) -> bool {
        self == Form::UnrequestedBytes
    }

    fn named(name: &str) -> Option<Form> {
        FORMS.into_iter().find(|form| form.name() == name)
    }

    /// Value of the header that chooses it.
    pub fn name(self) -> String {
        format!("{self:?}")
    }
}

/// An endpoint.
pub struct EndlessEndpoint {
    pub address: SocketAddrV4,
    counts: Arc<Counts>,
}

#[derive(Default)]
struct Counts {
    begun: AtomicUsize,
    closed: AtomicUsize,
}

impl EndlessEndpoint {
    /// Starts a faulty endpoint, which runs until the test process ends.
    pub fn start_faulty() -> EndlessEndpoint {
        EndlessEndpoint::start(true)
    }

    /// Starts a correct endpoint.
    pub fn start_correct() -> EndlessEndpoint {
        EndlessEndpoint::start(false)
    }

    fn start(is_faulty: bool) -> EndlessEndpoint {
        let counts = Arc::new(Counts::default());
        let (sender, receiver) = std::sync::mpsc::channel();
        let serving = counts.clone();
        std::thread::spawn(move || {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
            LocalSet::new().block_on(&runtime, async {
                let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
                sender.send(listener.local_addr().expect("its address").port()).expect("a receiver");
                loop {
                    let (stream, _) = listener.accept().await.expect("a connection");
                    tokio::task::spawn_local(serve(stream, is_faulty, serving.clone()));
                }
            });
        });
        let port = receiver.recv().expect("a port");
        EndlessEndpoint { address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, port), counts }
    }

    /// Number of answers without end that have begun.
    pub fn begun(&self) -> usize {
        self.counts.begun.load(Ordering::SeqCst)
    }

    /// Number of these whose connection has not been closed by the caller.
    pub fn open(&self) -> usize {
        let closed = self.counts.closed.load(Ordering::SeqCst);
        self.begun() - closed
    }
}

async fn serve(mut stream: TcpStream, is_faulty: bool, counts: Arc<Counts>) {
    let mut buffer = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buffer).await {
        let id = field(&head, "request-id").unwrap_or_default();
        let status = field(&head, STATUS_HEADER).unwrap_or_else(|| "200".to_owned());
        let form = field(&head, FORM_HEADER).filter(|_| is_faulty).and_then(|name| Form::named(&name));
        let Some(form) = form else {
            if stream.write_all(correct_answer(&id).as_bytes()).await.is_err() {
                return;
            }
            continue;
        };
        counts.begun.fetch_add(1, Ordering::SeqCst);
        send_until_closed(&mut stream, form, &status, &id).await;
        counts.closed.fetch_add(1, Ordering::SeqCst);
        return;
    }
}

fn correct_answer(id: &str) -> String {
    let length = CORRECT_BODY.len();
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\nContent-Length: {length}\r\n\r\n{CORRECT_BODY}"
    )
}

/// Sends an answer without end; returns when the caller has closed the connection.
async fn send_until_closed(stream: &mut TcpStream, form: Form, status: &str, id: &str) {
    let (begin, unit) = form.bytes();
    let head = format!("HTTP/1.1 {status} -\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\n");
    let first = if form == Form::InformationalHeads { String::new() } else { head + begin };
    let block = unit.repeat(BLOCK_BYTES / unit.len());
    let mut sent = stream.write_all(first.as_bytes()).await;
    while sent.is_ok() {
        sent = stream.write_all(block.as_bytes()).await;
    }
}
