//! Tests an upgrade: two daemon processes share an inherited listening socket, and the old one is stopped by SIGTERM
//! while clients connect. `$ROUTER_SOCKET_FD` names the descriptor; here it is standard input, which `std` can pass to a
//! child without `unsafe`.

mod upgrade_site;

use linnetknot_harness::clients::{call, WebServer};
use linnetknot_harness::fakes::cache::Behaviour;
use upgrade_site::{request_status, requests_at_first_cache, send_sigterm, Site};

#[test]
fn two_processes_share_the_inherited_socket_until_sigterm_ends_the_old_one() {
    let site = Site::new("handover");
    let client_address = site.client_address;
    let (mut old, _) = site.start();
    assert_eq!(request_status(client_address, 1), 200);
    let (mut new, _) = site.start();
    send_sigterm(&old);
    // Each client that connects while the old process exits is served by the old or the new process.
    let mut n = 2;
    let status = loop {
        assert_eq!(request_status(client_address, n), 200, "request {n}");
        n += 1;
        if let Some(status) = old.try_wait().unwrap() {
            break status;
        }
        assert!(n < 100_000, "the old process did not exit");
    };
    assert!(
        status.success(),
        "the old process exits without an error: {status}"
    );
    for m in n..n + 20 {
        assert_eq!(
            request_status(client_address, m),
            200,
            "requests are served by the new process alone"
        );
    }
    send_sigterm(&new);
    assert!(new.wait().unwrap().success());
}

/// A request that arrives at a closed socket causes a reset, which discards the unread bytes of earlier responses. The
/// daemon must therefore shut down its writing half first.
#[test]
fn a_slow_client_reads_its_complete_response_while_the_old_process_exits() {
    const BYTES: usize = 240_000;
    let site = Site::new("slow");
    let (mut old, admin) = site.start();
    site.caches.iter().for_each(|cache| {
        cache.set_behaviour(Behaviour {
            padding: BYTES,
            ..Behaviour::default()
        });
    });
    let mut slow: Vec<WebServer> = (0..4)
        .map(|n| {
            let mut web = WebServer::connect(site.client_address).unwrap();
            rustix::net::sockopt::set_socket_recv_buffer_size(web.writer().unwrap(), 32 << 10)
                .unwrap();
            web.ask(1, "photo", &format!("{n:016x}"), 2500).unwrap();
            // Once the first byte has arrived, the daemon has written as many bytes as the socket buffers accept.
            web.writer().unwrap().peek(&mut [0]).unwrap();
            web
        })
        .collect();
    let (mut new, _) = site.start();
    send_sigterm(&old);
    // Once readiness fails, the old process has handled the signal and shut down idle connections.
    while call(admin, "GET", "/control/ready", "").is_ok_and(|a| a.status == 200) {}
    for (n, web) in slow.iter_mut().enumerate() {
        web.ask(2, "photo", &format!("{:016x}", 100 + n), 2500)
            .unwrap();
    }
    for (n, web) in slow.iter_mut().enumerate() {
        let (number, answer) = web
            .end()
            .unwrap_or_else(|e| panic!("answer {n} was lost: {e}"));
        let answer = answer.expect("an answer");
        assert_eq!((number, answer.status), (1, 200));
        assert!(
            answer.body.len() >= BYTES,
            "answer {n} has {} bytes",
            answer.body.len()
        );
    }
    drop(slow);
    assert!(
        old.wait().unwrap().success(),
        "the old process exits without an error"
    );
    send_sigterm(&new);
    assert!(new.wait().unwrap().success());
}

/// A process that dies at any point while it stores a ban leaves a valid state file, with or without the ban. A ban
/// that was confirmed to the operator is in the file.
#[test]
fn a_process_that_dies_while_storing_a_ban_leaves_it_complete_or_absent() {
    for (point, holds) in [
        ("admin-keeps", Some(false)),
        ("admin-kept-once", None),
        ("admin-kept", Some(true)),
    ] {
        let site = Site::new(point);
        let (mut old, admin) = site.start_with_fail_points(&format!("{point}=die"));
        assert!(requests_at_first_cache(&site, 1) > 0);
        assert!(
            call(admin, "POST", "/control/pop-caches/s-0a/offline", "").is_err(),
            "{point}: the process died"
        );
        assert!(!old.wait().unwrap().success());
        let (mut next, admin) = site.start();
        let banned = requests_at_first_cache(&site, 100) == 0;
        assert!(
            holds.is_none_or(|holds| holds == banned),
            "{point}: {banned}"
        );
        // A ban that the next process confirms persists after a kill.
        assert_eq!(
            call(admin, "POST", "/control/pop-caches/s-0a/offline", "")
                .unwrap()
                .status,
            200
        );
        next.kill().unwrap();
        next.wait().unwrap();
        let (mut last, _) = site.start();
        assert_eq!(requests_at_first_cache(&site, 200), 0, "{point}");
        send_sigterm(&last);
        assert!(last.wait().unwrap().success());
    }
}

#[test]
fn a_ban_that_cannot_be_stored_is_rejected_and_not_applied() {
    let site = Site::new("full");
    let (mut only, admin) = site.start();
    // Non-empty folders in place of the two state files make each replacement fail.
    let files: Vec<_> = linnetknot_admin_api::store::copy_paths(&site.folder)
        .into_iter()
        .collect();
    for file in &files {
        let _ = std::fs::remove_file(file);
        std::fs::create_dir_all(file.join("in the way")).unwrap();
    }
    assert_eq!(
        call(admin, "POST", "/control/pop-caches/s-0a/offline", "")
            .unwrap()
            .status,
        503
    );
    assert!(
        requests_at_first_cache(&site, 1) > 0,
        "the rejected ban is not applied"
    );
    files
        .iter()
        .for_each(|file| std::fs::remove_dir_all(file).unwrap());
    assert_eq!(
        call(admin, "POST", "/control/pop-caches/s-0a/offline", "")
            .unwrap()
            .status,
        200
    );
    assert_eq!(requests_at_first_cache(&site, 100), 0);
    send_sigterm(&only);
    assert!(only.wait().unwrap().success());
}
