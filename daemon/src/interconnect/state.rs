//! The section `state`: the state that outlives the process.

use super::validation::range;
use super::Result;
use linnetknot::Micros;
use schemars::JsonSchema;
use serde::Deserialize;
use std::path::PathBuf;

/// The state that outlives the process.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct StateFile {
    /// The folder of the state; null: no state is stored.
    pub directory: Option<PathBuf>,
    /// The maximum age of a cached list of pop caches, in seconds. An older one is not used.
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

/// The validated section `state`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    /// The folder of the state, if there is one.
    pub directory: Option<PathBuf>,
    /// The maximum age of a cached endpoint list. Older lists are not used.
    pub max_age_us: Micros,
}

impl StateFile {
    /// Validates the section.
    pub fn check(&self) -> Result<State> {
        let max_age_us = range("state.most_age_s", self.most_age_s, 1, 1 << 32)? * 1_000_000;
        Ok(State {
            directory: self.directory.clone(),
            max_age_us,
        })
    }
}
