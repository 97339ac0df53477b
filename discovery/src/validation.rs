//! What of a pushed list is believed, before it becomes evidence.
//!
//! A proxy that takes every answer of discovery at its word empties its list by one that came out empty, and a
//! hundred proxies that do so send all they have to the few boxes that are left. An answer may always take single
//! boxes away by naming them. What it may not do is take most of a zone's boxes away by leaving them out, bring
//! boxes back by news older than what is known, or be both ready and gone.
//!
//! [`ListValidator`] is sans-IO and keeps one number; what it passes over is returned for the log.

use crate::evidence::Entry;
use linnetknot::{ListMode, State};
use std::collections::BTreeMap;
use std::fmt;

/// Something of an answer that was not believed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The answer is older than one that was heard: of it only what takes boxes away counts.
    Stale {
        /// Its revision.
        rev: u64,
        /// The highest one heard.
        known: u64,
    },
    /// It names a box more than once; the more cautious word counts.
    Contradiction(String),
    /// It leaves out more than half of the ready boxes of a zone and kind; they are kept.
    Omission {
        /// The zone.
        zone: String,
        /// The kind.
        kind: String,
        /// How many are kept.
        retained: usize,
    },
    /// These faults kept entries of it from being read, so what it leaves out may be what could not be read.
    Unreadable(Vec<String>),
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Stale { rev, known } => {
                write!(f, "a list of revision {rev} is older than {known}: only what it takes away counts")
            }
            Self::Contradiction(uid) => {
                write!(f, "a list names {uid} twice: the more cautious word counts")
            }
            Self::Omission {
                zone,
                kind,
                retained,
            } => {
                write!(
                    f,
                    "a list leaves out more than half of zone '{zone}', kind '{kind}': {retained} boxes are kept"
                )
            }
            Self::Unreadable(faults) => {
                let (n, first) = (faults.len(), faults.first().map_or("", String::as_str));
                write!(f, "{n} entries of a list can't be read ({first}): it takes away what it names only")
            }
        }
    }
}

/// An answer as it came.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedList {
    /// Its revision, where the source numbers them.
    pub rev: Option<u64>,
    /// Whether it means to be the whole list.
    pub mode: ListMode,
    /// Its entries, as far as they could be read.
    pub entries: Vec<Entry>,
    /// What was wrong with each entry that could not be read.
    pub unreadable: Vec<String>,
}

/// Vets the answers of one source.
#[derive(Clone, Debug, Default)]
pub struct ListValidator {
    rev: Option<u64>,
}

/// Lower is more cautious.
fn rank(state: State) -> u8 {
    match state {
        State::Gone => 0,
        State::Draining => 1,
        State::Ready => 2,
    }
}

impl ListValidator {
    /// Takes an answer; gives the mode and entries to believe, and what was passed over. `listed`: what the source is
    /// believed to list so far.
    pub fn validate<'a>(
        &mut self,
        answer: ReceivedList,
        listed: impl Iterator<Item = &'a Entry>,
    ) -> (ListMode, Vec<Entry>, Vec<Rejection>) {
        let ReceivedList {
            rev,
            mut mode,
            entries,
            unreadable,
        } = answer;
        let mut rejections = Vec::new();
        let mut entries = unique_entries(entries, &mut rejections);
        match (rev, self.rev) {
            (Some(rev), Some(known)) if rev < known => {
                entries.retain(|e| e.server.state != State::Ready);
                mode = ListMode::Delta;
                rejections.push(Rejection::Stale { rev, known });
            }
            _ => self.rev = rev.or(self.rev),
        }
        if !unreadable.is_empty() {
            rejections.push(Rejection::Unreadable(unreadable));
            mode = ListMode::Delta;
        }
        if mode == ListMode::Full {
            entries.extend(keep_omitted(&entries, listed, &mut rejections));
        }
        (mode, entries, rejections)
    }
}

/// Each box once, in the order of the last word on it. A box that was gone and has started since is no contradiction.
fn unique_entries(entries: Vec<Entry>, rejections: &mut Vec<Rejection>) -> Vec<Entry> {
    let mut retained: Vec<Entry> = Vec::with_capacity(entries.len());
    let mut positions: BTreeMap<String, usize> = BTreeMap::new();
    for entry in entries {
        let Some(position) = positions.get(&entry.uid).copied() else {
            positions.insert(entry.uid.clone(), retained.len());
            retained.push(entry);
            continue;
        };
        let old = &mut retained[position];
        let newer = entry.server.started > old.server.started;
        if newer || rank(entry.server.state) <= rank(old.server.state) {
            *old = entry;
        } else {
            rejections.push(Rejection::Contradiction(entry.uid));
        }
    }
    retained
}

/// Ready boxes of the zones and kinds of which a whole list leaves out more than half.
fn keep_omitted<'a>(
    entries: &[Entry],
    listed: impl Iterator<Item = &'a Entry>,
    rejections: &mut Vec<Rejection>,
) -> Vec<Entry> {
    let mut groups: BTreeMap<(&str, &str), (usize, Vec<&Entry>)> = BTreeMap::new();
    for entry in listed.filter(|e| e.server.state == State::Ready) {
        let (count, missing) = groups
            .entry((&entry.server.zone, &entry.server.kind))
            .or_default();
        *count += 1;
        if !entries.iter().any(|e| e.uid == entry.uid) {
            missing.push(entry);
        }
    }
    let mut retained = Vec::new();
    for ((zone, kind), (count, missing)) in groups {
        if 2 * missing.len() > count {
            let (zone, kind) = (zone.to_owned(), kind.to_owned());
            rejections.push(Rejection::Omission {
                zone,
                kind,
                retained: missing.len(),
            });
            retained.extend(missing.into_iter().cloned());
        }
    }
    retained
}
