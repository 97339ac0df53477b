//! Following one service: which query is next, where and when, and what an answer is worth.
//!
//! The rules of Consul's page 'Blocking Queries' are kept: an index that goes back starts anew, one that is 0 counts
//! as 1, and answers that come too fast are paced. What its pages leave to the client is decided here:
//!
//! - A box that an answer names no more gets no fresh work at once; it is gone once the catalogue does not name it
//!   either.
//! - An answer that leaves out more than a stated share of what ran is not believed at once: what it says of those
//!   that it names counts, what it leaves out is held until the catalogue, read by way of the leader and from another
//!   agent where there is one, leaves them out too.
//! - A call that fails changes nothing: the last list holds, and the next agent is asked.

use crate::answer::{instance, registered, Bad, Elements, Skipped};
use crate::backoff::Backoff;
use crate::http::{segment, target, Call, Failure, Response};
use crate::mapping::Mapping;
use linnetknot::{Micros, State};
use linnetknot_discovery::{Entry, Evidence, Reason, Report};
use std::collections::hash_map::{DefaultHasher, HashMap};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::sync::Arc;

/// Consul's consistency modes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Consistency {
    /// By the leader, which may be an old one for a moment.
    #[default]
    Default,
    /// By the leader, which makes sure that it is one.
    Consistent,
    /// By any server, however far behind; bounded by `Options::most_stale_us`.
    Stale,
}

/// What is watched, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Name of the service.
    pub service: String,
    /// Data centre; none: the agent's own.
    pub datacenter: Option<String>,
    /// Namespace; none: the token's own.
    pub namespace: Option<String>,
    /// Tags that an instance must all have.
    pub tags: Vec<String>,
    /// Filter expression of the health API.
    pub filter: Option<String>,
    /// Consistency of the queries.
    pub consistency: Consistency,
    /// A stale answer from a server that has not heard its leader for longer is not used.
    pub most_stale_us: Micros,
    /// How long a query waits for a change.
    pub wait_us: Micros,
    /// How long a query that does not wait may take.
    pub answer_us: Micros,
    /// Agents to choose from; they are asked by their place.
    pub agents: usize,
    /// An answer that names a smaller share of what ran is confirmed before it counts.
    pub least_share: f64,
    /// First wait after a failure.
    pub again_us: Micros,
    /// Longest wait after failures.
    pub most_again_us: Micros,
    /// After a failover, the first agent is tried again about so often.
    pub home_us: Micros,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            service: "pop-cache".into(),
            datacenter: None,
            namespace: None,
            tags: Vec::new(),
            filter: None,
            consistency: Consistency::Default,
            most_stale_us: 1_000_000,
            wait_us: 10_000_000,
            answer_us: 2_000_000,
            agents: 1,
            least_share: 0.5,
            again_us: 100_000,
            most_again_us: 3_000_000,
            home_us: 60_000_000,
        }
    }
}

/// What an answer or a failure comes to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Told {
    /// What it tells of the boxes.
    pub evidence: Option<Evidence>,
    /// What the operators should know; each is given once, when it begins.
    pub notes: Vec<Note>,
    /// Consul has confirmed the list as it stands, changed or not.
    pub confirmed: bool,
}

/// Something that the operators should know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    /// An agent failed a query.
    Failed {
        /// Which.
        agent: usize,
        /// How.
        why: String,
    },
    /// Answers come again after so many failures in a row.
    Back {
        /// From which agent.
        agent: usize,
        /// Failures.
        failures: u32,
    },
    /// The token is missing, wrong or has too few rights.
    Denied {
        /// Which agent says so.
        agent: usize,
        /// In what words.
        says: String,
    },
    /// An instance can't be used.
    Skipped(Skipped),
    /// More than half of an answer's instances can't be used: rather the mapping is wrong than each of them.
    MostlyUnusable {
        /// How many can't be used.
        unusable: usize,
        /// Of how many.
        of: usize,
        /// One of them, and the key at fault there.
        first: Skipped,
    },
    /// An id is registered twice, and one of the two is passed over.
    SameId {
        /// The id.
        uid: String,
        /// Who keeps it.
        kept: SocketAddr,
        /// Who does not get it.
        refused: SocketAddr,
    },
    /// An answer leaves out so many that it has to be confirmed.
    Held {
        /// How many of those that ran it names.
        named: usize,
        /// How many ran.
        ran: usize,
    },
    /// What was held is true.
    Confirmed,
    /// What was held is not true: the catalogue names so many.
    Contradicted {
        /// How many of those that ran the catalogue names.
        registered: usize,
    },
    /// A server has not heard its leader for so long that its answer is not used.
    Stale(Micros),
    /// The index went back or was 0: the list is read anew.
    IndexReset {
        /// The index before.
        from: u64,
        /// The index of the answer.
        to: u64,
    },
}

impl fmt::Display for Note {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Failed { agent, why } => write!(f, "agent {agent} {why}; the last list holds"),
            Self::Back { agent, failures } => {
                write!(f, "agent {agent} answers again, after {failures} failures in a row")
            }
            Self::Denied { agent, says } => write!(f, "agent {agent} denies the query: {says}"),
            Self::Skipped(s) => write!(f, "{s}"),
            Self::MostlyUnusable { unusable, of, first } => write!(
                f,
                "{unusable} of {of} instances can't be used, as with '{}': {}: {}; see 'consul' in the configuration",
                first.uid.escape_default(),
                first.key,
                first.why
            ),
            Self::SameId { uid, kept, refused } => write!(
                f,
                "id '{uid}' is registered at {kept} and {refused}: the latter is passed over (see 'identity')"
            ),
            Self::Held { named, ran } => {
                write!(f, "an answer names {named} of {ran} boxes that ran: held until it is confirmed")
            }
            Self::Confirmed => write!(f, "what was held is confirmed by the catalogue"),
            Self::Contradicted { registered } => {
                write!(f, "what was held is not true: the catalogue names {registered} of those boxes")
            }
            Self::Stale(us) => {
                write!(f, "a server has not heard its leader for {} ms: its answer is not used", us / 1000)
            }
            Self::IndexReset { from, to } => {
                write!(f, "the index went from {from} to {to}: the list is read anew")
            }
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asks {
    Health,
    /// What is registered at all: for those that the last answer left out.
    Catalogue,
}

/// Answers that contradict the catalogue so many times in a row are believed: the catalogue is the one that errs.
const CONTRADICTIONS: u32 = 3;
/// Pace of answers that follow each other at once: the least gap, doubled with each that brings nothing new.
const GAP_US: Micros = 10_000;
const MOST_GAP_US: Micros = 500_000;
/// Reading an answer takes time from requests: so many bytes of it a microsecond at most, on average.
const BYTES_PER_US: u64 = 40;
/// The longest wait that an agent may ask for.
const MOST_RETRY_AFTER_US: Micros = 60_000_000;
/// After an answer that was too stale, the leader is asked for so long.
const FRESH_US: Micros = 30_000_000;

/// A service that is followed.
#[derive(Clone, Debug)]
pub struct Watch {
    o: Options,
    mapping: Mapping,
    agent: usize,
    home_at: Micros,
    index: u64,
    asks: Asks,
    /// When the call that is out was made.
    out: Option<Micros>,
    next_at: Micros,
    /// What was told last, without those that are gone.
    last: BTreeMap<String, Arc<Report>>,
    spoke: bool,
    /// Boxes of `last` that the last answer left out.
    missing: BTreeSet<String>,
    /// An answer leaves out too many to be believed at once: how many it names of those that ran, and those.
    held: Option<(usize, usize)>,
    contradictions: u32,
    unchanged: u32,
    backoff: Backoff,
    failed: Option<String>,
    skipped: BTreeSet<(String, String)>,
    /// More than half of the instances of the last answer could not be used.
    mostly_unusable: bool,
    doubles: BTreeSet<String>,
    fresh_until: Micros,
    reading: Reading,
    /// What the elements of the last answer came to, by the hash of their text: most are the same in the next one.
    read: HashMap<u64, Arc<Report>>,
}

/// An answer that has come in part.
#[derive(Clone, Debug, Default)]
struct Reading {
    elements: Elements,
    bytes: u64,
    failed: Option<String>,
    read: HashMap<u64, Arc<Report>>,
    named: BTreeMap<String, Arc<Report>>,
    /// Of an id that is there twice: who keeps it, and who does not.
    doubles: BTreeMap<String, (SocketAddr, SocketAddr)>,
    skipped: BTreeMap<String, Skipped>,
    /// Instances that can't be used, those that have no id with them.
    unusable: usize,
    registered: BTreeSet<String>,
}

impl Watch {
    /// A watch that has been told nothing.
    pub fn new(options: Options, mapping: Mapping, seed: u64) -> Self {
        Watch {
            backoff: Backoff::new(options.again_us, options.most_again_us, seed),
            o: options,
            mapping,
            agent: 0,
            home_at: 0,
            index: 0,
            asks: Asks::Health,
            out: None,
            next_at: 0,
            last: BTreeMap::new(),
            spoke: false,
            missing: BTreeSet::new(),
            held: None,
            contradictions: 0,
            unchanged: 0,
            failed: None,
            skipped: BTreeSet::new(),
            mostly_unusable: false,
            doubles: BTreeSet::new(),
            fresh_until: 0,
            reading: Reading::default(),
            read: HashMap::new(),
        }
    }

    /// Begins from a list that was kept: it counts as told, so that an empty first answer can't wipe it out.
    pub fn remember(&mut self, entries: &[Entry]) -> Evidence {
        let kept = entries.iter().map(|e| Report { entry: e.clone(), reason: Reason::Kept });
        self.last = kept.map(|r| (r.entry.uid.clone(), Arc::new(r))).collect();
        self.spoke = true;
        self.whole()
    }

    /// Other options and another mapping: the list that was told stays until an answer changes it. The end of a call
    /// that is out is not to be handed back any more.
    pub fn change(&mut self, options: Options, mapping: Mapping) {
        if self.o.agents != options.agents {
            self.agent = 0;
        }
        (self.o, self.mapping) = (options, mapping);
        (self.index, self.asks, self.next_at) = (0, Asks::Health, 0);
        (self.held, self.out) = (None, None);
        self.read.clear();
    }

    /// When the next call is due; none while one is out.
    pub fn due(&self) -> Option<Micros> {
        self.out.is_none().then_some(self.next_at)
    }

    /// The next call, if it is due. Its end must be handed back by `answered` or `failed`.
    pub fn ask(&mut self, now: Micros) -> Option<Call> {
        if self.out.is_some() || now < self.next_at {
            return None;
        }
        self.out = Some(now);
        self.reading = Reading::default();
        if self.agent != 0 && self.held.is_none() && now >= self.home_at {
            self.agent = 0;
            self.home_at = now + self.backoff.spread(self.o.home_us);
        }
        let (index, wait) = (self.index.to_string(), format!("{}ms", self.o.wait_us / 1000));
        let mut query: Vec<(&str, &str)> = Vec::new();
        let health = self.asks == Asks::Health;
        let waits = health && self.index > 0;
        if waits {
            query.extend([("index", index.as_str()), ("wait", wait.as_str())]);
        }
        let consistency = match (self.o.consistency, self.held.is_some()) {
            (_, true) => Consistency::Consistent,
            (Consistency::Stale, _) if now < self.fresh_until => Consistency::Default,
            (c, _) => c,
        };
        match consistency {
            Consistency::Default => {}
            Consistency::Consistent => query.push(("consistent", "")),
            Consistency::Stale => query.push(("stale", "")),
        }
        query.extend(self.o.datacenter.iter().map(|dc| ("dc", dc.as_str())));
        query.extend(self.o.namespace.iter().map(|ns| ("ns", ns.as_str())));
        query.extend(self.o.tags.iter().map(|tag| ("tag", tag.as_str())));
        if health {
            // The catalogue has other names for the same things: an expression of one can't be sent to the other.
            query.extend(self.o.filter.iter().map(|filter| ("filter", filter.as_str())));
        }
        let what = if health { "health" } else { "catalog" };
        let target = target(format!("/v1/{what}/service/{}", segment(&self.o.service)), &query);
        // An agent adds up to a sixteenth to the wait, to spread its clients.
        let wait = if waits { self.o.wait_us + self.o.wait_us / 16 } else { 0 };
        let timeout_us = self.o.answer_us + wait;
        Some(Call { agent: self.agent, method: "GET", target, body: Vec::new(), timeout_us })
    }

    /// The call came to nothing.
    pub fn failed(&mut self, now: Micros, failure: Failure) -> Told {
        self.fail(now, failure.to_string(), 0)
    }

    fn fail(&mut self, now: Micros, why: String, least_wait: Micros) -> Told {
        let mut told = Told::default();
        self.out = None;
        // What was told stays; the next answer is read as a whole.
        (self.index, self.asks, self.held) = (0, Asks::Health, None);
        let line = format!("{}: {why}", self.agent);
        if self.failed.as_ref() != Some(&line) {
            told.notes.push(Note::Failed { agent: self.agent, why });
            self.failed = Some(line);
        }
        let first_round = (self.backoff.failures() as usize) < self.o.agents.saturating_sub(1);
        let wait = self.backoff.failed();
        if self.o.agents > 1 {
            self.agent = (self.agent + 1) % self.o.agents;
            self.home_at = now + self.backoff.spread(self.o.home_us);
        }
        // Another agent may well answer: it is asked at once, as long as not all have failed.
        let wait = if first_round { self.backoff.spread(GAP_US) } else { wait };
        self.next_at = now + wait.max(least_wait);
        told
    }

    /// A part of the body of an answer with status 200, while the call is out. What it says counts once the answer is
    /// whole.
    pub fn read(&mut self, bytes: &[u8]) {
        let r = &mut self.reading;
        r.bytes += bytes.len() as u64;
        if self.out.is_none() || r.failed.is_some() {
            return;
        }
        let (asks, mapping, last, known) = (self.asks, &self.mapping, &self.last, &self.read);
        let Reading { elements, read, named, doubles, skipped, unusable, registered: found, .. } = r;
        let result = elements.read(bytes, |raw| {
            if asks == Asks::Catalogue {
                let r = registered(raw)?;
                // Left out, it would count as gone: an answer that can't tell which box it names tells nothing.
                found.insert(mapping.uid(&r.node, &r.id).map_err(|(part, why)| format!("{part:?}: {why}"))?);
                return Ok(());
            }
            let mut hasher = DefaultHasher::new();
            hasher.write(raw);
            let hash = hasher.finish();
            let report = match known.get(&hash) {
                Some(report) => report.clone(),
                None => match instance(raw).and_then(|i| mapping.report(&i).map_err(Bad::Instance)) {
                    Ok(report) => Arc::new(report),
                    Err(Bad::Instance(s)) => {
                        *unusable += 1;
                        skipped.insert(s.uid.clone(), s);
                        return Ok(());
                    }
                    Err(Bad::Answer(why)) => return Err(why),
                },
            };
            read.insert(hash, report.clone());
            let uid = report.entry.uid.clone();
            let Some(first) = named.get_mut(&uid) else {
                named.insert(uid, report);
                return Ok(());
            };
            // Two boxes under one id: the one that had it keeps it, else the one that is ready, else the first.
            let had = last.get(&uid).map(|r| r.entry.endpoint);
            let rank = |r: &Report| (had != Some(r.entry.endpoint), r.entry.server.state != State::Ready);
            let mut other = report;
            if rank(&other) < rank(first) {
                std::mem::swap(first, &mut other);
            }
            if first.entry.endpoint != other.entry.endpoint {
                doubles.insert(uid, (first.entry.endpoint, other.entry.endpoint));
            }
            Ok(())
        });
        r.failed = result.err();
    }

    /// The call was answered. The body is what `read` was not given yet.
    pub fn answered(&mut self, now: Micros, response: &Response<'_>) -> Told {
        let Some(asked) = self.out else { return Told::default() };
        match response.status {
            200 => {}
            401 | 403 => {
                let (agent, says) = (self.agent, response.says());
                let first = self.failed.is_none();
                let mut told = self.fail(now, format!("denies the query ({})", response.status), 0);
                if first {
                    told.notes.push(Note::Denied { agent, says });
                }
                return told;
            }
            status => {
                let after = response.header("retry-after").and_then(|v| v.trim().parse::<u64>().ok());
                let after = after.map_or(0, |s| s.saturating_mul(1_000_000).min(MOST_RETRY_AFTER_US));
                let wait = if after > 0 { after + self.backoff.spread(self.o.again_us) } else { 0 };
                return self.fail(now, format!("answers {status} ({})", response.says()), wait);
            }
        }
        let stale = self.o.consistency == Consistency::Stale && now >= self.fresh_until;
        if !stale && response.header("x-consul-knownleader") == Some("false") {
            return self.fail(now, "has no leader".into(), 0);
        }
        let contact = response.header("x-consul-lastcontact").and_then(|v| v.trim().parse::<u64>().ok());
        let behind = contact.unwrap_or(0).saturating_mul(1000);
        if stale && behind > self.o.most_stale_us {
            self.out = None;
            self.fresh_until = now + FRESH_US;
            self.next_at = now + GAP_US;
            return Told { notes: vec![Note::Stale(behind)], ..Told::default() };
        }
        self.read(response.body);
        self.out = None;
        let reading = std::mem::take(&mut self.reading);
        if let Some(why) = reading.failed {
            return self.fail(now, format!("gives no list: {why}"), 0);
        }
        if !reading.elements.is_whole() {
            return self.fail(now, "gives no list: it is not whole".into(), 0);
        }
        let mut told = Told::default();
        if self.backoff.failures() > 0 {
            told.notes.push(Note::Back { agent: self.agent, failures: self.backoff.failures() });
        }
        self.backoff.succeeded();
        self.failed = None;
        let bytes = reading.bytes;
        let mut words = Vec::new();
        match self.asks {
            Asks::Health => self.health(response, reading, &mut words, &mut told),
            Asks::Catalogue => self.catalogue(&reading.registered, &mut words, &mut told),
        }
        let changed = !words.is_empty();
        if !std::mem::replace(&mut self.spoke, true) {
            told.evidence = Some(self.whole());
        } else if changed {
            told.evidence = Some(Evidence::Delta(words));
        }
        self.unchanged = if changed { 0 } else { self.unchanged.saturating_add(1) };
        let gap = (GAP_US << self.unchanged.saturating_sub(1).min(6)).min(MOST_GAP_US);
        let gap = gap.max(bytes / BYTES_PER_US);
        // Paced by when it was asked: an answer that was long in coming may be followed at once.
        self.next_at = if self.asks == Asks::Catalogue { now } else { now.max(asked + gap) };
        told
    }

    fn whole(&self) -> Evidence {
        Evidence::Full(self.last.values().map(|r| Report::clone(r)).collect())
    }

    fn health(
        &mut self,
        response: &Response<'_>,
        reading: Reading,
        words: &mut Vec<Report>,
        told: &mut Told,
    ) {
        let to = response.header("x-consul-index").and_then(|v| v.trim().parse().ok()).unwrap_or(0);
        let from = self.index;
        self.index = match to {
            // It is always safe to wait from 1, and a client that does not wait would ask without end.
            0 => 1,
            to if to < from => 0,
            to => to,
        };
        if to < from {
            told.notes.push(Note::IndexReset { from, to });
        }
        let Reading { read, mut named, doubles, skipped, unusable, .. } = reading;
        let of = unusable + named.len() + doubles.len();
        let mostly = 2 * unusable > of;
        if let (true, false, Some(first)) = (mostly, self.mostly_unusable, skipped.values().next()) {
            told.notes.push(Note::MostlyUnusable { unusable, of, first: first.clone() });
        }
        self.mostly_unusable = mostly;
        self.read = read;
        for (uid, (kept, refused)) in &doubles {
            if !self.doubles.contains(uid) {
                told.notes.push(Note::SameId { uid: uid.clone(), kept: *kept, refused: *refused });
            }
        }
        self.doubles = doubles.into_keys().collect();
        for s in skipped.values().filter(|s| !self.skipped.contains(&(s.uid.clone(), s.key.clone()))) {
            told.notes.push(Note::Skipped(s.clone()));
        }
        self.skipped = skipped.values().map(|s| (s.uid.clone(), s.key.clone())).collect();
        for (uid, s) in &skipped {
            // It is still registered, but nothing is known of it that could be used.
            if let Some(known) = self.last.get(uid).filter(|_| !named.contains_key(uid)) {
                named.insert(uid.clone(), drained(known, Reason::Unusable(s.key.clone())));
            }
        }
        let ran = self.last.len();
        self.missing = self.last.keys().filter(|uid| !named.contains_key(*uid)).cloned().collect();
        let left = ran - self.missing.len();
        let shrunk = ran > 0 && (left == 0 || (left as f64) < self.o.least_share * ran as f64);
        if shrunk && self.contradictions < CONTRADICTIONS {
            if self.held.is_none() && self.contradictions == 0 {
                told.notes.push(Note::Held { named: left, ran });
            }
            self.held = Some((left, ran));
            if self.o.agents > 1 {
                self.agent = (self.agent + 1) % self.o.agents;
            }
        } else {
            self.contradictions = 0;
            told.confirmed = true;
            for uid in &self.missing {
                if let Some(report) = self.last.get(uid) {
                    named.insert(uid.clone(), drained(report, Reason::NoHealth));
                }
            }
        }
        for (uid, report) in named {
            let same = self.last.get(&uid).is_some_and(|r| Arc::ptr_eq(r, &report) || *r == report);
            if !same {
                words.push(Report::clone(&report));
                self.last.insert(uid, report);
            }
        }
        self.asks = if self.missing.is_empty() { Asks::Health } else { Asks::Catalogue };
    }

    fn catalogue(&mut self, known: &BTreeSet<String>, words: &mut Vec<Report>, told: &mut Told) {
        self.asks = Asks::Health;
        let missing = std::mem::take(&mut self.missing);
        if let Some((left, ran)) = self.held.take() {
            let registered = left + missing.iter().filter(|uid| known.contains(*uid)).count();
            if registered > 0 && (registered as f64) >= self.o.least_share * ran as f64 {
                // The two answers differ, so the one that would cost more is asked again.
                self.contradictions += 1;
                self.index = 0;
                if self.contradictions == 1 {
                    told.notes.push(Note::Contradicted { registered });
                }
                return;
            }
            told.notes.push(Note::Confirmed);
            self.contradictions = 0;
            told.confirmed = true;
        }
        for uid in missing {
            let Some(report) = self.last.get(&uid) else { continue };
            if known.contains(&uid) {
                // Registered without health: its agent is on the way out, or a filter leaves it out.
                let report = drained(report, Reason::NoHealth);
                if self.last.get(&uid) != Some(&report) {
                    words.push(Report::clone(&report));
                    self.last.insert(uid, report);
                }
            } else {
                let mut report = Report::clone(report);
                (report.entry.server.state, report.reason) = (State::Gone, Reason::Unlisted);
                words.push(report);
                self.last.remove(&uid);
            }
        }
    }
}

/// The same box, to be given no fresh work for this reason.
fn drained(report: &Report, reason: Reason) -> Arc<Report> {
    let mut report = report.clone();
    (report.entry.server.state, report.reason) = (State::Draining, reason);
    Arc::new(report)
}
