//! Answers are read, and connections kept that can be used again.

use super::answer::{Answer, Said};
use super::call::{Cut, Stage};
use super::*;
use crate::net::http::{Framing, HttpError};
use crate::net::socket::{Unread, unread};
use std::pin::pin;
use tokio::time::timeout;

/// How long the rest of an answer may take once its first line is there; then the connection is closed.
const TAIL_TIME: Duration = Duration::from_millis(500);
/// How much of that a delivered flow waits for the report that the answer may carry, and its call for the
/// answer's body.
const REPORT_TIME: Duration = Duration::from_millis(100);
const BODY_TIME: Duration = Duration::from_millis(5);
/// Answers of the 1xx kind before the real one, at most.
const EARLY_MAX: usize = 16;
/// How long a call that was given up is still listened to: what was under way when the other side hears of the end comes
/// within a round trip, and the slowest link has less than this.
const LISTEN: Duration = Duration::from_millis(500);
/// Calls that are listened to so, at most. Without a bound each would hold a descriptor.
const LISTENED: usize = 32;

/// What an answer is read for.
#[derive(Debug, Clone, Copy)]
pub(super) struct Asked<'a> {
    pub(super) server: ServerNo,
    /// To a call of one flow.
    pub(super) alone: bool,
    /// Where the connection may have to be left.
    pub(super) parking: Option<&'a Parking>,
    /// Whether it may be used again.
    pub(super) keep: bool,
}

impl Upstream {
    /// Ends the sending on the connection of a call that was given up, which is what tells the other side, and listens on
    /// for what had been under way.
    ///
    /// Guards told waits: one that crosses the end of its call binds all the same. Closed at once, the connection took it
    /// along, and other calls went there within the wait.
    pub(super) fn listen_on(&self, server: ServerNo, mut connection: Reader<TcpStream>, alone: bool) {
        let listened = self.0.listened.get();
        if listened >= LISTENED {
            return;
        }
        self.0.listened.set(listened + 1);
        let this = self.clone();
        tokio::task::spawn_local(async move {
            let asked = Asked { server, alone, parking: None, keep: false };
            let listen = async {
                connection.get_mut().shutdown().await.map_err(|_| Outcome::Broken)?;
                this.answer(asked, connection, &Cell::new(Stage::Sent), std::future::pending()).await
            };
            if let Ok(Ok((429, head, _))) = timeout(LISTEN, listen).await
                && let Outcome::Overloaded { wait: Some(wait) } = Answer::read(429, head.as_ref()).outcome
            {
                tracing::debug!(server = server.0, ?wait, "told to wait by a call given up");
                let wait = Outcome::Overloaded { wait: Some(wait) };
                let _ = this.0.owner.send(OwnerMessage::Probed(server, wait, None)).await;
            }
            this.0.listened.set(this.0.listened.get() - 1);
        });
    }

    /// Reads the answer to what was written; the connection is kept if it can be used again. With a `parking`, the
    /// connection may have to be left there as long as nothing of the answer has come.
    ///
    /// Guards against spoilt answers. One to a call of one flow (`alone`) whose first line says 200 has delivered,
    /// whatever comes after it. Any other counts for what it says only if it comes whole and can be read: the call has run, and a
    /// spoilt 503 proves nothing.
    ///
    /// `given_up` returns once nobody waits any more, and why: the connection is given back if nothing of the answer has
    /// come. What has come by then counts, though the runtime may not have heard of it.
    pub(super) async fn answer(
        &self, asked: Asked<'_>, mut connection: Reader<TcpStream>, stage: &Cell<Stage>,
        given_up: impl Future<Output = Outcome>,
    ) -> Result<Said, Cut> {
        let Asked { server, alone, parking, keep } = asked;
        let mut given_up = pin!(given_up);
        let (mut others, mut late) = (0, false);
        let status = loop {
            let parked = async {
                match parking {
                    Some(parking) => parking.opened().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                begun = connection.begun() => begun.map_err(|_| Outcome::Broken)?,
                () = parked, if !late => return Err(Cut::Parked(Some(connection))),
                outcome = &mut given_up, if !late => {
                    if unread(connection.get_mut()) != Unread::Bytes {
                        return Err(Cut::GivenUp(outcome, connection));
                    }
                    late = true;
                    continue;
                }
            }
            // What has begun and does not go on is noise, and holds its slot no longer than that.
            let line = timeout(TAIL_TIME, connection.first_line()).await;
            let status = line.ok().and_then(Result::ok).ok_or(Outcome::Broken)?;
            if !(100..200).contains(&status) {
                break status;
            }
            let head = timeout(TAIL_TIME, connection.head()).await;
            others += 1;
            if others > EARLY_MAX || !matches!(head, Ok(Ok(_))) {
                return Err(Outcome::Broken.into());
            }
        };
        if status != 200 || !alone {
            let whole = async {
                let head = connection.head().await?;
                // RFC 9112, 6.3: a 204 and a 304 end with their heads.
                let ends = matches!(status, 204 | 304);
                let framing = if ends { Framing::Length(0) } else { head.framing(Framing::UntilEnd)? };
                let body = connection.body(framing).await?;
                Ok::<_, HttpError>((
                    framing != Framing::UntilEnd && head.keeps_alive(&head.first[0]),
                    head,
                    body,
                ))
            };
            let Ok(Ok((again, head, body))) = timeout(TAIL_TIME, whole).await else {
                return Err(Outcome::Broken.into());
            };
            if again && keep {
                self.0.idle.put(server, connection);
            }
            if status == 200 {
                stage.set(Stage::Delivered(Instant::now()));
            }
            return Ok((status, Some(head), body));
        }
        stage.set(Stage::Delivered(Instant::now()));
        let Ok(Ok(head)) = timeout(REPORT_TIME, connection.head()).await else {
            return Ok((status, None, Vec::new()));
        };
        // The rest only says whether the connection can be used again: the call does not wait for it.
        let (this, framing, keeps) =
            (self.clone(), head.framing(Framing::UntilEnd), head.keeps_alive(&head.first[0]));
        let mut rest = Box::pin(async move {
            let framing = framing.ok().filter(|f| keep && keeps && *f != Framing::UntilEnd)?;
            let body = connection.body(framing).await.ok()?;
            this.0.idle.put(server, connection);
            Some(body)
        });
        if let Ok(body) = timeout(BODY_TIME, &mut rest).await {
            return Ok((status, Some(head), body.unwrap_or_default()));
        }
        tokio::task::spawn_local(timeout(TAIL_TIME, rest));
        Ok((status, Some(head), Vec::new()))
    }
}
