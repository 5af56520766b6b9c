//! What a controller does as time passes: it says how far it is, forgets what is over, and sends again.

use std::net::Ipv4Addr;
use std::time::Duration;

use super::Controller;
use crate::clock::Instant;
use crate::control::{ElectorId, Outcome};

/// How often a controller says how far it is.
const STATUS_INTERVAL: Duration = Duration::from_millis(200);

impl Controller {
    /// Does what is due at `now`.
    pub(super) fn tick(&mut self, now: Instant) {
        if now >= self.next_status {
            self.next_status = now + STATUS_INTERVAL;
            self.broadcast_status();
        }
        self.expire(now);
        self.begin_writes(now);
        self.resend(now);
        self.maintain_view(now);
    }

    fn broadcast_status(&mut self) {
        let message = self.status();
        let mut peers: Vec<Ipv4Addr> = self.live.iter().map(ElectorId::address).collect();
        if let Some(view) = &self.durable.view {
            peers.extend(view.electors.iter().map(ElectorId::address));
        }
        peers.sort_unstable();
        peers.dedup();
        peers.retain(|peer| *peer != self.id.address());
        for to in peers {
            self.send(to, message.clone());
        }
    }

    fn expire(&mut self, now: Instant) {
        self.queue.retain(|(_, _, expires)| *expires > now);
        self.pending_confirmations.retain(|pending| pending.expires > now);
        let expired: Vec<u64> = self
            .forwarded
            .iter()
            .filter(|(_, expires)| **expires <= now)
            .map(|(number, _)| *number)
            .collect();
        for number in expired {
            self.finish(self.token(number), Outcome::Unknown);
        }
    }
}
