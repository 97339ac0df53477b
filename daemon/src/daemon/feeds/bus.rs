//! The event bus: one connection that is read for good, and begun anew where it ends or falls silent.

use crate::bus::{request, BusEvent, Feed, News};
use crate::daemon::discovery::BUS;
use crate::daemon::exchange::{Effect, End, Exchange, Flow};
use crate::daemon::Daemon;
use crate::limits::Limits;
use crate::net::{Due, Key};
use crate::wire::WireError;
use linnetknot::{ListMode, Micros, ServerId, State as Standing};
use linnetknot_consul::Backoff;
use linnetknot_discovery::{Entry, Evidence, Report};
use std::collections::BTreeMap;

/// What the daemon knows of the bus.
pub(in crate::daemon) struct State {
    key: Option<Key>,
    timer: Option<Due>,
    /// The last event heard.
    pub(in crate::daemon) last: u64,
    /// When something last came.
    read_at: Micros,
    /// When boxes started, as the bus dated it and by the own clock. One date always has the same time by the own clock:
    /// a box whose start changes has started again.
    starts: BTreeMap<ServerId, (Micros, Micros)>,
    /// How long to wait before it is called again. The longest wait is short against what its news may take.
    backoff: Backoff,
}

impl State {
    /// Nothing is heard yet.
    pub(in crate::daemon) fn new(seed: u64, limits: &Limits) -> Self {
        let backoff = Backoff::new(limits.bus_again_us, limits.bus_again_most_us, seed);
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

/// One call.
struct Call {
    host: String,
    last: u64,
    feed: Feed,
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
                .for_each(|event| daemon.heard(now, event));
        }));
        Ok(Flow::More)
    }

    fn ended(self: Box<Self>, end: End) -> Option<Effect> {
        if let End::Unreadable(e) = end {
            log::warn!("the event bus's connection is ended: {e}");
        }
        Some(Box::new(|daemon, now| {
            daemon.bus.key = None;
            daemon.call_bus_again(now);
        }))
    }
}

impl Daemon {
    pub(in crate::daemon) fn news(&mut self, now: Micros, event: BusEvent) {
        match event.news {
            // Unless told otherwise, one source has the list.
            Some(News::List(..)) if self.config.consul.as_ref().is_some_and(|c| !c.beside_bus) => {}
            Some(News::List(answer)) => {
                for entry in &answer.entries {
                    if let Some(started) = entry.server.started {
                        let dated = (started, started);
                        self.bus.starts.entry(entry.server.id).or_insert(dated);
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
            Some(News::Purge { object, group, at }) => self.core.purged(now, object, group, at),
            None => log::debug!("event {} of the bus is of an unknown kind", event.offset),
        }
    }

    /// When a box started is dated by the platform's clock: it is taken by the own one, which may be off. None has started
    /// later than it is told.
    fn date_start(&mut self, now: Micros, entry: &mut Entry) {
        let id = entry.server.id;
        if entry.server.state == Standing::Gone {
            self.bus.starts.remove(&id);
        }
        let Some(date) = entry.server.started else {
            return;
        };
        let known = self.bus.starts.get(&id).filter(|(known, _)| *known == date);
        let started = known.map(|(_, started)| *started).unwrap_or_else(|| {
            self.core.heard_date(now, date);
            self.core.own_time(date).min(now)
        });
        entry.server.started = Some(started);
        if entry.server.state != Standing::Gone {
            self.bus.starts.insert(id, (date, started));
        }
    }

    /// An event that has just happened: neighbours hear of purges too.
    fn heard(&mut self, now: Micros, mut event: BusEvent) {
        if let Some(News::List(answer)) = &mut event.news {
            for entry in &mut answer.entries {
                self.date_start(now, entry);
            }
        }
        if let Some(News::Purge { object, group, at }) = &event.news {
            self.core.heard_date(now, *at);
            self.pass_on(now, object.as_deref(), *group);
        }
        self.news(now, event);
    }

    pub(in crate::daemon) fn call_bus(&mut self, now: Micros) {
        let Some(bus) = self.config.bus else { return };
        let feed = Feed::new(&self.limits);
        let call = Call {
            host: bus.to_string(),
            last: self.bus.last,
            feed,
        };
        self.bus.key = self.exchange(now, bus, Box::new(call), None);
        self.bus.read_at = now;
        match self.bus.key {
            Some(_) => self.wake_bus(now + self.limits.bus_silence_us),
            None => self.call_bus_again(now),
        }
    }

    fn call_bus_again(&mut self, now: Micros) {
        let wait = self.bus.backoff.next_delay();
        self.wake_bus(now + wait);
    }

    /// The bus is at another address: what it has to tell is asked for there at once, behind the last event.
    pub(in crate::daemon) fn move_bus(&mut self, now: Micros) {
        if let Some(old) = self.bus.key.take() {
            self.connections.remove(old);
        }
        self.bus.backoff.reset();
        self.call_bus(now);
    }

    fn wake_bus(&mut self, at: Micros) {
        let due = self.later(at, Daemon::check_bus);
        if let Some(due) = self.bus.timer.replace(due) {
            self.deadlines.take_back(due);
        }
    }

    /// A bus that has gone silent may have gone without a word: what it has to tell counts as told all the same.
    fn check_bus(&mut self, now: Micros) {
        match self.bus.key {
            None => self.call_bus(now),
            Some(key) if self.bus.read_at + self.limits.bus_silence_us <= now => {
                log::warn!("the event bus is silent and called again");
                self.connections.remove(key);
                self.call_bus(now);
            }
            Some(_) => self.wake_bus(self.bus.read_at + self.limits.bus_silence_us),
        }
    }
}
