//! Building of a table from its configuration, and what is checked on the way.

use std::collections::BTreeSet;

use super::check::check_upstream;
use super::hosts::HostNames;
use super::{BuildError, CountedAs, Host, Location, Table, Upstream};
use crate::config::{HostConfig, LocationConfig, Match, Method, RoutingConfig};
use crate::location::{Entry, Level};
use crate::vars::{Template, Variables};

/// Locations inside one another, at most.
const DEPTH_MAX: usize = 16;

impl Table {
    /// Builds the table and checks all that it refers to.
    ///
    /// # Errors
    /// What cannot work, by the entry that it is in.
    pub fn build(config: &RoutingConfig) -> Result<Table, BuildError> {
        let variables = Variables::build(&config.geo, &config.map).map_err(BuildError)?;
        let custom = |name: &str| variables.knows(name);
        let template = |text: &str, what: &dyn Fn() -> String| {
            Template::parse(text, &custom).map_err(|v| BuildError(format!("{}: `${v}` is not known", what())))
        };
        let mut zone_keys = Vec::new();
        let mut zone_names = BTreeSet::new();
        for zone in &config.zone {
            let what = || format!("zone `{}`", zone.name);
            if !zone_names.insert(&zone.name) {
                return Err(BuildError(format!("{} stands twice", what())));
            }
            if zone.rate_per_s.is_some_and(|r| !r.is_finite() || r <= 0.0) || zone.keys == 0 {
                return Err(BuildError(format!("{}: its rate and its keys have to be above 0", what())));
            }
            zone_keys.push(template(&zone.key, &what)?);
        }
        let mut upstreams = Vec::new();
        let mut destinations = BTreeSet::new();
        for u in &config.upstream {
            check_upstream(u)?;
            if !destinations.insert(u.destination)
                || config.upstream.iter().filter(|o| o.name == u.name).count() > 1
            {
                return Err(BuildError(format!(
                    "upstream `{}`: its name or destination stands twice",
                    u.name
                )));
            }
            let key = match u.method {
                Method::Hash | Method::Consistent => {
                    Some(template(&u.key, &|| format!("upstream `{}`", u.name))?)
                }
                _ => None,
            };
            upstreams.push(Upstream {
                name: u.name.clone(),
                destination: u.destination,
                method: u.method,
                key,
            });
        }
        let zones = config.zone.clone();
        let mut table = Table {
            names: HostNames::default(),
            hosts: Vec::new(),
            locations: Vec::new(),
            upstreams,
            zones,
            zone_keys,
            variables,
        };
        for host in &config.host {
            table.add_host(host)?;
        }
        Ok(table)
    }

    fn add_host(&mut self, host: &HostConfig) -> Result<(), BuildError> {
        let number = self.hosts.len();
        let shown = host.names.first().cloned().unwrap_or_default();
        let wrong = |e: String| BuildError(format!("host `{shown}`: {e}"));
        for name in &host.names {
            self.names.insert(name, number).map_err(wrong)?;
        }
        if host.default {
            self.names.default = number;
        }
        let level = self.level(&host.location, 0).map_err(wrong)?;
        self.hosts.push(Host { shown, level });
        Ok(())
    }

    fn level(&mut self, locations: &[LocationConfig], depth: usize) -> Result<Level, String> {
        if depth > DEPTH_MAX {
            return Err("locations too deep in one another".into());
        }
        let mut entries = Vec::new();
        for l in locations {
            let modifier = match l.kind {
                Match::Prefix | Match::Named => "",
                Match::PrefixFirst => "^~ ",
                Match::Exact => "= ",
                Match::Regex => "~ ",
                Match::RegexNoCase => "~* ",
            };
            let shown = format!("{modifier}{}", l.path);
            let wrong = |e: String| format!("location `{shown}`: {e}");
            let plain = matches!(l.kind, Match::Prefix | Match::PrefixFirst | Match::Exact);
            if plain && !l.path.starts_with('/') {
                return Err(wrong("its path has to begin with `/`".into()));
            }
            if !plain && l.uri.is_some() {
                return Err(wrong("`uri` needs a path whose place it can take".into()));
            }
            if l.uri.as_ref().is_some_and(|u| !u.starts_with('/')) {
                return Err(wrong("`uri` has to begin with `/`".into()));
            }
            let upstream = l.upstream.as_ref().map(|name| {
                let at = self.upstreams.iter().position(|u| u.name == *name);
                at.ok_or_else(|| wrong(format!("there is no upstream `{name}`")))
            });
            let upstream = upstream.transpose()?;
            let mut limits = Vec::new();
            let zone = |name: &str, rate: bool| {
                let at = self.zones.iter().position(|z| z.name == name && z.rate_per_s.is_some() == rate);
                let kind = if rate { "with a rate" } else { "without a rate" };
                at.ok_or_else(|| wrong(format!("there is no zone `{name}` {kind}")))
            };
            for limit in &l.limit_req {
                limits.push((zone(&limit.zone, true)?, CountedAs::Rate { burst: limit.burst }));
            }
            for limit in &l.limit_conn {
                limits.push((zone(&limit.zone, false)?, CountedAs::InHand { most: limit.most }));
            }
            let number = self.locations.len();
            self.locations.push(Location {
                shown,
                prefix: plain.then_some(l.path.len()),
                upstream,
                uri: l.uri.clone(),
                answer: l.answer,
                access: l.access.clone(),
                limits,
                max_body: l.max_body,
            });
            let inside = self.level(&l.location, depth + 1)?;
            entries.push(Entry { kind: l.kind, path: l.path.clone(), number, inside });
        }
        Level::build(entries)
    }
}
