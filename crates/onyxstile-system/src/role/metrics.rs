//! Metrics endpoint of a role.

use std::convert::Infallible;
use std::net::SocketAddrV4;
use std::rc::Rc;

use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, StatusCode};
use tokio::net::TcpListener;

use super::http::{self, Answer, text};
use super::socket;
use crate::clock::SteadyClock;
use crate::metrics::Metrics;
use crate::process::{Resource, StartWaits};

/// Content type of the metrics.
const FORMAT: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Listens at the address of the metrics; waits while that is taken.
pub async fn listen(waits: &StartWaits, address: SocketAddrV4) -> TcpListener {
    waits.acquire(Resource::Metrics, || socket::listen(address)).await
}

/// Serves metrics under `path`.
pub async fn serve(
    listener: TcpListener, path: String, clock: SteadyClock, metrics: impl Fn() -> Metrics + 'static,
) -> Infallible {
    let answer = move |request: Request<Incoming>| {
        let answer = answer(&request, &path, &metrics);
        async move { answer }
    };
    http::serve(listener, clock, Rc::default(), answer).await
}

fn answer(request: &Request<Incoming>, path: &str, metrics: &impl Fn() -> Metrics) -> Answer {
    if request.uri().path() != path {
        return text(StatusCode::NOT_FOUND, "");
    }
    if request.method() != Method::GET {
        return text(StatusCode::METHOD_NOT_ALLOWED, "");
    }
    let mut answer = text(StatusCode::OK, metrics().text());
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(FORMAT));
    answer
}
