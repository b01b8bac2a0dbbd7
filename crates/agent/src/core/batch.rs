//! Leased batch items.

use clem_policy::JobId;
use clem_types::{BodyHash, Time};
use clem_wire::{
    batch::{LeaseRef, LeasedItem},
    sync::ItemRef,
};

use super::{Core, Job, JobState, Source, Stop, prompt_tokens};

impl Core {
    /// Takes in a leased item whose lease ends at `until`; none when it can't run here.
    pub fn lease(&mut self, now: Time, item: &LeasedItem, until: Time) -> Option<JobId> {
        let known = self.job_of(item.lease);
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
            body: BodyHash::of(item.content.body.as_bytes()),
            suspect: item.suspect,
            deadline: Time::from_micros(u64::MAX),
            streams: !self.is_service(),
            started: Time::ZERO,
            state: JobState::Queued,
            broken: false,
        };
        if !self.rules.customers().contains_key(&item.customer) || !self.serves(&job) {
            return None;
        }
        let id = self.next_id();
        let prompt = prompt_tokens(item.content.body.len());
        self.admission.offer_batch(now, id, prompt, job.suspect);
        self.jobs.insert(id, job);
        Some(id)
    }

    /// The job that runs under a lease.
    pub fn job_of(&self, lease: LeaseRef) -> Option<JobId> {
        let mut jobs = self.jobs.iter();
        let found = jobs.find(|(_, job)| match job.source {
            Source::Online { .. } => false,
            Source::Batch { lease: other, .. } => other == lease,
        });
        found.map(|(id, _)| *id)
    }

    /// The leases of all items here.
    pub fn leases(&self) -> Vec<LeaseRef> {
        let mut leases = Vec::new();
        for job in self.jobs.values() {
            if let Source::Batch { lease, .. } = job.source {
                leases.push(lease);
            }
        }
        leases
    }

    /// Moves the ends of renewed leases.
    pub fn renew_items(&mut self, renewed: &[LeaseRef], end: Time) {
        for job in self.jobs.values_mut() {
            if let Source::Batch { lease, until, .. } = &mut job.source
                && renewed.contains(lease)
            {
                *until = end.max(*until);
            }
        }
    }

    /// Ends an item that was cancelled, under whatever lease it runs here.
    pub fn cancel_ref(&mut self, now: Time, item: ItemRef) {
        let found = self.ids(|job| match job.source {
            Source::Online { .. } => false,
            Source::Batch { lease, .. } => lease.item == item,
        });
        for id in found {
            self.cancel_item(now, id);
        }
    }

    /// Ends an item that the control leader wants no more.
    pub fn cancel_item(&mut self, now: Time, id: JobId) {
        self.end_with(now, id, Stop::Cancelled);
    }

    /// How many more items are worth leasing.
    pub fn batch_room(&self, now: Time) -> usize {
        if self.stopping || self.draining || !self.up || !self.has_lease(now) {
            return 0;
        }
        self.admission.batch_room()
    }

    /// A batch job has its result; it stays until [`Core::end`], so that its lease is renewed.
    pub fn finished(&mut self, now: Time, id: JobId) {
        self.admission.end(now, id);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.state = JobState::Finished;
        }
    }
}
