//! Calls to members that are under way.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use clem_types::Time;

/// Calls that are under way, by what may have one at a time, and since when. Clones share the state.
#[derive(Debug)]
pub(super) struct InFlight<K> {
    calls: Arc<Mutex<Calls<K>>>,
}

#[derive(Debug)]
struct Calls<K> {
    begun: BTreeMap<K, Begun>,
    /// The number of the last call.
    last: u64,
}

/// A call that is under way.
#[derive(Debug, Clone, Copy)]
struct Begun {
    at: Time,
    number: u64,
}

/// Marks a call until it is dropped, also when its task panics.
#[derive(Debug)]
pub(super) struct InFlightGuard<K: Ord> {
    in_flight: InFlight<K>,
    key: K,
    number: u64,
}

impl<K> Clone for InFlight<K> {
    fn clone(&self) -> Self {
        Self {
            calls: Arc::clone(&self.calls),
        }
    }
}

impl<K> Default for InFlight<K> {
    fn default() -> Self {
        let calls = Calls {
            begun: BTreeMap::new(),
            last: 0,
        };
        Self {
            calls: Arc::new(Mutex::new(calls)),
        }
    }
}

impl<K: Ord + Copy> InFlight<K> {
    /// Marks a call; `None` if one is under way already.
    pub(super) fn begin(&self, now: Time, key: K) -> Option<InFlightGuard<K>> {
        let is_marked = self.calls().begun.contains_key(&key);
        (!is_marked).then(|| self.restart(now, key))
    }

    /// Marks a call in place of an earlier one.
    pub(super) fn restart(&self, now: Time, key: K) -> InFlightGuard<K> {
        let mut calls = self.calls();
        calls.last += 1;
        let number = calls.last;
        calls.begun.insert(key, Begun { at: now, number });
        InFlightGuard {
            in_flight: self.clone(),
            key,
            number,
        }
    }

    /// How long the oldest call has taken so far; zero without one.
    pub(super) fn longest(&self, now: Time) -> Duration {
        let calls = self.calls();
        let oldest = calls.begun.values().map(|begun| begun.at).min();
        oldest.map_or(Duration::ZERO, |at| now.since(at))
    }
}

impl<K> InFlight<K> {
    fn calls(&self) -> MutexGuard<'_, Calls<K>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<K: Ord> Drop for InFlightGuard<K> {
    fn drop(&mut self) {
        let mut calls = self.in_flight.calls();
        let current = calls.begun.get(&self.key);
        // A later call has its own guard.
        if current.is_some_and(|begun| begun.number == self.number) {
            calls.begun.remove(&self.key);
        }
    }
}
