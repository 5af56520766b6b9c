//! HTTP helpers shared by the roles.

use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::{Request, Response, StatusCode};
use tokio::net::TcpListener;

use super::listener::{self, ReadLimits};
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

/// Reads a complete body of at most `max_bytes` bytes within `timeout`.
pub async fn read_body<B>(body: B, max_bytes: usize, timeout: Duration) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
    B::Error: std::error::Error + Send + Sync + 'static,
{
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(BodyError::TooLong);
    }
    let Ok(result) = tokio::time::timeout(timeout, Limited::new(body, max_bytes).collect()).await else {
        return Err(BodyError::TooSlow);
    };
    match result {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(BodyError::TooLong),
        Err(_) => Err(BodyError::Broken),
    }
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
