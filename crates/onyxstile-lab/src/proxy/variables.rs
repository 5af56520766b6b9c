//! Variables of a configuration, as a request gives them their values.

use std::net::IpAddr;

use super::Proxy;
use super::nodes::Node;
use crate::http::Message;

impl Proxy {
    pub(super) fn expand(
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

    pub(super) fn variable(
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
}
