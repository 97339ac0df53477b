//! What of a pushed list is believed, before it becomes evidence.
//!
//! A proxy that takes every list at its word loses all its caches by one that came out empty, and a hundred proxies that
//! do so send all their work to the few caches that are left. A list may always remove single caches by naming them. What
//! it may not do is remove most of a zone's caches by leaving them out, bring caches back by a revision older than the
//! known one, or report a cache both ready and gone.

use crate::evidence::Entry;
use linnetknot::{ListMode, State};
use std::collections::BTreeMap;
use std::fmt;

/// A part of a list that was not believed, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The list is older than one received before: only what it removes counts.
    Stale {
        /// Its revision.
        rev: u64,
        /// The highest revision received.
        known: u64,
    },
    /// The cache with this id is listed more than once; the more cautious entry counts.
    Contradiction(String),
    /// More than half of the ready caches of a zone and kind are left out; they are retained.
    Omission {
        /// The zone.
        zone: String,
        /// The kind.
        kind: String,
        /// Number of caches retained.
        retained: usize,
    },
    /// Entries that could not be read, by their faults. What the list leaves out may be among them.
    Unreadable(Vec<String>),
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Stale { rev, known } => write!(
                f,
                "a list of revision {rev} is older than {known}: only its removals count"
            ),
            Self::Contradiction(uid) => {
                write!(f, "a list has {uid} twice: the more cautious entry counts")
            }
            Self::Omission {
                zone,
                kind,
                retained,
            } => write!(
                f,
                "a list leaves out more than half of zone '{zone}', kind '{kind}': \
                 {retained} caches are retained"
            ),
            Self::Unreadable(faults) => {
                let count = faults.len();
                let first = faults.first().map_or("", String::as_str);
                write!(
                    f,
                    "{count} entries of a list can't be read ({first}): it removes only what it names"
                )
            }
        }
    }
}

/// A list as it was received.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedList {
    /// Its revision, where the source numbers them.
    pub rev: Option<u64>,
    /// Whether it claims to be the full list.
    pub mode: ListMode,
    /// The entries that could be read.
    pub entries: Vec<Entry>,
    /// The fault of each entry that could not be read.
    pub unreadable: Vec<String>,
}

/// What of a received list is believed.
#[derive(Clone, Debug, PartialEq)]
pub struct ValidatedList {
    /// Whether the entries are the full list.
    pub mode: ListMode,
    /// The entries to believe.
    pub entries: Vec<Entry>,
    /// What was not believed.
    pub rejections: Vec<Rejection>,
}

/// Validates the lists of one source.
#[derive(Clone, Debug, Default)]
pub struct ListValidator {
    /// The highest revision received.
    rev: Option<u64>,
}

impl ListValidator {
    /// Validates a list. `listed`: the entries that the source is believed to list so far.
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

/// One entry per cache, at the position of its first. Of two, the more cautious counts, or the second if the cache has
/// started since the first.
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

/// Lower is more cautious.
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

/// Ready caches of the zones and kinds of which a full list leaves out more than half.
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
