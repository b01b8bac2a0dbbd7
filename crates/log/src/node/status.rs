//! What a member knows of its group's voters, for logs and metrics.

use std::time::Duration;

use clem_types::Time;

use super::{Hold, LeaderState, Node, Role, VoteAnswer, learner::LearnerStep};
use crate::{MemberId, MemberKind};

/// The voters of a group, as one of its members knows them.
///
/// See `docs/design/agreement.md`, "The node".
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupStatus {
    /// The time since this member last knew of a leader; `None` while it does, and in a process that is
    /// no member yet.
    pub leaderless: Option<Duration>,
    /// What this member is, as far as it knows: it may have been removed and not know it yet.
    pub own: Option<MemberKind>,
    /// What this member last answered to those that asked for its vote.
    pub answers: Vec<(MemberId, VoteAnswer)>,
    /// How many voters a decision needs.
    pub quorum: usize,
    /// All voters but this member.
    pub voters: Vec<VoterStatus>,
    /// On a leader, how many voters the group has less than it should; it survives fewer lost disks then.
    pub lacking: usize,
    /// How many voters were heard from within an election timeout, with this member if it is one.
    /// Without a leader, only these take part in elections; a follower hears only from its leader.
    pub reachable: usize,
    /// On a leader, the voter that it should replace.
    pub vacancy: Option<Vacancy>,
}

/// A voter, as another member knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VoterStatus {
    /// Its id.
    pub id: MemberId,
    /// The address it listens on, as `IP:PORT`.
    pub address: String,
    /// The time since its last message; `None` if there was none.
    pub unheard: Option<Duration>,
    /// Whether it granted its vote when this member last asked for it; `None` if it never answered.
    pub granted: Option<bool>,
}

/// A voter that does not reply or is leaving, and is still a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vacancy {
    /// The voter.
    pub id: MemberId,
    /// What its replacement waits for.
    pub hold: Hold,
}

impl Node {
    /// Returns what this member knows of its group's voters.
    pub fn status(&self, now: Time) -> GroupStatus {
        let members = self.members();
        let mut voters = Vec::new();
        for member in members.iter() {
            if member.kind != MemberKind::Voter || member.id == self.id {
                continue;
            }
            let contact = self.contacts.get(&member.id);
            voters.push(VoterStatus {
                id: member.id,
                address: member.address.clone(),
                unheard: contact.map(|at| now.since(*at)),
                granted: self.votes.received.get(&member.id).copied(),
            });
        }
        let recent = |voter: &&VoterStatus| {
            let unheard = voter.unheard;
            unheard.is_some_and(|unheard| unheard < self.settings.election)
        };
        let leaderless = self.wants_join() && self.kind().is_some();
        let own = usize::from(self.votes());
        GroupStatus {
            leaderless: leaderless.then(|| now.since(self.last_contact)),
            own: self.kind(),
            answers: self
                .votes
                .answered
                .iter()
                .map(|(id, answer)| (*id, *answer))
                .collect(),
            quorum: members.quorum(),
            lacking: self.lacking_voters(),
            reachable: own + voters.iter().filter(recent).count(),
            voters,
            vacancy: self.vacancy(now),
        }
    }

    fn lacking_voters(&self) -> usize {
        let wanted = if self.is_leader() {
            self.settings.voters
        } else {
            0
        };
        wanted.saturating_sub(self.members().voters().count())
    }

    fn vacancy(&self, now: Time) -> Option<Vacancy> {
        let Role::Leader(lead) = &self.role else {
            return None;
        };
        let silent = |id: &MemberId| {
            let peer = lead.peers.get(id);
            peer.is_some_and(|peer| peer.unheard(now) >= self.settings.election)
        };
        let mut others = self.members().voters().filter(|id| *id != self.id);
        let id = others.find(|id| silent(id) || self.leaves(now, *id))?;
        let hold = self.vacancy_hold(now, lead, id);
        Some(Vacancy { id, hold })
    }

    fn vacancy_hold(&self, now: Time, lead: &LeaderState, id: MemberId) -> Hold {
        if let Some(hold) = self.change_hold(lead) {
            return hold;
        }
        let mut learners = self.members().iter();
        let learner = learners.find(|m| m.kind == MemberKind::Learner);
        let step = learner.map(|learner| self.learner_step(now, lead, learner));
        match step {
            Some(LearnerStep::Due(_)) => Hold::Nothing,
            Some(LearnerStep::Held(hold)) => hold,
            None if !self.is_lost(now, id) && !self.leaves(now, id) => Hold::Recent,
            None => Hold::Alone,
        }
    }
}
