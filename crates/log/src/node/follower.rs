//! The follower's side of replication.

use clem_types::Time;

use super::{Node, Role};
use crate::{Append, Base, Body, Entry, LogIndex, MemberId, Payload, Term, memlog::MemLog};

impl Node {
    pub(super) fn on_append(&mut self, now: Time, from: MemberId, term: Term, append: Append) {
        if term < self.term {
            let sent = append.sent;
            let (prev, hint) = (append.prev, self.log.last());
            self.send(from, Body::Rejected { prev, hint, sent });
            return;
        }
        if term == self.term && self.is_leader() {
            debug_assert!(false, "two leaders in term {term}");
            return;
        }
        if term > self.term || self.leader != Some(from) || !matches!(self.role, Role::Follower) {
            self.become_follower(now, term, Some(from));
        }
        self.contact = now;
        self.reset_deadline(now);
        self.take_entries(from, append);
    }

    fn take_entries(&mut self, from: MemberId, append: Append) {
        let sent = append.sent;
        let mut prev = append.prev;
        let mut prev_term = append.prev_term;
        let end = LogIndex(prev.0 + append.entries.len() as u64);
        let base = self.log.base();
        if prev < base {
            // What the base covers is committed, so it is equal.
            prev = base;
            prev_term = self.log.term_at(base).unwrap_or_default();
        }
        if self.log.term_at(prev) != Some(prev_term) {
            let hint = self.last_maybe_equal(prev);
            self.send(from, Body::Rejected { prev, hint, sent });
            return;
        }
        for entry in append.entries {
            self.take_entry(entry);
        }
        self.matched = self.matched.max(end.min(self.log.last()));
        self.set_commit(append.commit.min(self.matched));
        self.answer = self.answer.max(Some(sent));
    }

    fn take_entry(&mut self, entry: Entry) {
        if entry.index <= self.log.base() || self.log.term_at(entry.index) == Some(entry.term) {
            return;
        }
        if entry.index <= self.log.last() {
            self.truncate(entry.index);
        }
        if let Payload::Members(members) = &entry.payload {
            self.configs.push_back((entry.index, members.clone()));
        }
        self.log.push(entry);
    }

    fn truncate(&mut self, index: LogIndex) {
        debug_assert!(index > self.commit, "committed entries stay");
        self.log.truncate(index);
        self.disk.synced = self.disk.synced.min(index.prev());
        self.disk.unsaved = self.disk.unsaved.min(index);
        while self.configs.len() > 1 && self.configs.back().is_some_and(|(at, _)| *at >= index) {
            self.configs.pop_back();
        }
    }

    /// The last entry before `prev`, or before the whole term that stands there.
    fn last_maybe_equal(&self, prev: LogIndex) -> LogIndex {
        if prev > self.log.last() {
            return self.log.last();
        }
        let term = self.log.term_at(prev);
        let mut index = prev;
        while index > self.commit && self.log.term_at(index) == term {
            index = index.prev();
        }
        index
    }

    /// Starts anew from a copy of the state that is durable on this member's disk.
    ///
    /// Returns false, changing nothing, if the member has come further meanwhile.
    pub fn install(&mut self, now: Time, base: Base) -> bool {
        if base.index <= self.commit || self.is_leader() {
            return false;
        }
        self.contact = now;
        self.log = MemLog::new(base.index, base.term);
        self.configs.clear();
        self.configs.push_back((base.index, base.members.clone()));
        self.commit = base.index;
        self.handed = base.index;
        self.matched = base.index;
        self.disk.marks.clear();
        self.disk.synced = LogIndex::default();
        self.disk.unsaved = base.index.next();
        self.disk.reset = Some(base);
        self.answer = self.answer.or(Some(0));
        true
    }
}
