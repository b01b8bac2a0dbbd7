//! Planned stops: a voter that is about to stop is replaced first, as far as that is possible.

use std::time::Duration;

use clem_types::Time;

use super::{Node, Role};
use crate::{Departing, MemberId, MemberKind, NodeError, Result};

/// How long a member that has said that it is about to stop, and no longer replies, counts as stopped;
/// longer than a process may take to end.
const DEPARTURE_KEPT: Duration = Duration::from_secs(10);

/// What a member that is about to stop should do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Departure {
    /// Stop: the group doesn't need it, or waiting would not help.
    Go,
    /// Wait: a replacement is on its way, or the others have no quorum without it.
    Wait,
}

impl Node {
    /// Notes that a member is about to stop, and returns whether it should wait.
    ///
    /// The member repeats the request until it may stop. Others replace it meanwhile as if it were
    /// lost.
    ///
    /// # Errors
    /// This member isn't the leader.
    pub fn depart(&mut self, now: Time, id: MemberId) -> Result<Departure> {
        // Noted on all members: the one that is elected next must know it.
        let departures = &mut self.departures;
        departures.retain(|_, said| now < *said + DEPARTURE_KEPT);
        departures.insert(id, now);
        let leader = self.leader;
        if !self.is_leader() {
            return Err(NodeError::NotLeader { leader });
        }
        Ok(self.may_stop(now, id))
    }

    fn may_stop(&mut self, now: Time, id: MemberId) -> Departure {
        let members = self.members();
        if !members.is_voter(id) {
            return Departure::Go;
        }
        let wanted = self.settings.voters;
        let is_replaced = wanted > 0 && members.voters().count() > wanted;
        if is_replaced || self.has_spare(now) {
            self.reconcile_members(now);
            return Departure::Wait;
        }
        let staying = |other: &MemberId| *other != id && !self.is_stopping(now, *other);
        let voters = || members.voters().filter(staying);
        let running = voters().filter(|other| self.replies(now, *other)).count();
        let whole_group = voters().next().is_none();
        // A leader that stops in a transfer leaves the group without one for an election timeout.
        let leads_on = id == self.id && self.transfers();
        if whole_group || running >= members.quorum() && !leads_on {
            return Departure::Go;
        }
        Departure::Wait
    }

    fn transfers(&self) -> bool {
        match &self.role {
            Role::Leader(lead) => lead.transfer.is_some(),
            Role::Follower | Role::PreCandidate { .. } | Role::Candidate { .. } => false,
        }
    }

    /// Returns the members that said that they are about to stop, for other members.
    pub(super) fn departing(&self, now: Time) -> Vec<Departing> {
        let said = self.departures.iter();
        said.map(|(id, said)| Departing {
            id: *id,
            ms: u64::try_from(now.since(*said).as_millis()).unwrap_or(u64::MAX),
        })
        .collect()
    }

    /// Notes what the leader knows of members that are about to stop.
    pub(super) fn note_departing(&mut self, now: Time, departing: &[Departing]) {
        let said = departing.iter().filter_map(|departing| {
            let said = now
                .as_micros()
                .checked_sub(departing.ms.checked_mul(1000)?)?;
            Some((departing.id, Time::from_micros(said)))
        });
        // What a member has just said to this one, the leader may not have heard.
        let election = self.settings.election;
        self.departures.retain(|_, said| now < *said + election);
        self.departures.extend(said);
    }

    /// Returns whether a member has said within an election timeout that it is about to stop.
    fn is_stopping(&self, now: Time, id: MemberId) -> bool {
        let said = self.departures.get(&id);
        said.is_some_and(|said| now < *said + self.settings.election)
    }

    /// Returns whether a member is about to stop, or has stopped after it said so.
    pub(super) fn departs(&self, now: Time, id: MemberId) -> bool {
        // One that still replies but no longer repeats it has been started again.
        let said = self.departures.get(&id);
        let said = said.is_some_and(|said| now < *said + DEPARTURE_KEPT);
        said && (self.is_stopping(now, id) || !self.replies(now, id))
    }

    /// Returns whether a member is to be replaced although it may be alive.
    pub(super) fn leaves(&self, now: Time, id: MemberId) -> bool {
        self.is_retired(id) || self.departs(now, id)
    }

    /// Returns whether a member is being retired.
    pub(super) fn is_retired(&self, id: MemberId) -> bool {
        let member = self.members().get(id);
        member.is_some_and(|member| self.leaving.contains(&member.address))
    }

    /// Returns whether a member has replied to this leader within an election timeout.
    pub(super) fn replies(&self, now: Time, id: MemberId) -> bool {
        if id == self.id {
            return true;
        }
        let Role::Leader(lead) = &self.role else {
            return false;
        };
        let peer = lead.peers.get(&id);
        peer.is_some_and(|peer| peer.acked.is_some() && now < peer.heard + self.settings.election)
    }

    /// Returns whether a process that isn't a voter is ready to replace one.
    fn has_spare(&self, now: Time) -> bool {
        let members = self.members();
        let mut learners = members.iter().filter(|m| m.kind == MemberKind::Learner);
        let mut joins = self.joins.iter();
        let wants_spares = self.settings.voters > 0;
        wants_spares
            && (learners
                .any(|learner| self.may_vote(&learner.address) && !self.is_lost(now, learner.id))
                || joins.any(|(id, join)| {
                    members.get(*id).is_none()
                        && self.may_vote(&join.address)
                        && now < join.asked + super::change::JOIN_KEPT
                }))
    }
}
