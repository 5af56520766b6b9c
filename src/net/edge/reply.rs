//! Answers to clients.

use super::*;

/// The least that a client over a limit is asked to stay away for.
const LIMITED_LEAST: Duration = Duration::from_millis(100);

/// What a fault in a request is answered with, if there is anyone to answer.
pub(super) fn fault(e: &HttpError) -> Option<Reply> {
    Some(match e {
        HttpError::Malformed(what) => {
            tracing::debug!("an edge connection fails: {what}");
            Reply::closing(400, "Bad Request")
        }
        HttpError::HeadTooLarge => Reply::closing(431, "Request Header Fields Too Large"),
        HttpError::BodyTooLarge => Reply::closing(413, "Content Too Large"),
        HttpError::Ended | HttpError::Closed | HttpError::Io(_) => return None,
    })
}

#[derive(Debug)]
pub(super) struct Reply {
    pub(super) status: u16,
    pub(super) reason: &'static str,
    pub(super) after: Option<Duration>,
    /// What a moved request has to ask for.
    pub(super) location: Option<String>,
    pub(super) close: bool,
}

impl Reply {
    pub(super) fn new(status: u16, reason: &'static str) -> Self {
        Reply { status, reason, after: None, location: None, close: false }
    }

    pub(super) fn closing(status: u16, reason: &'static str) -> Self {
        Reply { close: true, ..Reply::new(status, reason) }
    }

    /// There is no place, or no time, for a request.
    pub(super) fn turned_away() -> Self {
        Reply::closing(503, "Service Unavailable").after(COME_BACK)
    }

    /// The answer to a request that the routing table lets go nowhere. Its body is not read, so the connection
    /// closes.
    pub(super) fn no_way(no: NoWay) -> Self {
        match no {
            NoWay::Limited(after) => Reply::closing(429, "Too Many Requests").after(after.max(LIMITED_LEAST)),
            NoWay::Moved(target) => {
                Reply { location: Some(target), ..Reply::closing(301, "Moved Permanently") }
            }
            NoWay::Status(status) => Reply::closing(status, "Not Taken"),
        }
    }

    pub(super) fn after(self, wait: Duration) -> Self {
        Reply { after: Some(wait).filter(|w| !w.is_zero()), ..self }
    }

    pub(super) fn bytes(&self) -> Vec<u8> {
        let mut text = format!("HTTP/1.1 {} {}\r\nContent-Length: 0\r\n", self.status, self.reason);
        if let Some(after) = self.after {
            text.push_str(&format!("Retry-After: {:.3}\r\n", after.as_secs_f64()));
        }
        if let Some(location) = &self.location {
            text.push_str(&format!("Location: {location}\r\n"));
        }
        if self.close {
            text.push_str("Connection: close\r\n");
        }
        text.push_str("\r\n");
        text.into_bytes()
    }
}
