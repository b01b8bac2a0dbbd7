//! The order in which items are leased: per route a start-time fair queue over customers, and per
//! customer an order of its batches.

use clem_store::Store;
use clem_types::{BatchId, CustomerId, RouteId};
use clem_wire::sync::ItemRef;
use serde::{Deserialize, Serialize};

use crate::{
    Result,
    table::{self, Key, KeyReader},
};

use super::{header::Header, item::item_ref};

/// One in this many items of a customer is taken from its smallest batch.
pub const SMALL_EVERY: u32 = 4;
/// Virtual time that one token takes at weight 1.
const VIRTUAL_PER_TOKEN: u64 = 1000;

/// A customer's state in the queue of a route.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Share {
    /// Virtual start time of the customer's next item, which is its position in the queue.
    served: u64,
    /// Whether the customer is in the queue.
    queued: bool,
    /// Number of items leased so far, wrapping around.
    picks: u32,
}

/// Adds an item to the waiting index, and its batch to the queue if the batch is running.
pub(super) fn add(
    store: &mut dyn Store,
    header: &Header,
    route: &RouteId,
    item: ItemRef,
) -> Result<()> {
    table::put(
        store,
        &waiting_prefix(item.batch, route).u32(item.item.0),
        &(),
    )?;
    if header.is_running() {
        enqueue(store, header, route, item.batch)?;
    }
    Ok(())
}

/// Adds a batch with waiting items, and its customer, to the queue of a route.
pub(super) fn enqueue(
    store: &mut dyn Store,
    header: &Header,
    route: &RouteId,
    batch: BatchId,
) -> Result<()> {
    table::put(store, &due_key(header, route, batch), &())?;
    table::put(store, &small_key(header, route, batch), &())?;
    let mut share = share(store, route, &header.customer)?;
    if share.queued {
        return Ok(());
    }
    // A customer that was idle starts at the current virtual time: idling gives no credit.
    share.served = share.served.max(virtual_time(store, route)?);
    share.queued = true;
    table::put(
        store,
        &queue_key(route, share.served, &header.customer),
        &(),
    )?;
    table::put(store, &share_key(route, &header.customer), &share)
}

/// Removes a batch from the queue of a route; its waiting items stay in the index.
pub(super) fn dequeue(
    store: &mut dyn Store,
    header: &Header,
    route: &RouteId,
    batch: BatchId,
) -> Result<()> {
    table::delete(store, &due_key(header, route, batch))?;
    table::delete(store, &small_key(header, route, batch))
}

/// The first waiting item of a batch on a route.
fn first_waiting(store: &dyn Store, batch: BatchId, route: &RouteId) -> Result<Option<ItemRef>> {
    let prefix = waiting_prefix(batch, route);
    let Some(pair) = store.scan_prefix(prefix.as_ref(), 1)?.pop() else {
        return Ok(None);
    };
    let item = KeyReader::after(&pair.key, &prefix).u32()?;
    Ok(Some(item_ref(batch, item)))
}

/// Removes and returns the next item of a route; `None` if no item waits.
pub(super) fn take(store: &mut dyn Store, route: &RouteId) -> Result<Option<ItemRef>> {
    loop {
        let Some((served, customer)) = first_customer(store, route)? else {
            return Ok(None);
        };
        let share = share(store, route, &customer)?;
        let Some(batch) = next_batch(store, route, &customer, &share)? else {
            // No batches left: the customer leaves the queue.
            table::delete(store, &queue_key(route, served, &customer))?;
            let idle = Share {
                queued: false,
                ..share
            };
            table::put(store, &share_key(route, &customer), &idle)?;
            continue;
        };
        if let Some(item) = first_waiting(store, batch, route)? {
            table::delete(store, &waiting_prefix(batch, route).u32(item.item.0))?;
            return Ok(Some(item));
        }
        match Header::load(store, batch)? {
            Some(header) => dequeue(store, &header, route, batch)?,
            None => dequeue_dropped(store, route, &customer, batch)?,
        }
    }
}

/// Advances a customer's virtual time by an item of `cost` tokens, in inverse proportion to its
/// weight.
pub(super) fn charge(
    store: &mut dyn Store,
    route: &RouteId,
    header: &Header,
    cost: u32,
) -> Result<()> {
    let customer = &header.customer;
    let mut share = share(store, route, customer)?;
    if share.queued {
        table::delete(store, &queue_key(route, share.served, customer))?;
    }
    table::put(store, &clock_key(route), &share.served)?;
    let span = u64::from(cost.max(1)) * VIRTUAL_PER_TOKEN / u64::from(header.weight.max(1));
    share.served = share.served.saturating_add(span.max(1));
    share.picks = share.picks.wrapping_add(1);
    if share.queued {
        table::put(store, &queue_key(route, share.served, customer), &())?;
    }
    table::put(store, &share_key(route, customer), &share)
}

/// Whether items may be waiting on one of the routes; the leader proposes a lease only then.
pub fn has_waiting(store: &dyn Store, routes: &[RouteId]) -> Result<bool> {
    for route in routes {
        if first_customer(store, route)?.is_some() {
            return Ok(true);
        }
    }
    Ok(false)
}

fn first_customer(store: &dyn Store, route: &RouteId) -> Result<Option<(u64, CustomerId)>> {
    let prefix = queue_prefix(route);
    let Some(pair) = store.scan_prefix(prefix.as_ref(), 1)?.pop() else {
        return Ok(None);
    };
    let mut reader = KeyReader::after(&pair.key, &prefix);
    let served = reader.u64()?;
    let customer = reader.name()?.parse();
    let customer = customer.map_err(|_| table::damaged(&pair.key))?;
    Ok(Some((served, customer)))
}

fn next_batch(
    store: &dyn Store,
    route: &RouteId,
    customer: &CustomerId,
    share: &Share,
) -> Result<Option<BatchId>> {
    let small = share.picks % SMALL_EVERY == SMALL_EVERY - 1;
    let prefix = if small {
        small_prefix(route, customer)
    } else {
        due_prefix(route, customer)
    };
    let Some(pair) = store.scan_prefix(prefix.as_ref(), 1)?.pop() else {
        return Ok(None);
    };
    let mut reader = KeyReader::after(&pair.key, &prefix);
    reader.u64()?;
    reader.u64()?;
    Ok(Some(BatchId(reader.u128()?)))
}

/// Removes a batch without a header from the queue; its keys depend on the header, so they are
/// found by a scan.
fn dequeue_dropped(
    store: &mut dyn Store,
    route: &RouteId,
    customer: &CustomerId,
    batch: BatchId,
) -> Result<()> {
    for prefix in [small_prefix(route, customer), due_prefix(route, customer)] {
        for pair in store.scan_prefix(prefix.as_ref(), usize::MAX)? {
            if pair.key.ends_with(&batch.0.to_be_bytes()) {
                store.delete(&pair.key)?;
            }
        }
    }
    Ok(())
}

fn share(store: &dyn Store, route: &RouteId, customer: &CustomerId) -> Result<Share> {
    Ok(table::get(store, &share_key(route, customer))?.unwrap_or_default())
}

/// The virtual time of a route: the start time of the item that was leased last.
fn virtual_time(store: &dyn Store, route: &RouteId) -> Result<u64> {
    Ok(table::get(store, &clock_key(route))?.unwrap_or_default())
}

// ---------------------------------------------------------------------------------------------
// Keys

/// The prefix of the keys of a batch's waiting items on a route.
pub(super) fn waiting_prefix(batch: BatchId, route: &RouteId) -> Key {
    all_waiting_prefix(batch).name(route.as_str())
}

/// The prefix of the keys of a batch's waiting items on all routes.
pub(super) fn all_waiting_prefix(batch: BatchId) -> Key {
    Key::new("queue-item").u128(batch.0)
}

fn clock_key(route: &RouteId) -> Key {
    Key::new("queue-clock").name(route.as_str())
}

fn share_key(route: &RouteId, customer: &CustomerId) -> Key {
    Key::new("queue-share")
        .name(route.as_str())
        .name(customer.as_str())
}

/// The prefix of the keys of a route's customers, ordered by virtual time.
fn queue_prefix(route: &RouteId) -> Key {
    Key::new("queue-order").name(route.as_str())
}

fn queue_key(route: &RouteId, served: u64, customer: &CustomerId) -> Key {
    queue_prefix(route).u64(served).name(customer.as_str())
}

/// The prefix of the keys of a customer's batches, ordered by deadline.
fn due_prefix(route: &RouteId, customer: &CustomerId) -> Key {
    Key::new("queue-due")
        .name(route.as_str())
        .name(customer.as_str())
}

fn due_key(header: &Header, route: &RouteId, batch: BatchId) -> Key {
    due_prefix(route, &header.customer)
        .u64(header.deadline())
        .u64(header.created.0)
        .u128(batch.0)
}

/// The prefix of the keys of a customer's batches, ordered by size.
fn small_prefix(route: &RouteId, customer: &CustomerId) -> Key {
    Key::new("queue-small")
        .name(route.as_str())
        .name(customer.as_str())
}

fn small_key(header: &Header, route: &RouteId, batch: BatchId) -> Key {
    small_prefix(route, &header.customer)
        .u64(header.items.into())
        .u64(header.created.0)
        .u128(batch.0)
}
