//! Leases batch items while slots are free, renews the leases and reports the results.

use std::{sync::Arc, time::Duration};

use clem_types::Time;
use clem_wire::batch::{
    AttemptEnd, FinishItems, FinishedAttempt, LeaseItems, LeaseItemsReply, Recorded,
};
use log::{info, warn};
use metrics::counter;

use crate::{agent::Agent, core::Core, item};

/// Timeout of a call to the control leader for batch items or results.
const TIMEOUT: Duration = Duration::from_millis(1500);
/// Minimum and maximum delay between lease calls; it doubles after each call that returns no items.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(1000));
/// Minimum time between lease calls that only renew leases, while no slot is free.
const RENEW_INTERVAL: Duration = Duration::from_millis(700);
/// Approximate maximum size of the results in one report.
const REPORT_BYTES: usize = 1024 * 1024;
/// Delay before a failed report is sent again.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Leases items and renews leases for the lifetime of the process.
pub(crate) async fn run_leasing(agent: Arc<Agent>) {
    let mut sequence = 0;
    let mut backoff = BACKOFF.0;
    let mut asked_at = Time::ZERO;
    loop {
        let room = agent.read(|core| core.batch_room(agent.now()));
        let renew = agent.read(Core::leases);
        let renewal_due = !renew.is_empty() && agent.now().since(asked_at) >= RENEW_INTERVAL;
        if room == 0 && !renewal_due {
            wait_for_slot(&agent).await;
            continue;
        }
        sequence += 1;
        asked_at = agent.now();
        let call = LeaseItems {
            holder: agent.holder_id(),
            incarnation: agent.incarnation(),
            sequence,
            models: agent.models(),
            service: agent.read(|core| core.target().and_then(|(_, t)| t.service.clone())),
            room: u32::try_from(room).unwrap_or(u32::MAX),
            renew,
        };
        let received = match agent.batch_control.call(&call, TIMEOUT).await {
            Ok(reply) => apply_reply(&agent, asked_at, &call, reply),
            Err(error) => {
                warn!(error:% = error; "failed to lease batch items");
                0
            }
        };
        backoff = if received > 0 {
            BACKOFF.0
        } else {
            (backoff * 2).min(BACKOFF.1)
        };
        tokio::time::sleep(backoff).await;
    }
}

/// Waits until a slot may be free, which each change of the core signals, or until leases may need
/// renewal.
async fn wait_for_slot(agent: &Agent) {
    tokio::select! {
        () = agent.slot_free.notified() => tokio::time::sleep(BACKOFF.0).await,
        () = tokio::time::sleep(RENEW_INTERVAL) => {}
    }
}

/// Applies a reply from the control leader and returns the number of items in it.
fn apply_reply(
    agent: &Arc<Agent>,
    asked: Time,
    call: &LeaseItems,
    reply: LeaseItemsReply,
) -> usize {
    let until = asked + Duration::from_millis(u64::from(reply.lease_ms));
    let renewed: Vec<_> = call
        .renew
        .iter()
        .filter(|lease| !reply.stop.contains(lease))
        .copied()
        .collect();
    agent.change(|core, now| {
        core.renew_leases(&renewed, until);
        for lease in &reply.stop {
            if let Some(id) = core.job_for_lease(*lease) {
                core.cancel_job(now, id);
            }
        }
    });
    let received = reply.items.len();
    for leased in reply.items {
        let lease = leased.lease;
        let admitted = agent.admit(|core, now| core.admit_item(now, &leased, until).ok_or(()));
        match admitted {
            Ok((id, commands)) => {
                counter!("clem_agent_items_leased_total").increment(1);
                tokio::spawn(item::run(agent.clone(), id, commands, leased));
            }
            // The item is already here under the same lease.
            Err(()) if agent.read(|core| core.job_for_lease(lease).is_some()) => {}
            Err(()) => agent.return_item(FinishedAttempt {
                lease,
                end: AttemptEnd::Returned,
            }),
        }
    }
    received
}

/// Reports results for the lifetime of the process. Each is sent until the control leader has
/// answered.
pub(crate) async fn run_reporting(agent: Arc<Agent>) {
    loop {
        let ends = agent.take_ends(REPORT_BYTES);
        if ends.is_empty() {
            agent.results_ready.notified().await;
            continue;
        }
        let call = FinishItems {
            holder: agent.holder_id(),
            incarnation: agent.incarnation(),
            ends,
        };
        let recorded = send_report(&agent, &call).await;
        for (end, recorded) in call.ends.iter().zip(recorded) {
            info!(
                batch:% = end.lease.item.batch, item:% = end.lease.item.item,
                attempt:% = end.lease.attempt, taken:? = recorded, end = end_label(&end.end);
                "item ended"
            );
        }
        agent.remove_reported(&call.ends);
    }
}

async fn send_report(agent: &Agent, call: &FinishItems) -> Vec<Recorded> {
    loop {
        match agent.batch_control.call(call, TIMEOUT).await {
            Ok(reply) => return reply.recorded,
            Err(error) => {
                warn!(error:% = error; "failed to report batch results, retrying");
                tokio::time::sleep(REPORT_RETRY_DELAY).await;
            }
        }
    }
}

fn end_label(end: &AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Done { .. } => "done",
        AttemptEnd::Returned => "returned",
        AttemptEnd::Lost { .. } => "lost",
    }
}
