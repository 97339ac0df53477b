//! The log on standard error, as text or JSON Lines.

use crate::interconnect::LogForm;
use env_logger::fmt::Formatter;
use log::kv::{self, Key, Value, VisitSource};
use log::Record;
use serde_json::Map;
use std::io::{self, Write};
use std::time::{SystemTime, UNIX_EPOCH};

/// The key-values of a record as JSON.
struct KeyValues(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for KeyValues {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let number = value
            .to_u64()
            .map(Into::into)
            .or_else(|| value.to_i64().map(Into::into));
        let json = number.or_else(|| value.to_f64().map(Into::into));
        let json = json.or_else(|| value.to_bool().map(Into::into));
        self.0.insert(
            key.to_string(),
            json.unwrap_or_else(|| value.to_string().into()),
        );
        Ok(())
    }
}

/// Formats a record as one JSON object. Key-values whose keys collide with the fixed keys of the object are nested
/// under `kv`.
pub fn json(record: &Record<'_>, unix_ms: u64) -> String {
    let mut key_values = KeyValues(Map::new());
    // The result is ignored, because visiting does not fail: values without a JSON type are formatted as text.
    let _ = record.key_values().visit(&mut key_values);
    let mut line = Map::new();
    line.insert("ts_ms".into(), unix_ms.into());
    line.insert("level".into(), record.level().as_str().into());
    line.insert("target".into(), record.target().into());
    line.insert("message".into(), record.args().to_string().into());
    let mut colliding = Map::new();
    for (key, value) in key_values.0 {
        let object = if line.contains_key(&key) {
            &mut colliding
        } else {
            &mut line
        };
        object.insert(key, value);
    }
    if !colliding.is_empty() {
        line.insert("kv".into(), colliding.into());
    }
    serde_json::Value::Object(line).to_string()
}

/// Starts the logger in this format. `RUST_LOG` sets the level, `info` by default.
pub fn start(form: LogForm) {
    let mut builder =
        env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"));
    if form == LogForm::Json {
        builder.format(
            |out: &mut Formatter, record: &Record<'_>| -> io::Result<()> {
                let unix = SystemTime::now()
                    .duration_since(UNIX_EPOCH)
                    .unwrap_or_default();
                writeln!(out, "{}", json(record, unix.as_millis() as u64))
            },
        );
    }
    // This fails only if a logger is already installed, as in tests, so the result is ignored.
    let _ = builder.try_init();
}
