//! The mapping of instances: health checks, foreign catalogs, malformed values, and ids that are registered twice.

mod common;

use common::{instance, mapping, ready, Rig};
use linnetknot::State;
use linnetknot_consul::{Identity, Mapping, Options, Watch, WatchEvent};
use linnetknot_discovery::Reason;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{json, Value};

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
    assert_eq!(rig.reason("lost"), &Reason::NodeFailed);
    assert_eq!(rig.reason("odd"), &Reason::Check("c1".into()));
    let weight = |uid: &str| rig.list[uid].entry.server.weight;
    assert_eq!(
        (weight("ok"), weight("warns")),
        (8.0, 2.0),
        "the weights in Consul"
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

/// An instance with one value that can't be used.
fn malformed(change: impl Fn(&mut Value)) -> Value {
    let mut one = instance("bad", 7009, &[]);
    change(&mut one);
    one
}

/// The key at fault, and an instance that has it.
fn malformed_instances() -> Vec<(&'static str, Value)> {
    let meta = |key: &'static str, value: &'static str| {
        malformed(move |i| i["Service"]["Meta"][key] = value.into())
    };
    let port = |value: Value| malformed(move |i| i["Service"]["Port"] = value.clone());
    let address = |part: &'static str, text: &'static str| {
        malformed(move |i| i[part]["Address"] = text.into())
    };
    let id = |value: Value| malformed(move |i| i["Service"]["ID"] = value.clone());
    let check = json!([{"CheckID": "c", "Status": 1}]);
    vec![
        ("Node.Address", address("Node", "cache-9.example")),
        ("Service.Address", address("Service", "0.0.0.0")),
        ("Service.Port", port(0.into())),
        ("Service.Port", port(70000.into())),
        ("Service.Port", port("80".into())),
        ("Service.Meta.az", meta("az", "mars")),
        ("Service.Meta.boot_ms", meta("boot_ms", "soon")),
        ("Service.Meta.capacity_hint", meta("capacity_hint", "-1")),
        (
            "Service.Meta",
            malformed(|i| i["Service"]["Meta"] = 3.into()),
        ),
        (
            "Checks[0].Status",
            malformed(move |i| i["Checks"] = check.clone()),
        ),
        ("Service.ID", id("a,b=c".into())),
        ("Service.ID", id(Value::Null)),
        (
            "Service",
            malformed(|i| drop(i.as_object_mut().unwrap().remove("Service"))),
        ),
        (".", json!(17)),
    ]
}

#[test]
fn one_bad_instance_costs_itself_only_and_is_named_with_its_key_once() {
    for (key, one) in malformed_instances() {
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
    assert_eq!(
        rig.reason("b"),
        &Reason::InvalidRegistration("Service.Port".into())
    );
}

type Change = Box<dyn Fn(&mut Value)>;

/// The forms of the API's public pages, and whatever else may stand where the mapping looks for nothing: addresses,
/// weights and metadata.
fn foreign_addresses_and_metadata() -> Vec<(&'static str, Change)> {
    vec![
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
    ]
}

/// The same of checks, nodes and other parts.
fn foreign_checks_and_parts() -> Vec<(&'static str, Change)> {
    vec![
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
    ]
}

#[test]
fn what_the_mapping_does_not_need_hides_no_box_in_whatever_form_it_is() {
    let cases = foreign_addresses_and_metadata()
        .into_iter()
        .chain(foreign_checks_and_parts());
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
}

/// Where a tagged address is configured, both spellings are read, and what is wrong there is told by its path.
#[test]
fn a_tagged_address_is_read_in_both_spellings_and_its_fault_is_named_by_its_path() {
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
fn one_id_at_two_nodes_stays_with_the_one_that_had_it() {
    let mut rig = Rig::new(|_| {});
    let two = |first: u16, second: u16| [instance("a", first, &[]), instance("a", second, &[])];
    rig.round(5, &two(1, 2));
    rig.round(6, &two(2, 1));
    assert_eq!(rig.list["a"].entry.endpoint.port(), 1);
    assert!(
        matches!(&rig.events[..], [WatchEvent::DuplicateId { .. }]),
        "reported once: {:?}",
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
    fn any_json_where_nothing_is_needed_leaves_the_box(
        position in 0..NOT_NEEDED.len(),
        put in any_json(),
        fails in any::<bool>(),
    ) {
        let mut one = instance("a", 7000, &[("c", if fails { "critical" } else { "passing" })]);
        one["Service"]["Address"] = "10.1.10.13".into();
        let mut at = &mut one;
        for key in NOT_NEEDED[position] {
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
}
