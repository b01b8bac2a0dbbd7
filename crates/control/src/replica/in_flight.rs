//! Members that a call to is under way.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use clem_log::MemberId;
use clem_types::Time;

/// Members that a call to is under way, and since when. Clones share the state.
#[derive(Debug, Clone, Default)]
pub(super) struct InFlight {
    calls: Arc<Mutex<Calls>>,
}

#[derive(Debug, Default)]
struct Calls {
    members: BTreeMap<MemberId, Begun>,
    /// The number of the last call.
    last: u64,
}

/// A call that is under way.
#[derive(Debug, Clone, Copy)]
struct Begun {
    at: Time,
    number: u64,
}

/// Marks a member until it is dropped, also when its task panics.
#[derive(Debug)]
pub(super) struct InFlightGuard {
    in_flight: InFlight,
    member: MemberId,
    number: u64,
}

impl InFlight {
    /// Marks a member; `None` if it is marked already.
    pub(super) fn begin(&self, now: Time, member: MemberId) -> Option<InFlightGuard> {
        let is_marked = self.calls().members.contains_key(&member);
        (!is_marked).then(|| self.restart(now, member))
    }

    /// Marks a member anew, in place of an earlier call.
    pub(super) fn restart(&self, now: Time, member: MemberId) -> InFlightGuard {
        let mut calls = self.calls();
        calls.last += 1;
        let number = calls.last;
        calls.members.insert(member, Begun { at: now, number });
        InFlightGuard {
            in_flight: self.clone(),
            member,
            number,
        }
    }

    /// How long the oldest call has taken so far; zero without one.
    pub(super) fn longest(&self, now: Time) -> Duration {
        let calls = self.calls();
        let oldest = calls.members.values().map(|begun| begun.at).min();
        oldest.map_or(Duration::ZERO, |at| now.since(at))
    }

    fn calls(&self) -> MutexGuard<'_, Calls> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut calls = self.in_flight.calls();
        let current = calls.members.get(&self.member);
        // A later call to the member has its own guard.
        if current.is_some_and(|begun| begun.number == self.number) {
            calls.members.remove(&self.member);
        }
    }
}
