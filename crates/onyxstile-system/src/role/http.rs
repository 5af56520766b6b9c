//! HTTP helpers shared by the roles.

use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::http::Extensions;
use hyper::{Request, Response, StatusCode};
use tokio::net::TcpListener;

use super::listener::{self, ReadLimits};
use super::metered_socket::ReadMeter;
use super::shutdown::Shutdown;
use crate::clock::SteadyClock;
use crate::connection_watchdog::ConnectionTimeouts;

/// Response with a complete body.
pub type Answer = Response<Full<Bytes>>;

/// Response with a status and a text body.
pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

/// Response with a JSON body.
pub fn json(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    let mut response = text(status, body);
    let value = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, value);
    response
}

/// Reason why a body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The body exceeds the size limit.
    TooLong,
    /// The body ended early.
    Broken,
    /// The body was not complete within the timeout.
    TooSlow,
}

/// Reads a complete body of at most `max_bytes` bytes within `timeout`. `meter` is that of its connection. The memory in use
/// follows the bytes that have come, whatever length was told and in however many chunks they come.
pub async fn read_body<B>(
    mut body: B, meter: Option<Arc<ReadMeter>>, max_bytes: usize, timeout: Duration,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(BodyError::TooLong);
    }
    let reading = async {
        let mut bytes = Vec::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| BodyError::Broken)?;
            meter.iter().for_each(|meter| meter.progress());
            let data = frame.into_data().unwrap_or_default();
            if data.len() > max_bytes - bytes.len() {
                return Err(BodyError::TooLong);
            }
            bytes.extend_from_slice(&data);
        }
        Ok(Bytes::from(bytes))
    };
    tokio::time::timeout(timeout, reading).await.unwrap_or(Err(BodyError::TooSlow))
}

/// Meter of the connection that a request came on.
pub fn meter_of(extensions: &Extensions) -> Option<Arc<ReadMeter>> {
    extensions.get::<Arc<ReadMeter>>().cloned()
}

/// Limits for endpoints, operators and the platform; they keep connections open between heartbeats.
const READ_LIMITS: ReadLimits = ReadLimits {
    timeouts: ConnectionTimeouts { head: Duration::from_secs(3), idle: Duration::from_secs(60) },
    head_max: None,
};

/// Answers all requests that arrive at a listener with `answer` until the shutdown begins. The future never completes.
pub async fn serve<F, A>(
    listener: TcpListener, clock: SteadyClock, shutdown: Rc<Shutdown>, answer: F,
) -> Infallible
where
    F: Fn(Request<Incoming>) -> A + 'static,
    A: Future<Output = Answer> + 'static,
{
    let answer = Rc::new(answer);
    let ending = shutdown.clone();
    listener::accept(listener, shutdown, move |stream, work| {
        let (answer, shutdown) = (answer.clone(), ending.clone());
        async move {
            let _work = work;
            listener::serve(stream, clock, READ_LIMITS, &shutdown, |request| answer(request)).await;
        }
    })
    .await
}
