//! Probes.

use super::answer::probed;
use super::call::Stage;
use super::*;

impl Upstream {
    /// Probes a real server: one of the platform by its report, one that is `foreign` to it by the request that
    /// asks for nothing (RFC 9110, 9.3.7).
    pub fn probe(&self, server: ServerNo, address: SocketAddr, foreign: bool) {
        let this = self.clone();
        tokio::task::spawn_local(async move {
            let asked = async {
                let (connection, _) = this.connection(server, address).await?;
                let what = if foreign { "OPTIONS *" } else { "GET /stats" };
                let request = format!("{what} HTTP/1.1\r\nHost: {address}\r\n\r\n");
                let stage = Cell::new(Stage::Unsent);
                let connection = this.write(connection, request.as_bytes(), &stage).await?;
                this.answer(server, connection, &stage, None, true).await
            };
            // Another process asks for itself.
            let asked = async {
                tokio::select! {
                    asked = asked => asked,
                    () = this.0.parking.opened() => Err(Outcome::Void.into()),
                }
            };
            let (outcome, report) = match timeout(this.0.dial_timeout, asked).await {
                // What it makes of such a request is its own matter: it answers.
                Ok(Ok((..500, ..))) if foreign => (Outcome::Success, None),
                Ok(Ok((status, head, body))) => probed(status, head.as_ref(), &body),
                Ok(Err(Cut::Ended(outcome))) => (outcome, None),
                Ok(Err(Cut::Parked(_))) => (Outcome::Void, None),
                Err(_) => (Outcome::TimedOut, None),
            };
            tracing::debug!(server = server.0, ?outcome, "probed");
            let _ = this.0.owner.send(ToOwner::Probed(server, outcome, report)).await;
        });
    }
}
