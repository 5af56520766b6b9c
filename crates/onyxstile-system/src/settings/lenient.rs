//! Settings values in forms that the platform may write besides the usual one: whole numbers with a fraction, and empty
//! values.

use std::net::SocketAddrV4;

use serde::Deserialize;
use serde::de::{Deserializer, Error};

#[derive(Deserialize)]
#[serde(untagged)]
enum Number {
    Whole(u64),
    Fraction(f64),
}

impl Number {
    fn whole<E: Error>(self) -> Result<u64, E> {
        match self {
            Number::Whole(number) => Ok(number),
            Number::Fraction(number) if (0.0..=u64::MAX as f64).contains(&number) => Ok(number as u64),
            Number::Fraction(number) => Err(E::custom(format!("{number} is out of range"))),
        }
    }
}

/// Reads a whole number; a fraction is cut off.
pub fn whole_number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    Number::deserialize(deserializer)?.whole()
}

/// Reads a count; an empty value stands for 0.
pub fn count_or_empty<'de, D: Deserializer<'de>>(deserializer: D) -> Result<usize, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Count {
        Number(Number),
        Text(String),
    }
    match Count::deserialize(deserializer)? {
        Count::Number(number) => Ok(usize::try_from(number.whole::<D::Error>()?).unwrap_or(usize::MAX)),
        Count::Text(text) if text.is_empty() => Ok(0),
        Count::Text(text) => Err(D::Error::custom(format!("{text:?} is not a number"))),
    }
}

/// Reads an address that may be empty.
pub fn optional_address<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<SocketAddrV4>, D::Error> {
    match String::deserialize(deserializer)?.as_str() {
        "" => Ok(None),
        text => text.parse().map(Some).map_err(|error| D::Error::custom(format!("{text:?}: {error}"))),
    }
}
