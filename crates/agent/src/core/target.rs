//! Progress of jobs at the target, and handling of a crashed target.

use clem_policy::JobId;
use clem_types::Time;
use clem_wire::{dispatch::NotRunReason, online::InFlight};

use super::{Core, JobState, Source, Stop};

impl Core {
    /// Records that a job received a token.
    pub fn record_token(&mut self, now: Time, id: JobId) {
        self.last_token = now;
        self.admission.token(now, id);
    }

    /// Removes a job that has ended and frees its slot.
    pub fn remove_job(&mut self, now: Time, id: JobId) {
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

    /// Marks a job whose connection to the target broke. It ends with the next [`Core::crash`]
    /// or [`Core::fail_broken`], once the target has been probed.
    pub fn mark_broken(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.broken = true;
        }
    }

    /// Whether a stream has been at the target for the stall timeout while no stream received a
    /// token.
    pub fn is_stalled(&self, now: Time) -> bool {
        let limit = self.options.stall;
        if now.since(self.last_token) < limit {
            return false;
        }
        let mut jobs = self.jobs.values();
        jobs.any(|job| {
            job.streaming && job.state == JobState::Started && now.since(job.started) >= limit
        })
    }

    /// Sets whether the target is up; jobs start only while it is.
    pub fn set_target_up(&mut self, up: bool) {
        self.up = up;
    }

    /// Whether the target answered the last probe; false until the first one.
    pub fn is_target_up(&self) -> bool {
        self.up
    }

    /// Marks the target as crashed. Returns the number of the crash (counted from 1 since the
    /// start of the agent), the IDs of the jobs in flight, and their requests for the crash
    /// report.
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
                body: job.body_hash,
                suspect: job.suspect,
            });
        }
        (self.crashes, ids, requests)
    }

    /// Stops the jobs that were in flight at a crash and those still queued for the target.
    pub fn stop_crashed(&mut self, now: Time, ids: &[JobId]) {
        for id in ids {
            self.stop_job(now, *id, Stop::Lost { crashed: true });
        }
        let queued = self.find_ids(|job| job.state == JobState::Queued);
        for id in queued {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let stop = if job.is_online() {
                Stop::NotRun(NotRunReason::TargetDown)
            } else {
                Stop::Returned
            };
            self.stop_job(now, id, stop);
        }
    }

    /// Stops the jobs whose connections broke although the target is alive.
    pub fn fail_broken(&mut self, now: Time) {
        for id in self.find_ids(|job| job.broken) {
            self.stop_job(now, id, Stop::Lost { crashed: false });
        }
    }

    /// Whether any job with a broken connection waits for the next probe of the target.
    pub fn has_broken(&self) -> bool {
        self.jobs.values().any(|job| job.broken)
    }
}
