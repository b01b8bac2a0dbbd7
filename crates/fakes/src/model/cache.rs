//! KV memory that may be taken back: cached prompt blocks and parked streams, least recently used first.

use std::collections::{BTreeMap, HashMap};

use crate::{prefix::BlockHash, tokens::PromptHash};

/// What holds memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Entry {
    /// One block of a prompt's prefix.
    Block(BlockHash),
    /// The KV of a parked stream, known by its prompt.
    Parked(PromptHash),
}

#[derive(Debug)]
struct Slot {
    stamp: u64,
    weight: usize,
}

/// A least-recently-used set with weights in blocks.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    slots: HashMap<Entry, Slot>,
    order: BTreeMap<u64, Entry>,
    stamp: u64,
    used: usize,
}

impl Cache {
    /// The blocks in use.
    pub(crate) fn used(&self) -> usize {
        self.used
    }

    /// Marks an entry as just used; false when it isn't there.
    pub(crate) fn touch(&mut self, entry: Entry) -> bool {
        let Some(slot) = self.slots.get_mut(&entry) else {
            return false;
        };
        self.order.remove(&slot.stamp);
        self.stamp += 1;
        slot.stamp = self.stamp;
        self.order.insert(self.stamp, entry);
        true
    }

    /// Adds an entry; false when it was there, and is only touched.
    pub(crate) fn insert(&mut self, entry: Entry, weight: usize) -> bool {
        if self.touch(entry) {
            return false;
        }
        self.stamp += 1;
        let stamp = self.stamp;
        self.slots.insert(entry, Slot { stamp, weight });
        self.order.insert(stamp, entry);
        self.used += weight;
        true
    }

    pub(crate) fn remove(&mut self, entry: Entry) {
        let Some(slot) = self.slots.remove(&entry) else {
            return;
        };
        self.order.remove(&slot.stamp);
        self.used -= slot.weight;
    }

    /// Drops entries until at most `room` blocks are used; returns what went.
    pub(crate) fn shrink(&mut self, room: usize) -> Vec<Entry> {
        let mut gone = Vec::new();
        while self.used > room {
            let Some((_, &entry)) = self.order.first_key_value() else {
                break;
            };
            self.remove(entry);
            gone.push(entry);
        }
        gone
    }

    /// The prompt blocks held, in no special order.
    pub(crate) fn blocks(&self) -> impl Iterator<Item = BlockHash> {
        self.slots.keys().filter_map(|entry| match entry {
            Entry::Block(hash) => Some(*hash),
            Entry::Parked(_) => None,
        })
    }
}
