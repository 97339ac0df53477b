//! Promises to neighbours and operators: what they tell is in force at once, and its answer waits until it is on this
//! proxy's disk and on those of enough further machines (`linnetknot_replication`). What can't be had in time is answered no.

use super::recovery::SnapshotWait;
use super::{Connection, Daemon, Kind, Timer};
use crate::front::cdni::{Effect, Response, TriggerId};
use crate::ledger::{self, AppendError};
use crate::net::{Due, Key};
use linnetknot::Micros;
use linnetknot_discovery::server_id;
use linnetknot_ops::{Effect as Done, Reply};
use linnetknot_replication::{CommitId, Entry, Index, Recovery, Subject};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// An answer to a neighbour: its connection, itself, and the trigger that was made, if one was.
type Neighbours = (Key, Response, Option<TriggerId>);

/// An answer that waits.
enum Answer {
    Neighbour(Neighbours),
    /// An operator's, with what the call decided, if it changed anything.
    Operator(Key, Reply, Option<Decided>),
}

/// What an operator's call decided, as an entry of the log has it.
pub(super) struct Decided {
    what: Subject,
    lifted: bool,
    /// What was last promised of it, to which it goes back where this can't be.
    before: bool,
}

impl Decided {
    pub(super) fn of(effect: &Done) -> Self {
        let (what, lifted) = match effect {
            Done::Ban(id) => (Subject::Ban(id.clone()), false),
            Done::Unban(id) => (Subject::Ban(id.clone()), true),
            Done::Drain => (Subject::Drain, false),
            Done::Resume => (Subject::Drain, true),
        };
        // A call that changes something finds the contrary.
        Decided {
            what,
            lifted,
            before: !lifted,
        }
    }
}

/// The answers that wait.
#[derive(Default)]
pub(super) struct Promised {
    /// By their promises, oldest first.
    answers: BTreeMap<CommitId, Answer>,
    /// Of a proxy that began without its disk.
    pub(super) recovery: Option<Recovery>,
    /// When that is looked at again.
    pub(super) recovers: Option<Due>,
    /// Of a proxy that is behind what its peers have compacted.
    pub(super) snapshot: Option<SnapshotWait>,
    /// Peers that were offered a snapshot and did not answer.
    without_snapshot: usize,
    /// When the logs are looked at again.
    due: Option<Due>,
    /// Entries that were last found to be on fewer machines than they are to be.
    short: usize,
}

/// RejectReason a process promises nothing whose name another has taken.
const REPLACED: &str = "another process of this name has begun after this one";

/// Never: only a fault that rehearsals plant has a yes go out before the copy.
fn gives_credit() -> bool {
    fail::fail_point!("plant-credit", |_| true);
    false
}

impl Promised {
    /// How many wait.
    pub(super) fn waiting(&self) -> usize {
        self.answers.len()
    }

    /// What the operators' calls that still wait decided of something, oldest first.
    fn decided<'a>(&'a mut self, what: &'a Subject) -> impl Iterator<Item = &'a mut Decided> {
        let decided = |answer: &'a mut Answer| match answer {
            Answer::Operator(_, _, Some(decided)) if decided.what == *what => Some(decided),
            _ => None,
        };
        self.answers.values_mut().filter_map(decided)
    }

    /// Whether the proxy has all that it ever promised and what its peers have compacted, as far as it waits for that.
    pub(super) fn has_recovered(&self) -> bool {
        self.recovery.as_ref().is_none_or(Recovery::is_over)
            && self.snapshot.as_ref().is_none_or(SnapshotWait::has_ended)
    }
}

impl Daemon {
    /// A command's purges are put in force and on their way, and its answer given once they are kept.
    pub(super) fn promise(&mut self, now: Micros, answer: Neighbours, effects: Vec<Effect>) {
        let answer = Answer::Neighbour(answer);
        if self.lacks_store() {
            return self.answer_promise(now, answer, Err(AppendError::NoStore.to_string()));
        }
        if !self.may_promise() {
            // Its successor has the name, and those who hold its promises turn to that.
            return self.answer_promise(now, answer, Err(REPLACED.into()));
        }
        let mut place = Ok(None);
        for effect in effects {
            // Once one is not taken, those behind it make no whole promise any more.
            let told = match effect {
                Effect::Purge(object, group) => self.purge_told(now, object, group),
                Effect::Status(name, text) if place.is_ok() => self.say_status(now, name, &text),
                Effect::Status(..) => Ok(None),
                Effect::Gone(name) => self.say_gone(now, name),
                Effect::Post(post) => {
                    self.send_out(now, post);
                    Ok(None)
                }
            };
            place = place.and_then(|before| told.map(|told| told.or(before)));
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

    fn answer_once_kept(&mut self, now: Micros, place: Index, answer: Answer) {
        match self
            .ledger
            .as_mut()
            .map(|ledger| ledger.open_commit(now, place))
        {
            Some(Ok(promise)) => drop(self.promised.answers.insert(promise, answer)),
            Some(Err(why)) => self.answer_promise(now, answer, Err(why.to_string())),
            // No place is given where there is no log.
            None => self.answer_promise(now, answer, Ok(0)),
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
        mut decided: Option<Decided>,
    ) -> Option<Reply> {
        if let Some(d) = &mut decided {
            // While another call on the same waits, what it found is not promised; what that one found may be.
            if let Some(first) = self.promised.decided(&d.what).next() {
                d.before = first.before;
            }
        }
        if self.lacks_store() {
            return Some(reply);
        }
        let said = match (&decided, self.may_promise()) {
            (Some(_), false) => Err(REPLACED.to_owned()),
            (Some(d), true) => self.say_decided(now, &d.what, d.lifted),
            (None, _) => Ok(()),
        };
        let end = self
            .ledger
            .as_ref()
            .map_or(0, |l| l.replica().log_store().last_index(l.replica().own()));
        match said {
            Ok(()) if end == 0 => return Some(reply),
            Ok(()) => self.answer_once_kept(now, end, Answer::Operator(key, reply, decided)),
            Err(why) => self.answer_promise(now, Answer::Operator(key, reply, decided), Err(why)),
        }
        None
    }

    /// An entry of what the operators decided: on its way to the disk and to the peers.
    fn say_decided(&mut self, now: Micros, what: &Subject, lifted: bool) -> Result<(), String> {
        let Some(ledger) = &mut self.ledger else {
            return Ok(());
        };
        let entry = ledger
            .append(what.clone(), now, lifted)
            .map_err(|e| e.to_string())?;
        self.send_entry(entry);
        Ok(())
    }

    /// The status of a trigger as entries: the place of the last; none where there is no log.
    fn say_status(
        &mut self,
        now: Micros,
        name: TriggerId,
        text: &str,
    ) -> Result<Option<Index>, String> {
        let Some(ledger) = &mut self.ledger else {
            return Ok(None);
        };
        let entries = ledger
            .append_status(name.number, text, now)
            .map_err(|e| e.to_string())?;
        let place = entries.last().map(|entry| entry.index);
        entries.into_iter().for_each(|entry| self.send_entry(entry));
        Ok(place)
    }

    /// An entry of a trigger that is gone: its place; none where there is no log.
    fn say_gone(
        &mut self,
        now: Micros,
        TriggerId { writer, number }: TriggerId,
    ) -> Result<Option<Index>, String> {
        let Some(ledger) = &mut self.ledger else {
            return Ok(None);
        };
        let entry = ledger
            .append(Subject::Gone { writer, number }, now, false)
            .map_err(|e| e.to_string())?;
        let place = entry.index;
        self.send_entry(entry);
        Ok(Some(place))
    }

    /// The triggers that were told before this process began, here or elsewhere, and names for those to come.
    pub(super) fn begin_triggers(&mut self, now: Micros) {
        let (Some(ledger), Some((_, trigger_api))) = (&self.ledger, &mut self.trigger_api) else {
            return;
        };
        let first = TriggerId {
            writer: ledger.replica().own().writer,
            number: ledger.first_number(),
        };
        trigger_api.start_ids_at(first);
        for (writer, number, text) in ledger.statuses() {
            trigger_api.insert(now, TriggerId { writer, number }, &text);
        }
    }

    /// Entries of triggers have come from a peer.
    pub(super) fn hear_triggers(&mut self, now: Micros, entries: &[Entry]) {
        let (Some(ledger), Some((_, trigger_api))) = (&self.ledger, &mut self.trigger_api) else {
            return;
        };
        let named = |entry: &Entry| match entry.subject {
            Subject::Status { number, .. } => Some(TriggerId {
                writer: entry.log.writer,
                number,
            }),
            Subject::Gone { writer, number } => Some(TriggerId { writer, number }),
            _ => None,
        };
        let mut names: Vec<TriggerId> = entries.iter().filter_map(named).collect();
        names.dedup();
        for name in names {
            match ledger
                .replica()
                .log_store()
                .status(name.writer, name.number)
            {
                Some(text) => trigger_api.insert(now, name, &text),
                None => trigger_api.remove(name),
            }
        }
    }

    /// What its operators decided before this process began: by its own log, and where that says nothing of it by the
    /// files beside it, which the log is told then.
    pub(super) fn begin_decided(&mut self, now: Micros) {
        self.recall_decided(now);
        if self.lacks_store() {
            return;
        }
        let Some(known) = self.ledger.as_ref().map(ledger::Ledger::decided) else {
            return;
        };
        let bans = self.ops.bans().map(|id| Subject::Ban(id.to_owned()));
        let kept: Vec<Subject> = bans
            .chain((!self.ops.in_service()).then_some(Subject::Drain))
            .collect();
        for what in kept.into_iter().filter(|what| !known.contains_key(what)) {
            if let Err(e) = self.say_decided(now, &what, false) {
                log::error!("what the operators decided has no copy yet: {e}");
            }
        }
    }

    /// Puts in force what this proxy's log says that its operators decided: entries that came back, too.
    pub(super) fn recall_decided(&mut self, now: Micros) {
        let Some(decided) = self.ledger.as_ref().map(ledger::Ledger::decided) else {
            return;
        };
        let mut changed = false;
        for (what, lifted) in decided {
            changed |= self.recall(now, &what, lifted);
        }
        if changed {
            self.keep_ops_in_time(now);
        }
    }

    /// Puts a decision in force, or takes it back; true where that changes anything.
    fn recall(&mut self, now: Micros, what: &Subject, lifted: bool) -> bool {
        let effect = match what {
            Subject::Ban(id) => self.ops.recall_ban(id, !lifted),
            Subject::Drain => self.ops.recall_drain(now, !lifted),
            _ => None,
        };
        let changed = effect.is_some();
        if let Some(effect) = effect {
            log::warn!(lifted = lifted; "the operators' state is set by this proxy's log: {what:?}");
            self.take_effect(now, effect);
        }
        changed
    }

    /// A purge that a neighbour told here: in force from now on, told to the peers, and on its way to the disk. Gives its
    /// place in this proxy's log; none where there is no log.
    pub(super) fn purge_told(
        &mut self,
        now: Micros,
        object: Option<String>,
        group: u64,
    ) -> Result<Option<Index>, String> {
        let at = self.core.record_local_purge(now, object.as_deref(), group);
        let entry = self
            .ledger
            .as_mut()
            .map(|ledger| ledger.append_purge(object.as_deref(), group, at))
            .transpose();
        fail::fail_point!("peers-tell");
        if let Ok(Some(entry)) = &entry {
            self.send_entry(entry.clone());
        }
        self.send_plain_purge(now, object.as_deref(), group, at);
        fail::fail_point!("peers-told");
        entry
            .map(|entry| entry.map(|entry| entry.index))
            .map_err(|e| e.to_string())
    }

    /// The store's worker has word of what is on the disk.
    pub(super) fn hear_store(&mut self, now: Micros) {
        if let Some(word) = &mut self.store_word {
            word.clear();
        }
        self.take_opened_store(now);
        let told = self
            .ledger
            .as_mut()
            .map(|ledger| ledger.take_completions(now))
            .unwrap_or_default();
        if !told.is_empty() {
            fail::fail_point!("holder-says");
        }
        self.send_datagrams(told);
        self.settle_promises(now);
    }

    /// Gives the answers whose promises are kept, and refuses those that can't be in time.
    pub(super) fn settle_promises(&mut self, now: Micros) {
        let Some(ledger) = &mut self.ledger else {
            return;
        };
        for settled in ledger.resolve_commits(now) {
            if settled.result.is_ok() {
                fail::fail_point!("promise-kept");
            }
            if let Some(answer) = self.promised.answers.remove(&settled.commit) {
                self.answer_promise(now, answer, settled.result.map_err(|why| why.to_string()));
            }
        }
    }

    fn answer_promise(&mut self, now: Micros, answer: Answer, kept: Result<Micros, String>) {
        let key = match answer {
            Answer::Neighbour((key, mut response, trigger)) => {
                if let (Err(why), Some((_, trigger_api))) = (kept, &mut self.trigger_api) {
                    let name = trigger.map_or_else(String::new, |name| name.to_string());
                    response = trigger_api.retract(trigger);
                    // One that was replaced has said nothing of it, nor has one without its store.
                    let said = trigger.filter(|_| self.may_promise() && !self.lacks_store());
                    if self.lacks_store() {
                        self.count_rejected();
                    } else {
                        log::warn!(trigger = name.as_str(), why = why.as_str(); "a promise to a neighbour is refused");
                    }
                    if let Some(Err(e)) = said.map(|name| self.say_gone(now, name)) {
                        log::warn!(trigger = name.as_str(); "that it is refused is known here alone: {e}");
                    }
                }
                let connection = self.connections.get_mut(key);
                let Some(Connection {
                    kind: Kind::Cdni(session),
                    ..
                }) = connection
                else {
                    return;
                };
                session.respond(&response);
                key
            }
            Answer::Operator(key, mut reply, decided) => {
                if let (Some(d), Ok(_)) = (&decided, &kept) {
                    // Those that still wait go back to this, if they must.
                    self.promised
                        .decided(&d.what)
                        .for_each(|later| later.before = d.lifted);
                }
                if let Err(why) = kept {
                    log::warn!(call = reply.text.as_str(), why = why.as_str(); "a promise to an operator is refused");
                    self.take_back(now, decided);
                    reply = Reply::unavailable(format!("nothing has changed: {why}"));
                }
                self.answer_admin(key, &reply);
                key
            }
        };
        // Writing it, and reading what came behind the request, is left to the loop.
        self.deadlines.set(now, Timer::Serve(key));
    }

    /// An operator was told no: what the call decided is undone, here and in the log, where others may have it. Where a
    /// later call on the same waits, that one decides, and undoes this one too if it must.
    fn take_back(&mut self, now: Micros, decided: Option<Decided>) {
        let Some(Decided { what, before, .. }) = decided else {
            return;
        };
        if self.promised.decided(&what).next().is_some() || !self.recall(now, &what, before) {
            return;
        }
        self.undo_ops(now);
        if let Err(e) = self.say_decided(now, &what, before) {
            log::error!("a call that was refused stands in the log until the next one: {e}");
        }
    }

    /// Tells peers how far the logs are had here, asks them what they have, and again when that is due.
    pub(super) fn copy_purges(&mut self, now: Micros) {
        let Some(ledger) = &mut self.ledger else {
            return;
        };
        let told = ledger.tick(now);
        let (short, before) = (ledger.replica().under_replicated(), self.promised.short);
        self.promised.short = short;
        if self.config.copies.on && (short == 0) != (before == 0) {
            log::info!(short = short; "promises with fewer copies than wanted");
        }
        let without_snapshot = ledger.replica().peers_without_snapshot().len();
        let before = std::mem::replace(&mut self.promised.without_snapshot, without_snapshot);
        if without_snapshot > before {
            log::warn!(peers = without_snapshot; "peers of an earlier version are behind what was compacted here, and know no snapshots");
        }
        self.send_datagrams(told);
        self.watch_snapshot(now);
        self.settle_promises(now);
        self.plan_copies(now);
    }

    pub(super) fn plan_copies(&mut self, now: Micros) {
        let Some(ledger) = &self.ledger else { return };
        // Never at once again, whatever the logs say: the loop must come to its sockets.
        let due = ledger.due().max(now + 1_000);
        if self
            .promised
            .due
            .is_none_or(|planned| planned.at > due || planned.at <= now)
        {
            let old = self.promised.due.take();
            self.promised.due = self.instead(old, Some(due), |daemon, now| {
                daemon.promised.due = None;
                daemon.copy_purges(now);
            });
        }
    }

    /// Tells the logs on which machines the peers stand: as each of them says itself, and until it has as the operators'
    /// file here says.
    pub(super) fn know_machines(&mut self) {
        let copies = &self.config.copies;
        let members = self
            .membership
            .as_ref()
            .map_or(&[][..], |fleet| fleet.members());
        let machine = |(place, (_, said)): (usize, &(SocketAddr, String))| {
            let told = members
                .get(place)
                .and_then(|m| m.names.as_ref())
                .map(|names| &names.machine);
            server_id(told.filter(|machine| !machine.is_empty()).unwrap_or(said))
        };
        let machines = copies.machines.iter().enumerate().map(machine).collect();
        if let Some(ledger) = &mut self.ledger {
            ledger.peers(server_id(&copies.machine), machines);
        }
    }
}
