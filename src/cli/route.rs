//! `onyxstile route`: explains a choice without sending anything.

use super::{Done, Failed, Format};
use argh::FromArgs;
use onyxstile::net::operator::OperatorFile;
use onyxstile_routing::table::{Place, Request};
use onyxstile_routing::{Groups, Limits, Proposal, Resolution, RoutingConfig, Table};
use serde::Serialize;
use std::net::IpAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Say where a request would go by an operator's file, and which real servers would be chosen, all of them well.
#[derive(FromArgs)]
#[argh(subcommand, name = "route")]
pub struct Route {
    /// the operator's file
    #[argh(positional)]
    file: PathBuf,
    /// the host that the request names
    #[argh(option, default = "String::new()")]
    host: String,
    /// its target
    #[argh(option)]
    path: String,
    /// the client's address
    #[argh(option, default = "IpAddr::from([127, 0, 0, 1])")]
    client: IpAddr,
    /// a header field, `name: value`; may be given more than once
    #[argh(option)]
    header: Vec<String>,
    /// how many such requests, one after the other
    #[argh(option, default = "1")]
    count: usize,
    /// text or json
    #[argh(option, default = "Format::Text")]
    format: Format,
}

/// Choices shown, at most.
const COUNT_MAX: usize = 100_000;

#[derive(Debug, Default, Serialize)]
struct Explained {
    server_name: String,
    location: String,
    path: String,
    upstream: String,
    limits: Vec<String>,
    choices: Vec<String>,
    verdict: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<u16>,
}

impl Explained {
    fn at(place: Option<Place>, verdict: &'static str, status: u16) -> Explained {
        let Place { host, location } =
            place.unwrap_or(Place { host: String::new(), location: String::new() });
        Explained { server_name: host, location, verdict, status: Some(status), ..Explained::default() }
    }
}

impl Route {
    /// Explains.
    pub fn run(self) -> Done {
        let file = OperatorFile::read(&self.file).map_err(Failed::unreadable)?;
        let routing = file.routing.unwrap_or_default();
        let table = Table::build(&routing).map_err(Failed::unreadable)?;
        let explained = self.explain(&routing, &table);
        match self.format {
            Format::Json => println!("{}", serde_json::to_string(&explained)?),
            Format::Text => {
                let Explained { server_name, location, path, upstream, limits, choices, verdict, status } =
                    explained;
                let status = status.map_or(String::new(), |s| format!(" ({s})"));
                println!("verdict   {verdict}{status}\nhost      {server_name}\nlocation  {location}");
                if !upstream.is_empty() {
                    println!("upstream  {upstream}\npath      {path}");
                }
                limits.iter().for_each(|l| println!("limit     {l}"));
                choices.iter().for_each(|c| println!("choice    {c}"));
            }
        }
        Ok(ExitCode::SUCCESS)
    }

    fn explain(&self, routing: &RoutingConfig, table: &Table) -> Explained {
        let header = |name: &str| {
            let fields = self.header.iter().filter_map(|h| h.split_once(':'));
            fields
                .into_iter()
                .find(|(n, _)| n.trim().eq_ignore_ascii_case(name))
                .map(|(_, v)| v.trim().to_string())
        };
        let host = Some(self.host.as_str()).filter(|h| !h.is_empty());
        let request = match Request::new(host, "POST", &self.path, self.client, &header, None) {
            Ok(request) => request,
            Err(_) => return Explained::at(None, "unmatched", 400),
        };
        let passed = match table.resolve(&request) {
            Resolution::Pass(passed) => passed,
            Resolution::Denied(place) => return Explained::at(Some(place), "denied", 403),
            Resolution::TooLarge(place) => return Explained::at(Some(place), "denied", 413),
            Resolution::Answer(status, place) => return Explained::at(Some(place), "unmatched", status),
            Resolution::AddSlash(_, place) => return Explained::at(Some(place), "unmatched", 301),
            Resolution::Unmatched(place) => return Explained::at(place, "unmatched", 404),
        };
        let mut groups = Groups::new(routing, 1);
        let upstream = routing.upstream.iter().find(|u| u.name == passed.upstream);
        let servers = upstream.map_or(&[][..], |u| &u.server);
        (0..servers.len()).for_each(|at| groups.name(passed.destination, at, at as u32));
        // All at one moment, by a relay that has run for long: the limits' bursts are whole.
        let start = Duration::ZERO;
        let now = Duration::from_secs(1 << 30);
        let mut limits = Limits::new(table.zones(), start);
        let (mut choices, mut limited) = (Vec::new(), false);
        for _ in 0..self.count.min(COUNT_MAX) {
            if limits.admit(&passed.limits, now).is_err() {
                limited = true;
                break;
            }
            limits.done(&passed.limits);
            if let Proposal::Server(at) = groups.propose(passed.destination, &passed.key, &mut |_| true) {
                choices.extend(servers.get(at as usize).map(|s| s.address.to_string()));
            }
        }
        let limit = |c: &onyxstile_routing::table::Counted| {
            let zone = &table.zones()[c.zone];
            let rate = zone.rate_per_s.map_or(String::new(), |r| format!(", {r} a second"));
            format!("{} by {}{rate}, {:?}", zone.name, zone.key, c.what)
        };
        Explained {
            server_name: passed.place.host,
            location: passed.place.location,
            path: passed.path,
            upstream: passed.upstream,
            limits: passed.limits.iter().map(limit).collect(),
            choices,
            verdict: if limited { "limited" } else { "pass" },
            status: None,
        }
    }
}
