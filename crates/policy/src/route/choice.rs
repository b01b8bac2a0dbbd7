//! Choice of the cheapest candidate.

use std::{collections::HashMap, fmt};

use clem_types::{DataCentre, TargetId, Time};

use super::{Query, SPILL_TOKENS, health::State, pool::Pool, target::Slot};

/// Why a target was chosen, as it is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// It was sent a prefix of the prompt before.
    Affinity,
    /// It is next on the hash ring for the start of the prompt.
    Ring,
    /// It is the cheapest random candidate of the local data centre.
    Load,
    /// It is in another data centre and cheaper than the local candidates.
    Spill,
    /// It gets a trial request after an ejection.
    Trial,
    /// No other target was left.
    Last,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Affinity => "affinity",
            Self::Ring => "ring",
            Self::Load => "load",
            Self::Spill => "spill",
            Self::Trial => "trial",
            Self::Last => "last",
        })
    }
}

/// A routing decision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// Target to send the request to.
    pub target: TargetId,
    /// Why it was chosen.
    pub reason: Reason,
    /// Estimated number of prompt tokens that are not in its cache.
    pub uncached: u32,
    /// All targets that were considered, the chosen one included.
    pub candidates: Vec<TargetId>,
}

struct Candidate<'a> {
    slot: &'a Slot,
    cost: f64,
    uncached: u32,
    reason: Reason,
    state: State,
}

/// Collects the candidates of a query and their costs.
pub(super) struct Picker<'a> {
    now: Time,
    query: &'a Query<'a>,
    slots: &'a HashMap<TargetId, Slot>,
    pool: &'a Pool,
    found: Vec<Candidate<'a>>,
}

impl<'a> Picker<'a> {
    pub(super) fn new(
        now: Time,
        query: &'a Query<'a>,
        slots: &'a HashMap<TargetId, Slot>,
        pool: &'a Pool,
    ) -> Self {
        Self {
            now,
            query,
            slots,
            pool,
            found: Vec::with_capacity(8),
        }
    }

    /// Adds a candidate that probably has `matched` tokens of the prompt in its cache.
    pub(super) fn consider(&mut self, id: &TargetId, matched: u32, reason: Reason) {
        debug_assert!(self.pool.health.targets > 0, "a pool in use is not empty");
        if self.query.tried.contains(id) {
            return;
        }
        if self.found.iter().any(|known| known.slot.info.id == *id) {
            return;
        }
        let Some(slot) = self.slots.get(id) else {
            return;
        };
        if !slot.info.open || !slot.info.backends.contains(self.query.backend) {
            return;
        }
        let uncached = self.query.prompt.saturating_sub(matched);
        let cost = slot.load.work(self.now) + f64::from(uncached);
        let state = slot.health.state(self.now);
        self.found.push(Candidate {
            slot,
            cost,
            uncached,
            reason,
            state,
        });
    }

    pub(super) fn is_empty(&self) -> bool {
        !self.found.iter().any(|known| known.state != State::Ejected)
    }

    /// Returns the candidate with the lowest cost; an idle local target on trial is preferred, and
    /// ejected targets come last.
    pub(super) fn choose(self, here: &DataCentre) -> Option<Choice> {
        let mut best: Option<(u32, f64, &Candidate<'_>)> = None;
        for candidate in &self.found {
            let remote = candidate.slot.info.data_centre != *here;
            let cost = candidate.cost + if remote { SPILL_TOKENS } else { 0.0 };
            let rank = match candidate.state {
                State::Trial if candidate.slot.load.own() == 0 && !remote => 0,
                State::Good => 1,
                State::Trial => 2,
                State::Ejected => 3,
            };
            let better = best.is_none_or(|(top, least, _)| (rank, cost) < (top, least));
            if better {
                best = Some((rank, cost, candidate));
            }
        }
        let (_, _, chosen) = best?;
        let remote = chosen.slot.info.data_centre != *here;
        let reason = match chosen.state {
            State::Trial => Reason::Trial,
            State::Ejected => Reason::Last,
            State::Good if remote => Reason::Spill,
            State::Good => chosen.reason,
        };
        let candidates = self
            .found
            .iter()
            .map(|known| known.slot.info.id.clone())
            .collect();
        Some(Choice {
            target: chosen.slot.info.id.clone(),
            uncached: chosen.uncached,
            reason,
            candidates,
        })
    }
}
