//! Admission of work to the engine of an agent: online requests first, batch in the remaining
//! capacity.
//!
//! Engines have no priorities, so online requests are kept from waiting behind batch by what is
//! sent to the engine at all, and when. See `docs/design/agent.md`.

mod fill;

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    fmt,
    time::Duration,
};

use clem_types::{CustomerId, Time, Tokens};

use crate::{
    balance::Balance,
    cost_model::{CostModel, TimeBudget},
    fair::{Bounds, FairQueue, PushResult, Ticket},
    retention::CacheRetention,
    tail::Tail,
};

/// Step bound in full steps, until enough first-token times have been observed.
const PRIOR_STEPS: u32 = 4;
/// The engine counts as busy with online requests for this long after the last one ended.
const IDLE_AFTER: Duration = Duration::from_millis(2);

/// Id of a request or batch item within an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Limits and trade-off of an agent's admission.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Maximum number of concurrent streams in the engine.
    pub streams: usize,
    /// Maximum length of the online queue.
    pub waiting: usize,
    /// Trade-off between online latency and batch throughput.
    pub balance: Balance,
}

/// An action on a job, to be carried out by the agent in the order of the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobAction {
    /// Send a job to the engine, to start from its prompt.
    Start(JobId),
    /// Send a parked batch job to the engine, to continue where it stopped.
    Resume(JobId),
    /// Preempt a batch job; the engine keeps its KV cache while it has memory for it.
    Park(JobId),
}

/// An online request, as it is put into the queue.
#[derive(Debug, Clone)]
pub struct OnlineRequest {
    /// Id of the request.
    pub job: JobId,
    /// Flow of the fair queue; callers without a key share the flow `None`.
    pub customer: Option<CustomerId>,
    /// Weight of the customer in the fair queue.
    pub weight: u32,
    /// Expected cost, which is charged to the customer's flow.
    pub cost: Tokens,
    /// Prompt tokens that need prefill.
    pub prompt: u32,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// Whether it may have crashed an engine; at most one suspect runs at a time.
    pub suspect: bool,
}

/// Error of [`Admission::enqueue_online`] when the queue is full.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueFull;

/// A queued, ready or parked job.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    job: JobId,
    /// Tokens of the prompt and of the answer so far, which need prefill without a KV cache.
    context: u32,
    since: Time,
    /// Whether no online stream had a token yet on arrival, so that the step in progress may be a
    /// long one of batch alone.
    alone: bool,
    suspect: bool,
}

/// A job in the engine.
#[derive(Debug, Clone, Copy)]
struct Stream {
    arrived: Time,
    sent: Time,
    /// Tokens of the prompt and of the answer so far.
    context: u32,
    /// Tokens that are expected to need prefill.
    prefill: u32,
    /// How long it was parked before it was resumed; `None` if it was started.
    parked: Option<Duration>,
    /// Number of streams in the engine when this one was sent.
    others: usize,
    /// When the first token since it was sent came; `None` during prefill.
    first: Option<Time>,
    /// When the last token came; `None` during prefill.
    last: Option<Time>,
    alone: bool,
    suspect: bool,
}

impl Stream {
    fn is_prefilling(&self) -> bool {
        self.last.is_none() && self.prefill > 0
    }
}

/// Scheduler of one engine: the queues of its agent and the jobs that it runs.
#[derive(Debug)]
pub struct Admission {
    settings: Settings,
    cost_model: CostModel,
    tail: Tail,
    retention: CacheRetention,
    queue: FairQueue<Option<CustomerId>, Waiting>,
    tickets: HashMap<JobId, Ticket>,
    /// Prompt tokens in the online queue.
    queued: u64,
    /// Batch jobs that have not been started.
    ready: VecDeque<Waiting>,
    /// Parked batch jobs, the oldest job first.
    parked: BTreeMap<JobId, Waiting>,
    online: HashMap<JobId, Stream>,
    /// Batch jobs in the engine, the oldest job first.
    batch: BTreeMap<JobId, Stream>,
    /// When a job last entered or left the engine; token gaps across it are no samples of the step
    /// time.
    changed: Time,
    /// When the engine counts as idle, unless online requests come before.
    idle_from: Time,
    /// Until when one batch stream may run beside online requests, to prevent starvation.
    relief_until: Time,
    /// Budget of batch prefills while there are no online requests.
    idle_budget: TimeBudget,
    /// Budget of batch prefills in steps with online streams.
    busy_budget: TimeBudget,
}

impl Admission {
    /// Creates a scheduler without jobs.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            cost_model: CostModel::new(settings.streams),
            tail: Tail::new(settings.balance.slowdown(), settings.balance.risk()),
            retention: CacheRetention::new(),
            queue: FairQueue::new(Bounds {
                flow: settings.waiting.div_ceil(2),
                total: settings.waiting,
            }),
            tickets: HashMap::new(),
            queued: 0,
            ready: VecDeque::new(),
            parked: BTreeMap::new(),
            online: HashMap::new(),
            batch: BTreeMap::new(),
            changed: Time::ZERO,
            idle_from: Time::ZERO,
            relief_until: Time::ZERO,
            idle_budget: TimeBudget::default(),
            busy_budget: TimeBudget::default(),
        }
    }

    /// Queues an online request; returns the request that was evicted for it, if any.
    ///
    /// # Errors
    /// If the queue is full.
    pub fn enqueue_online(
        &mut self,
        now: Time,
        request: OnlineRequest,
    ) -> Result<Option<JobId>, QueueFull> {
        let waiting = Waiting {
            job: request.job,
            context: request.prompt,
            since: now,
            alone: self.online.values().all(|stream| stream.last.is_none()),
            suspect: request.suspect,
        };
        let pushed = self.queue.push(
            request.customer,
            request.weight,
            request.cost,
            request.deadline,
            waiting,
        );
        let (ticket, evicted) = match pushed {
            PushResult::Queued(ticket) => (ticket, None),
            PushResult::Evicted(ticket, evicted) => (ticket, Some(evicted)),
            PushResult::Full(_) => return Err(QueueFull),
        };
        self.tickets.insert(request.job, ticket);
        self.queued += u64::from(request.prompt);
        if let Some(evicted) = evicted {
            self.dequeued(evicted);
        }
        Ok(evicted.map(|evicted| evicted.job))
    }

    /// Adds a leased batch item with a prompt of `prompt` tokens.
    pub fn enqueue_batch(&mut self, now: Time, job: JobId, prompt: u32, suspect: bool) {
        self.ready.push_back(Waiting {
            job,
            context: prompt,
            since: now,
            alone: false,
            suspect,
        });
    }

    /// Returns the actions to take now; to be called after each change and at
    /// [`Admission::next_wake`].
    pub fn decide(&mut self, now: Time) -> Vec<JobAction> {
        let mut actions = Vec::new();
        let busy = self.is_busy();
        if busy {
            self.idle_from = now + IDLE_AFTER;
        }
        self.fill_budgets(now, busy);
        let limit = self.batch_limit(now);
        while self.batch.len() > limit {
            self.park_youngest(now, &mut actions);
        }
        self.start_online(now, &mut actions);
        self.fill_batch(now, limit, &mut actions);
        debug_assert!(self.running() <= self.settings.streams.max(self.online.len()));
        actions
    }

    /// When to call [`Admission::decide`] if nothing changes; `None` while no batch job waits.
    pub fn next_wake(&self, now: Time) -> Option<Time> {
        if self.ready.is_empty() && self.parked.is_empty() {
            return None;
        }
        if now < self.idle_from {
            return Some(self.idle_from);
        }
        Some(now + Duration::from_millis(20))
    }

    /// Records a new token of a job in the engine.
    pub fn token(&mut self, now: Time, job: JobId) {
        let running = self.running();
        let prefilling = self.prefilling();
        let tokens = self.prefill_tokens();
        let changed = self.changed;
        let Some(stream) = self.stream_mut(job) else {
            return;
        };
        stream.context = stream.context.saturating_add(1);
        let Some(last) = stream.last.replace(now) else {
            stream.first = Some(now);
            let stream = *stream;
            let others = tokens.saturating_sub(stream.prefill);
            self.first_token(now, job, stream, prefilling, others);
            self.changed = now;
            return;
        };
        if prefilling > 0 || last < changed {
            return;
        }
        self.cost_model.gap(running, now.since(last));
    }

    /// Removes a job, whether it is queued, parked or in the engine.
    pub fn end(&mut self, now: Time, job: JobId) {
        self.changed = now;
        self.online.remove(&job);
        self.batch.remove(&job);
        if let Some(ticket) = self.tickets.get(&job).copied()
            && let Some(waiting) = self.queue.remove(ticket)
        {
            self.dequeued(waiting);
        }
        self.ready.retain(|waiting| waiting.job != job);
        self.parked.remove(&job);
    }

    /// Number of online requests in the engine.
    pub fn online_running(&self) -> usize {
        self.online.len()
    }

    /// Length of the online queue.
    pub fn online_waiting(&self) -> usize {
        self.queue.len()
    }

    /// Number of batch jobs in the engine.
    pub fn batch_running(&self) -> usize {
        self.batch.len()
    }

    /// Number of parked batch jobs.
    pub fn batch_parked(&self) -> usize {
        self.parked.len()
    }

    /// Prompt tokens in the online queue.
    pub fn queued_tokens(&self) -> u64 {
        self.queued
    }

    /// Number of streams that are free for further online requests; batch makes way for them.
    pub fn room(&self) -> usize {
        let taken = self.online.len() + self.queue.len();
        self.settings.streams.saturating_sub(taken)
    }

    /// Number of further batch items to lease.
    ///
    /// A few items are held ready, so that short idle times can be used at once. While online
    /// requests fill the engine, no more are leased, so that other agents get them.
    pub fn batch_room(&self) -> usize {
        let held = self.batch.len() + self.ready.len() + self.parked.len();
        let ahead = self.settings.streams / 4 + 1;
        (self.settings.streams + ahead).saturating_sub(held + self.online.len())
    }

    /// Upper bound of the step time while there are no online requests; `None` before the first
    /// online request.
    pub fn step_bound(&self) -> Option<Duration> {
        let full = self.cost_model.step(self.settings.streams);
        self.tail.bound(full * PRIOR_STEPS)
    }

    /// The learned cost model of the engine.
    pub fn cost_model(&self) -> &CostModel {
        &self.cost_model
    }

    /// Jobs that were parked before `limit`; the agent returns them so that they run elsewhere.
    pub fn parked_before(&self, limit: Time) -> Vec<JobId> {
        let old = self.parked.values().filter(|waiting| waiting.since < limit);
        old.map(|waiting| waiting.job).collect()
    }

    // ------------------------------------------------------------------------

    /// Learns from the first token after a job was sent to the engine, while `prefilling` streams
    /// were in prefill, with `others` tokens of other streams.
    fn first_token(
        &mut self,
        now: Time,
        job: JobId,
        stream: Stream,
        prefilling: usize,
        others: u32,
    ) {
        let elapsed = now.since(stream.sent);
        let undisturbed = self.changed == stream.sent;
        if let Some(parked) = stream.parked {
            if undisturbed {
                let expected = self.cost_model.step(stream.others + 1) * 2
                    + self.cost_model.prefill_time(others);
                let full = self.cost_model.prefill_time(stream.context);
                self.retention
                    .resumed(parked, elapsed < expected + full / 2);
            }
            return;
        }
        let only = prefilling == 1 && undisturbed;
        self.cost_model
            .prefill(stream.others, stream.prefill, elapsed, only);
        if self.online.contains_key(&job) {
            self.tail.add(self.without_batch(now, stream), stream.alone);
        }
    }

    /// Time to first token of an online request, less the delay caused by batch.
    fn without_batch(&self, now: Time, stream: Stream) -> Duration {
        let elapsed = now.since(stream.arrived);
        if !stream.alone {
            return elapsed;
        }
        // Prompts that share a prefill step get their first tokens at the same time.
        let together = self.online.values();
        let together = together.filter(|s| s.first.is_none_or(|first| first == now));
        let tokens = together.map(|s| s.prefill).sum();
        let step = self.cost_model.step(self.online.len());
        elapsed.min(step + self.cost_model.prefill_time(tokens))
    }

    fn is_busy(&self) -> bool {
        !self.online.is_empty() || !self.queue.is_empty()
    }

    fn running(&self) -> usize {
        self.online.len() + self.batch.len()
    }

    /// Number of streams in prefill.
    fn prefilling(&self) -> usize {
        let online = self.online.values().filter(|s| s.is_prefilling()).count();
        let batch = self.batch.values().filter(|s| s.is_prefilling());
        online + batch.count()
    }

    /// Tokens in prefill, online and batch.
    fn prefill_tokens(&self) -> u32 {
        let online = self.online.values().filter(|s| s.is_prefilling());
        online.map(|s| s.prefill).sum::<u32>() + self.batch_prefill()
    }

    /// Batch tokens in prefill.
    fn batch_prefill(&self) -> u32 {
        let batch = self.batch.values().filter(|s| s.is_prefilling());
        batch.map(|s| s.prefill).sum()
    }

    fn has_suspect(&self) -> bool {
        self.online.values().any(|s| s.suspect) || self.batch.values().any(|s| s.suspect)
    }

    fn stream_mut(&mut self, job: JobId) -> Option<&mut Stream> {
        if let Some(stream) = self.online.get_mut(&job) {
            return Some(stream);
        }
        self.batch.get_mut(&job)
    }
}
