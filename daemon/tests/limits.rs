//! Tests that the limits fit the supported machines and are consistent with each other.

use linnetknot_daemon::limits::{ClientState, Limits};
use linnetknot_harness::settings;

#[test]
fn limits_fit_the_smallest_and_largest_machines_and_reserve_capacity() {
    for (descriptors, memory_mb) in [(256, 32), (1024, 192)] {
        let limits = Limits::for_machine(descriptors, memory_mb);
        // Connections reserved for caches, parents, the origin, the event bus and connections that are being closed.
        assert!(
            limits.max_connections - limits.max_client_connections >= 64
                && limits.max_connections < descriptors
        );
        assert!(
            limits.max_client_connections >= descriptors / 3,
            "connections that the web servers may hold"
        );
        assert!(limits.max_total_body_bytes + limits.max_pending_response_bytes <= memory_mb << 19);
        let max_requests = limits.max_requests_per_client;
        assert!(limits.admits(max_requests, false) && !limits.admits(max_requests + 1, false));
        assert!(limits.admits(1, true) && !limits.admits(max_requests, true));
        assert!(
            limits.admin_input_buffer_bytes > linnetknot_admin_api::admin::MAX_HEAD_BYTES,
            "the input buffer holds the longest request head"
        );
        assert!(limits.drain_accept_us + 2_000_000 < 4_000_000);
        assert!(
            limits.shutdown_linger_us < 3_700_000,
            "the shutdown must end before SIGKILL"
        );
    }
}

#[test]
fn idle_clients_are_closed_and_clients_with_pending_responses_are_not() {
    let limits = Limits::for_machine(256, 32);
    let close_at = |state, pending_responses| limits.close_at(state, pending_responses, 7);
    assert_eq!(close_at(ClientState::Busy, 1), None);
    assert_eq!(
        close_at(ClientState::Busy, 0),
        Some(7 + limits.client_write_timeout_us),
        "the client does not read its response"
    );
    // Clients must send a request within 3 s of connecting. Usual clients close idle connections themselves after 4 s.
    assert!([ClientState::Silent, ClientState::Partial]
        .iter()
        .all(|s| close_at(*s, 0) < Some(7 + 3_000_000)));
    assert!(close_at(ClientState::Idle, 0) > Some(7 + 4_000_000));
    assert!(
        ClientState::Lingering < ClientState::Silent,
        "lingering clients are closed first"
    );
    assert!(ClientState::Silent < ClientState::Partial && ClientState::Partial < ClientState::Idle);
}

/// Settings of a site take precedence over the defaults: SIGKILL may follow 0.7 s after the longest deadline, and the
/// connect timeout of a site may be shorter than the default.
#[test]
fn timeouts_are_derived_from_the_sites_settings() {
    let mut site_settings =
        linnetknot_settings::parse_settings(settings().as_object().unwrap()).unwrap();
    let machine_limits = || Limits::for_machine(1024, 192);
    for (deadline_us, latest_us) in [
        (900_000, 1_600_000),
        (2_500_000, 3_200_000),
        (60_000_000, 3_700_000),
    ] {
        site_settings
            .classes
            .iter_mut()
            .for_each(|c| c.deadline_us = deadline_us);
        let limits = machine_limits().for_site(&site_settings, 0, 0);
        assert!(
            limits.shutdown_linger_us < latest_us
                && limits.shutdown_linger_us + 400_000 > latest_us,
            "{deadline_us}"
        );
    }
    let limits = machine_limits().for_site(&site_settings, 250_000, 6_000_000);
    assert_eq!(
        (limits.connect_timeout_us, limits.connect_abort_us),
        (250_000, 2_000_000)
    );
    assert!(limits.cache_idle_timeout_us > 5_000_000 && limits.cache_idle_timeout_us < 6_000_000);
    let slow_connect = machine_limits().for_site(&site_settings, 5_000_000, 0);
    assert!(
        slow_connect.connect_abort_us >= slow_connect.connect_timeout_us
            && slow_connect.cache_idle_timeout_us == 0
    );
    site_settings.max_retry_after_us = 0;
    assert_eq!(
        machine_limits()
            .for_site(&site_settings, 0, 0)
            .overload_retry_after_us,
        0
    );
}
