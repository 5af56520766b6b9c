//! What of a table cannot work, and who may ask for a location.

use std::collections::BTreeSet;
use std::fmt;
use std::net::IpAddr;

use crate::config::{AccessRule, Method, UpstreamConfig};

/// A table that cannot work; which entry of it, and why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BuildError(pub String);

impl fmt::Display for BuildError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for BuildError {}

/// Checks a group of real servers.
pub(super) fn check_upstream(u: &UpstreamConfig) -> Result<(), BuildError> {
    let wrong = |e: &str| Err(BuildError(format!("upstream `{}`: {e}", u.name)));
    let hashes = matches!(u.method, Method::Hash | Method::Consistent);
    if hashes == u.key.is_empty() {
        return wrong("a key is needed for `hash` and `consistent`, and for nothing else");
    }
    if u.server.iter().all(|s| s.backup) {
        return wrong("it has no server that is no backup");
    }
    if u.server.iter().any(|s| s.weight == 0 || s.weight > 65_535) {
        return wrong("weights are from 1 to 65535");
    }
    let without_backup = !matches!(u.method, Method::RoundRobin | Method::LeastConn);
    if without_backup && u.server.iter().any(|s| s.backup) {
        return wrong("its method knows no backup servers");
    }
    let addresses: BTreeSet<_> = u.server.iter().map(|s| s.address).collect();
    if addresses.len() < u.server.len() {
        return wrong("an address stands twice");
    }
    Ok(())
}

/// The first rule that holds the address counts; where none does, it may.
pub(super) fn allowed(rules: &[AccessRule], client: IpAddr) -> bool {
    let says = |rule: &AccessRule| match rule {
        AccessRule::Allow(net) => net.contains(&client).then_some(true),
        AccessRule::Deny(net) => net.contains(&client).then_some(false),
        AccessRule::AllowAll => Some(true),
        AccessRule::DenyAll => Some(false),
    };
    rules.iter().find_map(says).unwrap_or(true)
}
