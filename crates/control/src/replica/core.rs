//! The core of a replica: the consensus node, the log writer and the state machine.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use bytes::Bytes;
use clem_log::{
    Change, ClusterId, Departure, Entry, LogIndex, MemberId, MemberKind, Members, Message, Node,
    NodeError, Payload, ReadId, Ready, Settings, SnapshotMetadata, Term, WriteNumber, disk::Writer,
};
use clem_state::Command;
use clem_store::RedbStore;
use clem_types::{Epoch, Time};
use clem_wire::codec;
use tokio::sync::oneshot;

use super::{
    ProposalResult,
    brief::GroupState,
    calls::{DepartReply, Membership},
    discovery::NamedLeader,
    disk_work::DiskWork,
    fatal,
    outbox::{Lane, Outbox},
    participation::Absence,
    room::RoomState,
};

/// Size of the in-memory log above which the store is synced and the log compacted, in bytes.
const COMPACT_BYTES: usize = 8 * 1024 * 1024;
/// Number of log entries above which the store is synced and the log compacted.
const COMPACT_ENTRIES: u64 = 20_000;
/// How much of the log compaction keeps for members that lag slightly, in bytes.
const KEEP_BYTES: usize = 2 * 1024 * 1024;
/// After how many election timeouts a log write or store sync counts as hanging.
const STALL_ELECTIONS: u32 = 3;

/// A running member of a group.
pub(super) struct Core {
    pub(super) cluster: ClusterId,
    node: Node,
    writer: Writer,
    /// Proposals of this leader that are not applied yet.
    proposals: BTreeMap<LogIndex, Proposal>,
    /// Reads whose leadership check is pending.
    reads: BTreeMap<ReadId, oneshot::Sender<bool>>,
    confirmed_reads: Vec<ConfirmedRead>,
    next_read: ReadId,
    /// Committed entries that are not applied yet.
    backlog: VecDeque<Entry>,
    /// Log writes and store syncs under way. Entries are not applied during a sync, as that would block.
    disk: DiskWork,
    /// How long the disk may hang until this member counts as absent and passes its leadership on.
    stall_bound: Duration,
    /// The term in which this member leads, and since when it has or has last tried to pass leadership on.
    leading: Option<(Term, Time)>,
    /// By how many committed entries this member may lag with applying them.
    lag_bound: u64,
    outbox: BTreeMap<MemberId, Outbox>,
    /// Members that need a snapshot of the state.
    snapshot_requests: Vec<MemberId>,
    /// When the timers of the node ran last.
    ticked: Time,
    room: RoomState,
    /// The term in which this member, as leader, has applied everything committed before that term.
    caught_up: Option<Term>,
    /// The addresses of the voters as of the last applied membership change.
    applied_voters: Option<Vec<SocketAddr>>,
}

/// A proposal that waits to be committed and applied.
struct Proposal {
    term: Term,
    reply: oneshot::Sender<ProposalResult>,
}

/// A read that waits until the state machine has applied `index`.
struct ConfirmedRead {
    index: LogIndex,
    reply: oneshot::Sender<bool>,
}

impl Core {
    pub(super) fn new(
        cluster: ClusterId,
        node: Node,
        writer: Writer,
        reserve_bytes: u64,
        settings: &Settings,
    ) -> Self {
        Self {
            cluster,
            node,
            writer,
            proposals: BTreeMap::new(),
            reads: BTreeMap::new(),
            confirmed_reads: Vec::new(),
            next_read: ReadId(0),
            backlog: VecDeque::new(),
            disk: DiskWork::default(),
            leading: None,
            stall_bound: settings.election * STALL_ELECTIONS,
            lag_bound: settings.learner_lag,
            outbox: BTreeMap::new(),
            snapshot_requests: Vec::new(),
            ticked: Time::ZERO,
            room: RoomState::new(reserve_bytes),
            caught_up: None,
            applied_voters: None,
        }
    }

    pub(super) fn node(&self) -> &Node {
        &self.node
    }

    /// The leader that this member hears from, or itself if it leads.
    pub(super) fn leader(&self) -> Option<NamedLeader> {
        let leader = self.node.members().get(self.node.leader()?)?;
        Some(NamedLeader {
            address: leader.address.parse().ok()?,
            term: self.node.term(),
        })
    }

    /// Notes a committed membership that another process of the group knows.
    pub(super) fn note_membership(&mut self, membership: &Membership) {
        let Membership { at, members } = membership;
        if !self.node.note_membership(*at, members) {
            return;
        }
        log::warn!(
            at = at.index.0, term = at.term.0, known = self.node.members_at().index.0, last = self.node.last().0;
            "removed from the group while away"
        );
    }

    /// The term in which this member leads under a lease that is valid at `now`, once it has
    /// applied everything committed before that term.
    pub(super) fn leased_epoch(&self, now: Time) -> Option<Epoch> {
        let term = self.node.term();
        let leads = self.node.holds_lease(now) && self.caught_up == Some(term);
        leads.then_some(Epoch(term.0))
    }

    /// Like [`leased_epoch`](Self::leased_epoch), but also while the lease has briefly expired.
    pub(super) fn leading_epoch(&self, now: Time) -> Option<Epoch> {
        let term = self.node.term();
        let leads = self.node.is_active_leader(now) && self.caught_up == Some(term);
        leads.then_some(Epoch(term.0))
    }

    /// Records that the state machine has applied everything committed before this member led.
    ///
    /// The lease alone does not imply that: committed entries are not applied during a store sync,
    /// nor between a message and the next call of [`process`](Self::process).
    fn update_caught_up(&mut self, now: Time, store: &RedbStore) {
        let applied = LogIndex(store.applied());
        if self.node.holds_lease(now) && applied >= self.node.commit() {
            self.caught_up = Some(self.node.term());
        }
    }

    /// The addresses of the voters, ignoring uncommitted membership changes.
    pub(super) fn voters(&self) -> Vec<SocketAddr> {
        let known = self.applied_voters.clone();
        known.unwrap_or_else(|| voters(self.node.members()))
    }

    /// When the timers of the node ran last.
    pub(super) fn ticked(&self) -> Time {
        self.ticked
    }

    /// What this member knows of its group, and how it is; its store has applied the log up to
    /// `applied`.
    pub(super) fn group_state(&self, now: Time, applied: LogIndex) -> GroupState {
        let some_wait = |wait: Duration| (!wait.is_zero()).then_some(wait);
        GroupState {
            status: self.node.status(now),
            term: self.node.term(),
            last: self.node.last(),
            commit: self.node.commit(),
            applied,
            timer_wait: (self.ticked > Time::ZERO).then(|| now.since(self.ticked)),
            disk_wait: some_wait(self.disk.write_age(now)),
            store_wait: some_wait(self.disk.sync_age(now)),
            short_bytes: self.room.is_short().then(|| self.room.free_bytes()),
        }
    }

    /// The log writes and the store sync that are not done.
    pub(super) fn disk(&self) -> &DiskWork {
        &self.disk
    }

    /// Returns why this member, whose store has applied the log up to `applied`, takes no part in its
    /// group; `None` if it does.
    pub(super) fn absence(&self, now: Time, applied: LogIndex) -> Option<Absence> {
        let node = &self.node;
        if node.kind().is_none() {
            return Some(Absence::NoMember);
        }
        if node.leader().is_none() {
            return Some(Absence::NoLeader);
        }
        if self.disk.stall(now) >= self.stall_bound {
            return Some(Absence::Disk);
        }
        if node.commit().0.saturating_sub(applied.0) > self.lag_bound {
            return Some(Absence::Behind);
        }
        let idle = node.is_leader() && self.leading_epoch(now).is_none();
        idle.then_some(Absence::NotServing)
    }

    /// Free disk space as last read, in bytes.
    pub(super) fn free_bytes(&self) -> u64 {
        self.room.free_bytes()
    }

    // ------------------------------------------------------------------------
    // Inputs.

    /// Appends a command to the log; the receiver gets the result. `is_new` is set for a command that
    /// only adds work.
    pub(super) fn propose(
        &mut self,
        now: Time,
        data: Bytes,
        is_new: bool,
    ) -> Result<oneshot::Receiver<ProposalResult>, NodeError> {
        // Others may have room: only the leader refuses for lack of it.
        if is_new && self.room.is_short() && self.node.is_leader() {
            return Err(NodeError::DiskFull);
        }
        let index = self.node.propose(now, data)?;
        metrics::counter!("clem_control_proposals").increment(1);
        let (reply, receiver) = oneshot::channel();
        let term = self.node.term();
        self.proposals.insert(index, Proposal { term, reply });
        Ok(receiver)
    }

    /// Starts a linearizable read; the receiver gets whether the state may be read.
    pub(super) fn read(&mut self, now: Time) -> Result<oneshot::Receiver<bool>, NodeError> {
        let id = self.next_read;
        self.node.read(now, id)?;
        self.next_read = ReadId(id.0 + 1);
        let (reply, receiver) = oneshot::channel();
        self.reads.insert(id, reply);
        Ok(receiver)
    }

    pub(super) fn step(&mut self, now: Time, message: Message) {
        self.node.step(now, message);
    }

    pub(super) fn tick(&mut self, now: Time) {
        self.ticked = now;
        let had_leader = self.node.leader().is_some();
        self.node.tick(now);
        if had_leader && self.node.leader().is_none() {
            metrics::counter!("clem_control_leader_losses").increment(1);
        }
        self.pass_on_if_stalled(now);
    }

    /// Passes leadership on while the disk hangs: the others commit what this member proposes, and hear its
    /// heartbeats, but it applies nothing and answers nobody.
    ///
    /// A new leader has the whole bound, as all disks may be slow at once.
    fn pass_on_if_stalled(&mut self, now: Time) {
        if !self.node.is_leader() {
            self.leading = None;
            return;
        }
        let term = self.node.term();
        let (_, since) = match self.leading {
            Some(leading) if leading.0 == term => leading,
            Some(_) | None => *self.leading.insert((term, now)),
        };
        let stall = self.disk.stall(now);
        if stall.min(now.since(since)) < self.stall_bound {
            return;
        }
        self.leading = Some((term, now));
        let passed = self.node.transfer(now, None);
        log::warn!(
            stalled_ms = stall.as_millis() as u64, term = term.0, passed = passed.is_ok();
            "disk hangs; passing leadership on"
        );
    }

    pub(super) fn join(&mut self, now: Time, id: MemberId, address: &str) -> Result<(), NodeError> {
        self.node.join(now, id, address)
    }

    /// Notes that a member is about to stop, and returns whether it may.
    pub(super) fn depart(&mut self, now: Time, id: MemberId) -> DepartReply {
        match self.node.depart(now, id) {
            Ok(Departure::Go) => DepartReply::Go,
            Ok(Departure::Wait) => DepartReply::Wait,
            Err(_) => DepartReply::NotLeader,
        }
    }

    pub(super) fn set_leaving(&mut self, addresses: &[String]) {
        self.node.set_leaving(addresses);
    }

    pub(super) fn change(&mut self, now: Time, change: &Change) -> Result<LogIndex, NodeError> {
        self.node.change(now, change)
    }

    pub(super) fn transfer_leadership(
        &mut self,
        now: Time,
        to: Option<MemberId>,
    ) -> Result<(), NodeError> {
        self.node.transfer(now, to)
    }

    pub(super) fn snapshot_sent(&mut self, id: MemberId, index: Option<LogIndex>) {
        self.node.snapshot_sent(id, index);
    }

    /// Whether the node's log has all entries of a snapshot.
    pub(super) fn holds(&mut self, base: &SnapshotMetadata) -> bool {
        self.node.holds(base)
    }

    /// Resets the node to a snapshot that has replaced the store; returns whether the node accepted
    /// it.
    pub(super) fn install(&mut self, now: Time, base: SnapshotMetadata) -> bool {
        self.backlog.clear();
        let copied = voters(&base.members);
        let installed = self.node.install(now, base);
        if installed {
            self.applied_voters = Some(copied);
        }
        installed
    }

    /// Handles the completion of a log write: everything up to it is synced.
    pub(super) fn log_synced(&mut self, now: Time, number: WriteNumber, free_bytes: u64) {
        self.disk.write_ended(number);
        self.note_room(now, free_bytes);
        self.node.synced(now, number);
    }

    /// Notes how much room the disk has.
    pub(super) fn note_room(&mut self, now: Time, free_bytes: u64) {
        self.room.note(now, free_bytes, self.node.is_leader());
        self.node
            .set_disk_full(free_bytes < self.room.floor_bytes());
    }

    // ------------------------------------------------------------------------
    // Processing.

    /// Submits log writes, queues outgoing messages and applies committed entries.
    pub(super) fn process(&mut self, now: Time, store: &mut RedbStore) {
        loop {
            let ready = self.node.ready(now);
            self.handle_ready(now, ready);
            if !self.node.has_more() {
                break;
            }
        }
        if !self.disk.is_syncing() {
            self.apply(store);
        }
        self.answer_reads(store);
        self.update_caught_up(now, store);
        if !self.node.is_leader() {
            self.fail_proposals();
        }
    }

    fn handle_ready(&mut self, now: Time, ready: Ready) {
        if let Some(write) = ready.write {
            self.disk.write_begun(now, write.number);
            self.writer.write(write);
        }
        for message in ready.messages {
            let to = message.to;
            let lane = self.outbox.entry(to).or_default().push(message);
            if lane == Lane::Entries {
                self.node.set_sending(to, true);
            }
        }
        self.backlog.extend(ready.committed);
        for read in ready.reads {
            let Some(reply) = self.reads.remove(&read.id) else {
                continue;
            };
            self.confirmed_reads.push(ConfirmedRead {
                index: read.index,
                reply,
            });
        }
        for id in ready.failed_reads {
            let Some(reply) = self.reads.remove(&id) else {
                continue;
            };
            let _ = reply.send(false);
        }
        self.snapshot_requests.extend(ready.snapshots);
        for removal in ready.removals {
            log::info!(
                member:% = removal.id, votes = removal.votes, leaves = removal.leaves,
                silent_ms = removal.silence.as_millis() as u64, remaining = removal.remaining,
                replying = removal.replying;
                "removing member"
            );
        }
    }

    fn apply(&mut self, store: &mut RedbStore) {
        let Some(last) = self.backlog.back().map(|entry| entry.index) else {
            return;
        };
        for entry in std::mem::take(&mut self.backlog) {
            self.apply_entry(store, &entry);
        }
        if let Err(error) = store.commit(last.0) {
            fatal::exit("failed to write the store", &error);
        }
    }

    fn apply_entry(&mut self, store: &mut RedbStore, entry: &Entry) {
        let proposal = self.proposals.remove(&entry.index);
        let data = match &entry.payload {
            Payload::Data(data) => data,
            Payload::Members(members) => {
                self.applied_voters = Some(voters(members));
                log_members(members, entry.index);
                return;
            }
            Payload::Noop => return,
        };
        if entry.index.0 <= store.applied() {
            return;
        }
        let command: Command = match codec::decode(data) {
            Ok(command) => command,
            Err(error) => fatal::exit("failed to decode a log entry", &error),
        };
        let outcome = match clem_state::apply(store, entry.index.0, &command) {
            Ok(outcome) => outcome,
            Err(error) => fatal::exit("failed to apply a log entry", &error),
        };
        let Some(proposal) = proposal else { return };
        let proposed = if proposal.term == entry.term {
            ProposalResult::Done(outcome)
        } else {
            ProposalResult::Unknown
        };
        let _ = proposal.reply.send(proposed);
    }

    fn answer_reads(&mut self, store: &RedbStore) {
        let applied = LogIndex(store.applied());
        for read in std::mem::take(&mut self.confirmed_reads) {
            if read.index > applied {
                self.confirmed_reads.push(read);
                continue;
            }
            let _ = read.reply.send(true);
        }
    }

    /// Answers all proposals with `Unknown` after losing leadership: another leader may still
    /// commit them.
    fn fail_proposals(&mut self) {
        for (_, proposal) in std::mem::take(&mut self.proposals) {
            metrics::counter!("clem_control_proposals_lost").increment(1);
            let _ = proposal.reply.send(ProposalResult::Unknown);
        }
    }

    // ------------------------------------------------------------------------
    // Outputs.

    /// Members with queued messages in a lane.
    pub(super) fn pending_members(&self, lane: Lane) -> Vec<MemberId> {
        let filled = self
            .outbox
            .iter()
            .filter(|(_, queue)| !queue.is_empty(lane));
        filled.map(|(id, _)| *id).collect()
    }

    /// Takes queued messages for a member: at least one if there is any, and about `bytes` in
    /// total.
    pub(super) fn take_messages(&mut self, to: MemberId, lane: Lane, bytes: usize) -> Vec<Message> {
        let queue = self.outbox.get_mut(&to);
        queue.map_or_else(Vec::new, |queue| queue.take(lane, bytes))
    }

    /// Notes that taken entries have been sent to a member, or that they may be lost.
    pub(super) fn entries_sent(&mut self, to: MemberId, arrived: bool) {
        let Some(queue) = self.outbox.get_mut(&to) else {
            return;
        };
        if !arrived {
            queue.drop_entries();
            self.node.entries_lost(to);
        } else if queue.is_empty(Lane::Entries) {
            self.node.set_sending(to, false);
        }
    }

    /// Takes the members that need a snapshot of the state.
    pub(super) fn take_snapshot_requests(&mut self) -> Vec<MemberId> {
        std::mem::take(&mut self.snapshot_requests)
    }

    // ------------------------------------------------------------------------
    // Log compaction.

    /// Whether the store should be synced, so that the log can be compacted. `due` is set when the
    /// last sync was too long ago.
    pub(super) fn needs_sync(&self, due: bool) -> bool {
        let entries = self.node.last().0 - self.node.base().0;
        let long = self.node.log_bytes() > COMPACT_BYTES || entries > COMPACT_ENTRIES;
        !self.disk.is_syncing() && (long || due)
    }

    pub(super) fn begin_sync(&mut self, now: Time) {
        self.disk.sync_begun(now);
    }

    /// Compacts the log after the store was synced up to `synced`. The entries just before that are
    /// kept for members that lag slightly.
    pub(super) fn end_sync(&mut self, synced: LogIndex) {
        self.disk.sync_ended();
        let held = self.node.last().0 - self.node.base().0;
        let average = self.node.log_bytes() / usize::try_from(held.max(1)).unwrap_or(1);
        let keep = (KEEP_BYTES / average.max(1)) as u64;
        let keep = keep.min(COMPACT_ENTRIES / 4);
        let up_to = LogIndex(synced.0.saturating_sub(keep));
        if let Some(base) = self.node.compact(up_to) {
            self.writer.compact(base);
        }
    }
}

/// The addresses of the voters.
pub(super) fn voters(members: &Members) -> Vec<SocketAddr> {
    let voters = members.iter().filter(|m| m.kind == MemberKind::Voter);
    voters.filter_map(|m| m.address.parse().ok()).collect()
}

/// Logs the members of the group as of log entry `index`.
pub(super) fn log_members(members: &Members, index: LogIndex) {
    let mut voters = Vec::new();
    let mut learners = Vec::new();
    for member in members.iter() {
        let list = match member.kind {
            MemberKind::Voter => &mut voters,
            MemberKind::Learner => &mut learners,
        };
        list.push(format!("{}@{}", member.id, member.address));
    }
    log::info!(
        index = index.0, voters = voters.join(" "), learners = learners.join(" ");
        "group members"
    );
}
