//! The checked set of all rules, and the change from one set to the next.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};

use clem_types::{
    CustomerId, Key as SecretKey, KeyHash, KeyId, ModelId, PlacementId, RouteId, RulesVersion,
    TargetId,
};
use serde::{Deserialize, Serialize};

use crate::{Customer, Key, Model, Place, Route, Rule, RuleName, Target};

/// The rules of one version.
///
/// Every process that decides holds one, replaced whole or moved on by a [`Delta`]. Look-ups by
/// key take constant time, so that no request walks all keys.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Rules {
    version: RulesVersion,
    customers: BTreeMap<CustomerId, Customer>,
    keys: BTreeMap<KeyId, Key>,
    models: BTreeMap<ModelId, Model>,
    places: BTreeMap<PlacementId, Place>,
    routes: BTreeMap<RouteId, Route>,
    targets: BTreeMap<TargetId, Target>,
    hashes: HashMap<KeyHash, KeyId>,
}

/// The change from one version of the rules to a later one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The version that the change starts from; 0 for a whole set.
    pub from: RulesVersion,
    /// The version that it leads to.
    pub to: RulesVersion,
    /// Rules that are new or different.
    pub put: Vec<(RuleName, Rule)>,
    /// Rules that are gone.
    pub removed: Vec<RuleName>,
}

impl Rules {
    /// The version of this set; 0 for the empty set before the first change.
    pub fn version(&self) -> RulesVersion {
        self.version
    }

    /// The customers by id.
    pub fn customers(&self) -> &BTreeMap<CustomerId, Customer> {
        &self.customers
    }

    /// The keys by id.
    pub fn keys(&self) -> &BTreeMap<KeyId, Key> {
        &self.keys
    }

    /// The models by id.
    pub fn models(&self) -> &BTreeMap<ModelId, Model> {
        &self.models
    }

    /// The placements by id.
    pub fn places(&self) -> &BTreeMap<PlacementId, Place> {
        &self.places
    }

    /// The routes by id.
    pub fn routes(&self) -> &BTreeMap<RouteId, Route> {
        &self.routes
    }

    /// The targets by id.
    pub fn targets(&self) -> &BTreeMap<TargetId, Target> {
        &self.targets
    }

    /// The rule under `name`, copied; for tools, not for requests.
    pub fn get(&self, name: &RuleName) -> Option<Rule> {
        match name {
            RuleName::Customer(id) => self.customers.get(id).cloned().map(Rule::Customer),
            RuleName::Key(id) => self.keys.get(id).cloned().map(Rule::Key),
            RuleName::Model(id) => self.models.get(id).cloned().map(Rule::Model),
            RuleName::Place(id) => self.places.get(id).cloned().map(Rule::Place),
            RuleName::Route(id) => self.routes.get(id).cloned().map(Rule::Route),
            RuleName::Target(id) => self.targets.get(id).cloned().map(Rule::Target),
        }
    }

    /// All rules in the order of their names.
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
        all.extend(
            self.places
                .iter()
                .map(|(id, rule)| (RuleName::Place(id.clone()), Rule::Place(rule.clone()))),
        );
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

    /// Finds whose key this is; the key is hashed, and hashes are compared in constant time.
    pub fn authenticate(&self, key: &SecretKey) -> Option<(&KeyId, &Key)> {
        let hash = key.hash();
        let id = self.hashes.get(&hash)?;
        let (id, key) = self.keys.get_key_value(id)?;
        (key.hash == hash).then_some((id, key))
    }

    /// The target whose rule names this address.
    pub fn target_at(&self, address: SocketAddr) -> Option<(&TargetId, &Target)> {
        self.targets
            .iter()
            .find(|(_, target)| target.address == address)
    }

    /// The change that leads from this set to `next`, for a holder of this version.
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

    /// The whole set as a change from nothing.
    pub fn whole(&self) -> Delta {
        Delta {
            from: RulesVersion(0),
            to: self.version,
            put: self.all(),
            removed: Vec::new(),
        }
    }

    /// Moves this set on by `delta`; says whether it fitted.
    ///
    /// A change from version 0 replaces the set. Any other change fits only on the version that
    /// it starts from. A change to an older or equal version never fits, so that versions never
    /// go down.
    #[must_use]
    pub fn apply(&mut self, delta: Delta) -> bool {
        if delta.to <= self.version {
            return false;
        }
        if delta.from == RulesVersion(0) {
            *self = Self::default();
        } else if delta.from != self.version {
            return false;
        }
        for name in delta.removed {
            self.remove(&name);
        }
        for (name, rule) in delta.put {
            self.put(name, rule);
        }
        self.version = delta.to;
        true
    }

    /// Sets the version; used by the parser for a checked file.
    #[must_use]
    pub fn with_version(mut self, version: RulesVersion) -> Self {
        self.version = version;
        self
    }

    /// Puts `rule` under `name`; a rule of another kind than its name is passed over.
    pub fn put(&mut self, name: RuleName, rule: Rule) {
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
            (RuleName::Place(id), Rule::Place(rule)) => {
                self.places.insert(id, rule);
            }
            (RuleName::Route(id), Rule::Route(rule)) => {
                self.routes.insert(id, rule);
            }
            (RuleName::Target(id), Rule::Target(rule)) => {
                self.targets.insert(id, rule);
            }
            (name, _) => debug_assert!(false, "{name} names a rule of another kind"),
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
            RuleName::Place(id) => {
                self.places.remove(id);
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
