//! Internal calls, which only the leader answers.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use clem_control::endpoint::{Replicated, Result, Serve, ServeError, route};
use clem_edge::ResultsPage;
use clem_state::jobs::{self, JobCommand, JobNumber, JobOutcome};
use clem_types::ItemIndex;
use clem_wire::{
    Call,
    jobs::{EndJob, JobName, ReadItem, ReadResults, SubmitJob, SubmitReply},
};
use salvo::Router;

use crate::keeper::Keeper;

/// The largest text of a results page, in bytes; a page with its framing may take 1 MB.
const PAGE_BYTES: usize = 900_000;

/// The routes of all calls.
pub(crate) fn routes(keeper: &Arc<Keeper>) -> Vec<Router> {
    vec![
        route::<SubmitJob, _>(keeper),
        route::<ReadResults, _>(keeper),
        route::<ReadItem, _>(keeper),
        route::<EndJob, _>(keeper),
    ]
}

impl Serve<Keeper> for SubmitJob {
    const DETACHED: bool = true;
    const LARGE: bool = true;

    async fn serve(self, keeper: Arc<Keeper>) -> Result<SubmitReply> {
        keeper.with_leader(|_| ())?;
        let now = keeper.node.clock.wall_time();
        let batch = self.spec.id.clone();
        let command = JobCommand::Submit { call: self, now };
        let JobOutcome::Submitted(reply, fresh) = keeper.propose_job(command).await? else {
            return Err(ServeError::Unknown);
        };
        log::info!(batch = batch.as_str(), reply:? = reply, fresh = fresh.is_some(); "batch submission decided");
        let job = fresh.and_then(|number| keeper.replica.read(|store| jobs::job(store, number)));
        if let Some(job) = job {
            let items = u32::try_from(job.items.len()).unwrap_or(u32::MAX);
            // If this process is no longer the leader, the batch is stored all the same and the
            // next leader runs it.
            let _ = keeper.with_leader(|queue| queue.add(job, (0..items).map(ItemIndex)));
            keeper.items_ready.notify_one();
        }
        Ok(reply)
    }
}

impl Serve<Keeper> for ReadResults {
    async fn serve(self, keeper: Arc<Keeper>) -> Result<Option<ResultsPage>> {
        let mut recorded = keeper.recorded();
        let wait = Duration::from_millis(self.wait_ms.into()).min(Self::MAX_HOLD);
        let deadline = tokio::time::Instant::now() + wait;
        let after = u32::try_from(self.after).unwrap_or(u32::MAX);
        loop {
            recorded.mark_unchanged();
            let Some(number) = number_of(&keeper, &self.job).await? else {
                return Ok(None);
            };
            let Some(job) = keeper.replica.read(|store| jobs::job(store, number)) else {
                return Ok(None);
            };
            let results = keeper
                .replica
                .read(|store| jobs::results(store, number, after, PAGE_BYTES));
            let progress = keeper.replica.read(|store| jobs::progress(store, number));
            let over = tokio::time::Instant::now() >= deadline || progress.is_closed(&job);
            if results.is_empty() && !over {
                tokio::select! {
                    _ = recorded.changed() => {}
                    () = tokio::time::sleep_until(deadline) => {}
                }
                continue;
            }
            return Ok(Some(ResultsPage {
                total: job.items.len() as u64,
                next: self.after + results.len() as u64,
                results,
            }));
        }
    }
}

impl Serve<Keeper> for ReadItem {
    async fn serve(self, keeper: Arc<Keeper>) -> Result<Option<Bytes>> {
        let Some(number) = number_of(&keeper, &self.job).await? else {
            return Ok(None);
        };
        Ok(keeper
            .replica
            .read(|store| jobs::body(store, number, &self.item)))
    }
}

/// Looks up a job's number. Waits for the read barrier, so that later reads are not stale.
async fn number_of(keeper: &Keeper, job: &JobName) -> Result<Option<JobNumber>> {
    keeper.barrier().await?;
    Ok(keeper.replica.read(|store| jobs::number_of(store, job)))
}

impl Serve<Keeper> for EndJob {
    const DETACHED: bool = true;

    async fn serve(self, keeper: Arc<Keeper>) -> Result<bool> {
        keeper.with_leader(|_| ())?;
        let batch = self.job.id.clone();
        let JobOutcome::Ended(ended) = keeper.propose_job(JobCommand::End(self.job)).await? else {
            return Err(ServeError::Unknown);
        };
        log::info!(batch = batch.as_str(), found = ended.is_some(); "batch deleted");
        if let Some(number) = ended {
            // If this process is no longer the leader, it runs no items.
            let _ = keeper.with_leader(|queue| queue.end(number));
            keeper.note_closed();
            keeper.note_recorded();
        }
        Ok(ended.is_some())
    }
}
