//! Placement by expected work: answers the load of targets whose speeds differ or change, where equal
//! slots take unequal time. See `docs/design/work-placement.md`.

use std::{fmt, str::FromStr, time::Duration};

use clem_types::Time;

use super::GrantOutcome;

/// Assumed service time of batch items until the first one has been answered.
const BATCH_START: f64 = 3.0;
/// Weight of a new sample in the moving average of batch items' service times.
const BATCH_GAIN: f64 = 0.05;
/// Weight of a new sample in a target's speed and in its share of failures.
const GAIN: f64 = 0.1;
/// Weight of a sample that is slow enough to show a target that has turned slow.
const SLOW_GAIN: f64 = 0.4;
/// A request that takes this many times what its target's speed predicts shows that the target has
/// turned slow. Outputs of one service differ by less than this for most requests.
const SLOW_RATIO: f64 = 2.5;
/// Bounds of a learned speed; outside them, samples are more likely errors than speeds.
const SPEED_MIN: f64 = 0.05;
const SPEED_MAX: f64 = 10.0;
/// Time after which a target without new samples has forgotten about two thirds of what was learned.
/// Without it, a target that was slow once would get no requests that show its recovery.
const MEMORY: Duration = Duration::from_secs(30);
/// Price of another data centre, as a part of the mean service time.
const FAR_PRICE: f64 = 0.25;
/// A target's share of the slots in use, as a multiple of its share of the service's speed.
const HERD_RATIO: f64 = 1.5;
/// Least expected remaining time of a running request, as a part of the mean service time.
const REMAINING_MIN: f64 = 0.125;
/// Largest share of failures that is believed, so that a failing target stays eligible.
const FAILED_MAX: f64 = 0.9;

/// How the target of a request is chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Placement {
    /// The target with the fewest slots in use.
    #[default]
    Slots,
    /// The target with the shortest expected finish.
    Work,
}

/// A text that names no [`Placement`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnknownPlacement;

impl fmt::Display for UnknownPlacement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected \"slots\" or \"work\"")
    }
}

impl std::error::Error for UnknownPlacement {}

impl FromStr for Placement {
    type Err = UnknownPlacement;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "slots" => Ok(Self::Slots),
            "work" => Ok(Self::Work),
            _ => Err(UnknownPlacement),
        }
    }
}

impl fmt::Display for Placement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Slots => "slots",
            Self::Work => "work",
        })
    }
}

/// Mean work of a service's requests, in seconds at a target of speed 1.
#[derive(Debug, Clone, Copy)]
pub(super) struct MeanWork {
    pub(super) online: f64,
    pub(super) batch: f64,
}

impl MeanWork {
    fn of(self, batch: bool) -> f64 {
        if batch { self.batch } else { self.online }
    }
}

/// Learned mean service time of a service's batch items.
#[derive(Debug, Default)]
pub(super) struct BatchMean(Option<f64>);

impl BatchMean {
    pub(super) fn get(&self) -> f64 {
        self.0.unwrap_or(BATCH_START)
    }

    pub(super) fn note(&mut self, took: Duration) {
        let mean = self.get();
        self.0 = Some(mean + (took.as_secs_f64() - mean) * BATCH_GAIN);
    }
}

/// Speed of a target relative to its peers, and what runs on it.
#[derive(Debug, Clone)]
pub(super) struct TargetWork {
    /// Requests in its slots: start and whether it is a batch item. At most as many as its slots.
    running: Vec<(Time, bool)>,
    /// Sums over `running`, which keep a decision free of a loop over requests.
    starts: [f64; 2],
    counts: [u32; 2],
    oldest: Option<Time>,
    /// Time per unit of work relative to the mean: the inverse of the speed.
    slowness: f64,
    failed: f64,
    learned: Time,
}

impl Default for TargetWork {
    fn default() -> Self {
        Self {
            running: Vec::new(),
            starts: [0.0; 2],
            counts: [0; 2],
            oldest: None,
            slowness: 1.0,
            failed: 0.0,
            learned: Time::ZERO,
        }
    }
}

impl TargetWork {
    pub(super) fn begin(&mut self, now: Time, batch: bool) {
        self.running.push((now, batch));
        self.sum();
    }

    /// Removes a request. Only whole answers of online requests show the speed: a batch item may have
    /// been resumed or recalled. A failure says nothing of it, however early it came.
    pub(super) fn end(
        &mut self,
        now: Time,
        batch: bool,
        since: Time,
        ended: GrantOutcome,
        mean: MeanWork,
    ) {
        let index = self.running.iter().position(|r| *r == (since, batch));
        if let Some(index) = index {
            self.running.swap_remove(index);
            self.sum();
        }
        if batch {
            return;
        }
        match ended {
            GrantOutcome::Answered => {
                self.forget(now);
                let sample = now.since(since).as_secs_f64() / mean.online.max(0.001);
                let sample = sample.clamp(1.0 / SPEED_MAX, 1.0 / SPEED_MIN);
                let is_slow = sample > self.slowness * SLOW_RATIO;
                let gain = if is_slow { SLOW_GAIN } else { GAIN };
                self.slowness += (sample - self.slowness) * gain;
                self.failed -= self.failed * GAIN;
            }
            GrantOutcome::Failed
            | GrantOutcome::Crashed
            | GrantOutcome::Unreachable
            | GrantOutcome::Broken
            | GrantOutcome::Cut
            | GrantOutcome::Silent
            | GrantOutcome::Replaced => {
                self.forget(now);
                self.failed += (1.0 - self.failed) * GAIN;
            }
            GrantOutcome::Full | GrantOutcome::NotRun | GrantOutcome::Lost => {}
        }
    }

    fn sum(&mut self) {
        self.starts = [0.0; 2];
        self.counts = [0; 2];
        for (since, batch) in &self.running {
            self.starts[usize::from(*batch)] += since.since(Time::ZERO).as_secs_f64();
            self.counts[usize::from(*batch)] += 1;
        }
        let online = self.running.iter().filter(|(_, batch)| !batch);
        self.oldest = online.map(|(since, _)| *since).min();
    }

    /// The part of what was learned that still holds, from 0 to 1.
    fn kept(&self, now: Time) -> f64 {
        (-now.since(self.learned).as_secs_f64() / MEMORY.as_secs_f64()).exp()
    }

    fn forget(&mut self, now: Time) {
        let kept = self.kept(now);
        self.slowness = 1.0 + (self.slowness - 1.0) * kept;
        self.failed *= kept;
        self.learned = now;
    }

    /// Speed relative to its peers. An online request that has run for long counts before it ends.
    pub(super) fn speed(&self, now: Time, mean: MeanWork) -> f64 {
        let mut slowness = 1.0 + (self.slowness - 1.0) * self.kept(now);
        if let Some(oldest) = self.oldest {
            let age = now.since(oldest).as_secs_f64() / mean.online.max(0.001);
            if age > slowness * SLOW_RATIO {
                slowness += (age - slowness) * SLOW_GAIN;
            }
        }
        (1.0 / slowness).clamp(SPEED_MIN, SPEED_MAX)
    }

    /// Expected time until a request placed here has finished, in seconds; `slots` run concurrently.
    pub(super) fn finish(
        &self,
        now: Time,
        speed: f64,
        slots: u32,
        batch: bool,
        near: bool,
        mean: MeanWork,
    ) -> f64 {
        let time = now.since(Time::ZERO).as_secs_f64();
        let mut work = 0.0;
        for class in [false, true] {
            let index = usize::from(class);
            let count = f64::from(self.counts[index]);
            let all = count * mean.of(class);
            let done = (count * time - self.starts[index]) * speed;
            work += (all - done).max(all * REMAINING_MIN);
        }
        let own = mean.of(batch);
        let finish = (work / f64::from(slots.max(1)) + own) / speed;
        // A failure costs another attempt of the same length.
        let failed = (self.failed * self.kept(now)).min(FAILED_MAX);
        finish / (1.0 - failed) + if near { 0.0 } else { own * FAR_PRICE }
    }
}

/// Largest number of slots that a target may use with the next request: its share of all that are in
/// use, by `capacity` (slots times speed), with a margin. Keeps a wrong estimate from drawing all load.
pub(super) fn slot_cap(capacity: f64, total: f64, used: u32) -> f64 {
    let share = capacity / total.max(f64::MIN_POSITIVE);
    (HERD_RATIO * share * f64::from(used + 1)).ceil().max(1.0)
}
