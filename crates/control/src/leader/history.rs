//! The current rules and the latest changes to them, from which holders are updated.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use clem_rules::{Delta, Rule, RuleName, Rules};
use clem_types::Version;

/// Number of changes kept; a holder that is further behind receives the whole rule set.
const MAX_CHANGES: usize = 64;

/// The current rules and up to `MAX_CHANGES` changes that led to them.
#[derive(Debug, Default)]
pub struct History {
    rules: Arc<Rules>,
    changes: VecDeque<Delta>,
}

impl History {
    /// Starts with `rules` and no changes.
    pub fn new(rules: Rules) -> Self {
        Self {
            rules: Arc::new(rules),
            changes: VecDeque::new(),
        }
    }

    /// The newest rules.
    pub fn rules(&self) -> &Arc<Rules> {
        &self.rules
    }

    /// Adds a newer version; a version that is not newer is ignored.
    pub fn push(&mut self, next: Rules) {
        if next.version() <= self.rules.version() {
            return;
        }
        self.changes.push_back(self.rules.delta_to(&next));
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
        self.rules = Arc::new(next);
    }

    /// What a holder of version `from` needs to get the newest rules; `None` when it is up to date.
    ///
    /// The kept changes are merged into one; the whole rule set is sent where they do not reach
    /// back to `from`.
    pub fn delta(&self, from: Version) -> Option<Delta> {
        let to = self.rules.version();
        if from >= to {
            return None;
        }
        let start = self.changes.iter().position(|delta| delta.from == from);
        let Some(start) = start else {
            return Some(self.rules.full_delta());
        };
        let mut merged: BTreeMap<RuleName, Option<Rule>> = BTreeMap::new();
        for delta in self.changes.range(start..) {
            for name in &delta.removed {
                merged.insert(name.clone(), None);
            }
            for (name, rule) in &delta.put {
                merged.insert(name.clone(), Some(rule.clone()));
            }
        }
        let mut delta = Delta {
            from,
            to,
            put: Vec::new(),
            removed: Vec::new(),
        };
        for (name, rule) in merged {
            match rule {
                Some(rule) => delta.put.push((name, rule)),
                None => delta.removed.push(name),
            }
        }
        Some(delta)
    }
}
