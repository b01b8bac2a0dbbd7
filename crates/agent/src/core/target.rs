//! Jobs at the target, and the target's death.

use clem_policy::JobId;
use clem_types::Time;
use clem_wire::{dispatch::NotRunReason, online::InFlight};

use super::{Core, JobState, Source, Stop};

impl Core {
    /// A job has a new token.
    pub fn token(&mut self, now: Time, id: JobId) {
        self.progress = now;
        self.admission.token(now, id);
    }

    /// A job is over and is forgotten.
    pub fn end(&mut self, now: Time, id: JobId) {
        self.admission.end(now, id);
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        if let Source::Online { request, .. } = job.source
            && self.requests.get(&request) == Some(&id)
        {
            self.requests.remove(&request);
        }
    }

    /// A job's connection to the target broke; [`Core::crash`] or [`Core::not_crashed`] follows.
    pub fn broke(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.broken = true;
        }
    }

    /// Whether streams have been at the target for the stall timeout and none has had a token.
    pub fn is_stalled(&self, now: Time) -> bool {
        let limit = self.options.stall;
        if now.since(self.progress) < limit {
            return false;
        }
        let mut jobs = self.jobs.values();
        jobs.any(|job| {
            job.streams && job.state == JobState::Started && now.since(job.started) >= limit
        })
    }

    /// The target answers.
    pub fn set_up(&mut self, up: bool) {
        self.up = up;
    }

    /// Whether the target answers.
    pub fn is_up(&self) -> bool {
        self.up
    }

    /// The target died: what was in flight, with the number of the crash.
    pub fn crash(&mut self) -> (u64, Vec<JobId>, Vec<InFlight>) {
        self.up = false;
        self.crashes += 1;
        let mut ids = Vec::new();
        let mut requests = Vec::new();
        for (id, job) in &self.jobs {
            if job.state != JobState::Started {
                continue;
            }
            ids.push(*id);
            requests.push(InFlight {
                customer: job.customer.clone(),
                body: job.body,
                suspect: job.suspect,
            });
        }
        (self.crashes, ids, requests)
    }

    /// Ends the jobs that were in flight at a crash, and those that waited for the dead target.
    pub fn end_crashed(&mut self, now: Time, ids: &[JobId]) {
        for id in ids {
            self.end_with(now, *id, Stop::Lost { crashed: true });
        }
        let queued = self.ids(|job| job.state == JobState::Queued);
        for id in queued {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let stop = if job.is_online() {
                Stop::NotRun(NotRunReason::TargetDown)
            } else {
                Stop::Returned
            };
            self.end_with(now, id, stop);
        }
    }

    /// The target lives: jobs whose connections broke fail by themselves.
    pub fn not_crashed(&mut self, now: Time) {
        for id in self.ids(|job| job.broken) {
            self.end_with(now, id, Stop::Lost { crashed: false });
        }
    }

    /// Whether any job waits for the verdict on its broken connection.
    pub fn has_broken(&self) -> bool {
        self.jobs.values().any(|job| job.broken)
    }
}
