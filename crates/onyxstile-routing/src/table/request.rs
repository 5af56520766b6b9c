//! A request, as far as it is routed.

use std::net::IpAddr;

use super::hosts::plain_host;
use crate::path::{PathError, Target};

/// A request, as far as it is routed.
pub struct Request<'a> {
    /// Its `Host` field.
    pub host: Option<&'a str>,
    /// Its method.
    pub method: &'a str,
    /// Its target, as it came.
    pub target: &'a str,
    /// The address of its client.
    pub client: IpAddr,
    /// The value of a header field, by its name in lower case.
    pub header: &'a dyn Fn(&str) -> Option<String>,
    /// Bytes of its body, where its head says so.
    pub body: Option<u64>,
    pub(super) parsed: Target,
}

impl<'a> Request<'a> {
    /// A request to be routed.
    ///
    /// # Errors
    /// A target that no path can be made of.
    pub fn new(
        host: Option<&'a str>, method: &'a str, target: &'a str, client: IpAddr,
        header: &'a dyn Fn(&str) -> Option<String>, body: Option<u64>,
    ) -> Result<Request<'a>, PathError> {
        // An IPv4 address that came by an IPv6 socket is one.
        let client = client.to_canonical();
        Ok(Request { host, method, target, client, header, body, parsed: Target::parse(target)? })
    }

    /// The normal form of its path.
    pub fn path(&self) -> &[u8] {
        &self.parsed.path
    }

    /// What follows the `?`.
    pub fn args(&self) -> &str {
        self.parsed.args.as_deref().unwrap_or_default()
    }

    /// The host that it names, in lower case and without a port.
    pub fn host(&self) -> String {
        plain_host(self.host.unwrap_or_default())
    }
}
