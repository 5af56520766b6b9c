//! The way of a request: its route, what comes before it runs, and its answer.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::http::response;
use hyper::{Request, StatusCode};

use super::Node;
use super::answer::{AnswerBody, ClientAnswer, close_after, copy_head, not_run, own};
use super::call::Call;
use super::chain::Chain;
use super::conversation::Claim;
use super::counts::Refusal;
use super::no_turn::NoTurn;
use super::phase::{Entered, Phase};
use super::relay_stream::{self, Relay};
use super::sending::{Ended, Sending};
use crate::clock::Instant;
use crate::role::http::{BodyError, read_body};

/// When a client may come back that found no endpoint.
const COME_BACK: Duration = Duration::from_millis(250);
/// How long a start takes until the configuration is there, once controllers can be reached.
const START: Duration = Duration::from_millis(600);

/// Answers one request of a client.
pub(super) async fn answer(node: Rc<Node>, request: Request<Incoming>) -> ClientAnswer {
    node.counts.request();
    let entered = Phase::enter(&node);
    let mut answer = route(&node, request, entered).await;
    if node.phase.is_draining() {
        close_after(&mut answer);
    }
    answer
}

async fn route(node: &Rc<Node>, request: Request<Incoming>, entered: Entered) -> ClientAnswer {
    let (head, body) = request.into_parts();
    let Some(configuration) = node.configuration.borrow().clone() else {
        let since_start = node.clock.now().since(Instant::default());
        let wait = START.saturating_sub(since_start).max(COME_BACK);
        return refuse(node, Refusal::NoConfiguration, wait);
    };
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
    let Some(route) = configuration.route(host, head.uri.path()).cloned() else {
        return refuse(node, Refusal::NoRoute, COME_BACK);
    };
    let most = configuration.limits.max_body_bytes;
    let mut call = Call::new(configuration, route, head, node.clock.now(), node.roll());
    let patience = call.left(node.clock.now());
    call.body = match read_body(body, most, patience).await {
        Ok(body) => body,
        Err(BodyError::TooLong) => return own(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long"),
        Err(BodyError::Broken) => return own(StatusCode::BAD_REQUEST, "the body ended early"),
        Err(BodyError::TooSlow) => {
            return own(StatusCode::REQUEST_TIMEOUT, "the body did not end in time");
        }
    };
    // What would be cut at the end is not begun; heads that were late, and bodies.
    if node.phase.ends_before(call.last_answer()) {
        return refuse(node, Refusal::Ending, COME_BACK);
    }
    if node.endpoints.borrow().usable(&call.service) == 0 {
        return refuse(node, Refusal::NoEndpoint, COME_BACK);
    }
    let refused = node.refuse(&call);
    if let Some(wait) = refused.filter(|_| call.is_surely_first()) {
        return refuse(node, Refusal::Busy, wait);
    }
    node.endpoints.borrow_mut().note_prompt(&call.parts);
    let (claim, chain) = tokio::join!(node.claim(&call), node.chain(&call));
    match (claim, chain) {
        (Ok(claim), Ok(chain)) => match refused {
            Some(wait) if claim.as_ref().is_none_or(Claim::is_first) => refuse(node, Refusal::Busy, wait),
            _ => serve(node, call, claim, chain, entered).await,
        },
        (Err(NoTurn::Spent), _) => refuse(node, Refusal::BudgetSpent, COME_BACK),
        (_, Err(NoTurn::NoPrevious)) => refuse(node, Refusal::NoPrevious, COME_BACK),
        _ => refuse(node, Refusal::NoStorage, COME_BACK),
    }
}

/// The proxy's own answer to a request that did not run, counted; it names `wait` where the client may come back.
fn refuse(node: &Node, refusal: Refusal, wait: Duration) -> ClientAnswer {
    node.counts.refuse(refusal);
    match refusal {
        Refusal::NoConfiguration => not_run(wait, "no configuration yet"),
        Refusal::NoRoute => own(StatusCode::NOT_FOUND, "no route"),
        Refusal::NoEndpoint => not_run(wait, "no endpoint"),
        Refusal::Busy => not_run(wait, "the endpoints are busy"),
        Refusal::NoStorage => not_run(wait, "too few storage machines answer"),
        Refusal::NotTaken => not_run(wait, "no endpoint took it"),
        Refusal::BudgetSpent => own(StatusCode::PAYMENT_REQUIRED, "the budget is spent"),
        Refusal::Ending => not_run(wait, "this proxy ends"),
        Refusal::NoPrevious => own(StatusCode::NOT_FOUND, "no such turn to go on from"),
    }
}

async fn serve(
    node: &Rc<Node>, call: Call, claim: Option<Claim>, chain: Chain, entered: Entered,
) -> ClientAnswer {
    let body = if call.route.retained { Bytes::from(chain.body(&call.body)) } else { call.body.clone() };
    let mut sending = Sending::new(node.clone(), call, body);
    match sending.run().await {
        Ended::Whole(head, body) => whole(&head, body),
        Ended::Streaming(stream) => {
            relay_stream::begin(Relay::new(node.clone(), sending, stream, claim, chain, entered))
        }
        Ended::NotRun => refuse(node, Refusal::NotTaken, COME_BACK),
        Ended::Failed => own(StatusCode::BAD_GATEWAY, "the endpoint's answer was lost"),
        Ended::TimedOut => own(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
    }
}

fn whole(head: &response::Parts, body: Bytes) -> ClientAnswer {
    let mut answer = hyper::Response::new(AnswerBody::Whole(Some(body)));
    copy_head(head, &mut answer);
    answer
}
