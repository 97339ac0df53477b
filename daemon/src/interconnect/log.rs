//! The section `log`: the format of the log.

use schemars::JsonSchema;
use serde::Deserialize;

/// The log.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct LogFile {
    /// Its form.
    pub form: LogForm,
}

/// Forms of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum LogForm {
    /// Lines for people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}
