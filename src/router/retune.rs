//! New settings for a router that runs, as a reload brings them: checked whole, or nothing changes.
//!
//! Classes may appear and vanish, and attempts may be fewer. A request under way keeps the class it started
//! with: its deadline, aims and the figures learned of it. So the old classes that requests still hold stay
//! behind the new ones, under a name that no request can carry, until a later reload finds none holding them.
//! New requests find the new classes by name. Fewer attempts bind at once, also for requests under way:
//! that is never more than their class allowed when they began.

use super::Router;
use crate::checks::SettingsError;
use crate::interface::Settings;
use std::collections::BTreeMap;

/// What a kept class's name begins with; names on the wire are printable, so none begins so.
const HELD: char = '\u{0}';

impl Router {
    /// Takes new settings. Where they are not sound the router stays as it was and the error tells why.
    pub fn retune(&mut self, mut settings: Settings) -> Result<(), SettingsError> {
        settings.check()?;
        let old = std::mem::take(&mut self.settings.classes);
        let fresh = |s: &Settings, i: usize| (s.classes[i].aim_us as f64 / 1e6 / 2.0, 0.0);
        let mut usual = Vec::new();
        let mut tail_factor = Vec::new();
        for i in 0..settings.classes.len() {
            // What was learned of a class goes on where its name does.
            let same = old.iter().position(|o| o.name == settings.classes[i].name);
            usual.push(same.map_or_else(|| fresh(&settings, i), |j| self.usual_transfer_s[j]));
            tail_factor.push(same.map_or(4.0, |j| self.tail_factor[j]));
        }
        let mut moved = BTreeMap::new();
        for open in self.requests.values_mut() {
            open.class = *moved.entry(open.class).or_insert_with(|| {
                let mut held = old[open.class].clone();
                if !held.name.starts_with(HELD) {
                    held.name.insert(0, HELD);
                }
                settings.classes.push(held);
                usual.push(self.usual_transfer_s[open.class]);
                tail_factor.push(self.tail_factor[open.class]);
                settings.classes.len() - 1
            });
        }
        (self.settings, self.usual_transfer_s, self.tail_factor) = (settings, usual, tail_factor);
        Ok(())
    }
}
