//! Promises between proxies, judged from a record alone: what neighbours told, what they were answered, and what each
//! proxy held in the end.

use super::Breach;
use crate::record::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// The rules, by name.
pub const PROMISES: [(&str, &str); 6] = [
    ("promises", "what was answered yes is held by every proxy in the end, whatever machine was lost"),
    ("agreement", "what was told is held by all proxies in the end, or by none"),
    (
        "statuses",
        "the status of a trigger that was answered yes is told by every proxy, and all list the same",
    ),
    ("answers", "a proxy that lives answers each neighbour, yes or no, within the time for it"),
    ("fence", "a process that was replaced and knows it answers no yes"),
    ("copies", "in the end no promise has fewer copies than wanted"),
];

/// What a neighbour was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It is promised.
    Yes,
    /// It is not.
    No,
    /// Nothing: the proxy died over it.
    Nothing,
}

/// What a neighbour told one proxy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Told {
    /// When.
    pub at: Micros,
    /// When it was answered, or given up.
    pub answered: Micros,
    /// Which proxy.
    pub proxy: usize,
    /// What was purged.
    pub object: String,
    /// The path of its status, where it was answered yes.
    pub trigger: Option<String>,
    /// What it said.
    pub answer: Answer,
    /// The proxy was to die, or to stand still, over this: it owes no answer.
    pub excused: bool,
    /// The process knew before that another had taken its name.
    pub replaced: bool,
}

/// What a proxy held in the end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// Which proxy.
    pub proxy: usize,
    /// What it asks its boxes for no older copy of.
    pub objects: BTreeSet<String>,
    /// The triggers that it lists, by the paths of their status.
    pub triggers: BTreeSet<String>,
    /// Its promises with fewer copies than wanted.
    pub short: usize,
}

/// A play's record.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Promises {
    /// In the order in which they were told.
    pub told: Vec<Told>,
    /// By proxy.
    pub held: Vec<Held>,
    /// How long an answer may take.
    pub within_us: Micros,
    /// How late the kit itself may be.
    pub late_us: Micros,
}

/// Every breach in a record.
pub fn judge(record: &Promises) -> Vec<Breach> {
    let mut breaches = judge_objects(record);
    breaches.extend(judge_listed_triggers(record));
    breaches.extend(judge_answers(record));
    breaches.extend(judge_unknown_triggers(record));
    breaches.extend(judge_copies(record));
    breaches
}

/// A breach over what a neighbour told.
fn breach(rule: &'static str, told: &Told, evidence: String) -> Breach {
    Breach {
        rule,
        request: Some(told.object.clone()),
        target: None,
        at: told.answered,
        evidence,
    }
}

/// A breach that is seen in what proxies held in the end.
fn breach_at_end(rule: &'static str, evidence: String) -> Breach {
    Breach {
        rule,
        request: None,
        target: None,
        at: 0,
        evidence,
    }
}

/// What was answered yes is held by all, anything else by all or by none.
fn judge_objects(record: &Promises) -> Vec<Breach> {
    // One object may be told several times: a yes to any of them counts.
    let mut by_object: BTreeMap<&str, Vec<&Told>> = BTreeMap::new();
    record
        .told
        .iter()
        .for_each(|told| by_object.entry(&told.object).or_default().push(told));
    by_object
        .into_iter()
        .filter_map(|(object, told)| judge_object(record, object, &told))
        .collect()
}

fn judge_object(record: &Promises, object: &str, told: &[&Told]) -> Option<Breach> {
    let without = |held: &&Held| !held.objects.contains(object);
    let lacking: Vec<usize> = record
        .held
        .iter()
        .filter(without)
        .map(|held| held.proxy)
        .collect();
    if lacking.is_empty() {
        return None;
    }
    if let Some(yes) = told.iter().find(|t| t.answer == Answer::Yes) {
        let evidence = format!("answered yes by p{} and not held by {lacking:?}", yes.proxy);
        return Some(breach("promises", yes, evidence));
    }
    let is_divided = lacking.len() < record.held.len();
    is_divided.then(|| {
        breach(
            "agreement",
            told[0],
            format!("not held by {lacking:?}, and by the others"),
        )
    })
}

/// The trigger of each yes is listed by all.
fn judge_listed_triggers(record: &Promises) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for told in &record.told {
        let Some(trigger) = &told.trigger else {
            continue;
        };
        if let Some(held) = record
            .held
            .iter()
            .find(|held| !held.triggers.contains(trigger))
        {
            let evidence = format!(
                "answered yes by p{} and not listed by p{}",
                told.proxy, held.proxy
            );
            breaches.push(breach("statuses", told, evidence));
        }
    }
    breaches
}

/// Each answer comes in time, and none of a process that knew that it was replaced is yes.
fn judge_answers(record: &Promises) -> Vec<Breach> {
    let mut breaches = Vec::new();
    let max_us = record.within_us + record.late_us;
    for told in &record.told {
        let took_us = told.answered.saturating_sub(told.at);
        if told.answer == Answer::Nothing && !told.excused {
            breaches.push(breach(
                "answers",
                told,
                format!("p{} lived and answered nothing", told.proxy),
            ));
        } else if told.answer != Answer::Nothing && took_us > max_us && !told.excused {
            let evidence = format!("p{} took {took_us} us of {max_us}", told.proxy);
            breaches.push(breach("answers", told, evidence));
        }
        if told.answer == Answer::Yes && told.replaced {
            breaches.push(breach(
                "fence",
                told,
                format!("p{} knew that it was replaced", told.proxy),
            ));
        }
    }
    breaches
}

/// The triggers that nobody was answered yes of are the same at all: a proxy that died over its answer may have made
/// them, and then all know.
fn judge_unknown_triggers(record: &Promises) -> Vec<Breach> {
    let known: BTreeSet<&String> = record
        .told
        .iter()
        .filter_map(|told| told.trigger.as_ref())
        .collect();
    let unknown = |held: &Held| -> BTreeSet<String> {
        held.triggers
            .iter()
            .filter(|trigger| !known.contains(trigger))
            .cloned()
            .collect()
    };
    let [first, rest @ ..] = record.held.as_slice() else {
        return Vec::new();
    };
    let differing = rest.iter().filter(|held| unknown(held) != unknown(first));
    let evidence = |held: &Held| {
        format!(
            "p{} and p{} list different triggers",
            first.proxy, held.proxy
        )
    };
    differing
        .map(|held| breach_at_end("statuses", evidence(held)))
        .collect()
}

/// No promise has fewer copies than wanted.
fn judge_copies(record: &Promises) -> Vec<Breach> {
    let short = record.held.iter().filter(|held| held.short > 0);
    let evidence = |held: &Held| {
        format!(
            "p{} has {} promises with fewer copies than wanted",
            held.proxy, held.short
        )
    };
    short
        .map(|held| breach_at_end("copies", evidence(held)))
        .collect()
}
