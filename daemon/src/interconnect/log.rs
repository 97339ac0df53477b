//! The section `log`: the format of the log.

use schemars::JsonSchema;
use serde::Deserialize;

/// The log.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct LogFile {
    /// The format of the log.
    pub form: LogForm,
}

/// The formats of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum LogForm {
    /// Lines of text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}
