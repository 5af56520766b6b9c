//! Directives and blocks, each with its place, and the files that they include.

use crate::lex::{LexError, Lexer, Place, Token};
use std::fmt;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// Bounds of a configuration: beyond them it is refused, for each of them could otherwise grow without end.
const DEPTH_MAX: usize = 64;
const FILES_MAX: usize = 2000;
const INCLUDE_DEPTH_MAX: usize = 16;
const WORDS_MAX: usize = 1024;
const DIRECTIVES_MAX: usize = 1_000_000;
const BYTES_MAX: usize = 64 << 20;

/// A directive's file, line and column.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct At {
    /// The file's number in [`Files`].
    pub file: u32,
    /// The place in it.
    pub place: Place,
}

/// A directive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Directive {
    /// Where it stands.
    pub at: At,
    /// Its words, its name first.
    pub words: Vec<String>,
    /// What stands in its block.
    pub block: Option<Vec<Directive>>,
}

impl Directive {
    /// Its name.
    pub fn name(&self) -> &str {
        self.words.first().map_or("", String::as_str)
    }

    /// The words after its name.
    pub fn arguments(&self) -> &[String] {
        self.words.get(1..).unwrap_or_default()
    }

    /// How many directives it is, with all that stand in it.
    pub fn count(&self) -> usize {
        1 + self.block.iter().flatten().map(Directive::count).sum::<usize>()
    }

    /// As it is shown in a message.
    pub fn shown(&self) -> String {
        let mut text: String = self.words.join(" ").chars().filter(|c| !c.is_control()).take(80).collect();
        if self.block.is_some() {
            text.push_str(" {…}");
        }
        text
    }
}

/// The files of a configuration, by number.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Files(Vec<PathBuf>);

impl Files {
    /// The path of a file.
    pub fn path(&self, file: u32) -> &Path {
        self.0.get(file as usize).map_or(Path::new(""), PathBuf::as_path)
    }

    /// `file:line:column`.
    pub fn shown(&self, at: At) -> String {
        format!("{}:{}:{}", self.path(at.file).display(), at.place.line, at.place.column)
    }
}

/// A configuration that cannot be read.
#[derive(Debug)]
pub struct ParseError {
    /// The file.
    pub file: PathBuf,
    /// The line; 0 for the whole file.
    pub line: u32,
    /// The column.
    pub column: u32,
    /// What is wrong.
    pub what: String,
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}: {}", self.file.display(), self.line.max(1), self.column.max(1), self.what)
    }
}

impl std::error::Error for ParseError {}

/// Where files come from.
pub trait Source {
    /// The whole of a file.
    ///
    /// # Errors
    /// As the file system has them.
    fn read(&self, path: &Path) -> io::Result<Vec<u8>>;

    /// The names in a folder.
    ///
    /// # Errors
    /// As the file system has them.
    fn list(&self, folder: &Path) -> io::Result<Vec<String>>;
}

/// The file system.
#[derive(Debug, Clone, Copy, Default)]
pub struct Disk;

impl Source for Disk {
    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        fs::read(path)
    }

    fn list(&self, folder: &Path) -> io::Result<Vec<String>> {
        let folder = if folder.as_os_str().is_empty() { Path::new(".") } else { folder };
        let names = fs::read_dir(folder)?.map(|e| e.map(|e| e.file_name().to_string_lossy().into_owned()));
        names.collect()
    }
}

/// A whole configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Parsed {
    /// Its directives; what was included stands in the place of the `include`, which stands before it.
    pub directives: Vec<Directive>,
    /// Its files.
    pub files: Files,
}

/// Reads a configuration and all that it includes.
///
/// # Errors
/// What cannot be read, by file, line and column.
pub fn parse(source: &dyn Source, path: &Path) -> Result<Parsed, ParseError> {
    let mut parser = Parser {
        source,
        root: path.parent().unwrap_or(Path::new("")).to_path_buf(),
        files: Files::default(),
        open: Vec::new(),
        directives: 0,
        bytes: 0,
    };
    let directives = parser.file(path, None)?;
    Ok(Parsed { directives, files: parser.files })
}

struct Parser<'a> {
    source: &'a dyn Source,
    /// Where included files are named from (nginx: the folder of the main file).
    root: PathBuf,
    files: Files,
    /// Files that are being read, from the first to the one included last.
    open: Vec<PathBuf>,
    directives: usize,
    bytes: usize,
}

impl Parser<'_> {
    fn wrong(&self, at: At, what: impl Into<String>) -> ParseError {
        let Place { line, column } = at.place;
        ParseError { file: self.files.path(at.file).to_path_buf(), line, column, what: what.into() }
    }

    fn file(&mut self, path: &Path, included: Option<At>) -> Result<Vec<Directive>, ParseError> {
        let number = self.files.0.len() as u32;
        let whole = |what: String| ParseError { file: path.to_path_buf(), line: 0, column: 0, what };
        let at_include = |p: &Self, what: String| match included {
            Some(at) => p.wrong(at, what),
            None => whole(what),
        };
        if self.files.0.len() == FILES_MAX {
            return Err(at_include(self, format!("over {FILES_MAX} files")));
        }
        if self.open.len() == INCLUDE_DEPTH_MAX {
            return Err(at_include(self, format!("files include one another over {INCLUDE_DEPTH_MAX} deep")));
        }
        if self.open.iter().any(|p| p == path) {
            return Err(at_include(self, format!("{} includes itself", path.display())));
        }
        let bytes =
            self.source.read(path).map_err(|e| at_include(self, format!("{}: {e}", path.display())))?;
        self.bytes += bytes.len();
        if self.bytes > BYTES_MAX {
            return Err(whole(format!("over {} MiB in all", BYTES_MAX >> 20)));
        }
        self.files.0.push(path.to_path_buf());
        let text = match std::str::from_utf8(&bytes) {
            Ok(text) => text,
            Err(e) => {
                let before = &bytes[..e.valid_up_to()];
                let line = before.iter().filter(|b| **b == b'\n').count() as u32 + 1;
                let after = before.iter().rposition(|b| *b == b'\n').map_or(0, |at| at + 1);
                let column = String::from_utf8_lossy(&before[after..]).chars().count() as u32 + 1;
                return Err(self.wrong(At { file: number, place: Place { line, column } }, "no UTF-8 text"));
            }
        };
        self.open.push(path.to_path_buf());
        let mut lexer = Lexer::new(text);
        let found = self.block(&mut lexer, number, 0, None)?;
        self.open.pop();
        Ok(found)
    }

    fn block(
        &mut self, lexer: &mut Lexer<'_>, file: u32, depth: usize, opened: Option<At>,
    ) -> Result<Vec<Directive>, ParseError> {
        let mut found = Vec::new();
        let mut words: Vec<String> = Vec::new();
        let mut first = At { file, place: lexer.place() };
        loop {
            let lexed = lexer.token();
            let lexed = lexed.map_err(|LexError { place, what }| self.wrong(At { file, place }, what))?;
            let Some((place, token)) = lexed else {
                if !words.is_empty() {
                    return Err(self.wrong(first, "a directive without its `;`"));
                }
                if let Some(opened) = opened {
                    return Err(self.wrong(opened, "a block without its `}`"));
                }
                return Ok(found);
            };
            let at = At { file, place };
            match token {
                Token::Word(word) => {
                    if words.is_empty() {
                        first = at;
                    }
                    if words.len() == WORDS_MAX {
                        return Err(self.wrong(at, format!("a directive of over {WORDS_MAX} words")));
                    }
                    words.push(word);
                }
                Token::End | Token::Open if words.is_empty() => {
                    let what = if token == Token::End {
                        "a `;` with nothing before it"
                    } else {
                        "a block without a name"
                    };
                    return Err(self.wrong(at, what));
                }
                Token::End => {
                    self.one_more(first)?;
                    let directive = Directive { at: first, words: std::mem::take(&mut words), block: None };
                    let included =
                        if directive.name() == "include" { self.include(&directive)? } else { Vec::new() };
                    found.push(directive);
                    found.extend(included);
                }
                Token::Open => {
                    self.one_more(first)?;
                    if depth == DEPTH_MAX {
                        return Err(self.wrong(first, format!("blocks over {DEPTH_MAX} deep in one another")));
                    }
                    let words = std::mem::take(&mut words);
                    let block = if words[0].ends_with("_by_lua_block") {
                        let skipped = lexer.skip_lua(place);
                        skipped.map_err(|LexError { place, what }| self.wrong(At { file, place }, what))?;
                        Vec::new()
                    } else {
                        self.block(lexer, file, depth + 1, Some(first))?
                    };
                    found.push(Directive { at: first, words, block: Some(block) });
                }
                Token::Close if !words.is_empty() => {
                    return Err(self.wrong(at, "a `;` is missing before this `}`"));
                }
                Token::Close if opened.is_some() => return Ok(found),
                Token::Close => return Err(self.wrong(at, "a `}` too many")),
            }
        }
    }

    fn one_more(&mut self, at: At) -> Result<(), ParseError> {
        self.directives += 1;
        if self.directives > DIRECTIVES_MAX {
            return Err(self.wrong(at, format!("over {DIRECTIVES_MAX} directives")));
        }
        Ok(())
    }

    fn include(&mut self, directive: &Directive) -> Result<Vec<Directive>, ParseError> {
        let [pattern] = directive.arguments() else {
            return Err(self.wrong(directive.at, "`include` names one file or pattern"));
        };
        let path = self.root.join(pattern);
        let mut found = Vec::new();
        if !pattern.contains(['*', '?', '[']) {
            return self.file(&path, Some(directive.at));
        }
        // A pattern that matches nothing includes nothing, as nginx has it.
        let (folder, name) = (path.parent().unwrap_or(Path::new("")), path.file_name().unwrap_or_default());
        let name = name.to_string_lossy();
        if folder.to_string_lossy().contains(['*', '?', '[']) {
            return Err(self.wrong(directive.at, "a pattern may stand in the last part of a path only"));
        }
        let mut names = self.source.list(folder).unwrap_or_default();
        names.retain(|n| {
            matches(name.as_bytes(), n.as_bytes()) && (!n.starts_with('.') || name.starts_with('.'))
        });
        names.sort();
        for n in names {
            found.extend(self.file(&folder.join(n), Some(directive.at))?);
        }
        Ok(found)
    }
}

/// Whether a name fits a pattern of `*`, `?` and `[…]`. The last star is gone back to, so that the cost is at
/// most pattern times name.
fn matches(pattern: &[u8], name: &[u8]) -> bool {
    let (mut p, mut n, mut star) = (0, 0, None);
    while n < name.len() {
        if let Some(after) = pattern.get(p..).and_then(|rest| one(rest, name[n])) {
            (p, n) = (p + after, n + 1);
        } else if pattern.get(p) == Some(&b'*') {
            star = Some((p, n));
            p += 1;
        } else if let Some((at, seen)) = star {
            star = Some((at, seen + 1));
            (p, n) = (at + 1, seen + 1);
        } else {
            return false;
        }
    }
    pattern[p..].iter().all(|b| *b == b'*')
}

/// Whether a pattern begins with one place that takes the byte; how long that place is.
fn one(pattern: &[u8], byte: u8) -> Option<usize> {
    match pattern.first()? {
        b'*' => None,
        b'?' => Some(1),
        b'[' if pattern.len() > 2 => {
            let end = 2 + pattern[2..].iter().position(|b| *b == b']')?;
            let (not, set) = match pattern[1] {
                b'!' | b'^' => (true, &pattern[2..end]),
                _ => (false, &pattern[1..end]),
            };
            let mut inside = false;
            let mut at = 0;
            while at < set.len() {
                if at + 2 < set.len() && set[at + 1] == b'-' {
                    inside |= (set[at]..=set[at + 2]).contains(&byte);
                    at += 3;
                } else {
                    inside |= set[at] == byte;
                    at += 1;
                }
            }
            (inside != not).then_some(end + 1)
        }
        b => (*b == byte).then_some(1),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeMap;

    struct Made(BTreeMap<&'static str, Vec<u8>>);

    impl Source for Made {
        fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
            self.0.get(path.to_str().unwrap()).cloned().ok_or(io::Error::from(io::ErrorKind::NotFound))
        }
        fn list(&self, folder: &Path) -> io::Result<Vec<String>> {
            let inside = self.0.keys().filter_map(|p| Path::new(p).strip_prefix(folder).ok());
            Ok(inside.filter(|p| p.components().count() == 1).map(|p| p.display().to_string()).collect())
        }
    }

    fn read(files: &[(&'static str, &str)]) -> Result<Vec<String>, String> {
        let made = Made(files.iter().map(|(p, t)| (*p, t.as_bytes().to_vec())).collect());
        let parsed = parse(&made, Path::new("d/nginx.conf")).map_err(|e| e.to_string())?;
        let shown = |d: &Directive| format!("{} {}", parsed.files.shown(d.at), d.shown());
        Ok(parsed.directives.iter().map(shown).collect())
    }

    #[test]
    fn includes_are_named_from_the_main_file_and_sorted() {
        let files = [
            ("d/nginx.conf", "a;\ninclude c/*.conf;\n include one;"),
            ("d/c/2.conf", "c;"),
            ("d/c/1.conf", "b { x; }"),
            ("d/c/3.txt", "no;"),
            ("d/c/.4.conf", "no;"),
            ("d/one", "  d;"),
        ];
        assert_eq!(
            read(&files).unwrap(),
            [
                "d/nginx.conf:1:1 a",
                "d/nginx.conf:2:1 include c/*.conf",
                "d/c/1.conf:1:1 b {…}",
                "d/c/2.conf:1:1 c",
                "d/nginx.conf:3:2 include one",
                "d/one:1:3 d",
            ]
        );
        assert_eq!(read(&[("d/nginx.conf", "include x/*;")]).unwrap().len(), 1);
    }

    #[test]
    fn what_is_broken_is_said_with_file_line_and_column() {
        for (text, said) in [
            ("a\n{ b", "d/nginx.conf:2:3: a directive without its `;`"),
            ("a {\n", "d/nginx.conf:1:1: a block without its `}`"),
            ("a;\n }", "d/nginx.conf:2:2: a `}` too many"),
            ("a { b }", "d/nginx.conf:1:7: a `;` is missing before this `}`"),
            ("a \"b", "d/nginx.conf:1:3: a quote without its end"),
            ("{", "d/nginx.conf:1:1: a block without a name"),
            (";", "d/nginx.conf:1:1: a `;` with nothing before it"),
            ("include;", "d/nginx.conf:1:1: `include` names one file or pattern"),
            ("\ninclude nginx.conf;", "d/nginx.conf:2:1: d/nginx.conf includes itself"),
            ("a; include none;", "d/nginx.conf:1:4: d/none: entity not found"),
            ("include */x;", "d/nginx.conf:1:1: a pattern may stand in the last part of a path only"),
        ] {
            assert_eq!(read(&[("d/nginx.conf", text)]).unwrap_err(), said, "{text}");
        }
        let around = [("d/nginx.conf", "include b;"), ("d/b", "\n include c;"), ("d/c", "include b;")];
        assert_eq!(read(&around).unwrap_err(), "d/c:1:1: d/b includes itself");
        assert!(read(&[("d/nginx.conf", &"a {".repeat(100))]).unwrap_err().contains("64 deep"));
        let made = Made([("d/nginx.conf", b"a;\nb\xff".to_vec())].into());
        let e = parse(&made, Path::new("d/nginx.conf")).unwrap_err();
        assert_eq!(e.to_string(), "d/nginx.conf:2:2: no UTF-8 text");
    }

    #[test]
    fn patterns_fit_as_in_a_shell() {
        for (pattern, name, fits) in [
            ("*.conf", "a.conf", true),
            ("*.conf", "a.conf.bak", false),
            ("a?c", "abc", true),
            ("a?c", "ac", false),
            ("[0-9][!a]*", "1b", true),
            ("[0-9][!a]*", "1a", false),
            ("*a*b*c", "xxaxxbxxc", true),
            ("*", "", true),
            ("[", "[", true),
        ] {
            assert_eq!(matches(pattern.as_bytes(), name.as_bytes()), fits, "{pattern} {name}");
        }
        assert!(!matches(&b"*a".repeat(500), &b"a".repeat(400)));
    }
}
