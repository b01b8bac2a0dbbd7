//! Keeps the rules, the lease on them, the fleet view and the poison list up to date.
//!
//! A lease starts when the call is sent, not when the reply arrives. The entry serves nothing
//! before the first reply; without a valid lease it refuses requests with an API key as not run.
//! See `docs/DESIGN.md`, "Rules in force".

use std::{collections::HashMap, sync::Arc, time::Duration};

use clem_policy::{poison::Suspicion, route::TargetInfo};
use clem_rules::Backend;
use clem_types::{BodyHash, CustomerId, TargetId, Time};
use clem_wire::sync::{
    FleetChange, ModelState, PoisonList, Serves, Sync, SyncReply, TargetView, Verdict,
};

use crate::entry::{AgentAddress, Entry};

/// How long the leader may delay its reply while there are no changes (long polling), in
/// milliseconds.
const WAIT_MS: u32 = 700;
/// Timeout of a sync call, over all control processes.
const SYNC_TIMEOUT: Duration = Duration::from_millis(2500);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Interval for updating readiness from the lease.
const READY_INTERVAL: Duration = Duration::from_millis(50);

/// Polls the control leader while the process runs.
pub(crate) async fn run(entry: Arc<Entry>) {
    loop {
        let sent = entry.now();
        match entry.control.call(&sync_call(&entry), SYNC_TIMEOUT).await {
            Ok(reply) => apply_reply(&entry, sent, reply),
            Err(error) => {
                log::warn!(error = error.to_string().as_str(); "sync with control failed");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Updates `/readyz` from the state of the lease.
pub(crate) async fn update_readiness(entry: Arc<Entry>) {
    loop {
        let ready = entry.has_lease() && !entry.is_stopping();
        if entry.readiness.get() != ready {
            log::info!(ready = ready; "readiness changed");
            entry.readiness.set(ready);
        }
        tokio::time::sleep(READY_INTERVAL).await;
    }
}

fn sync_call(entry: &Entry) -> Sync {
    let view = entry.view();
    Sync {
        holder: entry.holder.clone(),
        rules: view.rules.version(),
        fleet: view.fleet,
        poison: view.poison_version,
        report: None,
        stopping: entry.is_stopping(),
        wait_ms: if view.lease.is_none() || entry.is_stopping() {
            0
        } else {
            WAIT_MS
        },
    }
}

fn apply_reply(entry: &Entry, sent: Time, reply: SyncReply) {
    let mut view = entry.view();
    let mut applied = true;
    if let Some(delta) = reply.rules {
        let before = view.rules.version();
        let to = delta.to;
        // A late reply may repeat a version that was applied already.
        applied = view.rules.apply(delta) || to == before;
        if view.rules.version() != before {
            log::info!(version = view.rules.version().0; "rules in force");
            entry.notify_change(view.rules.version());
        }
    }
    if let Some(change) = reply.fleet {
        let (changed, gone) = apply_fleet(&mut view.agents, &change);
        view.fleet = change.stamp;
        let serving = view.agents.values().filter(|agent| agent.serving);
        metrics::gauge!("clem_entry_targets").set(serving.count() as f64);
        entry.router().update(changed, &gone);
    }
    if let Some(list) = reply.poison {
        view.poison_version = list.version;
        view.poison.replace(poison_entries(list));
    }
    if applied {
        let lease = sent + Duration::from_millis(reply.lease_ms.into());
        view.lease = view.lease.max(Some(lease));
    } else {
        log::warn!(version = view.rules.version().0; "rules delta does not match the current version");
    }
    metrics::gauge!("clem_entry_rules_version").set(view.rules.version().0 as f64);
}

/// Returns the added or changed targets, and the ids of the removed ones.
fn apply_fleet(
    agents: &mut HashMap<TargetId, AgentAddress>,
    change: &FleetChange,
) -> (Vec<TargetInfo>, Vec<TargetId>) {
    let mut gone = change.gone.clone();
    if change.whole {
        let listed = |id: &TargetId| change.targets.iter().any(|target| target.target == *id);
        gone.extend(agents.keys().filter(|id| !listed(id)).cloned());
    }
    for id in &gone {
        agents.remove(id);
    }
    let mut changed = Vec::new();
    for target in &change.targets {
        let info = target_info(target);
        let agent = AgentAddress {
            address: target.agent,
            incarnation: target.incarnation,
            serving: !info.backends.is_empty(),
        };
        agents.insert(target.target.clone(), agent);
        changed.push(info);
    }
    (changed, gone)
}

fn target_info(target: &TargetView) -> TargetInfo {
    let mut backends = Vec::new();
    match &target.serves {
        Serves::Service(service) => backends.push(Backend::Service(service.clone())),
        Serves::Models(models) => {
            for loaded in models {
                if loaded.state != ModelState::Ready {
                    continue;
                }
                let with = |adapter| Backend::Model {
                    model: loaded.model.clone(),
                    version: loaded.version,
                    adapter,
                };
                backends.push(with(None));
                backends.extend(
                    loaded
                        .adapters
                        .iter()
                        .map(|adapter| with(Some(adapter.clone()))),
                );
            }
        }
    }
    TargetInfo {
        id: target.target.clone(),
        incarnation: target.incarnation,
        data_centre: target.data_centre.clone(),
        backends,
        open: target.open,
    }
}

fn poison_entries(
    list: PoisonList,
) -> impl Iterator<Item = (Option<CustomerId>, BodyHash, Suspicion)> {
    list.entries.into_iter().map(|entry| {
        let suspicion = match entry.verdict {
            Verdict::Suspect => Suspicion::Suspect,
            Verdict::Poison => Suspicion::Poison,
        };
        (entry.customer, entry.body, suspicion)
    })
}
