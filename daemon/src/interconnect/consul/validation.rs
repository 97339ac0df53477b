//! Validation of the section `consul`.

use super::{ConsistencyFile, Consul, ConsulFile, IdentityFile, RegisterFile};
use crate::interconnect::validation::{range, seconds, word};
use crate::interconnect::Result;
use linnetknot::Settings;
use linnetknot_consul::{Consistency, Identity, Mapping, MetaKeys, Options, Registrant};
use linnetknot_discovery::Damping;
use std::net::SocketAddr;

impl ConsulFile {
    /// What the daemon uses, checked; none where no agent is named.
    pub fn check(&self, settings: &Settings, name: &str) -> Result<Option<Consul>> {
        let agents: Vec<SocketAddr> = self.address.iter().chain(&self.agents).copied().collect();
        if agents.is_empty() {
            return Ok(None);
        }
        word("consul.service", &self.service)?;
        for (key, texts) in [("datacenters", &self.datacenters), ("tags", &self.tags)] {
            for (n, text) in texts.iter().enumerate() {
                word(&format!("consul.{key}[{n}]"), text)?;
            }
        }
        range("consul.datacenters", self.datacenters.len(), 0, 16)?;
        let options = Options {
            service: self.service.clone(),
            datacenter: None,
            namespace: self.namespace.clone(),
            tags: self.tags.clone(),
            filter: self.filter.clone(),
            consistency: match self.consistency {
                ConsistencyFile::Default => Consistency::Default,
                ConsistencyFile::Consistent => Consistency::Consistent,
                ConsistencyFile::Stale => Consistency::Stale,
            },
            most_stale_us: self.most_stale_ms.saturating_mul(1000),
            wait_us: range("consul.wait_s", self.wait_s, 1, 600)? * 1_000_000,
            answer_us: range("consul.answer_ms", self.answer_ms, 50, 60_000)? * 1000,
            agents: agents.len(),
            least_share: range("consul.least_share", self.least_share, 0.0, 1.0)?,
            ..Options::default()
        };
        let zones = settings
            .zones
            .iter()
            .map(|z| z.name.clone())
            .filter(|name| !name.is_empty());
        let zones: Vec<String> = zones.collect();
        if let Some(zone) = self
            .zone
            .as_ref()
            .filter(|zone| !zones.is_empty() && !zones.contains(zone))
        {
            return Err(format!(
                "consul.zone: '{zone}' is none of the settings' zones ({})",
                zones.join(", ")
            ));
        }
        let own = settings
            .zones
            .get(settings.zone)
            .map(|z| z.name.clone())
            .unwrap_or_default();
        let meta = &self.meta;
        let mapping = Mapping {
            identity: match self.identity {
                IdentityFile::Service => Identity::Service,
                IdentityFile::Node => Identity::Node,
                IdentityFile::NodeAndService => Identity::NodeAndService,
            },
            keys: MetaKeys {
                zone: meta.zone.clone(),
                kind: meta.kind.clone(),
                cell: meta.cell.clone(),
                capacity: meta.capacity.clone(),
                started_ms: meta.started_ms.clone(),
            },
            zone: self.zone.clone().unwrap_or(own),
            kind: self.kind.clone().unwrap_or_default(),
            zones,
            tagged_address: self.tagged_address.clone(),
        };
        let each = |dc: &String| Options {
            datacenter: Some(dc.clone()),
            ..options.clone()
        };
        let options = match self.datacenters.is_empty() {
            true => vec![options.clone()],
            false => self.datacenters.iter().map(each).collect(),
        };
        let d = &self.damping;
        let damping = Damping {
            half_life_us: seconds("consul.damping.half_life_s", d.half_life_s)?,
            suppress: d.suppress,
            reuse: d.reuse,
            most_us: seconds("consul.damping.most_suppressed_s", d.most_suppressed_s)?,
            most_share: d.most_share,
        };
        damping.check().map_err(|(key, why)| match key {
            "half_life" | "most_suppressed" => format!("consul.damping.{key}_s {why}"),
            key => format!("consul.damping.{key} {why}"),
        })?;
        let register = self
            .register
            .as_ref()
            .map(|r| r.check(name, agents.len()))
            .transpose()?;
        Ok(Some(Consul {
            agents,
            options,
            mapping,
            token_file: self.token_file.clone(),
            most_answer: range("consul.most_answer_mb", self.most_answer_mb, 1, 1024)? << 20,
            beside_bus: self.beside_bus,
            damping,
            register,
        }))
    }
}

impl RegisterFile {
    fn check(&self, name: &str, agents: usize) -> Result<(Registrant, bool)> {
        word("consul.register.name", &self.name)?;
        let id = self.id.clone().unwrap_or_else(|| name.to_owned());
        word("consul.register.id", &id)?;
        let size: usize = self.tags.iter().map(String::len).sum::<usize>()
            + self
                .meta
                .iter()
                .map(|(k, v)| k.len() + v.len())
                .sum::<usize>();
        range(
            "consul.register: bytes of 'tags' and 'meta'",
            size,
            0,
            16 << 10,
        )?;
        let registrant = Registrant {
            id,
            name: self.name.clone(),
            address: self.address.unwrap_or(([0, 0, 0, 0], 0).into()),
            tags: self.tags.clone(),
            meta: self.meta.clone(),
            ttl_us: range("consul.register.ttl_s", self.ttl_s, 1, 3600)? * 1_000_000,
            drop_after_us: self.drop_after_s.map(|s| s.saturating_mul(1_000_000)),
            answer_us: 1_000_000,
            agents,
        };
        Ok((registrant, self.address.is_some()))
    }
}
