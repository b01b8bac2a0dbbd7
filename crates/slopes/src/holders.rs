//! Simulated agents that hold leases.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use clem_types::{FenceNumber, Incarnation, Version};
use clem_wire::{
    LeaderClient,
    sync::{
        FleetStamp, Holder, Load, LoadedModel, ModelState, Role, Sync, SyncReply, TargetReport,
    },
};

use crate::rules;

type Result<T> = eyre::Result<T>;

/// How long the leader may delay its reply to a call while there are no changes (long polling), in
/// milliseconds.
const WAIT_MS: u32 = 1000;
/// The timeout of a call. Longer than `WAIT_MS`.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// The pause before a failed call is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Counters that all simulated callers share.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    /// Successful calls.
    pub(crate) calls: AtomicU64,
    /// Failed calls.
    pub(crate) failures: AtomicU64,
    /// Tells the callers to stop.
    pub(crate) stop: AtomicBool,
}

/// Renews a lease as the agent of target `number`, until `counters.stop` is set.
pub(crate) async fn hold_lease(
    client: LeaderClient,
    number: usize,
    counters: Arc<Counters>,
) -> Result<()> {
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
    let mut version = Version(0);
    let mut fleet = FleetStamp::default();
    while !counters.stop.load(Ordering::Relaxed) {
        let call = Sync {
            holder: holder.clone(),
            rules: version,
            fleet,
            poison: Version(0),
            report: Some(report.clone()),
            stopping: false,
            wait_ms: WAIT_MS,
        };
        match client.call(&call, CALL_TIMEOUT).await {
            Ok(reply) => {
                counters.calls.fetch_add(1, Ordering::Relaxed);
                apply_reply(&reply, &mut version, &mut fleet);
            }
            Err(_) => {
                counters.failures.fetch_add(1, Ordering::Relaxed);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
    Ok(())
}

fn apply_reply(reply: &SyncReply, version: &mut Version, fleet: &mut FleetStamp) {
    if let Some(delta) = &reply.rules {
        *version = delta.to;
    }
    if let Some(change) = &reply.fleet {
        *fleet = change.stamp;
    }
}
