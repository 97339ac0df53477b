//! Promises to neighbours and operators: what they tell is in force at once, and its answer waits until it is on this
//! proxy's disk and on those of enough further machines (`linnetknot_copies`). What can't be had in time is answered no.
//! A proxy that began without its disk is not ready until it has what it promised back.

use super::{Connection, Daemon, Kind, Timer};
use crate::front::cdni::{Effect, Response};
use crate::ledger;
use crate::net::{Due, Key};
use crate::peers;
use linnetknot::Micros;
use linnetknot_copies::{Datagram, Recovery, Seq, What};
use linnetknot_membership::server_id;
use linnetknot_ops::{Effect as Done, Reply};
use std::collections::BTreeMap;

/// An answer to a neighbour: its connection, itself, and the trigger that it tells of.
type Neighbours = (Key, Response, u64);

/// An answer that waits.
enum Answer {
    Neighbour(Neighbours),
    /// An operator's, with what is to be taken back where it can't be given.
    Operator(Key, Reply, Option<Decided>),
}

/// What an operator's call decided, as an entry of the log has it.
pub(super) struct Decided {
    what: What,
    lifted: bool,
}

impl Decided {
    pub(super) fn of(effect: &Done) -> Self {
        let (what, lifted) = match effect {
            Done::Ban(id) => (What::Ban(id.clone()), false),
            Done::Unban(id) => (What::Ban(id.clone()), true),
            Done::Drain => (What::Drain, false),
            Done::Resume => (What::Drain, true),
        };
        Decided { what, lifted }
    }
}

/// The answers that wait.
#[derive(Default)]
pub(super) struct Promised {
    /// By their places in this proxy's log.
    answers: BTreeMap<Seq, Vec<Answer>>,
    /// Of a proxy that began without its disk.
    recovery: Option<Recovery>,
    /// When the logs are looked at again.
    due: Option<Due>,
    /// Entries that were last found to be on fewer machines than they are to be.
    short: usize,
}

/// Never: only a fault that rehearsals plant has a yes go out before the copy.
fn gives_credit() -> bool {
    fail::fail_point!("plant-credit", |_| true);
    false
}

impl Promised {
    /// How many wait.
    pub(super) fn waiting(&self) -> usize {
        self.answers.values().map(Vec::len).sum()
    }

    /// Whether the proxy has all that it ever promised.
    pub(super) fn has_recovered(&self) -> bool {
        self.recovery.as_ref().is_none_or(Recovery::is_over)
    }
}

impl Daemon {
    /// A command's purges are put in force and on their way, and its answer given once they are kept.
    pub(super) fn promise(&mut self, now: Micros, answer: Neighbours, effects: Vec<Effect>) {
        let answer = Answer::Neighbour(answer);
        if !self.may_promise() {
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
        if gives_credit() {
            return self.answer_promise(now, answer, Ok(0));
        }
        match place {
            // Nothing is kept here, and nothing was promised of it.
            Ok(None) => self.answer_promise(now, answer, Ok(0)),
            Ok(Some(place)) => self.answer_once_kept(now, place, answer),
            Err(why) => self.answer_promise(now, answer, Err(why)),
        }
    }

    fn answer_once_kept(&mut self, now: Micros, place: Seq, answer: Answer) {
        match self.ledger.as_mut().map_or(Ok(()), |ledger| ledger.promise(now, place)) {
            Ok(()) => self.promised.answers.entry(place).or_default().push(answer),
            Err(why) => self.answer_promise(now, answer, Err(why.to_string())),
        }
        self.settle_promises(now);
        self.plan_copies(now);
    }

    /// An operator's call is carried out: its answer is given once what it decided is kept, and with it all that was
    /// decided before. None: it waits. A call that changed nothing decided nothing.
    pub(super) fn promise_operator(
        &mut self,
        now: Micros,
        key: Key,
        reply: Reply,
        decided: Option<Decided>,
    ) -> Option<Reply> {
        let said = match (&decided, self.may_promise()) {
            (Some(_), false) => Err("another process of this name has begun after this one".to_owned()),
            (Some(d), true) => self.say_decided(now, d),
            (None, _) => Ok(()),
        };
        let end = self.ledger.as_ref().map_or(0, |l| l.copies().book().end(l.copies().own()));
        match said {
            Ok(()) if end == 0 => return Some(reply),
            Ok(()) => self.answer_once_kept(now, end, Answer::Operator(key, reply, decided)),
            Err(why) => self.answer_promise(now, Answer::Operator(key, reply, decided), Err(why)),
        }
        None
    }

    /// An entry of what the operators decided: on its way to the disk and to the peers.
    fn say_decided(&mut self, now: Micros, decided: &Decided) -> Result<(), String> {
        let Some(ledger) = &mut self.ledger else { return Ok(()) };
        let entry = ledger.say(decided.what.clone(), now, decided.lifted)?;
        self.tell_entry(entry);
        Ok(())
    }

    /// What its operators decided before this process began, or before it lost its disk: from its own log.
    pub(super) fn recall_decided(&mut self, now: Micros) {
        let decided = match &self.ledger {
            Some(ledger) if self.config.copies.on => ledger.decided(),
            _ => return,
        };
        let mut changed = false;
        for (what, lifted) in decided {
            changed |= self.recall(now, &what, lifted);
        }
        if changed && !self.keep_ops() {
            log::warn!("what the operators decided came back from the log and can't be kept beside it");
        }
    }

    /// Puts a decision in force, or takes it back; true where that changes anything.
    fn recall(&mut self, now: Micros, what: &What, lifted: bool) -> bool {
        let effect = match what {
            What::Ban(id) => self.ops.recall_ban(id, !lifted),
            What::Drain => self.ops.recall_drain(now, !lifted),
            _ => None,
        };
        let changed = effect.is_some();
        if let Some(effect) = effect {
            log::warn!(lifted = lifted; "the operators' state is set by this proxy's log: {what:?}");
            self.take_effect(now, effect);
        }
        changed
    }

    // ---- A proxy that began without its disk ----

    /// Waits for what it promised before, if it began without a disk.
    pub(super) fn begin_recovery(&mut self, now: Micros) {
        let copies = &self.config.copies;
        if copies.on && self.ledger.as_ref().is_some_and(ledger::Ledger::is_fresh) {
            let machines = copies.machines.iter().map(|(_, machine)| server_id(machine)).collect();
            let times = (now, now + self.limits.recovery_us, self.limits.recovery_ask_us);
            let recovery = Recovery::new(server_id(&copies.machine), machines, copies.wait, times);
            self.promised.recovery = Some(recovery);
            self.recover(now);
        }
    }

    fn recover(&mut self, now: Micros) {
        let Some(recovery) = &mut self.promised.recovery else { return };
        let (ask, missing) = recovery.tick(now);
        if let Some(machines) = missing {
            log::error!(machines = machines; "not all that this proxy promised may have come back, and it is ready all the same");
        }
        let due = recovery.due();
        self.send_words(ask.into_iter().map(|peer| (peer, Datagram::Ask)).collect());
        match due {
            Some(due) => drop(self.later(due.max(now + 1_000), |daemon, now| daemon.recover(now))),
            None => self.notify(now),
        }
    }

    /// A peer has the same logs as this proxy.
    pub(super) fn same_as(&mut self, now: Micros, peer: usize) {
        if self.promised.recovery.as_mut().is_some_and(|recovery| recovery.settled(peer)) {
            let entries = self.ledger.as_ref().map_or(0, |ledger| ledger.copies().book().len());
            log::info!(entries = entries; "what this proxy promised has come back");
            self.notify(now);
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
            // Several answers may wait for one place: what is true of one is of all.
            for answer in self.promised.answers.remove(&settled.place).unwrap_or_default() {
                if settled.kept.is_ok() {
                    fail::fail_point!("promise-kept");
                }
                self.answer_promise(now, answer, settled.kept.map_err(|why| why.to_string()));
            }
        }
    }

    fn answer_promise(&mut self, now: Micros, answer: Answer, kept: Result<Micros, String>) {
        let key = match answer {
            Answer::Neighbour((key, mut response, trigger)) => {
                if let (Err(why), Some((_, desk))) = (kept, &mut self.desk) {
                    log::warn!(trigger = trigger, why = why.as_str(); "a promise to a neighbour is refused");
                    response = desk.retract(trigger);
                }
                let connection = self.connections.get_mut(key);
                let Some(Connection { kind: Kind::Cdni(session), .. }) = connection else { return };
                session.respond(&response);
                key
            }
            Answer::Operator(key, mut reply, decided) => {
                if let Err(why) = kept {
                    log::warn!(call = reply.text.as_str(), why = why.as_str(); "a promise to an operator is refused");
                    self.take_back(now, decided);
                    reply = Reply::new(503, format!("nothing has changed: {why}"));
                }
                self.answer_door(key, &reply);
                key
            }
        };
        // Writing it, and reading what came behind the request, is left to the loop.
        self.deadlines.set(now, Timer::Serve(key));
    }

    /// An operator was told no: what the call decided is undone, here and in the log, where others may have it.
    fn take_back(&mut self, now: Micros, decided: Option<Decided>) {
        let Some(Decided { what, lifted }) = decided else { return };
        let back = Decided { what, lifted: !lifted };
        if self.recall(now, &back.what, back.lifted) {
            self.keep_ops();
        }
        if let Err(e) = self.say_decided(now, &back) {
            log::error!("a call that was refused stands in the log until the next one: {e}");
        }
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
