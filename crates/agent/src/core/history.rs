//! History of the attempts that were received, started and fenced.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use clem_types::{Attempt, RequestId, Time};
use clem_wire::dispatch::FenceReply;

/// How long the attempts of a request are remembered, from the first record on: longer than a
/// dispatch can be in transit.
const RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of requests in the history.
const MAX_REQUESTS: usize = 65_536;

/// The highest attempt of a request in each state.
#[derive(Debug, Clone, Copy, Default)]
struct Record {
    seen: Attempt,
    started: Attempt,
    fenced: Attempt,
}

/// Remembers attempts, so that none runs twice and none starts after it was fenced.
#[derive(Debug, Default)]
pub struct AttemptHistory {
    records: HashMap<RequestId, Record>,
    by_age: VecDeque<(Time, RequestId)>,
}

/// Result of recording an attempt that arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// The attempt is new and may be queued.
    New,
    /// This attempt was received before, or it or a later one has started: it may have run.
    Duplicate,
    /// This attempt was fenced or superseded by a later one: it has not run and never will.
    Fenced,
    /// The history is full. The attempt must not run, because a repeat would go unnoticed.
    Full,
}

impl AttemptHistory {
    /// Records that an attempt arrived.
    pub fn record_arrival(&mut self, now: Time, request: RequestId, attempt: Attempt) -> Arrival {
        let Some(record) = self.entry(now, request) else {
            return Arrival::Full;
        };
        if attempt <= record.started || attempt == record.seen {
            return Arrival::Duplicate;
        }
        if attempt <= record.fenced || attempt < record.seen {
            return Arrival::Fenced;
        }
        record.seen = attempt;
        Arrival::New
    }

    /// Records that an attempt is about to be sent to the target. Returns false if it was fenced
    /// or is unknown.
    pub fn record_start(&mut self, request: RequestId, attempt: Attempt) -> bool {
        let Some(record) = self.records.get_mut(&request) else {
            return false;
        };
        if attempt <= record.fenced {
            return false;
        }
        record.started = record.started.max(attempt);
        true
    }

    /// Fences an attempt and all earlier ones. The reply says whether this attempt or a later one
    /// had started.
    ///
    /// Returns `None` if the history is full: the fence is not in effect.
    pub fn fence(&mut self, now: Time, request: RequestId, attempt: Attempt) -> Option<FenceReply> {
        let record = self.entry(now, request)?;
        record.fenced = record.fenced.max(attempt);
        if record.started >= attempt {
            return Some(FenceReply::Started);
        }
        Some(FenceReply::NotStarted)
    }

    fn entry(&mut self, now: Time, request: RequestId) -> Option<&mut Record> {
        while let Some((at, old)) = self.by_age.front().copied() {
            if now.since(at) < RETENTION {
                break;
            }
            self.by_age.pop_front();
            self.records.remove(&old);
        }
        if !self.records.contains_key(&request) {
            if self.records.len() >= MAX_REQUESTS {
                return None;
            }
            self.by_age.push_back((now, request));
        }
        Some(self.records.entry(request).or_default())
    }
}
