//! Groups and their real servers.

use super::*;

impl Importer<'_> {
    pub(super) fn upstream(&mut self, d: &Directive, inside: &[Directive]) {
        let [name] = d.arguments() else { return self.leave_all(d, "an upstream has one name") };
        if self.routing.upstream.iter().any(|u| u.name == *name) {
            return self.leave_all(d, "an upstream of that name stands before; the first one holds");
        }
        let (mut method, mut key) = (Method::RoundRobin, String::new());
        for s in inside {
            match (s.name(), s.arguments()) {
                ("server" | "keepalive" | "zone", _) => {}
                ("least_conn", []) => method = Method::LeastConn,
                ("ip_hash", []) => method = Method::IpHash,
                ("hash", [k, how @ ..]) => match (Template::parse(k, &|v| self.own(v)), how) {
                    (Err(unknown), _) => {
                        self.leave(
                            s,
                            format!("`${unknown}` is not known here; the group goes by round robin"),
                        );
                        continue;
                    }
                    (_, []) => (method, key) = (Method::Hash, k.clone()),
                    (_, [word]) if word == "consistent" => (method, key) = (Method::Consistent, k.clone()),
                    _ => {
                        self.leave(s, "`hash KEY` or `hash KEY consistent` is known");
                        continue;
                    }
                },
                ("random", []) => method = Method::Random,
                ("random", [two]) if two == "two" => method = Method::RandomTwo,
                ("random", [two, by]) if two == "two" && by == "least_conn" => method = Method::RandomTwo,
                ("random", _) => {
                    method = Method::RandomTwo;
                    self.differs(
                        s,
                        "the one of two with fewer calls out is taken: answers' times are not compared",
                    );
                }
                ("least_time", _) => {
                    method = Method::LeastConn;
                    self.differs(
                        s,
                        "the one with fewest calls out is taken: answers' times are not compared",
                    );
                }
                _ => {
                    self.other(s);
                    continue;
                }
            }
            if s.name() != "server" && s.name() != "keepalive" && s.name() != "zone" {
                self.carry(s);
            } else if s.name() != "server" {
                self.other(s);
            }
        }
        let mut server = Vec::new();
        let mut origins = Vec::new();
        for s in inside.iter().filter(|s| s.name() == "server") {
            if let Some(peer) = self.peer(s, method, &server) {
                server.push(peer);
                origins.push(s.at);
            }
        }
        if server.iter().all(|s| s.backup) {
            return self.leave(
                d,
                "no server that is no backup could be carried over; what is passed to it is answered 502",
            );
        }
        self.carry(d);
        self.origins.upstreams.push(d.at);
        self.origins.servers.push(origins);
        self.destinations += 1;
        let (name, destination) = (name.clone(), self.destinations);
        self.routing.upstream.push(UpstreamConfig { name, destination, method, key, server });
    }

    pub(super) fn peer(
        &mut self, d: &Directive, method: Method, before: &[PeerConfig],
    ) -> Option<PeerConfig> {
        let Some((written, words)) = d.arguments().split_first() else {
            self.leave(d, "an address is needed");
            return None;
        };
        let Some(address) = address(written, 80) else {
            let why = if written.starts_with("unix:") {
                "sockets of the file system are not spoken to"
            } else {
                "names are not looked up; an address is needed"
            };
            self.leave(d, why);
            return None;
        };
        if written.starts_with("localhost") {
            self.differs(d, "taken for 127.0.0.1 alone");
        }
        if before.iter().any(|p| p.address == address) {
            self.leave(d, "the address stands in the group before; add to its weight instead");
            return None;
        }
        let name = if *written == address.to_string() { String::new() } else { written.clone() };
        let mut peer = PeerConfig { address, name, weight: 1, max_conns: 0, backup: false, down: false };
        let known_to_nginx = matches!(method, Method::RoundRobin | Method::LeastConn);
        for word in words {
            let (key, value) = word.split_once('=').map_or((word.as_str(), None), |(k, v)| (k, Some(v)));
            let number = value.and_then(|v| v.parse::<u32>().ok());
            match (key, number) {
                ("weight", Some(n @ 1..=65_535)) => peer.weight = n,
                ("weight", Some(n)) if n > 65_535 => {
                    peer.weight = 65_535;
                    self.differs(d, "the weight is 65535, the highest here");
                }
                ("max_conns", Some(n)) => peer.max_conns = n,
                ("max_fails" | "fail_timeout", _) => {
                    self.differs(
                        d,
                        format!("`{word}`: the module finds out by itself who fails and for how long"),
                    );
                }
                ("backup", _) if known_to_nginx => peer.backup = true,
                ("backup", _) => {
                    self.leave(d, "the group's method knows no backup servers (nginx refuses this as well)");
                    return None;
                }
                ("down", _) => peer.down = true,
                ("slow_start", _) => {
                    self.differs(
                        d,
                        format!(
                            "`{word}`: a server that comes back is warmed up as [settings] invariants say"
                        ),
                    );
                }
                ("drain", _) => peer.down = true,
                ("resolve" | "service", _) => {
                    self.leave(d, format!("`{word}`: names are not looked up"));
                    return None;
                }
                _ => self.differs(d, format!("`{word}` is not heeded")),
            }
        }
        self.carry(d);
        Some(peer)
    }

    /// The group of an address that `proxy_pass` names itself.
    pub(super) fn implicit(&mut self, d: &Directive, host: &str, address: SocketAddr) -> String {
        if !self.routing.upstream.iter().any(|u| u.name == host) {
            self.destinations += 1;
            self.origins.upstreams.push(d.at);
            self.origins.servers.push(vec![d.at]);
            let peer = PeerConfig {
                address,
                name: String::new(),
                weight: 1,
                max_conns: 0,
                backup: false,
                down: false,
            };
            self.routing.upstream.push(UpstreamConfig {
                name: host.into(),
                destination: self.destinations,
                method: Method::RoundRobin,
                key: String::new(),
                server: vec![peer],
            });
        }
        host.to_string()
    }
}
