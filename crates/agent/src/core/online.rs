//! Dispatches and fences.

use std::time::Duration;

use clem_policy::{JobId, Offer, QueueFull};
use clem_types::{CustomerId, Time, Tokens};
use clem_wire::{
    dispatch::{Dispatch, FailedReason, Fence, FenceReply, NotRunReason},
    sync::Verdict,
};

use super::{Core, Job, JobState, Refusal, Source, Stop, fences::Seen, prompt_tokens};

impl Core {
    /// Takes in a dispatch.
    ///
    /// # Errors
    /// Why it is not taken in.
    pub fn dispatch(&mut self, now: Time, call: &Dispatch) -> Result<JobId, Refusal> {
        if call.incarnation != self.options.incarnation {
            return Err(Refusal::NotRun(NotRunReason::OldIncarnation));
        }
        match self.fences.arrive(now, call.request, call.attempt) {
            Seen::New => {}
            Seen::Before => return Err(Refusal::Repeated),
            Seen::Fenced => return Err(Refusal::NotRun(NotRunReason::Fenced)),
            Seen::Full => return Err(Refusal::NotRun(NotRunReason::Overloaded)),
        }
        let job = Job {
            source: Source::Online {
                request: call.request,
                attempt: call.attempt,
            },
            customer: call.customer.clone(),
            key: call.key.clone(),
            route: call.route.clone(),
            body: call.body_hash,
            suspect: call.suspect,
            deadline: now + Duration::from_millis(u64::from(call.deadline_ms)),
            streams: call.call.stream,
            started: Time::ZERO,
            state: JobState::Queued,
            broken: false,
        };
        let prompt = prompt_tokens(call.call.body.len());
        self.check(now, job, prompt, call.cost)
            .map_err(Refusal::NotRun)
    }

    fn check(
        &mut self,
        now: Time,
        mut job: Job,
        prompt: u32,
        cost: Tokens,
    ) -> Result<JobId, NotRunReason> {
        if self.stopping || self.draining {
            return Err(NotRunReason::Draining);
        }
        self.allowed(now, &job)?;
        if !self.serves(&job) {
            return Err(NotRunReason::NotServed);
        }
        if !self.up {
            return Err(NotRunReason::TargetDown);
        }
        match self.poison.get(&(job.customer.clone(), job.body)) {
            Some(Verdict::Poison) => return Err(NotRunReason::SuspectBusy),
            Some(Verdict::Suspect) => job.suspect = true,
            None => {}
        }
        if job.suspect && self.jobs.values().any(|other| other.suspect) {
            return Err(NotRunReason::SuspectBusy);
        }
        let id = self.next_id();
        let offer = Offer {
            job: id,
            customer: job.customer.clone(),
            weight: self.weight(job.customer.as_ref()),
            cost,
            prompt,
            deadline: job.deadline,
            suspect: job.suspect,
        };
        let evicted = self.admission.offer_online(now, offer);
        let evicted = evicted.map_err(|QueueFull| NotRunReason::Overloaded)?;
        if let Some(evicted) = evicted {
            let reason = NotRunReason::Overloaded;
            self.stop(now, evicted, reason, Stop::NotRun(reason));
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

    /// Fences an attempt; a job that waits ends unrun, one that runs is cancelled.
    pub fn fence(&mut self, now: Time, call: &Fence) -> Option<FenceReply> {
        let reply = self.fences.fence(now, call.request, call.attempt);
        let Some(id) = self.requests.get(&call.request).copied() else {
            return reply;
        };
        let covered = self.attempt_of(id).is_some_and(|a| a <= call.attempt);
        if covered {
            self.stop(
                now,
                id,
                NotRunReason::Fenced,
                Stop::Failed(FailedReason::TargetLost),
            );
        }
        reply
    }

    /// Whether what the target answers may still be relayed.
    pub fn may_relay(&self, now: Time, id: JobId) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        job.key.is_none() || self.has_lease(now)
    }
}
