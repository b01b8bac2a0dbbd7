//! The planned stop: no new work, what runs finishes, within a bound.

use std::{sync::Arc, time::Duration};

use log::{info, warn};

use crate::{agent::Agent, core::Core};

/// How often the end of the work is looked for.
const POLL: Duration = Duration::from_millis(20);
/// How long given-up work may take to be answered and reported.
const LAST_WORDS: Duration = Duration::from_secs(2);

/// Stops taking work and waits for the rest, at most for `bound`.
pub(crate) async fn stop(agent: &Arc<Agent>, bound: Duration) {
    info!(bound_ms = bound.as_millis() as u64; "stopping");
    agent.change(Core::stop_taking);
    agent.news.notify_one();
    if idle_within(agent, bound).await {
        info!("stopped with nothing left");
        return;
    }
    for job in agent.change(Core::give_up) {
        warn!(job:? = job.source, route:% = job.route; "given up at the end of a planned stop");
    }
    idle_within(agent, LAST_WORDS).await;
}

async fn idle_within(agent: &Agent, bound: Duration) -> bool {
    let idle = async {
        while !agent.read(Core::is_idle) || agent.has_ends() {
            tokio::time::sleep(POLL).await;
        }
    };
    tokio::time::timeout(bound, idle).await.is_ok()
}
