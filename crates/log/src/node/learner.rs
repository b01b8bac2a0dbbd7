//! What the leader does next with each learner, and what it waits for.

use std::time::Duration;

use clem_types::Time;

use super::{LeaderState, Node, Role};
use crate::{Change, LogIndex, Member, MemberId, MemberKind, progress::Progress};

/// How long a spare is kept after the last vacancy; each one costs a copy of the log.
const SPARE_KEPT: Duration = Duration::from_secs(10);
/// How many heartbeats a member has missed when another one at its address counts as its successor; a
/// process that runs rarely misses one.
const HEARTBEATS_MISSED: u32 = 2;

/// Why a learner is not promoted, or a voter not replaced yet.
///
/// See `docs/design/agreement.md`, "The node".
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hold {
    /// The learner has not replied within an election timeout, or is about to stop.
    Silent,
    /// The learner lacks more entries than [`learner_lag`](crate::Settings::learner_lag).
    Behind,
    /// The member at its address still replies, or has not been silent for long enough.
    Occupied,
    /// No voter is missing, lost or leaving.
    Unneeded,
    /// The latest membership change is uncommitted, or the leader has not committed an entry of its
    /// own term.
    Unsettled,
    /// The leader transfers its leadership.
    Transfer,
    /// The voter to replace has not been silent for long enough.
    Recent,
    /// No process asks to join.
    Alone,
    /// Nothing; the change is due.
    Nothing,
}

impl Hold {
    /// The name for log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::Behind => "behind",
            Self::Occupied => "occupied",
            Self::Unneeded => "unneeded",
            Self::Unsettled => "unsettled",
            Self::Transfer => "transfer",
            Self::Recent => "recent",
            Self::Alone => "alone",
            Self::Nothing => "nothing",
        }
    }
}

/// A learner as its leader sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LearnerStatus {
    /// The learner's id.
    pub id: MemberId,
    /// The address it listens on, as `IP:PORT`.
    pub address: String,
    /// How many committed entries its log is not known to have.
    pub lag: u64,
    /// The time since its last reply, or since the leader has known it.
    pub unheard: Duration,
    /// What its next change waits for.
    pub hold: Hold,
}

/// What is to be done for a learner.
pub(super) enum LearnerStep {
    /// This change is due.
    Due(Change),
    /// It has to wait.
    Held(Hold),
}

impl Node {
    /// Returns the learners and what each waits for; empty unless this member is the leader.
    pub fn learners(&self, now: Time) -> Vec<LearnerStatus> {
        let Role::Leader(lead) = &self.role else {
            return Vec::new();
        };
        let mut learners = Vec::new();
        for member in self.members().iter() {
            let Some(peer) = lead.peers.get(&member.id) else {
                continue;
            };
            if member.kind != MemberKind::Learner {
                continue;
            }
            let hold = match self.learner_step(now, lead, member) {
                LearnerStep::Due(_) => self.change_hold(lead).unwrap_or(Hold::Nothing),
                LearnerStep::Held(hold) => hold,
            };
            learners.push(LearnerStatus {
                id: member.id,
                address: member.address.clone(),
                lag: self.lag(peer),
                unheard: now.since(peer.heard),
                hold,
            });
        }
        learners
    }

    /// Returns what keeps this leader from proposing any membership change now.
    pub(super) fn change_hold(&self, lead: &LeaderState) -> Option<Hold> {
        let (at, _) = &self.configs[self.configs.len() - 1];
        if *at > self.commit || self.commit < lead.term_start {
            return Some(Hold::Unsettled);
        }
        lead.transfer.is_some().then_some(Hold::Transfer)
    }

    fn lag(&self, peer: &Progress) -> u64 {
        self.commit.0.saturating_sub(peer.matched.0)
    }

    /// Returns the change that is due for a learner, or what it waits for.
    pub(super) fn learner_step(
        &self,
        now: Time,
        lead: &LeaderState,
        learner: &Member,
    ) -> LearnerStep {
        let Some(peer) = lead.peers.get(&learner.id) else {
            return LearnerStep::Held(Hold::Silent);
        };
        let heard = |peer: &Progress| now < peer.heard + self.settings.election;
        // Being tracked since a moment ago is no reply.
        let hold = if !heard(peer) || peer.acked.is_none() || self.departs(now, learner.id) {
            Some(Hold::Silent)
        } else if peer.matched == LogIndex(0) || self.lag(peer) > self.settings.learner_lag {
            Some(Hold::Behind)
        } else {
            None
        };
        let mut same = self.members().iter();
        let other = same.find(|m| m.address == learner.address && m.id != learner.id);
        let Some(other) = other else {
            return self.spare_step(now, learner, hold);
        };
        let gone = self.has_succeeded(now, peer, other.id) || self.is_lost(now, other.id);
        if hold.is_none() && gone {
            return LearnerStep::Due(Change::Remove(other.id));
        }
        // If the machine of both is lost, a spare at another address can take its place.
        if self.is_lost(now, learner.id) {
            return LearnerStep::Due(Change::Remove(learner.id));
        }
        LearnerStep::Held(hold.unwrap_or(Hold::Occupied))
    }

    /// Returns when a spare was needed last, as far as this leader knows.
    fn spare_needed(&self, now: Time) -> Time {
        match &self.role {
            Role::Leader(lead) => lead.vacant,
            Role::Follower | Role::PreCandidate { .. } | Role::Candidate { .. } => now,
        }
    }

    /// Returns whether the learner with this progress has replied to a message sent after the last reply
    /// of `other`, a member at the same address that has missed heartbeats: its disk is gone then.
    fn has_succeeded(&self, now: Time, learner: &Progress, other: MemberId) -> bool {
        let Role::Leader(lead) = &self.role else {
            return false;
        };
        let Some(other) = lead.peers.get(&other) else {
            return false;
        };
        let silent = other.heard + self.settings.heartbeat * HEARTBEATS_MISSED <= now;
        silent && learner.acked.is_some_and(|sent| sent > other.heard)
    }

    /// Returns the change that is due for a learner with an address that no other member has, or what
    /// it waits for.
    fn spare_step(&self, now: Time, learner: &Member, hold: Option<Hold>) -> LearnerStep {
        let wanted = self.settings.voters;
        if self.is_lost(now, learner.id) {
            if wanted == 0 {
                return LearnerStep::Held(Hold::Silent);
            }
            return LearnerStep::Due(Change::Remove(learner.id));
        }
        if !self.may_vote(&learner.address) {
            return LearnerStep::Due(Change::Remove(learner.id));
        }
        // One voter more raises the quorum only if there is an odd number of them. If not, a learner
        // that lags costs nothing, while waiting for it would cost the group at the next lost disk.
        let raises_quorum = self.members().voters().count() % 2 == 1;
        match hold {
            Some(Hold::Behind) if !raises_quorum => {}
            Some(hold) => return LearnerStep::Held(hold),
            None => {}
        }
        if wanted > 0 && !self.lacks_voter(now) {
            if self.spare_needed(now) + SPARE_KEPT <= now {
                return LearnerStep::Due(Change::Remove(learner.id));
            }
            let due = self.vacancies(now) > 0;
            return LearnerStep::Held(if due { Hold::Recent } else { Hold::Unneeded });
        }
        // The spare is promoted before the voter that it replaces is removed. In the opposite
        // order, losing one more disk right after the removal would lose the quorum.
        LearnerStep::Due(Change::Promote(learner.id))
    }
}
