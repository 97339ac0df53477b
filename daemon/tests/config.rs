//! Configuration: what is read, what is taken where nothing is said, and messages that name the faulty key.

use linnetknot_daemon::config::Config;
use linnetknot_daemon::interconnect;
use linnetknot_rehearse::settings;
use serde_json::{json, Value};

fn good() -> Value {
    json!({"listen": "127.0.0.1:0", "settings": settings()})
}

fn read(value: &Value) -> Result<Config, String> {
    Config::read(value.as_object().unwrap())
}

#[test]
fn what_is_not_said_has_a_default() {
    let config = read(&good()).unwrap();
    assert_eq!((config.bus, config.known.0, config.limits.descriptors), (None, 0, 1024));
    assert!(config.cdni.is_none() && config.consul.is_none() && config.peers.is_none());
    // Time limits are longer on sockets, that of the boxes' own dropping among them.
    assert_eq!(config.settings.rules.purge_done_us, 6_050_000);
}

#[test]
fn messages_name_the_faulty_key() {
    for (key, value) in [
        ("listen", json!("nowhere")),
        ("listen", Value::Null),
        ("seed", json!("xyz")),
        ("bus", json!(7)),
        ("peers", json!(["a"])),
        ("settings", json!({"categories": 3})),
        ("known", json!({"batch": [{"offset": 1, "ban": {"url": "a"}}]})),
        ("limits", json!({"sockets": 0})),
    ] {
        let mut config = good();
        config[key] = value.clone();
        let message = read(&config).unwrap_err();
        let inner = value.as_object().and_then(|o| o.keys().next());
        let named = message.contains(key) || inner.is_some_and(|k| message.contains(k));
        assert!(named, "{key} = {value}: {message}");
    }
}

#[test]
fn a_group_of_none_and_a_number_outside_the_group_end_the_start() {
    let fault = |group: u64, rank: u64| {
        let mut config = good();
        config["settings"]["group-size"] = json!(group);
        config["settings"]["rank"] = json!(rank);
        read(&config).err()
    };
    assert!(fault(0, 0).unwrap().contains("'group-size' is 0"));
    assert!(fault(3, 3).unwrap().contains("'rank' is 3"));
    assert_eq!(fault(100, 99), None);
}

#[test]
fn the_second_front_is_off_until_it_is_told_where_to_listen() {
    let mut config = read(&good()).unwrap();
    let shipped: Value = serde_json::from_str(include_str!("../../deploy/interconnect.json")).unwrap();
    config.interconnect(shipped.as_object().unwrap()).unwrap();
    assert!(config.cdni.is_none() && config.consul.is_none());
    for (file, key) in [
        (json!({"cdni": {"listen": "x"}}), "listen"),
        (json!({"cdni": {"listen": "127.0.0.1:0", "base": "b"}}), "provider"),
        (
            json!({"cdni": {"listen": "127.0.0.1:0", "base": "b", "provider": "p", "footprint": ["1.2.3.4"]}}),
            "footprint",
        ),
        (json!({"consul": {"address": "x"}}), "address"),
    ] {
        let message = config.interconnect(file.as_object().unwrap()).unwrap_err();
        assert!(message.contains(key), "{message}");
    }
}

#[test]
fn the_operators_own_file_is_refused_by_the_path_of_the_key() {
    let consul = |key: &str, value: Value| {
        let mut consul = json!({"address": "127.0.0.1:8500"});
        consul[key] = value;
        json!({"consul": consul})
    };
    for (file, path) in [
        (json!({"consull": {}}), "consull: unknown field"),
        (consul("wait", 3.into()), "consul.wait: unknown field"),
        (consul("wait_s", 0.into()), "consul.wait_s: 0 is not from 1 to 600"),
        (consul("wait_s", "10s".into()), "consul.wait_s: invalid type"),
        (consul("agents", json!(["127.0.0.1:1", "consul.example:8500"])), "consul.agents[1]: invalid socket"),
        (consul("service", "".into()), "consul.service: "),
        (consul("tags", json!(["a", ""])), "consul.tags[1]: "),
        (consul("consistency", "strong".into()), "consul.consistency: unknown variant"),
        (consul("zone", "mars".into()), "consul.zone: 'mars' is none of the settings' zones (hub, here)"),
        (consul("least_share", 1.5.into()), "consul.least_share: 1.5 is not from 0 to 1"),
        (consul("damping", json!({"suppress": 0.5})), "consul.damping.suppress must be above 'reuse'"),
        (consul("damping", json!({"half_life_s": 0})), "consul.damping.half_life_s: 0 is not"),
        (consul("damping", json!({"most_suppressed_s": 1})), "consul.damping.most_suppressed_s is too short"),
        (consul("register", json!({"ttl_s": 0})), "consul.register.ttl_s: 0"),
        (consul("register", json!({"tags": ["x".repeat(20_000)]})), "consul.register: bytes of 'tags'"),
        (json!({"state": {"most_age_s": 0}}), "state.most_age_s: 0"),
        (json!({"log": {"form": "xml"}}), "log.form: unknown variant"),
        (
            json!({"cdni": {"listen": "127.0.0.1:0", "provider": "p", "base": "b", "neighbours": [{"provider": "q"}]}}),
            "cdni.neighbours[0]: missing field `address`",
        ),
    ] {
        let mut config = read(&good()).unwrap();
        let message = config.interconnect(file.as_object().unwrap()).unwrap_err();
        assert!(message.starts_with(path), "{path} | {message}");
    }
    // Two keys are enough, as before.
    let mut config = read(&good()).unwrap();
    let file = json!({"consul": {"address": "127.0.0.1:8500", "service": "boxes"}});
    config.interconnect(file.as_object().unwrap()).unwrap();
    let consul = config.consul.unwrap();
    assert_eq!((consul.options[0].service.as_str(), consul.mapping.zone.as_str()), ("boxes", "here"));
}

/// After a change of the types: `linnetknot schema > docs/interconnect.schema.json`.
#[test]
fn the_schema_in_the_docs_is_that_of_the_types() {
    let kept = include_str!("../../docs/interconnect.schema.json");
    assert!(interconnect::schema() == kept, "docs/interconnect.schema.json is not up to date");
}

#[test]
fn files_are_checked_from_the_command_line_without_a_start() {
    let folder = std::env::temp_dir().join(format!("linnetknot-check-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let write = |name: &str, text: String| {
        let path = folder.join(name);
        std::fs::write(&path, text).unwrap();
        path
    };
    let run = |arguments: &[&std::ffi::OsStr]| {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_linnetknot"));
        let out = command.args(arguments).env_remove("ROUTER_CONFIG").output().unwrap();
        let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
        (out.status.code(), text(out.stdout), text(out.stderr))
    };
    let config = write("config.json", good().to_string());
    let own = write("own.json", json!({"consul": {"address": "127.0.0.1:8500", "zone": "mars"}}).to_string());
    let torn = write("torn.json", "{".to_owned());
    let check = "check".as_ref();
    let (code, out, _) = run(&[check, config.as_ref()]);
    assert_eq!((code, out.contains("a configuration, sound")), (Some(0), true), "{out}");
    // With no configuration beside it any zone will do; with one, it must be among its zones.
    assert_eq!(run(&[check, own.as_ref()]).0, Some(0));
    let (code, out, err) = run(&[check, own.as_ref(), config.as_ref()]);
    assert_eq!((code, out.lines().count()), (Some(1), 1));
    assert!(err.contains("own.json: consul.zone: 'mars'"), "{err}");
    let (code, _, err) = run(&[check, torn.as_ref()]);
    assert!(code == Some(1) && err.contains("torn.json: not JSON"), "{err}");
    let (code, _, err) = run(&[check]);
    assert!(code == Some(1) && err.contains("ROUTER_CONFIG"), "{err}");
    assert_eq!(run(&["schema".as_ref()]).1, interconnect::schema());
    assert_eq!(run(&["serve".as_ref()]).0, Some(2));
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn the_examples_can_be_read() {
    let text = include_str!("../../examples/config.json");
    let mut config = read(&serde_json::from_str(text).unwrap()).unwrap();
    let text = include_str!("../../examples/interconnect.json");
    config.interconnect(serde_json::from_str::<Value>(text).unwrap().as_object().unwrap()).unwrap();
    assert!(config.cdni.is_some());
}

#[test]
fn what_a_running_daemon_can_not_follow_is_told_by_its_key() {
    let old = read(&good()).unwrap();
    let mut new = good();
    (new["bus"], new["seed"], new["known"]) = (json!("127.0.0.1:1"), json!("7"), json!({"offset": 3}));
    assert!(old.fixed_changes(&read(&new).unwrap()).is_empty());
    (new["listen"], new["limits"], new["name"]) = (json!("127.0.0.1:9"), json!({"sockets": 99}), json!("n"));
    new["settings"]["limits"]["try-limit"] = json!(2);
    assert_eq!(old.fixed_changes(&read(&new).unwrap()), ["name", "listen", "limits", "settings"]);
}
