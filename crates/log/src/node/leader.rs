//! The leader's side of replication.

use bytes::Bytes;
use clem_types::Time;

use super::{Lead, Node, Role, Successor, Transfer};
use crate::{
    Append, Body, LogIndex, MemberId, Payload, Refused, Result, Settings, Term,
    memlog::MemLog,
    progress::{Flow, Progress},
};

/// How often a successor is told to campaign in the span of a heartbeat: a lost message must not
/// leave the group without a leader for long.
const CALLS_PER_HEARTBEAT: u32 = 8;

impl Node {
    /// Puts a command into the log; it is committed when it comes out of [`ready`](Self::ready).
    pub fn propose(&mut self, _now: Time, data: Bytes) -> Result<LogIndex> {
        let leader = self.leader;
        let Role::Leader(lead) = &self.role else {
            return Err(Refused::NotLeader { leader });
        };
        if lead.transfer.is_some() {
            return Err(Refused::NotLeader { leader: None });
        }
        if self.refuse_writes {
            return Err(Refused::DiskFull);
        }
        let waiting = self.log.last().0 - self.commit.0;
        if waiting > 0 && self.pending_bytes() > self.settings.pending_bytes {
            return Err(Refused::Busy);
        }
        Ok(self.append_entry(Payload::Data(data)))
    }

    fn pending_bytes(&self) -> usize {
        // Committed entries stay in memory until compaction, so their share is left out.
        let held = self.log.last().0 - self.log.base().0;
        let waiting = self.log.last().0 - self.commit.0;
        let share = self.log.bytes() as u128 * u128::from(waiting) / u128::from(held.max(1));
        usize::try_from(share).unwrap_or(usize::MAX)
    }

    /// Hands leadership to `to`, or to the most advanced voter; used before a planned stop.
    ///
    /// Until it is done or given up, proposals are refused.
    pub fn transfer(&mut self, now: Time, to: Option<MemberId>) -> Result<()> {
        let successor = to.or_else(|| self.best_successor());
        let voter = successor.filter(|id| *id != self.id && self.members().is_voter(*id));
        let until = now + self.settings.election;
        let leader = self.leader;
        // Said first: the leader may be able to do what this member can't judge.
        let Role::Leader(lead) = &mut self.role else {
            return Err(Refused::NotLeader { leader });
        };
        let Some(to) = voter else {
            return Err(Refused::ChangeRefused);
        };
        lead.transfer = Some(Transfer { to, until });
        self.finish_transfer(now);
        Ok(())
    }

    /// Steps down for the successor once it has the whole log.
    ///
    /// The leader gives up its place before the successor campaigns, so its lease has ended when
    /// the vote that ignores it begins.
    fn finish_transfer(&mut self, now: Time) {
        let last = self.log.last();
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let Some(transfer) = lead.transfer else {
            return;
        };
        let matched = lead.peers.get(&transfer.to).map(|p| p.matched);
        if matched != Some(last) || self.commit != last {
            return;
        }
        self.become_follower(now, self.term, None);
        self.call_successor(now, transfer.to);
    }

    fn call_successor(&mut self, now: Time, id: MemberId) {
        self.send(id, Body::Campaign);
        let again = now + self.settings.heartbeat / CALLS_PER_HEARTBEAT;
        self.successor = Some(Successor { id, again });
    }

    /// Tells the successor again, until a newer term shows that it has campaigned.
    pub(super) fn urge_successor(&mut self, now: Time) {
        let Some(successor) = self.successor else {
            return;
        };
        if successor.again <= now {
            self.call_successor(now, successor.id);
        }
    }

    pub(super) fn tick_leader(&mut self, now: Time) {
        let election = self.settings.election;
        if self.quorum_heard(now) + election <= now {
            self.become_follower(now, self.term, None);
            return;
        }
        if let Role::Leader(lead) = &mut self.role
            && lead.transfer.is_some_and(|t| t.until <= now)
        {
            lead.transfer = None;
        }
        self.replace_lost(now);
        if self.leaving.contains(&self.id) {
            // Refused while another change or transfer is under way; tried again at the next tick.
            let _ = self.transfer(now, None);
        }
        self.beat(now, false);
    }

    /// When a quorum was last heard from.
    pub(super) fn quorum_heard(&self, now: Time) -> Time {
        let Role::Leader(lead) = &self.role else {
            return Time::ZERO;
        };
        let heard = |id| match lead.peers.get(&id) {
            Some(peer) => peer.heard,
            None => now,
        };
        self.members().quorum_value(heard).unwrap_or(now)
    }

    /// Sends a heartbeat to each member that is due one, or to all.
    pub(super) fn beat(&mut self, now: Time, all: bool) {
        let heartbeat = self.settings.heartbeat;
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let mut bodies = Vec::new();
        for (id, peer) in &mut lead.peers {
            if !all && peer.sent.is_some_and(|sent| now < sent + heartbeat) {
                continue;
            }
            bodies.push((*id, heartbeat_for(peer, &self.log, self.commit, now)));
        }
        for (id, body) in bodies {
            self.send(id, Body::Append(body));
        }
    }

    /// Sends each member what it lacks, as far as its flow allows.
    pub(super) fn replicate(&mut self, now: Time) {
        let commit = self.commit;
        let settings = self.settings;
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let mut bodies = Vec::new();
        for (id, peer) in &mut lead.peers {
            if peer.next <= self.log.base() && peer.flow != Flow::Snapshot {
                peer.flow = Flow::Snapshot;
                self.output.snapshots.push(*id);
            }
            match peer.flow {
                Flow::Snapshot => {}
                Flow::Probe => {
                    if peer.sent.is_none() {
                        bodies.push((*id, heartbeat_for(peer, &self.log, commit, now)));
                    }
                }
                Flow::Stream => {
                    stream_to(peer, &self.log, (commit, now), &settings, |append| {
                        bodies.push((*id, append));
                    });
                }
            }
        }
        for (id, body) in bodies {
            self.send(id, Body::Append(body));
        }
    }

    /// Reports that a copy of the state has reached a member, or that it could not be sent.
    pub fn snapshot_sent(&mut self, id: MemberId, index: Option<LogIndex>) {
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let Some(peer) = lead.peers.get_mut(&id) else {
            return;
        };
        if peer.flow == Flow::Snapshot {
            let next = index.map_or(peer.next, LogIndex::next);
            peer.probe_from(next);
        }
    }

    fn peer_mut(&mut self, id: MemberId) -> Option<&mut Progress> {
        match &mut self.role {
            Role::Leader(lead) => lead.peers.get_mut(&id),
            Role::Follower | Role::PreCandidate { .. } | Role::Candidate { .. } => None,
        }
    }

    /// Notes an answer; none when it is of another term or this member doesn't lead.
    fn hear(&mut self, now: Time, from: MemberId, term: Term, sent: Time) -> Option<&mut Progress> {
        if term > self.term {
            self.become_follower(now, term, None);
            return None;
        }
        if term < self.term {
            return None;
        }
        let peer = self.peer_mut(from)?;
        peer.heard = now;
        if sent > Time::ZERO {
            peer.asked = peer.asked.max(Some(sent));
        }
        Some(peer)
    }

    pub(super) fn on_appended(
        &mut self,
        now: Time,
        from: MemberId,
        term: Term,
        matched: LogIndex,
        sent: u64,
    ) {
        let Some(peer) = self.hear(now, from, term, Time::from_micros(sent)) else {
            return;
        };
        let news = peer.advance(matched);
        match peer.flow {
            Flow::Probe => peer.flow = Flow::Stream,
            Flow::Snapshot if news => peer.flow = Flow::Stream,
            Flow::Snapshot | Flow::Stream => {}
        }
        if news {
            self.advance_commit(now);
            self.finish_transfer(now);
        }
        self.release_reads(now);
    }

    pub(super) fn on_rejected(
        &mut self,
        now: Time,
        from: MemberId,
        term: Term,
        (prev, hint): (LogIndex, LogIndex),
        sent: Time,
    ) {
        let Some(peer) = self.hear(now, from, term, sent) else {
            return;
        };
        let stale = prev <= peer.matched || prev >= peer.next;
        match peer.flow {
            Flow::Snapshot => {}
            Flow::Probe | Flow::Stream if stale => {}
            Flow::Probe | Flow::Stream => peer.probe_from(hint.next().min(prev)),
        }
        self.release_reads(now);
    }

    /// Commits what a quorum has synced; an older term's entries only below one of the own term.
    pub(super) fn advance_commit(&mut self, now: Time) {
        let Role::Leader(lead) = &self.role else {
            return;
        };
        let synced = self.disk.synced;
        let matched = |id| lead.peers.get(&id).map_or(synced, |p| p.matched);
        let Some(commit) = self.members().quorum_value(matched) else {
            return;
        };
        if commit <= self.commit || self.log.term_at(commit) != Some(self.term) {
            return;
        }
        self.set_commit(commit);
        self.after_commit(now);
    }

    fn after_commit(&mut self, now: Time) {
        self.release_reads(now);
        self.finish_transfer(now);
        let (at, members) = &self.configs[self.configs.len() - 1];
        if *at <= self.commit && !members.is_voter(self.id) {
            // Removed: the others learn of the commit before this member goes quiet.
            self.beat(now, true);
            self.become_follower(now, self.term, None);
        }
    }
}

impl Lead {
    /// Keeps one progress for each other member.
    pub(super) fn follow_members(&mut self, ids: &[MemberId], next: LogIndex, now: Time) {
        self.peers.retain(|id, _| ids.contains(id));
        for id in ids {
            self.peers
                .entry(*id)
                .or_insert_with(|| Progress::new(next, now));
        }
    }
}

/// A message without entries that fits the member's flow.
fn heartbeat_for(peer: &mut Progress, log: &MemLog, commit: LogIndex, now: Time) -> Append {
    peer.sent = Some(now);
    let prev = match peer.flow {
        // Any log is equal before its start.
        Flow::Snapshot => LogIndex::default(),
        Flow::Probe | Flow::Stream => peer.next.prev(),
    };
    Append {
        prev,
        prev_term: log.term_at(prev).unwrap_or_default(),
        entries: Vec::new(),
        commit,
        sent: now.as_micros(),
    }
}

fn stream_to(
    peer: &mut Progress,
    log: &MemLog,
    (commit, now): (LogIndex, Time),
    settings: &Settings,
    mut send: impl FnMut(Append),
) {
    while peer.next <= log.last() && peer.inflight.len() < settings.inflight {
        let prev = peer.next.prev();
        let entries = log.slice(peer.next, log.last(), settings.append_bytes);
        let Some(last) = entries.last() else {
            return;
        };
        peer.next = last.index.next();
        peer.inflight.push_back(last.index);
        peer.sent = Some(now);
        send(Append {
            prev,
            prev_term: log.term_at(prev).unwrap_or_default(),
            entries,
            commit,
            sent: now.as_micros(),
        });
    }
}
