//! Connection pools to endpoints. A connection serves one call at a time and stays idle between calls for as long as the
//! endpoint's `Keep-Alive` header allows.
//!
//! An endpoint may send a response once more, in the place of a later one. Their request ids tell them apart unless both
//! are responses to one call, so a call is never sent again on a connection that has carried it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::header::HeaderMap;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::balance::EndpointKey;
use crate::role::metered_socket::{MeteredSocket, ReadMeter};
use crate::role::socket;

/// Connect timeout. An endpoint whose listen queue is full drops SYN packets for seconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle time of a connection if the endpoint announces none.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(4);
/// A connection is dropped this long before the endpoint would close it.
const IDLE_MARGIN: Duration = Duration::from_millis(600);
/// Time that an endpoint with too many connections takes to reset a new one, beyond the round trip.
const RESET_MARGIN: Duration = Duration::from_millis(1);

/// Maximum size of the read buffer of a connection, in bytes, and so of the head of a response.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Bytes that an endpoint may send without a whole head or frame: its largest head, with what the buffers hold.
const BYTES_WITHOUT_UNIT_MAX: usize = 4 * READ_BUFFER_BYTES;

/// Number of a connection, unique within the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ConnectionId(u64);

type Sender = SendRequest<Full<Bytes>>;

/// Task of a connection. Dropping it closes the connection at once, whatever the endpoint is sending.
struct ConnectionTask(JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An open connection.
struct Connection {
    id: ConnectionId,
    sender: Sender,
    meter: Arc<ReadMeter>,
    _task: ConnectionTask,
}

struct IdleConnection {
    connection: Connection,
    expires: Instant,
}

/// Idle connections by endpoint.
#[derive(Default)]
pub(super) struct ConnectionPools {
    idle: RefCell<HashMap<EndpointKey, Vec<IdleConnection>>>,
    opened: Cell<u64>,
}

/// Why a request has no response.
#[derive(Debug)]
pub(super) enum SendError {
    /// No byte of the request was sent.
    NotSent(String),
    /// The request may have been executed.
    Unknown(String),
}

/// A connection in use by a call. It is closed if it is dropped instead of returned.
pub(super) struct Checkout {
    pub key: EndpointKey,
    pub id: ConnectionId,
    /// Meter of the bytes that the endpoint sends.
    pub meter: Arc<ReadMeter>,
    connection: Connection,
    idle_time: Duration,
    /// Connect time, if the connection is new.
    pub connected_in: Option<Duration>,
}

/// A newly established connection.
struct NewConnection {
    connection: Connection,
    connect_time: Duration,
}

impl NewConnection {
    /// Waits until a reset by an endpoint with too many connections would have arrived; false if the connection was closed.
    async fn stays_open(&self) -> bool {
        tokio::time::sleep(self.connect_time + RESET_MARGIN).await;
        !self.connection.sender.is_closed()
    }
}

impl ConnectionPools {
    /// Sends a request and waits for the head of its response. Connections in `carried` are not used. A request that must not
    /// be executed twice is sent on a new connection only after a short wait in which the endpoint may reset it: a request
    /// sent on a connection that is then reset may have been executed.
    pub(super) async fn send(
        &self, key: EndpointKey, address: SocketAddrV4, request: Request<Full<Bytes>>, is_repeatable: bool,
        carried: &[ConnectionId], was_sent: &Cell<bool>,
    ) -> Result<(Response<Incoming>, Checkout), SendError> {
        let mut request = request;
        while let Some(mut connection) = self.take(key, carried) {
            was_sent.set(true);
            connection.meter.progress();
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok(checked_out(key, connection, response, None)),
                Err(mut error) => match error.take_message() {
                    // The idle connection was closed before anything was written to it.
                    Some(unsent) => {
                        was_sent.set(false);
                        request = unsent;
                    }
                    None => return Err(SendError::Unknown(error.into_error().to_string())),
                },
            }
        }
        self.replace_carried(key, carried);
        let opened = self.open(address).await.map_err(SendError::NotSent)?;
        if !is_repeatable && !opened.stays_open().await {
            return Err(SendError::NotSent("the endpoint reset the new connection".into()));
        }
        let NewConnection { mut connection, connect_time } = opened;
        was_sent.set(true);
        match connection.sender.try_send_request(request).await {
            Ok(response) => Ok(checked_out(key, connection, response, Some(connect_time))),
            Err(mut error) => {
                let was_sent = error.take_message().is_none();
                let reason = error.into_error().to_string();
                Err(if was_sent { SendError::Unknown(reason) } else { SendError::NotSent(reason) })
            }
        }
    }

    fn take(&self, key: EndpointKey, carried: &[ConnectionId]) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&key)?;
        let now = Instant::now();
        connections.retain(|idle| idle.expires > now && !idle.connection.sender.is_closed());
        let is_usable = |idle: &IdleConnection| {
            idle.connection.sender.is_ready() && !carried.contains(&idle.connection.id)
        };
        let index = connections.iter().rposition(is_usable)?;
        Some(connections.remove(index).connection)
    }

    /// Closes an idle connection that may not be used, so that the number of connections does not grow with the new one.
    fn replace_carried(&self, key: EndpointKey, carried: &[ConnectionId]) {
        let mut idle = self.idle.borrow_mut();
        let Some(connections) = idle.get_mut(&key) else { return };
        let index = connections.iter().position(|idle| carried.contains(&idle.connection.id));
        index.into_iter().for_each(|index| drop(connections.remove(index)));
    }

    async fn open(&self, address: SocketAddrV4) -> Result<NewConnection, String> {
        let began = Instant::now();
        let stream =
            socket::connect_endpoint(address, CONNECT_TIMEOUT).await.map_err(|error| error.to_string())?;
        let connect_time = began.elapsed();
        let meter = ReadMeter::new(BYTES_WITHOUT_UNIT_MAX);
        let (sender, connection) = Builder::new()
            .title_case_headers(true)
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(MeteredSocket::new(stream, meter.clone())))
            .await
            .map_err(|error| error.to_string())?;
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address}: {error}");
            }
        });
        self.opened.set(self.opened.get() + 1);
        let id = ConnectionId(self.opened.get());
        let connection = Connection { id, sender, meter, _task: ConnectionTask(task) };
        Ok(NewConnection { connection, connect_time })
    }

    /// Number of connections opened since the start of the process.
    pub(super) fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Returns a connection whose response was read to the end, unless `max_idle` connections are idle already.
    pub(super) fn return_connection(&self, checkout: Checkout, max_idle: usize) {
        if checkout.connection.sender.is_closed() || checkout.idle_time.is_zero() {
            return;
        }
        let expires = Instant::now() + checkout.idle_time;
        let idle = IdleConnection { connection: checkout.connection, expires };
        let mut pools = self.idle.borrow_mut();
        let connections = pools.entry(checkout.key).or_default();
        connections.retain(|idle| idle.expires > Instant::now());
        if connections.len() < max_idle {
            connections.push(idle);
        }
    }

    /// Closes the idle connections of an endpoint.
    pub(super) fn drop_idle(&self, key: EndpointKey) {
        self.idle.borrow_mut().remove(&key);
    }
}

fn checked_out(
    key: EndpointKey, connection: Connection, response: Response<Incoming>, connected_in: Option<Duration>,
) -> (Response<Incoming>, Checkout) {
    let idle_time = idle_time_after(response.headers());
    let (id, meter) = (connection.id, connection.meter.clone());
    (response, Checkout { key, id, meter, connection, idle_time, connected_in })
}

/// How long the connection may stay idle after this response.
fn idle_time_after(headers: &HeaderMap) -> Duration {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    if text("connection").is_some_and(|value| value.to_ascii_lowercase().contains("close")) {
        return Duration::ZERO;
    }
    let announced = text("keep-alive").and_then(|value| {
        let part = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        part.trim().parse().ok()
    });
    announced.map_or(DEFAULT_IDLE_TIME, |seconds| Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN))
}
