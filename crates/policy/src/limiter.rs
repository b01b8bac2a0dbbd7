//! The entry's side of the rate limit: tokens that the leader granted, and what to ask for.
//!
//! A request takes a token that is at hand, or waits for one call to the leader; it is refused
//! only on the leader's word. Calls are batched: one at a time is under way, for all customers
//! that need something. The sizes of asks follow demand, tokens that lie idle go back. See
//! `docs/design/online.md`, "Rate and burst".

use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    time::Duration,
};

use clem_types::{CustomerId, Time};

use crate::bucket::{Ask, Granted};

/// Tokens that have lain idle this long go back to the leader.
const IDLE_AFTER: Duration = Duration::from_millis(100);
/// How soon the leader hears that tokens have been spent.
const REPORT_AFTER: Duration = Duration::from_millis(50);
/// The span of demand that is asked for ahead.
const AHEAD: Duration = Duration::from_millis(50);
/// The span over which demand is averaged.
const DEMAND_SPAN: Duration = Duration::from_millis(400);
/// How long an answer that the bucket is empty is taken for the present state.
const EMPTY_MAX: Duration = Duration::from_millis(5);
/// How long nothing is asked for ahead after the leader could not grant all.
const SCARCE_SPAN: Duration = Duration::from_secs(2);
/// A request is sent within this time after it took its token, or refused.
const SEND_WITHIN: Duration = Duration::from_millis(250);
/// The most customers in one call.
const BATCH_MAX: usize = 512;
/// How long requests wait for a leader: as long as a change of leader takes, and a new one needs
/// to settle.
const LEADERLESS_PATIENCE: Duration = Duration::from_millis(2500);
/// The pause before a leader is looked for again.
const LEADERLESS_PAUSE: Duration = Duration::from_millis(20);
/// A customer without traffic for this long is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RateDecision {
    /// It has its token.
    Admitted,
    /// It waits for the next answer of the leader.
    Wait,
    /// The leader has no token for it.
    Refused {
        /// When another token will be there, in milliseconds.
        retry_ms: u32,
    },
}

/// A call to the leader that is under way.
#[derive(Debug)]
pub struct LeaderCall {
    asked: Time,
    /// What is asked, for each customer.
    pub asks: Vec<Ask>,
}

/// What the leader's answer means for one customer's waiting requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// The customer.
    pub customer: CustomerId,
    /// How many of the waiting requests have their token, oldest first.
    pub admitted: u32,
    /// How many of those behind them are refused; any others wait for the next answer.
    pub refused: u32,
    /// When another token will be there, in milliseconds.
    pub retry_ms: u32,
}

/// The tokens that an entry holds.
#[derive(Debug, Default)]
pub struct Limiter {
    customers: HashMap<CustomerId, Local>,
    /// Customers that need something of the leader, so that no call walks all customers.
    due: BTreeSet<CustomerId>,
    /// Since when no leader has answered.
    leaderless: Option<Time>,
}

/// One customer's tokens at this entry.
#[derive(Debug)]
struct Local {
    lots: VecDeque<Lot>,
    /// Requests that wait for the next call.
    waiting: u32,
    /// Requests that wait for the call under way.
    asked: u32,
    /// Whether tokens were spent that the leader does not know of.
    unreported: bool,
    reported: Time,
    /// Requests a second, averaged.
    demand: f64,
    seen: Time,
    empty_until: Time,
    /// When a leader that was too new may be asked again.
    ask_after: Time,
    /// Up to when tokens are too scarce to hold any in advance.
    scarce_until: Time,
}

/// Tokens of one grant.
#[derive(Debug, Clone, Copy)]
struct Lot {
    tokens: u32,
    granted: Time,
    until: Time,
}

impl Limiter {
    /// A limiter without tokens.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a token for a request, or says that it has to wait for the leader.
    pub fn admit(&mut self, now: Time, customer: &CustomerId) -> RateDecision {
        let local = self
            .customers
            .entry(customer.clone())
            .or_insert_with(|| Local::new(now));
        local.count(now);
        self.due.insert(customer.clone());
        if local.waiting == 0 && local.spend(now) {
            return RateDecision::Admitted;
        }
        if now < local.empty_until && now >= local.ask_after {
            let left = local.empty_until.since(now).as_millis();
            let retry_ms = u32::try_from(left).unwrap_or(u32::MAX).max(1);
            return RateDecision::Refused { retry_ms };
        }
        local.waiting += 1;
        RateDecision::Wait
    }

    /// Whether a token that was taken at `taken` may still be spent by sending the request now.
    ///
    /// A process that was frozen between the two must not send: the leader has long counted the
    /// token as expired.
    pub fn may_send(taken: Time, now: Time) -> bool {
        now.since(taken) < SEND_WITHIN
    }

    /// Whether there is nothing to tell the leader, now or later, until the next request.
    pub fn is_quiet(&self) -> bool {
        self.due.is_empty()
    }

    /// Starts the next call, if there is anything to ask, give back or report.
    ///
    /// At most one may be under way; end it by [`Limiter::answered`] or [`Limiter::failed`].
    pub fn next_call(&mut self, now: Time) -> Option<LeaderCall> {
        let mut asks = Vec::new();
        let mut quiet = Vec::new();
        for customer in &self.due {
            if asks.len() == BATCH_MAX {
                break;
            }
            let Some(local) = self.customers.get_mut(customer) else {
                quiet.push(customer.clone());
                continue;
            };
            match local.ask(now) {
                Some((tokens, returned, held)) => asks.push(Ask {
                    customer: customer.clone(),
                    tokens,
                    returned,
                    held,
                }),
                None if local.is_quiet() => quiet.push(customer.clone()),
                None => {}
            }
        }
        for customer in quiet {
            self.due.remove(&customer);
            self.forget(now, &customer);
        }
        if asks.is_empty() {
            return None;
        }
        Some(LeaderCall { asked: now, asks })
    }

    /// Takes in the leader's answer, with one grant for each ask.
    ///
    /// The grants' time `ttl` counts from when the round was started.
    pub fn answered(
        &mut self,
        now: Time,
        round: &LeaderCall,
        grants: &[Granted],
        ttl: Duration,
    ) -> Vec<Outcome> {
        self.leaderless = None;
        let mut outcomes = Vec::new();
        for (place, ask) in round.asks.iter().enumerate() {
            let grant = grants.get(place).copied().unwrap_or(Granted::NONE);
            let Some(local) = self.customers.get_mut(&ask.customer) else {
                continue;
            };
            local.add(now, grant.tokens, round.asked + ttl);
            let mut admitted = 0;
            while admitted < local.asked && local.spend(now) {
                admitted += 1;
            }
            let retry_ms = grant.retry_ms.unwrap_or(1);
            if grant.tokens < ask.tokens {
                local.scarce_until = now + SCARCE_SPAN;
            }
            if grant.settling {
                // These are not refused: they ask again once the new leader grants.
                local.waiting += local.asked - admitted;
                local.asked = admitted;
                local.ask_after = now + Duration::from_millis(retry_ms.into());
            }
            let refused = local.asked - admitted;
            local.asked = 0;
            while refused == 0 && local.waiting > 0 && local.spend(now) {
                local.waiting -= 1;
                admitted += 1;
            }
            if refused > 0 || (ask.tokens > 0 && grant.tokens == 0 && !grant.settling) {
                let wait = Duration::from_millis(retry_ms.into()).min(EMPTY_MAX);
                local.empty_until = now + wait;
            }
            if admitted + refused == 0 {
                continue;
            }
            outcomes.push(Outcome {
                customer: ask.customer.clone(),
                admitted,
                refused,
                retry_ms,
            });
        }
        outcomes
    }

    /// Takes in that the leader did not answer: what was asked for or given back is lost.
    ///
    /// The waiting requests ask again while the leader may just be changing, and are refused once
    /// none has answered for [`LEADERLESS_PATIENCE`].
    pub fn failed(&mut self, now: Time, round: &LeaderCall) -> Vec<Outcome> {
        let since = *self.leaderless.get_or_insert(round.asked);
        let patient = now.since(since) < LEADERLESS_PATIENCE;
        let mut outcomes = Vec::new();
        for ask in &round.asks {
            let Some(local) = self.customers.get_mut(&ask.customer) else {
                continue;
            };
            let refused = std::mem::take(&mut local.asked);
            local.unreported = true;
            if refused == 0 {
                continue;
            }
            if patient {
                local.waiting += refused;
                local.ask_after = now + LEADERLESS_PAUSE;
                continue;
            }
            outcomes.push(Outcome {
                customer: ask.customer.clone(),
                admitted: 0,
                refused,
                retry_ms: LEADERLESS_RETRY_MS,
            });
        }
        outcomes
    }

    /// How many customers are remembered.
    pub fn len(&self) -> usize {
        self.customers.len()
    }

    /// Whether no customer is remembered.
    pub fn is_empty(&self) -> bool {
        self.customers.is_empty()
    }

    /// Drops every customer without traffic for long; call it now and then.
    pub fn sweep(&mut self, now: Time) {
        self.customers
            .retain(|_, local| !local.is_quiet() || now.since(local.seen) < FORGET_AFTER);
    }

    fn forget(&mut self, now: Time, customer: &CustomerId) {
        let Some(local) = self.customers.get(customer) else {
            return;
        };
        if now.since(local.seen) >= FORGET_AFTER {
            self.customers.remove(customer);
        }
    }
}

/// When to come back while no leader answers, in milliseconds.
const LEADERLESS_RETRY_MS: u32 = 1000;

impl Local {
    fn new(now: Time) -> Self {
        Self {
            lots: VecDeque::new(),
            waiting: 0,
            asked: 0,
            unreported: false,
            reported: now,
            demand: 0.0,
            seen: now,
            empty_until: Time::ZERO,
            ask_after: Time::ZERO,
            scarce_until: Time::ZERO,
        }
    }

    /// Counts a request in the average demand.
    fn count(&mut self, now: Time) {
        let span = DEMAND_SPAN.as_secs_f64();
        let gap = now.since(self.seen).as_secs_f64();
        self.demand = self.demand * (-gap / span).exp() + 1.0 / span;
        self.seen = now;
    }

    fn spend(&mut self, now: Time) -> bool {
        while let Some(lot) = self.lots.front_mut() {
            if now >= lot.until || lot.tokens == 0 {
                self.lots.pop_front();
                continue;
            }
            lot.tokens -= 1;
            self.unreported = true;
            return true;
        }
        false
    }

    fn add(&mut self, now: Time, tokens: u32, until: Time) {
        if tokens == 0 || now >= until {
            return;
        }
        self.lots.push_back(Lot {
            tokens,
            granted: now,
            until,
        });
    }

    /// Tokens to ask for, to give back and to keep; none when there is nothing to say.
    fn ask(&mut self, now: Time) -> Option<(u32, u32, u32)> {
        let mut returned = 0;
        let mut held = 0;
        for lot in &mut self.lots {
            if now >= lot.until {
                lot.tokens = 0;
            }
            if now.since(lot.granted) >= IDLE_AFTER {
                returned += std::mem::take(&mut lot.tokens);
            }
            held += lot.tokens;
        }
        self.lots.retain(|lot| lot.tokens > 0);
        let report = self.unreported && now.since(self.reported) >= REPORT_AFTER;
        let asking = self.waiting > 0 && now >= self.ask_after;
        if !asking && returned == 0 && !report {
            return None;
        }
        let mut tokens = 0;
        if asking {
            let gap = now.since(self.seen).as_secs_f64();
            let demand = self.demand * (-gap / DEMAND_SPAN.as_secs_f64()).exp();
            let scarce = now < self.scarce_until;
            let ahead = if scarce {
                0
            } else {
                (demand * AHEAD.as_secs_f64()) as u32
            };
            tokens = self.waiting.saturating_add(ahead.saturating_sub(held));
        }
        if asking {
            self.asked = std::mem::take(&mut self.waiting);
        }
        self.unreported = false;
        self.reported = now;
        Some((tokens, returned, held))
    }

    /// Whether there is nothing more to tell the leader.
    fn is_quiet(&self) -> bool {
        self.waiting == 0 && self.asked == 0 && !self.unreported && self.lots.is_empty()
    }
}
