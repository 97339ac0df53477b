//! Validation of the section `consul`.

use super::{
    ConsistencyFile, Consul, ConsulFile, DampingFile, IdentityFile, MetaFile, RegisterFile,
    Registration,
};
use crate::interconnect::validation::{range, seconds, text};
use crate::interconnect::{InterconnectError, Result};
use linnetknot::Settings;
use linnetknot_consul::{Consistency, Identity, Mapping, MetaKeys, Options, Registrant};
use linnetknot_discovery::Damping;
use std::net::SocketAddr;

const MAX_DATACENTERS: usize = 16;
/// The maximum size of the tags and the meta of a registration.
const MAX_REGISTRATION_BYTES: usize = 16 << 10;
/// The timeout of a call about the registration.
const REGISTRATION_TIMEOUT_US: u64 = 1_000_000;

impl ConsulFile {
    /// Validates the section; `None` if no agent is named.
    ///
    /// # Errors
    /// Fails on a number out of range, an invalid text, and a zone that is not in the settings.
    pub fn check(&self, settings: &Settings, name: &str) -> Result<Option<Consul>> {
        let agents: Vec<SocketAddr> = self.address.iter().chain(&self.agents).copied().collect();
        if agents.is_empty() {
            return Ok(None);
        }
        self.check_texts()?;
        let options = self.options(agents.len())?;
        let mapping = self.mapping(settings)?;
        let damping = self.damping.check()?;
        let register = self
            .register
            .as_ref()
            .map(|register| register.check(name, agents.len()))
            .transpose()?;
        let max_megabytes = range("consul.most_answer_mb", self.most_answer_mb, 1, 1024)?;
        Ok(Some(Consul {
            agents,
            options,
            mapping,
            token_file: self.token_file.clone(),
            max_response_bytes: max_megabytes << 20,
            beside_bus: self.beside_bus,
            damping,
            register,
        }))
    }

    fn check_texts(&self) -> Result<()> {
        text("consul.service", &self.service)?;
        for (key, texts) in [("datacenters", &self.datacenters), ("tags", &self.tags)] {
            for (index, value) in texts.iter().enumerate() {
                text(&format!("consul.{key}[{index}]"), value)?;
            }
        }
        Ok(())
    }

    /// Returns the options of the queries, one for each data center.
    fn options(&self, agents: usize) -> Result<Vec<Options>> {
        range(
            "consul.datacenters",
            self.datacenters.len(),
            0,
            MAX_DATACENTERS,
        )?;
        let options = Options {
            service: self.service.clone(),
            datacenter: None,
            namespace: self.namespace.clone(),
            tags: self.tags.clone(),
            filter: self.filter.clone(),
            consistency: self.consistency.into(),
            max_stale_us: self.most_stale_ms.saturating_mul(1000),
            blocking_wait_us: range("consul.wait_s", self.wait_s, 1, 600)? * 1_000_000,
            silence_timeout_us: range("consul.answer_ms", self.answer_ms, 50, 60_000)? * 1000,
            agents,
            min_share: range("consul.least_share", self.least_share, 0.0, 1.0)?,
            ..Options::default()
        };
        if self.datacenters.is_empty() {
            return Ok(vec![options]);
        }
        let in_datacenter = |datacenter: &String| Options {
            datacenter: Some(datacenter.clone()),
            ..options.clone()
        };
        Ok(self.datacenters.iter().map(in_datacenter).collect())
    }

    /// Returns the mapping of instances to endpoints.
    fn mapping(&self, settings: &Settings) -> Result<Mapping> {
        let names = settings.zones.iter().map(|zone| zone.name.clone());
        let zones: Vec<String> = names.filter(|name| !name.is_empty()).collect();
        if let Some(zone) = &self.zone {
            if !zones.is_empty() && !zones.contains(zone) {
                return Err(InterconnectError::UnknownZone {
                    zone: zone.clone(),
                    zones,
                });
            }
        }
        let own_zone = || {
            let zone = settings.zones.get(settings.zone);
            zone.map(|zone| zone.name.clone()).unwrap_or_default()
        };
        Ok(Mapping {
            identity: self.identity.into(),
            keys: MetaKeys::from(&self.meta),
            zone: self.zone.clone().unwrap_or_else(own_zone),
            kind: self.kind.clone().unwrap_or_default(),
            zones,
            tagged_address: self.tagged_address.clone(),
        })
    }
}

impl From<ConsistencyFile> for Consistency {
    fn from(mode: ConsistencyFile) -> Self {
        match mode {
            ConsistencyFile::Default => Consistency::Default,
            ConsistencyFile::Consistent => Consistency::Consistent,
            ConsistencyFile::Stale => Consistency::Stale,
        }
    }
}

impl From<IdentityFile> for Identity {
    fn from(identity: IdentityFile) -> Self {
        match identity {
            IdentityFile::Service => Identity::Service,
            IdentityFile::Node => Identity::Node,
            IdentityFile::NodeAndService => Identity::NodeAndService,
        }
    }
}

impl From<&MetaFile> for MetaKeys {
    fn from(meta: &MetaFile) -> Self {
        MetaKeys {
            zone: meta.zone.clone(),
            kind: meta.kind.clone(),
            cell: meta.cell.clone(),
            capacity: meta.capacity.clone(),
            started_ms: meta.started_ms.clone(),
        }
    }
}

impl DampingFile {
    fn check(&self) -> Result<Damping> {
        let damping = Damping {
            half_life_us: seconds("consul.damping.half_life_s", self.half_life_s)?,
            suppress: self.suppress,
            reuse: self.reuse,
            max_suppressed_us: seconds("consul.damping.most_suppressed_s", self.most_suppressed_s)?,
            max_suppressed_share: self.most_share,
        };
        damping
            .validate()
            .map_err(|source| InterconnectError::Damping {
                key: Self::key(source.key()),
                source,
            })?;
        Ok(damping)
    }

    /// Returns the key of a damping parameter in the file. The keys of times have the suffix `_s`, for seconds.
    fn key(figure: &str) -> String {
        match figure {
            "half_life" | "most_suppressed" => format!("{figure}_s"),
            figure => figure.to_owned(),
        }
    }
}

impl RegisterFile {
    fn check(&self, name: &str, agents: usize) -> Result<Registration> {
        text("consul.register.name", &self.name)?;
        let id = self.id.clone().unwrap_or_else(|| name.to_owned());
        text("consul.register.id", &id)?;
        range(
            "consul.register: bytes of 'tags' and 'meta'",
            self.size(),
            0,
            MAX_REGISTRATION_BYTES,
        )?;
        let registrant = Registrant {
            id,
            name: self.name.clone(),
            address: self.address.unwrap_or(([0, 0, 0, 0], 0).into()),
            tags: self.tags.clone(),
            meta: self.meta.clone(),
            ttl_us: range("consul.register.ttl_s", self.ttl_s, 1, 3600)? * 1_000_000,
            deregister_after_us: self
                .drop_after_s
                .map(|seconds| seconds.saturating_mul(1_000_000)),
            response_timeout_us: REGISTRATION_TIMEOUT_US,
            agents,
        };
        Ok(Registration {
            registrant,
            has_address: self.address.is_some(),
        })
    }

    /// Returns the total size of the tags and the meta of the registration, in bytes.
    fn size(&self) -> usize {
        let tags: usize = self.tags.iter().map(String::len).sum();
        let meta = self.meta.iter().map(|(key, value)| key.len() + value.len());
        tags + meta.sum::<usize>()
    }
}
