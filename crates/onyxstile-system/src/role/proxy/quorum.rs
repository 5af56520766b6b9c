//! Requests to a quorum of the storage machines that hold a key.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc;

use super::Proxy;
use crate::program::{Quorum, Record, WriteQuorum};
use crate::wire::{Request, Response};

/// Timeout of a request to one storage machine. A machine that restarts within it may still be counted.
const MEMBER_TIMEOUT: Duration = Duration::from_millis(900);
/// Delay before a failed request to a machine is retried. It doubles with each refusal: a machine that refuses is overloaded.
const RETRY_DELAY: Duration = Duration::from_millis(120);

/// Pending responses from the members of a key's groups.
pub(super) struct QuorumResponses {
    quorum: Quorum,
    receiver: mpsc::UnboundedReceiver<(Ipv4Addr, Response)>,
    accepted: HashMap<Ipv4Addr, Response>,
}

/// Outcome of a request to a quorum.
pub(super) enum QuorumOutcome<T> {
    /// A quorum of each group has responded successfully.
    Quorum(T),
    /// A machine uses a newer storage plan.
    Stale,
    /// Too few members responded in time.
    TooFew,
}

impl Proxy {
    /// Sends a request to all members of a key's groups and retries failed ones until `timeout` has elapsed.
    pub(super) fn request_members(
        self: &Rc<Proxy>, key: &str, request: Request, timeout: Duration,
    ) -> QuorumResponses {
        let quorum = Quorum::new(&self.plan.borrow(), key, self.tolerance());
        let request = Rc::new(request);
        let requests = quorum.members().into_iter().map(|member| (member, request.clone())).collect();
        QuorumResponses { quorum, receiver: self.send_requests(requests, timeout), accepted: HashMap::new() }
    }

    /// Sends a request to each machine and retries failed ones until `timeout` has elapsed.
    fn send_requests(
        self: &Rc<Proxy>, requests: Vec<(Ipv4Addr, Rc<Request>)>, timeout: Duration,
    ) -> mpsc::UnboundedReceiver<(Ipv4Addr, Response)> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let until = tokio::time::Instant::now() + timeout;
        for (member, request) in requests {
            let (proxy, sender) = (self.clone(), sender.clone());
            tokio::task::spawn_local(
                async move { proxy.request_member(member, &request, sender, until).await },
            );
        }
        receiver
    }

    async fn request_member(
        &self, member: Ipv4Addr, request: &Request, sender: mpsc::UnboundedSender<(Ipv4Addr, Response)>,
        until: tokio::time::Instant,
    ) {
        let to = std::net::SocketAddrV4::new(member, self.settings.borrow().peer_port());
        let mut retry_delay = RETRY_DELAY;
        while tokio::time::Instant::now() < until {
            match self.client.call(to, request, MEMBER_TIMEOUT).await {
                Ok(Response::Refused) => {
                    tokio::time::sleep(retry_delay).await;
                    retry_delay *= 2;
                }
                Err(_) => tokio::time::sleep(RETRY_DELAY).await,
                Ok(response) => {
                    // The receiver is gone if the caller already has enough responses.
                    sender.send((member, response)).ok();
                    return;
                }
            }
        }
    }

    /// Writes to a quorum of a key's groups under the newest storage plan; `request` builds the request for a plan's epoch.
    /// Returns `None` if no quorum responds within `timeout`.
    pub(super) async fn write_quorum(
        self: &Rc<Proxy>, key: &str, request: impl Fn(u64) -> Request, timeout: Duration,
    ) -> Option<Vec<Response>> {
        let write = async |epoch, left| self.request_members(key, request(epoch), left).quorum().await;
        self.with_newest_plan(timeout, write).await
    }

    /// Writes records, each to a quorum of its own groups, with one request per machine. Returns false if a record has no
    /// quorum within `timeout`.
    pub(super) async fn write_records(self: &Rc<Proxy>, records: &[Record], timeout: Duration) -> bool {
        let write = async |epoch, left| self.write_assigned(epoch, records, left).await;
        self.with_newest_plan(timeout, write).await.is_some()
    }

    async fn write_assigned(
        self: &Rc<Proxy>, epoch: u64, records: &[Record], timeout: Duration,
    ) -> QuorumOutcome<()> {
        let mut quorum = WriteQuorum::new(&self.plan.borrow(), records, self.tolerance());
        let requests = quorum
            .assignments()
            .into_iter()
            .map(|(member, records)| (member, Rc::new(Request::Write { epoch, records })))
            .collect();
        let mut responses = self.send_requests(requests, timeout);
        while let Some((member, response)) = responses.recv().await {
            match response {
                Response::Stale(_) => return QuorumOutcome::Stale,
                Response::Done if quorum.count(member) => return QuorumOutcome::Quorum(()),
                _ => {}
            }
        }
        QuorumOutcome::TooFew
    }

    /// Runs `attempt` with the epoch of the newest storage plan and the time left, again for each newer plan that a machine
    /// asks for. Returns `None` if there is no quorum within `timeout`.
    async fn with_newest_plan<T>(
        &self, timeout: Duration, attempt: impl AsyncFn(u64, Duration) -> QuorumOutcome<T>,
    ) -> Option<T> {
        let until = tokio::time::Instant::now() + timeout;
        loop {
            let changed = self.plan_changed.notified();
            let epoch = self.plan.borrow().epoch;
            let left = until.saturating_duration_since(tokio::time::Instant::now());
            if left.is_zero() {
                return None;
            }
            let outcome = if epoch == 0 {
                QuorumOutcome::Stale
            } else {
                tokio::time::timeout_at(until, attempt(epoch, left)).await.unwrap_or(QuorumOutcome::TooFew)
            };
            match outcome {
                QuorumOutcome::Quorum(result) => return Some(result),
                // Waits for the newer plan to arrive with the feed.
                QuorumOutcome::Stale if self.plan.borrow().epoch == epoch => {
                    tokio::time::timeout_at(until, changed).await.ok()?;
                }
                QuorumOutcome::Stale => {}
                QuorumOutcome::TooFew => return None,
            }
        }
    }
}

impl QuorumResponses {
    /// Next response; `None` if no more will come.
    pub(super) async fn next(&mut self) -> Option<(Ipv4Addr, Response)> {
        self.receiver.recv().await
    }

    /// Counts a response towards the quorums; true once each group has a quorum.
    pub(super) fn count(&mut self, member: Ipv4Addr, response: Response) -> bool {
        self.accepted.insert(member, response);
        self.quorum.count(member)
    }

    /// Waits until a quorum of each group has responded.
    pub(super) async fn quorum(mut self) -> QuorumOutcome<Vec<Response>> {
        while let Some((member, response)) = self.next().await {
            if matches!(response, Response::Stale(_)) {
                return QuorumOutcome::Stale;
            }
            if self.count(member, response) {
                return QuorumOutcome::Quorum(self.accepted.into_values().collect());
            }
        }
        QuorumOutcome::TooFew
    }
}
