//! Attempts at targets for one request, until one responds or no further attempt is allowed.

use std::{sync::Arc, time::Duration};

use clem_direct::{Outcome, Reply, Slot, SlotOutcome};
use clem_edge::{Cause, Forward, Framing, Refusal};
use clem_intake::BodyPlace;
use clem_policy::dispatch::{
    GrantOutcome, Origin, Resumes, SETTLED_MIN, SlotRequest, StreamKey, StreamRequest,
};
use clem_types::SoftwareVersion;
use http::Response;

use crate::{
    body::ResponseBody,
    front::{Front, RunningGuard},
    relay,
    request::CallerRequest,
};

/// Subtracted from the time left when waiting for a target, so that the caller gets a response
/// before its deadline.
const RESPONSE_MARGIN: Duration = Duration::from_millis(20);
/// Retry time after a target had no room.
const FULL_RETRY: Duration = Duration::from_millis(100);
/// Retry time at a process that stops; other processes can take the request at once.
pub(crate) const STOPPING_RETRY: Duration = Duration::from_millis(50);
/// Minimum retry time when no slot is free; overload lasts longer than one request.
const BUSY_RETRY_MIN: Duration = Duration::from_millis(300);
/// A stream that a caller takes up began within as many timeouts of its route.
const SETTLED_TIMEOUTS: u32 = 2;
/// How many targets are tried for a request that was not sent or was refused.
const UNSENT_MAX: u32 = 4;

/// The state of a request across its attempts.
pub(crate) struct RequestState {
    pub(crate) front: Arc<Front>,
    pub(crate) request: CallerRequest,
    pub(crate) running: Arc<RunningGuard>,
    /// The place of the request's body.
    _place: Option<BodyPlace>,
    /// Number of targets that may have run the request.
    pub(crate) runs: u32,
    /// Targets that failed the request; they are not tried again.
    pub(crate) avoid: Vec<String>,
    /// Id of the last event sent to the caller.
    pub(crate) last_event: Option<u64>,
    /// Where the events began that were sent to the caller; `None` before the first one.
    pub(crate) began: Option<Origin>,
    /// Number of body bytes sent to the caller.
    pub(crate) sent_bytes: usize,
    /// Whether the request is at a target that may be running it.
    pub(crate) sending: bool,
    /// How the last slot was acquired, for the log.
    pub(crate) placement: PlacementInfo,
}

/// How a slot was acquired or refused, for the log.
#[derive(Debug, Clone, Default)]
pub(crate) struct PlacementInfo {
    /// Id of the target; empty if no slot was granted.
    pub(crate) target: String,
    /// How long the request waited for the slot.
    pub(crate) waited: Duration,
    /// Expected wait of a request that was refused.
    pub(crate) expected: Duration,
    /// Whether the slot was acquired without the hub's leader.
    pub(crate) without_leader: bool,
    /// Version of the target's software.
    pub(crate) version: Option<SoftwareVersion>,
    /// How the target marks the end of its response; `None` before it responds.
    pub(crate) framing: Option<Framing>,
}

/// No target responded; holds the refusal for the caller.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Failed {
    pub(crate) refusal: Refusal,
}

/// Runs a request and relays the response.
pub(crate) async fn run(
    front: &Arc<Front>,
    request: CallerRequest,
    running: RunningGuard,
    place: Option<BodyPlace>,
) -> Result<Response<ResponseBody>, Refusal> {
    let last_event = request.info.last_event;
    let mut state = RequestState {
        front: Arc::clone(front),
        request,
        running: Arc::new(running),
        _place: place,
        runs: 0,
        avoid: Vec::new(),
        last_event,
        began: None,
        sent_bytes: 0,
        sending: false,
        placement: PlacementInfo::default(),
    };
    let outcome = state.next_response().await;
    match outcome {
        Ok((slot, reply)) => Ok(relay::start(state, slot, reply)),
        Err(failed) => {
            state.log_end("refused", &failed.refusal);
            Err(failed.refusal)
        }
    }
}

impl RequestState {
    /// Tries targets until one responds, or until this process has to give its last answers.
    pub(crate) async fn next_response(&mut self) -> Result<(Slot, Reply), Failed> {
        let front = Arc::clone(&self.front);
        tokio::select! {
            outcome = self.try_targets() => outcome,
            () = front.ended() => Err(self.stopped()),
        }
    }

    async fn try_targets(&mut self) -> Result<(Slot, Reply), Failed> {
        let mut unsent = 0;
        loop {
            let mut slot = self.next_slot().await?;
            self.sending = true;
            let outcome = self.send(&mut slot).await;
            self.sending = false;
            let target = slot.target.id.clone();
            let retryable = self.request.route.is_retryable();
            match outcome {
                Some(Outcome::Answered(reply)) => {
                    self.runs += 1;
                    let status = reply.head.status;
                    let dialect = &self.front.node.dialect;
                    // The target doesn't state that it has not run the request.
                    if !retryable && dialect.promises_not_run(status) {
                        slot.set_ended(GrantOutcome::Failed);
                        self.log_attempt(&target, "refused without proof", status.as_str());
                        return Err(failed(Cause::Broken));
                    }
                    return Ok((slot, *reply));
                }
                Some(Outcome::NotSent(reason)) => {
                    self.log_attempt(&target, "not sent", &reason);
                    unsent += 1;
                }
                Some(Outcome::Refused(head)) => {
                    let reason = if head.replaced { "replaced" } else { "full" };
                    self.log_attempt(&target, "not run", reason);
                    unsent += 1;
                    // The refused request was sent, so it counts against the allowed attempts.
                    if self.request.route.attempts <= 1 && !head.replaced {
                        return Err(self.not_run(FULL_RETRY));
                    }
                }
                Some(Outcome::Lost(reason)) => {
                    self.log_attempt(&target, "lost", &reason);
                    self.front
                        .node
                        .end_early(slot, &self.request.id, 0, GrantOutcome::Broken);
                    self.runs += 1;
                    if !retryable || self.runs >= self.request.route.attempts {
                        return Err(failed(Cause::Broken));
                    }
                }
                None => {
                    slot.set_ended(GrantOutcome::Silent);
                    self.log_attempt(&target, "silent", "");
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
        let Some(service) = self
            .request
            .route
            .pick_service(node.random())
            .map(str::to_owned)
        else {
            return Err(self.not_run(FULL_RETRY));
        };
        let mut want = self.request.want(now, &service, &self.avoid);
        want.stream = self.stream();
        if let Some(origin) = want.origin().cloned() {
            want.service = origin.service;
        }
        let claimed = unknown_origin(&want).cloned();
        let takes_up = self.began.is_none() && self.request.info.last_event.is_some();
        let placed = node.place(want, self.request.limit()).await;
        self.placement = PlacementInfo {
            waited: node.now().since(now),
            without_leader: node.uses_fallback(),
            ..PlacementInfo::default()
        };
        match placed {
            SlotOutcome::Slot(slot) => {
                self.placement.target.clone_from(&slot.target.id);
                self.placement.version.clone_from(&slot.target.version);
                self.placement.without_leader = slot.without_leader;
                if takes_up {
                    self.log_take_up(&slot, claimed.as_ref());
                }
                Ok(slot)
            }
            SlotOutcome::OverRate(retry) => Err(Failed {
                refusal: Refusal::after(Cause::OverLimit, node.with_jitter(retry)),
            }),
            SlotOutcome::Harmful if self.runs > 0 => Err(failed(Cause::Broken)),
            SlotOutcome::Harmful => {
                log::warn!(
                    request = self.request.id.as_str(), parts = self.request.shared_parts();
                    "request refused for its parts"
                );
                Err(failed(Cause::Harmful))
            }
            SlotOutcome::Unresumable if self.runs > 0 => Err(failed(Cause::Broken)),
            SlotOutcome::Unresumable => {
                log::warn!(
                    request = self.request.id.as_str(),
                    resumes = self.request.info.resumes.as_deref(), after = self.last_event;
                    "stream can't be resumed"
                );
                Err(failed(Cause::Unresumable))
            }
            SlotOutcome::Busy { retry, wait, .. } => {
                self.placement.expected = wait;
                let left = self.request.left(node.now());
                Err(self.not_run(node.retry_after(retry.max(BUSY_RETRY_MIN), left)))
            }
        }
    }

    /// The stream that the request begins or resumes; `None` if its response can't be resumed.
    fn stream(&self) -> Option<StreamRequest> {
        let request = &self.request;
        if !request.is_resumable() {
            return None;
        }
        let key = |id: &str| StreamKey::of(self.customer(), id);
        let resumes = match (&self.began, request.info.last_event) {
            (Some(began), _) => Some(Resumes::At(began.clone())),
            (None, Some(_)) => {
                let named = request.info.resumes.as_deref().map(key);
                let began = named.and_then(|key| self.front.node.origin(key));
                Some(Resumes::Attempt {
                    key: named,
                    services: request.services(),
                    otherwise: began.clone().or_else(|| self.settled_origin()),
                    began,
                    span: self.settled_span(),
                })
            }
            (None, None) => None,
        };
        Some(StreamRequest {
            key: Some(key(&request.id)),
            resumes,
        })
    }

    /// Where the stream began whatever attempt it was: at the only service and version that may have
    /// run it since then.
    fn settled_origin(&self) -> Option<Origin> {
        let services = self.request.services();
        let [service] = services.as_slice() else {
            return None;
        };
        let node = &self.front.node;
        node.settled_origin(node.now(), service, self.settled_span())
    }

    /// How long a version must have served alone to have begun the stream.
    fn settled_span(&self) -> Duration {
        let node = &self.front.node;
        let route = &self.request.route;
        let span = (route.timeout * SETTLED_TIMEOUTS).max(SETTLED_MIN);
        if node.view().routed_for(node.now(), route) < span {
            return Duration::MAX;
        }
        span
    }

    /// Sends the request; `None` if there was no response in time.
    async fn send(&self, slot: &mut Slot) -> Option<Outcome> {
        let node = &self.front.node;
        let left = self.request.left(node.now());
        let target = slot.target.id.clone();
        let forward = Forward {
            id: &self.request.id,
            target: &target,
            customer: self.request.customer.as_ref().map(|c| c.name.as_str()),
            timeout: Some(left),
            last_event: self.last_event,
        };
        let sent = node.send(slot, &self.request.outgoing, &forward);
        let answered = tokio::time::timeout(left.saturating_sub(RESPONSE_MARGIN), sent).await;
        answered.ok()
    }

    /// Ends the attempts. Reports that the request has not run, unless an attempt may have run it.
    fn not_run(&self, retry: Duration) -> Failed {
        if self.runs > 0 {
            return failed(Cause::Broken);
        }
        Failed {
            refusal: Refusal::after(Cause::Busy, retry),
        }
    }

    /// Ends the attempts at the end of the grace period.
    fn stopped(&self) -> Failed {
        if self.sending {
            return failed(Cause::OutOfTime);
        }
        self.not_run(STOPPING_RETRY)
    }

    /// Logs where a stream goes on that the caller takes up, and what this process knew of it.
    fn log_take_up(&self, slot: &Slot, claimed: Option<&Origin>) {
        let node = &self.front.node;
        let version = slot.target.version.as_ref().map(ToString::to_string);
        let claimed = claimed.map(|origin| origin.version.as_ref().map(ToString::to_string));
        log::info!(
            request = self.request.id.as_str(), resumes = self.request.info.resumes.as_deref(),
            after = self.last_event, target = slot.target.id.as_str(), ticket = slot.ticket().0,
            version, claimed:?, alone = slot.without_leader,
            heard_ms = node.hub_silence().map(millis);
            "stream taken up"
        );
    }

    fn log_attempt(&self, target: &str, outcome: &str, reason: &str) {
        log::warn!(
            request = self.request.id.as_str(), target, outcome, reason, runs = self.runs;
            "attempt failed"
        );
    }

    pub(crate) fn log_end(&self, outcome: &str, refusal: &Refusal) {
        let now = self.front.node.now();
        let took = millis(now.since(self.request.arrived));
        let retry = refusal.retry.map_or(0, millis);
        log::info!(
            request = self.request.id.as_str(), route = self.request.route.name.as_str(),
            customer = self.customer(), outcome, cause:% = refusal.cause, retry_ms = retry,
            waited_ms = millis(self.placement.waited), expected_ms = millis(self.placement.expected),
            alone = self.placement.without_leader, target = self.placement.target.as_str(),
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

/// Where a stream goes on if nobody remembers the attempt that began it.
fn unknown_origin(want: &SlotRequest) -> Option<&Origin> {
    match want.stream.as_ref()?.resumes.as_ref()? {
        Resumes::Attempt { otherwise, .. } => otherwise.as_ref(),
        Resumes::At(_) => None,
    }
}

fn failed(cause: Cause) -> Failed {
    Failed {
        refusal: Refusal::new(cause),
    }
}

/// A duration in milliseconds, for log lines.
pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
