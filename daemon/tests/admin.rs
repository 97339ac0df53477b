//! The admin listener on loopback: calls, invalid requests, drains, and bans that survive a restart.

mod test_proxy;

use linnetknot_harness::clients::call;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use test_proxy::{object_id, send_and_receive, TestProxy};

/// Creates a folder for the operator state of a test's daemons.
fn folder(name: &str) -> PathBuf {
    let folder =
        std::env::temp_dir().join(format!("linnetknot-admin-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// Starts a daemon with an admin listener and the given state folder.
fn with_admin(caches: &[&'static str], folder: &Path) -> TestProxy {
    let folder = folder.display().to_string();
    TestProxy::with(caches, move |c| {
        c["ops"] = json!("127.0.0.1:0");
        c["ops_folder"] = json!(folder);
    })
}

/// Starts a daemon with an admin listener and waits until it is ready.
fn ready_proxy(caches: &[&'static str], name: &str) -> (TestProxy, SocketAddr, PathBuf) {
    let folder = folder(name);
    let proxy = with_admin(caches, &folder);
    let admin = proxy.admin.expect("an admin listener");
    await_status(admin, "/control/ready", 200);
    (proxy, admin, folder)
}

fn status(admin: SocketAddr, method: &str, target: &str) -> u16 {
    call(admin, method, target, "").unwrap().status
}

/// Repeats a GET request until its response has the expected status. Returns the elapsed time.
fn await_status(admin: SocketAddr, target: &str, expected: u16) -> Duration {
    let start = Instant::now();
    while status(admin, "GET", target) != expected {
        assert!(
            start.elapsed() < Duration::from_secs(5),
            "{target} never answered {expected}"
        );
    }
    start.elapsed()
}

/// Sends raw bytes to the admin listener. Returns its response and whether it closed the connection.
fn send_raw(admin: SocketAddr, bytes: &[u8]) -> (String, bool) {
    let mut socket = TcpStream::connect(admin).unwrap();
    socket
        .set_read_timeout(Some(Duration::from_secs(3)))
        .unwrap();
    socket.write_all(bytes).unwrap();
    let mut response = Vec::new();
    let closed = socket.read_to_end(&mut response).is_ok();
    (String::from_utf8_lossy(&response).into_owned(), closed)
}

#[test]
fn the_admin_listener_answers_beside_stalled_clients_and_rejects_invalid_requests() {
    let (proxy, admin, folder) = ready_proxy(&["s-0a"], "calls");
    // Forty clients with incomplete requests, more than the admin listener has slots.
    let stalled_clients: Vec<TcpStream> = (0..40)
        .map(|_| {
            let mut s = TcpStream::connect(admin).unwrap();
            s.write_all(b"GET /control/re").unwrap();
            s
        })
        .collect();
    let start = Instant::now();
    assert_eq!(status(admin, "GET", "/control/ready"), 200);
    assert!(
        start.elapsed() < Duration::from_secs(1),
        "answered in {:?}",
        start.elapsed()
    );
    let bad: [(&[u8], &str); 8] = [
        (b"DELETE /control/ready HTTP/1.1\r\n\r\n", "405"),
        (b"GET /control/nothing HTTP/1.1\r\n\r\n", "404"),
        (
            b"POST /control/in-service HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody",
            "413",
        ),
        (b"\x16\x03\x01\x00\xa5\x01\x00\x00\xa1\x03\x03", "400"),
        (b"GET /control/ready HTTP/3\r\n\r\n", "400"),
        (
            b"POST /control/pop-caches/s-zz/offline HTTP/1.1\r\n\r\n",
            "404",
        ),
        (
            b"POST /control/pop-caches/s-zz/online HTTP/1.1\r\n\r\n",
            "404",
        ),
        (b"POST /control/out-of", "400"),
    ];
    for (bytes, expected) in bad {
        let mut socket = TcpStream::connect(admin).unwrap();
        socket
            .set_read_timeout(Some(Duration::from_secs(3)))
            .unwrap();
        socket.write_all(bytes).unwrap();
        if bytes.ends_with(b"out-of") {
            // The client shuts down its sending half in the middle of a request.
            socket.shutdown(std::net::Shutdown::Write).unwrap();
        }
        let mut response = Vec::new();
        socket
            .read_to_end(&mut response)
            .expect("the admin listener closes the connection");
        let response = String::from_utf8_lossy(&response);
        assert!(
            response.starts_with(&format!("HTTP/1.1 {expected} ")),
            "{bytes:?}: {response}"
        );
    }
    let long = format!("GET /{} HTTP/1.1\r\n", "x".repeat(2000));
    let (response, closed) = send_raw(admin, long.as_bytes());
    assert!(
        response.starts_with("HTTP/1.1 414 ") && closed,
        "{response}"
    );
    let mut web = proxy.web();
    assert_eq!(
        send_and_receive(&mut web, "photo", &object_id(1)).status,
        200
    );
    assert_eq!(status(admin, "GET", "/control/ready"), 200);
    drop(stalled_clients);
    proxy.stop();
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn a_drain_reports_not_ready_and_closes_connections_until_in_service() {
    let (proxy, admin, folder) = ready_proxy(&["s-0a"], "drain");
    let mut active = proxy.web();
    let mut idle = proxy.web();
    assert_eq!(
        send_and_receive(&mut active, "photo", &object_id(1)).status,
        200
    );
    assert_eq!(
        send_and_receive(&mut idle, "photo", &object_id(2)).status,
        200
    );
    assert_eq!(status(admin, "POST", "/control/out-of-service"), 200);
    assert_eq!(status(admin, "GET", "/control/ready"), 503);
    // During a drain the daemon closes a connection after a response. A request that has arrived before the close is
    // still answered; late in the drain it is rejected, so that a client that sends requests without pause can not keep
    // the connection open.
    let start = Instant::now();
    assert_eq!(
        send_and_receive(&mut active, "photo", &object_id(3)).status,
        200
    );
    let mut statuses = Vec::new();
    while active.ask(2, "photo", &object_id(7), 2500).is_ok() {
        match active.end() {
            Ok((_, answer)) => statuses.push(answer.expect("an answer").status),
            Err(_) => break,
        }
        assert!(
            start.elapsed() < Duration::from_secs(2),
            "a client that keeps sending requests keeps the connection open"
        );
    }
    assert!(
        statuses.iter().all(|status| [200, 503].contains(status)),
        "{statuses:?}"
    );
    // An idle connection is closed early in the drain time of 4 s.
    assert!(idle.end().is_err(), "the idle connection is closed");
    assert!(
        start.elapsed() < Duration::from_secs(2),
        "closed after {:?}",
        start.elapsed()
    );
    // A new connection during a drain is served and then closed.
    let mut new_client = proxy.web();
    assert_eq!(
        send_and_receive(&mut new_client, "photo", &object_id(4)).status,
        200
    );
    assert!(new_client.end().is_err());
    assert!(
        linnetknot_admin_api::store::load(&folder)
            .unwrap()
            .out_of_service,
        "the drain is stored"
    );
    assert_eq!(status(admin, "POST", "/control/in-service"), 200);
    assert!(await_status(admin, "/control/ready", 200) < Duration::from_secs(2));
    let mut after = proxy.web();
    assert_eq!(
        send_and_receive(&mut after, "photo", &object_id(5)).status,
        200
    );
    assert_eq!(
        send_and_receive(&mut after, "photo", &object_id(6)).status,
        200,
        "connections stay open again"
    );
    proxy.stop();
}

#[test]
fn a_banned_cache_gets_no_requests_across_a_restart_until_unbanned() {
    let (proxy, admin, folder) = ready_proxy(&["s-0a", "s-0b"], "ban");
    let mut web = proxy.web();
    for n in 0..40 {
        assert_eq!(
            send_and_receive(&mut web, "photo", &object_id(n)).status,
            200
        );
    }
    let fetch_count = |proxy: &TestProxy, uid: usize| {
        proxy.caches[uid]
            .arrivals()
            .iter()
            .filter(|a| a.command == "fetch")
            .count()
    };
    assert!(
        fetch_count(&proxy, 0) > 0 && fetch_count(&proxy, 1) > 0,
        "both caches serve before the ban"
    );
    assert_eq!(
        status(admin, "POST", "/control/pop-caches/s-0a/offline"),
        200
    );
    assert_eq!(
        status(admin, "POST", "/control/pop-caches/s-0a/offline"),
        200,
        "a repeated ban succeeds"
    );
    let before = fetch_count(&proxy, 0);
    for n in 100..140 {
        assert_eq!(
            send_and_receive(&mut web, "photo", &object_id(n)).status,
            200
        );
    }
    assert_eq!(
        fetch_count(&proxy, 0),
        before,
        "a banned cache gets no new requests"
    );
    proxy.stop();
    // After the restart, the new process must read the ban from the state folder.
    let proxy = with_admin(&["s-0a", "s-0b"], &folder);
    let admin = proxy.admin.expect("an admin listener");
    await_status(admin, "/control/ready", 200);
    let mut web = proxy.web();
    for n in 200..240 {
        assert_eq!(
            send_and_receive(&mut web, "photo", &object_id(n)).status,
            200
        );
    }
    assert_eq!(fetch_count(&proxy, 0), 0, "the ban survives the restart");
    assert_eq!(
        status(admin, "POST", "/control/pop-caches/s-0a/online"),
        200,
        "one call lifts the ban"
    );
    let mut is_used_again = false;
    for n in 300..400 {
        assert_eq!(
            send_and_receive(&mut web, "photo", &object_id(n)).status,
            200
        );
        is_used_again |= fetch_count(&proxy, 0) > 0;
    }
    assert!(
        is_used_again,
        "the cache is used again after the ban is lifted"
    );
    proxy.stop();
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn an_upgraded_process_starts_beside_the_old_one_on_the_same_addresses() {
    // In an upgrade only the admin listener's address changes. The old process still holds the address for peers.
    let taken = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let peers = taken.local_addr().unwrap().to_string();
    drop(taken);
    let folder = folder("upgrade");
    let shown = folder.display().to_string();
    let start = |peers: String, shown: String| {
        TestProxy::with(&["s-0a", "s-0b"], move |c| {
            c["ops"] = json!("127.0.0.1:0");
            c["ops_folder"] = json!(shown);
            c["peer_listen"] = json!(peers);
            c["tell"] = json!(true);
        })
    };
    let old = start(peers.clone(), shown.clone());
    let old_admin = old.admin.unwrap();
    await_status(old_admin, "/control/ready", 200);
    assert_eq!(
        status(old_admin, "POST", "/control/pop-caches/s-0a/offline"),
        200
    );
    let new = start(peers, shown);
    let new_admin = new.admin.unwrap();
    await_status(new_admin, "/control/ready", 200);
    old.stop();
    // The new process enforces the ban that was set in the old process, and fetches from the other cache.
    let mut web = new.web();
    for n in 0..20 {
        assert_eq!(
            send_and_receive(&mut web, "photo", &object_id(n)).status,
            200
        );
    }
    assert!(
        new.caches[0]
            .arrivals()
            .iter()
            .all(|a| a.command != "fetch"),
        "the ban holds in the new process"
    );
    new.stop();
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn a_draining_connection_rejects_further_requests_and_closes() {
    let (proxy, admin, folder) = ready_proxy(&["s-0a"], "busy");
    let mut web = proxy.web();
    assert_eq!(
        send_and_receive(&mut web, "photo", &object_id(1)).status,
        200
    );
    assert_eq!(status(admin, "POST", "/control/out-of-service"), 200);
    // The request is a write, because a slow read would be retried at another server after 0.35 s.
    proxy
        .origin
        .set_behaviour(linnetknot_harness::fakes::cache::Behaviour {
            answer_delay_ms: 600,
            ..Default::default()
        });
    // The second request arrives on the connection while the first is open.
    web.ask(1, "post", &object_id(2), 2500).unwrap();
    web.ask(2, "photo", &object_id(3), 2500).unwrap();
    let mut answers = [web.end().unwrap(), web.end().unwrap()];
    answers.sort_by_key(|(id, _)| *id);
    assert_eq!(
        answers[0].1.as_ref().map(|a| a.status),
        Some(200),
        "the first request is served"
    );
    assert_eq!(
        answers[1].1.as_ref().map(|a| a.status),
        Some(503),
        "the second request is rejected at once"
    );
    assert!(
        web.end().is_err(),
        "the connection closes after the last answer"
    );
    proxy.stop();
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn reloading_settings_adds_a_class_and_keeps_the_existing_ones() {
    let (mut proxy, _, folder) = ready_proxy(&["s-0a"], "retune");
    let mut web = proxy.web();
    assert_eq!(
        send_and_receive(&mut web, "poster", &object_id(1)).status,
        503,
        "the class does not exist yet"
    );
    // A reload of an invalid file is not tested here, since no request shows whether the reload has finished.
    {
        let mut file = proxy.config_file.lock().unwrap();
        let poster = json!({"name": "poster", "aim-us": 300_000, "deadline-us": 2_000_000, "repeat": "pure",
            "worth": 1.0});
        file["settings"]["categories"]
            .as_array_mut()
            .unwrap()
            .push(poster);
    }
    proxy.control.reload().unwrap();
    let start = Instant::now();
    while send_and_receive(&mut web, "poster", &object_id(3)).status != 200 {
        assert!(
            start.elapsed() < Duration::from_secs(3),
            "the new class is never accepted"
        );
    }
    assert_eq!(
        send_and_receive(&mut web, "photo", &object_id(4)).status,
        200,
        "the existing class is still served"
    );
    proxy.stop();
    let _ = std::fs::remove_dir_all(&folder);
}
