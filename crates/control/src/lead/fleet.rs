//! The view of the fleet that entries work by, built from what agents report.
//!
//! A target counts while its agent's lease holds. Drain marks, a stopping agent and the
//! platform's list close it to new work; the list alone never removes it, since it lags and may
//! be empty for a moment.

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

/// How many changes are kept; a holder that is further behind gets the whole view.
const MAX_CHANGES: usize = 4096;

/// A VM that the platform lists.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformVm {
    /// The address of the target on it.
    pub address: SocketAddr,
    /// Whether it is about to leave.
    pub leaving: bool,
}

/// What an agent said last.
#[derive(Debug)]
struct Heard {
    holder: HolderId,
    incarnation: Incarnation,
    agent: SocketAddr,
    stopping: bool,
    report: TargetReport,
    /// Since when it hasn't answered.
    lost: Option<Time>,
    /// Since when it has taken no new work.
    closed: Option<Time>,
}

/// The view of the fleet, at the leader.
#[derive(Debug)]
pub struct Fleet {
    epoch: Epoch,
    change: u64,
    heard: BTreeMap<TargetId, Heard>,
    shown: BTreeMap<TargetId, TargetView>,
    /// The targets by the change in which they changed last.
    changes: BTreeMap<u64, TargetId>,
    changed: BTreeMap<TargetId, u64>,
    leaving: BTreeSet<SocketAddr>,
    /// From this change on the view is whole; until then agents are still being heard.
    whole_from: Option<u64>,
}

impl Fleet {
    /// The empty view of a new leader.
    pub fn new(epoch: Epoch) -> Self {
        Self {
            epoch,
            change: 0,
            heard: BTreeMap::new(),
            shown: BTreeMap::new(),
            changes: BTreeMap::new(),
            changed: BTreeMap::new(),
            leaving: BTreeSet::new(),
            whole_from: None,
        }
    }

    /// Which target an agent stands beside, by its report.
    pub fn target_of(rules: &Rules, call: &Sync) -> Option<TargetId> {
        let report = call.report.as_ref()?;
        let (id, _) = rules.target_at(report.address)?;
        Some(id.clone())
    }

    /// Takes in an agent's report; one of an earlier life of the agent never comes here, as its
    /// connection ended with it.
    pub fn hear(&mut self, target: &TargetId, call: &Sync) {
        if call.holder.role != Role::Agent {
            return;
        }
        let Some(report) = call.report.clone() else {
            return;
        };
        let before = self.heard.get(target);
        let heard = Heard {
            lost: before.and_then(|heard| heard.lost),
            closed: before.and_then(|heard| heard.closed),
            holder: call.holder.id.clone(),
            incarnation: call.holder.incarnation,
            agent: call.holder.address,
            stopping: call.stopping,
            report,
        };
        self.heard.insert(target.clone(), heard);
    }

    /// Takes in the platform's list. An empty one says nothing: a list that has lost its content
    /// must not empty the fleet.
    pub fn hear_platform(&mut self, list: &[PlatformVm]) {
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

    /// Brings the view of all targets up to date; says whether it changed.
    pub fn refresh(&mut self, facts: &Facts<'_>) -> bool {
        let before = self.change;
        let mut names: BTreeSet<TargetId> = self.shown.keys().cloned().collect();
        names.extend(self.heard.keys().cloned());
        for target in &names {
            self.refresh_target(target, facts);
        }
        if self.whole_from.is_none() && facts.complete {
            self.change += 1;
            self.whole_from = Some(self.change);
        }
        self.change != before
    }

    /// Brings the view of one target up to date; says whether it changed.
    pub fn refresh_target(&mut self, target: &TargetId, facts: &Facts<'_>) -> bool {
        let view = self.view(target, facts);
        self.note_times(target, view.as_ref(), facts.now);
        if self.shown.get(target) == view.as_ref() {
            return false;
        }
        match view {
            Some(view) => self.shown.insert(target.clone(), view),
            None => self.shown.remove(target),
        };
        self.change += 1;
        if let Some(old) = self.changed.insert(target.clone(), self.change) {
            self.changes.remove(&old);
        }
        self.changes.insert(self.change, target.clone());
        while self.changes.len() > MAX_CHANGES {
            self.changes.pop_first();
        }
        true
    }

    /// Notes since when a target is lost or closed.
    fn note_times(&mut self, target: &TargetId, view: Option<&TargetView>, now: Time) {
        let Some(heard) = self.heard.get_mut(target) else {
            return;
        };
        let open = view.is_some_and(|view| view.open);
        heard.lost = match view {
            Some(_) => None,
            None => heard.lost.or(Some(now)),
        };
        heard.closed = if open {
            None
        } else {
            heard.closed.or(Some(now))
        };
    }

    /// The model engines of the rules, with the orders that each has open.
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
            // An engine that was never heard of holds nothing that could be counted on.
            let Some(heard) = self.heard.get(target) else {
                continue;
            };
            let state = match (heard.lost, heard.closed) {
                (Some(since), _) => EngineState::Lost(now.since(since)),
                (None, Some(since)) => EngineState::Draining(now.since(since)),
                (None, None) => EngineState::Open,
            };
            let engine = Engine {
                data_centre: rule.data_centre.clone(),
                state,
                builds: builds(&heard.report),
                open: open.get(target).cloned().unwrap_or_default(),
            };
            engines.insert(target.clone(), engine);
        }
        engines
    }

    fn view(&self, target: &TargetId, facts: &Facts<'_>) -> Option<TargetView> {
        let rule = facts.rules.targets().get(target)?;
        let heard = self.heard.get(target)?;
        if !(facts.holds)(&heard.holder, heard.incarnation) || !heard.report.alive {
            return None;
        }
        let closed = heard.stopping
            || heard.report.draining
            || facts.drained.contains(target)
            || self.leaving.contains(&rule.address);
        Some(TargetView {
            target: target.clone(),
            agent: heard.agent,
            incarnation: heard.incarnation,
            data_centre: rule.data_centre.clone(),
            serves: serves(rule, &heard.report),
            open: !closed,
        })
    }

    /// The stamp of the view.
    pub fn stamp(&self) -> FleetStamp {
        FleetStamp {
            epoch: self.epoch,
            change: self.change,
        }
    }

    /// The change for a holder with `stamp`; none when it is up to date.
    pub fn delta(&self, stamp: FleetStamp) -> Option<FleetChange> {
        if stamp == self.stamp() {
            return None;
        }
        let known = stamp.epoch == self.epoch && stamp.change <= self.change;
        match self.whole_from {
            // While agents are still being heard, what a holder has from before stays.
            None => Some(self.part(if known { stamp.change } else { 0 }, false)),
            Some(from) if !known || stamp.change < from || self.is_cut(stamp.change) => {
                Some(self.part(0, true))
            }
            Some(_) => Some(self.part(stamp.change, false)),
        }
    }

    /// Whether changes after `change` may have been dropped.
    fn is_cut(&self, change: u64) -> bool {
        self.changes.len() >= MAX_CHANGES
            && self
                .changes
                .keys()
                .next()
                .is_some_and(|first| *first > change + 1)
    }

    fn part(&self, after: u64, whole: bool) -> FleetChange {
        let mut change = FleetChange {
            stamp: self.stamp(),
            whole,
            targets: Vec::new(),
            gone: Vec::new(),
        };
        if whole {
            change.targets.extend(self.shown.values().cloned());
            return change;
        }
        for target in self.changes.range(after + 1..).map(|(_, target)| target) {
            match self.shown.get(target) {
                Some(view) => change.targets.push(view.clone()),
                None => change.gone.push(target.clone()),
            }
        }
        change
    }

    /// The targets as entries see them.
    pub fn shown(&self) -> &BTreeMap<TargetId, TargetView> {
        &self.shown
    }

    /// All targets of the rules, for operators.
    pub fn statuses(&self, rules: &Rules) -> Vec<TargetStatus> {
        let mut statuses = Vec::new();
        for (target, rule) in rules.targets() {
            let shown = self.shown.get(target);
            let report = self.heard.get(target).map(|heard| &heard.report);
            statuses.push(TargetStatus {
                target: target.clone(),
                live: shown.is_some(),
                draining: shown.is_some_and(|view| !view.open),
                serves: report.map(|report| serves(rule, report)),
                load: report.map_or_else(Load::default, |report| report.load),
            });
        }
        statuses
    }
}

/// What the view depends on besides the reports.
pub struct Facts<'a> {
    /// The present.
    pub now: Time,
    /// The rules in force.
    pub rules: &'a Rules,
    /// Targets with a drain mark.
    pub drained: &'a BTreeSet<TargetId>,
    /// Whether the lease of an agent's life holds.
    pub holds: &'a dyn Fn(&HolderId, Incarnation) -> bool,
    /// Whether all agents that live have been heard by now.
    pub complete: bool,
}

fn serves(rule: &clem_rules::Target, report: &TargetReport) -> Serves {
    match &rule.service {
        Some(service) => Serves::Service(service.clone()),
        None => Serves::Models(report.models.clone()),
    }
}

/// The versions in an engine.
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
