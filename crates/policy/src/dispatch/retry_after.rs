//! When a refused caller should come back, and whether one has been here before.
//!
//! The load that this answers: more requests than slots for a second or two, of callers who come
//! back once. One that returns into the same crowd is refused for good, so returns are spread over
//! the time that the caller will honour; and one that has returned is not refused for being late,
//! as a late answer is better than none.

use std::{collections::HashMap, time::Duration};

/// The part of what is left of its time after which a caller returns at the latest.
const HONOURED_PART: u32 = 3;
/// The resolution at which callers' times are told apart.
const STEP: Duration = Duration::from_millis(20);
/// A caller with less than this share of the usual time has been refused before.
const RETURNED_BELOW: f64 = 0.97;
/// How many routes are known at most; with more, all are learned anew.
const ROUTES_MAX: usize = 1000;
/// How many callers of a route are counted before older ones count half.
const COUNTED_MAX: u32 = 1000;

/// When a refused caller should come back: not before there should be room, and spread over the
/// time for which it will wait; `draw` is from 0 to 1.
pub fn retry_after(draw: f64, room: Duration, left: Duration) -> Duration {
    let latest = left / HONOURED_PART;
    let spread = latest.saturating_sub(room);
    room + spread.mul_f64(draw.clamp(0.0, 1.0))
}

/// How long the callers of each route usually wait.
#[derive(Debug, Default)]
pub struct RouteTimeouts {
    routes: HashMap<String, Habit>,
}

#[derive(Debug, Default)]
struct Habit {
    /// Callers by the time that they wait, in steps.
    counts: HashMap<u128, u32>,
    counted: u32,
}

impl RouteTimeouts {
    /// Counts a caller; says whether it has most likely been refused before, as it has less time
    /// left than callers of this route usually bring.
    pub fn observe(&mut self, route: &str, patience: Duration) -> bool {
        if self.routes.len() >= ROUTES_MAX && !self.routes.contains_key(route) {
            self.routes.clear();
        }
        let habit = self.routes.entry(route.to_owned()).or_default();
        habit.count(patience);
        patience < habit.usual().mul_f64(RETURNED_BELOW)
    }
}

impl Habit {
    fn count(&mut self, patience: Duration) {
        let step = patience.as_millis() / STEP.as_millis();
        *self.counts.entry(step).or_default() += 1;
        self.counted += 1;
        if self.counted < COUNTED_MAX {
            return;
        }
        self.counted /= 2;
        for count in self.counts.values_mut() {
            *count /= 2;
        }
        self.counts.retain(|_, count| *count > 0);
    }

    /// The time that most callers bring; the longer of equal ones.
    fn usual(&self) -> Duration {
        let most = self
            .counts
            .iter()
            .max_by_key(|(step, count)| (**count, **step));
        let steps = most.map_or(0, |(step, _)| *step);
        STEP * u32::try_from(steps).unwrap_or(u32::MAX)
    }
}
