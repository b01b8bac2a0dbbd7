//! The agent's decision logic: authorization, admission, and which jobs start, park or stop.

mod batch;
mod history;
mod job;
mod online;
mod target;

pub use history::AttemptHistory;
pub use job::{Command, Job, JobState, Source, Stop};

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use clem_policy::{Admission, Balance, JobAction, JobId, Settings};
use clem_rules::{Backend, Delta, Route, Rules, Target};
use clem_types::{
    Attempt, BodyHash, CustomerId, Incarnation, KeyId, RequestId, RouteId, TargetId, Time, Version,
};
use clem_wire::{
    dispatch::{FailedReason, NotRunReason},
    sync::{Load, PoisonList, Verdict},
};

/// Estimated size of a prompt token in the request body, in bytes.
const BYTES_PER_TOKEN: usize = 4;
/// A batch item parked for longer is returned to the control leader, to run on another target.
const MAX_PARKED: Duration = Duration::from_secs(60);

/// Configuration of a [`Core`].
#[derive(Debug, Clone)]
pub struct Options {
    /// Identifies this run of the agent process; dispatches for another one are refused.
    pub incarnation: Incarnation,
    /// Address of the target, as in its rule.
    pub target: SocketAddr,
    /// Concurrency and queue limits.
    pub admission: Settings,
    /// If no stream receives a token for this long, the target counts as crashed.
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

/// Why a dispatch was not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchError {
    /// This attempt has not run and never will.
    NotRun(NotRunReason),
    /// The attempt was received before, so it may have run.
    Duplicate,
}

/// The agent's state machine. Its methods do no I/O.
///
/// Commands for the jobs are queued until [`Core::take_commands`] returns them.
#[derive(Debug)]
pub struct Core {
    options: Options,
    rules: Rules,
    lease_end: Time,
    up: bool,
    /// When the target last sent a token, on any stream.
    last_token: Time,
    draining: bool,
    stopping: bool,
    crashes: u64,
    admission: Admission,
    jobs: BTreeMap<JobId, Job>,
    requests: HashMap<RequestId, JobId>,
    history: AttemptHistory,
    poison_version: Version,
    poison: HashMap<(Option<CustomerId>, BodyHash), Verdict>,
    last_id: u64,
    commands: Vec<(JobId, Command)>,
}

impl Core {
    /// Returns an agent without rules or a lease, whose target counts as down.
    pub fn new(options: Options) -> Self {
        Self {
            admission: Admission::new(options.admission),
            options,
            rules: Rules::default(),
            lease_end: Time::ZERO,
            up: false,
            last_token: Time::ZERO,
            draining: false,
            stopping: false,
            crashes: 0,
            jobs: BTreeMap::new(),
            requests: HashMap::new(),
            history: AttemptHistory::default(),
            poison_version: Version(0),
            poison: HashMap::new(),
            last_id: 0,
            commands: Vec::new(),
        }
    }

    // ------------------------------------------------------------------------
    // Rules and their lease.

    /// Version of the rules in use; 0 before the first sync.
    pub fn version(&self) -> Version {
        self.rules.version()
    }

    /// Version of the poison list in use; 0 before the first sync.
    pub fn poison_version(&self) -> Version {
        self.poison_version
    }

    /// The rule for this agent's target; `None` if the rules have no target at its address.
    pub fn target(&self) -> Option<(&TargetId, &Target)> {
        self.rules.target_by_address(self.options.target)
    }

    /// Whether the target is a plain HTTP service rather than an inference engine.
    pub fn is_service(&self) -> bool {
        self.target().is_some_and(|(_, t)| t.service.is_some())
    }

    /// Looks up a route in the current rules.
    pub fn route_named(&self, route: &RouteId) -> Option<&Route> {
        self.rules.routes().get(route)
    }

    /// Whether the lease on the rules is valid; without it, requests with an API key may not
    /// run.
    pub fn has_lease(&self, now: Time) -> bool {
        now < self.lease_end
    }

    /// Extends the lease to `lease` after `asked`, the time at which the request for it was
    /// sent.
    pub fn renew_lease(&mut self, asked: Time, lease: Duration) {
        self.lease_end = self.lease_end.max(asked + lease);
    }

    /// Applies a change to the rules and stops the jobs that they no longer allow. Returns false
    /// if the delta does not apply to the current version.
    pub fn apply_rules(&mut self, now: Time, delta: Delta) -> bool {
        if !self.rules.apply(delta) {
            return false;
        }
        self.stop_unauthorized(now);
        true
    }

    /// Replaces the list of requests known or suspected to crash targets.
    pub fn apply_poison(&mut self, list: PoisonList) {
        self.poison_version = list.version;
        self.poison.clear();
        for entry in list.entries {
            self.poison
                .insert((entry.customer, entry.body), entry.verdict);
        }
    }

    // ------------------------------------------------------------------------
    // Draining and shutdown.

    /// Starts or ends a drain by an order; new work is refused while it lasts.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Begins a graceful shutdown: refuses new work and returns batch items that have not
    /// started.
    pub fn begin_shutdown(&mut self, now: Time) {
        self.stopping = true;
        let waiting = self.find_ids(|job| !job.is_online() && job.state == JobState::Queued);
        for id in waiting {
            self.stop_job(now, id, Stop::Returned);
        }
    }

    /// Stops all unfinished jobs at the shutdown timeout, and returns them for the log.
    pub fn abort_remaining(&mut self, now: Time) -> Vec<Job> {
        let mut left = Vec::new();
        for id in self.find_ids(|job| job.state != JobState::Finished) {
            left.extend(self.jobs.get(&id).cloned());
            let batch = self.jobs.get(&id).is_some_and(|job| !job.is_online());
            if batch {
                self.stop_job(now, id, Stop::Returned);
                continue;
            }
            self.stop_by_state(
                now,
                id,
                NotRunReason::Draining,
                Stop::Failed(FailedReason::TargetLost),
            );
        }
        left
    }

    /// Whether a graceful shutdown is in progress.
    pub fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Whether new work is refused, because of an order or a shutdown.
    pub fn is_draining(&self) -> bool {
        self.draining || self.stopping
    }

    /// Whether no jobs remain; finished batch items count until they have been reported.
    pub fn is_idle(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Current load, as reported to entries and to the control leader.
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

    /// The admission queues, for metrics.
    pub fn admission(&self) -> &Admission {
        &self.admission
    }

    /// Looks up a job that has not ended.
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    // ------------------------------------------------------------------------
    // Timers.

    /// Stops expired jobs, then decides which jobs start, resume or park.
    pub fn tick(&mut self, now: Time) {
        self.stop_expired(now);
        if !self.has_lease(now) {
            self.stop_unauthorized(now);
        }
        self.return_parked(now);
        if !self.up {
            return;
        }
        for action in self.admission.decide(now) {
            self.apply_action(now, action);
        }
    }

    /// When [`Core::tick`] must run next; `None` if there is no timer.
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

    /// Takes the commands queued since the last call, in order.
    pub fn take_commands(&mut self) -> Vec<(JobId, Command)> {
        std::mem::take(&mut self.commands)
    }

    // ------------------------------------------------------------------------

    fn apply_action(&mut self, now: Time, action: JobAction) {
        let (id, command) = match action {
            JobAction::Start(id) => (id, Command::Start),
            JobAction::Resume(id) => (id, Command::Resume),
            JobAction::Park(id) => (id, Command::Park),
        };
        let Some(job) = self.jobs.get_mut(&id) else {
            debug_assert!(
                false,
                "the admission queue has a job that the core does not know"
            );
            return;
        };
        if command == Command::Park {
            job.state = JobState::Parked;
            self.commands.push((id, command));
            return;
        }
        if let Source::Online { request, attempt } = job.source
            && !self.history.record_start(request, attempt)
        {
            self.stop_job(now, id, Stop::NotRun(NotRunReason::Fenced));
            return;
        }
        job.state = JobState::Started;
        job.started = now;
        self.commands.push((id, command));
    }

    fn stop_expired(&mut self, now: Time) {
        for id in self.find_ids(|job| job.deadline <= now) {
            self.stop_by_state(
                now,
                id,
                NotRunReason::DeadlinePassed,
                Stop::Failed(FailedReason::DeadlinePassed),
            );
        }
        let expired = self.find_ids(|job| match job.source {
            Source::Online { .. } => false,
            Source::Batch {
                until, idempotent, ..
            } => until <= now && (idempotent || job.state == JobState::Queued),
        });
        for id in expired {
            if self.jobs.get(&id).map(|job| job.state) != Some(JobState::Finished) {
                self.stop_job(now, id, Stop::Cancelled);
            }
        }
    }

    /// Stops online jobs that the rules, or the lack of a lease, no longer allow.
    fn stop_unauthorized(&mut self, now: Time) {
        let mut forbidden = Vec::new();
        for (id, job) in &self.jobs {
            if !job.is_online() {
                continue;
            }
            if let Err(reason) = self.authorize(now, job) {
                forbidden.push((*id, reason));
            }
        }
        for (id, reason) in forbidden {
            self.stop_by_state(now, id, reason, Stop::Failed(FailedReason::KeyWithdrawn));
        }
    }

    fn return_parked(&mut self, now: Time) {
        if now < Time::ZERO + MAX_PARKED {
            return;
        }
        for id in self.admission.parked_before(now - MAX_PARKED) {
            self.stop_job(now, id, Stop::Returned);
        }
    }

    /// Checks that the current rules and the lease allow the job for its customer.
    fn authorize(&self, now: Time, job: &Job) -> Result<(), NotRunReason> {
        let Some(route) = self.rules.routes().get(&job.route) else {
            return Err(self.denial_reason(now));
        };
        let Some(key) = &job.key else {
            if route.open && job.customer.is_none() {
                return Ok(());
            }
            return Err(self.denial_reason(now));
        };
        if !self.has_lease(now) {
            return Err(NotRunReason::NoLease);
        }
        if !self.owns_key(key, job.customer.as_ref()) {
            return Err(NotRunReason::NotAllowed);
        }
        Ok(())
    }

    /// Without a lease the rules may be stale, and an agent with newer ones may allow the job.
    fn denial_reason(&self, now: Time) -> NotRunReason {
        if self.has_lease(now) {
            NotRunReason::NotAllowed
        } else {
            NotRunReason::NoLease
        }
    }

    fn owns_key(&self, key: &KeyId, customer: Option<&CustomerId>) -> bool {
        let Some(key) = self.rules.keys().get(key) else {
            return false;
        };
        Some(&key.customer) == customer && self.rules.customers().contains_key(&key.customer)
    }

    /// Whether this target is a back end of the job's route.
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

    /// Stops a job: with `NotRun(reason)` if it is still queued, with `failed` if it has
    /// started.
    fn stop_by_state(&mut self, now: Time, id: JobId, reason: NotRunReason, failed: Stop) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let stop = match job.state {
            JobState::Queued => Stop::NotRun(reason),
            JobState::Started | JobState::Parked => failed,
            JobState::Finished => return,
        };
        self.stop_job(now, id, stop);
    }

    /// Queues a stop command for the job and frees its slot immediately.
    fn stop_job(&mut self, now: Time, id: JobId, stop: Stop) {
        let is_batch = self.jobs.get(&id).is_some_and(|job| !job.is_online());
        self.commands.push((id, Command::Stop(stop)));
        if is_batch && stop != Stop::Cancelled {
            // The lease is renewed until the control leader has accepted the result.
            self.mark_finished(now, id);
            return;
        }
        self.remove_job(now, id);
    }

    fn attempt_of(&self, id: JobId) -> Option<Attempt> {
        match self.jobs.get(&id)?.source {
            Source::Online { attempt, .. } => Some(attempt),
            Source::Batch { .. } => None,
        }
    }

    fn find_ids(&self, wanted: impl Fn(&Job) -> bool) -> Vec<JobId> {
        let jobs = self.jobs.iter().filter(|(_, job)| wanted(job));
        jobs.map(|(id, _)| *id).collect()
    }

    fn next_id(&mut self) -> JobId {
        self.last_id += 1;
        JobId(self.last_id)
    }
}

/// Estimates the number of prompt tokens in a request body of `bytes` bytes.
fn prompt_tokens(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}
