//! What a leader knows of another member.

use std::collections::VecDeque;

use clem_types::Time;

use crate::LogIndex;

/// How a leader sends entries to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Flow {
    /// Looks for the last equal entry, one empty message at a time.
    Probe,
    /// Sends one message after another without waiting.
    Stream,
    /// Waits for a copy of the state to arrive.
    Snapshot,
}

/// What a leader knows of another member.
#[derive(Debug, Clone)]
pub(crate) struct Progress {
    /// The next entry to send.
    pub(crate) next: LogIndex,
    /// How far the member's log is known to be synced and equal.
    pub(crate) matched: LogIndex,
    pub(crate) flow: Flow,
    /// When the latest message that was answered had been sent; the lease counts from there.
    pub(crate) asked: Option<Time>,
    /// When the member was last heard from.
    pub(crate) heard: Time,
    /// When a message was last sent.
    pub(crate) sent: Option<Time>,
    /// Last entry of each message that isn't answered yet.
    pub(crate) inflight: VecDeque<LogIndex>,
}

impl Progress {
    pub(crate) fn new(next: LogIndex, now: Time) -> Self {
        Self {
            next,
            matched: LogIndex::default(),
            flow: Flow::Probe,
            asked: None,
            heard: now,
            sent: None,
            inflight: VecDeque::new(),
        }
    }

    pub(crate) fn probe_from(&mut self, next: LogIndex) {
        self.flow = Flow::Probe;
        self.next = next.max(self.matched.next());
        self.inflight.clear();
        self.sent = None;
    }

    /// Notes how far the member has come; says whether that is news.
    pub(crate) fn advance(&mut self, matched: LogIndex) -> bool {
        while self.inflight.front().is_some_and(|last| *last <= matched) {
            self.inflight.pop_front();
        }
        if matched <= self.matched {
            return false;
        }
        self.matched = matched;
        self.next = self.next.max(matched.next());
        true
    }
}
