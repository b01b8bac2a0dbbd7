//! Handlers for batches: upload, status, cancel and results for entries; leases and item results
//! for agents.

use std::{sync::Arc, time::Duration};

use clem_rules::{Backend, Rules};
use clem_state::{Command, Outcome, batch};
use clem_types::{RouteId, UnixMillis};
use clem_wire::{
    batch::{
        BatchBegin, BatchBeginReply, BatchCancel, BatchChunk, BatchChunkReply, BatchResults,
        BatchSeal, BatchSealReply, BatchStatus, BatchView, FinishItems, FinishItemsReply,
        LeaseItems, LeaseItemsReply, ResultsPage,
    },
    sync::ModelState,
};
use salvo::Router;

use crate::control::{Control, Replicated, Result, ServeError};

use super::{Serve, route};

/// Duration of a lease on an item from the moment at which the agent sent its call.
const ITEM_LEASE: Duration = Duration::from_secs(8);
/// How much longer the replicated state treats a lease as valid, to allow for the transit time of
/// the call and for clock drift.
const ITEM_MARGIN: Duration = Duration::from_secs(1);

pub(super) fn routes(control: &Arc<Control>) -> Vec<Router> {
    vec![
        route::<BatchBegin, _>(control),
        route::<BatchChunk, _>(control),
        route::<BatchSeal, _>(control),
        route::<BatchStatus, _>(control),
        route::<BatchCancel, _>(control),
        route::<BatchResults, _>(control),
        route::<LeaseItems, _>(control),
        route::<FinishItems, _>(control),
    ]
}

// ---------------------------------------------------------------------------------------------
// Uploads

impl Serve<Control> for BatchBegin {
    async fn serve(self, control: Arc<Control>) -> Result<BatchBeginReply> {
        let control = &*control;
        control.barrier().await?;
        if let Some(reason) = disk_full(control) {
            return Ok(BatchBeginReply::Full { reason });
        }
        let weight = control.with_leader(|lead, _| {
            let rules = lead.history.rules();
            let customer = rules.customers().get(&self.customer)?;
            Some(customer.weight)
        })?;
        let Some(weight) = weight else {
            let reason = format!("the rules have no customer {}", self.customer);
            return Ok(BatchBeginReply::Full { reason });
        };
        let limits = control.limits;
        let command = Command::BatchBegin(batch::Begin {
            call: self,
            weight,
            room: limits.batch_bytes,
            retention: limits.retention_ms,
            now: control.wall_time(),
        });
        let Outcome::BatchBegin(reply) = control.propose(command).await? else {
            return Err(ServeError::Unknown);
        };
        Ok(reply)
    }
}

impl Serve<Control> for BatchChunk {
    async fn serve(self, control: Arc<Control>) -> Result<BatchChunkReply> {
        let control = &*control;
        if let Some(reason) = disk_full(control) {
            return Ok(BatchChunkReply::Full { reason });
        }
        let room = control.limits.batch_bytes;
        let command = Command::BatchChunk { call: self, room };
        let Outcome::BatchChunk(reply) = control.propose(command).await? else {
            return Err(ServeError::Unknown);
        };
        Ok(reply)
    }
}

/// The reason to refuse uploads while the disk is nearly full. Batches already accepted still run.
fn disk_full(control: &Control) -> Option<String> {
    let full = control.replica.free_bytes() < control.limits.disk_reserve;
    full.then(|| "the disk has no room for more batches".to_owned())
}

impl Serve<Control> for BatchSeal {
    async fn serve(self, control: Arc<Control>) -> Result<BatchSealReply> {
        let control = &*control;
        let now = control.wall_time();
        let (batch, items) = (self.batch, self.items);
        let outcome = control
            .propose(Command::BatchSeal { call: self, now })
            .await?;
        let Outcome::BatchSeal(reply) = outcome else {
            return Err(ServeError::Unknown);
        };
        log::info!(batch:% = batch, items, reply:? = reply; "batch sealed");
        Ok(reply)
    }
}

// ---------------------------------------------------------------------------------------------
// Status, results and cancel

impl Serve<Control> for BatchStatus {
    async fn serve(self, control: Arc<Control>) -> Result<Option<BatchView>> {
        let control = &*control;
        control.barrier().await?;
        let now = control.wall_time();
        Ok(control
            .replica
            .read(|store| batch::status(store, &self, now)))
    }
}

impl Serve<Control> for BatchResults {
    async fn serve(self, control: Arc<Control>) -> Result<Option<ResultsPage>> {
        let control = &*control;
        control.barrier().await?;
        Ok(control.replica.read(|store| batch::results(store, &self)))
    }
}

impl Serve<Control> for BatchCancel {
    async fn serve(self, control: Arc<Control>) -> Result<Option<BatchView>> {
        let control = &*control;
        let now = control.wall_time();
        let batch = self.batch;
        let outcome = control
            .propose(Command::BatchCancel { call: self, now })
            .await?;
        let Outcome::BatchCancel(outcome) = outcome else {
            return Err(ServeError::Unknown);
        };
        log::info!(batch:% = batch, running = outcome.running.len(); "batch cancelled");
        control.with_leader(|lead, _| {
            for running in &outcome.running {
                lead.stop_item(&running.holder, running.item);
            }
        })?;
        control.notify_update();
        Ok(outcome.view)
    }
}

// ---------------------------------------------------------------------------------------------
// Item leases and results

impl Serve<Control> for LeaseItems {
    async fn serve(self, control: Arc<Control>) -> Result<LeaseItemsReply> {
        let control = &*control;
        control.barrier().await?;
        let routes = control.with_leader(|lead, now| {
            // An agent whose lease on the rules has expired gets no new work.
            if !lead.leases.holds(&self.holder, self.incarnation, now) {
                return Vec::new();
            }
            served_routes(lead.history.rules(), &self)
        })?;
        if routes.is_empty() && self.renew.is_empty() {
            return Ok(empty_lease());
        }
        if self.renew.is_empty()
            && !control
                .replica
                .read(|store| batch::has_waiting(store, &routes))
        {
            return Ok(empty_lease());
        }
        let now = control.wall_time();
        let span = u64::try_from((ITEM_LEASE + ITEM_MARGIN).as_millis()).unwrap_or(u64::MAX);
        let holder = self.holder.clone();
        let command = Command::Lease(batch::Lease {
            holder: self.holder,
            incarnation: self.incarnation,
            sequence: self.sequence,
            routes,
            room: self.room,
            renew: self.renew,
            until: UnixMillis(now.0.saturating_add(span)),
            now,
        });
        let Outcome::Lease(mut reply) = control.propose(command).await? else {
            return Err(ServeError::Unknown);
        };
        reply.lease_ms = u32::try_from(ITEM_LEASE.as_millis()).unwrap_or(u32::MAX);
        if !reply.items.is_empty() {
            log::debug!(holder:% = holder, items = reply.items.len(); "items leased");
        }
        Ok(reply)
    }
}

fn empty_lease() -> LeaseItemsReply {
    LeaseItemsReply {
        items: Vec::new(),
        lease_ms: u32::try_from(ITEM_LEASE.as_millis()).unwrap_or(u32::MAX),
        stop: Vec::new(),
    }
}

/// The routes that an agent's target can serve, by the rules and the models it has ready.
fn served_routes(rules: &Rules, call: &LeaseItems) -> Vec<RouteId> {
    let mut routes = Vec::new();
    for (id, rule) in rules.routes() {
        let fits = match &rule.backend {
            Backend::Service(service) => call.service.as_ref() == Some(service),
            Backend::Model {
                model,
                version,
                adapter,
            } => call.models.iter().any(|loaded| {
                loaded.model == *model
                    && loaded.version == *version
                    && loaded.state == ModelState::Ready
                    && adapter
                        .as_ref()
                        .is_none_or(|name| loaded.adapters.contains(name))
            }),
        };
        if fits {
            routes.push(id.clone());
        }
    }
    routes
}

impl Serve<Control> for FinishItems {
    async fn serve(self, control: Arc<Control>) -> Result<FinishItemsReply> {
        let control = &*control;
        let now = control.wall_time();
        let outcome = control.propose(Command::Finish { call: self, now }).await?;
        let Outcome::Finish(reply) = outcome else {
            return Err(ServeError::Unknown);
        };
        Ok(reply)
    }
}
