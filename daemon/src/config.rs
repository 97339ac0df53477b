//! The one place where configuration is read, given defaults and checked. Every message names the faulty key.

use crate::bus::{read_event, BusEvent};
use crate::limits::Limits;
use linnetknot::Settings;
use linnetknot_settings::{get, int_or, list, object, settings, text, text_or, wrong, Fields, Result};
use serde_json::Value;
use std::net::SocketAddr;

/// What a daemon is told at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// The bounds that follow from the machine.
    pub limits: Limits,
    /// The event bus; none: the list comes from elsewhere.
    pub bus: Option<SocketAddr>,
    /// The events up to the start, and the number of the last.
    pub known: (u64, Vec<BusEvent>),
    /// What the decision module is told.
    pub settings: Settings,
}

fn address(m: &Fields, key: &str) -> Result<Option<SocketAddr>> {
    get(m, key).map(|_| text(m, key)?.parse().map_err(|_| wrong(key))).transpose()
}

fn known(m: &Fields) -> Result<(u64, Vec<BusEvent>)> {
    if get(m, "known").is_none() {
        return Ok((0, Vec::new()));
    }
    let known = object(m, "known")?;
    let events = list(known, "batch")?.iter().map(read_event).collect::<Result<_>>()?;
    Ok((int_or(known, "offset", 0)?, events))
}

impl Config {
    /// Reads the file that `ROUTER_CONFIG` names; `ROUTER_NAME` and `ROUTER_LISTEN` stand in for keys that it
    /// lacks.
    pub fn from_env() -> Result<Self> {
        let path = std::env::var("ROUTER_CONFIG").map_err(|_| "the variable ROUTER_CONFIG names no file")?;
        let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
        let mut value: Value = serde_json::from_str(&text).map_err(|e| format!("{path}: not JSON: {e}"))?;
        let m = value.as_object_mut().ok_or_else(|| format!("{path}: not a JSON object"))?;
        for (key, variable) in [("name", "ROUTER_NAME"), ("listen", "ROUTER_LISTEN")] {
            if let (None, Ok(said)) = (get(m, key), std::env::var(variable)) {
                m.insert(key.to_owned(), said.into());
            }
        }
        Self::read(m).map_err(|e| format!("{path}: {e}"))
    }

    /// Reads a configuration.
    pub fn read(m: &Fields) -> Result<Self> {
        let none = Fields::new();
        let machine = if get(m, "limits").is_some() { object(m, "limits")? } else { &none };
        let whole = |key: &str, default: u64| {
            int_or(machine, key, default).and_then(|n| {
                let n = usize::try_from(n).map_err(|_| wrong(&format!("limits.{key}")))?;
                if n == 0 {
                    Err(format!("field 'limits.{key}' must not be 0"))
                } else {
                    Ok(n)
                }
            })
        };
        let seed = text_or(m, "seed", "0")?;
        let parsed = settings(object(m, "settings")?).map_err(|e| format!("settings: {e}"))?;
        parsed.check().map_err(|e| format!("settings: {e}"))?;
        Ok(Config {
            name: text_or(m, "name", "linnetknot")?,
            listen: address(m, "listen")?.ok_or("field 'listen' is missing")?,
            seed: u64::from_str_radix(&seed, 16).map_err(|_| wrong("seed"))?,
            limits: Limits::for_machine(whole("sockets", 1024)?, whole("memory_mb", 192)?),
            bus: address(m, "bus")?,
            known: known(m).map_err(|e| format!("known: {e}"))?,
            settings: parsed,
        })
    }
}
