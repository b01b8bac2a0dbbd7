//! Which work an agent lets into its engine: online requests first, batch in the room that is
//! left.
//!
//! Engines know no priorities, so everything that must not wait behind batch is decided here,
//! before a request reaches the engine. See `docs/design/agent.md`.

mod fill;

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    fmt,
    time::Duration,
};

use clem_types::{CustomerId, Time, Tokens};

use crate::{
    balance::Balance,
    fair::{Bounds, FairQueue, Push, Ticket},
    keep::Keep,
    pace::{Allowance, Pace},
    tail::Tail,
};

/// Full steps that may run at once while the tail of first-token times is not known.
const PRIOR_STEPS: u32 = 4;
/// Online streams keep the engine's steps short for this long after the last one ended.
const QUIET_AFTER: Duration = Duration::from_millis(2);

/// A piece of work in an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// How an agent fills its target.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// The most streams that the target gets at once.
    pub streams: usize,
    /// The most online requests that wait.
    pub waiting: usize,
    /// Where the agent stands between online latency and batch throughput.
    pub balance: Balance,
}

/// What an agent must do now, in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobAction {
    /// Send a job to the engine for the first time.
    Start(JobId),
    /// Send a parked batch job to the engine again.
    Resume(JobId),
    /// Take a batch job out of the engine, keeping its KV cache where the engine can.
    Park(JobId),
}

/// An online request on its way into the queue.
#[derive(Debug, Clone)]
pub struct Offer {
    /// The job.
    pub job: JobId,
    /// The customer in whose share it runs; none for callers without a key, who share one.
    pub customer: Option<CustomerId>,
    /// The customer's weight.
    pub weight: u32,
    /// What it is expected to cost.
    pub cost: Tokens,
    /// Prompt tokens that the engine would have to read in.
    pub prompt: u32,
    /// When it is no longer wanted.
    pub deadline: Time,
    /// Whether it must run apart from other suspects.
    pub suspect: bool,
}

/// The queue of online requests is full.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueFull;

/// A job that is not in the engine.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    job: JobId,
    /// Tokens that the engine would have to read in: the prompt, and what it had generated.
    context: u32,
    since: Time,
    /// Whether no online request had a token yet when it came: the step in progress may be one
    /// without online requests.
    alone: bool,
    suspect: bool,
}

/// A job in the engine.
#[derive(Debug, Clone, Copy)]
struct Stream {
    arrived: Time,
    sent: Time,
    /// The tokens of the prompt and of what has been generated.
    context: u32,
    /// Tokens that are expected to be read in.
    prefill: u32,
    /// How long it had been parked, when it was resumed.
    parked: Option<Duration>,
    /// The streams in the engine when this one was sent.
    beside: usize,
    /// When its first token of this stay came; none during prefill.
    first: Option<Time>,
    /// When its last token came; none during prefill.
    last: Option<Time>,
    alone: bool,
    suspect: bool,
}

impl Stream {
    fn is_prefilling(&self) -> bool {
        self.last.is_none() && self.prefill > 0
    }
}

/// The queues of an agent and the jobs in its engine.
#[derive(Debug)]
pub struct Admission {
    settings: Settings,
    pace: Pace,
    tail: Tail,
    keep: Keep,
    queue: FairQueue<Option<CustomerId>, Waiting>,
    tickets: HashMap<JobId, Ticket>,
    /// Prompt tokens of the queue.
    queued: u64,
    ready: VecDeque<Waiting>,
    /// Parked batch jobs, the oldest job first.
    parked: BTreeMap<JobId, Waiting>,
    online: HashMap<JobId, Stream>,
    /// Batch jobs in the engine, the oldest job first.
    batch: BTreeMap<JobId, Stream>,
    /// When the engine last got or ended a job; gaps across that moment say nothing of the pace.
    changed: Time,
    quiet_from: Time,
    relief_until: Time,
    risk: Allowance,
    shared: Allowance,
}

impl Admission {
    /// An empty agent.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            pace: Pace::new(settings.streams),
            tail: Tail::new(settings.balance.harm(), settings.balance.risk()),
            keep: Keep::new(),
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
            quiet_from: Time::ZERO,
            relief_until: Time::ZERO,
            risk: Allowance::default(),
            shared: Allowance::default(),
        }
    }

    /// Takes in an online request; says which other one lost its place to it, if any.
    ///
    /// # Errors
    /// The queue is full.
    pub fn offer_online(&mut self, now: Time, offer: Offer) -> Result<Option<JobId>, QueueFull> {
        let waiting = Waiting {
            job: offer.job,
            context: offer.prompt,
            since: now,
            alone: self.online.values().all(|stream| stream.last.is_none()),
            suspect: offer.suspect,
        };
        let pushed = self.queue.push(
            offer.customer,
            offer.weight,
            offer.cost,
            offer.deadline,
            waiting,
        );
        let (ticket, evicted) = match pushed {
            Push::Queued(ticket) => (ticket, None),
            Push::Evicted(ticket, evicted) => (ticket, Some(evicted)),
            Push::Full(_) => return Err(QueueFull),
        };
        self.tickets.insert(offer.job, ticket);
        self.queued += u64::from(offer.prompt);
        if let Some(evicted) = evicted {
            self.left_queue(evicted);
        }
        Ok(evicted.map(|evicted| evicted.job))
    }

    /// Takes in a leased batch item with a prompt of `prompt` tokens.
    pub fn offer_batch(&mut self, now: Time, job: JobId, prompt: u32, suspect: bool) {
        self.ready.push_back(Waiting {
            job,
            context: prompt,
            since: now,
            alone: false,
            suspect,
        });
    }

    /// What to do now; to be asked after each change and at [`Admission::next_wake`].
    pub fn decide(&mut self, now: Time) -> Vec<JobAction> {
        let mut steps = Vec::new();
        let busy = self.is_busy();
        if busy {
            self.quiet_from = now + QUIET_AFTER;
        }
        self.fill_allowances(now, busy);
        let limit = self.batch_limit(now);
        while self.batch.len() > limit {
            self.park_youngest(now, &mut steps);
        }
        self.start_online(now, &mut steps);
        self.fill_batch(now, limit, &mut steps);
        debug_assert!(self.running() <= self.settings.streams.max(self.online.len()));
        steps
    }

    /// When to ask again although nothing has happened; none when nothing waits.
    pub fn next_wake(&self, now: Time) -> Option<Time> {
        if self.ready.is_empty() && self.parked.is_empty() {
            return None;
        }
        if now < self.quiet_from {
            return Some(self.quiet_from);
        }
        Some(now + Duration::from_millis(20))
    }

    /// A job in the engine has a new token.
    pub fn token(&mut self, now: Time, job: JobId) {
        let running = self.running();
        let prefilling = self.prefilling();
        let reading = self.reading();
        let changed = self.changed;
        let Some(stream) = self.stream_mut(job) else {
            return;
        };
        stream.context = stream.context.saturating_add(1);
        let Some(last) = stream.last.replace(now) else {
            stream.first = Some(now);
            let stream = *stream;
            let others = reading.saturating_sub(stream.prefill);
            self.first_token(now, job, stream, prefilling, others);
            self.changed = now;
            return;
        };
        if prefilling > 0 || last < changed {
            return;
        }
        self.pace.gap(running, now.since(last));
    }

    /// A job has ended, wherever it was.
    pub fn end(&mut self, now: Time, job: JobId) {
        self.changed = now;
        self.online.remove(&job);
        self.batch.remove(&job);
        if let Some(ticket) = self.tickets.get(&job).copied()
            && let Some(waiting) = self.queue.remove(ticket)
        {
            self.left_queue(waiting);
        }
        self.ready.retain(|waiting| waiting.job != job);
        self.parked.remove(&job);
    }

    /// Online requests in the engine.
    pub fn online_running(&self) -> usize {
        self.online.len()
    }

    /// Online requests that wait.
    pub fn online_waiting(&self) -> usize {
        self.queue.len()
    }

    /// Batch jobs in the engine.
    pub fn batch_running(&self) -> usize {
        self.batch.len()
    }

    /// Batch jobs that are parked.
    pub fn batch_parked(&self) -> usize {
        self.parked.len()
    }

    /// Prompt tokens that wait to be read in by online requests.
    pub fn queued_tokens(&self) -> u64 {
        self.queued
    }

    /// Streams that may still be added for online requests.
    pub fn room(&self) -> usize {
        let taken = self.online.len() + self.queue.len();
        self.settings.streams.saturating_sub(taken)
    }

    /// How many more batch items are worth holding here.
    ///
    /// A few wait ready, so that capacity that lasts only seconds finds work at once; while
    /// online requests keep batch out, no more are taken from other agents.
    pub fn batch_room(&self) -> usize {
        let held = self.batch.len() + self.ready.len() + self.parked.len();
        let ahead = self.settings.streams / 4 + 1;
        (self.settings.streams + ahead).saturating_sub(held + self.online.len())
    }

    /// The longest step without online requests in it; none before the first one came.
    pub fn step_bound(&self) -> Option<Duration> {
        let full = self.pace.step(self.settings.streams);
        self.tail.bound(full * PRIOR_STEPS)
    }

    /// What has been learned of the engine.
    pub fn pace(&self) -> &Pace {
        &self.pace
    }

    /// Takes out the jobs that have been parked for longer than `most`, so that they can be given
    /// back and run elsewhere.
    pub fn parked_before(&self, limit: Time) -> Vec<JobId> {
        let old = self.parked.values().filter(|waiting| waiting.since < limit);
        old.map(|waiting| waiting.job).collect()
    }

    // ------------------------------------------------------------------------

    /// Learns from the first token of a stay at the engine, when `prefilling` streams and `others`
    /// tokens of other streams were being read in.
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
                let expected =
                    self.pace.step(stream.beside + 1) * 2 + self.pace.prefill_time(others);
                let anew = self.pace.prefill_time(stream.context);
                self.keep.resumed(parked, elapsed < expected + anew / 2);
            }
            return;
        }
        let only = prefilling == 1 && undisturbed;
        self.pace
            .prefill(stream.beside, stream.prefill, elapsed, only);
        if self.online.contains_key(&job) {
            self.tail.add(self.unharmed(now, stream), stream.alone);
        }
    }

    /// The time to an online request's first token, without what batch added to it.
    fn unharmed(&self, now: Time, stream: Stream) -> Duration {
        let elapsed = now.since(stream.arrived);
        if !stream.alone {
            return elapsed;
        }
        // All that are read in together come at the same time.
        let together = self.online.values();
        let together = together.filter(|s| s.first.is_none_or(|first| first == now));
        let tokens = together.map(|s| s.prefill).sum();
        let step = self.pace.step(self.online.len());
        elapsed.min(step + self.pace.prefill_time(tokens))
    }

    fn is_busy(&self) -> bool {
        !self.online.is_empty() || !self.queue.is_empty()
    }

    fn running(&self) -> usize {
        self.online.len() + self.batch.len()
    }

    /// Streams whose prompts are being read in.
    fn prefilling(&self) -> usize {
        let online = self.online.values().filter(|s| s.is_prefilling()).count();
        let batch = self.batch.values().filter(|s| s.is_prefilling());
        online + batch.count()
    }

    /// Tokens that are being read in.
    fn reading(&self) -> u32 {
        let online = self.online.values().filter(|s| s.is_prefilling());
        online.map(|s| s.prefill).sum::<u32>() + self.batch_prefill()
    }

    /// Prompt tokens of batch that are being read in.
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
