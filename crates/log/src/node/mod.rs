//! A member of the cluster as a state machine: no I/O, and the time is an argument.

mod change;
mod departure;
mod election;
mod follower;
mod leader;
mod learner;
mod output;
mod read;
mod status;
mod votes;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    fmt,
    time::Duration,
};

use clem_types::Time;
pub use departure::Departure;
pub use learner::{Hold, LearnerStatus};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
pub use status::{GroupStatus, Vacancy, VoterStatus};
pub use votes::VoteAnswer;

use crate::{
    Body, Entry, HardState, LogIndex, LogPosition, MemberId, MemberKind, Members, Message, Payload,
    ReadId, ReadReady, Removal, Settings, SnapshotMetadata, Term, Write, WriteNumber,
    memlog::MemLog, progress::Progress,
};

/// The initial state of a member, as read from its disk.
#[derive(Debug, Clone)]
pub struct InitialState {
    /// The member's id.
    pub id: MemberId,
    /// The seed of its random election timeouts.
    pub seed: u64,
    /// The durable term and vote.
    pub hard: HardState,
    /// The point at which the log starts.
    pub base: SnapshotMetadata,
    /// The entries after `base`, all of them synced.
    pub entries: Vec<Entry>,
    /// The index up to which the state machine has durably applied the log.
    pub applied: LogIndex,
}

impl InitialState {
    /// Creates the state of a new, empty disk.
    pub fn new(id: MemberId, seed: u64) -> Self {
        Self {
            id,
            seed,
            hard: HardState::default(),
            base: SnapshotMetadata::default(),
            entries: Vec::new(),
            applied: LogIndex::default(),
        }
    }

    /// Returns whether the log must be reset to `copied`, the base of the last installed snapshot.
    ///
    /// That is the case after a crash between installing the snapshot and syncing the write that
    /// [`Node::install`] requests. The log then lacks the last entry of the snapshot, or has an
    /// uncommitted one at its index. The driver must reset the log on disk before starting.
    pub fn needs_reset(&self, copied: &SnapshotMetadata) -> bool {
        if copied.index <= self.base.index || self.applied < copied.index {
            return false;
        }
        let mut entries = self.entries.iter();
        !entries.any(|e| e.index == copied.index && e.term == copied.term)
    }
}

/// A member of the cluster.
///
/// The driver must follow these rules:
/// - After each round of steps it calls [`ready`](Self::ready), and again while
///   [`has_more`](Self::has_more). It queues the write for the disk, sends the messages, applies
///   the committed entries in order, and answers each read once its index is applied. It doesn't
///   wait for the disk in between; [`synced`](Self::synced) reports all writes up to a number.
/// - `now` is read from a monotonic clock after the accompanying input was received.
/// - Compaction: once the state machine is durable up to an index, the driver calls
///   [`compact`](Self::compact), and compacts the log on disk if a base is returned.
/// - A member in [`Ready::snapshots`](crate::Ready) is sent a snapshot with the
///   [`base_at`](Self::base_at) of its index. Success and failure must be reported with
///   [`snapshot_sent`](Self::snapshot_sent), or the member receives no more entries.
/// - The receiver of a snapshot makes it durable together with its base, and then calls
///   [`install`](Self::install), which resets the log in the next write. After a restart,
///   [`InitialState::needs_reset`] tells whether that write was lost.
/// - While [`wants_join`](Self::wants_join) holds, it calls [`join`](Self::join) on the other
///   members. The leader then adds it as a learner, removes the lost member at its address and
///   promotes it.
/// - Before a planned stop it calls [`transfer`](Self::transfer) and waits until it isn't the
///   leader.
#[derive(Debug)]
pub struct Node {
    id: MemberId,
    settings: Settings,
    rng: ChaCha8Rng,
    term: Term,
    vote: Option<MemberId>,
    role: Role,
    leader: Option<MemberId>,
    log: MemLog,
    commit: LogIndex,
    /// The last committed entry that `ready` has returned.
    delivered: LogIndex,
    disk: DiskState,
    /// Membership configurations with the index of their entry, oldest first; the last is current.
    configs: VecDeque<(LogIndex, Members)>,
    /// When this member last heard from a leader, or was started.
    last_contact: Time,
    /// When each other member was last heard from.
    contacts: BTreeMap<MemberId, Time>,
    /// How long members had been silent for the last leader, or for this member when it led.
    silences: BTreeMap<MemberId, Duration>,
    /// When members said last that they are about to stop.
    departures: BTreeMap<MemberId, Time>,
    votes: votes::Votes,
    /// When the next election starts, unless a leader is heard from before.
    deadline: Time,
    /// The index up to which the log is known to match the current leader's.
    matched: LogIndex,
    /// The send time of the latest append that has not been answered, or 0 for an unsolicited
    /// reply.
    pending_reply: Option<u64>,
    disk_full: bool,
    /// New members that asked to join.
    joins: BTreeMap<MemberId, JoinRequest>,
    /// The addresses of processes that are being retired.
    leaving: BTreeSet<String>,
    /// The position of a committed membership that doesn't have this member, if others told of one that is
    /// newer than all in its log.
    removed: Option<LogPosition>,
    /// The member to which this one transferred its leadership, until a newer term is known.
    successor: Option<Successor>,
    output: Output,
}

/// A member that was told to start an election.
#[derive(Debug, Clone, Copy)]
struct Successor {
    id: MemberId,
    /// When to repeat the message, as it may have been lost.
    retry_at: Time,
}

#[derive(Debug)]
enum Role {
    Follower,
    PreCandidate { granted: BTreeSet<MemberId> },
    Candidate { granted: BTreeSet<MemberId> },
    Leader(Box<LeaderState>),
}

/// State that only a leader has.
#[derive(Debug)]
struct LeaderState {
    peers: BTreeMap<MemberId, Progress>,
    /// The index of the first entry of its term; reads wait until it is committed.
    term_start: LogIndex,
    transfer: Option<Transfer>,
    /// When a leaving member may begin the next transfer; proposals are accepted until then.
    transfer_after: Time,
    reads: Vec<PendingRead>,
    /// When a voter was missing, leaving or silent last.
    vacant: Time,
    /// When its timers ran last.
    ticked: Time,
    /// When its timers ran again after a pause.
    resumed: Option<Time>,
}

/// The latest request of a new member to join.
#[derive(Debug, Clone)]
struct JoinRequest {
    address: String,
    asked: Time,
}

#[derive(Debug, Clone, Copy)]
struct Transfer {
    to: MemberId,
    deadline: Time,
}

#[derive(Debug, Clone, Copy)]
struct PendingRead {
    id: ReadId,
    asked: Time,
}

/// Tracks which parts of the log and hard state are written and synced.
#[derive(Debug, Default)]
struct DiskState {
    /// The last entry that is synced.
    synced: LogIndex,
    /// The first entry that is not part of a write.
    unwritten: LogIndex,
    /// A reset of the log for the next write.
    reset: Option<SnapshotMetadata>,
    /// Whether term or vote have changed since the last write.
    hard_changed: bool,
    /// The last write that contained term and vote.
    hard_write: WriteNumber,
    next_write: WriteNumber,
    synced_write: WriteNumber,
    inflight: VecDeque<InflightWrite>,
}

/// A write that is not synced yet, with the last entry of the log that it makes durable.
#[derive(Debug, Clone, Copy)]
struct InflightWrite {
    number: WriteNumber,
    last: LogIndex,
    term: Term,
}

#[derive(Debug, Default)]
struct Output {
    /// Messages held back until a write is synced.
    held: VecDeque<(WriteNumber, Message)>,
    messages: Vec<Message>,
    reads: Vec<ReadReady>,
    failed_reads: Vec<ReadId>,
    snapshots: Vec<MemberId>,
    removals: Vec<Removal>,
}

impl Node {
    /// Creates a member from the state on its disk.
    ///
    /// It doesn't vote for others for one election timeout: before a restart it may have answered a
    /// leader whose lease still runs.
    pub fn new(now: Time, start: InitialState, settings: Settings) -> Self {
        let mut log = MemLog::new(start.base.index, start.base.term);
        let mut configs = VecDeque::from([(start.base.index, start.base.members)]);
        for entry in start.entries {
            if let Payload::Members(members) = &entry.payload {
                configs.push_back((entry.index, members.clone()));
            }
            log.push(entry);
        }
        let delivered = start.applied.max(start.base.index);
        let disk = DiskState {
            synced: log.last(),
            unwritten: log.last().next(),
            next_write: WriteNumber(1),
            ..DiskState::default()
        };
        let mut node = Self {
            id: start.id,
            settings,
            rng: ChaCha8Rng::seed_from_u64(start.seed),
            term: start.hard.term,
            vote: start.hard.vote,
            role: Role::Follower,
            leader: None,
            log,
            commit: delivered,
            delivered,
            disk,
            configs,
            last_contact: now,
            contacts: BTreeMap::new(),
            silences: BTreeMap::new(),
            departures: BTreeMap::new(),
            votes: votes::Votes::default(),
            deadline: now,
            matched: LogIndex::default(),
            pending_reply: None,
            disk_full: false,
            joins: BTreeMap::new(),
            leaving: BTreeSet::new(),
            removed: None,
            successor: None,
            output: Output::default(),
        };
        node.reset_deadline(now);
        node
    }

    /// Handles a message from another member; messages for other ids are ignored.
    pub fn step(&mut self, now: Time, message: Message) {
        if message.to != self.id || message.from == self.id {
            return;
        }
        let Message {
            from, term, body, ..
        } = message;
        self.note_contact(now, from);
        match body {
            Body::PreVote(ballot) => self.on_pre_vote(now, from, term, ballot),
            Body::PreVoteReply { granted } => self.on_pre_vote_reply(now, from, term, granted),
            Body::Vote(ballot) => self.on_vote(now, from, term, ballot),
            Body::VoteReply { granted } => self.on_vote_reply(now, from, term, granted),
            Body::Append(append) => self.on_append(now, from, term, append),
            Body::Appended { matched, sent } => self.on_appended(now, from, term, matched, sent),
            Body::Rejected { prev, hint, sent } => {
                let sent = Time::from_micros(sent);
                self.on_rejected(now, from, term, (prev, hint), sent);
            }
            Body::Campaign => self.on_campaign(now, from, term),
        }
    }

    /// Handles timeouts: heartbeats, elections, and stepping down without a quorum.
    pub fn tick(&mut self, now: Time) {
        if self.is_leader() {
            self.tick_leader(now);
            return;
        }
        if now < self.deadline {
            self.retry_campaign(now);
            return;
        }
        self.successor = None;
        self.reset_deadline(now);
        if self.votes() {
            self.start_pre_vote(now);
        } else {
            self.leader = None;
        }
    }

    /// Returns whether this member should ask to join, as it knows of no leader.
    ///
    /// This holds for a new member, and for one that was removed without being told.
    pub fn wants_join(&self) -> bool {
        self.leader.is_none() && !self.is_leader()
    }

    /// Notes a committed membership that another process knows, with its position. Returns whether this
    /// member has just learned from it that it was removed.
    ///
    /// A member that was removed while it was away has a log in which it still votes. Nobody votes for it, and no
    /// leader sends it anything, so that it can't learn this from the log. See `docs/design/agreement.md`, "The
    /// node".
    pub fn note_membership(&mut self, at: LogPosition, members: &Members) -> bool {
        let known = self.removed.unwrap_or(self.members_at());
        // A disk that has got no entry yet knows no members.
        let is_empty = members.voters().next().is_none();
        if at <= known || is_empty || self.members().get(self.id).is_none() {
            return false;
        }
        if members.get(self.id).is_some() {
            self.removed = None;
            return false;
        }
        match self.role {
            Role::Leader(_) => return false,
            Role::PreCandidate { .. } | Role::Candidate { .. } => self.role = Role::Follower,
            Role::Follower => {}
        }
        self.removed.replace(at).is_none()
    }

    /// Returns what this member is, as far as it knows from its log and from others.
    pub fn kind(&self) -> Option<MemberKind> {
        let own = self.members().get(self.id).map(|own| own.kind);
        own.filter(|_| self.removed.is_none())
    }

    /// Returns whether this member is a voter, as far as it knows.
    fn votes(&self) -> bool {
        self.kind() == Some(MemberKind::Voter)
    }

    /// Returns the time at which [`tick`](Self::tick) must be called next.
    pub fn wake_at(&self) -> Time {
        let Role::Leader(lead) = &self.role else {
            let retry = self.successor.map_or(self.deadline, |next| next.retry_at);
            return self.deadline.min(retry);
        };
        let next = lead
            .peers
            .values()
            .map(|p| {
                p.sent
                    .map_or(Time::ZERO, |sent| sent + self.settings.heartbeat)
            })
            .min();
        next.unwrap_or(self.last_contact + self.settings.heartbeat)
    }

    // ------------------------------------------------------------------------

    /// Returns this member's id.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// Returns the current term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the leader of the current term, if it is known.
    pub fn leader(&self) -> Option<MemberId> {
        self.leader
    }

    /// Returns whether this member is the leader of its term. A newer leader may exist, so this is
    /// not enough to answer reads; see [`holds_lease`](Self::holds_lease).
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns the latest membership in this member's log, committed or not.
    pub fn members(&self) -> &Members {
        let (_, members) = &self.configs[self.configs.len() - 1];
        members
    }

    /// Returns the position of [`members`](Self::members).
    pub fn members_at(&self) -> LogPosition {
        let (at, _) = &self.configs[self.configs.len() - 1];
        self.position(*at)
    }

    /// Returns the latest membership that is known to be committed, and its position.
    pub fn committed_members(&self) -> (LogPosition, &Members) {
        let known = self.configs.iter().rev();
        let mut committed = known.filter(|(at, _)| *at <= self.commit);
        // The first one is the base of the log, which is committed.
        let (at, members) = committed.next().unwrap_or(&self.configs[0]);
        (self.position(*at), members)
    }

    /// Returns the position of an entry, or of the base of the log if the entry is no longer in it.
    fn position(&self, index: LogIndex) -> LogPosition {
        let index = index.max(self.log.base());
        let term = self.log.term_at(index).unwrap_or_default();
        LogPosition { term, index }
    }

    /// Returns the base of a snapshot at `index`; `None` if that entry is no longer in the log.
    pub fn base_at(&self, index: LogIndex) -> Option<SnapshotMetadata> {
        let term = self.log.term_at(index)?;
        let (_, members) = self.configs.iter().rev().find(|(at, _)| *at <= index)?;
        Some(SnapshotMetadata {
            index,
            term,
            members: members.clone(),
        })
    }

    /// Returns the commit index.
    pub fn commit(&self) -> LogIndex {
        self.commit
    }

    /// Returns the index of the last entry.
    pub fn last(&self) -> LogIndex {
        self.log.last()
    }

    /// Returns the index of the last compacted entry.
    pub fn base(&self) -> LogIndex {
        self.log.base()
    }

    /// Returns the approximate size of the entries in memory, in bytes.
    pub fn log_bytes(&self) -> usize {
        self.log.bytes()
    }

    /// Returns the current term and vote, which may not be synced yet.
    pub fn hard_state(&self) -> HardState {
        HardState {
            term: self.term,
            vote: self.vote,
        }
    }

    /// Returns the index up to which a member's log is known to be synced and to match.
    ///
    /// Only the leader knows it of other members.
    pub fn matched(&self, id: MemberId) -> Option<LogIndex> {
        if id == self.id {
            return Some(self.disk.synced);
        }
        match &self.role {
            Role::Leader(lead) => lead.peers.get(&id).map(|peer| peer.matched),
            Role::Follower | Role::PreCandidate { .. } | Role::Candidate { .. } => None,
        }
    }

    /// Sets whether the disk is nearly full; the leader then rejects proposals.
    pub fn set_disk_full(&mut self, full: bool) {
        self.disk_full = full;
    }

    /// Removes entries up to `index`, up to which the state machine must be durable.
    ///
    /// Members that lack these entries will need a snapshot. Returns the new start of the log, for
    /// the compaction on disk, or `None` if nothing was removed.
    pub fn compact(&mut self, index: LogIndex) -> Option<SnapshotMetadata> {
        let index = index.min(self.delivered).min(self.disk.synced);
        if index <= self.log.base() {
            return None;
        }
        let base = self.base_at(index)?;
        self.log.compact(index);
        while self.configs.len() > 1 && self.configs[1].0 <= index {
            self.configs.pop_front();
        }
        Some(base)
    }

    // ------------------------------------------------------------------------

    /// Sets a new random election timeout.
    fn reset_deadline(&mut self, now: Time) {
        let jitter = self.settings.jitter.as_micros();
        let jitter = u64::try_from(jitter).unwrap_or(u64::MAX);
        let extra = Duration::from_micros(self.rng.random_range(0..=jitter));
        self.deadline = now + self.settings.election + extra;
    }

    /// Sets a short timeout for the next pre-vote: it doesn't disturb the others, which reject it
    /// only while they hear from a leader that this member has lost contact with.
    fn reset_retry_deadline(&mut self, now: Time) {
        let pause = self.settings.election / 4;
        let span = u64::try_from(pause.as_micros()).unwrap_or(u64::MAX);
        let extra = Duration::from_micros(self.rng.random_range(0..=span));
        self.deadline = now + pause + extra;
    }

    fn set_term(&mut self, term: Term) {
        debug_assert!(term > self.term, "terms only increase");
        self.term = term;
        self.vote = None;
        self.successor = None;
        self.disk.hard_changed = true;
    }

    fn note_contact(&mut self, now: Time, from: MemberId) {
        let (_, members) = &self.configs[self.configs.len() - 1];
        if members.get(from).is_none() {
            return;
        }
        self.contacts.insert(from, now);
        if self.contacts.len() > members.iter().count() {
            self.contacts.retain(|id, _| members.get(*id).is_some());
        }
    }

    /// Becomes a follower of `leader` in `term`, or of a leader that isn't known yet.
    fn become_follower(&mut self, now: Time, term: Term, leader: Option<MemberId>) {
        if term > self.term {
            self.set_term(term);
            self.matched = LogIndex::default();
            self.pending_reply = None;
        }
        let role = std::mem::replace(&mut self.role, Role::Follower);
        if let Role::Leader(lead) = role {
            let lost = lead.reads.iter().map(|read| read.id);
            self.output.failed_reads.extend(lost);
            let silent = lead.silences(now, self.settings.election);
            self.silences = silent.collect();
            self.matched = LogIndex::default();
            self.last_contact = now;
            self.reset_deadline(now);
        }
        self.leader = leader;
    }

    fn append_entry(&mut self, payload: Payload) -> LogIndex {
        let index = self.log.last().next();
        let term = self.term;
        if let Payload::Members(members) = &payload {
            self.configs.push_back((index, members.clone()));
        }
        self.log.push(Entry {
            index,
            term,
            payload,
        });
        index
    }

    fn set_commit(&mut self, commit: LogIndex) {
        debug_assert!(
            commit <= self.log.last(),
            "the commit index is beyond the log"
        );
        self.commit = self.commit.max(commit);
    }

    fn send(&mut self, to: MemberId, body: Body) {
        let term = self.term;
        self.send_as(to, term, body);
    }

    /// Queues a message, to be sent once the current term and vote are synced.
    fn send_as(&mut self, to: MemberId, term: Term, body: Body) {
        let message = Message {
            from: self.id,
            to,
            term,
            body,
        };
        let needed = if self.disk.hard_changed {
            self.disk.next_write
        } else {
            self.disk.hard_write
        };
        if needed <= self.disk.synced_write {
            self.output.messages.push(message);
        } else {
            self.output.held.push_back((needed, message));
        }
    }
}

/// A line for logs: role, term and positions in the log, and on the leader the progress of the
/// others.
impl fmt::Display for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let role = match &self.role {
            Role::Follower => "follower",
            Role::PreCandidate { .. } => "pre-candidate",
            Role::Candidate { .. } => "candidate",
            Role::Leader(_) => "leader",
        };
        write!(
            f,
            "{} {role} term {} base {} commit {} synced {} last {}",
            self.id,
            self.term,
            self.log.base(),
            self.commit,
            self.disk.synced,
            self.log.last()
        )?;
        if let Role::Leader(lead) = &self.role {
            for (id, peer) in &lead.peers {
                let (next, matched) = (peer.next, peer.matched);
                write!(f, "; {id} {:?} next {next} matched {matched}", peer.flow)?;
            }
        }
        Ok(())
    }
}

impl Write {
    fn is_empty(&self) -> bool {
        self.hard.is_none() && self.reset.is_none() && self.entries.is_empty()
    }
}
