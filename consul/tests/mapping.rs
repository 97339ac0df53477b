//! The mapping of instances: health checks, custom keys, malformed values, and duplicate ids.

mod common;

use common::{instance, mapping, ready_instances, WatchFixture};
use linnetknot::State;
use linnetknot_consul::{Identity, Mapping, Options, Watch, WatchEvent};
use linnetknot_discovery::Reason;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{json, Value};

#[test]
fn health_checks_and_maintenance_modes_determine_state_and_reason() {
    let mut fixture = WatchFixture::new(|_| {});
    let with = |id: &str, checks: &[(&str, &str)]| instance(id, 7000, checks);
    fixture.exchange(
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
    let draining: Vec<_> = fixture
        .states()
        .into_iter()
        .filter(|s| s.1 == State::Draining)
        .map(|s| s.0)
        .collect();
    assert_eq!(draining, ["fails", "lost", "node", "odd", "service"]);
    assert_eq!(fixture.reason("fails"), &Reason::Check("c2".into()));
    assert_eq!(
        fixture.reason("service"),
        &Reason::ServiceMaintenance("by hand".into())
    );
    assert_eq!(
        fixture.reason("node"),
        &Reason::NodeMaintenance("by hand".into())
    );
    assert_eq!(fixture.reason("lost"), &Reason::NodeFailed);
    assert_eq!(fixture.reason("odd"), &Reason::Check("c1".into()));
    let weight = |uid: &str| fixture.list[uid].entry.server.weight;
    assert_eq!(
        (weight("ok"), weight("warns")),
        (8.0, 2.0),
        "weights of the passing and the warning state"
    );
}

#[test]
fn configured_keys_defaults_and_tagged_addresses_are_used() {
    let mut foreign = instance("x", 7000, &[]);
    foreign["Service"]["Meta"] =
        json!({"rack": "hub", "role": "origin", "slots": "40", "version": "3.1"});
    let mut without_meta = instance("y", 7001, &[("c", "warning")]);
    without_meta["Service"]["Meta"] = Value::Null;
    without_meta["Service"]["Weights"] = json!({"Passing": 4, "Warning": 0});
    let mut mapping_config = mapping();
    (
        mapping_config.keys.zone,
        mapping_config.keys.kind,
        mapping_config.keys.capacity,
    ) = ("rack".into(), "role".into(), "slots".into());
    let mut fixture = WatchFixture {
        watch: Watch::new(Options::default(), mapping_config, 7),
        ..WatchFixture::new(|_| {})
    };
    fixture.exchange(5, &[foreign.clone(), without_meta.clone()]);
    let server = |fixture: &WatchFixture, uid: &str| fixture.list[uid].entry.server.clone();
    let x = server(&fixture, "x");
    assert_eq!(
        (x.zone.as_str(), x.kind.as_str(), x.weight),
        ("hub", "origin", 40.0)
    );
    let y = server(&fixture, "y");
    assert_eq!(
        (y.zone.as_str(), y.kind.as_str(), y.state),
        ("here", "box", State::Draining),
        "the warning weight is 0"
    );
    // With the default keys the custom metadata is not read, and the default values apply.
    let mut fixture = WatchFixture::new(|_| {});
    fixture.exchange(5, &[foreign.clone()]);
    assert_eq!(
        (
            server(&fixture, "x").zone.as_str(),
            server(&fixture, "x").weight
        ),
        ("here", 8.0)
    );
    // The address is that of the service, that of the node, or a tagged address.
    let endpoint = |tag: Option<&str>, entry: &Value| {
        let tagged_address = tag.map(str::to_owned);
        let mut fixture = WatchFixture::new(|_| {});
        fixture.watch = Watch::new(
            Options::default(),
            Mapping {
                tagged_address,
                ..mapping()
            },
            7,
        );
        fixture.exchange(5, std::slice::from_ref(entry));
        fixture.list["x"].entry.endpoint.to_string()
    };
    assert_eq!(endpoint(None, &foreign), "10.1.10.12:7000");
    assert_eq!(endpoint(Some("wan"), &foreign), "192.0.2.77:9000");
    assert_eq!(
        endpoint(Some("lan"), &foreign),
        "10.1.10.12:7000",
        "the address of the node, as the service has none"
    );
    foreign["Service"]["Address"] = "2001:db8::1".into();
    assert_eq!(endpoint(Some("lan_ipv6"), &foreign), "[2001:db8::1]:7000");
}

/// Returns an instance with one invalid value.
fn malformed(change: impl Fn(&mut Value)) -> Value {
    let mut entry = instance("bad", 7009, &[]);
    change(&mut entry);
    entry
}

/// Returns malformed instances, each with its invalid key.
fn malformed_instances_by_key() -> Vec<(&'static str, Value)> {
    let meta = |key: &'static str, value: &'static str| {
        malformed(move |entry| entry["Service"]["Meta"][key] = value.into())
    };
    let port = |value: Value| malformed(move |entry| entry["Service"]["Port"] = value.clone());
    let address = |part: &'static str, text: &'static str| {
        malformed(move |entry| entry[part]["Address"] = text.into())
    };
    let id = |value: Value| malformed(move |entry| entry["Service"]["ID"] = value.clone());
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
            malformed(|entry| entry["Service"]["Meta"] = 3.into()),
        ),
        (
            "Checks[0].Status",
            malformed(move |entry| entry["Checks"] = check.clone()),
        ),
        ("Service.ID", id("a,b=c".into())),
        ("Service.ID", id(Value::Null)),
        (
            "Service",
            malformed(|entry| drop(entry.as_object_mut().unwrap().remove("Service"))),
        ),
        (".", json!(17)),
    ]
}

#[test]
fn an_invalid_instance_is_skipped_and_reported_once_with_its_key() {
    for (key, entry) in malformed_instances_by_key() {
        let mut fixture = WatchFixture::new(|_| {});
        let mut list = ready_instances(&["a", "b"]);
        list.insert(1, entry);
        fixture.exchange(5, &list);
        assert_eq!(
            fixture.states(),
            [("a", State::Ready), ("b", State::Ready)],
            "{key}"
        );
        let [WatchEvent::InstanceSkipped(s)] = &fixture.events[..] else {
            panic!("{key}: {:?}", fixture.events)
        };
        assert!(
            s.fault.key == key || key == "Service" && s.fault.error.to_string().contains("Service"),
            "{key}: {s}"
        );
        // Changes of other instances are applied, and the invalid instance is not reported again.
        list[0]["Checks"] = json!([{"CheckID": "c", "Status": "critical"}]);
        fixture.exchange(6, &list);
        assert_eq!(
            fixture.states(),
            [("a", State::Draining), ("b", State::Ready)],
            "{key}"
        );
        assert_eq!(fixture.events.len(), 1, "{key}: {:?}", fixture.events);
    }
    // A known cache whose registration becomes invalid drains.
    let mut fixture = WatchFixture::new(|_| {});
    fixture.exchange(5, &ready_instances(&["a", "b"]));
    let mut list = ready_instances(&["a", "b"]);
    list[1]["Service"]["Port"] = 0.into();
    fixture.exchange(6, &list);
    assert_eq!(
        fixture.states(),
        [("a", State::Ready), ("b", State::Draining)]
    );
    assert_eq!(
        fixture.reason("b"),
        &Reason::InvalidRegistration("Service.Port".into())
    );
}

type Change = Box<dyn Fn(&mut Value)>;

/// Returns changes of addresses, weights and metadata that the default mapping does not use, including the forms of
/// Consul's API documentation.
fn changes_of_unused_addresses_and_metadata() -> Vec<(&'static str, Change)> {
    vec![
        (
            "tagged addresses in lower case",
            Box::new(|entry| {
                entry["Service"]["TaggedAddresses"] = json!({"lan": {"address": "10.1.10.12", "port": 8000},
                    "wan": {"address": "198.18.1.2", "port": 80}});
            }),
        ),
        (
            "no tagged addresses",
            Box::new(|entry| entry["Service"]["TaggedAddresses"] = Value::Null),
        ),
        (
            "tagged addresses as text",
            Box::new(|entry| entry["Service"]["TaggedAddresses"] = json!("10.1.10.12")),
        ),
        (
            "tagged addresses of the node as a list",
            Box::new(|entry| entry["Node"]["TaggedAddresses"] = json!(["10.1.10.12"])),
        ),
        (
            "weights as text",
            Box::new(|entry| entry["Service"]["Weights"] = json!({"Passing": "8", "Warning": "1"})),
        ),
        (
            "no weights",
            Box::new(|entry| entry["Service"]["Weights"] = json!(false)),
        ),
        (
            "unused metadata of another type",
            Box::new(|entry| entry["Service"]["Meta"]["rack"] = json!({"row": 7})),
        ),
        (
            "metadata of the node",
            Box::new(|entry| entry["Node"]["Meta"] = json!([1, 2])),
        ),
    ]
}

/// Returns changes of checks, nodes and other parts that the default mapping does not use.
fn changes_of_unused_checks_and_parts() -> Vec<(&'static str, Change)> {
    vec![
        (
            "notes of a check",
            Box::new(|entry| entry["Checks"][0]["Notes"] = json!({"en": "fine"})),
        ),
        (
            "id of a check",
            Box::new(|entry| entry["Checks"][0]["CheckID"] = json!(17)),
        ),
        (
            "definition of a check",
            Box::new(|entry| entry["Checks"][0]["Definition"] = json!({"Interval": "10s"})),
        ),
        (
            "name of the node, with the service as the identity",
            Box::new(|entry| entry["Node"]["Node"] = json!(4)),
        ),
        (
            "proxy configuration",
            Box::new(|entry| entry["Service"]["Proxy"] = json!({"MeshGateway": {}, "Expose": {}})),
        ),
        (
            "socket path",
            Box::new(|entry| entry["Service"]["SocketPath"] = json!("")),
        ),
        ("node without an address, with an address of the service", {
            Box::new(|entry| {
                entry["Service"]["Address"] = "10.1.10.13".into();
                entry["Node"] = json!("n1");
            })
        }),
    ]
}

#[test]
fn malformed_values_of_unused_keys_are_ignored() {
    let cases = changes_of_unused_addresses_and_metadata()
        .into_iter()
        .chain(changes_of_unused_checks_and_parts());
    for (name, change) in cases {
        let mut fixture = WatchFixture::new(|_| {});
        let mut entry = instance("a", 7000, &[("c", "passing")]);
        change(&mut entry);
        fixture.exchange(5, &[entry]);
        assert_eq!(
            fixture.states(),
            [("a", State::Ready)],
            "{name}: {:?}",
            fixture.events
        );
        assert!(fixture.events.is_empty(), "{name}: {:?}", fixture.events);
    }
}

/// If a tagged address is configured, both spellings of its keys are read, and errors state the path of the key.
#[test]
fn tagged_addresses_are_read_in_both_spellings_and_errors_state_their_path() {
    let endpoint = |tagged: Value| {
        let mut fixture = WatchFixture::new(|_| {});
        let mapping_config = Mapping {
            tagged_address: Some("wan".into()),
            ..mapping()
        };
        fixture.watch = Watch::new(Options::default(), mapping_config, 7);
        let mut entry = instance("a", 7000, &[]);
        entry["Service"]["TaggedAddresses"] = tagged;
        fixture.exchange(5, &[entry]);
        match &fixture.events[..] {
            [.., WatchEvent::InstanceSkipped(s)] => s.fault.key.clone(),
            _ => fixture.list["a"].entry.endpoint.to_string(),
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
    assert_eq!(
        endpoint(json!({})),
        "192.0.2.12:7000",
        "the tagged address of the node"
    );
}

#[test]
fn a_mostly_unusable_response_is_reported_once() {
    let mut fixture = WatchFixture::new(|_| {});
    let mut list = ready_instances(&["a", "b", "c"]);
    list[0]["Service"]["Port"] = 0.into();
    fixture.exchange(5, &list);
    let mostly_unusable_count = |fixture: &WatchFixture| {
        fixture
            .events
            .iter()
            .filter(|n| matches!(n, WatchEvent::MostlyUnusable { .. }))
            .count()
    };
    assert_eq!(mostly_unusable_count(&fixture), 0, "one of three");
    (1..3).for_each(|n| list[n]["Service"]["Port"] = json!("none"));
    for index in 6..9 {
        fixture.exchange(index, &list);
        assert_eq!(mostly_unusable_count(&fixture), 1);
    }
    fixture.exchange(9, &ready_instances(&["a", "b", "c"]));
    fixture.exchange(10, &list);
    assert_eq!(
        mostly_unusable_count(&fixture),
        2,
        "the condition is reported again after it has ended"
    );
    // Instances without an id are counted separately.
    let mut fixture = WatchFixture::new(|_| {});
    list.iter_mut()
        .for_each(|entry| entry["Service"]["ID"] = Value::Null);
    fixture.exchange(5, &list);
    let event = fixture.events.iter().find(|n| {
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
        event.is_some_and(|n| n.to_string().contains("Service.ID")),
        "{:?}",
        fixture.events
    );
}

#[test]
fn a_duplicate_id_stays_with_the_known_address() {
    let mut fixture = WatchFixture::new(|_| {});
    let duplicate_instances =
        |first: u16, second: u16| [instance("a", first, &[]), instance("a", second, &[])];
    fixture.exchange(5, &duplicate_instances(1, 2));
    fixture.exchange(6, &duplicate_instances(2, 1));
    assert_eq!(fixture.list["a"].entry.endpoint.port(), 1);
    assert!(
        matches!(&fixture.events[..], [WatchEvent::DuplicateId { .. }]),
        "reported once: {:?}",
        fixture.events
    );
    let mut mapping_config = mapping();
    mapping_config.identity = Identity::NodeAndService;
    let mut fixture = WatchFixture {
        watch: Watch::new(Options::default(), mapping_config, 7),
        ..WatchFixture::new(|_| {})
    };
    let mut list = duplicate_instances(1, 2);
    list[1]["Node"]["Node"] = "n2".into();
    fixture.exchange(5, &list);
    assert_eq!(
        fixture.states().iter().map(|s| s.0).collect::<Vec<_>>(),
        ["n1/a", "n2/a"]
    );
}

/// Generates arbitrary nested JSON values.
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
                .prop_map(|mapping_config| Value::Object(mapping_config.into_iter().collect())),
        ]
    })
}

/// Paths that the default mapping does not use if the service has an address.
const UNUSED_PATHS: [&[&str]; 14] = [
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
    &["Unknown"],
];

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256, rng_seed: RngSeed::Fixed(0x11ae), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// An arbitrary value at an unused path changes neither the presence nor the state of the cache.
    #[test]
    fn any_json_under_an_unused_key_is_ignored(
        position in 0..UNUSED_PATHS.len(),
        value in any_json(),
        fails in any::<bool>(),
    ) {
        let mut entry = instance("a", 7000, &[("c", if fails { "critical" } else { "passing" })]);
        entry["Service"]["Address"] = "10.1.10.13".into();
        let mut target = &mut entry;
        for key in UNUSED_PATHS[position] {
            target = match key.parse::<usize>() {
                Ok(n) => &mut target[n],
                Err(_) => &mut target[*key],
            };
        }
        *target = value;
        let mut fixture = WatchFixture::new(|_| {});
        fixture.exchange(5, &[entry]);
        let state = if fails { State::Draining } else { State::Ready };
        prop_assert_eq!(fixture.states(), [("a", state)], "{:?}", fixture.events);
        prop_assert_eq!(fixture.list["a"].entry.endpoint.to_string(), "10.1.10.13:7000");
    }
}
