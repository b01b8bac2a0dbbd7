//! A request's attempts at targets, until one answers or none may follow.

use std::{sync::Arc, time::Duration};

use clem_direct::{Outcome, Placed, Reply, Slot};
use clem_edge::{Cause, Forward, Refusal};
use clem_policy::dispatch::GrantOutcome;
use http::Response;

use crate::{
    answer::AnswerBody,
    front::{Front, Running},
    relay,
    request::CallerRequest,
};

/// The time that a target's answer is waited for is shorter by this than what is left, so that
/// the caller hears a final word in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);
/// When to come back after a target was full.
const FULL_RETRY: Duration = Duration::from_millis(100);
/// The shortest time to come back after there was no room: a crowd lasts longer than one request.
const BUSY_RETRY_MIN: Duration = Duration::from_millis(300);
/// How often a request that was not sent looks for another target.
const UNSENT_MAX: u32 = 4;

/// Where a request stands.
pub(crate) struct Course {
    pub(crate) front: Arc<Front>,
    pub(crate) request: CallerRequest,
    pub(crate) running: Running,
    /// Targets that may have run it.
    pub(crate) runs: u32,
    /// Targets that have failed it.
    pub(crate) avoid: Vec<String>,
    /// The last event that the caller has got.
    pub(crate) seen: Option<u64>,
    /// How the last slot was got, for the log.
    pub(crate) placed: Placing,
}

/// How a slot was got, or not.
#[derive(Debug, Clone, Default)]
pub(crate) struct Placing {
    /// The target.
    pub(crate) target: String,
    /// How long the slot was waited for.
    pub(crate) waited: Duration,
    /// How long the wait would have been, for a request that was refused.
    pub(crate) expected: Duration,
    /// Whether no leader had a part in it.
    pub(crate) alone: bool,
}

/// Why no target answers.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Failed {
    pub(crate) refusal: Refusal,
}

/// Runs a request and relays its answer.
pub(crate) async fn run(
    front: &Arc<Front>,
    request: CallerRequest,
    running: Running,
) -> Result<Response<AnswerBody>, Refusal> {
    let seen = request.ask.seen;
    let mut course = Course {
        front: Arc::clone(front),
        request,
        running,
        runs: 0,
        avoid: Vec::new(),
        seen,
        placed: Placing::default(),
    };
    let outcome = course.next_answer().await;
    match outcome {
        Ok((slot, reply)) => Ok(relay::start(course, slot, reply)),
        Err(failed) => {
            course.note_end("refused", &failed.refusal);
            Err(failed.refusal)
        }
    }
}

impl Course {
    /// Gets an answer from one target after the other.
    pub(crate) async fn next_answer(&mut self) -> Result<(Slot, Reply), Failed> {
        let mut unsent = 0;
        loop {
            let mut slot = self.next_slot().await?;
            let outcome = self.send(&mut slot).await;
            let target = slot.target.id.clone();
            let repeatable = self.request.route.is_repeatable();
            match outcome {
                Some(Outcome::Answered(reply)) => {
                    self.runs += 1;
                    return Ok((slot, *reply));
                }
                Some(Outcome::NotSent(reason)) => {
                    self.note_attempt(&target, "not sent", &reason);
                    unsent += 1;
                }
                Some(Outcome::Refused(head)) => {
                    let reason = if head.replaced { "replaced" } else { "full" };
                    self.note_attempt(&target, "not run", reason);
                    unsent += 1;
                    // A target that refuses has been sent to all the same.
                    if self.request.route.attempts <= 1 && !head.replaced {
                        return Err(self.not_run(FULL_RETRY));
                    }
                }
                Some(Outcome::Lost(reason)) => {
                    self.note_attempt(&target, "lost", &reason);
                    self.runs += 1;
                    if !repeatable || self.runs >= self.request.route.attempts {
                        return Err(failed(Cause::Broken));
                    }
                }
                None => {
                    slot.note(GrantOutcome::Silent);
                    self.note_attempt(&target, "silent", "");
                    return Err(failed(Cause::OutOfTime));
                }
            }
            self.avoid.push(target);
            if unsent >= UNSENT_MAX {
                return Err(self.not_run(FULL_RETRY));
            }
        }
    }

    async fn next_slot(&mut self) -> Result<Slot, Failed> {
        let node = Arc::clone(&self.front.node);
        let now = node.now();
        let Some(service) = self.request.route.pick(node.draw()).map(str::to_owned) else {
            return Err(self.not_run(FULL_RETRY));
        };
        let want = self.request.want(now, &service, &self.avoid);
        let placed = node.place(want, self.request.limit()).await;
        self.placed = Placing {
            waited: node.now().since(now),
            alone: node.is_alone(),
            ..Placing::default()
        };
        match placed {
            Placed::Slot(slot) => {
                self.placed.target.clone_from(&slot.target.id);
                self.placed.alone = slot.alone;
                Ok(slot)
            }
            Placed::OverRate(retry) => Err(Failed {
                refusal: Refusal::after(Cause::OverLimit, node.spread(retry)),
            }),
            Placed::Busy { retry, wait } => {
                self.placed.expected = wait;
                let left = self.request.left(node.now());
                Err(self.not_run(node.retry_after(retry.max(BUSY_RETRY_MIN), left)))
            }
        }
    }

    /// Sends the request; none when nothing came in time.
    async fn send(&self, slot: &mut Slot) -> Option<Outcome> {
        let node = &self.front.node;
        let left = self.request.left(node.now());
        let target = slot.target.id.clone();
        let forward = Forward {
            id: &self.request.id,
            target: &target,
            customer: self.request.customer.as_ref().map(|c| c.name.as_str()),
            patience: Some(left),
            seen: self.seen,
        };
        let sent = node.send(slot, &self.request.shipment, &forward);
        let answered = tokio::time::timeout(left.saturating_sub(ANSWER_MARGIN), sent).await;
        answered.ok()
    }

    /// Nothing more is sent: a promise that the request has not run, unless it may have.
    fn not_run(&self, retry: Duration) -> Failed {
        if self.runs > 0 {
            return failed(Cause::Broken);
        }
        Failed {
            refusal: Refusal::after(Cause::Busy, retry),
        }
    }

    fn note_attempt(&self, target: &str, outcome: &str, reason: &str) {
        log::warn!(
            request = self.request.id.as_str(), target, outcome, reason, runs = self.runs;
            "attempt failed"
        );
    }

    pub(crate) fn note_end(&self, outcome: &str, refusal: &Refusal) {
        let now = self.front.node.now();
        let took = millis(now.since(self.request.arrived));
        let retry = refusal.retry.map_or(0, millis);
        log::info!(
            request = self.request.id.as_str(), route = self.request.route.name.as_str(),
            customer = self.customer(), outcome, cause:% = refusal.cause, retry_ms = retry,
            waited_ms = millis(self.placed.waited), expected_ms = millis(self.placed.expected),
            alone = self.placed.alone, target = self.placed.target.as_str(),
            runs = self.runs, took_ms = took;
            "request ended"
        );
        let cause = refusal.cause.to_string();
        metrics::counter!("clem_front_refused", "cause" => cause).increment(1);
    }

    pub(crate) fn customer(&self) -> &str {
        let customer = self.request.customer.as_ref();
        customer.map_or("", |customer| customer.name.as_str())
    }
}

fn failed(cause: Cause) -> Failed {
    Failed {
        refusal: Refusal::new(cause),
    }
}

/// A span as a log line shows it.
pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
