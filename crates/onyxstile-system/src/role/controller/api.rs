//! HTTP API for endpoints and operators.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, LOCATION};
use hyper::{Method, Request, StatusCode};

use super::ControllerServer;
use crate::control::{Operation, Outcome};
use crate::registry::{Instance, Stage};
use crate::role::http::{Answer, BodyError, json, meter_of, read_body, text};
use crate::role::shortest_grace::ShortestGrace;

/// Maximum size of a configuration in bytes.
const CONFIGURATION_MAX: usize = 8 * 1024 * 1024;
/// Maximum size of any other body in bytes.
const BODY_MAX: usize = 64 * 1024;
/// Timeout for reading a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Answers one request, at the latest when the process ends.
pub(super) async fn answer(server: Rc<ControllerServer>, request: Request<Incoming>) -> Answer {
    let answered = route(server.clone(), request);
    let answered = server.process_end.limit(ShortestGrace::deadline, answered).await;
    // As after any request without a clear outcome, the caller asks another controller.
    answered
        .unwrap_or_else(|| text(StatusCode::SERVICE_UNAVAILABLE, "this controller ends; retry the request"))
}

async fn route(server: Rc<ControllerServer>, request: Request<Incoming>) -> Answer {
    let path = request.uri().path().to_owned();
    let method = request.method().clone();
    if let Some(id) = path.strip_prefix("/api/instances/") {
        // Relays request endpoints from electors only.
        if let Some(elector) = server.elector_to_ask() {
            return redirect(elector, &path);
        }
        return instances(&server, &method, id, request).await;
    }
    if let Some(name) = path.strip_prefix("/api/retire/") {
        return retire(&server, &method, name).await;
    }
    match (method, path.as_str()) {
        (Method::PUT, "/api/config") => put_configuration(&server, request).await,
        (Method::GET, "/api/config") => outcome_response(server.operate(Operation::GetConfiguration).await),
        (_, "/api/config") => text(StatusCode::METHOD_NOT_ALLOWED, ""),
        _ => text(StatusCode::NOT_FOUND, ""),
    }
}

async fn instances(
    server: &ControllerServer, method: &Method, id: &str, request: Request<Incoming>,
) -> Answer {
    let instance = match *method {
        Method::PUT => {
            let body = match read_request_body(request, BODY_MAX).await {
                Ok(body) => body,
                Err(error) => return refuse_body(error),
            };
            match Instance::from_json(id, &body) {
                Ok(instance) => instance,
                Err(error) => return text(StatusCode::BAD_REQUEST, error.to_string()),
            }
        }
        Method::DELETE => server.registry.borrow_mut().remove(server.clock.now(), id),
        _ => return text(StatusCode::METHOD_NOT_ALLOWED, ""),
    };
    let is_leaving = instance.stage != Stage::Ready;
    server.merge_record(instance.clone());
    if *method == Method::DELETE {
        server.changed.notify_waiters();
    }
    if is_leaving && !server.replicate(&instance).await {
        return text(StatusCode::SERVICE_UNAVAILABLE, "too few controllers have stored the change");
    }
    json(StatusCode::OK, "{}")
}

async fn read_request_body(request: Request<Incoming>, max_bytes: usize) -> Result<Bytes, BodyError> {
    let meter = meter_of(request.extensions());
    read_body(request.into_body(), meter, max_bytes, BODY_TIMEOUT).await
}

async fn put_configuration(server: &ControllerServer, request: Request<Incoming>) -> Answer {
    let header = request.headers().get(hyper::header::IF_MATCH).and_then(|value| value.to_str().ok());
    let base = header.and_then(|value| value.trim().trim_matches('"').parse().ok());
    match read_request_body(request, CONFIGURATION_MAX).await {
        Ok(body) => {
            let body = Rc::new(body.to_vec());
            outcome_response(server.operate(Operation::PutConfiguration { base, body }).await)
        }
        Err(error) => refuse_body(error),
    }
}

async fn retire(server: &ControllerServer, method: &Method, name: &str) -> Answer {
    match *method {
        Method::POST => outcome_response(server.operate(Operation::Retire(name.to_owned())).await),
        Method::GET => outcome_response(server.operate(Operation::GetRetire(name.to_owned())).await),
        _ => text(StatusCode::METHOD_NOT_ALLOWED, ""),
    }
}

/// Redirects a caller to another controller.
fn redirect(to: SocketAddrV4, path: &str) -> Answer {
    let mut answer = text(StatusCode::TEMPORARY_REDIRECT, "");
    if let Ok(location) = HeaderValue::from_str(&format!("http://{to}{path}")) {
        answer.headers_mut().insert(LOCATION, location);
    }
    answer
}

fn refuse_body(error: BodyError) -> Answer {
    match error {
        BodyError::TooLong => text(StatusCode::PAYLOAD_TOO_LARGE, "body exceeds the size limit"),
        BodyError::Broken => text(StatusCode::BAD_REQUEST, "body ended early"),
        BodyError::TooSlow => text(StatusCode::REQUEST_TIMEOUT, "body not complete within the timeout"),
    }
}

/// HTTP response to an outcome.
fn outcome_response(outcome: Outcome) -> Answer {
    match outcome {
        Outcome::Done => json(StatusCode::OK, "{}"),
        Outcome::Configuration(Some(configuration)) => json(StatusCode::OK, configuration.body.clone()),
        Outcome::Configuration(None) => text(StatusCode::NOT_FOUND, "no configuration has been set"),
        Outcome::Retirement(true) => json(StatusCode::OK, r#"{"state":"completed"}"#),
        Outcome::Retirement(false) => json(StatusCode::OK, r#"{"state":"in_progress"}"#),
        Outcome::Conflict(current) => {
            text(StatusCode::PRECONDITION_FAILED, format!("the current version is {current}"))
        }
        Outcome::Invalid(reason) => text(StatusCode::BAD_REQUEST, reason),
        Outcome::NotFound => text(StatusCode::NOT_FOUND, ""),
        Outcome::TooFew => text(StatusCode::CONFLICT, "too few storage machines would remain"),
        Outcome::Unknown => text(StatusCode::SERVICE_UNAVAILABLE, "outcome unknown; retry the request"),
    }
}
