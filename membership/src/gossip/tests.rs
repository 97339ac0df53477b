//! How often and in which order updates are passed on.

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
fn each_update_goes_a_bounded_number_of_times_and_the_receivers_own_first() {
    let mut gossip = Gossip::default();
    (1..=20).for_each(|id| gossip.add(update(id, 0)));
    assert_eq!(gossip.take(3, 16, Some(17))[0].id, 17);
    let mut sent = BTreeMap::new();
    for _ in 0..1_000 {
        gossip
            .take(5, 16, None)
            .iter()
            .for_each(|a| *sent.entry(a.id).or_insert(0) += 1);
    }
    assert_eq!(gossip.updates.len(), 0);
    assert!(sent.values().all(|n| (17..=20).contains(n)), "{sent:?}");
    gossip.add(update(3, 0));
    gossip.add(update(3, 1));
    assert_eq!(
        gossip.take(5, 16, None),
        [update(3, 1)],
        "the later one alone"
    );
}
