//! Leases batch items while there is room, renews their leases, and reports how they ended.

use std::{sync::Arc, time::Duration};

use clem_types::Time;
use clem_wire::batch::{AttemptEnd, FinishItems, ItemEnd, LeaseItems, LeaseItemsReply, Taken};
use log::{info, warn};
use metrics::counter;

use crate::{agent::Agent, core::Core, item};

/// How long a call for items may take.
const TIMEOUT: Duration = Duration::from_millis(1500);
/// The shortest and the longest pause between calls that bring nothing.
const PAUSES: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(1000));
/// How often leases are renewed at the least.
const RENEW_EVERY: Duration = Duration::from_millis(700);
/// The most results in one report, in bytes.
const REPORT_BYTES: usize = 1024 * 1024;
/// The pause after a report that failed.
const REPORT_PAUSE: Duration = Duration::from_millis(100);

/// Leases items for the life of the process.
pub(crate) async fn lease(agent: Arc<Agent>) {
    let mut sequence = 0;
    let mut pause = PAUSES.0;
    let mut asked_at = Time::ZERO;
    loop {
        let room = agent.read(|core| core.batch_room(agent.now()));
        let renew = agent.read(Core::leases);
        let renewal_due = !renew.is_empty() && agent.now().since(asked_at) >= RENEW_EVERY;
        if room == 0 && !renewal_due {
            wait_for_room(&agent).await;
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
        let got = match agent.batch_control.call(&call, TIMEOUT).await {
            Ok(reply) => take(&agent, asked_at, &call, reply),
            Err(error) => {
                warn!(error:% = error; "no batch items from the control leader");
                0
            }
        };
        pause = if got > 0 {
            PAUSES.0
        } else {
            (pause * 2).min(PAUSES.1)
        };
        tokio::time::sleep(pause).await;
    }
}

/// Room comes with each job that ends, and by time.
async fn wait_for_room(agent: &Agent) {
    tokio::select! {
        () = agent.room.notified() => tokio::time::sleep(PAUSES.0).await,
        () = tokio::time::sleep(RENEW_EVERY) => {}
    }
}

/// Takes in what the control leader gave; says how many items that was.
fn take(agent: &Arc<Agent>, asked: Time, call: &LeaseItems, reply: LeaseItemsReply) -> usize {
    let until = asked + Duration::from_millis(u64::from(reply.lease_ms));
    let renewed: Vec<_> = call
        .renew
        .iter()
        .filter(|lease| !reply.stop.contains(lease))
        .copied()
        .collect();
    agent.change(|core, now| {
        core.renew_items(&renewed, until);
        for lease in &reply.stop {
            if let Some(id) = core.job_of(*lease) {
                core.cancel_item(now, id);
            }
        }
    });
    let got = reply.items.len();
    for leased in reply.items {
        let lease = leased.lease;
        let admitted = agent.admit(|core, now| core.lease(now, &leased, until).ok_or(()));
        match admitted {
            Ok((id, commands)) => {
                counter!("clem_agent_items_leased_total").increment(1);
                tokio::spawn(item::run(agent.clone(), id, commands, leased));
            }
            Err(()) if agent.read(|core| core.job_of(lease).is_some()) => {}
            Err(()) => agent.give_back(ItemEnd {
                lease,
                end: AttemptEnd::Returned,
            }),
        }
    }
    got
}

/// Reports ends for the life of the process; each is kept until it has been taken.
pub(crate) async fn finish(agent: Arc<Agent>) {
    loop {
        let ends = agent.take_ends(REPORT_BYTES);
        if ends.is_empty() {
            agent.results.notified().await;
            continue;
        }
        let call = FinishItems {
            holder: agent.holder_id(),
            incarnation: agent.incarnation(),
            ends,
        };
        let taken = report(&agent, &call).await;
        for (end, taken) in call.ends.iter().zip(taken) {
            info!(
                batch:% = end.lease.item.batch, item:% = end.lease.item.item,
                attempt:% = end.lease.attempt, taken:? = taken, end = word(&end.end);
                "item ended"
            );
        }
        agent.ends_taken(&call.ends);
    }
}

async fn report(agent: &Agent, call: &FinishItems) -> Vec<Taken> {
    loop {
        match agent.batch_control.call(call, TIMEOUT).await {
            Ok(reply) => return reply.taken,
            Err(error) => {
                warn!(error:% = error; "results wait for the control leader");
                tokio::time::sleep(REPORT_PAUSE).await;
            }
        }
    }
}

fn word(end: &AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Done { .. } => "done",
        AttemptEnd::Returned => "returned",
        AttemptEnd::Lost { .. } => "lost",
    }
}
