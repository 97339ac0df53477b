//! SIGHUP: a new configuration is read and put in force, as far as a running daemon can follow it.

use super::Daemon;
use crate::config::Config;
use linnetknot::{Micros, Settings};

impl Daemon {
    /// Reads the configuration again. Nothing that is open is dropped for it, and a faulty file changes
    /// nothing: a daemon that ended over it would take all its clients with it.
    pub(super) fn reload(&mut self, now: Micros) {
        self.hup.clear();
        let mut new = match (self.source)() {
            Ok(new) => new,
            Err(e) => return log::error!("SIGHUP: the configuration stays as it was: {e}"),
        };
        self.reload_settings(&new);
        self.warn_of_fixed_changes(&new);
        self.reload_peers(&new);
        if self.config.budgets != new.budgets {
            self.reload_budgets(&new.budgets);
        }
        let bus_moved = self.config.bus != new.bus;
        self.config.bus = new.bus;
        self.config.peers = new.peers.take().or(self.config.peers.take());
        self.reload_machines(now);
        let bus_note = if bus_moved {
            "; the event bus has moved"
        } else {
            ""
        };
        log::info!("SIGHUP: the configuration is read again{bus_note}");
        self.index_peers();
        if bus_moved {
            self.move_bus(now);
        }
        if !self.reload_consul(now, new.consul.take()) {
            log::warn!("SIGHUP: 'consul' has changed, which takes effect with the next start only");
        }
    }

    /// Puts the settings and the limits that follow from them in force, where they have changed.
    fn reload_settings(&mut self, new: &Config) {
        if self.config.settings != new.settings && self.retune(&new.settings) {
            self.limits.apply_settings_from(&new.limits);
            self.config.limits.apply_settings_from(&new.limits);
        }
    }

    /// Warns of each changed key that the running daemon can't follow.
    fn warn_of_fixed_changes(&self, new: &Config) {
        for key in self.config.fixed_changes(new) {
            if key != "settings" {
                log::warn!(
                    "SIGHUP: '{key}' has changed, which takes effect with the next start only"
                );
            }
        }
    }

    /// Follows a changed list of peers.
    fn reload_peers(&mut self, new: &Config) {
        let (Some((_, known)), Some(new)) = (&mut self.peers, &new.peers) else {
            return;
        };
        let peers = &new.all;
        known.clone_from(peers);
        if let Some(health) = &mut self.origin_health {
            health.retain_peers(|peer| peers.contains(peer));
        }
    }

    /// Follows a change of which peers share a machine, which counts for the replicas of a log.
    fn reload_machines(&mut self, now: Micros) {
        let before = self.config.replication.machines.clone();
        match self.config.check_replication(self.config.peers.as_ref()) {
            Ok(replication) => self.config.replication.machines = replication.machines,
            Err(e) => log::error!("SIGHUP: the machines of the peers stay as they were: {e}"),
        }
        if before == self.config.replication.machines {
            return;
        }
        self.detach_budgets();
        let peers = self.config.replication.machines.len();
        if let Some(membership) = &mut self.membership {
            membership.reset_peers(peers);
        }
        self.update_machines();
        if !self.pending_commits.has_recovered() {
            self.begin_recovery(now);
        }
    }

    /// Puts new settings in force where a running router can follow them: its classes and its attempts. The rest
    /// of `settings` was built into the router's tables at the start. False: they can't be used.
    fn retune(&mut self, new: &Settings) -> bool {
        let mut next = self.config.settings.clone();
        next.classes.clone_from(&new.classes);
        next.max_attempts = new.max_attempts;
        if next != *new {
            log::warn!("SIGHUP: 'settings' has changed beyond its classes and attempts, which takes effect with the next start only");
        }
        match self.core.apply_settings(next.clone()) {
            Ok(()) => {
                log::info!(classes = next.classes.len(), attempts = next.max_attempts; "SIGHUP: new settings are in force");
                self.config.settings = next;
                true
            }
            Err(e) => {
                log::error!("SIGHUP: 'settings' stay as they were: {e}");
                false
            }
        }
    }
}
