//! Feed from the agent: configuration, storage plan and endpoints. Older versions never replace newer ones.

use std::rc::Rc;

use super::{DestinationKey, Proxy};
use crate::configuration;
use crate::role::rpc::ResponseFuture;
use crate::wire::{Feed, PublishedState, Request, Response};

impl Proxy {
    /// Handles a request of the agent.
    pub(super) fn handle_agent_request(self: Rc<Proxy>, request: Request) -> ResponseFuture {
        let response = match request {
            Request::Feed(feed) => {
                self.apply_feed(feed);
                Response::FeedAccepted {
                    incarnation: self.incarnation,
                    evidence: self.endpoints.borrow().evidence(self.clock.now()),
                }
            }
            _ => Response::Refused,
        };
        Box::pin(std::future::ready(response))
    }

    fn apply_feed(&self, feed: Feed) {
        if let Some(published) = feed.state {
            self.apply_state(published);
        }
        if let Some(relays) = feed.relays {
            self.endpoints.borrow_mut().set_relays(relays);
        }
        let now = self.clock.now();
        for instance in feed.endpoints {
            let leaving = self.endpoints.borrow_mut().update(now, instance);
            if let Some(key) = leaving {
                self.pools.drop_idle(key);
            }
        }
        self.endpoints.borrow_mut().merge_evidence(now, &feed.evidence);
        self.remove_expired_endpoints();
        if feed.is_fresh && self.configuration.borrow().is_some() {
            self.phase.mark_ready(now);
        }
    }

    fn remove_expired_endpoints(&self) {
        for key in self.endpoints.borrow_mut().forget(self.clock.now()) {
            self.pools.drop_idle(key);
            self.destinations.borrow_mut().remove(&DestinationKey::Endpoint(key));
        }
    }

    fn apply_state(&self, published: PublishedState) {
        if published.sequence <= self.sequence.get() {
            return;
        }
        if let Some(stored) = &published.configuration
            && !self.apply_configuration(stored.revision, &stored.body)
        {
            return;
        }
        self.sequence.set(published.sequence);
        *self.plan.borrow_mut() = published.storage;
        self.plan_changed.notify_waiters();
    }

    fn apply_configuration(&self, revision: u64, body: &[u8]) -> bool {
        let is_newer = self.configuration.borrow().as_ref().is_none_or(|held| held.revision < revision);
        if !is_newer {
            return true;
        }
        match configuration::parse(body) {
            Ok(parsed) => {
                log::info!("configuration {revision} applied");
                self.endpoints.borrow_mut().set_limits(parsed.connection_limits());
                *self.configuration.borrow_mut() = Some(Rc::new(parsed));
                true
            }
            Err(error) => {
                // Unexpected: the controllers accept a configuration only after the same parser has accepted it.
                log::error!("invalid configuration {revision}: {error}");
                false
            }
        }
    }
}
