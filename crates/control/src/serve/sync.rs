//! Handler for sync calls: grants leases on the rules and sends updates to their holders.

use std::{sync::Arc, time::Duration};

use clem_state::{Command, EndOrders, orders, poison};
use clem_types::{FenceNumber, TargetId};
use clem_wire::sync::{Sync, SyncReply};
use salvo::Router;

use crate::control::{Control, Replicated, Result};

use super::{Serve, route};

/// Longest time for which a call is held open. Much shorter than a lease, so that holders renew in
/// time.
const MAX_WAIT: Duration = Duration::from_millis(1000);

pub(super) fn routes(control: &Arc<Control>) -> Vec<Router> {
    vec![route::<Sync, _>(control)]
}

impl Serve<Control> for Sync {
    async fn serve(self, control: Arc<Control>) -> Result<SyncReply> {
        let control = &*control;
        let asked = control.clock.now();
        control.barrier().await?;
        let mut updates = control.updates();
        // Held calls end when leadership changes, so that the holder can ask the new leader while
        // its lease is still valid.
        let mut leadership = control.replica.watch_leadership();
        leadership.mark_unchanged();
        let effect = control.with_leader(|lead, now| lead.handle_sync(&self, now))?;
        let target = effect.target;
        if effect.fleet_changed {
            control.notify_update();
        }
        if effect.confirmed {
            control.notify_confirmed();
        }
        if let Some(target) = &target {
            end_orders(control, target, &self).await?;
        }
        let wait = Duration::from_millis(self.wait_ms.into()).min(MAX_WAIT);
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            updates.mark_unchanged();
            if let Some(mut reply) = build_reply(control, &self, target.as_ref(), false)? {
                return grant_lease(control, &self, asked, &mut reply);
            }
            let woken = tokio::select! {
                _ = updates.changed() => true,
                _ = leadership.changed() => true,
                () = tokio::time::sleep_until(deadline) => false,
            };
            if woken {
                continue;
            }
            let reply = build_reply(control, &self, target.as_ref(), true)?;
            let mut reply = reply.unwrap_or_default();
            return grant_lease(control, &self, asked, &mut reply);
        }
    }
}

/// Grants the lease as the last step, so that nothing is awaited between checking the leader's own
/// lease and granting.
fn grant_lease(
    control: &Control,
    call: &Sync,
    asked: clem_types::Time,
    reply: &mut SyncReply,
) -> Result<SyncReply> {
    reply.lease_ms = control.with_leader(|lead, now| lead.grant(call, asked, now))?;
    Ok(std::mem::take(reply))
}

/// Proposes the results of orders that the agent reports as ended.
async fn end_orders(control: &Control, target: &TargetId, call: &Sync) -> Result<()> {
    let Some(report) = &call.report else {
        return Ok(());
    };
    if report.results.is_empty() {
        return Ok(());
    }
    for result in &report.results {
        log::info!(
            target:% = target, fence = result.fence.0, outcome:? = result.outcome;
            "order ended"
        );
    }
    let command = Command::EndOrders(EndOrders {
        target: target.clone(),
        results: report.results.clone(),
    });
    control.propose(command).await?;
    Ok(())
}

/// Builds the reply, or returns `None` if there is nothing new and `force` is not set.
fn build_reply(
    control: &Control,
    call: &Sync,
    target: Option<&TargetId>,
    force: bool,
) -> Result<Option<SyncReply>> {
    let orders = target.map(|target| control.replica.read(|store| orders::open(store, target)));
    let orders = orders.unwrap_or_default();
    let newest = orders.last().map_or(FenceNumber(0), |order| order.fence);
    let (mut reply, poison, new_order) = control.with_leader(|lead, _| {
        let new_order = lead.has_new_order(call, newest);
        (lead.updates(call), lead.poison, new_order)
    })?;
    let poison_changed = call.poison != poison;
    let quiet = reply.rules.is_none()
        && reply.fleet.is_none()
        && reply.cancelled.is_empty()
        && !poison_changed
        && !new_order;
    if quiet && !force {
        return Ok(None);
    }
    if poison_changed {
        reply.poison = Some(control.replica.read(poison::list));
    }
    if let Some(target) = target {
        reply.fence = control.replica.read(|store| orders::ended(store, target));
    }
    reply.orders = orders;
    control.with_leader(|lead, _| lead.mark_sent(call, newest))?;
    Ok(Some(reply))
}
