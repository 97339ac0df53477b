//! The section `copies`: the replication of purges.

use super::validation::range;
use super::{InterconnectError, PeerAddresses, Result};
use linnetknot::Micros;
use linnetknot_purges::BucketBits;
use schemars::JsonSchema;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The replication of purges: a purge by a peer CDN is answered with success only once it is durable on enough
/// machines.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct CopiesFile {
    /// The number of further machines that must have a purge on their disks before it is answered with success. With 0,
    /// the disk of this proxy is enough, and a purge may be lost with its machine.
    #[serde(rename = "wait")]
    pub min_acks: usize,
    /// The number of further machines that eventually have each purge; null: 2, or as many as there are.
    #[serde(rename = "holders")]
    pub replication_factor: Option<usize>,
    /// The time within which a purge must be committed, in milliseconds. After it, the response is 503.
    #[schemars(range(min = 50, max = 30_000))]
    #[serde(rename = "within_ms")]
    pub commit_timeout_ms: u64,
    /// The machine of this proxy, as the unit that fails as a whole; null: the address of its `peer_listen`.
    pub machine: Option<String>,
    /// The machines of the peers, by their addresses in `peers`; for a peer that is not named here, the address is the
    /// machine.
    pub machines: BTreeMap<SocketAddr, String>,
    /// The size of the table of older purges, in MiB: a power of two. The table requires twice this size in memory, a
    /// third time while a peer reads a snapshot of it, and once on the disk. Proxies may differ.
    #[schemars(range(min = 1, max = 1024))]
    pub purge_table_mb: u32,
    /// The number of purges that are stored as single entries before older ones move to the table; null: that of the
    /// daemon's limits. For tests, which can't send this many purges.
    #[schemars(skip)]
    pub exact_purges: Option<usize>,
}

impl Default for CopiesFile {
    fn default() -> Self {
        CopiesFile {
            min_acks: 1,
            replication_factor: None,
            commit_timeout_ms: 1_000,
            machine: None,
            machines: BTreeMap::new(),
            purge_table_mb: PurgeTableSize::DEFAULT_MB,
            exact_purges: None,
        }
    }
}

/// The validated settings of replication.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Replication {
    /// Whether replication is on.
    pub enabled: bool,
    /// The number of further machines that acknowledge a purge before it is committed.
    pub min_acks: usize,
    /// The number of further machines to which each purge is eventually replicated.
    pub replication_factor: usize,
    /// The timeout of a commit.
    pub commit_timeout_us: Micros,
    /// The machine of this proxy.
    pub machine: String,
    /// The machines of the peers, in the order of the list of peers.
    pub machines: Vec<(SocketAddr, String)>,
    /// The size of the purge table.
    pub purge_table: PurgeTableSize,
}

/// The number of purges that are stored as single entries, and the size of the compact table of all older ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PurgeTableSize {
    /// The size of the table.
    pub bucket_bits: BucketBits,
    /// The maximum number of single entries; `None` for the value in the limits.
    pub exact: Option<usize>,
}

impl PurgeTableSize {
    /// The default size of the table, in MiB.
    const DEFAULT_MB: u32 = 4;
    /// The binary logarithm of the number of buckets per MiB.
    const BITS_OF_ONE_MB: u32 = 14;
    /// The maximum size of the table, in MiB.
    const MAX_MB: u32 = 1 << (BucketBits::MAX.value() as u32 - Self::BITS_OF_ONE_MB);

    fn check(file: &CopiesFile) -> Result<Self> {
        const KEY: &str = "copies.purge_table_mb";
        let megabytes = range(KEY, file.purge_table_mb, 1, Self::MAX_MB)?;
        if !megabytes.is_power_of_two() {
            return Err(InterconnectError::NotPowerOfTwo {
                key: KEY,
                megabytes,
            });
        }
        let bits = Self::BITS_OF_ONE_MB + megabytes.ilog2();
        let bucket_bits = BucketBits::new(bits as u8)
            .map_err(|source| InterconnectError::TableSize { key: KEY, source })?;
        let exact = file
            .exact_purges
            .map(|n| range("copies.exact_purges", n, 1, 1 << 24))
            .transpose()?;
        Ok(PurgeTableSize { bucket_bits, exact })
    }
}

/// The default replication factor. With fewer further machines, the default is their number, but at least `min_acks`.
const DEFAULT_REPLICATION_FACTOR: usize = 2;

impl CopiesFile {
    /// Validates the section for the peers of the configuration.
    ///
    /// # Errors
    /// Fails on a number out of range, and if the peers are on too few machines.
    pub fn check(&self, enabled: bool, peers: Option<&PeerAddresses>) -> Result<Replication> {
        let commit_timeout_us =
            range("copies.within_ms", self.commit_timeout_ms, 50, 30_000)? * 1000;
        let purge_table = PurgeTableSize::check(self)?;
        if !enabled {
            // Without replication, a purge is committed once it is durable on this proxy.
            return Ok(Replication {
                commit_timeout_us,
                purge_table,
                ..Replication::default()
            });
        }
        let machine = self.own_machine(peers);
        let machines = self.peer_machines(peers);
        let further: BTreeSet<&String> = machines
            .iter()
            .map(|(_, name)| name)
            .filter(|name| **name != machine)
            .collect();
        // If there are no peers, the file is being checked without a configuration, and the machines are unknown.
        if peers.is_some() {
            self.check_machines(further.len())?;
        }
        let replication_factor = self.checked_replication_factor(further.len())?;
        Ok(Replication {
            enabled,
            min_acks: self.min_acks,
            replication_factor,
            commit_timeout_us,
            machine,
            machines,
            purge_table,
        })
    }

    /// Returns the machine of the proxy with this address: the one that `machines` names, or else the IP address.
    fn machine_at(&self, address: SocketAddr) -> String {
        let named = self.machines.get(&address).cloned();
        named.unwrap_or_else(|| address.ip().to_string())
    }

    fn own_machine(&self, peers: Option<&PeerAddresses>) -> String {
        let by_address = || peers.map(|peers| self.machine_at(peers.own));
        self.machine.clone().or_else(by_address).unwrap_or_default()
    }

    fn peer_machines(&self, peers: Option<&PeerAddresses>) -> Vec<(SocketAddr, String)> {
        let others = peers.into_iter().flat_map(PeerAddresses::others);
        others.map(|peer| (peer, self.machine_at(peer))).collect()
    }

    /// Checks that the peers are on as many further machines as `wait` and `holders` require.
    fn check_machines(&self, available: usize) -> Result<()> {
        let replication_factor = self.replication_factor.unwrap_or(self.min_acks);
        for (key, required) in [("wait", self.min_acks), ("holders", replication_factor)] {
            if required > available {
                return Err(InterconnectError::TooFewMachines {
                    key,
                    required,
                    available,
                });
            }
        }
        Ok(())
    }

    /// Returns the replication factor for this number of further machines.
    fn checked_replication_factor(&self, available: usize) -> Result<usize> {
        match self.replication_factor {
            Some(replication_factor) if replication_factor < self.min_acks => {
                Err(InterconnectError::ReplicationFactorTooSmall {
                    min_acks: self.min_acks,
                })
            }
            Some(replication_factor) => Ok(replication_factor),
            None => Ok(available.min(DEFAULT_REPLICATION_FACTOR).max(self.min_acks)),
        }
    }
}
