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

fn state(sequence: u64, bans: &[&str], out_of_service: bool) -> OperatorState {
    OperatorState {
        sequence,
        bans: bans.iter().map(|id| (*id).to_owned()).collect(),
        out_of_service,
        ..OperatorState::default()
    }
}

/// Both processes of an upgrade accept calls. The merged state contains those of both.
#[test]
fn merged_states_contain_the_changes_of_both_processes() {
    let base = state(5, &["a", "b"], false);
    // This process has lifted the ban of a and set that of c; the other one that of b and d.
    let own = state(7, &["b", "c"], false);
    let stored = state(8, &["a", "d"], true);
    let merged = state(8, &["c", "d"], true);
    assert_eq!(own.merge(&base, &stored), merged);
    assert_eq!(stored.merge(&base, &own), merged);
    // Without changes of this process the stored state applies, and the other way round.
    assert_eq!(base.merge(&base, &stored), stored);
    assert_eq!(own.merge(&base, &base), own);
}

#[test]
fn adopting_a_state_returns_the_actions_for_its_changes() {
    let mut controller = AdminController::new(state(5, &["a", "b"], false), 0);
    let adopted = state(9, &["b", "c"], true);
    assert_eq!(
        controller.adopt(77, adopted.clone()),
        [
            Effect::Ban("c".into()),
            Effect::Unban("a".into()),
            Effect::Drain
        ]
    );
    assert_eq!(controller.state(), &adopted);
    assert_eq!(controller.drain_state(), DrainState::Draining(77));
    assert_eq!(controller.adopt(78, adopted), []);
    assert_eq!(
        controller.adopt(79, state(10, &["b", "c"], false)),
        [Effect::Resume]
    );
}
