//! Messages that are queued for one member.

use std::collections::VecDeque;

use clem_log::{Body, Entry, LogIndex, Message};

/// Maximum number of queued messages in each lane. Further ones are dropped; the protocol retransmits them.
const MESSAGES_MAX: usize = 1024;
/// Size of a message without its entries, in bytes.
const OVERHEAD_BYTES: usize = 128;

/// What a message carries. Each lane is sent on its own, so that heartbeats and votes don't wait behind entries
/// on a slow link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Lane {
    /// No entries.
    Signals,
    /// Entries of the log.
    Entries,
}

impl Lane {
    /// All lanes, the urgent one first.
    pub(super) const ALL: [Self; 2] = [Self::Signals, Self::Entries];
}

/// The messages for one member.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    signals: VecDeque<Message>,
    entries: VecDeque<Message>,
}

impl Outbox {
    /// Queues a message and returns its lane.
    pub(super) fn push(&mut self, message: Message) -> Lane {
        let Some(prev) = entries_after(&message) else {
            push(&mut self.signals, message);
            return Lane::Signals;
        };
        // Entries that are sent again replace the queued ones.
        let superseded = |queued: &Message| entries_after(queued) >= Some(prev);
        while self.entries.back().is_some_and(superseded) {
            self.entries.pop_back();
        }
        push(&mut self.entries, message);
        Lane::Entries
    }

    /// Whether nothing is queued in a lane.
    pub(super) fn is_empty(&self, lane: Lane) -> bool {
        match lane {
            Lane::Signals => self.signals.is_empty(),
            Lane::Entries => self.entries.is_empty(),
        }
    }

    /// Takes messages of a lane: at least one if there is any, and about `bytes` in total.
    pub(super) fn take(&mut self, lane: Lane, bytes: usize) -> Vec<Message> {
        let queue = match lane {
            Lane::Signals => &mut self.signals,
            Lane::Entries => &mut self.entries,
        };
        let mut size = 0;
        let mut taken = Vec::new();
        while size < bytes {
            let Some(message) = queue.pop_front() else {
                break;
            };
            size += message_bytes(&message);
            taken.push(message);
        }
        taken
    }

    /// Drops the queued entries, as those before them were lost.
    pub(super) fn drop_entries(&mut self) {
        self.entries.clear();
    }
}

fn push(queue: &mut VecDeque<Message>, message: Message) {
    if queue.len() < MESSAGES_MAX {
        queue.push_back(message);
    }
}

/// The index after which the entries of a message follow; `None` if it has none.
fn entries_after(message: &Message) -> Option<LogIndex> {
    match &message.body {
        Body::Append(append) => (!append.entries.is_empty()).then_some(append.prev),
        Body::PreVote(_)
        | Body::PreVoteReply { .. }
        | Body::Vote(_)
        | Body::VoteReply { .. }
        | Body::Appended { .. }
        | Body::Rejected { .. }
        | Body::Campaign => None,
    }
}

/// The approximate encoded size of a message, in bytes.
fn message_bytes(message: &Message) -> usize {
    match &message.body {
        Body::Append(append) => {
            OVERHEAD_BYTES + append.entries.iter().map(Entry::size).sum::<usize>()
        }
        Body::PreVote(_)
        | Body::PreVoteReply { .. }
        | Body::Vote(_)
        | Body::VoteReply { .. }
        | Body::Appended { .. }
        | Body::Rejected { .. }
        | Body::Campaign => OVERHEAD_BYTES,
    }
}
