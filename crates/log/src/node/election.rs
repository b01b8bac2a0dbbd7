//! Elections: pre-vote, vote, and the handing over of leadership.

use std::collections::{BTreeMap, BTreeSet};

use clem_types::Time;

use super::{Lead, Node, Role};
use crate::{Ballot, Body, MemberId, Payload, Term, progress::Progress};

impl Node {
    fn ballot(&self, transfer: bool) -> Ballot {
        Ballot {
            index: self.log.last(),
            term: self.log.last_term(),
            transfer,
        }
    }

    fn other_voters(&self) -> Vec<MemberId> {
        let voters = self.members().voters();
        voters.filter(|id| *id != self.id).collect()
    }

    /// Asks whether an election could be won; a member that is cut off thus never raises its term.
    pub(super) fn start_pre_vote(&mut self, now: Time) {
        self.leader = None;
        self.reset_retry(now);
        self.role = Role::PreCandidate {
            granted: BTreeSet::from([self.id]),
        };
        let ballot = self.ballot(false);
        let term = self.term.next();
        for id in self.other_voters() {
            self.send_as(id, term, Body::PreVote(ballot));
        }
        self.count_votes(now);
    }

    fn start_vote(&mut self, now: Time, transfer: bool) {
        self.become_follower(now, self.term.next(), None);
        self.vote = Some(self.id);
        self.reset_deadline(now);
        // The own vote counts once it is synced.
        self.role = Role::Candidate {
            granted: BTreeSet::new(),
        };
        let ballot = self.ballot(transfer);
        for id in self.other_voters() {
            self.send(id, Body::Vote(ballot));
        }
    }

    /// Whether a leader may still count on this member's promise to vote for nobody else.
    fn is_promised(&self, now: Time) -> bool {
        now < self.contact + self.settings.election
    }

    fn has_newer_log(&self, ballot: Ballot) -> bool {
        (self.log.last_term(), self.log.last()) > (ballot.term, ballot.index)
    }

    pub(super) fn on_pre_vote(&mut self, now: Time, from: MemberId, term: Term, ballot: Ballot) {
        let promised = self.is_leader() || self.is_promised(now);
        if promised || term <= self.term || self.has_newer_log(ballot) {
            self.send(from, Body::PreVoteReply { granted: false });
            return;
        }
        self.send_as(from, term, Body::PreVoteReply { granted: true });
    }

    pub(super) fn on_pre_vote_reply(
        &mut self,
        now: Time,
        from: MemberId,
        term: Term,
        granted: bool,
    ) {
        if !granted {
            if term > self.term {
                self.become_follower(now, term, None);
            }
            return;
        }
        if term != self.term.next() {
            return;
        }
        let Role::PreCandidate { granted } = &mut self.role else {
            return;
        };
        granted.insert(from);
        self.count_votes(now);
    }

    pub(super) fn on_vote(&mut self, now: Time, from: MemberId, term: Term, ballot: Ballot) {
        if term < self.term {
            self.send(from, Body::VoteReply { granted: false });
            return;
        }
        let promised = self.is_leader() || self.is_promised(now);
        if promised && !ballot.transfer {
            return;
        }
        if term > self.term {
            self.become_follower(now, term, None);
        }
        let free = self.vote.is_none_or(|vote| vote == from);
        let granted = free && !self.has_newer_log(ballot);
        if granted && self.vote.is_none() {
            self.vote = Some(from);
            self.disk.hard_changed = true;
            self.reset_deadline(now);
        }
        self.send(from, Body::VoteReply { granted });
    }

    pub(super) fn on_vote_reply(&mut self, now: Time, from: MemberId, term: Term, granted: bool) {
        if term > self.term {
            self.become_follower(now, term, None);
            return;
        }
        if term < self.term || !granted {
            return;
        }
        let Role::Candidate { granted } = &mut self.role else {
            return;
        };
        granted.insert(from);
        self.count_votes(now);
    }

    /// Counts the own vote, which is synced now.
    pub(super) fn count_own_vote(&mut self, now: Time) {
        let id = self.id;
        if let Role::Candidate { granted } = &mut self.role {
            granted.insert(id);
            self.count_votes(now);
        }
    }

    fn count_votes(&mut self, now: Time) {
        let granted = match &self.role {
            Role::PreCandidate { granted } | Role::Candidate { granted } => granted,
            Role::Follower | Role::Leader(_) => return,
        };
        let members = self.members();
        let votes = members.voters().filter(|id| granted.contains(id)).count();
        if votes < members.quorum() {
            return;
        }
        match self.role {
            Role::PreCandidate { .. } => self.start_vote(now, false),
            Role::Candidate { .. } => self.become_leader(now),
            Role::Follower | Role::Leader(_) => {}
        }
    }

    fn become_leader(&mut self, now: Time) {
        let next = self.log.last().next();
        let mut peers = BTreeMap::new();
        for member in self.members().iter() {
            if member.id != self.id {
                peers.insert(member.id, Progress::new(next, now));
            }
        }
        self.leader = Some(self.id);
        self.contact = now;
        self.role = Role::Leader(Box::new(Lead {
            peers,
            first: next,
            transfer: None,
            reads: Vec::new(),
            joins: BTreeMap::new(),
        }));
        self.append_entry(Payload::Noop);
    }

    /// Campaigns at once, as the leader has given up its place for this member.
    pub(super) fn on_campaign(&mut self, now: Time, from: MemberId, term: Term) {
        // A successor that has just restarted may not have heard yet who led.
        let follows = self.leader.is_none_or(|leader| leader == from);
        let waits = match self.role {
            Role::Follower | Role::PreCandidate { .. } => true,
            Role::Candidate { .. } | Role::Leader(_) => false,
        };
        if term != self.term || !follows || !waits || !self.members().is_voter(self.id) {
            return;
        }
        self.start_vote(now, true);
    }

    /// The most advanced voter, to hand leadership to; of several the one that was heard last, as
    /// the others may be gone.
    pub(super) fn best_successor(&self) -> Option<MemberId> {
        let Role::Leader(lead) = &self.role else {
            return None;
        };
        let advance = |id: &MemberId| lead.peers.get(id).map(|p| (p.matched, p.heard));
        self.other_voters().into_iter().max_by_key(advance)
    }
}
