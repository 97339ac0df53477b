//! The rules of commits between proxies, from records alone.

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
        under_replicated: 0,
    }
}

/// A play whose first purge was committed, whose second was rejected, and whose third died with its proxy.
fn sound() -> CommitRecord {
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

/// What these purges and final states break.
fn broken(purges: Vec<PurgeRequest>, final_states: Vec<FinalState>) -> Vec<Breach> {
    judge(&CommitRecord {
        purges,
        final_states,
        ..sound()
    })
}

/// The rules that they break.
fn rules(purges: Vec<PurgeRequest>, final_states: Vec<FinalState>) -> Vec<&'static str> {
    let breaches = broken(purges, final_states);
    breaches.iter().map(|breach| breach.rule).collect()
}

#[test]
fn each_rule_is_broken_by_its_own_cause_and_a_sound_play_by_none() {
    assert_eq!(judge(&sound()), []);
    let committed = purge("a", PurgeAnswer::Committed);
    let rejected = purge("b", PurgeAnswer::Rejected);
    let unanswered = purge("c", PurgeAnswer::None);
    let one = vec![state(0, &["a"]), state(1, &[])];
    assert_eq!(rules(vec![committed.clone()], one), ["promises"]);
    let nowhere = vec![state(0, &[]), state(1, &[])];
    assert_eq!(rules(vec![committed.clone()], nowhere), ["promises"]);
    let divided = vec![state(0, &["b"]), state(1, &[])];
    assert_eq!(rules(vec![rejected], divided), ["agreement"]);
    let empty = vec![state(0, &[])];
    assert_eq!(rules(vec![unanswered], empty), ["answers"]);
    let late = PurgeRequest {
        answered_at: 21,
        ..committed.clone()
    };
    assert_eq!(rules(vec![late], vec![state(0, &["a"])]), ["answers"]);
    let replaced = PurgeRequest {
        replaced: true,
        ..committed.clone()
    };
    assert_eq!(rules(vec![replaced], vec![state(0, &["a"])]), ["fence"]);
    let under_replicated = FinalState {
        under_replicated: 2,
        ..state(0, &[])
    };
    assert_eq!(rules(vec![], vec![under_replicated]), ["copies"]);
}

#[test]
fn triggers_that_differ_between_proxies_break_the_rule_of_statuses() {
    let committed = purge("a", PurgeAnswer::Committed);
    let without = FinalState {
        triggers: BTreeSet::new(),
        ..state(1, &["a"])
    };
    let states = vec![state(0, &["a"]), without.clone()];
    assert_eq!(rules(vec![committed], states), ["statuses"]);
    assert_eq!(rules(vec![], vec![state(0, &[]), without]), ["statuses"]);
}

#[test]
fn each_breach_names_a_rule_that_is_listed() {
    let is_listed = |b: &Breach| COMMIT_RULES.iter().any(|(name, _)| *name == b.rule);
    let breaches = broken(
        vec![purge("a", PurgeAnswer::Committed)],
        vec![state(0, &[])],
    );
    assert!(!breaches.is_empty() && breaches.iter().all(is_listed));
}
