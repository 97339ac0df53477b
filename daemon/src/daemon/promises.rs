//! Promises to neighbours: a purge is in force at once, and its answer waits until what was told is on this proxy's disk
//! and on those of enough further machines (`linnetknot_copies`). What can't be had in time is answered no.

use super::{Connection, Daemon, Kind, Timer};
use crate::front::cdni::{Effect, Response};
use crate::ledger;
use crate::net::{Due, Key};
use crate::peers;
use linnetknot::Micros;
use linnetknot_copies::Seq;
use linnetknot_membership::server_id;
use std::collections::BTreeMap;

/// An answer that waits: its connection, itself, and the trigger that it tells of.
type Answer = (Key, Response, u64);

/// The answers that wait.
#[derive(Default)]
pub(super) struct Promised {
    /// By their places in this proxy's log.
    answers: BTreeMap<Seq, Answer>,
    /// When the logs are looked at again.
    due: Option<Due>,
    /// Entries that were last found to be on fewer machines than they are to be.
    short: usize,
}

impl Promised {
    /// How many wait.
    pub(super) fn waiting(&self) -> usize {
        self.answers.len()
    }
}

impl Daemon {
    /// A command's purges are put in force and on their way, and its answer given once they are kept.
    pub(super) fn promise(&mut self, now: Micros, answer: Answer, effects: Vec<Effect>) {
        if self.is_replaced() {
            // Its successor has the name, and those who hold its promises turn to that.
            let why = "another process of this name has begun after this one";
            return self.answer_promise(now, answer, Err(why.into()));
        }
        let mut place = Ok(None);
        for effect in effects {
            match effect {
                Effect::Purge(object, group) => {
                    let told = self.purge_told(now, object, group);
                    // Once one is not taken, those behind it make no whole promise any more.
                    place = place.and_then(|before| told.map(|told| told.or(before)));
                }
                effect => self.carry_out(now, effect),
            }
        }
        match place {
            // Nothing is kept here, and nothing was promised of it.
            Ok(None) => self.answer_promise(now, answer, Ok(0)),
            Ok(Some(place)) => {
                let opened = self.ledger.as_mut().map_or(Ok(()), |ledger| ledger.promise(now, place));
                match opened {
                    Ok(()) => drop(self.promised.answers.insert(place, answer)),
                    Err(why) => self.answer_promise(now, answer, Err(why.to_string())),
                }
                self.settle_promises(now);
                self.plan_copies(now);
            }
            Err(why) => self.answer_promise(now, answer, Err(why)),
        }
    }

    /// A purge that a neighbour told here: in force from now on, told to the peers, and on its way to the disk. Gives its
    /// place in this proxy's log; none where there is no log.
    pub(super) fn purge_told(
        &mut self,
        now: Micros,
        object: Option<String>,
        group: u64,
    ) -> Result<Option<Seq>, String> {
        if !self.core.purged_for_good(now, object.clone(), group, now) {
            return Err("there is no room for one more purge".into());
        }
        let text = peers::write(object.as_deref(), group, now);
        let entry = self.ledger.as_mut().map(|ledger| ledger.add(object.as_deref(), group, now)).transpose();
        fail::fail_point!("peers-tell");
        // The entry goes first: a peer that knows it does not write the datagram behind it into a log of its own, as it
        // must for peers of an earlier version.
        if let Ok(Some(entry)) = &entry {
            self.tell_entry(entry.clone());
        }
        if let Some(text) = text {
            self.tell_peers(now, text, 2);
        }
        fail::fail_point!("peers-told");
        entry.map(|entry| entry.map(|entry| entry.seq))
    }

    /// A purge that a peer told: in force, and known to the next process too.
    pub(super) fn purge_heard(&mut self, now: Micros, object: Option<String>, group: u64, at: Micros) {
        if self.core.purged_for_good(now, object.clone(), group, at) {
            let kept =
                self.ledger.as_mut().map_or(Ok(()), |ledger| ledger.tell(object.as_deref(), group, at));
            if let Err(e) = kept {
                log::error!("a purge that a peer told is in force but not kept for the next start: {e}");
            }
        }
    }

    /// The store's worker has word of what is on the disk.
    pub(super) fn hear_store(&mut self, now: Micros) {
        if let Some(word) = &mut self.store_word {
            word.clear();
        }
        let told = self.ledger.as_mut().map(ledger::Ledger::words).unwrap_or_default();
        if !told.is_empty() {
            fail::fail_point!("holder-says");
        }
        self.send_words(told);
        self.settle_promises(now);
    }

    /// Gives the answers whose promises are kept, and refuses those that can't be in time.
    pub(super) fn settle_promises(&mut self, now: Micros) {
        let Some(ledger) = &mut self.ledger else { return };
        for settled in ledger.settle(now) {
            if let Some(answer) = self.promised.answers.remove(&settled.place) {
                if settled.kept.is_ok() {
                    fail::fail_point!("promise-kept");
                }
                self.answer_promise(now, answer, settled.kept.map_err(|why| why.to_string()));
            }
        }
    }

    fn answer_promise(
        &mut self,
        now: Micros,
        (key, response, trigger): Answer,
        kept: Result<Micros, String>,
    ) {
        let response = match (kept, &mut self.desk) {
            (Err(why), Some((_, desk))) => {
                log::warn!(trigger = trigger, why = why.as_str(); "a promise to a neighbour is refused");
                desk.retract(trigger)
            }
            _ => response,
        };
        let Some(Connection { kind: Kind::Cdni(session), .. }) = self.connections.get_mut(key) else {
            return;
        };
        session.respond(&response);
        // Writing it, and reading what came behind the request, is left to the loop.
        self.deadlines.set(now, Timer::Serve(key));
    }

    /// Tells peers how far the logs are had here, asks them what they have, and again when that is due.
    pub(super) fn copy_purges(&mut self, now: Micros) {
        let Some(ledger) = &mut self.ledger else { return };
        let told = ledger.tick(now);
        let (short, before) = (ledger.copies().short(), self.promised.short);
        self.promised.short = short;
        if self.config.copies.on && (short == 0) != (before == 0) {
            log::info!(short = short; "promises with fewer copies than wanted");
        }
        self.send_words(told);
        self.settle_promises(now);
        self.plan_copies(now);
    }

    fn plan_copies(&mut self, now: Micros) {
        let Some(ledger) = &self.ledger else { return };
        // Never at once again, whatever the logs say: the loop must come to its sockets.
        let due = ledger.due().max(now + 1_000);
        if self.promised.due.is_none_or(|(at, _)| at > due || at <= now) {
            if let Some(old) = self.promised.due.take() {
                self.deadlines.take_back(old);
            }
            self.promised.due = Some(self.later(due, |daemon, now| {
                daemon.promised.due = None;
                daemon.copy_purges(now);
            }));
        }
    }

    /// Tells the logs on which machines the peers stand.
    pub(super) fn know_machines(&mut self) {
        if let Some(ledger) = &mut self.ledger {
            let copies = &self.config.copies;
            let machines = copies.machines.iter().map(|(_, machine)| server_id(machine));
            ledger.peers(server_id(&copies.machine), machines.collect());
        }
    }
}
