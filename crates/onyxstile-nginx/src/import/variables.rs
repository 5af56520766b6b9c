//! Variables and the zones that limits count in.

use super::*;

impl Importer<'_> {
    pub(super) fn variable(&mut self, d: &Directive) {
        match (d.name(), &d.block, d.arguments()) {
            ("geo", Some(inside), [variable]) => self.geo(d, "", variable, inside),
            ("geo", Some(inside), [address, variable]) => self.geo(d, address, variable, inside),
            ("map", Some(inside), [source, variable]) => self.map(d, source, variable, inside),
            ("split_clients", Some(_), _) => self.other(d),
            _ => self.leave_all(d, "a block with its source and its variable is needed"),
        }
    }

    pub(super) fn own(&self, variable: &str) -> bool {
        self.routing.geo.iter().any(|g| g.variable == variable)
            || self.routing.map.iter().any(|m| m.variable == variable)
    }

    pub(super) fn geo(&mut self, d: &Directive, address: &str, variable: &str, inside: &[Directive]) {
        let name = variable.trim_start_matches('$');
        if !matches!(address, "" | "$remote_addr") {
            return self.leave_all(d, "only the address of the client's connection is looked up");
        }
        if self.own(name) {
            return self.leave_all(d, "the variable is set before");
        }
        let (mut default, mut networks) = (String::new(), BTreeMap::new());
        for entry in inside {
            match (&entry.words[..], network(entry.name())) {
                ([word, value], _) if word == "default" => {
                    default = value.clone();
                    self.carry(entry);
                }
                ([_, value], Some(net)) => {
                    networks.insert(net, value.clone());
                    self.carry(entry);
                }
                ([word], _) if word == "ranges" => {
                    self.leave(entry, "ranges of addresses are not carried, networks are")
                }
                ([word, _], _) if word == "include" => self.carry(entry),
                ([word, _], _) if matches!(word.as_str(), "proxy" | "delete") => {
                    self.leave(entry, "the client's address is its connection's, and what is set stays set");
                }
                _ => self.leave(entry, "neither a network nor `default`"),
            }
        }
        self.carry(d);
        self.origins.geo.push(d.at);
        self.routing.geo.push(GeoConfig { variable: name.into(), default, networks });
    }

    pub(super) fn map(&mut self, d: &Directive, source: &str, variable: &str, inside: &[Directive]) {
        let name = variable.trim_start_matches('$');
        if self.own(name) {
            return self.leave_all(d, "the variable is set before");
        }
        if let Err(unknown) = Template::parse(source, &|v| self.own(v) || v == name) {
            return self.leave_all(d, format!("`${unknown}` is not known here"));
        }
        let (mut default, mut values) = (String::new(), BTreeMap::new());
        for entry in inside {
            match &entry.words[..] {
                [word] if word == "volatile" => self.level(entry, Level::NoConcern),
                [word] if word == "hostnames" => {
                    self.leave(entry, "names with a `*` are not carried, whole names are");
                }
                [word, _] if word == "include" => self.carry(entry),
                [_, value] if value.contains('$') => self.leave(entry, "values are literal"),
                [word, value] if word == "default" => {
                    default = value.clone();
                    self.carry(entry);
                }
                [word, _] if word.starts_with('~') => {
                    self.leave(entry, "regexes are not carried, whole values are")
                }
                [word, value] => {
                    let literal = word.strip_prefix('\\').unwrap_or(word);
                    values.insert(literal.to_string(), value.clone());
                    self.carry(entry);
                }
                _ => self.leave(entry, "a value and what it becomes are needed"),
            }
        }
        self.carry(d);
        self.origins.map.push(d.at);
        let source = source.to_string();
        self.routing.map.push(MapConfig { variable: name.into(), source, default, values });
    }

    pub(super) fn zone(&mut self, d: &Directive) {
        let rated = d.name() == "limit_req_zone";
        let Some((key, rest)) = d.arguments().split_first() else { return self.leave(d, "a key is needed") };
        if let Err(unknown) = Template::parse(key, &|v| self.own(v)) {
            return self.leave(d, format!("`${unknown}` is not known here; its limits do not hold"));
        }
        let (mut name, mut keys, mut rate) = (None, KEYS_PER_MB, None);
        for word in rest {
            match word.split_once('=') {
                Some(("zone", value)) => {
                    let (zone, size) = value.split_once(':').unwrap_or((value, "1m"));
                    name = Some(zone.to_string());
                    let bytes = size_of(size).unwrap_or(1 << 20);
                    keys = (bytes.saturating_mul(KEYS_PER_MB) >> 20).max(1);
                }
                Some(("rate", value)) => rate = rate_of(value),
                _ => self.differs(d, format!("`{word}` is not heeded")),
            }
        }
        let Some(name) = name else { return self.leave(d, "`zone=NAME:SIZE` is needed") };
        if rated && rate.is_none() {
            return self.leave(d, "`rate=N r/s` or `r/m` is needed, and above 0");
        }
        if self.routing.zone.iter().any(|z| z.name == name) {
            return self.leave(d, "a zone of that name stands before; the first one holds");
        }
        if keys > KEYS_MAX {
            self.differs(d, format!("{KEYS_MAX} keys are held at most"));
        }
        self.carry(d);
        self.origins.zones.push(d.at);
        let rate_per_s = rate.filter(|_| rated);
        self.routing.zone.push(ZoneConfig {
            name,
            key: key.clone(),
            keys: keys.min(KEYS_MAX) as usize,
            rate_per_s,
        });
    }
}
