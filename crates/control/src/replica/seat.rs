//! A seat in the group: the consensus node, the writing thread and the state machine together.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
};

use bytes::Bytes;
use clem_log::{
    Base, Change, ClusterId, Entry, LogIndex, MemberId, MemberKind, Members, Message, Node,
    Payload, ReadId, Ready, Refused, Term, WriteNumber, disk::Writer,
};
use clem_state::Command;
use clem_store::RedbStore;
use clem_types::{Epoch, Time};
use clem_wire::codec;
use tokio::sync::oneshot;

use super::{Proposed, fatal};

/// The most messages that wait for one member; more are dropped, the protocol sends anew.
const OUTBOX_MESSAGES: usize = 1024;
/// The log in memory above which the store is synced and the log cut, in bytes.
const COMPACT_BYTES: usize = 8 * 1024 * 1024;
/// The entries above which the store is synced and the log cut.
const COMPACT_ENTRIES: u64 = 20_000;
/// The log that stays for members that lag a little, in bytes.
const KEEP_BYTES: usize = 2 * 1024 * 1024;

/// A seat in the group.
pub(super) struct Seat {
    pub(super) cluster: ClusterId,
    node: Node,
    writer: Writer,
    waiting: BTreeMap<LogIndex, Waiting>,
    asked: BTreeMap<ReadId, oneshot::Sender<bool>>,
    confirmed: Vec<Confirmed>,
    next_read: ReadId,
    /// Committed entries that are not applied yet.
    backlog: VecDeque<Entry>,
    /// Whether the store is being synced; applying would wait for that.
    syncing: bool,
    outbox: BTreeMap<MemberId, VecDeque<Message>>,
    /// Members that need a copy of the state.
    wanting: Vec<MemberId>,
    free_bytes: u64,
    /// Free bytes below which all proposals are refused.
    reserve_bytes: u64,
    /// The term in which this member leads and has applied what was committed before.
    caught_up: Option<Term>,
    /// The addresses of the voters by the last change that is applied here.
    voters: Option<Vec<SocketAddr>>,
}

/// A proposal that waits for its commit.
struct Waiting {
    term: Term,
    answer: oneshot::Sender<Proposed>,
}

/// A read that waits until its entry is applied.
struct Confirmed {
    index: LogIndex,
    answer: oneshot::Sender<bool>,
}

impl Seat {
    pub(super) fn new(cluster: ClusterId, node: Node, writer: Writer, reserve_bytes: u64) -> Self {
        Self {
            cluster,
            node,
            writer,
            waiting: BTreeMap::new(),
            asked: BTreeMap::new(),
            confirmed: Vec::new(),
            next_read: ReadId(0),
            backlog: VecDeque::new(),
            syncing: false,
            outbox: BTreeMap::new(),
            wanting: Vec::new(),
            free_bytes: u64::MAX,
            reserve_bytes,
            caught_up: None,
            voters: None,
        }
    }

    pub(super) fn node(&self) -> &Node {
        &self.node
    }

    /// The term in which this member leads by a lease that holds at `now`, with everything applied
    /// that was committed before it led.
    pub(super) fn leads(&self, now: Time) -> Option<Epoch> {
        let term = self.node.term();
        let leads = self.node.holds_lease(now) && self.caught_up == Some(term);
        leads.then_some(Epoch(term.0))
    }

    /// The term in which this member leads at `now`, maybe by a lease that has just run out.
    pub(super) fn leading_epoch(&self, now: Time) -> Option<Epoch> {
        let term = self.node.term();
        let leads = self.node.is_active_leader(now) && self.caught_up == Some(term);
        leads.then_some(Epoch(term.0))
    }

    /// Notes that the state machine holds all that was committed when this member began to lead.
    ///
    /// The lease alone does not say so: entries wait to be applied while the store is synced, and
    /// between a message and the round that follows it.
    fn note_caught_up(&mut self, now: Time, store: &RedbStore) {
        let applied = LogIndex(store.applied());
        if self.node.holds_lease(now) && applied >= self.node.commit() {
            self.caught_up = Some(self.node.term());
        }
    }

    /// The addresses of the voters, without changes that are not committed.
    pub(super) fn voters(&self) -> Vec<SocketAddr> {
        let known = self.voters.clone();
        known.unwrap_or_else(|| voters(self.node.members()))
    }

    /// Bytes that may still be written to the disk, as of the last write.
    pub(super) fn free_bytes(&self) -> u64 {
        self.free_bytes
    }

    // ------------------------------------------------------------------------
    // What comes in.

    /// Puts a command into the log; the receiver tells what became of it.
    pub(super) fn propose(
        &mut self,
        now: Time,
        data: Bytes,
    ) -> Result<oneshot::Receiver<Proposed>, Refused> {
        let index = self.node.propose(now, data)?;
        metrics::counter!("clem_control_proposals").increment(1);
        let (answer, receiver) = oneshot::channel();
        let term = self.node.term();
        self.waiting.insert(index, Waiting { term, answer });
        Ok(receiver)
    }

    /// Asks for a read; the receiver tells whether it may go on.
    pub(super) fn read(&mut self, now: Time) -> Result<oneshot::Receiver<bool>, Refused> {
        let id = self.next_read;
        self.node.read(now, id)?;
        self.next_read = ReadId(id.0 + 1);
        let (answer, receiver) = oneshot::channel();
        self.asked.insert(id, answer);
        Ok(receiver)
    }

    pub(super) fn step(&mut self, now: Time, message: Message) {
        self.node.step(now, message);
    }

    pub(super) fn tick(&mut self, now: Time) {
        self.node.tick(now);
    }

    pub(super) fn join(&mut self, now: Time, id: MemberId, address: &str) -> Result<(), Refused> {
        self.node.join(now, id, address)
    }

    pub(super) fn set_leaving(&mut self, addresses: &[String]) {
        self.node.set_leaving(addresses);
    }

    pub(super) fn change(&mut self, now: Time, change: &Change) -> Result<LogIndex, Refused> {
        self.node.change(now, change)
    }

    pub(super) fn transfer_leadership(
        &mut self,
        now: Time,
        to: Option<MemberId>,
    ) -> Result<(), Refused> {
        self.node.transfer(now, to)
    }

    pub(super) fn copy_sent(&mut self, id: MemberId, index: Option<LogIndex>) {
        self.node.snapshot_sent(id, index);
    }

    /// Goes on from a copy that has taken the store's place.
    pub(super) fn installed(&mut self, now: Time, base: Base) -> bool {
        self.backlog.clear();
        self.node.install(now, base)
    }

    /// The log is synced up to this write.
    pub(super) fn written(&mut self, now: Time, number: WriteNumber, free_bytes: u64) {
        self.free_bytes = free_bytes;
        self.node.set_disk_full(free_bytes < self.reserve_bytes);
        self.node.synced(now, number);
    }

    // ------------------------------------------------------------------------
    // What is to be done.

    /// Writes, queues messages and applies what is committed.
    pub(super) fn round(&mut self, now: Time, store: &mut RedbStore) {
        loop {
            let ready = self.node.ready(now);
            self.take(ready);
            if !self.node.has_more() {
                break;
            }
        }
        if !self.syncing {
            self.apply(store);
        }
        self.answer_reads(store);
        self.note_caught_up(now, store);
        if !self.node.is_leader() {
            self.give_up_waiting();
        }
    }

    fn take(&mut self, ready: Ready) {
        if let Some(write) = ready.write {
            self.writer.write(write);
        }
        for message in ready.messages {
            let queue = self.outbox.entry(message.to).or_default();
            if queue.len() < OUTBOX_MESSAGES {
                queue.push_back(message);
            }
        }
        self.backlog.extend(ready.committed);
        for read in ready.reads {
            let Some(answer) = self.asked.remove(&read.id) else {
                continue;
            };
            self.confirmed.push(Confirmed {
                index: read.index,
                answer,
            });
        }
        for id in ready.failed_reads {
            let Some(answer) = self.asked.remove(&id) else {
                continue;
            };
            let _ = answer.send(false);
        }
        self.wanting.extend(ready.snapshots);
    }

    fn apply(&mut self, store: &mut RedbStore) {
        let Some(last) = self.backlog.back().map(|entry| entry.index) else {
            return;
        };
        for entry in std::mem::take(&mut self.backlog) {
            self.apply_entry(store, &entry);
        }
        if let Err(error) = store.commit(last.0) {
            fatal::end("the store can't be written", &error);
        }
    }

    fn apply_entry(&mut self, store: &mut RedbStore, entry: &Entry) {
        let waiting = self.waiting.remove(&entry.index);
        let data = match &entry.payload {
            Payload::Data(data) => data,
            Payload::Members(members) => {
                self.voters = Some(voters(members));
                note_members(members, entry.index);
                return;
            }
            Payload::Noop => return,
        };
        if entry.index.0 <= store.applied() {
            return;
        }
        let command: Command = match codec::decode(data) {
            Ok(command) => command,
            Err(error) => fatal::end("an entry of the log can't be read", &error),
        };
        let outcome = match clem_state::apply(store, entry.index.0, &command) {
            Ok(outcome) => outcome,
            Err(error) => fatal::end("the state can't be used", &error),
        };
        let Some(waiting) = waiting else { return };
        let proposed = if waiting.term == entry.term {
            Proposed::Done(outcome)
        } else {
            Proposed::Unknown
        };
        let _ = waiting.answer.send(proposed);
    }

    fn answer_reads(&mut self, store: &RedbStore) {
        let applied = LogIndex(store.applied());
        for read in std::mem::take(&mut self.confirmed) {
            if read.index > applied {
                self.confirmed.push(read);
                continue;
            }
            let _ = read.answer.send(true);
        }
    }

    /// Proposals of a leader that leads no more may yet be committed by another one.
    fn give_up_waiting(&mut self) {
        for (_, waiting) in std::mem::take(&mut self.waiting) {
            metrics::counter!("clem_control_proposals_lost").increment(1);
            let _ = waiting.answer.send(Proposed::Unknown);
        }
    }

    // ------------------------------------------------------------------------
    // What leaves.

    /// Members for whom messages wait.
    pub(super) fn receivers(&self) -> Vec<MemberId> {
        let filled = self.outbox.iter().filter(|(_, queue)| !queue.is_empty());
        filled.map(|(id, _)| *id).collect()
    }

    /// Takes messages for a member, about `bytes` of them and at least one.
    pub(super) fn take_messages(&mut self, to: MemberId, bytes: usize) -> Vec<Message> {
        let Some(queue) = self.outbox.get_mut(&to) else {
            return Vec::new();
        };
        let mut size = 0;
        let mut taken = Vec::new();
        while let Some(message) = queue.pop_front() {
            size += message_bytes(&message);
            taken.push(message);
            if size >= bytes {
                break;
            }
        }
        taken
    }

    /// Takes the members that need a copy of the state.
    pub(super) fn take_wanting(&mut self) -> Vec<MemberId> {
        std::mem::take(&mut self.wanting)
    }

    // ------------------------------------------------------------------------
    // Cutting the log.

    /// Whether the store should be synced, so that the log can be cut; `due` when it has not
    /// been synced for long.
    pub(super) fn wants_sync(&self, due: bool) -> bool {
        let entries = self.node.last().0 - self.node.base().0;
        let long = self.node.log_bytes() > COMPACT_BYTES || entries > COMPACT_ENTRIES;
        !self.syncing && (long || due)
    }

    pub(super) fn begin_sync(&mut self) {
        debug_assert!(!self.syncing, "one sync at a time");
        self.syncing = true;
    }

    /// The store holds everything up to `synced` durably: the log before it is cut, but for a
    /// part for members that lag a little.
    pub(super) fn end_sync(&mut self, synced: LogIndex) {
        self.syncing = false;
        let held = self.node.last().0 - self.node.base().0;
        let average = self.node.log_bytes() / usize::try_from(held.max(1)).unwrap_or(1);
        let keep = (KEEP_BYTES / average.max(1)) as u64;
        let keep = keep.min(COMPACT_ENTRIES / 4);
        let upto = LogIndex(synced.0.saturating_sub(keep));
        if let Some(base) = self.node.compact(upto) {
            self.writer.compact(base);
        }
    }
}

fn voters(members: &Members) -> Vec<SocketAddr> {
    let voters = members.iter().filter(|m| m.kind == MemberKind::Voter);
    voters.filter_map(|m| m.address.parse().ok()).collect()
}

/// Logs who takes part in the group from an entry on.
pub(super) fn note_members(members: &Members, index: LogIndex) {
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
        "members"
    );
}

/// About how many bytes a message takes.
fn message_bytes(message: &Message) -> usize {
    /// Bytes of a message without its entries.
    const OVERHEAD: usize = 128;
    match &message.body {
        clem_log::Body::Append(append) => {
            OVERHEAD + append.entries.iter().map(Entry::size).sum::<usize>()
        }
        clem_log::Body::PreVote(_)
        | clem_log::Body::PreVoteReply { .. }
        | clem_log::Body::Vote(_)
        | clem_log::Body::VoteReply { .. }
        | clem_log::Body::Appended { .. }
        | clem_log::Body::Rejected { .. }
        | clem_log::Body::Campaign => OVERHEAD,
    }
}
