//! Who gets the next free slot of a service's targets, and who is refused.
//!
//! The load that this answers: short online requests in bursts above what the targets can run,
//! beside batch items that hold a slot for seconds. Engines admit in order of arrival and know no
//! priorities, so a request waits here, in one place for the whole fleet, until a slot is free:
//! - online requests first, by rank and then by arrival,
//! - batch items in the slots that online requests leave, by due time; their slots are called
//!   back when online requests wait, as an item goes on elsewhere from where it stood,
//! - a request that would be late by the time of its turn is refused at once, with the time at
//!   which there should be room; a caller who has come back waits instead, after those who can
//!   still be on time.
//!
//! Pure: no clock, no network. See `docs/design/platform.md`, "Who runs next".

mod fallback;
mod pool;
mod rate;
mod retry_after;
mod target;

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use clem_types::Time;
use serde::{Deserialize, Serialize};

pub use fallback::Fallback;
pub use pool::{Pool, PoolView};
pub use rate::{Meter, RateLimit, Share};
pub use retry_after::{RouteTimeouts, retry_after};
pub use target::{GrantOutcome, TargetSlots};

/// How long a holder may be silent before its grants are taken back: three times as long as one
/// that lives ever is. Targets finish or drop what a frozen or killed process had sent them, and
/// one that was only slow reports its grants again.
pub const HOLDER_SILENCE: Duration = Duration::from_millis(1200);
/// When to come back for a request whose holder was silent.
const SILENT_RETRY: Duration = Duration::from_millis(300);
/// How long a grant may be missing in a holder's report before it counts as given back: the
/// answer that carried it may still have been on its way.
const REPORT_LAG: Duration = Duration::from_millis(600);

/// A request for a slot, drawn at random by whoever asks; its grant keeps the number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Ticket(pub u64);

/// Whether somebody waits for the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Urgency {
    /// A caller waits.
    Online,
    /// An item of a batch, which may be called back and go on later.
    Batch {
        /// How long until it is due.
        due: Duration,
    },
}

/// What is asked for a request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Its number.
    pub ticket: Ticket,
    /// The process that asks.
    pub holder: String,
    /// The service whose targets may run it.
    pub service: String,
    /// The customer whose rate it counts against; none for no bound.
    pub customer: Option<String>,
    /// Its rank; 0 goes first.
    pub rank: u8,
    /// Whether somebody waits for it.
    pub urgency: Urgency,
    /// Whether whoever asks has been refused before and won't come back.
    #[serde(rename = "last")]
    pub final_try: bool,
    /// How long it may wait and still be on time.
    pub on_time: Duration,
    /// How long it may wait at all.
    pub patience: Duration,
    /// The data centre of whoever asks.
    pub data_centre: String,
    /// Targets that have failed it.
    pub avoid: Vec<String>,
}

/// What becomes of a request for a slot.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Verdict {
    /// It may be sent to this target now.
    Granted {
        /// The target.
        target: String,
        /// What the holder may take of the customer's rate while no leader answers.
        share: Share,
    },
    /// The customer is over its rate.
    OverRate {
        /// When it may ask again.
        retry: Duration,
    },
    /// There is no room in time.
    Busy {
        /// When there should be room.
        retry: Duration,
        /// How long it would have waited, or has waited.
        wait: Duration,
    },
    /// The service has no target that may get work.
    NoTarget,
}

/// A grant that a holder still has.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeldGrant {
    /// Its number.
    pub ticket: Ticket,
    /// The service.
    pub service: String,
    /// The target.
    pub target: String,
    /// Whether it is an item of a batch.
    pub batch: bool,
}

/// Where a grant counts.
#[derive(Debug, Clone)]
struct Grant {
    holder: String,
    service: String,
    target: String,
    batch: bool,
    since: Time,
    recalled: bool,
}

/// The queues and slots of all services, and the customers' rates.
#[derive(Debug, Default)]
pub struct Dispatcher {
    pools: HashMap<String, Pool>,
    meters: HashMap<String, Meter>,
    grants: BTreeMap<Ticket, Grant>,
    heard: HashMap<String, Time>,
    decided: Vec<(Ticket, Verdict)>,
    recalls: HashMap<String, Vec<Ticket>>,
}

impl Dispatcher {
    /// Takes in the targets that may get work, for one service.
    pub fn set_targets(&mut self, now: Time, service: &str, targets: &[TargetSlots]) {
        let pool = self.pools.entry(service.to_owned()).or_default();
        pool.set_targets(now, targets);
        self.run(now);
    }

    /// Takes in the customers' rates; a customer that stays keeps its level.
    pub fn set_rates(&mut self, now: Time, rates: &HashMap<String, RateLimit>, start: f64) {
        self.meters.retain(|name, _| rates.contains_key(name));
        for (name, limit) in rates {
            match self.meters.get_mut(name) {
                Some(meter) => meter.set_limit(now, *limit),
                None => {
                    let meter = Meter::new(now, *limit, start);
                    self.meters.insert(name.clone(), meter);
                }
            }
        }
    }

    /// Asks for a slot; the answer comes out of [`take_decided`](Self::take_decided), at once or
    /// later.
    pub fn ask(&mut self, now: Time, want: SlotRequest) {
        self.heard.insert(want.holder.clone(), now);
        if let Some(meter) = want.customer.as_ref().and_then(|c| self.meters.get_mut(c))
            && let Err(retry) = meter.take(now)
        {
            self.decided
                .push((want.ticket, Verdict::OverRate { retry }));
            return;
        }
        let pool = self.pools.entry(want.service.clone()).or_default();
        match pool.judge(now, &want) {
            Some(refused) => self.refuse(now, &want, refused),
            None => pool.push(now, want),
        }
        self.run(now);
    }

    /// A request is not wanted any more; a grant that it got meanwhile is given back.
    pub fn withdraw(&mut self, now: Time, ticket: Ticket) {
        self.withdraw_or_release(now, ticket, GrantOutcome::NotRun);
    }

    /// A holder is done with a ticket, whether it was granted or still waits.
    pub fn withdraw_or_release(&mut self, now: Time, ticket: Ticket, ended: GrantOutcome) {
        for pool in self.pools.values_mut() {
            let Some(want) = pool.remove(ticket) else {
                continue;
            };
            if let Some(meter) = want.customer.and_then(|c| self.meters.get_mut(&c)) {
                meter.give_back();
            }
            return;
        }
        self.release(now, ticket, ended);
    }

    /// A grant is given back.
    pub fn release(&mut self, now: Time, ticket: Ticket, ended: GrantOutcome) {
        let Some(grant) = self.grants.remove(&ticket) else {
            return;
        };
        if let Some(recalls) = self.recalls.get_mut(&grant.holder) {
            recalls.retain(|recalled| *recalled != ticket);
        }
        if let Some(pool) = self.pools.get_mut(&grant.service) {
            pool.release(now, &grant.target, grant.batch, grant.since, ended);
        }
        self.run(now);
    }

    /// Takes in all grants that a holder has, so that both sides agree again after lost calls and
    /// after a change of leader.
    pub fn report(&mut self, now: Time, holder: &str, held: &[HeldGrant]) {
        self.heard.insert(holder.to_owned(), now);
        let mut gone = Vec::new();
        for (ticket, grant) in &self.grants {
            let known = grant.holder != holder || held.iter().any(|h| h.ticket == *ticket);
            if !known && now.since(grant.since) >= REPORT_LAG {
                gone.push(*ticket);
            }
        }
        for ticket in gone {
            self.release(now, ticket, GrantOutcome::Lost);
        }
        for one in held {
            if self.grants.contains_key(&one.ticket) {
                continue;
            }
            let pool = self.pools.entry(one.service.clone()).or_default();
            pool.occupy(now, &one.target, one.batch);
            self.grants.insert(
                one.ticket,
                Grant {
                    holder: holder.to_owned(),
                    service: one.service.clone(),
                    target: one.target.clone(),
                    batch: one.batch,
                    since: now,
                    recalled: false,
                },
            );
        }
    }

    /// Lets time pass: requests whose time is over, and holders that are gone.
    pub fn tick(&mut self, now: Time) {
        let silent = |at: &Time| now.since(*at) >= HOLDER_SILENCE;
        let gone: Vec<String> = self
            .heard
            .iter()
            .filter(|(_, at)| silent(at))
            .map(|(name, _)| name.clone())
            .collect();
        for holder in gone {
            let forgotten: Vec<SlotRequest> = self
                .pools
                .values_mut()
                .flat_map(|pool| pool.forget(&holder))
                .collect();
            for want in forgotten {
                let refused = Verdict::Busy {
                    retry: SILENT_RETRY,
                    wait: HOLDER_SILENCE,
                };
                self.refuse(now, &want, refused);
            }
            self.report(now, &holder, &[]);
            self.heard.remove(&holder);
        }
        self.run(now);
    }

    /// Takes the answers that are ready.
    pub fn take_decided(&mut self) -> Vec<(Ticket, Verdict)> {
        std::mem::take(&mut self.decided)
    }

    /// Takes the grants that a holder should give back soon.
    pub fn take_recalls(&mut self, holder: &str) -> Vec<Ticket> {
        self.recalls.remove(holder).unwrap_or_default()
    }

    /// Whether any holder should give grants back.
    pub fn has_recalls(&self, holder: &str) -> bool {
        self.recalls
            .get(holder)
            .is_some_and(|list| !list.is_empty())
    }

    /// What a service's pool looks like, for logs and metrics.
    pub fn view(&self, now: Time, service: &str) -> Option<PoolView> {
        self.pools.get(service).map(|pool| pool.view(now))
    }

    /// The services that have a pool.
    pub fn services(&self) -> impl Iterator<Item = &String> {
        self.pools.keys()
    }

    fn refuse(&mut self, now: Time, want: &SlotRequest, verdict: Verdict) {
        debug_assert!(now >= Time::ZERO, "time is an argument of every decision");
        if let Some(meter) = want.customer.as_ref().and_then(|c| self.meters.get_mut(c)) {
            meter.give_back();
        }
        self.decided.push((want.ticket, verdict));
    }

    /// Grants what can be granted, refuses what is out of time, and calls slots back.
    fn run(&mut self, now: Time) {
        let mut refused = Vec::new();
        for (service, pool) in &mut self.pools {
            refused.extend(pool.expire(now));
            for (want, target) in pool.place(now) {
                let meter = want.customer.as_ref().and_then(|c| self.meters.get_mut(c));
                let share = meter.map_or(Share::WHOLE, |meter| meter.count(now, &want.holder));
                let grant = Grant {
                    holder: want.holder,
                    service: service.clone(),
                    target: target.clone(),
                    batch: matches!(want.urgency, Urgency::Batch { .. }),
                    since: now,
                    recalled: false,
                };
                self.grants.insert(want.ticket, grant);
                self.decided
                    .push((want.ticket, Verdict::Granted { target, share }));
            }
            let short = pool.shortage();
            recall(service, short, &mut self.grants, &mut self.recalls);
        }
        for (want, verdict) in refused {
            self.refuse(now, &want, verdict);
        }
    }
}

/// Calls back the youngest grants of batch items until `short` slots are on their way back.
fn recall(
    service: &str,
    short: usize,
    grants: &mut BTreeMap<Ticket, Grant>,
    recalls: &mut HashMap<String, Vec<Ticket>>,
) {
    if short == 0 {
        return;
    }
    let of_batch = |grant: &Grant| grant.batch && grant.service == service;
    let coming = grants
        .values()
        .filter(|g| of_batch(g) && g.recalled)
        .count();
    let mut young: Vec<(Time, Ticket)> = grants
        .iter()
        .filter(|(_, grant)| of_batch(grant) && !grant.recalled)
        .map(|(ticket, grant)| (grant.since, *ticket))
        .collect();
    young.sort_unstable();
    for (_, ticket) in young.into_iter().rev().take(short.saturating_sub(coming)) {
        let Some(grant) = grants.get_mut(&ticket) else {
            continue;
        };
        grant.recalled = true;
        recalls
            .entry(grant.holder.clone())
            .or_default()
            .push(ticket);
    }
}
