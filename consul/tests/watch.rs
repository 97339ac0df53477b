//! The watch by scripts of answers in the API's shapes: each case of the blocking queries' rules, bad answers, lists
//! that shrink at once, and agents that fail.

use linnetknot::{Micros, State};
use linnetknot_consul::*;
use linnetknot_discovery::{Evidence, Reason, Report};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{json, Value};
use std::collections::BTreeMap;

const MS: Micros = 1000;

fn mapping() -> Mapping {
    let names = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect();
    let zones = names(&["hub", "here"]);
    Mapping {
        zone: "here".into(),
        kind: "box".into(),
        zones,
        ..Mapping::default()
    }
}

/// An instance as the health API gives it.
fn instance(id: &str, port: u16, checks: &[(&str, &str)]) -> Value {
    let checks: Vec<Value> = checks
        .iter()
        .map(|(id, status)| {
            json!({"Node": "n1", "CheckID": id, "Name": "c", "Status": status, "Notes": "by hand",
            "Output": "", "ServiceID": "", "ServiceTags": [], "Type": "ttl", "CreateIndex": 7})
        })
        .collect();
    json!({
        "Node": {"ID": "40e4a748", "Node": "n1", "Address": "10.1.10.12", "Datacenter": "dc1",
            "TaggedAddresses": {"lan": "10.1.10.12", "wan": "192.0.2.12"}, "Meta": {"instance_type": "m"}},
        "Service": {"ID": id, "Service": "pop-cache", "Tags": [], "Address": "", "Meta": {"az": "here"}, "Port": port,
            "TaggedAddresses": {"wan": {"Address": "192.0.2.77", "Port": 9000}},
            "Weights": {"Passing": 8, "Warning": 2}, "EnableTagOverride": false},
        "Checks": checks,
    })
}

fn ready(ids: &[&str]) -> Vec<Value> {
    let one = |(n, id): (usize, &&str)| instance(id, 7000 + n as u16, &[("serfHealth", "passing")]);
    ids.iter().enumerate().map(one).collect()
}

fn catalogue(ids: &[&str]) -> Vec<Value> {
    ids.iter()
        .map(|id| json!({"Node": "n1", "ServiceID": id, "ServiceName": "pop-cache"}))
        .collect()
}

/// A watch, a clock, and the list as its evidence makes it.
struct Rig {
    watch: Watch,
    now: Micros,
    list: BTreeMap<String, Report>,
    events: Vec<WatchEvent>,
}

impl Rig {
    fn new(change: impl Fn(&mut Options)) -> Rig {
        let mut options = Options::default();
        change(&mut options);
        Rig {
            watch: Watch::new(options, mapping(), 7),
            now: 1_000_000,
            list: BTreeMap::new(),
            events: vec![],
        }
    }

    /// Waits until the next call is due, and gives it.
    fn call(&mut self) -> Call {
        self.now = self.now.max(self.watch.due().expect("no call is out"));
        self.watch.poll(self.now).expect("it is due")
    }

    fn apply(&mut self, update: WatchUpdate) -> bool {
        self.events.extend(update.events);
        let changed = update.evidence.is_some();
        let (is_full, reports) = match update.evidence {
            Some(Evidence::Full(reports)) => (true, reports),
            Some(Evidence::Delta(reports)) => (false, reports),
            None => return false,
        };
        if is_full {
            self.list.clear();
        }
        for r in reports {
            self.list.insert(r.entry.uid.clone(), r);
        }
        self.list.retain(|_, r| r.entry.server.state != State::Gone);
        changed
    }

    fn answer(&mut self, status: u16, headers: &[(&str, &str)], body: &[u8]) -> bool {
        let headers: Vec<_> = headers
            .iter()
            .map(|(n, v)| ((*n).to_owned(), (*v).to_owned()))
            .collect();
        let update = self.watch.on_response(
            self.now,
            &Response {
                status,
                headers: &headers,
                body,
            },
        );
        self.apply(update)
    }

    /// Asks, and answers with a list under this index. Gives the target that was asked for.
    fn round(&mut self, index: u64, list: &[Value]) -> String {
        let call = self.call();
        self.answer(
            200,
            &[("x-consul-index", &index.to_string())],
            Value::from(list).to_string().as_bytes(),
        );
        call.target
    }

    fn states(&self) -> Vec<(&str, State)> {
        self.list
            .iter()
            .map(|(uid, r)| (uid.as_str(), r.entry.server.state))
            .collect()
    }

    fn reason(&self, uid: &str) -> &Reason {
        &self.list[uid].reason
    }
}

const HEALTH: &str = "/v1/health/service/pop-cache";
const CATALOGUE: &str = "/v1/catalog/service/pop-cache";

#[test]
fn queries_block_behind_the_index_and_start_anew_where_it_can_not_be_trusted() {
    let mut rig = Rig::new(|_| {});
    assert_eq!(rig.round(9, &ready(&["a"])), HEALTH);
    for (to, next) in [
        (9, "?index=9&wait=10000ms"),
        (3, ""),
        (4, "?index=4&wait=10000ms"),
        (0, "?index=1&wait=10000ms"),
    ] {
        rig.round(to, &ready(&["a"]));
        assert_eq!(
            rig.watch.clone().poll(rig.now + 10_000_000).unwrap().target,
            format!("{HEALTH}{next}")
        );
    }
    assert!(matches!(
        rig.events[..],
        [
            WatchEvent::IndexReset { from: 9, to: 3 },
            WatchEvent::IndexReset { from: 4, to: 0 }
        ]
    ));
    // A header that is missing, or no number, is as good as 0: the next query still waits.
    for headers in [&[][..], &[("x-consul-index", "soon")]] {
        rig.call();
        rig.answer(
            200,
            headers,
            Value::from(ready(&["a"])).to_string().as_bytes(),
        );
        let next = rig.watch.clone().poll(rig.now + 10_000_000).unwrap().target;
        assert_eq!(next, format!("{HEALTH}?index=1&wait=10000ms"));
    }
}

#[test]
fn options_stand_in_the_query_and_the_filter_in_that_of_the_health_api_only() {
    let mut rig = Rig::new(|o| {
        (o.datacenter, o.namespace) = (Some("dc2".into()), Some("media".into()));
        (o.tags, o.filter) = (vec!["v 1".into()], Some("Service.Port != 1".into()));
        o.consistency = Consistency::Stale;
    });
    let target = rig.round(5, &ready(&["a", "b", "c"]));
    assert_eq!(
        target,
        format!("{HEALTH}?stale&dc=dc2&ns=media&tag=v+1&filter=Service.Port+%21%3D+1")
    );
    rig.round(6, &ready(&["a", "b"]));
    assert_eq!(
        rig.round(6, &catalogue(&["a", "b"])),
        format!("{CATALOGUE}?stale&dc=dc2&ns=media&tag=v+1")
    );
}

#[test]
fn checks_maintenance_and_nodes_tell_who_drains_and_why() {
    let mut rig = Rig::new(|_| {});
    let with = |id: &str, checks: &[(&str, &str)]| instance(id, 7000, checks);
    rig.round(
        5,
        &[
            with("ok", &[("serfHealth", "passing"), ("c1", "passing")]),
            with("warns", &[("c1", "warning")]),
            with(
                "fails",
                &[
                    ("serfHealth", "passing"),
                    ("c1", "passing"),
                    ("c2", "critical"),
                ],
            ),
            with(
                "service",
                &[
                    ("c2", "critical"),
                    ("_service_maintenance:service", "critical"),
                ],
            ),
            with(
                "node",
                &[
                    ("serfHealth", "critical"),
                    ("_node_maintenance", "critical"),
                ],
            ),
            with("lost", &[("c1", "critical"), ("serfHealth", "critical")]),
            with("odd", &[("c1", "exploded")]),
            with("bare", &[]),
        ],
    );
    let drains: Vec<_> = rig
        .states()
        .into_iter()
        .filter(|s| s.1 == State::Draining)
        .map(|s| s.0)
        .collect();
    assert_eq!(drains, ["fails", "lost", "node", "odd", "service"]);
    assert_eq!(rig.reason("fails"), &Reason::Check("c2".into()));
    assert_eq!(
        rig.reason("service"),
        &Reason::ServiceMaintenance("by hand".into())
    );
    assert_eq!(
        rig.reason("node"),
        &Reason::NodeMaintenance("by hand".into())
    );
    assert_eq!(rig.reason("lost"), &Reason::NodeLost);
    assert_eq!(rig.reason("odd"), &Reason::Check("c1".into()));
    let weight = |uid: &str| rig.list[uid].entry.server.weight;
    assert_eq!(
        (weight("ok"), weight("warns")),
        (8.0, 2.0),
        "the weights that Consul holds"
    );
}

#[test]
fn a_catalogue_made_by_others_is_read_by_its_own_keys_and_defaults() {
    let mut theirs = instance("x", 7000, &[]);
    theirs["Service"]["Meta"] =
        json!({"rack": "hub", "role": "origin", "slots": "40", "version": "3.1"});
    let mut bare = instance("y", 7001, &[("c", "warning")]);
    bare["Service"]["Meta"] = Value::Null;
    bare["Service"]["Weights"] = json!({"Passing": 4, "Warning": 0});
    let mut m = mapping();
    (m.keys.zone, m.keys.kind, m.keys.capacity) = ("rack".into(), "role".into(), "slots".into());
    let mut rig = Rig {
        watch: Watch::new(Options::default(), m, 7),
        ..Rig::new(|_| {})
    };
    rig.round(5, &[theirs.clone(), bare.clone()]);
    let server = |rig: &Rig, uid: &str| rig.list[uid].entry.server.clone();
    let x = server(&rig, "x");
    assert_eq!(
        (x.zone.as_str(), x.kind.as_str(), x.weight),
        ("hub", "origin", 40.0)
    );
    let y = server(&rig, "y");
    assert_eq!(
        (y.zone.as_str(), y.kind.as_str(), y.state),
        ("here", "box", State::Draining),
        "weighed with nothing"
    );
    // By the default keys nothing of theirs says anything: all boxes are ones of this place.
    let mut rig = Rig::new(|_| {});
    rig.round(5, &[theirs.clone()]);
    assert_eq!(
        (server(&rig, "x").zone.as_str(), server(&rig, "x").weight),
        ("here", 8.0)
    );
    // Addresses: the service's own, the node's, or a tagged one.
    let endpoint = |tag: Option<&str>, one: &Value| {
        let tagged_address = tag.map(str::to_owned);
        let mut rig = Rig::new(|_| {});
        rig.watch = Watch::new(
            Options::default(),
            Mapping {
                tagged_address,
                ..mapping()
            },
            7,
        );
        rig.round(5, std::slice::from_ref(one));
        rig.list["x"].entry.endpoint.to_string()
    };
    assert_eq!(endpoint(None, &theirs), "10.1.10.12:7000");
    assert_eq!(endpoint(Some("wan"), &theirs), "192.0.2.77:9000");
    assert_eq!(
        endpoint(Some("lan"), &theirs),
        "10.1.10.12:7000",
        "the node's where the service has none"
    );
    theirs["Service"]["Address"] = "2001:db8::1".into();
    assert_eq!(endpoint(Some("lan_ipv6"), &theirs), "[2001:db8::1]:7000");
}

#[test]
fn one_bad_instance_costs_itself_only_and_is_named_with_its_key_once() {
    let bad = |change: &dyn Fn(&mut Value)| {
        let mut one = instance("bad", 7009, &[]);
        change(&mut one);
        one
    };
    for (key, one) in [
        (
            "Node.Address",
            bad(&|i| i["Node"]["Address"] = "cache-9.example".into()),
        ),
        (
            "Service.Address",
            bad(&|i| i["Service"]["Address"] = "0.0.0.0".into()),
        ),
        ("Service.Port", bad(&|i| i["Service"]["Port"] = 0.into())),
        (
            "Service.Port",
            bad(&|i| i["Service"]["Port"] = 70000.into()),
        ),
        ("Service.Port", bad(&|i| i["Service"]["Port"] = "80".into())),
        (
            "Service.Meta.az",
            bad(&|i| i["Service"]["Meta"]["az"] = "mars".into()),
        ),
        (
            "Service.Meta.boot_ms",
            bad(&|i| i["Service"]["Meta"]["boot_ms"] = "soon".into()),
        ),
        (
            "Service.Meta.capacity_hint",
            bad(&|i| i["Service"]["Meta"]["capacity_hint"] = "-1".into()),
        ),
        ("Service.Meta", bad(&|i| i["Service"]["Meta"] = 3.into())),
        (
            "Checks[0].Status",
            bad(&|i| i["Checks"] = json!([{"CheckID": "c", "Status": 1}])),
        ),
        ("Service.ID", bad(&|i| i["Service"]["ID"] = "a,b=c".into())),
        ("Service.ID", bad(&|i| i["Service"]["ID"] = Value::Null)),
        (
            "Service",
            bad(&|i| drop(i.as_object_mut().unwrap().remove("Service"))),
        ),
        (".", json!(17)),
    ] {
        let mut rig = Rig::new(|_| {});
        let mut list = ready(&["a", "b"]);
        list.insert(1, one);
        rig.round(5, &list);
        assert_eq!(
            rig.states(),
            [("a", State::Ready), ("b", State::Ready)],
            "{key}"
        );
        let [WatchEvent::InstanceSkipped(s)] = &rig.events[..] else {
            panic!("{key}: {:?}", rig.events)
        };
        assert!(
            s.fault.key == key || key == "Service" && s.fault.error.to_string().contains("Service"),
            "{key}: {s}"
        );
        // Another one goes critical meanwhile: that counts, and nothing is said twice.
        list[0]["Checks"] = json!([{"CheckID": "c", "Status": "critical"}]);
        rig.round(6, &list);
        assert_eq!(
            rig.states(),
            [("a", State::Draining), ("b", State::Ready)],
            "{key}"
        );
        assert_eq!(rig.events.len(), 1, "{key}: {:?}", rig.events);
    }
    // One that ran and can't be used any more gets no fresh work.
    let mut rig = Rig::new(|_| {});
    rig.round(5, &ready(&["a", "b"]));
    let mut list = ready(&["a", "b"]);
    list[1]["Service"]["Port"] = 0.into();
    rig.round(6, &list);
    assert_eq!(rig.states(), [("a", State::Ready), ("b", State::Draining)]);
    assert_eq!(rig.reason("b"), &Reason::Unusable("Service.Port".into()));
}

type Change = Box<dyn Fn(&mut Value)>;

/// The forms of the API's public pages, and whatever else may stand where the mapping looks for nothing.
#[test]
fn what_the_mapping_does_not_need_hides_no_box_in_whatever_form_it_is() {
    let cases: Vec<(&str, Change)> = vec![
        (
            "tagged addresses in small letters",
            Box::new(|i| {
                i["Service"]["TaggedAddresses"] = json!({"lan": {"address": "10.1.10.12", "port": 8000},
                    "wan": {"address": "198.18.1.2", "port": 80}});
            }),
        ),
        (
            "no tagged addresses",
            Box::new(|i| i["Service"]["TaggedAddresses"] = Value::Null),
        ),
        (
            "tagged by text",
            Box::new(|i| i["Service"]["TaggedAddresses"] = json!("10.1.10.12")),
        ),
        (
            "the node's, as a list",
            Box::new(|i| i["Node"]["TaggedAddresses"] = json!(["10.1.10.12"])),
        ),
        (
            "weights as text",
            Box::new(|i| i["Service"]["Weights"] = json!({"Passing": "8", "Warning": "1"})),
        ),
        (
            "no weights",
            Box::new(|i| i["Service"]["Weights"] = json!(false)),
        ),
        (
            "foreign metadata",
            Box::new(|i| i["Service"]["Meta"]["rack"] = json!({"row": 7})),
        ),
        (
            "the node's metadata",
            Box::new(|i| i["Node"]["Meta"] = json!([1, 2])),
        ),
        (
            "a check's notes",
            Box::new(|i| i["Checks"][0]["Notes"] = json!({"en": "fine"})),
        ),
        (
            "a check's id",
            Box::new(|i| i["Checks"][0]["CheckID"] = json!(17)),
        ),
        (
            "a check's definition",
            Box::new(|i| i["Checks"][0]["Definition"] = json!({"Interval": "10s"})),
        ),
        (
            "a node's name, where the service names the box",
            Box::new(|i| i["Node"]["Node"] = json!(4)),
        ),
        (
            "a proxy's part",
            Box::new(|i| i["Service"]["Proxy"] = json!({"MeshGateway": {}, "Expose": {}})),
        ),
        (
            "a socket",
            Box::new(|i| i["Service"]["SocketPath"] = json!("")),
        ),
        ("a node without an address, where the service has one", {
            Box::new(|i| {
                i["Service"]["Address"] = "10.1.10.13".into();
                i["Node"] = json!("n1");
            })
        }),
    ];
    for (name, change) in cases {
        let mut rig = Rig::new(|_| {});
        let mut one = instance("a", 7000, &[("c", "passing")]);
        change(&mut one);
        rig.round(5, &[one]);
        assert_eq!(
            rig.states(),
            [("a", State::Ready)],
            "{name}: {:?}",
            rig.events
        );
        assert!(rig.events.is_empty(), "{name}: {:?}", rig.events);
    }
    // Where a tagged address is configured, both spellings are read, and what is wrong there is told by its path.
    let endpoint = |tagged: Value| {
        let mut rig = Rig::new(|_| {});
        let m = Mapping {
            tagged_address: Some("wan".into()),
            ..mapping()
        };
        rig.watch = Watch::new(Options::default(), m, 7);
        let mut one = instance("a", 7000, &[]);
        one["Service"]["TaggedAddresses"] = tagged;
        rig.round(5, &[one]);
        match &rig.events[..] {
            [.., WatchEvent::InstanceSkipped(s)] => s.fault.key.clone(),
            _ => rig.list["a"].entry.endpoint.to_string(),
        }
    };
    assert_eq!(
        endpoint(json!({"wan": {"address": "192.0.2.9", "port": 81}})),
        "192.0.2.9:81"
    );
    assert_eq!(
        endpoint(json!({"wan": {"Address": "192.0.2.9", "Port": 81}, "lan": 3})),
        "192.0.2.9:81"
    );
    assert_eq!(
        endpoint(json!({"wan": {"address": 7}})),
        "Service.TaggedAddresses.wan.Address"
    );
    assert_eq!(
        endpoint(json!({"wan": {"address": "192.0.2.9"}})),
        "Service.TaggedAddresses.wan.Port"
    );
    assert_eq!(
        endpoint(json!({"wan": "192.0.2.9"})),
        "Service.TaggedAddresses.wan"
    );
    assert_eq!(endpoint(json!({})), "192.0.2.12:7000", "the node's");
}

#[test]
fn more_than_half_that_can_not_be_used_is_said_once_and_loudly() {
    let mut rig = Rig::new(|_| {});
    let mut list = ready(&["a", "b", "c"]);
    list[0]["Service"]["Port"] = 0.into();
    rig.round(5, &list);
    let loud = |rig: &Rig| {
        rig.events
            .iter()
            .filter(|n| matches!(n, WatchEvent::MostlyUnusable { .. }))
            .count()
    };
    assert_eq!(loud(&rig), 0, "one of three");
    (1..3).for_each(|n| list[n]["Service"]["Port"] = json!("none"));
    for index in 6..9 {
        rig.round(index, &list);
        assert_eq!(loud(&rig), 1);
    }
    rig.round(9, &ready(&["a", "b", "c"]));
    rig.round(10, &list);
    assert_eq!(loud(&rig), 2, "it was well between");
    // Without an id they can't be told apart, and count each all the same.
    let mut rig = Rig::new(|_| {});
    list.iter_mut()
        .for_each(|i| i["Service"]["ID"] = Value::Null);
    rig.round(5, &list);
    let note = rig.events.iter().find(|n| {
        matches!(
            n,
            WatchEvent::MostlyUnusable {
                unusable: 3,
                total: 3,
                ..
            }
        )
    });
    assert!(
        note.is_some_and(|n| n.to_string().contains("Service.ID")),
        "{:?}",
        rig.events
    );
}

#[test]
fn a_catalogue_answer_that_can_not_name_a_box_does_not_make_it_gone() {
    let mut rig = Rig::new(|_| {});
    rig.round(5, &ready(&["a", "b"]));
    rig.round(6, &ready(&["a"]));
    let mut all = catalogue(&["a", "b"]);
    all[1]["ServiceID"] = json!(7);
    rig.round(7, &all);
    assert_eq!(rig.states(), [("a", State::Ready), ("b", State::Draining)]);
    let mut foreign = catalogue(&["a", "b"]);
    (foreign[0]["Node"], foreign[1]["ServiceTags"]) = (json!(3), json!("x"));
    rig.round(8, &foreign);
    assert_eq!(rig.states(), [("a", State::Ready), ("b", State::Draining)]);
}

#[test]
fn one_id_at_two_nodes_stays_with_the_one_that_had_it() {
    let mut rig = Rig::new(|_| {});
    let two = |first: u16, second: u16| [instance("a", first, &[]), instance("a", second, &[])];
    rig.round(5, &two(1, 2));
    rig.round(6, &two(2, 1));
    assert_eq!(rig.list["a"].entry.endpoint.port(), 1);
    assert!(
        matches!(&rig.events[..], [WatchEvent::DuplicateId { .. }]),
        "said once: {:?}",
        rig.events
    );
    let mut m = mapping();
    m.identity = Identity::NodeAndService;
    let mut rig = Rig {
        watch: Watch::new(Options::default(), m, 7),
        ..Rig::new(|_| {})
    };
    let mut list = two(1, 2);
    list[1]["Node"]["Node"] = "n2".into();
    rig.round(5, &list);
    assert_eq!(
        rig.states().iter().map(|s| s.0).collect::<Vec<_>>(),
        ["n1/a", "n2/a"]
    );
}

#[test]
fn who_is_left_out_drains_at_once_and_is_gone_once_the_catalogue_says_so() {
    let mut rig = Rig::new(|_| {});
    rig.round(5, &ready(&["a", "b", "c"]));
    rig.round(6, &ready(&["a", "b"]));
    assert_eq!(rig.states()[2], ("c", State::Draining));
    assert_eq!(rig.reason("c"), &Reason::NoHealth);
    assert_eq!(rig.round(1, &catalogue(&["a", "b", "c"])), CATALOGUE);
    assert_eq!(
        rig.states()[2],
        ("c", State::Draining),
        "registered without health"
    );
    rig.round(7, &ready(&["a", "b"]));
    rig.round(1, &catalogue(&["a", "b"]));
    assert_eq!(rig.states(), [("a", State::Ready), ("b", State::Ready)]);
    // With none left out, the catalogue is not asked.
    assert!(rig.round(8, &ready(&["a", "b"])).starts_with(HEALTH));
    assert!(rig.round(9, &ready(&["a", "b"])).starts_with(HEALTH));
}

#[test]
fn an_answer_that_leaves_out_too_many_is_held_until_it_is_confirmed() {
    let all = ["a", "b", "c", "d", "e"];
    // Empty, and true.
    let mut rig = Rig::new(|o| o.agents = 2);
    rig.round(5, &ready(&all));
    rig.round(6, &[]);
    assert_eq!(
        rig.states().iter().filter(|s| s.1 == State::Ready).count(),
        5,
        "nothing is lost yet"
    );
    assert!(matches!(
        rig.events[..],
        [WatchEvent::ConfirmationPending { named: 0, known: 5 }]
    ));
    let call = rig.call();
    assert_eq!(
        (call.target, call.agent),
        (format!("{CATALOGUE}?consistent"), 1),
        "from the other agent"
    );
    rig.answer(200, &[("x-consul-index", "6")], b"[]");
    assert!(rig.list.is_empty() && rig.events.last() == Some(&WatchEvent::Confirmed));
    // Empty, and not true: a server that was restored from nothing.
    let mut rig = Rig::new(|_| {});
    rig.round(5, &ready(&all));
    for _ in 0..2 {
        rig.round(6, &[]);
        rig.round(6, &catalogue(&all));
        assert_eq!(
            rig.states().iter().filter(|s| s.1 == State::Ready).count(),
            5
        );
    }
    assert!(
        matches!(
            rig.events[..],
            [
                WatchEvent::ConfirmationPending { .. },
                WatchEvent::Contradicted { registered: 5 }
            ]
        ),
        "{:?}",
        rig.events
    );
    // Where it is said again and again, the catalogue is the one that errs; still nobody is gone by it.
    rig.round(6, &[]);
    rig.round(6, &catalogue(&all));
    rig.round(6, &[]);
    assert!(
        rig.states().iter().all(|s| s.1 == State::Draining),
        "{:?}",
        rig.states()
    );
    // What a held answer says of those that it names counts at once.
    let mut rig = Rig::new(|_| {});
    rig.round(5, &ready(&all));
    rig.round(6, &[instance("a", 7000, &[("c", "critical")])]);
    assert_eq!(
        rig.states()[..2],
        [("a", State::Draining), ("b", State::Ready)]
    );
    // The confirmation fails: the list holds.
    rig.call();
    rig.answer(500, &[], b"No cluster leader");
    assert_eq!(rig.states().len(), 5);
    assert_eq!(rig.round(7, &ready(&all)), HEALTH);
    assert_eq!(rig.states()[0], ("a", State::Ready));
    // A list that was kept over a restart is defended in the same way.
    let cached: Vec<_> = rig.list.values().map(|r| r.entry.clone()).collect();
    let mut rig = Rig::new(|_| {});
    let Evidence::Full(reports) = rig.watch.restore(&cached) else {
        panic!("the whole list")
    };
    assert_eq!((reports.len(), &reports[0].reason), (5, &Reason::Kept));
    rig.list = reports
        .into_iter()
        .map(|r| (r.entry.uid.clone(), r))
        .collect();
    rig.round(1, &[]);
    assert_eq!(rig.states().len(), 5);
}

#[test]
fn failures_change_nothing_and_are_followed_by_the_next_agent_and_growing_waits() {
    let list = Value::from(ready(&["a"])).to_string();
    let cut = &list.as_bytes()[..list.len() - 9];
    let mut rig = Rig::new(|o| o.agents = 3);
    rig.round(5, &ready(&["a"]));
    let start = rig.now;
    let mut agents = Vec::new();
    for n in 0..12 {
        agents.push(rig.call().agent);
        match n % 6 {
            0 => rig.answer(500, &[], b"No cluster leader"),
            1 => rig.answer(200, &[], cut),
            2 => rig.answer(200, &[], b"{}"),
            3 => rig.answer(
                403,
                &[],
                b"Permission denied: token with AccessorID '' lacks permission",
            ),
            4 => rig.answer(200, &[("x-consul-knownleader", "false")], list.as_bytes()),
            _ => {
                let update = rig.watch.on_failure(rig.now, TransportError::TimedOut);
                rig.apply(update)
            }
        };
        assert_eq!(rig.states(), [("a", State::Ready)]);
        if n == 1 {
            assert!(
                rig.now - start < 100 * MS,
                "the other agents are asked at once"
            );
        }
    }
    assert_eq!(agents, [0, 1, 2, 0, 1, 2, 0, 1, 2, 0, 1, 2]);
    let waited = rig.now - start;
    assert!((5_000_000..25_000_000).contains(&waited), "{waited}");
    assert!(rig
        .events
        .iter()
        .any(|n| matches!(n, WatchEvent::QueryFailed { error, .. } if error.to_string().contains("No cluster leader"))));
    rig.round(9, &ready(&["a", "b"]));
    assert!(matches!(
        rig.events.last(),
        Some(WatchEvent::Recovered { failures: 12, .. })
    ));
    assert_eq!(rig.list.len(), 2);
    // The first agent is the one that was wanted: after a while it is tried again.
    let mut rig = Rig::new(|o| o.agents = 2);
    rig.call();
    let update = rig.watch.on_failure(rig.now, TransportError::Unreachable);
    rig.apply(update);
    rig.round(5, &ready(&["a"]));
    assert_eq!(rig.call().agent, 1);
    rig.now += 100_000_000;
    rig.answer(200, &[("x-consul-index", "5")], list.as_bytes());
    assert_eq!(rig.call().agent, 0);
}

#[test]
fn an_agent_that_says_when_to_come_back_is_left_alone_until_then() {
    let mut rig = Rig::new(|_| {});
    rig.call();
    rig.answer(
        429,
        &[("retry-after", "7")],
        b"Your IP is issuing too many concurrent connections",
    );
    let wait = rig.watch.due().unwrap() - rig.now;
    assert!((7_000_000..8_000_000).contains(&wait), "{wait}");
    rig.call();
    rig.answer(503, &[("retry-after", "99999999")], b"");
    assert!(
        rig.watch.due().unwrap() - rig.now < 61_000_000,
        "but not for as long as it likes"
    );
}

#[test]
fn a_stale_answer_counts_only_within_its_bound() {
    let mut rig = Rig::new(|o| o.consistency = Consistency::Stale);
    let list = Value::from(ready(&["a"])).to_string();
    rig.call();
    rig.answer(
        200,
        &[("x-consul-lastcontact", "400"), ("x-consul-index", "5")],
        list.as_bytes(),
    );
    assert_eq!(rig.list.len(), 1);
    assert!(rig.call().target.contains("stale"));
    rig.answer(
        200,
        &[("x-consul-lastcontact", "1001"), ("x-consul-index", "6")],
        b"[]",
    );
    assert_eq!(
        (rig.list.len(), rig.events.last()),
        (1, Some(&WatchEvent::StaleResponse(1_001_000)))
    );
    let call = rig.call();
    assert!(
        !call.target.contains("stale"),
        "the leader is asked: {}",
        call.target
    );
}

#[test]
fn answers_without_news_are_paced_and_long_ones_too() {
    let mut rig = Rig::new(|_| {});
    rig.round(5, &ready(&["a"]));
    let start = rig.now;
    for n in 0..60 {
        // An index that moves all the time without a change.
        rig.round(6 + n, &ready(&["a"]));
    }
    assert!(
        rig.now - start > 20_000_000,
        "{} ms for 60 answers",
        (rig.now - start) / MS
    );
    // A change is followed at once all the same.
    rig.round(99, &ready(&["a", "b"]));
    assert!(rig.watch.due().unwrap() - rig.now <= 10 * MS);
    // An agent that cuts the wait short to a second is asked again as soon as it has answered.
    let call = rig.call();
    assert!(call.timeout_us > 10_000_000);
    rig.now += 1_000_000;
    rig.answer(
        200,
        &[("x-consul-index", "99")],
        Value::from(ready(&["a", "b"])).to_string().as_bytes(),
    );
    assert_eq!(rig.watch.due(), Some(rig.now));
    rig.call();
    let long = format!(
        "{}{}",
        Value::from(ready(&["a", "b"])),
        " ".repeat(5_000_000)
    );
    rig.answer(200, &[("x-consul-index", "99")], long.as_bytes());
    assert!(
        rig.watch.due().unwrap() >= rig.now + 50 * MS,
        "reading it took time from requests"
    );
}

#[test]
fn the_proxys_own_registration_follows_its_state_and_an_agent_that_forgot() {
    let registrant = Registrant {
        id: "edge/1".into(),
        name: "edge-proxy".into(),
        address: "127.0.0.1:6565".parse().unwrap(),
        tags: vec!["v1".into()],
        meta: BTreeMap::new(),
        ttl_us: 9_000_000,
        deregister_after_us: Some(60_000_000),
        response_timeout_us: 1_000_000,
        agents: 2,
    };
    let says = |status: u16, body: &'static str| Response {
        status,
        headers: &[],
        body: body.as_bytes(),
    };
    let json = |call: &Call| serde_json::from_slice::<Value>(&call.body).unwrap();
    let mut r = Registration::new(registrant, 3);
    let mut now = 1_000_000;
    // Nobody answers at the first agent: the next one is asked.
    assert_eq!(r.poll(now, false).unwrap().agent, 0);
    assert!(matches!(
        r.on_failure(now, TransportError::Unreachable),
        Some(RegistrationEvent::Failed(_))
    ));
    now = r.due(now, false).unwrap();
    let call = r.poll(now, false).unwrap();
    assert_eq!(
        (call.method, call.target.as_str(), call.agent),
        ("PUT", "/v1/agent/service/register", 1)
    );
    let body = json(&call);
    assert_eq!(
        (&body["ID"], &body["Port"], &body["Address"]),
        (&"edge/1".into(), &6565.into(), &"127.0.0.1".into())
    );
    assert_eq!(
        body["Check"],
        json!({"CheckID": "service:edge/1", "Name": "can serve", "TTL": "9000ms",
        "Status": "critical", "DeregisterCriticalServiceAfter": "60000ms"})
    );
    assert_eq!(
        r.on_response(now, &says(200, "")),
        Some(RegistrationEvent::Registered)
    );
    // It is kept within its TTL, and a change is told at once.
    assert!((now + 1..now + 4_500_000).contains(&r.due(now, false).unwrap()));
    assert_eq!(r.due(now, true), Some(now));
    let call = r.poll(now, true).unwrap();
    assert_eq!(call.target, "/v1/agent/check/update/service%3Aedge%2F1");
    assert_eq!(json(&call)["Status"], "passing");
    assert_eq!(r.on_response(now, &says(200, "")), None);
    // Failures in a row are said once, and do not use up the TTL.
    let mut reported = 0;
    for _ in 0..5 {
        let due = r.due(now, true).unwrap();
        assert!(due <= now + 4_500_000);
        now = due;
        assert_eq!(
            r.poll(now, true).unwrap().agent,
            1,
            "the service belongs to the agent that took it"
        );
        reported += usize::from(r.on_failure(now, TransportError::TimedOut).is_some());
    }
    assert_eq!(reported, 1);
    for forgot in [
        says(404, "Unknown check ID \"service:edge/1\""),
        says(500, "Unknown check \"service:edge/1\""),
    ] {
        now = r.due(now, true).unwrap();
        r.poll(now, true).unwrap();
        assert_eq!(
            r.on_response(now, &forgot),
            Some(RegistrationEvent::Forgotten)
        );
        let call = r.poll(now, true).unwrap();
        assert_eq!(
            (call.target.as_str(), &json(&call)["Check"]["Status"]),
            ("/v1/agent/service/register", &"passing".into())
        );
        assert_eq!(
            r.on_response(now, &says(200, "")),
            Some(RegistrationEvent::Registered)
        );
    }
    // At the end it deregisters, also where a call is out, and gives up in time where nobody answers.
    let mut again = r.clone();
    now = r.due(now, true).unwrap();
    r.poll(now, true).unwrap();
    r.deregister(now);
    assert_eq!(r.on_response(now, &says(200, "")), None);
    assert_eq!(
        r.poll(now, false).unwrap().target,
        "/v1/agent/service/deregister/edge%2F1"
    );
    assert_eq!(
        r.on_response(now, &says(200, "")),
        Some(RegistrationEvent::Deregistered)
    );
    assert!(r.is_finished() && r.due(now, false).is_none());
    let start = now;
    again.deregister(now);
    while !again.is_finished() {
        now = again.due(now, false).unwrap();
        again.poll(now, false).unwrap();
        again.on_failure(now, TransportError::Unreachable);
    }
    assert!(now - start < 500_000);
}

/// Any JSON.
fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        ".{0,12}".prop_map(Value::from),
    ];
    leaf.prop_recursive(3, 24, 4, |inner| {
        let key = prop_oneof![
            Just("Address".to_owned()),
            Just("address".to_owned()),
            "[a-z]{0,6}"
        ];
        prop_oneof![
            proptest::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            proptest::collection::btree_map(key, inner, 0..4)
                .prop_map(|m| Value::Object(m.into_iter().collect())),
        ]
    })
}

/// Places that the default mapping does not need, of an instance whose service has its own address.
const NOT_NEEDED: [&[&str]; 14] = [
    &["Node"],
    &["Node", "Node"],
    &["Node", "Address"],
    &["Node", "Meta"],
    &["Node", "TaggedAddresses"],
    &["Service", "TaggedAddresses"],
    &["Service", "Weights"],
    &["Service", "Tags"],
    &["Service", "Proxy"],
    &["Service", "Meta", "rack"],
    &["Checks", "0", "CheckID"],
    &["Checks", "0", "Notes"],
    &["Checks", "0", "Definition"],
    &["Unheard"],
];

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256, rng_seed: RngSeed::Fixed(0x11ae), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Whatever stands where nothing is needed, the box stays, and its state is its checks'.
    #[test]
    fn any_json_where_nothing_is_needed_leaves_the_box(place in 0..NOT_NEEDED.len(), put in any_json(), fails in any::<bool>()) {
        let mut one = instance("a", 7000, &[("c", if fails { "critical" } else { "passing" })]);
        one["Service"]["Address"] = "10.1.10.13".into();
        let mut at = &mut one;
        for key in NOT_NEEDED[place] {
            at = match key.parse::<usize>() {
                Ok(n) => &mut at[n],
                Err(_) => &mut at[*key],
            };
        }
        *at = put;
        let mut rig = Rig::new(|_| {});
        rig.round(5, &[one]);
        let state = if fails { State::Draining } else { State::Ready };
        prop_assert_eq!(rig.states(), [("a", state)], "{:?}", rig.events);
        prop_assert_eq!(rig.list["a"].entry.endpoint.to_string(), "10.1.10.13:7000");
    }

    /// Any bytes in a valid answer's place, or in its midst, are an answer or a failure, never a panic, and a failure
    /// changes nothing.
    #[test]
    fn garbage_is_no_list(garbage in proptest::collection::vec(any::<u8>(), 0..64), at in any::<usize>(), status in 100u16..600) {
        let mut rig = Rig::new(|_| {});
        rig.round(5, &ready(&["a", "b", "c"]));
        let valid = Value::from(ready(&["a", "b", "c"])).to_string().into_bytes();
        let at = at % valid.len();
        for body in [garbage.clone(), [&valid[..at], &garbage[..], &valid[at..]].concat()] {
            rig.call();
            rig.answer(if at % 2 == 0 { 200 } else { status }, &[("x-consul-index", "6")], &body);
            prop_assert!(!rig.list.is_empty());
        }
    }
}
