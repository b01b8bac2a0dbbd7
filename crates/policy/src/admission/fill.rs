//! How far batch may fill the engine, and what starts, resumes and parks.

use std::time::Duration;

use clem_types::Time;

use super::{Admission, JobAction, Stream, Waiting};

/// Batch streams that an engine of unknown pace gets beside online ones.
const UNKNOWN_EXTRA: usize = 1;
/// How long a batch stream may stay parked before it gets a slot beside online requests.
const MAX_PARKED: Duration = Duration::from_secs(5);
/// How long it then keeps the slot.
const RELIEF: Duration = Duration::from_secs(2);
/// The time for which the budget of risk saves up.
const SAVED: Duration = Duration::from_secs(5);
/// After so long without online requests, batch prompts of any length may start.
const QUIET: Duration = Duration::from_secs(60);

impl Admission {
    pub(super) fn fill_allowances(&mut self, now: Time, busy: bool) {
        let balance = self.settings.balance;
        let risk = if busy { 0.0 } else { balance.risk() };
        self.risk.fill(now, risk, SAVED.mul_f64(balance.risk()));
        let share = if busy { balance.prefill_share() } else { 0.0 };
        let step = self.pace.step(self.online.len());
        self.shared.fill(now, share, step * 4);
    }

    /// The most batch streams that the engine may hold now.
    pub(super) fn batch_limit(&mut self, now: Time) -> usize {
        let wanted = self.online.len() + self.queue.len();
        let free = self.settings.streams.saturating_sub(wanted);
        if !self.is_busy() && now >= self.quiet_from {
            return free.min(self.idle_limit());
        }
        let harm = self.settings.balance.harm();
        let extra = self.pace.extra(wanted, harm).unwrap_or(UNKNOWN_EXTRA);
        free.min(extra.max(self.relief(now)))
    }

    /// One slot for a while, for the oldest batch stream when it has been parked too long.
    fn relief(&mut self, now: Time) -> usize {
        let since = self.parked.values().next().map(|waiting| waiting.since);
        if since.is_some_and(|since| now.since(since) >= MAX_PARKED) {
            self.relief_until = now + RELIEF;
        }
        usize::from(now < self.relief_until)
    }

    /// Batch streams without online ones: a request that arrives waits for the step in progress.
    fn idle_limit(&self) -> usize {
        let most = self.settings.streams;
        let Some(bound) = self.step_bound() else {
            return most;
        };
        self.pace.within(bound).unwrap_or(most).clamp(1, most)
    }

    pub(super) fn start_online(&mut self, now: Time, steps: &mut Vec<JobAction>) {
        while self.running() < self.settings.streams {
            let crowded = self.has_suspect();
            let next = self.queue.pop_if(|waiting| !(waiting.suspect && crowded));
            let Some(next) = next else {
                return;
            };
            let waiting = next.item;
            self.left_queue(waiting);
            let stream = self.stream(now, waiting, waiting.context);
            self.online.insert(waiting.job, stream);
            steps.push(JobAction::Start(waiting.job));
        }
    }

    pub(super) fn left_queue(&mut self, waiting: Waiting) {
        self.tickets.remove(&waiting.job);
        self.queued = self.queued.saturating_sub(u64::from(waiting.context));
    }

    pub(super) fn park_youngest(&mut self, now: Time, steps: &mut Vec<JobAction>) {
        let Some((job, stream)) = self.batch.pop_last() else {
            return;
        };
        self.changed = now;
        let waiting = Waiting {
            job,
            context: stream.context,
            since: now,
            alone: false,
            suspect: stream.suspect,
        };
        steps.push(JobAction::Park(job));
        // A stream in its first prefill has nothing to keep: it starts anew.
        if stream.is_prefilling() && stream.parked.is_none() {
            self.ready.push_front(waiting);
        } else {
            self.parked.insert(job, waiting);
        }
    }

    pub(super) fn fill_batch(&mut self, now: Time, limit: usize, steps: &mut Vec<JobAction>) {
        while self.batch.len() < limit {
            if let Some((waiting, prefill)) = self.next_parked(now) {
                let mut stream = self.stream(now, waiting, prefill);
                stream.parked = Some(now.since(waiting.since));
                self.batch.insert(waiting.job, stream);
                steps.push(JobAction::Resume(waiting.job));
                continue;
            }
            let Some(waiting) = self.next_ready(now) else {
                break;
            };
            let stream = self.stream(now, waiting, waiting.context);
            self.batch.insert(waiting.job, stream);
            steps.push(JobAction::Start(waiting.job));
        }
    }

    /// Takes the parked item that has waited longest among those that may go on, with the tokens
    /// that must be read in again.
    fn next_parked(&mut self, now: Time) -> Option<(Waiting, u32)> {
        let mut found = None;
        let crowded = self.has_suspect();
        let parked: Vec<Waiting> = self.parked.values().copied().collect();
        for (place, waiting) in parked.into_iter().enumerate() {
            if waiting.suspect && crowded {
                continue;
            }
            let prefill = if self.keep.is_kept(now.since(waiting.since)) {
                0
            } else {
                waiting.context
            };
            if prefill == 0 || self.may_prefill(now, prefill, place == 0) {
                found = Some((waiting, prefill));
                break;
            }
        }
        let (waiting, prefill) = found?;
        self.parked.remove(&waiting.job);
        Some((waiting, prefill))
    }

    /// Takes the first ready item that may start now; a long prompt does not hold up short ones.
    fn next_ready(&mut self, now: Time) -> Option<Waiting> {
        let crowded = self.has_suspect();
        let first = self.parked.is_empty();
        for place in 0..self.ready.len() {
            let waiting = self.ready[place];
            if waiting.suspect && crowded {
                continue;
            }
            if self.may_prefill(now, waiting.context, first && place == 0) {
                return self.ready.remove(place);
            }
        }
        None
    }

    /// Whether a batch prompt may be read in now; the engine does a prefill whole, within a step
    /// that all its streams and every request that arrives must wait for.
    fn may_prefill(&mut self, now: Time, prompt: u32, first: bool) -> bool {
        let ahead = self.batch_prefill();
        if self.is_busy() {
            let free = first && ahead == 0 && self.shared.take(self.pace.step(self.running()));
            if !free {
                return false;
            }
        }
        let cost = self.pace.prefill_time(ahead.saturating_add(prompt));
        let step = self.pace.step(self.running() + 1) + cost;
        if ahead > 0 && cost.is_zero() {
            // The price of a prompt is learned from one alone.
            return false;
        }
        if self.is_quiet(now, cost) {
            return true;
        }
        if !self.tail.is_known() {
            let bound = self.step_bound();
            return bound.map_or(ahead == 0, |bound| step <= bound);
        }
        if ahead > 0 && self.step_bound().is_some_and(|bound| step > bound) {
            return false;
        }
        let before = self
            .tail
            .cost(self.pace.step(self.running()) + self.pace.prefill_time(ahead));
        self.risk.owe(self.tail.cost(step).saturating_sub(before))
    }

    /// Whether no online request has come for so long that a prefill of this length is unlikely to
    /// meet one.
    fn is_quiet(&self, now: Time, cost: Duration) -> bool {
        let span = cost.div_f64(self.settings.balance.risk()).min(QUIET);
        !self.is_busy() && now.since(self.quiet_from) >= span
    }

    fn stream(&mut self, now: Time, waiting: Waiting, prefill: u32) -> Stream {
        self.changed = now;
        Stream {
            arrived: waiting.since,
            sent: now,
            context: waiting.context,
            prefill,
            parked: None,
            beside: self.running(),
            first: None,
            last: None,
            alone: waiting.alone,
            suspect: waiting.suspect,
        }
    }
}
