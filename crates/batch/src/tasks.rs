//! Background tasks of the leader: running items, recording results, deleting old jobs.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use clem_control::endpoint::ServeError;
use clem_policy::LogPace;
use clem_state::jobs::{self, Job, JobCommand, JobNumber};
use clem_types::{ItemIndex, UnixMillis};

use crate::{
    item::{HeldRun, ItemRun},
    item_watch::{ItemCounts, ItemState},
    keeper::{COMMIT_LOGGED, Keeper},
    placement,
    queue::ENDING_MAX,
    run_set::{EndedRun, RunSet},
};

/// How often the queue is checked, in addition to when an item is added.
const INTERVAL: Duration = Duration::from_millis(100);
/// How often jobs are logged whose items no target may run.
const WAITING_INTERVAL: Duration = Duration::from_secs(10);
/// How long ended items are collected before they are recorded in one command.
const RECORD_DELAY: Duration = Duration::from_millis(10);
/// Delay before a command that was not committed is proposed again.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Delay before an item is run again whose run panicked.
const PANIC_DELAY: Duration = Duration::from_secs(2);
/// Lower bound for the number of items of a route that may run or wait for a slot at once, if it has
/// targets.
const RUNNING_MIN: usize = 8;
/// How often old jobs are looked for.
const DELETE_INTERVAL: Duration = Duration::from_secs(10);
/// Age at which a job is deleted, in milliseconds since it was accepted; longer than its results
/// can be read.
const DELETE_AFTER_MS: u64 = 600_000;

/// Runs of items that are in the queue again.
type HeldRuns = HashMap<(JobNumber, ItemIndex), ItemRun>;

/// Runs items while this process leads, until it exits.
pub(crate) async fn run_items(keeper: Arc<Keeper>) {
    let mut runs = RunSet::default();
    let mut held = HeldRuns::new();
    let mut logged = keeper.node.now();
    loop {
        tokio::select! {
            () = keeper.items_ready.notified() => {}
            () = tokio::time::sleep(INTERVAL) => {}
        }
        put_back_ended(&keeper, runs.take_ended(), &mut held);
        let now = keeper.node.now();
        if now.since(logged) >= WAITING_INTERVAL {
            logged = now;
            held.retain(|(job, _), _| keeper.is_open(*job));
            log_waiting(&keeper);
        }
        if keeper.with_leader(|_| ()).is_err() {
            // The next leader runs them again.
            runs.abort_all();
            held.clear();
            continue;
        }
        report_members(&keeper);
        report_items(&keeper);
        loop {
            let now = keeper.node.now();
            let wall = keeper.node.clock.wall_time();
            let places = |job: &Job| places(&keeper, job);
            let Ok(Some(ready)) = keeper.with_leader(|queue| queue.take(now, wall, places)) else {
                break;
            };
            let spec = keeper
                .replica
                .read(|store| jobs::item(store, ready.job.number, ready.item));
            let Some(spec) = spec else {
                keeper.finish(ready.job.number, ready.item);
                continue;
            };
            keeper.with_watch(|watch| watch.take(now, &ready.job, ready.item));
            let (job, item) = (ready.job.number, ready.item);
            let keeper = Arc::clone(&keeper);
            let before = held.remove(&(job, item));
            runs.spawn(job, item, async move {
                let run = before.unwrap_or_else(|| ItemRun::new(keeper, ready, spec));
                run.run().await
            });
        }
    }
}

/// Returns the items whose runs were held back, or have panicked, to the queue.
fn put_back_ended(keeper: &Keeper, ended: Vec<EndedRun<Option<HeldRun>>>, held: &mut HeldRuns) {
    for EndedRun { job, item, result } in ended {
        match result {
            Ok(None) => {}
            Ok(Some(HeldRun { run, delay })) => {
                if keeper.put_back(job, item, delay) {
                    held.insert((job, item), run);
                }
            }
            Err(message) => {
                log::error!(
                    job = job.0, item = item.0, message = message.as_str();
                    "run of an item panicked"
                );
                keeper.put_back(job, item, PANIC_DELAY);
            }
        }
    }
}

/// Includes the member list in the next report to the hub.
fn report_members(keeper: &Keeper) {
    keeper.node.view().members = Some(keeper.replica.voters());
}

/// Reports at intervals what the items without a recorded result do.
fn report_items(keeper: &Keeper) {
    let now = keeper.node.now();
    if !keeper.with_watch(|watch| watch.take_due(now)) {
        return;
    }
    let wall = keeper.node.clock.wall_time();
    let report = keeper.with_leader(|queue| {
        keeper.with_watch(|watch| {
            watch.retain(|job| queue.is_open(job));
            (watch.counts(now, wall, queue), watch.take_idle(now, queue))
        })
    });
    let Ok((counts, idle)) = report else {
        return;
    };
    set_gauges(&counts);
    let text_bytes = keeper.texts.used_bytes();
    metrics::gauge!("clem_batch_text_bytes").set(text_bytes as f64);
    if counts.total() == 0 {
        return;
    }
    log_counts(&counts, text_bytes);
    for item in idle {
        log::info!(
            item = item.item.as_str(), batch = item.batch.as_str(),
            state = item.state.map_or("queued", ItemState::as_str),
            idle_ms = item.idle.as_millis() as u64;
            "item at no target"
        );
    }
}

fn set_gauges(counts: &ItemCounts) {
    metrics::gauge!("clem_batch_items", "state" => "queued").set(counts.queued as f64);
    metrics::gauge!("clem_batch_items", "state" => "delayed").set(counts.delayed as f64);
    for state in ItemState::ALL {
        let gauge = metrics::gauge!("clem_batch_items", "state" => state.as_str());
        gauge.set(counts.of(state) as f64);
    }
    metrics::gauge!("clem_batch_oldest_seconds").set(counts.oldest.as_secs_f64());
    metrics::gauge!("clem_batch_oldest_ended_seconds").set(counts.oldest_ended.as_secs_f64());
}

fn log_counts(counts: &ItemCounts, text_bytes: usize) {
    let join = |items: &BTreeMap<ItemState, usize>| {
        let texts = items
            .iter()
            .map(|(state, n)| format!("{}:{n}", state.as_str()));
        texts.collect::<Vec<_>>().join(",")
    };
    log::info!(
        queued = counts.queued, delayed = counts.delayed, taken = join(&counts.taken).as_str(),
        held = join(&counts.held).as_str(),
        oldest_ms = counts.oldest.as_millis() as u64,
        oldest_ended_ms = counts.oldest_ended.as_millis() as u64, text_bytes;
        "items without a result"
    );
}

/// The number of items of a job's route that may run or wait for a slot at once: the slots of the
/// targets that may run them, and none without a target.
fn places(keeper: &Keeper, job: &Job) -> usize {
    let view = keeper.node.view();
    let Some(services) = placement::services(view.rules.as_deref(), &job.options) else {
        return ENDING_MAX;
    };
    let targets = services.iter().flat_map(|service| view.ready(service));
    match targets.map(|target| target.slots).sum::<u32>() {
        0 => 0,
        slots => (slots as usize).max(RUNNING_MIN),
    }
}

/// Logs the jobs whose items wait because no target may run them.
fn log_waiting(keeper: &Keeper) {
    let jobs = keeper.with_leader(|queue| queue.jobs_waiting());
    for job in jobs.unwrap_or_default() {
        if places(keeper, &job) == 0 {
            log::warn!(
                batch = job.name.id.as_str(), route = job.options.route.as_str();
                "batch without a target"
            );
        }
    }
}

/// Records results of ended items until the process exits.
pub(crate) async fn record_results(keeper: Arc<Keeper>) {
    loop {
        keeper.ended_ready.notified().await;
        tokio::time::sleep(RECORD_DELAY).await;
        let ended = keeper.take_ended();
        if ended.is_empty() {
            continue;
        }
        // There may be more than one command records.
        keeper.ended_ready.notify_one();
        let done: Vec<_> = ended.iter().map(|item| (item.job, item.item)).collect();
        let begun = keeper.node.now();
        let mut pace = LogPace::new(begun, COMMIT_LOGGED);
        while keeper.with_leader(|_| ()).is_ok() {
            let waits = match keeper.propose_job(JobCommand::List(ended.clone())).await {
                Ok(_) => {
                    for (job, item) in done {
                        keeper.finish(job, item);
                    }
                    keeper.note_recorded();
                    break;
                }
                Err(ServeError::NotLeader) => "acceptance",
                Err(ServeError::NoRoom) => "room",
                Err(ServeError::Unknown) => "outcome",
            };
            if pace.take_due(keeper.node.now()) {
                keeper.log_uncommitted("results", waits, begun);
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Gives up slots that the hub recalls, until the process exits.
pub(crate) async fn handle_recalls(keeper: Arc<Keeper>) {
    loop {
        keeper.node.recalled.notified().await;
        for ticket in keeper.node.take_recalls() {
            keeper.recall(ticket);
        }
    }
}

/// Deletes old jobs until the process exits.
pub(crate) async fn delete_old(keeper: Arc<Keeper>) {
    loop {
        tokio::time::sleep(DELETE_INTERVAL).await;
        if keeper.with_leader(|_| ()).is_err() {
            continue;
        }
        let before = keeper
            .node
            .clock
            .wall_time()
            .0
            .saturating_sub(DELETE_AFTER_MS);
        let old = keeper
            .replica
            .read(|store| jobs::has_expired(store, UnixMillis(before)));
        if old {
            // A command that was not committed is proposed again in the next round.
            let _ = keeper
                .propose_job(JobCommand::Forget(UnixMillis(before)))
                .await;
        }
    }
}
