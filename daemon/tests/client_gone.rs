//! A client that has closed or cancelled has gone: whatever its requests wait for at that moment, no further attempt of
//! them begins. Every way to go, with one request on the connection and with as many as it may have, on real sockets.

mod scripted_caches;
mod test_proxy;

use linnetknot_harness::clients::WebServer;
use scripted_caches::{
    abort_record, add_parents, busy_wait, fill_accept_queue, next_command, photo_request,
    start_with_scripted_caches, take_fetches, Fetch, ScriptedCache,
};
use serde_json::json;
use std::net::Shutdown;
use std::time::{Duration, Instant};
use test_proxy::{object_id, send_and_receive, TestProxy};

/// How a client goes.
#[derive(Clone, Copy, Debug)]
enum Goes {
    /// It closes its socket.
    Fin,
    /// It resets the connection.
    Reset,
    /// It takes its requests back and keeps the connection.
    Abort,
    /// It ends its own half, and could still read.
    HalfClose,
}

const WAYS: [Goes; 4] = [Goes::Fin, Goes::Reset, Goes::Abort, Goes::HalfClose];
/// Requests on its connection: one, and as many as one connection may have.
const COUNTS: [u16; 2] = [1, 32];
/// Numbers of the requests of the client that stays.
const STAYS: u16 = 100;

impl Goes {
    /// Has a client go that has so many requests open. What is returned keeps open what is to stay open.
    fn go(self, mut web: WebServer, count: u16) -> Option<WebServer> {
        match self {
            Goes::Fin => None,
            Goes::Reset => {
                let linger = Some(Duration::ZERO);
                rustix::net::sockopt::set_socket_linger(web.writer().unwrap(), linger).unwrap();
                None
            }
            Goes::Abort => {
                let aborts: Vec<u8> = (1..=count).flat_map(abort_record).collect();
                web.send(&aborts).unwrap();
                Some(web)
            }
            Goes::HalfClose => {
                web.writer().unwrap().shutdown(Shutdown::Write).unwrap();
                Some(web)
            }
        }
    }
}

/// The id under which a box is asked for the request with this number.
fn wire_id(number: u16) -> String {
    format!("{:016x}", 0xabc_0000 + u64::from(number))
}

/// Serves a client until a connection to each box is up, so that a further attempt would have to wait for none.
fn warm_up<const N: usize>(boxes: &mut [ScriptedCache; N], web: &mut WebServer) {
    let mut n = 1_000;
    while boxes.iter().any(|scripted| scripted.connections.is_empty()) {
        web.send(&photo_request(STAYS, &object_id(n), 0)).unwrap();
        let (at, place, fetch) = next_command(boxes);
        boxes[at].connections[place].respond(
            &fetch[1],
            "200",
            "how=local,made=1,etag=t1",
            "a copy",
        );
        assert_eq!(web.end().unwrap().1.unwrap().status, 200);
        n += 1;
    }
}

/// The daemon has taken in all that was there before.
fn settled(web: &mut WebServer) {
    web.send(&WebServer::request(9, "/_health", &[], b""))
        .unwrap();
    web.end().unwrap();
}

/// Has a client served that stays, twice: by then all that lies in the sockets before it is carried out. The calls that
/// came meanwhile, other than its own.
fn serve_twice<const N: usize>(boxes: &mut [ScriptedCache; N], web: &mut WebServer) -> Vec<Fetch> {
    let mut others = Vec::new();
    for n in 1..=2 {
        web.send(&photo_request(
            STAYS + n,
            &object_id(7_000 + u64::from(n)),
            0,
        ))
        .unwrap();
        let start = Instant::now();
        let mut served = false;
        while !served {
            for fetch in take_fetches(boxes) {
                if fetch.2 == wire_id(STAYS + n) {
                    let wire = &mut boxes[fetch.0].connections[fetch.1];
                    wire.respond(&fetch.2, "200", "how=local,made=1,etag=t1", "a copy");
                    served = true;
                } else {
                    others.push(fetch);
                }
            }
            assert!(start.elapsed() < Duration::from_secs(10), "nothing comes");
            std::thread::yield_now();
        }
        assert_eq!(web.end().unwrap().1.unwrap().status, 200);
    }
    others
}

/// Two boxes; with parents, where the answer tells of a fill that failed.
fn site(word: &str, fields: &str) -> (TestProxy, [ScriptedCache; 2]) {
    let fill = word == "404" || fields == "how=cut_off";
    start_with_scripted_caches::<2>(|config| {
        if fill {
            add_parents(config);
        }
    })
}

/// A client that stays has a further attempt made after such an answer.
fn has_a_further_attempt_made(word: &str, fields: &str) {
    let (rig, mut boxes) = site(word, fields);
    let mut stays = rig.web();
    warm_up(&mut boxes, &mut stays);
    let mut web = rig.web();
    web.send(&photo_request(1, &object_id(1), 0)).unwrap();
    let (at, place, fetch) = next_command(&mut boxes);
    boxes[at].connections[place].respond(&fetch[1], word, fields, "");
    let (_, _, again) = next_command(&mut boxes);
    assert_eq!(again[..2], fetch[..2], "{word} {fields}");
    drop((stays, web));
    rig.stop();
}

/// A client with attempts out that goes, and then every one of them is answered in a way that asks for a further attempt.
fn goes_before_the_answer(word: &str, fields: &str, one_object: bool) {
    has_a_further_attempt_made(word, fields);
    for goes in WAYS {
        for count in COUNTS {
            let name = format!("{goes:?} with {count}, {word} {fields}");
            let (rig, mut boxes) = site(word, fields);
            let mut stays = rig.web();
            warm_up(&mut boxes, &mut stays);
            let mut web = rig.web();
            for id in 1..=count {
                let n = if one_object { 1 } else { u64::from(id) };
                web.send(&photo_request(id, &object_id(n), 0)).unwrap();
            }
            let mut out = Vec::new();
            let start = Instant::now();
            while out.len() < usize::from(count) {
                out.extend(take_fetches(&mut boxes));
                assert!(start.elapsed() < Duration::from_secs(10), "{name}");
            }
            let gone = goes.go(web, count);
            settled(&mut stays);
            for (at, place, id, _) in out {
                boxes[at].connections[place].respond(&id, word, fields, "");
            }
            let again = serve_twice(&mut boxes, &mut stays);
            assert!(again.is_empty(), "{name}: {again:?}");
            drop((gone, stays));
            rig.stop();
        }
    }
}

#[test]
fn a_client_that_goes_while_a_box_may_reject_its_request_gets_no_retry() {
    goes_before_the_answer("503", "-", false);
}

#[test]
fn a_client_that_goes_while_its_fill_may_fail_gets_no_other_fill() {
    goes_before_the_answer("503", "how=cut_off", false);
    goes_before_the_answer("404", "-", false);
}

/// Its requests wait at the box for the fill of the first one.
#[test]
fn a_client_that_goes_while_it_waits_for_the_answer_to_another_request_gets_no_retry() {
    goes_before_the_answer("503", "how=rode", true);
}

/// The requests wait in the queue of a connection that is not up when the client goes, and it comes up then.
#[test]
fn a_client_that_goes_while_its_requests_wait_for_a_connection_has_none_begun() {
    std::thread::scope(|scope| {
        for goes in WAYS {
            for count in COUNTS {
                scope.spawn(move || goes_before_the_connection_is_up(goes, count));
            }
        }
    });
}

fn goes_before_the_connection_is_up(goes: Goes, count: u16) {
    let (rig, mut boxes) = start_with_scripted_caches::<1>(|config| {
        config["settings"]["limits"]["connect-timeout-us"] = json!(8_000_000);
    });
    let filler = fill_accept_queue(&boxes[0]);
    let (mut web, mut stays) = (rig.web(), rig.web());
    for id in 1..=count {
        web.send(&photo_request(id, &object_id(u64::from(id)), 0))
            .unwrap();
    }
    settled(&mut stays);
    let gone = goes.go(web, count);
    settled(&mut stays);
    stays
        .send(&photo_request(STAYS, &object_id(99), 0))
        .unwrap();
    let (_, place, fetch) = next_command(&mut boxes);
    assert!(
        fetch[2].contains(&object_id(99)),
        "{goes:?} with {count}: {fetch:?}"
    );
    boxes[0].connections[place].respond(&fetch[1], "200", "how=local,made=1,etag=t1", "a copy");
    assert_eq!(stays.end().unwrap().1.unwrap().status, 200);
    assert!(take_fetches(&mut boxes).is_empty(), "{goes:?} with {count}");
    drop((filler, gone, stays));
    rig.stop();
}

/// An object whose first place among the boxes `s-0a` and `s-0b` is the first, and one whose is the second.
fn objects_by_box() -> [String; 2] {
    let rig = TestProxy::with(&["s-0a", "s-0b"], |_| {});
    let mut web = rig.web();
    let mut n = 500;
    while rig.caches.iter().any(|b| b.arrivals().is_empty()) {
        assert_eq!(
            send_and_receive(&mut web, "photo", &object_id(n)).status,
            200
        );
        n += 1;
    }
    let first = |n: usize| rig.caches[n].arrivals()[0].field("key").unwrap().to_owned();
    let objects = [first(0), first(1)];
    drop(web);
    rig.stop();
    objects
}

/// The loop is kept for longer than an attempt may wait for its connection: what is due by then must not come before
/// the end of a client that has gone meanwhile.
#[test]
fn what_became_due_while_the_loop_was_kept_begins_nothing_for_a_client_that_has_gone_meanwhile() {
    let objects = objects_by_box();
    let timeout = Duration::from_secs(1);
    for goes in [None, Some(Goes::Fin), Some(Goes::Abort)] {
        let (mut rig, mut boxes) = start_with_scripted_caches::<2>(|config| {
            config["settings"]["limits"]["connect-timeout-us"] = json!(1_000_000);
        });
        let mut stays = rig.web();
        stays.send(&photo_request(STAYS, &objects[1], 0)).unwrap();
        let (at, place, fetch) = next_command(&mut boxes);
        assert_eq!(at, 1);
        boxes[1].connections[place].respond(&fetch[1], "200", "how=local,made=1,etag=t1", "a copy");
        assert_eq!(stays.end().unwrap().1.unwrap().status, 200);
        let filler = fill_accept_queue(&boxes[0]);
        let mut web = rig.web();
        settled(&mut web);
        web.send(&photo_request(1, &objects[0], 0)).unwrap();
        settled(&mut stays);
        let held = rig.hold();
        assert_eq!(boxes[1].take_commands(), [], "it waits for its connection");
        let gone = match goes {
            Some(goes) => goes.go(web, 1),
            None => Some(web),
        };
        busy_wait(timeout + Duration::from_millis(200));
        drop(held);
        let begun = serve_twice(&mut boxes, &mut stays);
        let begun: Vec<&str> = begun.iter().map(|fetch| fetch.2.as_str()).collect();
        match goes {
            None => assert_eq!(begun, [wire_id(1)], "one that stays gets its retry"),
            Some(goes) => assert_eq!(begun, [""; 0], "{goes:?}"),
        }
        drop((filler, gone, stays));
        rig.stop();
    }
}
