//! Holds the bodies of callers' requests, and of responses to their calls on batches, in the bytes that this process
//! has for them. See `docs/design/bodies.md`.

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use clem_edge::{Cause, Refusal};
use clem_policy::{
    RefusalLog,
    bodies::{Bodies, BodyGrowth, BodyNumber, OPEN_BYTES},
};
use clem_types::Time;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::sync::Notify;

/// First size of a body's buffer, in bytes, which then doubles.
const BUFFER_BYTES: usize = 8 * 1024;
/// Retry time of a body for which there was no room.
const ROOM_RETRY: Duration = Duration::from_millis(300);

/// The bodies that this process holds.
pub(crate) struct BodyStore {
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

/// The limits on one body.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BodyLimits {
    /// The largest body, in bytes.
    pub(crate) bytes: usize,
    /// How long a caller may send nothing.
    pub(crate) idle: Duration,
    /// Time for the whole body.
    pub(crate) total: Duration,
}

/// A body's place in the store, until dropped.
pub(crate) struct BodyPlace {
    store: Arc<BodyStore>,
    number: BodyNumber,
    dropped: Arc<Notify>,
}

impl BodyStore {
    pub(crate) fn new(max_bytes: usize) -> Arc<Self> {
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
    pub(crate) fn used_bytes(&self) -> usize {
        self.state().bodies.used_bytes()
    }

    /// Whether all bodies that gave way to others are out of memory. Until then nothing more should be read.
    pub(crate) fn is_settled(&self) -> bool {
        self.state().leaving.is_empty()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins the head of a request, whose connection is told by `dropped` if it gives way to a body.
    pub(crate) fn begin_head(self: &Arc<Self>, now: Time, dropped: Arc<Notify>) -> BodyPlace {
        self.begin(now, "", dropped)
    }

    fn begin(self: &Arc<Self>, now: Time, customer: &str, dropped: Arc<Notify>) -> BodyPlace {
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
    pub(crate) fn begin_response(
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
    pub(crate) fn count(&self, now: Time, cause: Cause, customer: &str) {
        metrics::counter!("clem_front_bodies_refused", "cause" => cause.to_string()).increment(1);
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
    /// Takes room for this many bytes in all and waits until the bodies that give way for it are out of memory;
    /// returns false if there is no room.
    pub(crate) async fn take(&self, now: Time, bytes: usize) -> bool {
        if !self.grow(now, bytes) {
            return false;
        }
        while !self.store.is_settled() {
            tokio::task::yield_now().await;
        }
        true
    }

    /// Takes room for this many bytes in all; returns false if there is none.
    pub(crate) fn grow(&self, now: Time, bytes: usize) -> bool {
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
    pub(crate) fn progress(&self, now: Time) -> bool {
        self.store.state().bodies.progress(now, self.number)
    }

    /// Notes that a response only has to be read.
    pub(crate) fn respond(&self, now: Time) {
        let mut state = self.store.state();
        state.bodies.respond(now, self.number);
        state.tasks.insert(self.number, Arc::clone(&self.dropped));
    }

    fn complete(&self, bytes: usize) -> bool {
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

/// Reads a body; it holds its place until the place is dropped.
pub(crate) async fn read_body(
    store: &Arc<BodyStore>,
    body: Incoming,
    customer: &str,
    limits: BodyLimits,
    now: impl Fn() -> Time,
) -> Result<(Bytes, Option<BodyPlace>), Refusal> {
    if body.is_end_stream() {
        return Ok((Bytes::new(), None));
    }
    let dropped = Arc::new(Notify::new());
    let place = store.begin(now(), customer, Arc::clone(&dropped));
    let read = tokio::select! {
        read = tokio::time::timeout(limits.total, collect(&place, body, limits, &now)) => {
            read.unwrap_or(Err(Cause::BodySlow))
        }
        () = dropped.notified() => Err(Cause::BodyRoom),
    };
    match read {
        Ok(bytes) => Ok((bytes, Some(place))),
        Err(cause) => {
            drop(place);
            store.count(now(), cause, customer);
            let retry = (cause == Cause::BodyRoom).then_some(ROOM_RETRY);
            Err(Refusal { cause, retry })
        }
    }
}

async fn collect(
    place: &BodyPlace,
    mut body: Incoming,
    limits: BodyLimits,
    now: &impl Fn() -> Time,
) -> Result<Bytes, Cause> {
    let hint = body.size_hint();
    let limit = u64::try_from(limits.bytes).unwrap_or(u64::MAX);
    if hint.lower() > limit {
        return Err(Cause::TooLong);
    }
    let length = hint.exact().and_then(|length| usize::try_from(length).ok());
    let largest = length.unwrap_or(limits.bytes);
    if !place.grow(now(), OPEN_BYTES) {
        return Err(Cause::BodyRoom);
    }
    let mut buffer = Vec::new();
    loop {
        let frame = match tokio::time::timeout(limits.idle, body.frame()).await {
            Err(_) => return Err(Cause::BodySlow),
            Ok(None) => break,
            // The caller disconnected or sent invalid HTTP.
            Ok(Some(Err(_))) => return Err(Cause::Malformed),
            Ok(Some(Ok(frame))) => frame,
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let wanted = buffer.len() + data.len();
        if wanted > limits.bytes {
            return Err(Cause::TooLong);
        }
        if wanted > buffer.capacity() {
            let doubled = (buffer.capacity() * 2).max(BUFFER_BYTES);
            let size = doubled.min(largest).max(wanted);
            if !place.take(now(), OPEN_BYTES + size).await {
                return Err(Cause::BodyRoom);
            }
            buffer.reserve_exact(size - buffer.len());
        }
        if !data.is_empty() && !place.progress(now()) {
            return Err(Cause::BodyRoom);
        }
        buffer.extend_from_slice(&data);
    }
    buffer.shrink_to_fit();
    if !place.complete(buffer.len()) {
        return Err(Cause::BodyRoom);
    }
    Ok(Bytes::from(buffer))
}
