//! Targets of requests, and the normal form that locations are compared with.
//!
//! As nginx documents it under `location`: `%XX` is decoded, `.` and `..` are resolved, and slashes that follow
//! one another become one. A path that would leave its root is an error, never a way out.

/// Bytes of a target, at most: no longer one fits the head of a request.
pub const TARGET_MAX: usize = 8 * 1024;

/// Why a target cannot be used. All of them are answered 400.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathError {
    /// It does not begin with `/`.
    NoPath,
    /// Over [`TARGET_MAX`].
    TooLong,
    /// `%` without two hexadecimal digits after it.
    Escape,
    /// A zero byte, written out or as `%00`.
    Zero,
    /// `..` above the root.
    AboveRoot,
}

impl std::fmt::Display for PathError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            PathError::NoPath => "the target is no path",
            PathError::TooLong => "the target is over 8 KiB",
            PathError::Escape => "a `%` in the target stands before no two hexadecimal digits",
            PathError::Zero => "a zero byte in the target",
            PathError::AboveRoot => "the target leaves its root by `..`",
        })
    }
}

impl std::error::Error for PathError {}

/// A target taken apart.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The normal form of its path: bytes, for what was escaped may be no text.
    pub path: Vec<u8>,
    /// What follows the `?`, without it.
    pub args: Option<String>,
}

impl Target {
    /// Reads the target of a request line.
    ///
    /// # Errors
    /// A target that no path can be made of.
    pub fn parse(target: &str) -> Result<Target, PathError> {
        if target.len() > TARGET_MAX {
            return Err(PathError::TooLong);
        }
        if !target.starts_with('/') {
            return Err(PathError::NoPath);
        }
        // A fragment is no business of a server's; nginx cuts it off as well.
        let target = target.split('#').next().unwrap_or_default();
        let (path, args) = match target.split_once('?') {
            Some((path, args)) => (path, Some(args.to_string())),
            None => (target, None),
        };
        Ok(Target { path: normal(path.as_bytes())?, args })
    }
}

/// Decodes and resolves; the result begins with a slash. A segment `..` is known after its decoding, as nginx
/// does it: `%2e%2e` leads up like `..`. A slash that was escaped is a slash.
fn normal(path: &[u8]) -> Result<Vec<u8>, PathError> {
    let mut out: Vec<u8> = Vec::with_capacity(path.len());
    let mut bytes = path.iter().copied();
    // Where the present segment begins in `out`.
    let mut segment = 0;
    let mut close = |out: &mut Vec<u8>, last: bool| -> Result<(), PathError> {
        match &out[segment..] {
            b"." => out.truncate(segment),
            b".." => {
                // `out` up to `segment` ends with the slash before it; the one before that opens the parent.
                let parent = &out[..segment.saturating_sub(1)];
                let up = parent.iter().rposition(|b| *b == b'/').ok_or(PathError::AboveRoot)?;
                out.truncate(up + 1);
            }
            b"" if segment > 0 => {}
            _ if last => {}
            _ => out.push(b'/'),
        }
        segment = out.len();
        Ok(())
    };
    while let Some(byte) = bytes.next() {
        let byte = match byte {
            b'%' => {
                let digit =
                    |b: Option<u8>| b.and_then(|b| char::from(b).to_digit(16)).ok_or(PathError::Escape);
                let (high, low) = (digit(bytes.next())?, digit(bytes.next())?);
                (high * 16 + low) as u8
            }
            other => other,
        };
        match byte {
            0 => return Err(PathError::Zero),
            b'/' => close(&mut out, false)?,
            other => out.push(other),
        }
    }
    close(&mut out, true)?;
    Ok(out)
}

/// Writes a path so that it can stand in a request line (RFC 3986, 3.3; nginx escapes the same ones).
pub fn escape(path: &[u8]) -> String {
    let mut out = String::with_capacity(path.len());
    for byte in path {
        match byte {
            b'%' | b'?' | b'#' | b' ' | b'"' | b'\\' | b'<' | b'>' | b'{' | b'}' | b'|' | b'^' | b'`' => {
                out.push_str(&format!("%{byte:02X}"));
            }
            b if b.is_ascii_graphic() => out.push(char::from(*b)),
            b => out.push_str(&format!("%{b:02X}")),
        }
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn path(target: &str) -> Result<String, PathError> {
        Target::parse(target).map(|t| String::from_utf8(t.path).unwrap())
    }

    #[test]
    fn paths_have_one_form() {
        for (target, normal) in [
            ("/", "/"),
            ("//", "/"),
            ("/a//b///c", "/a/b/c"),
            ("/a/./b/.", "/a/b/"),
            ("/a/../b", "/b"),
            ("/a/b/..", "/a/"),
            ("/a/b/../", "/a/"),
            ("/%61%2Fb", "/a/b"),
            ("/a/%2e%2e/b", "/b"),
            ("/a/..b/.c/...", "/a/..b/.c/..."),
            ("/a?x=/../..", "/a"),
            ("/a#b?c", "/a"),
            ("/a/%3f", "/a/?"),
            ("/.", "/"),
        ] {
            assert_eq!(path(target).as_deref(), Ok(normal), "{target}");
        }
        for (target, error) in [
            ("", PathError::NoPath),
            ("a", PathError::NoPath),
            ("http://a/", PathError::NoPath),
            ("/..", PathError::AboveRoot),
            ("/a/../..", PathError::AboveRoot),
            ("/%2e%2e/", PathError::AboveRoot),
            ("/a//../../b", PathError::AboveRoot),
            ("/%", PathError::Escape),
            ("/%4", PathError::Escape),
            ("/%g0", PathError::Escape),
            ("/%00", PathError::Zero),
        ] {
            assert_eq!(path(target), Err(error), "{target}");
        }
        assert_eq!(path(&format!("/{}", "a".repeat(TARGET_MAX))), Err(PathError::TooLong));
        assert_eq!(Target::parse("/a?b=c?d#e").unwrap().args.as_deref(), Some("b=c?d"));
    }

    proptest! {
        #[test]
        fn no_path_escapes_or_keeps_a_step_and_its_written_form_reads_back(target in "(/|\\.|%2e|%2F|a|%|%41|\\?){0,24}") {
            if let Ok(read) = Target::parse(&format!("/{target}")) {
                prop_assert_eq!(read.path[0], b'/');
                let segments: Vec<_> = read.path[1..].split(|b| *b == b'/').collect();
                prop_assert!(segments.iter().all(|s| *s != b"." && *s != b".."));
                prop_assert!(segments[..segments.len() - 1].iter().all(|s| !s.is_empty()));
                prop_assert_eq!(Target::parse(&escape(&read.path)).unwrap().path, read.path);
            }
        }
    }
}
