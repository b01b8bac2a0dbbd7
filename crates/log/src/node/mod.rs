//! One member of the cluster, as a step function of (state, now, input).

mod change;
mod election;
mod follower;
mod leader;
mod output;
mod read;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    fmt,
};

use clem_types::Time;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    Base, Body, Entry, HardState, LogIndex, MemberId, Members, Message, Payload, ReadId, ReadReady,
    Settings, Term, Write, WriteNumber, memlog::MemLog, progress::Progress,
};

/// What a member starts with, as read from its disk.
#[derive(Debug, Clone)]
pub struct Start {
    /// Its disk's id.
    pub id: MemberId,
    /// The seed of its election timeouts.
    pub seed: u64,
    /// Term and vote.
    pub hard: HardState,
    /// Where the log begins.
    pub base: Base,
    /// The entries of the log, all synced.
    pub entries: Vec<Entry>,
    /// How far the state machine has applied the log.
    pub applied: LogIndex,
}

impl Start {
    /// A new disk that knows nothing yet.
    pub fn new(id: MemberId, seed: u64) -> Self {
        Self {
            id,
            seed,
            hard: HardState::default(),
            base: Base::default(),
            entries: Vec::new(),
            applied: LogIndex::default(),
        }
    }

    /// Whether the log must be started anew after the copy of the state that was last installed.
    ///
    /// True when the process ended between putting the copy in use and syncing the write that
    /// [`Node::install`] asks for. The log then lacks the copy's last entry, or has another one in
    /// its place that was never committed. The driver resets the log on disk to `copied` first.
    pub fn needs_reset(&self, copied: &Base) -> bool {
        if copied.index <= self.base.index || self.applied < copied.index {
            return false;
        }
        let mut entries = self.entries.iter();
        !entries.any(|e| e.index == copied.index && e.term == copied.term)
    }
}

/// One member of the cluster.
///
/// What its driver owes it:
/// - After each round of steps it calls [`ready`](Self::ready) and, while
///   [`has_more`](Self::has_more), calls it again. It queues the write for the disk, sends the
///   messages, applies the committed entries in order, and answers a read once its index is
///   applied. It never waits for the disk in between: it reports a sync with
///   [`synced`](Self::synced) when it is done, several writes at once by the last one's number.
/// - `now` is taken from a monotonic clock after the input that it goes with came in.
/// - Compaction: once the state machine is durable up to an index, [`compact`](Self::compact) says
///   where the log may be cut on disk, or nothing.
/// - A member in [`Ready::snapshots`](crate::Ready) gets a copy of the state with
///   [`base_at`](Self::base_at) of its index; however that ends,
///   [`snapshot_sent`](Self::snapshot_sent) must be told, or the member gets no more entries.
/// - Whoever gets a copy makes it durable together with its base, then calls
///   [`install`](Self::install), whose reset of the log comes out as the next write. When the
///   process starts, [`Start::needs_reset`] tells whether that write was lost.
/// - While [`wants_join`](Self::wants_join), it asks the others to [`join`](Self::join) it. The
///   leader then adds it as a learner, removes the lost disk at its address and promotes it.
/// - Before a planned stop it calls [`transfer`](Self::transfer) and waits until it leads no more.
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
    handed: LogIndex,
    disk: Disk,
    /// The members and the entry that brought them, oldest first; the last holds.
    configs: VecDeque<(LogIndex, Members)>,
    /// When a leader was last heard from, or this process started.
    contact: Time,
    deadline: Time,
    /// How far the log is known to be equal to that of the present leader.
    matched: LogIndex,
    /// The leader's time of the last append that isn't answered yet.
    answer: Option<u64>,
    refuse_writes: bool,
    /// Members that are to be replaced although they live.
    leaving: BTreeSet<MemberId>,
    /// The member for which this one gave up its place, as long as no newer term is known.
    successor: Option<Successor>,
    output: Output,
}

/// A member that was told to campaign.
#[derive(Debug, Clone, Copy)]
struct Successor {
    id: MemberId,
    /// When it is told again: the message may have been lost.
    again: Time,
}

#[derive(Debug)]
enum Role {
    Follower,
    PreCandidate { granted: BTreeSet<MemberId> },
    Candidate { granted: BTreeSet<MemberId> },
    Leader(Box<Lead>),
}

/// What only a leader has.
#[derive(Debug)]
struct Lead {
    peers: BTreeMap<MemberId, Progress>,
    /// The first entry of the own term: nothing is read before it is committed.
    first: LogIndex,
    transfer: Option<Transfer>,
    reads: Vec<PendingRead>,
    /// New disks that ask to take a place.
    joins: BTreeMap<MemberId, Join>,
}

/// A new disk that asks for the place of a lost one.
#[derive(Debug, Clone)]
struct Join {
    address: String,
    asked: Time,
}

#[derive(Debug, Clone, Copy)]
struct Transfer {
    to: MemberId,
    until: Time,
}

#[derive(Debug, Clone, Copy)]
struct PendingRead {
    id: ReadId,
    asked: Time,
}

/// What is known to be on the disk and what is on its way there.
#[derive(Debug, Default)]
struct Disk {
    /// The last entry that is synced.
    synced: LogIndex,
    /// The first entry that isn't part of a write yet.
    unsaved: LogIndex,
    reset: Option<Base>,
    hard_changed: bool,
    /// The last write with term and vote.
    hard_write: WriteNumber,
    next: WriteNumber,
    done: WriteNumber,
    marks: VecDeque<Mark>,
}

/// The last entry of a write, to know how far the log is synced when that write is.
#[derive(Debug, Clone, Copy)]
struct Mark {
    number: WriteNumber,
    last: LogIndex,
    term: Term,
}

#[derive(Debug, Default)]
struct Output {
    /// Messages that wait for a write.
    held: VecDeque<(WriteNumber, Message)>,
    messages: Vec<Message>,
    reads: Vec<ReadReady>,
    failed_reads: Vec<ReadId>,
    snapshots: Vec<MemberId>,
}

impl Node {
    /// A member that goes on from what its disk holds.
    ///
    /// It waits a whole election timeout before it votes for anyone: before the restart it may
    /// have promised that to a leader whose lease still runs.
    pub fn new(now: Time, start: Start, settings: Settings) -> Self {
        let mut log = MemLog::new(start.base.index, start.base.term);
        let mut configs = VecDeque::from([(start.base.index, start.base.members)]);
        for entry in start.entries {
            if let Payload::Members(members) = &entry.payload {
                configs.push_back((entry.index, members.clone()));
            }
            log.push(entry);
        }
        let handed = start.applied.max(start.base.index);
        let disk = Disk {
            synced: log.last(),
            unsaved: log.last().next(),
            next: WriteNumber(1),
            ..Disk::default()
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
            commit: handed,
            handed,
            disk,
            configs,
            contact: now,
            deadline: now,
            matched: LogIndex::default(),
            answer: None,
            refuse_writes: false,
            leaving: BTreeSet::new(),
            successor: None,
            output: Output::default(),
        };
        node.reset_deadline(now);
        node
    }

    /// Takes a message from another member.
    pub fn step(&mut self, now: Time, message: Message) {
        if message.to != self.id || message.from == self.id {
            return;
        }
        let Message {
            from, term, body, ..
        } = message;
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

    /// Lets time pass: heartbeats, elections, ends of leases.
    pub fn tick(&mut self, now: Time) {
        if self.is_leader() {
            self.tick_leader(now);
            return;
        }
        if now < self.deadline {
            self.urge_successor(now);
            return;
        }
        self.successor = None;
        self.reset_deadline(now);
        if self.members().is_voter(self.id) {
            self.start_pre_vote(now);
        } else {
            self.leader = None;
        }
    }

    /// Whether this member should ask the others to be let in: no leader counts it as a member.
    ///
    /// Holds for a new disk, and for a member that was removed and doesn't know it.
    pub fn wants_join(&self) -> bool {
        self.leader.is_none() && !self.is_leader()
    }

    /// When the next [`tick`](Self::tick) is due.
    pub fn wake_at(&self) -> Time {
        let Role::Leader(lead) = &self.role else {
            let again = self.successor.map_or(self.deadline, |next| next.again);
            return self.deadline.min(again);
        };
        let next = lead
            .peers
            .values()
            .map(|p| {
                p.sent
                    .map_or(Time::ZERO, |sent| sent + self.settings.heartbeat)
            })
            .min();
        next.unwrap_or(self.contact + self.settings.heartbeat)
    }

    // ------------------------------------------------------------------------

    /// This member's id.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// The present term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// The leader of this term, as far as this member knows.
    pub fn leader(&self) -> Option<MemberId> {
        self.leader
    }

    /// Whether this member leads; that alone allows no answer, see [`holds_lease`](Self::holds_lease).
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// The members of the cluster, as far as this member's log goes.
    pub fn members(&self) -> &Members {
        let (_, members) = &self.configs[self.configs.len() - 1];
        members
    }

    /// The members as of a committed entry that is still in the log, to go with a snapshot there.
    pub fn base_at(&self, index: LogIndex) -> Option<Base> {
        let term = self.log.term_at(index)?;
        let (_, members) = self.configs.iter().rev().find(|(at, _)| *at <= index)?;
        Some(Base {
            index,
            term,
            members: members.clone(),
        })
    }

    /// The last committed entry.
    pub fn commit(&self) -> LogIndex {
        self.commit
    }

    /// The last entry of the log.
    pub fn last(&self) -> LogIndex {
        self.log.last()
    }

    /// The last entry that the log no longer has.
    pub fn base(&self) -> LogIndex {
        self.log.base()
    }

    /// About how many bytes the entries in memory take.
    pub fn log_bytes(&self) -> usize {
        self.log.bytes()
    }

    /// Term and vote.
    pub fn hard_state(&self) -> HardState {
        HardState {
            term: self.term,
            vote: self.vote,
        }
    }

    /// How far a member's disk is known to hold this log: its own, or at the leader anyone's.
    pub fn matched(&self, id: MemberId) -> Option<LogIndex> {
        if id == self.id {
            return Some(self.disk.synced);
        }
        match &self.role {
            Role::Leader(lead) => lead.peers.get(&id).map(|peer| peer.matched),
            Role::Follower | Role::PreCandidate { .. } | Role::Candidate { .. } => None,
        }
    }

    /// Makes the leader refuse proposals while the disk is nearly full, or take them again.
    pub fn set_disk_full(&mut self, full: bool) {
        self.refuse_writes = full;
    }

    /// Forgets entries up to `index`, which the state machine must hold durably.
    ///
    /// Members that still lack them will need a snapshot. Returns where the log now begins, for
    /// cutting it on disk.
    pub fn compact(&mut self, index: LogIndex) -> Option<Base> {
        let index = index.min(self.handed).min(self.disk.synced);
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

    fn reset_deadline(&mut self, now: Time) {
        let jitter = self.settings.jitter.as_micros();
        let jitter = u64::try_from(jitter).unwrap_or(u64::MAX);
        let extra = std::time::Duration::from_micros(self.rng.random_range(0..=jitter));
        self.deadline = now + self.settings.election + extra;
    }

    /// Asks again soon: a pre-vote costs the others nothing, and they refuse it only while they
    /// count on a leader that this member has lost.
    fn reset_retry(&mut self, now: Time) {
        let pause = self.settings.election / 4;
        let span = u64::try_from(pause.as_micros()).unwrap_or(u64::MAX);
        let extra = std::time::Duration::from_micros(self.rng.random_range(0..=span));
        self.deadline = now + pause + extra;
    }

    fn set_term(&mut self, term: Term) {
        debug_assert!(term > self.term, "terms only rise");
        self.term = term;
        self.vote = None;
        self.successor = None;
        self.disk.hard_changed = true;
    }

    /// Follows `leader`, or nobody yet, in `term`.
    fn become_follower(&mut self, now: Time, term: Term, leader: Option<MemberId>) {
        if term > self.term {
            self.set_term(term);
            self.matched = LogIndex::default();
            self.answer = None;
        }
        let role = std::mem::replace(&mut self.role, Role::Follower);
        if let Role::Leader(lead) = role {
            let lost = lead.reads.iter().map(|read| read.id);
            self.output.failed_reads.extend(lost);
            self.matched = LogIndex::default();
            self.contact = now;
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
            "only entries at hand are committed"
        );
        self.commit = self.commit.max(commit);
    }

    fn send(&mut self, to: MemberId, body: Body) {
        let term = self.term;
        self.send_as(to, term, body);
    }

    /// Sends a message once the term and vote that it speaks for are synced.
    fn send_as(&mut self, to: MemberId, term: Term, body: Body) {
        let message = Message {
            from: self.id,
            to,
            term,
            body,
        };
        let needed = if self.disk.hard_changed {
            self.disk.next
        } else {
            self.disk.hard_write
        };
        if needed <= self.disk.done {
            self.output.messages.push(message);
        } else {
            self.output.held.push_back((needed, message));
        }
    }
}

/// One line for logs: role, term and how far the log has come.
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
