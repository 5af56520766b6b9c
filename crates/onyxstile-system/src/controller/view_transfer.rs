//! Machines that lack a view are sent it, and whoever lacks one asks.

use std::net::Ipv4Addr;
use std::time::Duration;

use super::Controller;
use crate::clock::Instant;
use crate::control::Message;

/// A machine that lacks the view is sent it again after this time, and a second more for each so many bytes of state.
const VIEW_RESEND_INTERVAL: Duration = Duration::from_millis(100);
const VIEW_BYTES_PER_SECOND: u64 = 4 * 1024 * 1024;

impl Controller {
    /// Whether `view` is the one after the installed one; helps whoever is behind, and asks for help otherwise.
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

    /// Sends the installed view to one that lacks it, not more often than it can be taken in.
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
