//! Constraints between rules, such as references and unique values. They are checked once the whole
//! file has been parsed.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use clem_types::{
    AdapterId, CustomerId, DataCentre, KeyHash, KeyId, ModelId, ModelVersion, ServiceId, TargetId,
};

use crate::{Finding, RuleName, Rules};

/// A condition that a rule places on the rest of the file.
#[derive(Debug)]
pub(super) enum Constraint {
    /// The customer is defined.
    Customer(CustomerId),
    /// The model is defined.
    Model(ModelId),
    /// The model is defined, unless the file defines no models at all.
    RouteModel(ModelId),
    /// The model, if it is defined, lists the adapter.
    Adapter(ModelId, AdapterId),
    /// At least one target runs the service.
    Service(ServiceId),
    /// The data centre has at least this many model engines.
    Replicas(DataCentre, u32),
    /// No other placement has the same model, version and data centre.
    Placement(ModelId, ModelVersion, DataCentre),
    /// No other key has the same hash.
    Hash(KeyId, KeyHash),
    /// No other target has the same address.
    Address(TargetId, SocketAddr),
}

/// The constraints of a file, each with the position at which a violation is reported.
#[derive(Debug, Default)]
pub(super) struct Constraints {
    constraints: Vec<(Finding, Constraint)>,
}

/// What constraints are checked against, with the unique values seen so far.
struct Context<'a> {
    rules: &'a Rules,
    names: &'a BTreeMap<RuleName, u32>,
    services: BTreeSet<&'a ServiceId>,
    engines: BTreeMap<&'a DataCentre, u32>,
    placements: BTreeSet<(ModelId, ModelVersion, DataCentre)>,
    hashes: BTreeMap<KeyHash, KeyId>,
    addresses: BTreeMap<SocketAddr, TargetId>,
    /// Whether a target rule is invalid, so that its service and data centre aren't known.
    incomplete: bool,
}

impl Constraints {
    /// Adds a constraint whose violation is reported at `at`.
    pub(super) fn add(&mut self, at: &Finding, constraint: Constraint) {
        self.constraints.push((at.clone(), constraint));
    }

    /// Checks all constraints. `names` also contains invalid rules, which count as defined.
    pub(super) fn check(
        self,
        rules: &Rules,
        names: &BTreeMap<RuleName, u32>,
        findings: &mut Vec<Finding>,
    ) {
        let mut context = Context::new(rules, names);
        for (position, constraint) in self.constraints {
            let Err(message) = context.check(constraint) else {
                continue;
            };
            findings.push(Finding {
                message,
                ..position
            });
        }
    }
}

impl<'a> Context<'a> {
    fn new(rules: &'a Rules, names: &'a BTreeMap<RuleName, u32>) -> Self {
        let mut services = BTreeSet::new();
        let mut engines: BTreeMap<&DataCentre, u32> = BTreeMap::new();
        for target in rules.targets().values() {
            match &target.service {
                Some(service) => {
                    services.insert(service);
                }
                None => *engines.entry(&target.data_centre).or_default() += 1,
            }
        }
        Self {
            rules,
            names,
            services,
            engines,
            placements: BTreeSet::new(),
            hashes: BTreeMap::new(),
            addresses: BTreeMap::new(),
            incomplete: has_invalid_target(rules, names),
        }
    }

    fn check(&mut self, constraint: Constraint) -> Result<(), String> {
        match constraint {
            Constraint::Customer(id) => self.check_defined(&RuleName::Customer(id)),
            Constraint::Model(id) => self.check_defined(&RuleName::Model(id)),
            Constraint::RouteModel(id) => self.check_route(id),
            Constraint::Adapter(model, adapter) => self.check_adapter(&model, &adapter),
            Constraint::Service(id) => {
                if self.incomplete || self.services.contains(&id) {
                    return Ok(());
                }
                Err(format!("no target runs the service {id}"))
            }
            Constraint::Replicas(centre, replicas) => self.check_replicas(&centre, replicas),
            Constraint::Placement(model, version, centre) => {
                let text =
                    format!("another placement already covers {model} {version} in {centre}");
                if self.placements.insert((model, version, centre)) {
                    return Ok(());
                }
                Err(text)
            }
            Constraint::Hash(id, hash) => match self.hashes.insert(hash, id) {
                Some(first) => Err(format!("key.{first} has the same hash")),
                None => Ok(()),
            },
            Constraint::Address(id, address) => match self.addresses.insert(address, id) {
                Some(first) => Err(format!("target.{first} has the same address")),
                None => Ok(()),
            },
        }
    }

    fn check_defined(&self, name: &RuleName) -> Result<(), String> {
        if self.names.contains_key(name) {
            return Ok(());
        }
        Err(format!("rule {name} is not defined"))
    }

    fn check_route(&self, id: ModelId) -> Result<(), String> {
        // Without model rules, the models on the engines are not managed by the rules file.
        if self.rules.models().is_empty() {
            return Ok(());
        }
        self.check_defined(&RuleName::Model(id))
    }

    fn check_adapter(&self, model: &ModelId, adapter: &AdapterId) -> Result<(), String> {
        let Some(rule) = self.rules.models().get(model) else {
            return Ok(());
        };
        if rule.adapters.contains(adapter) {
            return Ok(());
        }
        Err(format!("model.{model} has no adapter {adapter}"))
    }

    fn check_replicas(&self, centre: &DataCentre, replicas: u32) -> Result<(), String> {
        if self.incomplete {
            return Ok(());
        }
        let Some(engines) = self.engines.get(centre) else {
            return Err(format!("the data centre {centre} has no model engine"));
        };
        if replicas <= *engines {
            return Ok(());
        }
        Err(format!(
            "{replicas} replicas don't fit in {centre}, which has {engines} model engines"
        ))
    }
}

fn has_invalid_target(rules: &Rules, names: &BTreeMap<RuleName, u32>) -> bool {
    let named = |name: &&RuleName| matches!(name, RuleName::Target(_));
    names.keys().filter(named).count() != rules.targets().len()
}
