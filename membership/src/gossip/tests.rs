//! Tests of the order in which updates are sent, and of how often.

use super::*;
use crate::{Claim, MemberState};

fn update(id: Id, incarnation: u32) -> Update {
    Update {
        id,
        observer: 1,
        claim: Claim {
            process: 1,
            incarnation,
            state: MemberState::Suspect,
        },
    }
}

#[test]
fn updates_are_sent_a_bounded_number_of_times_and_those_about_the_receiver_first() {
    let mut gossip = Gossip::default();
    (1..=20).for_each(|id| gossip.add(update(id, 0)));
    assert_eq!(gossip.take(3, 16, Some(17))[0].id, 17);
    let mut times_sent = BTreeMap::new();
    for _ in 0..1_000 {
        gossip
            .take(5, 16, None)
            .iter()
            .for_each(|update| *times_sent.entry(update.id).or_insert(0) += 1);
    }
    assert_eq!(gossip.updates.len(), 0);
    assert!(
        times_sent.values().all(|n| (17..=20).contains(n)),
        "{times_sent:?}"
    );
    gossip.add(update(3, 0));
    gossip.add(update(3, 1));
    assert_eq!(
        gossip.take(5, 16, None),
        [update(3, 1)],
        "a later update replaces an earlier one"
    );
}
