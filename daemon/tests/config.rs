//! Configuration: what is read, what is taken where nothing is said, and messages that name the faulty key.

use linnetknot_daemon::config::Config;
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
