//! Small HTTP helpers that the roles share.

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

/// A whole answer.
pub type Answer = Response<Full<Bytes>>;

/// An answer with a status and a text.
pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

/// An answer in JSON.
pub fn json(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    let mut response = text(status, body);
    let value = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, value);
    response
}

/// Why a body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// It is longer than allowed.
    TooLong,
    /// It ended early.
    Broken,
    /// It did not end in time.
    TooSlow,
}

/// A body as a whole, of at most `most` bytes, that ends within `patience`.
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

/// What endpoints, operators and the platform are allowed: they keep connections between heartbeats.
const READ_LIMITS: ReadLimits = ReadLimits {
    timeouts: ConnectionTimeouts { head: Duration::from_secs(3), idle: Duration::from_secs(60) },
    head_max: None,
};

/// Answers all requests that come to a listener with `answer` until the shutdown begins. It does not return.
pub async fn serve<F, A>(listener: TcpListener, clock: SteadyClock, shutdown: Rc<Shutdown>, answer: F)
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
    .await;
}
