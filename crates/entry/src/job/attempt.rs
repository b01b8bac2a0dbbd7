//! One attempt at one target.

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
    relay::Fit,
};

/// How long an agent may be silent before it is asked whether it is there.
const SILENCE: Duration = Duration::from_secs(2);
/// How long an idempotent request may make no progress before it is tried elsewhere.
const STALL: Duration = Duration::from_secs(10);

/// The status of a stream.
const STATUS_OK: u16 = 200;

/// How an attempt ended.
#[derive(Debug)]
pub(super) enum End {
    /// The answer is whole.
    Whole {
        /// When its first part came.
        first: Time,
    },
    /// It did not run, by the agent's word.
    NotRun {
        reason: NotRunReason,
        retry_ms: Option<u32>,
    },
    /// It did not run: the agent was not reached, or it fenced the attempt.
    Unreached,
    /// It may have run, and failed.
    Failed { reason: FailedReason },
    /// It may have run; the agent is silent or its answer was cut.
    Stalled,
    /// The caller is gone.
    Gone,
    /// The key was withdrawn.
    Withdrawn,
}

impl End {
    /// What it says of the target's health.
    pub(super) fn health(&self, sent: Time) -> AttemptOutcome {
        match self {
            Self::Whole { first } => AttemptOutcome::Answered {
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
            Self::Unreached | Self::Stalled => AttemptOutcome::Failed,
            Self::Failed { reason } => match reason {
                FailedReason::TargetLost | FailedReason::BadAnswer => AttemptOutcome::Failed,
                FailedReason::DeadlinePassed | FailedReason::KeyWithdrawn => {
                    AttemptOutcome::Dropped
                }
            },
            Self::Gone | Self::Withdrawn => AttemptOutcome::Dropped,
        }
    }
}

/// Runs one attempt to its end.
pub(super) async fn run(
    job: &mut Job,
    choice: &Choice,
    agent: AgentAddress,
    dispatch: &Dispatch,
) -> End {
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

/// What woke an attempt up.
enum Woken {
    Frame(Next),
    Gone,
    Changed,
    Silent,
    Late,
}

impl Attempt<'_> {
    async fn run(&mut self) -> End {
        let entry = self.job.entry.clone();
        let sending = agent::send(&entry.client, self.agent.address, self.dispatch);
        let patience = self.left().min(SILENCE);
        let watch_caller = self.job.work.once.is_none();
        let sent = tokio::select! {
            sent = tokio::time::timeout(patience, sending) => sent,
            () = self.job.relay.gone(), if watch_caller => return End::Gone,
        };
        let mut frames = match sent {
            Ok(Ok(frames)) => frames,
            Ok(Err(error)) if error.is_not_run() => return self.not_sent(&error),
            Ok(Err(_)) | Err(_) => return self.fence().await,
        };
        self.relay(&mut frames).await
    }

    fn not_sent(&self, error: &CallError) -> End {
        log::info!(
            request = self.dispatch.request.to_string().as_str(),
            target = self.choice.target.as_str(),
            error = error.to_string().as_str();
            "dispatch not taken"
        );
        End::Unreached
    }

    async fn relay(&mut self, frames: &mut Frames) -> End {
        let entry = self.job.entry.clone();
        let mut changes = entry.changes();
        changes.mark_unchanged();
        let watch_caller = self.job.work.once.is_none();
        let end = Instant::now() + self.left();
        let mut progress = Instant::now();
        let mut probe = progress + SILENCE;
        loop {
            let woken = tokio::select! {
                biased;
                _ = changes.changed() => Woken::Changed,
                next = frames.next() => Woken::Frame(next),
                () = self.job.relay.gone(), if watch_caller => Woken::Gone,
                () = sleep_until(end) => Woken::Late,
                () = sleep_until(probe) => Woken::Silent,
            };
            match woken {
                Woken::Frame(Next::Event(event)) => {
                    progress = Instant::now();
                    probe = progress + SILENCE;
                    if let Some(end) = self.event(event).await {
                        return end;
                    }
                }
                Woken::Frame(Next::Cut) | Woken::Late => return self.fence().await,
                Woken::Gone => return End::Gone,
                Woken::Changed => {
                    if self.is_withdrawn() {
                        return End::Withdrawn;
                    }
                }
                Woken::Silent => {
                    probe = Instant::now() + SILENCE;
                    let stalled = self.dispatch.idempotent && progress.elapsed() >= STALL;
                    let request = self.dispatch.request;
                    if stalled || !agent::answers(&entry.client, self.agent.address, request).await
                    {
                        return self.fence().await;
                    }
                }
            }
        }
    }

    /// Takes in an event; says how the attempt ended, if it did.
    async fn event(&mut self, event: Event) -> Option<End> {
        let now = self.job.entry.now();
        match event {
            Event::Started => self.started = true,
            Event::Head { status, headers } => {
                self.started = true;
                if !self.job.relay.streams() {
                    self.job.relay.head(status, headers);
                } else if status != STATUS_OK {
                    // What follows is no part of the stream that the caller has begun to read.
                    let reason = FailedReason::BadAnswer;
                    return Some(End::Failed { reason });
                }
            }
            Event::Data(_) if self.job.relay.streams() => {
                let reason = FailedReason::BadAnswer;
                return Some(End::Failed { reason });
            }
            Event::Token { .. } if !self.job.work.call.stream => {
                let reason = FailedReason::BadAnswer;
                return Some(End::Failed { reason });
            }
            Event::Token { index, data } => {
                self.started = true;
                self.first.get_or_insert(now);
                match self.job.relay.token(index, &data).await {
                    Ok(Fit::Next | Fit::Repeated) => {}
                    Ok(Fit::Gap) => return Some(self.fence().await),
                    Err(_) => return Some(End::Gone),
                }
            }
            Event::Data(part) => {
                self.first.get_or_insert(now);
                if !self.job.relay.data(&part) {
                    return Some(End::Failed {
                        reason: FailedReason::BadAnswer,
                    });
                }
            }
            Event::End { load } => {
                self.report(load);
                return Some(End::Whole {
                    first: self.first.unwrap_or(now),
                });
            }
            Event::NotRun {
                reason,
                retry_ms,
                load,
            } => {
                self.report(load);
                return Some(End::NotRun { reason, retry_ms });
            }
            Event::Failed { reason } => return Some(End::Failed { reason }),
        }
        None
    }

    /// Stops the attempt at the agent, and finds out whether it had started.
    async fn fence(&self) -> End {
        let entry = &self.job.entry;
        let Dispatch {
            request, attempt, ..
        } = *self.dispatch;
        let fenced = agent::fence(&entry.client, self.agent.address, request, attempt).await;
        if fenced && !self.started {
            return End::Unreached;
        }
        End::Stalled
    }

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

    fn is_withdrawn(&self) -> bool {
        match &self.job.work.identity {
            Some(identity) => !self.job.entry.still_allowed(identity),
            None => false,
        }
    }

    fn left(&self) -> Duration {
        self.job.work.deadline().since(self.job.entry.now())
    }
}
