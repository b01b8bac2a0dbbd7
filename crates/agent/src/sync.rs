//! Keeps the lease on the rules and carries news between the control leader and this agent.

use std::{sync::Arc, time::Duration};

use clem_types::RulesVersion;
use clem_wire::sync::{FleetStamp, Sync, SyncReply, TargetReport};
use log::{info, warn};
use tokio::sync::mpsc;

use crate::{agent::Agent, orders::Orders};

/// How long the control leader may hold a call.
const WAIT: Duration = Duration::from_millis(1000);
/// How long a call may take in all.
const TIMEOUT: Duration = Duration::from_millis(1400);
/// The pause after a call that failed.
const PAUSE: Duration = Duration::from_millis(50);
/// The least time between two calls, so that a stream of news is told in groups.
const LEAST: Duration = Duration::from_millis(20);

/// Runs for the life of the process.
pub(crate) async fn keep(agent: Arc<Agent>, orders: mpsc::UnboundedSender<Orders>) {
    let mut whole = false;
    loop {
        let asked = agent.now();
        let call = ask(&agent, whole);
        let reported = call.report.iter().flat_map(|r| r.results.clone());
        let reported: Vec<_> = reported.collect();
        let reply = tokio::select! {
            reply = agent.control.call(&call, TIMEOUT) => reply,
            () = agent.news.notified() => {
                tokio::time::sleep(LEAST).await;
                continue;
            }
        };
        match reply {
            Ok(reply) => {
                agent.orders_reported(&reported);
                whole = !take(&agent, asked, reply, &orders);
            }
            Err(error) => {
                warn!(error:% = error; "no news from the control leader");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

fn ask(agent: &Agent, whole: bool) -> Sync {
    let results = agent.order_results();
    let wait_ms = if results.is_empty() && !whole {
        WAIT
    } else {
        Duration::ZERO
    };
    let models = agent.models();
    let fence = agent.fence();
    agent.read(|core| Sync {
        holder: agent.holder.clone(),
        rules: if whole {
            RulesVersion(0)
        } else {
            core.version()
        },
        // An agent routes nothing: it takes the newest stamp for its own and gets no view.
        fleet: FleetStamp {
            epoch: clem_types::Epoch(u64::MAX),
            change: u64::MAX,
        },
        poison: core.poison_version(),
        report: Some(TargetReport {
            address: agent.target_address(),
            alive: core.is_up(),
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

/// Takes the news in; false when the rules did not fit and are needed whole.
fn take(
    agent: &Agent,
    asked: clem_types::Time,
    reply: SyncReply,
    orders: &mpsc::UnboundedSender<Orders>,
) -> bool {
    let lease = Duration::from_millis(u64::from(reply.lease_ms));
    let fitted = agent.change(|core, now| {
        // The rules go first: by a new lease nothing must run that the news forbids.
        let fitted = match reply.rules {
            Some(delta) if delta.to > core.version() => core.apply_rules(now, delta),
            Some(_) | None => true,
        };
        if let Some(list) = reply.poison {
            core.apply_poison(list);
        }
        if fitted {
            core.renew_lease(asked, lease);
        }
        for item in &reply.cancelled {
            core.cancel_ref(now, *item);
        }
        fitted
    });
    if !fitted {
        info!(version:% = agent.read(crate::Core::version); "the change of rules didn't fit");
    }
    // An agent that has just started knows by this what it must not obey any more.
    agent.raise_fence(reply.fence);
    if !reply.orders.is_empty() {
        // The carrier of orders lives as long as the process.
        let _ = orders.send(reply.orders);
    }
    fitted
}
