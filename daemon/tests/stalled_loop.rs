//! What waits in the sockets after a delay of the event loop counts before a time limit that passed during the delay.

mod scripted_caches;
mod test_proxy;

use linnetknot_daemon::wire::resp;
use scripted_caches::{
    abort_record, busy_wait, next_command, photo_request, start_with_scripted_caches,
};
use std::io::Write;
use std::time::Duration;
use test_proxy::object_id;

/// Longer than a cache may pause within a response.
const STALL: Duration = Duration::from_millis(300);
/// The fields of a response that serves a copy.
const SERVED: &str = "how=local,made=1,etag=t1";

fn response(id: &str, body: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let items = [id, "200", SERVED, body];
    resp::write_array(&mut bytes, &items.map(str::as_bytes));
    bytes
}

/// Guards against a connection to a cache that is closed as stalled, with all its attempts, although the rest of the
/// response has arrived and only the event loop was delayed.
#[test]
fn a_response_that_arrives_completely_during_a_delay_of_the_loop_is_not_cut_off() {
    let (mut proxy, mut caches) = start_with_scripted_caches::<1>(|_| {});
    let mut web = proxy.web();
    let mut fetches = Vec::new();
    for id in 1..=3 {
        web.send(&photo_request(id, &object_id(u64::from(id)), 0))
            .unwrap();
        let (_, connection, fetch) = next_command(&mut caches);
        fetches.push((connection, fetch[1].clone()));
    }
    let (connection, interrupted) = fetches[0].clone();
    let on_same = fetches[1..].iter().find(|(at, _)| *at == connection);
    let (_, marker) = on_same.expect("two requests on one connection").clone();
    let late = response(&interrupted, "a copy");
    let (begin, rest) = late.split_at(late.len() / 2);
    // The answer to the second request shows that the daemon has read the begin of the first response.
    let first_bytes = [response(&marker, "another copy"), begin.to_vec()].concat();
    caches[0].connections[connection]
        .socket
        .write_all(&first_bytes)
        .unwrap();
    assert_eq!(web.end().unwrap().1.unwrap().status, 200);
    let held = proxy.hold();
    caches[0].connections[connection]
        .socket
        .write_all(rest)
        .unwrap();
    let open: Vec<u16> = (2..=3)
        .filter(|n| fetches[usize::from(*n) - 1].1 != marker)
        .collect();
    web.send(&abort_record(open[0])).unwrap();
    busy_wait(STALL);
    drop(held);
    let answer = loop {
        // The aborted request ends without an answer.
        if let (1, answer) = web.end().unwrap() {
            break answer.expect("an answer");
        }
    };
    assert_eq!(answer.status, 200);
    let commands = caches[0].take_commands();
    let is_repeated = commands.iter().any(|(_, command)| command[0] == "fetch");
    assert!(!is_repeated, "{commands:?}");
    drop(web);
    proxy.stop();
}
