//! An answer as it is read, part by part.

use super::Query;
use crate::mapping::Mapping;
use crate::schema::{instance, registered, ElementError, ListSplitter, SkippedInstance};
use linnetknot::State;
use linnetknot_discovery::Report;
use std::collections::hash_map::{DefaultHasher, HashMap};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;
use std::net::SocketAddr;
use std::sync::Arc;

/// An id that is registered at two addresses.
#[derive(Clone, Copy, Debug)]
pub(super) struct DuplicateId {
    /// Who keeps it.
    pub(super) accepted: SocketAddr,
    /// Who does not get it.
    pub(super) rejected: SocketAddr,
}

/// An answer that has come in part.
#[derive(Clone, Debug, Default)]
pub(super) struct ResponseReader {
    splitter: ListSplitter,
    /// Bytes that have come.
    pub(super) bytes: u64,
    /// Why it can't be used.
    pub(super) error: Option<String>,
    content: ListContent,
}

/// What the elements of an answer come to.
#[derive(Clone, Debug, Default)]
pub(super) struct ListContent {
    /// Each report, by the hash of its element's text.
    pub(super) reports: HashMap<u64, Arc<Report>>,
    /// Each report that counts, by id.
    pub(super) named: BTreeMap<String, Arc<Report>>,
    /// Ids that are there twice.
    pub(super) duplicates: BTreeMap<String, DuplicateId>,
    /// Instances that can't be used, by id.
    pub(super) skipped: BTreeMap<String, SkippedInstance>,
    /// Instances that can't be used, those that have no id with them.
    pub(super) unusable: usize,
    /// Ids that a catalogue's answer names.
    pub(super) registered: BTreeSet<String>,
}

/// What an answer is read against.
pub(super) struct Context<'a> {
    /// What was asked for.
    pub(super) query: Query,
    pub(super) mapping: &'a Mapping,
    /// What was told last.
    pub(super) endpoints: &'a BTreeMap<String, Arc<Report>>,
    /// The reports of the answer before, by the hash of their elements' text.
    pub(super) known: &'a HashMap<u64, Arc<Report>>,
}

impl ResponseReader {
    /// Takes bytes of the answer in.
    pub(super) fn push(&mut self, bytes: &[u8], context: &Context<'_>) {
        let ResponseReader {
            splitter, content, ..
        } = self;
        let result = splitter.push(bytes, |raw| match context.query {
            Query::Catalog => content.add_registered(raw, context),
            Query::Health => content.add_instance(raw, context),
        });
        self.error = result.err();
    }

    /// What the answer comes to; else why it gives no list.
    pub(super) fn finish(self) -> Result<ListContent, String> {
        if let Some(why) = self.error {
            return Err(why);
        }
        if !self.splitter.is_complete() {
            return Err("it is not whole".into());
        }
        Ok(self.content)
    }
}

impl ListContent {
    /// Takes in an element of a catalogue's answer.
    fn add_registered(&mut self, raw: &[u8], context: &Context<'_>) -> Result<(), String> {
        let found = registered(raw)?;
        // Left out, it would count as gone: an answer that can't tell which box it names tells nothing.
        let uid = context.mapping.uid(&found.node, &found.id);
        self.registered
            .insert(uid.map_err(|(part, why)| format!("{part:?}: {why}"))?);
        Ok(())
    }

    /// Takes in an element of a health answer.
    fn add_instance(&mut self, raw: &[u8], context: &Context<'_>) -> Result<(), String> {
        let mut hasher = DefaultHasher::new();
        hasher.write(raw);
        let hash = hasher.finish();
        let report = match context.known.get(&hash) {
            Some(report) => report.clone(),
            None => match instance(raw)
                .and_then(|i| context.mapping.report(&i).map_err(ElementError::Instance))
            {
                Ok(report) => Arc::new(report),
                Err(ElementError::Instance(skipped)) => {
                    self.unusable += 1;
                    self.skipped.insert(skipped.uid.clone(), skipped);
                    return Ok(());
                }
                Err(ElementError::Answer(why)) => return Err(why),
            },
        };
        self.reports.insert(hash, report.clone());
        self.add_report(report, context);
        Ok(())
    }

    /// Names a box. Of two under one id, the one that had it keeps it, else the one that is ready, else the first.
    fn add_report(&mut self, report: Arc<Report>, context: &Context<'_>) {
        let uid = report.entry.uid.clone();
        let Some(first) = self.named.get_mut(&uid) else {
            self.named.insert(uid, report);
            return;
        };
        let known_endpoint = context.endpoints.get(&uid).map(|r| r.entry.endpoint);
        let rank = |r: &Report| {
            (
                known_endpoint != Some(r.entry.endpoint),
                r.entry.server.state != State::Ready,
            )
        };
        let mut other = report;
        if rank(&other) < rank(first) {
            std::mem::swap(first, &mut other);
        }
        let (accepted, rejected) = (first.entry.endpoint, other.entry.endpoint);
        if accepted != rejected {
            self.duplicates
                .insert(uid, DuplicateId { accepted, rejected });
        }
    }
}
