//! Delivery status notifications (RFC 3464), and the dates that messages carry.

use std::time::Duration;

/// Bytes of the original header that come back with a notification, at most.
const HEADER_MAX: usize = 1024;

/// What a notification tells.
#[derive(Debug)]
pub struct Report<'a> {
    /// The relay's name.
    pub hostname: &'a str,
    /// The notification's own id.
    pub id: &'a str,
    /// Whom it goes to.
    pub sender: &'a str,
    /// Who did not get the message, as far as is known.
    pub recipient: &'a str,
    /// The status code, such as 4.4.7.
    pub status: &'a str,
    /// What happened, in words.
    pub reason: &'a str,
    /// What the real server said last, if it did.
    pub diagnostic: Option<&'a str>,
    /// The message that this is about.
    pub original: &'a [u8],
    /// Unix time.
    pub now: Duration,
}

impl Report<'_> {
    /// The whole message.
    pub fn message(&self) -> Vec<u8> {
        let Report { hostname, id, sender, recipient, status, reason, .. } = self;
        let border = format!("={id}=");
        let diagnostic = self.diagnostic.map_or(String::new(), |d| {
            let plain: String =
                d.chars().map(|c| if (' '..='~').contains(&c) { c } else { '?' }).take(400).collect();
            format!("Diagnostic-Code: smtp; {plain}\r\n")
        });
        let mut text = format!(
            "From: Mail delivery <postmaster@{hostname}>\r\n\
             To: <{sender}>\r\n\
             Subject: Undelivered message\r\n\
             Date: {date}\r\n\
             Message-ID: <{id}@{hostname}>\r\n\
             Auto-Submitted: auto-replied\r\n\
             MIME-Version: 1.0\r\n\
             Content-Type: multipart/report; report-type=delivery-status;\r\n boundary=\"{border}\"\r\n\
             \r\n\
             --{border}\r\n\
             Content-Type: text/plain; charset=us-ascii\r\n\
             \r\n\
             The message to <{recipient}> has been given up.\r\n{reason}\r\n\
             \r\n\
             --{border}\r\n\
             Content-Type: message/delivery-status\r\n\
             \r\n\
             Reporting-MTA: dns; {hostname}\r\n\
             \r\n\
             Final-Recipient: rfc822; {recipient}\r\n\
             Action: failed\r\n\
             Status: {status}\r\n\
             {diagnostic}\
             \r\n\
             --{border}\r\n\
             Content-Type: text/rfc822-headers\r\n\
             \r\n",
            date = date(self.now),
        )
        .into_bytes();
        text.extend_from_slice(header(self.original));
        text.extend_from_slice(format!("\r\n--{border}--\r\n").as_bytes());
        text
    }
}

/// The header of a message, whole lines only; 8-bit lines and what follows them stay out.
fn header(message: &[u8]) -> &[u8] {
    let mut end = 0;
    for line in message.split_inclusive(|b| *b == b'\n') {
        if line == b"\r\n" || end + line.len() > HEADER_MAX || !line.is_ascii() {
            break;
        }
        end += line.len();
    }
    &message[..end]
}

/// A date as RFC 5322 wants it, in UTC.
pub fn date(unix: Duration) -> String {
    let (days, second) = (unix.as_secs() / 86_400, unix.as_secs() % 86_400);
    // Days since 1 March of the year 0, in eras of 400 years.
    let z = days + 719_468;
    let (era, day) = (z / 146_097, z % 146_097);
    let year = (day - day / 1460 + day / 36_524 - day / 146_096) / 365;
    let of_year = day - (365 * year + year / 4 - year / 100);
    let month = (5 * of_year + 2) / 153;
    let day = of_year - (153 * month + 2) / 5 + 1;
    let (month, year) =
        (if month < 10 { month + 3 } else { month - 9 }, year + era * 400 + u64::from(month >= 10));
    let months = ["Jan", "Feb", "Mar", "Apr", "May", "Jun", "Jul", "Aug", "Sep", "Oct", "Nov", "Dec"];
    let weekday = ["Thu", "Fri", "Sat", "Sun", "Mon", "Tue", "Wed"][(days % 7) as usize];
    let (hour, minute, second) = (second / 3600, second / 60 % 60, second % 60);
    let month = months[month as usize - 1];
    format!("{weekday}, {day:02} {month} {year} {hour:02}:{minute:02}:{second:02} +0000")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn dates_are_those_of_the_calendar() {
        for (unix, text) in [
            (0, "Thu, 01 Jan 1970 00:00:00 +0000"),
            (951_827_696, "Tue, 29 Feb 2000 12:34:56 +0000"),
            (1_735_689_599, "Tue, 31 Dec 2024 23:59:59 +0000"),
            (4_107_542_400, "Mon, 01 Mar 2100 00:00:00 +0000"),
        ] {
            assert_eq!(date(Duration::from_secs(unix)), text);
        }
    }

    #[test]
    fn a_report_is_a_message_with_bounded_lines_and_parts() {
        let original = format!("A: b\r\nC: d\r\n{}\r\n\r\nbody", "E: f\r\n".repeat(1000));
        let report = Report {
            hostname: "relay.example",
            id: "n1-7",
            sender: "a@b",
            recipient: "c@d",
            status: "4.4.7",
            reason: "Its time ran out.",
            diagnostic: Some("450 \u{7}busy"),
            original: original.as_bytes(),
            now: Duration::ZERO,
        };
        let text = String::from_utf8(report.message()).unwrap();
        assert!(text.lines().all(|l| l.len() < 998) && !text.replace("\r\n", "").contains(['\r', '\n']));
        assert_eq!(text.matches("\r\n--=n1-7=").count(), 4);
        assert!(
            text.contains("Diagnostic-Code: smtp; 450 ?busy\r\n") && text.contains("\r\nA: b\r\nC: d\r\n")
        );
        assert!(text.len() < 3000 && !text.contains("body\r\n"));
    }
}
