//! What this member's disk has not done yet, and for how long.

use std::{collections::VecDeque, time::Duration};

use clem_log::WriteNumber;
use clem_types::Time;

/// The log writes and the store sync that are not done.
#[derive(Debug, Default)]
pub(super) struct DiskWork {
    /// Log writes and when they were submitted, oldest first.
    writes: VecDeque<(WriteNumber, Time)>,
    /// Since when the store is being synced.
    syncing: Option<Time>,
}

impl DiskWork {
    pub(super) fn write_begun(&mut self, now: Time, number: WriteNumber) {
        self.writes.push_back((number, now));
    }

    /// Notes that all writes up to `number` are synced.
    pub(super) fn write_ended(&mut self, number: WriteNumber) {
        while self.writes.front().is_some_and(|(at, _)| *at <= number) {
            self.writes.pop_front();
        }
    }

    pub(super) fn sync_begun(&mut self, now: Time) {
        debug_assert!(!self.is_syncing(), "only one sync may run at a time");
        self.syncing = Some(now);
    }

    pub(super) fn sync_ended(&mut self) {
        self.syncing = None;
    }

    pub(super) fn is_syncing(&self) -> bool {
        self.syncing.is_some()
    }

    /// How long the oldest log write has taken so far; zero without one.
    pub(super) fn write_age(&self, now: Time) -> Duration {
        let oldest = self.writes.front();
        oldest.map_or(Duration::ZERO, |(_, begun)| now.since(*begun))
    }

    /// How long the sync of the store has taken so far; zero without one.
    pub(super) fn sync_age(&self, now: Time) -> Duration {
        self.syncing
            .map_or(Duration::ZERO, |begun| now.since(begun))
    }

    /// For how long the disk has kept this member from applying entries.
    pub(super) fn stall(&self, now: Time) -> Duration {
        self.write_age(now).max(self.sync_age(now))
    }
}
