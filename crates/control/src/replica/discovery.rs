//! What this process has heard of its group from others, which its own log can't tell it.

use std::{net::SocketAddr, time::Duration};

use clem_log::Term;
use clem_types::Time;
use serde::{Deserialize, Serialize};

/// How long a leader that others named counts as such; longer than the time from one round of queries to the
/// end of the next.
const LEADER_KEPT: Duration = Duration::from_secs(2);

/// A leader, as a member of its group knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedLeader {
    /// The address at which it is reached.
    pub address: SocketAddr,
    /// The term in which it leads.
    pub term: Term,
}

/// The leader that others have named.
///
/// A process without a leader of its own passes it on: callers may know only processes that were removed
/// from the group or have no disk. See `docs/design/agreement.md`, "Finding the group".
#[derive(Debug, Default)]
pub struct Discovery {
    told: Option<(Time, NamedLeader)>,
}

impl Discovery {
    /// Notes the leaders that members named at `now`.
    pub fn note(&mut self, now: Time, named: impl IntoIterator<Item = NamedLeader>) {
        let Some(latest) = named.into_iter().max_by_key(|leader| leader.term) else {
            return;
        };
        let newer = self
            .leader(now)
            .is_none_or(|known| known.term <= latest.term);
        if newer {
            self.told = Some((now, latest));
        }
    }

    /// Returns the leader that was named lately, if any.
    pub fn leader(&self, now: Time) -> Option<NamedLeader> {
        let (at, leader) = self.told?;
        (now < at + LEADER_KEPT).then_some(leader)
    }
}
