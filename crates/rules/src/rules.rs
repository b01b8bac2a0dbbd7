//! The validated set of all rules, and the difference between two sets.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};

use clem_types::{
    CustomerId, Key as SecretKey, KeyHash, KeyId, ModelId, PlacementId, RouteId, TargetId, Version,
};
use serde::{Deserialize, Serialize};

use crate::{Customer, Key, Model, Placement, Route, Rule, RuleName, Target};

/// The rules of one version.
///
/// Each process that applies rules to requests has a copy, which it replaces or updates with a
/// [`Delta`]. Keys are indexed by hash, so that authentication doesn't scan all keys.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Rules {
    version: Version,
    customers: BTreeMap<CustomerId, Customer>,
    keys: BTreeMap<KeyId, Key>,
    models: BTreeMap<ModelId, Model>,
    placements: BTreeMap<PlacementId, Placement>,
    routes: BTreeMap<RouteId, Route>,
    targets: BTreeMap<TargetId, Target>,
    hashes: HashMap<KeyHash, KeyId>,
}

/// The difference between two versions of the rules.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The version that the delta applies to; 0 if it holds a full set.
    pub from: Version,
    /// The version after the delta is applied.
    pub to: Version,
    /// Rules that were added or changed.
    pub put: Vec<(RuleName, Rule)>,
    /// Names of the rules that were removed.
    pub removed: Vec<RuleName>,
}

impl Rules {
    /// The version of this set; 0 for the initial, empty set.
    pub fn version(&self) -> Version {
        self.version
    }

    /// All customers, ordered by id.
    pub fn customers(&self) -> &BTreeMap<CustomerId, Customer> {
        &self.customers
    }

    /// All keys, ordered by key id.
    pub fn keys(&self) -> &BTreeMap<KeyId, Key> {
        &self.keys
    }

    /// All models, ordered by id.
    pub fn models(&self) -> &BTreeMap<ModelId, Model> {
        &self.models
    }

    /// All placements, ordered by id.
    pub fn placements(&self) -> &BTreeMap<PlacementId, Placement> {
        &self.placements
    }

    /// All routes, ordered by id.
    pub fn routes(&self) -> &BTreeMap<RouteId, Route> {
        &self.routes
    }

    /// All targets, ordered by id.
    pub fn targets(&self) -> &BTreeMap<TargetId, Target> {
        &self.targets
    }

    /// Returns a copy of the rule called `name`. Request handling uses the typed maps instead,
    /// which avoid the copy.
    pub fn get(&self, name: &RuleName) -> Option<Rule> {
        match name {
            RuleName::Customer(id) => self.customers.get(id).cloned().map(Rule::Customer),
            RuleName::Key(id) => self.keys.get(id).cloned().map(Rule::Key),
            RuleName::Model(id) => self.models.get(id).cloned().map(Rule::Model),
            RuleName::Placement(id) => self.placements.get(id).cloned().map(Rule::Placement),
            RuleName::Route(id) => self.routes.get(id).cloned().map(Rule::Route),
            RuleName::Target(id) => self.targets.get(id).cloned().map(Rule::Target),
        }
    }

    /// Copies of all rules, ordered by name.
    pub fn all(&self) -> Vec<(RuleName, Rule)> {
        let mut all = Vec::new();
        all.extend(
            self.customers
                .iter()
                .map(|(id, rule)| (RuleName::Customer(id.clone()), Rule::Customer(rule.clone()))),
        );
        all.extend(
            self.keys
                .iter()
                .map(|(id, rule)| (RuleName::Key(id.clone()), Rule::Key(rule.clone()))),
        );
        all.extend(
            self.models
                .iter()
                .map(|(id, rule)| (RuleName::Model(id.clone()), Rule::Model(rule.clone()))),
        );
        all.extend(self.placements.iter().map(|(id, rule)| {
            (
                RuleName::Placement(id.clone()),
                Rule::Placement(rule.clone()),
            )
        }));
        all.extend(
            self.routes
                .iter()
                .map(|(id, rule)| (RuleName::Route(id.clone()), Rule::Route(rule.clone()))),
        );
        all.extend(
            self.targets
                .iter()
                .map(|(id, rule)| (RuleName::Target(id.clone()), Rule::Target(rule.clone()))),
        );
        all
    }

    /// Looks up the rule of a key by its hash. The hashes are compared in constant time.
    pub fn authenticate(&self, key: &SecretKey) -> Option<(&KeyId, &Key)> {
        let hash = key.hash();
        let id = self.hashes.get(&hash)?;
        let (id, key) = self.keys.get_key_value(id)?;
        (key.hash == hash).then_some((id, key))
    }

    /// The target with this address, if there is one.
    pub fn target_by_address(&self, address: SocketAddr) -> Option<(&TargetId, &Target)> {
        self.targets
            .iter()
            .find(|(_, target)| target.address == address)
    }

    /// Computes the delta from this set to `next`.
    pub fn delta_to(&self, next: &Self) -> Delta {
        let before: BTreeMap<RuleName, Rule> = self.all().into_iter().collect();
        let mut put = Vec::new();
        for (name, rule) in next.all() {
            if before.get(&name) == Some(&rule) {
                continue;
            }
            put.push((name, rule));
        }
        let mut removed = Vec::new();
        for name in before.into_keys() {
            if next.get(&name).is_none() {
                removed.push(name);
            }
        }
        Delta {
            from: self.version,
            to: next.version,
            put,
            removed,
        }
    }

    /// The full set as a delta from version 0.
    pub fn full_delta(&self) -> Delta {
        Delta {
            from: Version(0),
            to: self.version,
            put: self.all(),
            removed: Vec::new(),
        }
    }

    /// Applies `delta`; returns whether it was applicable.
    ///
    /// A delta from version 0 replaces the set. Any other delta applies only to the version that it
    /// was computed from. A delta to an older or equal version never applies, so that the version
    /// never decreases.
    #[must_use]
    pub fn apply(&mut self, delta: Delta) -> bool {
        if delta.to <= self.version {
            return false;
        }
        if delta.from == Version(0) {
            *self = Self::default();
        } else if delta.from != self.version {
            return false;
        }
        for name in delta.removed {
            self.remove(&name);
        }
        for (name, rule) in delta.put {
            self.insert(name, rule);
        }
        self.version = delta.to;
        true
    }

    /// Returns the same rules with this version.
    #[must_use]
    pub fn with_version(mut self, version: Version) -> Self {
        self.version = version;
        self
    }

    /// Inserts or replaces the rule called `name`. Its kind must be that of its name; otherwise,
    /// debug builds panic and release builds ignore it.
    pub fn insert(&mut self, name: RuleName, rule: Rule) {
        match (name, rule) {
            (RuleName::Customer(id), Rule::Customer(rule)) => {
                self.customers.insert(id, rule);
            }
            (RuleName::Key(id), Rule::Key(rule)) => {
                self.remove(&RuleName::Key(id.clone()));
                self.hashes.insert(rule.hash, id.clone());
                self.keys.insert(id, rule);
            }
            (RuleName::Model(id), Rule::Model(rule)) => {
                self.models.insert(id, rule);
            }
            (RuleName::Placement(id), Rule::Placement(rule)) => {
                self.placements.insert(id, rule);
            }
            (RuleName::Route(id), Rule::Route(rule)) => {
                self.routes.insert(id, rule);
            }
            (RuleName::Target(id), Rule::Target(rule)) => {
                self.targets.insert(id, rule);
            }
            (name, _) => debug_assert!(false, "{name} doesn't match the kind of its rule"),
        }
    }

    fn remove(&mut self, name: &RuleName) {
        match name {
            RuleName::Customer(id) => {
                self.customers.remove(id);
            }
            RuleName::Key(id) => {
                let Some(key) = self.keys.remove(id) else {
                    return;
                };
                if self.hashes.get(&key.hash) == Some(id) {
                    self.hashes.remove(&key.hash);
                }
            }
            RuleName::Model(id) => {
                self.models.remove(id);
            }
            RuleName::Placement(id) => {
                self.placements.remove(id);
            }
            RuleName::Route(id) => {
                self.routes.remove(id);
            }
            RuleName::Target(id) => {
                self.targets.remove(id);
            }
        }
    }
}
