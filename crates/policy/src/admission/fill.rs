//! How many batch streams the engine may run, and which jobs are started, resumed or parked.

use std::time::Duration;

use clem_types::Time;

use super::{Admission, JobAction, Stream, Waiting};

/// Batch streams beside online ones while the cost model has no estimate.
const UNKNOWN_EXTRA: usize = 1;
/// How long a batch stream may stay parked before it gets a slot beside online requests.
const MAX_PARKED: Duration = Duration::from_secs(5);
/// How long it keeps that slot.
const RELIEF: Duration = Duration::from_secs(2);
/// Idle time for which the budget of idle prefills accumulates.
const BUDGET_SPAN: Duration = Duration::from_secs(5);
/// Time without online requests after which batch prompts of any length may start.
const LONG_IDLE: Duration = Duration::from_secs(60);

impl Admission {
    pub(super) fn fill_budgets(&mut self, now: Time, busy: bool) {
        let balance = self.settings.balance;
        let risk = if busy { 0.0 } else { balance.risk() };
        self.idle_budget
            .fill(now, risk, BUDGET_SPAN.mul_f64(balance.risk()));
        let share = if busy { balance.prefill_share() } else { 0.0 };
        let step = self.cost_model.step(self.online.len());
        self.busy_budget.fill(now, share, step * 4);
    }

    /// Maximum number of batch streams in the engine now.
    pub(super) fn batch_limit(&mut self, now: Time) -> usize {
        let wanted = self.online.len() + self.queue.len();
        let free = self.settings.streams.saturating_sub(wanted);
        if !self.is_busy() && now >= self.idle_from {
            return free.min(self.idle_limit());
        }
        let slowdown = self.settings.balance.slowdown();
        let extra = self
            .cost_model
            .extra(wanted, slowdown)
            .unwrap_or(UNKNOWN_EXTRA);
        free.min(extra.max(self.relief(now)))
    }

    /// Prevents starvation: 1 for a while after the oldest batch stream was parked for too long,
    /// 0 otherwise.
    fn relief(&mut self, now: Time) -> usize {
        let since = self.parked.values().next().map(|waiting| waiting.since);
        if since.is_some_and(|since| now.since(since) >= MAX_PARKED) {
            self.relief_until = now + RELIEF;
        }
        usize::from(now < self.relief_until)
    }

    /// Maximum number of batch streams without online ones, such that a request that arrives in a
    /// step need not wait too long for its end.
    fn idle_limit(&self) -> usize {
        let max = self.settings.streams;
        let Some(bound) = self.step_bound() else {
            return max;
        };
        self.cost_model.within(bound).unwrap_or(max).clamp(1, max)
    }

    pub(super) fn start_online(&mut self, now: Time, actions: &mut Vec<JobAction>) {
        while self.running() < self.settings.streams {
            let has_suspect = self.has_suspect();
            let next = self
                .queue
                .pop_if(|waiting| !(waiting.suspect && has_suspect));
            let Some(next) = next else {
                return;
            };
            let waiting = next.item;
            self.dequeued(waiting);
            let stream = self.stream(now, waiting, waiting.context);
            self.online.insert(waiting.job, stream);
            actions.push(JobAction::Start(waiting.job));
        }
    }

    pub(super) fn dequeued(&mut self, waiting: Waiting) {
        self.tickets.remove(&waiting.job);
        self.queued = self.queued.saturating_sub(u64::from(waiting.context));
    }

    pub(super) fn park_youngest(&mut self, now: Time, actions: &mut Vec<JobAction>) {
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
        actions.push(JobAction::Park(job));
        // A stream in its first prefill has no KV cache yet and is started again.
        if stream.is_prefilling() && stream.parked.is_none() {
            self.ready.push_front(waiting);
        } else {
            self.parked.insert(job, waiting);
        }
    }

    pub(super) fn fill_batch(&mut self, now: Time, limit: usize, actions: &mut Vec<JobAction>) {
        while self.batch.len() < limit {
            if let Some((waiting, prefill)) = self.next_parked(now) {
                let mut stream = self.stream(now, waiting, prefill);
                stream.parked = Some(now.since(waiting.since));
                self.batch.insert(waiting.job, stream);
                actions.push(JobAction::Resume(waiting.job));
                continue;
            }
            let Some(waiting) = self.next_ready(now) else {
                break;
            };
            let stream = self.stream(now, waiting, waiting.context);
            self.batch.insert(waiting.job, stream);
            actions.push(JobAction::Start(waiting.job));
        }
    }

    /// Removes the oldest parked job that may be resumed; returned with the tokens that need
    /// prefill again.
    fn next_parked(&mut self, now: Time) -> Option<(Waiting, u32)> {
        let mut found = None;
        let has_suspect = self.has_suspect();
        let parked: Vec<Waiting> = self.parked.values().copied().collect();
        for (index, waiting) in parked.into_iter().enumerate() {
            if waiting.suspect && has_suspect {
                continue;
            }
            let prefill = if self.retention.is_kept(now.since(waiting.since)) {
                0
            } else {
                waiting.context
            };
            if prefill == 0 || self.may_prefill(now, prefill, index == 0) {
                found = Some((waiting, prefill));
                break;
            }
        }
        let (waiting, prefill) = found?;
        self.parked.remove(&waiting.job);
        Some((waiting, prefill))
    }

    /// Removes the first ready item that may start now; a long prompt does not block short ones
    /// behind it.
    fn next_ready(&mut self, now: Time) -> Option<Waiting> {
        let has_suspect = self.has_suspect();
        let first = self.parked.is_empty();
        for index in 0..self.ready.len() {
            let waiting = self.ready[index];
            if waiting.suspect && has_suspect {
                continue;
            }
            if self.may_prefill(now, waiting.context, first && index == 0) {
                return self.ready.remove(index);
            }
        }
        None
    }

    /// Whether the prefill of a batch prompt may start now, charging it to a budget.
    ///
    /// The engine runs a prefill in a single step, which delays all streams and every request that
    /// arrives during it.
    fn may_prefill(&mut self, now: Time, prompt: u32, first: bool) -> bool {
        let ahead = self.batch_prefill();
        if self.is_busy() {
            let free =
                first && ahead == 0 && self.busy_budget.take(self.cost_model.step(self.running()));
            if !free {
                return false;
            }
        }
        let cost = self.cost_model.prefill_time(ahead.saturating_add(prompt));
        let step = self.cost_model.step(self.running() + 1) + cost;
        if ahead > 0 && cost.is_zero() {
            // Without a known prefill cost, one prompt at a time, so that it can be measured.
            return false;
        }
        if self.is_idle_long(now, cost) {
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
            .cost(self.cost_model.step(self.running()) + self.cost_model.prefill_time(ahead));
        self.idle_budget
            .overdraw(self.tail.cost(step).saturating_sub(before))
    }

    /// Whether there have been no online requests for so long that one is unlikely to arrive
    /// during a prefill of this length.
    fn is_idle_long(&self, now: Time, cost: Duration) -> bool {
        let span = cost.div_f64(self.settings.balance.risk()).min(LONG_IDLE);
        !self.is_busy() && now.since(self.idle_from) >= span
    }

    fn stream(&mut self, now: Time, waiting: Waiting, prefill: u32) -> Stream {
        self.changed = now;
        Stream {
            arrived: waiting.since,
            sent: now,
            context: waiting.context,
            prefill,
            parked: None,
            others: self.running(),
            first: None,
            last: None,
            alone: waiting.alone,
            suspect: waiting.suspect,
        }
    }
}
