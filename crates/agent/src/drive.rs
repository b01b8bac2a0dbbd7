//! Runs the timers of the core and updates the gauges.

use std::sync::Arc;

use metrics::gauge;

use crate::agent::Agent;

/// Runs for the lifetime of the process.
pub(crate) async fn drive(agent: Arc<Agent>) {
    loop {
        let now = agent.now();
        match agent.read(|core| core.next_wake(now)) {
            Some(wake) => {
                tokio::select! {
                    () = agent.changed.notified() => {}
                    () = tokio::time::sleep(wake.since(now)) => {
                        agent.change(|_, _| ());
                        // Consumes the notification of the change just made, which would wake
                        // this loop again.
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
