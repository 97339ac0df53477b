//! Tests of the rules on commits between proxies.

use linnetknot_rehearse::rules::commits::{
    judge, CommitRecord, FinalState, PurgeAnswer, PurgeRequest, COMMIT_RULES,
};
use linnetknot_rehearse::rules::Breach;
use std::collections::BTreeSet;

fn purge(object: &str, answer: PurgeAnswer) -> PurgeRequest {
    let object = object.to_owned();
    let trigger = (answer == PurgeAnswer::Committed).then(|| format!("/{object}"));
    PurgeRequest {
        sent_at: 10,
        answered_at: 20,
        proxy: 0,
        object,
        trigger,
        answer,
        excused: false,
        replaced: false,
    }
}

fn state(proxy: usize, objects: &[&str]) -> FinalState {
    let objects: BTreeSet<String> = objects.iter().map(|o| (*o).to_owned()).collect();
    FinalState {
        proxy,
        triggers: ["/a".to_owned()].into(),
        objects,
        treats_all_as_purged: false,
        under_replicated: 0,
    }
}

/// Returns a record with three purges: committed, rejected, and sent to a proxy that crashed before it answered.
fn valid_record() -> CommitRecord {
    let excused = PurgeRequest {
        excused: true,
        ..purge("c", PurgeAnswer::None)
    };
    CommitRecord {
        purges: vec![
            purge("a", PurgeAnswer::Committed),
            purge("b", PurgeAnswer::Rejected),
            excused,
        ],
        final_states: vec![state(0, &["a", "c"]), state(1, &["a", "c"])],
        timeout_us: 10,
        tolerance_us: 0,
    }
}

/// Returns the breaches of these purges and final states.
fn breaches_of(purges: Vec<PurgeRequest>, final_states: Vec<FinalState>) -> Vec<Breach> {
    judge(&CommitRecord {
        purges,
        final_states,
        ..valid_record()
    })
}

/// Returns the names of the rules that these purges and final states break.
fn broken_rules(purges: Vec<PurgeRequest>, final_states: Vec<FinalState>) -> Vec<&'static str> {
    let breaches = breaches_of(purges, final_states);
    breaches.iter().map(|breach| breach.rule).collect()
}

#[test]
fn each_violation_breaks_only_its_rule() {
    assert_eq!(judge(&valid_record()), []);
    let committed = purge("a", PurgeAnswer::Committed);
    let rejected = purge("b", PurgeAnswer::Rejected);
    let unanswered = purge("c", PurgeAnswer::None);
    let one = vec![state(0, &["a"]), state(1, &[])];
    assert_eq!(broken_rules(vec![committed.clone()], one), ["promises"]);
    let nowhere = vec![state(0, &[]), state(1, &[])];
    assert_eq!(broken_rules(vec![committed.clone()], nowhere), ["promises"]);
    let divided = vec![state(0, &["b"]), state(1, &[])];
    assert_eq!(broken_rules(vec![rejected], divided), ["agreement"]);
    let empty = vec![state(0, &[])];
    assert_eq!(broken_rules(vec![unanswered], empty), ["answers"]);
    let late = PurgeRequest {
        answered_at: 21,
        ..committed.clone()
    };
    assert_eq!(
        broken_rules(vec![late], vec![state(0, &["a"])]),
        ["answers"]
    );
    let replaced = PurgeRequest {
        replaced: true,
        ..committed.clone()
    };
    assert_eq!(
        broken_rules(vec![replaced], vec![state(0, &["a"])]),
        ["fence"]
    );
    let under_replicated = FinalState {
        under_replicated: 2,
        ..state(0, &[])
    };
    assert_eq!(broken_rules(vec![], vec![under_replicated]), ["copies"]);
}

/// Guards against a report that a purge which nobody received is in force at some proxies only, because one of them treats
/// every copy as purged.
#[test]
fn treating_all_copies_as_purged_is_no_evidence_of_a_single_purge() {
    let unanswered = PurgeRequest {
        excused: true,
        ..purge("c", PurgeAnswer::None)
    };
    let distrusting = FinalState {
        treats_all_as_purged: true,
        ..state(0, &["a", "c"])
    };
    let undivided = vec![distrusting.clone(), state(1, &[]), state(2, &[])];
    let no_rules: [&str; 0] = [];
    assert_eq!(broken_rules(vec![unanswered.clone()], undivided), no_rules);
    let divided = vec![distrusting.clone(), state(1, &["c"]), state(2, &[])];
    assert_eq!(broken_rules(vec![unanswered], divided), ["agreement"]);
    let committed = purge("a", PurgeAnswer::Committed);
    let lost = vec![distrusting, state(1, &[])];
    assert_eq!(broken_rules(vec![committed], lost), ["promises"]);
}

#[test]
fn differing_triggers_between_proxies_break_statuses() {
    let committed = purge("a", PurgeAnswer::Committed);
    let without = FinalState {
        triggers: BTreeSet::new(),
        ..state(1, &["a"])
    };
    let states = vec![state(0, &["a"]), without.clone()];
    assert_eq!(broken_rules(vec![committed], states), ["statuses"]);
    assert_eq!(
        broken_rules(vec![], vec![state(0, &[]), without]),
        ["statuses"]
    );
}

#[test]
fn every_breach_names_a_listed_rule() {
    let is_listed = |b: &Breach| COMMIT_RULES.iter().any(|(name, _)| *name == b.rule);
    let breaches = breaches_of(
        vec![purge("a", PurgeAnswer::Committed)],
        vec![state(0, &[])],
    );
    assert!(!breaches.is_empty() && breaches.iter().all(is_listed));
}
