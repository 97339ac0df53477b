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

/// A bounded table of slots.
pub struct Slots<T> {
    slots: Vec<(u32, Option<T>)>,
    free: Vec<u32>,
    most: usize,
}

impl<T> Slots<T> {
    /// A table for so many entries at most.
    pub fn new(most: usize) -> Self {
        Slots {
            slots: Vec::new(),
            free: Vec::new(),
            most,
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
        self.len() >= self.most
    }

    /// How many entries can be added.
    pub fn room(&self) -> usize {
        self.most - self.len()
    }

    /// Whether half of the places are taken.
    pub fn is_half_full(&self) -> bool {
        self.len() * 2 >= self.most
    }

    /// Adds an entry; gives it back where the table is full.
    pub fn insert(&mut self, value: T) -> Result<Key, T> {
        if let Some(slot) = self.free.pop() {
            let (generation, place) = &mut self.slots[slot as usize];
            *place = Some(value);
            return Ok(Key {
                slot,
                generation: *generation,
            });
        }
        if self.slots.len() >= self.most {
            return Err(value);
        }
        self.slots.push((0, Some(value)));
        Ok(Key {
            slot: self.slots.len() as u32 - 1,
            generation: 0,
        })
    }

    /// The entry of a key, unless it has left.
    pub fn get(&self, key: Key) -> Option<&T> {
        self.slots
            .get(key.slot as usize)
            .filter(|s| s.0 == key.generation)?
            .1
            .as_ref()
    }

    /// As `get`, to change it.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut T> {
        self.slots
            .get_mut(key.slot as usize)
            .filter(|s| s.0 == key.generation)?
            .1
            .as_mut()
    }

    /// Takes an entry out; its slot may be used again under a new generation.
    pub fn remove(&mut self, key: Key) -> Option<T> {
        let place = self
            .slots
            .get_mut(key.slot as usize)
            .filter(|s| s.0 == key.generation)?;
        let value = place.1.take()?;
        place.0 = place.0.wrapping_add(1);
        self.free.push(key.slot);
        Some(value)
    }

    /// All keys, in the order of the slots.
    pub fn keys(&self) -> Vec<Key> {
        let held = self.slots.iter().enumerate().filter(|(_, s)| s.1.is_some());
        held.map(|(slot, s)| Key {
            slot: slot as u32,
            generation: s.0,
        })
        .collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_stale_key_misses_the_slots_next_entry() {
        let mut slots = Slots::new(1);
        let old = slots.insert("old").unwrap();
        assert_eq!(slots.insert("no room"), Err("no room"));
        assert_eq!(slots.remove(old), Some("old"));
        let new = slots.insert("new").unwrap();
        assert_eq!((slots.get(old), slots.get(new)), (None, Some(&"new")));
        assert_eq!(slots.remove(old), None);
        assert_eq!(Key::from_u64(new.to_u64()), new);
    }
}
