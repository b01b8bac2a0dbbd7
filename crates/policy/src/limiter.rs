//! Distributed rate limiting, on the side of an entry: tokens granted by the leader, and when to
//! request or return some.
//!
//! A request takes a local token or waits for one call to the leader; it is refused only if the
//! leader has no token. Calls are batched: at most one is in flight, for all customers with
//! something to request, return or report. The number of tokens requested follows the demand, and
//! unused tokens are returned. See `docs/design/online.md`, "Rate and burst".

use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    time::Duration,
};

use clem_types::{CustomerId, Time};

use crate::bucket::{Granted, TokenRequest};

/// Age of a grant after which its unused tokens are returned to the leader.
const IDLE_AFTER: Duration = Duration::from_millis(100);
/// Minimum interval between reports of spent tokens.
const REPORT_AFTER: Duration = Duration::from_millis(50);
/// Tokens are prefetched for the expected demand of this time.
const PREFETCH: Duration = Duration::from_millis(50);
/// Time constant of the moving average of the demand.
const DEMAND_SPAN: Duration = Duration::from_millis(400);
/// Maximum time for which requests are refused locally after the leader's bucket was empty.
const EMPTY_MAX: Duration = Duration::from_millis(5);
/// Time without prefetching after the leader granted fewer tokens than requested.
const SCARCE_SPAN: Duration = Duration::from_secs(2);
/// Maximum time between taking a token and sending the request; it is refused after that.
const SEND_WITHIN: Duration = Duration::from_millis(250);
/// Maximum number of customers in one call.
const BATCH_MAX: usize = 512;
/// Time for which requests wait while no leader answers: long enough for a change of leader and
/// for the new one to settle.
const LEADERLESS_TIMEOUT: Duration = Duration::from_millis(2500);
/// Pause between calls while no leader answers.
const LEADERLESS_PAUSE: Duration = Duration::from_millis(20);
/// Time without requests after which the state of a customer is dropped.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// Decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RateDecision {
    /// The request has taken a token.
    Admitted,
    /// The request waits for the leader's answer.
    Wait,
    /// The leader has no token.
    Refused {
        /// Milliseconds until the next token.
        retry_ms: u32,
    },
}

/// A call to the leader.
#[derive(Debug)]
pub struct LeaderCall {
    asked: Time,
    /// Requested, returned and held tokens of each customer.
    pub requests: Vec<TokenRequest>,
}

/// Effect of a leader's answer on the waiting requests of a customer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// Customer that the requests belong to.
    pub customer: CustomerId,
    /// Number of waiting requests that have taken a token, oldest first.
    pub admitted: u32,
    /// Number of requests behind them that are refused; the rest waits for the next answer.
    pub refused: u32,
    /// Milliseconds until the next token, for the refused requests.
    pub retry_ms: u32,
}

/// Tokens of all customers at an entry.
#[derive(Debug, Default)]
pub struct Limiter {
    customers: HashMap<CustomerId, LocalBucket>,
    /// Customers with something to tell the leader, to avoid a scan of all customers per call.
    due: BTreeSet<CustomerId>,
    /// Start of the first call without an answer since the last answer.
    leaderless: Option<Time>,
}

/// Tokens and waiting requests of one customer at this entry.
#[derive(Debug)]
struct LocalBucket {
    grants: VecDeque<Grant>,
    /// Number of requests that wait for the next call.
    waiting: u32,
    /// Number of requests that wait for the answer of the current call.
    asked: u32,
    /// Whether tokens were spent since the last report to the leader.
    unreported: bool,
    reported: Time,
    /// Moving average of requests per second.
    demand: f64,
    last_request: Time,
    empty_until: Time,
    /// Time before which no tokens are requested: there is no leader, or it is still settling.
    ask_after: Time,
    /// Time before which no tokens are prefetched.
    scarce_until: Time,
}

/// Remaining tokens of one grant.
#[derive(Debug, Clone, Copy)]
struct Grant {
    tokens: u32,
    granted: Time,
    until: Time,
}

impl Limiter {
    /// Creates a limiter without tokens.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a token for a request; without one, the request waits for the leader or is refused.
    pub fn admit(&mut self, now: Time, customer: &CustomerId) -> RateDecision {
        let local = self
            .customers
            .entry(customer.clone())
            .or_insert_with(|| LocalBucket::new(now));
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

    /// Whether a request that took its token at `taken` may still be sent at `now`.
    ///
    /// A process that was frozen in between must not send it, as the leader may already count the
    /// token as expired.
    pub fn may_send(taken: Time, now: Time) -> bool {
        now.since(taken) < SEND_WITHIN
    }

    /// Whether no further calls are needed until the next request.
    pub fn is_quiet(&self) -> bool {
        self.due.is_empty()
    }

    /// Creates the next call, if there is anything to request, return or report.
    ///
    /// At most one call may be in flight; it ends with [`Limiter::answered`] or
    /// [`Limiter::failed`].
    pub fn next_call(&mut self, now: Time) -> Option<LeaderCall> {
        let mut requests = Vec::new();
        let mut quiet = Vec::new();
        for customer in &self.due {
            if requests.len() == BATCH_MAX {
                break;
            }
            let Some(local) = self.customers.get_mut(customer) else {
                quiet.push(customer.clone());
                continue;
            };
            match local.ask(now) {
                Some((tokens, returned, held)) => requests.push(TokenRequest {
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
            self.drop_idle(now, &customer);
        }
        if requests.is_empty() {
            return None;
        }
        Some(LeaderCall {
            asked: now,
            requests,
        })
    }

    /// Applies the leader's answer, with one grant for each request.
    ///
    /// The lifetime `ttl` of the grants counts from the start of the call.
    pub fn answered(
        &mut self,
        now: Time,
        call: &LeaderCall,
        grants: &[Granted],
        ttl: Duration,
    ) -> Vec<Outcome> {
        self.leaderless = None;
        let mut outcomes = Vec::new();
        for (index, request) in call.requests.iter().enumerate() {
            let grant = grants.get(index).copied().unwrap_or(Granted::NONE);
            let Some(local) = self.customers.get_mut(&request.customer) else {
                continue;
            };
            local.add(now, grant.tokens, call.asked + ttl);
            let mut admitted = 0;
            while admitted < local.asked && local.spend(now) {
                admitted += 1;
            }
            let retry_ms = grant.retry_ms.unwrap_or(1);
            if grant.tokens < request.tokens {
                local.scarce_until = now + SCARCE_SPAN;
            }
            if grant.settling {
                // The new leader grants nothing yet: these requests wait for a later call.
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
            if refused > 0 || (request.tokens > 0 && grant.tokens == 0 && !grant.settling) {
                let wait = Duration::from_millis(retry_ms.into()).min(EMPTY_MAX);
                local.empty_until = now + wait;
            }
            if admitted + refused == 0 {
                continue;
            }
            outcomes.push(Outcome {
                customer: request.customer.clone(),
                admitted,
                refused,
                retry_ms,
            });
        }
        outcomes
    }

    /// Records that the leader did not answer; returned tokens are lost.
    ///
    /// The waiting requests join the next call, in case the leader is just changing, and are
    /// refused once none has answered for [`LEADERLESS_TIMEOUT`].
    pub fn failed(&mut self, now: Time, call: &LeaderCall) -> Vec<Outcome> {
        let since = *self.leaderless.get_or_insert(call.asked);
        let may_wait = now.since(since) < LEADERLESS_TIMEOUT;
        let mut outcomes = Vec::new();
        for request in &call.requests {
            let Some(local) = self.customers.get_mut(&request.customer) else {
                continue;
            };
            let refused = std::mem::take(&mut local.asked);
            local.unreported = true;
            if refused == 0 {
                continue;
            }
            if may_wait {
                local.waiting += refused;
                local.ask_after = now + LEADERLESS_PAUSE;
                continue;
            }
            outcomes.push(Outcome {
                customer: request.customer.clone(),
                admitted: 0,
                refused,
                retry_ms: LEADERLESS_RETRY_MS,
            });
        }
        outcomes
    }

    /// Number of customers with local state.
    pub fn len(&self) -> usize {
        self.customers.len()
    }

    /// Whether no customer has local state.
    pub fn is_empty(&self) -> bool {
        self.customers.is_empty()
    }

    /// Drops the state of customers without recent traffic; to be called periodically.
    pub fn sweep(&mut self, now: Time) {
        self.customers
            .retain(|_, local| !local.is_quiet() || now.since(local.last_request) < FORGET_AFTER);
    }

    fn drop_idle(&mut self, now: Time, customer: &CustomerId) {
        let Some(local) = self.customers.get(customer) else {
            return;
        };
        if now.since(local.last_request) >= FORGET_AFTER {
            self.customers.remove(customer);
        }
    }
}

/// Retry delay of requests that are refused because no leader answers, in milliseconds.
const LEADERLESS_RETRY_MS: u32 = 1000;

impl LocalBucket {
    fn new(now: Time) -> Self {
        Self {
            grants: VecDeque::new(),
            waiting: 0,
            asked: 0,
            unreported: false,
            reported: now,
            demand: 0.0,
            last_request: now,
            empty_until: Time::ZERO,
            ask_after: Time::ZERO,
            scarce_until: Time::ZERO,
        }
    }

    /// Adds a request to the average demand.
    fn count(&mut self, now: Time) {
        let span = DEMAND_SPAN.as_secs_f64();
        let gap = now.since(self.last_request).as_secs_f64();
        self.demand = self.demand * (-gap / span).exp() + 1.0 / span;
        self.last_request = now;
    }

    fn spend(&mut self, now: Time) -> bool {
        while let Some(grant) = self.grants.front_mut() {
            if now >= grant.until || grant.tokens == 0 {
                self.grants.pop_front();
                continue;
            }
            grant.tokens -= 1;
            self.unreported = true;
            return true;
        }
        false
    }

    fn add(&mut self, now: Time, tokens: u32, until: Time) {
        if tokens == 0 || now >= until {
            return;
        }
        self.grants.push_back(Grant {
            tokens,
            granted: now,
            until,
        });
    }

    /// Numbers of tokens to request, return and hold; `None` if there is nothing to tell the
    /// leader.
    fn ask(&mut self, now: Time) -> Option<(u32, u32, u32)> {
        let mut returned = 0;
        let mut held = 0;
        for grant in &mut self.grants {
            if now >= grant.until {
                grant.tokens = 0;
            }
            if now.since(grant.granted) >= IDLE_AFTER {
                returned += std::mem::take(&mut grant.tokens);
            }
            held += grant.tokens;
        }
        self.grants.retain(|grant| grant.tokens > 0);
        let report = self.unreported && now.since(self.reported) >= REPORT_AFTER;
        let asking = self.waiting > 0 && now >= self.ask_after;
        if !asking && returned == 0 && !report {
            return None;
        }
        let mut tokens = 0;
        if asking {
            let gap = now.since(self.last_request).as_secs_f64();
            let demand = self.demand * (-gap / DEMAND_SPAN.as_secs_f64()).exp();
            let scarce = now < self.scarce_until;
            let prefetch = if scarce {
                0
            } else {
                (demand * PREFETCH.as_secs_f64()) as u32
            };
            tokens = self.waiting.saturating_add(prefetch.saturating_sub(held));
        }
        if asking {
            self.asked = std::mem::take(&mut self.waiting);
        }
        self.unreported = false;
        self.reported = now;
        Some((tokens, returned, held))
    }

    /// Whether there is nothing to tell the leader, now or later.
    fn is_quiet(&self) -> bool {
        self.waiting == 0 && self.asked == 0 && !self.unreported && self.grants.is_empty()
    }
}
