//! The leader's queue of items to run.
//!
//! Many batches may be queued at once, and each of their items runs for seconds. Items are taken in
//! order of their due time, so that a later batch doesn't overtake an earlier one, and a failed
//! item waits briefly before it is retried.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use clem_state::jobs::{Job, JobNumber};
use clem_types::{ItemIndex, Time, UnixMillis};

/// Margin on the retention time of an item, in milliseconds, for clock differences between vms.
const KEEP_MARGIN_MS: u64 = 3000;
/// Number of items of a route that may end at once without a run, or whose path decides where they run.
pub(crate) const ENDING_MAX: usize = 256;

/// The queue of items to run.
#[derive(Debug, Default)]
pub struct ItemQueue {
    jobs: HashMap<JobNumber, Arc<Job>>,
    waiting: BTreeSet<(UnixMillis, JobNumber, ItemIndex)>,
    delayed: BTreeMap<(Time, JobNumber, ItemIndex), ()>,
    running: BTreeSet<(JobNumber, ItemIndex)>,
}

/// An item taken from the queue.
#[derive(Debug, Clone)]
pub struct ReadyItem {
    /// The job that the item belongs to.
    pub job: Arc<Job>,
    /// Index of the item in the job.
    pub item: ItemIndex,
    /// When the item is due.
    pub due: UnixMillis,
    /// Until when the item must be retried; after that it may be given up.
    pub keep: UnixMillis,
}

impl ItemQueue {
    /// Adds a job with its items that have no result yet.
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

    /// Takes the item with the earliest due time among the jobs whose route has fewer items taken than
    /// `places` allows for the job, so that items which wait for a target hold up no other route. Items
    /// that may be given up at `wall` need no target.
    pub fn take(
        &mut self,
        now: Time,
        wall: UnixMillis,
        places: impl Fn(&Job) -> usize,
    ) -> Option<ReadyItem> {
        self.requeue_delayed(now);
        let mut full = BTreeSet::new();
        let mut from = (UnixMillis(0), JobNumber(0), ItemIndex(0));
        let (due, job, item) = loop {
            let (due, number, item) = *self.waiting.range(from..).next()?;
            // All items of a job are due at the same time.
            from = (due, JobNumber(number.0 + 1), ItemIndex(0));
            let Some(job) = self.jobs.get(&number) else {
                continue;
            };
            let route = job.options.route.as_str();
            let ends = wall >= keep(job);
            if !ends && full.contains(route) {
                continue;
            }
            let most = if ends { ENDING_MAX } else { places(job) };
            if self.taken(route) < most {
                break (due, Arc::clone(job), item);
            }
            full.insert(route);
        };
        self.waiting.remove(&(due, job.number, item));
        self.running.insert((job.number, item));
        let keep = keep(&job);
        Some(ReadyItem {
            job,
            item,
            due,
            keep,
        })
    }

    /// Returns a taken item that has no result yet; it becomes available at `from`. Does nothing and
    /// returns false if it was not taken, or its job has ended.
    pub fn put_back(&mut self, from: Time, job: JobNumber, item: ItemIndex) -> bool {
        if !self.running.remove(&(job, item)) || !self.jobs.contains_key(&job) {
            return false;
        }
        self.delayed.insert((from, job, item), ());
        true
    }

    /// Removes a taken item that has a result or is no longer needed.
    pub fn finish(&mut self, job: JobNumber, item: ItemIndex) {
        self.running.remove(&(job, item));
        let waits = |at: &JobNumber| *at == job;
        let open = self.running.iter().any(|(at, _)| waits(at))
            || self.waiting.iter().any(|(_, at, _)| waits(at))
            || self.delayed.keys().any(|(_, at, _)| waits(at));
        if !open {
            self.jobs.remove(&job);
        }
    }

    /// Removes a job that was deleted by its caller; its items are not run any more.
    pub fn end(&mut self, job: JobNumber) {
        self.jobs.remove(&job);
        self.waiting.retain(|(_, at, _)| *at != job);
        self.delayed.retain(|(_, at, _), ()| *at != job);
    }

    /// Whether a job still has items to run.
    pub fn is_open(&self, job: JobNumber) -> bool {
        self.jobs.contains_key(&job)
    }

    /// The jobs that have queued items.
    pub fn jobs_waiting(&self) -> Vec<Arc<Job>> {
        let mut numbers: Vec<JobNumber> = self.waiting.iter().map(|(_, job, _)| *job).collect();
        numbers.dedup();
        numbers
            .iter()
            .filter_map(|number| self.jobs.get(number).cloned())
            .collect()
    }

    /// Number of queued items, including delayed ones.
    pub fn waiting(&self) -> usize {
        self.queued() + self.delayed()
    }

    /// Number of queued items that may be taken.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Number of queued items that may not be taken yet.
    pub fn delayed(&self) -> usize {
        self.delayed.len()
    }

    /// The queued item with the earliest due time.
    pub fn first(&self) -> Option<(Arc<Job>, ItemIndex)> {
        let (_, number, item) = self.waiting.first()?;
        Some((Arc::clone(self.jobs.get(number)?), *item))
    }

    /// When the oldest job with items that have no result was accepted.
    pub fn oldest_accepted(&self) -> Option<UnixMillis> {
        self.jobs.values().map(|job| job.accepted).min()
    }

    /// Number of taken items, which run or wait for a slot.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of taken items of a route.
    fn taken(&self, route: &str) -> usize {
        let of_route = |number: &JobNumber| {
            let job = self.jobs.get(number);
            job.is_some_and(|job| job.options.route == route)
        };
        let running = self.running.iter();
        running.filter(|(number, _)| of_route(number)).count()
    }

    fn requeue_delayed(&mut self, now: Time) {
        while let Some(entry) = self.delayed.first_entry() {
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
    after(job, job.options.due)
}

/// The time that is `span` after a job was accepted.
fn after(job: &Job, span: Duration) -> UnixMillis {
    let span = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
    UnixMillis(job.accepted.0.saturating_add(span))
}

/// Until when the items of a job must be retried.
fn keep(job: &Job) -> UnixMillis {
    let kept = after(job, job.options.keep);
    UnixMillis(kept.0.saturating_add(KEEP_MARGIN_MS))
}
