//! RPC between roles over TCP: one connection per peer with many concurrent calls, each with its own timeout.

mod frame;
pub mod open_requests;
mod server;
mod server_load;

pub use server::{Handler, ResponseFuture, serve};
pub use server_load::ServerLoad;

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use quick_error::quick_error;
use tokio::io::BufReader;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::{mpsc, oneshot};

use super::socket;
use crate::settings::Limits;
use crate::wire::{self, Request, Response};
use frame::{read_frame_body, read_head, write_frames};

/// Timeout of a first connection attempt: several round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Number of failures after which the timeout of the next attempts is doubled: the link may be congested.
const FAILURES_PER_DOUBLING: u32 = 2;
/// Maximum number of doublings.
const DOUBLINGS_MAX: u32 = 3;
/// Maximum number of frames queued for a peer that does not read; further calls fail at once.
const OUTGOING_MAX: usize = 4096;
/// Open requests of other processes take at most 1 part in this many of the memory.
const REQUEST_MEMORY_DIVISOR: usize = 8;
/// Call number of frames that need no response.
const ONE_WAY_CALL: u64 = 0;

/// Memory that open requests of other processes may take, in bytes, in a process with these limits.
pub fn request_memory(limits: &Limits) -> usize {
    limits.memory_bytes() / REQUEST_MEMORY_DIVISOR
}

quick_error! {
    /// Reason why a call failed.
    #[derive(Debug)]
    pub enum RpcError {
        /// There is no connection, or it was closed.
        Disconnected {
            display("no connection")
        }
        /// The response timeout expired.
        TimedOut {
            display("response timeout")
        }
        /// The send queue to the peer is full.
        Congested {
            display("send queue to the peer is full")
        }
    }
}

type Pending = Rc<RefCell<HashMap<u64, oneshot::Sender<Response>>>>;

struct Connection {
    outgoing: mpsc::Sender<(u64, Vec<u8>)>,
    pending: Pending,
    connection_id: u64,
}

#[derive(Default)]
struct State {
    connections: HashMap<SocketAddrV4, Connection>,
    /// Number of consecutive failed connection attempts.
    failures: HashMap<SocketAddrV4, u32>,
    last_call: u64,
    last_connection_id: u64,
}

/// RPC client.
#[derive(Clone, Default)]
pub struct Client {
    state: Rc<RefCell<State>>,
}

impl Client {
    /// Sends a request to a peer and waits for its response for at most `timeout`.
    pub async fn call(
        &self, to: SocketAddrV4, request: &Request, timeout: Duration,
    ) -> Result<Response, RpcError> {
        let (sender, receiver) = oneshot::channel();
        let connection_id = self.enqueue(to, request, Some(sender))?;
        match tokio::time::timeout(timeout, receiver).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(_)) => Err(RpcError::Disconnected),
            Err(_) => {
                // A slow peer can't be distinguished from an unreachable one; the next call opens a new connection.
                self.disconnect(to, connection_id);
                Err(RpcError::TimedOut)
            }
        }
    }

    /// Sends a request that needs no response; it may be lost.
    pub fn cast(&self, to: SocketAddrV4, request: &Request) {
        if let Err(error) = self.enqueue(to, request, None) {
            log::debug!("to {to}: {error}");
        }
    }

    fn enqueue(
        &self, to: SocketAddrV4, request: &Request, answer: Option<oneshot::Sender<Response>>,
    ) -> Result<u64, RpcError> {
        let bytes = wire::encode(request);
        let mut state = self.state.borrow_mut();
        state.last_call += 1;
        let number = if answer.is_some() { state.last_call } else { ONE_WAY_CALL };
        if !state.connections.contains_key(&to) {
            let connection = self.open(&mut state, to);
            state.connections.insert(to, connection);
        }
        let Some(connection) = state.connections.get(&to) else { return Err(RpcError::Disconnected) };
        if let Some(answer) = answer {
            connection.pending.borrow_mut().insert(number, answer);
        }
        connection.outgoing.try_send((number, bytes)).map_err(|_| {
            connection.pending.borrow_mut().remove(&number);
            RpcError::Congested
        })?;
        Ok(connection.connection_id)
    }

    fn open(&self, state: &mut State, to: SocketAddrV4) -> Connection {
        state.last_connection_id += 1;
        let connection_id = state.last_connection_id;
        let (outgoing, queue) = mpsc::channel(OUTGOING_MAX);
        let pending = Pending::default();
        let (client, pending_calls) = (self.clone(), pending.clone());
        let timeout = connect_timeout(state.failures.get(&to).copied().unwrap_or(0));
        tokio::task::spawn_local(async move {
            let connected = socket::connect_with_retries(to, timeout).await;
            client.record_connect(to, connected.is_ok());
            let result = match connected {
                Ok(stream) => run_connection(stream, queue, &pending_calls).await,
                Err(error) => Err(error),
            };
            if let Err(error) = result {
                log::debug!("connection to {to}: {error}");
            }
            client.disconnect(to, connection_id);
            pending_calls.borrow_mut().clear();
        });
        Connection { outgoing, pending, connection_id }
    }

    fn record_connect(&self, to: SocketAddrV4, is_up: bool) {
        let mut state = self.state.borrow_mut();
        if is_up {
            state.failures.remove(&to);
        } else {
            *state.failures.entry(to).or_default() += 1;
        }
    }

    fn disconnect(&self, to: SocketAddrV4, connection_id: u64) {
        let mut state = self.state.borrow_mut();
        if state.connections.get(&to).is_some_and(|connection| connection.connection_id == connection_id) {
            state.connections.remove(&to);
        }
    }
}

fn connect_timeout(failures: u32) -> Duration {
    CONNECT_TIMEOUT * (1 << (failures / FAILURES_PER_DOUBLING).min(DOUBLINGS_MAX))
}

async fn run_connection(
    stream: TcpStream, queue: mpsc::Receiver<(u64, Vec<u8>)>, pending: &Pending,
) -> io::Result<()> {
    let (reader, writer) = stream.into_split();
    tokio::select! {
        result = write_frames(writer, queue) => result,
        result = read_answers(reader, pending) => result,
    }
}

async fn read_answers(reader: OwnedReadHalf, pending: &Pending) -> io::Result<()> {
    let mut reader = BufReader::new(reader);
    loop {
        let head = read_head(&mut reader).await?;
        // A response that nobody waits for any more is discarded.
        let is_awaited = |_| pending.borrow().contains_key(&head.number);
        let Some(body) = read_frame_body(&mut reader, &head, is_awaited).await? else { continue };
        let response = wire::decode(&body).map_err(io::Error::other)?;
        if let Some(answer) = pending.borrow_mut().remove(&head.number) {
            // The caller may have timed out.
            answer.send(response).ok();
        }
    }
}
