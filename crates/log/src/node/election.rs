//! Elections: pre-vote, vote and leadership transfer.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use clem_types::Time;

use super::{LeaderState, Node, Role, VoteAnswer};
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

    /// Starts a pre-vote, so that a member without a quorum never increases its term.
    pub(super) fn start_pre_vote(&mut self, now: Time) {
        self.leader = None;
        self.reset_retry_deadline(now);
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
        // This member's own vote counts once it is synced, see `count_own_vote`.
        self.role = Role::Candidate {
            granted: BTreeSet::new(),
        };
        let ballot = self.ballot(transfer);
        for id in self.other_voters() {
            self.send(id, Body::Vote(ballot));
        }
    }

    /// Returns whether this member must not vote for others, as a leader that it heard from
    /// recently may still rely on its lease.
    fn has_recent_leader(&self, now: Time) -> bool {
        now < self.last_contact + self.settings.election
    }

    fn has_newer_log(&self, ballot: Ballot) -> bool {
        (self.log.last_term(), self.log.last()) > (ballot.term, ballot.index)
    }

    pub(super) fn on_pre_vote(&mut self, now: Time, from: MemberId, term: Term, ballot: Ballot) {
        let has_leader = self.is_leader() || self.has_recent_leader(now);
        let answer = if has_leader {
            VoteAnswer::Led
        } else if term <= self.term {
            VoteAnswer::OldTerm
        } else if self.has_newer_log(ballot) {
            VoteAnswer::OldLog
        } else {
            VoteAnswer::Granted
        };
        let granted = self.note_answer(from, answer);
        let term = if granted { term } else { self.term };
        self.send_as(from, term, Body::PreVoteReply { granted });
    }

    pub(super) fn on_pre_vote_reply(
        &mut self,
        now: Time,
        from: MemberId,
        term: Term,
        granted: bool,
    ) {
        self.note_received(from, granted);
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
            self.note_answer(from, VoteAnswer::OldTerm);
            self.send(from, Body::VoteReply { granted: false });
            return;
        }
        let has_leader = self.is_leader() || self.has_recent_leader(now);
        if has_leader && !ballot.transfer {
            self.note_answer(from, VoteAnswer::Led);
            return;
        }
        if term > self.term {
            self.become_follower(now, term, None);
        }
        let answer = if self.vote.is_some_and(|vote| vote != from) {
            VoteAnswer::Given
        } else if self.has_newer_log(ballot) {
            VoteAnswer::OldLog
        } else {
            VoteAnswer::Granted
        };
        let granted = self.note_answer(from, answer);
        if granted && self.vote.is_none() {
            self.vote = Some(from);
            self.disk.hard_changed = true;
            self.reset_deadline(now);
        }
        self.send(from, Body::VoteReply { granted });
    }

    pub(super) fn on_vote_reply(&mut self, now: Time, from: MemberId, term: Term, granted: bool) {
        self.note_received(from, granted);
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

    /// Counts this member's own vote, which is now synced.
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

    /// Returns how long a member is known to have been silent when this member becomes the leader.
    ///
    /// The time without a leader counts for voters: they ask for votes, and answer those who do.
    fn known_silence(&self, now: Time, id: MemberId) -> Duration {
        let contact = self.contacts.get(&id).copied();
        if let Some(contact) = contact.filter(|at| *at > self.last_contact) {
            return now.since(contact);
        }
        let told = self.silences.get(&id).copied().unwrap_or_default();
        if !self.members().is_voter(id) {
            return told;
        }
        told + now.since(self.last_contact)
    }

    fn become_leader(&mut self, now: Time) {
        let next = self.log.last().next();
        let mut peers = BTreeMap::new();
        for member in self.members().iter() {
            if member.id != self.id {
                let carried = self.known_silence(now, member.id);
                peers.insert(member.id, Progress::new(next, now, carried));
            }
        }
        self.leader = Some(self.id);
        self.last_contact = now;
        self.role = Role::Leader(Box::new(LeaderState {
            peers,
            term_start: next,
            transfer: None,
            transfer_after: now,
            reads: Vec::new(),
            vacant: now,
            ticked: now,
            resumed: None,
        }));
        self.append_entry(Payload::Noop);
    }

    /// Starts an election without a pre-vote, as the leader transfers its leadership to this
    /// member.
    pub(super) fn on_campaign(&mut self, now: Time, from: MemberId, term: Term) {
        // After a restart, the successor may not know yet who the leader was.
        let follows = self.leader.is_none_or(|leader| leader == from);
        let waits = match self.role {
            Role::Follower | Role::PreCandidate { .. } => true,
            Role::Candidate { .. } | Role::Leader(_) => false,
        };
        if term != self.term || !follows || !waits || !self.votes() {
            return;
        }
        self.start_vote(now, true);
    }

    /// Returns the voter with the longest matching log as the target of a transfer, of those that run
    /// and don't leave if there are any; of equal ones the one heard from last.
    pub(super) fn best_successor(&self, now: Time) -> Option<MemberId> {
        let Role::Leader(lead) = &self.role else {
            return None;
        };
        let advance = |id: &MemberId| {
            let progress = lead.peers.get(id).map(|p| (p.matched, p.heard));
            (self.replies(now, *id), !self.leaves(now, *id), progress)
        };
        self.other_voters().into_iter().max_by_key(advance)
    }
}
