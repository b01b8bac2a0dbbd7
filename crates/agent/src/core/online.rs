//! Decisions about dispatches and fences.

use std::time::Duration;

use clem_policy::{JobId, OnlineRequest, QueueFull};
use clem_types::{CustomerId, Time, Tokens};
use clem_wire::{
    dispatch::{Dispatch, FailedReason, Fence, FenceReply, NotRunReason},
    sync::Verdict,
};

use super::{Core, DispatchError, Job, JobState, Source, Stop, history::Arrival, prompt_tokens};

impl Core {
    /// Admits a dispatched request to the queue.
    ///
    /// # Errors
    /// The attempt is a duplicate, or it can't run here for the given reason.
    pub fn dispatch(&mut self, now: Time, call: &Dispatch) -> Result<JobId, DispatchError> {
        if call.incarnation != self.options.incarnation {
            return Err(DispatchError::NotRun(NotRunReason::OldIncarnation));
        }
        match self.history.record_arrival(now, call.request, call.attempt) {
            Arrival::New => {}
            Arrival::Duplicate => return Err(DispatchError::Duplicate),
            Arrival::Fenced => return Err(DispatchError::NotRun(NotRunReason::Fenced)),
            Arrival::Full => return Err(DispatchError::NotRun(NotRunReason::Overloaded)),
        }
        let job = Job {
            source: Source::Online {
                request: call.request,
                attempt: call.attempt,
            },
            customer: call.customer.clone(),
            key: call.key.clone(),
            route: call.route.clone(),
            body_hash: call.body_hash,
            suspect: call.suspect,
            deadline: now + Duration::from_millis(u64::from(call.deadline_ms)),
            streaming: call.call.stream,
            started: Time::ZERO,
            state: JobState::Queued,
            broken: false,
        };
        let prompt = prompt_tokens(call.call.body.len());
        self.admit(now, job, prompt, call.cost)
            .map_err(DispatchError::NotRun)
    }

    fn admit(
        &mut self,
        now: Time,
        mut job: Job,
        prompt: u32,
        cost: Tokens,
    ) -> Result<JobId, NotRunReason> {
        if self.stopping || self.draining {
            return Err(NotRunReason::Draining);
        }
        self.authorize(now, &job)?;
        if !self.serves(&job) {
            return Err(NotRunReason::NotServed);
        }
        if !self.up {
            return Err(NotRunReason::TargetDown);
        }
        match self.poison.get(&(job.customer.clone(), job.body_hash)) {
            Some(Verdict::Poison) => return Err(NotRunReason::SuspectBusy),
            Some(Verdict::Suspect) => job.suspect = true,
            None => {}
        }
        if job.suspect && self.jobs.values().any(|other| other.suspect) {
            return Err(NotRunReason::SuspectBusy);
        }
        let id = self.next_id();
        let request = OnlineRequest {
            job: id,
            customer: job.customer.clone(),
            weight: self.weight(job.customer.as_ref()),
            cost,
            prompt,
            deadline: job.deadline,
            suspect: job.suspect,
        };
        let evicted = self.admission.enqueue_online(now, request);
        let evicted = evicted.map_err(|QueueFull| NotRunReason::Overloaded)?;
        if let Some(evicted) = evicted {
            let reason = NotRunReason::Overloaded;
            self.stop_by_state(now, evicted, reason, Stop::NotRun(reason));
        }
        if let Source::Online { request, .. } = job.source {
            self.requests.insert(request, id);
        }
        self.jobs.insert(id, job);
        Ok(id)
    }

    fn weight(&self, customer: Option<&CustomerId>) -> u32 {
        let customer = customer.and_then(|id| self.rules.customers().get(id));
        customer.map_or(1, |customer| customer.weight)
    }

    /// Fences an attempt and all earlier ones. A queued job ends as not run, a started one as
    /// failed. `None` if the fence could not be recorded.
    pub fn fence(&mut self, now: Time, call: &Fence) -> Option<FenceReply> {
        let reply = self.history.fence(now, call.request, call.attempt);
        let Some(id) = self.requests.get(&call.request).copied() else {
            return reply;
        };
        let covered = self.attempt_of(id).is_some_and(|a| a <= call.attempt);
        if covered {
            self.stop_by_state(
                now,
                id,
                NotRunReason::Fenced,
                Stop::Failed(FailedReason::TargetLost),
            );
        }
        reply
    }

    /// Whether the target's answer may still be relayed: a request with a key needs a valid
    /// lease.
    pub fn may_relay(&self, now: Time, id: JobId) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        job.key.is_none() || self.has_lease(now)
    }
}
