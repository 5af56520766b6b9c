//! A stand-in reverse proxy, written from nginx's public documentation alone and sharing no code with the relay
//! or its importer: a reader of its own, a look at every location and every server for each request. It is what
//! the relay's choices are compared with, so it is plain and slow on purpose.

mod nodes;
mod serving;
#[cfg(test)]
mod tests;
mod text;
mod upstream;
mod variables;

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;

use crate::http::Message;
use nodes::{Node, read_nodes};
use text::{escaped, plain_path, regex};
use upstream::Upstream;

/// The proxy: a configuration and its groups.
#[derive(Debug)]
pub struct Proxy {
    http: Vec<Node>,
    groups: RefCell<HashMap<String, Upstream>>,
}

/// What a request comes to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Chosen {
    /// Sent there, for this target.
    To(SocketAddr, String),
    /// Answered by the proxy itself.
    Status(u16),
}

impl Proxy {
    /// Reads a configuration.
    ///
    /// # Errors
    /// Its file cannot be read.
    pub fn read(path: &Path) -> io::Result<Proxy> {
        let text = std::fs::read_to_string(path)?;
        let all = read_nodes(path.parent().unwrap_or(Path::new("")), &text);
        let http: Vec<Node> = all.into_iter().filter(|n| n.is("http")).flat_map(|n| n.inside).collect();
        let groups =
            http.iter().filter(|n| n.is("upstream")).map(|n| (n.arg(1).to_string(), Upstream::read(n)));
        let groups = RefCell::new(groups.collect());
        Ok(Proxy { http, groups })
    }

    fn host(&self, host: &str) -> Option<&Node> {
        let servers: Vec<&Node> = self.http.iter().filter(|n| n.is("server")).collect();
        let names = |s: &Node| -> Vec<String> {
            s.inside.iter().filter(|n| n.is("server_name")).flat_map(|n| n.words[1..].to_vec()).collect()
        };
        // Where one name has two servers, one passes on and the other only leads to it: another port, in nginx.
        let passing = |s: &&Node| format!("{s:?}").contains("proxy_pass");
        let ranked = servers.iter().filter(|s| passing(s)).chain(servers.iter().filter(|s| !passing(s)));
        let ranked: Vec<&Node> = ranked.copied().collect();
        let by = |fits: &dyn Fn(&str) -> Option<usize>| {
            let all = ranked.iter().flat_map(|s| names(s).into_iter().map(move |n| (n, *s)));
            let fitting = all.filter_map(|(n, s)| Some((fits(&n)?, s)));
            fitting.fold(
                None,
                |best: Option<(usize, &Node)>, (l, s)| {
                    if best.is_none_or(|b| l > b.0) { Some((l, s)) } else { best }
                },
            )
        };
        let exact = by(&|n| (n == host || n.strip_prefix('.') == Some(host)).then_some(1));
        let leading = || {
            by(&|n| {
                let end = n.strip_prefix("*.").or(n.strip_prefix('.'))?;
                host.strip_suffix(end)?.ends_with('.').then_some(end.len())
            })
        };
        let trailing =
            || by(&|n| host.strip_prefix(n.strip_suffix(".*")?)?.starts_with('.').then_some(n.len()));
        let regex = || by(&|n| regex(n.strip_prefix('~')?, host).then_some(1));
        // One that only leads to another of its names stands at another port, in nginx.
        let leads = |s: &&&Node| {
            let shared = |n: &String| ranked.iter().any(|o| passing(o) && names(o).contains(n));
            passing(s) || !names(s).iter().any(shared)
        };
        let found = exact.or_else(leading).or_else(trailing).or_else(regex).map(|f| f.1);
        let default = || {
            servers.iter().find(|s| {
                s.inside.iter().any(|n| n.is("listen") && n.words.iter().any(|w| w == "default_server"))
            })
        };
        found.or_else(|| default().copied()).or(servers.iter().find(leads).copied())
    }

    fn location<'a>(level: &'a [Node], path: &str) -> (Option<&'a Node>, bool) {
        let locations = level.iter().filter(|n| n.is("location"));
        let plain = |n: &Node| n.words.len() == 2 && !n.arg(1).starts_with('@');
        if let Some(exact) = locations.clone().find(|n| n.arg(1) == "=" && n.arg(2) == path) {
            return (Some(exact), true);
        }
        let prefix = |n: &&Node| {
            let p = if plain(n) {
                n.arg(1)
            } else if n.arg(1) == "^~" {
                n.arg(2)
            } else {
                return None;
            };
            path.starts_with(p).then_some(p.len())
        };
        let longest =
            locations.clone().filter_map(|n| Some((prefix(&n)?, n))).max_by_key(|f| f.0).map(|f| f.1);
        let mut found = longest;
        if let Some(l) = longest {
            match Proxy::location(&l.inside, path) {
                (Some(inner), true) => return (Some(inner), true),
                (Some(inner), false) => found = Some(inner),
                _ => {}
            }
        }
        if longest.is_none_or(|l| l.arg(1) != "^~") {
            let fits = |n: &&Node| match n.arg(1) {
                "~" => regex(n.arg(2), path),
                "~*" => regex(&n.arg(2).to_lowercase(), &path.to_lowercase()),
                _ => false,
            };
            if let Some(by_regex) = locations.clone().find(fits) {
                return (Some(by_regex), true);
            }
        }
        (found, false)
    }

    /// Where a request goes.
    pub fn choose(&self, request: &Message, client: IpAddr) -> Chosen {
        let target = request.first[1].clone();
        let (raw, args) = target.split_once('?').map_or((target.as_str(), None), |(p, a)| (p, Some(a)));
        let path = plain_path(raw);
        let host = request.field("host").unwrap_or_default().to_lowercase();
        let host = host.split(':').next().unwrap_or_default();
        let Some(server) = self.host(host) else { return Chosen::Status(404) };
        if let Some(r) = server.inside.iter().find(|n| n.is("return")) {
            return Chosen::Status(r.arg(1).parse().unwrap_or(500));
        }
        let slashed = format!("{path}/");
        let passes = |n: &Node| n.is("location") && n.inside.iter().any(|i| i.is("proxy_pass"));
        let (location, _) = Proxy::location(&server.inside, &path);
        let itself = location.is_some_and(|l| l.words.last().is_some_and(|w| *w == path));
        if !itself && server.inside.iter().any(|n| passes(n) && n.words.last() == Some(&slashed)) {
            return Chosen::Status(301);
        }
        let Some(location) = location else { return Chosen::Status(404) };
        if let Some(r) = location.inside.iter().find(|n| n.is("return")) {
            return Chosen::Status(r.arg(1).parse().unwrap_or(500));
        }
        if !self.may(server, location, client) {
            return Chosen::Status(403);
        }
        if location.inside.iter().any(|n| n.is("fastcgi_pass")) {
            return Chosen::Status(502);
        }
        let Some(pass) = location.inside.iter().find(|n| n.is("proxy_pass")) else {
            return Chosen::Status(404);
        };
        let to = pass.arg(1).trim_start_matches("http://");
        let (name, uri) = to.find('/').map_or((to, None), |at| (&to[..at], Some(&to[at..])));
        let prefix = location.words.last().map_or(0, String::len);
        let sent = match uri {
            None => target.clone(),
            Some(uri) => format!(
                "{uri}{}{}",
                escaped(&path[prefix..]),
                args.map_or(String::new(), |a| format!("?{a}"))
            ),
        };
        let mut groups = self.groups.borrow_mut();
        if let Some(group) = groups.get_mut(name) {
            let template =
                group.method.get(1).cloned().filter(|_| group.method[0] == "hash").unwrap_or_default();
            let key = self.expand(&template, request, client, &path, args);
            let Some(n) = group.choose(client, key.as_bytes()) else {
                group.forgive();
                return Chosen::Status(502);
            };
            group.servers[n].out += 1;
            return Chosen::To(group.servers[n].address, sent);
        }
        name.parse().map_or(Chosen::Status(502), |address| Chosen::To(address, sent))
    }

    fn may(&self, server: &Node, location: &Node, client: IpAddr) -> bool {
        let rules =
            |of: &[Node]| of.iter().filter(|n| n.is("allow") || n.is("deny")).cloned().collect::<Vec<_>>();
        let own = [rules(&location.inside), rules(&server.inside), rules(&self.http)];
        let rules = own.into_iter().find(|r| !r.is_empty()).unwrap_or_default();
        let IpAddr::V4(client) = client else { return true };
        let holds = |net: &str| {
            let (address, bits) = net.split_once('/').unwrap_or((net, "32"));
            let (Ok(address), Ok(bits)) = (address.parse::<std::net::Ipv4Addr>(), bits.parse::<u32>()) else {
                return false;
            };
            let mask = u32::MAX.checked_shl(32 - bits).unwrap_or(0);
            u32::from(client) & mask == u32::from(address) & mask
        };
        rules.iter().find(|r| r.arg(1) == "all" || holds(r.arg(1))).is_none_or(|r| r.is("allow"))
    }
}
