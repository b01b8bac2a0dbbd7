//! Stand-ins for agents that hold leases.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use clem_types::{FenceNumber, Incarnation, RulesVersion};
use clem_wire::{
    ControlClient,
    sync::{
        FleetStamp, Holder, Load, LoadedModel, ModelState, Role, Sync, SyncReply, TargetReport,
    },
};

use crate::rules;

type Result<T> = eyre::Result<T>;

/// How long the leader may hold a call, in milliseconds.
const WAIT_MS: u32 = 1000;
/// How long a holder waits for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Counts what all holders together have seen.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    /// Answered calls.
    pub(crate) calls: AtomicU64,
    /// Failed calls.
    pub(crate) failures: AtomicU64,
    /// Holders are to stop.
    pub(crate) stop: AtomicBool,
}

/// Holds a lease as the agent of the target with this number until told to stop.
pub(crate) async fn hold(client: ControlClient, number: usize, seen: Arc<Seen>) -> Result<()> {
    let address = rules::address(number).parse()?;
    let holder = Holder {
        id: format!("agent-{number}").parse()?,
        incarnation: Incarnation(number as u64 + 1),
        role: Role::Agent,
        data_centre: format!("dc-{}", number % 5).parse()?,
        address,
    };
    let report = TargetReport {
        address,
        alive: true,
        models: vec![LoadedModel {
            model: "assistant-7b".parse()?,
            version: "3".parse()?,
            adapters: Vec::new(),
            state: ModelState::Ready,
        }],
        load: Load::default(),
        draining: false,
        fence: FenceNumber(0),
        results: Vec::new(),
    };
    let mut version = RulesVersion(0);
    let mut fleet = FleetStamp::default();
    while !seen.stop.load(Ordering::Relaxed) {
        let call = Sync {
            holder: holder.clone(),
            rules: version,
            fleet,
            poison: RulesVersion(0),
            report: Some(report.clone()),
            stopping: false,
            wait_ms: WAIT_MS,
        };
        match client.call(&call, CALL_TIMEOUT).await {
            Ok(reply) => {
                seen.calls.fetch_add(1, Ordering::Relaxed);
                take(&reply, &mut version, &mut fleet);
            }
            Err(_) => {
                seen.failures.fetch_add(1, Ordering::Relaxed);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
    Ok(())
}

fn take(reply: &SyncReply, version: &mut RulesVersion, fleet: &mut FleetStamp) {
    if let Some(delta) = &reply.rules {
        *version = delta.to;
    }
    if let Some(change) = &reply.fleet {
        *fleet = change.stamp;
    }
}
