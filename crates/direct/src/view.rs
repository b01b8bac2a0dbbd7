//! State received from the hub: rules, targets and processes.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use clem_edge::{Route, Ruleset, TargetState, TargetVm};
use clem_policy::dispatch::{BlockedParts, SettledVersions};
use clem_types::{Epoch, Rate, SoftwareVersion, Time, Version};
use clem_wire::{
    fleet::{FleetList, FleetListVersion},
    targets::{TargetUpdate, TargetsDigest},
};

/// Least number of fronts that is assumed until the hub's leader has named one: some may not have started
/// yet, and together they must stay below the customers' rates.
const FRONTS_LEAST: u32 = 16;

/// State last received from the hub; the rules version never decreases.
#[derive(Debug, Default)]
pub struct View {
    /// The rules in force; `None` until the first rules arrive.
    pub rules: Option<Arc<Ruleset>>,
    /// The targets by id.
    pub targets: BTreeMap<String, TargetVm>,
    /// The content of `targets`, sent to the hub to ask for what has changed.
    pub(crate) digest: TargetsDigest,
    /// Version of the target and process list, sent back to the hub to ask for newer ones.
    pub seen: FleetListVersion,
    /// The founding members of the batch group; empty until it is founded.
    pub founders: Vec<SocketAddr>,
    /// Whether one leader of the hub told this process that the batch group had no founders yet, and
    /// later named them.
    pub saw_founding: bool,
    /// The last leader whose list named no founders.
    unfounded: Option<Epoch>,
    /// Addresses of the batch keepers.
    pub batch: Vec<SocketAddr>,
    /// Addresses of the batch keepers whose vm is being retired.
    pub retiring: Vec<SocketAddr>,
    /// The members of the batch group; set only while this process leads it.
    pub members: Option<Vec<SocketAddr>>,
    /// Number of fronts that report to the hub's leader.
    pub fronts: u32,
    /// Number of fronts that found no leader when this process started.
    fronts_asking: u32,
    /// Parts of requests that crash targets, as they were at `listed`.
    pub blocked: Vec<BlockedParts>,
    /// When the last list from the hub was installed.
    listed: Time,
    /// The evacuated data centres, as the leader last published them.
    evacuated: BTreeSet<String>,
    /// The limited targets, as the leader has published them.
    pub limits: BTreeMap<String, Rate>,
    /// When the hub's leader last responded; `None` if never.
    pub heard: Option<Time>,
    /// The versions of the targets' software.
    settled: SettledVersions,
    /// The services and versions in the last list from the hub.
    published: BTreeSet<(String, Option<SoftwareVersion>)>,
    /// The services of each route, by host and prefix, and since when it has had them.
    routed: BTreeMap<(String, String), (Vec<String>, Time)>,
}

impl View {
    /// Number of fronts among which rates are divided without a leader.
    pub(crate) fn sharing_fronts(&self) -> u32 {
        if self.fronts == 0 {
            self.fronts_asking.max(FRONTS_LEAST)
        } else {
            self.fronts
        }
    }

    /// Takes over what the members of the hub know, unless a leader has told more: the evacuations, and how
    /// many fronts find no leader.
    pub(crate) fn restore(&mut self, evacuated: BTreeSet<String>, fronts: u32) {
        if self.heard.is_none() {
            self.evacuated = evacuated;
            self.fronts_asking = fronts;
        }
    }

    /// The version of the rules; 0 without rules.
    pub fn version(&self) -> Version {
        self.rules
            .as_ref()
            .map_or(Version(0), |rules| rules.version)
    }

    /// The services that the rules name.
    pub(crate) fn services(&self) -> BTreeSet<String> {
        let rules = self.rules.iter();
        rules.flat_map(|r| r.services.keys().cloned()).collect()
    }

    /// Installs newer rules and returns whether they were newer.
    pub(crate) fn install_rules(&mut self, now: Time, rules: Ruleset) -> bool {
        if rules.version <= self.version() {
            return false;
        }
        let mut before = std::mem::take(&mut self.routed);
        for route in &rules.routes {
            let place = (route.host.clone(), route.prefix.clone());
            let services: Vec<String> = route.backends.iter().map(|b| b.service.clone()).collect();
            let known = before
                .remove(&place)
                .filter(|(known, _)| *known == services);
            self.routed.insert(place, known.unwrap_or((services, now)));
        }
        self.rules = Some(Arc::new(rules));
        true
    }

    /// Installs a list from the leader; returns false if its targets can't be read.
    pub(crate) fn set_list(&mut self, now: Time, list: FleetList) -> bool {
        let readable = match (list.update, list.targets) {
            (Some(update), _) => self.update_targets(now, update),
            (None, Some(targets)) => {
                self.set_targets(now, targets);
                true
            }
            (None, None) => true,
        };
        let targets = self.targets.values();
        let published = targets.map(|t| (t.service.clone(), t.version.clone()));
        self.published = published.collect();
        if list.founders.is_empty() {
            self.unfounded = Some(list.seen.epoch);
        } else if self.founders.is_empty() {
            // A former leader may not know yet that another one has named founders.
            self.saw_founding = self.unfounded == Some(list.seen.epoch);
        }
        self.seen = list.seen;
        self.founders = list.founders;
        self.batch = list.batch;
        self.retiring = list.retiring;
        self.fronts = list.fronts;
        self.blocked = list.blocked;
        self.listed = now;
        let limits = list.limits.into_iter();
        self.limits = limits.map(|l| (l.target, l.rate)).collect();
        if self.evacuated != list.evacuated {
            let names: Vec<&str> = list.evacuated.iter().map(String::as_str).collect();
            log::info!(evacuated = names.join(",").as_str(); "evacuated data centres changed");
            self.evacuated = list.evacuated;
        }
        readable
    }

    /// Parts of requests that crash targets, for a new leader.
    pub(crate) fn blocked_parts(&self, now: Time) -> Vec<BlockedParts> {
        let passed = now.since(self.listed);
        self.blocked.iter().map(|b| b.aged(passed)).collect()
    }

    pub(crate) fn set_targets(&mut self, now: Time, targets: Vec<TargetVm>) {
        let pairs = targets
            .into_iter()
            .map(|target| (target.id.clone(), target));
        self.targets = pairs.collect();
        self.digest = TargetsDigest::of(self.targets.values());
        self.note_versions(now);
    }

    /// Returns false if the update can't be read.
    fn update_targets(&mut self, now: Time, update: TargetUpdate) -> bool {
        let changes = match update {
            TargetUpdate::Whole(list) => {
                let targets = match list.targets() {
                    Ok(targets) => targets,
                    Err(error) => {
                        log::error!(error; "target list damaged");
                        self.digest = TargetsDigest::default();
                        return false;
                    }
                };
                self.set_targets(now, targets);
                // A leader of another release may hash entries in another way.
                self.digest = list.digest;
                return true;
            }
            TargetUpdate::Changes(changes) => changes,
        };
        if !changes.apply(&mut self.targets, &mut self.digest) {
            log::error!(targets = self.targets.len(); "target list differs from the leader's");
            self.digest = TargetsDigest::default();
        }
        self.note_versions(now);
        true
    }

    fn note_versions(&mut self, now: Time) {
        let targets = self.targets.values();
        self.settled
            .note(now, targets.map(|t| (t.service.as_str(), &t.version)));
    }

    /// Notes that this process has read the platform's list; the reading began at `began`.
    pub(crate) fn note_read(&mut self, began: Time, targets: &[TargetVm]) {
        // The hub may have sent a newer list meanwhile.
        let listed = targets.iter().chain(self.targets.values());
        self.settled
            .note(began, listed.map(|t| (t.service.as_str(), &t.version)));
        self.settled.note_heard(began);
    }

    /// Notes a reply of the hub's leader to a poll.
    pub(crate) fn note_heard(&mut self, now: Time) {
        self.heard = Some(now);
    }

    /// Notes that the leader's list is the present one, unless it has not read any yet.
    pub(crate) fn note_confirmed(&mut self, now: Time) {
        if self.seen.targets > 0 {
            self.settled.note_heard(now);
        }
    }

    /// The version that all targets of a service have had for `span` or longer.
    pub(crate) fn settled_version(
        &self,
        now: Time,
        service: &str,
        span: Duration,
    ) -> Option<Option<SoftwareVersion>> {
        self.settled.version(now, service, span)
    }

    /// Whether the platform names the version of any target of a service.
    pub(crate) fn is_versioned(&self, service: &str) -> bool {
        let mut targets = self.targets.values();
        targets.any(|target| target.service == service && target.version.is_some())
    }

    /// How long a route has had its services, as far as this process knows.
    pub fn routed_for(&self, now: Time, route: &Route) -> Duration {
        let place = (route.host.clone(), route.prefix.clone());
        let since = self.routed.get(&place).map(|(_, since)| *since);
        since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Whether the hub has listed a target's version.
    pub(crate) fn is_published(&self, target: &TargetVm) -> bool {
        let mut published = self.published.iter();
        published.any(|(service, version)| *service == target.service && *version == target.version)
    }

    /// Whether the group that stores batches has been founded, and processes of it are known.
    pub fn has_batch_group(&self) -> bool {
        !self.founders.is_empty() && !self.batch.is_empty()
    }

    /// The targets of a service that accept new work and are in no evacuated data centre.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a TargetVm> + 'a {
        let targets = self.targets.values();
        targets
            .filter(move |t| t.service == service && t.state == TargetState::Ready)
            .filter(|t| !self.evacuated.contains(&t.data_centre))
    }
}
