//! Which location a path belongs to, as nginx documents it under `location`.
//!
//! An exact one ends the search. Else the longest prefix is remembered; what is nested in it is searched in the
//! same way, and then, unless it is `^~` or something nested in it was found by a regex, the regexes of its own
//! level are tried in their order, and the first that matches counts. Else the remembered prefix does.

use crate::config::Match;
use regex::bytes::{Regex, RegexBuilder};
use std::collections::HashMap;

/// Bytes of a compiled regex, at most.
const REGEX_MAX: usize = 1 << 20;

/// A location among others of one level: its number in the table, how it is compared, and what is inside it.
#[derive(Debug)]
pub struct Entry {
    /// How it is compared.
    pub kind: Match,
    /// Its path or regex.
    pub path: String,
    /// Its number in the table.
    pub number: usize,
    /// What is nested in it.
    pub inside: Level,
}

#[derive(Debug)]
struct Prefix {
    path: Vec<u8>,
    number: usize,
    first: bool,
    inside: Level,
    /// The longest other prefix that is a prefix of this one.
    parent: Option<usize>,
}

/// The locations of one level.
#[derive(Debug, Default)]
pub struct Level {
    exact: HashMap<Vec<u8>, usize>,
    /// Sorted by path.
    prefixes: Vec<Prefix>,
    regexes: Vec<(Regex, usize, Level)>,
}

/// Compiles a regex as locations and host names use it.
///
/// # Errors
/// What the regex library says: what PCRE knows beyond it (look-around, back references) among it.
pub fn compile(pattern: &str, no_case: bool) -> Result<Regex, String> {
    let built =
        RegexBuilder::new(pattern).case_insensitive(no_case).unicode(false).size_limit(REGEX_MAX).build();
    built.map_err(|e| e.to_string().lines().last().unwrap_or_default().trim().to_string())
}

impl Level {
    /// Puts the locations of a level in order.
    ///
    /// # Errors
    /// Two that are the same, or a regex that is none.
    pub fn build(entries: Vec<Entry>) -> Result<Level, String> {
        let mut level = Level::default();
        for Entry { kind, path, number, inside } in entries {
            match kind {
                Match::Exact => {
                    if level.exact.insert(path.clone().into_bytes(), number).is_some() {
                        return Err(format!("location `= {path}` stands twice"));
                    }
                }
                Match::Prefix | Match::PrefixFirst => {
                    let first = kind == Match::PrefixFirst;
                    level.prefixes.push(Prefix {
                        path: path.into_bytes(),
                        number,
                        first,
                        inside,
                        parent: None,
                    });
                }
                Match::Regex | Match::RegexNoCase => {
                    let regex = compile(&path, kind == Match::RegexNoCase)
                        .map_err(|e| format!("location `~ {path}`: {e}"))?;
                    level.regexes.push((regex, number, inside));
                }
                Match::Named => {}
            }
        }
        level.prefixes.sort_by(|a, b| a.path.cmp(&b.path));
        // Sorted, a prefix stands before all that begin with it: a stack of those that are still open.
        let mut open: Vec<usize> = Vec::new();
        for at in 0..level.prefixes.len() {
            let path = &level.prefixes[at].path;
            if at > 0 && level.prefixes[at - 1].path == *path {
                return Err(format!("location `{}` stands twice", String::from_utf8_lossy(path)));
            }
            while open.last().is_some_and(|o| !path.starts_with(&level.prefixes[*o].path)) {
                open.pop();
            }
            let parent = open.last().copied();
            level.prefixes[at].parent = parent;
            open.push(at);
        }
        Ok(level)
    }

    fn longest(&self, path: &[u8]) -> Option<&Prefix> {
        let after = self.prefixes.partition_point(|p| p.path.as_slice() <= path);
        let mut at = Some(after.checked_sub(1)?);
        while let Some(prefix) = at.map(|i| &self.prefixes[i]) {
            if path.starts_with(&prefix.path) {
                return Some(prefix);
            }
            at = prefix.parent;
        }
        None
    }

    /// The number of the location that a normal path belongs to.
    pub fn find(&self, path: &[u8]) -> Option<usize> {
        self.search(path).map(|(number, _)| number)
    }

    /// The number, and whether the search ended with it: found exactly or by a regex.
    fn search(&self, path: &[u8]) -> Option<(usize, bool)> {
        if let Some(number) = self.exact.get(path) {
            return Some((*number, true));
        }
        let prefix = self.longest(path);
        let mut found = prefix.map(|p| (p.number, false));
        if let Some(p) = prefix {
            match p.inside.search(path) {
                Some((number, true)) => return Some((number, true)),
                Some(inner) => found = Some(inner),
                None => {}
            }
        }
        if !prefix.is_some_and(|p| p.first) {
            let matched = self.regexes.iter().find(|(regex, ..)| regex.is_match(path));
            if let Some((_, number, inside)) = matched {
                return Some((inside.search(path).map_or(*number, |(inner, _)| inner), true));
            }
        }
        found
    }

    /// Whether there is a prefix location for the path and the slash that it lacks.
    pub fn with_slash(&self, path: &[u8]) -> Option<usize> {
        let mut slashed = path.to_vec();
        slashed.push(b'/');
        let at = self.prefixes.binary_search_by(|p| p.path.as_slice().cmp(&slashed)).ok()?;
        Some(self.prefixes[at].number)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn level(entries: &[(Match, &str)]) -> Level {
        let entry = |(number, (kind, path)): (usize, &(Match, &str))| Entry {
            kind: *kind,
            path: path.to_string(),
            number,
            inside: Level::default(),
        };
        Level::build(entries.iter().enumerate().map(entry).collect()).unwrap()
    }

    #[test]
    fn the_example_of_the_documentation() {
        // nginx, `location`: A to E.
        let level = level(&[
            (Match::Exact, "/"),
            (Match::Prefix, "/"),
            (Match::Prefix, "/documents/"),
            (Match::PrefixFirst, "/images/"),
            (Match::RegexNoCase, "\\.(gif|jpg|jpeg)$"),
        ]);
        for (path, number) in [
            ("/", 0),
            ("/index.html", 1),
            ("/documents/document.html", 2),
            ("/images/1.gif", 3),
            ("/documents/1.jpg", 4),
            ("/documents/1.JPG", 4),
            ("/documents", 1),
        ] {
            assert_eq!(level.find(path.as_bytes()), Some(number), "{path}");
        }
    }

    #[test]
    fn prefixes_of_prefixes_are_found_without_looking_at_all() {
        let level = level(&[
            (Match::Prefix, "/a"),
            (Match::Prefix, "/a/b/"),
            (Match::Prefix, "/a/b/c"),
            (Match::Prefix, "/ab"),
            (Match::Prefix, "/b"),
        ]);
        for (path, number) in
            [("/a", 0), ("/a/b", 0), ("/a/b/", 1), ("/a/b/d", 1), ("/a/b/cc", 2), ("/abc", 3), ("/b/a", 4)]
        {
            assert_eq!(level.find(path.as_bytes()), Some(number), "{path}");
        }
        assert_eq!(level.find(b"/c"), None);
        assert_eq!((level.with_slash(b"/a/b"), level.with_slash(b"/a")), (Some(1), None));
    }

    #[test]
    fn what_is_nested_is_searched_first_and_its_regex_ends_the_search() {
        let nested = |entries: &[(Match, &str)]| {
            let entry = |(n, (kind, path)): (usize, &(Match, &str))| Entry {
                kind: *kind,
                path: path.to_string(),
                number: 10 + n,
                inside: Level::default(),
            };
            Level::build(entries.iter().enumerate().map(entry).collect()).unwrap()
        };
        let level = Level::build(vec![
            Entry {
                kind: Match::Prefix,
                path: "/a/".into(),
                number: 0,
                inside: nested(&[
                    (Match::Regex, "\\.php$"),
                    (Match::Prefix, "/a/b/"),
                    (Match::Exact, "/a/x"),
                ]),
            },
            Entry { kind: Match::Regex, path: "\\.(php|txt)$".into(), number: 1, inside: Level::default() },
        ])
        .unwrap();
        for (path, number) in
            [("/a/1.php", 10), ("/a/1.txt", 1), ("/a/b/1", 11), ("/a/x", 12), ("/a/c", 0), ("/1.php", 1)]
        {
            assert_eq!(level.find(path.as_bytes()), Some(number), "{path}");
        }
    }

    #[test]
    fn the_same_location_twice_and_a_regex_that_is_none_are_errors() {
        let entry = |kind, path: &str| Entry { kind, path: path.into(), number: 0, inside: Level::default() };
        for (kind, path) in [(Match::Exact, "/a"), (Match::Prefix, "/a")] {
            assert!(Level::build(vec![entry(kind, path), entry(kind, path)]).is_err());
        }
        assert!(Level::build(vec![entry(Match::Regex, "(?=a)")]).is_err());
        assert!(Level::build(vec![entry(Match::Regex, "(((a{999}){999}){999})")]).is_err());
    }
}
