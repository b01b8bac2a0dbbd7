//! Reads that see every command acknowledged before they were asked.

use clem_types::Time;

use super::{Node, PendingRead, Role};
use crate::{ReadId, ReadReady, Refused, Result};

impl Node {
    /// Asks for a read; it comes out of [`ready`](Self::ready) when it may be answered.
    ///
    /// `now` must be taken after the read came in. With a lease that is at once; else a quorum is
    /// asked first. A new leader answers none before it has committed in its own term.
    pub fn read(&mut self, now: Time, id: ReadId) -> Result<()> {
        let leader = self.leader;
        let Role::Leader(lead) = &mut self.role else {
            return Err(Refused::NotLeader { leader });
        };
        if lead.transfer.is_some() {
            return Err(Refused::NotLeader { leader: None });
        }
        lead.reads.push(PendingRead { id, asked: now });
        self.release_reads(now);
        let waits = match &self.role {
            Role::Leader(lead) => !lead.reads.is_empty() && self.commit >= lead.first,
            Role::Follower | Role::PreCandidate { .. } | Role::Candidate { .. } => false,
        };
        if waits {
            self.beat(now, true);
        }
        Ok(())
    }

    /// Whether this member leads, has committed in its own term and no other can lead at `now`.
    pub fn holds_lease(&self, now: Time) -> bool {
        let Role::Leader(lead) = &self.role else {
            return false;
        };
        if lead.transfer.is_some() || self.commit < lead.first {
            return false;
        }
        self.quorum_asked(now)
            .is_some_and(|asked| now < asked + self.settings.lease)
    }

    /// Whether this member leads and a quorum has answered within the span of an election.
    ///
    /// Weaker than a lease, which runs out each time that answers are a little late: another member
    /// may already lead for as long as a message takes. Enough for work that a second leader does
    /// not harm, and for keeping what only a leader knows.
    pub fn is_active_leader(&self, now: Time) -> bool {
        let Role::Leader(lead) = &self.role else {
            return false;
        };
        let heard = self.quorum_heard(now) + self.settings.election;
        lead.transfer.is_none() && self.commit >= lead.first && now < heard
    }

    /// When the latest message that a quorum has answered was sent.
    fn quorum_asked(&self, now: Time) -> Option<Time> {
        let Role::Leader(lead) = &self.role else {
            return None;
        };
        let asked = |id| match lead.peers.get(&id) {
            Some(peer) => peer.asked,
            None => Some(now),
        };
        self.members().quorum_value(asked).flatten()
    }

    pub(super) fn release_reads(&mut self, now: Time) {
        let leased = self.holds_lease(now);
        let asked = self.quorum_asked(now);
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        if lead.reads.is_empty() || self.commit < lead.first {
            return;
        }
        let index = self.commit;
        let output = &mut self.output;
        lead.reads.retain(|read| {
            let confirmed = leased || asked >= Some(read.asked);
            if confirmed {
                output.reads.push(ReadReady { id: read.id, index });
            }
            !confirmed
        });
    }
}
