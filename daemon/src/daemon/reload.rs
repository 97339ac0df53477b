//! Reloads the configuration on SIGHUP. Changes that a running daemon can't apply are logged and require a restart.
//!
//! A reload whose files can't be read at the moment is retried until it succeeds, fails for another reason or is
//! replaced by a later one: the operators send no second SIGHUP.

use super::consul::ReloadError as ConsulReloadError;
use super::Daemon;
use crate::config::{Config, ConfigError};
use crate::interconnect::Consul;
use crate::net::DeadlineId;
use linnetknot::{Micros, Settings};
use linnetknot_consul::Backoff;
use std::error::Error;

/// The shortest and the longest backoff between two attempts of a reload, before jitter.
const MIN_RETRY_US: Micros = 100_000;
const MAX_RETRY_US: Micros = 2_000_000;

/// The retries of a reload whose files could not be read.
pub(super) struct ReloadRetries {
    backoff: Backoff,
    due: Option<DeadlineId>,
}

impl ReloadRetries {
    /// Creates the state without a failed reload.
    pub(super) fn new(seed: u64) -> Self {
        ReloadRetries {
            backoff: Backoff::new(MIN_RETRY_US, MAX_RETRY_US, seed),
            due: None,
        }
    }
}

impl Daemon {
    /// Handles SIGHUP: reloads the configuration. Replaces the retries of an earlier reload.
    pub(super) fn reload(&mut self, now: Micros) {
        self.sighup.drain();
        if let Some(due) = self.reload_retries.due.take() {
            self.deadlines.cancel(due);
        }
        self.reload_retries.backoff.reset();
        self.try_reload(now);
    }

    /// Reads and applies the configuration. Open connections and requests are kept, and an invalid configuration
    /// changes nothing: a daemon that exited because of it would disconnect all its clients.
    fn try_reload(&mut self, now: Micros) {
        match self.read_reloaded_config() {
            Ok(new) => self.apply_reloaded_config(now, new),
            Err(e) if e.is_transient() => self.retry_reload(now, &e),
            Err(e) => log::error!("SIGHUP: configuration is unchanged: {e}"),
        }
    }

    /// Schedules the next attempt of a reload. Its first failure is logged.
    fn retry_reload(&mut self, now: Micros, error: &dyn Error) {
        let retries = &mut self.reload_retries;
        if retries.backoff.failures() == 0 {
            log::error!("SIGHUP: configuration can't be read at the moment, retrying: {error}");
        }
        let at = now + retries.backoff.next_delay();
        let due = self.schedule(at, |daemon, now| {
            daemon.reload_retries.due = None;
            daemon.try_reload(now);
        });
        self.reload_retries.due = Some(due);
    }

    /// Applies a valid and complete configuration.
    fn apply_reloaded_config(&mut self, now: Micros, mut new: Config) {
        self.config.adopt_keys_of(&new);
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
            "; the address of the event bus changed"
        } else {
            ""
        };
        log::info!("SIGHUP: reloaded the configuration{bus_note}");
        self.index_peers();
        if bus_moved {
            self.reconnect_moved_bus(now);
        }
        self.reload_consul_section(now, new.consul.take());
    }

    /// Applies a changed section `consul`, and retries the reload if the token can't be read at the moment.
    fn reload_consul_section(&mut self, now: Micros, new: Option<Consul>) {
        match self.reload_consul(now, new) {
            Ok(()) => {}
            Err(ConsulReloadError::NeedsRestart) => {
                log::warn!("SIGHUP: the change of 'consul' needs a restart");
            }
            Err(ConsulReloadError::Token(e)) if e.is_transient() => self.retry_reload(now, &e),
            Err(ConsulReloadError::Token(e)) => {
                log::error!("SIGHUP: 'consul' is unchanged: {e}");
            }
        }
    }

    /// Reads the configuration again, and checks that it is complete.
    fn read_reloaded_config(&self) -> Result<Config, ConfigError> {
        let new = (self.config_source)()?;
        self.config.check_reload(&new)?;
        Ok(new)
    }

    /// Applies changed settings and the limits derived from them.
    fn reload_settings(&mut self, new: &Config) {
        if self.config.settings != new.settings && self.apply_settings(&new.settings) {
            self.limits.apply_settings_from(&new.limits);
            self.config.limits.apply_settings_from(&new.limits);
        }
    }

    /// Warns about each changed key that requires a restart.
    fn warn_of_fixed_changes(&self, new: &Config) {
        for key in self.config.fixed_changes(new) {
            if key != "settings" {
                log::warn!("SIGHUP: the change of '{key}' needs a restart");
            }
        }
    }

    /// Applies a changed list of peers.
    fn reload_peers(&mut self, new: &Config) {
        let (Some((_, current)), Some(new)) = (&mut self.peers, &new.peers) else {
            return;
        };
        let peers = &new.all;
        current.clone_from(peers);
        if let Some(health) = &mut self.origin_health {
            health.retain_peers(|peer| peers.contains(peer));
        }
    }

    /// Applies a change in which peers share a machine, which affects the replicas of a log.
    fn reload_machines(&mut self, now: Micros) {
        let before = self.config.replication.machines.clone();
        match self.config.check_replication(self.config.peers.as_ref()) {
            Ok(replication) => self.config.replication.machines = replication.machines,
            Err(e) => log::error!("SIGHUP: the machines of the peers are unchanged: {e}"),
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
            self.start_recovery(now);
        }
    }

    /// Applies the settings that a running decision module can change: its classes and attempts. Other settings require
    /// a restart. Returns false if the settings are invalid.
    fn apply_settings(&mut self, new: &Settings) -> bool {
        let mut next = self.config.settings.clone();
        next.classes.clone_from(&new.classes);
        next.max_attempts = new.max_attempts;
        if next != *new {
            log::warn!(
                "SIGHUP: changes of 'settings' other than classes and attempts need a restart"
            );
        }
        match self.core.apply_settings(next.clone()) {
            Ok(()) => {
                log::info!(classes = next.classes.len(), attempts = next.max_attempts; "SIGHUP: applied new settings");
                self.config.settings = next;
                true
            }
            Err(e) => {
                log::error!("SIGHUP: 'settings' are unchanged: {e}");
                false
            }
        }
    }
}
