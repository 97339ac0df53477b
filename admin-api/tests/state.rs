//! What calls change, and what follows from it.

use linnetknot_admin_api::state::{OperatorState, IDLE_SWEEP_INTERVAL_US};
use linnetknot_admin_api::{AdminController, Call, CallOutcome, DrainState, Effect};

fn known(id: &str) -> bool {
    id.starts_with("pc")
}

#[test]
fn two_calls_out_need_one_call_back_and_strangers_get_a_no() {
    let mut ops = AdminController::new(OperatorState::default(), 0);
    let CallOutcome { reply, effect } =
        ops.handle_call(1, Call::Offline("pc1".into()), known, true);
    assert_eq!(
        (reply.status, effect),
        (200, Some(Effect::Ban("pc1".into())))
    );
    let CallOutcome { reply, effect } =
        ops.handle_call(2, Call::Offline("pc1".into()), known, true);
    assert_eq!(
        (reply.status, effect),
        (200, None),
        "the second call out changes nothing"
    );
    assert!(ops.is_banned("pc1"));
    let CallOutcome { reply, effect } = ops.handle_call(3, Call::Online("pc1".into()), known, true);
    assert_eq!(
        (reply.status, effect),
        (200, Some(Effect::Unban("pc1".into())))
    );
    assert!(!ops.is_banned("pc1"), "one call back lifts it");
    assert_eq!(
        ops.handle_call(4, Call::Offline("box9".into()), known, true)
            .reply
            .status,
        404
    );
    assert_eq!(
        ops.handle_call(4, Call::Online("box9".into()), known, true)
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
    let mut ops = AdminController::new(OperatorState::default(), 0);
    ops.handle_call(1, Call::Offline("pc1".into()), known, true);
    let nobody = |_: &str| false;
    assert_eq!(
        ops.handle_call(2, Call::Offline("pc1".into()), nobody, true)
            .reply
            .status,
        200
    );
    assert_eq!(
        ops.handle_call(3, Call::Online("pc1".into()), nobody, true)
            .reply
            .status,
        200,
        "the ban is lifted"
    );
}

#[test]
fn a_drain_says_no_sweeps_and_ends_with_in_service() {
    let mut ops = AdminController::new(OperatorState::default(), 0);
    assert_eq!(
        ops.handle_call(1, Call::Ready, known, false).reply.status,
        503,
        "no list yet"
    );
    assert_eq!(
        ops.handle_call(1, Call::Ready, known, true).reply.status,
        200
    );
    assert_eq!(ops.next_idle_sweep(1), None);
    assert_eq!(
        ops.handle_call(10, Call::OutOfService, known, true).effect,
        Some(Effect::Drain)
    );
    assert_eq!(
        ops.handle_call(11, Call::Ready, known, true).reply.status,
        503
    );
    assert_eq!(ops.drain_state(), DrainState::Draining(10));
    assert_eq!(ops.next_idle_sweep(10), Some(10 + IDLE_SWEEP_INTERVAL_US));
    assert!(ops.state().out_of_service);
    assert_eq!(
        ops.handle_call(12, Call::OutOfService, known, true).effect,
        None
    );
    assert_eq!(
        ops.handle_call(20, Call::InService, known, true).effect,
        Some(Effect::Resume)
    );
    assert_eq!(
        ops.handle_call(21, Call::Ready, known, true).reply.status,
        200
    );
    let kept = OperatorState {
        out_of_service: true,
        ..OperatorState::default()
    };
    assert_eq!(
        AdminController::new(kept, 5).drain_state(),
        DrainState::Draining(5),
        "a drain carries over an upgrade"
    );
}
