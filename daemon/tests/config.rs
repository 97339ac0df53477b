//! Configuration files: parsing, defaults, and error messages that name the invalid key.

use linnetknot::{LoadReports, Repeat, Siblings};
use linnetknot_daemon::config::Config;
use linnetknot_daemon::interconnect;
use linnetknot_harness::settings;
use serde_json::{json, Value};

fn valid_config() -> Value {
    json!({"listen": "127.0.0.1:0", "settings": settings()})
}

fn read(value: &Value) -> Result<Config, String> {
    Config::read(value.as_object().unwrap()).map_err(|e| e.to_string())
}

#[test]
fn missing_keys_have_defaults() {
    let config = read(&valid_config()).unwrap();
    assert_eq!(
        (
            config.bus,
            config.known.offset,
            config.limits.max_descriptors
        ),
        (None, 0, 1024)
    );
    assert!(config.cdni.is_none() && config.consul.is_none() && config.peers.is_none());
    // The daemon extends time limits for real sockets, including the purge completion time.
    assert_eq!(config.settings.rules.purge_completion_us, 6_050_000);
}

/// The second example deployment has no peers, reports load only in the caches' answers, allows a second copy of an
/// object, has writes that must not run twice, and configures link speeds. `linnetknot check` must accept the file.
#[test]
fn the_second_deployments_configuration_is_valid_without_peers() {
    let config = json!({
        "name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "bus": "127.0.0.1:8500",
        "limits": {"cores": 0.2, "memory_mb": 32, "sockets": 256},
        "known": {"offset": 3, "batch": []},
        "flow_bytes_per_s": 310_000, "link_bytes_per_s": 1_240_000,
        "settings": {
            "categories": [
                {"name": "media", "aim-us": 600_000, "aim-stretch": 2.0, "deadline-us": 5_000_000, "worth": 2.0,
                 "late-worth": 0.15, "repeat": "pure"},
                {"name": "forms", "aim-us": 250_000, "aim-stretch": 2.0, "deadline-us": 2_500_000, "worth": 1.0,
                 "late-worth": 0.2, "repeat": "pure"},
                {"name": "activate", "aim-us": 800_000, "deadline-us": 3_000_000, "worth": 3.0, "repeat": "side_effect"},
            ],
            "family-info": {"attached-to": [0, 1, 0, 1], "can-join": true, "good-for-us": [0, 12_000_000, 0],
                "in-pieces": [true, false, false], "may-pass-by": true, "mid-kind": 2, "neighbours": "location",
                "never-kept": [false, false, true], "note-level": "all", "old-copy-worth": [0.7, 0.7, 0.7],
                "one-flow-kb-per-s": 9000.0, "parent-cold-from": 0.1, "purge-slack-us": 500_000,
                "purge-takes-us": 6_000_000, "seats-by-zone": [0, 0, 1, 2], "source-kind": 3,
                "upper-cold-us": 21_000_000, "upper-fall-multiple": 2.0, "usable-after-us": [0, 10_000_000, 0],
                "zone-link-kb-per-s": [0.0, 0.0, 81_000.0, 92_000.0]},
            "kinds": ["small", "large", "parent", "origin"], "localities": ["north", "south", "o-1", "o-2"],
            "zone": "o-2", "weights": "rough", "discovery": "push", "telemetry": {"source": "inline"},
            "limits": {"try-limit": 6, "cancel": true, "probing": false, "peers": false, "second-copies": true,
                "retry-after": true, "max-retry-after-us": 500_000},
            "rules": {"drain-grace-us": 500_000, "cold-share": 0.15, "ramp-time-us": 18_000_000,
                "fall-multiple": 4.0, "tip-after-us": 2_000_000},
        }
    });
    let read = read(&config).unwrap();
    assert!(read.peers.is_none());
    let settings = &read.settings;
    assert_eq!(
        (settings.load_reports, settings.siblings),
        (LoadReports::Answers, Siblings::Location)
    );
    assert_eq!(
        (settings.classes[2].repeat, settings.classes[2].write),
        (Repeat::Unsafe, true)
    );
    assert_eq!(
        (settings.rules.drain_grace_us, settings.rules.purge_grace_us),
        (500_000, 500_000)
    );
    let file = std::env::temp_dir().join(format!("linnetknot-second-{}.json", std::process::id()));
    std::fs::write(&file, config.to_string()).unwrap();
    let results = linnetknot_daemon::config::check(std::slice::from_ref(&file));
    let _ = std::fs::remove_file(&file);
    assert!(
        matches!(&results[..], [checked] if checked.result.is_ok()),
        "{results:?}"
    );
}

#[test]
fn error_messages_name_the_invalid_key() {
    for (key, value) in [
        ("listen", json!("nowhere")),
        ("listen", Value::Null),
        ("seed", json!("xyz")),
        ("bus", json!(7)),
        ("peers", json!(["a"])),
        ("settings", json!({"categories": 3})),
        (
            "known",
            json!({"batch": [{"offset": 1, "ban": {"url": "a"}}]}),
        ),
        ("limits", json!({"sockets": 0})),
    ] {
        let mut config = valid_config();
        config[key] = value.clone();
        let message = read(&config).unwrap_err();
        let inner = value.as_object().and_then(|o| o.keys().next());
        let is_named = message.contains(key) || inner.is_some_and(|k| message.contains(k));
        assert!(is_named, "{key} = {value}: {message}");
    }
}

#[test]
fn an_empty_group_or_a_rank_outside_it_is_rejected() {
    let error = |group: u64, rank: u64| {
        let mut config = valid_config();
        config["settings"]["group-size"] = json!(group);
        config["settings"]["rank"] = json!(rank);
        read(&config).err()
    };
    assert!(error(0, 0).unwrap().contains("'group-size' is 0"));
    assert!(error(3, 3).unwrap().contains("'rank' is 3"));
    assert_eq!(error(100, 99), None);
}

#[test]
fn the_cdni_listener_is_off_until_its_address_is_configured() {
    let mut config = read(&valid_config()).unwrap();
    let shipped: Value =
        serde_json::from_str(include_str!("../../deploy/interconnect.json")).unwrap();
    config.interconnect(shipped.as_object().unwrap()).unwrap();
    assert!(config.cdni.is_none() && config.consul.is_none());
    for (file, key) in [
        (json!({"cdni": {"listen": "x"}}), "listen"),
        (
            json!({"cdni": {"listen": "127.0.0.1:0", "base": "b"}}),
            "provider",
        ),
        (
            json!({"cdni": {"listen": "127.0.0.1:0", "base": "b", "provider": "p", "footprint": ["1.2.3.4"]}}),
            "footprint",
        ),
        (json!({"consul": {"address": "x"}}), "address"),
    ] {
        let message = config
            .interconnect(file.as_object().unwrap())
            .unwrap_err()
            .to_string();
        assert!(message.contains(key), "{message}");
    }
}

#[test]
fn interconnect_errors_name_the_path_of_the_invalid_key() {
    let consul = |key: &str, value: Value| {
        let mut consul = json!({"address": "127.0.0.1:8500"});
        consul[key] = value;
        json!({"consul": consul})
    };
    for (file, path) in [
        (json!({"consull": {}}), "consull: unknown field"),
        (consul("wait", 3.into()), "consul.wait: unknown field"),
        (
            consul("wait_s", 0.into()),
            "consul.wait_s: 0 is not from 1 to 600",
        ),
        (
            consul("wait_s", "10s".into()),
            "consul.wait_s: invalid type",
        ),
        (
            consul("agents", json!(["127.0.0.1:1", "consul.example:8500"])),
            "consul.agents[1]: invalid socket",
        ),
        (consul("service", "".into()), "consul.service: "),
        (consul("tags", json!(["a", ""])), "consul.tags[1]: "),
        (
            consul("consistency", "strong".into()),
            "consul.consistency: unknown variant",
        ),
        (
            consul("zone", "mars".into()),
            "consul.zone: 'mars' is none of the settings' zones (hub, here)",
        ),
        (
            consul("least_share", 1.5.into()),
            "consul.least_share: 1.5 is not from 0 to 1",
        ),
        (
            consul("damping", json!({"suppress": 0.5})),
            "consul.damping.suppress must be above 'reuse'",
        ),
        (
            consul("damping", json!({"half_life_s": 0})),
            "consul.damping.half_life_s: 0 is not",
        ),
        (
            consul("damping", json!({"most_suppressed_s": 1})),
            "consul.damping.most_suppressed_s is too short",
        ),
        (
            consul("register", json!({"ttl_s": 0})),
            "consul.register.ttl_s: 0",
        ),
        (
            consul("register", json!({"tags": ["x".repeat(20_000)]})),
            "consul.register: bytes of 'tags'",
        ),
        (json!({"state": {"most_age_s": 0}}), "state.most_age_s: 0"),
        (json!({"log": {"form": "xml"}}), "log.form: unknown variant"),
        (
            json!({"cdni": {"listen": "127.0.0.1:0", "provider": "p", "base": "b", "neighbours": [{"provider": "q"}]}}),
            "cdni.neighbours[0]: missing field `address`",
        ),
    ] {
        let mut config = read(&valid_config()).unwrap();
        let message = config
            .interconnect(file.as_object().unwrap())
            .unwrap_err()
            .to_string();
        assert!(message.starts_with(path), "{path} | {message}");
    }
    // The settings require copies on more machines than the peer list has. Peers with the same IP address count as one
    // machine unless the file names their machines.
    let copies = |copies: Value| {
        let cdni = json!({"listen": "127.0.0.1:0", "provider": "p", "base": "b", "purges": "/nowhere/purges"});
        json!({"cdni": cdni, "peers": {"copies": true}, "copies": copies})
    };
    let named = json!({"127.0.0.1:3": "b", "127.0.0.1:4": "c"});
    let with_peers = |file: &Value| {
        let mut valid_config = valid_config();
        valid_config["peer_listen"] = "127.0.0.1:2".into();
        valid_config["peers"] = json!(["127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4"]);
        let mut config = read(&valid_config).unwrap();
        config
            .interconnect(file.as_object().unwrap())
            .map(|()| config.replication)
            .map_err(|e| e.to_string())
    };
    for (file, path) in [
        (copies(json!({})), "copies.wait: 1 further machines"),
        (
            copies(json!({"wait": 3, "machines": named})),
            "copies.wait: 3 further machines",
        ),
        (
            copies(json!({"holders": 3, "machines": named})),
            "copies.holders: 3 further machines",
        ),
        (
            copies(json!({"wait": 2, "holders": 1, "machines": named})),
            "copies.holders: fewer than the 2",
        ),
        (
            copies(json!({"within_ms": 10})),
            "copies.within_ms: 10 is not",
        ),
        (
            json!({"peers": {"copies": true}, "copies": {"wait": 0}}),
            "peers.copies: 'cdni.purges'",
        ),
        (
            copies(json!({"purge_table_mb": 0})),
            "copies.purge_table_mb: 0 is not from 1 to 1024",
        ),
        (
            copies(json!({"purge_table_mb": 2048})),
            "copies.purge_table_mb: 2048 is not from 1 to 1024",
        ),
        (
            copies(json!({"purge_table_mb": 12})),
            "copies.purge_table_mb: 12 is no power of two",
        ),
        (
            json!({"copies": {"purge_table_mb": 3}}),
            "copies.purge_table_mb: 3 is no power of two",
        ),
    ] {
        let message = with_peers(&file).unwrap_err();
        assert!(message.starts_with(path), "{path} | {message}");
    }
    let checked = with_peers(&copies(json!({"machine": "a", "machines": named}))).unwrap();
    assert_eq!(
        (
            checked.min_acks,
            checked.replication_factor,
            checked.machines.len()
        ),
        (1, 2, 2),
        "the proxy's own machine is not in the list"
    );
    assert_eq!(
        with_peers(&copies(json!({"wait": 0})))
            .unwrap()
            .replication_factor,
        0,
        "no peer is on a further machine"
    );
    for (mb, bits) in [(1, 14), (4, 16), (1024, 24)] {
        let checked = with_peers(&copies(json!({"wait": 0, "purge_table_mb": mb}))).unwrap();
        assert_eq!(checked.purge_table.bucket_bits.value(), bits);
        assert_eq!(
            checked.purge_table.bucket_bits.buckets() * 64,
            mb << 20,
            "64 bytes a bucket"
        );
    }
    let usual = with_peers(&copies(json!({"wait": 0}))).unwrap().purge_table;
    assert_eq!(usual, Default::default());
    // Budgets must cover the reserved minimums of all proxies, and the peer list must contain this proxy.
    let shared = |budgets: Value| {
        let mut file = copies(json!({"wait": 0}));
        file["budgets"] = budgets;
        file
    };
    let origin = |limit: u64, floor: u64| json!({"origin": {"whole": limit, "floor": floor}});
    let without_copies = json!({"budgets": origin(9, 1)});
    for (file, path) in [
        (
            shared(origin(5, 2)),
            "budgets.origin.whole: 5 is less than 6, the sum of the floors",
        ),
        (
            shared(origin(0, 0)),
            "budgets.origin.whole: 0 is not from 1",
        ),
        (
            shared(json!({"origin": {"floor": 1}})),
            "budgets.origin: missing field `whole`",
        ),
        (
            shared(json!({"cold": true, "cold_floors": 0})),
            "budgets.cold_floors: 0 is not from 0.01",
        ),
        (without_copies, "budgets: needs 'peers.copies'"),
    ] {
        let message = with_peers(&file).unwrap_err();
        assert!(message.starts_with(path), "{path} | {message}");
    }
    let mut elsewhere = valid_config();
    elsewhere["peer_listen"] = "127.0.0.1:9".into();
    elsewhere["peers"] = json!(["127.0.0.1:3", "127.0.0.1:4"]);
    let message = read(&elsewhere)
        .unwrap()
        .interconnect(shared(origin(9, 1)).as_object().unwrap())
        .unwrap_err()
        .to_string();
    assert!(
        message.starts_with("budgets: 'peers' does not name this proxy's own"),
        "{message}"
    );
    let budgets = |own_address: &str, budgets: Value| {
        let mut valid_config = valid_config();
        valid_config["peer_listen"] = own_address.into();
        valid_config["peers"] = json!(["127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4"]);
        let mut config = read(&valid_config).unwrap();
        config
            .interconnect(shared(budgets).as_object().unwrap())
            .unwrap();
        config.budgets
    };
    let both = || json!({"origin": {"whole": 9}, "cold": true});
    let (a, b) = (
        budgets("127.0.0.1:2", both()),
        budgets("127.0.0.1:4", both()),
    );
    assert_eq!(
        (a.index, b.index, a.members, a.fingerprint),
        (0, 2, 3, b.fingerprint)
    );
    let names: Vec<&str> = a.list.iter().map(|b| b.name.as_str()).collect();
    assert_eq!(names, ["origin", "cold-caches:hub", "cold-caches:here"]);
    // Only a budget for the origin limits how long a request may take. Budgets for cold caches do not.
    assert_eq!(a.max_request_us(), Some(a.list[0].spec.settling_us));
    assert_eq!(
        budgets("127.0.0.1:2", json!({"cold": true})).max_request_us(),
        None
    );
    assert_eq!(
        (
            a.list[0].spec.reserved,
            a.list[1].module_budget,
            a.list[2].spec.reserved
        ),
        (1, None, 83_333)
    );
    // Proxies share budgets only if their fingerprints are equal. The limit may differ between proxies while a change
    // is rolled out, so it is not part of the fingerprint; all other values are.
    assert_eq!(
        budgets("127.0.0.1:2", json!({"origin": {"whole": 8}, "cold": true})).fingerprint,
        a.fingerprint
    );
    for other in [
        json!({"origin": {"whole": 9}}),
        json!({"origin": {"whole": 9, "floor": 2}, "cold": true}),
    ] {
        assert_ne!(budgets("127.0.0.1:2", other).fingerprint, a.fingerprint);
    }
    assert!(
        budgets("127.0.0.1:2", json!({})).list.is_empty(),
        "budgets are off by default"
    );
    // The address and the service are enough to enable discovery with Consul.
    let mut config = read(&valid_config()).unwrap();
    let file = json!({"consul": {"address": "127.0.0.1:8500", "service": "boxes"}});
    config.interconnect(file.as_object().unwrap()).unwrap();
    let consul = config.consul.unwrap();
    assert_eq!(
        (
            consul.options[0].service.as_str(),
            consul.mapping.zone.as_str()
        ),
        ("boxes", "here")
    );
}

/// After a change of the configuration types, update the file with
/// `linnetknot schema > docs/interconnect.schema.json`.
#[test]
fn the_published_schema_matches_the_types() {
    let published = include_str!("../../docs/interconnect.schema.json");
    assert!(
        interconnect::schema() == published,
        "docs/interconnect.schema.json is not up to date"
    );
}

#[test]
fn the_check_command_validates_files_without_starting_the_daemon() {
    let folder = std::env::temp_dir().join(format!("linnetknot-check-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let write = |name: &str, text: String| {
        let path = folder.join(name);
        std::fs::write(&path, text).unwrap();
        path
    };
    let run = |arguments: &[&std::ffi::OsStr]| {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_linnetknot"));
        let out = command
            .args(arguments)
            .env_remove("ROUTER_CONFIG")
            .output()
            .unwrap();
        let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
        (out.status.code(), text(out.stdout), text(out.stderr))
    };
    let config = write("config.json", valid_config().to_string());
    let own = write(
        "own.json",
        json!({"consul": {"address": "127.0.0.1:8500", "zone": "mars"}}).to_string(),
    );
    let torn = write("torn.json", "{".to_owned());
    let check = "check".as_ref();
    let (code, out, _) = run(&[check, config.as_ref()]);
    assert_eq!(
        (code, out.contains("a configuration, sound")),
        (Some(0), true),
        "{out}"
    );
    // `check` compares the zone with the zones of the configuration only if a configuration file is also given.
    assert_eq!(run(&[check, own.as_ref()]).0, Some(0));
    let (code, out, err) = run(&[check, own.as_ref(), config.as_ref()]);
    assert_eq!((code, out.lines().count()), (Some(1), 1));
    assert!(err.contains("own.json: consul.zone: 'mars'"), "{err}");
    let (code, _, err) = run(&[check, torn.as_ref()]);
    assert!(
        code == Some(1) && err.contains("torn.json: not JSON"),
        "{err}"
    );
    let (code, _, err) = run(&[check]);
    assert!(code == Some(1) && err.contains("ROUTER_CONFIG"), "{err}");
    assert_eq!(run(&["schema".as_ref()]).1, interconnect::schema());
    assert_eq!(run(&["serve".as_ref()]).0, Some(2));
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn the_example_files_are_valid() {
    let text = include_str!("../../examples/config.json");
    let mut config = read(&serde_json::from_str(text).unwrap()).unwrap();
    let text = include_str!("../../examples/interconnect.json");
    config
        .interconnect(
            serde_json::from_str::<Value>(text)
                .unwrap()
                .as_object()
                .unwrap(),
        )
        .unwrap();
    assert!(config.cdni.is_some());
}

#[test]
fn settings_that_need_a_restart_are_reported_by_key() {
    let old = read(&valid_config()).unwrap();
    let mut new = valid_config();
    (new["bus"], new["seed"], new["known"]) =
        (json!("127.0.0.1:1"), json!("7"), json!({"offset": 3}));
    assert!(old.fixed_changes(&read(&new).unwrap()).is_empty());
    (new["listen"], new["limits"], new["name"]) =
        (json!("127.0.0.1:9"), json!({"sockets": 99}), json!("n"));
    new["settings"]["limits"]["try-limit"] = json!(2);
    assert_eq!(
        old.fixed_changes(&read(&new).unwrap()),
        ["name", "listen", "limits", "settings"]
    );
}

/// Classes may appear and vanish, and the platform may omit `aim-stretch`, so a file without these is complete.
#[test]
fn a_reload_may_omit_classes_and_optional_keys_but_no_other_key() {
    let mut file = valid_config();
    file["settings"]["categories"][0]["aim-stretch"] = json!(1.6);
    file["settings"]["fees"] = json!({"fleet": 0.1, "origin": 0.08});
    let old = read(&file).unwrap();
    let missing = |change: &dyn Fn(&mut Value)| {
        let mut new = file.clone();
        change(&mut new);
        let result = old.check_reload(&read(&new).unwrap());
        result.err().map(|error| error.to_string())
    };
    let remove = |value: &mut Value, key: &str| {
        value.as_object_mut().unwrap().remove(key).unwrap();
    };
    assert_eq!(missing(&|_| {}), None);
    assert_eq!(missing(&|new| new["bus"] = json!("127.0.0.1:1")), None);
    assert_eq!(
        missing(&|new| remove(&mut new["settings"]["categories"][0], "aim-stretch")),
        None
    );
    assert_eq!(
        missing(&|new| remove(&mut new["settings"]["fees"], "fleet")),
        None
    );
    let classes = |new: &mut Value| {
        new["settings"]["categories"]
            .as_array()
            .cloned()
            .unwrap_or_default()
    };
    let one_class = |new: &mut Value| {
        let vanished = classes(new).remove(0);
        new["settings"]["categories"] = json!([vanished]);
    };
    assert_eq!(missing(&one_class), None, "a class vanishes");
    let with_added = |without: Option<&'static str>| {
        move |new: &mut Value| {
            let mut added = new["settings"]["categories"][0].clone();
            added["name"] = json!("added");
            if let Some(key) = without {
                added.as_object_mut().unwrap().remove(key).unwrap();
            }
            let items = new["settings"]["categories"].as_array_mut().unwrap();
            items.insert(0, added);
        }
    };
    assert_eq!(missing(&with_added(None)), None, "a class appears");
    let names = |key: &str| {
        Some(format!(
            "field '{key}' is missing, and the configuration in use has it"
        ))
    };
    assert_eq!(
        missing(&with_added(Some("repeat"))),
        names("settings.categories[added].repeat")
    );
    assert_eq!(
        missing(&|new| remove(&mut new["settings"]["categories"][1], "window-us")),
        names("settings.categories[post].window-us")
    );
    assert_eq!(
        missing(&|new| remove(&mut new["settings"]["limits"], "try-limit")),
        names("settings.limits.try-limit")
    );
    assert_eq!(
        missing(&|new| new["settings"]["fees"] = json!(3)),
        names("settings.fees.origin")
    );
}
