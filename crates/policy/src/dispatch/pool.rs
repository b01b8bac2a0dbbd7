//! The queue and the targets of one service.

use std::{collections::BTreeMap, time::Duration};

use clem_types::{SoftwareVersion, Time};

use super::{
    GrantOutcome, Pace, Placement, SlotRequest, TargetSlots, Ticket, Urgency, Verdict,
    target::Target,
    work::{BatchMean, MeanWork, slot_cap},
};

/// Assumed service time of online requests until the first one has been answered.
const SERVICE_START: Duration = Duration::from_millis(500);
/// Weight of a new sample in the moving average of service times.
const SERVICE_GAIN: f64 = 0.05;
/// A request that has run for longer than the mean service time is expected to take another
/// 1/`OVERDUE_PART` of it.
const OVERDUE_PART: u32 = 8;
/// One slot in this many is reserved for online requests, so that they need not wait for a batch
/// item to be preempted.
const RESERVE_SHARE: u32 = 12;
/// A target in the holder's data centre is preferred with up to this many more slots in use.
const NEAR_BONUS: u32 = 1;
/// Maximum expected queueing time as a fraction of the time that the request may wait; the rest
/// absorbs requests that run longer than expected.
const WAIT_SHARE: f64 = 0.8;
/// Maximum number of queued requests that are looked at one by one to predict a wait.
const AHEAD_MAX: u32 = 64;
/// Lower bound of retry delays.
const RETRY_MIN: Duration = Duration::from_millis(50);
/// Upper bound of retry delays.
const RETRY_MAX: Duration = Duration::from_millis(1500);

/// The queue and the targets of one service.
#[derive(Debug, Default)]
pub struct Pool {
    targets: BTreeMap<String, Target>,
    waiting: Vec<Waiting>,
    /// The running online requests.
    running: Vec<Running>,
    /// Moving average of the online requests' service time; `None` before the first answer.
    service_time: Option<Duration>,
    /// Learned service time of batch items.
    batch_mean: BatchMean,
    placement: Placement,
    /// Number of requests queued so far, which numbers them in order of arrival.
    arrivals: u64,
}

/// Counters of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolView {
    /// Number of listed targets.
    pub targets: usize,
    /// Total slots of the listed targets.
    pub slots: u32,
    /// Slots that may be granted now.
    pub free: u32,
    /// Slots in use by online requests.
    pub online: u32,
    /// Slots in use by batch items.
    pub batch: u32,
    /// Length of the queue, online and batch.
    pub waiting: usize,
    /// Number of listed targets that have named a limit.
    pub limited: usize,
}

/// What several limited targets take together.
#[derive(Debug, Default)]
struct CommonBudget {
    /// Number of requests that they take now.
    available: u32,
    per_s: f64,
}

/// An online request in a slot.
#[derive(Debug)]
struct Running {
    target: String,
    since: Time,
}

/// A queued request.
#[derive(Debug)]
struct Waiting {
    want: SlotRequest,
    arrival: u64,
    /// When the request is refused.
    expires: Time,
    /// When the batch item is due; the time of arrival for an online request.
    due: Time,
}

impl Pool {
    pub(super) fn set_placement(&mut self, placement: Placement) {
        self.placement = placement;
    }

    pub(super) fn set_targets(&mut self, now: Time, targets: &[TargetSlots]) {
        for target in self.targets.values_mut() {
            target.listed = false;
        }
        for slots in targets {
            match self.targets.get_mut(&slots.target) {
                Some(known) => {
                    known.slots = slots.clone();
                    known.listed = true;
                }
                None => {
                    let target = Target::new(slots.clone());
                    self.targets.insert(slots.target.clone(), target);
                }
            }
        }
        self.targets
            .retain(|_, target| target.listed || target.used() > 0);
        debug_assert!(now >= Time::ZERO, "time starts at zero");
    }

    /// Admission control: returns the refusal of a request that is expected to be late, or `None`
    /// if the request may be queued.
    pub(super) fn admit(&self, now: Time, want: &SlotRequest) -> Option<Verdict> {
        if !self.has_targets() {
            return Some(Verdict::NoTarget);
        }
        let mut listed = self.targets.values().filter(|t| t.listed);
        if !listed.any(|target| self.accepts(want, target)) {
            return Some(Verdict::Unresumable);
        }
        if matches!(want.urgency, Urgency::Batch { .. }) {
            return None;
        }
        let wait = self.expected_wait(now, want)?;
        let limit = if want.final_try {
            want.queue_timeout
        } else {
            want.on_time.mul_f64(WAIT_SHARE)
        };
        if wait <= limit {
            return None;
        }
        let retry = (wait - limit).clamp(RETRY_MIN, RETRY_MAX);
        Some(Verdict::Busy {
            retry,
            wait,
            suspected: false,
        })
    }

    /// Whether the platform lists any target for new work.
    pub(super) fn has_targets(&self) -> bool {
        self.targets.values().any(|target| target.listed)
    }

    /// Expected queueing time of an online request; `None` if a slot is free at once.
    fn expected_wait(&self, now: Time, want: &SlotRequest) -> Option<Duration> {
        let up: Vec<&Target> = self
            .targets
            .values()
            .filter(|t| t.is_up(now) && self.accepts(want, t))
            .collect();
        let slots: u32 = up.iter().map(|t| t.slots.slots).sum();
        let free: u32 = up.iter().map(|t| t.free(now)).sum();
        let preemptible = up.iter().filter(|t| t.has_budget(now, false));
        let batch: u32 = preemptible.map(|t| t.batch).sum();
        let ahead = self.ahead(want);
        // A batch item is preempted within milliseconds.
        let missing = ahead.checked_sub(free + batch)?;
        if up.iter().any(|t| t.budget.is_some()) {
            return Some(self.limited_wait(now, &up, missing));
        }
        let is_up = |target: &str| up.iter().any(|t| t.slots.target == target);
        let mut ends: Vec<Duration> = self
            .running
            .iter()
            .filter(|running| want.origin().is_none() || is_up(&running.target))
            .map(|running| self.remaining(now, running.since))
            .collect();
        ends.sort_unstable();
        let mean = self.service_time.unwrap_or(SERVICE_START);
        if ends.is_empty() {
            return Some(mean / slots.max(1) * (missing + 1));
        }
        // The requests ahead take the slots that become free first.
        let missing = missing as usize;
        let rounds = u32::try_from(missing / ends.len()).unwrap_or(u32::MAX);
        Some(ends[missing % ends.len()] + mean * rounds)
    }

    /// Expected queueing time behind `missing` other requests if some targets are limited: requests get
    /// the slots that become free at the other targets, and what the budgets gain.
    fn limited_wait(&self, now: Time, up: &[&Target], missing: u32) -> Duration {
        let missing = missing.min(AHEAD_MAX);
        let mean = self.service_time.unwrap_or(SERVICE_START);
        let ends: Vec<Duration> = self
            .running
            .iter()
            .filter(|running| self.is_unlimited(&running.target))
            .map(|running| self.remaining(now, running.since))
            .collect();
        let slots = u32::try_from(ends.len()).unwrap_or(u32::MAX);
        let rounds = missing / slots.max(1);
        let mut chances: Vec<Duration> = ends
            .iter()
            .flat_map(|end| (0..=rounds).map(|round| *end + mean * round))
            .collect();
        chances.sort_unstable();
        let latest = chances.get(missing as usize).copied();
        for budget in up.iter().filter_map(|target| target.budget.as_ref()) {
            let gains = (0..=missing).map(|place| budget.time_until(now, place));
            chances.extend(gains.take_while(|gain| latest.is_none_or(|latest| *gain < latest)));
        }
        chances.sort_unstable();
        chances.get(missing as usize).copied().unwrap_or(mean)
    }

    fn is_unlimited(&self, target: &str) -> bool {
        let target = self.targets.get(target);
        target.is_some_and(|target| target.budget.is_none())
    }

    /// Number of queued online requests that come before this one. Those that may go elsewhere don't
    /// stand before one that may not.
    fn ahead(&self, want: &SlotRequest) -> u32 {
        let ahead = self
            .waiting
            .iter()
            .filter(|w| want.origin().is_none() || w.want.origin() == want.origin())
            .filter(|w| matches!(w.want.urgency, Urgency::Online))
            .filter(|w| (w.want.final_try, w.want.rank) <= (want.final_try, want.rank));
        u32::try_from(ahead.count()).unwrap_or(u32::MAX)
    }

    /// What all targets that are up take together, if each of them is limited.
    fn common_budget(&self, now: Time) -> Option<CommonBudget> {
        let mut common = CommonBudget::default();
        for target in self.targets.values().filter(|t| t.is_up(now)) {
            let budget = target.budget.as_ref()?;
            common.available += budget.available(now);
            common.per_s += budget.per_second();
        }
        (common.per_s > 0.0).then_some(common)
    }

    /// Expected remaining service time of a request that started at `since`.
    fn remaining(&self, now: Time, since: Time) -> Duration {
        let mean = self.service_time.unwrap_or(SERVICE_START);
        let remaining = mean.saturating_sub(now.since(since));
        remaining.max(mean / OVERDUE_PART)
    }

    pub(super) fn push(&mut self, now: Time, want: SlotRequest) {
        self.arrivals += 1;
        let due = match want.urgency {
            Urgency::Online => now,
            Urgency::Batch { due } => now + due,
        };
        self.waiting.push(Waiting {
            arrival: self.arrivals,
            expires: now + want.queue_timeout,
            due,
            want,
        });
    }

    /// The process that waits for a slot with this ticket.
    pub(super) fn holder(&self, ticket: Ticket) -> Option<&str> {
        let waiting = self.waiting.iter().find(|w| w.want.ticket == ticket)?;
        Some(&waiting.want.holder)
    }

    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<SlotRequest> {
        let index = self.waiting.iter().position(|w| w.want.ticket == ticket)?;
        Some(self.waiting.remove(index).want)
    }

    /// Removes and returns the queued requests on which `verdict` decides.
    pub(super) fn reject(
        &mut self,
        mut verdict: impl FnMut(&SlotRequest) -> Option<Verdict>,
    ) -> Vec<(SlotRequest, Verdict)> {
        let mut rejected = Vec::new();
        let mut index = 0;
        while index < self.waiting.len() {
            match verdict(&self.waiting[index].want) {
                Some(verdict) => rejected.push((self.waiting.remove(index).want, verdict)),
                None => index += 1,
            }
        }
        rejected
    }

    /// Removes and returns the queued requests of a holder that timed out.
    pub(super) fn remove_holder(&mut self, holder: &str) -> Vec<SlotRequest> {
        let is_gone = |waiting: &mut Waiting| waiting.want.holder == holder;
        let removed = self.waiting.extract_if(.., is_gone);
        removed.map(|waiting| waiting.want).collect()
    }

    /// Removes and refuses the requests that have waited for their queue timeout.
    pub(super) fn expire(&mut self, now: Time) -> Vec<(SlotRequest, Verdict)> {
        let mut expired = Vec::new();
        let mut index = 0;
        while index < self.waiting.len() {
            if now < self.waiting[index].expires {
                index += 1;
                continue;
            }
            let want = self.waiting.remove(index).want;
            let wait = want.queue_timeout;
            let retry = self
                .service_time
                .unwrap_or(SERVICE_START)
                .clamp(RETRY_MIN, RETRY_MAX);
            let refused = Verdict::Busy {
                retry,
                wait,
                suspected: false,
            };
            expired.push((want, refused));
        }
        expired
    }

    /// Grants the free slots in queue order and returns the requests with their targets.
    pub(super) fn grant_free(&mut self, now: Time) -> Vec<(SlotRequest, String)> {
        let mut granted = Vec::new();
        if self.waiting.is_empty() {
            return granted;
        }
        self.waiting.sort_by_key(queue_key);
        let reserve = self.reserve(now);
        let mut index = 0;
        while index < self.waiting.len() {
            let want = &self.waiting[index].want;
            let batch = matches!(want.urgency, Urgency::Batch { .. });
            let free: u32 = self.targets.values().map(|t| t.free(now)).sum();
            if free == 0 || (batch && free <= reserve) {
                break;
            }
            let Some(target) = self.choose(now, want) else {
                index += 1;
                continue;
            };
            let want = self.waiting.remove(index).want;
            if let Some(known) = self.targets.get_mut(&target) {
                known.occupy(now, batch);
                if let Some(budget) = &mut known.budget {
                    budget.take(now);
                }
            }
            if !batch {
                self.running.push(Running {
                    target: target.clone(),
                    since: now,
                });
            }
            granted.push((want, target));
        }
        granted
    }

    /// Number of slots that batch items must leave free. Limited targets keep a part of their budgets for
    /// online requests instead.
    fn reserve(&self, now: Time) -> u32 {
        let unlimited = self.targets.values().filter(|t| t.budget.is_none());
        let usable: u32 = unlimited.map(|t| t.usable(now)).sum();
        usable / RESERVE_SHARE
    }

    fn choose(&self, now: Time, want: &SlotRequest) -> Option<String> {
        match self.placement {
            Placement::Slots => self.choose_by_slots(now, want),
            Placement::Work => self.choose_by_work(now, want),
        }
    }

    fn mean_work(&self) -> MeanWork {
        MeanWork {
            online: self.service_time.unwrap_or(SERVICE_START).as_secs_f64(),
            batch: self.batch_mean.get(),
        }
    }

    /// Chooses the target with the shortest expected finish. Targets above their cap are used only if no
    /// other may run the request, so that a cap keeps no slot empty.
    fn choose_by_work(&self, now: Time, want: &SlotRequest) -> Option<String> {
        let batch = matches!(want.urgency, Urgency::Batch { .. });
        let mean = self.mean_work();
        let mut total = 0.0;
        let mut used = 0;
        let mut eligible = Vec::new();
        for target in self.targets.values() {
            if !target.is_up(now) || !self.accepts(want, target) {
                continue;
            }
            let speed = target.work.speed(now, mean);
            let capacity = f64::from(target.slots.slots) * speed;
            total += capacity;
            used += target.used();
            let avoided = want.avoid.contains(&target.slots.target);
            if avoided || target.free(now) == 0 || !target.has_budget(now, batch) {
                continue;
            }
            eligible.push((target, speed, capacity));
        }
        let mut best: Option<(bool, f64, &Target)> = None;
        for (target, speed, capacity) in eligible {
            let above = f64::from(target.used() + 1) > slot_cap(capacity, total, used);
            let near = target.slots.data_centre == want.data_centre;
            let slots = target.slots.slots;
            let finish = target.work.finish(now, speed, slots, batch, near, mean);
            if best.is_none_or(|(least_above, least, _)| (above, finish) < (least_above, least)) {
                best = Some((above, finish, target));
            }
        }
        best.map(|(_, _, target)| target.slots.target.clone())
    }

    /// Chooses the target with the fewest slots in use, with a bonus for the holder's data centre.
    fn choose_by_slots(&self, now: Time, want: &SlotRequest) -> Option<String> {
        let batch = matches!(want.urgency, Urgency::Batch { .. });
        let mut best: Option<(u32, &Target)> = None;
        for target in self.targets.values() {
            if target.free(now) == 0 || want.avoid.contains(&target.slots.target) {
                continue;
            }
            if !self.accepts(want, target) {
                continue;
            }
            if !target.has_budget(now, batch) {
                continue;
            }
            let near = target.slots.data_centre == want.data_centre;
            let load = target.used() * 2 + if near { 0 } else { NEAR_BONUS * 2 + 1 };
            if best.is_none_or(|(least, _)| load < least) {
                best = Some((load, target));
            }
        }
        best.map(|(_, target)| target.slots.target.clone())
    }

    /// Number of slots that are short for queued online requests. Slots at targets whose limits are
    /// used up would not help them.
    pub(super) fn online_short(&self, now: Time) -> usize {
        let online = |w: &&Waiting| matches!(w.want.urgency, Urgency::Online);
        let waiting = self.waiting.iter().filter(online).count();
        match self.common_budget(now) {
            Some(budget) => waiting.min(budget.available as usize),
            None => waiting,
        }
    }

    /// Whether a queued online request could use a slot of this target if one were free.
    pub(super) fn is_wanted(&self, now: Time, target: &str) -> bool {
        let Some(target) = self.targets.get(target) else {
            return false;
        };
        let mut online = self
            .waiting
            .iter()
            .filter(|w| matches!(w.want.urgency, Urgency::Online));
        target.has_budget(now, false) && online.any(|w| self.accepts(&w.want, target))
    }

    /// Whether a target may run a request: a stream goes on only at the version that began it.
    /// Versions that aren't named can't be compared, but a service may have none at all.
    fn accepts(&self, want: &SlotRequest, target: &Target) -> bool {
        let Some(origin) = want.origin() else {
            return true;
        };
        if origin.version.is_some() {
            return origin.version == target.slots.version;
        }
        self.targets.values().all(|t| t.slots.version.is_none())
    }

    /// The version of a target's software.
    pub(super) fn version(&self, target: &str) -> Option<SoftwareVersion> {
        self.targets.get(target)?.slots.version.clone()
    }

    /// Installs how many requests a target may get; returns false for an unknown target.
    pub(super) fn set_pace(&mut self, now: Time, target: &str, pace: Option<Pace>) -> bool {
        let Some(target) = self.targets.get_mut(target) else {
            return false;
        };
        target.set_pace(now, pace);
        true
    }

    pub(super) fn release(
        &mut self,
        now: Time,
        target: &str,
        batch: bool,
        since: Time,
        ended: GrantOutcome,
    ) {
        // Before the mean takes this sample in, which would bias the ratio towards 1.
        let mean = self.mean_work();
        if batch && ended == GrantOutcome::Answered {
            self.batch_mean.note(now.since(since));
        }
        if !batch {
            let is_it = |r: &Running| r.since == since && r.target == target;
            if let Some(index) = self.running.iter().position(is_it) {
                self.running.swap_remove(index);
            }
            if ended == GrantOutcome::Answered {
                let mean = self.service_time.unwrap_or(SERVICE_START).as_secs_f64();
                let took = now.since(since).as_secs_f64();
                self.service_time =
                    Some(Duration::from_secs_f64(mean + (took - mean) * SERVICE_GAIN));
            }
        }
        let Some(known) = self.targets.get_mut(target) else {
            return;
        };
        known.release(now, batch, ended);
        known.work.end(now, batch, since, ended, mean);
        if !known.listed && known.used() == 0 {
            self.targets.remove(target);
        }
    }

    /// Counts a grant of a former leader; its target may be unknown here.
    pub(super) fn occupy(&mut self, now: Time, target: &str, batch: bool) {
        if !batch {
            self.running.push(Running {
                target: target.to_owned(),
                since: now,
            });
        }
        if let Some(known) = self.targets.get_mut(target) {
            known.occupy(now, batch);
            return;
        }
        let mut fresh = Target::new(TargetSlots {
            target: target.to_owned(),
            data_centre: String::new(),
            slots: 0,
            version: None,
        });
        fresh.listed = false;
        fresh.occupy(now, batch);
        self.targets.insert(target.to_owned(), fresh);
    }

    pub(super) fn view(&self, now: Time) -> PoolView {
        let listed = || self.targets.values().filter(|t| t.listed);
        PoolView {
            targets: listed().count(),
            slots: listed().map(|t| t.slots.slots).sum(),
            free: listed().map(|t| t.free(now)).sum(),
            online: self.targets.values().map(|t| t.online).sum(),
            batch: self.targets.values().map(|t| t.batch).sum(),
            waiting: self.waiting.len(),
            limited: listed().filter(|t| t.budget.is_some()).count(),
        }
    }
}

/// Sort key of the queue: first attempts of online requests by rank and arrival, then second
/// attempts, then batch items by rank and due time.
fn queue_key(waiting: &Waiting) -> (u8, u8, Time, u64) {
    let rank = waiting.want.rank;
    match waiting.want.urgency {
        Urgency::Online if waiting.want.final_try => (1, rank, Time::ZERO, waiting.arrival),
        Urgency::Online => (0, rank, Time::ZERO, waiting.arrival),
        Urgency::Batch { .. } => (2, rank, waiting.due, waiting.arrival),
    }
}
