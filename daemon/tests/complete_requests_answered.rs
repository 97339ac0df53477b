//! A request that was received completely is answered before the daemon closes its connection, whatever the reason for
//! closing the connection.

mod scripted_caches;
mod test_proxy;

use linnetknot_daemon::wire::fastcgi::{self, kind};
use linnetknot_harness::clients::WebServer;
use linnetknot_harness::fakes::cache::Behaviour;
use scripted_caches::{next_command, photo_request, start_with_scripted_caches};
use serde_json::json;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use test_proxy::{object_id, send_and_receive, TestProxy};

/// Returns invalid byte sequences that follow a complete request, each with a description.
fn invalid_bytes() -> Vec<(&'static str, Vec<u8>)> {
    let record = |kind, id, content: &[u8]| {
        let mut out = Vec::new();
        fastcgi::write_record(&mut out, kind, id, content);
        out
    };
    let begin = [0, 1, fastcgi::KEEP_CONN, 0, 0, 0, 0, 0];
    let oversized_params = [
        record(kind::BEGIN, 7, &begin),
        record(kind::PARAMS, 7, &[b'x'; 20_000]),
    ];
    let oversized_body = WebServer::request(7, "/invoke/post", &[], &[b'x'; 50_000]);
    let malformed_params = [
        record(kind::BEGIN, 7, &begin),
        record(kind::PARAMS, 7, &[200, 200]),
        record(kind::PARAMS, 7, &[]),
        record(kind::STDIN, 7, &[]),
    ];
    vec![
        ("an unknown version", vec![9; 64]),
        ("a request id in use", record(kind::BEGIN, 1, &begin)),
        ("oversized parameters", oversized_params.concat()),
        ("an oversized body", oversized_body),
        ("malformed parameters", malformed_params.concat()),
    ]
}

#[test]
fn complete_request_is_answered_when_the_following_bytes_are_invalid() {
    for (case, bytes) in invalid_bytes() {
        // Sends the invalid bytes together with the request, and separately after it.
        for separate in [false, true] {
            let (proxy, mut caches) = start_with_scripted_caches::<1>(|_| {});
            let mut web = proxy.web();
            let complete = photo_request(1, &object_id(1), 0);
            let fetch = if separate {
                web.send(&complete).unwrap();
                let fetch = next_command(&mut caches);
                web.send(&bytes).unwrap();
                fetch
            } else {
                web.send(&[complete, bytes.clone()].concat()).unwrap();
                next_command(&mut caches)
            };
            assert_eq!(serve_another_client(&proxy, &mut caches), 200, "{case}");
            let (_, connection, fetch) = fetch;
            caches[0].connections[connection].respond(
                &fetch[1],
                "200",
                "how=local,made=1,etag=t1",
                "a copy",
            );
            let mut answers = BTreeMap::new();
            let end = loop {
                match web.end() {
                    Ok((id, answer)) => answers.insert(id, answer.map(|a| a.status)),
                    Err(e) => break e.kind(),
                };
            };
            assert_eq!(
                answers.get(&1),
                Some(&Some(200)),
                "{case}, sent separately: {separate}"
            );
            assert_eq!(
                end,
                ErrorKind::UnexpectedEof,
                "{case}, sent separately: {separate}"
            );
            drop(web);
            proxy.stop();
        }
    }
}

/// Serves a request of another client, so that the daemon has read all earlier input. Returns the answer's status.
fn serve_another_client(
    proxy: &TestProxy,
    caches: &mut [scripted_caches::ScriptedCache; 1],
) -> u16 {
    let mut other = proxy.web();
    other.send(&photo_request(50, &object_id(50), 0)).unwrap();
    let (_, connection, fetch) = next_command(caches);
    caches[0].connections[connection].respond(
        &fetch[1],
        "200",
        "how=local,made=1,etag=t1",
        "a copy",
    );
    other.end().unwrap().1.unwrap().status
}

/// Each client has one complete request open while the partial requests of all clients together exceed the memory limit
/// for partial requests. Only partial requests may be rejected for it, and no connection may be closed.
#[test]
fn partial_requests_over_the_memory_limit_reject_no_complete_request() {
    const CLIENTS: usize = 5;
    const PARTIAL_REQUESTS: u16 = 30;
    let proxy = TestProxy::with(&["s-0a"], |config| {
        config["limits"]["memory_mb"] = json!(16);
        config["bounds"] = json!({"partial_request_timeout_us": 60_000_000});
    });
    proxy.caches[0].set_behaviour(Behaviour {
        answer_delay_ms: 1_000,
        ..Behaviour::default()
    });
    let mut clients: Vec<WebServer> = (0..CLIENTS).map(|_| proxy.web()).collect();
    for (n, web) in clients.iter_mut().enumerate() {
        web.ask(100, "photo", &object_id(n as u64), 2_500).unwrap();
    }
    for web in &mut clients {
        for id in 1..=PARTIAL_REQUESTS {
            let partial = WebServer::request(id, "/invoke/photo", &[], &[b'x'; 40_000]);
            // 5 clients with 30 partial requests of 40 KB each exceed the limit of 4 MB.
            web.send(&partial[..partial.len() - 8]).unwrap();
        }
    }
    let mut refused = 0;
    for (n, web) in clients.iter_mut().enumerate() {
        let status = loop {
            let (id, answer) = web
                .end()
                .unwrap_or_else(|e| panic!("the connection of client {n} was closed: {e}"));
            let status = answer.expect("an answer").status;
            if id == 100 {
                break status;
            }
            assert_eq!(status, 503, "a partial request");
            refused += 1;
        };
        // The daemon may already treat the slow cache as unresponsive.
        assert!([200, 503].contains(&status), "client {n}: {status}");
    }
    assert!(refused > 0, "some partial requests are rejected");
    proxy.caches[0].set_behaviour(Behaviour::default());
    assert_eq!(
        send_and_receive(&mut proxy.web(), "photo", &object_id(99)).status,
        200
    );
    drop(clients);
    proxy.stop();
}

/// A small request that arrives in pieces is not rejected while other clients hold far more memory.
#[test]
fn partial_request_memory_is_reclaimed_from_the_largest_holder() {
    let proxy = TestProxy::with(&["s-0a"], |config| {
        config["limits"]["memory_mb"] = json!(16);
        config["bounds"] = json!({"partial_request_timeout_us": 60_000_000});
    });
    let mut busy_clients: Vec<WebServer> = (0..4).map(|_| proxy.web()).collect();
    // Uses all but 2 KB of the limit of 4 MB.
    for (n, web) in busy_clients.iter_mut().enumerate() {
        for id in 1..=26 {
            let partial = WebServer::request(id, "/invoke/photo", &[], &[b'x'; 40_000]);
            web.send(&partial[..partial.len() - 8]).unwrap();
        }
        if n == 0 {
            let partial = WebServer::request(27, "/invoke/photo", &[], &[b'x'; 30_000]);
            web.send(&partial[..partial.len() - 8]).unwrap();
        }
    }
    let mut quiet = proxy.web();
    let complete = photo_request(1, &object_id(1), 9_000);
    for piece in complete.chunks(1_000) {
        quiet.send(piece).unwrap();
        // An answer to another client shows that the daemon has read this piece.
        assert_eq!(
            send_and_receive(&mut proxy.web(), "photo", &object_id(2)).status,
            200
        );
    }
    let (_, answer) = quiet.end().expect("an answer");
    assert_eq!(answer.unwrap().status, 200);
    drop((busy_clients, quiet));
    proxy.stop();
}

/// With all connection slots taken, idle time counts from the last answer and not from the last request.
#[test]
fn a_recently_answered_client_is_not_evicted_before_longer_idle_clients() {
    const CLIENT_SLOTS: usize = 24;
    let proxy = TestProxy::with(&["s-0a"], |config| {
        config["limits"] = json!({"memory_mb": 192, "sockets": 64});
        // Without cancellation the daemon waits for the slow cache.
        config["settings"]["limits"]["cancel"] = json!(false);
    });
    proxy.caches[0].set_behaviour(Behaviour {
        answer_delay_ms: 600,
        ..Behaviour::default()
    });
    let connect_idle = || {
        let mut web = proxy.web();
        web.send(&WebServer::request(9, "/_health", &[], b""))
            .unwrap();
        assert_eq!(web.end().unwrap().1.unwrap().status, 200);
        web
    };
    let mut quiet = connect_idle();
    quiet.ask(1, "photo", &object_id(1), 2_500).unwrap();
    let idle: Vec<WebServer> = (1..CLIENT_SLOTS).map(|_| connect_idle()).collect();
    assert_eq!(quiet.end().unwrap().1.unwrap().status, 200);
    let new_client = connect_idle();
    proxy.caches[0].set_behaviour(Behaviour::default());
    assert_eq!(
        send_and_receive(&mut quiet, "photo", &object_id(2)).status,
        200
    );
    drop((quiet, idle, new_client));
    proxy.stop();
}

/// Forty other clients fill the request table while one of two caches never answers.
#[test]
fn a_quiet_client_is_answered_during_a_flood_with_an_unresponsive_cache() {
    let mut proxy = TestProxy::with(&["s-0a", "s-0b"], |config| {
        config["limits"] = json!({"memory_mb": 16, "sockets": 256});
    });
    proxy.caches[0].set_behaviour(Behaviour {
        silent: true,
        ..Behaviour::default()
    });
    let mut quiet = proxy.web();
    assert!([200, 503].contains(&send_and_receive(&mut quiet, "photo", &object_id(1)).status));
    let stop = AtomicBool::new(false);
    let mut statuses = BTreeMap::<u16, u32>::new();
    std::thread::scope(|scope| {
        let (front, stop) = (proxy.client_address, StopOnDrop(&stop));
        for client in 0..40_u64 {
            let stop = stop.0;
            scope.spawn(move || flood(front, client, stop));
        }
        for n in 0..12 {
            let sent_at = Instant::now();
            let status = send_and_receive(&mut quiet, "photo", &object_id(1_000 + n)).status;
            // The request budget is 2.5 s. The additional time allows for a busy machine.
            assert!(sent_at.elapsed() < Duration::from_millis(3_000), "{n}");
            *statuses.entry(status).or_default() += 1;
        }
    });
    println!("answers of the quiet client: {statuses:?}");
    drop(quiet);
    proxy.control.stop().unwrap();
    proxy.thread.join().unwrap().unwrap();
}

/// Stops the flooding threads when dropped, also if the test fails.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Repeatedly sends more requests than a connection may have open. Rejections and closed connections are accepted.
fn flood(front: SocketAddr, client: u64, stop: &AtomicBool) {
    while !stop.load(Ordering::SeqCst) {
        let Ok(mut web) = WebServer::connect(front) else {
            return;
        };
        for id in 1..=60 {
            if web
                .ask(
                    id,
                    "photo",
                    &object_id(1_000_000 * (client + 1) + u64::from(id)),
                    2_500,
                )
                .is_err()
            {
                break;
            }
        }
        for _ in 0..40 {
            if web.end().is_err() {
                break;
            }
        }
    }
}
