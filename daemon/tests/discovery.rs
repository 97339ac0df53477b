//! Tests of cache discovery through Consul, with a daemon on loopback and a fake agent.

mod test_proxy;

use linnetknot_harness::clients::WebServer;
use linnetknot_harness::fakes::cache::FakeCache;
use linnetknot_harness::fakes::consul::{instance, Agent, Behaviour};
use serde_json::{json, Value};
use std::net::TcpListener;
use std::path::PathBuf;
use test_proxy::{object_id, send_and_receive, TestProxy};

/// The number of caches that the endpoint table holds.
const MAX_CACHES: usize = 20_000;
const CACHES: [&str; 3] = ["s-0a", "s-0b", "s-0c"];

fn start_with_agent(agent: &Agent, change: impl Fn(&mut Value)) -> TestProxy {
    TestProxy::with(&CACHES, |config| {
        config["known"] = Value::Null;
        config["consul"] =
            json!({"address": agent.address.to_string(), "answer_ms": 500, "wait_s": 1});
        change(config);
    })
}

fn instances(proxy: &TestProxy, statuses: [&str; 3]) -> Vec<Value> {
    proxy
        .caches
        .iter()
        .zip(statuses)
        .map(|(b, status)| instance(b.uid, b.address, status))
        .collect()
}

const READY: [&str; 3] = ["passing"; 3];

/// Starts an agent and a daemon, and waits until the daemon has read the agent's list.
fn start_with_list(change: impl Fn(&mut Value)) -> (Agent, TestProxy, WebServer) {
    let agent = Agent::start().unwrap();
    let proxy = start_with_agent(&agent, change);
    agent.register(&instances(&proxy, READY));
    assert!(agent.wait_until_read());
    let web = proxy.web();
    (agent, proxy, web)
}

/// Requests many objects and returns how many fetches reached each cache.
fn fetches_per_cache(proxy: &TestProxy, web: &mut WebServer) -> Vec<usize> {
    let count = |b: &FakeCache| b.arrivals().iter().filter(|a| a.command == "fetch").count();
    let before: Vec<usize> = proxy.caches.iter().map(count).collect();
    for n in 0..60 {
        assert_eq!(send_and_receive(web, "photo", &object_id(n)).status, 200);
    }
    proxy
        .caches
        .iter()
        .map(count)
        .zip(before)
        .map(|(after, before)| after - before)
        .collect()
}

#[test]
fn a_critical_cache_gets_no_requests_even_if_another_instance_is_invalid() {
    let (agent, proxy, mut web) = start_with_list(|_| {});
    assert!(fetches_per_cache(&proxy, &mut web).iter().all(|n| *n > 0));
    let mut list = instances(&proxy, ["critical", "passing", "passing"]);
    list[1]["Service"]["Port"] = 0.into();
    agent.register(&list);
    assert!(agent.wait_until_read());
    assert_eq!(fetches_per_cache(&proxy, &mut web)[..2], [0, 0]);
    agent.register(&instances(&proxy, READY));
    assert!(agent.wait_until_read());
    // A recovered cache gets requests again under slow start.
    for n in 0.. {
        send_and_receive(&mut web, "photo", &object_id(n));
        if proxy.caches[0].arrivals().len() > 60 {
            break;
        }
    }
    proxy.stop();
}

#[test]
fn instances_without_known_metadata_are_used() {
    let agent = Agent::start().unwrap();
    let proxy = start_with_agent(&agent, |_| {});
    let mut list = instances(&proxy, READY);
    list.iter_mut()
        .for_each(|i| i["Service"]["Meta"] = json!({"rack": "r7", "version": "3.1"}));
    agent.register(&list);
    assert!(agent.wait_until_read());
    assert!(fetches_per_cache(&proxy, &mut proxy.web())
        .iter()
        .all(|n| *n > 0));
    proxy.stop();
}

#[test]
fn a_cache_with_a_flapping_check_gets_no_requests() {
    let (agent, proxy, mut web) = start_with_list(|_| {});
    for _ in 0..4 {
        for status in ["critical", "passing"] {
            agent.register(&instances(&proxy, [status, "passing", "passing"]));
            assert!(agent.wait_until_read());
        }
    }
    let fetches = fetches_per_cache(&proxy, &mut web);
    assert!(
        fetches[0] == 0 && fetches[1] > 0 && fetches[2] > 0,
        "the flapping cache is suppressed although its check passes: {fetches:?}"
    );
    proxy.stop();
}

#[test]
fn a_failing_agent_leaves_the_list_unchanged_and_is_queried_again() {
    let (agent, proxy, _) = start_with_list(|config| {
        config["consul"]["most_answer_mb"] = 1.into();
        // Flap damping would suppress the repeated drains of this test.
        config["consul"]["damping"] = json!({"half_life_s": 0.001, "most_suppressed_s": 1});
    });
    for behaviour in [
        Behaviour::Leaderless,
        Behaviour::Denied,
        Behaviour::Garbage,
        Behaviour::CutOff,
        Behaviour::Endless,
        Behaviour::Silent,
        Behaviour::Unavailable,
    ] {
        let (before, mut web) = (agent.requests().len(), proxy.web());
        agent.set_behaviour(behaviour);
        if behaviour != Behaviour::Unavailable {
            assert!(
                agent.wait_for(|requests| requests.len() > before),
                "{behaviour:?}"
            );
        }
        let fetches = fetches_per_cache(&proxy, &mut web);
        assert!(
            fetches[0] > 0 && fetches[2] > 0,
            "{behaviour:?}: the last list stays in use"
        );
        agent.set_behaviour(Behaviour::Chunked);
        agent.register(&instances(&proxy, ["passing", "critical", "passing"]));
        assert!(agent.wait_until_read(), "{behaviour:?}");
        assert_eq!(
            fetches_per_cache(&proxy, &mut proxy.web())[1],
            0,
            "{behaviour:?}"
        );
        agent.register(&instances(&proxy, READY));
        assert!(agent.wait_until_read(), "{behaviour:?}");
    }
    proxy.stop();
}

#[test]
fn the_next_agent_is_queried_if_one_is_unreachable() {
    let second = Agent::start().unwrap();
    let unreachable = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let proxy = start_with_agent(&second, |config| {
        let agents = [unreachable.to_string(), second.address.to_string()];
        config["consul"] = json!({"agents": agents, "answer_ms": 500});
    });
    second.register(&instances(&proxy, READY));
    assert!(second.wait_until_read());
    assert!(fetches_per_cache(&proxy, &mut proxy.web())
        .iter()
        .all(|n| *n > 0));
    proxy.stop();
}

#[test]
fn an_index_reset_and_a_false_empty_response_lose_no_cache() {
    let (agent, proxy, mut web) = start_with_list(|_| {});
    agent.set_index(1);
    agent.register(&instances(&proxy, ["passing", "critical", "passing"]));
    assert!(agent.wait_until_read());
    assert_eq!(fetches_per_cache(&proxy, &mut web)[1], 0);
    // The health endpoint lists no instance, while the catalog lists all of them.
    let before = agent.requests().len();
    agent.lose_health();
    let consistent =
        |a: &linnetknot_harness::fakes::consul::AgentRequest| a.target.contains("?consistent");
    assert!(agent.wait_for(|requests| requests[before..].iter().any(consistent)));
    assert!(fetches_per_cache(&proxy, &mut web)[0] > 0);
    proxy.stop();
    // An empty response that the catalog confirms removes the caches.
    let (agent, proxy, mut web) = start_with_list(|_| {});
    agent.register(&[]);
    assert!(agent.wait_until_read());
    while send_and_receive(&mut web, "photo", &object_id(1)).status == 200 {}
    proxy.stop();
}

#[test]
fn each_datacenter_is_queried_separately() {
    let (agent, proxy, mut web) =
        start_with_list(|config| config["consul"]["datacenters"] = json!(["seoul", "busan"]));
    for dc in ["dc=seoul", "dc=busan"] {
        assert!(agent.wait_for(|requests| requests
            .iter()
            .any(|a| a.target.contains(dc) && a.target.contains("index="))));
    }
    // Both datacenters list the same caches. A cache that is critical in one of them drains.
    agent.register(&instances(&proxy, ["critical", "passing", "passing"]));
    assert!(agent.wait_until_read());
    let fetches = fetches_per_cache(&proxy, &mut web);
    assert!(fetches[0] == 0 && fetches[1] > 0, "{fetches:?}");
    proxy.stop();
}

#[test]
fn a_moved_cache_gets_requests_at_its_new_address_only() {
    let (agent, proxy, mut web) = start_with_list(|_| {});
    assert!(fetches_per_cache(&proxy, &mut web).iter().all(|n| *n > 0));
    let moved_cache = FakeCache::start("s-0a").unwrap();
    let mut list = instances(&proxy, READY);
    list[0] = instance("s-0a", moved_cache.address, "passing");
    agent.register(&list);
    assert!(agent.wait_until_read());
    let before = proxy.caches[0].arrivals().len();
    for n in 0.. {
        send_and_receive(&mut web, "photo", &object_id(n));
        if moved_cache.arrivals().len() > 5 {
            break;
        }
    }
    assert_eq!(proxy.caches[0].arrivals().len(), before);
    assert_eq!(
        proxy.caches[0].open(),
        0,
        "connections to the old address are closed"
    );
    proxy.stop();
}

#[test]
fn a_drain_is_not_lost_among_thousands_of_instance_changes() {
    let (agent, proxy, mut web) = start_with_list(|_| {});
    let remote_instance = |n: usize, status: &str| {
        let mut far = instance(
            &format!("far-{n}"),
            ([127, 1, (n / 250) as u8, (n % 250) as u8], 7000).into(),
            status,
        );
        far["Service"]["Meta"]["az"] = "hub".into();
        far
    };
    let mut list = instances(&proxy, READY);
    list.extend((0..5000).map(|n| remote_instance(n, "passing")));
    agent.register(&list);
    assert!(agent.wait_until_read());
    assert!(fetches_per_cache(&proxy, &mut web).iter().all(|n| *n > 0));
    for n in 0..10_000 {
        let at = n * 7 % 5000;
        agent.update(
            3 + at,
            &remote_instance(at, if n % 2 == 0 { "critical" } else { "warning" }),
        );
        if n == 5000 {
            agent.update(0, &instance("s-0a", proxy.caches[0].address, "critical"));
        }
    }
    assert!(agent.wait_until_read());
    web = proxy.web();
    let fetches = fetches_per_cache(&proxy, &mut web);
    assert!(fetches[0] == 0 && fetches[1] > 0, "{fetches:?}");
    proxy.stop();
}

/// The agent sends the list over four times `answer_ms`, with pauses of a fifth of it.
#[test]
fn a_drain_in_a_list_that_arrives_slowly_takes_effect() {
    let (agent, proxy, _) = start_with_list(|_| {});
    let mut list = instances(&proxy, ["critical", "passing", "passing"]);
    list.extend((0..5000).map(|n| {
        let address = ([127, 1, (n / 250) as u8, (n % 250) as u8], 7000).into();
        let mut far = instance(&format!("far-{n}"), address, "passing");
        far["Service"]["Meta"]["az"] = "hub".into();
        far
    }));
    agent.set_behaviour(Behaviour::InParts);
    agent.register(&list);
    assert!(agent.wait_until_read(), "the list is read to its end");
    let fetches = fetches_per_cache(&proxy, &mut proxy.web());
    assert!(fetches[0] == 0 && fetches[1] > 0, "{fetches:?}");
    proxy.stop();
}

/// Once a response has begun, the wait of its blocking query no longer counts.
#[test]
fn a_response_that_stalls_is_cut_off_before_the_wait_of_its_query_is_over() {
    let (agent, proxy, _) = start_with_list(|config| config["consul"]["wait_s"] = 60.into());
    let before = agent.requests().len();
    agent.set_behaviour(Behaviour::Stalled);
    assert!(agent.wait_for(|requests| requests.len() > before));
    agent.set_behaviour(Behaviour::Normal);
    agent.register(&instances(&proxy, ["critical", "passing", "passing"]));
    assert!(agent.wait_until_read());
    assert_eq!(fetches_per_cache(&proxy, &mut proxy.web())[0], 0);
    proxy.stop();
}

#[test]
fn a_response_that_drips_without_an_end_is_cut_off_and_asked_for_again() {
    let (agent, proxy, _) = start_with_list(|config| config["consul"]["answer_ms"] = 100.into());
    let before = agent.requests().len();
    agent.set_behaviour(Behaviour::Dripping);
    assert!(
        agent.wait_for(|requests| requests.len() >= before + 3),
        "each query is cut off and followed by another one"
    );
    let fetches = fetches_per_cache(&proxy, &mut proxy.web());
    assert!(
        fetches.iter().all(|n| *n > 0),
        "the last list stays in use: {fetches:?}"
    );
    agent.set_behaviour(Behaviour::Normal);
    agent.register(&instances(&proxy, ["passing", "critical", "passing"]));
    assert!(agent.wait_until_read());
    assert_eq!(fetches_per_cache(&proxy, &mut proxy.web())[1], 0);
    proxy.stop();
}

/// Guards against a proxy that never reads a list again, because the list of a fleet that its table holds exceeds the
/// default bound of a response (found beside review, case 2).
#[test]
fn a_drain_in_a_list_as_long_as_the_table_takes_effect() {
    let (agent, proxy, _) = start_with_list(|_| {});
    let mut list = instances(&proxy, ["critical", "passing", "passing"]);
    // The origin is in the table as well.
    list.extend((0..MAX_CACHES - list.len() - 1).map(|n| {
        let address = ([127, 1, (n / 250) as u8, (n % 250) as u8], 7000).into();
        let mut far = instance(&format!("far-{n}"), address, "passing");
        far["Service"]["Meta"]["az"] = "hub".into();
        far
    }));
    agent.register(&list);
    assert!(agent.wait_until_read(), "the list is read to its end");
    let fetches = fetches_per_cache(&proxy, &mut proxy.web());
    assert!(fetches[0] == 0 && fetches[1] > 0, "{fetches:?}");
    proxy.stop();
}

/// Creates an empty temporary folder.
fn temp_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("linnetknot-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

#[test]
fn a_proxy_that_starts_without_an_agent_uses_its_cached_list() {
    let folder = temp_folder("kept");
    let state = json!({"directory": folder});
    let (agent, proxy, _) = start_with_list(|config| config["state"] = state.clone());
    agent.register(&instances(&proxy, ["passing", "critical", "passing"]));
    assert!(agent.wait_until_read());
    let caches = proxy.caches.clone();
    proxy.stop();
    let file = folder.join("boxes-0.list");
    let bytes = String::from_utf8(std::fs::read(&file).unwrap()).unwrap();
    let is_cached = |b: &FakeCache| bytes.contains(b.uid) && bytes.contains(&b.address.to_string());
    assert!(caches.iter().all(is_cached), "{bytes}");
    // While the agent is unreachable, the daemon starts with the cached list, including the drain recorded there.
    agent.set_behaviour(Behaviour::Unavailable);
    let mut proxy = start_with_agent(&agent, |config| config["state"] = state.clone());
    proxy.caches = caches;
    let fetches = fetches_per_cache(&proxy, &mut proxy.web());
    assert!(
        fetches[0] > 0 && fetches[1] == 0 && fetches[2] > 0,
        "{fetches:?}"
    );
    // The agent returns with a changed list.
    agent.register(&instances(&proxy, ["critical", "passing", "passing"]));
    agent.set_behaviour(Behaviour::Normal);
    assert!(agent.wait_until_read());
    assert_eq!(fetches_per_cache(&proxy, &mut proxy.web())[0], 0);
    proxy.stop();
    // A truncated file must be skipped, so the proxy starts without a list.
    agent.set_behaviour(Behaviour::Unavailable);
    let bytes = std::fs::read(&file).unwrap();
    std::fs::write(&file, &bytes[..bytes.len() - 1]).unwrap();
    let proxy = start_with_agent(&agent, |config| config["state"] = state.clone());
    assert_eq!(
        send_and_receive(&mut proxy.web(), "photo", &object_id(1)).status,
        503
    );
    proxy.stop();
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn the_proxy_is_registered_while_it_serves_and_deregistered_at_shutdown() {
    let (agent, proxy, _) = start_with_list(|config| {
        config["name"] = "edge-7".into();
        config["consul"]["register"] = json!({"name": "edge-proxy", "tags": ["v1"], "ttl_s": 1});
    });
    assert!(agent.wait_for_check("edge-7", Some("passing")));
    let registered = agent
        .requests()
        .into_iter()
        .find(|a| a.target.ends_with("/register"))
        .unwrap();
    let body: Value = serde_json::from_str(&registered.body).unwrap();
    assert_eq!(
        (&body["Port"], &body["Tags"]),
        (&proxy.client_address.port().into(), &json!(["v1"]))
    );
    // With all caches draining the proxy can't serve requests.
    agent.register(&instances(&proxy, ["critical"; 3]));
    assert!(agent.wait_for_check("edge-7", Some("critical")));
    agent.register(&instances(&proxy, READY));
    assert!(agent.wait_for_check("edge-7", Some("passing")));
    agent.forget();
    assert!(
        agent.wait_for_check("edge-7", Some("passing")),
        "the proxy registers again"
    );
    proxy.stop();
    assert!(agent.wait_for_check("edge-7", None));
}

#[test]
fn a_denied_token_is_read_from_its_file_again() {
    let folder = temp_folder("token");
    let file = folder.join("token");
    std::fs::write(&file, "old-secret\n").unwrap();
    let (agent, proxy, mut web) =
        start_with_list(|config| config["consul"]["token_file"] = json!(file));
    assert!(agent
        .requests()
        .iter()
        .all(|a| a.token.as_deref() == Some("old-secret")));
    std::fs::write(&file, "new-secret\n").unwrap();
    agent.want_token("new-secret");
    agent.register(&instances(&proxy, ["critical", "passing", "passing"]));
    assert!(agent.wait_until_read());
    assert_eq!(fetches_per_cache(&proxy, &mut web)[0], 0);
    proxy.stop();
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn a_reload_changes_the_agent_without_losing_the_list() {
    let (_, mut proxy, mut web) = start_with_list(|_| {});
    let other = Agent::start().unwrap();
    other.set_behaviour(Behaviour::Leaderless);
    proxy.config_file.lock().unwrap()["consul"] =
        json!({"address": other.address.to_string(), "answer_ms": 500});
    proxy.control.reload().unwrap();
    assert!(other.wait_for(|requests| requests.len() > 1));
    assert!(
        fetches_per_cache(&proxy, &mut web).iter().all(|n| *n > 0),
        "the previous list stays in use"
    );
    other.register(&instances(&proxy, ["passing", "passing", "critical"]));
    other.set_behaviour(Behaviour::Normal);
    assert!(other.wait_until_read());
    assert_eq!(fetches_per_cache(&proxy, &mut web)[2], 0);
    // A reload with an invalid `consul` section must change nothing.
    proxy.config_file.lock().unwrap()["consul"]["wait_s"] = 0.into();
    proxy.control.reload().unwrap();
    other.register(&instances(&proxy, ["critical", "passing", "critical"]));
    assert!(other.wait_until_read());
    assert_eq!(fetches_per_cache(&proxy, &mut web)[..1], [0]);
    proxy.stop();
}

/// Guards against a change of the agents that is lost for good because the token file can't be read for a moment (found
/// beside review, case 1).
#[test]
fn a_reload_whose_token_file_can_not_be_read_for_a_moment_is_applied_later() {
    let folder = temp_folder("unreadable-token");
    let file = folder.join("token");
    // A symbolic link to itself can't be opened, with an error that may pass.
    std::os::unix::fs::symlink(&file, &file).unwrap();
    let (_, mut proxy, mut web) = start_with_list(|_| {});
    let other = Agent::start().unwrap();
    other.want_token("secret");
    other.register(&instances(&proxy, ["passing", "passing", "critical"]));
    proxy.config_file.lock().unwrap()["consul"] =
        json!({"address": other.address.to_string(), "answer_ms": 500, "token_file": file});
    proxy.reload_once();
    let staged = folder.join("token.new");
    std::fs::write(&staged, "secret\n").unwrap();
    std::fs::rename(&staged, &file).unwrap();
    assert!(other.wait_until_read());
    assert_eq!(fetches_per_cache(&proxy, &mut web)[2], 0);
    proxy.stop();
    std::fs::remove_dir_all(&folder).unwrap();
}

/// A reload may remove `token_file`, which is optional in the operators' file. The last list stays in use while the agent
/// denies the queries, and another reload ends that.
#[test]
fn a_reload_without_the_token_file_keeps_the_list_until_the_key_is_back() {
    let folder = temp_folder("removed-token");
    let file = folder.join("token");
    std::fs::write(&file, "secret\n").unwrap();
    let (agent, mut proxy, mut web) =
        start_with_list(|config| config["consul"]["token_file"] = json!(file));
    agent.want_token("secret");
    let complete = proxy.config_file.lock().unwrap()["consul"].clone();
    let mut short = complete.clone();
    short.as_object_mut().unwrap().remove("token_file");
    proxy.config_file.lock().unwrap()["consul"] = short;
    proxy.reload();
    assert!(agent.wait_for(|requests| requests.last().unwrap().token.is_none()));
    let fetches = fetches_per_cache(&proxy, &mut web);
    assert!(fetches.iter().all(|n| *n > 0), "the last list stays in use");
    proxy.config_file.lock().unwrap()["consul"] = complete;
    proxy.control.reload().unwrap();
    agent.register(&instances(&proxy, ["critical", "passing", "passing"]));
    assert!(agent.wait_until_read());
    assert_eq!(fetches_per_cache(&proxy, &mut web)[0], 0);
    proxy.stop();
    std::fs::remove_dir_all(&folder).unwrap();
}
