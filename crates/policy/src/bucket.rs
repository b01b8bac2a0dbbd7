//! Distributed rate limiting, on the side of the control leader: one token bucket per customer
//! for all entries together.
//!
//! Entries spend tokens that the leader granted to them in advance. For each customer, the level of
//! the bucket plus all granted tokens that may still be spent never exceeds the burst. Therefore
//! *every* window of length `w` admits at most `burst + rate * w` requests: a token spent in the
//! window was granted or in the bucket at its start, or has been refilled since. See
//! `docs/design/online.md`, "Rate and burst".
//!
//! - A grant expires at the holder [`GRANT_TTL`] after the holder sent the call, and at the leader
//!   [`GRANT_TTL`] plus [`EXPIRY_MARGIN`] after the call arrived.
//! - At most half of the burst is granted and unspent at any time. A new leader, which doesn't know
//!   its predecessor's grants, counts that half as outstanding until they have expired. It grants
//!   nothing in this time and fills the other half from zero, so the bound also holds over leaders
//!   in quick succession.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use clem_types::{CustomerId, HolderId, Incarnation, Rate, Time};

/// Lifetime of granted tokens, from the time at which the holder sent the call.
pub const GRANT_TTL: Duration = Duration::from_millis(500);
/// Additional time for which the leader counts a grant as outstanding, to allow for clock drift.
pub const EXPIRY_MARGIN: Duration = Duration::from_millis(25);
/// Time without a call after which the state of a holder is dropped.
const HOLDER_TTL: Duration = Duration::from_secs(60);
/// Bucket levels are kept in millionths of a token.
const MICROS: u64 = 1_000_000;

/// Rate limit of a customer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limit {
    /// Rate at which the bucket is refilled.
    pub rate: Rate,
    /// Capacity of the bucket, in requests.
    pub burst: u32,
}

/// Part of a holder's call that concerns one customer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TokenRequest {
    /// Customer that the tokens are for.
    pub customer: CustomerId,
    /// Number of tokens requested; 0 if the holder only reports.
    pub tokens: u32,
    /// Tokens of earlier grants that are returned unspent.
    pub returned: u32,
    /// Tokens of earlier grants that the holder keeps; the others were spent.
    pub held: u32,
}

/// Answer to one [`TokenRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Granted {
    /// Number of granted tokens, at most as many as requested.
    pub tokens: u32,
    /// Milliseconds until the next token, if fewer were granted than requested.
    pub retry_ms: Option<u32>,
    /// Whether tokens are withheld only because the leader is new; the holder should ask again
    /// instead of refusing requests.
    pub settling: bool,
}

impl Granted {
    /// No tokens and no retry delay.
    pub const NONE: Self = Self {
        tokens: 0,
        retry_ms: None,
        settling: false,
    };
}

/// The leader's buckets of all customers.
#[derive(Debug)]
pub struct Buckets {
    start: Time,
    buckets: HashMap<CustomerId, Bucket>,
    holders: BTreeMap<(HolderId, Incarnation), LastCall>,
    swept: Time,
}

/// Last call of a holder with its answer, for duplicates.
#[derive(Debug)]
struct LastCall {
    sequence: u64,
    at: Time,
    grants: Vec<Granted>,
}

/// A customer's bucket.
#[derive(Debug)]
struct Bucket {
    /// Tokens in the bucket, in millionths.
    level: u64,
    /// Time up to which the level is refilled.
    filled: Time,
    /// Remainder of the last refill, in millionths of a millionth of a token.
    carry: u64,
    /// Granted tokens that may still be spent, by holder.
    held: BTreeMap<(HolderId, Incarnation), Held>,
}

/// Outstanding tokens of a holder.
#[derive(Debug, Clone, Copy)]
struct Held {
    tokens: u32,
    until: Time,
}

impl Buckets {
    /// Creates the buckets of a leader whose term starts at `now`. The lease of the former leader
    /// must have expired by then, so that it answers no later call.
    pub fn new(now: Time) -> Self {
        Self {
            start: now,
            buckets: HashMap::new(),
            holders: BTreeMap::new(),
            swept: now,
        }
    }

    /// Answers a call of a holder with one grant for each request, in the same order.
    ///
    /// A duplicate of the last call gets the same answer again; a call that was overtaken by a
    /// later one of the same holder is granted nothing. `limit` returns a customer's rate limit;
    /// a customer without one is granted nothing.
    pub fn take(
        &mut self,
        now: Time,
        holder: (HolderId, Incarnation),
        sequence: u64,
        requests: &[TokenRequest],
        limit: impl Fn(&CustomerId) -> Option<Limit>,
    ) -> Vec<Granted> {
        self.sweep(now);
        if let Some(last) = self.holders.get(&holder) {
            if last.sequence == sequence && last.grants.len() == requests.len() {
                return last.grants.clone();
            }
            if last.sequence >= sequence {
                return vec![Granted::NONE; requests.len()];
            }
        }
        let mut grants = Vec::with_capacity(requests.len());
        for request in requests {
            let Some(limit) = limit(&request.customer) else {
                grants.push(Granted::NONE);
                continue;
            };
            let start = self.start;
            let bucket = self
                .buckets
                .entry(request.customer.clone())
                .or_insert_with(|| Bucket::new(start));
            grants.push(bucket.take(now, start, &holder, request, limit));
        }
        let last = LastCall {
            sequence,
            at: now,
            grants: grants.clone(),
        };
        self.holders.insert(holder, last);
        grants
    }

    /// Drops the state of holders that no longer call; does nothing if the last sweep was recent.
    fn sweep(&mut self, now: Time) {
        if now.since(self.swept) < HOLDER_TTL {
            return;
        }
        self.swept = now;
        self.holders
            .retain(|_, last| now.since(last.at) < HOLDER_TTL);
    }
}

impl Limit {
    /// The burst in millionths of a token.
    fn burst_micros(self) -> u64 {
        u64::from(self.burst) * MICROS
    }

    /// Maximum number of tokens that are granted and unspent.
    fn held_max(self) -> u32 {
        (self.burst / 2).max(1).min(self.burst)
    }
}

impl Bucket {
    fn new(start: Time) -> Self {
        Self {
            level: 0,
            filled: start,
            carry: 0,
            held: BTreeMap::new(),
        }
    }

    fn take(
        &mut self,
        now: Time,
        start: Time,
        holder: &(HolderId, Incarnation),
        request: &TokenRequest,
        limit: Limit,
    ) -> Granted {
        self.fill(now, start, limit);
        self.apply_report(holder, request);
        let unknown = unknown_tokens(now, start, limit);
        let held = self.held_tokens();
        let room = u64::from(limit.held_max()).saturating_sub(held + unknown);
        let room = u32::try_from(room).unwrap_or(u32::MAX);
        let whole = u32::try_from(self.level / MICROS).unwrap_or(u32::MAX);
        let tokens = request.tokens.min(whole).min(room);
        if tokens > 0 {
            self.level -= u64::from(tokens) * MICROS;
            let until = now + GRANT_TTL + EXPIRY_MARGIN;
            let entry = self
                .held
                .entry(holder.clone())
                .or_insert(Held { tokens: 0, until });
            entry.tokens += tokens;
            entry.until = until;
        }
        debug_assert!(
            tokens == 0
                || self.level + (held + u64::from(tokens) + unknown) * MICROS
                    <= limit.burst_micros(),
            "level and outstanding grants exceed the burst"
        );
        let retry_ms = (tokens < request.tokens).then(|| self.retry_ms(now, start, limit));
        Granted {
            tokens,
            retry_ms,
            settling: unknown > 0 && tokens < request.tokens,
        }
    }

    /// Refills the bucket up to `now`, in steps from one expiry to the next: a grant occupies
    /// capacity until it expires, and expired tokens are not returned to the bucket.
    fn fill(&mut self, now: Time, start: Time, limit: Limit) {
        let known = settled_at(start);
        loop {
            let grant = self.held.values().map(|held| held.until).min();
            let old = (self.filled < known).then_some(known);
            let Some(expiry) = grant.into_iter().chain(old).min() else {
                break;
            };
            if expiry > now {
                break;
            }
            self.fill_to(expiry, start, limit);
            self.held.retain(|_, held| expiry < held.until);
        }
        self.fill_to(now, start, limit);
    }

    /// Refills the bucket up to `to`; no grant may expire before then, so that the free capacity is
    /// constant.
    fn fill_to(&mut self, to: Time, start: Time, limit: Limit) {
        if to <= self.filled {
            return;
        }
        let span = to.since(self.filled).as_micros();
        let due = u128::from(limit.rate.micros_per_second()) * span + u128::from(self.carry);
        let whole = u64::try_from(due / u128::from(MICROS)).unwrap_or(u64::MAX);
        self.carry = u64::try_from(due % u128::from(MICROS)).unwrap_or_default();
        let out = (self.held_tokens() + unknown_tokens(self.filled, start, limit)) * MICROS;
        let room = limit.burst_micros().saturating_sub(out);
        self.level = self.level.saturating_add(whole).min(room);
        self.filled = to;
    }

    fn held_tokens(&self) -> u64 {
        self.held.values().map(|held| u64::from(held.tokens)).sum()
    }

    /// Applies the holder's report on its tokens, which were kept, returned or else spent.
    fn apply_report(&mut self, holder: &(HolderId, Incarnation), request: &TokenRequest) {
        let Some(held) = self.held.get_mut(holder) else {
            return;
        };
        let released = held.tokens.saturating_sub(request.held);
        held.tokens -= released;
        if held.tokens == 0 {
            self.held.remove(holder);
        }
        // Doesn't raise the sum of level and grants: returned tokens were counted as granted.
        self.level += u64::from(request.returned.min(released)) * MICROS;
    }

    /// Milliseconds until the next token: until the next refill, or until the first grant expires
    /// if outstanding grants occupy the capacity.
    fn retry_ms(&self, now: Time, start: Time, limit: Limit) -> u32 {
        let per_second = limit.rate.micros_per_second().max(1);
        let refill = MICROS.saturating_sub(self.level).saturating_mul(1000) / per_second + 1;
        let known = settled_at(start);
        let old = (now < known).then(|| known.since(now));
        let grant = self.held.values().map(|held| held.until.since(now)).min();
        let wait = match old.or(grant) {
            Some(left) if self.level >= MICROS || old.is_some() => {
                u64::try_from(left.as_millis()).unwrap_or(u64::MAX) + 1
            }
            Some(_) | None => refill,
        };
        u32::try_from(wait).unwrap_or(u32::MAX)
    }
}

/// Time at which all grants of the former leader have expired.
fn settled_at(start: Time) -> Time {
    start + GRANT_TTL + EXPIRY_MARGIN
}

/// Upper bound of the former leader's grants that may still be spent.
fn unknown_tokens(now: Time, start: Time, limit: Limit) -> u64 {
    if now < settled_at(start) {
        return u64::from(limit.held_max());
    }
    0
}
