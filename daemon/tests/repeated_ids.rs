//! A request that must not run twice does not run again when its id comes again, whatever became of its client.

mod scripted_caches;
mod test_proxy;

use linnetknot_harness::clients::WebServer;
use scripted_caches::{abort_record, next_command, take_fetches, ScriptedCache};
use serde_json::{json, Value};
use test_proxy::{object_id, TestProxy};

/// The number of a request on its connection.
const STREAM: u16 = 1;
/// The id of the request that comes twice.
const ID: &str = "9b1f03aa5c7e2d41";
const OK_FIELDS: &str = "how=local,made=1,etag=t1";
/// Statuses that tell a client that a retry is harmless.
const REFUSALS: [u16; 2] = [429, 503];

/// What becomes of the client of the first request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ClientEnd {
    Answered,
    Closed,
    Aborted,
}

const CLIENT_ENDS: [ClientEnd; 3] = [ClientEnd::Answered, ClientEnd::Closed, ClientEnd::Aborted];

/// Adds classes that must not run twice: with an idempotency key (in a cell only) and without.
fn add_classes(config: &mut Value) {
    let classes = config["settings"]["categories"].as_array_mut().unwrap();
    classes[1]["dedup-scope"] = "cell".into();
    classes.push(
        json!({"name": "activate", "aim-us": 800_000, "deadline-us": 3_000_000, "worth": 3.0,
        "repeat": "side_effect"}),
    );
}

/// Starts a daemon whose cache and origin are scripted.
fn start_scripted() -> (TestProxy, [ScriptedCache; 2]) {
    let servers = [ScriptedCache::start(), ScriptedCache::start()];
    let addresses = servers.each_ref().map(ScriptedCache::address);
    let proxy = TestProxy::with(&["s-0a"], |config| {
        let targets = &mut config["known"]["batch"][0]["topology"]["targets"];
        for (n, address) in addresses.iter().enumerate() {
            targets[n]["endpoint"] = address.as_str().into();
        }
        add_classes(config);
    });
    (proxy, servers)
}

fn request(class: &str) -> Vec<u8> {
    let object = object_id(1);
    let fields = [
        ("HTTP_REQUEST_ID", ID),
        ("HTTP_RESOURCE_KEY", object.as_str()),
        ("HTTP_BUDGET_MS", "2000"),
        ("HTTP_ONCE_KEY", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"),
    ];
    WebServer::request(STREAM, &format!("/invoke/{class}"), &fields, b"")
}

/// Waits until the daemon has processed all earlier input, by a health check on a new connection.
fn await_processing(proxy: &TestProxy) {
    let mut web = proxy.web();
    web.send(&WebServer::request(9, "/_health", &[], b""))
        .unwrap();
    web.end().unwrap();
}

/// Sends a request on a new connection, and returns the connection where the request arrived.
fn send_first(
    proxy: &TestProxy,
    servers: &mut [ScriptedCache; 2],
    class: &str,
) -> (WebServer, usize, usize) {
    let mut web = proxy.web();
    web.send(&request(class)).unwrap();
    let (at, connection, fetch) = next_command(servers);
    assert_eq!(fetch[..2], ["fetch", ID]);
    (web, at, connection)
}

/// Sends the request again, and returns the status of its answer. No server may receive it.
fn send_again(proxy: &TestProxy, servers: &mut [ScriptedCache; 2], class: &str, case: &str) -> u16 {
    let mut web = proxy.web();
    web.send(&request(class)).unwrap();
    await_processing(proxy);
    let fetches = take_fetches(servers);
    assert!(fetches.is_empty(), "{case}: {fetches:?}");
    web.end().unwrap().1.unwrap().status
}

/// Ends the client of the first request, and its attempt.
fn end_first(
    proxy: &TestProxy,
    server: &mut ScriptedCache,
    connection: usize,
    mut web: WebServer,
    end: ClientEnd,
) {
    match end {
        ClientEnd::Answered => {
            server.connections[connection].respond(ID, "200", OK_FIELDS, "done");
            assert_eq!(web.end().unwrap().1.unwrap().status, 200);
            return;
        }
        ClientEnd::Closed => drop(web),
        ClientEnd::Aborted => {
            web.send(&abort_record(STREAM)).unwrap();
            web.end().unwrap();
        }
    }
    await_processing(proxy);
    // The answer is late: the client has left.
    server.connections[connection].respond(ID, "200", OK_FIELDS, "done");
    await_processing(proxy);
}

/// Responds to all further attempts with this status, until the client has its answer.
fn respond_until_answered(servers: &mut [ScriptedCache; 2], mut web: WebServer, status: &str) {
    let answer = std::thread::spawn(move || web.end().unwrap().1.unwrap());
    while !answer.is_finished() {
        for (at, connection, ..) in take_fetches(servers) {
            servers[at].connections[connection].respond(ID, status, OK_FIELDS, "");
        }
        std::thread::yield_now();
    }
    answer.join().unwrap();
}

/// Guards against a request that runs twice, as its id comes again after its client has left or was answered.
#[test]
fn a_request_that_may_have_run_does_not_run_again_under_its_id() {
    for class in ["activate", "post"] {
        for end in CLIENT_ENDS {
            let case = format!("{class}, {end:?}");
            let (proxy, mut servers) = start_scripted();
            let (web, at, connection) = send_first(&proxy, &mut servers, class);
            end_first(&proxy, &mut servers[at], connection, web, end);
            take_fetches(&mut servers);
            for _ in 0..3 {
                let status = send_again(&proxy, &mut servers, class, &case);
                assert!(
                    status >= 500 && !REFUSALS.contains(&status),
                    "{case}: {status}"
                );
            }
            proxy.stop();
        }
    }
}

/// Guards against an answer that calls a retry harmless while the first request with the id is at a cache.
#[test]
fn a_request_whose_id_is_in_flight_fails_and_is_not_refused() {
    for class in ["activate", "post"] {
        let (proxy, mut servers) = start_scripted();
        let (web, _, _) = send_first(&proxy, &mut servers, class);
        let status = send_again(&proxy, &mut servers, class, class);
        assert!(
            status >= 500 && !REFUSALS.contains(&status),
            "{class}: {status}"
        );
        drop(web);
        proxy.stop();
    }
}

/// Guards against a failure of a request that may run again: it is idempotent, or it has not run.
#[test]
fn a_request_that_may_run_again_is_served_under_its_id() {
    for (class, first_status) in [("photo", "200"), ("activate", "503"), ("post", "503")] {
        let (proxy, mut servers) = start_scripted();
        let (web, at, connection) = send_first(&proxy, &mut servers, class);
        servers[at].connections[connection].respond(ID, first_status, OK_FIELDS, "");
        respond_until_answered(&mut servers, web, first_status);
        let (mut web, at, connection) = send_first(&proxy, &mut servers, class);
        servers[at].connections[connection].respond(ID, "200", OK_FIELDS, "done");
        assert_eq!(web.end().unwrap().1.unwrap().status, 200, "{class}");
        proxy.stop();
    }
}
