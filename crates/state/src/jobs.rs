//! Jobs: the batches of the direct path.
//!
//! A job is accepted once. Each result is appended once to the job's result list and keeps its
//! position there. Only accepted jobs and finished items are replicated. Which target runs an
//! item is known only in the leader's memory, so a run that is lost in a leader change is repeated.
//! See `docs/design/platform.md`, "What is kept where".

use bytes::Bytes;
use clem_edge::{ItemResult, ItemSpec, ItemStatus};
use clem_store::Store;
use clem_types::{ItemIndex, UnixMillis};
use clem_wire::jobs::{JobName, JobOptions, SubmitJob, SubmitReply};
use serde::{Deserialize, Serialize};

use crate::{
    Result,
    table::{self, Key, KeyReader},
};

/// Maximum number of jobs that one command drops, which bounds its duration.
const FORGET_STEP: usize = 20;

/// Identifies a job: the index of the log entry that accepted it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct JobNumber(pub u64);

/// A change of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobCommand {
    /// Accepts a job, unless the customer already has one with this id.
    Submit {
        /// The submission, as the front sent it.
        call: SubmitJob,
        /// The leader's time of the submission, from which retention counts.
        now: UnixMillis,
    },
    /// Appends the results of finished items.
    List(Vec<EndedItem>),
    /// Ends a job at its caller's request: its remaining items are not run.
    End(JobName),
    /// Drops closed jobs that were accepted before this time.
    Forget(UnixMillis),
}

impl JobCommand {
    /// Whether the command only adds work.
    pub(crate) fn is_new(&self) -> bool {
        match self {
            Self::Submit { .. } => true,
            Self::List(_) | Self::End(_) | Self::Forget(_) => false,
        }
    }
}

/// A finished item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedItem {
    /// The job that the item belongs to.
    pub job: JobNumber,
    /// The item's index within the job.
    pub item: ItemIndex,
    /// How the item ended.
    pub state: ItemStatus,
    /// The data of the answer's server-sent events, separated by line feeds.
    pub text: String,
}

/// The result of a [`JobCommand`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobOutcome {
    /// The reply to a submission, and the job's number if this submission created it.
    Submitted(SubmitReply, Option<JobNumber>),
    /// Results were appended, or jobs dropped.
    Done,
    /// The ended job; `None` if the customer has no such job.
    Ended(Option<JobNumber>),
}

/// The immutable part of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// The job's number, also part of its keys.
    pub number: JobNumber,
    /// The customer, and the id that the caller chose.
    pub name: JobName,
    /// How the items are run.
    #[serde(rename = "terms")]
    pub options: JobOptions,
    /// The caller's ids of the items, in the order of submission.
    pub items: Vec<String>,
    /// When the job was accepted.
    pub accepted: UnixMillis,
}

/// The mutable part of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Length of the result list.
    pub listed: u32,
    /// Whether the caller ended the job.
    pub ended: bool,
    /// Prompt tokens plus maximum output tokens of the unfinished items; 0 once the job is ended.
    pub tokens: u64,
}

impl Progress {
    /// Whether no items remain to be run.
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
    let each = call.spec.items.iter().map(|item| item.tokens);
    let tokens = each.fold(0, u64::saturating_add);
    let waiting_key = waiting_key(&call.customer, &call.options.route);
    let waiting: u64 = table::get(store, &waiting_key)?.unwrap_or_default();
    let cap = call.options.token_cap;
    let waiting = waiting.saturating_add(tokens);
    if cap > 0 && waiting > cap {
        return Ok(JobOutcome::Submitted(SubmitReply::Full, None));
    }
    table::put(store, &waiting_key, &waiting)?;
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
    for (index, item) in call.spec.items.iter().enumerate() {
        let index = ItemIndex(u32::try_from(index).unwrap_or(u32::MAX));
        table::put(store, &item_key(number, index), item)?;
    }
    Ok(JobOutcome::Submitted(SubmitReply::Accepted, Some(number)))
}

/// Appends an item's result to the result list, unless the item is already on it.
fn list(store: &mut dyn Store, ended: &EndedItem) -> Result<()> {
    let Some(job) = job(store, ended.job)? else {
        return Ok(());
    };
    let key = item_key(ended.job, ended.item);
    let Some(spec) = table::get::<ItemSpec>(store, &key)? else {
        return Ok(());
    };
    let mut progress = progress(store, ended.job)?;
    let listed = ItemResult {
        id: spec.id,
        state: ended.state,
        text: ended.text.clone(),
    };
    table::put(store, &listed_key(ended.job, progress.listed), &listed)?;
    table::delete(store, &key)?;
    progress.listed += 1;
    if !progress.ended {
        progress.tokens = progress.tokens.saturating_sub(spec.tokens);
        subtract_waiting(store, &job, spec.tokens)?;
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
        subtract_waiting(store, &job, progress.tokens)?;
        progress.ended = true;
        progress.tokens = 0;
        table::put(store, &progress_key(number), &progress)?;
    }
    Ok(JobOutcome::Ended(Some(number)))
}

fn forget(store: &mut dyn Store, before: UnixMillis) -> Result<JobOutcome> {
    let mut dropped = 0;
    for pair in store.scan_prefix(jobs_prefix().as_ref(), usize::MAX)? {
        let job: Job = table::decode(&pair.key, &pair.value)?;
        if job.accepted >= before || dropped == FORGET_STEP {
            break;
        }
        if !progress(store, job.number)?.is_closed(&job) {
            continue;
        }
        for table in ["job-item", "job-listed"] {
            let prefix = Key::new(table).u64(job.number.0);
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

/// Subtracts from the customer's unfinished tokens on the job's route.
fn subtract_waiting(store: &mut dyn Store, job: &Job, tokens: u64) -> Result<()> {
    let key = waiting_key(&job.name.customer, &job.options.route);
    let waiting: u64 = table::get(store, &key)?.unwrap_or_default();
    table::put(store, &key, &waiting.saturating_sub(tokens))
}

// ----------------------------------------------------------------------------
// Queries

/// The number of the customer's job with the caller's id, if there is one.
pub fn number_of(store: &dyn Store, name: &JobName) -> Result<Option<JobNumber>> {
    table::get(store, &name_key(name))
}

/// The immutable part of a job; none if there is no such job.
pub fn job(store: &dyn Store, number: JobNumber) -> Result<Option<Job>> {
    table::get(store, &job_key(number))
}

/// The mutable part of a job; the default if there is no such job.
pub fn progress(store: &dyn Store, number: JobNumber) -> Result<Progress> {
    Ok(table::get(store, &progress_key(number))?.unwrap_or_default())
}

/// The results from position `after` on: at least one if there is any, then as many as fit in
/// `bytes` of text in quotes, with line feeds, quotes and control characters escaped.
pub fn results(
    store: &dyn Store,
    number: JobNumber,
    after: u32,
    bytes: usize,
) -> Result<Vec<ItemResult>> {
    let listed = progress(store, number)?.listed;
    let mut results = Vec::new();
    let mut size = 0;
    for position in after..listed {
        let Some(item) = table::get::<ItemResult>(store, &listed_key(number, position))? else {
            break;
        };
        size += quoted_len(&item.text);
        if !results.is_empty() && size > bytes {
            break;
        }
        results.push(item);
    }
    Ok(results)
}

/// The length of a text in quotes, in bytes.
fn quoted_len(text: &str) -> usize {
    let byte_len = |byte: u8| match byte {
        b'"' | b'\\' | b'\n' | b'\r' | b'\t' => 2,
        0..b' ' => 6,
        b' '..=u8::MAX => 1,
    };
    text.bytes().map(byte_len).sum()
}

/// The request body of the unfinished item that the caller named `id`.
pub fn body(store: &dyn Store, number: JobNumber, id: &str) -> Result<Option<Bytes>> {
    let Some(job) = job(store, number)? else {
        return Ok(None);
    };
    let Some(index) = job.items.iter().position(|item| item == id) else {
        return Ok(None);
    };
    let index = ItemIndex(u32::try_from(index).unwrap_or(u32::MAX));
    Ok(item(store, number, index)?.map(|item| item.body))
}

/// The specification of an unfinished item; none once its result is on the list.
pub fn item(store: &dyn Store, number: JobNumber, item: ItemIndex) -> Result<Option<ItemSpec>> {
    table::get(store, &item_key(number, item))
}

/// All jobs that are not closed, with their unfinished items.
pub fn open(store: &dyn Store) -> Result<Vec<(Job, Vec<ItemIndex>)>> {
    let mut open = Vec::new();
    for pair in store.scan_prefix(jobs_prefix().as_ref(), usize::MAX)? {
        let job: Job = table::decode(&pair.key, &pair.value)?;
        if progress(store, job.number)?.is_closed(&job) {
            continue;
        }
        let prefix = Key::new("job-item").u64(job.number.0);
        let mut items = Vec::new();
        for pair in store.scan_prefix(prefix.as_ref(), usize::MAX)? {
            items.push(ItemIndex(KeyReader::after(&pair.key, &prefix).u32()?));
        }
        open.push((job, items));
    }
    Ok(open)
}

/// Whether one of the oldest jobs is closed and was accepted before this time. Only as many are
/// read as one command may drop.
pub fn has_expired(store: &dyn Store, before: UnixMillis) -> Result<bool> {
    for pair in store.scan_prefix(jobs_prefix().as_ref(), FORGET_STEP)? {
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

fn jobs_prefix() -> Key {
    Key::new("job")
}

fn job_key(number: JobNumber) -> Key {
    jobs_prefix().u64(number.0)
}

fn progress_key(number: JobNumber) -> Key {
    Key::new("job-progress").u64(number.0)
}

fn name_key(name: &JobName) -> Key {
    Key::new("job-name").name(&name.customer).name(&name.id)
}

fn item_key(number: JobNumber, item: ItemIndex) -> Key {
    Key::new("job-item").u64(number.0).u32(item.0)
}

fn listed_key(number: JobNumber, position: u32) -> Key {
    Key::new("job-listed").u64(number.0).u32(position)
}

fn waiting_key(customer: &str, route: &str) -> Key {
    Key::new("job-waiting").name(customer).name(route)
}
