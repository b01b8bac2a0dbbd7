//! The state of the engine behind a lock, and the task that advances it with the clock.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use clem_fake::{
    model::{self, Engine, Output, StreamId, Work},
    prefix::BlockHash,
    tokens::PromptHash,
};
use clem_types::{Incarnation, Time};
use serde::{Deserialize, Serialize};
use tokio::{
    sync::{Notify, mpsc},
    time::Instant,
};

use super::{
    orders::Models,
    reports::{CacheEvent, CacheFeed, LoadHistory},
    settings::{ModelName, Settings},
};
use crate::{
    http::Refusal,
    request_log::{RequestLog, unix_micros},
};

/// The exit code when a request marked by `--die-on` ends the process.
const EXIT_DIED: i32 = 86;

/// An event sent to the connection of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Event {
    Token(u32),
    Finished { cached: u32 },
    Cancelled,
    Parked { tokens: u32 },
}

/// The connection of a live stream, with the faults that its request triggers.
#[derive(Debug)]
struct Stream {
    events: mpsc::UnboundedSender<Event>,
    model: ModelName,
    prompt: PromptHash,
    /// The token index at which the process exits.
    die_at: Option<u32>,
    freeze: bool,
}

/// The state protected by the lock.
#[derive(Debug)]
pub(crate) struct Inner {
    engine: Engine,
    streams: HashMap<StreamId, Stream>,
    parked: HashMap<String, PromptHash>,
    pub(crate) models: Models,
    loads: LoadHistory,
    feed: CacheFeed,
}

/// The state of one engine process.
#[derive(Debug)]
pub(crate) struct EngineState {
    inner: Mutex<Inner>,
    wake: Notify,
    started: Instant,
    incarnation: Incarnation,
    pub(crate) settings: Settings,
    pub(crate) log: RequestLog,
}

/// The answer to `GET /engine/load`.
#[derive(Debug, Serialize)]
pub(crate) struct LoadReport {
    seq: u64,
    incarnation: Incarnation,
    running: usize,
    waiting: usize,
    kv_used: usize,
    kv_capacity: usize,
    step_us: u128,
    role: &'static str,
}

/// The answer to `GET /engine/cache?after=SEQ`.
#[derive(Debug, Serialize)]
pub(crate) struct CacheEvents {
    incarnation: Incarnation,
    next: u64,
    events: Vec<CacheEvent>,
}

/// The answer to `GET /engine/cache?full=1`.
#[derive(Debug, Serialize)]
pub(crate) struct CacheSnapshot {
    incarnation: Incarnation,
    next: u64,
    blocks: Vec<BlockHash>,
}

/// The KV of a parked stream, as exported by `GET /engine/kv` and imported by `POST /engine/kv`.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ParkedExport {
    id: String,
    /// The hash of the prompt, in hexadecimal digits.
    prompt: String,
    tokens: u32,
    blocks: usize,
}

impl EngineState {
    pub(crate) fn new(settings: Settings, log: RequestLog) -> Self {
        let mut inner = Inner {
            engine: Engine::new(settings.options.clone()),
            streams: HashMap::new(),
            parked: HashMap::new(),
            models: Models::new(&settings.models),
            loads: LoadHistory::default(),
            feed: CacheFeed::new(settings.event_gap, settings.seed),
        };
        let load = inner.engine.load();
        inner.loads.record(Time::ZERO, load, settings.load_lag);
        Self {
            inner: Mutex::new(inner),
            wake: Notify::new(),
            started: Instant::now(),
            incarnation: Incarnation(unix_micros()),
            settings,
            log,
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Time {
        let micros = self.started.elapsed().as_micros();
        Time::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Submits a stream to the engine and returns the receiver of its events.
    pub(crate) fn submit(
        &self,
        work: Work,
        model: ModelName,
        body: &str,
    ) -> model::Result<mpsc::UnboundedReceiver<Event>> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let marked = |text: &Option<String>| text.as_ref().is_some_and(|t| body.contains(t));
        let die_at = marked(&self.settings.die_on).then_some(work.first + self.settings.die_after);
        let stream = Stream {
            events: sender,
            model,
            prompt: work.prompt.hash,
            die_at,
            freeze: marked(&self.settings.freeze_on),
        };
        let now = self.now();
        let mut inner = self.lock();
        inner.advance(now);
        let id = work.id.clone();
        inner.engine.submit(now, work)?;
        inner.streams.insert(id, stream);
        inner.record(now, &self.settings);
        self.wake.notify_one();
        Ok(receiver)
    }

    /// Cancels a stream; returns whether it was live.
    pub(crate) fn cancel(&self, id: &str) -> bool {
        let now = self.now();
        let mut inner = self.lock();
        let live = inner.cancel(id);
        inner.record(now, &self.settings);
        live
    }

    /// Parks a stream; returns the number of tokens generated, or `None` when it isn't live.
    pub(crate) fn park(&self, id: &str) -> Option<u32> {
        let now = self.now();
        let mut inner = self.lock();
        let tokens = inner.engine.park(id)?;
        if let Some(stream) = inner.streams.remove(id) {
            inner.parked.insert(id.to_owned(), stream.prompt);
            // Fails when the connection is closed, and then there is nobody to notify.
            let _ = stream.events.send(Event::Parked { tokens });
        }
        inner.record(now, &self.settings);
        Some(tokens)
    }

    pub(crate) fn export(&self, id: &str) -> Option<ParkedExport> {
        let inner = self.lock();
        let parked = inner.engine.export(inner.parked.get(id)?)?;
        Some(ParkedExport {
            id: id.to_owned(),
            prompt: blake3::Hash::from_bytes(parked.prompt).to_hex().to_string(),
            tokens: parked.tokens,
            blocks: parked.blocks,
        })
    }

    pub(crate) fn import(&self, export: &ParkedExport) -> Result<(), Refusal> {
        let prompt = blake3::Hash::from_hex(&export.prompt).map_err(Refusal::bad_request)?;
        let prompt = *prompt.as_bytes();
        let mut inner = self.lock();
        inner.parked.insert(export.id.clone(), prompt);
        inner.engine.import(model::Parked {
            prompt,
            tokens: export.tokens,
            blocks: export.blocks,
        });
        Ok(())
    }

    /// Cancels all streams of a model that was unloaded.
    pub(crate) fn cancel_model(&self, model: &ModelName) {
        let mut inner = self.lock();
        let mut ids = Vec::new();
        for (id, stream) in &inner.streams {
            if stream.model == *model {
                ids.push(id.clone());
            }
        }
        for id in ids {
            inner.cancel(&id);
        }
    }

    pub(crate) fn load_report(&self) -> LoadReport {
        let inner = self.lock();
        let (seq, load) = inner.loads.read(self.now(), self.settings.load_lag);
        LoadReport {
            seq,
            incarnation: self.incarnation,
            running: load.running,
            waiting: load.waiting,
            kv_used: load.kv_used,
            kv_capacity: load.kv_capacity,
            step_us: load.step.as_micros(),
            role: inner.models.role(),
        }
    }

    pub(crate) fn cache_events(&self, after: u64) -> CacheEvents {
        let inner = self.lock();
        let events = inner.feed.read(self.now(), self.settings.event_lag, after);
        CacheEvents {
            incarnation: self.incarnation,
            next: events.last().map_or(after, |event| event.seq),
            events,
        }
    }

    pub(crate) fn cache_snapshot(&self) -> CacheSnapshot {
        let inner = self.lock();
        CacheSnapshot {
            incarnation: self.incarnation,
            next: inner.feed.seq(),
            blocks: inner.engine.cached_blocks(),
        }
    }
}

impl Inner {
    fn cancel(&mut self, id: &str) -> bool {
        let live = self.engine.cancel(id);
        if let Some(stream) = self.streams.remove(id) {
            // Fails when the connection is closed, and then there is nobody to notify.
            let _ = stream.events.send(Event::Cancelled);
        }
        live
    }

    /// Executes the steps that end by `now` and notifies the connections of the streams.
    fn advance(&mut self, now: Time) {
        for output in self.engine.advance(now) {
            match output {
                Output::Token { id, index } => self.token(&id, index),
                Output::Finished { id, cached } => {
                    if let Some(stream) = self.streams.remove(&id) {
                        let _ = stream.events.send(Event::Finished { cached });
                    }
                }
            }
        }
    }

    fn token(&mut self, id: &StreamId, index: u32) {
        let Some(stream) = self.streams.get(id) else {
            return;
        };
        if stream.die_at.is_some_and(|at| index >= at) {
            std::process::exit(EXIT_DIED);
        }
        if stream.freeze {
            self.engine.freeze();
            return;
        }
        let _ = stream.events.send(Event::Token(index));
    }

    fn record(&mut self, now: Time, settings: &Settings) {
        let changes = self.engine.take_changes();
        self.feed.record(now, changes);
        self.loads
            .record(now, self.engine.load(), settings.load_lag);
    }
}

/// Advances the engine with the clock; never returns.
pub(crate) async fn drive(state: Arc<EngineState>) {
    loop {
        let wake = {
            let now = state.now();
            let mut inner = state.lock();
            inner.advance(now);
            inner.record(now, &state.settings);
            inner.engine.next_wake()
        };
        let Some(wake) = wake else {
            state.wake.notified().await;
            continue;
        };
        let wake = state.started + wake.since(Time::ZERO);
        // A new stream doesn't shorten the step in progress, so there is no need to wake earlier.
        tokio::time::sleep_until(wake).await;
    }
}
