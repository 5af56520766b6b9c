//! Connections to endpoints: kept at rest between calls, as long as the endpoint says, and used by one call at a time.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::header::HeaderMap;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::time::Instant;

use crate::balance::EndpointKey;
use crate::role::socket;

/// A connection to an endpoint has to come up within this time; a full queue drops opening packets for seconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a connection rests where the endpoint does not say.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(4);
/// A connection is given up this long before the endpoint would close it.
const IDLE_MARGIN: Duration = Duration::from_millis(600);
/// What an endpoint that has too many connections takes to reset a new one, beyond the way there and back.
const RESET_MARGIN: Duration = Duration::from_millis(1);

type Sender = SendRequest<Full<Bytes>>;

struct IdleConnection {
    sender: Sender,
    expires: Instant,
}

/// Connections at rest, by endpoint.
#[derive(Default)]
pub(super) struct ConnectionPools {
    idle: RefCell<HashMap<EndpointKey, Vec<IdleConnection>>>,
}

/// Why a request has no answer.
#[derive(Debug)]
pub(super) enum SendError {
    /// Not a byte of it was sent.
    NotSent(String),
    /// It may have run.
    Unknown(String),
}

/// A connection that a call uses. Dropped before it is given back, it is closed.
pub(super) struct Checkout {
    pub key: EndpointKey,
    sender: Sender,
    idle_time: Duration,
    /// How long it took to come up, if it is new.
    pub connected_in: Option<Duration>,
}

/// A connection that has come up.
struct NewConnection {
    sender: Sender,
    connect_time: Duration,
}

impl NewConnection {
    /// Waits until a reset by an endpoint that has too many connections would be here; false if there was one.
    async fn stays_open(&self) -> bool {
        tokio::time::sleep(self.connect_time + RESET_MARGIN).await;
        !self.sender.is_closed()
    }
}

impl ConnectionPools {
    /// Sends a request and waits for the head of its answer. One that must not run twice goes out on a new connection only
    /// once the endpoint has kept that: what was sent on one that is reset may have run.
    pub(super) async fn send(
        &self, key: EndpointKey, address: SocketAddrV4, request: Request<Full<Bytes>>, is_repeatable: bool,
    ) -> Result<(Response<Incoming>, Checkout), SendError> {
        let mut request = request;
        while let Some(mut sender) = self.take(key) {
            match sender.try_send_request(request).await {
                Ok(response) => return Ok(checked_out(key, sender, response, None)),
                Err(mut error) => match error.take_message() {
                    // It was closed meanwhile; nothing was written to it.
                    Some(unsent) => request = unsent,
                    None => return Err(SendError::Unknown(error.into_error().to_string())),
                },
            }
        }
        let opened = open(address).await.map_err(SendError::NotSent)?;
        if !is_repeatable && !opened.stays_open().await {
            return Err(SendError::NotSent("the endpoint takes no more connections".into()));
        }
        let NewConnection { mut sender, connect_time } = opened;
        match sender.try_send_request(request).await {
            Ok(response) => Ok(checked_out(key, sender, response, Some(connect_time))),
            Err(mut error) => {
                let was_sent = error.take_message().is_none();
                let reason = error.into_error().to_string();
                Err(if was_sent { SendError::Unknown(reason) } else { SendError::NotSent(reason) })
            }
        }
    }

    fn take(&self, key: EndpointKey) -> Option<Sender> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&key)?;
        let now = Instant::now();
        connections.retain(|connection| connection.expires > now && !connection.sender.is_closed());
        let index = connections.iter().rposition(|connection| connection.sender.is_ready())?;
        Some(connections.remove(index).sender)
    }

    /// Takes a connection back whose answer was read to its end, unless `most` are at rest already.
    pub(super) fn return_connection(&self, checkout: Checkout, max_idle: usize) {
        if checkout.sender.is_closed() || checkout.idle_time.is_zero() {
            return;
        }
        let expires = Instant::now() + checkout.idle_time;
        let idle = IdleConnection { sender: checkout.sender, expires };
        let mut pools = self.idle.borrow_mut();
        let connections = pools.entry(checkout.key).or_default();
        connections.retain(|connection| connection.expires > Instant::now());
        if connections.len() < max_idle {
            connections.push(idle);
        }
    }

    /// Closes the connections at rest of an endpoint that leaves.
    pub(super) fn drop_idle(&self, key: EndpointKey) {
        self.idle.borrow_mut().remove(&key);
    }
}

fn checked_out(
    key: EndpointKey, sender: Sender, response: Response<Incoming>, connected_in: Option<Duration>,
) -> (Response<Incoming>, Checkout) {
    let idle_time = idle_time_after(response.headers());
    (response, Checkout { key, sender, idle_time, connected_in })
}

/// How long the connection may rest after this answer.
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

async fn open(address: SocketAddrV4) -> Result<NewConnection, String> {
    let began = Instant::now();
    let stream = socket::connect(address, CONNECT_TIMEOUT).await.map_err(|error| error.to_string())?;
    let connect_time = began.elapsed();
    let (sender, connection) = Builder::new()
        .title_case_headers(true)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| error.to_string())?;
    tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to {address}: {error}");
        }
    });
    Ok(NewConnection { sender, connect_time })
}
