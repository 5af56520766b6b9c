//! Probes.

use super::answer::probed;
use super::call::Stage;
use super::read::Asked;
use super::*;

impl Upstream {
    /// Probes a real server: one of the platform by its report, one that is `foreign` to it by the request that
    /// asks for nothing (RFC 9110, 9.3.7).
    pub fn probe(&self, server: ServerNo, address: SocketAddr, foreign: bool) -> Switch {
        let (this, switch) = (self.clone(), Switch::default());
        let its = switch.clone();
        tokio::task::spawn_local(async move {
            let asked = async {
                let (connection, _) = this.connection(server, address).await?;
                if its.held() {
                    // Guards drains and told waits: this connection came up after the news.
                    this.0.idle.put(server, connection);
                    return Err(Outcome::Void.into());
                }
                let what = if foreign { "OPTIONS *" } else { "GET /stats" };
                let request = format!("{what} HTTP/1.1\r\nHost: {address}\r\n\r\n");
                let stage = Cell::new(Stage::Unsent);
                let connection = this.write(connection, request.as_bytes(), &stage).await?;
                let asked = Asked { server, alone: true, parking: None, keep: true };
                this.answer(asked, connection, &stage, std::future::pending()).await
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
                Ok(Err(Cut::Parked(_) | Cut::GivenUp(..))) => (Outcome::Void, None),
                Err(_) => (Outcome::TimedOut, None),
            };
            tracing::debug!(server = server.0, ?outcome, "probed");
            let _ = this.0.owner.send(OwnerMessage::Probed(server, outcome, report)).await;
        });
        switch
    }
}
