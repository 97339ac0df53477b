//! The section `copies`: to how many machines a purge is replicated before it is committed.

use super::validation::range;
use super::{InterconnectError, PeerAddresses, Result};
use linnetknot::Micros;
use linnetknot_purges::BucketBits;
use schemars::JsonSchema;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// What is promised of copies: a neighbour is told yes only once they are on disks.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct CopiesFile {
    /// Further machines that must have what a neighbour told on their disks before it is answered yes. 0: this proxy's
    /// disk is enough, and what a machine promised may be lost with it.
    #[serde(rename = "wait")]
    pub min_acks: usize,
    /// Further machines that are to have it in the end; null: 2, or as many as there are.
    #[serde(rename = "holders")]
    pub replication_factor: Option<usize>,
    /// A yes that can't be given within this is a no (503), in milliseconds.
    #[schemars(range(min = 50, max = 30_000))]
    #[serde(rename = "within_ms")]
    pub commit_timeout_ms: u64,
    /// The machine that this proxy stands on, as the unit that is lost at once; null: the address of its `peer_listen`.
    pub machine: Option<String>,
    /// The machines of peers, by their addresses in `peers`; of those not named here, the address is the machine.
    pub machines: BTreeMap<SocketAddr, String>,
    /// The size of the table in which older purges are held, in MiB: a power of two. It takes that twice in memory, a
    /// third time while a peer reads a snapshot of it, and once on the disk. Proxies may differ.
    #[schemars(range(min = 1, max = 1024))]
    pub purge_table_mb: u32,
    /// Purges that are held one by one before older ones move to the table; null: the daemon's own bound. For tests,
    /// which can't tell a proxy of so many.
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

/// What is promised of copies, checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Replication {
    /// They are made.
    pub enabled: bool,
    /// Further machines to wait for.
    pub min_acks: usize,
    /// Further machines that are to have them.
    pub replication_factor: usize,
    /// How long a yes may take.
    pub commit_timeout_us: Micros,
    /// This proxy's machine.
    pub machine: String,
    /// Those of its peers, in the order of their list; itself left out.
    pub machines: Vec<(SocketAddr, String)>,
    /// How many purges are held, and how.
    pub purge_table: PurgeTableSize,
}

/// How many purges are held one by one, and the size of the compact table that takes all older ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PurgeTableSize {
    /// The size of the table.
    pub bucket_bits: BucketBits,
    /// Purges that are held one by one; none: the daemon's own bound.
    pub exact: Option<usize>,
}

impl PurgeTableSize {
    /// The usual size of the table, in MiB.
    const DEFAULT_MB: u32 = 4;
    /// The binary logarithm of the number of buckets in a MiB.
    const BITS_OF_ONE_MB: u32 = 14;
    /// The largest table, in MiB.
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

/// The usual number of further machines that have each purge in the end, where there are as many.
const USUAL_FURTHER_REPLICAS: usize = 2;

impl CopiesFile {
    /// What the daemon uses, for the peers of the configuration.
    ///
    /// # Errors
    /// Fails on a number out of range, and where the peers stand on too few machines.
    pub fn check(&self, enabled: bool, peers: Option<&PeerAddresses>) -> Result<Replication> {
        let commit_timeout_us =
            range("copies.within_ms", self.commit_timeout_ms, 50, 30_000)? * 1000;
        let purge_table = PurgeTableSize::check(self)?;
        if !enabled {
            // A purge is committed once it is on this proxy's own disk.
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
        // Without peers a file is checked by itself, and nothing can be said of their machines.
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

    /// The machine that a proxy with this address stands on: the address itself unless `machines` has another.
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

    /// Checks that as many further machines are available as each key requires.
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

    /// How many further machines have each purge in the end, where so many are available.
    fn checked_replication_factor(&self, available: usize) -> Result<usize> {
        match self.replication_factor {
            Some(replication_factor) if replication_factor < self.min_acks => {
                Err(InterconnectError::ReplicationFactorTooSmall {
                    min_acks: self.min_acks,
                })
            }
            Some(replication_factor) => Ok(replication_factor),
            None => Ok(available.min(USUAL_FURTHER_REPLICAS).max(self.min_acks)),
        }
    }
}
