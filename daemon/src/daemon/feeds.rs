//! Where the list of boxes and purges come from: the event bus, Consul and the peers.

use super::members::{BUS, CONSUL};
use super::{Daemon, Kind, Timer};
use crate::bus::{BusEvent, Feed, News};
use crate::consul::Call;
use crate::net::Key;
use crate::peers;
use linnetknot::{ListMode, Micros};
use linnetknot_membership::{Evidence, Report};
use std::io;

impl Daemon {
    pub(super) fn news(&mut self, now: Micros, event: BusEvent) {
        match event.news {
            // One source has the list: two would take each other's boxes for gone.
            Some(News::List(..)) if self.consul.is_some() => {}
            Some(News::List(mode, entries)) => {
                let reports = entries.into_iter().map(Report::from).collect();
                let evidence = match mode {
                    ListMode::Full => Evidence::Full(reports),
                    _ => Evidence::Delta(reports),
                };
                self.evidence(now, BUS, evidence);
            }
            Some(News::Purge { object, group, at }) => self.core.purged(now, object, group, at),
            None => log::debug!("event {} of the bus is of an unknown kind", event.offset),
        }
    }

    /// An event that has just happened: neighbours hear of purges too.
    pub(super) fn heard(&mut self, now: Micros, event: BusEvent) {
        if let Some(News::Purge { object, group, .. }) = &event.news {
            self.pass_on(now, object.as_deref(), *group);
        }
        self.news(now, event);
    }

    pub(super) fn call_bus(&mut self, now: Micros) {
        let Some(bus) = self.config.bus else { return };
        self.feed = self.call(now, bus, Kind::Bus(Feed::new(&self.limits, now)));
        let silent = if self.feed.is_some() { self.limits.bus_silence_us } else { self.limits.bus_again_us };
        self.wake_bus(now + silent);
    }

    /// The bus is at another address: what it has to tell is asked for there at once, behind the last event.
    pub(super) fn move_bus(&mut self, now: Micros) {
        if let Some(old) = self.feed.take() {
            self.close(now, old);
        }
        self.call_bus(now);
    }

    pub(super) fn wake_bus(&mut self, at: Micros) {
        if let Some(due) = self.bus_timer.replace(self.deadlines.set(at, Timer::Bus)) {
            self.deadlines.take_back(due);
        }
    }

    /// A bus that has gone silent may have gone without a word: what it has to tell counts as told all the same.
    pub(super) fn check_bus(&mut self, now: Micros) {
        let read = self.feed.and_then(|key| match &self.connections.get(key)?.kind {
            Kind::Bus(feed) => Some((key, feed.last_read())),
            _ => None,
        });
        match read {
            None => self.call_bus(now),
            Some((key, at)) if at + self.limits.bus_silence_us <= now => {
                log::warn!("the event bus is silent and called again");
                self.feed = None;
                self.close(now, key);
                self.call_bus(now);
            }
            Some((_, at)) => self.wake_bus(at + self.limits.bus_silence_us),
        }
    }

    // ---- Consul ----

    pub(super) fn call_consul(&mut self, now: Micros) {
        let Some((to, _)) = &self.consul else { return };
        let to = *to;
        match self.call(now, to, Kind::Consul(Call::new(&self.limits))) {
            Some(key) => {
                self.deadlines.set(now + self.limits.consul_us, Timer::Answered(key));
            }
            None => {
                self.deadlines.set(now + self.limits.bus_again_us, Timer::Consul);
            }
        }
    }

    /// The response to the last query, or none: it failed.
    pub(super) fn consul_told(&mut self, now: Micros, response: Option<(crate::wire::http::Head, Vec<u8>)>) {
        let Some((_, consul)) = &mut self.consul else { return };
        let told =
            response.ok_or("no answer".to_owned()).and_then(|(head, body)| consul.response(&head, &body));
        let again = match told {
            Ok(entries) => {
                if let Some(entries) = entries {
                    let reports = entries.into_iter().map(Report::from).collect();
                    self.evidence(now, CONSUL, Evidence::Full(reports));
                }
                now
            }
            Err(e) => {
                log::warn!("Consul: {e}");
                consul.failed();
                now + self.limits.bus_again_us
            }
        };
        self.deadlines.set(again, Timer::Consul);
    }

    // ---- Peers ----

    pub(super) fn hear_peers(&mut self, now: Micros) {
        let mut bytes = [0; peers::MOST + 1];
        while let Some((socket, known)) = &self.peers {
            let (length, from) = match socket.recv_from(&mut bytes) {
                Ok(received) => received,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(_) => continue,
            };
            // What does not come from a peer is not listened to.
            let purge = peers::read(&bytes[..length]).filter(|_| known.contains(&from));
            if let Some((object, group, at)) = purge {
                self.purge_for_good(now, object, group, at);
            }
        }
    }

    /// Sends a purge to the peers, and again: any datagram may be lost.
    pub(super) fn tell_peers(&mut self, now: Micros, text: String, left: u8) {
        let Some((socket, known)) = &self.peers else { return };
        let own = socket.local_addr().ok();
        for peer in known.iter().filter(|peer| Some(**peer) != own) {
            let _ = socket.send_to(text.as_bytes(), peer);
        }
        if left > 0 {
            self.deadlines.set(now + self.limits.repeat_us, Timer::Repeat(text, left - 1));
        }
    }

    /// Ends a connection whose answer has not come in time.
    pub(super) fn unanswered(&mut self, now: Micros, key: Key) {
        if self.connections.get(key).is_some_and(|c| matches!(c.kind, Kind::Consul(_) | Kind::Post(_))) {
            self.close(now, key);
        }
    }
}
