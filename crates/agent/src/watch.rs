//! Finds out whether the target answers, and reports what was in flight when it died.

use std::{sync::Arc, time::Duration};

use clem_types::Time;
use clem_wire::online::ReportCrash;
use log::{info, warn};
use metrics::counter;
use serde_json::Value;

use crate::{agent::Agent, core::Core};

/// How often a target that answers is looked at.
const PROBE_EVERY: Duration = Duration::from_millis(500);
/// How often a target that does not answer is looked at.
const RETRY_EVERY: Duration = Duration::from_millis(100);
/// Probes without an answer before a target that takes connections counts as gone.
const PATIENCE: u32 = 3;
/// How long jobs wait for the control leader to take the report of a crash.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// After so long a target that stalled is tried again, although it is still in the same life.
const STALL_PAUSE: Duration = Duration::from_secs(30);

/// What a look at the target showed.
#[derive(Debug, PartialEq)]
enum Seen {
    /// It answers, in this life.
    Alive(Value),
    /// It takes no connections.
    Refuses,
    /// It takes connections and does not answer.
    Silent,
}

/// Runs for the life of the process.
pub(crate) async fn watch(agent: Arc<Agent>) {
    let mut life = None;
    let mut silent = 0;
    let mut stalled: Option<(Value, Time)> = None;
    loop {
        let seen = look(&agent).await;
        silent = if seen == Some(Seen::Silent) {
            silent + 1
        } else {
            0
        };
        match seen {
            None => {}
            Some(Seen::Alive(now)) => {
                let changed = life.as_ref().is_some_and(|life| *life != now);
                if changed {
                    died(&agent, "it is in another life").await;
                }
                life = Some(now.clone());
                if agent.read(|core| core.is_stalled(agent.now())) {
                    died(&agent, "its streams stand still").await;
                    stalled = Some((now, agent.now()));
                } else if !is_in(stalled.as_ref(), &now, agent.now()) {
                    alive(&agent).await;
                }
            }
            Some(Seen::Refuses) => died(&agent, "it takes no connections").await,
            Some(Seen::Silent) if silent >= PATIENCE => died(&agent, "it is silent").await,
            Some(Seen::Silent) => {}
        }
        let up = agent.read(Core::is_up);
        let pause = if up && silent == 0 {
            PROBE_EVERY
        } else {
            RETRY_EVERY
        };
        tokio::select! {
            () = agent.suspicion.notified() => {}
            () = tokio::time::sleep(pause) => {}
        }
    }
}

/// Whether the target is still in the life in which it stalled a short while ago.
fn is_in(stalled: Option<&(Value, Time)>, life: &Value, now: Time) -> bool {
    stalled.is_some_and(|(other, at)| other == life && now.since(*at) < STALL_PAUSE)
}

/// Looks at the target; none before the rules say what it is.
async fn look(agent: &Agent) -> Option<Seen> {
    agent.read(|core| core.target().map(|_| ()))?;
    if !agent.engine.connects().await {
        return Some(Seen::Refuses);
    }
    if agent.read(Core::is_service) {
        return Some(Seen::Alive(Value::Null));
    }
    match agent.engine.load().await {
        Ok(load) => Some(Seen::Alive(load.incarnation)),
        Err(_) => Some(Seen::Silent),
    }
}

async fn alive(agent: &Agent) {
    if !agent.read(Core::is_service) {
        match agent.engine.models().await {
            Ok(models) => agent.set_models(models),
            Err(_) => return,
        }
    }
    let came = agent.change(|core, now| {
        core.not_crashed(now);
        let came = !core.is_up();
        core.set_up(true);
        came
    });
    if came {
        info!(target:% = agent.target_address(); "the target answers");
        agent.news.notify_one();
    }
}

/// Ends what was in flight, once the control leader knows of it.
async fn died(agent: &Agent, why: &str) {
    let was_up = agent.read(Core::is_up);
    if !was_up && !agent.read(Core::has_broken) {
        return;
    }
    let (crash, ids, requests) = agent.change(|core, _| core.crash());
    warn!(
        target:% = agent.target_address(), why = why, in_flight = requests.len();
        "the target died"
    );
    counter!("clem_agent_crashes_total").increment(1);
    agent.news.notify_one();
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
        // Entries that try again must find their requests among the suspects.
        if let Err(error) = agent.control.call(&call, REPORT_TIMEOUT).await {
            warn!(error:% = error; "the crash could not be reported in time");
        }
    }
    agent.change(|core, now| core.end_crashed(now, &ids));
}
