//! A request that was read has its answer before its connection ends, whatever ends the connection.

mod scripted_caches;
mod test_proxy;

use linnetknot_daemon::wire::fastcgi::{self, kind};
use linnetknot_harness::clients::WebServer;
use linnetknot_harness::fakes::cache::Manner;
use scripted_caches::{next_command, photo_request, start_with_scripted_caches};
use serde_json::json;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use test_proxy::{object_id, send_and_receive, TestProxy};

/// Bytes that no client may send behind a whole request, and why.
fn unreadable() -> Vec<(&'static str, Vec<u8>)> {
    let record = |kind, id, content: &[u8]| {
        let mut out = Vec::new();
        fastcgi::write_record(&mut out, kind, id, content);
        out
    };
    let begin = [0, 1, fastcgi::KEEP_CONN, 0, 0, 0, 0, 0];
    let long = [
        record(kind::BEGIN, 7, &begin),
        record(kind::PARAMS, 7, &[b'x'; 20_000]),
    ];
    let body = WebServer::request(7, "/invoke/post", &[], &[b'x'; 50_000]);
    let pairs = [
        record(kind::BEGIN, 7, &begin),
        record(kind::PARAMS, 7, &[200, 200]),
        record(kind::PARAMS, 7, &[]),
        record(kind::STDIN, 7, &[]),
    ];
    vec![
        ("an unknown version", vec![9; 64]),
        ("a number in use", record(kind::BEGIN, 1, &begin)),
        ("too long parameters", long.concat()),
        ("too long a body", body),
        ("parameters that are no pairs", pairs.concat()),
    ]
}

#[test]
fn what_came_whole_is_answered_though_what_comes_behind_it_can_not_be_read() {
    for (what, bytes) in unreadable() {
        // In one piece with the request, and behind it.
        for apart in [false, true] {
            let (rig, mut boxes) = start_with_scripted_caches::<1>(|_| {});
            let mut web = rig.web();
            let whole = photo_request(1, &object_id(1), 0);
            let fetch = if apart {
                web.send(&whole).unwrap();
                let fetch = next_command(&mut boxes);
                web.send(&bytes).unwrap();
                fetch
            } else {
                web.send(&[whole, bytes.clone()].concat()).unwrap();
                next_command(&mut boxes)
            };
            assert_eq!(one_is_served(&rig, &mut boxes), 200, "{what}");
            let (_, place, fetch) = fetch;
            boxes[0].connections[place].respond(
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
            assert_eq!(answers.get(&1), Some(&Some(200)), "{what}, apart: {apart}");
            assert_eq!(end, ErrorKind::UnexpectedEof, "{what}, apart: {apart}");
            drop(web);
            rig.stop();
        }
    }
}

/// Another client is served meanwhile, by which time the daemon has read what came before.
fn one_is_served(rig: &TestProxy, boxes: &mut [scripted_caches::ScriptedCache; 1]) -> u16 {
    let mut other = rig.web();
    other.send(&photo_request(50, &object_id(50), 0)).unwrap();
    let (_, place, fetch) = next_command(boxes);
    boxes[0].connections[place].respond(&fetch[1], "200", "how=local,made=1,etag=t1", "a copy");
    other.end().unwrap().1.unwrap().status
}

/// Clients that hold all memory that there is for requests in part, each beside a request that has come whole.
#[test]
fn too_much_of_requests_in_part_costs_no_request_that_came_whole() {
    const CLIENTS: usize = 5;
    const HALVES: u16 = 30;
    let rig = TestProxy::with(&["s-0a"], |config| {
        config["limits"]["memory_mb"] = json!(16);
        config["bounds"] = json!({"partial_request_timeout_us": 60_000_000});
    });
    rig.caches[0].behave(Manner {
        hold_ms: 1_000,
        ..Manner::default()
    });
    let mut webs: Vec<WebServer> = (0..CLIENTS).map(|_| rig.web()).collect();
    for (n, web) in webs.iter_mut().enumerate() {
        web.ask(100, "photo", &object_id(n as u64), 2_500).unwrap();
    }
    for web in &mut webs {
        for id in 1..=HALVES {
            let half = WebServer::request(id, "/invoke/photo", &[], &[b'x'; 40_000]);
            // 5 times 30 times 40 KB, where 4 MB may be held.
            web.send(&half[..half.len() - 8]).unwrap();
        }
    }
    let mut refused = 0;
    for (n, web) in webs.iter_mut().enumerate() {
        let status = loop {
            let (id, answer) = web
                .end()
                .unwrap_or_else(|e| panic!("client {n} was ended: {e}"));
            let status = answer.expect("an answer").status;
            if id == 100 {
                break status;
            }
            assert_eq!(status, 503, "a request that had come in part");
            refused += 1;
        };
        // The box may be taken for one that hangs by then.
        assert!([200, 503].contains(&status), "client {n}: {status}");
    }
    assert!(refused > 0, "some of them made room");
    rig.caches[0].behave(Manner::default());
    assert_eq!(
        send_and_receive(&mut rig.web(), "photo", &object_id(99)).status,
        200
    );
    drop(webs);
    rig.stop();
}

/// A quiet client's request that comes in pieces does not pay for others that hold far more.
#[test]
fn who_holds_most_of_requests_in_part_makes_room_and_not_who_comes_last() {
    let rig = TestProxy::with(&["s-0a"], |config| {
        config["limits"]["memory_mb"] = json!(16);
        config["bounds"] = json!({"partial_request_timeout_us": 60_000_000});
    });
    let mut crowd: Vec<WebServer> = (0..4).map(|_| rig.web()).collect();
    // All but 2 KB of the 4 MB that may be held.
    for (n, web) in crowd.iter_mut().enumerate() {
        for id in 1..=26 {
            let half = WebServer::request(id, "/invoke/photo", &[], &[b'x'; 40_000]);
            web.send(&half[..half.len() - 8]).unwrap();
        }
        if n == 0 {
            let half = WebServer::request(27, "/invoke/photo", &[], &[b'x'; 30_000]);
            web.send(&half[..half.len() - 8]).unwrap();
        }
    }
    let mut quiet = rig.web();
    let whole = photo_request(1, &object_id(1), 9_000);
    for piece in whole.chunks(1_000) {
        quiet.send(piece).unwrap();
        // Each piece is read on its own: another client is answered behind it.
        assert_eq!(
            send_and_receive(&mut rig.web(), "photo", &object_id(2)).status,
            200
        );
    }
    let (_, answer) = quiet.end().expect("an answer");
    assert_eq!(answer.unwrap().status, 200);
    drop((crowd, quiet));
    rig.stop();
}

/// In a full table a client that has just been answered does not make room for others before clients that have rested
/// for longer, however long its answer took: its next request is on its way.
#[test]
fn a_client_that_was_answered_a_moment_ago_makes_no_room_though_it_asked_long_ago() {
    const PLACES: usize = 24;
    let rig = TestProxy::with(&["s-0a"], |config| {
        config["limits"] = json!({"memory_mb": 192, "sockets": 64});
        // The box is waited for.
        config["settings"]["limits"]["cancel"] = json!(false);
    });
    rig.caches[0].behave(Manner {
        hold_ms: 600,
        ..Manner::default()
    });
    let rests = || {
        let mut web = rig.web();
        web.send(&WebServer::request(9, "/_health", &[], b""))
            .unwrap();
        assert_eq!(web.end().unwrap().1.unwrap().status, 200);
        web
    };
    let mut quiet = rests();
    quiet.ask(1, "photo", &object_id(1), 2_500).unwrap();
    let resting: Vec<WebServer> = (1..PLACES).map(|_| rests()).collect();
    assert_eq!(quiet.end().unwrap().1.unwrap().status, 200);
    let newcomer = rests();
    rig.caches[0].behave(Manner::default());
    assert_eq!(
        send_and_receive(&mut quiet, "photo", &object_id(2)).status,
        200
    );
    drop((quiet, resting, newcomer));
    rig.stop();
}

/// Others flood, fill the table of requests and get no answers.
#[test]
fn a_quiet_client_gets_every_answer_beside_a_flood_a_full_table_and_a_box_that_never_answers() {
    let mut rig = TestProxy::with(&["s-0a", "s-0b"], |config| {
        config["limits"] = json!({"memory_mb": 16, "sockets": 256});
    });
    rig.caches[0].behave(Manner {
        mute: true,
        ..Manner::default()
    });
    let mut quiet = rig.web();
    assert!([200, 503].contains(&send_and_receive(&mut quiet, "photo", &object_id(1)).status));
    let stop = AtomicBool::new(false);
    let mut statuses = BTreeMap::<u16, u32>::new();
    std::thread::scope(|scope| {
        let (front, stop) = (rig.client_address, Stops(&stop));
        for flooding in 0..40_u64 {
            let stop = stop.0;
            scope.spawn(move || flood(front, flooding, stop));
        }
        for n in 0..12 {
            let asked = Instant::now();
            let status = send_and_receive(&mut quiet, "photo", &object_id(1_000 + n)).status;
            // 2.5 s, and what the machine may take beside.
            assert!(asked.elapsed() < Duration::from_millis(3_000), "{n}");
            *statuses.entry(status).or_default() += 1;
        }
    });
    println!("answers of the quiet client: {statuses:?}");
    drop(quiet);
    rig.control.stop().unwrap();
    rig.thread.join().unwrap().unwrap();
}

/// Stops a flood, also where the test fails.
struct Stops<'a>(&'a AtomicBool);

impl Drop for Stops<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Sends more than one connection may ask for, over and over, and is ended or turned away as may be.
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
