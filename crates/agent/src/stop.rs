//! Graceful shutdown: refuses new work and lets running work finish, up to a timeout.

use std::{sync::Arc, time::Duration};

use log::{info, warn};

use crate::{agent::Agent, core::Core};

/// Interval at which the end of the work is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long answers and reports of aborted jobs may take.
const ABORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Refuses new work, waits up to `bound` for running jobs and aborts the rest.
pub(crate) async fn stop(agent: &Arc<Agent>, bound: Duration) {
    info!(bound_ms = bound.as_millis() as u64; "stopping");
    agent.change(Core::begin_shutdown);
    agent.report_due.notify_one();
    if idle_within(agent, bound).await {
        info!("all jobs finished before the stop timeout");
        return;
    }
    for job in agent.change(Core::abort_remaining) {
        warn!(job:? = job.source, route:% = job.route; "job aborted at the stop timeout");
    }
    idle_within(agent, ABORT_TIMEOUT).await;
}

async fn idle_within(agent: &Agent, bound: Duration) -> bool {
    let idle = async {
        while !agent.read(Core::is_idle) || agent.has_ends() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(bound, idle).await.is_ok()
}
