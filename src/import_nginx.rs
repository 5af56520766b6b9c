//! Reads `upstream` and `location` blocks of an nginx configuration and writes them as an operator's file.
//!
//! What has no counterpart here is reported with its line, never dropped unseen.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;

/// Bytes of a configuration, depth of its blocks and words of a directive, at most.
const TEXT_MAX: usize = 1 << 20;
const DEPTH_MAX: usize = 16;
const WORDS_MAX: usize = 256;

/// A configuration that cannot be read at all.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ImportError {
    /// The line.
    pub line: usize,
    /// What is wrong there.
    pub what: &'static str,
}

impl std::fmt::Display for ImportError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "line {}: {}", self.line, self.what)
    }
}

impl std::error::Error for ImportError {}

/// What came of an import.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Imported {
    /// The operator's file.
    pub file: String,
    /// What it could not carry over: lines and reasons.
    pub left: Vec<(usize, String)>,
}

#[derive(Debug)]
struct Directive {
    line: usize,
    words: Vec<String>,
    block: Option<Vec<Directive>>,
}

impl Directive {
    fn name(&self) -> &str {
        self.words.first().map_or("", String::as_str)
    }
}

#[derive(Debug, PartialEq)]
enum Token {
    Word(String),
    End,
    Open,
    Close,
}

/// Splits the text into words and borders, each with its line.
fn tokens(text: &str) -> Result<Vec<(usize, Token)>, ImportError> {
    let mut tokens = Vec::new();
    let mut chars = text.chars().peekable();
    let mut line = 1;
    while let Some(c) = chars.next() {
        match c {
            '\n' => line += 1,
            c if c.is_whitespace() => {}
            '#' => while chars.next_if(|c| *c != '\n').is_some() {},
            ';' => tokens.push((line, Token::End)),
            '{' => tokens.push((line, Token::Open)),
            '}' => tokens.push((line, Token::Close)),
            '"' | '\'' => {
                let (start, mut word) = (line, String::new());
                loop {
                    match chars.next() {
                        None => return Err(ImportError { line: start, what: "a quote that does not end" }),
                        Some('\\') => word.extend(chars.next()),
                        Some(end) if end == c => break,
                        Some(other) => {
                            line += usize::from(other == '\n');
                            word.push(other);
                        }
                    }
                }
                tokens.push((start, Token::Word(word)));
            }
            first => {
                let mut word = String::from(first);
                // A variable in braces is part of its word.
                while let Some(c) = chars.next_if(|c| {
                    !c.is_whitespace() && !";{}".contains(*c)
                        || word.ends_with('$') && *c == '{'
                        || word.contains("${") && *c == '}'
                }) {
                    word.push(c);
                }
                tokens.push((line, Token::Word(word)));
            }
        }
    }
    Ok(tokens)
}

fn block(
    tokens: &mut std::iter::Peekable<std::vec::IntoIter<(usize, Token)>>, depth: usize, opened: usize,
) -> Result<Vec<Directive>, ImportError> {
    if depth > DEPTH_MAX {
        return Err(ImportError { line: opened, what: "blocks too deep in one another" });
    }
    let mut found = Vec::new();
    let (mut words, mut first) = (Vec::new(), opened);
    while let Some((line, token)) = tokens.next() {
        match token {
            Token::Word(word) => {
                if words.is_empty() {
                    first = line;
                }
                if words.len() == WORDS_MAX {
                    return Err(ImportError { line, what: "too many words" });
                }
                words.push(word);
            }
            Token::End if words.is_empty() => {}
            Token::End => {
                found.push(Directive { line: first, words: std::mem::take(&mut words), block: None })
            }
            Token::Open if words.is_empty() => {
                return Err(ImportError { line, what: "a block with no name" });
            }
            Token::Open => {
                let inside = block(tokens, depth + 1, line)?;
                found.push(Directive { line: first, words: std::mem::take(&mut words), block: Some(inside) });
            }
            Token::Close if depth > 0 && words.is_empty() => return Ok(found),
            Token::Close => {
                return Err(ImportError { line, what: "a `}` too many, or a `;` missing before it" });
            }
        }
    }
    if depth > 0 || !words.is_empty() {
        return Err(ImportError { line: first, what: "the end is missing" });
    }
    Ok(found)
}

#[derive(Default)]
struct Importer {
    /// Upstreams: their destination, by name.
    upstreams: BTreeMap<String, u64>,
    servers: String,
    routes: String,
    paths: BTreeMap<String, usize>,
    left: Vec<(usize, String)>,
}

/// Reads a configuration.
///
/// # Errors
/// A text that is no such configuration.
pub fn import(text: &str) -> Result<Imported, ImportError> {
    if text.len() > TEXT_MAX {
        return Err(ImportError { line: 1, what: "over 1 MiB" });
    }
    let all = block(&mut tokens(text)?.into_iter().peekable(), 0, 1)?;
    let mut importer = Importer::default();
    importer.find_upstreams(&all);
    importer.walk(&all);
    importer.left.sort();
    let file = format!(
        "# From an nginx configuration. Without a platform, add [relay] with `state`, [http] with `listen` and\n\
         # `outcomes`, and [settings] with the classes; `onyxstile check` says what is missing.\n{}{}",
        importer.servers, importer.routes
    );
    Ok(Imported { file, left: importer.left })
}

impl Importer {
    fn leave(&mut self, d: &Directive, why: &str) {
        let shown: String = d.words.join(" ").chars().filter(|c| !c.is_control()).take(80).collect();
        self.left.push((d.line, format!("`{shown}`: {why}")));
    }

    /// Locations may come before the upstreams that they name.
    fn find_upstreams(&mut self, directives: &[Directive]) {
        for d in directives {
            match (d.name(), &d.block) {
                ("upstream", Some(inside)) => self.upstream(d, inside),
                ("http", Some(inside)) => self.find_upstreams(inside),
                _ => {}
            }
        }
    }

    fn upstream(&mut self, d: &Directive, inside: &[Directive]) {
        let [_, name] = &d.words[..] else { return self.leave(d, "an upstream has one name") };
        if self.upstreams.contains_key(name) {
            return self.leave(d, "the name is taken; all of the block is left out");
        }
        let destination = self.upstreams.len() as u64 + 1;
        self.upstreams.insert(name.clone(), destination);
        let mut number = 0;
        for s in inside {
            if s.name() != "server" || s.block.is_some() || s.words.len() < 2 {
                self.leave(s, "the decision module chooses and keeps connections by itself");
                continue;
            }
            let Some(address) = address(&s.words[1]) else {
                self.leave(s, "an address with a port is needed; names are not looked up");
                continue;
            };
            let mut state = "up";
            for word in &s.words[2..] {
                match word.split('=').next().unwrap_or_default() {
                    "down" => state = "draining",
                    "backup" => self.leave(s, "`backup`: it is used like the others"),
                    _ => self.leave(s, &format!("`{word}`: the decision module finds out by itself")),
                }
            }
            number += 1;
            self.server(&format!("{name}-{number}"), address, destination, state);
        }
        if number == 0 {
            self.leave(d, "no server of it could be carried over");
        }
    }

    fn server(&mut self, uid: &str, address: SocketAddr, destination: u64, state: &str) {
        let uid = quoted(uid);
        let _ = write!(
            self.servers,
            "\n[[server]]\nuid = {uid}\naddress = \"{address}\"\nprotocol = \"http\"\ndestination = {destination}\nstate = \"{state}\"\n"
        );
    }

    fn walk(&mut self, directives: &[Directive]) {
        for d in directives {
            match (d.name(), &d.block) {
                ("http" | "server", Some(inside)) => self.walk(inside),
                ("upstream", Some(_)) => {}
                ("location", Some(inside)) => self.location(d, inside),
                (_, Some(_)) => self.leave(d, "the whole block has no counterpart"),
                _ => self.leave(d, "no counterpart"),
            }
        }
    }

    fn location(&mut self, d: &Directive, inside: &[Directive]) {
        let path = match &d.words[..] {
            [_, path] if path.starts_with('/') => path,
            [_, modifier, path] if modifier == "^~" && path.starts_with('/') => path,
            _ => return self.leave(d, "only plain prefixes are carried over; all of the block is left out"),
        };
        let mut to = None;
        for i in inside {
            match (i.name(), &i.block, &i.words[..]) {
                ("proxy_pass", None, [_, target]) if to.is_none() => to = self.target(i, target),
                ("location", Some(deeper), _) => self.location(i, deeper),
                _ => self.leave(i, "no counterpart"),
            }
        }
        let Some(destination) = to else { return self.leave(d, "it passes nothing on to a known server") };
        if let Some(first) = self.paths.insert(path.clone(), d.line) {
            return self.leave(d, &format!("the path is taken in line {first}"));
        }
        let path = quoted(path);
        let _ = write!(self.routes, "\n[[route]]\npath = {path}\ndestination = {destination}\n");
    }

    /// The destination that a `proxy_pass` names: an upstream, or an address that becomes one.
    fn target(&mut self, d: &Directive, target: &str) -> Option<u64> {
        let Some(rest) = target.strip_prefix("http://") else {
            self.leave(d, "only http:// is spoken");
            return None;
        };
        let (host, uri) = rest.split_once('/').map_or((rest, None), |(h, u)| (h, Some(u)));
        if uri.is_some() {
            self.leave(d, "the path after the server is not put in the request's place");
        }
        if let Some(destination) = self.upstreams.get(host) {
            return Some(*destination);
        }
        let Some(address) = address(host) else {
            self.leave(d, "neither an upstream nor an address");
            return None;
        };
        let destination = self.upstreams.len() as u64 + 1;
        self.upstreams.insert(host.to_string(), destination);
        self.server(host, address, destination, "up");
        Some(destination)
    }
}

/// An address, with nginx's port where none is given.
fn address(text: &str) -> Option<SocketAddr> {
    text.parse().ok().or_else(|| format!("{text}:80").parse().ok())
}

/// A string as TOML has it.
fn quoted(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' | '\\' => out.extend(['\\', c]),
            c if c.is_control() => out.push('?'),
            c => out.push(c),
        }
    }
    out + "\""
}

#[cfg(test)]
mod tests {
    use super::*;

    const TEXT: &str = r#"user www; # not ours
http {
    server {
        listen 8080;
        location /orders/ { proxy_pass http://plants; proxy_set_header X "a;{b"; }
        location /direct { proxy_pass http://127.0.0.9:81/x; }
        location ~ \.php$ { proxy_pass http://plants; }
        location /lost { proxy_pass http://nobody; }
        location /orders/ { proxy_pass http://plants; }
    }
    upstream plants {
        least_conn;
        server 127.0.0.1:7001 weight=3 max_fails=2;
        server 127.0.0.2 down;
        server plant.example:80;
    }
}
"#;

    #[test]
    fn upstreams_and_locations_become_a_file_that_works_and_the_rest_is_reported_by_line() {
        let imported = import(TEXT).unwrap();
        let lines: Vec<_> = imported.left.iter().map(|(line, _)| *line).collect();
        assert_eq!(lines, [1, 4, 5, 6, 7, 8, 8, 9, 12, 13, 13, 15], "{:#?}", imported.left);
        let file = crate::net::operator::OperatorFile::parse(&imported.file).unwrap();
        let servers = file.servers();
        let server = |i: usize| {
            let e = &servers[i].entry;
            (e.uid.as_str(), e.endpoint.as_str(), e.pod_group, e.state.as_str())
        };
        assert_eq!(server(0), ("plants-1", "127.0.0.1:7001", 1, "up"));
        assert_eq!(server(1), ("plants-2", "127.0.0.2:80", 1, "draining"));
        assert_eq!(server(2), ("127.0.0.9:81", "127.0.0.9:81", 2, "up"));
        let paths: Vec<_> = file.paths().into_iter().map(|(p, d)| (p, d.0)).collect();
        assert_eq!(paths, [("/orders/".to_string(), 1), ("/direct".to_string(), 2)]);
    }

    #[test]
    fn what_is_no_configuration_is_said_with_its_line() {
        let deep = "a {".repeat(DEPTH_MAX + 2);
        for (text, line) in
            [("a\n{ b", 2), ("a;\n}", 2), ("a \"b", 1), ("{", 1), ("a { b }", 1), (deep.as_str(), 1)]
        {
            assert_eq!(import(text).unwrap_err().line, line, "{text:.20}");
        }
        assert!(import(&"a".repeat(TEXT_MAX + 1)).is_err());
    }
}
