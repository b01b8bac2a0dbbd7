//! A start-time fair queue: who is served next where customers share one target.
//!
//! Each customer is a flow with a weight. Serving an item moves its flow on in virtual time by
//! cost over weight, and the flow that is furthest behind is served next, so that busy flows
//! share in proportion to their weights, counted in tokens and not in requests.
//!
//! A flow that was idle starts at the present virtual time, or where its own served work ended
//! if that is later: idling earns no credit, and a flow can't shed a debt by pausing. The queue
//! is bounded for each flow and in all; when all is full, a flow that has fewer items takes the
//! place of the newest item of the longest one.
//!
//! ```
//! use clem_policy::fair::{Bounds, FairQueue, Push};
//! use clem_types::{Time, Tokens};
//!
//! let mut queue = FairQueue::new(Bounds { flow: 10, total: 100 });
//! let end = Time::from_millis(1000);
//! for item in ["a1", "a2"] {
//!     assert!(matches!(queue.push('a', 1, Tokens(500), end, item), Push::Queued(_)));
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

/// Virtual time that passes for one token at weight 1.
const SCALE: u64 = 1 << 16;
/// How many flows are looked at for an item that fits.
const FLOWS_TRIED: usize = 16;

/// How many items may wait.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Of one flow.
    pub flow: usize,
    /// Of all flows together.
    pub total: usize,
}

/// Names an item in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// What became of an item that was pushed.
#[derive(Debug, PartialEq, Eq)]
pub enum Push<T> {
    /// It waits.
    Queued(Ticket),
    /// It waits in the place of this one, which has to be refused.
    Evicted(Ticket, T),
    /// There is no room for it.
    Full(T),
}

/// An item whose turn it is.
#[derive(Debug, PartialEq, Eq)]
pub struct Next<K, T> {
    /// Its flow.
    pub flow: K,
    /// Its name in the queue.
    pub ticket: Ticket,
    /// The cost that the flow was charged.
    pub cost: Tokens,
    /// The item.
    pub item: T,
}

/// The queue; `K` names a flow, such as a customer.
#[derive(Debug)]
pub struct FairQueue<K, T> {
    bounds: Bounds,
    /// The start tag of the item served last.
    virtual_time: u64,
    flows: BTreeMap<K, Flow<T>>,
    /// Flows with items, by the start tag of the next one.
    ready: BTreeSet<(u64, K)>,
    /// Flows without items, by where their served work ended.
    idle: BTreeSet<(u64, K)>,
    /// Flows with items, by how many there are.
    lengths: BTreeSet<(usize, K)>,
    /// Where each item stands.
    places: BTreeMap<Ticket, K>,
    deadlines: BTreeSet<(Time, Ticket)>,
    tickets: u64,
}

#[derive(Debug)]
struct Flow<T> {
    weight: u32,
    /// The start tag of the next item; where served work ended for an idle flow.
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
    /// An empty queue.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            virtual_time: 0,
            flows: BTreeMap::new(),
            ready: BTreeSet::new(),
            idle: BTreeSet::new(),
            lengths: BTreeSet::new(),
            places: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            tickets: 0,
        }
    }

    /// How many items wait.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether no item waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// How many items of a flow wait.
    pub fn flow_len(&self, flow: &K) -> usize {
        self.flows.get(flow).map_or(0, |flow| flow.items.len())
    }

    /// Puts an item at the end of its flow. The flow's weight is `weight` from now on.
    pub fn push(&mut self, flow: K, weight: u32, cost: Tokens, deadline: Time, item: T) -> Push<T> {
        let length = self.flow_len(&flow);
        if length >= self.bounds.flow {
            return Push::Full(item);
        }
        let mut evicted = None;
        if self.len() >= self.bounds.total {
            evicted = self.evict(length + 1);
            if evicted.is_none() {
                return Push::Full(item);
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
            Some(evicted) => Push::Evicted(ticket, evicted),
            None => Push::Queued(ticket),
        }
    }

    /// Takes the item whose turn it is.
    pub fn pop(&mut self) -> Option<Next<K, T>> {
        self.pop_if(|_| true)
    }

    /// Takes the first item that fits, out of the next items of the flows whose turn is nearest.
    pub fn pop_if(&mut self, mut fits: impl FnMut(&T) -> bool) -> Option<Next<K, T>> {
        let mut found = None;
        for (start, flow) in self.ready.iter().take(FLOWS_TRIED) {
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
        // An item that was passed over may come later with an earlier tag.
        self.virtual_time = self.virtual_time.max(start);
        self.charge(&flow, |start, weight| {
            start.saturating_add(span(waiting.cost, weight))
        });
        self.forget_idle();
        Some(Next {
            flow,
            ticket,
            cost: waiting.cost,
            item: waiting.item,
        })
    }

    /// Corrects what a flow was charged for a served item, once its real cost is known.
    pub fn settle(&mut self, flow: &K, charged: Tokens, real: Tokens) {
        self.charge(flow, |start, weight| {
            (start + span(real, weight)).saturating_sub(span(charged, weight))
        });
    }

    /// Takes an item out before its turn; its flow is not charged.
    pub fn remove(&mut self, ticket: Ticket) -> Option<T> {
        let flow = self.places.get(&ticket)?.clone();
        Some(self.take(&flow, ticket)?.item)
    }

    /// Takes out the items whose deadlines have passed.
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

    /// When the next deadline passes.
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
        self.places.insert(ticket, name);
        flow.items.insert(ticket, waiting);
    }

    fn take(&mut self, name: &K, ticket: Ticket) -> Option<Waiting<T>> {
        let flow = self.flows.get_mut(name)?;
        let waiting = flow.items.remove(&ticket)?;
        let length = flow.items.len();
        self.places.remove(&ticket);
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

    /// Moves a flow in virtual time.
    fn charge(&mut self, name: &K, moved: impl FnOnce(u64, u32) -> u64) {
        let Some(flow) = self.flows.get_mut(name) else {
            return;
        };
        let start = moved(flow.start, flow.weight);
        let old = (mem::replace(&mut flow.start, start), name.clone());
        let index = if flow.items.is_empty() {
            &mut self.idle
        } else {
            &mut self.ready
        };
        index.remove(&old);
        index.insert((start, name.clone()));
    }

    /// Takes out the newest item of the longest flow, if that has more than `length` items.
    fn evict(&mut self, length: usize) -> Option<T> {
        let (longest, name) = self.lengths.last()?.clone();
        if longest <= length {
            return None;
        }
        let ticket = *self.flows.get(&name)?.items.last_key_value()?.0;
        Some(self.take(&name, ticket)?.item)
    }

    /// Forgets idle flows whose served work lies behind: they would start anew at the same place.
    fn forget_idle(&mut self) {
        while let Some((start, name)) = self.idle.first() {
            if *start > self.virtual_time {
                break;
            }
            self.flows.remove(name);
            self.idle.pop_first();
        }
    }
}

/// The virtual time that an item takes.
fn span(cost: Tokens, weight: u32) -> u64 {
    u64::from(cost.0) * SCALE / u64::from(weight.max(1))
}
