//! What the leader does all the time: starting items, listing ended ones, forgetting old jobs.

use std::{sync::Arc, time::Duration};

use clem_state::jobs::{self, JobCommand};
use clem_types::UnixMillis;
use tokio::task::JoinSet;

use crate::{item::ItemRun, keeper::Keeper};

/// How often it is looked for items to run, besides when there may be one.
const INTERVAL: Duration = Duration::from_millis(100);
/// How long ended items wait for others, so that one change lists them together.
const LIST_PAUSE: Duration = Duration::from_millis(10);
/// The pause before a change that was not made is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// The fewest items that may run or wait for a slot.
const RUNNING_MIN: usize = 8;
/// How often old jobs are looked for.
const FORGET_INTERVAL: Duration = Duration::from_secs(10);
/// How long a job is kept after its acceptance, in milliseconds, beyond the time for which its
/// results can be read.
const FORGET_AFTER_MS: u64 = 600_000;

/// Runs items for as long as the process runs, while it leads.
pub(crate) async fn run_items(keeper: Arc<Keeper>) {
    let mut runs = JoinSet::new();
    loop {
        tokio::select! {
            () = keeper.work.notified() => {}
            () = tokio::time::sleep(INTERVAL) => {}
        }
        while runs.try_join_next().is_some() {}
        if keeper.lead(|_| ()).is_err() {
            // The next leader runs them.
            runs.abort_all();
            continue;
        }
        report_members(&keeper);
        let most = running_max(&keeper);
        while runs.len() < most {
            let now = keeper.node.now();
            let Ok(Some(ready)) = keeper.lead(|board| board.take(now)) else {
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

/// Tells the hub who the members are, with the next report.
fn report_members(keeper: &Keeper) {
    keeper.node.view().members = Some(keeper.replica.voters());
}

/// As many items as there are slots may run or wait for one.
fn running_max(keeper: &Keeper) -> usize {
    let view = keeper.node.view();
    let slots: u32 = view.targets.values().map(|target| target.slots).sum();
    (slots as usize).max(RUNNING_MIN)
}

/// Lists ended items for as long as the process runs.
pub(crate) async fn list_ended(keeper: Arc<Keeper>) {
    loop {
        keeper.ended_ready.notified().await;
        tokio::time::sleep(LIST_PAUSE).await;
        let ended = keeper.take_ended();
        if ended.is_empty() {
            continue;
        }
        let done: Vec<_> = ended.iter().map(|item| (item.job, item.item)).collect();
        while keeper.lead(|_| ()).is_ok() {
            if keeper
                .propose_job(JobCommand::List(ended.clone()))
                .await
                .is_ok()
            {
                for (job, item) in done {
                    keeper.finish(job, item);
                }
                keeper.note_listed();
                break;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Gives slots back that the hub calls back, for as long as the process runs.
pub(crate) async fn give_back(keeper: Arc<Keeper>) {
    loop {
        keeper.node.recalled.notified().await;
        for ticket in keeper.node.take_recalls() {
            keeper.recall(ticket);
        }
    }
}

/// Forgets old jobs for as long as the process runs.
pub(crate) async fn forget(keeper: Arc<Keeper>) {
    loop {
        tokio::time::sleep(FORGET_INTERVAL).await;
        if keeper.lead(|_| ()).is_err() {
            continue;
        }
        let before = keeper.node.clock.wall().0.saturating_sub(FORGET_AFTER_MS);
        let old = keeper
            .replica
            .read(|store| jobs::has_expired(store, UnixMillis(before)));
        if old {
            // A change that was not made is tried again next time.
            let _ = keeper
                .propose_job(JobCommand::Forget(UnixMillis(before)))
                .await;
        }
    }
}
