//! The room on the disk: what is refused without it, and what the log says of it.

use clem_types::Time;

/// The part of the reserve below which nothing but changes of the members is written.
const FLOOR_DIVISOR: u64 = 4;

/// What is known of the room on this process's disk.
#[derive(Debug)]
pub(super) struct RoomState {
    /// `u64::MAX` until it was first read.
    free_bytes: u64,
    reserve_bytes: u64,
    /// Since when there is less than the reserve.
    short_since: Option<Time>,
}

impl RoomState {
    pub(super) fn new(reserve_bytes: u64) -> Self {
        Self {
            free_bytes: u64::MAX,
            reserve_bytes,
            short_since: None,
        }
    }

    pub(super) fn free_bytes(&self) -> u64 {
        self.free_bytes
    }

    /// Whether new work is refused.
    pub(super) fn is_short(&self) -> bool {
        self.short_since.is_some()
    }

    /// Free disk space below which results aren't written either, in bytes.
    pub(super) fn floor_bytes(&self) -> u64 {
        self.reserve_bytes / FLOOR_DIVISOR
    }

    /// Notes the free room, and logs if it becomes short or is no longer.
    pub(super) fn note(&mut self, now: Time, free_bytes: u64, leads: bool) {
        self.free_bytes = free_bytes;
        let reserve_bytes = self.reserve_bytes;
        let short = free_bytes < reserve_bytes;
        match (self.short_since, short) {
            (None, true) => {
                self.short_since = Some(now);
                log::warn!(free_bytes, reserve_bytes, leads; "disk short of room");
            }
            (Some(since), false) => {
                self.short_since = None;
                let short_ms = now.since(since).as_millis() as u64;
                log::info!(free_bytes, reserve_bytes, leads, short_ms; "disk has room again");
            }
            (None, false) | (Some(_), true) => {}
        }
    }
}
