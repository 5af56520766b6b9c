//! Typed access to JSON values. Errors name the invalid field.

use std::collections::HashMap;

use quick_error::quick_error;
use tinyjson::JsonValue;

quick_error! {
    /// Why a JSON text was rejected.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum JsonError {
        /// The text is not one complete JSON value.
        Syntax(line: usize, column: usize, reason: String) {
            display("line {}, column {}: {}", line, column, reason)
        }
        /// Values are nested too deeply.
        Depth(max_depth: usize) {
            display("values are nested deeper than {}", max_depth)
        }
        /// A field is missing.
        Missing(field: String) {
            display("{} is missing", field)
        }
        /// A field has the wrong type.
        Type(field: String, expected: &'static str) {
            display("{} is not {}", field, expected)
        }
    }
}

/// A JSON object with its path, which error messages use.
#[derive(Debug, Clone)]
pub struct Object<'a> {
    path: String,
    fields: &'a HashMap<String, JsonValue>,
}

/// Maximum nesting depth. The parser is recursive, so that without a limit a text of brackets could exhaust the stack.
const DEPTH_MAX: usize = 64;

/// Parses a text that must be exactly one JSON value.
pub fn parse(text: &str) -> Result<JsonValue, JsonError> {
    if exceeds_depth(text, DEPTH_MAX) {
        return Err(JsonError::Depth(DEPTH_MAX));
    }
    text.parse::<JsonValue>()
        .map_err(|error| JsonError::Syntax(error.line(), error.column(), error.to_string()))
}

/// Whether brackets outside of strings are nested deeper than `max_depth`.
fn exceeds_depth(text: &str, max_depth: usize) -> bool {
    let mut depth = 0usize;
    let mut is_string = false;
    let mut is_escaped = false;
    for byte in text.bytes() {
        match byte {
            _ if is_escaped => is_escaped = false,
            b'\\' if is_string => is_escaped = true,
            b'"' => is_string = !is_string,
            b'[' | b'{' if !is_string => depth += 1,
            b']' | b'}' if !is_string => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > max_depth {
            return true;
        }
    }
    false
}

impl<'a> Object<'a> {
    /// Interprets a value as an object; `path` is used in error messages.
    pub fn new(value: &'a JsonValue, path: &str) -> Result<Object<'a>, JsonError> {
        match value {
            JsonValue::Object(fields) => Ok(Object { path: path.to_owned(), fields }),
            _ => Err(JsonError::Type(path.to_owned(), "an object")),
        }
    }

    fn name(&self, field: &str) -> String {
        if self.path.is_empty() { field.to_owned() } else { format!("{}.{}", self.path, field) }
    }

    /// The value of a field, if it is present and not null.
    pub fn get(&self, field: &str) -> Option<&'a JsonValue> {
        self.fields.get(field).filter(|value| !matches!(value, JsonValue::Null))
    }

    fn require(&self, field: &str) -> Result<&'a JsonValue, JsonError> {
        self.get(field).ok_or_else(|| JsonError::Missing(self.name(field)))
    }

    /// A required string.
    pub fn string(&self, field: &str) -> Result<&'a str, JsonError> {
        match self.require(field)? {
            JsonValue::String(text) => Ok(text),
            _ => Err(JsonError::Type(self.name(field), "a string")),
        }
    }

    /// A required finite number.
    pub fn number(&self, field: &str) -> Result<f64, JsonError> {
        match self.require(field)? {
            JsonValue::Number(number) if number.is_finite() => Ok(*number),
            _ => Err(JsonError::Type(self.name(field), "a number")),
        }
    }

    /// A required integer that is not negative.
    pub fn integer(&self, field: &str) -> Result<u64, JsonError> {
        let number = self.number(field)?;
        if number < 0.0 || number.fract() != 0.0 || number > 9.0e15 {
            return Err(JsonError::Type(self.name(field), "a non-negative integer"));
        }
        Ok(number as u64)
    }

    /// An integer that is not negative, or `default` if the field is absent.
    pub fn integer_or(&self, field: &str, default: u64) -> Result<u64, JsonError> {
        if self.get(field).is_none() { Ok(default) } else { self.integer(field) }
    }

    /// A finite number, or `default` if the field is absent.
    pub fn number_or(&self, field: &str, default: f64) -> Result<f64, JsonError> {
        if self.get(field).is_none() { Ok(default) } else { self.number(field) }
    }

    /// A boolean, or false if the field is absent.
    pub fn boolean(&self, field: &str) -> Result<bool, JsonError> {
        match self.get(field) {
            None => Ok(false),
            Some(JsonValue::Boolean(flag)) => Ok(*flag),
            Some(_) => Err(JsonError::Type(self.name(field), "a boolean")),
        }
    }

    /// An array of objects, empty if the field is absent.
    pub fn objects(&self, field: &str) -> Result<Vec<Object<'a>>, JsonError> {
        let Some(value) = self.get(field) else { return Ok(Vec::new()) };
        let JsonValue::Array(values) = value else {
            return Err(JsonError::Type(self.name(field), "an array"));
        };
        let name = self.name(field);
        values
            .iter()
            .enumerate()
            .map(|(index, value)| Object::new(value, &format!("{name}[{index}]")))
            .collect()
    }

    /// A nested object, if the field is present.
    pub fn object(&self, field: &str) -> Result<Option<Object<'a>>, JsonError> {
        self.get(field).map(|value| Object::new(value, &self.name(field))).transpose()
    }
}
