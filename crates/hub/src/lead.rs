//! What only the leader knows: who lives, which targets there are, and who runs where.
//!
//! All of it is lost when leadership changes, and built anew from what others say. Nothing here
//! does I/O or reads a clock.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    time::Duration,
};

use clem_edge::{Ruleset, TargetState, TargetVm};
use clem_policy::dispatch::{Dispatcher, RateLimit, TargetSlots};
use clem_state::batch_group::BatchGroup;
use clem_types::{Epoch, RulesVersion, Time};
use clem_wire::fleet::{
    FleetList, FleetListVersion, Follow, FollowReply, ProcessRole, RetireReply, RulesDocument,
};

/// How long a process that says nothing counts as there.
const PROCESS_SILENCE: Duration = Duration::from_millis(4000);
/// How long after its start a leader waits for the processes that keep batches, so that they
/// stand in as many data centres as they can.
const FOUND_PATIENCE: Duration = Duration::from_millis(600);

/// What a leader starts from.
#[derive(Debug)]
pub struct LeadStart {
    /// The term.
    pub epoch: Epoch,
    /// What is replicated of the group that keeps batches.
    pub batch_group: BatchGroup,
    /// What a customer may send at once, in requests: what it spent before is not known.
    pub allowance: f64,
}

/// What only the leader knows.
#[derive(Debug)]
pub struct Lead {
    /// The term.
    pub epoch: Epoch,
    /// Slots, queues and rates.
    pub dispatcher: Dispatcher,
    /// The rules in force.
    pub rules: RulesDocument,
    /// What is replicated of the group that keeps batches.
    pub batch_group: BatchGroup,
    change: u64,
    /// Counts the changes of the targets.
    listed: u64,
    targets: Option<Vec<TargetVm>>,
    services: BTreeSet<String>,
    processes: BTreeMap<String, Process>,
    /// The members of the group that keeps batches, as its leader said last.
    members: Vec<SocketAddr>,
    allowance: f64,
    first_batch: Option<Time>,
}

/// A process that the leader hears from.
#[derive(Debug, Clone)]
pub struct Process {
    /// Its vm.
    pub vm: String,
    /// What it does.
    pub role: ProcessRole,
    /// Where it answers other processes.
    pub address: Option<SocketAddr>,
    heard: Time,
}

impl Lead {
    /// A leader that has heard of nobody yet.
    pub fn new(start: LeadStart) -> Self {
        Self {
            epoch: start.epoch,
            dispatcher: Dispatcher::default(),
            rules: RulesDocument::default(),
            batch_group: start.batch_group,
            change: 1,
            listed: 0,
            targets: None,
            services: BTreeSet::new(),
            processes: BTreeMap::new(),
            members: Vec::new(),
            allowance: start.allowance,
            first_batch: None,
        }
    }

    /// Differs whenever there is something that others have to be told of.
    pub fn stamp(&self) -> (u64, RulesVersion) {
        (self.change, self.rules.version)
    }

    /// Whether any process should give slots back.
    pub fn has_recalls(&self) -> bool {
        let mut holders = self.processes.keys();
        holders.any(|holder| self.dispatcher.has_recalls(holder))
    }

    /// Takes newer rules.
    pub fn set_rules(&mut self, now: Time, document: RulesDocument, rules: &Ruleset) {
        if document.version <= self.rules.version {
            return;
        }
        self.rules = document;
        let mut rates = HashMap::new();
        for customer in &rules.customers {
            let limit = RateLimit {
                rate: customer.rate,
                burst: customer.burst,
            };
            rates.insert(customer.name.clone(), limit);
        }
        self.dispatcher.set_rates(now, &rates, self.allowance);
    }

    /// Takes what is replicated of the group that keeps batches.
    pub fn set_batch_group(&mut self, batch_group: BatchGroup) {
        self.batch_group = batch_group;
        self.change += 1;
    }

    /// Takes the platform's list; says whether it differs from the last one.
    pub fn set_targets(&mut self, now: Time, targets: Vec<TargetVm>) -> bool {
        if self.targets.as_ref() == Some(&targets) {
            return false;
        }
        let mut by_service: BTreeMap<&str, Vec<TargetSlots>> = BTreeMap::new();
        for service in &self.services {
            by_service.insert(service, Vec::new());
        }
        for target in &targets {
            let list = by_service.entry(&target.service).or_default();
            if target.state != TargetState::Ready {
                continue;
            }
            list.push(TargetSlots {
                target: target.id.clone(),
                data_centre: target.data_centre.clone(),
                slots: target.slots,
            });
        }
        for (service, slots) in &by_service {
            self.dispatcher.set_targets(now, service, slots);
        }
        self.services = by_service.keys().map(|name| (*name).to_owned()).collect();
        self.targets = Some(targets);
        self.listed += 1;
        self.change += 1;
        true
    }

    /// Hears from a process.
    pub fn hear(&mut self, now: Time, follow: &Follow) {
        let process = Process {
            vm: follow.vm.clone(),
            role: follow.role,
            address: follow.address,
            heard: now,
        };
        if self
            .processes
            .insert(follow.holder.clone(), process)
            .is_none()
        {
            self.change += 1;
        }
        if follow.role == ProcessRole::Batch && self.first_batch.is_none() {
            self.first_batch = Some(now);
        }
        if let Some(members) = &follow.members {
            self.members.clone_from(members);
        }
        self.dispatcher.report(now, &follow.holder, &follow.held);
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Time) {
        self.dispatcher.tick(now);
        let before = self.processes.len();
        self.processes
            .retain(|_, process| now.since(process.heard) < PROCESS_SILENCE);
        if self.processes.len() != before {
            self.change += 1;
        }
    }

    /// The members to found the group that keeps batches with, once enough processes are there.
    pub fn founders(&self, now: Time, tolerance: usize) -> Option<Vec<SocketAddr>> {
        let wanted = 2 * tolerance + 1;
        let first = self.first_batch?;
        let settled = now.since(first) >= FOUND_PATIENCE;
        if !self.batch_group.founders.is_empty() || !settled {
            return None;
        }
        let mut founders: Vec<SocketAddr> = self.batch().filter_map(|p| p.address).collect();
        founders.sort_unstable();
        founders.dedup();
        founders.truncate(wanted);
        (founders.len() == wanted).then_some(founders)
    }

    /// What becomes of a wish to empty a vm, or how far that is; `wanted` members must stay.
    pub fn retire(&self, vm: &str, wanted: usize, begin: bool) -> RetireReply {
        let Some(process) = self.batch().find(|p| p.vm == vm) else {
            return RetireReply::Unknown;
        };
        if !self.batch_group.retiring.contains(&vm.to_owned()) {
            let staying = self
                .batch()
                .filter(|p| !self.batch_group.retiring.contains(&p.vm));
            if begin && staying.count() <= wanted {
                return RetireReply::TooFew;
            }
            return RetireReply::Running;
        }
        let gone = process.address.is_none_or(|a| !self.members.contains(&a));
        if gone && self.members.len() >= wanted {
            return RetireReply::Completed;
        }
        RetireReply::Running
    }

    /// What is new for a process; none if nothing is.
    pub fn news(&mut self, follow: &Follow, hub: Vec<SocketAddr>) -> Option<FollowReply> {
        let seen = FleetListVersion {
            epoch: self.epoch,
            change: self.change,
            targets: self.listed,
        };
        let rules = (self.rules.version > follow.rules).then(|| self.rules.clone());
        let knows_targets = (follow.seen.epoch, follow.seen.targets) == (seen.epoch, seen.targets);
        let fleet = (follow.seen != seen).then(|| FleetList {
            seen,
            targets: self.targets.clone().filter(|_| !knows_targets),
            hub,
            founders: self.batch_group.founders.clone(),
            batch: self.batch().filter_map(|p| p.address).collect(),
            retiring: self.retiring().filter_map(|p| p.address).collect(),
            fronts: self.fronts(),
        });
        let recalls = self.dispatcher.take_recalls(&follow.holder);
        if rules.is_none() && fleet.is_none() && recalls.is_empty() {
            return None;
        }
        Some(FollowReply {
            rules,
            fleet,
            recalls,
        })
    }

    fn batch(&self) -> impl Iterator<Item = &Process> {
        self.processes
            .values()
            .filter(|p| p.role == ProcessRole::Batch)
    }

    fn retiring(&self) -> impl Iterator<Item = &Process> {
        self.batch()
            .filter(|p| self.batch_group.retiring.contains(&p.vm))
    }

    fn fronts(&self) -> u32 {
        let fronts = self
            .processes
            .values()
            .filter(|p| p.role == ProcessRole::Front);
        u32::try_from(fronts.count()).unwrap_or(u32::MAX)
    }
}
