//! Paths as MAIL and RCPT give them (RFC 5321, 4.1.2), and the parameters after them.

/// Letters of a path, of its local part and of its domain, at most (RFC 5321, 4.5.3.1).
const PATH_MAX: usize = 256;
const LOCAL_MAX: usize = 64;
const DOMAIN_MAX: usize = 255;

/// Reads `<path> parameters`; returns the mailbox, empty for the null path, and the parameters in upper case.
/// A source route is read and dropped, as RFC 5321 asks.
pub fn path(text: &str) -> Option<(String, Vec<String>)> {
    let rest = text.trim_start_matches(' ').strip_prefix('<')?;
    let end = closing(rest)?;
    let (inside, after) = (&rest[..end], &rest[end + 1..]);
    if !after.is_empty() && !after.starts_with(' ') {
        return None;
    }
    let parameters = after.split(' ').filter(|p| !p.is_empty()).map(str::to_ascii_uppercase).collect();
    let mailbox = match inside.strip_prefix('@') {
        Some(_) => inside.split_once(':')?.1,
        None => inside,
    };
    let good = inside.len() <= PATH_MAX
        && (mailbox.is_empty() && inside.is_empty()
            || mailbox.eq_ignore_ascii_case("postmaster")
            || is_mailbox(mailbox));
    good.then(|| (mailbox.to_string(), parameters))
}

/// Where the path ends: the first `>` outside a quoted local part.
fn closing(text: &str) -> Option<usize> {
    let (mut quoted, mut escaped) = (false, false);
    for (at, byte) in text.bytes().enumerate() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if quoted => escaped = true,
            b'"' => quoted = !quoted,
            b'>' if !quoted => return Some(at),
            _ => {}
        }
    }
    None
}

fn is_mailbox(text: &str) -> bool {
    let Some((local, domain)) = text.rsplit_once('@') else { return false };
    local.len() <= LOCAL_MAX && domain.len() <= DOMAIN_MAX && is_local(local) && is_domain(domain)
}

fn is_local(text: &str) -> bool {
    match text.strip_prefix('"') {
        Some(quoted) => {
            let Some(inside) = quoted.strip_suffix('"') else { return false };
            let mut bytes = inside.bytes();
            while let Some(byte) = bytes.next() {
                let good = match byte {
                    b'\\' => bytes.next().is_some_and(|b| (32..127).contains(&b)),
                    b'"' => false,
                    _ => (32..127).contains(&byte),
                };
                if !good {
                    return false;
                }
            }
            true
        }
        None => {
            let atom = |a: &str| {
                !a.is_empty()
                    && a.bytes().all(|b| b.is_ascii_alphanumeric() || b"!#$%&'*+-/=?^_`{|}~".contains(&b))
            };
            text.split('.').all(atom)
        }
    }
}

/// A domain name, or an address literal in brackets.
pub fn is_domain(text: &str) -> bool {
    if let Some(literal) = text.strip_prefix('[') {
        let inside = literal.strip_suffix(']').unwrap_or_default();
        return !inside.is_empty()
            && inside.bytes().all(|b| b.is_ascii_alphanumeric() || b".:-".contains(&b));
    }
    let label = |l: &str| {
        let plain = l.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-');
        !l.is_empty() && l.len() <= 63 && plain && !l.starts_with('-') && !l.ends_with('-')
    };
    text.len() <= DOMAIN_MAX && text.split('.').all(label)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn paths_are_read_as_the_standard_has_them() {
        let read = |text| path(text).map(|(m, _)| m);
        assert_eq!(read("<>").as_deref(), Some(""));
        assert_eq!(read(" <a.b@c-d.example> SIZE=3").as_deref(), Some("a.b@c-d.example"));
        assert_eq!(read("<@x.example,@y:a@b>").as_deref(), Some("a@b"));
        assert_eq!(read("<\"a > \\\" b\"@c>").as_deref(), Some("\"a > \\\" b\"@c"));
        assert_eq!(read("<a@[127.0.0.1]>").as_deref(), Some("a@[127.0.0.1]"));
        assert_eq!(path("<a@b> body=8bitmime size=9").unwrap().1, ["BODY=8BITMIME", "SIZE=9"]);
        for bad in [
            "",
            "a@b",
            "<a@b",
            "<a@b>x",
            "<a@>",
            "<@b>",
            "<a..b@c>",
            "<a b@c>",
            "<a@-b>",
            "<a@b\u{e9}>",
            "<a@b@c>",
            "<\"a@b>",
            "<a@b\0>",
        ] {
            assert!(read(bad).is_none(), "{bad:?}");
        }
        assert!(read(&format!("<{}@b>", "a".repeat(65))).is_none());
    }
}
