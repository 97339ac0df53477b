//! The state changes and effects of calls.

use linnetknot_admin_api::state::{OperatorState, IDLE_SWEEP_INTERVAL_US};
use linnetknot_admin_api::{AdminController, Call, CallOutcome, DrainState, Effect};

fn is_known(id: &str) -> bool {
    id.starts_with("pc")
}

#[test]
fn repeated_offline_calls_need_one_online_call_and_unknown_pop_caches_are_rejected() {
    let mut controller = AdminController::new(OperatorState::default(), 0);
    let CallOutcome { reply, effect } =
        controller.handle_call(1, Call::Offline("pc1".into()), is_known, true);
    assert_eq!(
        (reply.status, effect),
        (200, Some(Effect::Ban("pc1".into())))
    );
    let CallOutcome { reply, effect } =
        controller.handle_call(2, Call::Offline("pc1".into()), is_known, true);
    assert_eq!(
        (reply.status, effect),
        (200, None),
        "a repeated offline call changes nothing"
    );
    assert!(controller.is_banned("pc1"));
    let CallOutcome { reply, effect } =
        controller.handle_call(3, Call::Online("pc1".into()), is_known, true);
    assert_eq!(
        (reply.status, effect),
        (200, Some(Effect::Unban("pc1".into())))
    );
    assert!(
        !controller.is_banned("pc1"),
        "one online call lifts the ban"
    );
    assert_eq!(
        controller
            .handle_call(4, Call::Offline("other9".into()), is_known, true)
            .reply
            .status,
        404
    );
    assert_eq!(
        controller
            .handle_call(4, Call::Online("other9".into()), is_known, true)
            .reply
            .status,
        404
    );
    assert_eq!(
        controller.state().sequence,
        2,
        "the sequence counts only changes"
    );
}

#[test]
fn a_ban_persists_while_no_source_lists_the_pop_cache() {
    let mut controller = AdminController::new(OperatorState::default(), 0);
    controller.handle_call(1, Call::Offline("pc1".into()), is_known, true);
    let none_known = |_: &str| false;
    assert_eq!(
        controller
            .handle_call(2, Call::Offline("pc1".into()), none_known, true)
            .reply
            .status,
        200
    );
    assert_eq!(
        controller
            .handle_call(3, Call::Online("pc1".into()), none_known, true)
            .reply
            .status,
        200,
        "the ban is lifted"
    );
}

#[test]
fn a_drain_fails_readiness_schedules_sweeps_and_ends_with_in_service() {
    let mut controller = AdminController::new(OperatorState::default(), 0);
    assert_eq!(
        controller
            .handle_call(1, Call::Ready, is_known, false)
            .reply
            .status,
        503,
        "there is no list yet"
    );
    assert_eq!(
        controller
            .handle_call(1, Call::Ready, is_known, true)
            .reply
            .status,
        200
    );
    assert_eq!(controller.next_idle_sweep(1), None);
    assert_eq!(
        controller
            .handle_call(10, Call::OutOfService, is_known, true)
            .effect,
        Some(Effect::Drain)
    );
    assert_eq!(
        controller
            .handle_call(11, Call::Ready, is_known, true)
            .reply
            .status,
        503
    );
    assert_eq!(controller.drain_state(), DrainState::Draining(10));
    assert_eq!(
        controller.next_idle_sweep(10),
        Some(10 + IDLE_SWEEP_INTERVAL_US)
    );
    assert!(controller.state().out_of_service);
    assert_eq!(
        controller
            .handle_call(12, Call::OutOfService, is_known, true)
            .effect,
        None
    );
    assert_eq!(
        controller
            .handle_call(20, Call::InService, is_known, true)
            .effect,
        Some(Effect::Resume)
    );
    assert_eq!(
        controller
            .handle_call(21, Call::Ready, is_known, true)
            .reply
            .status,
        200
    );
    let stored_state = OperatorState {
        out_of_service: true,
        ..OperatorState::default()
    };
    assert_eq!(
        AdminController::new(stored_state, 5).drain_state(),
        DrainState::Draining(5),
        "a drain continues after an upgrade"
    );
}
