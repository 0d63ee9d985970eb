//! Parsers of single values of the settings file. The files are generated from templates. These write an empty string
//! for an address or a path that a machine does not have, and write whole numbers with a fraction.

use serde::de::Error;
use serde::{Deserialize, Deserializer};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Reads a number of 0 or more and drops its fraction.
pub(super) fn whole_number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let number = f64::deserialize(deserializer)?;
    if number.is_finite() && number >= 0.0 {
        Ok(number as u64)
    } else {
        Err(D::Error::custom(format!("{number} is not a number of 0 or more")))
    }
}

/// Reads an address; an empty string means none.
pub(super) fn optional_address<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<SocketAddr>, D::Error> {
    let text = String::deserialize(deserializer)?;
    if text.is_empty() {
        return Ok(None);
    }
    // The parser's own error names neither the text nor the expected form.
    text.parse().map(Some).map_err(|_| D::Error::custom(format!("{text:?} is not an address of the form IP:port")))
}

/// Reads a path; an empty string means none.
pub(super) fn optional_path<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<PathBuf>, D::Error> {
    let text = String::deserialize(deserializer)?;
    Ok((!text.is_empty()).then(|| PathBuf::from(text)))
}
