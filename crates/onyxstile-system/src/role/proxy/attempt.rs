//! One send of a call to one endpoint, and its outcome.

use std::cell::Cell;
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
use super::cut_offs::CutReason;
use super::in_flight::InFlight;
use super::upstream::{Checkout, ConnectionId, SendError};
use crate::balance::EndpointKey;
use crate::load::Load;

/// Outcome of one send.
pub(super) enum Attempt {
    /// Complete response; the endpoint executed the request.
    Complete(response::Parts, Bytes),
    /// The response stream has begun.
    Streaming(Stream),
    /// The endpoint did not execute the request.
    NotExecuted,
    /// No connection was established, or it was closed before a byte was sent.
    NotSent,
    /// No byte was sent within the timeout or before the end of the process, which says nothing about the endpoint.
    Abandoned,
    /// The process ends. The request may have been executed, which says nothing about the endpoint.
    CutOff,
    /// The request may have been executed; the reason why there is no response.
    Unknown(&'static str),
}

impl Attempt {
    /// Failure class, or `None` if there is a response to forward.
    fn failure(&self) -> Option<SendFailure> {
        match self {
            Attempt::Complete(head, _) if head.status.is_server_error() => Some(SendFailure::ServerError),
            Attempt::Complete(..) | Attempt::Streaming(_) | Attempt::Abandoned | Attempt::CutOff => None,
            Attempt::NotExecuted => Some(SendFailure::NotExecuted),
            Attempt::NotSent => Some(SendFailure::NotSent),
            Attempt::Unknown(_) => Some(SendFailure::Unknown),
        }
    }
}

/// Response stream that has begun.
pub(super) struct Stream {
    pub head: response::Parts,
    pub first: Bytes,
    pub body: Incoming,
    pub checkout: Option<Checkout>,
}

impl Proxy {
    /// Sends a call to an endpoint. Without a response, or the first bytes of a stream, within `timeout` the outcome is
    /// `Unknown` if the request was sent. `carried` are the connections that have carried the call; the one of this send is added.
    pub(super) async fn attempt(
        self: &Rc<Proxy>, call: &Call, body: &Bytes, key: EndpointKey, last_event: Option<&str>,
        timeout: Duration, carried: &mut Vec<ConnectionId>,
    ) -> Attempt {
        let began = self.clock.now();
        let Some((address, instance)) = self.address(key) else { return Attempt::NotSent };
        let request = self.request(call, body, &instance, last_event);
        let first_event = PendingFirstEvent::new(self.clone(), call, key);
        if let Some(endpoint) = self.endpoints.borrow_mut().get_mut(key) {
            endpoint.cache.note(&call.parts, call.engine_capacity_tokens());
        }
        let _in_flight = InFlight::new(self.clone(), key, began);
        let was_sent = Cell::new(false);
        let attempt = async {
            let is_repeatable = call.route.is_repeatable();
            match self.pools.send(key, address, request, is_repeatable, carried, &was_sent).await {
                Ok((response, checkout)) => {
                    carried.push(checkout.id);
                    self.read(call, key, response, checkout).await
                }
                Err(SendError::NotSent(reason)) => {
                    log::debug!("request to {instance} at {address} not sent: {reason}");
                    Attempt::NotSent
                }
                Err(SendError::Unknown(reason)) => {
                    log::debug!("request to {instance} at {address} failed: {reason}");
                    Attempt::Unknown("connection failed")
                }
            }
        };
        let attempt = self.phase.until_end(|| was_sent.get(), tokio::time::timeout(timeout, attempt)).await;
        let attempt = match attempt {
            Some(Ok(attempt)) => attempt,
            _ if !was_sent.get() => Attempt::Abandoned,
            Some(Err(_)) => {
                self.record_cut_off(call, key, CutReason::NotInTime);
                Attempt::Unknown("no response within the timeout")
            }
            None => {
                self.counts.count_cut_off();
                Attempt::CutOff
            }
        };
        self.record_outcome(key, &attempt, began);
        if matches!(attempt, Attempt::Streaming(_)) {
            first_event.mark_received();
        }
        attempt
    }

    /// Returns a connection to the pool after its response was read to the end.
    pub(super) fn return_connection(&self, checkout: Checkout) {
        let key = checkout.key;
        let endpoints = self.endpoints.borrow();
        let in_use = endpoints.get(key).map_or(0, |endpoint| endpoint.in_flight());
        // The call that returns the connection is still counted as in flight.
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
        // A response with another id, or with none, belongs to another call. The connection is out of sync and can't be reused.
        let id = header_text(&head.headers, "request-id").unwrap_or_default();
        if id != call.id {
            return Attempt::Unknown("response has another request id or none");
        }
        let is_refusal =
            head.headers.contains_key("not-executed") || head.status == StatusCode::MISDIRECTED_REQUEST;
        if is_refusal {
            let is_superseded = head.status == StatusCode::MISDIRECTED_REQUEST && !call.expects_version();
            return self.handle_refusal(key, is_superseded, body, checkout).await;
        }
        if id.is_empty() {
            return Attempt::Unknown("response has no request id");
        }
        if head.status.is_success() && !head.headers.contains_key("response-seal") {
            return Attempt::Unknown("successful response has no seal");
        }
        if call.is_stream() && head.status.is_success() {
            let begun = begin_stream(head, body, checkout).await;
            if matches!(begun, Attempt::Unknown(_)) {
                self.record_cut_off(call, key, CutReason::ConnectionLost);
            }
            return begun;
        }
        // A response without a length ends with its connection; a reset is an error here.
        let mut held = self.answer_memory.holder();
        let counted = body.map_frame(|frame| {
            held.add(frame.data_ref().map_or(0, Bytes::len));
            frame
        });
        match counted.collect().await {
            Ok(collected) => {
                self.return_connection(checkout);
                Attempt::Complete(head, collected.to_bytes())
            }
            Err(_) => {
                self.record_cut_off(call, key, CutReason::ConnectionLost);
                Attempt::Unknown("connection failed while reading the response")
            }
        }
    }

    /// Counts an answer of the endpoint `key` that was cut off.
    pub(super) fn record_cut_off(&self, call: &Call, key: EndpointKey, reason: CutReason) {
        let endpoints = self.endpoints.borrow();
        let endpoint = endpoints.get(key).map_or("", |endpoint| endpoint.instance.id.as_str());
        self.cut_offs.record(self.clock.now(), reason, endpoint, &call.route.name);
    }

    /// Handles a response for a request that was not executed. `is_superseded`: the address now belongs to another incarnation,
    /// possibly of another service.
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

    /// Updates counters and the endpoint's health record with the outcome of a send.
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
            Attempt::NotExecuted | Attempt::Abandoned | Attempt::CutOff => {}
            Attempt::NotSent => {
                endpoint.unreachable(now);
                self.pools.drop_idle(key);
            }
            Attempt::Unknown(_) => endpoint.failed(now),
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
            Some(Err(_)) => return Attempt::Unknown("stream ended before its first event"),
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
