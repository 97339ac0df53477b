//! What calls change, and what follows from it.

use linnetknot_admin_api::state::{OperatorState, SWEEP_US};
use linnetknot_admin_api::{Call, Drain, Effect, Operations, Outcome};

fn known(id: &str) -> bool {
    id.starts_with("pc")
}

#[test]
fn two_calls_out_need_one_call_back_and_strangers_get_a_no() {
    let mut ops = Operations::new(OperatorState::default(), 0);
    let Outcome { reply, effect } = ops.call(1, Call::Offline("pc1".into()), known, true);
    assert_eq!(
        (reply.status, effect),
        (200, Some(Effect::Ban("pc1".into())))
    );
    let Outcome { reply, effect } = ops.call(2, Call::Offline("pc1".into()), known, true);
    assert_eq!(
        (reply.status, effect),
        (200, None),
        "the second call out changes nothing"
    );
    assert!(ops.is_banned("pc1"));
    let Outcome { reply, effect } = ops.call(3, Call::Online("pc1".into()), known, true);
    assert_eq!(
        (reply.status, effect),
        (200, Some(Effect::Unban("pc1".into())))
    );
    assert!(!ops.is_banned("pc1"), "one call back lifts it");
    assert_eq!(
        ops.call(4, Call::Offline("box9".into()), known, true)
            .reply
            .status,
        404
    );
    assert_eq!(
        ops.call(4, Call::Online("box9".into()), known, true)
            .reply
            .status,
        404
    );
    assert_eq!(
        ops.state().sequence,
        2,
        "each change, and only a change, is counted"
    );
}

#[test]
fn a_ban_outlives_the_pop_cache_leaving_every_list() {
    let mut ops = Operations::new(OperatorState::default(), 0);
    ops.call(1, Call::Offline("pc1".into()), known, true);
    let nobody = |_: &str| false;
    assert_eq!(
        ops.call(2, Call::Offline("pc1".into()), nobody, true)
            .reply
            .status,
        200
    );
    assert_eq!(
        ops.call(3, Call::Online("pc1".into()), nobody, true)
            .reply
            .status,
        200,
        "the ban is lifted"
    );
}

#[test]
fn a_drain_says_no_sweeps_and_ends_with_in_service() {
    let mut ops = Operations::new(OperatorState::default(), 0);
    assert_eq!(
        ops.call(1, Call::Ready, known, false).reply.status,
        503,
        "no list yet"
    );
    assert_eq!(ops.call(1, Call::Ready, known, true).reply.status, 200);
    assert_eq!(ops.next_sweep(1), None);
    assert_eq!(
        ops.call(10, Call::OutOfService, known, true).effect,
        Some(Effect::Drain)
    );
    assert_eq!(ops.call(11, Call::Ready, known, true).reply.status, 503);
    assert_eq!(ops.drain(), Drain::Draining(10));
    assert_eq!(ops.next_sweep(10), Some(10 + SWEEP_US));
    assert!(ops.state().out_of_service);
    assert_eq!(ops.call(12, Call::OutOfService, known, true).effect, None);
    assert_eq!(
        ops.call(20, Call::InService, known, true).effect,
        Some(Effect::Resume)
    );
    assert_eq!(ops.call(21, Call::Ready, known, true).reply.status, 200);
    let kept = OperatorState {
        out_of_service: true,
        ..OperatorState::default()
    };
    assert_eq!(
        Operations::new(kept, 5).drain(),
        Drain::Draining(5),
        "a drain carries over an upgrade"
    );
}
