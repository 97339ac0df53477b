//! The list of boxes from Consul, by the daemon on loopback and a scripted agent.

mod rig;

use linnetknot_harness::clients::WebServer;
use linnetknot_harness::fakes::cache::FakeCache;
use linnetknot_harness::fakes::consul::{instance, Agent, Behaviour};
use rig::{object, one, Rig};
use serde_json::{json, Value};
use std::net::TcpListener;
use std::path::PathBuf;

const ALL: [&str; 3] = ["s-0a", "s-0b", "s-0c"];

fn with(agent: &Agent, change: impl Fn(&mut Value)) -> Rig {
    Rig::with(&ALL, |config| {
        config["known"] = Value::Null;
        config["consul"] =
            json!({"address": agent.address.to_string(), "answer_ms": 500, "wait_s": 1});
        change(config);
    })
}

fn listed(rig: &Rig, statuses: [&str; 3]) -> Vec<Value> {
    rig.boxes
        .iter()
        .zip(statuses)
        .map(|(b, status)| instance(b.uid, b.address, status))
        .collect()
}

const READY: [&str; 3] = ["passing"; 3];

/// An agent and a daemon that has its list.
fn started(change: impl Fn(&mut Value)) -> (Agent, Rig, WebServer) {
    let agent = Agent::start().unwrap();
    let rig = with(&agent, change);
    agent.register(&listed(&rig, READY));
    assert!(agent.wait_until_read());
    let web = rig.web();
    (agent, rig, web)
}

/// Asks for many objects; tells how many of them reached each box.
fn spread(rig: &Rig, web: &mut WebServer) -> Vec<usize> {
    let count = |b: &FakeCache| b.arrivals().iter().filter(|a| a.command == "fetch").count();
    let before: Vec<usize> = rig.boxes.iter().map(count).collect();
    for n in 0..60 {
        assert_eq!(one(web, "photo", &object(n)).status, 200);
    }
    rig.boxes
        .iter()
        .map(count)
        .zip(before)
        .map(|(after, before)| after - before)
        .collect()
}

#[test]
fn a_critical_box_gets_nothing_more_also_beside_one_that_can_not_be_used() {
    let (agent, rig, mut web) = started(|_| {});
    assert!(spread(&rig, &mut web).iter().all(|n| *n > 0));
    let mut list = listed(&rig, ["critical", "passing", "passing"]);
    list[1]["Service"]["Port"] = 0.into();
    agent.register(&list);
    assert!(agent.wait_until_read());
    assert_eq!(spread(&rig, &mut web)[..2], [0, 0]);
    agent.register(&listed(&rig, READY));
    assert!(agent.wait_until_read());
    // One that has come back is taken in step by step, as one that has just started.
    for n in 0.. {
        one(&mut web, "photo", &object(n));
        if rig.boxes[0].arrivals().len() > 60 {
            break;
        }
    }
    rig.stop();
}

#[test]
fn a_catalogue_with_other_peoples_meta_is_served_from() {
    let agent = Agent::start().unwrap();
    let rig = with(&agent, |_| {});
    let mut list = listed(&rig, READY);
    list.iter_mut()
        .for_each(|i| i["Service"]["Meta"] = json!({"rack": "r7", "version": "3.1"}));
    agent.register(&list);
    assert!(agent.wait_until_read());
    assert!(spread(&rig, &mut rig.web()).iter().all(|n| *n > 0));
    rig.stop();
}

#[test]
fn a_box_whose_check_flips_gets_nothing_until_it_is_steady() {
    let (agent, rig, mut web) = started(|_| {});
    for _ in 0..4 {
        for status in ["critical", "passing"] {
            agent.register(&listed(&rig, [status, "passing", "passing"]));
            assert!(agent.wait_until_read());
        }
    }
    let got = spread(&rig, &mut web);
    assert!(
        got[0] == 0 && got[1] > 0 && got[2] > 0,
        "held back although it passes: {got:?}"
    );
    rig.stop();
}

#[test]
fn an_agent_that_fails_in_any_way_leaves_the_list_as_it_is_and_is_followed_again() {
    let (agent, rig, _) = started(|config| {
        config["consul"]["most_answer_mb"] = 1.into();
        // The drains below are many and wanted.
        config["consul"]["damping"] = json!({"half_life_s": 0.001, "most_suppressed_s": 1});
    });
    for manner in [
        Behaviour::Leaderless,
        Behaviour::Denied,
        Behaviour::Garbage,
        Behaviour::CutOff,
        Behaviour::Endless,
        Behaviour::Silent,
        Behaviour::Unavailable,
    ] {
        let (before, mut web) = (agent.requests().len(), rig.web());
        agent.set_behaviour(manner);
        if manner != Behaviour::Unavailable {
            assert!(agent.wait_for(|asked| asked.len() > before), "{manner:?}");
        }
        let got = spread(&rig, &mut web);
        assert!(
            got[0] > 0 && got[2] > 0,
            "{manner:?}: all are served from the last list"
        );
        agent.set_behaviour(Behaviour::Chunked);
        agent.register(&listed(&rig, ["passing", "critical", "passing"]));
        assert!(agent.wait_until_read(), "{manner:?}");
        assert_eq!(spread(&rig, &mut rig.web())[1], 0, "{manner:?}");
        agent.register(&listed(&rig, READY));
        assert!(agent.wait_until_read(), "{manner:?}");
    }
    rig.stop();
}

#[test]
fn the_next_agent_is_asked_where_one_is_away() {
    let second = Agent::start().unwrap();
    let nobody = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let rig = with(&second, |config| {
        let agents = [nobody.to_string(), second.address.to_string()];
        config["consul"] = json!({"agents": agents, "answer_ms": 500});
    });
    second.register(&listed(&rig, READY));
    assert!(second.wait_until_read());
    assert!(spread(&rig, &mut rig.web()).iter().all(|n| *n > 0));
    rig.stop();
}

#[test]
fn an_index_that_goes_back_and_an_empty_answer_that_is_not_true_lose_nothing() {
    let (agent, rig, mut web) = started(|_| {});
    agent.set_index(1);
    agent.register(&listed(&rig, ["passing", "critical", "passing"]));
    assert!(agent.wait_until_read());
    assert_eq!(spread(&rig, &mut web)[1], 0);
    // The health API names none, and the catalogue all.
    let before = agent.requests().len();
    agent.lose_health();
    let consistent =
        |a: &linnetknot_harness::fakes::consul::AgentRequest| a.target.contains("?consistent");
    assert!(agent.wait_for(|asked| asked[before..].iter().any(consistent)));
    assert!(spread(&rig, &mut web)[0] > 0);
    rig.stop();
    // An empty answer that is true counts.
    let (agent, rig, mut web) = started(|_| {});
    agent.register(&[]);
    assert!(agent.wait_until_read());
    while one(&mut web, "photo", &object(1)).status == 200 {}
    rig.stop();
}

#[test]
fn two_data_centres_are_followed_by_queries_of_their_own() {
    let (agent, rig, mut web) =
        started(|config| config["consul"]["datacenters"] = json!(["seoul", "busan"]));
    for dc in ["dc=seoul", "dc=busan"] {
        assert!(agent.wait_for(|asked| asked
            .iter()
            .any(|a| a.target.contains(dc) && a.target.contains("index="))));
    }
    // Both name the same boxes: what one of them says drains is drained.
    agent.register(&listed(&rig, ["critical", "passing", "passing"]));
    assert!(agent.wait_until_read());
    let got = spread(&rig, &mut web);
    assert!(got[0] == 0 && got[1] > 0, "{got:?}");
    rig.stop();
}

#[test]
fn a_box_that_moves_is_asked_at_its_new_address_only() {
    let (agent, rig, mut web) = started(|_| {});
    assert!(spread(&rig, &mut web).iter().all(|n| *n > 0));
    let there = FakeCache::start("s-0a").unwrap();
    let mut list = listed(&rig, READY);
    list[0] = instance("s-0a", there.address, "passing");
    agent.register(&list);
    assert!(agent.wait_until_read());
    let before = rig.boxes[0].arrivals().len();
    for n in 0.. {
        one(&mut web, "photo", &object(n));
        if there.arrivals().len() > 5 {
            break;
        }
    }
    assert_eq!(rig.boxes[0].arrivals().len(), before);
    assert_eq!(rig.boxes[0].open(), 0, "its old connections are ended");
    rig.stop();
}

#[test]
fn five_thousand_instances_and_a_storm_of_changes_hide_no_drain() {
    let (agent, rig, mut web) = started(|_| {});
    let far = |n: usize, status: &str| {
        let mut far = instance(
            &format!("far-{n}"),
            ([127, 1, (n / 250) as u8, (n % 250) as u8], 7000).into(),
            status,
        );
        far["Service"]["Meta"]["az"] = "hub".into();
        far
    };
    let mut list = listed(&rig, READY);
    list.extend((0..5000).map(|n| far(n, "passing")));
    agent.register(&list);
    assert!(agent.wait_until_read());
    assert!(spread(&rig, &mut web).iter().all(|n| *n > 0));
    for n in 0..10_000 {
        let at = n * 7 % 5000;
        agent.update(
            3 + at,
            &far(at, if n % 2 == 0 { "critical" } else { "warning" }),
        );
        if n == 5000 {
            agent.update(0, &instance("s-0a", rig.boxes[0].address, "critical"));
        }
    }
    assert!(agent.wait_until_read());
    web = rig.web();
    let got = spread(&rig, &mut web);
    assert!(got[0] == 0 && got[1] > 0, "{got:?}");
    rig.stop();
}

/// A folder of this test's own, empty.
fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("linnetknot-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

#[test]
fn a_proxy_that_starts_without_an_agent_serves_from_the_list_that_it_kept() {
    let folder = folder("kept");
    let state = json!({"directory": folder});
    let (agent, rig, _) = started(|config| config["state"] = state.clone());
    agent.register(&listed(&rig, ["passing", "critical", "passing"]));
    assert!(agent.wait_until_read());
    let boxes = rig.boxes.clone();
    rig.stop();
    let file = folder.join("boxes-0.list");
    let bytes = String::from_utf8(std::fs::read(&file).unwrap()).unwrap();
    let kept = |b: &FakeCache| bytes.contains(b.uid) && bytes.contains(&b.address.to_string());
    assert!(boxes.iter().all(kept), "{bytes}");
    // The agent is gone: the list is there at once, and the drain is remembered.
    agent.set_behaviour(Behaviour::Unavailable);
    let mut rig = with(&agent, |config| config["state"] = state.clone());
    rig.boxes = boxes;
    let got = spread(&rig, &mut rig.web());
    assert!(got[0] > 0 && got[1] == 0 && got[2] > 0, "{got:?}");
    // The agent comes back with news.
    agent.register(&listed(&rig, ["critical", "passing", "passing"]));
    agent.set_behaviour(Behaviour::Normal);
    assert!(agent.wait_until_read());
    assert_eq!(spread(&rig, &mut rig.web())[0], 0);
    rig.stop();
    // A torn file is no list: nothing is served from it, and the proxy starts all the same.
    agent.set_behaviour(Behaviour::Unavailable);
    let bytes = std::fs::read(&file).unwrap();
    std::fs::write(&file, &bytes[..bytes.len() - 1]).unwrap();
    let rig = with(&agent, |config| config["state"] = state.clone());
    assert_eq!(one(&mut rig.web(), "photo", &object(1)).status, 503);
    rig.stop();
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn the_proxy_is_registered_while_it_can_serve_and_deregistered_at_its_end() {
    let (agent, rig, _) = started(|config| {
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
        (&rig.front.port().into(), &json!(["v1"]))
    );
    // With all boxes draining it can't serve any more.
    agent.register(&listed(&rig, ["critical"; 3]));
    assert!(agent.wait_for_check("edge-7", Some("critical")));
    agent.register(&listed(&rig, READY));
    assert!(agent.wait_for_check("edge-7", Some("passing")));
    agent.forget();
    assert!(
        agent.wait_for_check("edge-7", Some("passing")),
        "taken up again"
    );
    rig.stop();
    assert!(agent.wait_for_check("edge-7", None));
}

#[test]
fn a_token_is_read_from_its_file_again_once_it_is_denied() {
    let folder = folder("token");
    let file = folder.join("token");
    std::fs::write(&file, "old-secret\n").unwrap();
    let (agent, rig, mut web) = started(|config| config["consul"]["token_file"] = json!(file));
    assert!(agent
        .requests()
        .iter()
        .all(|a| a.token.as_deref() == Some("old-secret")));
    std::fs::write(&file, "new-secret\n").unwrap();
    agent.want_token("new-secret");
    agent.register(&listed(&rig, ["critical", "passing", "passing"]));
    assert!(agent.wait_until_read());
    assert_eq!(spread(&rig, &mut web)[0], 0);
    rig.stop();
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn a_reload_takes_another_agent_over_without_losing_the_list() {
    let (_, mut rig, mut web) = started(|_| {});
    let other = Agent::start().unwrap();
    other.set_behaviour(Behaviour::Leaderless);
    rig.file.lock().unwrap()["consul"] =
        json!({"address": other.address.to_string(), "answer_ms": 500});
    rig.control.reload().unwrap();
    assert!(other.wait_for(|asked| asked.len() > 1));
    assert!(
        spread(&rig, &mut web).iter().all(|n| *n > 0),
        "the list holds"
    );
    other.register(&listed(&rig, ["passing", "passing", "critical"]));
    other.set_behaviour(Behaviour::Normal);
    assert!(other.wait_until_read());
    assert_eq!(spread(&rig, &mut web)[2], 0);
    // A faulty section changes nothing.
    rig.file.lock().unwrap()["consul"]["wait_s"] = 0.into();
    rig.control.reload().unwrap();
    other.register(&listed(&rig, ["critical", "passing", "critical"]));
    assert!(other.wait_until_read());
    assert_eq!(spread(&rig, &mut web)[..1], [0]);
    rig.stop();
}
