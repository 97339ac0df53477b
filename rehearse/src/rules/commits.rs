//! Commits of purges between proxies, judged from a record alone: what peer CDNs asked for, what they were answered, and
//! the state of each proxy in the end.

use super::Breach;
use crate::record::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// The rules, by name.
pub const COMMIT_RULES: [(&str, &str); 6] = [
    (
        "promises",
        "what was committed is in force at every proxy in the end, whichever machine was lost",
    ),
    (
        "agreement",
        "a purge is in force at all proxies in the end, or at none",
    ),
    (
        "statuses",
        "the status of a committed trigger is known to every proxy, and all list the same",
    ),
    (
        "answers",
        "a proxy that runs answers each peer CDN, committed or rejected, before the timeout",
    ),
    (
        "fence",
        "a process that was replaced and knows it commits nothing",
    ),
    ("copies", "in the end no commit is under-replicated"),
];

/// What a peer CDN was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PurgeAnswer {
    /// The purge is committed.
    Committed,
    /// It is rejected.
    Rejected,
    /// No answer came: the proxy died.
    None,
}

/// A purge that a peer CDN asked one proxy for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PurgeRequest {
    /// When it was sent.
    pub sent_at: Micros,
    /// When it was answered, or the connection ended.
    pub answered_at: Micros,
    /// Which proxy.
    pub proxy: usize,
    /// The object.
    pub object: String,
    /// The path of its status, where it was committed.
    pub trigger: Option<String>,
    /// The answer.
    pub answer: PurgeAnswer,
    /// The proxy was to die or to be stopped during this: no answer is due.
    pub excused: bool,
    /// The process knew before that another had taken its name.
    pub replaced: bool,
}

/// The state of a proxy in the end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinalState {
    /// Which proxy.
    pub proxy: usize,
    /// The objects whose purges are in force there.
    pub objects: BTreeSet<String>,
    /// The triggers that it lists, by the paths of their status.
    pub triggers: BTreeSet<String>,
    /// Its commits with fewer replicas than the replication factor.
    pub under_replicated: usize,
}

/// A play's record.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CommitRecord {
    /// All purges, in the order in which they were sent.
    pub purges: Vec<PurgeRequest>,
    /// By proxy.
    pub final_states: Vec<FinalState>,
    /// How long an answer may take.
    pub timeout_us: Micros,
    /// How late the kit itself may see an answer.
    pub tolerance_us: Micros,
}

/// Every breach in a record.
pub fn judge(record: &CommitRecord) -> Vec<Breach> {
    let mut breaches = judge_objects(record);
    breaches.extend(judge_listed_triggers(record));
    breaches.extend(judge_answers(record));
    breaches.extend(judge_unknown_triggers(record));
    breaches.extend(judge_replication(record));
    breaches
}

/// A breach that one purge shows.
fn breach(rule: &'static str, purge: &PurgeRequest, evidence: String) -> Breach {
    Breach {
        rule,
        request: Some(purge.object.clone()),
        target: None,
        at: purge.answered_at,
        evidence,
    }
}

/// A breach that the final states show.
fn breach_at_end(rule: &'static str, evidence: String) -> Breach {
    Breach {
        rule,
        request: None,
        target: None,
        at: 0,
        evidence,
    }
}

/// What was committed is in force at all proxies, anything else at all or at none.
fn judge_objects(record: &CommitRecord) -> Vec<Breach> {
    // One object may be purged several times: any of them that was committed counts.
    let mut by_object: BTreeMap<&str, Vec<&PurgeRequest>> = BTreeMap::new();
    record
        .purges
        .iter()
        .for_each(|purge| by_object.entry(&purge.object).or_default().push(purge));
    by_object
        .into_iter()
        .filter_map(|(object, purges)| judge_object(record, object, &purges))
        .collect()
}

fn judge_object(record: &CommitRecord, object: &str, purges: &[&PurgeRequest]) -> Option<Breach> {
    let without = |state: &&FinalState| !state.objects.contains(object);
    let lacking: Vec<usize> = record
        .final_states
        .iter()
        .filter(without)
        .map(|state| state.proxy)
        .collect();
    if lacking.is_empty() {
        return None;
    }
    if let Some(committed) = purges
        .iter()
        .find(|purge| purge.answer == PurgeAnswer::Committed)
    {
        let evidence = format!(
            "committed by p{} and not in force at {lacking:?}",
            committed.proxy
        );
        return Some(breach("promises", committed, evidence));
    }
    let is_divided = lacking.len() < record.final_states.len();
    is_divided.then(|| {
        breach(
            "agreement",
            purges[0],
            format!("not in force at {lacking:?}, and at the others"),
        )
    })
}

/// The trigger of each commit is listed by all.
fn judge_listed_triggers(record: &CommitRecord) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for purge in &record.purges {
        let Some(trigger) = &purge.trigger else {
            continue;
        };
        if let Some(state) = record
            .final_states
            .iter()
            .find(|state| !state.triggers.contains(trigger))
        {
            let evidence = format!(
                "committed by p{} and not listed by p{}",
                purge.proxy, state.proxy
            );
            breaches.push(breach("statuses", purge, evidence));
        }
    }
    breaches
}

/// Each answer comes in time, and a process that knew that it was replaced commits nothing.
fn judge_answers(record: &CommitRecord) -> Vec<Breach> {
    let mut breaches = Vec::new();
    let max_us = record.timeout_us + record.tolerance_us;
    for purge in &record.purges {
        let took_us = purge.answered_at.saturating_sub(purge.sent_at);
        if purge.answer == PurgeAnswer::None && !purge.excused {
            breaches.push(breach(
                "answers",
                purge,
                format!("p{} ran on and gave no answer", purge.proxy),
            ));
        } else if purge.answer != PurgeAnswer::None && took_us > max_us && !purge.excused {
            let evidence = format!("p{} took {took_us} us of {max_us}", purge.proxy);
            breaches.push(breach("answers", purge, evidence));
        }
        if purge.answer == PurgeAnswer::Committed && purge.replaced {
            breaches.push(breach(
                "fence",
                purge,
                format!("p{} knew that it was replaced", purge.proxy),
            ));
        }
    }
    breaches
}

/// The triggers that are in no answer are the same at all: a proxy that died before its answer may have made them, and
/// then all know.
fn judge_unknown_triggers(record: &CommitRecord) -> Vec<Breach> {
    let known: BTreeSet<&String> = record
        .purges
        .iter()
        .filter_map(|purge| purge.trigger.as_ref())
        .collect();
    let unknown = |state: &FinalState| -> BTreeSet<String> {
        state
            .triggers
            .iter()
            .filter(|trigger| !known.contains(trigger))
            .cloned()
            .collect()
    };
    let [first, rest @ ..] = record.final_states.as_slice() else {
        return Vec::new();
    };
    let differing = rest.iter().filter(|state| unknown(state) != unknown(first));
    let evidence = |state: &FinalState| {
        format!(
            "p{} and p{} list different triggers",
            first.proxy, state.proxy
        )
    };
    differing
        .map(|state| breach_at_end("statuses", evidence(state)))
        .collect()
}

/// No commit is under-replicated.
fn judge_replication(record: &CommitRecord) -> Vec<Breach> {
    let under_replicated = record
        .final_states
        .iter()
        .filter(|state| state.under_replicated > 0);
    let evidence = |state: &FinalState| {
        format!(
            "p{} has {} commits with fewer replicas than wanted",
            state.proxy, state.under_replicated
        )
    };
    under_replicated
        .map(|state| breach_at_end("copies", evidence(state)))
        .collect()
}
