//! Parses the fields of a line and reports malformed ones.

use onyxstile::settings::duration_ms;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// A field that cannot be parsed.
#[derive(Debug)]
pub struct Malformed {
    field: &'static str,
    what: String,
    line: Option<u64>,
}

impl Malformed {
    pub fn new(field: &'static str, what: impl Into<String>) -> Self {
        Malformed { field, what: what.into(), line: None }
    }

    /// Attributes the error to an earlier line than the one that revealed it.
    pub fn at_line(mut self, line: u64) -> Self {
        self.line = Some(line);
        self
    }
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "field {}: {}", self.field, self.what)?;
        if let Some(line) = self.line {
            write!(f, " (entry in line {line})")?;
        }
        Ok(())
    }
}

/// Shortens a value and strips control characters, for error messages.
pub fn excerpt(value: &str) -> String {
    value.chars().filter(|c| !c.is_control()).take(40).collect()
}

/// Like [`excerpt`], for a complete message.
pub fn long_excerpt(message: &str) -> String {
    message.chars().filter(|c| !c.is_control()).take(160).collect()
}

/// The fields of one line, read from left to right.
pub struct Fields<'a> {
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    pub fn new(line: &'a str) -> Self {
        Fields { rest: Some(line) }
    }

    /// The next field, which is required.
    pub fn word(&mut self, field: &'static str) -> Result<&'a str, Malformed> {
        let rest = self.rest.ok_or_else(|| Malformed::new(field, "is missing"))?;
        let (word, rest) = match rest.split_once(' ') {
            Some((word, rest)) => (word, Some(rest)),
            None => (rest, None),
        };
        self.rest = rest;
        if word.is_empty() { Err(Malformed::new(field, "is empty")) } else { Ok(word) }
    }

    /// The next field; `None` if it is `-` or missing.
    pub fn optional(&mut self, field: &'static str) -> Result<Option<&'a str>, Malformed> {
        if self.rest.is_none() {
            return Ok(None);
        }
        Ok(Some(self.word(field)?).filter(|w| *w != "-"))
    }

    /// The rest of the line.
    pub fn text(&mut self, field: &'static str) -> Result<&'a str, Malformed> {
        self.rest.take().ok_or_else(|| Malformed::new(field, "is missing"))
    }

    pub fn number<T: FromStr>(&mut self, field: &'static str) -> Result<T, Malformed> {
        parse(self.word(field)?, field)
    }

    pub fn optional_number<T: FromStr>(&mut self, field: &'static str) -> Result<Option<T>, Malformed> {
        self.optional(field)?.map(|w| parse(w, field)).transpose()
    }

    pub fn time(&mut self, field: &'static str) -> Result<Duration, Malformed> {
        time(self.word(field)?, field)
    }

    pub fn flag(&mut self, field: &'static str) -> Result<bool, Malformed> {
        match self.word(field)? {
            "1" => Ok(true),
            "0" => Ok(false),
            other => Err(Malformed::new(field, format!("`{}` is neither 0 nor 1", excerpt(other)))),
        }
    }

    /// Fails if the line has further fields.
    pub fn end(&mut self) -> Result<(), Malformed> {
        match self.rest.take() {
            Some(rest) => Err(Malformed::new("end of line", format!("`{}` is unexpected", excerpt(rest)))),
            None => Ok(()),
        }
    }
}

fn parse<T: FromStr>(word: &str, field: &'static str) -> Result<T, Malformed> {
    word.parse().map_err(|_| Malformed::new(field, format!("`{}` is not a valid number", excerpt(word))))
}

/// Parses milliseconds exactly to the microsecond, without floating point. Negative times count as zero.
pub fn time(word: &str, field: &'static str) -> Result<Duration, Malformed> {
    let bad = || Malformed::new(field, format!("`{}` is not a time in milliseconds", excerpt(word)));
    let (negative, digits) = match word.strip_prefix('-') {
        Some(digits) => (true, digits),
        None => (false, word),
    };
    let (whole, part) = digits.split_once('.').unwrap_or((digits, ""));
    let plain = |s: &str| s.bytes().all(|b| b.is_ascii_digit());
    if !plain(whole) || !plain(part) || whole.is_empty() {
        // Only a number in exponent form may still be valid.
        let ms: f64 = word.parse().map_err(|_| bad())?;
        return duration_ms(ms).ok_or_else(bad);
    }
    let ms: u64 = whole.parse().map_err(|_| bad())?;
    let micros: u64 = format!("{part:0<3.3}").parse().map_err(|_| bad())?;
    let total = ms.checked_mul(1000).and_then(|m| m.checked_add(micros)).ok_or_else(bad)?;
    Ok(if negative { Duration::ZERO } else { Duration::from_micros(total) })
}

/// Writes a time in milliseconds, to the microsecond.
pub fn write_ms(out: &mut String, time: Duration) {
    use fmt::Write;
    let micros = time.as_micros();
    let _ = write!(out, "{}.{:03}", micros / 1000, micros % 1000);
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn times_are_exact_to_the_microsecond() {
        for (text, micros) in
            [("8412.25", 8_412_250), ("0.001", 1), ("7", 7000), ("9007199254740.993", 9_007_199_254_740_993)]
        {
            let read = time(text, "t").unwrap();
            assert_eq!(read, Duration::from_micros(micros));
            let mut out = String::new();
            write_ms(&mut out, read);
            assert_eq!(time(&out, "t").unwrap(), read);
        }
        assert_eq!(time("-3.5", "t").unwrap(), Duration::ZERO);
        assert_eq!(time("1e3", "t").unwrap(), Duration::from_secs(1));
        assert!(time("NaN", "t").is_err() && time("inf", "t").is_err() && time("", "t").is_err());
        assert!(time("12ms", "t").is_err());
    }
}
