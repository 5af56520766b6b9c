//! A reader of configurations: directives with their words and blocks.

use std::path::Path;

/// A directive: its words, and what stands in its block.
#[derive(Debug, Clone)]
pub(super) struct Node {
    pub(super) words: Vec<String>,
    pub(super) inside: Vec<Node>,
}

impl Node {
    pub(super) fn is(&self, name: &str) -> bool {
        self.words[0] == name
    }
    pub(super) fn arg(&self, n: usize) -> &str {
        self.words.get(n).map_or("", String::as_str)
    }
}

pub(super) fn read_nodes(folder: &Path, text: &str) -> Vec<Node> {
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
pub(super) fn text_after(chars: &[char], from: usize) -> usize {
    let indent = |at: usize| {
        let line = chars[..at].iter().rposition(|c| *c == '\n').map_or(0, |n| n + 1);
        chars[line..].iter().take_while(|c| **c == ' ').count()
    };
    let depth = indent(from);
    (from..chars.len()).find(|at| chars[*at] == '}' && indent(*at) == depth).map_or(chars.len(), |at| at + 1)
}

pub(super) fn nodes(folder: &Path, tokens: &mut std::vec::IntoIter<String>) -> Vec<Node> {
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

pub(super) fn included(folder: &Path, pattern: &str) -> Vec<Node> {
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
