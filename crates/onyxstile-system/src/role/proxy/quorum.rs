//! Questions to a quorum of the storage machines that hold a key.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc;

use super::Proxy;
use crate::program::Quorum;
use crate::wire::{Request, Response};

/// How long one storage machine has to answer; one that returns within it may still be counted.
const MEMBER_TIMEOUT: Duration = Duration::from_millis(900);
/// Pause before a machine that failed is asked again.
const RETRY_DELAY: Duration = Duration::from_millis(120);

/// Answers that are still to come from the members of a key's groups.
pub(super) struct QuorumResponses {
    quorum: Quorum,
    receiver: mpsc::UnboundedReceiver<(Ipv4Addr, Response)>,
    accepted: HashMap<Ipv4Addr, Response>,
}

/// How a question to a quorum ended.
pub(super) enum QuorumOutcome {
    /// A quorum of each group has answered well.
    Quorum(Vec<Response>),
    /// A machine goes by a newer plan.
    Stale,
    /// Too few answered in time.
    TooFew,
}

impl Proxy {
    /// Asks all members of a key's groups; those that fail are asked again until `patience` is over.
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
                    // Whoever asked may have enough answers.
                    sender.send((member, response)).ok();
                    return;
                }
            }
        }
    }

    /// Writes to a quorum of a key's groups, by the newest plan; `request` makes the request for a plan's epoch.
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
                // The newer plan is on its way.
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
    /// The next answer.
    pub(super) async fn next(&mut self) -> Option<(Ipv4Addr, Response)> {
        self.receiver.recv().await
    }

    /// Counts an answer towards the quorums; true once each group has one.
    pub(super) fn count(&mut self, member: Ipv4Addr, response: Response) -> bool {
        self.accepted.insert(member, response);
        self.quorum.count(member)
    }

    /// Waits until a quorum of each group has answered.
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
