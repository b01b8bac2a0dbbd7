//! What one rule says of others: checked when the whole file has been read.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use clem_types::{
    AdapterId, CustomerId, DataCentre, KeyHash, KeyId, ModelId, ModelVersion, ServiceId, TargetId,
};

use crate::{Finding, RuleName, Rules};

/// Something that a rule takes for granted of the rest of the file.
#[derive(Debug)]
pub(super) enum Link {
    /// The customer is declared.
    Customer(CustomerId),
    /// The model is declared.
    Model(ModelId),
    /// The model is declared, if the file declares models at all.
    RouteModel(ModelId),
    /// The adapter is one of the model's, if the model is declared.
    Adapter(ModelId, AdapterId),
    /// A target runs the service.
    Service(ServiceId),
    /// The data centre has so many engines.
    Replicas(DataCentre, u32),
    /// No other placement is for the same.
    Place(ModelId, ModelVersion, DataCentre),
    /// No other key has the same hash.
    Hash(KeyId, KeyHash),
    /// No other target has the same address.
    Address(TargetId, SocketAddr),
}

/// All links of a file with their places.
#[derive(Debug, Default)]
pub(super) struct Links {
    links: Vec<(Finding, Link)>,
}

/// What links are held against.
struct Facts<'a> {
    rules: &'a Rules,
    names: &'a BTreeMap<RuleName, u32>,
    services: BTreeSet<&'a ServiceId>,
    engines: BTreeMap<&'a DataCentre, u32>,
    places: BTreeSet<(ModelId, ModelVersion, DataCentre)>,
    hashes: BTreeMap<KeyHash, KeyId>,
    addresses: BTreeMap<SocketAddr, TargetId>,
    /// Whether a target has findings of its own: what it runs isn't known then.
    partial: bool,
}

impl Links {
    /// Remembers a link at the place of `at`.
    pub(super) fn add(&mut self, at: &Finding, link: Link) {
        self.links.push((at.clone(), link));
    }

    /// Checks all links; `names` also has the rules that have findings of their own.
    pub(super) fn check(
        self,
        rules: &Rules,
        names: &BTreeMap<RuleName, u32>,
        findings: &mut Vec<Finding>,
    ) {
        let mut facts = Facts::new(rules, names);
        for (place, link) in self.links {
            let Err(message) = facts.check(link) else {
                continue;
            };
            findings.push(Finding { message, ..place });
        }
    }
}

impl<'a> Facts<'a> {
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
            places: BTreeSet::new(),
            hashes: BTreeMap::new(),
            addresses: BTreeMap::new(),
            partial: has_broken_target(rules, names),
        }
    }

    fn check(&mut self, link: Link) -> Result<(), String> {
        match link {
            Link::Customer(id) => self.declared(&RuleName::Customer(id)),
            Link::Model(id) => self.declared(&RuleName::Model(id)),
            Link::RouteModel(id) => self.check_route(id),
            Link::Adapter(model, adapter) => self.check_adapter(&model, &adapter),
            Link::Service(id) => {
                if self.partial || self.services.contains(&id) {
                    return Ok(());
                }
                Err(format!("no target runs the service {id}"))
            }
            Link::Replicas(centre, replicas) => self.check_replicas(&centre, replicas),
            Link::Place(model, version, centre) => {
                let text = format!("another placement is for {model} {version} in {centre} too");
                if self.places.insert((model, version, centre)) {
                    return Ok(());
                }
                Err(text)
            }
            Link::Hash(id, hash) => match self.hashes.insert(hash, id) {
                Some(first) => Err(format!("key.{first} has the same hash")),
                None => Ok(()),
            },
            Link::Address(id, address) => match self.addresses.insert(address, id) {
                Some(first) => Err(format!("target.{first} has the same address")),
                None => Ok(()),
            },
        }
    }

    fn declared(&self, name: &RuleName) -> Result<(), String> {
        if self.names.contains_key(name) {
            return Ok(());
        }
        Err(format!("there is no rule {name}"))
    }

    fn check_route(&self, id: ModelId) -> Result<(), String> {
        // A file without model rules leaves its engines to whoever started them.
        if self.rules.models().is_empty() {
            return Ok(());
        }
        self.declared(&RuleName::Model(id))
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
        if self.partial {
            return Ok(());
        }
        let Some(engines) = self.engines.get(centre) else {
            return Err(format!(
                "no model engine stands in the data centre {centre}"
            ));
        };
        if replicas <= *engines {
            return Ok(());
        }
        Err(format!(
            "{replicas} replicas can't stand in {centre}, which has {engines} model engines"
        ))
    }
}

fn has_broken_target(rules: &Rules, names: &BTreeMap<RuleName, u32>) -> bool {
    let named = |name: &&RuleName| matches!(name, RuleName::Target(_));
    names.keys().filter(named).count() != rules.targets().len()
}
