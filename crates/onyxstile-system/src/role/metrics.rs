//! Metrics endpoint of a role.

use std::future::pending;
use std::net::SocketAddrV4;
use std::rc::Rc;

use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, StatusCode};

use super::http::{self, Answer, text};
use super::socket;
use crate::clock::SteadyClock;
use crate::metrics::Metrics;
use crate::settings::Settings;

/// Content type of the metrics.
const FORMAT: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Serves metrics if the settings have an address for them. If it cannot listen there, it logs the error and the role
/// continues: nothing depends on metrics.
pub async fn serve(settings: Settings, clock: SteadyClock, metrics: impl Fn() -> Metrics + 'static) {
    let Some(endpoint) = settings.metrics else { return pending().await };
    let address = SocketAddrV4::new(settings.ip, endpoint.port);
    match socket::listen(address) {
        Ok(listener) => {
            let answer = move |request: Request<Incoming>| {
                let answer = answer(&request, &endpoint.path, &metrics);
                async move { answer }
            };
            http::serve(listener, clock, Rc::default(), answer).await;
        }
        Err(error) => {
            log::warn!("metrics are not served at {address}: {error}");
            pending().await
        }
    }
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
