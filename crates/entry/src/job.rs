//! Runs one request from routing to its answer: attempts, their results and retries.
//!
//! This module decides whether a caller is told that its request may have run. It says "not run"
//! only when no byte of the dispatch was sent, when the agent says so in a frame, or when the
//! agent has fenced the attempt before it started. See `docs/design/online.md`, "Dispatch".

mod attempt;
pub(crate) mod verdict;

use std::{sync::Arc, time::Duration};

use clem_policy::{
    limiter::Limiter,
    retry::{Failure, Verdict},
    route::{Choice, Query},
};
use clem_types::{Attempt, TargetId, Tokens};
use clem_wire::{
    dispatch::{Dispatch, FailedReason, NotRunReason},
    online::OnceOutcome,
};
use tokio::{sync::oneshot, task::JoinHandle};

use crate::{
    entry::{AgentAddress, Entry, Running},
    once,
    refusal::Refusal,
    relay::{Relay, Start},
    work::Work,
};

use attempt::AttemptResult;

/// Delay before a suspect request looks again for a target that runs no other suspect.
const SUSPECT_DELAY: Duration = Duration::from_millis(60);
/// How long an answer waits until its outcome is recorded.
const RECORD_TIMEOUT: Duration = Duration::from_secs(1);
/// A request is not retried after this many target crashes.
const MAX_CRASHES: u32 = 2;

/// A request in progress.
pub(crate) struct Job {
    entry: Arc<Entry>,
    work: Work,
    relay: Relay,
    /// Targets that were tried; they are not chosen again.
    tried: Vec<TargetId>,
    /// Dispatches so far, which is the number of the latest attempt.
    attempts: u32,
    /// Dispatches that count against the retry limit.
    tries: u32,
    crashes: u32,
    /// Whether any attempt may have run.
    may_have_run: bool,
    /// Keeps the request counted as running.
    _running: Running,
}

/// Starts a request and returns the receiver for the start of its answer.
///
/// Dropping the receiver cancels the request, except for one that may run only once: it continues,
/// so that its outcome is recorded.
pub(crate) fn start(entry: Arc<Entry>, work: Work, running: Running) -> oneshot::Receiver<Start> {
    let (relay, receiver) = Relay::new();
    let job = Job {
        entry,
        work,
        relay,
        tried: Vec::new(),
        attempts: 0,
        tries: 0,
        crashes: 0,
        may_have_run: false,
        _running: running,
    };
    tokio::spawn(job.run());
    receiver
}

impl Job {
    async fn run(mut self) {
        match once::begin(&self.entry, &self.work).await {
            once::BeginReply::Go => {}
            once::BeginReply::Replay(answer) => return self.relay.send_answer(answer),
            once::BeginReply::Refused(refusal) => return self.relay.refuse(refusal).await,
        }
        self.dispatch().await;
    }

    /// Tries targets until there is an answer or a final refusal, and sends that to the caller.
    async fn dispatch(&mut self) {
        self.entry.budget().first();
        loop {
            let Some((choice, agent)) = self.pick() else {
                return self.give_up(None, verdict::no_target()).await;
            };
            if !self.is_allowed() {
                return self.give_up(None, verdict::not_allowed()).await;
            }
            if !self.may_send() {
                return self.give_up(None, verdict::deadline_passed()).await;
            }
            self.attempts += 1;
            self.tries += 1;
            let attempt = Attempt(self.attempts);
            let dispatch = self.build_dispatch(attempt, agent);
            let sent = self.entry.now();
            self.entry.router().sent(sent, &choice, &self.work.prefixes);
            let result = attempt::run(self, &choice, agent, &dispatch).await;
            let now = self.entry.now();
            let health = result.health(sent);
            self.entry.router().ended(now, &choice.target, health);
            match result {
                AttemptResult::Completed { .. } => return self.answer().await,
                AttemptResult::CallerGone => return self.count_disconnect(),
                AttemptResult::KeyWithdrawn => {
                    let failure = Some(Failure::MayHaveRun);
                    return self.give_up(failure, verdict::withdrawn()).await;
                }
                AttemptResult::NotRun {
                    reason: NotRunReason::SuspectBusy,
                    ..
                } => {
                    self.tries -= 1;
                    if !self.wait_for_suspects().await {
                        return self.give_up(None, verdict::deadline_passed()).await;
                    }
                }
                AttemptResult::NotRun { reason, retry_ms } => {
                    let refusal = verdict::not_run(reason, retry_ms);
                    if !verdict::is_retryable(reason) || !self.may_retry(Failure::NotRun) {
                        return self.give_up(Some(Failure::NotRun), refusal).await;
                    }
                    self.tried.push(choice.target);
                }
                AttemptResult::Unreachable => {
                    if !self.may_retry(Failure::NotRun) {
                        return self
                            .give_up(Some(Failure::NotRun), verdict::unreachable())
                            .await;
                    }
                    self.tried.push(choice.target);
                }
                AttemptResult::Failed { reason, .. } => {
                    self.may_have_run = true;
                    if reason == FailedReason::TargetLost {
                        // Requests that were in flight at a crash run one per target until they
                        // are cleared.
                        self.crashes += 1;
                        self.work.suspect = true;
                    }
                    if let Some(refusal) = self.poison_refusal() {
                        return self.give_up(Some(Failure::MayHaveRun), refusal).await;
                    }
                    if !verdict::is_failure_retryable(reason)
                        || !self.may_retry(Failure::MayHaveRun)
                    {
                        let refusal = verdict::failed(reason);
                        return self.give_up(Some(Failure::MayHaveRun), refusal).await;
                    }
                    self.tried.push(choice.target);
                }
                AttemptResult::NoAnswer => {
                    self.may_have_run = true;
                    if !self.may_retry(Failure::MayHaveRun) {
                        let refusal = verdict::unknown();
                        return self.give_up(Some(Failure::MayHaveRun), refusal).await;
                    }
                    self.tried.push(choice.target);
                }
            }
        }
    }

    /// Picks a target and logs the decision.
    fn pick(&self) -> Option<(Choice, AgentAddress)> {
        let entry = &self.entry;
        let query = Query {
            backend: &self.work.backend,
            prefixes: &self.work.prefixes,
            prompt: self.work.prompt.0,
            tried: &self.tried,
        };
        let now = entry.now();
        let choice = entry.router().pick(now, &mut *entry.rng(), &query);
        let Some(choice) = choice else {
            log::info!(
                request = self.work.request.to_string().as_str(),
                customer = self.work.customer_name(),
                route = self.work.route.as_str(),
                tried = self.tried.len(),
                reason = "no open target";
                "not routed"
            );
            return None;
        };
        let names: Vec<_> = choice.candidates.iter().map(TargetId::as_str).collect();
        log::info!(
            request = self.work.request.to_string().as_str(),
            customer = self.work.customer_name(),
            route = self.work.route.as_str(),
            attempt = self.attempts + 1,
            candidates = names.join(",").as_str(),
            choice = choice.target.as_str(),
            reason = choice.reason.to_string().as_str();
            "routed"
        );
        let agent = entry.view().agents.get(&choice.target).copied()?;
        Some((choice, agent))
    }

    fn build_dispatch(&self, attempt: Attempt, agent: AgentAddress) -> Dispatch {
        let work = &self.work;
        let left = work.deadline().since(self.entry.now()).as_millis();
        let tokens_sent = self.relay.tokens_sent();
        Dispatch {
            request: work.request,
            attempt,
            incarnation: agent.incarnation,
            customer: work
                .identity
                .as_ref()
                .map(|identity| identity.customer.clone()),
            key: work.identity.as_ref().map(|identity| identity.key.clone()),
            route: work.route.clone(),
            rules: work.rules,
            idempotent: work.idempotent,
            suspect: work.suspect,
            deadline_ms: u32::try_from(left).unwrap_or(u32::MAX),
            cost: work.cost,
            resume: (tokens_sent > 0).then_some(Tokens(tokens_sent)),
            body_hash: work.body_hash,
            call: work.call.clone(),
        }
    }

    /// Checks the deadline, and before the first attempt also the rate token and the lease. A
    /// process that was suspended between admission and dispatch must not send: its lease and its
    /// rate token may have been given to others.
    fn may_send(&self) -> bool {
        let now = self.entry.now();
        if now >= self.work.deadline() {
            return false;
        }
        if self.attempts > 0 {
            return true;
        }
        let fresh = self
            .work
            .token
            .is_none_or(|taken| Limiter::may_send(taken, now));
        fresh && (self.work.identity.is_none() || self.entry.has_lease())
    }

    /// Whether the key is still valid; it may have been withdrawn while the request waited for a
    /// rate token or between two attempts.
    fn is_allowed(&self) -> bool {
        match &self.work.identity {
            Some(identity) => self.entry.still_allowed(identity),
            None => true,
        }
    }

    /// Asks the retry budget for a further attempt.
    fn may_retry(&self, failure: Failure) -> bool {
        if self.crashes >= MAX_CRASHES {
            return false;
        }
        let now = self.entry.now();
        let deadline = self.work.deadline();
        let idempotent = self.work.idempotent;
        let mut budget = self.entry.budget();
        let verdict = budget.decide(now, deadline, self.tries, idempotent, failure);
        if verdict == Verdict::Retry {
            metrics::counter!("clem_entry_retries").increment(1);
        }
        verdict == Verdict::Retry
    }

    /// The refusal, if the control leader has meanwhile listed the request as poison.
    fn poison_refusal(&self) -> Option<Refusal> {
        let view = self.entry.view();
        let customer = self
            .work
            .identity
            .as_ref()
            .map(|identity| &identity.customer);
        verdict::poison(view.poison.find(customer, self.work.body_hash), self.ran())
    }

    /// Waits before the next try at a target without a suspect; false when the deadline would pass
    /// or the caller has disconnected.
    async fn wait_for_suspects(&mut self) -> bool {
        if self.entry.now() + SUSPECT_DELAY >= self.work.deadline() {
            return false;
        }
        tokio::select! {
            () = tokio::time::sleep(SUSPECT_DELAY) => true,
            () = self.relay.caller_gone() => false,
        }
    }

    /// Whether the request may have run, so that it must not be refused as not run.
    fn ran(&self) -> bool {
        self.may_have_run || self.relay.is_streaming()
    }

    async fn answer(&mut self) {
        if self.relay.is_streaming() {
            // A caller that has disconnected by now already has all tokens.
            let _ = self.relay.finish_stream().await;
            self.record(OnceOutcome::Unknown);
            return;
        }
        let answer = self.relay.take_answer();
        if self.work.call.stream && answer.status == 200 && answer.body.is_empty() {
            let _ = self.relay.finish_stream().await;
            self.record(OnceOutcome::Unknown);
            return;
        }
        if let Some(recorded) = self.record(once::outcome(&answer)) {
            // A repeated call sent right after the answer should find the record.
            let _ = tokio::time::timeout(RECORD_TIMEOUT, recorded).await;
        }
        self.relay.send_answer(answer);
    }

    /// Records the outcome of a call that may run only once; `None` for other requests.
    fn record(&self, outcome: OnceOutcome) -> Option<JoinHandle<()>> {
        once::finish(self.entry.clone(), &self.work, outcome)
    }

    /// Counts a caller that disconnected before its answer.
    fn count_disconnect(&self) {
        metrics::counter!("clem_entry_callers_gone").increment(1);
    }

    /// Answers with the final refusal and records the outcome.
    async fn give_up(&mut self, failure: Option<Failure>, refusal: Refusal) {
        let ran = self.ran() || failure == Some(Failure::MayHaveRun);
        let mut refusal = if ran {
            verdict::maybe_ran(refusal)
        } else {
            refusal
        };
        refusal.retry_ms = refusal.retry_ms.map(|base| self.entry.retry_ms(base));
        log::info!(
            request = self.work.request.to_string().as_str(),
            customer = self.work.customer_name(),
            attempts = self.attempts,
            code = refusal.code,
            ran = ran;
            "refused"
        );
        self.record(if ran {
            OnceOutcome::Unknown
        } else {
            OnceOutcome::NotRun
        });
        self.relay.refuse(refusal).await;
    }
}
