//! Reports how long this process has been without a place in its group.

use std::{net::SocketAddr, time::Duration};

use clem_types::Time;
use metrics::gauge;

use super::LOG_INTERVAL;

/// What a process without a place in its group waits for.
#[derive(Debug, Clone, Copy)]
pub(super) enum Phase {
    /// To find a process that knows the group, or to bootstrap one.
    Search,
    /// To hear from a leader that has it as a member.
    Admission,
}

impl Phase {
    fn name(self) -> &'static str {
        match self {
            Self::Search => "search",
            Self::Admission => "admission",
        }
    }
}

/// How long this process has waited, and when that was logged.
#[derive(Debug, Default)]
pub(super) struct Joining {
    since: Option<Time>,
    logged: Option<Time>,
}

impl Joining {
    /// Notes that this process still waits, after it has asked these others, of which `replies`
    /// replied.
    pub(super) fn note(&mut self, now: Time, phase: Phase, asked: &[SocketAddr], replies: usize) {
        let since = *self.since.get_or_insert(now);
        let waited = now.since(since);
        gauge!("clem_control_joining_seconds").set(waited.as_secs_f64());
        if now.since(self.logged.unwrap_or(since)) < LOG_INTERVAL {
            return;
        }
        self.logged = Some(now);
        let asked: Vec<String> = asked.iter().map(ToString::to_string).collect();
        log::warn!(
            phase = phase.name(), waited_ms = waited.as_millis() as u64,
            asked = asked.join(" ").as_str(), replies;
            "not in a group yet"
        );
    }

    /// Notes that this process has its place. Returns how long it has waited.
    pub(super) fn finish(&mut self, now: Time) -> Duration {
        let waited = self.since.map_or(Duration::ZERO, |since| now.since(since));
        *self = Self::default();
        gauge!("clem_control_joining_seconds").set(0.0);
        waited
    }
}
