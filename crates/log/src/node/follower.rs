//! Replication on followers.

use std::time::Duration;

use clem_types::Time;

use super::{Node, Role};
use crate::{
    Append, Body, Entry, LogIndex, MemberId, Payload, SnapshotMetadata, Term, memlog::MemLog,
};

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
        self.last_contact = now;
        self.removed = None;
        self.reset_deadline(now);
        let silences = append.silent.iter();
        self.silences = silences
            .map(|silence| (silence.id, Duration::from_millis(silence.ms)))
            .collect();
        self.note_departing(now, &append.departing);
        self.accept_entries(from, append);
    }

    fn accept_entries(&mut self, from: MemberId, append: Append) {
        let sent = append.sent;
        let mut prev = append.prev;
        let mut prev_term = append.prev_term;
        let end = LogIndex(prev.0 + append.entries.len() as u64);
        let base = self.log.base();
        if prev < base {
            // Entries up to the base are committed, so they match.
            prev = base;
            prev_term = self.log.term_at(base).unwrap_or_default();
        }
        if self.log.term_at(prev) != Some(prev_term) {
            let hint = self.conflict_hint(prev);
            self.send(from, Body::Rejected { prev, hint, sent });
            return;
        }
        for entry in append.entries {
            self.accept_entry(entry);
        }
        self.matched = self.matched.max(end.min(self.log.last()));
        self.set_commit(append.commit.min(self.matched));
        self.pending_reply = self.pending_reply.max(Some(sent));
    }

    fn accept_entry(&mut self, entry: Entry) {
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
        debug_assert!(index > self.commit, "committed entries must not be removed");
        self.log.truncate(index);
        self.disk.synced = self.disk.synced.min(index.prev());
        self.disk.unwritten = self.disk.unwritten.min(index);
        while self.configs.len() > 1 && self.configs.back().is_some_and(|(at, _)| *at >= index) {
            self.configs.pop_back();
        }
    }

    /// Returns the last index that may match the leader's log after a mismatch at `prev`.
    ///
    /// It skips all entries of the term at `prev`, so that one round trip is needed per term.
    fn conflict_hint(&self, prev: LogIndex) -> LogIndex {
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

    /// Returns whether this member's log has all entries of the snapshot at `base`.
    ///
    /// Those after it may be committed by this member's word, so that it must not reset its log. What is
    /// in a snapshot is committed, which is noted.
    pub fn holds(&mut self, base: &SnapshotMetadata) -> bool {
        if base.index <= self.commit {
            return true;
        }
        let held = self.log.term_at(base.index) == Some(base.term);
        if held {
            self.set_commit(base.index);
        }
        held
    }

    /// Restarts the log after a snapshot that is durable on this member's disk.
    ///
    /// Returns false and resets nothing if this member [`holds`](Self::holds) it, or is the leader.
    pub fn install(&mut self, now: Time, base: SnapshotMetadata) -> bool {
        if self.is_leader() || self.holds(&base) {
            return false;
        }
        self.last_contact = now;
        self.removed = None;
        self.log = MemLog::new(base.index, base.term);
        self.configs.clear();
        self.configs.push_back((base.index, base.members.clone()));
        self.commit = base.index;
        self.delivered = base.index;
        self.matched = base.index;
        self.disk.inflight.clear();
        self.disk.synced = LogIndex::default();
        self.disk.unwritten = base.index.next();
        self.disk.reset = Some(base);
        self.pending_reply = self.pending_reply.or(Some(0));
        true
    }
}
