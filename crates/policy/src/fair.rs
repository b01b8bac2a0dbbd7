//! Start-time fair queuing (SFQ) for customers that share one target.
//!
//! Each customer is a flow with a weight. Serving an item advances the start tag of its flow by
//! cost over weight, and the flow with the lowest tag is served next. Backlogged flows therefore
//! share the target in proportion to their weights, measured in tokens and not in requests.
//!
//! A flow that becomes active starts at the current virtual time, or at its previous finish tag if
//! that is later: idle time earns no credit, and pausing clears no debt. The queue is bounded per
//! flow and in total. When the total is reached, an item of a shorter flow evicts the newest item
//! of the longest one.
//!
//! ```
//! use clem_policy::fair::{Bounds, FairQueue, PushResult};
//! use clem_types::{Time, Tokens};
//!
//! let mut queue = FairQueue::new(Bounds { flow: 10, total: 100 });
//! let end = Time::from_millis(1000);
//! for item in ["a1", "a2"] {
//!     assert!(matches!(queue.push('a', 1, Tokens(500), end, item), PushResult::Queued(_)));
//! }
//! queue.push('b', 1, Tokens(100), end, "b1");
//! let order: Vec<_> = std::iter::from_fn(|| queue.pop()).map(|next| next.item).collect();
//! assert_eq!(order, ["a1", "b1", "a2"]);
//! ```

use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
};

use clem_types::{Time, Tokens};

/// Virtual time per token at weight 1; fixed-point, so that weights divide it without much loss.
const SCALE: u64 = 1 << 16;
/// Maximum number of flows that [`FairQueue::pop_if`] examines.
const FLOWS_MAX: usize = 16;

/// Maximum number of queued items.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Per flow.
    pub flow: usize,
    /// Over all flows.
    pub total: usize,
}

/// Id of a queued item, ascending in order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// Result of [`FairQueue::push`].
#[derive(Debug, PartialEq, Eq)]
pub enum PushResult<T> {
    /// The item was queued.
    Queued(Ticket),
    /// The item was queued, and the returned one was evicted and has to be refused.
    Evicted(Ticket, T),
    /// The queue is full; the item is returned.
    Full(T),
}

/// An item taken from the queue.
#[derive(Debug, PartialEq, Eq)]
pub struct PoppedItem<K, T> {
    /// Flow that the item belongs to.
    pub flow: K,
    /// Id that the item had in the queue.
    pub ticket: Ticket,
    /// Cost that was charged to the flow, see [`FairQueue::settle`].
    pub cost: Tokens,
    /// The item as it was pushed.
    pub item: T,
}

/// A fair queue of items `T`; `K` identifies a flow, such as a customer.
#[derive(Debug)]
pub struct FairQueue<K, T> {
    bounds: Bounds,
    /// Highest start tag served so far.
    virtual_time: u64,
    flows: BTreeMap<K, Flow<T>>,
    /// Backlogged flows by the start tag of their next item.
    ready: BTreeSet<(u64, K)>,
    /// Idle flows by the finish tag of their last item.
    idle: BTreeSet<(u64, K)>,
    /// Backlogged flows by length.
    lengths: BTreeSet<(usize, K)>,
    /// Flow of each queued item.
    flow_of: BTreeMap<Ticket, K>,
    deadlines: BTreeSet<(Time, Ticket)>,
    /// Number of items pushed so far, which is the last ticket.
    tickets: u64,
}

#[derive(Debug)]
struct Flow<T> {
    weight: u32,
    /// Start tag of the next item, which is the finish tag of the last one when idle.
    start: u64,
    items: BTreeMap<Ticket, Waiting<T>>,
}

#[derive(Debug)]
struct Waiting<T> {
    cost: Tokens,
    deadline: Time,
    item: T,
}

impl<K: Ord + Clone, T> FairQueue<K, T> {
    /// Creates an empty queue.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            virtual_time: 0,
            flows: BTreeMap::new(),
            ready: BTreeSet::new(),
            idle: BTreeSet::new(),
            lengths: BTreeSet::new(),
            flow_of: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            tickets: 0,
        }
    }

    /// Number of queued items.
    pub fn len(&self) -> usize {
        self.flow_of.len()
    }

    /// Whether no item is queued.
    pub fn is_empty(&self) -> bool {
        self.flow_of.is_empty()
    }

    /// Number of queued items of a flow.
    pub fn flow_len(&self, flow: &K) -> usize {
        self.flows.get(flow).map_or(0, |flow| flow.items.len())
    }

    /// Appends an item to its flow and sets the flow's weight.
    pub fn push(
        &mut self,
        flow: K,
        weight: u32,
        cost: Tokens,
        deadline: Time,
        item: T,
    ) -> PushResult<T> {
        let length = self.flow_len(&flow);
        if length >= self.bounds.flow {
            return PushResult::Full(item);
        }
        let mut evicted = None;
        if self.len() >= self.bounds.total {
            evicted = self.evict(length + 1);
            if evicted.is_none() {
                return PushResult::Full(item);
            }
        }
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        self.insert(
            flow,
            weight,
            ticket,
            Waiting {
                cost,
                deadline,
                item,
            },
        );
        match evicted {
            Some(evicted) => PushResult::Evicted(ticket, evicted),
            None => PushResult::Queued(ticket),
        }
    }

    /// Removes the next item.
    pub fn pop(&mut self) -> Option<PoppedItem<K, T>> {
        self.pop_if(|_| true)
    }

    /// Removes the first item that fits, among the head items of the flows that are next in order.
    pub fn pop_if(&mut self, mut fits: impl FnMut(&T) -> bool) -> Option<PoppedItem<K, T>> {
        let mut found = None;
        for (start, flow) in self.ready.iter().take(FLOWS_MAX) {
            let Some((ticket, head)) = self.flows.get(flow).and_then(|f| f.items.first_key_value())
            else {
                continue;
            };
            if fits(&head.item) {
                found = Some((*start, flow.clone(), *ticket));
                break;
            }
        }
        let (start, flow, ticket) = found?;
        let waiting = self.take(&flow, ticket)?;
        // Virtual time never goes back: an item that was skipped has an earlier tag.
        self.virtual_time = self.virtual_time.max(start);
        self.charge(&flow, |start, weight| {
            start.saturating_add(virtual_span(waiting.cost, weight))
        });
        self.prune_idle();
        Some(PoppedItem {
            flow,
            ticket,
            cost: waiting.cost,
            item: waiting.item,
        })
    }

    /// Replaces the cost that a flow was charged for a served item with the actual one.
    pub fn settle(&mut self, flow: &K, charged: Tokens, actual: Tokens) {
        self.charge(flow, |start, weight| {
            (start + virtual_span(actual, weight)).saturating_sub(virtual_span(charged, weight))
        });
    }

    /// Removes a queued item without charging its flow.
    pub fn remove(&mut self, ticket: Ticket) -> Option<T> {
        let flow = self.flow_of.get(&ticket)?.clone();
        Some(self.take(&flow, ticket)?.item)
    }

    /// Removes and returns the items whose deadlines have passed.
    pub fn expire(&mut self, now: Time) -> Vec<T> {
        let mut expired = Vec::new();
        while let Some((deadline, ticket)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            expired.extend(self.remove(ticket));
        }
        expired
    }

    /// Earliest deadline of the queued items.
    pub fn next_deadline(&self) -> Option<Time> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    fn insert(&mut self, name: K, weight: u32, ticket: Ticket, waiting: Waiting<T>) {
        let virtual_time = self.virtual_time;
        let flow = self.flows.entry(name.clone()).or_insert_with(|| Flow {
            weight,
            start: virtual_time,
            items: BTreeMap::new(),
        });
        flow.weight = weight;
        let length = flow.items.len();
        if length == 0 {
            self.idle.remove(&(flow.start, name.clone()));
            flow.start = flow.start.max(virtual_time);
            self.ready.insert((flow.start, name.clone()));
        } else {
            self.lengths.remove(&(length, name.clone()));
        }
        self.lengths.insert((length + 1, name.clone()));
        self.deadlines.insert((waiting.deadline, ticket));
        self.flow_of.insert(ticket, name);
        flow.items.insert(ticket, waiting);
    }

    fn take(&mut self, name: &K, ticket: Ticket) -> Option<Waiting<T>> {
        let flow = self.flows.get_mut(name)?;
        let waiting = flow.items.remove(&ticket)?;
        let length = flow.items.len();
        self.flow_of.remove(&ticket);
        self.deadlines.remove(&(waiting.deadline, ticket));
        self.lengths.remove(&(length + 1, name.clone()));
        if length > 0 {
            self.lengths.insert((length, name.clone()));
        } else {
            self.ready.remove(&(flow.start, name.clone()));
            self.idle.insert((flow.start, name.clone()));
        }
        Some(waiting)
    }

    /// Sets the start tag of a flow to `update(start, weight)` and re-sorts the flow.
    fn charge(&mut self, name: &K, update: impl FnOnce(u64, u32) -> u64) {
        let Some(flow) = self.flows.get_mut(name) else {
            return;
        };
        let start = update(flow.start, flow.weight);
        let old = (mem::replace(&mut flow.start, start), name.clone());
        let index = if flow.items.is_empty() {
            &mut self.idle
        } else {
            &mut self.ready
        };
        index.remove(&old);
        index.insert((start, name.clone()));
    }

    /// Removes the newest item of the longest flow, if that has more than `length` items.
    fn evict(&mut self, length: usize) -> Option<T> {
        let (longest, name) = self.lengths.last()?.clone();
        if longest <= length {
            return None;
        }
        let ticket = *self.flows.get(&name)?.items.last_key_value()?.0;
        Some(self.take(&name, ticket)?.item)
    }

    /// Removes idle flows whose finish tag has passed: they would restart at the current virtual
    /// time anyway.
    fn prune_idle(&mut self) {
        while let Some((start, name)) = self.idle.first() {
            if *start > self.virtual_time {
                break;
            }
            self.flows.remove(name);
            self.idle.pop_first();
        }
    }
}

/// Virtual time that an item takes.
fn virtual_span(cost: Tokens, weight: u32) -> u64 {
    u64::from(cost.0) * SCALE / u64::from(weight.max(1))
}
