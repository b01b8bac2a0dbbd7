//! Leases on the rules and news for their holders.

use std::{sync::Arc, time::Duration};

use clem_state::{Command, EndOrders, orders, poison};
use clem_types::{FenceNumber, TargetId};
use clem_wire::sync::{Sync, SyncReply};
use salvo::Router;

use crate::control::{Control, Replicated, Result};

use super::{Serve, route};

/// The longest time that a call is held; well within a lease, so that holders renew in time.
const MAX_WAIT: Duration = Duration::from_millis(1000);

pub(super) fn routes(control: &Arc<Control>) -> Vec<Router> {
    vec![route::<Sync, _>(control)]
}

impl Serve<Control> for Sync {
    async fn serve(self, control: Arc<Control>) -> Result<SyncReply> {
        let control = &*control;
        let asked = control.clock.now();
        control.barrier().await?;
        let mut news = control.news();
        // A holder whose leader has gone asks the next one at once, while its lease still runs.
        let mut leadership = control.replica.watch();
        leadership.mark_unchanged();
        let heard = control.lead(|lead, now| lead.hear(&self, now))?;
        let target = heard.target;
        if heard.moved {
            control.wake();
        }
        if heard.confirmed {
            control.note_confirmed();
        }
        if let Some(target) = &target {
            end_orders(control, target, &self).await?;
        }
        let wait = Duration::from_millis(self.wait_ms.into()).min(MAX_WAIT);
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            news.mark_unchanged();
            if let Some(mut reply) = look(control, &self, target.as_ref(), false)? {
                return finish(control, &self, asked, &mut reply);
            }
            let woken = tokio::select! {
                _ = news.changed() => true,
                _ = leadership.changed() => true,
                () = tokio::time::sleep_until(deadline) => false,
            };
            if woken {
                continue;
            }
            let reply = look(control, &self, target.as_ref(), true)?;
            let mut reply = reply.unwrap_or_default();
            return finish(control, &self, asked, &mut reply);
        }
    }
}

/// Grants the lease last, so that nothing is waited for between the check of the leader's own
/// lease and the grant.
fn finish(
    control: &Control,
    call: &Sync,
    asked: clem_types::Time,
    reply: &mut SyncReply,
) -> Result<SyncReply> {
    reply.lease_ms = control.lead(|lead, now| lead.grant(call, asked, now))?;
    Ok(std::mem::take(reply))
}

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

/// What there is to tell; none when there is nothing new, unless `all` asks for what there is.
fn look(
    control: &Control,
    call: &Sync,
    target: Option<&TargetId>,
    all: bool,
) -> Result<Option<SyncReply>> {
    let orders = target.map(|target| control.replica.read(|store| orders::open(store, target)));
    let orders = orders.unwrap_or_default();
    let newest = orders.last().map_or(FenceNumber(0), |order| order.fence);
    let (mut reply, poison, untold) = control.lead(|lead, _| {
        let untold = lead.is_untold(call, newest);
        (lead.news(call), lead.poison, untold)
    })?;
    let behind = call.poison != poison;
    let quiet = reply.rules.is_none()
        && reply.fleet.is_none()
        && reply.cancelled.is_empty()
        && !behind
        && !untold;
    if quiet && !all {
        return Ok(None);
    }
    if behind {
        reply.poison = Some(control.replica.read(poison::list));
    }
    if let Some(target) = target {
        reply.fence = control.replica.read(|store| orders::ended(store, target));
    }
    reply.orders = orders;
    control.lead(|lead, _| lead.tell(call, newest))?;
    Ok(Some(reply))
}
