//! Replication progress of a follower or learner, as the leader tracks it.

use std::{collections::VecDeque, time::Duration};

use clem_types::Time;

use crate::LogIndex;

/// The mode in which a leader sends entries to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Flow {
    /// Searches for the last matching entry with one empty message at a time.
    Probe,
    /// Pipelines messages with entries without waiting for replies.
    Stream,
    /// Sends no entries until the member has received a snapshot.
    Snapshot,
}

/// The replication progress of one member.
#[derive(Debug, Clone)]
pub(crate) struct Progress {
    /// The next entry to send.
    pub(crate) next: LogIndex,
    /// The index up to which the member's log is known to be synced and to match.
    pub(crate) matched: LogIndex,
    pub(crate) flow: Flow,
    /// The send time of the latest message that was answered, from which the lease runs.
    pub(crate) acked: Option<Time>,
    /// The time of the last reply, or of the start of tracking.
    pub(crate) heard: Time,
    /// How long the member had been silent for former leaders; zero once it has replied.
    pub(crate) carried: Duration,
    /// How long this leader itself stood still last, if the member hasn't replied since.
    pub(crate) paused: Duration,
    /// The time of the last message sent, if any in the current mode.
    pub(crate) sent: Option<Time>,
    /// The last index of each unanswered message with entries.
    pub(crate) inflight: VecDeque<LogIndex>,
    /// Whether the driver is still sending messages with entries, so that others may overtake them.
    pub(crate) sending: bool,
}

impl Progress {
    pub(crate) fn new(next: LogIndex, now: Time, carried: Duration) -> Self {
        Self {
            next,
            matched: LogIndex::default(),
            flow: Flow::Probe,
            acked: None,
            heard: now,
            carried,
            paused: Duration::ZERO,
            sent: None,
            inflight: VecDeque::new(),
            sending: false,
        }
    }

    /// How long the member has been silent, for this leader and those before it.
    pub(crate) fn silence(&self, now: Time) -> Duration {
        self.unheard(now) + self.carried
    }

    /// How long the member has been silent for this leader, which could hear it.
    pub(crate) fn unheard(&self, now: Time) -> Duration {
        now.since(self.heard).saturating_sub(self.paused)
    }

    /// Switches to probing from `next`.
    pub(crate) fn probe_from(&mut self, next: LogIndex) {
        self.flow = Flow::Probe;
        self.next = next.max(self.matched.next());
        self.inflight.clear();
        self.sent = None;
    }

    /// Records a reply up to `matched`; returns whether that is an advance.
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
