//! Decisions about leased batch items.

use clem_policy::JobId;
use clem_types::{BodyHash, Time};
use clem_wire::{
    batch::{LeaseRef, LeasedItem},
    sync::ItemRef,
};

use super::{Core, Job, JobState, Source, Stop, prompt_tokens};

impl Core {
    /// Queues an item whose lease ends at `until`. `None` if it is already here or can't run
    /// here.
    pub fn admit_item(&mut self, now: Time, item: &LeasedItem, until: Time) -> Option<JobId> {
        let known = self.job_for_lease(item.lease);
        if known.is_some() || self.stopping || self.draining || !self.up {
            return None;
        }
        let job = Job {
            source: Source::Batch {
                lease: item.lease,
                until,
                idempotent: item.content.idempotent,
            },
            customer: Some(item.customer.clone()),
            key: Some(item.key.clone()),
            route: item.content.route.clone(),
            body_hash: BodyHash::of(item.content.body.as_bytes()),
            suspect: item.suspect,
            deadline: Time::from_micros(u64::MAX),
            streaming: !self.is_service(),
            started: Time::ZERO,
            state: JobState::Queued,
            broken: false,
        };
        if !self.rules.customers().contains_key(&item.customer) || !self.serves(&job) {
            return None;
        }
        let id = self.next_id();
        let prompt = prompt_tokens(item.content.body.len());
        self.admission.enqueue_batch(now, id, prompt, job.suspect);
        self.jobs.insert(id, job);
        Some(id)
    }

    /// Finds the job of a lease; `None` if it is not here.
    pub fn job_for_lease(&self, lease: LeaseRef) -> Option<JobId> {
        let mut jobs = self.jobs.iter();
        let found = jobs.find(|(_, job)| match job.source {
            Source::Online { .. } => false,
            Source::Batch { lease: other, .. } => other == lease,
        });
        found.map(|(id, _)| *id)
    }

    /// The leases to renew: those of all items here, including finished ones not yet reported.
    pub fn leases(&self) -> Vec<LeaseRef> {
        let mut leases = Vec::new();
        for job in self.jobs.values() {
            if let Source::Batch { lease, .. } = job.source {
                leases.push(lease);
            }
        }
        leases
    }

    /// Extends the given leases to `end`; never shortens one.
    pub fn renew_leases(&mut self, renewed: &[LeaseRef], end: Time) {
        for job in self.jobs.values_mut() {
            if let Source::Batch { lease, until, .. } = &mut job.source
                && renewed.contains(lease)
            {
                *until = end.max(*until);
            }
        }
    }

    /// Stops a cancelled item, whichever lease it has here.
    pub fn cancel_item(&mut self, now: Time, item: ItemRef) {
        let found = self.find_ids(|job| match job.source {
            Source::Online { .. } => false,
            Source::Batch { lease, .. } => lease.item == item,
        });
        for id in found {
            self.cancel_job(now, id);
        }
    }

    /// Stops an item whose result the control leader no longer needs.
    pub fn cancel_job(&mut self, now: Time, id: JobId) {
        self.stop_job(now, id, Stop::Cancelled);
    }

    /// Number of items to lease now; 0 while the agent can't start any.
    pub fn batch_room(&self, now: Time) -> usize {
        if self.stopping || self.draining || !self.up || !self.has_lease(now) {
            return 0;
        }
        self.admission.batch_room()
    }

    /// Frees the slot of a finished batch job. The job remains until [`Core::remove_job`], so
    /// that its lease is still renewed.
    pub fn mark_finished(&mut self, now: Time, id: JobId) {
        self.admission.end(now, id);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.state = JobState::Finished;
        }
    }
}
