//! Linearizable reads: they see every command that was acknowledged before the read was received.

use clem_types::Time;

use super::{Node, PendingRead, Role};
use crate::{NodeError, ReadId, ReadReady, Result};

impl Node {
    /// Requests a read; [`ready`](Self::ready) returns it when it is confirmed.
    ///
    /// `now` must be read after the request was received. With a lease the read is confirmed at
    /// once, without one after a round of heartbeats to a quorum. A new leader confirms reads only
    /// after it has committed an entry of its own term.
    ///
    /// # Errors
    /// This member isn't the leader, or transfers its leadership.
    pub fn read(&mut self, now: Time, id: ReadId) -> Result<()> {
        let leader = self.leader;
        let Role::Leader(lead) = &mut self.role else {
            return Err(NodeError::NotLeader { leader });
        };
        if lead.transfer.is_some() {
            return Err(NodeError::NotLeader { leader: None });
        }
        lead.reads.push(PendingRead { id, asked: now });
        self.release_reads(now);
        let waits = match &self.role {
            Role::Leader(lead) => !lead.reads.is_empty() && self.commit >= lead.term_start,
            Role::Follower | Role::PreCandidate { .. } | Role::Candidate { .. } => false,
        };
        if waits {
            self.send_heartbeats(now, true);
        }
        Ok(())
    }

    /// Returns whether this member holds the leader lease: it has committed an entry of its own
    /// term, and no other member can be the leader at `now`.
    pub fn holds_lease(&self, now: Time) -> bool {
        let Role::Leader(lead) = &self.role else {
            return false;
        };
        if lead.transfer.is_some() || self.commit < lead.term_start {
            return false;
        }
        self.quorum_acked(now)
            .is_some_and(|acked| now < acked + self.settings.lease)
    }

    /// Returns whether this member is the leader and heard from a quorum within an election
    /// timeout.
    ///
    /// This is weaker than the lease, which lapses whenever replies are slightly late: another
    /// member may already be the leader for as long as a message takes. It is sufficient for work
    /// that two leaders may do at once, and for keeping state that only a leader has.
    pub fn is_active_leader(&self, now: Time) -> bool {
        let Role::Leader(lead) = &self.role else {
            return false;
        };
        let heard = self.quorum_heard(now) + self.settings.election;
        lead.transfer.is_none() && self.commit >= lead.term_start && now < heard
    }

    /// Returns the latest send time for which a quorum has answered a message.
    fn quorum_acked(&self, now: Time) -> Option<Time> {
        let Role::Leader(lead) = &self.role else {
            return None;
        };
        let acked = |id| match lead.peers.get(&id) {
            Some(peer) => peer.acked,
            None => Some(now),
        };
        self.members().quorum_value(acked).flatten()
    }

    /// Confirms the reads that the lease or a quorum's replies cover.
    pub(super) fn release_reads(&mut self, now: Time) {
        let leased = self.holds_lease(now);
        let acked = self.quorum_acked(now);
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        if lead.reads.is_empty() || self.commit < lead.term_start {
            return;
        }
        let index = self.commit;
        let output = &mut self.output;
        lead.reads.retain(|read| {
            let confirmed = leased || acked >= Some(read.asked);
            if confirmed {
                output.reads.push(ReadReady { id: read.id, index });
            }
            !confirmed
        });
    }
}
