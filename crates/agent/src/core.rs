//! The agent's decisions: what is allowed, what runs, waits, is refused or stops.

mod batch;
mod fences;
mod job;
mod online;
mod target;

pub use fences::FenceBook;
pub use job::{Command, Job, JobState, Source, Stop};

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use clem_policy::{Admission, Balance, JobAction, JobId, Settings};
use clem_rules::{Backend, Delta, Route, Rules, Target};
use clem_types::{
    Attempt, BodyHash, CustomerId, Incarnation, KeyId, RequestId, RouteId, RulesVersion, TargetId,
    Time,
};
use clem_wire::{
    dispatch::{FailedReason, NotRunReason},
    sync::{Load, PoisonList, Verdict},
};

/// Bytes of a request body that make one prompt token, as an estimate.
const BYTES_PER_TOKEN: usize = 4;
/// How long a batch item may stay parked before it is given back, to run elsewhere.
const GIVE_BACK_AFTER: Duration = Duration::from_secs(60);

/// How an agent works.
#[derive(Debug, Clone)]
pub struct Options {
    /// This life of the agent.
    pub incarnation: Incarnation,
    /// The target's address.
    pub target: SocketAddr,
    /// The queues and their bounds.
    pub admission: Settings,
    /// A target whose streams get no token for so long counts as dead.
    pub stall: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            incarnation: Incarnation(1),
            target: SocketAddr::from(([127, 0, 0, 1], 0)),
            admission: Settings {
                streams: 16,
                waiting: 256,
                balance: Balance::DEFAULT,
            },
            stall: Duration::from_secs(10),
        }
    }
}

/// Why a dispatch is not taken in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// It was not run and never will be under this attempt.
    NotRun(NotRunReason),
    /// The attempt has been here before: it may have run.
    Repeated,
}

/// The whole state of an agent; its methods decide and do no I/O.
///
/// What jobs have to do is collected and handed out by [`Core::take_commands`].
#[derive(Debug)]
pub struct Core {
    options: Options,
    rules: Rules,
    lease_end: Time,
    up: bool,
    /// When the target last sent a token.
    progress: Time,
    draining: bool,
    stopping: bool,
    crashes: u64,
    admission: Admission,
    jobs: BTreeMap<JobId, Job>,
    requests: HashMap<RequestId, JobId>,
    fences: FenceBook,
    poison_version: RulesVersion,
    poison: HashMap<(Option<CustomerId>, BodyHash), Verdict>,
    next: u64,
    commands: Vec<(JobId, Command)>,
}

impl Core {
    /// An agent that knows no rules, has no lease and has not reached its target yet.
    pub fn new(options: Options) -> Self {
        Self {
            admission: Admission::new(options.admission),
            options,
            rules: Rules::default(),
            lease_end: Time::ZERO,
            up: false,
            progress: Time::ZERO,
            draining: false,
            stopping: false,
            crashes: 0,
            jobs: BTreeMap::new(),
            requests: HashMap::new(),
            fences: FenceBook::default(),
            poison_version: RulesVersion(0),
            poison: HashMap::new(),
            next: 0,
            commands: Vec::new(),
        }
    }

    // ------------------------------------------------------------------------
    // Rules and the lease on them.

    /// The version of the rules that the agent works by.
    pub fn version(&self) -> RulesVersion {
        self.rules.version()
    }

    /// The version of the poison list.
    pub fn poison_version(&self) -> RulesVersion {
        self.poison_version
    }

    /// The agent's own target in the rules.
    pub fn target(&self) -> Option<(&TargetId, &Target)> {
        self.rules.target_at(self.options.target)
    }

    /// Whether the target is a plain service.
    pub fn is_service(&self) -> bool {
        self.target().is_some_and(|(_, t)| t.service.is_some())
    }

    /// The route of this name.
    pub fn route_named(&self, route: &RouteId) -> Option<&Route> {
        self.rules.routes().get(route)
    }

    /// Whether keyed requests may run.
    pub fn has_lease(&self, now: Time) -> bool {
        now < self.lease_end
    }

    /// Takes a lease that was asked for at `asked`.
    pub fn renew_lease(&mut self, asked: Time, lease: Duration) {
        self.lease_end = self.lease_end.max(asked + lease);
    }

    /// Moves the rules on; jobs that they no longer allow end. False when the change didn't fit.
    pub fn apply_rules(&mut self, now: Time, delta: Delta) -> bool {
        if !self.rules.apply(delta) {
            return false;
        }
        self.stop_forbidden(now);
        true
    }

    /// Takes the list of requests that crash targets.
    pub fn apply_poison(&mut self, list: PoisonList) {
        self.poison_version = list.version;
        self.poison.clear();
        for entry in list.entries {
            self.poison
                .insert((entry.customer, entry.body), entry.verdict);
        }
    }

    // ------------------------------------------------------------------------
    // Draining and stopping.

    /// Takes no new work, or takes work again, by an order.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Takes no new work any more; batch items that have not started are given back.
    pub fn stop_taking(&mut self, now: Time) {
        self.stopping = true;
        let waiting = self.ids(|job| !job.is_online() && job.state == JobState::Queued);
        for id in waiting {
            self.end_with(now, id, Stop::Returned);
        }
    }

    /// Gives up what still runs when the time for a planned stop is over.
    pub fn give_up(&mut self, now: Time) -> Vec<Job> {
        let mut left = Vec::new();
        for id in self.ids(|job| job.state != JobState::Finished) {
            left.extend(self.jobs.get(&id).cloned());
            let batch = self.jobs.get(&id).is_some_and(|job| !job.is_online());
            if batch {
                self.end_with(now, id, Stop::Returned);
                continue;
            }
            self.stop(
                now,
                id,
                NotRunReason::Draining,
                Stop::Failed(FailedReason::TargetLost),
            );
        }
        left
    }

    /// Whether the process is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Whether no new work is taken.
    pub fn is_draining(&self) -> bool {
        self.draining || self.stopping
    }

    /// Whether nothing is here.
    pub fn is_idle(&self) -> bool {
        self.jobs.is_empty()
    }

    /// How busy the target is.
    pub fn load(&self) -> Load {
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        Load {
            running: count(self.admission.online_running()),
            waiting: count(self.admission.online_waiting()),
            batch: count(self.admission.batch_running()),
            queued_tokens: self.admission.queued_tokens(),
            room: count(self.admission.room()),
        }
    }

    /// The queues, for metrics.
    pub fn admission(&self) -> &Admission {
        &self.admission
    }

    /// A job that is here.
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    // ------------------------------------------------------------------------
    // Time.

    /// Ends what has run out of time, and decides what starts, resumes and parks.
    pub fn tick(&mut self, now: Time) {
        self.stop_late(now);
        if !self.has_lease(now) {
            self.stop_forbidden(now);
        }
        self.give_back(now);
        if !self.up {
            return;
        }
        for step in self.admission.decide(now) {
            self.carry_out(now, step);
        }
    }

    /// When [`Core::tick`] is due; none when nothing waits for the time to pass.
    pub fn next_wake(&self, now: Time) -> Option<Time> {
        let mut wake = self.admission.next_wake(now);
        let mut sooner = |time: Time| wake = Some(wake.map_or(time, |wake| wake.min(time)));
        for job in self.jobs.values() {
            match job.source {
                Source::Online { .. } => sooner(job.deadline),
                Source::Batch { until, .. } => sooner(until),
            }
        }
        if !self.jobs.is_empty() && self.has_lease(now) {
            sooner(self.lease_end);
        }
        wake.map(|wake| wake.max(now + Duration::from_millis(1)))
    }

    /// What jobs have to do since the last call, in order.
    pub fn take_commands(&mut self) -> Vec<(JobId, Command)> {
        std::mem::take(&mut self.commands)
    }

    // ------------------------------------------------------------------------

    fn carry_out(&mut self, now: Time, step: JobAction) {
        let (id, command) = match step {
            JobAction::Start(id) => (id, Command::Start),
            JobAction::Resume(id) => (id, Command::Resume),
            JobAction::Park(id) => (id, Command::Park),
        };
        let Some(job) = self.jobs.get_mut(&id) else {
            debug_assert!(false, "admission knows only jobs that are here");
            return;
        };
        if command == Command::Park {
            job.state = JobState::Parked;
            self.commands.push((id, command));
            return;
        }
        if let Source::Online { request, attempt } = job.source
            && !self.fences.start(request, attempt)
        {
            self.end_with(now, id, Stop::NotRun(NotRunReason::Fenced));
            return;
        }
        job.state = JobState::Started;
        job.started = now;
        self.commands.push((id, command));
    }

    fn stop_late(&mut self, now: Time) {
        for id in self.ids(|job| job.deadline <= now) {
            self.stop(
                now,
                id,
                NotRunReason::DeadlinePassed,
                Stop::Failed(FailedReason::DeadlinePassed),
            );
        }
        let expired = self.ids(|job| match job.source {
            Source::Online { .. } => false,
            Source::Batch {
                until, idempotent, ..
            } => until <= now && (idempotent || job.state == JobState::Queued),
        });
        for id in expired {
            if self.jobs.get(&id).map(|job| job.state) != Some(JobState::Finished) {
                self.end_with(now, id, Stop::Cancelled);
            }
        }
    }

    /// Ends online jobs that the rules, or the lack of a lease on them, forbid.
    fn stop_forbidden(&mut self, now: Time) {
        let mut forbidden = Vec::new();
        for (id, job) in &self.jobs {
            if !job.is_online() {
                continue;
            }
            if let Err(reason) = self.allowed(now, job) {
                forbidden.push((*id, reason));
            }
        }
        for (id, reason) in forbidden {
            self.stop(now, id, reason, Stop::Failed(FailedReason::KeyWithdrawn));
        }
    }

    fn give_back(&mut self, now: Time) {
        if now < Time::ZERO + GIVE_BACK_AFTER {
            return;
        }
        for id in self.admission.parked_before(now - GIVE_BACK_AFTER) {
            self.end_with(now, id, Stop::Returned);
        }
    }

    /// Whether the rules let a job run for its customer, now.
    fn allowed(&self, now: Time, job: &Job) -> Result<(), NotRunReason> {
        let Some(route) = self.rules.routes().get(&job.route) else {
            return Err(self.not_allowed(now));
        };
        let Some(key) = &job.key else {
            if route.open && job.customer.is_none() {
                return Ok(());
            }
            return Err(self.not_allowed(now));
        };
        if !self.has_lease(now) {
            return Err(NotRunReason::NoLease);
        }
        if !self.owns(key, job.customer.as_ref()) {
            return Err(NotRunReason::NotAllowed);
        }
        Ok(())
    }

    /// Without a lease the rules may be old: what they don't know may be allowed elsewhere.
    fn not_allowed(&self, now: Time) -> NotRunReason {
        if self.has_lease(now) {
            NotRunReason::NotAllowed
        } else {
            NotRunReason::NoLease
        }
    }

    fn owns(&self, key: &KeyId, customer: Option<&CustomerId>) -> bool {
        let Some(key) = self.rules.keys().get(key) else {
            return false;
        };
        Some(&key.customer) == customer && self.rules.customers().contains_key(&key.customer)
    }

    /// Whether the target is one of those that answer the job's route.
    fn serves(&self, job: &Job) -> bool {
        let Some((_, target)) = self.target() else {
            return false;
        };
        let Some(route) = self.rules.routes().get(&job.route) else {
            return false;
        };
        match &route.backend {
            Backend::Model { .. } => target.service.is_none(),
            Backend::Service(service) => target.service.as_ref() == Some(service),
        }
    }

    /// Stops a job as not run or as failed, as far as it is.
    fn stop(&mut self, now: Time, id: JobId, reason: NotRunReason, failed: Stop) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let stop = match job.state {
            JobState::Queued => Stop::NotRun(reason),
            JobState::Started | JobState::Parked => failed,
            JobState::Finished => return,
        };
        self.end_with(now, id, stop);
    }

    /// Tells a job to end; its place is free at once.
    fn end_with(&mut self, now: Time, id: JobId, stop: Stop) {
        let is_batch = self.jobs.get(&id).is_some_and(|job| !job.is_online());
        self.commands.push((id, Command::Stop(stop)));
        if is_batch && stop != Stop::Cancelled {
            // Its lease is kept up until the control leader has taken the end.
            self.finished(now, id);
            return;
        }
        self.end(now, id);
    }

    fn attempt_of(&self, id: JobId) -> Option<Attempt> {
        match self.jobs.get(&id)?.source {
            Source::Online { attempt, .. } => Some(attempt),
            Source::Batch { .. } => None,
        }
    }

    fn ids(&self, wanted: impl Fn(&Job) -> bool) -> Vec<JobId> {
        let jobs = self.jobs.iter().filter(|(_, job)| wanted(job));
        jobs.map(|(id, _)| *id).collect()
    }

    fn next_id(&mut self) -> JobId {
        self.next += 1;
        JobId(self.next)
    }
}

/// Estimates the prompt tokens of a request body.
fn prompt_tokens(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}
