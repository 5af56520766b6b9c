//! The hosts of a table by their names.

use std::collections::HashMap;

use regex::bytes::Regex;

use crate::location::compile;

/// A host without its port and a last dot, in lower case.
pub(super) fn plain_host(host: &str) -> String {
    let end = match host.strip_prefix('[').and_then(|h| h.find(']')) {
        Some(bracket) => bracket + 2,
        None => host.find(':').unwrap_or(host.len()),
    };
    let name = &host[..end];
    name.strip_suffix('.').unwrap_or(name).to_ascii_lowercase()
}

/// The names of hosts, by their kinds.
#[derive(Debug, Default)]
pub(super) struct HostNames {
    exact: HashMap<String, usize>,
    /// `*.name`, by `name`.
    leading: HashMap<String, usize>,
    /// `name.*`, by `name`.
    trailing: HashMap<String, usize>,
    regexes: Vec<(Regex, usize)>,
    pub(super) default: usize,
}

impl HostNames {
    /// The host that a name belongs to: an exact one, the longest `*.name`, the longest `name.*`, the first
    /// regex, or the default (nginx, "Server names").
    pub(super) fn find(&self, name: &str) -> usize {
        if let Some(host) = self.exact.get(name) {
            return *host;
        }
        let after_dots = name.char_indices().filter(|(_, c)| *c == '.').map(|(at, _)| at);
        let leading = || after_dots.clone().find_map(|at| self.leading.get(&name[at + 1..]));
        let trailing = || after_dots.clone().rev().find_map(|at| self.trailing.get(&name[..at]));
        let regex = || self.regexes.iter().find(|(r, _)| r.is_match(name.as_bytes())).map(|(_, h)| h);
        *leading().or_else(trailing).or_else(regex).unwrap_or(&self.default)
    }

    pub(super) fn insert(&mut self, name: &str, host: usize) -> Result<(), String> {
        let twice = |old: Option<usize>| match old {
            Some(old) if old != host => Err(format!("the name `{name}` belongs to two hosts")),
            _ => Ok(()),
        };
        let lower = name.to_ascii_lowercase();
        if let Some(pattern) = name.strip_prefix('~') {
            self.regexes.push((compile(pattern, true).map_err(|e| format!("name `{name}`: {e}"))?, host));
            Ok(())
        } else if let Some(rest) = lower.strip_prefix("*.") {
            twice(self.leading.insert(rest.to_string(), host))
        } else if let Some(rest) = lower.strip_prefix('.') {
            twice(self.exact.insert(rest.to_string(), host))?;
            twice(self.leading.insert(rest.to_string(), host))
        } else if let Some(rest) = lower.strip_suffix(".*") {
            twice(self.trailing.insert(rest.to_string(), host))
        } else if lower.contains('*') {
            Err(format!("the name `{name}`: `*` may stand for whole parts at an end only"))
        } else {
            twice(self.exact.insert(lower, host))
        }
    }
}
