//! Reads the answer to one send: its head, and its body unless it is a stream.

use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::http::response;
use hyper::{Response, StatusCode};

use super::Proxy;
use super::answer_reader::AnswerReader;
use super::attempt::Attempt;
use super::call::Call;
use super::cut_offs::CutReason;
use super::upstream::Checkout;
use crate::balance::EndpointKey;
use crate::load::Load;

/// Time for the body of a refusal, which is read only so that the connection can be used again.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(100);

/// Response stream that has begun.
pub(super) struct Stream {
    pub head: response::Parts,
    pub first: Bytes,
    pub body: AnswerReader,
    pub checkout: Option<Checkout>,
}

impl Proxy {
    /// Reads the answer of the endpoint `key` to a call.
    pub(super) async fn read_answer(
        &self, call: &Call, key: EndpointKey, response: Response<Incoming>, checkout: Checkout,
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
        let body = AnswerReader::new(&self.answers, body, &checkout.meter);
        let is_refusal =
            head.headers.contains_key("not-executed") || head.status == StatusCode::MISDIRECTED_REQUEST;
        if is_refusal {
            let is_superseded = head.status == StatusCode::MISDIRECTED_REQUEST && !call.expects_version();
            self.handle_refusal(call, key, is_superseded, body, checkout).await;
            return Attempt::NotExecuted;
        }
        if id.is_empty() {
            return Attempt::Unknown("response has no request id");
        }
        if head.status.is_success() && !head.headers.contains_key("response-seal") {
            return Attempt::Unknown("successful response has no seal");
        }
        let is_stream = call.is_stream() && head.status.is_success();
        let read = match body {
            Ok(body) if is_stream => begin_stream(head, body, checkout).await,
            Ok(body) => self.read_complete(head, body, checkout).await,
            Err(reason) => Err(reason),
        };
        read.unwrap_or_else(|reason| {
            self.record_cut_off(call, key, reason);
            match reason {
                CutReason::NoMemory => Attempt::NoMemory,
                _ => Attempt::Unknown(reason.name()),
            }
        })
    }

    /// Reads a complete response. One without a length ends with its connection; a reset is an error here.
    async fn read_complete(
        &self, head: response::Parts, mut body: AnswerReader, checkout: Checkout,
    ) -> Result<Attempt, CutReason> {
        let bytes = body.collect().await?;
        self.return_connection(checkout);
        Ok(Attempt::Complete(head, bytes))
    }

    /// Handles a response for a request that was not executed, which no failure of its body changes. `is_superseded`: the address
    /// now belongs to another incarnation, possibly of another service.
    async fn handle_refusal(
        &self, call: &Call, key: EndpointKey, is_superseded: bool, body: Result<AnswerReader, CutReason>,
        checkout: Checkout,
    ) {
        if is_superseded {
            if let Some(endpoint) = self.endpoints.borrow_mut().get_mut(key) {
                endpoint.superseded();
            }
            self.pools.drop_idle(key);
            return;
        }
        let read = tokio::time::timeout(REFUSAL_BODY_TIMEOUT, collect(body)).await;
        match read.unwrap_or(Err(CutReason::NotInTime)) {
            Ok(_) => self.return_connection(checkout),
            Err(reason) => {
                self.record_cut_off(call, key, reason);
                if let Some(endpoint) = self.endpoints.borrow_mut().get_mut(key) {
                    endpoint.health.note_failure(self.clock.now());
                }
            }
        }
    }

    /// Counts an answer of the endpoint `key` that was cut off.
    pub(super) fn record_cut_off(&self, call: &Call, key: EndpointKey, reason: CutReason) {
        let endpoints = self.endpoints.borrow();
        let endpoint = endpoints.get(key).map_or("", |endpoint| endpoint.instance.id.as_str());
        self.cut_offs.record(self.clock.now(), reason, endpoint, &call.route.name);
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
}

/// Reads a body whose told length was accepted.
async fn collect(body: Result<AnswerReader, CutReason>) -> Result<Bytes, CutReason> {
    body?.collect().await
}

/// Waits for the first bytes of a stream.
async fn begin_stream(
    head: response::Parts, mut body: AnswerReader, checkout: Checkout,
) -> Result<Attempt, CutReason> {
    let first = body.next().await?.unwrap_or_default();
    Ok(Attempt::Streaming(Stream { head, first, body, checkout: Some(checkout) }))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}
