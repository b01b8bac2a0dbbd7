//! What the hub has said: rules, targets, processes.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use clem_edge::{Ruleset, TargetState, TargetVm};
use clem_types::{RulesVersion, Time};
use clem_wire::fleet::{FleetList, FleetListVersion};

/// What the hub has said; it never goes back to older rules.
#[derive(Debug, Default)]
pub struct View {
    /// The rules in force; none before the first were heard of.
    pub rules: Option<Arc<Ruleset>>,
    /// The targets by id.
    pub targets: BTreeMap<String, TargetVm>,
    /// Which state of the list this is.
    pub seen: FleetListVersion,
    /// The first members of the group that keeps batches.
    pub founders: Vec<SocketAddr>,
    /// The processes that keep batches.
    pub batch: Vec<SocketAddr>,
    /// Vms that keep batches and are being emptied.
    pub retiring: Vec<SocketAddr>,
    /// The members of the group that keeps batches, if this process leads it.
    pub members: Option<Vec<SocketAddr>>,
    /// Fronts that the hub's leader hears from.
    pub fronts: u32,
    /// When the targets were last heard of.
    pub listed: Option<Time>,
    /// When the hub's leader last answered.
    pub heard: Option<Time>,
}

impl View {
    /// The version of the rules; 0 before the first.
    pub fn version(&self) -> RulesVersion {
        self.rules
            .as_ref()
            .map_or(RulesVersion(0), |rules| rules.version)
    }

    /// Takes newer rules; older ones change nothing.
    pub(crate) fn take_rules(&mut self, rules: Ruleset) -> bool {
        if rules.version <= self.version() {
            return false;
        }
        self.rules = Some(Arc::new(rules));
        true
    }

    pub(crate) fn take_list(&mut self, now: Time, list: FleetList) {
        if let Some(targets) = list.targets {
            self.take_targets(now, targets);
        }
        self.seen = list.seen;
        self.founders = list.founders;
        self.batch = list.batch;
        self.retiring = list.retiring;
        self.fronts = list.fronts;
    }

    pub(crate) fn take_targets(&mut self, now: Time, targets: Vec<TargetVm>) {
        let pairs = targets
            .into_iter()
            .map(|target| (target.id.clone(), target));
        self.targets = pairs.collect();
        self.listed = Some(now);
    }

    /// The targets of a service that may get new work.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a TargetVm> + 'a {
        let targets = self.targets.values();
        targets.filter(move |t| t.service == service && t.state == TargetState::Ready)
    }
}
