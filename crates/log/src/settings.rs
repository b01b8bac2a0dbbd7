//! Configuration of a node.

use std::time::Duration;

/// Timeouts and limits of a node; all members must use the same.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// The interval of the heartbeats of an idle leader.
    pub heartbeat: Duration,
    /// The minimum election timeout; also how long a member refuses to vote for others after it
    /// heard from a leader.
    pub election: Duration,
    /// The maximum random extension of the election timeout.
    pub jitter: Duration,
    /// The duration of the leader lease, from the send time of a message that a quorum answered.
    /// It must be shorter than `election` by more than the clock drift in that time.
    pub lease: Duration,
    /// How long a member must not have been heard from to be replaced by a new one.
    pub lost_after: Duration,
    /// The maximum bytes of entries in one message, unless a single entry is larger.
    pub append_bytes: usize,
    /// The maximum number of unanswered messages with entries per member.
    pub inflight: usize,
    /// The maximum bytes of uncommitted entries; further proposals are rejected.
    pub pending_bytes: usize,
    /// The maximum bytes of committed entries in one [`Ready`](crate::Ready).
    pub apply_bytes: usize,
    /// The maximum lag of a learner behind the commit index to be promoted, in entries.
    pub learner_lag: u64,
    /// The desired number of voters. A new member at any address is added if there are fewer, or
    /// replaces a voter that is lost or leaving. With 0, a new member only replaces the one at its
    /// own address.
    pub voters: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(400),
            election: Duration::from_millis(1000),
            jitter: Duration::from_millis(500),
            lease: Duration::from_millis(800),
            lost_after: Duration::from_millis(2000),
            append_bytes: 256 * 1024,
            inflight: 16,
            pending_bytes: 8 * 1024 * 1024,
            apply_bytes: 1024 * 1024,
            learner_lag: 64,
            voters: 0,
        }
    }
}
