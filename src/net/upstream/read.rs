//! Answers are read, and connections kept that can be used again.

use super::answer::Said;
use super::call::{Cut, Stage};
use super::*;
use crate::net::http::{Framing, HttpError};
use tokio::time::timeout;

/// How long the rest of an answer may take once its first line is there; then the connection is closed.
const TAIL_TIME: Duration = Duration::from_millis(500);
/// How much of that a delivered flow waits for the report that the answer may carry, and its call for the
/// answer's body.
const REPORT_TIME: Duration = Duration::from_millis(100);
const BODY_TIME: Duration = Duration::from_millis(5);
/// Answers of the 1xx kind before the real one, at most.
const EARLY_MAX: usize = 16;
impl Upstream {
    /// Reads the answer to what was written; the connection is kept if it can be used again. With a `parking`, the
    /// connection may have to be left there as long as nothing of the answer has come.
    ///
    /// Guards against spoilt answers. One to a call of one flow (`alone`) whose first line says 200 has delivered,
    /// whatever comes after it. Any other counts for what it says only if it comes whole and can be read: the call has run, and a
    /// spoilt 503 proves nothing.
    pub(super) async fn answer(
        &self, server: ServerNo, mut connection: Reader<TcpStream>, stage: &Cell<Stage>,
        parking: Option<&Parking>, alone: bool,
    ) -> Result<Said, Cut> {
        let mut others = 0;
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
                () = parked => return Err(Cut::Parked(Some(connection))),
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
            if again {
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
            let framing = framing.ok().filter(|f| keeps && *f != Framing::UntilEnd)?;
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
