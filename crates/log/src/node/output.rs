//! What leaves a node: writes, messages and committed entries.

use clem_types::Time;

use super::{Mark, Node, Role};
use crate::{Body, Entry, LogIndex, Ready, Write, WriteNumber};

impl Node {
    /// What is to be done now; called after each round of steps.
    pub fn ready(&mut self, now: Time) -> Ready {
        self.replicate(now);
        self.send_answer();
        let write = self.take_write();
        let committed = self.take_committed();
        Ready {
            write,
            messages: std::mem::take(&mut self.output.messages),
            committed,
            reads: std::mem::take(&mut self.output.reads),
            failed_reads: std::mem::take(&mut self.output.failed_reads),
            snapshots: std::mem::take(&mut self.output.snapshots),
        }
    }

    /// Reports that a write and all before it are synced.
    pub fn synced(&mut self, now: Time, number: WriteNumber) {
        debug_assert!(number >= self.disk.done, "writes are synced in order");
        self.disk.done = number;
        while let Some(mark) = self.disk.marks.front().copied() {
            if mark.number > number {
                break;
            }
            self.disk.marks.pop_front();
            // Entries that were replaced meanwhile stand in a later write.
            if self.log.term_at(mark.last) == Some(mark.term) {
                self.note_synced(mark.last);
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
        self.disk.synced = synced.min(self.disk.unsaved.prev());
        if !self.is_leader() {
            // Tells the leader without being asked.
            self.answer = self.answer.or(Some(0));
        }
    }

    fn release_held(&mut self) {
        while let Some((needed, _)) = self.output.held.front() {
            if *needed > self.disk.done {
                break;
            }
            if let Some((_, message)) = self.output.held.pop_front() {
                self.output.messages.push(message);
            }
        }
    }

    /// Answers all appends of a round at once.
    fn send_answer(&mut self) {
        let Some(sent) = self.answer.take() else {
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
            number: self.disk.next,
            hard: None,
            reset: self.disk.reset.take(),
            entries: Vec::new(),
        };
        let last = self.log.last();
        if self.disk.unsaved <= last {
            write.entries = self.log.slice(self.disk.unsaved, last, usize::MAX);
            self.disk.unsaved = last.next();
        }
        if self.disk.hard_changed {
            write.hard = Some(self.hard_state());
            self.disk.hard_changed = false;
            self.disk.hard_write = write.number;
        }
        if write.is_empty() {
            return None;
        }
        self.disk.next = WriteNumber(write.number.0 + 1);
        if !write.entries.is_empty() || write.reset.is_some() {
            self.disk.marks.push_back(Mark {
                number: write.number,
                last,
                term: self.log.last_term(),
            });
        }
        Some(write)
    }

    /// Committed entries that are synced here too, so that the store never runs ahead of the log.
    fn take_committed(&mut self) -> Vec<Entry> {
        let upto = self.commit.min(self.disk.synced);
        if self.handed >= upto {
            return Vec::new();
        }
        let bytes = self.settings.apply_bytes;
        let entries = self.log.slice(self.handed.next(), upto, bytes);
        if let Some(last) = entries.last() {
            self.handed = last.index;
        }
        entries
    }

    /// Whether committed entries wait for another [`ready`](Self::ready).
    pub fn has_more(&self) -> bool {
        self.handed < self.commit.min(self.disk.synced)
    }
}
