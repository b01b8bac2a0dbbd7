//! One request from its routing to its answer: attempts, their ends, and what follows from them.
//!
//! The truth about whether a request ran comes from here. "Not run" is said only when no byte
//! left, when the agent says so in a frame, or when the agent has fenced the attempt before it
//! started. See `docs/design/online.md`, "Dispatch".

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

use attempt::End;

/// The pause before a suspect tries again to find a target without another suspect.
const SUSPECT_PAUSE: Duration = Duration::from_millis(60);
/// How long an answer waits for its record.
const RECORD_WAIT: Duration = Duration::from_secs(1);
/// After this many crashes under a request it is not tried again.
const CRASHES_MAX: u32 = 2;

/// A request under way.
pub(crate) struct Job {
    entry: Arc<Entry>,
    work: Work,
    relay: Relay,
    /// Targets that had their chance.
    tried: Vec<TargetId>,
    /// Dispatches so far; the number of the latest.
    attempts: u32,
    /// Dispatches that count as tries.
    tries: u32,
    crashes: u32,
    /// Whether some attempt may have run.
    may_have_run: bool,
    /// Counts the request as running.
    _running: Running,
}

/// Starts a request; the receiver gets the beginning of its answer. Dropping it gives the request
/// up, unless it may run only once: that goes on, so that its outcome becomes known.
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
            once::Begun::Go => {}
            once::Begun::Replay(answer) => return self.relay.whole(answer),
            once::Begun::Refused(refusal) => return self.relay.refuse(refusal).await,
        }
        self.dispatch().await;
    }

    /// Tries targets until there is an answer or a final refusal, and gives it to the caller.
    async fn dispatch(&mut self) {
        self.entry.budget().first();
        loop {
            let Some((choice, agent)) = self.choose() else {
                return self.give_up(None, verdict::no_target()).await;
            };
            if !self.is_allowed() {
                return self.give_up(None, verdict::not_allowed()).await;
            }
            if !self.may_send() {
                return self.give_up(None, verdict::late()).await;
            }
            self.attempts += 1;
            self.tries += 1;
            let attempt = Attempt(self.attempts);
            let dispatch = self.frame(attempt, agent);
            let sent = self.entry.now();
            self.entry.router().sent(sent, &choice, &self.work.prefixes);
            let end = attempt::run(self, &choice, agent, &dispatch).await;
            let now = self.entry.now();
            let health = end.health(sent);
            self.entry.router().ended(now, &choice.target, health);
            match end {
                End::Whole { .. } => return self.answer().await,
                End::Gone => return self.gone(),
                End::Withdrawn => {
                    let failure = Some(Failure::MayHaveRun);
                    return self.give_up(failure, verdict::withdrawn()).await;
                }
                End::NotRun {
                    reason: NotRunReason::SuspectBusy,
                    ..
                } => {
                    self.tries -= 1;
                    if !self.wait_for_suspects().await {
                        return self.give_up(None, verdict::late()).await;
                    }
                }
                End::NotRun { reason, retry_ms } => {
                    let refusal = verdict::not_run(reason, retry_ms);
                    if !verdict::elsewhere(reason) || !self.may_retry(Failure::NotRun) {
                        return self.give_up(Some(Failure::NotRun), refusal).await;
                    }
                    self.tried.push(choice.target);
                }
                End::Unreached => {
                    if !self.may_retry(Failure::NotRun) {
                        return self
                            .give_up(Some(Failure::NotRun), verdict::unreached())
                            .await;
                    }
                    self.tried.push(choice.target);
                }
                End::Failed { reason, .. } => {
                    self.may_have_run = true;
                    if reason == FailedReason::TargetLost {
                        // Whatever was in flight at a crash runs apart until it is cleared.
                        self.crashes += 1;
                        self.work.suspect = true;
                    }
                    if let Some(refusal) = self.poisoned() {
                        return self.give_up(Some(Failure::MayHaveRun), refusal).await;
                    }
                    if !verdict::again(reason) || !self.may_retry(Failure::MayHaveRun) {
                        let refusal = verdict::failed(reason);
                        return self.give_up(Some(Failure::MayHaveRun), refusal).await;
                    }
                    self.tried.push(choice.target);
                }
                End::Stalled => {
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

    /// Chooses a target and says so in the log.
    fn choose(&self) -> Option<(Choice, AgentAddress)> {
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

    fn frame(&self, attempt: Attempt, agent: AgentAddress) -> Dispatch {
        let work = &self.work;
        let left = work.deadline().since(self.entry.now()).as_millis();
        let relayed = self.relay.sent();
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
            resume: (relayed > 0).then_some(Tokens(relayed)),
            body_hash: work.body_hash,
            call: work.call.clone(),
        }
    }

    /// A process that was frozen between admitting a request and sending it must not send it: its
    /// lease and its rate token may long be others'.
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
        fresh && (self.work.identity.is_none() || self.entry.leased())
    }

    /// Whether the key still stands in the rules; it may have been withdrawn while the request
    /// waited for a token or between two attempts.
    fn is_allowed(&self) -> bool {
        match &self.work.identity {
            Some(identity) => self.entry.still_allowed(identity),
            None => true,
        }
    }

    fn may_retry(&self, failure: Failure) -> bool {
        if self.crashes >= CRASHES_MAX {
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

    /// Whether control has called the request poison in the meantime.
    fn poisoned(&self) -> Option<Refusal> {
        let view = self.entry.view();
        let customer = self
            .work
            .identity
            .as_ref()
            .map(|identity| &identity.customer);
        verdict::poison(view.poison.find(customer, self.work.body_hash), self.ran())
    }

    /// Waits a moment for a target without a suspect; false when the time is over.
    async fn wait_for_suspects(&mut self) -> bool {
        if self.entry.now() + SUSPECT_PAUSE >= self.work.deadline() {
            return false;
        }
        tokio::select! {
            () = tokio::time::sleep(SUSPECT_PAUSE) => true,
            () = self.relay.gone() => false,
        }
    }

    fn ran(&self) -> bool {
        self.may_have_run || self.relay.streams()
    }

    async fn answer(&mut self) {
        if self.relay.streams() {
            // A caller that is gone by now had its whole answer.
            let _ = self.relay.done().await;
            self.record(OnceOutcome::Unknown);
            return;
        }
        let answer = self.relay.take_answer();
        if self.work.call.stream && answer.status == 200 && answer.body.is_empty() {
            let _ = self.relay.done().await;
            self.record(OnceOutcome::Unknown);
            return;
        }
        if let Some(recorded) = self.record(once::outcome(&answer)) {
            // A resend that follows the answer at once should find the record.
            let _ = tokio::time::timeout(RECORD_WAIT, recorded).await;
        }
        self.relay.whole(answer);
    }

    fn record(&self, outcome: OnceOutcome) -> Option<JoinHandle<()>> {
        once::finish(self.entry.clone(), &self.work, outcome)
    }

    /// The caller is gone: nobody waits for an answer.
    fn gone(&self) {
        metrics::counter!("clem_entry_callers_gone").increment(1);
    }

    /// Gives the final refusal, at once.
    async fn give_up(&mut self, failure: Option<Failure>, refusal: Refusal) {
        let ran = self.ran() || failure == Some(Failure::MayHaveRun);
        let mut refusal = if ran {
            verdict::after_run(refusal)
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
