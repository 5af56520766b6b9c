//! Request handling: routing, the checks before a request is sent, and the response.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::http::response;
use hyper::{Request, StatusCode};

use super::Proxy;
use super::call::Call;
use super::call_sender::{CallSender, SendOutcome};
use super::chain::Chain;
use super::client_response::{ClientResponse, ResponseBody, close_after, copy_head, not_executed, reply};
use super::conversation::Claim;
use super::counts::Refusal;
use super::phase::{OpenRequest, Phase};
use super::relay_stream::{self, StreamRelay};
use super::turn_error::TurnError;
use crate::clock::Instant;
use crate::role::http::{BodyError, read_body};

/// Default `Retry-After` of refusals.
const RETRY_AFTER: Duration = Duration::from_millis(250);
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
    let timeout = call.remaining(proxy.clock.now());
    call.body = match read_body(body, max_bytes, timeout).await {
        Ok(body) => body,
        Err(BodyError::TooLong) => return reply(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long"),
        Err(BodyError::Broken) => return reply(StatusCode::BAD_REQUEST, "the body ended early"),
        Err(BodyError::TooSlow) => {
            return reply(StatusCode::REQUEST_TIMEOUT, "the body did not end in time");
        }
    };
    // Refuses requests that the exit of the process would cut off. Heads and bodies that arrive late during a drain lead here.
    if proxy.phase.ends_before(call.latest_response_end()) {
        return refuse(proxy, Refusal::ShuttingDown, RETRY_AFTER);
    }
    if proxy.endpoints.borrow().usable(&call.service) == 0 {
        return refuse(proxy, Refusal::NoEndpoint, RETRY_AFTER);
    }
    let admission_delay = proxy.admission_delay(&call);
    if let Some(wait) = admission_delay.filter(|_| call.is_certainly_first()) {
        return refuse(proxy, Refusal::Busy, wait);
    }
    proxy.endpoints.borrow_mut().note_prompt(&call.parts);
    let (claim, chain) = tokio::join!(proxy.claim(&call), proxy.chain(&call));
    match (claim, chain) {
        (Ok(claim), Ok(chain)) => match admission_delay {
            Some(wait) if claim.as_ref().is_none_or(Claim::is_first) => refuse(proxy, Refusal::Busy, wait),
            _ => serve(proxy, call, claim, chain, open_request).await,
        },
        (Err(TurnError::BudgetSpent), _) => refuse(proxy, Refusal::BudgetSpent, RETRY_AFTER),
        (_, Err(TurnError::PreviousNotFound)) => refuse(proxy, Refusal::NoPrevious, RETRY_AFTER),
        _ => refuse(proxy, Refusal::NoStorage, RETRY_AFTER),
    }
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
        SendOutcome::Failed => reply(StatusCode::BAD_GATEWAY, "the endpoint's answer was lost"),
        SendOutcome::TimedOut => reply(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
    }
}

fn complete_response(head: &response::Parts, body: Bytes) -> ClientResponse {
    let mut response = hyper::Response::new(ResponseBody::Complete(Some(body)));
    copy_head(head, &mut response);
    response
}
