//! The calls that the leader answers.

use std::{future::Future, marker::PhantomData, sync::Arc, time::Duration};

use bytes::Bytes;
use clem_edge::ResultsPage;
use clem_state::jobs::{self, JobCommand, JobOutcome};
use clem_types::ItemIndex;
use clem_wire::{
    Call, answer,
    jobs::{EndJob, ReadItem, ReadResults, SubmitJob, SubmitReply},
    read_call,
};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait};

use crate::keeper::{Keeper, Refusal, Result};

/// The longest text of a page of results, in bytes; a page may hold 1 MB with its frame.
const PAGE_BYTES: usize = 900_000;

/// A call that the leader answers.
trait Serve: Call + Send + 'static {
    /// Whether the call is carried through although whoever sent it goes away: a change that is
    /// committed must reach the leader's soft state as well.
    const DETACHED: bool = false;

    /// Answers the call.
    fn serve(self, keeper: Arc<Keeper>) -> impl Future<Output = Result<Self::Reply>> + Send;
}

/// The paths of all calls.
pub(crate) fn routes(keeper: &Arc<Keeper>) -> Vec<Router> {
    vec![
        route::<SubmitJob>(keeper),
        route::<ReadResults>(keeper),
        route::<ReadItem>(keeper),
        route::<EndJob>(keeper),
    ]
}

fn route<C: Serve>(keeper: &Arc<Keeper>) -> Router
where
    C::Reply: Send,
{
    let path = C::PATH.trim_start_matches('/');
    Router::with_path(path).post(Endpoint::<C> {
        keeper: Arc::clone(keeper),
        call: PhantomData,
    })
}

/// Reads a call, has it answered, and writes the reply.
struct Endpoint<C> {
    keeper: Arc<Keeper>,
    call: PhantomData<fn() -> C>,
}

#[async_trait]
impl<C: Serve> Handler for Endpoint<C>
where
    C::Reply: Send,
{
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let Some(call) = read_call::<C>(req, res).await else {
            return;
        };
        let serving = call.serve(Arc::clone(&self.keeper));
        let result = if C::DETACHED {
            match tokio::spawn(serving).await {
                Ok(result) => result,
                Err(_) => Err(Refusal::Unknown),
            }
        } else {
            serving.await
        };
        answer(res, &self.keeper.reply(result));
    }
}

impl Serve for SubmitJob {
    const DETACHED: bool = true;

    async fn serve(self, keeper: Arc<Keeper>) -> Result<SubmitReply> {
        keeper.lead(|_| ())?;
        let now = keeper.node.clock.wall();
        let batch = self.spec.id.clone();
        let command = JobCommand::Submit { call: self, now };
        let JobOutcome::Submitted(reply, fresh) = keeper.propose(command).await? else {
            return Err(Refusal::Unknown);
        };
        log::info!(batch = batch.as_str(), reply:? = reply, fresh = fresh.is_some(); "batch taken");
        let job = fresh.and_then(|number| keeper.replica.read(|store| jobs::job(store, number)));
        if let Some(job) = job {
            let items = u32::try_from(job.items.len()).unwrap_or(u32::MAX);
            // A leader that lost its place meanwhile has kept the batch all the same.
            let _ = keeper.lead(|board| board.add(job, (0..items).map(ItemIndex)));
            keeper.work.notify_one();
        }
        Ok(reply)
    }
}

impl Serve for ReadResults {
    async fn serve(self, keeper: Arc<Keeper>) -> Result<Option<ResultsPage>> {
        let mut listed = keeper.listed();
        let wait = Duration::from_millis(self.wait_ms.into()).min(Self::HELD);
        let deadline = tokio::time::Instant::now() + wait;
        let after = u32::try_from(self.after).unwrap_or(u32::MAX);
        loop {
            listed.mark_unchanged();
            keeper.lead(|_| ())?;
            let number = keeper
                .replica
                .read(|store| jobs::number_of(store, &self.job));
            let Some(number) = number else {
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
                    _ = listed.changed() => {}
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

impl Serve for ReadItem {
    async fn serve(self, keeper: Arc<Keeper>) -> Result<Option<Bytes>> {
        keeper.lead(|_| ())?;
        let number = keeper
            .replica
            .read(|store| jobs::number_of(store, &self.job));
        let Some(number) = number else {
            return Ok(None);
        };
        Ok(keeper
            .replica
            .read(|store| jobs::body(store, number, &self.item)))
    }
}

impl Serve for EndJob {
    const DETACHED: bool = true;

    async fn serve(self, keeper: Arc<Keeper>) -> Result<bool> {
        keeper.lead(|_| ())?;
        let batch = self.job.id.clone();
        let JobOutcome::Ended(ended) = keeper.propose(JobCommand::End(self.job)).await? else {
            return Err(Refusal::Unknown);
        };
        log::info!(batch = batch.as_str(), found = ended.is_some(); "batch ended");
        if let Some(number) = ended {
            // A leader that lost its place meanwhile runs nothing any more.
            let _ = keeper.lead(|board| board.end(number));
            keeper.note_closed();
            keeper.note_listed();
        }
        Ok(ended.is_some())
    }
}
