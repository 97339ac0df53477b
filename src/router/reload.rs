//! New settings for a router that runs, as a reload brings them: checked as a whole, or nothing changes.
//!
//! Classes may appear and vanish, and attempts may be fewer. A request under way keeps the class it started with: its
//! deadline, objectives and the figures learned of it. So the old classes that open requests still use stay behind the
//! new ones, under a name that no request can carry, until a later reload finds none using them. New requests find the
//! new classes by name. Fewer attempts bind at once, also for requests under way: that is never more than their class
//! allowed when they began.

use super::statistics::ClassStatistics;
use super::Router;
use crate::interface::{Settings, SettingsError};
use std::collections::BTreeMap;

/// What a retained class's name begins with; names on the wire are printable, so none begins so.
const RETAINED_PREFIX: char = '\u{0}';

impl Router {
    /// Takes new settings. Where they are not sound the router stays as it was and the error tells why.
    pub fn update_settings(&mut self, mut settings: Settings) -> Result<(), SettingsError> {
        settings.check()?;
        let old_classes = std::mem::take(&mut self.settings.classes);
        let old_statistics = std::mem::take(&mut self.class_statistics);
        // What was learned of a class goes on where its name does.
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
