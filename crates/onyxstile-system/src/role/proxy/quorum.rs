//! Requests to a quorum of the storage machines that hold a key.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc;

use super::Proxy;
use crate::program::Quorum;
use crate::wire::{Request, Response};

/// Timeout of a request to one storage machine. A machine that restarts within it may still be counted.
const MEMBER_TIMEOUT: Duration = Duration::from_millis(900);
/// Delay before a failed request to a machine is retried.
const RETRY_DELAY: Duration = Duration::from_millis(120);

/// Pending responses from the members of a key's groups.
pub(super) struct QuorumResponses {
    quorum: Quorum,
    receiver: mpsc::UnboundedReceiver<(Ipv4Addr, Response)>,
    accepted: HashMap<Ipv4Addr, Response>,
}

/// Outcome of a request to a quorum.
pub(super) enum QuorumOutcome {
    /// A quorum of each group has responded successfully.
    Quorum(Vec<Response>),
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
        let members = quorum.members();
        let (sender, receiver) = mpsc::unbounded_channel();
        let until = tokio::time::Instant::now() + timeout;
        let request = Rc::new(request);
        for member in members {
            let (proxy, request, sender) = (self.clone(), request.clone(), sender.clone());
            tokio::task::spawn_local(
                async move { proxy.request_member(member, &request, sender, until).await },
            );
        }
        QuorumResponses { quorum, receiver, accepted: HashMap::new() }
    }

    async fn request_member(
        &self, member: Ipv4Addr, request: &Request, sender: mpsc::UnboundedSender<(Ipv4Addr, Response)>,
        until: tokio::time::Instant,
    ) {
        let to = std::net::SocketAddrV4::new(member, self.settings.borrow().peer_port());
        while tokio::time::Instant::now() < until {
            match self.client.call(to, request, MEMBER_TIMEOUT).await {
                Ok(Response::Refused) | Err(_) => tokio::time::sleep(RETRY_DELAY).await,
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
        let until = tokio::time::Instant::now() + timeout;
        loop {
            let changed = self.plan_changed.notified();
            let epoch = self.plan.borrow().epoch;
            let left = until.saturating_duration_since(tokio::time::Instant::now());
            if left.is_zero() {
                return None;
            }
            let reached = if epoch == 0 {
                QuorumOutcome::Stale
            } else {
                tokio::time::timeout_at(until, self.request_members(key, request(epoch), left).quorum())
                    .await
                    .unwrap_or(QuorumOutcome::TooFew)
            };
            match reached {
                QuorumOutcome::Quorum(responses) => return Some(responses),
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
    pub(super) async fn quorum(mut self) -> QuorumOutcome {
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
