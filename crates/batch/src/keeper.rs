//! What all handlers and runs of this process share.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use clem_control::{
    endpoint::{Replicated, Result, ServeError},
    replica::Replica,
};
use clem_direct::Node;
use clem_policy::dispatch::Ticket;
use clem_state::{
    Command, Outcome,
    jobs::{self, EndedItem, JobCommand, JobOutcome},
};
use clem_types::{Epoch, ItemIndex};
use tokio::sync::{Notify, oneshot, watch};

use crate::board::Board;

/// What all handlers and runs of this process share; all of it is used on one thread.
pub(crate) struct Keeper {
    pub(crate) node: Arc<Node>,
    pub(crate) replica: Replica,
    /// There may be an item to run.
    pub(crate) work: Notify,
    /// Items have ended that are not listed yet.
    pub(crate) ended_ready: Notify,
    board: Mutex<Option<(Epoch, Board)>>,
    ended: Mutex<Vec<EndedItem>>,
    recalls: Mutex<HashMap<Ticket, oneshot::Sender<()>>>,
    listed: watch::Sender<u64>,
    closed: watch::Sender<u64>,
}

impl Keeper {
    pub(crate) fn new(node: Arc<Node>, replica: Replica) -> Self {
        Self {
            node,
            replica,
            work: Notify::new(),
            ended_ready: Notify::new(),
            board: Mutex::new(None),
            ended: Mutex::default(),
            recalls: Mutex::default(),
            listed: watch::Sender::new(0),
            closed: watch::Sender::new(0),
        }
    }

    /// Works on the leader's list, built anew when this process has just begun to lead.
    ///
    /// # Errors
    /// This process does not lead at this moment.
    pub(crate) fn lead<T>(&self, work: impl FnOnce(&mut Board) -> T) -> Result<T> {
        let mut board = lock(&self.board);
        let Some(epoch) = self.replica.leading_epoch(self.node.now()) else {
            if board.take().is_some() {
                log::warn!("leads no more");
                lock(&self.ended).clear();
                self.closed.send_modify(|count| *count += 1);
                self.node.view().members = None;
            }
            return Err(ServeError::NotLeader);
        };
        let known = board.as_ref().is_some_and(|(at, _)| *at == epoch);
        if !known {
            let mut fresh = Board::default();
            for (job, items) in self.replica.read(jobs::open) {
                fresh.add(job, items);
            }
            log::info!(epoch = epoch.0, items = fresh.waiting(); "leads");
            *board = Some((epoch, fresh));
            lock(&self.ended).clear();
            self.work.notify_one();
        }
        let Some((_, board)) = board.as_mut() else {
            return Err(ServeError::NotLeader);
        };
        Ok(work(board))
    }

    /// Proposes a change of jobs and waits for its outcome.
    pub(crate) async fn propose_job(&self, command: JobCommand) -> Result<JobOutcome> {
        let outcome = self.propose(Command::Job(command)).await?;
        let Outcome::Job(outcome) = outcome else {
            return Err(ServeError::Unknown);
        };
        Ok(outcome)
    }

    /// An item has ended; it is listed with the next change.
    pub(crate) fn end_item(&self, item: EndedItem) {
        lock(&self.ended).push(item);
        self.ended_ready.notify_one();
    }

    pub(crate) fn take_ended(&self) -> Vec<EndedItem> {
        std::mem::take(&mut *lock(&self.ended))
    }

    /// Tells of newly listed items.
    pub(crate) fn listed(&self) -> watch::Receiver<u64> {
        self.listed.subscribe()
    }

    pub(crate) fn note_listed(&self) {
        self.listed.send_modify(|count| *count += 1);
    }

    /// Tells that some job is not to be run any more.
    pub(crate) fn closed(&self) -> watch::Receiver<u64> {
        self.closed.subscribe()
    }

    pub(crate) fn note_closed(&self) {
        self.closed.send_modify(|count| *count += 1);
    }

    /// Registers a run that gives its slot back when it is called back.
    pub(crate) fn await_recall(&self, ticket: Ticket) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let mut recalls = lock(&self.recalls);
        recalls.retain(|_, sender| !sender.is_closed());
        recalls.insert(ticket, sender);
        receiver
    }

    pub(crate) fn recall(&self, ticket: Ticket) {
        if let Some(sender) = lock(&self.recalls).remove(&ticket) {
            // A run that has just ended needs no word.
            let _ = sender.send(());
        }
    }

    /// Whether a job is still to be run here.
    pub(crate) fn is_open(&self, job: jobs::JobNumber) -> bool {
        self.lead(|board| board.is_open(job)).unwrap_or(false)
    }

    pub(crate) fn finish(&self, job: jobs::JobNumber, item: ItemIndex) {
        // A process that leads no more has no list.
        let _ = self.lead(|board| board.finish(job, item));
        self.work.notify_one();
    }
}

impl Replicated for Keeper {
    fn replica(&self) -> &Replica {
        &self.replica
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
