//! Shared state of one process of the direct path.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use clem_boot::Clock;
use clem_edge::{Dialect, NamedLimit, TargetVm};
use clem_policy::dispatch::{
    Budget, ColdTargets, Fallback, GrantOutcome, HeldGrant, LeavingTargets, LimitReport, Origin,
    RateTolerance, StreamKey, Ticket, retry_after,
};
use clem_types::{Time, Version};
use clem_wire::{
    Client, FleetSecret, LeaderClient,
    fleet::{LEADER_LOSS_NOTICED, ProcessRole},
};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::SliceRandom};
use tokio::sync::{Notify, watch};

use crate::{
    crash_log::CrashLog,
    limits::Limits,
    list::{ListReader, Readings},
    pool::Pool,
    stream_log::StreamLog,
    view::View,
};

/// Settings of a [`Node`].
pub struct NodeSettings {
    /// The name of the vm that the process runs on.
    pub vm: String,
    /// The data centre of the vm.
    pub data_centre: String,
    /// The role of the process.
    pub role: ProcessRole,
    /// Address for calls from other processes; `None` if it serves none.
    pub address: Option<SocketAddr>,
    /// Initial hub members.
    pub hub: Vec<SocketAddr>,
    /// Address of the platform's target list.
    pub list: SocketAddr,
    /// How far the platform's target list lags behind.
    pub list_lag: Duration,
    /// Part of the rate of a cold target that all processes without a leader may use together, if the
    /// service has no warm target.
    pub cold_share: f64,
    /// What the platform tolerates above a customer's rate.
    pub tolerance: RateTolerance,
    /// How long a target may get requests after it has said that it is leaving.
    pub drain: Duration,
    /// The secret that processes of the fleet use to authenticate to each other.
    pub secret: FleetSecret,
    /// Translates the platform's protocol.
    pub dialect: Arc<dyn Dialect>,
}

/// A slot that this process holds.
#[derive(Debug)]
pub(crate) struct HeldSlot {
    pub(crate) grant: HeldGrant,
    /// When it was granted.
    pub(crate) since: Time,
}

/// Shared state of one process of the direct path. The runtime has one thread, so the mutexes are
/// never contended.
pub struct Node {
    /// The clock of this process.
    pub clock: Clock,
    /// Identifies this run of the process; differs after each restart.
    pub holder: String,
    /// The name of the vm that the process runs on.
    pub vm: String,
    /// The data centre of the vm.
    pub data_centre: String,
    /// The role of the process.
    pub role: ProcessRole,
    /// Address for calls from other processes; `None` if it serves none.
    pub address: Option<SocketAddr>,
    /// Translates the platform's protocol.
    pub dialect: Arc<dyn Dialect>,
    /// Client for the hub; its addresses follow the hub's member list.
    pub hub: LeaderClient,
    /// Client for the leader of the batch group.
    pub jobs: LeaderClient,
    pub(crate) pool: Pool,
    pub(crate) ends_ready: Notify,
    view: Mutex<View>,
    fallback: Mutex<Fallback>,
    leaving: Mutex<LeavingTargets>,
    leaving_news: Mutex<Vec<String>>,
    drain: Duration,
    held: Mutex<HashMap<Ticket, HeldSlot>>,
    crashes: Mutex<CrashLog>,
    limits: Mutex<Limits>,
    cold: Mutex<ColdTargets>,
    /// This process's parts of cold targets' rates while no leader answers.
    cold_budgets: Mutex<HashMap<String, Budget>>,
    cold_share: f64,
    tolerance: RateTolerance,
    streams: Mutex<StreamLog>,
    readings: tokio::sync::Mutex<Readings>,
    ends: Mutex<Vec<(Ticket, GrantOutcome)>>,
    rng: Mutex<StdRng>,
    changes: watch::Sender<u64>,
    announced: watch::Sender<Version>,
    recalls: Mutex<Vec<Ticket>>,
    leader_heard: Mutex<Time>,
    /// Notified when the hub recalls slots.
    pub recalled: Notify,
}

impl Node {
    /// Creates a node without rules or targets.
    pub fn new(settings: NodeSettings) -> Self {
        let mut rng = StdRng::from_os_rng();
        let client = Client::new(settings.secret);
        let group = |client, members| {
            LeaderClient::new(client, members).with_election_timeout(LEADER_LOSS_NOTICED)
        };
        let holder = format!("{}.{:08x}", settings.vm, rng.random::<u32>());
        let reader = ListReader::new(Arc::clone(&settings.dialect), settings.list);
        let mut cold = ColdTargets::default();
        cold.set_lag(settings.list_lag);
        Self {
            clock: Clock::start(),
            holder,
            vm: settings.vm,
            data_centre: settings.data_centre,
            role: settings.role,
            address: settings.address,
            dialect: settings.dialect,
            hub: group(client.clone(), settings.hub),
            jobs: group(client, Vec::new()),
            pool: Pool::default(),
            ends_ready: Notify::new(),
            view: Mutex::default(),
            fallback: Mutex::default(),
            leaving: Mutex::default(),
            leaving_news: Mutex::default(),
            drain: settings.drain,
            held: Mutex::default(),
            crashes: Mutex::default(),
            limits: Mutex::default(),
            cold: Mutex::new(cold),
            cold_budgets: Mutex::default(),
            cold_share: settings.cold_share,
            tolerance: settings.tolerance,
            streams: Mutex::default(),
            readings: tokio::sync::Mutex::new(Readings::new(reader)),
            ends: Mutex::default(),
            rng: Mutex::new(rng),
            changes: watch::Sender::new(0),
            announced: watch::Sender::new(Version(0)),
            recalls: Mutex::default(),
            leader_heard: Mutex::new(Time::ZERO),
            recalled: Notify::new(),
        }
    }

    /// The current time of this process's clock.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Locks the state last received from the hub.
    pub fn view(&self) -> MutexGuard<'_, View> {
        lock(&self.view)
    }

    /// Subscribes to changes of the view.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Subscribes to the newest version of the rules that the hub has announced.
    pub(crate) fn announced(&self) -> watch::Receiver<Version> {
        self.announced.subscribe()
    }

    /// The newest version of the rules that the hub has announced.
    pub(crate) fn newest_announced(&self) -> Version {
        *self.announced.borrow()
    }

    /// Records that the hub announced a version of the rules.
    pub(crate) fn note_announced(&self, version: Version) {
        self.announced.send_if_modified(|newest| {
            let newer = version > *newest;
            *newest = version.max(*newest);
            newer
        });
    }

    /// Puts items in a random order.
    pub(crate) fn shuffle<T>(&self, items: &mut [T]) {
        items.shuffle(&mut *lock(&self.rng));
    }

    /// A random number in `0.0..1.0`.
    pub fn random(&self) -> f64 {
        lock(&self.rng).random()
    }

    /// Removes and returns the tickets of recalled slots.
    pub fn take_recalls(&self) -> Vec<Ticket> {
        std::mem::take(&mut *lock(&self.recalls))
    }

    /// Adds up to 50% of random delay to a retry time, so that callers don't retry in step.
    pub fn with_jitter(&self, retry: Duration) -> Duration {
        retry.mul_f64(1.0 + self.random() / 2.0)
    }

    /// When a caller with `left` of its time should retry if room is expected after `room`.
    pub fn retry_after(&self, room: Duration, left: Duration) -> Duration {
        retry_after(self.random(), room, left)
    }

    /// Whether requests are currently placed without the hub's leader.
    pub fn uses_fallback(&self) -> bool {
        self.fallback().is_active()
    }

    /// Time since the process started.
    pub fn uptime(&self) -> Duration {
        self.now().since(Time::ZERO)
    }

    pub(crate) fn fallback(&self) -> MutexGuard<'_, Fallback> {
        lock(&self.fallback)
    }

    /// Places requests before any leader was heard of.
    pub(crate) fn start_alone(&self) {
        self.fallback().start_alone(self.tolerance);
    }

    /// Whether this process has started without a leader and heard of none since.
    pub fn starts_alone(&self) -> bool {
        self.fallback().is_fresh()
    }

    /// Waits until a condition of what the hub sends holds, for at most `limit`; returns whether it does.
    pub async fn wait_until(&self, limit: Duration, condition: impl Fn() -> bool) -> bool {
        let mut changes = self.changes();
        let met = async {
            loop {
                changes.mark_unchanged();
                if condition() {
                    return;
                }
                if changes.changed().await.is_err() {
                    return std::future::pending().await;
                }
            }
        };
        tokio::time::timeout(limit, met).await.is_ok()
    }

    /// Records that the hub's leader responded.
    pub(crate) fn note_leader(&self) {
        let now = self.now();
        *lock(&self.leader_heard) = now;
        if self.fallback().note_heard(now) {
            self.limits().drop_shares();
            lock(&self.cold_budgets).clear();
            log::info!("placing through the leader again");
        }
    }

    /// When the hub's leader last responded.
    pub(crate) fn leader_heard(&self) -> Time {
        *lock(&self.leader_heard)
    }

    /// Time since the last reply of the hub's leader to a poll, on which this process's list of targets
    /// rests; `None` before the first one.
    pub fn hub_silence(&self) -> Option<Duration> {
        let heard = self.view().heard;
        heard.map(|heard| self.now().since(heard))
    }

    pub(crate) fn note_change(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    pub(crate) fn note_recalls(&self, recalls: Vec<Ticket>) {
        if recalls.is_empty() {
            return;
        }
        lock(&self.recalls).extend(recalls);
        self.recalled.notify_one();
    }

    pub(crate) fn new_ticket(&self) -> Ticket {
        Ticket(lock(&self.rng).random())
    }

    pub(crate) fn hold(&self, grant: HeldGrant) {
        let since = self.now();
        lock(&self.held).insert(grant.ticket, HeldSlot { grant, since });
    }

    pub(crate) fn held(&self) -> Vec<HeldGrant> {
        let held = lock(&self.held);
        held.values().map(|held| held.grant.clone()).collect()
    }

    /// What this process knows of crashes of targets.
    pub(crate) fn crashes(&self) -> MutexGuard<'_, CrashLog> {
        lock(&self.crashes)
    }

    /// Number of slots that this process holds at a target.
    pub(crate) fn held_at(&self, target: &str) -> usize {
        lock(&self.held)
            .values()
            .filter(|held| held.grant.target == target)
            .count()
    }

    /// Whether this process holds a slot for a batch item at a target.
    pub(crate) fn holds_item_at(&self, target: &str) -> bool {
        let held = lock(&self.held);
        let mut grants = held.values().map(|held| &held.grant);
        grants.any(|grant| grant.batch && grant.target == target)
    }

    pub(crate) fn release_slot(&self, ticket: Ticket, ended: GrantOutcome) {
        if let Some(held) = lock(&self.held).remove(&ticket) {
            let now = self.now();
            self.fallback().note(now, &held.grant.target, ended);
            self.cold().note_end(now, &held.grant.target, ended);
            self.crashes().note_end(now, &held, ended);
        }
        lock(&self.ends).push((ticket, ended));
        self.ends_ready.notify_one();
    }

    /// Where the streams of this process began.
    pub(crate) fn streams(&self) -> MutexGuard<'_, StreamLog> {
        lock(&self.streams)
    }

    /// Where a caller's attempt began, if this process got its slot.
    pub fn origin(&self, key: StreamKey) -> Option<Origin> {
        self.streams().streams().origin(key).cloned()
    }

    /// The only origin that a stream of a service can have at `now`: the version of the software that all
    /// its targets have had for `span` or longer.
    pub fn settled_origin(&self, now: Time, service: &str, span: Duration) -> Option<Origin> {
        let version = self.view().settled_version(now, service, span)?;
        Some(Origin {
            service: service.to_owned(),
            version,
        })
    }

    /// The readings of the platform's list.
    pub(crate) fn readings(&self) -> &tokio::sync::Mutex<Readings> {
        &self.readings
    }

    /// The limits that targets named.
    pub(crate) fn limits(&self) -> MutexGuard<'_, Limits> {
        lock(&self.limits)
    }

    /// Which targets are cold, as far as this process knows.
    pub(crate) fn cold(&self) -> MutexGuard<'_, ColdTargets> {
        lock(&self.cold)
    }

    /// Whether a request may be sent to a cold target without a leader, by an equal part of what all
    /// `fronts` may send there together.
    pub(crate) fn may_use_cold(&self, now: Time, target: &TargetVm, fronts: u32) -> bool {
        let Some(rate) = self.cold().service_rate(&target.service) else {
            return true;
        };
        let part = self.cold_share / f64::from(fronts.max(1));
        if part <= 0.0 {
            return false;
        }
        let mut budgets = lock(&self.cold_budgets);
        let budget = budgets
            .entry(target.id.clone())
            .or_insert_with(|| Budget::part_of_cold(now, rate, part));
        budget.available(now) > 0
    }

    /// Takes a request that is sent to a cold target without a leader.
    pub(crate) fn take_cold(&self, now: Time, target: &str) {
        if let Some(budget) = lock(&self.cold_budgets).get_mut(target) {
            budget.take(now);
        }
    }

    /// Records what the answer to the request in a slot says of its target's limit, and tells the hub
    /// if that is news.
    pub(crate) fn note_limit(&self, ticket: Ticket, target: &TargetVm, limit: NamedLimit) {
        let rate = match limit {
            NamedLimit::Unlimited => None,
            NamedLimit::Rate(rate) => Some(rate),
            NamedLimit::Unreadable => {
                if self.limits().is_first_unreadable(&target.id) {
                    log::warn!(target = target.id.as_str(); "target limit unreadable");
                }
                return;
            }
        };
        let now = self.now();
        let sent = lock(&self.held).get(&ticket).map_or(now, |h| h.since);
        let published = self.view().limits.get(&target.id).copied();
        let report = LimitReport {
            ticket,
            target: target.id.clone(),
            rate,
        };
        if !self.limits().note(now, sent, report, published) {
            return;
        }
        log::info!(
            target = target.id.as_str(), service = target.service.as_str(),
            limit = rate.map(|r| r.to_string()), known = published.map(|r| r.to_string());
            "target named another limit"
        );
        self.ends_ready.notify_one();
    }

    /// Records that a target said in an answer that it is leaving, and tells the hub.
    pub(crate) fn note_leaving(&self, target: &TargetVm) {
        let now = self.now();
        {
            let view = self.view();
            let mut leaving = lock(&self.leaving);
            leaving.retain(now, |id| view.targets.contains_key(id));
            if !leaving.note(now, &target.id) {
                return;
            }
        }
        log::info!(
            target = target.id.as_str(), service = target.service.as_str(),
            until_ms = self.drain.as_millis() as u64;
            "target says that it is leaving"
        );
        lock(&self.leaving_news).push(target.id.clone());
        self.ends_ready.notify_one();
    }

    /// Whether a target said so long ago that it is leaving that it must get no request.
    pub(crate) fn is_closed(&self, target: &str) -> bool {
        lock(&self.leaving).is_closed(self.now(), target, self.drain)
    }

    /// Whether a target said that it is leaving.
    pub(crate) fn is_leaving(&self, target: &str) -> bool {
        lock(&self.leaving).contains(target)
    }

    /// The ids of the targets that said that they are leaving.
    pub(crate) fn leaving(&self) -> Vec<String> {
        lock(&self.leaving).ids().cloned().collect()
    }

    /// Removes and returns the ids that the hub was not told of yet.
    pub(crate) fn take_leaving_news(&self) -> Vec<String> {
        std::mem::take(&mut *lock(&self.leaving_news))
    }

    /// The leaving targets of a service that a new request must not use: all of them if another
    /// target can serve it, otherwise those that are closed.
    pub(crate) fn leaving_to_avoid(&self, service: &str) -> Vec<String> {
        let leaving = self.leaving();
        if leaving.is_empty() {
            return leaving;
        }
        let others = self
            .view()
            .ready(service)
            .any(|target| !leaving.contains(&target.id));
        let mut avoid = leaving;
        if !others {
            avoid.retain(|target| self.is_closed(target));
        }
        avoid
    }

    pub(crate) fn take_ends(&self) -> Vec<(Ticket, GrantOutcome)> {
        std::mem::take(&mut *lock(&self.ends))
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
