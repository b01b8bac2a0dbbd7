//! The fleet view by which entries route requests, built from the reports of the agents.
//!
//! A target is in the view while its agent's lease is valid. It is closed to new work while it is
//! draining, its agent is stopping, or the platform lists its VM as leaving. The platform's list
//! never removes a target from the view, because the list may be out of date or briefly empty.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use clem_policy::placement::{Build, BuildState, Engine, EngineAction, EngineState, Stage};
use clem_rules::Rules;
use clem_types::{Epoch, HolderId, Incarnation, TargetId, Time};
use clem_wire::{
    admin::TargetStatus,
    sync::{
        FleetChange, FleetStamp, Load, ModelState, Role, Serves, Sync, TargetReport, TargetView,
    },
};

/// Number of changes kept; a holder that is further behind receives the whole view.
const MAX_CHANGES: usize = 4096;

/// A VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformVm {
    /// The address of the target that runs on the VM.
    pub address: SocketAddr,
    /// Whether the platform is about to remove the VM.
    pub leaving: bool,
}

/// The last report of an agent.
#[derive(Debug)]
struct AgentRecord {
    holder: HolderId,
    incarnation: Incarnation,
    agent: SocketAddr,
    stopping: bool,
    report: TargetReport,
    /// Since when its target has not been in the view.
    lost_since: Option<Time>,
    /// Since when its target has been closed to new work.
    closed_since: Option<Time>,
}

/// The leader's view of the fleet, with a numbered history of changes.
#[derive(Debug)]
pub struct Fleet {
    epoch: Epoch,
    change: u64,
    agents: BTreeMap<TargetId, AgentRecord>,
    views: BTreeMap<TargetId, TargetView>,
    /// For each target the latest change to it, indexed by the change's number.
    changes: BTreeMap<u64, TargetId>,
    last_change: BTreeMap<TargetId, u64>,
    leaving: BTreeSet<SocketAddr>,
    /// The change as of which the view is complete; `None` while a new leader still waits for
    /// agents to report.
    complete_from: Option<u64>,
}

impl Fleet {
    /// Creates the empty view of a new leader.
    pub fn new(epoch: Epoch) -> Self {
        Self {
            epoch,
            change: 0,
            agents: BTreeMap::new(),
            views: BTreeMap::new(),
            changes: BTreeMap::new(),
            last_change: BTreeMap::new(),
            leaving: BTreeSet::new(),
            complete_from: None,
        }
    }

    /// The target of an agent: the one in the rules with the address that the agent reports.
    pub fn target_of(rules: &Rules, call: &Sync) -> Option<TargetId> {
        let report = call.report.as_ref()?;
        let (id, _) = rules.target_by_address(report.address)?;
        Some(id.clone())
    }

    /// Records an agent's report.
    ///
    /// A report of an earlier incarnation cannot arrive late, because its connection ended with
    /// that process.
    pub fn record_report(&mut self, target: &TargetId, call: &Sync) {
        if call.holder.role != Role::Agent {
            return;
        }
        let Some(report) = call.report.clone() else {
            return;
        };
        let before = self.agents.get(target);
        let agent = AgentRecord {
            lost_since: before.and_then(|agent| agent.lost_since),
            closed_since: before.and_then(|agent| agent.closed_since),
            holder: call.holder.id.clone(),
            incarnation: call.holder.incarnation,
            agent: call.holder.address,
            stopping: call.stopping,
            report,
        };
        self.agents.insert(target.clone(), agent);
    }

    /// Records the platform's list of VMs. An empty list is ignored, because a platform that has
    /// lost its data must not empty the fleet.
    pub fn record_platform_list(&mut self, list: &[PlatformVm]) {
        if list.is_empty() {
            return;
        }
        self.leaving.clear();
        for vm in list {
            if vm.leaving {
                self.leaving.insert(vm.address);
            }
        }
    }

    /// Recomputes the view of all targets; returns whether it changed.
    pub fn refresh(&mut self, inputs: &ViewInputs<'_>) -> bool {
        let before = self.change;
        let mut names: BTreeSet<TargetId> = self.views.keys().cloned().collect();
        names.extend(self.agents.keys().cloned());
        for target in &names {
            self.refresh_target(target, inputs);
        }
        if self.complete_from.is_none() && inputs.leases_known {
            self.change += 1;
            self.complete_from = Some(self.change);
        }
        self.change != before
    }

    /// Recomputes the view of one target; returns whether it changed.
    pub fn refresh_target(&mut self, target: &TargetId, inputs: &ViewInputs<'_>) -> bool {
        let view = self.view(target, inputs);
        self.update_times(target, view.as_ref(), inputs.now);
        if self.views.get(target) == view.as_ref() {
            return false;
        }
        match view {
            Some(view) => self.views.insert(target.clone(), view),
            None => self.views.remove(target),
        };
        self.change += 1;
        if let Some(old) = self.last_change.insert(target.clone(), self.change) {
            self.changes.remove(&old);
        }
        self.changes.insert(self.change, target.clone());
        while self.changes.len() > MAX_CHANGES {
            self.changes.pop_first();
        }
        true
    }

    /// Updates since when a target has been lost or closed.
    fn update_times(&mut self, target: &TargetId, view: Option<&TargetView>, now: Time) {
        let Some(agent) = self.agents.get_mut(target) else {
            return;
        };
        let open = view.is_some_and(|view| view.open);
        agent.lost_since = match view {
            Some(_) => None,
            None => agent.lost_since.or(Some(now)),
        };
        agent.closed_since = if open {
            None
        } else {
            agent.closed_since.or(Some(now))
        };
    }

    /// The model engines in the rules with their state, for the placement controller; `open` has
    /// their unfinished orders.
    pub fn engines(
        &self,
        rules: &Rules,
        open: &BTreeMap<TargetId, Vec<EngineAction>>,
        now: Time,
    ) -> BTreeMap<TargetId, Engine> {
        let mut engines = BTreeMap::new();
        for (target, rule) in rules.targets() {
            if rule.service.is_some() {
                continue;
            }
            // Without a report, what the engine has loaded is unknown.
            let Some(agent) = self.agents.get(target) else {
                continue;
            };
            let state = match (agent.lost_since, agent.closed_since) {
                (Some(since), _) => EngineState::Lost(now.since(since)),
                (None, Some(since)) => EngineState::Draining(now.since(since)),
                (None, None) => EngineState::Open,
            };
            let engine = Engine {
                data_centre: rule.data_centre.clone(),
                state,
                builds: builds(&agent.report),
                open: open.get(target).cloned().unwrap_or_default(),
            };
            engines.insert(target.clone(), engine);
        }
        engines
    }

    fn view(&self, target: &TargetId, inputs: &ViewInputs<'_>) -> Option<TargetView> {
        let rule = inputs.rules.targets().get(target)?;
        let agent = self.agents.get(target)?;
        if !(inputs.lease_valid)(&agent.holder, agent.incarnation) || !agent.report.alive {
            return None;
        }
        let closed = agent.stopping
            || agent.report.draining
            || inputs.drained.contains(target)
            || self.leaving.contains(&rule.address);
        Some(TargetView {
            target: target.clone(),
            agent: agent.agent,
            incarnation: agent.incarnation,
            data_centre: rule.data_centre.clone(),
            serves: serves(rule, &agent.report),
            open: !closed,
        })
    }

    /// The current version of the view.
    pub fn stamp(&self) -> FleetStamp {
        FleetStamp {
            epoch: self.epoch,
            change: self.change,
        }
    }

    /// What an entry whose view has version `stamp` needs to get the current one; `None` when it is
    /// up to date.
    pub fn delta(&self, stamp: FleetStamp) -> Option<FleetChange> {
        if stamp == self.stamp() {
            return None;
        }
        let known = stamp.epoch == self.epoch && stamp.change <= self.change;
        match self.complete_from {
            // Until the view is complete, an entry keeps the targets it knows from the former
            // leader.
            None => Some(self.change_since(if known { stamp.change } else { 0 }, false)),
            Some(from) if !known || stamp.change < from || self.is_truncated(stamp.change) => {
                Some(self.change_since(0, true))
            }
            Some(_) => Some(self.change_since(stamp.change, false)),
        }
    }

    /// Whether changes after `change` may have been discarded.
    fn is_truncated(&self, change: u64) -> bool {
        self.changes.len() >= MAX_CHANGES
            && self
                .changes
                .keys()
                .next()
                .is_some_and(|first| *first > change + 1)
    }

    fn change_since(&self, after: u64, whole: bool) -> FleetChange {
        let mut change = FleetChange {
            stamp: self.stamp(),
            whole,
            targets: Vec::new(),
            gone: Vec::new(),
        };
        if whole {
            change.targets.extend(self.views.values().cloned());
            return change;
        }
        for target in self.changes.range(after + 1..).map(|(_, target)| target) {
            match self.views.get(target) {
                Some(view) => change.targets.push(view.clone()),
                None => change.gone.push(target.clone()),
            }
        }
        change
    }

    /// The targets in the view, as entries see them.
    pub fn views(&self) -> &BTreeMap<TargetId, TargetView> {
        &self.views
    }

    /// All targets in the rules, for the status shown to operators.
    pub fn statuses(&self, rules: &Rules) -> Vec<TargetStatus> {
        let mut statuses = Vec::new();
        for (target, rule) in rules.targets() {
            let view = self.views.get(target);
            let report = self.agents.get(target).map(|agent| &agent.report);
            statuses.push(TargetStatus {
                target: target.clone(),
                live: view.is_some(),
                draining: view.is_some_and(|view| !view.open),
                serves: report.map(|report| serves(rule, report)),
                load: report.map_or_else(Load::default, |report| report.load),
            });
        }
        statuses
    }
}

/// What the view depends on besides the agents' reports.
pub struct ViewInputs<'a> {
    /// The current time.
    pub now: Time,
    /// The current rules.
    pub rules: &'a Rules,
    /// Targets that an operator has ordered to drain.
    pub drained: &'a BTreeSet<TargetId>,
    /// Whether an incarnation of an agent has a valid lease.
    pub lease_valid: &'a dyn Fn(&HolderId, Incarnation) -> bool,
    /// Whether every agent that is alive has reported to this leader by now.
    pub leases_known: bool,
}

fn serves(rule: &clem_rules::Target, report: &TargetReport) -> Serves {
    match &rule.service {
        Some(service) => Serves::Service(service.clone()),
        None => Serves::Models(report.models.clone()),
    }
}

/// The model versions that an engine reports, with their state and adapters.
fn builds(report: &TargetReport) -> BTreeMap<Build, BuildState> {
    let mut builds = BTreeMap::new();
    for loaded in &report.models {
        let build = Build {
            model: loaded.model.clone(),
            version: loaded.version,
        };
        let stage = match loaded.state {
            ModelState::Loading => Stage::Loading,
            ModelState::Ready => Stage::Ready,
            ModelState::Failed => Stage::Failed,
        };
        let adapters = loaded.adapters.clone();
        builds.insert(build, BuildState { stage, adapters });
    }
    builds
}
