//! The event bus: one connection that is read for good, and made anew where it ends or falls silent.

use crate::bus::{request, BusEvent, BusStream, BusUpdate};
use crate::daemon::discovery::BUS;
use crate::daemon::exchange::{Effect, End, Exchange, Flow};
use crate::daemon::Daemon;
use crate::limits::Limits;
use crate::net::{DeadlineId, Key};
use crate::wire::WireError;
use linnetknot::{ListMode, Micros, ServerId, State as ServerState};
use linnetknot_consul::Backoff;
use linnetknot_discovery::{Entry, Evidence, Report};
use std::collections::BTreeMap;

/// When a cache started.
#[derive(Clone, Copy)]
struct Start {
    /// As the bus dated it, by the platform's clock.
    date: Micros,
    /// By the local clock.
    local: Micros,
}

/// The state of the connection to the bus.
pub(in crate::daemon) struct State {
    key: Option<Key>,
    timer: Option<DeadlineId>,
    /// The number of the last event.
    pub(in crate::daemon) last: u64,
    /// When something last came.
    read_at: Micros,
    /// When caches started. One date always has the same local time: a cache whose start changes has started again.
    starts: BTreeMap<ServerId, Start>,
    /// How long to wait before the next connection. The longest wait is short against the time that its events may take.
    backoff: Backoff,
}

impl State {
    /// No event has come yet.
    pub(in crate::daemon) fn new(seed: u64, limits: &Limits) -> Self {
        let backoff = Backoff::new(limits.bus_min_backoff_us, limits.bus_max_backoff_us, seed);
        State {
            key: None,
            timer: None,
            last: 0,
            read_at: 0,
            starts: BTreeMap::new(),
            backoff,
        }
    }
}

/// One connection to the bus.
struct Call {
    host: String,
    last: u64,
    feed: BusStream,
}

impl Exchange for Call {
    fn opening(&self) -> Vec<u8> {
        request(&self.host, self.last)
    }

    fn read(&mut self, input: &[u8], effects: &mut Vec<Effect>) -> Result<Flow, WireError> {
        let events = self.feed.read(input, &mut self.last)?;
        let last = self.last;
        effects.push(Box::new(move |daemon, now| {
            (daemon.bus.last, daemon.bus.read_at) = (last, now);
            daemon.bus.backoff.reset();
            events
                .into_iter()
                .for_each(|event| daemon.receive_bus_event(now, event));
        }));
        Ok(Flow::More)
    }

    fn ended(self: Box<Self>, end: End) -> Option<Effect> {
        if let End::Unreadable(e) = end {
            log::warn!("the event bus's connection is ended: {e}");
        }
        Some(Box::new(|daemon, now| {
            daemon.bus.key = None;
            daemon.reconnect_bus_later(now);
        }))
    }
}

impl Daemon {
    /// Takes in what an event says, whether it has just come or was recorded by an earlier process.
    pub(in crate::daemon) fn apply_bus_event(&mut self, now: Micros, event: BusEvent) {
        match event.update {
            // Unless told otherwise, one source has the list.
            Some(BusUpdate::List(..))
                if self.config.consul.as_ref().is_some_and(|c| !c.beside_bus) => {}
            Some(BusUpdate::List(answer)) => {
                for entry in &answer.entries {
                    if let Some(started) = entry.server.started {
                        let start = Start {
                            date: started,
                            local: started,
                        };
                        self.bus.starts.entry(entry.server.id).or_insert(start);
                    }
                }
                let list = self
                    .validator
                    .validate(answer, self.members.reported_by(BUS));
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
            None => log::debug!("event {} of the bus is of an unknown kind", event.offset),
        }
    }

    /// Translates the start of a cache, which is dated by the platform's clock, to the local clock, which may be off. No
    /// cache has started later than its event came.
    fn date_start(&mut self, now: Micros, entry: &mut Entry) {
        let id = entry.server.id;
        if entry.server.state == ServerState::Gone {
            self.bus.starts.remove(&id);
        }
        let Some(date) = entry.server.started else {
            return;
        };
        let known = self.bus.starts.get(&id).filter(|start| start.date == date);
        let local = known.map(|start| start.local).unwrap_or_else(|| {
            self.core.observe_origin_date(now, date);
            self.core.local_time(date).min(now)
        });
        entry.server.started = Some(local);
        if entry.server.state != ServerState::Gone {
            self.bus.starts.insert(id, Start { date, local });
        }
    }

    /// Takes an event that has just come: purges go on to the peer CDNs too.
    fn receive_bus_event(&mut self, now: Micros, mut event: BusEvent) {
        if let Some(BusUpdate::List(answer)) = &mut event.update {
            for entry in &mut answer.entries {
                self.date_start(now, entry);
            }
        }
        if let Some(BusUpdate::Purge { object, group, at }) = &event.update {
            self.core.observe_origin_date(now, *at);
            self.pass_on(now, object.as_deref(), *group);
        }
        self.apply_bus_event(now, event);
    }

    /// Connects to the bus, behind the last event.
    pub(in crate::daemon) fn connect_bus(&mut self, now: Micros) {
        let Some(bus) = self.config.bus else { return };
        let feed = BusStream::new(&self.limits);
        let call = Call {
            host: bus.to_string(),
            last: self.bus.last,
            feed,
        };
        self.bus.key = self.exchange(now, bus, Box::new(call), None);
        self.bus.read_at = now;
        match self.bus.key {
            Some(_) => self.check_bus_at(now + self.limits.bus_read_timeout_us),
            None => self.reconnect_bus_later(now),
        }
    }

    /// Connects again after the backoff.
    fn reconnect_bus_later(&mut self, now: Micros) {
        let wait = self.bus.backoff.next_delay();
        self.check_bus_at(now + wait);
    }

    /// The bus is at another address: connects there at once.
    pub(in crate::daemon) fn move_bus(&mut self, now: Micros) {
        if let Some(old) = self.bus.key.take() {
            self.connections.remove(old);
        }
        self.bus.backoff.reset();
        self.connect_bus(now);
    }

    /// Checks the connection at this time, and no more at the time before.
    fn check_bus_at(&mut self, at: Micros) {
        let due = self.later(at, Daemon::check_bus);
        if let Some(due) = self.bus.timer.replace(due) {
            self.deadlines.cancel(due);
        }
    }

    /// Connects again where there is no connection or it has fallen silent: the bus may have gone without closing it, and
    /// its events count as known all the same.
    fn check_bus(&mut self, now: Micros) {
        match self.bus.key {
            None => self.connect_bus(now),
            Some(key) if self.bus.read_at + self.limits.bus_read_timeout_us <= now => {
                log::warn!("the event bus is silent and called again");
                self.connections.remove(key);
                self.connect_bus(now);
            }
            Some(_) => self.check_bus_at(self.bus.read_at + self.limits.bus_read_timeout_us),
        }
    }
}
