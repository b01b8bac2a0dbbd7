//! Bounds the memory of the large calls of other processes that a process works on.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use clem_policy::RefusalLog;
use clem_types::Time;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Memory is counted in units of this many bytes.
const UNIT_BYTES: u64 = 1024;
/// How long a call waits for room, unread. Its caller must learn in time that it was not taken.
const WAIT_TIME: Duration = Duration::from_millis(800);

/// Memory that the large calls of a process share.
///
/// Calls get room before they are read, in the order in which they arrived, so that a burst of them is worked off
/// a few at a time while the rest waits at its senders. See `docs/design/bodies.md`.
#[derive(Debug)]
pub struct CallRoom {
    free: Arc<Semaphore>,
    units: u32,
    /// How often a call may be in memory at once.
    copies: u64,
    refused: Mutex<RefusalLog>,
}

/// Room for a call, until dropped.
#[derive(Debug)]
pub struct CallPermit {
    _units: OwnedSemaphorePermit,
}

impl CallRoom {
    /// Room for this many bytes, all of it free, for calls of which this many copies are made.
    pub fn new(max_bytes: usize, copies: u64) -> Self {
        let units = units(u64::try_from(max_bytes).unwrap_or(u64::MAX));
        Self {
            free: Arc::new(Semaphore::new(usize::try_from(units).unwrap_or_default())),
            units,
            copies,
            refused: Mutex::default(),
        }
    }

    /// Waits until there is room for a call whose message has this many bytes. A message that needs more than all
    /// of it is taken alone.
    pub async fn enter(&self, message_bytes: u64) -> Option<CallPermit> {
        let units = units(message_bytes.saturating_mul(self.copies)).min(self.units);
        let acquiring = Arc::clone(&self.free).acquire_many_owned(units);
        let acquired = tokio::time::timeout(WAIT_TIME, acquiring).await;
        Some(CallPermit {
            _units: acquired.ok()?.ok()?,
        })
    }

    /// Counts a call to a path that was not taken, and logs that once a second at most.
    pub fn note_refused(&self, now: Time, path: &str, message_bytes: u64) {
        metrics::counter!("clem_calls_without_room").increment(1);
        let mut log = self.refused.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(refused) = log.count(now) {
            log::warn!(call = path, refused, message_bytes; "no room for a call");
        }
    }
}

fn units(bytes: u64) -> u32 {
    u32::try_from(bytes.div_ceil(UNIT_BYTES))
        .unwrap_or(u32::MAX)
        .min(Semaphore::MAX_PERMITS.try_into().unwrap_or(u32::MAX))
}
