//! Variables, and text with variables in it: the keys of limits and of hashing, and what `map` looks up.

use crate::config::{GeoConfig, MapConfig};
use crate::table::Request;
use ipnet::IpNet;
use std::borrow::Cow;
use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;

/// Maps that stand on one another, at most: without it one that names itself would never end.
const DEPTH_MAX: usize = 8;
/// Bytes of an expanded text, at most: a longer one is cut, so that keys stay within what a table may hold.
pub const VALUE_MAX: usize = 1024;

#[derive(Debug, Clone, PartialEq)]
enum Part {
    Text(String),
    RemoteAddr,
    BinaryRemoteAddr,
    Host,
    Uri,
    RequestUri,
    Args,
    Method,
    Scheme,
    Header(String),
    Argument(String),
    Cookie(String),
    Custom(String),
}

/// Text with variables.
#[derive(Debug, Clone, PartialEq)]
pub struct Template(Vec<Part>);

impl Template {
    /// Reads a text. `custom` says whether a variable is one of the table's own.
    ///
    /// # Errors
    /// A variable that is not known, by its name.
    pub fn parse(text: &str, custom: &dyn Fn(&str) -> bool) -> Result<Template, String> {
        let mut parts = Vec::new();
        let mut rest = text;
        while let Some(at) = rest.find('$') {
            if at > 0 {
                parts.push(Part::Text(rest[..at].to_string()));
            }
            rest = &rest[at + 1..];
            let name;
            if let Some(inside) = rest.strip_prefix('{') {
                let end = inside.find('}').ok_or_else(|| format!("{{{inside}"))?;
                name = &inside[..end];
                rest = &inside[end + 1..];
            } else {
                let end = rest.find(|c: char| !c.is_ascii_alphanumeric() && c != '_').unwrap_or(rest.len());
                name = &rest[..end];
                rest = &rest[end..];
            }
            parts.push(part(name, custom).ok_or_else(|| name.to_string())?);
        }
        if !rest.is_empty() {
            parts.push(Part::Text(rest.to_string()));
        }
        Ok(Template(parts))
    }

    /// What the text is for a request.
    pub fn expand(&self, request: &Request<'_>, vars: &Variables) -> Vec<u8> {
        let mut out = Vec::new();
        self.append(request, vars, 0, &mut out);
        out.truncate(VALUE_MAX);
        out
    }

    fn append(&self, request: &Request<'_>, vars: &Variables, depth: usize, out: &mut Vec<u8>) {
        for part in &self.0 {
            let text: Cow<'_, [u8]> = match part {
                Part::Text(text) => Cow::Borrowed(text.as_bytes()),
                Part::RemoteAddr => request.client.to_string().into_bytes().into(),
                Part::BinaryRemoteAddr => match request.client {
                    IpAddr::V4(a) => a.octets().to_vec().into(),
                    IpAddr::V6(a) => a.octets().to_vec().into(),
                },
                Part::Host => request.host().into_bytes().into(),
                Part::Uri => Cow::Borrowed(request.path()),
                Part::RequestUri => Cow::Borrowed(request.target.as_bytes()),
                Part::Args => Cow::Borrowed(request.args().as_bytes()),
                Part::Method => Cow::Borrowed(request.method.as_bytes()),
                Part::Scheme => Cow::Borrowed(b"http"),
                Part::Header(name) => (request.header)(name).unwrap_or_default().into_bytes().into(),
                Part::Argument(name) => {
                    let pairs = request.args().split('&').map(|p| p.split_once('=').unwrap_or((p, "")));
                    let found = pairs.into_iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
                    Cow::Borrowed(found.map_or("", |(_, v)| v).as_bytes())
                }
                Part::Cookie(name) => {
                    let cookies = (request.header)("cookie").unwrap_or_default();
                    let pairs = cookies.split(';').filter_map(|p| p.trim().split_once('='));
                    let found = pairs.into_iter().find(|(n, _)| n == name);
                    found.map_or(Vec::new(), |(_, v)| v.as_bytes().to_vec()).into()
                }
                Part::Custom(name) => {
                    if depth < DEPTH_MAX {
                        vars.append(name, request, depth + 1, out);
                    }
                    continue;
                }
            };
            out.extend_from_slice(&text[..text.len().min(VALUE_MAX)]);
        }
    }
}

fn part(name: &str, custom: &dyn Fn(&str) -> bool) -> Option<Part> {
    let dashed = |n: &str| n.to_ascii_lowercase().replace('_', "-");
    Some(match name {
        n if custom(n) => Part::Custom(n.to_string()),
        "remote_addr" => Part::RemoteAddr,
        "binary_remote_addr" => Part::BinaryRemoteAddr,
        "host" => Part::Host,
        "uri" | "document_uri" => Part::Uri,
        "request_uri" => Part::RequestUri,
        "args" | "query_string" => Part::Args,
        "request_method" => Part::Method,
        "scheme" => Part::Scheme,
        n => match n.split_once('_')? {
            ("http", field) if !field.is_empty() => Part::Header(dashed(field)),
            ("arg", field) if !field.is_empty() => Part::Argument(field.to_string()),
            ("cookie", field) if !field.is_empty() => Part::Cookie(field.to_string()),
            _ => return None,
        },
    })
}

/// Networks and their values; a look-up costs one hash for each prefix length there is.
#[derive(Debug, Default)]
struct Networks {
    by_length: BTreeMap<(bool, u8), HashMap<IpNet, String>>,
}

impl Networks {
    fn find(&self, address: IpAddr) -> Option<&str> {
        let four = address.is_ipv4();
        let lengths = self.by_length.iter().rev().filter(|((v4, _), _)| *v4 == four);
        lengths.into_iter().find_map(|((_, length), networks)| {
            networks.get(&IpNet::new(address, *length).ok()?.trunc()).map(String::as_str)
        })
    }
}

#[derive(Debug)]
enum Variable {
    Geo(Networks, String),
    Map { source: Template, values: HashMap<String, String>, default: String },
}

/// The table's own variables.
#[derive(Debug, Default)]
pub struct Variables(HashMap<String, Variable>);

impl Variables {
    /// Those of `geo` and `map`.
    ///
    /// # Errors
    /// A variable that is set twice, or a source that names an unknown one.
    pub fn build(geo: &[GeoConfig], map: &[MapConfig]) -> Result<Variables, String> {
        let mut vars = HashMap::new();
        let names: Vec<&String> =
            geo.iter().map(|g| &g.variable).chain(map.iter().map(|m| &m.variable)).collect();
        let custom = |name: &str| names.iter().any(|n| *n == name);
        for g in geo {
            let mut networks = Networks::default();
            for (net, value) in &g.networks {
                let net = net.trunc();
                let of_length =
                    networks.by_length.entry((net.addr().is_ipv4(), net.prefix_len())).or_default();
                of_length.insert(net, value.clone());
            }
            if vars.insert(g.variable.clone(), Variable::Geo(networks, g.default.clone())).is_some() {
                return Err(format!("`${}` is set twice", g.variable));
            }
        }
        for m in map {
            let source = Template::parse(&m.source, &custom)
                .map_err(|v| format!("map of `${}`: `${v}` is not known", m.variable))?;
            let values = m.values.iter().map(|(k, v)| (k.to_lowercase(), v.clone())).collect();
            let variable = Variable::Map { source, values, default: m.default.clone() };
            if vars.insert(m.variable.clone(), variable).is_some() {
                return Err(format!("`${}` is set twice", m.variable));
            }
        }
        Ok(Variables(vars))
    }

    /// Whether a variable is one of these.
    pub fn knows(&self, name: &str) -> bool {
        self.0.contains_key(name)
    }

    fn append(&self, name: &str, request: &Request<'_>, depth: usize, out: &mut Vec<u8>) {
        match self.0.get(name) {
            Some(Variable::Geo(networks, default)) => {
                out.extend_from_slice(networks.find(request.client).unwrap_or(default).as_bytes());
            }
            Some(Variable::Map { source, values, default }) => {
                let mut looked_up = Vec::new();
                source.append(request, self, depth, &mut looked_up);
                let key = String::from_utf8_lossy(&looked_up).to_lowercase();
                out.extend_from_slice(values.get(&key).unwrap_or(default).as_bytes());
            }
            None => {}
        }
    }
}
