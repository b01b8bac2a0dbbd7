//! Output of a node: writes, messages and committed entries.

use clem_types::Time;

use super::{InflightWrite, Node, Role};
use crate::{Body, Entry, LogIndex, Ready, Write, WriteNumber};

impl Node {
    /// Returns the pending work; the driver calls it after each round of steps.
    pub fn ready(&mut self, now: Time) -> Ready {
        self.replicate(now);
        self.send_reply();
        let write = self.take_write();
        let committed = self.take_committed();
        Ready {
            write,
            messages: std::mem::take(&mut self.output.messages),
            committed,
            reads: std::mem::take(&mut self.output.reads),
            failed_reads: std::mem::take(&mut self.output.failed_reads),
            snapshots: std::mem::take(&mut self.output.snapshots),
            removals: std::mem::take(&mut self.output.removals),
        }
    }

    /// Reports that all writes up to `number` are synced.
    pub fn synced(&mut self, now: Time, number: WriteNumber) {
        debug_assert!(
            number >= self.disk.synced_write,
            "writes are synced in order"
        );
        self.disk.synced_write = number;
        while let Some(write) = self.disk.inflight.front().copied() {
            if write.number > number {
                break;
            }
            self.disk.inflight.pop_front();
            // If the entries have been replaced since, a later write contains the new ones.
            if self.log.term_at(write.last) == Some(write.term) {
                self.note_synced(write.last);
            }
        }
        self.release_held();
        if self.disk.hard_write <= number && !self.disk.hard_changed {
            self.count_own_vote(now);
        }
        self.advance_commit(now);
    }

    fn note_synced(&mut self, last: LogIndex) {
        let synced = self.disk.synced.max(last);
        self.disk.synced = synced.min(self.disk.unwritten.prev());
        if !self.is_leader() {
            // Reports the progress to the leader without waiting for its next message.
            self.pending_reply = self.pending_reply.or(Some(0));
        }
    }

    fn release_held(&mut self) {
        while let Some((needed, _)) = self.output.held.front() {
            if *needed > self.disk.synced_write {
                break;
            }
            if let Some((_, message)) = self.output.held.pop_front() {
                self.output.messages.push(message);
            }
        }
    }

    /// Answers all appends of a round with one message.
    fn send_reply(&mut self) {
        let Some(sent) = self.pending_reply.take() else {
            return;
        };
        let (Some(leader), Role::Follower) = (self.leader, &self.role) else {
            return;
        };
        let matched = self.matched.min(self.disk.synced);
        self.send(leader, Body::Appended { matched, sent });
    }

    fn take_write(&mut self) -> Option<Write> {
        let mut write = Write {
            number: self.disk.next_write,
            hard: None,
            reset: self.disk.reset.take(),
            entries: Vec::new(),
        };
        let last = self.log.last();
        if self.disk.unwritten <= last {
            write.entries = self.log.slice(self.disk.unwritten, last, usize::MAX);
            self.disk.unwritten = last.next();
        }
        if self.disk.hard_changed {
            write.hard = Some(self.hard_state());
            self.disk.hard_changed = false;
            self.disk.hard_write = write.number;
        }
        if write.is_empty() {
            return None;
        }
        self.disk.next_write = WriteNumber(write.number.0 + 1);
        if !write.entries.is_empty() || write.reset.is_some() {
            self.disk.inflight.push_back(InflightWrite {
                number: write.number,
                last,
                term: self.log.last_term(),
            });
        }
        Some(write)
    }

    /// Returns committed entries to apply. They must also be synced on this member, so that the
    /// state machine never gets ahead of the log on disk.
    fn take_committed(&mut self) -> Vec<Entry> {
        let upto = self.commit.min(self.disk.synced);
        if self.delivered >= upto {
            return Vec::new();
        }
        let bytes = self.settings.apply_bytes;
        let entries = self.log.slice(self.delivered.next(), upto, bytes);
        if let Some(last) = entries.last() {
            self.delivered = last.index;
        }
        entries
    }

    /// Returns whether [`ready`](Self::ready) has more committed entries to return.
    pub fn has_more(&self) -> bool {
        self.delivered < self.commit.min(self.disk.synced)
    }
}
