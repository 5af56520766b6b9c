//! Transfer of installed views: sent to machines that lack them, and requested when this machine lacks one.

use std::net::Ipv4Addr;
use std::time::Duration;

use super::Controller;
use crate::clock::Instant;
use crate::control::Message;

/// Minimum interval between two transfers of a view to one machine; extended by one second for each
/// `VIEW_BYTES_PER_SECOND` bytes of state.
const VIEW_RESEND_INTERVAL: Duration = Duration::from_millis(100);
const VIEW_BYTES_PER_SECOND: u64 = 4 * 1024 * 1024;

impl Controller {
    /// Whether `view` directly follows the installed one. Sends the installed view to a sender that is behind, and a
    /// status message, which requests the missing view, to a sender that is ahead.
    pub(super) fn is_next(&mut self, now: Instant, from: Ipv4Addr, view: u64) -> bool {
        let installed = self.installed();
        if view <= installed {
            self.send_view(now, from);
        } else if view > installed + 1 || installed == 0 {
            let message = self.status();
            self.send(from, message);
        }
        installed > 0 && view == installed + 1
    }

    /// Sends the installed view to a machine that lacks it, no more often than the machine can receive it.
    pub(super) fn send_view(&mut self, now: Instant, to: Ipv4Addr) {
        let Some(view) = self.durable.view.clone() else { return };
        let pause =
            VIEW_RESEND_INTERVAL + Duration::from_millis(view.state.bytes() * 1000 / VIEW_BYTES_PER_SECOND);
        if self.view_sent_at.get(&to).is_some_and(|view_sent_at| now.since(*view_sent_at) < pause) {
            return;
        }
        self.view_sent_at.insert(to, now);
        self.send(to, Message::Installed(view));
    }
}
