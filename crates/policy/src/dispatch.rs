//! Admission control and scheduling of requests onto the slots of a service's targets.
//!
//! The expected workload is short online requests, in bursts above what the targets can run, and
//! batch items that occupy a slot for seconds. Engines are first come, first served and have no
//! priorities, so requests queue here, at one scheduler for the whole fleet:
//! - Online requests come first, by rank and then by arrival.
//! - Batch items run earliest deadline first in the slots that online requests leave free. They
//!   are preempted when online requests wait: an item resumes elsewhere from where it stopped.
//! - An online request that is expected to miss its latency objective is rejected at once, with a
//!   retry delay. A caller's second attempt is queued instead, behind the requests that can still
//!   meet their objective.
//!
//! The scheduler does no I/O and reads no clock. See `docs/design/platform.md`, "Who runs next".

mod cold;
mod crashes;
mod fallback;
mod leaving;
mod limit;
mod low_buckets;
mod pool;
mod rate;
mod retry_after;
mod settled;
mod shares;
mod streams;
mod target;
mod work;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use clem_types::{PartId, Rate, SoftwareVersion, Time};
use serde::{Deserialize, Serialize};
use shares::RateBuckets;

pub use cold::{ColdNews, ColdTarget, ColdTargets, ListedTarget};
pub use crashes::{
    Admission, BlockedParts, CrashParts, CrashReport, PartNews, SUSPECT_CRASHES, SoundPart,
};
pub use fallback::{Fallback, least_share};
pub use leaving::LeavingTargets;
pub use limit::{Budget, LimitReport, LimitedTargets, Pace, TargetLimit};
pub use low_buckets::{LOW_LEVEL, LowBuckets};
pub use pool::{Pool, PoolView};
pub use rate::{RateBucket, RateLimit, RateShare, RateTolerance, SHARE_LIFE};
pub use retry_after::{RouteTimeouts, retry_after};
pub use settled::{SETTLED_MIN, SettledVersions};
pub use shares::{FrontNews, UnknownShares};
pub use streams::{
    Origin, OriginReport, Resumes, StreamKey, StreamRequest, Streams, UnknownStream,
};
pub use target::{GrantOutcome, TargetSlots};
pub use work::{Placement, UnknownPlacement};

/// Time without a message from a holder after which its grants are revoked: three times the
/// longest gap of a live holder. Targets finish or drop what a frozen or killed process had sent
/// them, and a holder that was only slow reports its grants again.
pub const HOLDER_TIMEOUT: Duration = Duration::from_millis(1200);
/// Retry delay for the queued requests of a holder that timed out.
const TIMEOUT_RETRY: Duration = Duration::from_millis(300);
/// Minimum age of a grant before its absence from the holder's report counts as a release: the
/// reply with the grant may still have been in flight when the report was made.
const REPORT_LAG: Duration = Duration::from_millis(600);

/// Retry delay while another request with a suspected part runs.
pub const SUSPECT_RETRY: Duration = Duration::from_millis(300);

/// Id of a slot request and of its grant, drawn at random by the process that asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Ticket(pub u64);

/// Scheduling class of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Urgency {
    /// Interactive: a caller waits for the answer.
    Online,
    /// A batch item, which may be preempted and resumed later.
    Batch {
        /// Time left until the item is due.
        due: Duration,
    },
}

/// A request for one slot.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Id of the request, kept by its grant.
    pub ticket: Ticket,
    /// Process that asks and that will hold the slot.
    pub holder: String,
    /// Service whose targets may run the request.
    pub service: String,
    /// Customer whose rate limit applies; `None` for unlimited requests.
    pub customer: Option<String>,
    /// Priority among requests of the same class; 0 is the highest.
    pub rank: u8,
    /// Scheduling class.
    pub urgency: Urgency,
    /// Set for a caller's second attempt: it is queued rather than refused for being late.
    #[serde(rename = "last")]
    pub final_try: bool,
    /// Longest queueing time with which the latency objective can still be met.
    pub on_time: Duration,
    /// Longest queueing time at all; the request is refused after it.
    #[serde(rename = "patience")]
    pub queue_timeout: Duration,
    /// Data centre of the holder, preferred when choosing a target.
    pub data_centre: String,
    /// Targets that earlier attempts at this request failed on.
    pub avoid: Vec<String>,
    /// What the request has in common with others.
    #[serde(default)]
    pub parts: Vec<PartId>,
    /// The stream that it begins or resumes; `None` if its response can't be resumed.
    #[serde(default)]
    pub stream: Option<StreamRequest>,
}

impl SlotRequest {
    /// Where its stream must go on, once that is known.
    pub fn origin(&self) -> Option<&Origin> {
        match self.stream.as_ref()?.resumes.as_ref()? {
            Resumes::At(origin) => Some(origin),
            Resumes::Attempt { .. } => None,
        }
    }

    /// Whether it begins a stream that may be taken up.
    pub fn begins_stream(&self) -> bool {
        let stream = self.stream.as_ref();
        stream.is_some_and(|stream| stream.key.is_some() && stream.resumes.is_none())
    }
}

/// Decision on a slot request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Verdict {
    /// A slot is reserved for the request, which should be sent now.
    Granted {
        /// Target whose slot was granted.
        target: String,
        /// Part of the customer's rate that the holder may use while no leader is reachable.
        share: RateShare,
        /// Where a stream that can be resumed begins or goes on, by the leader's list; `None` for other
        /// requests.
        #[serde(default)]
        origin: Option<Origin>,
    },
    /// The customer exceeds its rate limit.
    OverRate {
        /// Time until the next token.
        retry: Duration,
    },
    /// No slot is expected to become free in time, or none did.
    Busy {
        /// Suggested retry delay.
        retry: Duration,
        /// Expected queueing time, or the time that the request has waited.
        wait: Duration,
        /// Whether it must wait until another request with a suspected part has ended.
        #[serde(default)]
        suspected: bool,
    },
    /// The service has no listed target.
    NoTarget,
    /// The request has parts that crash each target that runs them.
    Harmful,
    /// It is not known at which version of the software the stream began, or no target has that
    /// version.
    Unresumable,
}

/// A grant as its holder reports it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeldGrant {
    /// Id of the slot request.
    pub ticket: Ticket,
    /// Service that the slot belongs to.
    pub service: String,
    /// Target whose slot is held.
    pub target: String,
    /// Whether a batch item runs in the slot.
    pub batch: bool,
    /// What the request has in common with others.
    #[serde(default)]
    pub parts: Vec<PartId>,
}

/// A slot in use.
#[derive(Debug, Clone)]
struct Grant {
    holder: String,
    service: String,
    target: String,
    batch: bool,
    since: Time,
    /// When it was granted; `None` if a former leader did.
    granted: Option<Time>,
    recalled: bool,
    parts: Vec<PartId>,
    /// The attempt at a stream that it was given to.
    stream: Option<StreamKey>,
}

/// Queues and slots of all services, and the customers' rate limits.
#[derive(Debug, Default)]
pub struct Dispatcher {
    pools: HashMap<String, Pool>,
    rates: RateBuckets,
    grants: BTreeMap<Ticket, Grant>,
    last_heard: HashMap<String, Time>,
    decided: Vec<(Ticket, Verdict)>,
    recalls: HashMap<String, Vec<Ticket>>,
    /// Holders that have got recalls since they were last asked for.
    recall_news: BTreeSet<String>,
    crash_parts: CrashParts,
    limited: LimitedTargets,
    cold: ColdTargets,
    streams: Streams,
    settled: SettledVersions,
    /// When the platform's list was last read.
    listed: Option<Time>,
    stream_news: Vec<StreamNews>,
    placement: Placement,
}

/// A request with suspected parts that counts as running, so that others with these parts wait.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningSuspect {
    /// Id of its slot request.
    pub ticket: Ticket,
    /// The process that holds its slot or waits for one; `None` if there is no such slot request.
    pub holder: Option<String>,
    /// The target of its slot; `None` while it waits for one.
    pub target: Option<String>,
    /// The suspected parts.
    pub parts: Vec<PartId>,
}

/// How a stream was judged whose attempt nobody remembers, for the log.
#[derive(Debug)]
pub struct StreamNews {
    /// Id of its slot request.
    pub ticket: Ticket,
    /// Process that asked for the slot.
    pub holder: String,
    /// The only service that may have begun it.
    pub service: String,
    /// Where it goes on; `None` if it is refused.
    pub origin: Option<Origin>,
    /// Where it would go on by what the process that asked knows.
    pub claimed: Option<Origin>,
    /// Age of the list of targets by which it was judged; `None` without a list.
    pub list_age: Option<Duration>,
}

impl Dispatcher {
    /// Sets how targets are chosen, in all services.
    pub fn set_placement(&mut self, placement: Placement) {
        self.placement = placement;
        for pool in self.pools.values_mut() {
            pool.set_placement(placement);
        }
    }

    /// Notes that the platform's list was read, with the service and version of each target in it.
    pub fn note_versions<'a>(
        &mut self,
        now: Time,
        targets: impl IntoIterator<Item = (&'a str, &'a Option<SoftwareVersion>)>,
    ) {
        self.listed = Some(now);
        self.settled.note(now, targets);
    }

    /// Replaces the list of targets that may get work for a service.
    pub fn set_targets(&mut self, now: Time, service: &str, targets: &[TargetSlots]) {
        let pool = self.pools.entry(service.to_owned()).or_default();
        pool.set_placement(self.placement);
        pool.set_targets(now, targets);
        for slots in targets {
            let cold = self.cold.rate(now, &slots.target);
            let pace = Pace::slower(self.limited.get(&slots.target), cold);
            if pace.is_some() {
                pool.set_pace(now, &slots.target, pace);
            }
        }
        self.schedule(now);
    }

    /// Records an answer that named another limit than is known; returns whether the limit changes.
    pub fn note_limit(&mut self, now: Time, report: &LimitReport) -> bool {
        let sent = self.grants.get(&report.ticket).map_or(now, |g| g.since);
        if !self.limited.note(sent, &report.target, report.rate) {
            return false;
        }
        self.apply_limit(now, &report.target);
        true
    }

    /// Takes over limits that another process knows, and returns those that are news.
    pub fn restore_limits<'a>(
        &mut self,
        now: Time,
        limits: &'a [TargetLimit],
    ) -> Vec<&'a TargetLimit> {
        let mut news = Vec::new();
        for limit in limits {
            if self.limited.restore(limit) {
                self.apply_limit(now, &limit.target);
                news.push(limit);
            }
        }
        news
    }

    /// The targets that are limited, for other processes.
    pub fn limits(&self) -> Vec<TargetLimit> {
        self.limited.limits()
    }

    /// Forgets the limits of targets that are gone from the list.
    pub fn retain_limits(&mut self, now: Time, is_listed: impl Fn(&str) -> bool) {
        self.limited.retain(now, is_listed);
    }

    /// Sets how far the platform's list lags behind.
    pub fn set_list_lag(&mut self, lag: Duration) {
        self.cold.set_lag(lag);
    }

    /// Replaces how many requests a second cold targets take, by service.
    pub fn set_cold_rates(&mut self, rates: HashMap<String, Rate>) {
        self.cold.set_rates(rates);
    }

    /// Records which targets are cold by a reading of the platform's list that began at `began`. Call it
    /// before the targets of the reading get work.
    pub fn note_listing<'a>(
        &mut self,
        now: Time,
        began: Time,
        targets: impl IntoIterator<Item = ListedTarget<'a>>,
    ) {
        self.cold.note_listing(now, began, targets);
    }

    /// Records that a target may have turned cold without the list saying so yet.
    pub fn presume_cold(&mut self, now: Time, target: &str) {
        self.cold.presume(now, target);
    }

    /// The cold targets, for other processes.
    pub fn cold_targets(&self, now: Time) -> Vec<ColdTarget> {
        self.cold.cold(now)
    }

    /// Paces the targets that have turned cold and the others no longer; returns which they are.
    pub fn pace_cold(&mut self, now: Time) -> Vec<ColdNews> {
        let news = self.cold.take_news(now);
        for news in &news {
            self.apply_limit(now, &news.target);
        }
        news
    }

    fn apply_limit(&mut self, now: Time, target: &str) {
        let pace = Pace::slower(self.limited.get(target), self.cold.rate(now, target));
        for pool in self.pools.values_mut() {
            if pool.set_pace(now, target, pace) {
                break;
            }
        }
        self.schedule(now);
    }

    /// Replaces the customers' rate limits. Known customers keep their bucket; a new one starts
    /// with at most `start` tokens.
    pub fn set_rates(&mut self, now: Time, rates: &HashMap<String, RateLimit>, start: f64) {
        self.rates.set_limits(now, rates, start);
    }

    /// Sets which customers' buckets are low by the record of the leaders before, if there is one. It counts
    /// for the customers of the first rules only.
    pub fn restore_low_buckets(&mut self, low: Option<LowBuckets>) {
        self.rates.restore_low(low);
    }

    /// How full the buckets are that are worth a record, each as a part of its burst.
    pub fn bucket_levels(&mut self, now: Time) -> BTreeMap<String, f64> {
        self.rates.levels(now)
    }

    /// Sets what fronts may use of the customers' rates without the leader knowing their shares.
    pub fn set_unknown_shares(&mut self, now: Time, unknown: UnknownShares) {
        self.rates.set_unknown(now, unknown);
    }

    /// Notes a report of a front, which may place requests by itself while it can't reach the leader;
    /// `spent` is how many it has placed so since it started, for each customer.
    pub fn note_front(&mut self, now: Time, holder: &str, spent: &[(String, u32)]) {
        self.rates.note_front(now, holder, spent);
    }

    /// Notes that a process has ended: it spends nothing of the customers' rates any more.
    pub fn note_ended(&mut self, now: Time, holder: &str) {
        self.rates.note_ended(now, holder);
    }

    /// Removes and returns the changes of what is kept back for fronts out of touch.
    pub fn take_front_news(&mut self) -> Vec<FrontNews> {
        self.rates.take_news()
    }

    /// The number of fronts out of touch for which shares are kept back.
    pub fn fronts_away(&self) -> usize {
        self.rates.away()
    }

    /// The part of a customer's rate that is kept back for fronts that may spend it out of touch,
    /// from 0 to 1; `None` for an unknown customer.
    pub fn kept_part(&self, customer: &str) -> Option<f64> {
        self.rates.kept_part(customer)
    }

    /// Requests a slot. The verdict is returned by [`take_decided`](Self::take_decided), either
    /// immediately or after the request was queued.
    pub fn request_slot(&mut self, now: Time, mut want: SlotRequest) {
        self.last_heard.insert(want.holder.clone(), now);
        if let Some(verdict) = self.reject_unknown(now, &mut want) {
            self.decided.push((want.ticket, verdict));
            return;
        }
        if let Some(verdict) = self.reject_parts(now, &want) {
            self.decided.push((want.ticket, verdict));
            return;
        }
        let taken = self.rates.take(now, want.customer.as_ref(), &want.holder);
        if let Err(retry) = taken {
            self.crash_parts.refuse(want.ticket);
            self.decided
                .push((want.ticket, Verdict::OverRate { retry }));
            return;
        }
        let pool = self.pools.entry(want.service.clone()).or_default();
        pool.set_placement(self.placement);
        match pool.admit(now, &want) {
            Some(refused) => self.refuse(now, &want, refused),
            None => pool.push(now, want),
        }
        self.schedule(now);
    }

    /// Cancels a request; a slot that it was granted in the meantime is released unused.
    pub fn withdraw(&mut self, now: Time, ticket: Ticket) {
        self.withdraw_or_release(now, ticket, GrantOutcome::NotRun);
    }

    /// Ends a ticket: a queued request is removed, and a granted slot is released.
    pub fn withdraw_or_release(&mut self, now: Time, ticket: Ticket, ended: GrantOutcome) {
        for pool in self.pools.values_mut() {
            let Some(want) = pool.remove(ticket) else {
                continue;
            };
            self.crash_parts.refuse(ticket);
            self.rates.refund(want.customer.as_ref());
            return;
        }
        self.release(now, ticket, ended);
    }

    /// Releases a granted slot; does nothing for an unknown ticket.
    pub fn release(&mut self, now: Time, ticket: Ticket, ended: GrantOutcome) {
        let Some(grant) = self.grants.remove(&ticket) else {
            if ended == GrantOutcome::Crashed {
                self.crash_parts.note_uncounted(ticket);
            }
            return;
        };
        if let Some(recalls) = self.recalls.get_mut(&grant.holder) {
            recalls.retain(|recalled| *recalled != ticket);
        }
        if let Some(pool) = self.pools.get_mut(&grant.service) {
            pool.release(now, &grant.target, grant.batch, grant.since, ended);
        }
        self.cold.note_end(now, &grant.target, ended);
        match ended {
            GrantOutcome::Answered => {
                // A request that a former leader placed may have been sent before the last crashes.
                if let Some(sent) = grant.granted {
                    self.crash_parts.note_sound(sent, &grant.parts);
                }
            }
            GrantOutcome::Crashed => {
                let report = CrashReport {
                    ticket,
                    target: grant.target,
                    parts: grant.parts,
                    age_ms: 0,
                };
                self.crash_parts.note_crash(now, &report);
            }
            GrantOutcome::Cut => {
                self.crash_parts.fail_trial(now, ticket, ended);
                self.crash_parts
                    .note_cut(now, ticket, &grant.target, &grant.parts);
            }
            GrantOutcome::Replaced => self.crash_parts.note_gone(now, &grant.target),
            GrantOutcome::Broken | GrantOutcome::Silent => {
                self.crash_parts.fail_trial(now, ticket, ended);
            }
            GrantOutcome::NotRun => {
                // The holder may have gone on with a slot of its own choice.
                if let Some(key) = grant.stream {
                    self.streams.forget(key, grant.since);
                }
            }
            GrantOutcome::Failed
            | GrantOutcome::Full
            | GrantOutcome::Unreachable
            | GrantOutcome::Lost => {}
        }
        self.crash_parts.end(ticket);
        if matches!(ended, GrantOutcome::Crashed | GrantOutcome::Replaced) {
            self.reject_waiting(now);
        }
        self.schedule(now);
    }

    /// Takes over where streams began, from a process that knows of them.
    pub fn restore_streams(&mut self, now: Time, reports: &[OriginReport]) {
        for report in reports {
            self.streams.restore(now, report);
            let age = Duration::from_millis(report.age_ms.into());
            self.settled.note_began(now - age, &report.origin);
        }
    }

    /// Removes and returns how streams of unknown origin were judged since the last call.
    pub fn take_stream_news(&mut self) -> Vec<StreamNews> {
        std::mem::take(&mut self.stream_news)
    }

    /// Ties a request that resumes a stream to where it must go on; returns the verdict if that is not
    /// known.
    fn reject_unknown(&mut self, now: Time, want: &mut SlotRequest) -> Option<Verdict> {
        let mut news = None;
        let (ticket, holder) = (want.ticket, want.holder.clone());
        let tied = self.streams.tie(want, |stream| {
            let origin = self.settled.origin(now, stream);
            news = Some(StreamNews {
                ticket,
                holder,
                service: stream.service.to_owned(),
                origin: origin.clone(),
                claimed: stream.claimed.cloned(),
                list_age: self.listed.map(|listed| now.since(listed)),
            });
            origin
        });
        self.stream_news.extend(news);
        if tied {
            return None;
        }
        let pool = self.pools.get(&want.service);
        // The list may not have been read yet.
        if pool.is_none_or(|pool| !pool.has_targets()) {
            return Some(Verdict::NoTarget);
        }
        Some(Verdict::Unresumable)
    }

    /// The parts that crash targets, for other processes.
    pub fn blocked_parts(&self, now: Time) -> Vec<BlockedParts> {
        self.crash_parts.blocked(now)
    }

    /// Takes over what another process knows to be blocked, after a change of leader.
    pub fn restore_blocked(&mut self, now: Time, known: &[BlockedParts]) {
        self.crash_parts.restore(now, known);
    }

    /// Records that a target is gone without having been drained.
    pub fn note_gone(&mut self, now: Time, target: &str) {
        self.crash_parts.note_gone(now, target);
        self.reject_waiting(now);
    }

    /// The crashes that make a part suspected, for other processes.
    pub fn crash_reports(&self, now: Time) -> Vec<CrashReport> {
        self.crash_parts.reports(now, SUSPECT_CRASHES)
    }

    /// The parts that were cleared of crashes, for other processes.
    pub fn sound_parts(&self, now: Time) -> Vec<SoundPart> {
        self.crash_parts.sound_parts(now)
    }

    /// Whether parts have been cleared of all their crashes since the last call.
    pub fn take_sound_news(&mut self) -> bool {
        self.crash_parts.take_sound_news()
    }

    /// Takes over crashes that another process knows of; those that are known already don't count
    /// again.
    pub fn note_crashes(&mut self, now: Time, reports: &[CrashReport]) {
        if reports.is_empty() {
            return;
        }
        for report in reports {
            self.crash_parts.note_crash(now, report);
        }
        self.reject_waiting(now);
    }

    /// Removes and returns the changes of what is suspected to crash targets.
    pub fn take_part_news(&mut self) -> Vec<PartNews> {
        self.crash_parts.take_news()
    }

    /// The requests with suspected parts that count as running.
    pub fn running_suspects(&self) -> Vec<RunningSuspect> {
        let suspect = |(ticket, parts): (Ticket, &[PartId])| {
            let grant = self.grants.get(&ticket);
            let queued = || self.pools.values().find_map(|pool| pool.holder(ticket));
            let holder = grant.map(|grant| grant.holder.as_str()).or_else(queued);
            RunningSuspect {
                ticket,
                holder: holder.map(str::to_owned),
                target: grant.map(|grant| grant.target.clone()),
                parts: parts.to_vec(),
            }
        };
        self.crash_parts.running().map(suspect).collect()
    }

    /// Number of slots whose holders were not heard for a `span` or longer.
    pub fn silent_slots(&self, now: Time, span: Duration) -> usize {
        let is_silent = |grant: &&Grant| {
            let heard = self.last_heard.get(&grant.holder);
            heard.is_none_or(|at| now.since(*at) >= span)
        };
        self.grants.values().filter(is_silent).count()
    }

    /// The verdict on a request whose parts crash targets, or may do so.
    fn reject_parts(&mut self, now: Time, want: &SlotRequest) -> Option<Verdict> {
        let parts = &mut self.crash_parts;
        match parts.admit(now, want.ticket, want.urgency, &want.parts) {
            Admission::Free => None,
            Admission::Later => Some(Verdict::Busy {
                retry: SUSPECT_RETRY,
                wait: Duration::ZERO,
                suspected: true,
            }),
            Admission::Blocked => Some(Verdict::Harmful),
        }
    }

    /// Refuses queued requests whose parts have come under suspicion since they were queued.
    fn reject_waiting(&mut self, now: Time) {
        let mut pools = std::mem::take(&mut self.pools);
        for pool in pools.values_mut() {
            for (want, verdict) in pool.reject(|want| self.reject_parts(now, want)) {
                self.refuse(now, &want, verdict);
            }
        }
        self.pools = pools;
    }

    /// Reconciles the grants of a holder with the complete list that it reports, after lost
    /// messages and after a change of leader.
    pub fn report(&mut self, now: Time, holder: &str, held: &[HeldGrant]) {
        self.last_heard.insert(holder.to_owned(), now);
        let mut gone = Vec::new();
        for (ticket, grant) in &self.grants {
            let kept = grant.holder != holder || held.iter().any(|h| h.ticket == *ticket);
            if !kept && now.since(grant.since) >= REPORT_LAG {
                gone.push(*ticket);
            }
        }
        for ticket in gone {
            self.release(now, ticket, GrantOutcome::Lost);
        }
        for grant in held {
            if self.grants.contains_key(&grant.ticket) {
                continue;
            }
            let pool = self.pools.entry(grant.service.clone()).or_default();
            pool.set_placement(self.placement);
            pool.occupy(now, &grant.target, grant.batch);
            self.grants.insert(
                grant.ticket,
                Grant {
                    holder: holder.to_owned(),
                    service: grant.service.clone(),
                    target: grant.target.clone(),
                    batch: grant.batch,
                    since: now,
                    granted: None,
                    recalled: false,
                    parts: grant.parts.clone(),
                    stream: None,
                },
            );
        }
    }

    /// Expires queued requests, and revokes the grants of holders that timed out.
    pub fn tick(&mut self, now: Time) {
        self.streams.expire(now);
        self.rates.expire(now);
        let timed_out = |at: &Time| now.since(*at) >= HOLDER_TIMEOUT;
        let gone: Vec<(String, Time)> = self
            .last_heard
            .iter()
            .filter(|(_, at)| timed_out(at))
            .map(|(name, at)| (name.clone(), *at))
            .collect();
        for (holder, since) in gone {
            self.rates.note_silent(now, &holder, since);
            let orphaned: Vec<SlotRequest> = self
                .pools
                .values_mut()
                .flat_map(|pool| pool.remove_holder(&holder))
                .collect();
            for want in orphaned {
                let refused = Verdict::Busy {
                    retry: TIMEOUT_RETRY,
                    wait: HOLDER_TIMEOUT,
                    suspected: false,
                };
                self.refuse(now, &want, refused);
            }
            self.revoke(now, &holder);
            self.last_heard.remove(&holder);
        }
        self.schedule(now);
    }

    /// Releases all slots of a holder, however new: nobody looks for them once it is forgotten. A holder
    /// that was only silent reports those that it uses.
    fn revoke(&mut self, now: Time, holder: &str) {
        let held = self.grants.iter().filter(|(_, g)| g.holder == holder);
        let tickets: Vec<Ticket> = held.map(|(ticket, _)| *ticket).collect();
        for ticket in tickets {
            self.release(now, ticket, GrantOutcome::Lost);
        }
    }

    /// Removes and returns the verdicts reached since the last call.
    pub fn take_decided(&mut self) -> Vec<(Ticket, Verdict)> {
        std::mem::take(&mut self.decided)
    }

    /// Removes and returns the grants that a holder should release soon.
    pub fn take_recalls(&mut self, holder: &str) -> Vec<Ticket> {
        self.recalls.remove(holder).unwrap_or_default()
    }

    /// Removes and returns the holders of the grants recalled since the last call.
    pub fn take_recall_news(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.recall_news)
    }

    /// Counters of a service's pool, for logs and metrics; `None` for an unknown service.
    pub fn view(&self, now: Time, service: &str) -> Option<PoolView> {
        self.pools.get(service).map(|pool| pool.view(now))
    }

    /// Names of the services that have a pool.
    pub fn services(&self) -> impl Iterator<Item = &String> {
        self.pools.keys()
    }

    fn refuse(&mut self, now: Time, want: &SlotRequest, verdict: Verdict) {
        debug_assert!(now >= Time::ZERO, "time starts at zero");
        self.crash_parts.refuse(want.ticket);
        self.rates.refund(want.customer.as_ref());
        self.decided.push((want.ticket, verdict));
    }

    /// Expires, grants and preempts as the current state of each pool requires.
    fn schedule(&mut self, now: Time) {
        let mut refused = Vec::new();
        for (service, pool) in &mut self.pools {
            refused.extend(pool.expire(now));
            for (want, target) in pool.grant_free(now) {
                let key = want.stream.as_ref().and_then(|stream| stream.key);
                let origin = want.stream.as_ref().map(|_| Origin {
                    service: service.clone(),
                    version: pool.version(&target),
                });
                if let (Some(key), Some(origin)) = (key, &origin) {
                    let customer = want.customer.as_deref().unwrap_or_default();
                    self.streams.note(now, customer, key, origin.clone());
                }
                let share = self.rates.count(now, want.customer.as_ref(), &want.holder);
                let grant = Grant {
                    holder: want.holder,
                    service: service.clone(),
                    target: target.clone(),
                    batch: matches!(want.urgency, Urgency::Batch { .. }),
                    since: now,
                    granted: Some(now),
                    recalled: false,
                    parts: want.parts,
                    stream: key,
                };
                self.grants.insert(want.ticket, grant);
                let granted = Verdict::Granted {
                    target,
                    share,
                    origin,
                };
                self.decided.push((want.ticket, granted));
            }
            let short = pool.online_short(now);
            let is_useful = |target: &str| pool.is_wanted(now, target);
            for (holder, ticket) in recall(service, short, is_useful, &mut self.grants) {
                self.recall_news.insert(holder.clone());
                self.recalls.entry(holder).or_default().push(ticket);
            }
        }
        for (want, verdict) in refused {
            self.refuse(now, &want, verdict);
        }
    }
}

/// Preempts the most recent batch grants of a service at useful targets until `short` slots are being
/// released; returns the grants recalled now, with their holders.
fn recall(
    service: &str,
    short: usize,
    is_useful: impl Fn(&str) -> bool,
    grants: &mut BTreeMap<Ticket, Grant>,
) -> Vec<(String, Ticket)> {
    let mut recalled = Vec::new();
    if short == 0 {
        return recalled;
    }
    let of_batch = |grant: &Grant| grant.batch && grant.service == service;
    let pending = grants
        .values()
        .filter(|g| of_batch(g) && g.recalled)
        .count();
    let mut candidates: Vec<(Time, Ticket)> = grants
        .iter()
        .filter(|(_, grant)| of_batch(grant) && !grant.recalled && is_useful(&grant.target))
        .map(|(ticket, grant)| (grant.since, *ticket))
        .collect();
    candidates.sort_unstable();
    for (_, ticket) in candidates
        .into_iter()
        .rev()
        .take(short.saturating_sub(pending))
    {
        let Some(grant) = grants.get_mut(&ticket) else {
            continue;
        };
        grant.recalled = true;
        recalled.push((grant.holder.clone(), ticket));
    }
    recalled
}
