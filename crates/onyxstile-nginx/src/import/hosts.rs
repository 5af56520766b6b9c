//! Hosts, their locations, and what holds in them.

use super::*;

impl Importer<'_> {
    pub(super) fn server(&mut self, d: &Directive, inside: &[Directive], outer: &Scope) {
        let mut names: Vec<String> = Vec::new();
        let mut default = false;
        if server_names(inside).any(|n| self.passing_names.contains(n)) && !passes(d) {
            return self.leave_all(
                d,
                "its names are another block's, which passes requests on; there is one listener here",
            );
        }
        for s in inside {
            match s.name() {
                "listen" => default |= self.listen(s),
                "server_name" => {
                    let mut carried = true;
                    for name in s.arguments() {
                        if !self.name(s, name, &mut names) {
                            carried = false;
                        }
                    }
                    if carried {
                        self.carry(s);
                    }
                }
                _ => {}
            }
        }
        let mut scope = outer.clone();
        self.scope(inside, &mut scope);
        // `return` of a whole server stands before all its locations.
        let answer = inside.iter().find(|s| s.name() == "return" && s.block.is_none());
        let mut locations = Vec::new();
        let at = self.origins.locations.len();
        if let Some(r) = answer {
            let status = self.answer(r);
            self.origins.locations.push(r.at);
            locations.push(LocationConfig { path: "/".into(), answer: Some(status), ..plain(&scope) });
        }
        for s in inside {
            match (s.name(), &s.block) {
                ("listen" | "server_name", _) => {}
                ("return", None) => {}
                ("location", Some(_)) if answer.is_some() => {
                    self.leave_all(s, "the `return` of its server answers before any location is looked for");
                }
                ("location", Some(deeper)) => self.location(s, deeper, &scope, &mut locations),
                (name, _) if SCOPED.contains(&name) => {}
                _ => self.other(s),
            }
        }
        if default && self.routing.host.iter().any(|h| h.default) {
            default = false;
            self.differs(d, "another host is the default already; there is one listener here");
        }
        if names.is_empty() && !self.routing.host.is_empty() && !default {
            self.origins.locations.truncate(at);
            return self.leave(
                d,
                "it has no name of its own; there is one listener here, and its default is another host",
            );
        }
        self.carry(d);
        self.origins.hosts.push(d.at);
        self.routing.host.push(HostConfig { names, default, location: locations });
    }

    pub(super) fn name(&mut self, d: &Directive, name: &str, names: &mut Vec<String>) -> bool {
        let pattern = name.strip_prefix('~');
        if let Some(Err(e)) = pattern.map(|p| location::compile(p, true)) {
            self.leave(d, format!("`{name}`: {e}"));
            return false;
        }
        if pattern.is_none() && name.contains('*') && !name.starts_with("*.") && !name.ends_with(".*") {
            self.leave(d, format!("`{name}`: `*` may stand for whole parts at an end only"));
            return false;
        }
        if !self.taken_names.insert(name.to_string()) {
            self.leave(d, format!("`{name}` is an earlier host's; there is one listener here"));
            return false;
        }
        names.push(name.to_string());
        true
    }

    /// Whether it makes its host the default.
    pub(super) fn listen(&mut self, d: &Directive) -> bool {
        let Some((written, words)) = d.arguments().split_first() else {
            self.leave(d, "an address or a port is needed");
            return false;
        };
        let port = |p: &str| p.parse().ok().map(|p| SocketAddr::from((Ipv4Addr::UNSPECIFIED, p)));
        let any = |p: &str| port(p.strip_prefix("*:")?);
        let at = port(written).or_else(|| any(written)).or_else(|| address(written, 80));
        let at = at.or_else(|| {
            let port = written.strip_prefix("[::]:")?.parse().ok()?;
            Some(SocketAddr::from((Ipv6Addr::UNSPECIFIED, port)))
        });
        let tls = words.iter().any(|w| matches!(w.as_str(), "ssl" | "quic" | "http3"));
        match at {
            None => self.leave(d, "neither an address nor a port"),
            Some(_) if tls => {
                self.leave(d, "TLS is not spoken; its host is reached in the clear at the one listener")
            }
            Some(at) => {
                self.listens.insert(at.to_string());
                if *self.listen.get_or_insert(at) == at {
                    self.carry(d);
                } else {
                    self.differs(
                        d,
                        "there is one listener here, the first; hosts are told apart by their names",
                    );
                }
            }
        }
        words.iter().any(|w| matches!(w.as_str(), "default_server" | "default"))
    }

    /// What of a block holds in it and below.
    pub(super) fn scope(&mut self, inside: &[Directive], scope: &mut Scope) {
        let has = |names: &[&str]| inside.iter().any(|d| names.contains(&d.name()) && d.block.is_none());
        if has(&["allow", "deny"]) {
            scope.access.clear();
        }
        if has(&["limit_req"]) {
            scope.limit_req.clear();
        }
        if has(&["limit_conn"]) {
            scope.limit_conn.clear();
        }
        for d in inside.iter().filter(|d| SCOPED.contains(&d.name())) {
            match (d.name(), d.arguments()) {
                ("allow" | "deny", [whom]) => self.access(d, whom, scope),
                ("client_max_body_size", [size]) => match size_of(size) {
                    Some(bytes) => {
                        scope.max_body = bytes;
                        if bytes == 0 || bytes > BODY_MAX {
                            self.differs(d, "the relay takes 64 KiB at most");
                        }
                        self.carry(d);
                    }
                    None => self.leave(d, "no size"),
                },
                ("limit_req", words) => self.limit_req(d, words, scope),
                ("limit_conn", [zone, most]) => {
                    let known = self.routing.zone.iter().any(|z| z.name == *zone && z.rate_per_s.is_none());
                    match most.parse() {
                        Ok(most) if known => {
                            scope.limit_conn.push(LimitConn { zone: zone.clone(), most });
                            self.differs(d, "counted from a request's head to its verdict: a message that was taken on is no longer in hand");
                        }
                        _ => self.leave(d, "its zone was not carried over, or its number is none"),
                    }
                }
                _ => self.leave(d, "it is not as the documentation has it"),
            }
        }
    }

    pub(super) fn access(&mut self, d: &Directive, whom: &str, scope: &mut Scope) {
        let allow = d.name() == "allow";
        let rule = match (whom, network(whom)) {
            ("all", _) if allow => AccessRule::AllowAll,
            ("all", _) => AccessRule::DenyAll,
            (_, Some(net)) if allow => AccessRule::Allow(net),
            (_, Some(net)) => AccessRule::Deny(net),
            // Left out, an `allow` lets in fewer and a `deny` more than nginx does.
            _ => return self.leave(d, "neither a network nor `all`"),
        };
        scope.access.push(rule);
        self.carry(d);
    }

    pub(super) fn limit_req(&mut self, d: &Directive, words: &[String], scope: &mut Scope) {
        let (mut zone, mut burst, mut at_once) = (None, 0, false);
        for word in words {
            match word.split_once('=').unwrap_or((word, "")) {
                ("zone", name) => zone = Some(name.to_string()),
                ("burst", n) => burst = n.parse().unwrap_or(0),
                ("nodelay", "") => at_once = true,
                ("delay", _) => {}
                _ => self.differs(d, format!("`{word}` is not heeded")),
            }
        }
        let known = |z: &String| self.routing.zone.iter().any(|k| k.name == *z && k.rate_per_s.is_some());
        let Some(zone) = zone.filter(known) else {
            return self.leave(d, "its zone was not carried over");
        };
        if burst > 0 && !at_once {
            self.differs(
                d,
                "what nginx delays is taken on at once; the module paces what goes on to the servers",
            );
        }
        self.carry(d);
        scope.limit_req.push(LimitReq { zone, burst });
    }

    /// The status that a `return` answers with.
    pub(super) fn answer(&mut self, d: &Directive) -> u16 {
        match d.arguments() {
            [status] if status.parse::<u16>().is_ok_and(|s| (100..600).contains(&s)) => {
                self.carry(d);
                status.parse().unwrap_or(404)
            }
            [status, ..] if status.parse::<u16>().is_ok_and(|s| (100..600).contains(&s)) => {
                self.differs(d, "answered with the status alone");
                status.parse().unwrap_or(404)
            }
            [_] => {
                self.differs(d, "answered 302, without where to");
                302
            }
            _ => {
                self.leave(d, "a status is needed; answered 404");
                404
            }
        }
    }

    pub(super) fn location(
        &mut self, d: &Directive, inside: &[Directive], outer: &Scope, level: &mut Vec<LocationConfig>,
    ) {
        let (kind, path) = match d.arguments() {
            [path] if path.starts_with('@') => (Match::Named, path),
            [path] => match path.strip_prefix('=').or(path.strip_prefix("^~")).or(path.strip_prefix('~')) {
                Some(_) => {
                    self.leave_all(d, "a space is needed between the modifier and the path");
                    return;
                }
                None => (Match::Prefix, path),
            },
            [modifier, path] => match modifier.as_str() {
                "=" => (Match::Exact, path),
                "^~" => (Match::PrefixFirst, path),
                "~" => (Match::Regex, path),
                "~*" => (Match::RegexNoCase, path),
                _ => {
                    self.leave_all(d, "no modifier that is known");
                    return;
                }
            },
            _ => {
                self.leave_all(d, "a path is needed");
                return;
            }
        };
        let regex = matches!(kind, Match::Regex | Match::RegexNoCase);
        if regex && let Err(e) = location::compile(path, kind == Match::RegexNoCase) {
            self.leave_all(d, format!("its regex: {e}"));
            return;
        }
        if !regex && kind != Match::Named && !path.starts_with('/') {
            self.leave_all(d, "its path does not begin with `/`, so that no request is ever for it");
            return;
        }
        let alike = |kind: Match| if kind == Match::PrefixFirst { Match::Prefix } else { kind };
        if !regex && level.iter().any(|l| l.path == *path && alike(l.kind) == alike(kind)) {
            return self.leave_all(
                d,
                "the same location stands before (nginx refuses this as well); the first one holds",
            );
        }
        let mut scope = outer.clone();
        self.scope(inside, &mut scope);
        let mut found = LocationConfig { path: path.clone(), kind, ..plain(&scope) };
        let number = self.origins.locations.len();
        self.origins.locations.push(d.at);
        let mut target = None;
        let mut internal = None;
        for i in inside {
            match (i.name(), &i.block, i.arguments()) {
                ("proxy_pass", None, [to]) => {
                    target = Some(self.target(i, to, regex || kind == Match::Named))
                }
                ("location", Some(deeper), _) => self.location(i, deeper, &scope, &mut found.location),
                ("return", None, _) => found.answer = Some(self.answer(i)),
                ("internal", None, []) => internal = Some(i),
                ("fastcgi_pass" | "uwsgi_pass" | "scgi_pass" | "grpc_pass" | "memcached_pass", None, _) => {
                    self.leave(i, "only HTTP is spoken to real servers; answered 502");
                    target = Some(Target::Nowhere);
                }
                (name, ..) if SCOPED.contains(&name) => {}
                _ => self.other(i),
            }
        }
        if let Some(i) = internal {
            found.answer = Some(404);
            self.carry(i);
        }
        match target {
            Some(Target::Group(upstream, uri)) => (found.upstream, found.uri) = (Some(upstream), uri),
            Some(Target::Nowhere) => found.answer = found.answer.or(Some(502)),
            None if found.answer.is_none() && kind != Match::Named && found.location.is_empty() => {
                found.answer = Some(404);
                self.differs(d, "it passes nothing on: answered 404, for the relay serves no files");
            }
            None => {}
        }
        if kind == Match::Named {
            self.origins.locations.truncate(number);
            self.leave(d, "nothing that is carried over leads to it");
            return;
        }
        self.carry(d);
        level.push(found);
    }

    /// Where a `proxy_pass` leads.
    pub(super) fn target(&mut self, d: &Directive, to: &str, bare: bool) -> Target {
        if to.starts_with("https://") {
            self.leave(d, "TLS to real servers is not spoken; answered 502");
            return Target::Nowhere;
        }
        let Some(rest) = to.strip_prefix("http://") else {
            self.leave(d, "only http:// is spoken; answered 502");
            return Target::Nowhere;
        };
        if rest.starts_with("unix:") {
            self.leave(d, "sockets of the file system are not spoken to; answered 502");
            return Target::Nowhere;
        }
        if rest.contains('$') {
            self.leave(d, "a target with variables is not carried; answered 502");
            return Target::Nowhere;
        }
        let (host, uri) = match rest.find('/') {
            Some(at) => (&rest[..at], Some(rest[at..].to_string())),
            None => (rest, None),
        };
        if uri.is_some() && bare {
            self.leave(d, "a path after the server has no place in a location by regex or name (nginx refuses this as well); answered 502");
            return Target::Nowhere;
        }
        let group = if self.routing.upstream.iter().any(|u| u.name == host) {
            host.to_string()
        } else if let Some(address) = address(host, 80) {
            self.implicit(d, host, address)
        } else {
            self.leave(
                d,
                "no upstream of that name was carried over, and names are not looked up; answered 502",
            );
            return Target::Nowhere;
        };
        self.carry(d);
        Target::Group(group, uri)
    }
}
