//! Replacement of the settings of a running router. Invalid settings are rejected as a whole.
//!
//! A reload may add and remove classes and lower the number of attempts. A request in progress keeps the deadline,
//! objectives and statistics of the class it started with. Old classes with open requests are therefore appended to the
//! new classes under a name that no request can carry. The first later reload that finds them unused removes them. New
//! requests find the new classes by name. The new number of attempts also applies to requests in progress.

use super::statistics::ClassStatistics;
use super::Router;
use crate::interface::{Settings, SettingsError};
use std::collections::BTreeMap;

/// Prefix of a retained class's name; names on the wire are printable, so no request matches it.
const RETAINED_PREFIX: char = '\u{0}';

impl Router {
    /// Replaces the settings. Returns an error and changes nothing if the new settings are invalid.
    pub fn update_settings(&mut self, mut settings: Settings) -> Result<(), SettingsError> {
        settings.check()?;
        let old_classes = std::mem::take(&mut self.settings.classes);
        let old_statistics = std::mem::take(&mut self.class_statistics);
        // The statistics of a class are kept if its name stays.
        let mut statistics = Vec::with_capacity(settings.classes.len());
        for class in &settings.classes {
            let old = old_classes.iter().position(|old| old.name == class.name);
            statistics.push(old.map_or_else(|| ClassStatistics::new(class), |i| old_statistics[i]));
        }
        let mut new_indices = BTreeMap::new();
        for open in self.requests.values_mut() {
            let old = open.class;
            open.class = *new_indices.entry(old).or_insert_with(|| {
                let mut retained = old_classes[old].clone();
                if !retained.name.starts_with(RETAINED_PREFIX) {
                    retained.name.insert(0, RETAINED_PREFIX);
                }
                settings.classes.push(retained);
                statistics.push(old_statistics[old]);
                settings.classes.len() - 1
            });
        }
        self.settings = settings;
        self.class_statistics = statistics;
        Ok(())
    }
}
