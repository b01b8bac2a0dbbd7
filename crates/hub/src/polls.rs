//! The polls that the leader holds until it has an update for them.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::sync::Notify;

use crate::Wakes;

/// The polls that are held, by the holder that sent them.
#[derive(Debug, Default)]
pub struct Polls {
    held: Mutex<HashMap<String, Arc<Notify>>>,
}

impl Polls {
    /// Registers a poll until the returned value is dropped. It replaces an older one of the same
    /// holder, whose reply nobody waits for.
    pub fn register(&self, holder: &str) -> HeldPoll<'_> {
        let woken = Arc::new(Notify::new());
        self.lock().insert(holder.to_owned(), Arc::clone(&woken));
        HeldPoll {
            polls: self,
            holder: holder.to_owned(),
            woken,
        }
    }

    /// Wakes polls. A holder without one gets its update with its next poll.
    pub fn wake(&self, wakes: Wakes) {
        let held = self.lock();
        match wakes {
            Wakes::All => held.values().for_each(|poll| poll.notify_one()),
            Wakes::Holders(holders) => {
                for poll in holders.iter().filter_map(|holder| held.get(holder)) {
                    poll.notify_one();
                }
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Arc<Notify>>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A poll that the leader holds.
#[derive(Debug)]
pub struct HeldPoll<'a> {
    polls: &'a Polls,
    holder: String,
    woken: Arc<Notify>,
}

impl HeldPoll<'_> {
    /// Waits until there may be an update; returns at once if it was woken since the last wait.
    pub async fn woken(&self) {
        self.woken.notified().await;
    }
}

impl Drop for HeldPoll<'_> {
    fn drop(&mut self) {
        let mut held = self.polls.lock();
        let known = held.get(&self.holder);
        if known.is_some_and(|known| Arc::ptr_eq(known, &self.woken)) {
            held.remove(&self.holder);
        }
    }
}
