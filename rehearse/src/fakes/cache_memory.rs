//! The memory of a fake cache: copies with ranks and ages, bounded by size. Evicts the lowest rank first, the least recently
//! used within a rank, and never a copy of a higher rank than the new one.

use crate::record::Micros;
use std::collections::{BTreeMap, HashMap};

/// An object and the part within it.
pub type Part = (u64, u64);

#[derive(Clone, Debug)]
struct CachedCopy {
    size: u64,
    rank: u8,
    last_used: u64,
    made: Micros,
    group: u64,
}

/// The copies that a fake cache stores.
#[derive(Clone, Debug)]
pub struct CacheMemory {
    capacity_kb: u64,
    used_kb: u64,
    copies: HashMap<Part, CachedCopy>,
    /// The copies by rank and last use, in order of eviction.
    eviction_order: BTreeMap<(u8, u64), Part>,
    use_count: u64,
}

impl CacheMemory {
    /// Returns an empty cache memory with a capacity of `capacity_kb`, in KB.
    pub fn new(capacity_kb: u64) -> Self {
        CacheMemory {
            capacity_kb,
            used_kb: 0,
            copies: HashMap::new(),
            eviction_order: BTreeMap::new(),
            use_count: 0,
        }
    }

    /// Returns the size of all copies, in KB.
    pub fn used_kb(&self) -> u64 {
        self.used_kb
    }

    /// Returns the time at which the origin sent the stored copy of a part, unless the copy is older than `min_made`.
    /// Sets the copy's rank unless `rank` is 0.
    pub fn get(&mut self, part: Part, min_made: Micros, rank: u8) -> Option<Micros> {
        let copy = self.copies.get_mut(&part).filter(|c| c.made >= min_made)?;
        self.use_count += 1;
        self.eviction_order.remove(&(copy.rank, copy.last_used));
        copy.last_used = self.use_count;
        copy.rank = if rank == 0 { copy.rank } else { rank };
        self.eviction_order
            .insert((copy.rank, copy.last_used), part);
        Some(copy.made)
    }

    /// Stores a copy and replaces an older copy of the same part. Returns false and evicts nothing if the new copy has
    /// rank 0, is older than the stored copy, or would evict copies of a higher rank.
    pub fn insert(&mut self, part: Part, group: u64, size: u64, made: Micros, rank: u8) -> bool {
        if rank == 0
            || size > self.capacity_kb
            || self.copies.get(&part).is_some_and(|c| c.made > made)
        {
            return false;
        }
        let replaced_size = self.copies.get(&part).map_or(0, |c| c.size);
        // The evictions are determined first, so that a copy that does not fit evicts nothing.
        let mut free = self.capacity_kb - self.used_kb + replaced_size;
        let mut evicted = Vec::new();
        for ((other, _), victim) in &self.eviction_order {
            if free >= size || *other > rank {
                break;
            }
            if *victim != part {
                free += self.copies.get(victim).map_or(0, |c| c.size);
                evicted.push(*victim);
            }
        }
        if free < size {
            return false;
        }
        evicted
            .into_iter()
            .chain([part])
            .for_each(|p| self.remove_copy(p));
        self.use_count += 1;
        self.eviction_order.insert((rank, self.use_count), part);
        self.copies.insert(
            part,
            CachedCopy {
                size,
                rank,
                last_used: self.use_count,
                made,
                group,
            },
        );
        self.used_kb += size;
        true
    }

    /// Removes the copies of an object (`Ok`) or a group (`Err`) that are older than a purge and returns their number.
    pub fn purge(&mut self, target: Result<u64, u64>, at: Micros) -> usize {
        let purged = |(part, c): (&Part, &CachedCopy)| {
            let is_targeted =
                target.map_or_else(|group| c.group == group, |object| part.0 == object);
            (is_targeted && c.made < at).then_some(*part)
        };
        let purged: Vec<Part> = self.copies.iter().filter_map(purged).collect();
        purged.iter().for_each(|part| self.remove_copy(*part));
        purged.len()
    }

    fn remove_copy(&mut self, part: Part) {
        if let Some(copy) = self.copies.remove(&part) {
            self.eviction_order.remove(&(copy.rank, copy.last_used));
            self.used_kb -= copy.size;
        }
    }
}
