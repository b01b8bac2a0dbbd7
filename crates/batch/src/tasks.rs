//! Background tasks of the leader: running items, recording results, deleting old jobs.

use std::{sync::Arc, time::Duration};

use clem_state::jobs::{self, Job, JobCommand};
use clem_types::UnixMillis;
use tokio::task::JoinSet;

use crate::{item::ItemRun, keeper::Keeper, placement, queue::ENDING_MAX};

/// How often the queue is checked, in addition to when an item is added.
const INTERVAL: Duration = Duration::from_millis(100);
/// How often jobs are logged whose items no target may run.
const WAITING_INTERVAL: Duration = Duration::from_secs(10);
/// How long ended items are collected before they are recorded in one command.
const RECORD_DELAY: Duration = Duration::from_millis(10);
/// Delay before a command that was not committed is proposed again.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Lower bound for the number of items of a route that may run or wait for a slot at once, if it has
/// targets.
const RUNNING_MIN: usize = 8;
/// How often old jobs are looked for.
const DELETE_INTERVAL: Duration = Duration::from_secs(10);
/// Age at which a job is deleted, in milliseconds since it was accepted; longer than its results
/// can be read.
const DELETE_AFTER_MS: u64 = 600_000;

/// Runs items while this process leads, until it exits.
pub(crate) async fn run_items(keeper: Arc<Keeper>) {
    let mut runs = JoinSet::new();
    let mut logged = keeper.node.now();
    loop {
        tokio::select! {
            () = keeper.items_ready.notified() => {}
            () = tokio::time::sleep(INTERVAL) => {}
        }
        while runs.try_join_next().is_some() {}
        let now = keeper.node.now();
        if now.since(logged) >= WAITING_INTERVAL {
            logged = now;
            log_waiting(&keeper);
        }
        if keeper.with_leader(|_| ()).is_err() {
            // The next leader runs them again.
            runs.abort_all();
            continue;
        }
        report_members(&keeper);
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
            runs.spawn(ItemRun::new(Arc::clone(&keeper), ready, spec).run());
        }
    }
}

/// Includes the member list in the next report to the hub.
fn report_members(keeper: &Keeper) {
    keeper.node.view().members = Some(keeper.replica.voters());
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
        let done: Vec<_> = ended.iter().map(|item| (item.job, item.item)).collect();
        while keeper.with_leader(|_| ()).is_ok() {
            if keeper
                .propose_job(JobCommand::List(ended.clone()))
                .await
                .is_ok()
            {
                for (job, item) in done {
                    keeper.finish(job, item);
                }
                keeper.note_recorded();
                break;
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
