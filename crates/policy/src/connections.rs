//! Which connections a process keeps while callers open more than it has descriptors and memory for.
//!
//! The expected load is crowds of connections that send no request, or the beginning of one, beside ordinary callers
//! that send theirs at once and may keep the connection for the next one. A new connection takes the place of the
//! one that has waited longest for a request; one with a request in progress is never closed for it.

use std::collections::{BTreeMap, BTreeSet};

use clem_types::Time;

/// The number of a connection in its process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionNumber(u64);

/// What happens to a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Opening {
    /// It is kept.
    Kept(ConnectionNumber),
    /// It is kept in place of the second one, which must be closed.
    Replaces(ConnectionNumber, ConnectionNumber),
    /// All connections have requests in progress.
    Refused,
}

/// The connections of a process.
#[derive(Debug)]
pub struct Connections {
    max: usize,
    next: u64,
    /// Since when each connection waits for a request; `None` while one is in progress.
    open: BTreeMap<ConnectionNumber, Option<Time>>,
    waiting: BTreeSet<(Time, ConnectionNumber)>,
}

impl Connections {
    /// No connections, and room for this many.
    pub fn new(max: usize) -> Self {
        Self {
            max,
            next: 0,
            open: BTreeMap::new(),
            waiting: BTreeSet::new(),
        }
    }

    /// Number of connections.
    pub fn count(&self) -> usize {
        self.open.len()
    }

    /// Takes a new connection, which waits for its first request.
    pub fn open(&mut self, now: Time) -> Opening {
        let mut replaced = None;
        if self.open.len() >= self.max {
            let Some((_, longest)) = self.waiting.first().copied() else {
                return Opening::Refused;
            };
            self.close(longest);
            replaced = Some(longest);
        }
        let number = ConnectionNumber(self.next);
        self.next += 1;
        self.open.insert(number, Some(now));
        self.waiting.insert((now, number));
        match replaced {
            Some(replaced) => Opening::Replaces(number, replaced),
            None => Opening::Kept(number),
        }
    }

    /// Notes that a connection waits for a request from now on.
    pub fn wait(&mut self, now: Time, number: ConnectionNumber) {
        self.set(number, Some(now));
    }

    /// Notes that the head of a request has arrived on a connection.
    pub fn begin_request(&mut self, number: ConnectionNumber) {
        self.set(number, None);
    }

    fn set(&mut self, number: ConnectionNumber, since: Option<Time>) {
        let Some(place) = self.open.get_mut(&number) else {
            return;
        };
        if let Some(before) = std::mem::replace(place, since) {
            self.waiting.remove(&(before, number));
        }
        if let Some(since) = since {
            self.waiting.insert((since, number));
        }
    }

    /// Ends a connection.
    pub fn close(&mut self, number: ConnectionNumber) {
        self.set(number, None);
        self.open.remove(&number);
    }
}
