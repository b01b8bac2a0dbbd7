//! The rules in force and the latest changes that led to them.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use clem_rules::{Delta, Rule, RuleName, Rules};
use clem_types::RulesVersion;

/// How many changes are kept; a holder that is further behind gets the whole set.
const MAX_CHANGES: usize = 64;

/// The rules in force and the latest changes that led to them.
#[derive(Debug, Default)]
pub struct History {
    rules: Arc<Rules>,
    changes: VecDeque<Delta>,
}

impl History {
    /// Starts from the rules in force, without knowing how they came about.
    pub fn new(rules: Rules) -> Self {
        Self {
            rules: Arc::new(rules),
            changes: VecDeque::new(),
        }
    }

    /// The rules in force.
    pub fn rules(&self) -> &Arc<Rules> {
        &self.rules
    }

    /// Moves on to a newer version; an older one is passed over.
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

    /// The change for a holder of version `from`; none when it is up to date.
    pub fn delta(&self, from: RulesVersion) -> Option<Delta> {
        let to = self.rules.version();
        if from >= to {
            return None;
        }
        let start = self.changes.iter().position(|delta| delta.from == from);
        let Some(start) = start else {
            return Some(self.rules.whole());
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
