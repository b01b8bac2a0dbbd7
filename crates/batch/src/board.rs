//! The leader's list of items that have to be run.
//!
//! The load that this answers: many batches at once, of which each item takes seconds. Items are
//! taken by the time at which they are due, so that a batch that came earlier is not overtaken by
//! one that came later, and a failing item waits a little before it is tried again.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use clem_state::jobs::{Job, JobNumber};
use clem_types::{ItemIndex, Time, UnixMillis};

/// How much longer than it must be an item is kept trying, for clocks that differ.
const KEEP_MARGIN_MS: u64 = 3000;
/// The pause before an item that failed is tried again.
const FAILED_PAUSE: Duration = Duration::from_millis(200);

/// The items that have to be run.
#[derive(Debug, Default)]
pub struct Board {
    jobs: HashMap<JobNumber, Arc<Job>>,
    waiting: BTreeSet<(UnixMillis, JobNumber, ItemIndex)>,
    later: BTreeMap<(Time, JobNumber, ItemIndex), ()>,
    running: BTreeSet<(JobNumber, ItemIndex)>,
}

/// An item whose turn it is.
#[derive(Debug, Clone)]
pub struct Ready {
    /// Its job.
    pub job: Arc<Job>,
    /// Its place among the job's items.
    pub item: ItemIndex,
    /// When it is due.
    pub due: UnixMillis,
    /// When it may be given up.
    pub keep: UnixMillis,
}

impl Board {
    /// Adds a job with the items that have no result.
    pub fn add(&mut self, job: Job, items: impl IntoIterator<Item = ItemIndex>) {
        let due = due(&job);
        let number = job.number;
        self.jobs.insert(number, Arc::new(job));
        for item in items {
            if !self.running.contains(&(number, item)) {
                self.waiting.insert((due, number, item));
            }
        }
    }

    /// Takes the item that is due first.
    pub fn take(&mut self, now: Time) -> Option<Ready> {
        self.wake(now);
        let (due, number, item) = self.waiting.pop_first()?;
        let job = Arc::clone(self.jobs.get(&number)?);
        self.running.insert((number, item));
        let keep = UnixMillis(
            job.accepted.0
                + u64::try_from(job.options.keep.as_millis()).unwrap_or(u64::MAX / 2)
                + KEEP_MARGIN_MS,
        );
        Some(Ready {
            job,
            item,
            due,
            keep,
        })
    }

    /// An item that was taken has no result yet and waits for its next turn.
    pub fn put_back(&mut self, now: Time, job: JobNumber, item: ItemIndex) {
        if !self.running.remove(&(job, item)) || !self.jobs.contains_key(&job) {
            return;
        }
        self.later.insert((now + FAILED_PAUSE, job, item), ());
    }

    /// An item that was taken has a result, or needs none any more.
    pub fn finish(&mut self, job: JobNumber, item: ItemIndex) {
        self.running.remove(&(job, item));
        let waits = |at: &JobNumber| *at == job;
        let open = self.running.iter().any(|(at, _)| waits(at))
            || self.waiting.iter().any(|(_, at, _)| waits(at))
            || self.later.keys().any(|(_, at, _)| waits(at));
        if !open {
            self.jobs.remove(&job);
        }
    }

    /// A job was ended by its caller: nothing more of it is run.
    pub fn end(&mut self, job: JobNumber) {
        self.jobs.remove(&job);
        self.waiting.retain(|(_, at, _)| *at != job);
        self.later.retain(|(_, at, _), ()| *at != job);
    }

    /// Whether a job is still to be run.
    pub fn is_open(&self, job: JobNumber) -> bool {
        self.jobs.contains_key(&job)
    }

    /// How many items wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len() + self.later.len()
    }

    /// How many items are running, or wait for a slot.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    fn wake(&mut self, now: Time) {
        while let Some(entry) = self.later.first_entry() {
            let (at, number, item) = *entry.key();
            if now < at {
                return;
            }
            entry.remove();
            if let Some(job) = self.jobs.get(&number) {
                self.waiting.insert((due(job), number, item));
            }
        }
    }
}

fn due(job: &Job) -> UnixMillis {
    let span = u64::try_from(job.options.due.as_millis()).unwrap_or(u64::MAX / 2);
    UnixMillis(job.accepted.0 + span)
}
