//! Validation of pushed lists before they are applied as evidence.
//!
//! A wrong list, such as an empty one, must not make all proxies drop their caches at the same time and overload the
//! caches that are left. A list may always remove caches that it names. It may not remove more than half of the ready
//! caches of a zone and kind by omitting them, restore caches with a revision older than the highest one received, or
//! report a cache as both ready and gone.

use crate::evidence::Entry;
use linnetknot::{ListMode, State};
use std::collections::BTreeMap;
use std::fmt;

/// A part of a list that was rejected, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The list is older than one received before, so only its removals and drains are applied.
    Stale {
        /// The revision of the stale list.
        rev: u64,
        /// The highest revision received.
        known: u64,
    },
    /// The cache with this id is listed more than once. The entry with the less available state is used.
    Contradiction(String),
    /// More than half of the ready caches of a zone and kind are omitted; they are retained.
    Omission {
        /// Zone of the caches.
        zone: String,
        /// Kind of the caches.
        kind: String,
        /// Number of omitted caches that are retained.
        retained: usize,
    },
    /// Entries that could not be parsed, with the error of each. Any of them may describe a cache that seems to be
    /// missing, so only explicitly listed removals take effect.
    Unreadable(Vec<String>),
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Stale { rev, known } => write!(
                f,
                "a list of revision {rev} is older than revision {known}: only its removals and drains are applied"
            ),
            Self::Contradiction(uid) => {
                write!(
                    f,
                    "a list contains {uid} twice: the entry with the less available state is applied"
                )
            }
            Self::Omission {
                zone,
                kind,
                retained,
            } => write!(
                f,
                "a list omits more than half of the caches of zone '{zone}', kind '{kind}': \
                 {retained} caches are retained"
            ),
            Self::Unreadable(faults) => {
                let count = faults.len();
                let first = faults.first().map_or("", String::as_str);
                write!(
                    f,
                    "{count} entries of a list can't be read ({first}): \
                     the list removes only caches that it names"
                )
            }
        }
    }
}

/// A list as it was received from a source, before validation.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedList {
    /// Revision of the list, if the source numbers its lists.
    pub rev: Option<u64>,
    /// Whether the list is a full list or a delta.
    pub mode: ListMode,
    /// The entries that could be parsed.
    pub entries: Vec<Entry>,
    /// The error of each entry that could not be parsed.
    pub unreadable: Vec<String>,
}

/// A list after validation, which can be applied as evidence.
#[derive(Clone, Debug, PartialEq)]
pub struct ValidatedList {
    /// Whether the entries are a full list or a delta.
    pub mode: ListMode,
    /// The entries to apply, including those that are retained.
    pub entries: Vec<Entry>,
    /// The parts of the list that were rejected.
    pub rejections: Vec<Rejection>,
}

/// Validates the lists of a source.
#[derive(Clone, Debug, Default)]
pub struct ListValidator {
    /// The highest revision received.
    rev: Option<u64>,
}

impl ListValidator {
    /// Validates a list. `listed` contains the entries that the source has listed so far.
    pub fn validate<'a>(
        &mut self,
        list: ReceivedList,
        listed: impl Iterator<Item = &'a Entry>,
    ) -> ValidatedList {
        let mut mode = list.mode;
        let mut rejections = Vec::new();
        let mut entries = unique_entries(list.entries, &mut rejections);
        match (list.rev, self.rev) {
            (Some(rev), Some(known)) if rev < known => {
                entries.retain(|entry| entry.server.state != State::Ready);
                mode = ListMode::Delta;
                rejections.push(Rejection::Stale { rev, known });
            }
            (rev, known) => self.rev = rev.or(known),
        }
        if !list.unreadable.is_empty() {
            rejections.push(Rejection::Unreadable(list.unreadable));
            mode = ListMode::Delta;
        }
        if mode == ListMode::Full {
            let retained = retain_omitted(&entries, listed, &mut rejections);
            entries.extend(retained);
        }
        ValidatedList {
            mode,
            entries,
            rejections,
        }
    }
}

/// Returns one entry per cache, at the position of its first entry. Of two entries, the one with the less available
/// state is used, unless the second entry reports a later start of the cache; then the second one is used.
fn unique_entries(entries: Vec<Entry>, rejections: &mut Vec<Rejection>) -> Vec<Entry> {
    let mut accepted: Vec<Entry> = Vec::with_capacity(entries.len());
    let mut positions: BTreeMap<String, usize> = BTreeMap::new();
    for entry in entries {
        let Some(position) = positions.get(&entry.uid).copied() else {
            positions.insert(entry.uid.clone(), accepted.len());
            accepted.push(entry);
            continue;
        };
        let first = &mut accepted[position];
        let has_restarted = entry.server.started > first.server.started;
        if has_restarted || readiness(entry.server.state) <= readiness(first.server.state) {
            *first = entry;
        } else {
            rejections.push(Rejection::Contradiction(entry.uid));
        }
    }
    accepted
}

/// Returns the rank of a state by availability: a lower rank is less available.
fn readiness(state: State) -> u8 {
    match state {
        State::Gone => 0,
        State::Draining => 1,
        State::Ready => 2,
    }
}

/// The ready caches of one zone and kind.
#[derive(Default)]
struct Group<'a> {
    count: usize,
    omitted: Vec<&'a Entry>,
}

/// Returns the omitted ready caches of each zone and kind of which a full list omits more than half.
fn retain_omitted<'a>(
    entries: &[Entry],
    listed: impl Iterator<Item = &'a Entry>,
    rejections: &mut Vec<Rejection>,
) -> Vec<Entry> {
    let mut groups: BTreeMap<(&str, &str), Group<'_>> = BTreeMap::new();
    for entry in listed.filter(|entry| entry.server.state == State::Ready) {
        let key = (entry.server.zone.as_str(), entry.server.kind.as_str());
        let group = groups.entry(key).or_default();
        group.count += 1;
        if !entries.iter().any(|named| named.uid == entry.uid) {
            group.omitted.push(entry);
        }
    }
    let mut retained = Vec::new();
    for ((zone, kind), Group { count, omitted }) in groups {
        if 2 * omitted.len() > count {
            rejections.push(Rejection::Omission {
                zone: zone.to_owned(),
                kind: kind.to_owned(),
                retained: omitted.len(),
            });
            retained.extend(omitted.into_iter().cloned());
        }
    }
    retained
}
