//! The errors for settings that are refused. Each message tells the operator what to change.

use std::path::PathBuf;

/// The reason why the settings are refused.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("the settings file {0} cannot be read ({1}); check the path given by --settings or FOXNOTCH_CONFIG")]
    Unreadable(PathBuf, std::io::Error),
    /// The file is not TOML, or a key is missing, is unknown or has a value of the wrong type. The text is the parser's
    /// error, with the line and the expected value.
    #[error("the settings file {0} is not valid: {1}")]
    Malformed(PathBuf, String),
    /// A value is outside its range.
    #[error("the setting {field} is {value}; it has to be {allowed}")]
    OutOfRange {
        /// The key, preceded by the name of its table.
        field: &'static str,
        /// The value in the settings file.
        value: String,
        /// The allowed range, in words that follow "it has to be".
        allowed: &'static str,
    },
    /// The configured replica set is too small to stay available after the loss of the machines that it has to
    /// tolerate.
    #[error(
        "the setting replicas.set_size is {size}: with tolerance.machines = {machines} it has to be {min_size} or more; \
         raise it or leave it out"
    )]
    SetTooSmall {
        /// The configured number of replicas in the set.
        size: usize,
        /// Number of machines that may be lost at the same moment.
        machines: usize,
        /// The smallest allowed number of replicas, given `machines`.
        min_size: usize,
    },
    /// A setting that this process needs is missing. The fields are the setting's key and the process's role, gateway
    /// or replica.
    #[error("the setting {0} is missing; add it, a {1} needs it")]
    Missing(&'static str, &'static str),
}
