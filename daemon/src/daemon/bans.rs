//! Bans of pop caches by operators, and the slow start of a cache whose ban is lifted.
//!
//! Operators restart a pop cache while it is banned. The sources of the endpoint list report the restart late or not at
//! all, so a cache whose ban is lifted counts as started at that time.

use super::Daemon;
use linnetknot::{ListMode, Micros, State};
use linnetknot_discovery::Entry;
use std::collections::BTreeMap;

/// The times at which the bans of pop caches were lifted, by the ids of the caches. A time is retained until the cache
/// is banned again or a source removes it.
#[derive(Debug, Default)]
pub(super) struct LiftedBans(BTreeMap<String, Micros>);

impl LiftedBans {
    /// Raises the start time of a listed cache to the time at which its ban was lifted.
    fn apply_to(&mut self, entry: &mut Entry) {
        if entry.server.state == State::Gone {
            self.0.remove(&entry.uid);
        }
        let lifted_at = self.0.get(&entry.uid).copied();
        entry.server.started = entry.server.started.max(lifted_at);
    }
}

impl Daemon {
    /// Returns the entry of a pop cache as its sources report it, unless they report it as gone.
    fn reported_entry(&self, id: &str) -> Option<Entry> {
        let mut listed = self.endpoint_table.listed();
        let (entry, _) = listed.find(|(entry, _)| entry.uid == id)?;
        (entry.server.state != State::Gone).then(|| entry.clone())
    }

    /// Bans a pop cache: the core treats it as gone, whatever its sources report, until it is unbanned.
    pub(super) fn ban(&mut self, now: Micros, id: &str) {
        self.lifted_bans.0.remove(id);
        self.update_from_sources(now, id);
    }

    /// Unbans a pop cache. The cache is added again in the state that its sources report, and is in slow start.
    pub(super) fn unban(&mut self, now: Micros, id: &str) {
        self.lifted_bans.0.insert(id.to_owned(), now);
        self.update_from_sources(now, id);
        self.schedule_end_of_slow_start(now, id.to_owned(), now);
    }

    /// Passes the entry of a pop cache to the core again after a change of its ban.
    fn update_from_sources(&mut self, now: Micros, id: &str) {
        if let Some(entry) = self.reported_entry(id) {
            let entries = self.apply_bans(ListMode::Delta, vec![entry]);
            self.core.update_endpoints(now, ListMode::Delta, entries);
        }
    }

    /// Applies the bans, and the start times of the caches whose bans were lifted, to a list that is passed to the core.
    pub(super) fn apply_bans(&mut self, mode: ListMode, mut entries: Vec<Entry>) -> Vec<Entry> {
        for entry in &mut entries {
            self.lifted_bans.apply_to(entry);
        }
        let is_banned = |entry: &Entry| self.admin_controller.is_banned(&entry.uid);
        if mode == ListMode::Full {
            entries.retain(|entry| !is_banned(entry));
            return entries;
        }
        for entry in entries.iter_mut().filter(|entry| is_banned(entry)) {
            entry.server.state = State::Gone;
        }
        entries
    }

    /// Begins the slow start of the caches that the previous process had in slow start. The clock of that process may
    /// differ from that of this one, so the slow starts begin again.
    pub(super) fn restore_slow_starts(&mut self, now: Micros) {
        let ids = self.admin_controller.state().in_slow_start.clone();
        ids.iter().for_each(|id| self.unban(now, id));
    }

    /// Schedules the removal of a pop cache from the stored set of caches in slow start, which is for the next process of
    /// an upgrade.
    fn schedule_end_of_slow_start(&mut self, now: Micros, id: String, lifted_at: Micros) {
        let rules = &self.config.settings.rules;
        let duration_us = rules.slow_start_us.max(rules.parent_slow_start_us);
        // The budget of a cache is reduced until a whole window after its slow start.
        let at = now
            .saturating_add(duration_us)
            .saturating_add(rules.overload_window_us);
        self.schedule(at, move |daemon, now| {
            daemon.end_slow_start(now, id, lifted_at);
        });
    }

    /// Removes a pop cache from the stored set of caches in slow start, unless its ban was lifted again since.
    fn end_slow_start(&mut self, now: Micros, id: String, lifted_at: Micros) {
        let last_lifted_at = self.lifted_bans.0.get(&id);
        if last_lifted_at.is_some_and(|at| *at != lifted_at) {
            return;
        }
        // The files stay locked until the state is stored.
        let Ok(_lock) = self.lock_operator_state(now) else {
            return self.schedule_end_of_slow_start(now, id, lifted_at);
        };
        if self.admin_controller.end_slow_start(&id) {
            self.save_operator_state_in_time(now);
        }
    }
}
