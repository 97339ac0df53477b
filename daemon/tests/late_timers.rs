//! Timers that fall due while the event loop is delayed take effect before new work begins.
//!
//! The event loop is blocked until the deadline of a request has passed and all other events are pending, so the order
//! of the events is the same in every run and at every speed of the machine. These tests guard against the failure of
//! `a_quiet_client_is_answered_during_a_flood_with_an_unresponsive_cache`: an answer after the deadline of its request.

mod scripted_caches;
mod test_proxy;

use linnetknot_harness::clients::WebServer;
use scripted_caches::{
    busy_wait, next_command, photo_request, start_with_scripted_caches, ScriptedCache,
};
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};
use test_proxy::{object_id, HeldLoop, TestProxy};

/// Budget of the requests that `scripted_caches::photo_request` builds.
const BUDGET: Duration = Duration::from_millis(2_000);
/// The number of connections that wait in the backlog of a listener.
const CONNECTIONS: u64 = 40;
/// The number of pipelined requests on each FastCGI connection.
const REQUESTS_PER_CONNECTION: u16 = 60;
/// Budget of the requests in the backlog, which is not used up while the event loop is blocked.
const BACKLOG_BUDGET_MS: u64 = 60_000;
/// Longer than the step after which the rest of a turn of the event loop is stale.
const STALL: Duration = Duration::from_millis(100);
/// How long to wait for bytes that the daemon sent before its event loop was blocked.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(1);

/// A daemon with an overdue request, which its cache server has not answered.
struct OverdueRequest {
    proxy: TestProxy,
    caches: [ScriptedCache; 1],
    client: WebServer,
    /// The index of the connection to the cache server that carries the request, and the id of the request.
    connection: usize,
    id: String,
}

impl OverdueRequest {
    /// Blocks the event loop until the deadline of a request has passed. `before_deadline` runs while the loop is
    /// blocked.
    fn start(before_deadline: impl FnOnce(&TestProxy)) -> (OverdueRequest, HeldLoop) {
        let (mut proxy, mut caches) = start_with_scripted_caches::<1>(|_| {});
        let mut client = proxy.web();
        client.send(&photo_request(1, &object_id(1), 0)).unwrap();
        let (_, connection, fetch) = next_command(&mut caches);
        let sent_at = Instant::now();
        let held = proxy.hold();
        assert_eq!(
            caches[0].take_commands(),
            [],
            "the loop is blocked before the deadline"
        );
        before_deadline(&proxy);
        busy_wait(BUDGET.saturating_sub(sent_at.elapsed()) + STALL);
        let overdue = OverdueRequest {
            proxy,
            caches,
            client,
            connection,
            id: fetch[1].clone(),
        };
        (overdue, held)
    }

    /// Waits for the abort of the overdue request. Returns the number of requests that were sent before it on the same
    /// connection, where the order of the commands is the order in which the daemon executed them.
    fn fetches_before_abort(&mut self) -> usize {
        let (start, mut fetches) = (Instant::now(), 0);
        loop {
            let commands = self.caches[0].take_commands().into_iter();
            for (_, command) in commands.filter(|(index, _)| *index == self.connection) {
                if command[0] == "abort" && command[1] == self.id {
                    return fetches;
                }
                fetches += usize::from(command[0] == "fetch");
            }
            assert!(
                start.elapsed() < Duration::from_secs(30),
                "the overdue request is not aborted; {fetches} requests were sent"
            );
            std::thread::yield_now();
        }
    }

    /// Returns whether the client of the overdue request has its answer.
    fn is_answered(&mut self) -> bool {
        let socket = self.client.writer().unwrap();
        socket.set_read_timeout(Some(DELIVERY_TIMEOUT)).unwrap();
        self.client
            .end()
            .is_ok_and(|(id, answer)| id == 1 && answer.is_some_and(|answer| answer.status >= 500))
    }
}

/// Guards against a deadline answer that waits until all connections of the backlog are accepted and their requests
/// are processed.
#[test]
fn overdue_request_is_answered_before_the_backlog_of_the_client_listener() {
    let mut backlog = Vec::new();
    let (mut overdue, held) = OverdueRequest::start(|proxy| {
        for client in 1..=CONNECTIONS {
            let mut web = proxy.web();
            for id in 1..=REQUESTS_PER_CONNECTION {
                let object = object_id(1_000 * client + u64::from(id));
                web.ask(id, "photo", &object, BACKLOG_BUDGET_MS).unwrap();
            }
            backlog.push(web);
        }
    });
    drop(held);
    let released_at = Instant::now();
    let fetches = overdue.fetches_before_abort();
    println!("aborted {:?} after the release", released_at.elapsed());
    assert_eq!(
        fetches, 0,
        "requests of the backlog were sent before the overdue request was answered"
    );
    assert!(overdue.is_answered());
    drop(backlog);
    overdue.proxy.stop();
}

/// The CDNI listener has the same order: its backlog doesn't delay a deadline answer.
#[test]
fn overdue_request_is_answered_before_the_backlog_of_the_cdni_listener() {
    let mut backlog = Vec::new();
    let (mut overdue, held) = OverdueRequest::start(|proxy| {
        for client in 1..=CONNECTIONS {
            let mut socket = TcpStream::connect(proxy.cdni).unwrap();
            let object = object_id(1_000 * client);
            write!(
                socket,
                "GET /content/photo/{object}/3?kb=40 HTTP/1.1\r\nHost: a\r\n\r\n"
            )
            .unwrap();
            backlog.push(socket);
        }
    });
    drop(held);
    assert_eq!(
        overdue.fetches_before_abort(),
        0,
        "requests of the backlog were sent before the overdue request was answered"
    );
    assert!(overdue.is_answered());
    drop(backlog);
    overdue.proxy.stop();
}

/// Guards against a deadline answer that waits for several turns because each of them is interrupted as stale. A timer
/// that is due when a turn begins takes effect in that turn.
#[test]
fn overdue_request_is_answered_in_the_next_turn_although_that_is_interrupted() {
    const MAX_TURNS: usize = 8;
    let (mut overdue, held) = OverdueRequest::start(|_| {});
    // The request fell due during the first turn. The second one begins with the next reload, and is stale after it.
    let mut turns = 1;
    overdue.proxy.hold_in_next_turn(&held);
    loop {
        busy_wait(STALL);
        overdue.proxy.hold_in_next_turn(&held);
        turns += 1;
        if overdue.is_answered() {
            break;
        }
        assert!(
            turns < MAX_TURNS,
            "no answer after {turns} turns of the event loop"
        );
    }
    assert_eq!(
        turns, 2,
        "the turns of the event loop until the overdue request is answered"
    );
    drop(held);
    overdue.proxy.stop();
}
