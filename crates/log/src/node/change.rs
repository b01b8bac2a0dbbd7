//! Membership changes, one at a time, and the automatic replacement of lost members.

use std::time::Duration;

use clem_types::Time;

use super::{JoinRequest, Node, Role, learner::LearnerStep};
use crate::{Change, LogIndex, MemberId, MemberKind, NodeError, Payload, Removal, Result};

/// How long a request to join is kept; a process that wants to join repeats it more often.
pub(super) const JOIN_KEPT: Duration = Duration::from_secs(2);

impl Node {
    /// Proposes a membership change.
    ///
    /// # Errors
    /// This member isn't the leader, the change doesn't apply, another change is uncommitted, or
    /// this leader has not committed an entry of its own term yet: the quorums of two concurrent
    /// changes need not overlap.
    pub fn change(&mut self, now: Time, change: &Change) -> Result<LogIndex> {
        let leader = self.leader;
        let Role::Leader(lead) = &self.role else {
            return Err(NodeError::NotLeader { leader });
        };
        if self.change_hold(lead).is_some() {
            return Err(NodeError::ChangeRefused);
        }
        let members = self.members();
        let valid = match change {
            Change::AddLearner { id, address } => {
                let duplicate = members
                    .iter()
                    .any(|m| m.address == *address && m.kind == MemberKind::Learner);
                members.get(*id).is_none() && !duplicate
            }
            Change::Promote(id) => members
                .get(*id)
                .is_some_and(|m| m.kind == MemberKind::Learner),
            Change::Remove(id) => {
                let last = members.is_voter(*id) && members.voters().count() == 1;
                members.get(*id).is_some() && !last
            }
        };
        if !valid {
            return Err(NodeError::ChangeRefused);
        }
        let members = members.with(change);
        let index = self.append_entry(Payload::Members(members));
        self.sync_peers(now);
        Ok(index)
    }

    /// Starts and stops the replication to members after a change.
    fn sync_peers(&mut self, now: Time) {
        let next = self.log.last().next();
        let ids: Vec<MemberId> = self
            .members()
            .iter()
            .map(|m| m.id)
            .filter(|id| *id != self.id)
            .collect();
        if let Role::Leader(lead) = &mut self.role {
            lead.sync_peers(&ids, next, now);
        }
    }

    /// Handles the request of a new member to replace the one at its address, or to join a cluster
    /// that lacks voters.
    ///
    /// The new member repeats the request until it is in the membership.
    ///
    /// # Errors
    /// This member isn't the leader, or the cluster needs no new member at that address.
    pub fn join(&mut self, now: Time, id: MemberId, address: &str) -> Result<()> {
        let leader = self.leader;
        // Kept on all members, and even if it is refused: a leader that has just been elected must know
        // the processes that can replace a member that stops.
        self.joins.retain(|_, join| now < join.asked + JOIN_KEPT);
        self.joins.insert(
            id,
            JoinRequest {
                address: address.to_owned(),
                asked: now,
            },
        );
        if !self.is_leader() {
            return Err(NodeError::NotLeader { leader });
        }
        let known = self.members().iter().any(|m| m.address == address);
        if !known && (self.vacancies(now) == 0 || !self.may_vote(address)) {
            return Err(NodeError::ChangeRefused);
        }
        self.reconcile_members(now);
        Ok(())
    }

    /// Proposes the next change in replacing a lost member: add the new one as a learner, wait
    /// until it has caught up, remove the lost one, promote the learner.
    ///
    /// The lost member is removed before the promotion, so that it never counts towards the larger
    /// quorum.
    pub(super) fn reconcile_members(&mut self, now: Time) {
        let Some(change) = self.next_change(now) else {
            return;
        };
        let removal = self.removal(now, &change);
        if self.change(now, &change).is_err() {
            return;
        }
        match &change {
            Change::AddLearner { id, .. } => {
                self.joins.remove(id);
            }
            Change::Remove(_) => self.output.removals.extend(removal),
            Change::Promote(_) => {}
        }
    }

    /// Describes a removal before it is proposed, for logs.
    fn removal(&self, now: Time, change: &Change) -> Option<Removal> {
        let (Change::Remove(id), Role::Leader(lead)) = (change, &self.role) else {
            return None;
        };
        let voters = || self.members().voters().filter(|other| other != id);
        Some(Removal {
            id: *id,
            votes: self.members().is_voter(*id),
            leaves: self.leaves(now, *id),
            silence: lead.peers.get(id)?.silence(now),
            remaining: voters().count(),
            replying: voters().filter(|id| self.replies(now, *id)).count(),
        })
    }

    /// Promotes a learner if that is the next change, so that no pause follows the removal of the voter
    /// that it replaces.
    pub(super) fn promote_learner(&mut self, now: Time) {
        let Some(change @ Change::Promote(_)) = self.next_change(now) else {
            return;
        };
        // If another change is uncommitted, its commit leads here again.
        let _ = self.change(now, &change);
    }

    /// Returns the change that brings the membership closer to the desired one, if any.
    fn next_change(&self, now: Time) -> Option<Change> {
        let Role::Leader(lead) = &self.role else {
            return None;
        };
        let members = self.members();
        if let Some(id) = self.surplus_voter(now) {
            return Some(Change::Remove(id));
        }
        for learner in members.iter().filter(|m| m.kind == MemberKind::Learner) {
            if let LearnerStep::Due(change) = self.learner_step(now, lead, learner) {
                return Some(change);
            }
        }
        for (id, join) in &self.joins {
            let recent = now < join.asked + self.settings.election;
            if !recent || members.get(*id).is_some() {
                continue;
            }
            let known = members.iter().any(|m| m.address == join.address);
            if !known && !self.may_vote(&join.address) {
                continue;
            }
            let learners = members.iter().filter(|m| m.kind == MemberKind::Learner);
            let staying = learners.filter(|m| !self.departs(now, m.id));
            if !known && staying.count() >= self.vacancies(now) {
                continue;
            }
            let mut same = members.iter().filter(|m| m.address == join.address);
            let Some(old) = same.find(|m| m.kind == MemberKind::Learner) else {
                return Some(Change::AddLearner {
                    id: *id,
                    address: join.address.clone(),
                });
            };
            if self.is_lost(now, old.id) {
                return Some(Change::Remove(old.id));
            }
        }
        None
    }

    /// Sets the addresses of processes that are being retired: those that are members are replaced
    /// although they are alive, and none replaces another one.
    pub fn set_leaving(&mut self, addresses: &[String]) {
        self.leaving = addresses.iter().cloned().collect();
    }

    /// Returns whether a process at this address may become a voter.
    ///
    /// One that is being retired is taken away with its disk, so that it only fills a vote that nobody
    /// has.
    pub(super) fn may_vote(&self, address: &str) -> bool {
        let lacking = self.members().voters().count() < self.settings.voters;
        lacking || !self.leaving.contains(address)
    }

    /// Returns the voter to remove if there are more voters than desired, as its replacement is
    /// then already promoted.
    fn surplus_voter(&self, now: Time) -> Option<MemberId> {
        let wanted = self.settings.voters;
        if wanted == 0 || self.members().voters().count() <= wanted {
            return None;
        }
        self.voter_to_replace(now)
    }

    /// Returns how many learners the cluster needs, for voters that are missing, leaving or may be lost.
    /// A learner costs no vote, so that it can begin to catch up before a voter counts as lost.
    pub(super) fn vacancies(&self, now: Time) -> usize {
        let wanted = self.settings.voters;
        let Role::Leader(lead) = &self.role else {
            return 0;
        };
        if wanted == 0 {
            return 0;
        }
        let members = self.members();
        let may_be_lost = |id: &MemberId| {
            let peer = lead.peers.get(id);
            self.leaves(now, *id)
                || peer.is_some_and(|peer| peer.silence(now) >= self.settings.election)
        };
        let missing = wanted.saturating_sub(members.voters().count());
        missing + members.voters().filter(may_be_lost).count()
    }

    /// Returns whether there are fewer voters than desired, or one that should be replaced.
    pub(super) fn lacks_voter(&self, now: Time) -> bool {
        let wanted = self.settings.voters;
        let too_few = self.members().voters().count() < wanted;
        wanted > 0 && (too_few || self.voter_to_replace(now).is_some())
    }

    /// Returns a voter that should be replaced because it is lost, or leaving while no other one may be
    /// lost.
    ///
    /// A spare that takes the place of one that leaves is missing for one that is gone, which needs
    /// longer to be known.
    fn voter_to_replace(&self, now: Time) -> Option<MemberId> {
        let others = || self.members().voters().filter(|id| *id != self.id);
        let Role::Leader(lead) = &self.role else {
            return None;
        };
        let silence = |id: &MemberId| lead.peers.get(id).map(|peer| peer.silence(now));
        let lost = others().filter(|id| self.is_lost(now, *id));
        if let Some(longest) = lost.max_by_key(silence) {
            return Some(longest);
        }
        let accounted = |id| self.replies(now, id) || self.leaves(now, id);
        if !others().all(accounted) {
            return None;
        }
        let leaving = others().filter(|id| self.leaves(now, *id));
        leaving.min_by_key(|id| self.replies(now, *id))
    }

    /// Returns whether a member has been unreachable for so long that a new member may replace it.
    ///
    /// What former leaders have waited counts, but not without an election timeout of this leader's
    /// own: the member may have come back meanwhile.
    pub(super) fn is_lost(&self, now: Time, id: MemberId) -> bool {
        let Role::Leader(lead) = &self.role else {
            return false;
        };
        lead.peers.get(&id).is_some_and(|peer| {
            let asked = peer.unheard(now) >= self.settings.election;
            asked && peer.silence(now) >= self.settings.lost_after
        })
    }
}
