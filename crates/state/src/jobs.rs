//! Batches of the direct path: accepted once, each item listed once, at a position that stays.
//!
//! Only accepted batches and ended items are records; what runs where is known to the leader
//! alone, and an item whose run was lost with it simply runs again. See
//! `docs/design/platform.md`, "Batches".

use bytes::Bytes;
use clem_edge::{ItemSpec, ItemStatus, ListedItem};
use clem_store::Store;
use clem_types::{ItemIndex, UnixMillis};
use clem_wire::jobs::{JobName, JobOptions, SubmitJob, SubmitReply};
use serde::{Deserialize, Serialize};

use crate::{
    Result,
    table::{self, Key, KeyReader},
};

/// The most jobs that one command forgets.
const FORGET_STEP: usize = 20;

/// A job's number: the log entry that accepted it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct JobNumber(pub u64);

/// A change of the jobs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobCommand {
    /// Takes a batch in.
    Submit {
        /// The call.
        call: SubmitJob,
        /// When it came.
        now: UnixMillis,
    },
    /// Lists items that have ended.
    List(Vec<EndedItem>),
    /// Ends a batch: nothing more of it has to be run.
    End(JobName),
    /// Forgets closed batches that were accepted before this moment.
    Forget(UnixMillis),
}

/// An item that has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedItem {
    /// The job.
    pub job: JobNumber,
    /// Its place among the job's items.
    pub item: ItemIndex,
    /// How it ended.
    pub state: ItemStatus,
    /// The data of its events, separated by line feeds.
    pub text: String,
}

/// What a change brought about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobOutcome {
    /// What became of a submission, and its number if it is a new one.
    Submitted(SubmitReply, Option<JobNumber>),
    /// It is done.
    Done,
    /// The batch that was ended; none if there is none.
    Ended(Option<JobNumber>),
}

/// What stays of a job from its acceptance on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Its number.
    pub number: JobNumber,
    /// Whose it is, and the caller's id.
    pub name: JobName,
    /// How its items are run.
    #[serde(rename = "terms")]
    pub options: JobOptions,
    /// The callers' ids of its items.
    pub items: Vec<String>,
    /// When it was accepted.
    pub accepted: UnixMillis,
}

/// What changes of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// How many items are listed.
    pub listed: u32,
    /// Whether its caller ended it.
    pub ended: bool,
    /// Tokens of its items that are not listed.
    pub tokens: u64,
}

impl Progress {
    /// Whether nothing of the job has to be run any more.
    pub fn is_closed(&self, job: &Job) -> bool {
        self.ended || self.listed as usize >= job.items.len()
    }
}

pub(crate) fn apply(store: &mut dyn Store, index: u64, command: &JobCommand) -> Result<JobOutcome> {
    match command {
        JobCommand::Submit { call, now } => submit(store, JobNumber(index), call, *now),
        JobCommand::List(items) => {
            for item in items {
                list(store, item)?;
            }
            Ok(JobOutcome::Done)
        }
        JobCommand::End(name) => end(store, name),
        JobCommand::Forget(before) => forget(store, *before),
    }
}

fn submit(
    store: &mut dyn Store,
    number: JobNumber,
    call: &SubmitJob,
    now: UnixMillis,
) -> Result<JobOutcome> {
    let name = JobName {
        customer: call.customer.clone(),
        id: call.spec.id.clone(),
    };
    if number_of(store, &name)?.is_some() {
        return Ok(JobOutcome::Submitted(SubmitReply::Accepted, None));
    }
    let tokens: u64 = call.spec.items.iter().map(|item| item.tokens).sum();
    let waiting_key = waiting_key(&call.customer, &call.options.route);
    let waiting: u64 = table::get(store, &waiting_key)?.unwrap_or_default();
    let cap = call.options.token_cap;
    if cap > 0 && waiting + tokens > cap {
        return Ok(JobOutcome::Submitted(SubmitReply::Full, None));
    }
    table::put(store, &waiting_key, &(waiting + tokens))?;
    let job = Job {
        number,
        name: name.clone(),
        options: call.options.clone(),
        items: call.spec.items.iter().map(|i| i.id.clone()).collect(),
        accepted: now,
    };
    let progress = Progress {
        tokens,
        ..Progress::default()
    };
    table::put(store, &name_key(&name), &number)?;
    table::put(store, &job_key(number), &job)?;
    table::put(store, &progress_key(number), &progress)?;
    for (place, item) in call.spec.items.iter().enumerate() {
        let place = ItemIndex(u32::try_from(place).unwrap_or(u32::MAX));
        table::put(store, &item_key(number, place), item)?;
    }
    Ok(JobOutcome::Submitted(SubmitReply::Accepted, Some(number)))
}

/// Gives an item the next position, unless it has one.
fn list(store: &mut dyn Store, ended: &EndedItem) -> Result<()> {
    let Some(job) = job(store, ended.job)? else {
        return Ok(());
    };
    let key = item_key(ended.job, ended.item);
    let Some(spec) = table::get::<ItemSpec>(store, &key)? else {
        return Ok(());
    };
    let mut progress = progress(store, ended.job)?;
    let listed = ListedItem {
        id: spec.id,
        state: ended.state,
        text: ended.text.clone(),
    };
    table::put(store, &listed_key(ended.job, progress.listed), &listed)?;
    table::delete(store, &key)?;
    progress.listed += 1;
    if !progress.ended {
        progress.tokens = progress.tokens.saturating_sub(spec.tokens);
        lower_waiting(store, &job, spec.tokens)?;
    }
    table::put(store, &progress_key(ended.job), &progress)
}

fn end(store: &mut dyn Store, name: &JobName) -> Result<JobOutcome> {
    let Some(number) = number_of(store, name)? else {
        return Ok(JobOutcome::Ended(None));
    };
    let (Some(job), mut progress) = (job(store, number)?, progress(store, number)?) else {
        return Ok(JobOutcome::Ended(None));
    };
    if !progress.ended {
        lower_waiting(store, &job, progress.tokens)?;
        progress.ended = true;
        progress.tokens = 0;
        table::put(store, &progress_key(number), &progress)?;
    }
    Ok(JobOutcome::Ended(Some(number)))
}

fn forget(store: &mut dyn Store, before: UnixMillis) -> Result<JobOutcome> {
    let mut dropped = 0;
    for pair in store.scan_prefix(jobs_key().as_ref(), usize::MAX)? {
        let job: Job = table::decode(&pair.key, &pair.value)?;
        if job.accepted >= before || dropped == FORGET_STEP {
            break;
        }
        if !progress(store, job.number)?.is_closed(&job) {
            continue;
        }
        for table in ["job-item", "job-listed"] {
            let prefix = Key::new(table).number(job.number.0);
            for pair in store.scan_prefix(prefix.as_ref(), usize::MAX)? {
                store.delete(&pair.key)?;
            }
        }
        table::delete(store, &progress_key(job.number))?;
        table::delete(store, &job_key(job.number))?;
        table::delete(store, &name_key(&job.name))?;
        dropped += 1;
    }
    Ok(JobOutcome::Done)
}

fn lower_waiting(store: &mut dyn Store, job: &Job, tokens: u64) -> Result<()> {
    let key = waiting_key(&job.name.customer, &job.options.route);
    let waiting: u64 = table::get(store, &key)?.unwrap_or_default();
    table::put(store, &key, &waiting.saturating_sub(tokens))
}

// ----------------------------------------------------------------------------
// Reads.

/// The number of the batch that a caller means.
pub fn number_of(store: &dyn Store, name: &JobName) -> Result<Option<JobNumber>> {
    table::get(store, &name_key(name))
}

/// A job.
pub fn job(store: &dyn Store, number: JobNumber) -> Result<Option<Job>> {
    table::get(store, &job_key(number))
}

/// How far a job is.
pub fn progress(store: &dyn Store, number: JobNumber) -> Result<Progress> {
    Ok(table::get(store, &progress_key(number))?.unwrap_or_default())
}

/// The results from a position on: at least one if there is one, and then up to `bytes`.
pub fn results(
    store: &dyn Store,
    number: JobNumber,
    after: u32,
    bytes: usize,
) -> Result<Vec<ListedItem>> {
    let listed = progress(store, number)?.listed;
    let mut results = Vec::new();
    let mut size = 0;
    for position in after..listed {
        let Some(item) = table::get::<ListedItem>(store, &listed_key(number, position))? else {
            break;
        };
        size += item.text.len();
        if !results.is_empty() && size > bytes {
            break;
        }
        results.push(item);
    }
    Ok(results)
}

/// The body of an item that is not listed.
pub fn body(store: &dyn Store, number: JobNumber, id: &str) -> Result<Option<Bytes>> {
    let Some(job) = job(store, number)? else {
        return Ok(None);
    };
    let Some(place) = job.items.iter().position(|item| item == id) else {
        return Ok(None);
    };
    let place = ItemIndex(u32::try_from(place).unwrap_or(u32::MAX));
    Ok(item(store, number, place)?.map(|item| item.body))
}

/// An item that is not listed.
pub fn item(store: &dyn Store, number: JobNumber, item: ItemIndex) -> Result<Option<ItemSpec>> {
    table::get(store, &item_key(number, item))
}

/// All jobs of which something has to be run, with the items that are not listed.
pub fn open(store: &dyn Store) -> Result<Vec<(Job, Vec<ItemIndex>)>> {
    let mut open = Vec::new();
    for pair in store.scan_prefix(jobs_key().as_ref(), usize::MAX)? {
        let job: Job = table::decode(&pair.key, &pair.value)?;
        if progress(store, job.number)?.is_closed(&job) {
            continue;
        }
        let prefix = Key::new("job-item").number(job.number.0);
        let mut items = Vec::new();
        for pair in store.scan_prefix(prefix.as_ref(), usize::MAX)? {
            items.push(ItemIndex(KeyReader::after(&pair.key, &prefix).small()?));
        }
        open.push((job, items));
    }
    Ok(open)
}

/// Whether there is a closed job that was accepted before this moment.
pub fn has_expired(store: &dyn Store, before: UnixMillis) -> Result<bool> {
    for pair in store.scan_prefix(jobs_key().as_ref(), FORGET_STEP)? {
        let job: Job = table::decode(&pair.key, &pair.value)?;
        if job.accepted >= before {
            return Ok(false);
        }
        if progress(store, job.number)?.is_closed(&job) {
            return Ok(true);
        }
    }
    Ok(false)
}

fn jobs_key() -> Key {
    Key::new("job")
}

fn job_key(number: JobNumber) -> Key {
    jobs_key().number(number.0)
}

fn progress_key(number: JobNumber) -> Key {
    Key::new("job-progress").number(number.0)
}

fn name_key(name: &JobName) -> Key {
    Key::new("job-name").name(&name.customer).name(&name.id)
}

fn item_key(number: JobNumber, item: ItemIndex) -> Key {
    Key::new("job-item").number(number.0).small(item.0)
}

fn listed_key(number: JobNumber, position: u32) -> Key {
    Key::new("job-listed").number(number.0).small(position)
}

fn waiting_key(customer: &str, route: &str) -> Key {
    Key::new("job-waiting").name(customer).name(route)
}
