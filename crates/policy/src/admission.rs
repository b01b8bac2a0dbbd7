//! Which work an agent lets into its engine: online requests first, batch in the room that is
//! left.
//!
//! Engines know no priorities, so everything that must not wait behind batch is decided here,
//! before a request reaches the engine. See `docs/notes-agent.md`.

use std::{
    collections::{HashMap, VecDeque},
    fmt,
    time::Duration,
};

use clem_types::{CustomerId, Time, Tokens};

use crate::{
    balance::Balance,
    fair::{Bounds, FairQueue, Push, Ticket},
    pace::{Allowance, Pace},
    tail::Tail,
};

/// Batch streams that an engine of unknown pace gets beside online ones.
const UNKNOWN_EXTRA: usize = 1;
/// How long a batch stream may stay parked before it gets a slot beside online requests.
const MAX_PARKED: Duration = Duration::from_secs(5);
/// The longest prefill that the budget for long ones saves up for.
const LONGEST_PREFILL: Duration = Duration::from_secs(4);
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
pub enum Step {
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
pub struct Full;

/// A job that is not in the engine.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    job: JobId,
    /// Prompt tokens that the engine would have to read in.
    prompt: u32,
    since: Time,
    /// Whether no other online request was here when it came.
    alone: bool,
    suspect: bool,
}

/// A job in the engine.
#[derive(Debug, Clone, Copy)]
struct Stream {
    arrived: Time,
    sent: Time,
    prompt: u32,
    /// The streams in the engine when this one was sent.
    beside: usize,
    /// When its last token came; none during prefill.
    last: Option<Time>,
    alone: bool,
    suspect: bool,
}

impl Stream {
    fn is_prefilling(&self) -> bool {
        self.last.is_none() && self.prompt > 0
    }
}

/// The queues of an agent and the jobs in its engine.
#[derive(Debug)]
pub struct Admission {
    settings: Settings,
    pace: Pace,
    tail: Tail,
    queue: FairQueue<Option<CustomerId>, Waiting>,
    tickets: HashMap<JobId, Ticket>,
    /// Prompt tokens of the queue.
    queued: u64,
    ready: VecDeque<Waiting>,
    parked: VecDeque<Waiting>,
    online: HashMap<JobId, Stream>,
    /// Batch jobs in the engine, the oldest first.
    batch: Vec<(JobId, Stream)>,
    /// When the engine last got or ended a job; gaps across that moment say nothing of the pace.
    changed: Time,
    quiet_from: Time,
    long: Allowance,
    shared: Allowance,
}

impl Admission {
    /// An empty agent.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            pace: Pace::new(settings.streams),
            tail: Tail::new(settings.balance.harm(), settings.balance.risk()),
            queue: FairQueue::new(Bounds {
                flow: settings.waiting.div_ceil(2),
                total: settings.waiting,
            }),
            tickets: HashMap::new(),
            queued: 0,
            ready: VecDeque::new(),
            parked: VecDeque::new(),
            online: HashMap::new(),
            batch: Vec::new(),
            changed: Time::ZERO,
            quiet_from: Time::ZERO,
            long: Allowance::default(),
            shared: Allowance::default(),
        }
    }

    /// Takes in an online request; says which other one lost its place to it, if any.
    ///
    /// # Errors
    /// The queue is full.
    pub fn offer_online(&mut self, now: Time, offer: Offer) -> Result<Option<JobId>, Full> {
        let waiting = Waiting {
            job: offer.job,
            prompt: offer.prompt,
            since: now,
            alone: !self.is_busy(),
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
            Push::Full(_) => return Err(Full),
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
        let since = now;
        self.ready.push_back(Waiting {
            job,
            prompt,
            since,
            alone: false,
            suspect,
        });
    }

    /// What to do now; to be asked after each change and at [`Admission::next_wake`].
    pub fn decide(&mut self, now: Time) -> Vec<Step> {
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
        let changed = self.changed;
        let online = self.online.contains_key(&job);
        let Some(stream) = self.stream_mut(job) else {
            return;
        };
        let Some(last) = stream.last.replace(now) else {
            let stream = *stream;
            let only = prefilling == 1 && changed == stream.sent;
            let elapsed = now.since(stream.sent);
            self.pace
                .prefill(stream.beside, stream.prompt, elapsed, only);
            if online {
                self.first_token(now, stream);
            }
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
        self.batch.retain(|(id, _)| *id != job);
        if let Some(ticket) = self.tickets.get(&job).copied()
            && let Some(waiting) = self.queue.remove(ticket)
        {
            self.left_queue(waiting);
        }
        self.ready.retain(|waiting| waiting.job != job);
        self.parked.retain(|waiting| waiting.job != job);
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
        self.tail.bound()
    }

    /// What has been learned of the engine.
    pub fn pace(&self) -> &Pace {
        &self.pace
    }

    /// Takes out the jobs that have been parked for longer than `most`, so that they can be given
    /// back and run elsewhere.
    pub fn parked_before(&self, limit: Time) -> Vec<JobId> {
        let old = self.parked.iter().filter(|waiting| waiting.since < limit);
        old.map(|waiting| waiting.job).collect()
    }

    // ------------------------------------------------------------------------

    /// Learns from a first token; what batch added to it is left out.
    fn first_token(&mut self, now: Time, stream: Stream) {
        let elapsed = now.since(stream.arrived);
        let unharmed = if stream.alone {
            elapsed.min(self.pace.step(1) + self.pace.prefill_time(stream.prompt))
        } else {
            elapsed
        };
        self.tail.add(unharmed, stream.alone);
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
        let batch = self.batch.iter().filter(|(_, s)| s.is_prefilling());
        online + batch.count()
    }

    /// Prompt tokens of batch that are being read in.
    fn batch_prefill(&self) -> u32 {
        let batch = self.batch.iter().filter(|(_, s)| s.is_prefilling());
        batch.map(|(_, s)| s.prompt).sum()
    }

    fn has_suspect(&self) -> bool {
        self.online.values().any(|s| s.suspect) || self.batch.iter().any(|(_, s)| s.suspect)
    }

    fn stream_mut(&mut self, job: JobId) -> Option<&mut Stream> {
        if let Some(stream) = self.online.get_mut(&job) {
            return Some(stream);
        }
        let found = self.batch.iter_mut().find(|(id, _)| *id == job);
        found.map(|(_, stream)| stream)
    }

    fn fill_allowances(&mut self, now: Time, busy: bool) {
        let balance = self.settings.balance;
        self.long.fill(now, balance.long_share(), LONGEST_PREFILL);
        let share = if busy { balance.prefill_share() } else { 0.0 };
        let step = self.pace.step(self.online.len());
        self.shared.fill(now, share, step * 4);
    }

    /// The most batch streams that the engine may hold now.
    fn batch_limit(&self, now: Time) -> usize {
        let wanted = self.online.len() + self.queue.len();
        let free = self.settings.streams.saturating_sub(wanted);
        if !self.is_busy() && now >= self.quiet_from {
            return free.min(self.idle_limit());
        }
        let harm = self.settings.balance.harm();
        let extra = self.pace.extra(wanted, harm).unwrap_or(UNKNOWN_EXTRA);
        free.min(extra.max(self.starved(now)))
    }

    /// One slot for a batch stream that has been parked too long.
    fn starved(&self, now: Time) -> usize {
        let since = self.parked.front().map(|waiting| waiting.since);
        usize::from(since.is_some_and(|since| now.since(since) >= MAX_PARKED))
    }

    /// Batch streams without online ones: a request that arrives waits for the step in progress.
    fn idle_limit(&self) -> usize {
        let most = self.settings.streams;
        let Some(bound) = self.tail.bound() else {
            return most;
        };
        self.pace.within(bound).unwrap_or(most).clamp(1, most)
    }

    fn start_online(&mut self, now: Time, steps: &mut Vec<Step>) {
        while self.running() < self.settings.streams {
            let crowded = self.has_suspect();
            let next = self.queue.pop_if(|waiting| !(waiting.suspect && crowded));
            let Some(next) = next else {
                return;
            };
            let waiting = next.item;
            self.left_queue(waiting);
            let stream = self.stream(now, waiting, waiting.prompt);
            self.online.insert(waiting.job, stream);
            steps.push(Step::Start(waiting.job));
        }
    }

    fn left_queue(&mut self, waiting: Waiting) {
        self.tickets.remove(&waiting.job);
        self.queued = self.queued.saturating_sub(u64::from(waiting.prompt));
    }

    fn park_youngest(&mut self, now: Time, steps: &mut Vec<Step>) {
        let Some((job, stream)) = self.batch.pop() else {
            return;
        };
        self.changed = now;
        let waiting = Waiting {
            job,
            prompt: stream.prompt,
            since: now,
            alone: false,
            suspect: stream.suspect,
        };
        steps.push(Step::Park(job));
        // A stream in prefill has nothing to keep: it starts anew, and pays for its prompt again.
        if stream.is_prefilling() {
            self.ready.push_front(waiting);
            return;
        }
        let place = self.parked.iter().position(|other| other.since > now);
        self.parked
            .insert(place.unwrap_or(self.parked.len()), waiting);
    }

    fn fill_batch(&mut self, now: Time, limit: usize, steps: &mut Vec<Step>) {
        while self.batch.len() < limit {
            if let Some(waiting) = self.parked.pop_front() {
                let stream = self.stream(now, waiting, 0);
                self.batch.push((waiting.job, stream));
                steps.push(Step::Resume(waiting.job));
                continue;
            }
            let Some(waiting) = self.next_ready(now) else {
                break;
            };
            let stream = self.stream(now, waiting, waiting.prompt);
            self.batch.push((waiting.job, stream));
            steps.push(Step::Start(waiting.job));
        }
    }

    /// Takes the first ready item that may start now; a long prompt does not hold up short ones.
    fn next_ready(&mut self, now: Time) -> Option<Waiting> {
        let crowded = self.has_suspect();
        for place in 0..self.ready.len() {
            let waiting = self.ready[place];
            if waiting.suspect && crowded {
                continue;
            }
            if self.may_prefill(now, waiting.prompt, place == 0) {
                return self.ready.remove(place);
            }
        }
        None
    }

    /// Whether a batch prompt may be read in now; the engine does a prefill whole, within a step
    /// that all its streams and every request that arrives must wait for.
    fn may_prefill(&mut self, now: Time, prompt: u32, first: bool) -> bool {
        let ahead = self.batch_prefill();
        if self.is_busy() {
            let free = first && ahead == 0 && self.shared.take(self.pace.step(self.running()));
            if !free {
                return false;
            }
        }
        let Some(bound) = self.tail.bound() else {
            return true;
        };
        let cost = self.pace.prefill_time(ahead.saturating_add(prompt));
        if self.pace.step(self.running() + 1) + cost <= bound {
            return true;
        }
        // Only the item that has waited longest may draw on what is kept for long prompts.
        first && ahead == 0 && (self.long_quiet(now, cost) || self.long.take(cost))
    }

    /// Whether no online request has come for so long that a prefill of this length is unlikely to
    /// meet one.
    fn long_quiet(&self, now: Time, cost: Duration) -> bool {
        let share = self.settings.balance.long_share();
        !self.is_busy() && now.since(self.quiet_from) >= cost.div_f64(share)
    }

    fn stream(&mut self, now: Time, waiting: Waiting, prompt: u32) -> Stream {
        self.changed = now;
        Stream {
            arrived: waiting.since,
            sent: now,
            prompt,
            beside: self.running(),
            last: None,
            alone: waiting.alone,
            suspect: waiting.suspect,
        }
    }
}
