//! One dispatch attempt to one target.

use std::time::Duration;

use clem_policy::route::{AttemptOutcome, Choice, Report};
use clem_types::Time;
use clem_wire::{
    CallError,
    dispatch::{Dispatch, Event, FailedReason, NotRunReason},
    sync::Load,
};
use tokio::time::{Instant, sleep_until};

use super::Job;
use crate::{
    agent::{self, Frames, Next},
    entry::AgentAddress,
    relay::TokenPosition,
};

/// How long an agent may send nothing before it is probed.
const PROBE_AFTER: Duration = Duration::from_secs(2);
/// An idempotent request without progress for this long is retried on another target.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The HTTP status of a stream that can be relayed.
const STATUS_OK: u16 = 200;

/// How an attempt ended.
#[derive(Debug)]
pub(super) enum AttemptResult {
    /// The complete answer arrived.
    Completed {
        /// When the first part of the answer arrived.
        first: Time,
    },
    /// The agent reported that the request did not run.
    NotRun {
        reason: NotRunReason,
        retry_ms: Option<u32>,
    },
    /// The request did not run: the agent could not be reached, or it fenced the attempt before it
    /// started.
    Unreachable,
    /// The agent reported a failure; the request may have run.
    Failed { reason: FailedReason },
    /// The agent stopped responding, or its answer was cut off or had a gap; the request may have
    /// run.
    NoAnswer,
    /// The caller disconnected.
    CallerGone,
    /// The key was withdrawn while the request ran.
    KeyWithdrawn,
}

impl AttemptResult {
    /// Maps the result to an outcome for the health tracking of the target.
    pub(super) fn health(&self, sent: Time) -> AttemptOutcome {
        match self {
            Self::Completed { first } => AttemptOutcome::Answered {
                first: first.since(sent).as_secs_f64(),
            },
            Self::NotRun { reason, .. } => match reason {
                NotRunReason::TargetDown => AttemptOutcome::Failed,
                NotRunReason::NoLease
                | NotRunReason::NotAllowed
                | NotRunReason::OldIncarnation
                | NotRunReason::Draining
                | NotRunReason::Overloaded
                | NotRunReason::DeadlinePassed
                | NotRunReason::Fenced
                | NotRunReason::NotServed
                | NotRunReason::SuspectBusy => AttemptOutcome::Refused,
            },
            Self::Unreachable | Self::NoAnswer => AttemptOutcome::Failed,
            Self::Failed { reason } => match reason {
                FailedReason::TargetLost | FailedReason::BadAnswer => AttemptOutcome::Failed,
                FailedReason::DeadlinePassed | FailedReason::KeyWithdrawn => {
                    AttemptOutcome::Dropped
                }
            },
            Self::CallerGone | Self::KeyWithdrawn => AttemptOutcome::Dropped,
        }
    }
}

/// Runs one attempt until it ends.
pub(super) async fn run(
    job: &mut Job,
    choice: &Choice,
    agent: AgentAddress,
    dispatch: &Dispatch,
) -> AttemptResult {
    let mut attempt = Attempt {
        job,
        choice,
        agent,
        dispatch,
        started: false,
        first: None,
    };
    attempt.run().await
}

struct Attempt<'a> {
    job: &'a mut Job,
    choice: &'a Choice,
    agent: AgentAddress,
    dispatch: &'a Dispatch,
    started: bool,
    first: Option<Time>,
}

/// The next event that an attempt has to handle.
enum Wake {
    Frame(Next),
    CallerGone,
    RulesChanged,
    Silent,
    Deadline,
}

impl Attempt<'_> {
    async fn run(&mut self) -> AttemptResult {
        let entry = self.job.entry.clone();
        let sending = agent::send(&entry.client, self.agent.address, self.dispatch);
        let timeout = self.time_left().min(PROBE_AFTER);
        let watch_caller = self.job.work.once.is_none();
        let sent = tokio::select! {
            sent = tokio::time::timeout(timeout, sending) => sent,
            () = self.job.relay.caller_gone(), if watch_caller => return AttemptResult::CallerGone,
        };
        let mut frames = match sent {
            Ok(Ok(frames)) => frames,
            Ok(Err(error)) if error.is_not_run() => return self.not_sent(&error),
            Ok(Err(_)) | Err(_) => return self.fence().await,
        };
        self.relay(&mut frames).await
    }

    fn not_sent(&self, error: &CallError) -> AttemptResult {
        log::info!(
            request = self.dispatch.request.to_string().as_str(),
            target = self.choice.target.as_str(),
            error = error.to_string().as_str();
            "dispatch failed, request not run"
        );
        AttemptResult::Unreachable
    }

    async fn relay(&mut self, frames: &mut Frames) -> AttemptResult {
        let entry = self.job.entry.clone();
        let mut changes = entry.changes();
        changes.mark_unchanged();
        let watch_caller = self.job.work.once.is_none();
        let deadline = Instant::now() + self.time_left();
        let mut progress = Instant::now();
        let mut probe = progress + PROBE_AFTER;
        loop {
            let wake = tokio::select! {
                biased;
                _ = changes.changed() => Wake::RulesChanged,
                next = frames.next() => Wake::Frame(next),
                () = self.job.relay.caller_gone(), if watch_caller => Wake::CallerGone,
                () = sleep_until(deadline) => Wake::Deadline,
                () = sleep_until(probe) => Wake::Silent,
            };
            match wake {
                Wake::Frame(Next::Event(event)) => {
                    progress = Instant::now();
                    probe = progress + PROBE_AFTER;
                    if let Some(result) = self.handle(event).await {
                        return result;
                    }
                }
                Wake::Frame(Next::Truncated) | Wake::Deadline => return self.fence().await,
                Wake::CallerGone => return AttemptResult::CallerGone,
                Wake::RulesChanged => {
                    if self.is_key_withdrawn() {
                        return AttemptResult::KeyWithdrawn;
                    }
                }
                Wake::Silent => {
                    probe = Instant::now() + PROBE_AFTER;
                    let stalled = self.dispatch.idempotent && progress.elapsed() >= STALL_TIMEOUT;
                    let request = self.dispatch.request;
                    if stalled || !agent::is_alive(&entry.client, self.agent.address, request).await
                    {
                        return self.fence().await;
                    }
                }
            }
        }
    }

    /// Handles an event; returns the result of the attempt once it has ended.
    async fn handle(&mut self, event: Event) -> Option<AttemptResult> {
        let now = self.job.entry.now();
        match event {
            Event::Started => self.started = true,
            Event::Head { status, headers } => {
                self.started = true;
                if !self.job.relay.is_streaming() {
                    self.job.relay.begin_answer(status, headers);
                } else if status != STATUS_OK {
                    // A part of the stream was already relayed, so an error body can't be passed
                    // on.
                    let reason = FailedReason::BadAnswer;
                    return Some(AttemptResult::Failed { reason });
                }
            }
            Event::Data(_) if self.job.relay.is_streaming() => {
                let reason = FailedReason::BadAnswer;
                return Some(AttemptResult::Failed { reason });
            }
            Event::Token { .. } if !self.job.work.call.stream => {
                let reason = FailedReason::BadAnswer;
                return Some(AttemptResult::Failed { reason });
            }
            Event::Token { index, data } => {
                self.started = true;
                self.first.get_or_insert(now);
                match self.job.relay.send_token(index, &data).await {
                    Ok(TokenPosition::Next | TokenPosition::Duplicate) => {}
                    Ok(TokenPosition::Gap) => return Some(self.fence().await),
                    Err(_) => return Some(AttemptResult::CallerGone),
                }
            }
            Event::Data(part) => {
                self.first.get_or_insert(now);
                if !self.job.relay.append(&part) {
                    return Some(AttemptResult::Failed {
                        reason: FailedReason::BadAnswer,
                    });
                }
            }
            Event::End { load } => {
                self.report(load);
                return Some(AttemptResult::Completed {
                    first: self.first.unwrap_or(now),
                });
            }
            Event::NotRun {
                reason,
                retry_ms,
                load,
            } => {
                self.report(load);
                return Some(AttemptResult::NotRun { reason, retry_ms });
            }
            Event::Failed { reason } => return Some(AttemptResult::Failed { reason }),
        }
        None
    }

    /// Fences the attempt at the agent and finds out whether it had started.
    async fn fence(&self) -> AttemptResult {
        let entry = &self.job.entry;
        let Dispatch {
            request, attempt, ..
        } = *self.dispatch;
        let fenced = agent::fence(&entry.client, self.agent.address, request, attempt).await;
        if fenced && !self.started {
            return AttemptResult::Unreachable;
        }
        AttemptResult::NoAnswer
    }

    /// Passes the load that the agent reported on to the router.
    fn report(&self, load: Load) {
        let report = Report {
            streams: load.running + load.waiting,
            tokens: load.queued_tokens,
        };
        let entry = &self.job.entry;
        entry
            .router()
            .report(entry.now(), &self.choice.target, report);
    }

    fn is_key_withdrawn(&self) -> bool {
        match &self.job.work.identity {
            Some(identity) => !self.job.entry.still_allowed(identity),
            None => false,
        }
    }

    fn time_left(&self) -> Duration {
        self.job.work.deadline().since(self.job.entry.now())
    }
}
