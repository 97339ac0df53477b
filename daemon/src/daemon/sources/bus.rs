//! The event bus: keeps a long-lived connection, and reconnects if it ends or becomes silent.

use crate::bus::{
    request, BusEvent, BusStream, BusUpdate, Liveness, StreamError, UnreadableEvents,
};
use crate::daemon::discovery::BUS;
use crate::daemon::exchange::{Exchange, ExchangeEnd, Flow, Task};
use crate::daemon::Daemon;
use crate::limits::Limits;
use crate::net::{DeadlineId, Key};
use crate::wire::WireError;
use linnetknot::{ListMode, Micros, ServerId, State as ServerState};
use linnetknot_consul::Backoff;
use linnetknot_discovery::{Entry, Evidence, Report};
use std::collections::BTreeMap;

/// The start time of a cache process, by two clocks.
#[derive(Clone, Copy)]
struct Start {
    /// The time by the clock of the event bus, as reported.
    date: Micros,
    /// The same time, converted to the local clock.
    local_time: Micros,
}

/// The state of the connection to the bus.
pub(in crate::daemon) struct State {
    key: Option<Key>,
    /// The timer of the next attempt to connect.
    reconnect_timer: Option<DeadlineId>,
    /// The bus offset of the last applied event.
    pub(in crate::daemon) last_offset: u64,
    /// The number of messages in a row that took longer to arrive than they may.
    overdue_messages: u32,
    /// The start times of caches. The local time for a reported date is computed once and kept, because a changed start
    /// time would be taken for a restart of the cache.
    starts: BTreeMap<ServerId, Start>,
    /// The failed reads of the event after the last one.
    unreadable: UnreadableEvents,
    /// The time that the bus asks readers to wait before a reconnect.
    reconnection_time_us: Micros,
    /// The backoff between attempts to connect.
    backoff: Backoff,
}

impl State {
    /// Creates the state of the bus connection before the first event.
    pub(in crate::daemon) fn new(seed: u64, limits: &Limits) -> Self {
        let backoff = Backoff::new(limits.bus_min_backoff_us, limits.bus_max_backoff_us, seed);
        State {
            key: None,
            reconnect_timer: None,
            last_offset: 0,
            overdue_messages: 0,
            starts: BTreeMap::new(),
            unreadable: UnreadableEvents::default(),
            reconnection_time_us: 0,
            backoff,
        }
    }
}

/// The protocol of one connection to the bus.
struct BusExchange {
    host: String,
    last_offset: u64,
    feed: BusStream,
    liveness: Liveness,
}

impl Exchange for BusExchange {
    fn initial_bytes(&self) -> Vec<u8> {
        request(&self.host, self.last_offset)
    }

    fn read(
        &mut self,
        now: Micros,
        input: &[u8],
        tasks: &mut Vec<Task>,
    ) -> Result<Flow, WireError> {
        let mut events = Vec::new();
        let result = self.feed.read(input, &mut self.last_offset, &mut events);
        let progress = self.feed.progress();
        self.liveness.record(now, progress);
        let reconnection_time_us = self.feed.reconnection_time_us();
        let last_offset = self.last_offset;
        // Events that precede an error are applied, as the next request continues after them.
        tasks.push(Box::new(move |daemon, now| {
            daemon.bus.last_offset = last_offset;
            if let Some(time_us) = reconnection_time_us {
                daemon.bus.reconnection_time_us = time_us;
            }
            if progress.has_completed_message {
                daemon.bus.backoff.reset();
            }
            if !events.is_empty() {
                daemon.bus.overdue_messages = 0;
            }
            events
                .into_iter()
                .for_each(|event| daemon.receive_bus_event(now, event));
        }));
        match result {
            Ok(()) => Ok(Flow::NeedsInput),
            Err(StreamError::Response(error)) => Err(error),
            Err(StreamError::Event { id, error }) => {
                let cause = error.clone();
                tasks.push(Box::new(move |daemon, _| {
                    daemon.record_unreadable_event(id, &cause);
                }));
                Err(error)
            }
        }
    }

    fn deadline(&self) -> Option<Micros> {
        Some(self.liveness.deadline())
    }

    fn on_ended(self: Box<Self>, end: ExchangeEnd) -> Option<Task> {
        if let ExchangeEnd::Unreadable(e) = &end {
            log::warn!("closed the connection to the event bus: {e}");
        }
        let liveness = self.liveness;
        Some(Box::new(move |daemon, now| {
            daemon.bus.key = None;
            if end == ExchangeEnd::TimedOut {
                daemon.replace_lost_bus_connection(now, liveness);
            } else {
                daemon.schedule_bus_reconnect(now);
            }
        }))
    }
}

impl Daemon {
    /// Applies an event that was just received, or that is part of the configuration.
    pub(in crate::daemon) fn apply_bus_event(&mut self, now: Micros, event: BusEvent) {
        match event.update {
            // If Consul is configured, endpoint lists of the bus are ignored unless the configuration combines both
            // sources.
            Some(BusUpdate::List(..))
                if self.config.consul.as_ref().is_some_and(|c| !c.beside_bus) => {}
            Some(BusUpdate::List(answer)) => {
                for entry in &answer.entries {
                    if let Some(started) = entry.server.started {
                        let start = Start {
                            date: started,
                            local_time: started,
                        };
                        self.bus.starts.entry(entry.server.id).or_insert(start);
                    }
                }
                let list = self
                    .list_validator
                    .validate(answer, self.endpoint_table.reported_by(BUS));
                for rejection in list.rejections {
                    log::warn!("event {} of the bus: {rejection}", event.offset);
                }
                let reports = list.entries.into_iter().map(Report::from).collect();
                let evidence = match list.mode {
                    ListMode::Full => Evidence::Full(reports),
                    _ => Evidence::Delta(reports),
                };
                self.receive_evidence(now, BUS, evidence);
            }
            Some(BusUpdate::Purge { object, group, at }) => {
                self.core.record_purge(now, object, group, at);
            }
            None => log::debug!("ignored event {} of the bus: unknown kind", event.offset),
        }
    }

    /// Converts the start time of a cache from the clock of the event bus to the local clock. The result is never later
    /// than the arrival of the event.
    fn localize_start_time(&mut self, now: Micros, entry: &mut Entry) {
        let id = entry.server.id;
        if entry.server.state == ServerState::Gone {
            self.bus.starts.remove(&id);
        }
        let Some(date) = entry.server.started else {
            return;
        };
        let known_start = self.bus.starts.get(&id).filter(|start| start.date == date);
        let local_time = known_start
            .map(|start| start.local_time)
            .unwrap_or_else(|| {
                self.core.observe_origin_date(now, date);
                self.core.local_time(date).min(now)
            });
        entry.server.started = Some(local_time);
        if entry.server.state != ServerState::Gone {
            self.bus.starts.insert(id, Start { date, local_time });
        }
    }

    /// Handles a received event. Purges are also forwarded to peer CDNs.
    fn receive_bus_event(&mut self, now: Micros, mut event: BusEvent) {
        if let Some(BusUpdate::List(answer)) = &mut event.update {
            for entry in &mut answer.entries {
                self.localize_start_time(now, entry);
            }
        }
        if let Some(BusUpdate::Purge { object, group, at }) = &event.update {
            self.core.observe_event_date(now, *at);
            self.forward_purge(now, object.as_deref(), *group);
        }
        self.apply_bus_event(now, event);
    }

    /// Records that the event after the last one can't be read, and skips it if that is not the first time.
    fn record_unreadable_event(&mut self, id: Option<u64>, error: &WireError) {
        let Some(skipped) = self.bus.unreadable.record(self.bus.last_offset, id) else {
            return;
        };
        log::error!("event {skipped} of the bus can't be read and is skipped: {error}");
        self.bus.last_offset = skipped;
    }

    /// Connects to the bus and resumes after the last event.
    pub(in crate::daemon) fn connect_bus(&mut self, now: Micros) {
        let Some(bus) = self.config.bus else { return };
        let exchange = BusExchange {
            host: bus.to_string(),
            last_offset: self.bus.last_offset,
            feed: BusStream::new(&self.limits),
            liveness: Liveness::new(now, &self.limits, self.bus.overdue_messages),
        };
        self.bus.key = self.start_exchange(now, bus, Box::new(exchange));
        match self.bus.key {
            Some(_) => self.cancel_bus_reconnect(),
            None => self.schedule_bus_reconnect(now),
        }
    }

    /// Schedules a connection to the bus after the backoff, replacing an earlier schedule. The bus may ask for a longer
    /// time, but for no longer one than the longest backoff: its events take effect in time nevertheless.
    fn schedule_bus_reconnect(&mut self, now: Micros) {
        self.cancel_bus_reconnect();
        let requested_us = self.bus.reconnection_time_us;
        let backoff_us = self.bus.backoff.next_delay();
        let delay = backoff_us.max(requested_us.min(self.limits.bus_max_backoff_us));
        let timer = self.schedule(now + delay, Daemon::connect_bus);
        self.bus.reconnect_timer = Some(timer);
    }

    fn cancel_bus_reconnect(&mut self) {
        if let Some(timer) = self.bus.reconnect_timer.take() {
            self.deadlines.cancel(timer);
        }
    }

    /// Connects to the bus immediately after a reload has changed its address.
    pub(in crate::daemon) fn reconnect_moved_bus(&mut self, now: Micros) {
        if let Some(old) = self.bus.key.take() {
            self.connections.remove(old);
        }
        self.bus.backoff.reset();
        self.bus.reconnection_time_us = 0;
        self.bus.overdue_messages = 0;
        self.connect_bus(now);
    }

    /// Connects again at once after a connection without a sign of life was closed. A lost connection is not always
    /// reported by the kernel, and this proxy is expected to know the events of the bus all the same.
    fn replace_lost_bus_connection(&mut self, now: Micros, lost: Liveness) {
        log::warn!("event bus is silent, reconnecting");
        if lost.is_message_overdue(now) {
            self.bus.overdue_messages = self.bus.overdue_messages.saturating_add(1);
        }
        self.connect_bus(now);
    }
}
