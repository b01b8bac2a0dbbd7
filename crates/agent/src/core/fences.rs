//! Which attempts have been seen, started and fenced.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use clem_types::{Attempt, RequestId, Time};
use clem_wire::dispatch::FenceReply;

/// How long an attempt is remembered; longer than a dispatch can be on its way.
const KEEP: Duration = Duration::from_secs(600);
/// The most requests that are remembered.
const MOST: usize = 65_536;

/// What is known of a request.
#[derive(Debug, Clone, Copy, Default)]
struct Record {
    seen: Attempt,
    started: Attempt,
    fenced: Attempt,
}

/// Remembers attempts, so that none runs twice and a fenced one never starts.
#[derive(Debug, Default)]
pub struct FenceBook {
    records: HashMap<RequestId, Record>,
    order: VecDeque<(Time, RequestId)>,
}

/// Whether an attempt may be queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Seen {
    /// It is new.
    New,
    /// It, or a later one, has been here: it may have run.
    Before,
    /// It has been fenced: it has not run and never will.
    Fenced,
    /// No more attempts can be remembered, so none may run.
    Full,
}

impl FenceBook {
    /// Enters an attempt that arrives.
    pub fn arrive(&mut self, now: Time, request: RequestId, attempt: Attempt) -> Seen {
        let Some(record) = self.record(now, request) else {
            return Seen::Full;
        };
        if attempt <= record.started || attempt == record.seen {
            return Seen::Before;
        }
        if attempt <= record.fenced || attempt < record.seen {
            return Seen::Fenced;
        }
        record.seen = attempt;
        Seen::New
    }

    /// Enters that an attempt leaves for the target; false when it has been fenced.
    pub fn start(&mut self, request: RequestId, attempt: Attempt) -> bool {
        let Some(record) = self.records.get_mut(&request) else {
            return false;
        };
        if attempt <= record.fenced {
            return false;
        }
        record.started = record.started.max(attempt);
        true
    }

    /// Fences an attempt and all before it, and says whether this attempt had started.
    ///
    /// `None` when no more fences can be remembered: the caller must not rely on this one.
    pub fn fence(&mut self, now: Time, request: RequestId, attempt: Attempt) -> Option<FenceReply> {
        let record = self.record(now, request)?;
        record.fenced = record.fenced.max(attempt);
        if record.started >= attempt {
            return Some(FenceReply::Started);
        }
        Some(FenceReply::NotStarted)
    }

    fn record(&mut self, now: Time, request: RequestId) -> Option<&mut Record> {
        while let Some((at, old)) = self.order.front().copied() {
            if now.since(at) < KEEP {
                break;
            }
            self.order.pop_front();
            self.records.remove(&old);
        }
        if !self.records.contains_key(&request) {
            if self.records.len() >= MOST {
                return None;
            }
            self.order.push_back((now, request));
        }
        Some(self.records.entry(request).or_default())
    }
}
