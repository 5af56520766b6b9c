//! A stand-in reverse proxy, written from nginx's public documentation alone and sharing no code with the relay
//! or its importer: a reader of its own, a look at every location and every server for each request. It is what
//! the relay's choices are compared with, so it is plain and slow on purpose.

use crate::http::{Message, Wire};
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

/// How long a real server's answer is waited for (`proxy_read_timeout`; nginx has 60 s unless it is set).
const READ_TIME: Duration = Duration::from_secs(5);

/// A directive: its words, and what stands in its block.
#[derive(Debug, Clone)]
struct Node {
    words: Vec<String>,
    inside: Vec<Node>,
}

impl Node {
    fn is(&self, name: &str) -> bool {
        self.words[0] == name
    }
    fn arg(&self, n: usize) -> &str {
        self.words.get(n).map_or("", String::as_str)
    }
}

fn read_nodes(folder: &Path, text: &str) -> Vec<Node> {
    let mut words: Vec<String> = Vec::new();
    let chars: Vec<char> = text.trim_start_matches('\u{feff}').chars().collect();
    let mut at = 0;
    while at < chars.len() {
        let c = chars[at];
        if c.is_whitespace() {
            at += 1;
        } else if c == '#' {
            while at < chars.len() && chars[at] != '\n' {
                at += 1;
            }
        } else if "{};".contains(c) {
            words.push(format!("\0{c}"));
            at += 1;
        } else if c == '"' || c == '\'' {
            let mut word = String::new();
            at += 1;
            while chars[at] != c {
                if chars[at] == '\\' && "\"'\\".contains(chars[at + 1]) {
                    at += 1;
                }
                word.push(chars[at]);
                at += 1;
            }
            at += 1;
            words.push(word);
        } else {
            let mut word = String::new();
            while at < chars.len() && !chars[at].is_whitespace() && !";{".contains(chars[at]) {
                word.push(chars[at]);
                at += 1;
                if word.ends_with('$') && chars.get(at) == Some(&'{') {
                    word.push('{');
                    at += 1;
                }
            }
            words.push(word);
            // Blocks of Lua are no directives.
            if words.last().is_some_and(|w| w.ends_with("_by_lua_block")) {
                let end = text_after(&chars, at);
                at = end;
                words.push("\0;".into());
            }
        }
    }
    let mut tokens = words.into_iter();
    nodes(folder, &mut tokens)
}

/// Past a block of Lua as the samples have it: to the line that closes it.
fn text_after(chars: &[char], from: usize) -> usize {
    let indent = |at: usize| {
        let line = chars[..at].iter().rposition(|c| *c == '\n').map_or(0, |n| n + 1);
        chars[line..].iter().take_while(|c| **c == ' ').count()
    };
    let depth = indent(from);
    (from..chars.len()).find(|at| chars[*at] == '}' && indent(*at) == depth).map_or(chars.len(), |at| at + 1)
}

fn nodes(folder: &Path, tokens: &mut std::vec::IntoIter<String>) -> Vec<Node> {
    let (mut found, mut words) = (Vec::new(), Vec::new());
    while let Some(token) = tokens.next() {
        match token.as_str() {
            "\0;" => {
                let node = Node { words: std::mem::take(&mut words), inside: vec![] };
                if node.is("include") {
                    found.extend(included(folder, node.arg(1)));
                } else {
                    found.push(node);
                }
            }
            "\0{" => {
                let inside = nodes(folder, tokens);
                found.push(Node { words: std::mem::take(&mut words), inside });
            }
            "\0}" => return found,
            _ => words.push(token),
        }
    }
    found
}

fn included(folder: &Path, pattern: &str) -> Vec<Node> {
    let path = folder.join(pattern);
    let files = match pattern.split_once('*') {
        None => vec![path],
        Some((_, end)) => {
            let names = std::fs::read_dir(path.parent().unwrap_or(folder)).into_iter().flatten().flatten();
            let mut names: Vec<_> =
                names.map(|e| e.path()).filter(|p| p.display().to_string().ends_with(end)).collect();
            names.sort();
            names
        }
    };
    files
        .iter()
        .filter_map(|f| std::fs::read_to_string(f).ok())
        .flat_map(|t| read_nodes(folder, &t))
        .collect()
}

#[derive(Debug)]
struct Server {
    address: SocketAddr,
    text: String,
    weight: i64,
    backup: bool,
    down: bool,
    current: i64,
    out: usize,
    /// Failures that make it unavailable, and for how long; how many there were, and the last.
    max_fails: u32,
    fail_timeout: Duration,
    fails: u32,
    failed: Option<Instant>,
}

impl Server {
    /// Neither marked down nor, for a time, out of use after its failures.
    fn able(&self) -> bool {
        let lately = self.failed.is_some_and(|at| at.elapsed() < self.fail_timeout);
        !(self.down || lately && self.max_fails > 0 && self.fails >= self.max_fails)
    }

    fn failed(&mut self) {
        if self.failed.is_none_or(|at| at.elapsed() >= self.fail_timeout) {
            self.fails = 0;
        }
        (self.fails, self.failed) = (self.fails + 1, Some(Instant::now()));
    }
}

#[derive(Debug)]
struct Upstream {
    method: Vec<String>,
    servers: Vec<Server>,
    dice: u64,
}

impl Upstream {
    fn read(node: &Node) -> Upstream {
        let server = |n: &Node| {
            let text = n.arg(1).to_string();
            let plain = text.replace("localhost", "127.0.0.1");
            let address = plain.parse().or_else(|_| format!("{plain}:80").parse()).ok()?;
            let weight = n.words.iter().find_map(|w| w.strip_prefix("weight=")?.parse().ok()).unwrap_or(1);
            let has = |word: &str| n.words.iter().any(|w| w == word);
            let number = |name: &str| {
                n.words.iter().find_map(|w| w.strip_prefix(name)?.trim_end_matches('s').parse().ok())
            };
            Some(Server {
                address,
                text,
                weight,
                backup: has("backup"),
                down: has("down"),
                current: 0,
                out: 0,
                max_fails: number("max_fails=").unwrap_or(1),
                fail_timeout: Duration::from_secs(number("fail_timeout=").unwrap_or(10).into()),
                fails: 0,
                failed: None,
            })
        };
        let servers = node.inside.iter().filter(|n| n.is("server")).filter_map(server).collect();
        let names = ["least_conn", "ip_hash", "hash", "random"];
        let method = node.inside.iter().find(|n| names.contains(&n.arg(0)));
        Upstream { method: method.map_or(vec![], |n| n.words.clone()), servers, dice: 88_172_645_463_325_252 }
    }

    fn usable(&self) -> Vec<usize> {
        let of = |backup: bool| {
            (0..self.servers.len())
                .filter(move |n| self.servers[*n].backup == backup && self.servers[*n].able())
        };
        let first: Vec<_> = of(false).collect();
        if first.is_empty() { of(true).collect() } else { first }
    }

    /// With nobody left all are taken for well again.
    fn forgive(&mut self) {
        self.servers.iter_mut().for_each(|s| s.fails = 0);
    }

    /// Each gains its weight; the one that has most, the first of equals, is chosen and pays the sum.
    fn round_robin(&mut self, among: &[usize]) -> Option<usize> {
        let total: i64 = among.iter().map(|n| self.servers[*n].weight).sum();
        let mut best: Option<usize> = None;
        for n in among {
            self.servers[*n].current += self.servers[*n].weight;
            if best.is_none_or(|b| self.servers[*n].current > self.servers[b].current) {
                best = Some(*n);
            }
        }
        self.servers[best?].current -= total;
        best
    }

    fn least(&mut self, among: &[usize]) -> Option<usize> {
        let load = |s: &Server, o: &Server| (s.out as i64 * o.weight).cmp(&(o.out as i64 * s.weight));
        let best = among.iter().copied().min_by(|a, b| load(&self.servers[*a], &self.servers[*b]))?;
        let equal = |n: &&usize| load(&self.servers[**n], &self.servers[best]).is_eq();
        let equals: Vec<_> = among.iter().filter(equal).copied().collect();
        self.round_robin(&equals)
    }

    fn roll(&mut self) -> u64 {
        // Xorshift: any will do for shares.
        self.dice ^= self.dice << 13;
        self.dice ^= self.dice >> 7;
        self.dice ^= self.dice << 17;
        self.dice >> 11
    }

    fn by_weight(&self, point: i64) -> usize {
        let mut left = point;
        let primaries: Vec<_> = (0..self.servers.len()).filter(|n| !self.servers[*n].backup).collect();
        for n in &primaries {
            left -= self.servers[*n].weight;
            if left < 0 {
                return *n;
            }
        }
        primaries[0]
    }

    fn choose(&mut self, client: IpAddr, key: &[u8]) -> Option<usize> {
        let among = self.usable();
        let total: i64 = self.servers.iter().filter(|s| !s.backup).map(|s| s.weight).sum();
        let method = self.method.clone();
        let words: Vec<&str> = method.iter().map(String::as_str).collect();
        match words[..] {
            ["least_conn"] => self.least(&among),
            ["ip_hash"] => {
                let IpAddr::V4(address) = client else { return None };
                let mut hash: i64 = 89;
                for _ in 0..20 {
                    for octet in &address.octets()[..3] {
                        hash = (hash * 113 + i64::from(*octet)) % 6271;
                    }
                    let n = self.by_weight(hash % total);
                    if self.servers[n].able() {
                        return Some(n);
                    }
                }
                self.round_robin(&among)
            }
            ["hash", _] => {
                let mut hash: u32 = 0;
                for again in 0..20 {
                    let mut text = if again > 0 { again.to_string().into_bytes() } else { vec![] };
                    text.extend_from_slice(key);
                    hash += (crc32(&text) >> 16) & 0x7fff;
                    let n = self.by_weight(i64::from(hash) % total);
                    if self.servers[n].able() {
                        return Some(n);
                    }
                }
                self.round_robin(&among)
            }
            ["hash", _, "consistent"] => {
                let mut points = Vec::new();
                for (n, s) in self.servers.iter().enumerate() {
                    let (host, port) = s.text.split_once(':').unwrap_or((&s.text, ""));
                    let base = [host.as_bytes(), &[0], port.as_bytes()].concat();
                    let mut before = [0u8; 4];
                    for _ in 0..s.weight * 160 {
                        let hash = crc32(&[&base[..], &before].concat());
                        points.push((hash, n));
                        before = hash.to_le_bytes();
                    }
                }
                points.sort();
                let hash = crc32(key);
                let from = points.iter().position(|p| p.0 >= hash).unwrap_or(0);
                let around = points[from..].iter().chain(&points[..from]);
                around.map(|p| p.1).find(|n| self.servers[*n].able())
            }
            ["random", ..] => {
                let one = self.roll() as i64 % total;
                let one = self.by_weight(one);
                if words.len() == 1 {
                    return Some(one);
                }
                loop {
                    let other = self.roll() as i64 % total;
                    let other = self.by_weight(other);
                    if other != one {
                        let (a, b) = (&self.servers[one], &self.servers[other]);
                        let first = a.out as i64 * b.weight <= b.out as i64 * a.weight;
                        return Some(if first { one } else { other });
                    }
                }
            }
            _ => self.round_robin(&among),
        }
    }
}

/// CRC-32 as the polynomial says it, bit by bit.
fn crc32(bytes: &[u8]) -> u32 {
    let mut crc = u32::MAX;
    for byte in bytes {
        crc ^= u32::from(*byte);
        for _ in 0..8 {
            crc = if crc & 1 == 1 { crc >> 1 ^ 0xedb8_8320 } else { crc >> 1 };
        }
    }
    !crc
}

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

    fn expand(
        &self, text: &str, request: &Message, client: IpAddr, path: &str, args: Option<&str>,
    ) -> String {
        let mut out = String::new();
        let mut rest = text;
        while let Some(at) = rest.find('$') {
            out += &rest[..at];
            let after = rest[at + 1..].trim_start_matches('{');
            let end = after.find(|c: char| !c.is_alphanumeric() && c != '_').unwrap_or(after.len());
            let name = &after[..end];
            rest = after[end..].strip_prefix('}').unwrap_or(&after[end..]);
            out += &self.variable(name, request, client, path, args);
        }
        out + rest
    }

    fn variable(
        &self, name: &str, request: &Message, client: IpAddr, path: &str, args: Option<&str>,
    ) -> String {
        let block = |n: &&Node| {
            (n.is("map") || n.is("geo")) && n.words.last().is_some_and(|w| *w == format!("${name}"))
        };
        if let Some(node) = self.http.iter().find(block) {
            let entries: Vec<_> =
                node.inside.iter().map(|n| (n.arg(0).to_string(), n.arg(1).to_string())).collect();
            let default = entries.iter().find(|e| e.0 == "default").map(|e| e.1.clone()).unwrap_or_default();
            if node.is("map") {
                let source = self.expand(node.arg(1), request, client, path, args).to_lowercase();
                let found = entries.iter().find(|e| e.0.to_lowercase() == source && e.0 != "default");
                return found.map_or(default, |e| e.1.clone());
            }
            let bits = |net: &str| net.split_once('/').and_then(|n| n.1.parse::<u32>().ok()).unwrap_or(32);
            let rule = |net: &str| Node { words: vec!["allow".into(), net.into()], inside: vec![] };
            let deny = Node { words: vec!["deny".into(), "all".into()], inside: vec![] };
            let holds = |net: &str| {
                let location = Node { words: vec![], inside: vec![rule(net), deny.clone()] };
                self.may(&Node { words: vec![], inside: vec![] }, &location, client)
            };
            let nets = entries.iter().filter(|e| e.0 != "default" && holds(&e.0));
            return nets.max_by_key(|e| bits(&e.0)).map_or(default, |e| e.1.clone());
        }
        let argument = |wanted: &str| {
            let pairs = args.unwrap_or_default().split('&').filter_map(|p| p.split_once('='));
            pairs.into_iter().find(|p| p.0 == wanted).map_or(String::new(), |p| p.1.to_string())
        };
        match name {
            "remote_addr" => client.to_string(),
            "request_uri" => request.first[1].clone(),
            "uri" => path.to_string(),
            "host" => request.field("host").unwrap_or_default().to_string(),
            n => match n.split_once('_') {
                Some(("arg", wanted)) => argument(wanted),
                Some(("http", wanted)) => {
                    request.field(&wanted.replace('_', "-")).unwrap_or_default().to_string()
                }
                _ => String::new(),
            },
        }
    }

    fn done(&self, address: SocketAddr, answered: bool) {
        for group in self.groups.borrow_mut().values_mut() {
            for server in group.servers.iter_mut().filter(|s| s.address == address) {
                server.out = server.out.saturating_sub(1);
                if answered {
                    server.fails = 0;
                } else {
                    server.failed();
                }
            }
        }
    }

    /// Serves on a port of its own.
    ///
    /// # Errors
    /// No port is to be had.
    pub async fn serve(self: Rc<Self>) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        spawn_local(async move {
            while let Ok((stream, peer)) = listener.accept().await {
                spawn_local(self.clone().attend(stream, peer.ip()));
            }
        });
        Ok(address)
    }

    async fn attend(self: Rc<Self>, stream: TcpStream, client: IpAddr) -> io::Result<()> {
        let mut wire = Wire::new(stream);
        let mut kept: HashMap<SocketAddr, Wire> = HashMap::new();
        while let Some(request) = wire.read().await? {
            let status = match self.choose(&request, client) {
                Chosen::Status(status) => status,
                Chosen::To(address, target) => {
                    let asked = async {
                        let mut server = match kept.remove(&address) {
                            Some(server) => server,
                            None => Wire::to(address, None).await?,
                        };
                        let id = request.field("x-correlation-id").unwrap_or_default();
                        let answer = server.ask(&crate::http::post("proxied", &target, id, "")).await?;
                        Ok::<_, io::Error>((server, answer.status()))
                    };
                    let asked = timeout(READ_TIME, asked).await;
                    self.done(address, matches!(asked, Ok(Ok(_))));
                    match asked {
                        Ok(Ok((server, status))) => {
                            kept.insert(address, server);
                            status
                        }
                        Ok(Err(_)) => 502,
                        Err(_) => 504,
                    }
                }
            };
            wire.write(format!("HTTP/1.1 {status} .\r\nContent-Length: 0\r\n\r\n").as_bytes()).await?;
        }
        Ok(())
    }
}

fn plain_path(raw: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = raw.bytes();
    while let Some(b) = rest.next() {
        if b == b'%' {
            let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
            let digits = String::from_utf8_lossy(&digits).into_owned();
            bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
        } else {
            bytes.push(b);
        }
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let mut parts: Vec<&str> = Vec::new();
    let all: Vec<&str> = text.split('/').collect();
    for part in &all {
        match *part {
            "" | "." => {}
            ".." => drop(parts.pop()),
            other => parts.push(other),
        }
    }
    let open = all.last().is_some_and(|l| ["", ".", ".."].contains(l)) && !parts.is_empty();
    format!("/{}{}", parts.join("/"), if open { "/" } else { "" })
}

fn escaped(path: &str) -> String {
    path.bytes()
        .map(|b| {
            if b == b' ' || b == b'%' || b == b'?' || b > 126 {
                format!("%{b:02X}")
            } else {
                char::from(b).to_string()
            }
        })
        .collect()
}

/// The few regexes of the samples: anchors, classes, `\d`, `\.`, groups of words, `+`, `*` and counts. Matched
/// by going back, so for samples only.
fn regex(pattern: &str, text: &str) -> bool {
    let p: Vec<char> = pattern.trim_start_matches('^').chars().collect();
    let t: Vec<char> = text.chars().collect();
    let starts = if pattern.starts_with('^') { 0..=0 } else { 0..=t.len() };
    starts.into_iter().any(|at| matches(&p, &t[at..]))
}

fn matches(p: &[char], t: &[char]) -> bool {
    let Some(first) = p.first() else { return true };
    if *first == '$' && p.len() == 1 {
        return t.is_empty();
    }
    if *first == '(' {
        let end = p.iter().position(|c| *c == ')').unwrap_or(p.len() - 1);
        let words: String = p[1..end].iter().collect();
        return words.split('|').any(|w| {
            let mut whole: Vec<char> = w.chars().collect();
            whole.extend_from_slice(&p[end + 1..]);
            matches(&whole, t)
        });
    }
    let (size, set): (usize, Box<dyn Fn(char) -> bool>) = match first {
        '\\' if p[1] == 'd' => (2, Box::new(|c| c.is_ascii_digit())),
        '\\' => {
            let it = p[1];
            (2, Box::new(move |c| c == it))
        }
        '[' => {
            let end = p.iter().position(|c| *c == ']').unwrap_or(p.len() - 1);
            let (low, high) = (p[1], p[end - 1]);
            (end + 1, Box::new(move |c| (low..=high).contains(&c)))
        }
        '.' => (1, Box::new(|_| true)),
        c => {
            let it = *c;
            (1, Box::new(move |c| c == it))
        }
    };
    let rest = &p[size..];
    let (least, most, rest) = match rest.first() {
        Some('+') => (1, usize::MAX, &rest[1..]),
        Some('*') => (0, usize::MAX, &rest[1..]),
        Some('{') => {
            let end = rest.iter().position(|c| *c == '}').unwrap_or(rest.len() - 1);
            let counts: String = rest[1..end].iter().collect();
            let (low, high) = counts.split_once(',').unwrap_or((&counts, &counts));
            (low.parse().unwrap_or(0), high.parse().unwrap_or(usize::MAX), &rest[end + 1..])
        }
        _ => (1, 1, rest),
    };
    let run = t.iter().take_while(|c| set(**c)).count().min(most);
    run >= least && (least..=run).rev().any(|n| matches(rest, &t[n..]))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn published_vectors() {
        // The sequence of nginx's commit 52327e0627f4, and the check value of CRC-32.
        let server = |(n, weight): (usize, i64)| Server {
            address: format!("127.0.0.1:{}", 7000 + n).parse().unwrap(),
            text: String::new(),
            weight,
            backup: false,
            down: false,
            current: 0,
            out: 0,
            max_fails: 1,
            fail_timeout: Duration::from_secs(10),
            fails: 0,
            failed: None,
        };
        let servers = [5, 1, 1].into_iter().enumerate().map(server).collect();
        let mut group = Upstream { method: vec![], servers, dice: 1 };
        let client = "127.0.0.1".parse().unwrap();
        let seen: Vec<_> = (0..7).map(|_| group.choose(client, b"").unwrap()).collect();
        assert_eq!(seen, [0, 0, 1, 0, 2, 0, 0]);
        assert_eq!(crc32(b"123456789"), 0xcbf4_3926);
    }

    #[test]
    fn its_own_regexes_do_what_the_samples_need() {
        for (pattern, text, fits) in [
            (r"\.php$", "/a.php", true),
            (r"\.php$", "/a.phpx", false),
            (r"\.(gif|jpg)$", "/a.jpg", true),
            (r"^plant\d+\.example$", "plant12.example", true),
            (r"^plant\d+\.example$", "plant.example", false),
            (r"^/id/[0-9]{3,5}$", "/id/1234", true),
            (r"^/id/[0-9]{3,5}$", "/id/123456", false),
        ] {
            assert_eq!(regex(pattern, text), fits, "{pattern} {text}");
        }
    }
}
