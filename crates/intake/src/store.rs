//! The bodies that a process holds, and the tasks that work on them.

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use bytes::Bytes;
use clem_policy::{
    RefusalLog,
    bodies::{Bodies, BodyGrowth, BodyNumber},
};
use clem_types::Time;
use tokio::sync::Notify;

use crate::BodyError;

/// The bodies that a process holds.
pub struct BodyStore {
    state: Mutex<State>,
}

struct State {
    bodies: Bodies,
    /// Wakes the tasks of unfinished and unread bodies that were dropped.
    tasks: HashMap<BodyNumber, Arc<Notify>>,
    /// Bodies that were dropped and whose tasks have not run since, so that they are still in memory.
    leaving: HashSet<BodyNumber>,
    refused: RefusalLog,
}

/// A body's place in the store, until dropped.
pub struct BodyPlace {
    store: Arc<BodyStore>,
    number: BodyNumber,
    dropped: Arc<Notify>,
}

impl BodyStore {
    /// No bodies, and room for this many bytes.
    pub fn new(max_bytes: usize) -> Arc<Self> {
        let state = State {
            bodies: Bodies::new(max_bytes),
            tasks: HashMap::new(),
            leaving: HashSet::new(),
            refused: RefusalLog::default(),
        };
        Arc::new(Self {
            state: Mutex::new(state),
        })
    }

    /// Bytes that bodies hold now.
    pub fn used_bytes(&self) -> usize {
        self.state().bodies.used_bytes()
    }

    /// Whether all bodies that gave way to others are out of memory. Until then nothing more should be read.
    pub fn is_settled(&self) -> bool {
        self.state().leaving.is_empty()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins a body that is worked on while it arrives. It holds nothing before it takes room.
    pub fn open(self: &Arc<Self>, now: Time, customer: &str) -> BodyPlace {
        self.begin(now, customer, Arc::default())
    }

    /// Begins the head of a request, whose connection is told by `dropped` if it gives way to a body.
    pub fn begin_head(self: &Arc<Self>, now: Time, dropped: Arc<Notify>) -> BodyPlace {
        self.begin(now, "", dropped)
    }

    pub(crate) fn begin(
        self: &Arc<Self>,
        now: Time,
        customer: &str,
        dropped: Arc<Notify>,
    ) -> BodyPlace {
        let mut state = self.state();
        let number = state.bodies.begin(now, customer);
        state.tasks.insert(number, Arc::clone(&dropped));
        BodyPlace {
            store: Arc::clone(self),
            number,
            dropped,
        }
    }

    /// Begins a response, whose connection is told by `dropped` if it gives way to another body.
    pub fn begin_response(
        self: &Arc<Self>,
        now: Time,
        customer: &str,
        dropped: Arc<Notify>,
    ) -> BodyPlace {
        let number = self.state().bodies.begin_response(now, customer);
        BodyPlace {
            store: Arc::clone(self),
            number,
            dropped,
        }
    }

    /// Counts a refused body, and logs at most once a second.
    pub fn count(&self, now: Time, cause: BodyError, customer: &str) {
        metrics::counter!("clem_bodies_refused", "cause" => cause.to_string()).increment(1);
        let mut state = self.state();
        let Some(refused) = state.refused.count(now) else {
            return;
        };
        let held = state.bodies.used_bytes();
        drop(state);
        log::warn!(cause:% = cause, customer, refused, held_bytes = held; "bodies refused");
    }
}

impl BodyPlace {
    /// Waits until the body gives way to another one.
    pub async fn dropped(&self) {
        self.dropped.notified().await;
    }

    /// Takes room for this many bytes in all and waits until the bodies that give way for it are out of memory;
    /// returns false if there is no room, or if the body has given way itself.
    pub async fn take(&self, now: Time, bytes: usize) -> bool {
        if !self.grow(now, bytes) {
            return false;
        }
        loop {
            {
                let state = self.store.state();
                if state.leaving.is_empty() {
                    return true;
                }
                // It may have to give way itself meanwhile.
                if state.leaving.contains(&self.number) {
                    return false;
                }
            }
            tokio::task::yield_now().await;
        }
    }

    /// Takes room for this many bytes in all; returns false if there is none.
    pub fn grow(&self, now: Time, bytes: usize) -> bool {
        let mut state = self.store.state();
        match state.bodies.grow(now, self.number, bytes) {
            BodyGrowth::Granted(dropped) => {
                for number in dropped {
                    if let Some(task) = state.tasks.remove(&number) {
                        state.leaving.insert(number);
                        task.notify_one();
                    }
                }
                true
            }
            BodyGrowth::Refused => false,
        }
    }

    /// Notes that bytes have arrived or have been read; returns false if the body has given way to another one.
    pub fn progress(&self, now: Time) -> bool {
        self.store.state().bodies.progress(now, self.number)
    }

    /// Notes that a response only has to be read.
    pub fn respond(&self, now: Time) {
        let mut state = self.store.state();
        state.bodies.respond(now, self.number);
        state.tasks.insert(self.number, Arc::clone(&self.dropped));
    }

    pub(crate) fn complete(&self, bytes: usize) -> bool {
        let mut state = self.store.state();
        state.tasks.remove(&self.number);
        state.bodies.complete(self.number, bytes)
    }
}

impl Drop for BodyPlace {
    fn drop(&mut self) {
        let mut state = self.store.state();
        state.tasks.remove(&self.number);
        state.leaving.remove(&self.number);
        state.bodies.end(self.number);
    }
}

/// Bytes that hold a body's place as long as any copy of them is used.
struct HeldBytes {
    bytes: Bytes,
    _place: BodyPlace,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BodyPlace {
    /// Makes the bytes of a body hold its place as long as any copy of them is used.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(HeldBytes {
            bytes,
            _place: self,
        })
    }
}
