//! Tables with stable keys: each slot has a generation, so that the key of a removed entry is never valid again.

/// The key of an entry: its slot and generation. The key of a removed entry never finds a later entry in its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key {
    slot: u32,
    generation: u32,
}

impl Key {
    /// Converts the key to a number, for example for an epoll token.
    pub fn to_u64(self) -> u64 {
        u64::from(self.generation) << 32 | u64::from(self.slot)
    }

    /// Converts a number returned by `to_u64` back to the key.
    pub fn from_u64(n: u64) -> Self {
        Key {
            slot: n as u32,
            generation: (n >> 32) as u32,
        }
    }
}

/// A slot, with the generation of its current or next entry.
struct Slot<T> {
    generation: u32,
    value: Option<T>,
}

/// A bounded table of entries that are found by their keys.
pub struct SlotTable<T> {
    slots: Vec<Slot<T>>,
    free: Vec<u32>,
    max: usize,
}

impl<T> SlotTable<T> {
    /// Creates a table for up to `max` entries.
    pub fn new(max: usize) -> Self {
        SlotTable {
            slots: Vec::new(),
            free: Vec::new(),
            max,
        }
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether the table is full.
    pub fn is_full(&self) -> bool {
        self.len() >= self.max
    }

    /// Returns the number of entries that can be added.
    pub fn free_slots(&self) -> usize {
        self.max - self.len()
    }

    /// Whether at least half of the slots are in use.
    pub fn is_half_full(&self) -> bool {
        self.len() * 2 >= self.max
    }

    /// Adds an entry to a free slot.
    ///
    /// # Errors
    /// Returns the entry if the table is full.
    pub fn insert(&mut self, value: T) -> Result<Key, T> {
        if let Some(number) = self.free.pop() {
            let slot = &mut self.slots[number as usize];
            slot.value = Some(value);
            return Ok(Key {
                slot: number,
                generation: slot.generation,
            });
        }
        if self.slots.len() >= self.max {
            return Err(value);
        }
        self.slots.push(Slot {
            generation: 0,
            value: Some(value),
        });
        Ok(Key {
            slot: self.slots.len() as u32 - 1,
            generation: 0,
        })
    }

    /// Returns the entry of a key, unless it was removed.
    pub fn get(&self, key: Key) -> Option<&T> {
        let slot = self.slots.get(key.slot as usize)?;
        let value = slot.value.as_ref();
        value.filter(|_| slot.generation == key.generation)
    }

    /// Returns the entry of a key mutably, unless it was removed.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut T> {
        let slot = self.slots.get_mut(key.slot as usize)?;
        let is_current = slot.generation == key.generation;
        slot.value.as_mut().filter(|_| is_current)
    }

    /// Removes an entry, whose slot may be reused with a new generation.
    pub fn remove(&mut self, key: Key) -> Option<T> {
        let slot = self.slots.get_mut(key.slot as usize)?;
        if slot.generation != key.generation {
            return None;
        }
        let value = slot.value.take()?;
        slot.generation = slot.generation.wrapping_add(1);
        self.free.push(key.slot);
        Some(value)
    }

    /// Returns all keys, in the order of the slots.
    pub fn keys(&self) -> Vec<Key> {
        let taken = self.slots.iter().enumerate();
        let taken = taken.filter(|(_, slot)| slot.value.is_some());
        taken
            .map(|(number, slot)| Key {
                slot: number as u32,
                generation: slot.generation,
            })
            .collect()
    }
}
