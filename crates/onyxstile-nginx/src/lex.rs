//! Splits a configuration into words and borders as nginx's own reader does it.
//!
//! A word ends at white space, `;` or `{`; `}` is a border only where a word could begin. Quotes open a word
//! only at its beginning. A backslash takes the meaning from a quote or a backslash, and `\t`, `\r` and `\n`
//! are what they say; before anything else it stays, so that regexes read as they were written. The brace
//! after a `$` belongs to its variable.

/// Bytes of a word, at most (nginx has 4096 for all of a directive's).
const WORD_MAX: usize = 4096;

/// A place in a text: both count from 1, columns in characters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Place {
    /// The line.
    pub line: u32,
    /// The column.
    pub column: u32,
}

/// A word or a border.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Token {
    /// A word, without its quotes.
    Word(String),
    /// `;`
    End,
    /// `{`
    Open,
    /// `}`
    Close,
}

/// What is wrong with a text, and where.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LexError {
    /// Where.
    pub place: Place,
    /// What.
    pub what: &'static str,
}

/// Reads a text word by word.
#[derive(Debug)]
pub struct Lexer<'a> {
    rest: std::iter::Peekable<std::str::Chars<'a>>,
    place: Place,
}

impl<'a> Lexer<'a> {
    /// From the beginning, past a byte order mark.
    pub fn new(text: &'a str) -> Lexer<'a> {
        let text = text.strip_prefix('\u{feff}').unwrap_or(text);
        Lexer { rest: text.chars().peekable(), place: Place { line: 1, column: 1 } }
    }

    fn bump(&mut self) -> Option<char> {
        let c = self.rest.next()?;
        if c == '\n' {
            self.place = Place { line: self.place.line + 1, column: 1 };
        } else {
            self.place.column += 1;
        }
        Some(c)
    }

    /// The place of what comes next.
    pub fn place(&self) -> Place {
        self.place
    }

    /// The next word or border and its place; none at the end.
    ///
    /// # Errors
    /// A quote without its end, a word that goes on after one, or a word that is too long.
    pub fn token(&mut self) -> Result<Option<(Place, Token)>, LexError> {
        loop {
            let place = self.place;
            let Some(c) = self.bump() else { return Ok(None) };
            let token = match c {
                c if c.is_whitespace() => continue,
                '#' => {
                    while self.rest.peek().is_some_and(|c| *c != '\n') {
                        self.bump();
                    }
                    continue;
                }
                ';' => Token::End,
                '{' => Token::Open,
                '}' => Token::Close,
                '"' | '\'' => Token::Word(self.quoted(c, place)?),
                first => Token::Word(self.plain(first, place)?),
            };
            return Ok(Some((place, token)));
        }
    }

    fn escaped(&mut self, word: &mut String) {
        match self.rest.peek() {
            Some('"' | '\'' | '\\') => word.extend(self.bump()),
            Some('t' | 'r' | 'n') => {
                word.push(match self.bump() {
                    Some('t') => '\t',
                    Some('r') => '\r',
                    _ => '\n',
                });
            }
            Some(_) => {
                word.push('\\');
                word.extend(self.bump());
            }
            None => word.push('\\'),
        }
    }

    fn quoted(&mut self, quote: char, place: Place) -> Result<String, LexError> {
        let mut word = String::new();
        loop {
            match self.bump() {
                None => return Err(LexError { place, what: "a quote without its end" }),
                Some('\\') => self.escaped(&mut word),
                Some(c) if c == quote => break,
                Some(c) => word.push(c),
            }
            if word.len() > WORD_MAX {
                return Err(LexError {
                    place,
                    what: "a word of over 4096 bytes, or a quote without its end",
                });
            }
        }
        match self.rest.peek() {
            None | Some(';' | '{' | ')') => Ok(word),
            Some(c) if c.is_whitespace() => Ok(word),
            Some(_) => Err(LexError { place: self.place, what: "something right after a quote's end" }),
        }
    }

    fn plain(&mut self, first: char, place: Place) -> Result<String, LexError> {
        let mut word = String::new();
        let mut c = Some(first);
        while let Some(now) = c {
            let variable = now == '$';
            if now == '\\' {
                self.escaped(&mut word);
            } else {
                word.push(now);
            }
            if word.len() > WORD_MAX {
                return Err(LexError { place, what: "a word of over 4096 bytes" });
            }
            c = match self.rest.peek() {
                Some('{') if variable => self.bump(),
                Some(c) if c.is_whitespace() || matches!(c, ';' | '{') => None,
                _ => self.bump(),
            };
        }
        Ok(word)
    }

    /// Passes over a block of Lua (`*_by_lua_block`), whose braces may also stand in strings and comments. The
    /// opening brace has been read.
    ///
    /// # Errors
    /// The block has no end.
    pub fn skip_lua(&mut self, opened: Place) -> Result<(), LexError> {
        let open = |what| LexError { place: opened, what };
        let mut depth = 1;
        while depth > 0 {
            match self.bump().ok_or(open("a block of Lua without its end"))? {
                '{' => depth += 1,
                '}' => depth -= 1,
                '-' if self.rest.peek() == Some(&'-') => {
                    self.bump();
                    if !self.long_bracket()? {
                        while self.rest.peek().is_some_and(|c| *c != '\n') {
                            self.bump();
                        }
                    }
                }
                '[' => {
                    self.long_text()?;
                }
                quote @ ('"' | '\'') => loop {
                    match self.bump().ok_or(open("a string of Lua without its end"))? {
                        '\\' => {
                            self.bump();
                        }
                        c if c == quote => break,
                        _ => {}
                    }
                },
                _ => {}
            }
        }
        Ok(())
    }

    fn long_bracket(&mut self) -> Result<bool, LexError> {
        if self.rest.peek() != Some(&'[') {
            return Ok(false);
        }
        self.bump();
        self.long_text()
    }

    /// After a `[`: if `[` or `=[` follows, all up to the bracket that closes it.
    fn long_text(&mut self) -> Result<bool, LexError> {
        let place = self.place;
        let mut level = 0;
        while self.rest.peek() == Some(&'=') {
            self.bump();
            level += 1;
        }
        if self.rest.peek() != Some(&'[') {
            return Ok(false);
        }
        let end = format!("]{}]", "=".repeat(level));
        let mut seen = String::new();
        while !seen.ends_with(&end) {
            match self.bump() {
                Some(c) => seen.push(c),
                None => return Err(LexError { place, what: "a long text of Lua without its end" }),
            }
            if seen.len() > 2 * end.len() + 16 {
                let keep = seen.char_indices().rev().nth(end.len()).map_or(0, |(at, _)| at);
                seen.drain(..keep);
            }
        }
        Ok(true)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn words(text: &str) -> Vec<String> {
        let mut lexer = Lexer::new(text);
        let mut words = Vec::new();
        while let Some((_, token)) = lexer.token().unwrap() {
            words.push(match token {
                Token::Word(word) => word,
                Token::End => ";".into(),
                Token::Open => "{".into(),
                Token::Close => "}".into(),
            });
        }
        words
    }

    #[test]
    fn words_end_where_nginx_ends_them() {
        assert_eq!(words("a b;c{d}"), ["a", "b", ";", "c", "{", "d}"]);
        assert_eq!(words("a{ b; }"), ["a", "{", "b", ";", "}"]);
        assert_eq!(words("\u{feff}a \"b;{ c\";\r\n# d;\r\ne 'f\"';"), ["a", "b;{ c", ";", "e", "f\"", ";"]);
        assert_eq!(words(r#"a "b\"c" \.php$ \\ \t;"#), ["a", "b\"c", r"\.php$", r"\", "\t", ";"]);
        assert_eq!(words("a ${b}c$d;"), ["a", "${b}c$d", ";"]);
        assert_eq!(words("a#b #c"), ["a#b"]);
        for text in ["\"a", "\"a\"b", &"a".repeat(5000), &format!("\"{}", "a".repeat(5000))] {
            let mut lexer = Lexer::new(text);
            assert!(lexer.token().is_err(), "{text:.10}");
        }
    }

    #[test]
    fn places_count_lines_and_columns() {
        let mut lexer = Lexer::new("a\n  äb \"c\nd\" e");
        let mut places = Vec::new();
        while let Some((place, _)) = lexer.token().unwrap() {
            places.push((place.line, place.column));
        }
        assert_eq!(places, [(1, 1), (2, 3), (2, 6), (3, 4)]);
    }

    #[test]
    fn lua_is_passed_over_with_its_strings_and_comments() {
        for lua in [
            "x = { 1, {2} } }",
            "s = \"}\" .. '\\'}' }",
            "-- }\n }",
            "--[[ } \n } ]] }",
            "s = [==[ } ]] } ]==] }",
            "a[1] = b[x[2]] }",
        ] {
            let text = format!("{lua} after;");
            let mut lexer = Lexer::new(&text);
            lexer.skip_lua(lexer.place()).unwrap();
            assert_eq!(lexer.token().unwrap().unwrap().1, Token::Word("after".into()), "{lua}");
        }
        let mut lexer = Lexer::new("{ \"");
        assert!(lexer.skip_lua(lexer.place()).is_err());
    }
}
