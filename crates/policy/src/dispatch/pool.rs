//! The queue and the targets of one service.

use std::{collections::BTreeMap, time::Duration};

use clem_types::Time;

use super::{GrantOutcome, SlotRequest, TargetSlots, Ticket, Urgency, Verdict, target::Target};

/// How long an online request holds its slot before any has been seen.
const HOLD_START: Duration = Duration::from_millis(500);
/// The weight of a new hold time in the average.
const HOLD_GAIN: f64 = 0.05;
/// The part of the usual time that a request is expected to go on for when it has held its slot
/// for longer than usual.
const OVERDUE_PART: u32 = 8;
/// One slot in this many is kept free of batch items, so that an online request finds one.
const RESERVE_SHARE: u32 = 12;
/// How many slots more a target of the own data centre may have in use and still be preferred.
const NEAR_BONUS: u32 = 1;
/// The share of the time that a request may wait which its expected wait may fill; the rest is for
/// requests that hold their slots longer than usual.
const WAIT_SHARE: f64 = 0.8;
/// The shortest time to come back after a refusal.
const RETRY_MIN: Duration = Duration::from_millis(50);
/// The longest time to come back after a refusal.
const RETRY_MAX: Duration = Duration::from_millis(1500);

/// The queue and the targets of one service.
#[derive(Debug, Default)]
pub struct Pool {
    targets: BTreeMap<String, Target>,
    waiting: Vec<Waiting>,
    /// When the running online requests got their slots.
    running: Vec<Time>,
    /// The average time that an online request holds its slot.
    hold: Option<Duration>,
    /// Counts asks, so that equal ones go by arrival.
    arrivals: u64,
}

/// What a pool looks like.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolView {
    /// Targets that are listed.
    pub targets: usize,
    /// Slots of listed targets.
    pub slots: u32,
    /// Slots that may be granted now.
    pub free: u32,
    /// Slots that online requests hold.
    pub online: u32,
    /// Slots that batch items hold.
    pub batch: u32,
    /// Requests that wait.
    pub waiting: usize,
}

/// A request that waits.
#[derive(Debug)]
struct Waiting {
    want: SlotRequest,
    arrival: u64,
    /// When it is refused.
    until: Time,
    /// When it is due, for an item.
    due: Time,
}

impl Pool {
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
                    let fresh = Target::new(slots.clone());
                    self.targets.insert(slots.target.clone(), fresh);
                }
            }
        }
        self.targets
            .retain(|_, target| target.listed || target.used() > 0);
        debug_assert!(now >= Time::ZERO, "time is an argument of every decision");
    }

    /// Refuses a request that could not be on time; none when it may wait for its turn.
    pub(super) fn judge(&self, now: Time, want: &SlotRequest) -> Option<Verdict> {
        let listed = self.targets.values().any(|t| t.listed);
        if !listed {
            return Some(Verdict::NoTarget);
        }
        if matches!(want.urgency, Urgency::Batch { .. }) {
            return None;
        }
        let wait = self.expected_wait(now, want)?;
        let bearable = if want.final_try {
            want.patience
        } else {
            want.on_time.mul_f64(WAIT_SHARE)
        };
        if wait <= bearable {
            return None;
        }
        let retry = (wait - bearable).clamp(RETRY_MIN, RETRY_MAX);
        Some(Verdict::Busy { retry, wait })
    }

    /// How long an online request would wait; none if there is a slot at once.
    fn expected_wait(&self, now: Time, want: &SlotRequest) -> Option<Duration> {
        let up: Vec<&Target> = self.targets.values().filter(|t| t.is_up(now)).collect();
        let slots: u32 = up.iter().map(|t| t.slots.slots).sum();
        let free: u32 = up.iter().map(|t| t.free(now)).sum();
        let batch: u32 = up.iter().map(|t| t.batch).sum();
        let ahead = self
            .waiting
            .iter()
            .filter(|w| matches!(w.want.urgency, Urgency::Online))
            .filter(|w| (w.want.final_try, w.want.rank) <= (want.final_try, want.rank));
        let ahead = u32::try_from(ahead.count()).unwrap_or(u32::MAX);
        // Slots of batch items come back within milliseconds.
        let missing = ahead.checked_sub(free + batch)?;
        let mut ends: Vec<Duration> = self.running.iter().map(|at| self.rest(now, *at)).collect();
        ends.sort_unstable();
        let hold = self.hold.unwrap_or(HOLD_START);
        if ends.is_empty() {
            return Some(hold / slots.max(1) * (missing + 1));
        }
        // The slot that comes free after those that others ahead get.
        let missing = missing as usize;
        let rounds = u32::try_from(missing / ends.len()).unwrap_or(u32::MAX);
        Some(ends[missing % ends.len()] + hold * rounds)
    }

    /// How much longer a request that began at `since` should hold its slot.
    fn rest(&self, now: Time, since: Time) -> Duration {
        let hold = self.hold.unwrap_or(HOLD_START);
        let rest = hold.saturating_sub(now.since(since));
        rest.max(hold / OVERDUE_PART)
    }

    pub(super) fn push(&mut self, now: Time, want: SlotRequest) {
        self.arrivals += 1;
        let due = match want.urgency {
            Urgency::Online => now,
            Urgency::Batch { due } => now + due,
        };
        self.waiting.push(Waiting {
            arrival: self.arrivals,
            until: now + want.patience,
            due,
            want,
        });
    }

    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<SlotRequest> {
        let place = self.waiting.iter().position(|w| w.want.ticket == ticket)?;
        Some(self.waiting.remove(place).want)
    }

    /// Takes out the requests of a holder that is gone: a grant would reach nobody.
    pub(super) fn forget(&mut self, holder: &str) -> Vec<SlotRequest> {
        let is_gone = |waiting: &mut Waiting| waiting.want.holder == holder;
        let forgotten = self.waiting.extract_if(.., is_gone);
        forgotten.map(|waiting| waiting.want).collect()
    }

    /// Takes out the requests whose time is over.
    pub(super) fn expire(&mut self, now: Time) -> Vec<(SlotRequest, Verdict)> {
        let mut over = Vec::new();
        let mut place = 0;
        while place < self.waiting.len() {
            if now < self.waiting[place].until {
                place += 1;
                continue;
            }
            let want = self.waiting.remove(place).want;
            let wait = want.patience;
            let retry = self.hold.unwrap_or(HOLD_START).clamp(RETRY_MIN, RETRY_MAX);
            over.push((want, Verdict::Busy { retry, wait }));
        }
        over
    }

    /// Gives free slots to the requests whose turn it is.
    pub(super) fn place(&mut self, now: Time) -> Vec<(SlotRequest, String)> {
        let mut placed = Vec::new();
        if self.waiting.is_empty() {
            return placed;
        }
        self.waiting.sort_by_key(turn);
        let reserve = self.reserve(now);
        let mut place = 0;
        while place < self.waiting.len() {
            let want = &self.waiting[place].want;
            let batch = matches!(want.urgency, Urgency::Batch { .. });
            let free: u32 = self.targets.values().map(|t| t.free(now)).sum();
            if free == 0 || (batch && free <= reserve) {
                break;
            }
            let Some(target) = self.choose(now, want) else {
                place += 1;
                continue;
            };
            let want = self.waiting.remove(place).want;
            if let Some(known) = self.targets.get_mut(&target) {
                known.occupy(now, batch);
            }
            if !batch {
                self.running.push(now);
            }
            placed.push((want, target));
        }
        placed
    }

    /// Slots that batch items leave free.
    fn reserve(&self, now: Time) -> u32 {
        let up = self.targets.values().filter(|t| t.is_up(now));
        let slots: u32 = up.map(|t| t.slots.slots).sum();
        slots / RESERVE_SHARE
    }

    /// The target with the fewest slots in use, rather in the data centre of whoever asks.
    fn choose(&self, now: Time, want: &SlotRequest) -> Option<String> {
        let mut best: Option<(u32, &Target)> = None;
        for target in self.targets.values() {
            if target.free(now) == 0 || want.avoid.contains(&target.slots.target) {
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

    /// How many slots online requests wait for.
    pub(super) fn shortage(&self) -> usize {
        let online = |w: &&Waiting| matches!(w.want.urgency, Urgency::Online);
        self.waiting.iter().filter(online).count()
    }

    pub(super) fn release(
        &mut self,
        now: Time,
        target: &str,
        batch: bool,
        since: Time,
        ended: GrantOutcome,
    ) {
        if !batch {
            if let Some(place) = self.running.iter().position(|at| *at == since) {
                self.running.swap_remove(place);
            }
            if ended == GrantOutcome::Answered {
                let hold = self.hold.unwrap_or(HOLD_START).as_secs_f64();
                let held = now.since(since).as_secs_f64();
                self.hold = Some(Duration::from_secs_f64(hold + (held - hold) * HOLD_GAIN));
            }
        }
        let Some(known) = self.targets.get_mut(target) else {
            return;
        };
        known.release(now, batch, ended);
        if !known.listed && known.used() == 0 {
            self.targets.remove(target);
        }
    }

    /// Counts a grant that a former leader gave.
    pub(super) fn occupy(&mut self, now: Time, target: &str, batch: bool) {
        if !batch {
            self.running.push(now);
        }
        if let Some(known) = self.targets.get_mut(target) {
            known.occupy(now, batch);
            return;
        }
        let mut fresh = Target::new(TargetSlots {
            target: target.to_owned(),
            data_centre: String::new(),
            slots: 0,
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
        }
    }
}

/// The order of turns: online requests by rank and arrival, then those of callers who have come
/// back, then batch items by due time.
fn turn(waiting: &Waiting) -> (u8, u8, Time, u64) {
    let rank = waiting.want.rank;
    match waiting.want.urgency {
        Urgency::Online if waiting.want.final_try => (1, rank, Time::ZERO, waiting.arrival),
        Urgency::Online => (0, rank, Time::ZERO, waiting.arrival),
        Urgency::Batch { .. } => (2, rank, waiting.due, waiting.arrival),
    }
}
