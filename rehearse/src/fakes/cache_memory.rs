//! What a cache keeps: copies with ranks and ages within a bound on their size. What was ranked lowest goes first, of
//! one rank what was used longest ago, and nothing goes for a copy of lower rank.

use crate::record::Micros;
use std::collections::{BTreeMap, HashMap};

/// A part of an object.
pub type Part = (u64, u64);

#[derive(Clone, Debug)]
struct Copy {
    size: u64,
    rank: u8,
    used: u64,
    made: Micros,
    group: u64,
}

/// A cache's memory.
#[derive(Clone, Debug)]
pub struct CacheMemory {
    capacity_kb: u64,
    used_kb: u64,
    copies: HashMap<Part, Copy>,
    /// By rank and last use: who goes first.
    order: BTreeMap<(u8, u64), Part>,
    uses: u64,
}

impl CacheMemory {
    /// An empty memory for so many bytes.
    pub fn new(capacity_kb: u64) -> Self {
        CacheMemory {
            capacity_kb,
            used_kb: 0,
            copies: HashMap::new(),
            order: BTreeMap::new(),
            uses: 0,
        }
    }

    /// Bytes held.
    pub fn used_kb(&self) -> u64 {
        self.used_kb
    }

    /// When the copy of a part was made, if there is one that will do. A use sets its rank anew; rank 0 leaves it.
    pub fn get(&mut self, part: Part, oldest: Micros, rank: u8) -> Option<Micros> {
        let copy = self.copies.get_mut(&part).filter(|c| c.made >= oldest)?;
        self.uses += 1;
        self.order.remove(&(copy.rank, copy.used));
        copy.used = self.uses;
        copy.rank = if rank == 0 { copy.rank } else { rank };
        self.order.insert((copy.rank, copy.used), part);
        Some(copy.made)
    }

    /// Keeps a copy in place of an older one; false where only copies of a higher rank would have to go for it.
    pub fn keep(&mut self, part: Part, group: u64, size: u64, made: Micros, rank: u8) -> bool {
        if rank == 0
            || size > self.capacity_kb
            || self.copies.get(&part).is_some_and(|c| c.made > made)
        {
            return false;
        }
        let own = self.copies.get(&part).map_or(0, |c| c.size);
        // Looked through before anything goes: a copy that is not kept in the end must cost nobody else.
        let mut free = self.capacity_kb - self.used_kb + own;
        let mut leave = Vec::new();
        for ((other, _), victim) in &self.order {
            if free >= size || *other > rank {
                break;
            }
            if *victim != part {
                free += self.copies.get(victim).map_or(0, |c| c.size);
                leave.push(*victim);
            }
        }
        if free < size {
            return false;
        }
        leave.into_iter().chain([part]).for_each(|p| self.drop(p));
        self.uses += 1;
        self.order.insert((rank, self.uses), part);
        self.copies.insert(
            part,
            Copy {
                size,
                rank,
                used: self.uses,
                made,
                group,
            },
        );
        self.used_kb += size;
        true
    }

    /// Drops the copies of an object, or else of a group, that are older than a purge. Gives their number.
    pub fn purge(&mut self, what: Result<u64, u64>, at: Micros) -> usize {
        let struck = |(part, c): (&Part, &Copy)| {
            let meant = what.map_or_else(|group| c.group == group, |object| part.0 == object);
            (meant && c.made < at).then_some(*part)
        };
        let struck: Vec<Part> = self.copies.iter().filter_map(struck).collect();
        struck.iter().for_each(|part| self.drop(*part));
        struck.len()
    }

    fn drop(&mut self, part: Part) {
        if let Some(copy) = self.copies.remove(&part) {
            self.order.remove(&(copy.rank, copy.used));
            self.used_kb -= copy.size;
        }
    }
}
