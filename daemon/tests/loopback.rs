//! The daemon on loopback, with the stand-ins of the rehearsal kit around it.

mod rig;

use linnetknot_harness::clients::{call, exchange, WebServer};
use linnetknot_harness::fakes::cache::Behaviour;
use linnetknot_harness::fakes::event_bus::{entry, Bus};
use linnetknot_harness::unix_ms;
use linnetknot_origin_health::Report;
use rig::{object, one, Rig, READY};
use serde_json::{json, Value};
use std::io::ErrorKind;
use std::net::{TcpListener, UdpSocket};

#[test]
fn requests_of_one_connection_are_served_in_any_order_and_unchanged() {
    let rig = Rig::start();
    let mut web = rig.web();
    // Records of two requests in turn, the second whole before the first.
    let first = WebServer::request(
        7,
        "/invoke/photo",
        &[
            ("HTTP_REQUEST_ID", &object(10)),
            ("HTTP_RESOURCE_KEY", &object(11)),
            ("HTTP_BUDGET_MS", "2000"),
        ],
        b"",
    );
    web.send(&first[..20]).unwrap();
    web.send(&first[20..first.len() - 8]).unwrap();
    web.ask(8, "photo", &object(2), 2500).unwrap();
    let (id, answer) = web.end().unwrap();
    assert_eq!((id, answer.unwrap().status), (8, 200));
    web.send(&first[first.len() - 8..]).unwrap();
    let (id, answer) = web.end().unwrap();
    let answer = answer.unwrap();
    assert_eq!((id, answer.status), (7, 200));
    assert!(
        answer.body.starts_with(b"000000000000000b/0@"),
        "the bytes that the box gave"
    );
    // Many answers after each other: sums over what waits to be written must come back to nothing.
    for n in 0..50 {
        assert_eq!(one(&mut web, "photo", &object(n)).status, 200);
    }
    rig.stop();
}

#[test]
fn a_write_goes_to_the_origin_with_its_body_and_key() {
    let rig = Rig::start();
    assert_eq!(one(&mut rig.web(), "post", &object(1)).status, 200);
    let arrival = rig.origin.wait_for(|a| a.command == "fetch").unwrap();
    assert_eq!(arrival.body, b"a comment");
    assert_eq!(
        arrival.field("once"),
        Some("5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
    );
    assert_eq!(
        (arrival.field("src"), rig.boxes[0].arrivals().len()),
        (None, 0)
    );
    rig.stop();
}

#[test]
fn with_no_box_to_reach_a_request_is_refused_and_told_when_to_come_back() {
    let rig = Rig::with(&["s-0a"], |config| {
        // An address at which nothing listens any more: refused connections prove that nothing ran.
        let free = TcpListener::bind("127.0.0.1:0")
            .unwrap()
            .local_addr()
            .unwrap();
        for target in config["known"]["batch"][0]["topology"]["targets"]
            .as_array_mut()
            .unwrap()
        {
            target["endpoint"] = free.to_string().into();
        }
    });
    for class in ["photo", "post"] {
        let answer = one(&mut rig.web(), class, &object(1));
        assert_eq!(
            (answer.status, answer.header("back-off-ms")),
            (503, Some("200")),
            "{class}"
        );
    }
    rig.stop();
}

#[test]
fn a_silent_box_costs_one_answer_and_an_aborted_request_is_given_up_there() {
    let rig = Rig::start();
    rig.boxes[0].set_behaviour(Behaviour {
        silent: true,
        ..Behaviour::default()
    });
    let mut web = rig.web();
    web.ask(1, "photo", &object(1), 300).unwrap();
    let (id, answer) = web.end().unwrap();
    assert_eq!(
        (id, answer.unwrap().status),
        (1, 503),
        "safe to repeat, so refused"
    );
    web.ask(2, "photo", &object(2), 60_000).unwrap();
    let sent = rig.boxes[0]
        .wait_for(|a| a.field("key") == Some(&object(2)))
        .unwrap();
    web.abort(2).unwrap();
    assert_eq!(web.end().unwrap(), (2, None));
    assert!(rig.boxes[0]
        .wait_for(|a| a.command == "abort" && a.id == sent.id)
        .is_some());
    rig.stop();
}

#[test]
fn what_is_not_understood_ends_a_request_or_its_connection_and_nothing_else() {
    let rig = Rig::start();
    let (mut web, mut other) = (rig.web(), rig.web());
    let (id, key) = (object(1), object(2));
    let good = [
        ("HTTP_REQUEST_ID", id.as_str()),
        ("HTTP_RESOURCE_KEY", &key),
        ("HTTP_BUDGET_MS", "2000"),
    ];
    for (name, value) in [
        ("HTTP_REQUEST_ID", "a,b"),
        ("HTTP_REQUEST_ID", ""),
        ("HTTP_RESOURCE_KEY", "no such object!!"),
        ("HTTP_BUDGET_MS", "-5"),
        ("HTTP_BUDGET_MS", "0"),
        ("HTTP_BUDGET_MS", "99999999999999999999"),
        ("HTTP_X_PIECE", "x"),
        ("HTTP_X_PIECE", "4294967296"),
        ("HTTP_X_LOT", "256"),
        ("HTTP_FOOTPRINT_KB", "NaN"),
        ("HTTP_FOOTPRINT_KB", "-1"),
        ("HTTP_FOOTPRINT_KB", "1e300"),
        ("HTTP_ONCE_KEY", "a=b"),
        ("HTTP_X_VER", "%00"),
        ("CONTENT_LENGTH", "7"),
        ("SCRIPT_NAME", "/invoke/a,b"),
    ] {
        let mut fields: Vec<_> = good.into_iter().filter(|(n, _)| *n != name).collect();
        fields.push((name, value));
        let path = if name == "SCRIPT_NAME" {
            value
        } else {
            "/invoke/photo"
        };
        web.send(&WebServer::request(1, path, &fields, b""))
            .unwrap();
        assert_eq!(web.end().unwrap().1.unwrap().status, 400, "{name}: {value}");
    }
    assert_eq!(rig.boxes[0].arrivals(), [], "nothing of it was passed on");
    web.send(&WebServer::request(2, "/elsewhere", &[], b""))
        .unwrap();
    assert_eq!(web.end().unwrap().1.unwrap().status, 404);
    web.send(b"GET / HTTP/1.1\r\n\r\n").unwrap();
    assert!(web.end().is_err(), "the connection is ended");
    assert_eq!(one(&mut other, "photo", &object(1)).status, 200);
    rig.stop();
}

#[test]
fn health_is_good_once_there_are_boxes() {
    let rig = Rig::with(&[], |config| config["known"] = Value::Null);
    let mut web = rig.web();
    let mut health = || {
        web.send(&WebServer::request(1, "/_health", &[], b""))
            .unwrap();
        web.end().unwrap().1.unwrap().status
    };
    assert_eq!(health(), 503);
    rig.bus
        .list(true, vec![entry(&rig.origin, "hub", "origin", READY)]);
    // Asked until the event has come: bounded by the patience of the test's runner alone.
    while health() != 200 {}
    rig.stop();
}

#[test]
fn the_bus_is_called_again_behind_the_last_event_and_its_purges_bound_the_age() {
    let rig = Rig::start();
    let mut web = rig.web();
    assert_eq!(rig.bus.call(0), Some(0));
    let made = one(&mut web, "photo", &object(1)).made().unwrap();
    // In the same millisecond no age tells the copy from one behind the purge.
    while unix_ms() <= made + 1 {}
    rig.bus
        .push(json!({"ban": {"url": object(1), "ts": made + 1}}));
    while one(&mut web, "photo", &object(1)).made() == Some(made) {}
    rig.bus.cut();
    assert_eq!(rig.bus.call(1), Some(1));
    rig.stop();
}

#[test]
fn an_address_taken_over_by_another_box_gets_connections_of_its_own() {
    let rig = Rig::start();
    let mut web = rig.web();
    assert_eq!(one(&mut web, "photo", &object(1)).status, 200);
    let heir = rig.boxes[0].with_uid("s-0b");
    rig.bus.list(
        false,
        vec![
            entry(&rig.boxes[0], "here", "box", "gone"),
            entry(&heir, "here", "box", READY),
        ],
    );
    while rig.boxes[0].connections() < 2 {
        assert_eq!(one(&mut web, "photo", &object(2)).status, 200);
    }
    rig.stop();
}

/// One empty answer must not leave a proxy, nor all that hear it, without a box.
#[test]
fn lists_that_are_empty_torn_or_stale_take_no_box_away_and_a_box_named_as_gone_goes() {
    let rig = Rig::with(&["s-0a", "s-0b"], |_| {});
    let topology = |rev: u64, all: bool, targets: Vec<Value>| json!({"topology": {"rev": rev, "all": all, "targets": targets}});
    let first = |state: &str| entry(&rig.boxes[0], "here", "box", state);
    rig.bus.push(topology(2, true, vec![]));
    rig.bus.push(topology(
        3,
        true,
        vec![json!({"uid": "s-0a", "state": "asleep"})],
    ));
    rig.bus.push(topology(4, false, vec![first("gone")]));
    rig.bus.push(topology(1, false, vec![first(READY)]));
    let mut web = rig.web();
    // Once a request that the first box would have got goes to the second, all of it has been heard.
    let place = |n: u64| {
        rig.boxes.iter().position(|b| {
            b.arrivals()
                .iter()
                .any(|a| a.field("key") == Some(&object(n)))
        })
    };
    let mut in_a_row = 0;
    for n in 1..=5_000 {
        assert_eq!(one(&mut web, "photo", &object(n)).status, 200);
        in_a_row = if place(n) == Some(1) { in_a_row + 1 } else { 0 };
        if in_a_row == 40 {
            break;
        }
    }
    assert_eq!(
        in_a_row, 40,
        "what was named as gone is still sent to, or was brought back by older news"
    );
    rig.stop();
}

#[test]
fn what_is_open_at_the_end_is_answered() {
    let rig = Rig::start();
    rig.boxes[0].set_behaviour(Behaviour {
        answer_delay_ms: 150,
        ..Behaviour::default()
    });
    let mut web = rig.web();
    web.ask(1, "photo", &object(1), 2500).unwrap();
    rig.boxes[0].wait_for(|a| a.command == "fetch").unwrap();
    let Rig {
        mut control, run, ..
    } = rig;
    control.stop().unwrap();
    assert_eq!(web.end().unwrap().1.unwrap().status, 200);
    run.join().unwrap().unwrap();
}

#[test]
fn neighbours_get_the_specifications_errors() {
    let rig = Rig::start();
    let post = |path: &str, body: Value| call(rig.cdni, "POST", path, &body.to_string()).unwrap();
    let url = format!("http://cdn.example/content/photo/{}", object(1));
    let trigger = |kind: &str, selector: &str, value: &str| json!({"trigger": {"type": kind, selector: [value]}, "cdn-path": ["AS64501:0"]});
    assert_eq!(exchange(rig.cdni, b"what?\r\n\r\n").unwrap().status, 400);
    assert_eq!(
        call(rig.cdni, "PUT", "/cdni/triggers", "").unwrap().status,
        405
    );
    assert_eq!(
        post("/cdni/triggers", json!({"trigger": {"type": "purge"}})).status,
        400
    );
    let own =
        json!({"trigger": {"type": "purge", "content.urls": [url]}, "cdn-path": ["AS64500:0"]});
    assert_eq!(post("/cdni/triggers", own).status, 403, "a loop");
    for (command, status, error) in [
        (trigger("purge", "content.urls", &url), "complete", None),
        (
            trigger("invalidate", "content.ccid", "17"),
            "complete",
            None,
        ),
        (
            trigger("purge", "content.urls", "http://elsewhere.example/x"),
            "failed",
            Some("ereject"),
        ),
        (
            trigger("purge", "content.patterns", "*"),
            "failed",
            Some("ereject"),
        ),
        (
            trigger("preposition", "content.urls", &url),
            "failed",
            Some("ereject"),
        ),
    ] {
        let answer = post("/cdni/triggers", command);
        let value: Value = serde_json::from_slice(&answer.body).unwrap();
        assert_eq!(
            (answer.status, value["status"].as_str()),
            (201, Some(status))
        );
        assert_eq!(value["errors"][0]["error"].as_str(), error);
        let place = answer
            .header("location")
            .unwrap()
            .strip_prefix("http://cdn.example")
            .unwrap();
        assert_eq!(call(rig.cdni, "GET", place, "").unwrap().body, answer.body);
        assert_eq!(call(rig.cdni, "DELETE", place, "").unwrap().status, 204);
        assert_eq!(call(rig.cdni, "GET", place, "").unwrap().status, 404);
    }
    let redirect = |http: Value, path: &str| {
        let answer = post("/cdni/redirect", json!({"http": http, "cdn-path": [path]}));
        serde_json::from_slice::<Value>(&answer.body).unwrap()
    };
    let asked = |client: &str| json!({"c-ip": client, "cs-uri": url, "cs-method": "GET"});
    let good = redirect(asked("127.0.0.1"), "AS64501:0");
    assert_eq!(good["http"]["sc-(location)"], format!("{url}/0"));
    assert_eq!(
        redirect(asked("10.0.0.1"), "AS64501:0")["error"]["error-code"],
        504
    );
    assert_eq!(
        redirect(asked("127.0.0.1"), "AS64500:0")["error"]["error-code"],
        502
    );
    assert_eq!(redirect(json!({}), "AS64501:0")["error"]["error-code"], 400);
    let footprint = call(rig.cdni, "GET", "/cdni/footprint", "").unwrap();
    assert!(String::from_utf8(footprint.body)
        .unwrap()
        .contains("127.0.0.0/8"));
    assert_eq!(
        call(rig.cdni, "GET", "/content/photo/nothing", "")
            .unwrap()
            .status,
        404
    );
    rig.stop();
}

#[test]
fn content_asked_for_by_cdni_goes_through_the_same_decisions() {
    let rig = Rig::start();
    let get = |headers: &str| {
        let request = format!(
            "GET /content/photo/{}/3?kb=40 HTTP/1.1\r\n{headers}Connection: close\r\n\r\n",
            object(1)
        );
        exchange(rig.cdni, request.as_bytes()).unwrap()
    };
    let answer = get("");
    assert_eq!((answer.status, answer.surplus), (200, false));
    let arrival = rig.boxes[0].wait_for(|a| a.command == "fetch").unwrap();
    assert_eq!(
        (
            arrival.field("class"),
            arrival.field("part"),
            arrival.id.len()
        ),
        (Some("photo"), Some("3"), 16)
    );
    let tag = answer.header("etag").unwrap().to_owned();
    get(&format!("If-None-Match: {tag}\r\n"));
    assert!(rig.boxes[0]
        .wait_for(|a| a.field("have") == Some(tag.trim_matches('"')))
        .is_some());
    rig.stop();
}

#[test]
fn in_a_full_table_an_idle_client_makes_room_and_one_that_waits_for_its_answer_does_not() {
    // Room for one client.
    let rig = Rig::with(&["s-0a"], |config| config["limits"]["sockets"] = json!(3));
    let mut first = rig.web();
    assert_eq!(one(&mut first, "photo", &object(1)).status, 200);
    rig.boxes[0].set_behaviour(Behaviour {
        answer_delay_ms: 280,
        ..Behaviour::default()
    });
    let mut second = rig.web();
    second.ask(1, "photo", &object(2), 2500).unwrap();
    rig.boxes[0]
        .wait_for(|a| a.field("key") == Some(&object(2)))
        .unwrap();
    assert!(
        first.end().is_err(),
        "it asked once, kept its connection and had to leave"
    );
    let mut third = rig.web();
    third.ask(1, "photo", &object(3), 2500).unwrap();
    assert_eq!(
        second.end().unwrap().1.unwrap().status,
        200,
        "the third waited in the queue meanwhile"
    );
    drop(second);
    assert_eq!(third.end().unwrap().1.unwrap().status, 200);
    rig.stop();
}

#[test]
fn clients_that_say_nothing_or_half_a_request_are_ended_and_shut_nobody_out() {
    let rig = Rig::with(&["s-0a"], |config| config["limits"]["sockets"] = json!(20));
    // Twice as many as there is room for, and longer than they are waited for.
    let request = WebServer::request(1, "/invoke/photo", &[("HTTP_REQUEST_ID", "0a")], b"");
    let mut crowd: Vec<_> = (0..24).map(|_| rig.web()).collect();
    crowd
        .iter_mut()
        .skip(12)
        .for_each(|half| half.send(&request[..30]).unwrap_or(()));
    assert_eq!(one(&mut rig.web(), "photo", &object(1)).status, 200);
    for client in &mut crowd {
        let gone = client.end().unwrap_err().kind();
        assert!(
            matches!(gone, ErrorKind::UnexpectedEof | ErrorKind::ConnectionReset),
            "{gone}"
        );
    }
    rig.stop();
}

#[test]
fn on_sighup_the_bus_is_read_on_where_the_new_configuration_says_and_nothing_open_is_dropped() {
    let mut rig = Rig::start();
    rig.bus.push(json!({"ban": {"tag": 1, "ts": 1}}));
    assert_eq!(rig.bus.call(0), Some(0));
    let moved = Bus::start().unwrap();
    moved.push(json!({"ban": {"tag": 1, "ts": 1}}));
    rig.boxes[0].set_behaviour(Behaviour {
        answer_delay_ms: 300,
        ..Behaviour::default()
    });
    let mut web = rig.web();
    web.ask(1, "photo", &object(1), 2500).unwrap();
    let made = rig.boxes[0]
        .wait_for(|a| a.field("key") == Some(&object(1)))
        .unwrap()
        .at;
    rig.file.lock().unwrap()["bus"] = json!("nowhere");
    rig.control.reload().unwrap();
    // A faulty file changes nothing: the bus that was is read on.
    rig.bus.push(json!({"ban": {"tag": 2, "ts": 1}}));
    assert_eq!(web.end().unwrap().1.unwrap().status, 200);
    rig.boxes[0].set_behaviour(Behaviour::default());
    rig.bus
        .push(json!({"ban": {"url": object(1), "ts": made + 1}}));
    while one(&mut web, "photo", &object(1)).made() == Some(made) {}
    (0..2).for_each(|tag| moved.push(json!({"ban": {"tag": tag, "ts": 1}})));
    rig.file.lock().unwrap()["bus"] = json!(moved.address.to_string());
    rig.control.reload().unwrap();
    assert_eq!(moved.call(0), Some(3), "behind the last event");
    assert_eq!(
        one(&mut web, "photo", &object(3)).status,
        200,
        "on the same connection"
    );
    rig.stop();
}

/// What one proxy finds out by a single answer, each of the others would have to find out by one of its own.
#[test]
fn a_late_origin_is_heard_of_from_peers_alone_and_told_to_them() {
    let (peer, stranger) = (
        UdpSocket::bind("127.0.0.1:0").unwrap(),
        UdpSocket::bind("127.0.0.1:0").unwrap(),
    );
    let rig = Rig::with(&["s-0a"], |config| {
        config["peer_listen"] = json!("127.0.0.1:0");
        config["peers"] = json!([peer.local_addr().unwrap().to_string()]);
        config["tell"] = json!(true);
    });
    let mut web = rig.web();
    // Whether the origin may be asked for a copy that the box lacks.
    let mut is_asked = |n: u64| {
        web.ask(1, "photo", &object(n), 2500).unwrap();
        web.end().unwrap();
        let arrival = rig.boxes[0]
            .wait_for(|a| a.field("key") == Some(&object(n)))
            .unwrap();
        arrival.field("src").is_some() && !arrival.field("flags").unwrap_or("").contains("no-fetch")
    };
    rig.boxes[0].set_behaviour(Behaviour {
        origin_ms: 2_400,
        ..Behaviour::default()
    });
    assert!(is_asked(1));
    let mut bytes = [0; 512];
    let (length, from) = peer.recv_from(&mut bytes).unwrap();
    let told = Report::decode(&bytes[..length]).unwrap();
    assert!(told.number == 1 && told.origin_share < 0.7, "{told:?}");
    rig.boxes[0].set_behaviour(Behaviour {
        origin_ms: 1,
        ..Behaviour::default()
    });
    // It is well again: by its own answers the daemon goes back to asking for all.
    let mut next = 2;
    let mut in_a_row = 0;
    while in_a_row < 60 {
        assert!(
            next < 5_000,
            "the daemon goes on sparing an origin that is well"
        );
        in_a_row = if is_asked(next) { in_a_row + 1 } else { 0 };
        next += 1;
    }
    let late = Report {
        started_at: told.started_at,
        number: 1,
        origin_share: 0.0,
        zone: told.zone,
    }
    .encode();
    stranger.send_to(&late, from).unwrap();
    peer.send_to(&late[..20], from).unwrap();
    // Once this is in force, what came before it was heard.
    let made = one(&mut rig.web(), "photo", &object(1)).made();
    while unix_ms() <= made.unwrap() + 1 {}
    peer.send_to(
        format!("purge object {} {}", object(1), unix_ms() * 1000).as_bytes(),
        from,
    )
    .unwrap();
    while one(&mut rig.web(), "photo", &object(1)).made() == made {}
    assert!(
        (next..next + 20).all(&mut is_asked),
        "neither a stranger's word nor a torn one counts"
    );
    next += 20;
    let mut number = 1;
    while is_asked(next) {
        assert!(number < 5_000, "a peer's words change nothing");
        let word = Report {
            started_at: told.started_at,
            number,
            origin_share: 0.0,
            zone: told.zone,
        };
        peer.send_to(&word.encode(), from).unwrap();
        (number, next) = (number + 1, next + 1);
    }
    rig.stop();
}

#[test]
fn a_purge_told_at_one_proxy_reaches_its_peers_and_none_is_taken_from_strangers() {
    let (peer, stranger) = (
        UdpSocket::bind("127.0.0.1:0").unwrap(),
        UdpSocket::bind("127.0.0.1:0").unwrap(),
    );
    let rig = Rig::with(&["s-0a"], |config| {
        config["peer_listen"] = json!("127.0.0.1:0");
        config["peers"] = json!([peer.local_addr().unwrap().to_string()]);
    });
    let mut web = rig.web();
    let made: Vec<_> = [1, 3]
        .iter()
        .map(|n| one(&mut web, "photo", &object(*n)).made())
        .collect();
    while unix_ms() <= made[1].unwrap() + 1 {}
    let url = format!("http://cdn.example/content/photo/{}", object(2));
    let command =
        json!({"trigger": {"type": "purge", "content.urls": [url]}, "cdn-path": ["AS64501:0"]});
    assert_eq!(
        call(rig.cdni, "POST", "/cdni/triggers", &command.to_string())
            .unwrap()
            .status,
        201
    );
    let mut bytes = [0; 512];
    let (length, from) = peer.recv_from(&mut bytes).unwrap();
    let text = std::str::from_utf8(&bytes[..length]).unwrap();
    assert!(
        text.starts_with(&format!("purge object {} ", object(2))),
        "{text}"
    );
    let now = unix_ms() * 1000;
    stranger
        .send_to(format!("purge object {} {now}", object(3)).as_bytes(), from)
        .unwrap();
    peer.send_to(format!("purge object {} {now}", object(1)).as_bytes(), from)
        .unwrap();
    while one(&mut web, "photo", &object(1)).made() == made[0] {}
    assert_eq!(one(&mut web, "photo", &object(3)).made(), made[1]);
    rig.stop();
}

#[test]
fn a_purge_told_by_cdni_holds_for_a_daemon_that_starts_again() {
    let path = std::env::temp_dir().join(format!("linnetknot-purges-{}", std::process::id()));
    let kept = |config: &mut Value| config["purges"] = json!(path);
    let rig = Rig::with(&["s-0a"], kept);
    let url = format!("http://cdn.example/content/photo/{}", object(1));
    let command =
        json!({"trigger": {"type": "purge", "content.urls": [url]}, "cdn-path": ["AS64501:0"]});
    assert_eq!(
        call(rig.cdni, "POST", "/cdni/triggers", &command.to_string())
            .unwrap()
            .status,
        201
    );
    rig.stop();
    let rig = Rig::with(&["s-0a"], kept);
    let mut web = rig.web();
    for (n, bounded) in [(1, true), (2, false)] {
        assert_eq!(one(&mut web, "photo", &object(n)).status, 200);
        let asked = rig.boxes[0]
            .wait_for(|a| a.field("key") == Some(&object(n)))
            .unwrap();
        assert_eq!(asked.field("maxage").is_some(), bounded, "{}", asked.fields);
    }
    rig.stop();
    std::fs::remove_file(path).unwrap();
}

#[test]
fn a_slow_reader_gets_its_answers_whole_and_holds_nobody_up() {
    let rig = Rig::start();
    rig.boxes[0].set_behaviour(Behaviour {
        padding: 240_000,
        ..Behaviour::default()
    });
    let (mut slow, mut other) = (rig.web(), rig.web());
    // Far more than the sockets and rings between take.
    for id in 1..=32 {
        slow.ask(id, "photo", &object(u64::from(id)), 60_000)
            .unwrap();
    }
    // Of another name than any of them.
    other.ask(99, "photo", &object(99), 2500).unwrap();
    assert_eq!(other.end().unwrap().1.unwrap().body.len() / 1000, 240);
    for _ in 1..=32 {
        let (id, answer) = slow.end().unwrap();
        let answer = answer.unwrap();
        assert!(
            answer.status == 503 || answer.body.len() / 1000 == 240,
            "{id}: {}",
            answer.status
        );
    }
    rig.stop();
}

#[test]
fn the_connections_of_a_box_that_is_gone_end_once_nothing_is_open_on_them() {
    let rig = Rig::with(&["s-0a", "s-0b"], |_| {});
    let mut web = rig.web();
    rig.boxes.iter().for_each(|b| {
        b.set_behaviour(Behaviour {
            answer_delay_ms: 250,
            ..Behaviour::default()
        });
    });
    (1..=6).for_each(|n| web.ask(n, "photo", &object(u64::from(n)), 2500).unwrap());
    rig.boxes[0].wait_for(|a| a.command == "fetch").unwrap();
    rig.bus
        .list(false, vec![entry(&rig.boxes[0], "here", "box", "gone")]);
    for _ in 1..=6 {
        assert_eq!(
            web.end().unwrap().1.unwrap().status,
            200,
            "what was out there is answered"
        );
    }
    while rig.boxes[0].open() > 0 {}
    rig.stop();
}

#[test]
fn many_attempts_at_one_box_are_spread_over_connections() {
    let rig = Rig::start();
    rig.boxes[0].set_behaviour(Behaviour {
        answer_delay_ms: 100,
        ..Behaviour::default()
    });
    let mut web = rig.web();
    for round in 0..3 {
        (1..=8).for_each(|n| {
            web.ask(n, "photo", &object(round * 8 + u64::from(n)), 2500)
                .unwrap();
        });
        for _ in 1..=8 {
            assert_eq!(web.end().unwrap().1.unwrap().status, 200);
        }
    }
    // One that breaks takes two or three with it, not all.
    assert!(
        (3..=8).contains(&rig.boxes[0].connections()),
        "{}",
        rig.boxes[0].connections()
    );
    rig.stop();
}

/// Of a hundred proxies each keeps one connection more with every silence, and the box's places are taken for good.
#[test]
fn a_connection_that_a_silent_box_left_doubtful_is_given_up_for_the_one_that_follows_it() {
    let rig = Rig::start();
    rig.origin.set_behaviour(Behaviour {
        silent: true,
        ..Behaviour::default()
    });
    let mut web = rig.web();
    for n in 1..=4 {
        // Longer than a pause: what is given up then leaves its connection in doubt.
        web.ask(n, "post", &object(u64::from(n)), 1_100).unwrap();
        assert_eq!(
            web.end().unwrap().1.unwrap().status,
            503,
            "asking again is harmless: it carries a key"
        );
    }
    rig.origin
        .wait_for(|a| a.field("key") == Some(&object(4)))
        .unwrap();
    assert_eq!(
        rig.origin.connections(),
        4,
        "each of them is tried on a new one"
    );
    // The last two: what was given up a moment ago is still being told on the one before.
    let until = std::time::Instant::now() + std::time::Duration::from_secs(10);
    while rig.origin.open() > 2 {
        assert!(
            std::time::Instant::now() < until,
            "{} are kept",
            rig.origin.open()
        );
    }
    rig.stop();
}
