//! Tables of numbered slots with generations.

/// A slot and the generation of what stood in it: the key of what has left never finds its successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key {
    slot: u32,
    generation: u32,
}

impl Key {
    /// As one number, for epoll.
    pub fn to_u64(self) -> u64 {
        u64::from(self.generation) << 32 | u64::from(self.slot)
    }

    /// Back from `to_u64`.
    pub fn from_u64(n: u64) -> Self {
        Key {
            slot: n as u32,
            generation: (n >> 32) as u32,
        }
    }
}

/// A slot, and the generation of what stands in it or comes next.
struct Slot<T> {
    generation: u32,
    value: Option<T>,
}

/// A bounded table of slots.
pub struct SlotTable<T> {
    slots: Vec<Slot<T>>,
    free: Vec<u32>,
    max: usize,
}

impl<T> SlotTable<T> {
    /// A table for so many entries at most.
    pub fn new(max: usize) -> Self {
        SlotTable {
            slots: Vec::new(),
            free: Vec::new(),
            max,
        }
    }

    /// How many entries there are.
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether no entry can be added.
    pub fn is_full(&self) -> bool {
        self.len() >= self.max
    }

    /// How many entries can be added.
    pub fn free_slots(&self) -> usize {
        self.max - self.len()
    }

    /// Whether half of the places are taken.
    pub fn is_half_full(&self) -> bool {
        self.len() * 2 >= self.max
    }

    /// Adds an entry; gives it back where the table is full.
    ///
    /// # Errors
    /// The entry, as the table is full.
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

    /// The entry of a key, unless it has been removed.
    pub fn get(&self, key: Key) -> Option<&T> {
        let slot = self.slots.get(key.slot as usize)?;
        let value = slot.value.as_ref();
        value.filter(|_| slot.generation == key.generation)
    }

    /// As `get`, to change it.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut T> {
        let slot = self.slots.get_mut(key.slot as usize)?;
        let is_current = slot.generation == key.generation;
        slot.value.as_mut().filter(|_| is_current)
    }

    /// Removes an entry; its slot may be used again under a new generation.
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

    /// All keys, in the order of the slots.
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
