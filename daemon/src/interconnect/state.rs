//! The section `state`: what outlives the process.

use super::validation::range;
use super::Result;
use linnetknot::Micros;
use schemars::JsonSchema;
use serde::Deserialize;
use std::path::PathBuf;

/// What outlives the process.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct StateFile {
    /// The folder for it; null: nothing does.
    pub directory: Option<PathBuf>,
    /// A kept list of boxes that is older is not used, in seconds.
    pub most_age_s: u64,
}

impl Default for StateFile {
    fn default() -> Self {
        StateFile {
            directory: None,
            most_age_s: 86_400,
        }
    }
}

/// What outlives the process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    /// The folder for it.
    pub directory: Option<PathBuf>,
    /// The greatest age of a kept list.
    pub max_age_us: Micros,
}

impl StateFile {
    /// What the daemon uses.
    pub fn check(&self) -> Result<State> {
        let max_age_us = range("state.most_age_s", self.most_age_s, 1, 1 << 32)? * 1_000_000;
        Ok(State {
            directory: self.directory.clone(),
            max_age_us,
        })
    }
}
