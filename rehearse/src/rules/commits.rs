//! Checks the replication of purges between proxies. The record consists of the purges that peer CDNs requested, the
//! answers, and the final state of each proxy.

use super::Breach;
use crate::record::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Names and descriptions of the rules.
pub const COMMIT_RULES: [(&str, &str); 6] = [
    (
        "promises",
        "a committed purge is enforced at every proxy in the end, whichever machine was lost",
    ),
    (
        "agreement",
        "a purge is enforced at all proxies in the end, or at none",
    ),
    (
        "statuses",
        "the status of a committed trigger is known to every proxy, and all list the same",
    ),
    (
        "answers",
        "a running proxy answers each peer CDN with a commit or a rejection before the timeout",
    ),
    (
        "fence",
        "a process that knows that it was replaced commits nothing",
    ),
    ("copies", "in the end no commit is under-replicated"),
];

/// The answer to a peer CDN's purge request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PurgeAnswer {
    /// The purge is committed.
    Committed,
    /// The purge is rejected.
    Rejected,
    /// The proxy stopped before it answered.
    None,
}

/// A purge request that a peer CDN sent to a proxy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PurgeRequest {
    /// The time at which the request was sent.
    pub sent_at: Micros,
    /// The time of the answer, or of the end of the connection if there was no answer.
    pub answered_at: Micros,
    /// The index of the proxy in the fleet.
    pub proxy: usize,
    /// The purged object.
    pub object: String,
    /// The path of the trigger's status, if the purge was committed.
    pub trigger: Option<String>,
    /// The outcome that the peer CDN received.
    pub answer: PurgeAnswer,
    /// The test stops the proxy during the request, so a missing answer breaks no rule.
    pub excused: bool,
    /// The proxy process already knew that a newer process had replaced it, so it must not commit the purge.
    pub replaced: bool,
}

/// The state of a proxy at the end of a test run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinalState {
    /// The index of the proxy in the fleet.
    pub proxy: usize,
    /// The objects whose purges are in force at the proxy.
    pub objects: BTreeSet<String>,
    /// Whether the proxy treats copies of every object as purged, so that `objects` contains all objects. A proxy does so
    /// if purges that it accepted may be missing.
    pub treats_all_as_purged: bool,
    /// The status paths of the triggers that the proxy lists.
    pub triggers: BTreeSet<String>,
    /// The number of the proxy's commits that have fewer replicas than the replication factor.
    pub under_replicated: usize,
}

/// The purge requests of a test run and the final states of its proxies, from which the rules are checked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CommitRecord {
    /// All requested purges, in the order in which they were sent.
    pub purges: Vec<PurgeRequest>,
    /// The final state of each proxy that runs.
    pub final_states: Vec<FinalState>,
    /// The time limit for the answer to a purge request.
    pub timeout_us: Micros,
    /// The delay that the test harness itself may add to the time of an answer.
    pub tolerance_us: Micros,
}

/// Returns all breaches in a record.
pub fn judge(record: &CommitRecord) -> Vec<Breach> {
    let mut breaches = judge_objects(record);
    breaches.extend(judge_listed_triggers(record));
    breaches.extend(judge_answers(record));
    breaches.extend(judge_unknown_triggers(record));
    breaches.extend(judge_replication(record));
    breaches
}

fn breach(rule: &'static str, purge: &PurgeRequest, evidence: String) -> Breach {
    Breach {
        rule,
        request: Some(purge.object.clone()),
        target: None,
        at: purge.answered_at,
        evidence,
    }
}

/// Returns a breach that was found in the final states and belongs to no particular request.
fn breach_at_end(rule: &'static str, evidence: String) -> Breach {
    Breach {
        rule,
        request: None,
        target: None,
        at: 0,
        evidence,
    }
}

/// Checks that each committed purge is in force at all proxies, and each other purge either at all proxies or at none.
fn judge_objects(record: &CommitRecord) -> Vec<Breach> {
    // An object that is purged several times counts as committed if any of its purges was committed.
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
            "committed by p{} and not enforced at {lacking:?}",
            committed.proxy
        );
        return Some(breach("promises", committed, evidence));
    }
    let has_purge =
        |state: &FinalState| !state.treats_all_as_purged && state.objects.contains(object);
    let is_divided = record.final_states.iter().any(has_purge);
    is_divided.then(|| {
        breach(
            "agreement",
            purges[0],
            format!("enforced at some proxies and not at {lacking:?}"),
        )
    })
}

/// Checks that the trigger of each committed purge is listed by all proxies.
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

/// Checks that each answer arrives within the time limit and that a process does not commit purges once it knows that a
/// newer process has replaced it.
fn judge_answers(record: &CommitRecord) -> Vec<Breach> {
    let mut breaches = Vec::new();
    let max_us = record.timeout_us + record.tolerance_us;
    for purge in &record.purges {
        let took_us = purge.answered_at.saturating_sub(purge.sent_at);
        if purge.answer == PurgeAnswer::None && !purge.excused {
            breaches.push(breach(
                "answers",
                purge,
                format!("p{} was running and gave no answer", purge.proxy),
            ));
        } else if purge.answer != PurgeAnswer::None && took_us > max_us && !purge.excused {
            let evidence = format!("p{} took {took_us} us, limit {max_us} us", purge.proxy);
            breaches.push(breach("answers", purge, evidence));
        }
        if purge.answer == PurgeAnswer::Committed && purge.replaced {
            breaches.push(breach(
                "fence",
                purge,
                format!(
                    "p{} committed although it knew that it was replaced",
                    purge.proxy
                ),
            ));
        }
    }
    breaches
}

/// Checks that triggers that no answer named, for example of a proxy that crashed before it answered, are listed either
/// by all proxies or by none.
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

fn judge_replication(record: &CommitRecord) -> Vec<Breach> {
    let under_replicated = record
        .final_states
        .iter()
        .filter(|state| state.under_replicated > 0);
    let evidence = |state: &FinalState| {
        format!(
            "p{} has {} commits below the replication factor",
            state.proxy, state.under_replicated
        )
    };
    under_replicated
        .map(|state| breach_at_end("copies", evidence(state)))
        .collect()
}
