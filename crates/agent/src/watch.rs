//! Health checks of the target and reports of its crashes.

use std::{sync::Arc, time::Duration};

use clem_types::Time;
use clem_wire::online::ReportCrash;
use log::{info, warn};
use metrics::counter;
use serde_json::Value;

use crate::{agent::Agent, core::Core};

/// Probe interval while the target is up.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Probe interval while the target is down or does not respond.
const DOWN_INTERVAL: Duration = Duration::from_millis(100);
/// Consecutive probes without a response after which a target that accepts connections counts as
/// crashed.
const MAX_FAILED_PROBES: u32 = 3;
/// How long the jobs in flight wait for the control leader to accept the crash report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a stalled target counts as down if it has not restarted.
const STALL_PAUSE: Duration = Duration::from_secs(30);

/// Result of a probe.
#[derive(Debug, PartialEq)]
enum Probe {
    /// The target responds; the value is its incarnation, null for a plain service.
    Alive(Value),
    /// The target refuses connections.
    Refusing,
    /// The target accepts connections but gives no valid load report.
    Unresponsive,
}

/// Probes the target for the lifetime of the process.
pub(crate) async fn watch(agent: Arc<Agent>) {
    let mut incarnation = None;
    let mut failed_probes = 0;
    let mut stalled: Option<(Value, Time)> = None;
    loop {
        let probed = probe(&agent).await;
        failed_probes = if probed == Some(Probe::Unresponsive) {
            failed_probes + 1
        } else {
            0
        };
        match probed {
            None => {}
            Some(Probe::Alive(current)) => {
                let changed = incarnation
                    .as_ref()
                    .is_some_and(|incarnation| *incarnation != current);
                if changed {
                    on_crash(&agent, "target restarted").await;
                }
                incarnation = Some(current.clone());
                if agent.read(|core| core.is_stalled(agent.now())) {
                    on_crash(&agent, "streams stalled").await;
                    stalled = Some((current, agent.now()));
                } else if !is_still_stalled(stalled.as_ref(), &current, agent.now()) {
                    on_alive(&agent).await;
                }
            }
            Some(Probe::Refusing) => on_crash(&agent, "not accepting connections").await,
            Some(Probe::Unresponsive) if failed_probes >= MAX_FAILED_PROBES => {
                on_crash(&agent, "no valid response to probes").await;
            }
            Some(Probe::Unresponsive) => {}
        }
        let up = agent.read(Core::is_target_up);
        let pause = if up && failed_probes == 0 {
            PROBE_INTERVAL
        } else {
            DOWN_INTERVAL
        };
        tokio::select! {
            () = agent.probe_due.notified() => {}
            () = tokio::time::sleep(pause) => {}
        }
    }
}

/// Whether the target stalled recently and has not restarted since.
fn is_still_stalled(stalled: Option<&(Value, Time)>, incarnation: &Value, now: Time) -> bool {
    stalled.is_some_and(|(other, at)| other == incarnation && now.since(*at) < STALL_PAUSE)
}

/// Probes the target. `None` while the rules don't contain it.
async fn probe(agent: &Agent) -> Option<Probe> {
    agent.read(|core| core.target().map(|_| ()))?;
    if !agent.engine.accepts_connections().await {
        return Some(Probe::Refusing);
    }
    if agent.read(Core::is_service) {
        return Some(Probe::Alive(Value::Null));
    }
    match agent.engine.load().await {
        Ok(load) => Some(Probe::Alive(load.incarnation)),
        Err(_) => Some(Probe::Unresponsive),
    }
}

async fn on_alive(agent: &Agent) {
    if !agent.read(Core::is_service) {
        match agent.engine.models().await {
            Ok(models) => agent.set_models(models),
            Err(_) => return,
        }
    }
    let came_up = agent.change(|core, now| {
        core.fail_broken(now);
        let came_up = !core.is_target_up();
        core.set_target_up(true);
        came_up
    });
    if came_up {
        info!(target:% = agent.target_address(); "target is up");
        agent.report_due.notify_one();
    }
}

/// Handles a crash: reports the requests in flight to the control leader, then stops their jobs.
async fn on_crash(agent: &Agent, why: &str) {
    let was_up = agent.read(Core::is_target_up);
    if !was_up && !agent.read(Core::has_broken) {
        return;
    }
    let (crash, ids, requests) = agent.change(|core, _| core.crash());
    warn!(
        target:% = agent.target_address(), why = why, in_flight = requests.len();
        "target crashed"
    );
    counter!("clem_agent_crashes_total").increment(1);
    agent.report_due.notify_one();
    let target = agent.read(|core| core.target().map(|(id, _)| id.clone()));
    if let Some(target) = target
        && !requests.is_empty()
    {
        let call = ReportCrash {
            target,
            incarnation: agent.incarnation(),
            crash,
            requests,
        };
        // Reported before the jobs end, so that the requests are marked as suspects when entries
        // retry them.
        if let Err(error) = agent.control.call(&call, REPORT_TIMEOUT).await {
            warn!(error:% = error; "failed to report the crash");
        }
    }
    agent.change(|core, now| core.stop_crashed(now, &ids));
}
