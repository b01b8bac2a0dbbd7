//! Which target gets a request: prefix affinity with bounded load, data centre first.
//!
//! A decision looks at a few candidates: the targets that this entry last sent the longest
//! known prefixes of the prompt to, the first ones on a hash ring of the prompt's beginning (so
//! that entries agree without talking), two at random, and two at random of other data centres.
//! Each is given a cost in tokens: the work before it in the queue, plus the part of the prompt
//! that it would have to read in. The lowest cost wins, so affinity holds only as far as it saves
//! more than waiting costs. See `docs/design/online.md`, "Routing".
//!
//! Targets that fail or lag behind their pool are ejected for a while, see [`health`]; never more
//! than half of a pool, and when nothing else is left they are used all the same.

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

/// What routing gives up to stay in the data centre, in tokens of work.
const SPILL_TOKENS: f64 = 500.0;
/// The work that one stream means to those behind it, in tokens.
const STREAM_TOKENS: f64 = 60.0;
/// Candidates on the hash ring.
const RING_TRIED: usize = 2;
/// Candidates at random.
const RANDOM_TRIED: usize = 2;

/// A target as the fleet view shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetInfo {
    /// The target.
    pub id: TargetId,
    /// Its agent's life; what is known of an earlier one is forgotten.
    pub incarnation: Incarnation,
    /// The data centre that it stands in.
    pub data_centre: DataCentre,
    /// What it serves and is ready for.
    pub backends: Vec<Backend>,
    /// Whether it takes new work.
    pub open: bool,
}

/// What is to be routed.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// What has to answer it.
    pub backend: &'a Backend,
    /// The prompt's prefixes; empty for a plain service.
    pub prefixes: &'a Prefixes,
    /// The prompt's length, in tokens.
    pub prompt: u32,
    /// Targets that have had their chance.
    pub tried: &'a [TargetId],
}

/// How an attempt ended, as far as the target's health goes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptOutcome {
    /// With an answer; the first part of it came after this time, in seconds.
    Answered {
        /// Seconds to the first token or byte.
        first: f64,
    },
    /// Refused as not run for a reason that is no fault, such as a full queue.
    Refused,
    /// Failed, stalled or not reached.
    Failed,
    /// Given up by the caller; this says nothing of the target.
    Dropped,
}

/// The targets that an entry may route to, and what it knows of them.
#[derive(Debug)]
pub struct Router {
    here: DataCentre,
    slots: HashMap<TargetId, Slot>,
    pools: HashMap<Backend, Pool>,
    affinity: Affinity,
}

impl Router {
    /// A router of an entry that stands in `here`.
    pub fn new(here: DataCentre) -> Self {
        Self {
            here,
            slots: HashMap::new(),
            pools: HashMap::new(),
            affinity: Affinity::default(),
        }
    }

    /// Takes in targets that are new or different, and drops those that are gone.
    pub fn update(&mut self, changed: Vec<TargetInfo>, gone: &[TargetId]) {
        let mut dirty = HashSet::new();
        for id in gone {
            if let Some(slot) = self.slots.remove(id) {
                self.leave(&slot.info, &mut dirty);
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
                self.leave(&slot.info, &mut dirty);
            }
            for backend in &info.backends {
                let pool = self.pools.entry(backend.clone()).or_default();
                if info.open {
                    pool.add(info.id.clone(), info.data_centre.clone());
                }
                dirty.insert(backend.clone());
            }
            let slot = match old {
                Some(old) if old.info.incarnation == info.incarnation => old.with(info),
                Some(_) => {
                    // A new life starts with an empty cache.
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

    /// All targets that are known.
    pub fn targets(&self) -> impl Iterator<Item = &TargetInfo> {
        self.slots.values().map(|slot| &slot.info)
    }

    /// Whether the target is known in this life and its agent is in the fleet view.
    pub fn knows(&self, id: &TargetId, incarnation: Incarnation) -> bool {
        self.slots
            .get(id)
            .is_some_and(|slot| slot.info.incarnation == incarnation)
    }

    /// Chooses a target; none when no open target serves this that has not been tried.
    pub fn pick(&self, now: Time, rng: &mut impl Rng, query: &Query<'_>) -> Option<Choice> {
        let pool = self.pools.get(query.backend)?;
        let mut picker = choice::Picker::new(now, query, &self.slots, pool);
        for (target, matched) in self.affinity.find(query.prefixes) {
            picker.consider(target, matched, Reason::Affinity);
        }
        let home = pool.zone(&self.here);
        if let Some(zone) = home {
            if let Some(first) = query.prefixes.first() {
                zone.ring(first, RING_TRIED, |id| picker.consider(id, 0, Reason::Ring));
            }
            zone.random(rng, RANDOM_TRIED, |id| picker.consider(id, 0, Reason::Load));
        }
        let away = pool.others(&self.here);
        pool::random_of(&away, rng, RANDOM_TRIED, |id| {
            picker.consider(id, 0, Reason::Spill);
        });
        if picker.is_empty() {
            // Chance met only targets that are tried or ejected: look along the ring.
            let start = rng.random();
            for zone in home.into_iter().chain(away) {
                zone.ring(start, zone.len(), |id| picker.consider(id, 0, Reason::Last));
                if !picker.is_empty() {
                    break;
                }
            }
        }
        picker.choose(&self.here)
    }

    /// Counts a request that is about to be sent by this choice.
    pub fn sent(&mut self, now: Time, choice: &Choice, prefixes: &Prefixes) {
        if let Some(slot) = self.slots.get_mut(&choice.target) {
            slot.sent(now, choice.unread);
            self.affinity.learn(&choice.target, prefixes);
        }
    }

    /// Counts the end of a request that was sent.
    pub fn ended(&mut self, now: Time, id: &TargetId, ended: AttemptOutcome) {
        let Some(slot) = self.slots.get_mut(id) else {
            return;
        };
        slot.finished();
        for backend in &slot.info.backends {
            if let Some(pool) = self.pools.get_mut(backend) {
                pool.health.judge(now, &mut slot.health, ended);
            }
        }
    }

    /// Takes in a load report of a target.
    pub fn report(&mut self, now: Time, id: &TargetId, report: Report) {
        if let Some(slot) = self.slots.get_mut(id) {
            slot.report(now, report);
        }
    }

    fn leave(&mut self, info: &TargetInfo, dirty: &mut HashSet<Backend>) {
        for backend in &info.backends {
            if let Some(pool) = self.pools.get_mut(backend) {
                pool.remove(&info.id, &info.data_centre);
                dirty.insert(backend.clone());
            }
        }
    }
}
