//! Requests between roles over TCP: one connection a peer, many calls on it, each with an end of its own.

use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::net::SocketAddrV4;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use quick_error::quick_error;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};

use super::socket;
use crate::wire::{self, FRAME_MAX, Request, Response};

/// A connection has to come up within this time: some round trips between regions. An opening packet that met a machine
/// without power, or a full queue, is sent again by the system after a second only; a new attempt sends one at once.
const CONNECT_PATIENCE: Duration = Duration::from_millis(150);
/// Frames that may wait for a peer that does not read; beyond, calls fail at once.
const OUTGOING_MAX: usize = 4096;
/// The number of frames that want no answer.
const ONE_WAY: u64 = 0;

quick_error! {
    /// Why a call has no answer.
    #[derive(Debug)]
    pub enum RpcError {
        /// There is no connection, or it ended.
        Disconnected {
            display("no connection")
        }
        /// No answer came in time.
        TimedOut {
            display("no answer in time")
        }
        /// Too many frames wait for the peer.
        Congested {
            display("the peer does not read")
        }
    }
}

type Pending = Rc<RefCell<HashMap<u64, oneshot::Sender<Response>>>>;

struct Connection {
    outgoing: mpsc::Sender<(u64, Vec<u8>)>,
    pending: Pending,
    serial: u64,
}

#[derive(Default)]
struct State {
    connections: HashMap<SocketAddrV4, Connection>,
    last_call: u64,
    last_serial: u64,
}

/// Calls to other machines.
#[derive(Clone, Default)]
pub struct Client {
    state: Rc<RefCell<State>>,
}

impl Client {
    /// Asks a peer and waits for its answer, `patience` at most.
    pub async fn call(
        &self, to: SocketAddrV4, request: &Request, patience: Duration,
    ) -> Result<Response, RpcError> {
        let (sender, receiver) = oneshot::channel();
        let serial = self.post(to, request, Some(sender))?;
        match tokio::time::timeout(patience, receiver).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(_)) => Err(RpcError::Disconnected),
            Err(_) => {
                // Whether the peer is slow or gone can't be told; the next call gets a connection of its own.
                self.disconnect(to, serial);
                Err(RpcError::TimedOut)
            }
        }
    }

    /// Sends what wants no answer; it may be lost.
    pub fn cast(&self, to: SocketAddrV4, request: &Request) {
        if let Err(error) = self.post(to, request, None) {
            log::debug!("to {to}: {error}");
        }
    }

    fn post(
        &self, to: SocketAddrV4, request: &Request, answer: Option<oneshot::Sender<Response>>,
    ) -> Result<u64, RpcError> {
        let bytes = wire::encode(request);
        let mut state = self.state.borrow_mut();
        state.last_call += 1;
        let number = if answer.is_some() { state.last_call } else { ONE_WAY };
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
        Ok(connection.serial)
    }

    fn open(&self, state: &mut State, to: SocketAddrV4) -> Connection {
        state.last_serial += 1;
        let serial = state.last_serial;
        let (outgoing, queue) = mpsc::channel(OUTGOING_MAX);
        let pending = Pending::default();
        let (client, waiting) = (self.clone(), pending.clone());
        tokio::task::spawn_local(async move {
            if let Err(error) = run_connection(to, queue, &waiting).await {
                log::debug!("connection to {to}: {error}");
            }
            client.disconnect(to, serial);
            waiting.borrow_mut().clear();
        });
        Connection { outgoing, pending, serial }
    }

    fn disconnect(&self, to: SocketAddrV4, serial: u64) {
        let mut state = self.state.borrow_mut();
        if state.connections.get(&to).is_some_and(|connection| connection.serial == serial) {
            state.connections.remove(&to);
        }
    }
}

async fn run_connection(
    to: SocketAddrV4, queue: mpsc::Receiver<(u64, Vec<u8>)>, pending: &Pending,
) -> io::Result<()> {
    let (reader, writer) = socket::connect(to, CONNECT_PATIENCE).await?.into_split();
    tokio::select! {
        result = write_frames(writer, queue) => result,
        result = read_answers(reader, pending) => result,
    }
}

async fn read_answers(reader: OwnedReadHalf, pending: &Pending) -> io::Result<()> {
    let mut reader = BufReader::new(reader);
    loop {
        let (number, body) = read_frame(&mut reader).await?;
        let response = wire::decode(&body).map_err(io::Error::other)?;
        if let Some(answer) = pending.borrow_mut().remove(&number) {
            // Whoever asked may have given up meanwhile.
            answer.send(response).ok();
        }
    }
}

async fn read_frame(reader: &mut BufReader<OwnedReadHalf>) -> io::Result<(u64, Vec<u8>)> {
    let length = reader.read_u32().await? as usize;
    let number = reader.read_u64().await?;
    if length > FRAME_MAX {
        return Err(io::Error::other(wire::WireError::TooLong(length)));
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).await?;
    Ok((number, body))
}

async fn write_frames(
    mut writer: OwnedWriteHalf, mut queue: mpsc::Receiver<(u64, Vec<u8>)>,
) -> io::Result<()> {
    while let Some((number, body)) = queue.recv().await {
        let mut bytes = Vec::with_capacity(body.len() + 12);
        push_frame(&mut bytes, number, &body);
        while let Ok((number, body)) = queue.try_recv() {
            push_frame(&mut bytes, number, &body);
        }
        writer.write_all(&bytes).await?;
    }
    Ok(())
}

fn push_frame(bytes: &mut Vec<u8>, number: u64, body: &[u8]) {
    bytes.extend_from_slice(&(body.len() as u32).to_be_bytes());
    bytes.extend_from_slice(&number.to_be_bytes());
    bytes.extend_from_slice(body);
}

/// The answer to one request, once it is there.
pub type Answer = Pin<Box<dyn Future<Output = Response>>>;
/// What answers requests.
pub type Handler = Rc<dyn Fn(Request) -> Answer>;

/// Answers all requests that come to a listener.
pub async fn serve(listener: TcpListener, handler: Handler) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let handler = handler.clone();
                tokio::task::spawn_local(async move {
                    if let Err(error) = serve_connection(stream, handler).await {
                        log::debug!("peer connection: {error}");
                    }
                });
            }
            Err(error) => {
                log::warn!("accepting peers: {error}");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, handler: Handler) -> io::Result<()> {
    socket::prepare(&stream);
    let (reader, writer) = stream.into_split();
    let (outgoing, queue) = mpsc::channel(OUTGOING_MAX);
    tokio::select! {
        result = write_frames(writer, queue) => result,
        result = read_requests(reader, handler, outgoing) => result,
    }
}

async fn read_requests(
    reader: OwnedReadHalf, handler: Handler, outgoing: mpsc::Sender<(u64, Vec<u8>)>,
) -> io::Result<()> {
    let mut reader = BufReader::new(reader);
    loop {
        let (number, body) = read_frame(&mut reader).await?;
        let request: Request = wire::decode(&body).map_err(io::Error::other)?;
        let answer = handler(request);
        let outgoing = outgoing.clone();
        tokio::task::spawn_local(async move {
            let response = answer.await;
            if number != ONE_WAY {
                // The connection may have ended meanwhile.
                outgoing.send((number, wire::encode(&response))).await.ok();
            }
        });
    }
}
