//! The section `copies`: to how many machines a purge is replicated before it is committed.

use super::validation::range;
use super::Result;
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
    pub wait: usize,
    /// Further machines that are to have it in the end; null: 2, or as many as there are.
    pub holders: Option<usize>,
    /// A yes that can't be given within this is a no (503), in milliseconds.
    #[schemars(range(min = 50, max = 30_000))]
    pub within_ms: u64,
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
            wait: 1,
            holders: None,
            within_ms: 1_000,
            machine: None,
            machines: BTreeMap::new(),
            purge_table_mb: PurgeTableSize::DEFAULT_MB,
            exact_purges: None,
        }
    }
}

/// What is promised of copies, checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Copies {
    /// They are made.
    pub on: bool,
    /// Further machines to wait for.
    pub wait: usize,
    /// Further machines that are to have them.
    pub holders: usize,
    /// How long a yes may take.
    pub within_us: Micros,
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
        let mb = range(KEY, file.purge_table_mb, 1, Self::MAX_MB)?;
        if !mb.is_power_of_two() {
            return Err(format!("{KEY}: {mb} is no power of two"));
        }
        let bits = Self::BITS_OF_ONE_MB + mb.ilog2();
        let bucket_bits = BucketBits::new(bits as u8).map_err(|e| format!("{KEY}: {e}"))?;
        let exact = file
            .exact_purges
            .map(|n| range("copies.exact_purges", n, 1, 1 << 24))
            .transpose()?;
        Ok(PurgeTableSize { bucket_bits, exact })
    }
}

impl CopiesFile {
    /// What the daemon uses, for the peers of the configuration.
    pub fn check(&self, on: bool, peers: Option<&(SocketAddr, Vec<SocketAddr>)>) -> Result<Copies> {
        let within_us = range("copies.within_ms", self.within_ms, 50, 30_000)? * 1000;
        let purge_table = PurgeTableSize::check(self)?;
        if !on {
            // A promise is kept on this proxy's own disk alone.
            return Ok(Copies {
                within_us,
                purge_table,
                ..Copies::default()
            });
        }
        let name = |peer: &SocketAddr| {
            self.machines
                .get(peer)
                .cloned()
                .unwrap_or_else(|| peer.ip().to_string())
        };
        let own = peers.map(|(own, _)| *own);
        let machine = self
            .machine
            .clone()
            .or(own.as_ref().map(name))
            .unwrap_or_default();
        let others = peers
            .into_iter()
            .flat_map(|(own, all)| all.iter().filter(move |peer| *peer != own));
        let machines: Vec<_> = others.map(|peer| (*peer, name(peer))).collect();
        let further: BTreeSet<&String> = machines
            .iter()
            .map(|(_, m)| m)
            .filter(|m| **m != machine)
            .collect();
        // Without peers a file is checked by itself, and nothing can be said of their machines.
        for (key, wanted) in [
            ("wait", self.wait),
            ("holders", self.holders.unwrap_or(self.wait)),
        ] {
            if peers.is_some() && wanted > further.len() {
                return Err(format!(
                    "copies.{key}: {wanted} further machines are to have what is promised, and the peers stand on \
                     {} besides this proxy's own; 'copies.machines' names those that share an address",
                    further.len()
                ));
            }
        }
        if self.holders.is_some_and(|holders| holders < self.wait) {
            return Err(format!(
                "copies.holders: fewer than the {} of 'copies.wait'",
                self.wait
            ));
        }
        let holders = self.holders.unwrap_or(further.len().min(2).max(self.wait));
        Ok(Copies {
            on,
            wait: self.wait,
            holders,
            within_us,
            machine,
            machines,
            purge_table,
        })
    }
}
