//! The state that the tasks of a batch keeper share.

use std::{
    collections::HashMap,
    pin::pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use clem_control::{
    endpoint::{Replicated, Result, ServeError},
    replica::Replica,
};
use clem_direct::{ByteBudget, ByteShare, Node};
use clem_intake::CallRoom;
use clem_policy::dispatch::Ticket;
use clem_state::{
    Command, Outcome,
    jobs::{self, EndedItem, JobCommand, JobOutcome},
};
use clem_types::{Epoch, ItemIndex, Time};
use tokio::sync::{Notify, oneshot, watch};

use crate::{
    ended_items::EndedItems,
    item_watch::{ItemState, ItemWatch},
    queue::{ItemQueue, ReadyItem},
};

/// How long a command may wait until that is logged; each pause is twice the one before.
pub(crate) const COMMIT_LOGGED: Duration = Duration::from_secs(1);

/// Shared state of the request handlers and item runs. The runtime has one thread, so the mutexes
/// are never contended.
pub(crate) struct Keeper {
    pub(crate) node: Arc<Node>,
    pub(crate) replica: Replica,
    /// Notified when there may be an item to run.
    pub(crate) items_ready: Notify,
    /// Notified when an item has ended whose result is not recorded yet.
    pub(crate) ended_ready: Notify,
    /// Memory for the texts of items that are not recorded.
    pub(crate) texts: Arc<ByteBudget>,
    /// Memory for submissions.
    submissions: CallRoom,
    queue: Mutex<Option<(Epoch, ItemQueue)>>,
    ended: Mutex<EndedItems>,
    /// What the texts of ended items take until they are recorded.
    ended_shares: Mutex<HashMap<(jobs::JobNumber, ItemIndex), ByteShare>>,
    watch: Mutex<ItemWatch>,
    recalls: Mutex<HashMap<Ticket, oneshot::Sender<()>>>,
    recorded: watch::Sender<u64>,
    closed: watch::Sender<u64>,
}

impl Keeper {
    pub(crate) fn new(
        node: Arc<Node>,
        replica: Replica,
        texts: Arc<ByteBudget>,
        submissions: CallRoom,
    ) -> Self {
        let watch = Mutex::new(ItemWatch::new(node.now()));
        Self {
            node,
            replica,
            items_ready: Notify::new(),
            ended_ready: Notify::new(),
            texts,
            submissions,
            queue: Mutex::new(None),
            ended: Mutex::default(),
            ended_shares: Mutex::default(),
            watch,
            recalls: Mutex::default(),
            recorded: watch::Sender::new(0),
            closed: watch::Sender::new(0),
        }
    }

    /// Runs `work` on the leader's queue, which is rebuilt when this process has just become
    /// leader.
    ///
    /// # Errors
    /// This process is not the leader.
    pub(crate) fn with_leader<T>(&self, work: impl FnOnce(&mut ItemQueue) -> T) -> Result<T> {
        let mut queue = lock(&self.queue);
        let Some(epoch) = self.replica.leading_epoch(self.node.now()) else {
            if queue.take().is_some() {
                log::warn!("lost leadership");
                self.clear_ended();
                lock(&self.watch).clear();
                self.closed.send_modify(|count| *count += 1);
                self.node.view().members = None;
            }
            return Err(ServeError::NotLeader);
        };
        let known = queue.as_ref().is_some_and(|(at, _)| *at == epoch);
        if !known {
            let mut fresh = ItemQueue::default();
            for (job, items) in self.replica.read(jobs::open) {
                fresh.add(job, items);
            }
            log::info!(epoch = epoch.0, items = fresh.waiting(); "became leader");
            *queue = Some((epoch, fresh));
            self.clear_ended();
            lock(&self.watch).clear();
            self.items_ready.notify_one();
        }
        let Some((_, queue)) = queue.as_mut() else {
            return Err(ServeError::NotLeader);
        };
        Ok(work(queue))
    }

    /// Proposes a job command and waits for its outcome.
    pub(crate) async fn propose_job(&self, command: JobCommand) -> Result<JobOutcome> {
        let kind = kind(&command);
        let begun = self.node.now();
        let mut pause = COMMIT_LOGGED;
        let mut proposed = pin!(self.propose(Command::Job(command)));
        let outcome = loop {
            tokio::select! {
                outcome = &mut proposed => break outcome?,
                () = tokio::time::sleep(pause) => {}
            }
            pause *= 2;
            self.log_uncommitted(kind, "commit", begun);
        };
        let Outcome::Job(outcome) = outcome else {
            return Err(ServeError::Unknown);
        };
        Ok(outcome)
    }

    /// Logs that a command was proposed first at `begun` and is not committed, and what it `waits` for.
    pub(crate) fn log_uncommitted(&self, kind: &str, waits: &str, begun: Time) {
        let members: Vec<String> = self
            .replica
            .members()
            .iter()
            .map(|member| format!("{}:{}", member.address, member.matched))
            .collect();
        log::warn!(
            kind, waits, waited_ms = self.node.now().since(begun).as_millis() as u64,
            members = members.join(",").as_str(), free_bytes = self.replica.free_bytes();
            "command not committed"
        );
    }

    /// Runs `work` on what is known of the items that this process runs.
    pub(crate) fn with_watch<T>(&self, work: impl FnOnce(&mut ItemWatch) -> T) -> T {
        work(&mut lock(&self.watch))
    }

    /// Notes what an item does.
    pub(crate) fn set_state(&self, item: &ReadyItem, state: ItemState) {
        let now = self.node.now();
        self.with_watch(|watch| watch.set(now, item.job.number, item.item, state));
    }

    /// Queues an item's result, whose text has this share of the memory; the next command records it.
    pub(crate) fn end_item(&self, item: EndedItem, share: ByteShare) {
        let now = self.node.now();
        lock(&self.ended_shares).insert((item.job, item.item), share);
        self.with_watch(|watch| watch.set(now, item.job, item.item, ItemState::Ended));
        lock(&self.ended).push(item);
        self.ended_ready.notify_one();
    }

    fn clear_ended(&self) {
        lock(&self.ended).clear();
        lock(&self.ended_shares).clear();
    }

    /// Removes and returns ended items for one command.
    pub(crate) fn take_ended(&self) -> Vec<EndedItem> {
        lock(&self.ended).take()
    }

    /// Subscribes to a counter that increases when results are recorded or a job is closed.
    pub(crate) fn recorded(&self) -> watch::Receiver<u64> {
        self.recorded.subscribe()
    }

    pub(crate) fn note_recorded(&self) {
        self.recorded.send_modify(|count| *count += 1);
    }

    /// Subscribes to a counter that increases when a job is closed or this process loses the
    /// leadership, after which items may have to stop.
    pub(crate) fn closed(&self) -> watch::Receiver<u64> {
        self.closed.subscribe()
    }

    pub(crate) fn note_closed(&self) {
        self.closed.send_modify(|count| *count += 1);
    }

    /// Registers a run; the receiver fires when the hub recalls its slot.
    pub(crate) fn await_recall(&self, ticket: Ticket) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let mut recalls = lock(&self.recalls);
        recalls.retain(|_, sender| !sender.is_closed());
        recalls.insert(ticket, sender);
        receiver
    }

    pub(crate) fn recall(&self, ticket: Ticket) {
        if let Some(sender) = lock(&self.recalls).remove(&ticket) {
            // The run may just have ended.
            let _ = sender.send(());
        }
    }

    /// Whether a job still has items to run on this process.
    pub(crate) fn is_open(&self, job: jobs::JobNumber) -> bool {
        self.with_leader(|queue| queue.is_open(job))
            .unwrap_or(false)
    }

    /// Returns an item without a result to the queue, which may be taken again after a `delay`. Returns
    /// false if it is not needed any more.
    pub(crate) fn put_back(&self, job: jobs::JobNumber, item: ItemIndex, delay: Duration) -> bool {
        let now = self.node.now();
        let from = now + delay;
        self.with_watch(|watch| {
            watch.end_run(now, job, item);
            watch.put_back(job, item);
        });
        // If this process is no longer the leader, the next one runs the item.
        self.with_leader(|queue| queue.put_back(from, job, item))
            .unwrap_or(false)
    }

    pub(crate) fn finish(&self, job: jobs::JobNumber, item: ItemIndex) {
        self.with_watch(|watch| watch.remove(job, item));
        lock(&self.ended_shares).remove(&(job, item));
        // If this process is no longer the leader, it has no queue.
        let _ = self.with_leader(|queue| queue.finish(job, item));
        self.items_ready.notify_one();
    }
}

impl Replicated for Keeper {
    fn replica(&self) -> &Replica {
        &self.replica
    }

    fn call_room(&self) -> Option<&CallRoom> {
        Some(&self.submissions)
    }

    fn now(&self) -> Time {
        self.node.now()
    }
}

/// The name of a command in the log.
fn kind(command: &JobCommand) -> &'static str {
    match command {
        JobCommand::Submit { .. } => "submission",
        JobCommand::List(_) => "results",
        JobCommand::End(_) => "deletion",
        JobCommand::Forget(_) => "expiry",
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
