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

mod event;
mod options;
mod reader;
mod reconcile;

pub use event::WatchEvent;
pub use options::{Consistency, Options};

use crate::backoff::Backoff;
use crate::http::{segment, target, Call, Response, TransportError};
use crate::mapping::Mapping;
use linnetknot::Micros;
use linnetknot_discovery::{Entry, Evidence, Reason, Report};
use reader::{Context, ListContent, ResponseReader};
use std::collections::hash_map::HashMap;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// What an answer or a failure comes to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WatchUpdate {
    /// What it tells of the boxes.
    pub evidence: Option<Evidence>,
    /// What the operators should know; each is given once, when it begins.
    pub events: Vec<WatchEvent>,
    /// Consul has confirmed the list as it stands, changed or not.
    pub confirmed: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Query {
    Health,
    /// What is registered at all: for those that the last answer left out.
    Catalog,
}

/// Pace of answers that follow each other at once: the least gap, doubled with each that brings nothing new.
const MIN_QUERY_GAP_US: Micros = 10_000;
const MAX_QUERY_GAP_US: Micros = 500_000;
/// Reading an answer takes time from requests: so many bytes of it a microsecond at most, on average.
const READ_BYTES_PER_US: u64 = 40;
/// The longest wait that an agent may ask for.
const MAX_RETRY_AFTER_US: Micros = 60_000_000;
/// After an answer that was too stale, the leader is asked for so long.
const LEADER_READS_US: Micros = 30_000_000;

/// An answer that leaves out too many to be believed at once.
#[derive(Clone, Copy, Debug)]
struct UnconfirmedShrink {
    /// How many it names of those that ran.
    named: usize,
    /// How many ran.
    known: usize,
}

/// A service that is followed.
#[derive(Clone, Debug)]
pub struct Watch {
    options: Options,
    mapping: Mapping,
    agent: usize,
    primary_retry_at: Micros,
    index: u64,
    query: Query,
    /// When the call that is out was made.
    pending_since: Option<Micros>,
    next_at: Micros,
    /// What was told last, without those that are gone.
    endpoints: BTreeMap<String, Arc<Report>>,
    initialized: bool,
    /// Boxes of `last` that the last answer left out.
    missing: BTreeSet<String>,
    /// An answer that leaves out too many to be believed at once.
    unconfirmed: Option<UnconfirmedShrink>,
    contradictions: u32,
    unchanged: u32,
    backoff: Backoff,
    last_failure: Option<String>,
    skipped: BTreeSet<(String, String)>,
    /// More than half of the instances of the last answer could not be used.
    mostly_unusable: bool,
    /// Ids that the last answer had twice.
    duplicates: BTreeSet<String>,
    leader_until: Micros,
    reader: ResponseReader,
    /// What the elements of the last answer came to, by the hash of their text: most are the same in the next one.
    reports_by_hash: HashMap<u64, Arc<Report>>,
}

impl Watch {
    /// A watch that has been told nothing.
    pub fn new(options: Options, mapping: Mapping, seed: u64) -> Self {
        Watch {
            backoff: Backoff::new(options.min_backoff_us, options.max_backoff_us, seed),
            options,
            mapping,
            agent: 0,
            primary_retry_at: 0,
            index: 0,
            query: Query::Health,
            pending_since: None,
            next_at: 0,
            endpoints: BTreeMap::new(),
            initialized: false,
            missing: BTreeSet::new(),
            unconfirmed: None,
            contradictions: 0,
            unchanged: 0,
            last_failure: None,
            skipped: BTreeSet::new(),
            mostly_unusable: false,
            duplicates: BTreeSet::new(),
            leader_until: 0,
            reader: ResponseReader::default(),
            reports_by_hash: HashMap::new(),
        }
    }

    /// Begins from a list that was kept: it counts as told, so that an empty first answer can't wipe it out.
    pub fn restore(&mut self, entries: &[Entry]) -> Evidence {
        let cached = entries.iter().map(|e| Report {
            entry: e.clone(),
            reason: Reason::Kept,
        });
        self.endpoints = cached.map(|r| (r.entry.uid.clone(), Arc::new(r))).collect();
        self.initialized = true;
        self.full_list()
    }

    /// Other options and another mapping: the list that was told stays until an answer changes it. The end of a call
    /// that is out is not to be handed back any more.
    pub fn reconfigure(&mut self, options: Options, mapping: Mapping) {
        if self.options.agents != options.agents {
            self.agent = 0;
        }
        (self.options, self.mapping) = (options, mapping);
        (self.index, self.query, self.next_at) = (0, Query::Health, 0);
        (self.unconfirmed, self.pending_since) = (None, None);
        self.reports_by_hash.clear();
    }

    /// When the next call is due; none while one is out.
    pub fn due(&self) -> Option<Micros> {
        self.pending_since.is_none().then_some(self.next_at)
    }

    /// The next call, if it is due. Its end must be handed back by `answered` or `failed`.
    pub fn poll(&mut self, now: Micros) -> Option<Call> {
        if self.pending_since.is_some() || now < self.next_at {
            return None;
        }
        self.pending_since = Some(now);
        self.reader = ResponseReader::default();
        if self.agent != 0 && self.unconfirmed.is_none() && now >= self.primary_retry_at {
            self.agent = 0;
            self.primary_retry_at = now + self.backoff.jitter(self.options.primary_retry_us);
        }
        let is_blocking = self.query == Query::Health && self.index > 0;
        // An agent adds up to a sixteenth to the wait, to spread its clients.
        let wait = if is_blocking {
            self.options.blocking_wait_us + self.options.blocking_wait_us / 16
        } else {
            0
        };
        let timeout_us = self.options.response_timeout_us + wait;
        let target = self.target(now, is_blocking);
        Some(Call {
            agent: self.agent,
            method: "GET",
            target,
            body: Vec::new(),
            timeout_us,
        })
    }

    /// Path and query of the next call.
    fn target(&self, now: Micros, is_blocking: bool) -> String {
        let (index, wait) = (
            self.index.to_string(),
            format!("{}ms", self.options.blocking_wait_us / 1000),
        );
        let mut query: Vec<(&str, &str)> = Vec::new();
        if is_blocking {
            query.extend([("index", index.as_str()), ("wait", wait.as_str())]);
        }
        match self.consistency(now) {
            Consistency::Default => {}
            Consistency::Consistent => query.push(("consistent", "")),
            Consistency::Stale => query.push(("stale", "")),
        }
        query.extend(self.options.datacenter.iter().map(|dc| ("dc", dc.as_str())));
        query.extend(self.options.namespace.iter().map(|ns| ("ns", ns.as_str())));
        query.extend(self.options.tags.iter().map(|tag| ("tag", tag.as_str())));
        let api = match self.query {
            Query::Health => {
                // The catalogue has other names for the same things: an expression of one can't be sent to the other.
                query.extend(
                    self.options
                        .filter
                        .iter()
                        .map(|filter| ("filter", filter.as_str())),
                );
                "health"
            }
            Query::Catalog => "catalog",
        };
        target(
            format!("/v1/{api}/service/{}", segment(&self.options.service)),
            &query,
        )
    }

    /// The consistency of the next call.
    fn consistency(&self, now: Micros) -> Consistency {
        match self.options.consistency {
            _ if self.unconfirmed.is_some() => Consistency::Consistent,
            Consistency::Stale if now < self.leader_until => Consistency::Default,
            consistency => consistency,
        }
    }

    /// The call came to nothing.
    pub fn on_failure(&mut self, now: Micros, failure: TransportError) -> WatchUpdate {
        self.fail(now, failure.to_string(), 0)
    }

    fn fail(&mut self, now: Micros, why: String, min_wait: Micros) -> WatchUpdate {
        let mut update = WatchUpdate::default();
        self.pending_since = None;
        // What was told stays; the next answer is read as a whole.
        (self.index, self.query, self.unconfirmed) = (0, Query::Health, None);
        let line = format!("{}: {why}", self.agent);
        if self.last_failure.as_ref() != Some(&line) {
            update.events.push(WatchEvent::QueryFailed {
                agent: self.agent,
                reason: why,
            });
            self.last_failure = Some(line);
        }
        let first_pass = (self.backoff.failures() as usize) < self.options.agents.saturating_sub(1);
        let wait = self.backoff.next_delay();
        if self.options.agents > 1 {
            self.agent = (self.agent + 1) % self.options.agents;
            self.primary_retry_at = now + self.backoff.jitter(self.options.primary_retry_us);
        }
        // Another agent may well answer: it is asked at once, as long as not all have failed.
        let wait = if first_pass {
            self.backoff.jitter(MIN_QUERY_GAP_US)
        } else {
            wait
        };
        self.next_at = now + wait.max(min_wait);
        update
    }

    /// A part of the body of an answer with status 200, while the call is out. What it says counts once the answer is
    /// whole.
    pub fn on_body(&mut self, bytes: &[u8]) {
        self.reader.bytes += bytes.len() as u64;
        if self.pending_since.is_none() || self.reader.error.is_some() {
            return;
        }
        let context = Context {
            query: self.query,
            mapping: &self.mapping,
            endpoints: &self.endpoints,
            known: &self.reports_by_hash,
        };
        self.reader.push(bytes, &context);
    }

    /// The call was answered. The body is what `read` was not given yet.
    pub fn on_response(&mut self, now: Micros, response: &Response<'_>) -> WatchUpdate {
        let Some(sent_at) = self.pending_since else {
            return WatchUpdate::default();
        };
        if response.status != 200 {
            return self.on_error_status(now, response);
        }
        let stale = self.options.consistency == Consistency::Stale && now >= self.leader_until;
        if !stale && response.header("x-consul-knownleader") == Some("false") {
            return self.fail(now, "has no leader".into(), 0);
        }
        let behind = header_number(response, "x-consul-lastcontact")
            .unwrap_or(0)
            .saturating_mul(1000);
        if stale && behind > self.options.max_stale_us {
            return self.on_stale_response(now, behind);
        }
        self.on_body(response.body);
        self.pending_since = None;
        let reader = std::mem::take(&mut self.reader);
        let bytes = reader.bytes;
        match reader.finish() {
            Ok(content) => self.apply_content(now, sent_at, response, content, bytes),
            Err(why) => self.fail(now, format!("gives no list: {why}"), 0),
        }
    }

    /// The answer has a status other than 200.
    fn on_error_status(&mut self, now: Micros, response: &Response<'_>) -> WatchUpdate {
        if let status @ (401 | 403) = response.status {
            let (agent, message) = (self.agent, response.error_summary());
            let first = self.last_failure.is_none();
            let mut update = self.fail(now, format!("denies the query ({status})"), 0);
            if first {
                update
                    .events
                    .push(WatchEvent::PermissionDenied { agent, message });
            }
            return update;
        }
        let after = header_number(response, "retry-after");
        let after = after.map_or(0, |s| s.saturating_mul(1_000_000).min(MAX_RETRY_AFTER_US));
        let wait = if after > 0 {
            after + self.backoff.jitter(self.options.min_backoff_us)
        } else {
            0
        };
        self.fail(
            now,
            format!("answers {} ({})", response.status, response.error_summary()),
            wait,
        )
    }

    /// The answer is of a server that is too far behind: the leader is asked instead for a while.
    fn on_stale_response(&mut self, now: Micros, behind: Micros) -> WatchUpdate {
        self.pending_since = None;
        self.leader_until = now + LEADER_READS_US;
        self.next_at = now + MIN_QUERY_GAP_US;
        WatchUpdate {
            events: vec![WatchEvent::StaleResponse(behind)],
            ..WatchUpdate::default()
        }
    }

    /// Takes a whole answer in to the query that was made at `sent_at`.
    fn apply_content(
        &mut self,
        now: Micros,
        sent_at: Micros,
        response: &Response<'_>,
        content: ListContent,
        bytes: u64,
    ) -> WatchUpdate {
        let mut update = WatchUpdate::default();
        if self.backoff.failures() > 0 {
            update.events.push(WatchEvent::Recovered {
                agent: self.agent,
                failures: self.backoff.failures(),
            });
        }
        self.backoff.reset();
        self.last_failure = None;
        let mut changes = Vec::new();
        match self.query {
            Query::Health => self.apply_health(response, content, &mut changes, &mut update),
            Query::Catalog => self.apply_catalog(&content.registered, &mut changes, &mut update),
        }
        let changed = !changes.is_empty();
        if !std::mem::replace(&mut self.initialized, true) {
            update.evidence = Some(self.full_list());
        } else if changed {
            update.evidence = Some(Evidence::Delta(changes));
        }
        self.pace(now, sent_at, changed, bytes);
        update
    }

    /// Sets when the next query is due after an answer of so many bytes.
    fn pace(&mut self, now: Micros, sent_at: Micros, changed: bool, bytes: u64) {
        self.unchanged = if changed {
            0
        } else {
            self.unchanged.saturating_add(1)
        };
        let gap =
            (MIN_QUERY_GAP_US << self.unchanged.saturating_sub(1).min(6)).min(MAX_QUERY_GAP_US);
        let gap = gap.max(bytes / READ_BYTES_PER_US);
        // Paced by when it was asked: an answer that was long in coming may be followed at once.
        self.next_at = if self.query == Query::Catalog {
            now
        } else {
            now.max(sent_at + gap)
        };
    }

    fn full_list(&self) -> Evidence {
        Evidence::Full(self.endpoints.values().map(|r| Report::clone(r)).collect())
    }
}

/// The number in a header of a response.
fn header_number(response: &Response<'_>, header: &str) -> Option<u64> {
    response.header(header)?.trim().parse().ok()
}
