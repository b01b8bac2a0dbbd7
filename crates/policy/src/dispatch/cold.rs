//! Targets that are cold: just started, they take only a few requests a second and crash well above
//! that.
//!
//! The expected load is the return of many targets at once, after a failure or the evacuation of a
//! data centre, while callers ask for more than the warm targets can run. The platform's list says how
//! long a target stays cold, but late, so a target that may have restarted is presumed cold until the
//! list can know better. The leader keeps one budget for each cold target, as for limited ones. Processes
//! without a leader use cold targets only if the service has no other.
//!
//! See `docs/design/cold-targets.md`.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use clem_types::{Rate, Time};
use serde::{Deserialize, Serialize};

use super::GrantOutcome;

/// Longest time for which a target is believed to stay cold without a later reading of the list.
const COLD_MAX: Duration = Duration::from_secs(3600);
/// Maximum number of targets that are remembered; the largest list that is accepted has fewer of one
/// service.
const TARGETS_MAX: usize = 16_384;

/// A target as one reading of the platform's list shows it.
#[derive(Debug, Clone, Copy)]
pub struct ListedTarget<'a> {
    /// Id of the target.
    pub target: &'a str,
    /// Service that it belongs to.
    pub service: &'a str,
    /// How much longer it stays cold; zero for a warm target.
    pub cold_left: Duration,
}

/// A cold target, as processes tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdTarget {
    /// Id of the target.
    pub target: String,
    /// How much longer it stays cold, in milliseconds.
    pub left_ms: u32,
}

/// A target that has turned cold or warm, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ColdNews {
    /// Id of the target.
    pub target: String,
    /// Requests a second that it may get; `None` if it is warm now.
    pub rate: Option<Rate>,
}

/// Which targets are cold, as far as one process knows.
#[derive(Debug, Default)]
pub struct ColdTargets {
    /// Requests a second that cold targets of each service take. Other services have no cold targets.
    rates: HashMap<String, Rate>,
    /// How far the platform's list lags behind.
    lag: Duration,
    /// Whether the list has been read, so that targets which appear in it have just started.
    listed: bool,
    /// The listed targets of services with a rate.
    known: BTreeMap<String, Known>,
}

#[derive(Debug)]
struct Known {
    service: String,
    /// Until when it stays cold by the last reading.
    until: Time,
    /// When it may have turned cold without the list saying so yet.
    presumed: Option<Time>,
    /// Whether it has failed and not answered since: it may be restarting.
    failed: bool,
    /// Whether it was reported as cold.
    reported: bool,
}

impl Known {
    fn new(service: &str) -> Self {
        Self {
            service: service.to_owned(),
            until: Time::ZERO,
            presumed: None,
            failed: false,
            reported: false,
        }
    }

    fn is_cold(&self, now: Time) -> bool {
        self.failed || self.presumed.is_some() || now < self.until
    }
}

impl ColdTargets {
    /// Sets how far the platform's list lags behind.
    pub fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Replaces the rates of cold targets, by service.
    pub fn set_rates(&mut self, rates: HashMap<String, Rate>) {
        self.rates = rates;
        self.known
            .retain(|_, known| self.rates.contains_key(&known.service));
    }

    /// Records a reading of the platform's list that began at `began`.
    pub fn note_listing<'a>(
        &mut self,
        now: Time,
        began: Time,
        targets: impl IntoIterator<Item = ListedTarget<'a>>,
    ) {
        let mut before = std::mem::take(&mut self.known);
        for listed in targets {
            if !self.rates.contains_key(listed.service) || self.known.len() >= TARGETS_MAX {
                continue;
            }
            let mut known = match before.remove(listed.target) {
                Some(known) if known.service == listed.service => known,
                Some(_) | None => {
                    let mut known = Known::new(listed.service);
                    known.presumed = self.listed.then_some(began);
                    known
                }
            };
            if listed.cold_left > Duration::ZERO {
                known.until = now + listed.cold_left.min(COLD_MAX);
                known.presumed = None;
            } else if known.presumed.is_none_or(|at| began >= at + self.lag) {
                known.until = Time::ZERO;
                known.presumed = None;
            }
            self.known.insert(listed.target.to_owned(), known);
        }
        self.listed = true;
    }

    /// Records that a target may have turned cold at `now` without the list saying so yet.
    pub fn presume(&mut self, now: Time, target: &str) {
        if let Some(known) = self.known.get_mut(target) {
            known.presumed = Some(now);
        }
    }

    /// Records how a request at a target ended: a failed target may come back cold.
    pub fn note_end(&mut self, now: Time, target: &str, ended: GrantOutcome) {
        let Some(known) = self.known.get_mut(target) else {
            return;
        };
        match ended {
            GrantOutcome::Unreachable | GrantOutcome::Crashed | GrantOutcome::Silent => {
                known.failed = true;
            }
            GrantOutcome::Answered | GrantOutcome::Failed if known.failed => {
                known.failed = false;
                known.presumed = Some(now);
            }
            GrantOutcome::Answered
            | GrantOutcome::Failed
            | GrantOutcome::Full
            | GrantOutcome::NotRun
            | GrantOutcome::Broken
            | GrantOutcome::Cut
            | GrantOutcome::Replaced
            | GrantOutcome::Lost => {}
        }
    }

    /// Takes over what the leader has published. It knows all targets of its list, so those that it
    /// doesn't name are warm.
    pub fn note_published(&mut self, now: Time, cold: &[ColdTarget]) {
        for known in self.known.values_mut() {
            known.until = Time::ZERO;
            known.presumed = None;
            known.failed = false;
        }
        for published in cold {
            if let Some(known) = self.known.get_mut(&published.target) {
                known.until = now + Duration::from_millis(published.left_ms.into());
            }
        }
    }

    /// Notes the targets of the leader's list, so that others count as just started later.
    pub fn note_targets<'a>(&mut self, targets: impl IntoIterator<Item = (&'a str, &'a str)>) {
        let mut before = std::mem::take(&mut self.known);
        for (target, service) in targets {
            if !self.rates.contains_key(service) || self.known.len() >= TARGETS_MAX {
                continue;
            }
            let known = before.remove(target).unwrap_or_else(|| Known::new(service));
            self.known.insert(target.to_owned(), known);
        }
        self.listed = true;
    }

    /// Requests a second that a target may get; `None` if it is warm.
    pub fn rate(&self, now: Time, target: &str) -> Option<Rate> {
        let known = self.known.get(target)?;
        if !known.is_cold(now) {
            return None;
        }
        self.rates.get(&known.service).copied()
    }

    /// Whether a process without a leader knows that a target is warm. One that it has never seen in the
    /// list may have just started.
    pub fn is_warm(&self, now: Time, target: &str, service: &str) -> bool {
        if !self.rates.contains_key(service) {
            return true;
        }
        self.known
            .get(target)
            .is_some_and(|known| !known.is_cold(now))
    }

    /// The rate of cold targets of a service; `None` if it has none.
    pub fn service_rate(&self, service: &str) -> Option<Rate> {
        self.rates.get(service).copied()
    }

    /// The targets that are cold, for other processes. One that is only presumed cold stays so for the
    /// list's lag at least.
    pub fn cold(&self, now: Time) -> Vec<ColdTarget> {
        let mut cold = Vec::new();
        for (target, known) in &self.known {
            if !known.is_cold(now) {
                continue;
            }
            let mut left = if now < known.until {
                known.until.since(now)
            } else {
                Duration::ZERO
            };
            if known.failed || known.presumed.is_some() {
                left = left.max(self.lag);
            }
            cold.push(ColdTarget {
                target: target.clone(),
                left_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
            });
        }
        cold
    }

    /// Removes and returns the targets that have turned cold or warm since the last call.
    pub fn take_news(&mut self, now: Time) -> Vec<ColdNews> {
        let mut news = Vec::new();
        for (target, known) in &mut self.known {
            let is_cold = known.is_cold(now);
            if is_cold == known.reported {
                continue;
            }
            known.reported = is_cold;
            let rate = self.rates.get(&known.service).copied();
            news.push(ColdNews {
                target: target.clone(),
                rate: rate.filter(|_| is_cold),
            });
        }
        news
    }
}
