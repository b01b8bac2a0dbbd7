//! The connections of callers: how many there are, and what their unfinished heads hold.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use clem_boot::Clock;
use clem_policy::{
    RefusalLog,
    connections::{ConnectionNumber, Connections, Opening},
};
use clem_types::Time;
use tokio::sync::Notify;

use crate::{BodyError, BodyPlace, BodyStore};

/// A head of fewer bytes isn't counted: a connection has a buffer for as many anyway.
const UNCOUNTED_BYTES: usize = 8 * 1024;
/// The buffer of a head grows by doubling, with room for the next read.
const BUFFER_FACTOR: usize = 2;
const NEXT_READ_BYTES: usize = 16 * 1024;

/// The callers' connections of this process.
pub struct ConnectionList {
    state: Mutex<State>,
    bodies: Arc<BodyStore>,
    clock: Clock,
}

struct State {
    connections: Connections,
    /// Close the connections that give way to others.
    closers: HashMap<ConnectionNumber, Arc<Notify>>,
    refused: RefusalLog,
}

/// A connection's place in the list, until dropped.
pub struct ConnectionPlace {
    list: Arc<ConnectionList>,
    number: ConnectionNumber,
    closer: Arc<Notify>,
    head: Mutex<Head>,
}

/// How far a connection is with its next request.
enum Head {
    /// The head has not arrived in full.
    Unfinished {
        bytes: usize,
        place: Option<BodyPlace>,
    },
    /// A request is in progress.
    Complete,
    /// The response is complete, but may not be written in full.
    Answered,
}

impl Head {
    /// A head of which nothing has arrived.
    const EMPTY: Self = Self::Unfinished {
        bytes: 0,
        place: None,
    };
}

impl ConnectionList {
    /// No connections, and room for this many; unfinished heads take room among the bodies.
    pub fn new(max: usize, bodies: Arc<BodyStore>, clock: Clock) -> Arc<Self> {
        let state = State {
            connections: Connections::new(max),
            closers: HashMap::new(),
            refused: RefusalLog::default(),
        };
        Arc::new(Self {
            state: Mutex::new(state),
            bodies,
            clock,
        })
    }

    /// Number of connections.
    pub fn count(&self) -> usize {
        self.state().connections.count()
    }

    /// Takes a connection, which may close another one that waits for a request; `None` if there is no room.
    pub fn open(self: &Arc<Self>, now: Time, closer: Arc<Notify>) -> Option<ConnectionPlace> {
        let mut state = self.state();
        let (number, replaced) = match state.connections.open(now) {
            Opening::Kept(number) => (Some(number), None),
            Opening::Replaces(number, replaced) => (Some(number), Some(replaced)),
            Opening::Refused => (None, None),
        };
        if let Some(replaced) = replaced
            && let Some(closer) = state.closers.remove(&replaced)
        {
            closer.notify_one();
        }
        if number.is_none() || replaced.is_some() {
            let outcome = if number.is_some() {
                "idle closed"
            } else {
                "refused"
            };
            metrics::counter!("clem_connections_refused", "outcome" => outcome).increment(1);
            if let Some(refused) = state.refused.count(now) {
                let open = state.connections.count();
                log::warn!(outcome, refused, open; "connections refused");
            }
        }
        let number = number?;
        state.closers.insert(number, Arc::clone(&closer));
        Some(ConnectionPlace {
            list: Arc::clone(self),
            number,
            closer,
            head: Mutex::new(Head::EMPTY),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ConnectionPlace {
    /// Whether more of a head may be read now.
    pub fn may_read(&self) -> bool {
        match &*self.head() {
            Head::Unfinished { bytes, .. } if *bytes >= UNCOUNTED_BYTES => {
                self.list.bodies.is_settled()
            }
            Head::Unfinished { .. } | Head::Complete | Head::Answered => true,
        }
    }

    /// Notes bytes that were read from the connection; returns false if there is no room for its head.
    pub fn note_read(&self, count: usize) -> bool {
        let mut head = self.head();
        let Head::Unfinished { bytes, place } = &mut *head else {
            return true;
        };
        *bytes += count;
        if *bytes < UNCOUNTED_BYTES {
            return true;
        }
        let store = &self.list.bodies;
        let now = self.list.clock.now();
        let place = place.get_or_insert_with(|| store.begin_head(now, Arc::clone(&self.closer)));
        let buffer = *bytes * BUFFER_FACTOR + NEXT_READ_BYTES;
        if place.progress(now) && place.grow(now, buffer) {
            return true;
        }
        store.count(now, BodyError::NoRoom, "");
        false
    }

    /// Notes that a head has arrived in full.
    pub fn begin_request(&self) {
        *self.head() = Head::Complete;
        self.list.state().connections.begin_request(self.number);
    }

    /// Notes that nothing is added to a response any more.
    pub fn end_response(&self) {
        *self.head() = Head::Answered;
    }

    /// Notes that everything is written.
    pub fn note_flushed(&self) {
        let mut head = self.head();
        if !matches!(*head, Head::Answered) {
            return;
        }
        *head = Head::EMPTY;
        drop(head);
        let now = self.list.clock.now();
        self.list.state().connections.wait(now, self.number);
    }

    fn head(&self) -> MutexGuard<'_, Head> {
        self.head.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for ConnectionPlace {
    fn drop(&mut self) {
        let mut state = self.list.state();
        state.closers.remove(&self.number);
        state.connections.close(self.number);
    }
}
