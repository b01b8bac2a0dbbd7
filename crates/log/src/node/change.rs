//! Changes of the members, one at a time.

use clem_types::Time;

use super::{Join, Lead, Node, Role};
use crate::{
    Change, LogIndex, Member, MemberId, MemberKind, Payload, Refused, Result, progress::Progress,
};

impl Node {
    /// Proposes one change of the members.
    ///
    /// Refused while a former one isn't committed, and before this leader has committed in its
    /// own term: two changes in flight could have quorums that share no member.
    pub fn change(&mut self, now: Time, change: &Change) -> Result<LogIndex> {
        let leader = self.leader;
        let Role::Leader(lead) = &self.role else {
            return Err(Refused::NotLeader { leader });
        };
        let (at, members) = &self.configs[self.configs.len() - 1];
        let settled = *at <= self.commit && self.commit >= lead.first;
        if !settled || lead.transfer.is_some() {
            return Err(Refused::ChangeRefused);
        }
        let possible = match change {
            Change::AddLearner { id, address } => {
                let twice = members
                    .iter()
                    .any(|m| m.address == *address && m.kind == MemberKind::Learner);
                members.get(*id).is_none() && !twice
            }
            Change::Promote(id) => members
                .get(*id)
                .is_some_and(|m| m.kind == MemberKind::Learner),
            Change::Remove(id) => {
                let last = members.is_voter(*id) && members.voters().count() == 1;
                members.get(*id).is_some() && !last
            }
        };
        if !possible {
            return Err(Refused::ChangeRefused);
        }
        let members = members.with(change);
        let index = self.append_entry(Payload::Members(members));
        self.follow_members(now);
        Ok(index)
    }

    fn follow_members(&mut self, now: Time) {
        let next = self.log.last().next();
        let ids: Vec<MemberId> = self
            .members()
            .iter()
            .map(|m| m.id)
            .filter(|id| *id != self.id)
            .collect();
        if let Role::Leader(lead) = &mut self.role {
            lead.follow_members(&ids, next, now);
        }
    }

    /// A new disk asks for the place of the lost one at its address, or for one in a group that
    /// lacks voters.
    ///
    /// Repeated by the new disk until it finds itself among the members.
    pub fn join(&mut self, now: Time, id: MemberId, address: &str) -> Result<()> {
        let leader = self.leader;
        let known = self.members().iter().any(|m| m.address == address);
        let open = known || self.lacks_voter(now);
        let Role::Leader(lead) = &mut self.role else {
            return Err(Refused::NotLeader { leader });
        };
        if !open {
            return Err(Refused::ChangeRefused);
        }
        let address = address.to_owned();
        lead.joins.insert(
            id,
            Join {
                address,
                asked: now,
            },
        );
        self.replace_lost(now);
        Ok(())
    }

    /// Takes the next step in replacing a lost disk: add the learner, wait until it has caught
    /// up, remove the lost one, promote the learner.
    ///
    /// Between the last two the quorum has one member less, never one that is lost more.
    pub(super) fn replace_lost(&mut self, now: Time) {
        let Some(change) = self.next_change(now) else {
            return;
        };
        if self.change(now, &change).is_err() {
            return;
        }
        if let (Change::AddLearner { id, .. }, Role::Leader(lead)) = (&change, &mut self.role) {
            lead.joins.remove(id);
        }
    }

    fn next_change(&self, now: Time) -> Option<Change> {
        let Role::Leader(lead) = &self.role else {
            return None;
        };
        let members = self.members();
        if let Some(id) = self.replaced_voter(now) {
            return Some(Change::Remove(id));
        }
        for learner in members.iter().filter(|m| m.kind == MemberKind::Learner) {
            let change = self.change_for(now, lead, learner);
            if change.is_some() {
                return change;
            }
        }
        for (id, join) in &lead.joins {
            let fresh = now < join.asked + self.settings.election;
            if !fresh || members.get(*id).is_some() {
                continue;
            }
            let known = members.iter().any(|m| m.address == join.address);
            let learns = members.iter().any(|m| m.kind == MemberKind::Learner);
            if !known && (learns || !self.lacks_voter(now)) {
                continue;
            }
            let mut same = members.iter().filter(|m| m.address == join.address);
            let Some(old) = same.find(|m| m.kind == MemberKind::Learner) else {
                return Some(Change::AddLearner {
                    id: *id,
                    address: join.address.clone(),
                });
            };
            if self.is_silent(now, old.id) {
                return Some(Change::Remove(old.id));
            }
        }
        None
    }

    /// The change that a learner is due, if any.
    fn change_for(&self, now: Time, lead: &Lead, learner: &Member) -> Option<Change> {
        let peer = lead.peers.get(&learner.id)?;
        let lag = self.commit.0.saturating_sub(peer.matched.0);
        let heard = |peer: &Progress| now < peer.heard + self.settings.election;
        let caught_up =
            peer.matched > LogIndex(0) && lag <= self.settings.learner_lag && heard(peer);
        let rival = self
            .members()
            .iter()
            .find(|m| m.address == learner.address && m.id != learner.id);
        let Some(rival) = rival else {
            return self.change_for_spare(now, learner, caught_up);
        };
        if caught_up && self.is_silent(now, rival.id) {
            return Some(Change::Remove(rival.id));
        }
        // A learner that was itself lost before it was added.
        let rival_lives = rival.id == self.id || lead.peers.get(&rival.id).is_some_and(heard);
        let lost = rival_lives && self.is_silent(now, learner.id);
        lost.then_some(Change::Remove(learner.id))
    }

    /// Names the members, by their addresses, that are to be replaced although they live.
    pub fn set_leaving(&mut self, addresses: &[String]) {
        let members = self.members().iter();
        let leaving = members.filter(|m| addresses.contains(&m.address));
        self.leaving = leaving.map(|m| m.id).collect();
    }

    /// The change that a learner at an address of its own is due, if any.
    fn change_for_spare(&self, now: Time, learner: &Member, caught_up: bool) -> Option<Change> {
        let wanted = self.settings.voters;
        if self.is_silent(now, learner.id) {
            return (wanted > 0).then_some(Change::Remove(learner.id));
        }
        let needed = wanted == 0 || self.lacks_voter(now);
        // It votes before the one that it replaces is removed: a disk that is lost right after
        // the removal must not leave the group without a quorum.
        (caught_up && needed).then_some(Change::Promote(learner.id))
    }

    /// A voter that has a successor, where there are more voters than there should be.
    fn replaced_voter(&self, now: Time) -> Option<MemberId> {
        let wanted = self.settings.voters;
        if wanted == 0 || self.members().voters().count() <= wanted {
            return None;
        }
        self.silent_voter(now)
    }

    /// Whether the group has fewer voters than it should, or one that is silent.
    fn lacks_voter(&self, now: Time) -> bool {
        let wanted = self.settings.voters;
        let few = self.members().voters().count() < wanted;
        wanted > 0 && (few || self.silent_voter(now).is_some())
    }

    /// A voter that should be replaced: one that is silent, or one that is to leave.
    fn silent_voter(&self, now: Time) -> Option<MemberId> {
        let mut others = self.members().voters().filter(|id| *id != self.id);
        others.find(|id| self.is_silent(now, *id) || self.leaving.contains(id))
    }

    /// Whether a member has not been heard from for so long that its disk counts as lost, given
    /// that another disk holds its address.
    fn is_silent(&self, now: Time, id: MemberId) -> bool {
        let Role::Leader(lead) = &self.role else {
            return false;
        };
        lead.peers
            .get(&id)
            .is_some_and(|peer| peer.heard + self.settings.silence <= now)
    }
}
