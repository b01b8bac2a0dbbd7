//! Reports the learners of the group that this process leads, and what their promotion waits for.

use clem_log::LearnerStatus;
use clem_types::Time;
use metrics::gauge;

use super::LOG_INTERVAL;

/// When the learners were logged.
#[derive(Debug, Default)]
pub(super) struct Learners {
    /// Since when there have been any; `None` without one.
    since: Option<Time>,
    logged: Option<Time>,
}

impl Learners {
    /// Reports the learners at `now`. `ticked` is when the timers of the group's member ran last.
    pub(super) fn report(&mut self, now: Time, learners: &[LearnerStatus], ticked: Time) {
        let lag = learners.iter().map(|learner| learner.lag).max();
        gauge!("clem_control_learners").set(learners.len() as f64);
        gauge!("clem_control_learner_lag").set(lag.unwrap_or_default() as f64);
        if learners.is_empty() {
            *self = Self::default();
            return;
        }
        let since = *self.since.get_or_insert(now);
        if now.since(self.logged.unwrap_or(since)) < LOG_INTERVAL {
            return;
        }
        self.logged = Some(now);
        for learner in learners {
            log::info!(
                member:% = learner.id, address = learner.address.as_str(), lag = learner.lag,
                unheard_ms = learner.unheard.as_millis() as u64, hold = learner.hold.as_str(),
                ticked_ms = now.since(ticked).as_millis() as u64;
                "learner not promoted"
            );
        }
    }
}
