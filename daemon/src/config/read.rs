//! Reads the configuration from its JSON object.

use super::present_keys::PresentKeys;
use super::{Config, ConfigError, KnownEvents, DEFAULT_DESCRIPTORS, DEFAULT_MEMORY_MB};
use crate::bus::{read_event, BusEvent, BusUpdate};
use crate::interconnect::PeerAddresses;
use crate::limits::Limits;
use linnetknot::Settings;
use linnetknot_discovery::ReceivedList;
use linnetknot_settings::{
    get, int_or, list, object, parse_settings, text, text_or, wrong_type, Fields,
    Result as FieldResult,
};
use std::net::SocketAddr;

/// The additional time that caches may need to drop purged objects, beyond the configured time, because of their longer
/// socket timeouts.
const SOCKET_SLACK_US: u64 = 50_000;

impl Config {
    /// Reads a configuration.
    ///
    /// # Errors
    /// Fails if a key is missing or invalid.
    pub fn read(fields: &Fields) -> Result<Self, ConfigError> {
        let seed = text_or(fields, "seed", "0")?;
        let peers = addresses(fields, "peers")?;
        let settings_fields = object(fields, "settings")?;
        let settings = read_settings(settings_fields)?;
        let connections = ConnectionTimes::read(settings_fields).map_err(ConfigError::Settings)?;
        let limits = machine_limits(fields)?.for_site(
            &settings,
            connections.connect_us,
            connections.idle_us,
        );
        let name = text_or(fields, "name", "linnetknot")?;
        let listen = address(fields, "listen")?
            .ok_or_else(|| ConfigError::Field("field 'listen' is missing".to_owned()))?;
        let own = address(fields, "peer_listen")?;
        Ok(Config {
            admin: address(fields, "ops")?,
            seed: u64::from_str_radix(&seed, 16).map_err(|_| wrong_type("seed"))?,
            bus: address(fields, "bus")?,
            known: KnownEvents::read(fields).map_err(ConfigError::Known)?,
            peers: own.map(|own| PeerAddresses { own, all: peers }),
            keys: PresentKeys::of(fields),
            ..Config::new(name, listen, settings, limits)
        })
    }
}

fn read_settings(fields: &Fields) -> Result<Settings, ConfigError> {
    let mut settings = parse_settings(fields).map_err(ConfigError::Settings)?;
    // Responses of unknown age are not used until all caches have dropped the purged objects.
    settings.rules.purge_completion_us += SOCKET_SLACK_US;
    settings.check()?;
    Ok(settings)
}

/// Returns the limits for the machine of the configuration.
fn machine_limits(fields: &Fields) -> Result<Limits, ConfigError> {
    let empty = Fields::new();
    let machine = object_or_empty(fields, "limits", &empty)?;
    // The limit of the process on open files applies as well.
    let allowed = rustix::process::getrlimit(rustix::process::Resource::Nofile)
        .current
        .and_then(|descriptors| usize::try_from(descriptors).ok())
        .unwrap_or(usize::MAX);
    let sockets = machine_limit(machine, "sockets", DEFAULT_DESCRIPTORS)?;
    let memory_mb = machine_limit(machine, "memory_mb", DEFAULT_MEMORY_MB)?;
    Ok(Limits::for_machine(sockets.min(allowed.max(1)), memory_mb))
}

fn machine_limit(
    machine: &Fields,
    key: &'static str,
    default: usize,
) -> Result<usize, ConfigError> {
    let limit = int_or(machine, key, default as u64)?;
    match usize::try_from(limit) {
        Ok(0) => Err(ConfigError::ZeroLimit { key }),
        Ok(limit) => Ok(limit),
        Err(_) => Err(wrong_type(&format!("limits.{key}")).into()),
    }
}

fn object_or_empty<'a>(
    fields: &'a Fields,
    key: &str,
    empty: &'a Fields,
) -> FieldResult<&'a Fields> {
    match get(fields, key) {
        Some(_) => object(fields, key),
        None => Ok(empty),
    }
}

fn address(fields: &Fields, key: &str) -> FieldResult<Option<SocketAddr>> {
    get(fields, key)
        .map(|_| text(fields, key)?.parse().map_err(|_| wrong_type(key)))
        .transpose()
}

fn addresses(fields: &Fields, key: &str) -> FieldResult<Vec<SocketAddr>> {
    list(fields, key)?
        .iter()
        .map(|value| value.as_str().and_then(|text| text.parse().ok()))
        .collect::<Option<_>>()
        .ok_or_else(|| wrong_type(key))
}

/// The timeouts of connections to cache servers in the settings; 0 if not set.
struct ConnectionTimes {
    /// The timeout for establishing a connection, in microseconds.
    connect_us: u64,
    /// The time after which cache servers close idle connections, in microseconds.
    idle_us: u64,
}

impl ConnectionTimes {
    fn read(settings: &Fields) -> FieldResult<Self> {
        let empty = Fields::new();
        let limits = object_or_empty(settings, "limits", &empty)?;
        Ok(ConnectionTimes {
            connect_us: int_or(limits, "connect-timeout-us", 0)?,
            idle_us: int_or(limits, "conn-idle-us", 0)?,
        })
    }
}

impl KnownEvents {
    fn read(fields: &Fields) -> FieldResult<Self> {
        if get(fields, "known").is_none() {
            return Ok(KnownEvents::default());
        }
        let known = object(fields, "known")?;
        let events: Vec<BusEvent> = list(known, "batch")?
            .iter()
            .map(read_event)
            .collect::<FieldResult<_>>()?;
        // An event that can't be parsed is skipped if the bus sends it, but it is an error in the configuration.
        for event in &events {
            if let Some(BusUpdate::List(ReceivedList { unreadable, .. })) = &event.update {
                if let Some(fault) = unreadable.first() {
                    return Err(fault.clone());
                }
            }
        }
        Ok(KnownEvents {
            offset: int_or(known, "offset", 0)?,
            events,
        })
    }
}
