//! The line of an operator's call. No socket.

pub use crate::net::orders::AdminOrder as Order;

/// Bytes of a line, at most.
pub const LINE_MAX: usize = 512;

/// What an operator calls for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Whether this process can serve.
    Readyz,
    /// The figures.
    Telemetry,
    /// Something that the owner has to do.
    Order(Order),
}

/// Reads a call, without the end of its line.
///
/// # Errors
/// What is wrong with it, for whoever called.
pub fn parse(line: &[u8]) -> Result<Call, &'static str> {
    let text = std::str::from_utf8(line).map_err(|_| "not text")?;
    let mut words = text.split_ascii_whitespace();
    let (name, id) = (words.next().ok_or("an empty line")?, words.next());
    if words.next().is_some() {
        return Err("too many words");
    }
    let call = match (name, id.map(str::to_string)) {
        ("readyz", None) => Call::Readyz,
        ("telemetry", None) => Call::Telemetry,
        ("exclude", Some(id)) => Call::Order(Order::Exclude(id)),
        ("include", Some(id)) => Call::Order(Order::Include(id)),
        ("evacuate", None) => Call::Order(Order::Evacuate),
        ("activate", None) => Call::Order(Order::Activate),
        ("exclude" | "include", None) => return Err("which endpoint?"),
        ("readyz" | "telemetry" | "evacuate" | "activate", Some(_)) => return Err("too many words"),
        _ => return Err("an unknown call"),
    };
    Ok(call)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn calls_are_read_and_all_else_is_told_what_is_wrong() {
        let order = |o| Ok(Call::Order(o));
        assert_eq!(parse(b"readyz"), Ok(Call::Readyz));
        assert_eq!(parse(b" telemetry \r"), Ok(Call::Telemetry));
        assert_eq!(parse(b"exclude s-1"), order(Order::Exclude("s-1".into())));
        assert_eq!(parse(b"include s-1"), order(Order::Include("s-1".into())));
        assert_eq!(
            (parse(b"evacuate"), parse(b"activate")),
            (order(Order::Evacuate), order(Order::Activate))
        );
        for bad in [&b""[..], b"exclude", b"exclude a b", b"readyz now", b"READYZ", b"\xff\xfe", b"reboot"] {
            assert!(parse(bad).is_err(), "{bad:?}");
        }
    }
}
