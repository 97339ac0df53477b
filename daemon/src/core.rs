//! Requests, attempts and outcomes. Drives the decision module and sees to it that every request gets exactly
//! one final answer. Knows no wire: fronts and upstreams translate.

use crate::limits::Limits;
use crate::net::{Key, Slots};
use crate::origin_clock::OriginClock;
use linnetknot::purges::PurgeTable;
use linnetknot::{
    Action, Event, Fill, ListMode, Load, Micros, Note, Outcome, Repeat, Request, Router, ServerId,
    Settings, SettingsError, State,
};
use linnetknot_purges::KeyHash;
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;

/// Log target under which each attempt, each final answer and each connection to a box is told, at the level debug.
pub(crate) const TRACE: &str = "linnetknot::trace";

/// A request in the table.
pub type Ticket = Key;

/// Where a request's answer goes: a connection of some front, and the front's own number for the request there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Client {
    /// The connection.
    pub connection: Key,
    /// The request's number on it.
    pub stream: u32,
}

/// A request as any front gives it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Asked {
    /// The client's id of it, passed on unchanged.
    pub id: String,
    /// Name of its class.
    pub class: String,
    /// The object.
    pub object: String,
    /// Part of the object.
    pub part: u64,
    /// Group of the object.
    pub group: u64,
    /// Size of the part in KB; 0: not told.
    pub size_kb: f64,
    /// How long the client still waits.
    pub remaining_us: Micros,
    /// The client's idempotency key.
    pub once: Option<String>,
    /// Tag of the copy that the client holds.
    pub have: Option<String>,
    /// What a write brings.
    pub body: Vec<u8>,
}

/// What a box gave for a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// The bytes of the part, and the tag of the copy.
    Object {
        /// The bytes.
        bytes: Vec<u8>,
        /// The tag, if it was told.
        tag: Option<String>,
    },
    /// The client's copy is the one that would be served.
    Unchanged,
}

/// A final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Served.
    Served(Content),
    /// Refused: trying again is harmless, best after this time.
    Refused {
        /// When to come back.
        wait_us: Option<Micros>,
    },
    /// Failed.
    Failed,
}

impl Answer {
    /// Its name in the log.
    pub fn name(&self) -> &'static str {
        match self {
            Answer::Served(_) => "served",
            Answer::Refused { .. } => "refused",
            Answer::Failed => "failed",
        }
    }
}

/// An attempt, by its request and its place among that request's attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// The request.
    pub ticket: Ticket,
    /// Which one, from 0.
    pub number: u32,
}

/// What an upstream needs to know to send an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sending {
    /// The box.
    pub server: ServerId,
    /// How a miss is filled; none: what the box holds only.
    pub fill: Option<Fill>,
    /// When it is given up at the latest.
    pub until: Micros,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Ended {
    /// Its outcome.
    pub outcome: Outcome,
    /// How the answer was made.
    pub note: Note,
    /// The fill's wait for its first byte.
    pub waited_us: Micros,
    /// The box's report of its load.
    pub load: Option<Load>,
    /// What an answer `Ok` brought.
    pub content: Option<Content>,
}

impl From<Outcome> for Ended {
    fn from(outcome: Outcome) -> Self {
        Ended {
            outcome,
            note: Note::None,
            waited_us: 0,
            load: None,
            content: None,
        }
    }
}

/// What the core wants to be woken for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wake {
    /// The client of a request gives up.
    Request(Ticket),
    /// The time of an attempt is over.
    Attempt(AttemptId),
    /// The module's timer with this tag.
    Router(u64),
}

/// What the core wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send an attempt; `sending` tells how.
    Send(AttemptId),
    /// Give an attempt up and report it ended once its box can no longer take it for one that is out.
    GiveUp(AttemptId, ServerId),
    /// Give a client its final answer.
    Answer(Client, Answer),
    /// Wake the core.
    Wake(Micros, Wake),
    /// Ask a box for its load.
    Probe(ServerId),
    /// A box drains or is gone: what is not written for it, or for a fill from it, must not be any more.
    Withdraw(ServerId),
    /// The origin is late: others should know that this share of the requests may have it asked here.
    Found(f64),
}

pub use linnetknot_discovery::{server_id, Entry};

struct Out {
    number: u32,
    sent: Micros,
    sending: Sending,
    /// Its first byte is written. Until then nobody can know of it, and it is recalled without a trace.
    begun: bool,
    /// Given up, and the outcome to report once that is done.
    given_up: Option<Outcome>,
}

struct Open {
    client: Client,
    asked: Asked,
    deadline: Micros,
    attempts: u32,
    out: Option<Out>,
    /// The final answer is given, or none is owed any more.
    answered: bool,
}

/// Counts for the operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests taken.
    pub taken: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Served.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Left by their clients.
    pub left: u64,
}

type Boxes = BTreeMap<ServerId, (String, SocketAddr, State)>;

fn purge_key(object: Option<&str>, group: u64) -> KeyHash {
    object.map_or(KeyHash::of_group(group), KeyHash::of_object)
}

fn uid(boxes: &Boxes, id: ServerId) -> &str {
    boxes.get(&id).map_or("-", |b| b.0.as_str())
}

/// The request table and the module.
pub struct Core {
    router: Router,
    origin_clock: OriginClock,
    /// No request is open for longer, whatever its client says.
    pub most_us: Micros,
    /// Nor beyond this time: the process ends.
    ends_by: Micros,
    requests: Slots<Open>,
    /// Ids of what is open: no two may be out under one.
    ids: HashSet<String>,
    /// Classes that carry a key.
    keyed: Vec<String>,
    boxes: Boxes,
    answer_ahead_us: Micros,
    /// Bytes of the bodies of all open requests.
    bodies: usize,
    most_bodies: usize,
    actions: Vec<Action>,
    commands: Vec<Command>,
    /// What was done so far.
    pub counts: Counts,
}

impl Core {
    /// A core without boxes.
    pub fn new(settings: Settings, seed: u64, limits: &Limits) -> Result<Self, SettingsError> {
        let keyed = settings
            .classes
            .iter()
            .filter(|c| c.repeat == Repeat::Keyed)
            .map(|c| c.name.clone());
        Ok(Core {
            ids: HashSet::new(),
            keyed: keyed.collect(),
            router: Router::new(settings, seed)?,
            origin_clock: OriginClock::default(),
            most_us: Micros::MAX,
            ends_by: Micros::MAX,
            requests: Slots::new(limits.requests),
            boxes: BTreeMap::new(),
            answer_ahead_us: limits.answer_ahead_us,
            bodies: 0,
            most_bodies: limits.bodies,
            actions: Vec::new(),
            commands: Vec::new(),
            counts: Counts::default(),
        })
    }

    /// New settings from a reload, checked whole: where they are not sound nothing changes. Requests under way
    /// keep the class they started with.
    pub fn retune(&mut self, settings: Settings) -> Result<(), SettingsError> {
        let keyed = settings
            .classes
            .iter()
            .filter(|c| c.repeat == Repeat::Keyed)
            .map(|c| c.name.clone());
        let keyed = keyed.collect();
        self.router.retune(settings)?;
        self.keyed = keyed;
        Ok(())
    }

    /// What is to be done, in order.
    pub fn commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    /// Whether any request is open.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty()
    }

    /// Whether there are boxes to send to.
    pub fn is_ready(&self) -> bool {
        self.boxes.values().any(|b| b.2 == State::Ready)
    }

    /// A request's text and how its attempt is to be sent, while that attempt is out.
    pub fn sending(&self, attempt: AttemptId) -> Option<(&Asked, &Sending)> {
        let open = self.requests.get(attempt.ticket)?;
        let out = open
            .out
            .as_ref()
            .filter(|out| out.number == attempt.number)?;
        Some((&open.asked, &out.sending))
    }

    /// The same where it may begin now, with the age of a copy as it is to be asked for by now: an attempt may have
    /// waited for its connection, and what has been told meanwhile binds it.
    pub fn beginning(&self, now: Micros, attempt: AttemptId) -> Option<(&Asked, Sending)> {
        let (asked, sending) = self.sending(attempt)?;
        let named = [Some(sending.server), sending.fill.map(|f| f.source)];
        let max_age_us = self.router.begins(now, attempt.ticket.to_u64())?;
        let fill = sending.fill.map(|fill| Fill { max_age_us, ..fill });
        let may = now < sending.until && named.into_iter().flatten().all(|id| self.takes_work(id));
        may.then_some((asked, Sending { fill, ..*sending }))
    }

    /// The first byte of an attempt is written.
    pub fn begun(&mut self, attempt: AttemptId) {
        let out = self
            .requests
            .get_mut(attempt.ticket)
            .and_then(|open| open.out.as_mut());
        out.into_iter()
            .filter(|out| out.number == attempt.number)
            .for_each(|out| out.begun = true);
    }

    /// Whether half of the table is taken.
    pub fn is_crowded(&self) -> bool {
        self.requests.is_half_full()
    }

    /// Whether a box takes new work, as far as the list tells.
    pub fn takes_work(&self, id: ServerId) -> bool {
        self.boxes.get(&id).is_some_and(|b| b.2 == State::Ready)
    }

    /// Id on the wire and address of a box.
    pub fn location(&self, id: ServerId) -> Option<(&str, SocketAddr)> {
        self.boxes
            .get(&id)
            .map(|(uid, endpoint, _)| (uid.as_str(), *endpoint))
    }

    /// Id on the wire of a box, for the log; `-` where it is gone.
    pub fn uid(&self, id: ServerId) -> &str {
        uid(&self.boxes, id)
    }

    /// The list of boxes, or changes to it.
    pub fn list(&mut self, now: Micros, mode: ListMode, entries: Vec<Entry>) {
        if mode == ListMode::Full {
            let named = |id: &ServerId| entries.iter().any(|e| e.server.id == *id);
            let missing: Vec<ServerId> =
                self.boxes.keys().filter(|id| !named(id)).copied().collect();
            missing
                .into_iter()
                .for_each(|id| self.set_state(id, State::Gone));
        }
        let mut servers = Vec::new();
        for e in entries {
            let id = e.server.id;
            let known = self
                .boxes
                .entry(id)
                .or_insert((e.uid, e.endpoint, State::Ready));
            known.1 = e.endpoint;
            self.set_state(id, e.server.state);
            servers.push(e.server);
        }
        // New boxes come under new ids all day long.
        self.boxes.retain(|_, known| known.2 != State::Gone);
        self.feed(now, Event::List { mode, servers });
    }

    fn set_state(&mut self, id: ServerId, state: State) {
        let Some(known) = self.boxes.get_mut(&id) else {
            return;
        };
        if std::mem::replace(&mut known.2, state) == State::Ready && state != State::Ready {
            self.commands.push(Command::Withdraw(id));
        }
    }

    /// A purge of an object, or with none of a whole group, by a date that was told with it. It holds for good.
    pub fn purged(&mut self, now: Micros, object: Option<String>, group: u64, at: Micros) {
        let key = purge_key(object.as_deref(), group);
        let date = self.origin_clock.bound(now, key, at);
        self.router.purges_mut().record(key, date);
    }

    /// A purge that was told here, as of now. Gives the date that peers are to be told.
    pub fn purged_now(&mut self, now: Micros, object: Option<&str>, group: u64) -> Micros {
        let key = purge_key(object, group);
        let date = self.origin_clock.date_own(now, key);
        self.router.purges_mut().record(key, date);
        self.origin_clock.date_for_peers(now)
    }

    /// The origin or the event bus was heard just now, with a date of theirs.
    pub fn heard_date(&mut self, now: Micros, date: Micros) {
        for (key, date) in self.origin_clock.heard(now, date) {
            self.router.purges_mut().record(key, date);
        }
        self.router.set_origin_offset(self.origin_clock.offset_us());
    }

    /// The date by which all copies from before now are told from later ones.
    pub fn date_of_all(&self, now: Micros) -> Micros {
        self.origin_clock.date_for_peers(now)
    }

    /// A time of the origin's clock by the own clock, as far as is known: never before it.
    pub fn own_time(&self, date: Micros) -> Micros {
        self.origin_clock.to_own(date)
    }

    /// What the origin's clock has reached at a time of the own clock, as far as is known.
    pub fn origin_time(&self, now: Micros) -> Micros {
        self.origin_clock.now(now)
    }

    /// The purges that are in force.
    pub fn purges(&self) -> &PurgeTable {
        self.router.purges()
    }

    /// The purges that are in force, to take in what another proxy or an earlier process knows.
    pub fn purges_mut(&mut self) -> &mut PurgeTable {
        self.router.purges_mut()
    }

    /// Takes a request. None where the front has to refuse it: the table is full, it has the id of one that is open,
    /// by which a box would take the two for one, or its class carries a key and it has none.
    pub fn ask(&mut self, now: Micros, client: Client, mut asked: Asked) -> Option<Ticket> {
        let body = asked.body.len();
        let keyless = asked.once.is_none() && self.keyed.contains(&asked.class);
        if self.bodies + body > self.most_bodies || keyless || self.ids.contains(&asked.id) {
            return None;
        }
        let remaining_us = asked
            .remaining_us
            .min(self.most_us)
            .min(self.ends_by.saturating_sub(now))
            .saturating_sub(self.answer_ahead_us);
        let request = Request {
            id: 0,
            class: asked.class.clone(),
            tenant: None,
            object: asked.object.clone(),
            part: asked.part,
            group: asked.group,
            size_kb: asked.size_kb,
            remaining_us,
            repeated: false,
        };
        asked.remaining_us = remaining_us;
        let deadline = now + remaining_us;
        let open = Open {
            client,
            asked,
            deadline,
            attempts: 0,
            out: None,
            answered: false,
        };
        let id = open.asked.id.clone();
        let ticket = self.requests.insert(open).ok()?;
        self.ids.insert(id);
        self.counts.taken += 1;
        self.bodies += body;
        self.commands
            .push(Command::Wake(deadline, Wake::Request(ticket)));
        self.feed(
            now,
            Event::Request(Request {
                id: ticket.to_u64(),
                ..request
            }),
        );
        Some(ticket)
    }

    /// The process may be killed a little after this time: all that is open, and all that is taken from now on, is
    /// answered by then.
    pub fn end_by(&mut self, at: Micros) {
        self.ends_by = at;
        for ticket in self.requests.keys() {
            let Some(open) = self.requests.get_mut(ticket) else {
                continue;
            };
            if open.deadline > at {
                open.deadline = at;
                self.commands.push(Command::Wake(at, Wake::Request(ticket)));
            }
        }
    }

    /// The client no longer waits: no answer is owed.
    pub fn leave(&mut self, now: Micros, ticket: Ticket) {
        let Some(open) = self.requests.get_mut(ticket).filter(|open| !open.answered) else {
            return;
        };
        open.answered = true;
        self.counts.left += 1;
        let unsent = open
            .out
            .as_ref()
            .filter(|out| !out.begun)
            .map(|out| out.number);
        if let Some(number) = unsent {
            // Whether or not attempts may be cancelled: this one can still be kept from being made.
            self.give_up(now, AttemptId { ticket, number }, Outcome::Moot);
        }
        self.feed(
            now,
            Event::Left {
                request: ticket.to_u64(),
            },
        );
        self.tidy(ticket);
    }

    /// An attempt ended. One that is not out any more is passed over: late answers change nothing.
    pub fn ended(&mut self, now: Micros, attempt: AttemptId, ended: Ended) {
        let Some(open) = self.requests.get_mut(attempt.ticket) else {
            return;
        };
        let Some(out) = open.out.take_if(|out| out.number == attempt.number) else {
            return;
        };
        let Ended {
            outcome,
            note,
            waited_us,
            load,
            content,
        } = ended;
        // What was in transit when it was given up is how it ended, all the same.
        let outcome = if outcome == Outcome::Cancelled {
            out.given_up.unwrap_or(outcome)
        } else {
            outcome
        };
        log::debug!(
            target: TRACE,
            request = open.asked.id.as_str(),
            number = attempt.number,
            "box" = uid(&self.boxes, out.sending.server),
            source = out.sending.fill.map_or("-", |f| uid(&self.boxes, f.source)),
            outcome:? = outcome,
            note:? = note,
            waited_us = waited_us,
            took_us = now.saturating_sub(out.sent);
            "an attempt has ended"
        );
        if let Some(content) = content.filter(|_| outcome == Outcome::Ok && !open.answered) {
            self.finish(now, attempt.ticket, Answer::Served(content));
        }
        let settled = self
            .requests
            .get(attempt.ticket)
            .is_none_or(|open| open.answered);
        let event = Event::Outcome {
            request: attempt.ticket.to_u64(),
            attempt: attempt.number,
            server: out.sending.server,
            outcome,
            took_us: now.saturating_sub(out.sent),
            settled,
            note,
            waited_us,
            load,
        };
        self.feed(now, event);
        self.commands
            .extend(self.router.found().map(Command::Found));
        self.tidy(attempt.ticket);
    }

    /// Other proxies find the origin late.
    pub fn heard(&mut self, now: Micros, origin_share: f64, until: Micros) {
        self.feed(
            now,
            Event::Heard {
                origin_share,
                for_us: until.saturating_sub(now),
            },
        );
    }

    /// What this proxy may spend of what all spend together.
    pub fn receive_lease(&mut self, now: Micros, lease: linnetknot::Lease) {
        self.feed(now, Event::Lease(lease));
    }

    /// Requests of this proxy that the origin holds, or may hold.
    pub fn asking(&self) -> usize {
        self.router.asking()
    }

    /// The greatest share of what a cold cache, or parent, bears that this proxy sent to it of late; none: none is cold.
    pub fn cold_use(&self, now: Micros, parents: bool) -> Option<f64> {
        self.router.cold_use(now, parents)
    }

    /// A probe ended.
    pub fn probed(
        &mut self,
        now: Micros,
        server: ServerId,
        outcome: Outcome,
        took_us: Micros,
        load: Option<Load>,
    ) {
        self.feed(
            now,
            Event::Probed {
                server,
                outcome,
                took_us,
                load,
            },
        );
    }

    /// A wake-up has come due.
    pub fn wake(&mut self, now: Micros, wake: Wake) {
        match wake {
            Wake::Router(tag) => self.feed(now, Event::Timer { tag }),
            Wake::Attempt(attempt) => self.give_up(now, attempt, Outcome::Timeout),
            Wake::Request(ticket) => self.expire(now, ticket),
        }
    }

    /// The client gives up: what is out has timed out, and the module has the last word, which can't be a
    /// further attempt.
    fn expire(&mut self, now: Micros, ticket: Ticket) {
        let Some(open) = self.requests.get(ticket).filter(|open| !open.answered) else {
            return;
        };
        if let Some(out) = &open.out {
            let attempt = AttemptId {
                ticket,
                number: out.number,
            };
            if out.given_up.is_none() {
                self.commands
                    .push(Command::GiveUp(attempt, out.sending.server));
            }
            let outcome = if out.begun {
                Outcome::Timeout
            } else {
                Outcome::Moot
            };
            self.ended(now, attempt, outcome.into());
        }
        if self.requests.get(ticket).is_some_and(|open| !open.answered) {
            // Guards the promise of one answer against a module that holds a request past its end.
            log::warn!("a request was still unanswered at its deadline");
            self.finish(now, ticket, Answer::Failed);
            self.feed(
                now,
                Event::Left {
                    request: ticket.to_u64(),
                },
            );
            self.tidy(ticket);
        }
    }

    /// Gives an attempt up. One that has not begun is over at once, and never ran.
    fn give_up(&mut self, now: Micros, attempt: AttemptId, outcome: Outcome) {
        let Some(open) = self.requests.get_mut(attempt.ticket) else {
            return;
        };
        let Some(out) = open.out.as_mut().filter(|out| out.number == attempt.number) else {
            return;
        };
        if out.given_up.is_none() {
            out.given_up = Some(outcome);
            self.commands
                .push(Command::GiveUp(attempt, out.sending.server));
            if !out.begun {
                self.ended(now, attempt, Outcome::Moot.into());
            }
        }
    }

    /// The one place where answers are given: a request that has its answer gets no second one.
    fn finish(&mut self, now: Micros, ticket: Ticket, answer: Answer) {
        let Some(open) = self.requests.get_mut(ticket).filter(|open| !open.answered) else {
            return;
        };
        open.answered = true;
        log::debug!(
            target: TRACE,
            request = open.asked.id.as_str(),
            class = open.asked.class.as_str(),
            kb = open.asked.size_kb,
            attempts = open.attempts,
            left_us = open.deadline.saturating_sub(now),
            of_us = open.asked.remaining_us,
            answer = answer.name();
            "a request is answered"
        );
        match answer {
            Answer::Served(_) => self.counts.served += 1,
            Answer::Refused { .. } => self.counts.refused += 1,
            Answer::Failed => self.counts.failed += 1,
        }
        self.commands.push(Command::Answer(open.client, answer));
    }

    /// Frees the slot of a request that is answered and has nothing out.
    fn tidy(&mut self, ticket: Ticket) {
        if self
            .requests
            .get(ticket)
            .is_some_and(|open| open.answered && open.out.is_none())
        {
            if let Some(open) = self.requests.remove(ticket) {
                self.ids.remove(&open.asked.id);
                self.bodies -= open.asked.body.len();
            }
        }
    }

    fn feed(&mut self, now: Micros, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.router.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.act(now, action);
        }
        self.actions = actions;
    }

    fn act(&mut self, now: Micros, action: Action) {
        match action {
            Action::Attempt {
                request,
                server,
                timeout_us,
                fill,
            } => {
                let ticket = Key::from_u64(request);
                let Some(open) = self
                    .requests
                    .get_mut(ticket)
                    .filter(|o| !o.answered && o.out.is_none())
                else {
                    // Two attempts of one request must never be out at once.
                    log::error!("the module sent an attempt for a request that can't have one");
                    return;
                };
                let until = timeout_us.map_or(open.deadline, |t| (now + t).min(open.deadline));
                let number = open.attempts;
                open.attempts += 1;
                let sending = Sending {
                    server,
                    fill,
                    until,
                };
                open.out = Some(Out {
                    number,
                    sent: now,
                    sending,
                    begun: false,
                    given_up: None,
                });
                let attempt = AttemptId { ticket, number };
                self.counts.attempts += 1;
                self.commands.push(Command::Send(attempt));
                if until < open.deadline {
                    self.commands
                        .push(Command::Wake(until, Wake::Attempt(attempt)));
                }
            }
            Action::Cancel { request, attempt } => {
                let attempt = AttemptId {
                    ticket: Key::from_u64(request),
                    number: attempt,
                };
                self.give_up(now, attempt, Outcome::Cancelled);
            }
            Action::Refuse {
                request,
                retry_after_us,
            } => {
                self.finish(
                    now,
                    Key::from_u64(request),
                    Answer::Refused {
                        wait_us: retry_after_us,
                    },
                );
                self.tidy(Key::from_u64(request));
            }
            Action::Fail { request } => {
                self.finish(now, Key::from_u64(request), Answer::Failed);
                self.tidy(Key::from_u64(request));
            }
            Action::Timer { at, tag } => self.commands.push(Command::Wake(at, Wake::Router(tag))),
            Action::Probe { server } => self.commands.push(Command::Probe(server)),
            // The list is pushed by whatever source the configuration names.
            Action::Watch => {}
            Action::Report { line } => log::info!("{line}"),
        }
    }
}
