//! In-memory state of the leader: live processes, targets, and which requests hold slots.
//!
//! It is lost when the leader changes; the new leader rebuilds it from the reports of the other
//! processes. Nothing here does I/O or reads a clock.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

use clem_edge::{Ruleset, TargetState, TargetVm};
use clem_policy::dispatch::{
    ColdTarget, CrashReport, Dispatcher, FrontNews, LeavingTargets, LimitReport, LowBuckets,
    Origin, PartNews, RateLimit, SHARE_LIFE, TargetLimit, TargetSlots, UnknownShares, least_share,
};
use clem_state::{batch_group::BatchGroup, evacuations::Evacuations};
use clem_types::{Epoch, PartId, Rate, Time, Version};
use clem_wire::fleet::{
    FleetList, FleetListVersion, Follow, FollowReply, POLL_RULES_BYTES, ProcessRole, RetireReply,
    RulesDocument,
};

use crate::{RulesSpread, SpreadReport, TargetList};

/// How long a process counts as alive after its last report.
const PROCESS_TIMEOUT: Duration = Duration::from_millis(4000);
/// Age below which a leader may not have assigned a share of each customer's rate to each front.
const YOUNG: Duration = Duration::from_secs(8);
/// How long a leader collects batch keepers after the first one reports, before it picks the
/// founders: they should span as many data centres as possible.
const FOUNDING_DELAY: Duration = Duration::from_millis(600);

/// Minimum time between two lists that differ in what is sound only: after many crashes at once, parts are
/// cleared one by one.
const SOUND_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum time between two lists that differ in their processes only: when a fleet starts, each
/// process that joins would otherwise have the list sent to all others.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(100);

/// Initial state of a new leader.
#[derive(Debug)]
pub struct LeaderInit {
    /// Term of this leadership.
    pub epoch: Epoch,
    /// Replicated state of the batch group.
    pub batch_group: BatchGroup,
    /// Burst granted to each customer, in requests; what it used under the previous leader is
    /// unknown.
    pub allowance: f64,
}

/// The polls that have an update, among those that the leader holds.
#[derive(Debug, PartialEq, Eq)]
pub enum Wakes {
    /// The polls of all processes.
    All,
    /// The polls of these holders, which have slots to give back.
    Holders(BTreeSet<String>),
}

/// In-memory state of the leader.
#[derive(Debug)]
pub struct LeaderState {
    /// Term of this leadership.
    pub epoch: Epoch,
    /// Slots, queues and rate limits.
    pub dispatcher: Dispatcher,
    /// The rules in force.
    pub rules: RulesDocument,
    /// The services that the rules name.
    pub rules_services: BTreeSet<String>,
    /// Replicated state of the batch group.
    pub batch_group: BatchGroup,
    change: u64,
    /// The change and the rules for which all polls were last woken.
    woken: (u64, Version),
    /// The platform's target list as it was read.
    listed: Option<Vec<TargetVm>>,
    /// The list as the processes get it: targets that said that they are leaving are draining.
    targets: TargetList,
    leaving: LeavingTargets,
    /// The evacuated data centres, whose targets get no requests.
    evacuated: BTreeSet<String>,
    /// The services that had targets.
    services: BTreeSet<String>,
    processes: BTreeMap<String, Process>,
    /// The members of the batch group, as its leader last reported them.
    members: Vec<SocketAddr>,
    allowance: f64,
    /// The low buckets by the replicated state; `None` if there is no record yet.
    low_buckets: Option<LowBuckets>,
    first_keeper: Option<Time>,
    /// The holder of each vm's front that has reported to this leader.
    fronts_heard: BTreeMap<String, String>,
    /// The most fronts that an earlier leader knew, by the reports.
    fronts_before: u32,
    /// When this leader was first asked to do something.
    started: Option<Time>,
    spread: RulesSpread,
    /// The crashes that make parts suspected, as the processes get them, and when that was determined.
    crashes: (Time, Vec<CrashReport>),
    /// Whether limits of targets have changed since the last tick, which publishes them.
    limits_changed: bool,
    /// Whether parts have been cleared of crashes since that was last published.
    sound_changed: bool,
    /// Whether there is something to publish with the next list.
    unpublished: bool,
    /// When a list was last published.
    published: Time,
}

/// A process that reports to the leader.
#[derive(Debug, Clone)]
pub struct Process {
    /// The name of its vm.
    pub vm: String,
    /// Its role.
    pub role: ProcessRole,
    /// Address for calls from other processes; `None` if it serves none.
    pub address: Option<SocketAddr>,
    /// Version of its rules.
    rules: Version,
    heard: Time,
}

impl LeaderState {
    /// Creates the state of a leader that has received no reports yet.
    pub fn new(start: LeaderInit) -> Self {
        Self {
            epoch: start.epoch,
            dispatcher: Dispatcher::default(),
            rules: RulesDocument::default(),
            rules_services: BTreeSet::new(),
            batch_group: start.batch_group,
            change: 1,
            woken: (1, Version(0)),
            listed: None,
            targets: TargetList::default(),
            leaving: LeavingTargets::default(),
            evacuated: BTreeSet::new(),
            services: BTreeSet::new(),
            processes: BTreeMap::new(),
            members: Vec::new(),
            allowance: start.allowance,
            low_buckets: None,
            first_keeper: None,
            fronts_heard: BTreeMap::new(),
            fronts_before: 0,
            started: None,
            spread: RulesSpread::default(),
            crashes: (Time::ZERO, Vec::new()),
            limits_changed: false,
            sound_changed: false,
            unpublished: false,
            published: Time::ZERO,
        }
    }

    /// Removes and returns the polls that have got an update since the last call.
    pub fn take_wakes(&mut self) -> Wakes {
        let holders = self.dispatcher.take_recall_news();
        let stamp = (self.change, self.rules.version);
        if std::mem::replace(&mut self.woken, stamp) != stamp {
            return Wakes::All;
        }
        Wakes::Holders(holders)
    }

    /// Installs newer rules; older ones are ignored.
    pub fn set_rules(&mut self, now: Time, document: RulesDocument, rules: &Ruleset) {
        if document.version <= self.rules.version {
            return;
        }
        self.spread.start(now, document.version);
        self.rules = document;
        self.rules_services = rules.services.keys().cloned().collect();
        let mut rates = HashMap::new();
        for customer in &rules.customers {
            let limit = RateLimit {
                rate: customer.rate,
                burst: customer.burst,
            };
            rates.insert(customer.name.clone(), limit);
        }
        self.dispatcher.set_rates(now, &rates, self.allowance);
        let services = rules_cold(rules);
        self.dispatcher.set_cold_rates(services);
    }

    /// Installs the replicated state of the batch group.
    pub fn set_batch_group(&mut self, batch_group: BatchGroup) {
        self.batch_group = batch_group;
        self.change += 1;
    }

    /// Installs which data centres are evacuated, and returns whether that has changed.
    pub fn set_evacuations(&mut self, now: Time, evacuations: &Evacuations) -> bool {
        metrics::gauge!("clem_hub_evacuated").set(evacuations.data_centres.len() as f64);
        if self.evacuated == evacuations.data_centres {
            return false;
        }
        self.presume_cold(now, &evacuations.data_centres);
        self.evacuated.clone_from(&evacuations.data_centres);
        self.change += 1;
        self.apply_targets(now);
        true
    }

    /// Takes over the record of low buckets of the leaders before.
    pub fn restore_low_buckets(&mut self, low: Option<LowBuckets>) {
        self.low_buckets.clone_from(&low);
        self.dispatcher.restore_low_buckets(low);
    }

    /// The record of low buckets to store; `None` if the stored one holds.
    pub fn changed_low_buckets(&mut self, now: Time) -> Option<LowBuckets> {
        let levels = self.dispatcher.bucket_levels(now);
        let known = self.low_buckets.clone().unwrap_or_default();
        let low = known.updated(&levels);
        (self.low_buckets.as_ref() != Some(&low)).then_some(low)
    }

    /// Notes that a record of low buckets is stored.
    pub fn note_low_buckets(&mut self, low: LowBuckets) {
        self.low_buckets = Some(low);
    }

    /// Presumes the targets cold whose data centre gets work again: they may have restarted while it was
    /// evacuated.
    fn presume_cold(&mut self, now: Time, evacuated: &BTreeSet<String>) {
        for target in self.listed.iter().flatten() {
            let was = self.evacuated.contains(&target.data_centre);
            if was && !evacuated.contains(&target.data_centre) {
                self.dispatcher.presume_cold(now, &target.id);
            }
        }
    }

    /// Paces cold targets, logs which have turned cold or warm, and publishes them.
    fn pace_cold(&mut self, now: Time) {
        for news in self.dispatcher.pace_cold(now) {
            match news.rate {
                Some(rate) => {
                    log::info!(target = news.target.as_str(), rate:% = rate; "target cold");
                }
                None => log::info!(target = news.target.as_str(); "target warm"),
            }
            self.unpublished = true;
        }
    }

    /// Installs the platform's target list and returns whether it changed.
    pub fn set_targets(&mut self, now: Time, targets: Vec<TargetVm>) -> bool {
        let versions = targets.iter().map(|t| (t.service.as_str(), &t.version));
        self.dispatcher.note_versions(now, versions);
        if self.listed.as_ref() == Some(&targets) {
            return false;
        }
        let ids: HashSet<&str> = targets.iter().map(|target| target.id.as_str()).collect();
        self.leaving.retain(now, |id| ids.contains(id));
        self.dispatcher.retain_limits(now, |id| ids.contains(id));
        let before = self.listed.take().unwrap_or_default();
        for target in &before {
            let listed = ids.contains(target.id.as_str());
            let planned = target.state != TargetState::Ready || self.leaving.contains(&target.id);
            if listed || planned {
                continue;
            }
            self.dispatcher.note_gone(now, &target.id);
        }
        self.listed = Some(targets);
        self.apply_targets(now);
        true
    }

    /// Records targets that said to a process that they are leaving.
    pub fn note_leaving(&mut self, now: Time, source: &str, ids: &[String]) {
        let mut news = false;
        for id in ids {
            if self.leaving.note(now, id) {
                log::info!(target = id.as_str(), source; "target reported as leaving");
                news = true;
            }
        }
        if news {
            self.apply_targets(now);
        }
    }

    /// Records answers of targets that named another limit than was published.
    pub fn note_limits(&mut self, now: Time, source: &str, reports: &[LimitReport]) {
        for report in reports {
            if !self.dispatcher.note_limit(now, report) {
                continue;
            }
            log::info!(
                target = report.target.as_str(), source, limit = report.rate.map(|r| r.to_string());
                "target limit changed"
            );
            self.limits_changed = true;
        }
    }

    /// Takes over limits that a process knows, after a change of leader.
    pub fn restore_limits(&mut self, now: Time, source: &str, limits: &[TargetLimit]) {
        for limit in self.dispatcher.restore_limits(now, limits) {
            log::info!(
                target = limit.target.as_str(), source, limit:% = limit.rate;
                "target limit taken over"
            );
            self.limits_changed = true;
        }
    }

    /// Applies the list and the leaving targets to the dispatcher and to the list for processes.
    fn apply_targets(&mut self, now: Time) {
        let Some(mut targets) = self.listed.clone() else {
            return;
        };
        let staying: BTreeSet<String> = targets
            .iter()
            .filter(|t| t.state == TargetState::Ready && !self.leaving.contains(&t.id))
            .filter(|t| !self.evacuated.contains(&t.data_centre))
            .map(|t| t.service.clone())
            .collect();
        for target in &mut targets {
            // Without another target of its service it is used for as long as it answers.
            if self.leaving.contains(&target.id) && staying.contains(&target.service) {
                target.state = TargetState::Draining;
            }
        }
        let mut by_service: BTreeMap<&str, Vec<TargetSlots>> = BTreeMap::new();
        for service in &self.services {
            by_service.insert(service, Vec::new());
        }
        for target in &targets {
            let list = by_service.entry(&target.service).or_default();
            if target.state != TargetState::Ready || self.evacuated.contains(&target.data_centre) {
                continue;
            }
            list.push(TargetSlots {
                target: target.id.clone(),
                data_centre: target.data_centre.clone(),
                slots: target.slots,
                version: target.version.clone(),
            });
        }
        for (service, slots) in &by_service {
            self.dispatcher.set_targets(now, service, slots);
        }
        self.services = by_service.keys().map(|name| (*name).to_owned()).collect();
        if self.targets.replace(targets) {
            self.change += 1;
        }
    }

    /// Records a report of a process.
    pub fn record_report(&mut self, now: Time, follow: &Follow) {
        // Before the crashes, which alone tell of no trial.
        if follow.seen.epoch != self.epoch {
            self.dispatcher.restore_blocked(now, &follow.blocked);
        }
        self.dispatcher.note_crashes(now, &follow.crashes);
        self.restore_limits(now, &follow.vm, &follow.limits);
        self.dispatcher.restore_streams(now, &follow.streams);
        let process = Process {
            vm: follow.vm.clone(),
            role: follow.role,
            address: follow.address,
            rules: follow.rules,
            heard: now,
        };
        if self
            .processes
            .insert(follow.holder.clone(), process)
            .is_none()
        {
            self.unpublished = true;
        }
        if follow.role == ProcessRole::Front {
            self.record_front(now, follow);
        }
        if follow.role == ProcessRole::Batch && self.first_keeper.is_none() {
            self.first_keeper = Some(now);
        }
        if let Some(members) = &follow.members {
            self.members.clone_from(members);
        }
        self.dispatcher.report(now, &follow.holder, &follow.held);
    }

    fn record_front(&mut self, now: Time, follow: &Follow) {
        if follow.seen.epoch != self.epoch {
            self.fronts_before = self.fronts_before.max(follow.fronts);
        }
        let before = self
            .fronts_heard
            .insert(follow.vm.clone(), follow.holder.clone());
        if let Some(ended) = before.filter(|before| *before != follow.holder) {
            self.dispatcher.note_ended(now, &ended);
        }
        self.share_rates(now);
        self.dispatcher
            .note_front(now, &follow.holder, &follow.spent);
    }

    /// Tells the dispatcher what fronts may use of the customers' rates that this leader has assigned
    /// no share to.
    fn share_rates(&mut self, now: Time) {
        let age = now.since(*self.started.get_or_insert(now));
        let heard = u32::try_from(self.fronts_heard.len()).unwrap_or(u32::MAX);
        let before = self.fronts_before;
        let mut unknown = UnknownShares {
            least: least_share(before.max(self.fronts())),
            unheard: 0.0,
        };
        if age < SHARE_LIFE && before > 0 {
            unknown.unheard = f64::from(before.saturating_sub(heard)) / f64::from(before);
        }
        if age < YOUNG {
            // A front may still use a share of an earlier leader.
            unknown.least = 1.0 / f64::from(before.max(self.fronts()).max(1));
        }
        self.dispatcher.set_unknown_shares(now, unknown);
    }

    /// Logs fronts that are out of touch, and those that report again.
    fn log_fronts(&mut self) {
        for news in self.dispatcher.take_front_news() {
            match news {
                FrontNews::Away { holder, silent } => log::warn!(
                    holder = holder.as_str(), silent_ms = silent.as_millis() as u64;
                    "front out of touch"
                ),
                FrontNews::Back { holder, spent } => log::info!(
                    holder = holder.as_str(), spent;
                    "front in touch again"
                ),
            }
        }
        metrics::gauge!("clem_hub_fronts_away").set(self.dispatcher.fronts_away() as f64);
    }

    /// Logs what has come under suspicion to crash targets, and lists new blocks for followers.
    pub fn publish_parts(&mut self, now: Time) {
        for news in self.dispatcher.take_part_news() {
            match news {
                PartNews::Crashed {
                    target,
                    ticket,
                    parts,
                } => {
                    let counts: Vec<String> = parts
                        .iter()
                        .map(|(part, crashes)| format!("{part}:{crashes}"))
                        .collect();
                    log::info!(
                        target = target.as_str(), ticket = ticket.0, crashes = counts.join(",");
                        "crash counted"
                    );
                }
                PartNews::Uncounted { ticket } => {
                    log::warn!(ticket = ticket.0; "crash under an unknown slot");
                }
                PartNews::Suspected { part, crashes } => {
                    log::warn!(
                        part:% = part, whole_request = part.is_whole(), crashes;
                        "part suspected of crashing targets"
                    );
                    self.crashes = (now, self.dispatcher.crash_reports(now));
                    self.change += 1;
                }
                PartNews::Blocked {
                    parts,
                    crashes,
                    trials,
                } => {
                    log::warn!(parts = join(&parts), crashes, trials; "parts blocked");
                    self.change += 1;
                }
                PartNews::Unblocked { parts } => {
                    log::info!(parts = join(&parts); "part unblocked");
                    self.change += 1;
                }
            }
        }
    }

    /// Logs how streams of unknown origin were judged.
    pub fn log_streams(&mut self) {
        for news in self.dispatcher.take_stream_news() {
            let version = |origin: Option<Origin>| origin.map(|o| o.version.map(|v| v.to_string()));
            log::info!(
                ticket = news.ticket.0, holder = news.holder.as_str(),
                service = news.service.as_str(), version:? = version(news.origin),
                claimed:? = version(news.claimed),
                list_age_ms = news.list_age.map(|age| age.as_millis() as u64);
                "stream of unknown origin"
            );
        }
    }

    /// Expires silent processes and overdue requests.
    pub fn tick(&mut self, now: Time) {
        self.share_rates(now);
        self.dispatcher.tick(now);
        self.log_fronts();
        self.pace_cold(now);
        if std::mem::take(&mut self.limits_changed) {
            self.change += 1;
        }
        let before = self.processes.len();
        self.processes
            .retain(|_, process| now.since(process.heard) < PROCESS_TIMEOUT);
        self.unpublished |= self.processes.len() != before;
        self.sound_changed |= self.dispatcher.take_sound_news();
        if self.sound_changed && now.since(self.published) >= SOUND_INTERVAL {
            self.sound_changed = false;
            self.crashes = (now, self.dispatcher.crash_reports(now));
            self.unpublished = true;
        }
        if self.unpublished && now.since(self.published) >= PUBLISH_INTERVAL {
            self.unpublished = false;
            self.published = now;
            self.change += 1;
        }
    }

    /// A report on the newest rules, once they are in force on all processes, and at intervals until
    /// then.
    pub fn check_spread(&mut self, now: Time) -> Option<SpreadReport> {
        let processes = self.processes.values();
        self.spread
            .check(now, processes.map(|p| (p.vm.as_str(), p.rules)))
    }

    /// The founding members of the batch group, once enough batch keepers have reported; `None`
    /// before that and once it is founded.
    pub fn founders(&self, now: Time, tolerance: usize) -> Option<Vec<SocketAddr>> {
        let wanted = 2 * tolerance + 1;
        let first = self.first_keeper?;
        let settled = now.since(first) >= FOUNDING_DELAY;
        if !self.batch_group.founders.is_empty() || !settled {
            return None;
        }
        let mut founders: Vec<SocketAddr> = self.batch().filter_map(|p| p.address).collect();
        founders.sort_unstable();
        founders.dedup();
        founders.truncate(wanted);
        (founders.len() == wanted).then_some(founders)
    }

    /// Whether a vm can be retired (with `begin`), or how far retiring it has got; `wanted` members
    /// must remain.
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

    /// The update for a follower; `None` if it is up to date.
    pub fn updates(
        &mut self,
        now: Time,
        follow: &Follow,
        hub: Vec<SocketAddr>,
    ) -> Option<FollowReply> {
        let seen = FleetListVersion {
            epoch: self.epoch,
            change: self.change,
            targets: self.targets.version(),
        };
        let newest = self.rules.version;
        let known = follow.announced.unwrap_or_default().max(follow.rules);
        let rules = (newest > known).then(|| self.poll_rules(follow)).flatten();
        let knows_targets = (follow.seen.epoch, follow.seen.targets) == (seen.epoch, seen.targets);
        let update = follow.targets.and_then(|known| self.targets.update(known));
        let in_full = follow.targets.is_none() && !knows_targets;
        let fleet = (follow.seen != seen || update.is_some()).then(|| FleetList {
            seen,
            targets: in_full.then(|| self.targets.whole()).flatten(),
            update,
            hub,
            founders: self.batch_group.founders.clone(),
            batch: self.batch().filter_map(|p| p.address).collect(),
            retiring: self.retiring().filter_map(|p| p.address).collect(),
            fronts: self.fronts(),
            blocked: self.dispatcher.blocked_parts(now),
            crashes: self.suspect_crashes(now),
            sound: self.dispatcher.sound_parts(now),
            limits: self.dispatcher.limits(),
            evacuated: self.evacuated.clone(),
            cold: self.cold_targets(now),
        });
        let recalls = self.dispatcher.take_recalls(&follow.holder);
        if newest <= known && fleet.is_none() && recalls.is_empty() {
            return None;
        }
        Some(FollowReply {
            newest,
            rules,
            fleet,
            recalls,
        })
    }

    /// The newest rules, if they belong in the reply to a poll of this follower.
    fn poll_rules(&self, follow: &Follow) -> Option<RulesDocument> {
        if follow.announced.is_some() {
            return (self.rules.document.len() <= POLL_RULES_BYTES).then(|| self.rules.clone());
        }
        // A follower of an earlier release can neither fetch nor unpack rules.
        match self.rules.text() {
            Ok(document) => Some(RulesDocument {
                version: self.rules.version,
                document,
            }),
            Err(error) => {
                log::error!(version = self.rules.version.0, error:% = error; "rules damaged");
                None
            }
        }
    }

    fn cold_targets(&self, now: Time) -> Vec<ColdTarget> {
        let cold = self.dispatcher.cold_targets(now);
        metrics::gauge!("clem_hub_cold_targets").set(cold.len() as f64);
        cold
    }

    /// The crashes that make parts suspected, with their present ages.
    fn suspect_crashes(&self, now: Time) -> Vec<CrashReport> {
        let (determined, mut crashes) = self.crashes.clone();
        let passed = u32::try_from(now.since(determined).as_millis()).unwrap_or(u32::MAX);
        for crash in &mut crashes {
            crash.age_ms = crash.age_ms.saturating_add(passed);
        }
        crashes
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
        let processes = self.processes.values();
        let fronts = processes.filter(|p| p.role == ProcessRole::Front);
        // A front that was restarted is listed twice for a while.
        let vms: BTreeSet<&str> = fronts.map(|p| p.vm.as_str()).collect();
        u32::try_from(vms.len()).unwrap_or(u32::MAX)
    }
}

/// How many requests a second cold targets take, by service.
fn rules_cold(rules: &Ruleset) -> HashMap<String, Rate> {
    let services = rules.services.values();
    services
        .filter_map(|service| Some((service.name.clone(), service.cold_rate?)))
        .collect()
}

/// A list of parts, for log lines.
pub(crate) fn join(parts: &[PartId]) -> String {
    let texts: Vec<String> = parts.iter().map(PartId::to_string).collect();
    texts.join(",")
}
