//! Replication on the leader.

use std::time::Duration;

use bytes::Bytes;
use clem_types::Time;

use super::{LeaderState, Node, Role, Successor, Transfer};
use crate::{
    Append, Body, LogIndex, MemberId, NodeError, Payload, Result, Settings, Silence, Term,
    memlog::MemLog,
    progress::{Flow, Progress},
};

/// How many times per heartbeat interval the successor is sent the request to campaign. If a single
/// one were lost, the cluster would have no leader until an election timeout.
const CAMPAIGNS_PER_HEARTBEAT: u32 = 8;
/// How many heartbeat intervals without a tick are a pause of this process.
const PAUSE_HEARTBEATS: u32 = 2;
/// How many heartbeat intervals a leader waits for replies after a pause.
const RESUME_HEARTBEATS: u32 = 2;

impl Node {
    /// Appends a command to the log; [`ready`](Self::ready) returns it once it is committed.
    ///
    /// # Errors
    /// This member isn't the leader or is transferring its leadership, the disk is nearly full, or
    /// too many bytes are uncommitted.
    pub fn propose(&mut self, _now: Time, data: Bytes) -> Result<LogIndex> {
        let leader = self.leader;
        let Role::Leader(lead) = &self.role else {
            return Err(NodeError::NotLeader { leader });
        };
        if lead.transfer.is_some() {
            return Err(NodeError::NotLeader { leader: None });
        }
        if self.disk_full {
            return Err(NodeError::DiskFull);
        }
        let waiting = self.log.last().0 - self.commit.0;
        if waiting > 0 && self.pending_bytes() > self.settings.pending_bytes {
            return Err(NodeError::Busy);
        }
        Ok(self.append_entry(Payload::Data(data)))
    }

    /// Estimates the bytes of uncommitted entries.
    fn pending_bytes(&self) -> usize {
        // The log also holds committed entries until compaction; their share is subtracted.
        let held = self.log.last().0 - self.log.base().0;
        let waiting = self.log.last().0 - self.commit.0;
        let share = self.log.bytes() as u128 * u128::from(waiting) / u128::from(held.max(1));
        usize::try_from(share).unwrap_or(usize::MAX)
    }

    /// Transfers leadership to `to`, or to the most up-to-date voter; used before a planned stop.
    ///
    /// Proposals and reads are rejected until the transfer is completed, or abandoned after an
    /// election timeout.
    ///
    /// # Errors
    /// This member isn't the leader, or the successor isn't another voter.
    pub fn transfer(&mut self, now: Time, to: Option<MemberId>) -> Result<()> {
        // Two that leave would pass it back and forth, and neither replace a lost voter.
        let both = |id: &MemberId| self.leaves(now, *id) && self.leaves(now, self.id);
        let best = || self.best_successor(now).filter(|id| !both(id));
        let successor = to.or_else(best);
        let voter = successor.filter(|id| *id != self.id && self.members().is_voter(*id));
        let deadline = now + self.settings.election;
        let leader = self.leader;
        // Checked before the successor, which only the leader can judge: the caller should ask it
        // even if `to` is this member or not a voter that this member knows.
        let Role::Leader(lead) = &mut self.role else {
            return Err(NodeError::NotLeader { leader });
        };
        let Some(to) = voter else {
            return Err(NodeError::ChangeRefused);
        };
        lead.transfer = Some(Transfer { to, deadline });
        self.finish_transfer(now);
        Ok(())
    }

    /// Steps down in favour of the successor once it has the whole log.
    ///
    /// The leader steps down first, so that its lease has ended when the successor's election
    /// begins, in which voters ignore the lease.
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
        self.send_campaign(now, transfer.to);
    }

    fn send_campaign(&mut self, now: Time, id: MemberId) {
        self.send(id, Body::Campaign);
        let retry_at = now + self.settings.heartbeat / CAMPAIGNS_PER_HEARTBEAT;
        self.successor = Some(Successor { id, retry_at });
    }

    /// Resends the request to campaign until a newer term shows that the successor's election has
    /// started.
    pub(super) fn retry_campaign(&mut self, now: Time) {
        let Some(successor) = self.successor else {
            return;
        };
        if successor.retry_at <= now {
            self.send_campaign(now, successor.id);
        }
    }

    pub(super) fn tick_leader(&mut self, now: Time) {
        let election = self.settings.election;
        self.note_pause(now);
        if self.quorum_heard(now) + election <= now && !self.has_resumed(now) {
            self.become_follower(now, self.term, None);
            return;
        }
        let is_vacant = self.vacancies(now) > 0;
        let mut may_transfer = false;
        if let Role::Leader(lead) = &mut self.role {
            if is_vacant {
                lead.vacant = now;
            }
            if lead.transfer.is_some_and(|t| t.deadline <= now) {
                lead.transfer = None;
                lead.transfer_after = now + election;
            }
            may_transfer = lead.transfer.is_none() && lead.transfer_after <= now;
        }
        self.reconcile_members(now);
        if may_transfer && self.is_retired(self.id) {
            // Without another voter this fails; the next tick tries again.
            let _ = self.transfer(now, None);
        }
        self.send_heartbeats(now, false);
    }

    /// Notes that this leader has stood still, if its timers have not run for long: it can't have heard from
    /// anybody. It asks the others before it steps down, as an election would take longer; if another leader
    /// was elected, the answers say so.
    fn note_pause(&mut self, now: Time) {
        let heard = self.quorum_heard(now);
        let pause = self.settings.heartbeat * PAUSE_HEARTBEATS;
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let gap = now.since(std::mem::replace(&mut lead.ticked, now));
        if gap < pause {
            return;
        }
        let paused = gap.saturating_sub(self.settings.heartbeat);
        for peer in lead.peers.values_mut() {
            // A reply may have been handled since, and a process that is always late still notices silence.
            peer.paused = paused.min(now.since(peer.heard));
        }
        // Only once without a reply in between, or a slow process would never step down.
        if lead.resumed.is_none_or(|resumed| resumed < heard) {
            lead.resumed = Some(now);
        }
    }

    /// Returns whether this leader has stood still until a moment ago, so that replies may be on their way.
    fn has_resumed(&self, now: Time) -> bool {
        let Role::Leader(lead) = &self.role else {
            return false;
        };
        let wait = self.settings.heartbeat * RESUME_HEARTBEATS;
        lead.resumed.is_some_and(|resumed| now < resumed + wait)
    }

    /// Returns the latest time since which a quorum has replied.
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

    /// Sends a heartbeat to each member for which one is due, or to all.
    pub(super) fn send_heartbeats(&mut self, now: Time, all: bool) {
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
        self.send_appends(now, bodies);
    }

    /// Sends appends, each with the members that are silent.
    fn send_appends(&mut self, now: Time, bodies: Vec<(MemberId, Append)>) {
        let Role::Leader(lead) = &self.role else {
            return;
        };
        let silences = lead.silences(now, self.settings.election);
        let silent: Vec<Silence> = silences
            .map(|(id, span)| Silence {
                id,
                ms: u64::try_from(span.as_millis()).unwrap_or(u64::MAX),
            })
            .collect();
        let departing = self.departing(now);
        for (id, mut body) in bodies {
            body.silent.clone_from(&silent);
            body.departing.clone_from(&departing);
            self.send(id, Body::Append(body));
        }
    }

    /// Sends each member the entries that it lacks, as far as its flow control allows.
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
        self.send_appends(now, bodies);
    }

    /// Reports that a member has received the snapshot at `index`, or with `None` that sending
    /// failed.
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

    /// Notes whether the driver is sending messages with entries to a member. Those without entries may
    /// overtake them.
    pub fn set_sending(&mut self, id: MemberId, sending: bool) {
        if let Some(peer) = self.peer_mut(id) {
            peer.sending = sending;
        }
    }

    /// Reports that messages with entries to a member may not have arrived, so that they are sent again.
    pub fn entries_lost(&mut self, id: MemberId) {
        let Some(peer) = self.peer_mut(id) else {
            return;
        };
        peer.sending = false;
        if peer.flow == Flow::Stream && !peer.inflight.is_empty() {
            peer.probe_from(peer.matched.next());
        }
    }

    fn peer_mut(&mut self, id: MemberId) -> Option<&mut Progress> {
        match &mut self.role {
            Role::Leader(lead) => lead.peers.get_mut(&id),
            Role::Follower | Role::PreCandidate { .. } | Role::Candidate { .. } => None,
        }
    }

    /// Records a reply and returns the sender's progress; `None` if the reply is of another term or
    /// this member isn't the leader.
    fn record_reply(
        &mut self,
        now: Time,
        from: MemberId,
        term: Term,
        sent: Time,
    ) -> Option<&mut Progress> {
        if term > self.term {
            self.become_follower(now, term, None);
            return None;
        }
        if term < self.term {
            return None;
        }
        let peer = self.peer_mut(from)?;
        peer.heard = now;
        peer.carried = Duration::ZERO;
        peer.paused = Duration::ZERO;
        // An unsolicited reply has no send time, and must not extend the lease.
        if sent > Time::ZERO {
            peer.acked = peer.acked.max(Some(sent));
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
        let Some(peer) = self.record_reply(now, from, term, Time::from_micros(sent)) else {
            return;
        };
        let advanced = peer.advance(matched);
        match peer.flow {
            Flow::Probe => peer.flow = Flow::Stream,
            Flow::Snapshot if advanced => peer.flow = Flow::Stream,
            Flow::Snapshot | Flow::Stream => {}
        }
        if advanced {
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
        let Some(peer) = self.record_reply(now, from, term, sent) else {
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

    /// Commits what a quorum has synced. Entries of older terms are committed only together with a
    /// later one of the current term.
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
            // This member is removed; before it steps down, the others must learn of the commit.
            self.send_heartbeats(now, true);
            self.become_follower(now, self.term, None);
            return;
        }
        self.promote_learner(now);
    }
}

impl LeaderState {
    /// The members that have been silent for `least` or longer, and how long.
    pub(super) fn silences(
        &self,
        now: Time,
        least: Duration,
    ) -> impl Iterator<Item = (MemberId, Duration)> {
        let spans = self
            .peers
            .iter()
            .map(move |(id, peer)| (*id, peer.silence(now)));
        spans.filter(move |(_, span)| *span >= least)
    }

    /// Tracks the progress of exactly the members in `ids`.
    pub(super) fn sync_peers(&mut self, ids: &[MemberId], next: LogIndex, now: Time) {
        self.peers.retain(|id, _| ids.contains(id));
        for id in ids {
            self.peers
                .entry(*id)
                .or_insert_with(|| Progress::new(next, now, Duration::ZERO));
        }
    }
}

/// Builds an append without entries. What it follows depends on the mode of `peer`.
fn heartbeat_for(peer: &mut Progress, log: &MemLog, commit: LogIndex, now: Time) -> Append {
    peer.sent = Some(now);
    let prev = match peer.flow {
        // Every log matches at index 0.
        Flow::Snapshot => LogIndex::default(),
        // It may overtake entries that are on their way, which would look lost.
        Flow::Stream if peer.sending => peer.matched,
        Flow::Probe | Flow::Stream => peer.next.prev(),
    };
    Append {
        prev,
        prev_term: log.term_at(prev).unwrap_or_default(),
        entries: Vec::new(),
        commit,
        sent: now.as_micros(),
        silent: Vec::new(),
        departing: Vec::new(),
    }
}

/// Sends entries until all are sent or the limit of unanswered messages is reached.
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
            silent: Vec::new(),
            departing: Vec::new(),
        });
    }
}
