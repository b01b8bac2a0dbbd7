//! Targets that said in an answer that they are leaving.

use std::{collections::BTreeMap, time::Duration};

use clem_types::Time;

/// How long a target is remembered that the list doesn't name: longer than a list is incomplete.
const UNLISTED_KEEP: Duration = Duration::from_secs(60);
/// Maximum number of targets that are remembered; beyond it the oldest is dropped.
const TARGETS_MAX: usize = 4096;

/// Targets that said in an answer that they are leaving, by id.
///
/// It is a fact about one incarnation: the platform's list, good answers and a new leader don't undo
/// it. See `docs/design/platform.md`, "Leaving targets".
#[derive(Debug, Default)]
pub struct LeavingTargets {
    since: BTreeMap<String, Time>,
}

impl LeavingTargets {
    /// Records that a target is leaving and returns whether that is news.
    pub fn note(&mut self, now: Time, target: &str) -> bool {
        if self.since.contains_key(target) {
            return false;
        }
        if self.since.len() >= TARGETS_MAX {
            let oldest = self.since.iter().min_by_key(|(_, since)| **since);
            if let Some(oldest) = oldest.map(|(target, _)| target.clone()) {
                self.since.remove(&oldest);
            }
        }
        self.since.insert(target.to_owned(), now);
        true
    }

    /// Whether a target is leaving.
    pub fn contains(&self, target: &str) -> bool {
        self.since.contains_key(target)
    }

    /// Whether a target is leaving for `bound` or longer, after which it must get no request.
    pub fn is_closed(&self, now: Time, target: &str, bound: Duration) -> bool {
        let since = self.since.get(target);
        since.is_some_and(|since| now.since(*since) >= bound)
    }

    /// The ids of the leaving targets.
    pub fn ids(&self) -> impl Iterator<Item = &String> {
        self.since.keys()
    }

    /// Forgets targets that are gone from the list.
    pub fn retain(&mut self, now: Time, is_listed: impl Fn(&str) -> bool) {
        self.since
            .retain(|target, since| is_listed(target) || now.since(*since) < UNLISTED_KEEP);
    }
}
