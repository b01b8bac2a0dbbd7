//! Keeps the lease on the rules, receives changes from the control leader and reports to it.

use std::{sync::Arc, time::Duration};

use clem_types::Version;
use clem_wire::sync::{FleetStamp, Sync, SyncReply, TargetReport};
use log::{info, warn};
use tokio::sync::mpsc;

use crate::{agent::Agent, orders::Orders};

/// How long the control leader may hold a call while it has no changes (long polling).
const MAX_HOLD: Duration = Duration::from_millis(1000);
/// Timeout of a call, including the time that it is held.
const TIMEOUT: Duration = Duration::from_millis(1400);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Delay before a call is replaced by one with newer data, so that frequent changes are batched.
const REPORT_DELAY: Duration = Duration::from_millis(20);

/// Syncs with the control leader for the lifetime of the process.
pub(crate) async fn run(agent: Arc<Agent>, orders: mpsc::UnboundedSender<Orders>) {
    let mut full = false;
    loop {
        let asked = agent.now();
        let call = build_call(&agent, full);
        let reported = call.report.iter().flat_map(|r| r.results.clone());
        let reported: Vec<_> = reported.collect();
        let reply = tokio::select! {
            reply = agent.control.call(&call, TIMEOUT) => reply,
            () = agent.report_due.notified() => {
                tokio::time::sleep(REPORT_DELAY).await;
                continue;
            }
        };
        match reply {
            Ok(reply) => {
                agent.remove_order_results(&reported);
                full = !apply_reply(&agent, asked, reply, &orders);
            }
            Err(error) => {
                warn!(error:% = error; "sync with the control leader failed");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn build_call(agent: &Agent, full: bool) -> Sync {
    let results = agent.order_results();
    let wait_ms = if results.is_empty() && !full {
        MAX_HOLD
    } else {
        Duration::ZERO
    };
    let models = agent.models();
    let fence = agent.fence();
    agent.read(|core| Sync {
        holder: agent.holder.clone(),
        rules: if full { Version(0) } else { core.version() },
        // An agent doesn't route, so it claims the newest stamp and the reply has no fleet view.
        fleet: FleetStamp {
            epoch: clem_types::Epoch(u64::MAX),
            change: u64::MAX,
        },
        poison: core.poison_version(),
        report: Some(TargetReport {
            address: agent.target_address(),
            alive: core.is_target_up(),
            models,
            load: core.load(),
            draining: core.is_draining(),
            fence,
            results,
        }),
        stopping: core.is_stopping(),
        wait_ms: u32::try_from(wait_ms.as_millis()).unwrap_or(0),
    })
}

/// Applies a reply. Returns false if the rules delta did not apply and the full rules are
/// needed.
fn apply_reply(
    agent: &Agent,
    asked: clem_types::Time,
    reply: SyncReply,
    orders: &mpsc::UnboundedSender<Orders>,
) -> bool {
    let lease = Duration::from_millis(u64::from(reply.lease_ms));
    let applied = agent.change(|core, now| {
        // The rules are applied before the lease is renewed: otherwise a job that they forbid
        // could run under the new lease.
        let applied = match reply.rules {
            Some(delta) if delta.to > core.version() => core.apply_rules(now, delta),
            Some(_) | None => true,
        };
        if let Some(list) = reply.poison {
            core.apply_poison(list);
        }
        if applied {
            core.renew_lease(asked, lease);
        }
        for item in &reply.cancelled {
            core.cancel_item(now, *item);
        }
        applied
    });
    if !applied {
        info!(
            version:% = agent.read(crate::Core::version);
            "rules delta does not apply, requesting the full rules"
        );
    }
    // Tells an agent that has just started which orders are stale.
    agent.raise_fence(reply.fence);
    if !reply.orders.is_empty() {
        // The receiver lives as long as the process.
        let _ = orders.send(reply.orders);
    }
    applied
}
