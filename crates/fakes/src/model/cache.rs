//! Evictable KV memory: cached prompt blocks and parked streams, evicted in least-recently-used
//! order.

use std::collections::{BTreeMap, HashMap};

use crate::{prefix::BlockHash, tokens::PromptHash};

/// The key of an evictable piece of KV memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Entry {
    /// One block of a prompt prefix.
    Block(BlockHash),
    /// The KV of a parked stream, identified by its prompt.
    Parked(PromptHash),
}

#[derive(Debug)]
struct Slot {
    stamp: u64,
    weight: usize,
}

/// An LRU set whose entries have weights in KV blocks.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    slots: HashMap<Entry, Slot>,
    order: BTreeMap<u64, Entry>,
    stamp: u64,
    used: usize,
}

impl Cache {
    /// The total weight of the entries in KV blocks.
    pub(crate) fn used(&self) -> usize {
        self.used
    }

    /// Marks an entry as most recently used; returns false when it is absent.
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

    /// Adds an entry, or only touches it and returns false when it is present.
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

    /// Evicts entries until at most `room` blocks are used; returns the evicted ones.
    pub(crate) fn shrink(&mut self, room: usize) -> Vec<Entry> {
        let mut evicted = Vec::new();
        while self.used > room {
            let Some((_, &entry)) = self.order.first_key_value() else {
                break;
            };
            self.remove(entry);
            evicted.push(entry);
        }
        evicted
    }

    /// The cached prompt blocks, in no particular order.
    pub(crate) fn blocks(&self) -> impl Iterator<Item = BlockHash> {
        self.slots.keys().filter_map(|entry| match entry {
            Entry::Block(hash) => Some(*hash),
            Entry::Parked(_) => None,
        })
    }
}
