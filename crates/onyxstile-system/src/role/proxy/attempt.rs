//! One send of a call to one endpoint, and its outcome.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::http::response;
use hyper::{Request, Uri};

use super::Proxy;
use super::admit::PendingFirstEvent;
use super::call::Call;
use super::counts::SendFailure;
use super::cut_offs::CutReason;
use super::in_flight::InFlight;
use super::read_answer::Stream;
use super::upstream::{ConnectionId, SendError};
use crate::balance::EndpointKey;

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
    /// The request may have been executed. There is no memory for its response, which says nothing about the endpoint.
    NoMemory,
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
            Attempt::NoMemory | Attempt::Unknown(_) => Some(SendFailure::Unknown),
        }
    }
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
                    self.read_answer(call, key, response, checkout).await
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
            Attempt::NotExecuted | Attempt::Abandoned | Attempt::CutOff | Attempt::NoMemory => {}
            Attempt::NotSent => {
                endpoint.unreachable(now);
                self.pools.drop_idle(key);
            }
            Attempt::Unknown(_) => endpoint.failed(now),
        }
    }
}
