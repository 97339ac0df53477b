//! Errors of reading and validating the configuration.

use crate::interconnect::InterconnectError;
use linnetknot::SettingsError;
use linnetknot_store::is_permanent;
use std::io;

/// An error of the configuration. Every message names the key at fault, or the file that can't be read.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The environment variable with the path of the configuration is not set.
    #[error("the variable ROUTER_CONFIG names no file")]
    NoFile,
    /// A file can't be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The path of the file.
        path: String,
        /// The error of the system.
        source: io::Error,
    },
    /// A file is not JSON.
    #[error("{path}: not JSON: {source}")]
    NotJson {
        /// The path of the file.
        path: String,
        /// The error of the JSON parser.
        source: serde_json::Error,
    },
    /// A file holds JSON that is not an object.
    #[error("{path}: not a JSON object")]
    NotAnObject {
        /// The path of the file.
        path: String,
    },
    /// An error in the content of a file.
    #[error("{path}: {source}")]
    InFile {
        /// The path of the file.
        path: String,
        /// The error in the content of the file.
        source: Box<ConfigError>,
    },
    /// A field is missing or has the wrong type. The message of the settings parser names it.
    #[error("{0}")]
    Field(String),
    /// A field of `settings` is missing or has the wrong type.
    #[error("settings: {0}")]
    Settings(String),
    /// The fields of `settings` contradict each other.
    #[error("settings: {0}")]
    Contradiction(#[from] SettingsError),
    /// An error in the section `known`.
    #[error("known: {0}")]
    Known(String),
    /// A limit of the machine is 0.
    #[error("field 'limits.{key}' must not be 0")]
    ZeroLimit {
        /// The key of the rejected setting within `limits`.
        key: &'static str,
    },
    /// A reloaded file lacks a key that the configuration in use has.
    #[error("field '{key}' is missing, and the configuration in use has it")]
    MissingOnReload {
        /// The path of the missing key.
        key: String,
    },
    /// An error in the operators' own file.
    #[error(transparent)]
    Interconnect(#[from] InterconnectError),
}

impl ConfigError {
    /// Returns whether a later read of the same files may succeed.
    pub fn is_transient(&self) -> bool {
        matches!(self, ConfigError::Unreadable { source, .. } if !is_permanent(source))
    }

    /// Adds the path of the file in which the error was found.
    pub(super) fn in_file(self, path: &str) -> Self {
        ConfigError::InFile {
            path: path.to_owned(),
            source: Box::new(self),
        }
    }
}

/// The settings parser returns messages that name the field at fault.
impl From<String> for ConfigError {
    fn from(message: String) -> Self {
        ConfigError::Field(message)
    }
}
