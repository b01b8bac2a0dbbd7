//! Lets the core decide whenever time alone changes something, and keeps the metrics.

use std::sync::Arc;

use metrics::gauge;

use crate::agent::Agent;

/// Runs for the life of the process.
pub(crate) async fn drive(agent: Arc<Agent>) {
    loop {
        let now = agent.now();
        match agent.read(|core| core.next_wake(now)) {
            Some(wake) => {
                tokio::select! {
                    () = agent.changed.notified() => {}
                    () = tokio::time::sleep(wake.since(now)) => {
                        agent.change(|_, _| ());
                        // The change just made woke this loop; it has been acted on.
                        let _ = futures_util::FutureExt::now_or_never(agent.changed.notified());
                    }
                }
            }
            None => agent.changed.notified().await,
        }
        agent.read(|core| {
            let queues = core.admission();
            gauge!("clem_agent_online_running").set(queues.online_running() as f64);
            gauge!("clem_agent_online_waiting").set(queues.online_waiting() as f64);
            gauge!("clem_agent_batch_running").set(queues.batch_running() as f64);
            gauge!("clem_agent_batch_parked").set(queues.batch_parked() as f64);
        });
    }
}
