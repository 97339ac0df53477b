//! The rules of what proxies promise each other, from records alone.

use linnetknot_rehearse::rules::promises::{judge, Answer, Held, Promises, Told, PROMISES};
use linnetknot_rehearse::rules::Breach;
use std::collections::BTreeSet;

fn told(object: &str, answer: Answer) -> Told {
    let object = object.to_owned();
    let trigger = (answer == Answer::Yes).then(|| format!("/{object}"));
    Told {
        at: 10,
        answered: 20,
        proxy: 0,
        object,
        trigger,
        answer,
        excused: false,
        replaced: false,
    }
}

fn held(proxy: usize, objects: &[&str]) -> Held {
    let objects: BTreeSet<String> = objects.iter().map(|o| (*o).to_owned()).collect();
    Held {
        proxy,
        triggers: ["/a".to_owned()].into(),
        objects,
        short: 0,
    }
}

fn rules(record: &Promises) -> Vec<&'static str> {
    judge(record).iter().map(|b| b.rule).collect()
}

#[test]
fn each_rule_is_broken_by_its_own_cause_and_a_sound_play_by_none() {
    let (yes, no, none) = (
        told("a", Answer::Yes),
        told("b", Answer::No),
        told("c", Answer::Nothing),
    );
    let excused = Told {
        excused: true,
        ..none.clone()
    };
    let sound = Promises {
        told: vec![yes.clone(), no.clone(), excused],
        held: vec![held(0, &["a", "c"]), held(1, &["a", "c"])],
        within_us: 10,
        late_us: 0,
    };
    assert_eq!(judge(&sound), []);
    let with = |told: Vec<Told>, held: Vec<Held>| Promises {
        told,
        held,
        ..sound.clone()
    };
    assert_eq!(
        rules(&with(
            vec![yes.clone()],
            vec![held(0, &["a"]), held(1, &[])]
        )),
        ["promises"]
    );
    assert_eq!(
        rules(&with(vec![yes.clone()], vec![held(0, &[]), held(1, &[])])),
        ["promises"]
    );
    assert_eq!(
        rules(&with(vec![no], vec![held(0, &["b"]), held(1, &[])])),
        ["agreement"]
    );
    assert_eq!(rules(&with(vec![none], vec![held(0, &[])])), ["answers"]);
    let late = Told {
        answered: 21,
        ..yes.clone()
    };
    assert_eq!(rules(&with(vec![late], vec![held(0, &["a"])])), ["answers"]);
    let old = Told {
        replaced: true,
        ..yes
    };
    assert_eq!(rules(&with(vec![old], vec![held(0, &["a"])])), ["fence"]);
    assert_eq!(
        rules(&with(
            vec![],
            vec![Held {
                short: 2,
                ..held(0, &[])
            }]
        )),
        ["copies"]
    );
    let without = Held {
        triggers: BTreeSet::new(),
        ..held(1, &["a"])
    };
    assert_eq!(
        rules(&with(
            vec![told("a", Answer::Yes)],
            vec![held(0, &["a"]), without.clone()]
        )),
        ["statuses"]
    );
    assert_eq!(
        rules(&with(vec![], vec![held(0, &[]), without])),
        ["statuses"]
    );
    let named = |b: &Breach| PROMISES.iter().any(|(name, _)| *name == b.rule);
    assert!(
        judge(&with(vec![told("a", Answer::Yes)], vec![held(0, &[])]))
            .iter()
            .all(named)
    );
}
