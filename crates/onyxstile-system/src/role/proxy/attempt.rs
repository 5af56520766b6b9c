//! One send of a call to one endpoint, and what it showed.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::http::response;
use hyper::{Request, StatusCode, Uri};

use super::Proxy;
use super::admit::PendingFirstEvent;
use super::call::Call;
use super::counts::SendFailure;
use super::upstream::{Checkout, SendError};
use crate::balance::EndpointKey;
use crate::load::Load;

/// What one send showed.
pub(super) enum Attempt {
    /// A whole answer; the endpoint ran the request.
    Complete(response::Parts, Bytes),
    /// A stream that has begun; the bytes came first.
    Streaming(Stream),
    /// The endpoint did not run it.
    NotExecuted,
    /// No connection came up, or it was closed before a byte was sent.
    NotSent,
    /// It may have run; why there is no answer.
    Unknown(&'static str),
}

impl Attempt {
    /// Why there is nothing to pass on, if there isn't.
    fn failure(&self) -> Option<SendFailure> {
        match self {
            Attempt::Complete(head, _) if head.status.is_server_error() => Some(SendFailure::ServerError),
            Attempt::Complete(..) | Attempt::Streaming(_) => None,
            Attempt::NotExecuted => Some(SendFailure::NotExecuted),
            Attempt::NotSent => Some(SendFailure::NotSent),
            Attempt::Unknown(_) => Some(SendFailure::Unknown),
        }
    }
}

/// A stream that has begun.
pub(super) struct Stream {
    pub head: response::Parts,
    pub first: Bytes,
    pub body: Incoming,
    pub checkout: Option<Checkout>,
}

impl Proxy {
    /// Sends a call to an endpoint. What is silent for `patience` counts as unknown.
    pub(super) async fn attempt(
        self: &Rc<Proxy>, call: &Call, body: &Bytes, key: EndpointKey, last_event: Option<&str>,
        timeout: Duration,
    ) -> Attempt {
        let began = self.clock.now();
        let Some((address, instance)) = self.address(key) else { return Attempt::NotSent };
        let request = self.request(call, body, &instance, last_event);
        let first_event = PendingFirstEvent::new(self.clone(), call, key);
        if let Some(endpoint) = self.endpoints.borrow_mut().get_mut(key) {
            endpoint.cache.note(&call.parts, call.engine_capacity_tokens());
        }
        let _in_flight = InFlight::new(self.clone(), key, began);
        let attempt = async {
            match self.pools.send(key, address, request, call.route.is_repeatable()).await {
                Ok((response, checkout)) => self.read(call, key, response, checkout).await,
                Err(SendError::NotSent(reason)) => {
                    log::debug!("{instance} at {address}: not sent: {reason}");
                    Attempt::NotSent
                }
                Err(SendError::Unknown(reason)) => {
                    log::debug!("{instance} at {address}: {reason}");
                    Attempt::Unknown("the connection broke")
                }
            }
        };
        let attempt = tokio::time::timeout(timeout, attempt).await.unwrap_or(Attempt::Unknown("silence"));
        self.record_outcome(key, &attempt, began);
        if matches!(attempt, Attempt::Streaming(_)) {
            first_event.mark_received();
        }
        attempt
    }

    /// Takes back a connection whose answer was read to its end.
    pub(super) fn return_connection(&self, checkout: Checkout) {
        let key = checkout.key;
        let endpoints = self.endpoints.borrow();
        let in_use = endpoints.get(key).map_or(0, |endpoint| endpoint.in_flight());
        // The call that gives it back is still counted.
        let others = in_use.saturating_sub(1);
        let share = endpoints.connection_share(key);
        self.pools.return_connection(checkout, share.saturating_sub(others) as usize);
    }

    fn address(&self, key: EndpointKey) -> Option<(std::net::SocketAddrV4, String)> {
        let endpoints = self.endpoints.borrow();
        let instance = &endpoints.get(key)?.instance;
        Some((instance.socket(), instance.id.clone()))
    }

    fn request(
        &self, call: &Call, body: &Bytes, instance: &str, last_event: Option<&str>,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(body.clone()));
        *request.method_mut() = call.method.clone();
        let path = call.uri.path_and_query().map_or("/", |path| path.as_str());
        *request.uri_mut() = path.parse::<Uri>().unwrap_or_default();
        *request.headers_mut() = call.headers_for(self.clock.now(), instance, last_event);
        request
    }

    async fn read(
        &self, call: &Call, key: EndpointKey, response: hyper::Response<Incoming>, checkout: Checkout,
    ) -> Attempt {
        if let Some(took) = checkout.connected_in {
            self.endpoints.borrow_mut().connected(key, took);
        }
        let (head, body) = response.into_parts();
        if let Some(load) = header_text(&head.headers, "server-load").and_then(Load::parse)
            && let Some(endpoint) = self.endpoints.borrow_mut().get_mut(key)
        {
            endpoint.note_load(self.clock.now(), load);
        }
        // An answer to another request of an earlier call: nothing on this connection can be trusted.
        if header_text(&head.headers, "request-id").is_some_and(|id| id != call.id) {
            return Attempt::Unknown("an answer to another request");
        }
        let is_refusal =
            head.headers.contains_key("not-executed") || head.status == StatusCode::MISDIRECTED_REQUEST;
        if is_refusal {
            let is_superseded = head.status == StatusCode::MISDIRECTED_REQUEST && !call.expects_version();
            return self.handle_refusal(key, is_superseded, body, checkout).await;
        }
        if header_text(&head.headers, "request-id").is_none() {
            return Attempt::Unknown("an answer without an id");
        }
        if head.status.is_success() && !head.headers.contains_key("response-seal") {
            return Attempt::Unknown("an answer without its seal");
        }
        if call.is_stream() && head.status.is_success() {
            return begin_stream(head, body, checkout).await;
        }
        // An answer without a length ends with its connection; a reset is an error here.
        match body.collect().await {
            Ok(collected) => {
                self.return_connection(checkout);
                Attempt::Complete(head, collected.to_bytes())
            }
            Err(_) => Attempt::Unknown("the answer broke off"),
        }
    }

    /// `is_other` says that another incarnation, perhaps of another service, has the address.
    async fn handle_refusal(
        &self, key: EndpointKey, is_superseded: bool, body: Incoming, checkout: Checkout,
    ) -> Attempt {
        if is_superseded {
            if let Some(endpoint) = self.endpoints.borrow_mut().get_mut(key) {
                endpoint.superseded();
            }
            self.pools.drop_idle(key);
        } else if body.collect().await.is_ok() {
            self.return_connection(checkout);
        }
        Attempt::NotExecuted
    }

    /// Notes what a send has shown of its endpoint.
    fn record_outcome(&self, key: EndpointKey, attempt: &Attempt, began: crate::clock::Instant) {
        if let Some(failure) = attempt.failure() {
            self.counts.count_failure(failure);
        }
        let now = self.clock.now();
        let mut endpoints = self.endpoints.borrow_mut();
        let Some(endpoint) = endpoints.get_mut(key) else { return };
        match attempt {
            Attempt::Complete(head, _) if head.status.is_server_error() => endpoint.failed_with_error(now),
            Attempt::Complete(..) | Attempt::Streaming(_) => endpoint.succeeded(now, Some(now.since(began))),
            Attempt::NotExecuted => {}
            Attempt::NotSent => {
                endpoint.unreachable(now);
                self.pools.drop_idle(key);
            }
            Attempt::Unknown(_) => endpoint.failed(now),
        }
    }
}

/// A call that is out at an endpoint and not answered; dropped, it is no more.
struct InFlight {
    proxy: Rc<Proxy>,
    key: EndpointKey,
    at: crate::clock::Instant,
}

impl InFlight {
    fn new(proxy: Rc<Proxy>, key: EndpointKey, at: crate::clock::Instant) -> InFlight {
        if let Some(endpoint) = proxy.endpoints.borrow_mut().get_mut(key) {
            endpoint.health.sent(at);
        }
        InFlight { proxy, key, at }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if let Some(endpoint) = self.proxy.endpoints.borrow_mut().get_mut(self.key) {
            endpoint.health.ended(self.at);
        }
    }
}

async fn begin_stream(head: response::Parts, mut body: Incoming, checkout: Checkout) -> Attempt {
    loop {
        match body.frame().await {
            Some(Ok(frame)) => {
                if let Ok(first) = frame.into_data()
                    && !first.is_empty()
                {
                    return Attempt::Streaming(Stream { head, first, body, checkout: Some(checkout) });
                }
            }
            Some(Err(_)) => return Attempt::Unknown("the stream broke off before its first event"),
            None => {
                let first = Bytes::new();
                return Attempt::Streaming(Stream { head, first, body, checkout: Some(checkout) });
            }
        }
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}
