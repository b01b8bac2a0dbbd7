//! Spans and sizes that steer a node.

use std::time::Duration;

/// Spans and sizes that steer a node; all members use the same.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// How often an idle leader shows that it lives.
    pub heartbeat: Duration,
    /// How long a member waits for a leader at least before it campaigns, and how long it refuses
    /// its vote to others after it heard from one.
    pub election: Duration,
    /// How much longer than `election` a member may wait, drawn anew each time.
    pub jitter: Duration,
    /// How long a leader answers reads after it asked a quorum; shorter than `election` by more
    /// than what two clocks differ in that span.
    pub lease: Duration,
    /// How long a member must be silent before a new disk at its address takes its place.
    pub silence: Duration,
    /// The most bytes of entries in one message.
    pub append_bytes: usize,
    /// The most messages with entries to one member that aren't answered yet.
    pub inflight: usize,
    /// The most bytes of entries that aren't committed; more are refused.
    pub pending_bytes: usize,
    /// The most bytes of committed entries that are handed out at once.
    pub apply_bytes: usize,
    /// How far a learner may lie behind to be promoted, in entries.
    pub learner_lag: u64,
    /// How many voters there should be: a new disk at any address fills the group up to that, or
    /// takes the place of a silent voter. 0: a new disk only takes the place of the one at its
    /// address.
    pub voters: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(400),
            election: Duration::from_millis(1000),
            jitter: Duration::from_millis(500),
            lease: Duration::from_millis(800),
            silence: Duration::from_millis(2000),
            append_bytes: 256 * 1024,
            inflight: 16,
            pending_bytes: 8 * 1024 * 1024,
            apply_bytes: 1024 * 1024,
            learner_lag: 64,
            voters: 0,
        }
    }
}
