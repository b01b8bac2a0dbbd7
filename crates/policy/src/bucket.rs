//! The control leader's token buckets: a customer's rate and burst over all entries together.
//!
//! Entries spend tokens that the leader granted before. For each customer the level of the
//! bucket plus all tokens that are granted and may still be spent never exceeds the burst, so
//! in *every* window of length `w` at most `burst + rate * w` requests are admitted:
//! what is spent in the window was held at its start, in the bucket at its start, or has been
//! refilled since. See `docs/design/online.md`, "Rate and burst".
//!
//! - A grant expires at the holder [`GRANT_TTL`] after the holder asked, and here
//!   [`EXPIRY_MARGIN`] later than that after the call arrived.
//! - At most half the burst is ever granted and unspent. A new leader, which knows nothing of
//!   the old one's grants, counts that half as outstanding until they have expired: it grants
//!   nothing up to then, and fills the other half from nothing meanwhile. So the bound holds
//!   over leaders in quick succession too.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use clem_types::{CustomerId, HolderId, Incarnation, Rate, Time};

/// How long granted tokens may be spent, counted from when the holder asked.
pub const GRANT_TTL: Duration = Duration::from_millis(500);
/// How much longer the leader counts a grant as outstanding, for clocks that run apart.
pub const EXPIRY_MARGIN: Duration = Duration::from_millis(25);
/// How long a holder that has not called is remembered.
const HOLDER_TTL: Duration = Duration::from_secs(60);
/// Millionths of a token in a token.
const MICROS: u64 = 1_000_000;

/// A customer's rate and burst.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limit {
    /// Requests that fall due over time.
    pub rate: Rate,
    /// Requests that may come at once.
    pub burst: u32,
}

/// What a holder asks for one customer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// The customer.
    pub customer: CustomerId,
    /// Tokens that are wanted now.
    pub tokens: u32,
    /// Tokens of earlier grants that are given back unspent.
    pub returned: u32,
    /// Tokens of earlier grants that the holder keeps.
    pub held: u32,
}

/// What is granted for one ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Granted {
    /// How many tokens; may be fewer than wanted.
    pub tokens: u32,
    /// When another token will be there, in milliseconds, if fewer were granted than wanted.
    pub retry_ms: Option<u32>,
    /// Whether nothing is granted only because the leader is new: the answer is not a refusal.
    pub settling: bool,
}

impl Granted {
    /// No tokens, and no word on when there will be some.
    pub const NONE: Self = Self {
        tokens: 0,
        retry_ms: None,
        settling: false,
    };
}

/// The buckets of all customers, at the leader.
#[derive(Debug)]
pub struct Buckets {
    start: Time,
    buckets: HashMap<CustomerId, Bucket>,
    holders: BTreeMap<(HolderId, Incarnation), LastCall>,
    swept: Time,
}

/// A holder's last call, to answer it alike when it arrives twice.
#[derive(Debug)]
struct LastCall {
    sequence: u64,
    at: Time,
    grants: Vec<Granted>,
}

/// A customer's bucket.
#[derive(Debug)]
struct Bucket {
    /// Millionths of a token in the bucket.
    level: u64,
    /// When the level was last brought up to date.
    filled: Time,
    /// What the last refill left over, in millionths of a millionth of a token.
    carry: u64,
    /// Tokens that are granted and may still be spent, by holder.
    held: BTreeMap<(HolderId, Incarnation), Held>,
}

/// Tokens at a holder.
#[derive(Debug, Clone, Copy)]
struct Held {
    tokens: u32,
    until: Time,
}

impl Buckets {
    /// The buckets of a leader that takes office at `now`, when the lease of the former leader
    /// has run out: it has granted nothing that was asked for later.
    pub fn new(now: Time) -> Self {
        Self {
            start: now,
            buckets: HashMap::new(),
            holders: BTreeMap::new(),
            swept: now,
        }
    }

    /// Answers a call of a holder, with one grant for each ask and in the same order.
    ///
    /// A call that arrives twice gets the same answer; one that arrives after a later call of
    /// the same holder is granted nothing. `limit` finds a customer's rate and burst; a customer
    /// without one is granted nothing.
    pub fn take(
        &mut self,
        now: Time,
        holder: (HolderId, Incarnation),
        sequence: u64,
        asks: &[Ask],
        limit: impl Fn(&CustomerId) -> Option<Limit>,
    ) -> Vec<Granted> {
        self.sweep(now);
        if let Some(last) = self.holders.get(&holder) {
            if last.sequence == sequence && last.grants.len() == asks.len() {
                return last.grants.clone();
            }
            if last.sequence >= sequence {
                return vec![Granted::NONE; asks.len()];
            }
        }
        let mut grants = Vec::with_capacity(asks.len());
        for ask in asks {
            let Some(limit) = limit(&ask.customer) else {
                grants.push(Granted::NONE);
                continue;
            };
            let start = self.start;
            let bucket = self
                .buckets
                .entry(ask.customer.clone())
                .or_insert_with(|| Bucket::new(start));
            grants.push(bucket.take(now, start, &holder, ask, limit));
        }
        let last = LastCall {
            sequence,
            at: now,
            grants: grants.clone(),
        };
        self.holders.insert(holder, last);
        grants
    }

    /// Forgets holders that have been silent for long, a few times a minute.
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

    /// How many tokens may be granted and unspent at any time.
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
        ask: &Ask,
        limit: Limit,
    ) -> Granted {
        self.fill(now, start, limit);
        self.settle(holder, ask);
        let unknown = unknown_tokens(now, start, limit);
        let held = self.held_tokens();
        let room = u64::from(limit.held_max()).saturating_sub(held + unknown);
        let room = u32::try_from(room).unwrap_or(u32::MAX);
        let whole = u32::try_from(self.level / MICROS).unwrap_or(u32::MAX);
        let tokens = ask.tokens.min(whole).min(room);
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
            "level and grants stay within the burst"
        );
        let retry_ms = (tokens < ask.tokens).then(|| self.retry_ms(now, start, limit));
        Granted {
            tokens,
            retry_ms,
            settling: unknown > 0 && tokens < ask.tokens,
        }
    }

    /// Brings the level up to date, one expiry after the other: until a grant expires it takes
    /// up room in the bucket, and expired tokens are lost to the customer.
    fn fill(&mut self, now: Time, start: Time, limit: Limit) {
        let known = known_from(start);
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

    /// Refills up to `to`, within the room that holds at all moments before it.
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

    /// Takes in what the holder says of its tokens: kept, given back, or else spent.
    fn settle(&mut self, holder: &(HolderId, Incarnation), ask: &Ask) {
        let Some(held) = self.held.get_mut(holder) else {
            return;
        };
        let gone = held.tokens.saturating_sub(ask.held);
        held.tokens -= gone;
        if held.tokens == 0 {
            self.held.remove(holder);
        }
        // Level and grants together do not grow: what comes back was counted as granted.
        self.level += u64::from(ask.returned.min(gone)) * MICROS;
    }

    /// When the next token is there: at the next refill, or when the first grant expires where
    /// grants take up the room.
    fn retry_ms(&self, now: Time, start: Time, limit: Limit) -> u32 {
        let per_second = limit.rate.micros_per_second().max(1);
        let refill = MICROS.saturating_sub(self.level).saturating_mul(1000) / per_second + 1;
        let known = known_from(start);
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

/// When all grants of the former leader have expired.
fn known_from(start: Time) -> Time {
    start + GRANT_TTL + EXPIRY_MARGIN
}

/// Tokens that the former leader may have granted and that may still be spent.
fn unknown_tokens(now: Time, start: Time, limit: Limit) -> u64 {
    if now < known_from(start) {
        return u64::from(limit.held_max());
    }
    0
}
