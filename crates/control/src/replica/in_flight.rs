//! Members that a call to is under way.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use clem_log::MemberId;
use clem_types::Time;

/// Members that a call to is under way, and since when.
#[derive(Debug, Default)]
pub(super) struct InFlight {
    members: Mutex<BTreeMap<MemberId, Time>>,
}

impl InFlight {
    /// Marks a member; returns false if it is marked already.
    pub(super) fn begin(&self, now: Time, member: MemberId) -> bool {
        let mut members = self.members();
        if members.contains_key(&member) {
            return false;
        }
        members.insert(member, now);
        true
    }

    /// Marks a member anew.
    pub(super) fn restart(&self, now: Time, member: MemberId) {
        self.members().insert(member, now);
    }

    pub(super) fn end(&self, member: MemberId) {
        self.members().remove(&member);
    }

    /// How long the oldest call has taken so far; zero without one.
    pub(super) fn longest(&self, now: Time) -> Duration {
        let oldest = self.members().values().min().copied();
        oldest.map_or(Duration::ZERO, |begun| now.since(begun))
    }

    fn members(&self) -> MutexGuard<'_, BTreeMap<MemberId, Time>> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
