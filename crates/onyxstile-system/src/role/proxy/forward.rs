//! Request handling: routing, the checks before a request is sent, and the response.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::http::response;
use hyper::{Request, StatusCode};

use super::Proxy;
use super::call::Call;
use super::call_sender::CallSender;
use super::chain::Chain;
use super::client_response::{ClientResponse, ResponseBody, close_after, copy_head, not_executed, reply};
use super::conversation::Claim;
use super::counts::Refusal;
use super::phase::{OpenRequest, Phase};
use super::relay_stream::{self, StreamRelay};
use super::send_outcome::SendOutcome;
use super::turn_error::TurnError;
use crate::clock::Instant;
use crate::role::http::{BodyError, meter_of, read_body};
use crate::role::metered_socket::ReadMeter;

/// Default `Retry-After` of refusals.
const RETRY_AFTER: Duration = Duration::from_millis(250);
/// Rate at which the clients of a proxy that ends are told to come back, as the time between two of them.
const RETRY_SPACING: Duration = Duration::from_millis(1);
/// Time from the start of the process until the configuration has been received, if controllers are reachable.
const STARTUP_TIME: Duration = Duration::from_millis(600);

/// Handles one client request.
pub(super) async fn handle(proxy: Rc<Proxy>, request: Request<Incoming>) -> ClientResponse {
    proxy.counts.count_request();
    let open_request = Phase::begin_request(&proxy);
    let mut response = route(&proxy, request, open_request).await;
    if proxy.phase.is_draining() {
        close_after(&mut response);
    }
    response
}

async fn route(proxy: &Rc<Proxy>, request: Request<Incoming>, open_request: OpenRequest) -> ClientResponse {
    let (head, body) = request.into_parts();
    let meter = meter_of(&head.extensions);
    let Some(configuration) = proxy.configuration.borrow().clone() else {
        let since_start = proxy.clock.now().since(Instant::default());
        let wait = STARTUP_TIME.saturating_sub(since_start).max(RETRY_AFTER);
        return refuse(proxy, Refusal::NoConfiguration, wait);
    };
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
    let Some(route) = configuration.route(host, head.uri.path()).cloned() else {
        return refuse(proxy, Refusal::NoRoute, RETRY_AFTER);
    };
    let max_bytes = configuration.limits.max_body_bytes;
    let mut call = Call::new(configuration, route, head, proxy.clock.now(), proxy.random_fraction());
    match proxy.phase.until_last_send(prepare(proxy, &mut call, body, meter, max_bytes)).await {
        Some(Ok((claim, chain))) => serve(proxy, call, claim, chain, open_request).await,
        Some(Err(response)) => *response,
        None => refuse_at_end(proxy),
    }
}

/// Receives the body of a call and claims what it needs before it can be sent; fails with the response to a call that can't run.
async fn prepare(
    proxy: &Rc<Proxy>, call: &mut Call, body: Incoming, meter: Option<Arc<ReadMeter>>, max_bytes: usize,
) -> Result<(Option<Claim>, Chain), Box<ClientResponse>> {
    let timeout = call.remaining(proxy.clock.now());
    call.body =
        read_body(body, meter, max_bytes, timeout).await.map_err(|error| Box::new(body_error(error)))?;
    let refused = |refusal, wait| Err(Box::new(refuse(proxy, refusal, wait)));
    // Refuses requests that the exit of the process would cut off. Heads and bodies that arrive late during a drain lead here.
    if proxy.phase.ends_before(call.latest_response_end()) {
        return refused(Refusal::ShuttingDown, RETRY_AFTER);
    }
    if proxy.endpoints.borrow().usable(&call.service) == 0 {
        return refused(Refusal::NoEndpoint, RETRY_AFTER);
    }
    let admission_delay = proxy.admission_delay(call);
    if let Some(wait) = admission_delay.filter(|_| call.is_certainly_first()) {
        return refused(Refusal::Busy, wait);
    }
    proxy.endpoints.borrow_mut().note_prompt(&call.parts);
    match tokio::join!(proxy.claim(call), proxy.chain(call)) {
        (Ok(claim), Ok(chain)) => match admission_delay {
            Some(wait) if claim.as_ref().is_none_or(Claim::is_first) => refused(Refusal::Busy, wait),
            _ => Ok((claim, chain)),
        },
        (Err(TurnError::BudgetSpent), _) => refused(Refusal::BudgetSpent, RETRY_AFTER),
        (_, Err(TurnError::PreviousNotFound)) => refused(Refusal::NoPrevious, RETRY_AFTER),
        _ => refused(Refusal::NoStorage, RETRY_AFTER),
    }
}

/// Response to a request whose body could not be read.
fn body_error(error: BodyError) -> ClientResponse {
    match error {
        BodyError::TooLong => reply(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long"),
        BodyError::Broken => reply(StatusCode::BAD_REQUEST, "the body ended early"),
        BodyError::TooSlow => reply(StatusCode::REQUEST_TIMEOUT, "the body did not end in time"),
    }
}

/// Refuses a call that waited when the process ended. All such calls are refused at about the same time, so their clients are
/// told to come back at different times.
fn refuse_at_end(proxy: &Proxy) -> ClientResponse {
    let spread = RETRY_SPACING * proxy.phase.open_requests() as u32;
    refuse(proxy, Refusal::ShuttingDown, RETRY_AFTER + spread.mul_f64(proxy.random_fraction()))
}

/// Counts a refusal and builds its response; `wait` becomes the `Retry-After` of those that the client may retry.
fn refuse(proxy: &Proxy, refusal: Refusal, wait: Duration) -> ClientResponse {
    proxy.counts.count_refusal(refusal);
    match refusal {
        Refusal::NoConfiguration => not_executed(wait, "no configuration yet"),
        Refusal::NoRoute => reply(StatusCode::NOT_FOUND, "no route"),
        Refusal::NoEndpoint => not_executed(wait, "no endpoint"),
        Refusal::Busy => not_executed(wait, "the endpoints are busy"),
        Refusal::NoStorage => not_executed(wait, "too few storage machines answer"),
        Refusal::NotAccepted => not_executed(wait, "no endpoint took it"),
        Refusal::BudgetSpent => reply(StatusCode::PAYMENT_REQUIRED, "the budget is spent"),
        Refusal::ShuttingDown => not_executed(wait, "this proxy ends"),
        Refusal::NoPrevious => reply(StatusCode::NOT_FOUND, "no such turn to go on from"),
    }
}

async fn serve(
    proxy: &Rc<Proxy>, call: Call, claim: Option<Claim>, chain: Chain, open_request: OpenRequest,
) -> ClientResponse {
    let body = if call.route.retained { Bytes::from(chain.body(&call.body)) } else { call.body.clone() };
    let mut call_sender = CallSender::new(proxy.clone(), call, body);
    match call_sender.run().await {
        SendOutcome::Complete(head, body) => complete_response(&head, body),
        SendOutcome::Streaming(stream) => relay_stream::begin(StreamRelay::new(
            proxy.clone(),
            call_sender,
            stream,
            claim,
            chain,
            open_request,
        )),
        SendOutcome::NotExecuted => refuse(proxy, Refusal::NotAccepted, RETRY_AFTER),
        SendOutcome::ShuttingDown => refuse_at_end(proxy),
        SendOutcome::Failed => reply(StatusCode::BAD_GATEWAY, "the endpoint's answer was lost"),
        SendOutcome::TimedOut => reply(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
    }
}

fn complete_response(head: &response::Parts, body: Bytes) -> ClientResponse {
    let mut response = hyper::Response::new(ResponseBody::Complete(Some(body)));
    copy_head(head, &mut response);
    response
}
