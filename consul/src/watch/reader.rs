//! Incrementally parses a response body, one list element at a time.

use super::Query;
use crate::error::{ListError, SkippedInstance};
use crate::mapping::Mapping;
use crate::schema::{parse_catalog_entry, parse_instance, ElementError};
use crate::splitter::ListSplitter;
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
    pub(super) accepted: SocketAddr,
    pub(super) rejected: SocketAddr,
}

/// Parser of a response body, which is fed the bytes as they arrive.
#[derive(Clone, Debug, Default)]
pub(super) struct ResponseReader {
    splitter: ListSplitter,
    /// Number of bytes of the body that have been received.
    pub(super) bytes: u64,
    /// The error that makes the body unusable.
    pub(super) error: Option<ListError>,
    content: ListContent,
}

/// The content of the elements parsed so far.
#[derive(Clone, Debug, Default)]
pub(super) struct ListContent {
    /// All reports, by the hash of their element's text.
    pub(super) reports_by_hash: HashMap<u64, Arc<Report>>,
    /// One report per id.
    pub(super) reports_by_uid: BTreeMap<String, Arc<Report>>,
    /// Ids that are registered at two addresses.
    pub(super) duplicates: BTreeMap<String, DuplicateId>,
    /// Unusable instances, by id.
    pub(super) skipped: BTreeMap<String, SkippedInstance>,
    /// Number of unusable instances, including those without an id.
    pub(super) unusable: usize,
    /// Ids that a catalog response lists.
    pub(super) registered: BTreeSet<String>,
}

/// The state of the watch that parsing depends on.
pub(super) struct ReaderContext<'a> {
    /// The API that the response comes from.
    pub(super) query: Query,
    pub(super) mapping: &'a Mapping,
    /// The last reported endpoint list.
    pub(super) endpoints: &'a BTreeMap<String, Arc<Report>>,
    /// The reports of the previous response, by the hash of their element's text.
    pub(super) previous_reports: &'a HashMap<u64, Arc<Report>>,
}

impl ResponseReader {
    /// Parses the next bytes of the body.
    pub(super) fn push(&mut self, bytes: &[u8], context: &ReaderContext<'_>) {
        let content = &mut self.content;
        let result = self.splitter.push(bytes, |element| match context.query {
            Query::Catalog => content.add_catalog_entry(element, context),
            Query::Health => content.add_instance(element, context),
        });
        self.error = result.err();
    }

    /// Returns the content of a complete body.
    pub(super) fn finish(self) -> Result<ListContent, ListError> {
        if let Some(error) = self.error {
            return Err(error);
        }
        if !self.splitter.is_complete() {
            return Err(ListError::Incomplete);
        }
        Ok(self.content)
    }
}

impl ListContent {
    fn add_catalog_entry(
        &mut self,
        element: &[u8],
        context: &ReaderContext<'_>,
    ) -> Result<(), ListError> {
        let entry = parse_catalog_entry(element)?;
        let uid = context
            .mapping
            .catalog_uid(&entry.node, &entry.service_id)?;
        self.registered.insert(uid);
        Ok(())
    }

    fn add_instance(
        &mut self,
        element: &[u8],
        context: &ReaderContext<'_>,
    ) -> Result<(), ListError> {
        let mut hasher = DefaultHasher::new();
        hasher.write(element);
        let hash = hasher.finish();
        let report = match context.previous_reports.get(&hash) {
            Some(report) => report.clone(),
            None => match parse_report(element, context.mapping) {
                Ok(report) => Arc::new(report),
                Err(ElementError::Response(error)) => return Err(error),
                Err(ElementError::Instance(skipped)) => {
                    self.unusable += 1;
                    self.skipped.insert(skipped.uid.clone(), skipped);
                    return Ok(());
                }
            },
        };
        self.reports_by_hash.insert(hash, report.clone());
        self.add_report(report, context);
        Ok(())
    }

    /// Adds a report. Of two reports with the same id, the one with the known address is used. If neither has it, the
    /// ready one is used, or else the first one.
    fn add_report(&mut self, report: Arc<Report>, context: &ReaderContext<'_>) {
        let uid = report.entry.uid.clone();
        let Some(first) = self.reports_by_uid.get_mut(&uid) else {
            self.reports_by_uid.insert(uid, report);
            return;
        };
        let known = context.endpoints.get(&uid);
        let known_endpoint = known.map(|report| report.entry.endpoint);
        let rank = |report: &Report| {
            let has_moved = known_endpoint != Some(report.entry.endpoint);
            let is_unready = report.entry.server.state != State::Ready;
            (has_moved, is_unready)
        };
        let mut other = report;
        if rank(&other) < rank(first) {
            std::mem::swap(first, &mut other);
        }
        let (accepted, rejected) = (first.entry.endpoint, other.entry.endpoint);
        if accepted != rejected {
            let duplicate = DuplicateId { accepted, rejected };
            self.duplicates.insert(uid, duplicate);
        }
    }
}

/// Parses an element of a health response into a report.
fn parse_report(element: &[u8], mapping: &Mapping) -> Result<Report, ElementError> {
    let instance = parse_instance(element)?;
    mapping.report(&instance).map_err(ElementError::Instance)
}
