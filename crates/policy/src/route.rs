//! Load balancing with prefix affinity, preferring the local data centre.
//!
//! Each decision considers a few candidates: the targets to which this entry last sent the longest
//! known prefixes of the prompt, the first ones on a consistent-hash ring for the start of the
//! prompt (so that entries agree without communicating), two at random, and two at random from
//! other data centres. The cost of a candidate, in tokens, is the work queued at it plus the part
//! of the prompt that needs prefill. The lowest cost wins, so affinity applies only while the cache
//! saves more than the queue costs. See `docs/design/online.md`, "Routing".
//!
//! Targets that fail or are much slower than their pool are ejected for a while, see [`health`]. At
//! most half of a pool is ejected, and ejected targets are used if no other is left.

mod affinity;
mod choice;
pub mod health;
mod load;
mod pool;
mod target;

use std::collections::{HashMap, HashSet};

use clem_rules::Backend;
use clem_types::{DataCentre, Incarnation, TargetId, Time};
use rand::Rng;

use affinity::Affinity;
use pool::Pool;
use target::Slot;

pub use affinity::{PREFIX_BYTES_MIN, Prefixes};
pub use choice::{Choice, Reason};
pub use load::Report;

/// Extra cost of a target in another data centre, in tokens.
const SPILL_TOKENS: f64 = 500.0;
/// Cost that a running stream adds for new requests, in tokens.
const STREAM_TOKENS: f64 = 60.0;
/// Number of candidates from the hash ring.
const RING_PICKS: usize = 2;
/// Number of random candidates, per group (local and remote).
const RANDOM_PICKS: usize = 2;

/// A target as listed in the fleet view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetInfo {
    /// Id of the target, kept over restarts of its agent.
    pub id: TargetId,
    /// Changes when the agent restarts; load, health and affinity are reset then, and the target's
    /// cache counts as empty.
    pub incarnation: Incarnation,
    /// Data centre that the target runs in.
    pub data_centre: DataCentre,
    /// Models and services that it is ready to serve.
    pub backends: Vec<Backend>,
    /// Whether it accepts new work.
    pub open: bool,
}

/// A request to be routed.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// Model or service that has to answer.
    pub backend: &'a Backend,
    /// Hashes of the prompt's prefixes; empty for a service without prompts.
    pub prefixes: &'a Prefixes,
    /// Length of the prompt, in tokens.
    pub prompt: u32,
    /// Targets of earlier attempts, which are excluded.
    pub tried: &'a [TargetId],
}

/// Outcome of an attempt, as used for the target's health.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptOutcome {
    /// The target answered.
    Answered {
        /// Time to the first token or byte, in seconds.
        first: f64,
    },
    /// The target did not run the request for a reason that is no fault, such as a full queue.
    Refused,
    /// The attempt failed or stalled, or the target could not be reached.
    Failed,
    /// The caller cancelled the request, which has no bearing on the target's health.
    Dropped,
}

/// Routing state of an entry: the known targets with their load, health and cached prefixes.
#[derive(Debug)]
pub struct Router {
    here: DataCentre,
    slots: HashMap<TargetId, Slot>,
    pools: HashMap<Backend, Pool>,
    affinity: Affinity,
}

impl Router {
    /// Creates a router without targets for an entry in the data centre `here`.
    pub fn new(here: DataCentre) -> Self {
        Self {
            here,
            slots: HashMap::new(),
            pools: HashMap::new(),
            affinity: Affinity::default(),
        }
    }

    /// Adds or updates the targets in `changed` and removes those in `gone`.
    pub fn update(&mut self, changed: Vec<TargetInfo>, gone: &[TargetId]) {
        let mut dirty = HashSet::new();
        for id in gone {
            if let Some(slot) = self.slots.remove(id) {
                self.remove_from_pools(&slot.info, &mut dirty);
                self.affinity.forget(id);
            }
        }
        for info in changed {
            if self
                .slots
                .get(&info.id)
                .is_some_and(|slot| slot.info == info)
            {
                continue;
            }
            let old = self.slots.remove(&info.id);
            if let Some(slot) = &old {
                self.remove_from_pools(&slot.info, &mut dirty);
            }
            for backend in &info.backends {
                let pool = self.pools.entry(backend.clone()).or_default();
                if info.open {
                    pool.add(info.id.clone(), info.data_centre.clone());
                }
                dirty.insert(backend.clone());
            }
            let slot = match old {
                Some(old) if old.info.incarnation == info.incarnation => old.with_info(info),
                Some(_) => {
                    // After a restart the cache is assumed to be empty.
                    self.affinity.forget(&info.id);
                    Slot::new(info)
                }
                None => Slot::new(info),
            };
            self.slots.insert(slot.info.id.clone(), slot);
        }
        for (backend, pool) in &mut self.pools {
            if dirty.contains(backend) {
                pool.rebuild();
            }
        }
        self.pools.retain(|_, pool| !pool.is_empty());
    }

    /// All known targets, open or not.
    pub fn targets(&self) -> impl Iterator<Item = &TargetInfo> {
        self.slots.values().map(|slot| &slot.info)
    }

    /// Whether the target is known with this incarnation.
    pub fn knows(&self, id: &TargetId, incarnation: Incarnation) -> bool {
        self.slots
            .get(id)
            .is_some_and(|slot| slot.info.incarnation == incarnation)
    }

    /// Chooses a target; `None` if no untried open target serves the backend.
    pub fn pick(&self, now: Time, rng: &mut impl Rng, query: &Query<'_>) -> Option<Choice> {
        let pool = self.pools.get(query.backend)?;
        let mut picker = choice::Picker::new(now, query, &self.slots, pool);
        for (target, matched) in self.affinity.find(query.prefixes) {
            picker.consider(target, matched, Reason::Affinity);
        }
        let local = pool.centre(&self.here);
        if let Some(centre) = local {
            if let Some(first) = query.prefixes.first() {
                centre.ring(first, RING_PICKS, |id| picker.consider(id, 0, Reason::Ring));
            }
            centre.random(rng, RANDOM_PICKS, |id| picker.consider(id, 0, Reason::Load));
        }
        let remote = pool.others(&self.here);
        pool::random_of(&remote, rng, RANDOM_PICKS, |id| {
            picker.consider(id, 0, Reason::Spill);
        });
        if picker.is_empty() {
            // All candidates were tried or ejected: search the rings for any other target.
            let start = rng.random();
            for centre in local.into_iter().chain(remote) {
                centre.ring(start, centre.len(), |id| {
                    picker.consider(id, 0, Reason::Last);
                });
                if !picker.is_empty() {
                    break;
                }
            }
        }
        picker.choose(&self.here)
    }

    /// Records that a request is being sent to the chosen target.
    pub fn sent(&mut self, now: Time, choice: &Choice, prefixes: &Prefixes) {
        if let Some(slot) = self.slots.get_mut(&choice.target) {
            slot.sent(now, choice.uncached);
            self.affinity.learn(&choice.target, prefixes);
        }
    }

    /// Records the end of a request that was sent.
    pub fn ended(&mut self, now: Time, id: &TargetId, outcome: AttemptOutcome) {
        let Some(slot) = self.slots.get_mut(id) else {
            return;
        };
        slot.finished();
        for backend in &slot.info.backends {
            if let Some(pool) = self.pools.get_mut(backend) {
                pool.health.record(now, &mut slot.health, outcome);
            }
        }
    }

    /// Records a load report of a target.
    pub fn report(&mut self, now: Time, id: &TargetId, report: Report) {
        if let Some(slot) = self.slots.get_mut(id) {
            slot.report(now, report);
        }
    }

    fn remove_from_pools(&mut self, info: &TargetInfo, dirty: &mut HashSet<Backend>) {
        for backend in &info.backends {
            if let Some(pool) = self.pools.get_mut(backend) {
                pool.remove(&info.id, &info.data_centre);
                dirty.insert(backend.clone());
            }
        }
    }
}
