//! Bounds: that they fit the machines they are made for, and each other.

use linnetknot_daemon::limits::{ClientState, Limits};
use linnetknot_harness::settings;

#[test]
fn bounds_fit_the_least_machine_and_the_largest_and_a_flood_leaves_room() {
    for (descriptors, memory_mb) in [(256, 32), (1024, 192)] {
        let limits = Limits::for_machine(descriptors, memory_mb);
        // Boxes, with parents, the origin and some that go, and the bus.
        assert!(
            limits.max_connections - limits.max_client_connections >= 64
                && limits.max_connections < descriptors
        );
        assert!(
            limits.max_client_connections >= descriptors / 3,
            "what the front's web servers may hold"
        );
        assert!(limits.max_total_body_bytes + limits.max_pending_response_bytes <= memory_mb << 19);
        let whole = limits.max_requests_per_client;
        assert!(limits.admits(whole, false) && !limits.admits(whole + 1, false));
        assert!(limits.admits(1, true) && !limits.admits(whole, true));
        assert!(
            limits.admin_input_buffer_bytes > linnetknot_admin_api::admin::MAX_HEAD_BYTES,
            "the admin listener reads its longest head whole"
        );
        assert!(limits.drain_accept_us + 2_000_000 < 4_000_000);
        assert!(
            limits.shutdown_linger_us < 3_700_000,
            "SIGKILL may come then"
        );
    }
}

#[test]
fn who_holds_a_place_for_nothing_leaves_and_who_is_owed_an_answer_does_not() {
    let limits = Limits::for_machine(256, 32);
    let at = |state, owed| limits.close_at(state, owed, 7);
    assert_eq!(at(ClientState::Busy, 1), None);
    assert_eq!(
        at(ClientState::Busy, 0),
        Some(7 + limits.client_write_timeout_us),
        "it takes no answer"
    );
    // What is owed within three seconds of connecting, and what usual clients end by themselves after four.
    assert!([ClientState::Silent, ClientState::Partial]
        .iter()
        .all(|s| at(*s, 0) < Some(7 + 3_000_000)));
    assert!(at(ClientState::Idle, 0) > Some(7 + 4_000_000));
    assert!(
        ClientState::Lingering < ClientState::Silent,
        "the first to make room"
    );
    assert!(ClientState::Silent < ClientState::Partial && ClientState::Partial < ClientState::Idle);
}

/// Figures of the site go before our own: SIGKILL may come 0.7 s after the longest deadline, and a request may be given up
/// sooner than our own wait for a connection.
#[test]
fn what_follows_from_the_settings_is_taken_from_them() {
    let mut site = linnetknot_settings::parse_settings(settings().as_object().unwrap()).unwrap();
    let machine = || Limits::for_machine(1024, 192);
    for (longest, ends) in [
        (900_000, 1_600_000),
        (2_500_000, 3_200_000),
        (60_000_000, 3_700_000),
    ] {
        site.classes
            .iter_mut()
            .for_each(|c| c.deadline_us = longest);
        let limits = machine().for_site(&site, 0, 0);
        assert!(
            limits.shutdown_linger_us < ends && limits.shutdown_linger_us + 400_000 > ends,
            "{longest}"
        );
    }
    let limits = machine().for_site(&site, 250_000, 6_000_000);
    assert_eq!(
        (limits.connect_timeout_us, limits.connect_abort_us),
        (250_000, 2_000_000)
    );
    assert!(limits.cache_idle_timeout_us > 5_000_000 && limits.cache_idle_timeout_us < 6_000_000);
    let slow = machine().for_site(&site, 5_000_000, 0);
    assert!(slow.connect_abort_us >= slow.connect_timeout_us && slow.cache_idle_timeout_us == 0);
    site.max_retry_after_us = 0;
    assert_eq!(machine().for_site(&site, 0, 0).overload_retry_after_us, 0);
}
