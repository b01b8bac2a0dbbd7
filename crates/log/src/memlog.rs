//! The log in memory.

use std::collections::VecDeque;

use crate::{Entry, LogIndex, Term};

/// The entries after the last compaction; `base` is the last compacted index.
#[derive(Debug, Clone, Default)]
pub(crate) struct MemLog {
    base: LogIndex,
    base_term: Term,
    entries: VecDeque<Entry>,
    /// The approximate size of `entries`.
    bytes: usize,
}

impl MemLog {
    pub(crate) fn new(base: LogIndex, base_term: Term) -> Self {
        Self {
            base,
            base_term,
            entries: VecDeque::new(),
            bytes: 0,
        }
    }

    pub(crate) fn base(&self) -> LogIndex {
        self.base
    }

    pub(crate) fn last(&self) -> LogIndex {
        LogIndex(self.base.0 + self.entries.len() as u64)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    fn position(&self, index: LogIndex) -> Option<usize> {
        let position = index.0.checked_sub(self.base.0 + 1)?;
        usize::try_from(position).ok()
    }

    pub(crate) fn get(&self, index: LogIndex) -> Option<&Entry> {
        self.entries.get(self.position(index)?)
    }

    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base {
            return Some(self.base_term);
        }
        self.get(index).map(|e| e.term)
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(
            entry.index,
            self.last().next(),
            "entries must be consecutive"
        );
        self.bytes += entry.size();
        self.entries.push_back(entry);
    }

    /// Removes the entries at `index` and above.
    pub(crate) fn truncate(&mut self, index: LogIndex) {
        while self.last() >= index {
            let Some(entry) = self.entries.pop_back() else {
                return;
            };
            self.bytes -= entry.size();
        }
    }

    /// Removes the entries up to and including `index`.
    pub(crate) fn compact(&mut self, index: LogIndex) {
        while self.base < index {
            let Some(entry) = self.entries.pop_front() else {
                return;
            };
            self.bytes -= entry.size();
            self.base = entry.index;
            self.base_term = entry.term;
        }
    }

    /// Returns entries from `from` up to and including `upto`, limited to `bytes` but at least one.
    pub(crate) fn slice(&self, from: LogIndex, upto: LogIndex, bytes: usize) -> Vec<Entry> {
        let mut found = Vec::new();
        let Some(start) = self.position(from) else {
            return found;
        };
        let mut size = 0;
        for entry in self.entries.iter().skip(start) {
            if entry.index > upto {
                break;
            }
            size += entry.size();
            if size > bytes && !found.is_empty() {
                break;
            }
            found.push(entry.clone());
        }
        found
    }
}
