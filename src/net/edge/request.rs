//! Requests are read, and what they hand in goes to the owner.

use super::terms::{Terms, Unfit};
use super::*;

impl Edge {
    /// Reads a request. What is wrong with its head is told before its body has come: nobody has to wait for
    /// megabytes that are of no use.
    pub(super) async fn request(
        &self, reader: &mut Reader<TcpStream>, peer: IpAddr,
    ) -> Result<Request<'_>, HttpError> {
        let head = reader.head().await?;
        let framing = head.framing(Framing::Length(0))?;
        let version = head.first[2].as_str();
        if !matches!(version, "HTTP/1.1" | "HTTP/1.0") || framing == Framing::Chunked && version == "HTTP/1.0"
        {
            return Err(HttpError::Malformed("the version"));
        }
        let keep = head.keeps_alive(version);
        let reply = match (head.first[0].as_str(), head.first[1].as_str()) {
            ("POST", _) => {
                let length = if let Framing::Length(length) = framing { Some(length as u64) } else { None };
                let (terms, held) = match self.terms(&head, peer, length) {
                    Ok(terms) => terms,
                    Err(Unfit::Malformed(what)) => return Err(HttpError::Malformed(what)),
                    Err(Unfit::Limited(class, reply)) => {
                        self.parts.figures.ended(&class, Fate::Refused);
                        return Ok(Request::Answered(reply));
                    }
                    Err(Unfit::Answered(reply)) => return Ok(Request::Answered(reply)),
                };
                let most = if let Framing::Length(length) = framing { length } else { BODY_MAX };
                if self.bodies.get() + most > self.parts.limits.bodies {
                    self.parts.figures.ended(&terms.class, Fate::Refused);
                    return Ok(Request::Answered(Reply::turned_away()));
                }
                self.bodies.set(self.bodies.get() + most);
                let room = Room(&self.bodies, most);
                if head.expects_continue() {
                    let go_on = reader.get_mut().write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
                    go_on.await.map_err(HttpError::Io)?;
                }
                let body = reader.body(framing).await?;
                let (offer, verdict) = self.offer(terms, body);
                return Ok(Request::Whole { offer, verdict, keep, room, held });
            }
            ("GET", "/health/ready") if self.ready() => Reply::new(200, "OK"),
            ("GET", "/health/ready") => Reply::new(503, "Service Unavailable"),
            ("GET", "/health/live") => Reply::new(200, "OK"),
            ("GET", _) => Reply::closing(404, "Not Found"),
            _ => Reply::closing(405, "Method Not Allowed"),
        };
        // Nothing that is asked so has a body; one that has is not read.
        let close = reply.close || !keep || framing != Framing::Length(0);
        Ok(Request::Answered(Reply { close, ..reply }))
    }

    fn offer(&self, terms: Terms, body: Vec<u8>) -> (Submission, oneshot::Receiver<Vec<Verdict>>) {
        let Terms { class, tenant, deadline, destination, id, key, routed, repeat } = terms;
        let (reply, verdict) = oneshot::channel();
        let items = vec![(destination, Rc::new(Parcel { id, key, mail: None, routed, body: body.into() }))];
        (Submission { class, tenant, deadline, items, repeat, together: false, reply }, verdict)
    }

    pub(super) async fn hand_in(&self, offer: Submission, verdict: oneshot::Receiver<Vec<Verdict>>) -> Reply {
        // Guards the answer's time: a full queue is an answer in itself.
        if let Err(
            TrySendError::Full(OwnerMessage::Submission(offer))
            | TrySendError::Closed(OwnerMessage::Submission(offer)),
        ) = self.parts.owner.try_send(OwnerMessage::Submission(offer))
        {
            self.parts.figures.ended(&offer.class, Fate::Refused);
            return Reply::new(503, "Service Unavailable").after(COME_BACK);
        }
        match verdict.await.ok().and_then(|v| v.first().copied()) {
            Some(Verdict::Accepted) => Reply::new(202, "Accepted"),
            Some(Verdict::Rejected(wait)) => Reply::new(429, "Too Many Requests").after(wait),
            // Its clients are better off elsewhere from now on.
            Some(Verdict::Ending(wait)) => Reply::closing(429, "Too Many Requests").after(wait),
            Some(Verdict::Failed) => Reply::new(500, "Internal Server Error"),
            Some(Verdict::Unknown(what)) => {
                tracing::debug!("a request was turned away: {what}");
                Reply::closing(400, "Bad Request")
            }
            Some(Verdict::Full) | None => Reply::new(503, "Service Unavailable").after(COME_BACK),
        }
    }
}

/// A request as it was read.
pub(super) enum Request<'a> {
    /// It hands in a flow.
    Whole {
        offer: Submission,
        verdict: oneshot::Receiver<Vec<Verdict>>,
        /// Whether its connection stays open.
        keep: bool,
        /// Its body's, until the owner has decided: from then on the journal bounds what is held.
        room: Room<'a>,
        /// Its places in limits, as long.
        held: Option<Held>,
    },
    /// It has its answer.
    Answered(Reply),
}
