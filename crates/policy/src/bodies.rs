//! Which bodies of requests and responses a process holds while callers send, or leave unread, more than fits into
//! its memory.
//!
//! The expected load is crowds of callers that send large bodies, or small ones in tiny chunks, and stop short of
//! their end, or that read complete responses slowly, beside ordinary callers whose bodies are sent and read within
//! milliseconds. The bodies of a process share a number of bytes, of which one customer may hold a part. A body for
//! which there is no room takes the place of an unfinished or unread one that is larger than itself, stalled ones
//! first, so that small bodies are taken however many large ones stand still.

use std::{collections::BTreeMap, time::Duration};

use clem_types::Time;

/// What the connection and the state of an unfinished body count for, in bytes, beside its buffer: the read buffer
/// of a connection has up to 16 KiB.
pub const OPEN_BYTES: usize = 16 * 1024;
/// A customer may hold all but one part in this many, so that others find room whatever it sends.
const OTHERS_DIVISOR: usize = 8;
/// Time without a byte after which a body counts as stalled while room is short: far longer than a retransmission.
const STALLED_TIME: Duration = Duration::from_secs(1);

/// The number of a body in its process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BodyNumber(u64);

/// What happens to a body that is to grow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyGrowth {
    /// It has the room. The unfinished and unread bodies named here must be dropped for it; they hold nothing any more.
    Granted(Vec<BodyNumber>),
    /// There is no room; it holds what it held before.
    Refused,
}

#[derive(Debug)]
struct Held {
    /// Empty for requests without a customer, which share a part as one customer does.
    customer: String,
    bytes: usize,
    begun: Time,
    progress: Time,
    stage: Stage,
}

/// How far a body is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// The body of a request that has not arrived in full.
    Unfinished,
    /// A body that is worked on, which gives way to no other.
    Needed,
    /// The body of a response that its caller has not read in full.
    Unread,
}

/// The bodies that a process holds.
#[derive(Debug)]
pub struct Bodies {
    max_bytes: usize,
    used_bytes: usize,
    next: u64,
    held: BTreeMap<BodyNumber, Held>,
    customers: BTreeMap<String, usize>,
}

impl Bodies {
    /// No bodies, and room for this many bytes.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            used_bytes: 0,
            next: 0,
            held: BTreeMap::new(),
            customers: BTreeMap::new(),
        }
    }

    /// Bytes that bodies hold now.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Begins an empty body of a request. It holds nothing before its first growth.
    pub fn begin(&mut self, now: Time, customer: &str) -> BodyNumber {
        self.add_body(now, customer, Stage::Unfinished)
    }

    /// Begins an empty body of a response.
    pub fn begin_response(&mut self, now: Time, customer: &str) -> BodyNumber {
        self.add_body(now, customer, Stage::Needed)
    }

    fn add_body(&mut self, now: Time, customer: &str, stage: Stage) -> BodyNumber {
        let number = BodyNumber(self.next);
        self.next += 1;
        let held = Held {
            customer: customer.to_owned(),
            bytes: 0,
            begun: now,
            progress: now,
            stage,
        };
        self.held.insert(number, held);
        number
    }

    /// Notes that bytes of a body have arrived or have been read; returns false if it has been dropped for another one.
    pub fn progress(&mut self, now: Time, number: BodyNumber) -> bool {
        let held = self.held.get_mut(&number);
        held.is_some_and(|held| {
            held.progress = now;
            true
        })
    }

    /// Gives a body room for this many bytes in all.
    pub fn grow(&mut self, now: Time, number: BodyNumber, bytes: usize) -> BodyGrowth {
        let Some(held) = self.held.get(&number) else {
            return BodyGrowth::Refused;
        };
        let customer = held.customer.clone();
        let more = bytes.saturating_sub(held.bytes);
        let customer_max = self.max_bytes - self.max_bytes / OTHERS_DIVISOR;
        let own = self.customers.get(&customer).copied().unwrap_or_default();
        let mut over_own = own.saturating_add(more).saturating_sub(customer_max);
        let mut over_all = self
            .used_bytes
            .saturating_add(more)
            .saturating_sub(self.max_bytes);
        // The rules may allow a body that is larger than a part: alone, it is taken.
        if own == held.bytes {
            over_own = 0;
        }
        if self.used_bytes == held.bytes {
            over_all = 0;
        }
        let Some(dropped) = self.choose(now, number, bytes, over_own, over_all) else {
            return BodyGrowth::Refused;
        };
        for number in &dropped {
            self.end(*number);
        }
        self.add(number, &customer, more);
        BodyGrowth::Granted(dropped)
    }

    /// Unfinished and unread bodies whose place a body takes so that its customer's part and the whole suffice; `None` if they
    /// don't suffice.
    fn choose(
        &self,
        now: Time,
        number: BodyNumber,
        bytes: usize,
        mut over_own: usize,
        mut over_all: usize,
    ) -> Option<Vec<BodyNumber>> {
        let mut dropped = Vec::new();
        if over_own == 0 && over_all == 0 {
            return Some(dropped);
        }
        let customer = &self.held.get(&number)?.customer;
        let mut others = Vec::new();
        for (other, held) in &self.held {
            let is_stalled = now.since(held.progress) >= STALLED_TIME;
            if *other == number || held.stage == Stage::Needed || held.bytes == 0 {
                continue;
            }
            // Bodies that make progress give way only to smaller ones, or two of a size could drop each other for ever.
            if is_stalled || held.bytes > bytes {
                others.push((!is_stalled, usize::MAX - held.bytes, held.begun, *other));
            }
        }
        others.sort_unstable();
        for (_, _, _, other) in others {
            let held = self.held.get(&other)?;
            let is_own = held.customer == *customer;
            if over_own == 0 && over_all == 0 {
                break;
            }
            if !is_own && over_all == 0 {
                continue;
            }
            over_all = over_all.saturating_sub(held.bytes);
            if is_own {
                over_own = over_own.saturating_sub(held.bytes);
            }
            dropped.push(other);
        }
        (over_own == 0 && over_all == 0).then_some(dropped)
    }

    fn add(&mut self, number: BodyNumber, customer: &str, more: usize) {
        if let Some(held) = self.held.get_mut(&number) {
            held.bytes += more;
            self.used_bytes += more;
            *self.customers.entry(customer.to_owned()).or_default() += more;
        }
    }

    /// Notes that a body has arrived in full with this many bytes: from now on it holds only these, until its
    /// request ends. Returns false if it has been dropped for another one.
    pub fn complete(&mut self, number: BodyNumber, bytes: usize) -> bool {
        let Some(held) = self.held.get_mut(&number) else {
            return false;
        };
        held.stage = Stage::Needed;
        let given_back = held.bytes.saturating_sub(bytes);
        held.bytes -= given_back;
        self.used_bytes -= given_back;
        if let Some(own) = self.customers.get_mut(&held.customer) {
            *own -= given_back;
        }
        true
    }

    /// Notes that a response is complete and only has to be read by its caller.
    pub fn respond(&mut self, now: Time, number: BodyNumber) {
        if let Some(held) = self.held.get_mut(&number) {
            held.stage = Stage::Unread;
            held.progress = now;
        }
    }

    /// Ends a body, whatever it holds.
    pub fn end(&mut self, number: BodyNumber) {
        let Some(held) = self.held.remove(&number) else {
            return;
        };
        self.used_bytes -= held.bytes;
        if let Some(own) = self.customers.get_mut(&held.customer) {
            *own -= held.bytes;
            if *own == 0 {
                self.customers.remove(&held.customer);
            }
        }
    }
}
