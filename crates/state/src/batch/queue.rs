//! Which item is leased next: a start-time fair queue over customers for each route, and within
//! a customer the order of its batches.

use clem_store::Store;
use clem_types::{BatchId, CustomerId, RouteId};
use clem_wire::sync::ItemRef;
use serde::{Deserialize, Serialize};

use crate::{
    Result,
    table::{self, Key, KeyReader},
};

use super::{header::Header, item::item_ref};

/// Every so many items of a customer come from its smallest batch.
pub const SMALL_EVERY: u32 = 4;
/// Virtual time that one token costs at weight 1.
const TOKEN_SPAN: u64 = 1000;

/// A customer's place in the queue of a route.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Share {
    /// Up to where in virtual time the customer has been served.
    served: u64,
    /// Whether it stands in the queue.
    queued: bool,
    /// Items leased so far.
    picks: u32,
}

/// Adds a waiting item.
pub(super) fn add(
    store: &mut dyn Store,
    header: &Header,
    route: &RouteId,
    item: ItemRef,
) -> Result<()> {
    table::put(
        store,
        &waiting_key(item.batch, route).small(item.item.0),
        &(),
    )?;
    if header.is_running() {
        enlist(store, header, route, item.batch)?;
    }
    Ok(())
}

/// Puts a batch with waiting items into the queue of a route.
pub(super) fn enlist(
    store: &mut dyn Store,
    header: &Header,
    route: &RouteId,
    batch: BatchId,
) -> Result<()> {
    table::put(store, &due_place(header, route, batch), &())?;
    table::put(store, &small_place(header, route, batch), &())?;
    let mut share = share(store, route, &header.customer)?;
    if share.queued {
        return Ok(());
    }
    // A customer that was idle starts at the present: it neither loses nor saves up.
    share.served = share.served.max(clock(store, route)?);
    share.queued = true;
    table::put(
        store,
        &queue_place(route, share.served, &header.customer),
        &(),
    )?;
    table::put(store, &share_key(route, &header.customer), &share)
}

/// Takes a batch out of the queue of a route.
pub(super) fn delist(
    store: &mut dyn Store,
    header: &Header,
    route: &RouteId,
    batch: BatchId,
) -> Result<()> {
    table::delete(store, &due_place(header, route, batch))?;
    table::delete(store, &small_place(header, route, batch))
}

/// The first waiting item of a batch on a route.
fn first_waiting(store: &dyn Store, batch: BatchId, route: &RouteId) -> Result<Option<ItemRef>> {
    let prefix = waiting_key(batch, route);
    let Some(pair) = store.scan_prefix(prefix.as_ref(), 1)?.pop() else {
        return Ok(None);
    };
    let item = KeyReader::after(&pair.key, &prefix).small()?;
    Ok(Some(item_ref(batch, item)))
}

/// Takes the next item of a route out of the queue; none when nothing waits.
pub(super) fn take(store: &mut dyn Store, route: &RouteId) -> Result<Option<ItemRef>> {
    loop {
        let Some((served, customer)) = first_customer(store, route)? else {
            return Ok(None);
        };
        let share = share(store, route, &customer)?;
        let Some(batch) = choose_batch(store, route, &customer, &share)? else {
            // Its last batch has been used up: it leaves the queue.
            table::delete(store, &queue_place(route, served, &customer))?;
            let idle = Share {
                queued: false,
                ..share
            };
            table::put(store, &share_key(route, &customer), &idle)?;
            continue;
        };
        if let Some(item) = first_waiting(store, batch, route)? {
            table::delete(store, &waiting_key(batch, route).small(item.item.0))?;
            return Ok(Some(item));
        }
        match Header::load(store, batch)? {
            Some(header) => delist(store, &header, route, batch)?,
            None => drop_places(store, route, &customer, batch)?,
        }
    }
}

/// Charges a customer for an item of `cost` tokens that it has been given.
pub(super) fn charge(
    store: &mut dyn Store,
    route: &RouteId,
    header: &Header,
    cost: u32,
) -> Result<()> {
    let customer = &header.customer;
    let mut share = share(store, route, customer)?;
    if share.queued {
        table::delete(store, &queue_place(route, share.served, customer))?;
    }
    table::put(store, &clock_key(route), &share.served)?;
    let span = u64::from(cost.max(1)) * TOKEN_SPAN / u64::from(header.weight.max(1));
    share.served = share.served.saturating_add(span.max(1));
    share.picks = share.picks.wrapping_add(1);
    if share.queued {
        table::put(store, &queue_place(route, share.served, customer), &())?;
    }
    table::put(store, &share_key(route, customer), &share)
}

/// Whether anything may wait on one of the routes, so that a lease is worth a command.
pub fn has_waiting(store: &dyn Store, routes: &[RouteId]) -> Result<bool> {
    for route in routes {
        if first_customer(store, route)?.is_some() {
            return Ok(true);
        }
    }
    Ok(false)
}

fn first_customer(store: &dyn Store, route: &RouteId) -> Result<Option<(u64, CustomerId)>> {
    let prefix = queue_key(route);
    let Some(pair) = store.scan_prefix(prefix.as_ref(), 1)?.pop() else {
        return Ok(None);
    };
    let mut reader = KeyReader::after(&pair.key, &prefix);
    let served = reader.number()?;
    let customer = reader.name()?.parse();
    let customer = customer.map_err(|_| table::damaged(&pair.key))?;
    Ok(Some((served, customer)))
}

fn choose_batch(
    store: &dyn Store,
    route: &RouteId,
    customer: &CustomerId,
    share: &Share,
) -> Result<Option<BatchId>> {
    let small = share.picks % SMALL_EVERY == SMALL_EVERY - 1;
    let prefix = if small {
        small_key(route, customer)
    } else {
        due_place_key(route, customer)
    };
    let Some(pair) = store.scan_prefix(prefix.as_ref(), 1)?.pop() else {
        return Ok(None);
    };
    let mut reader = KeyReader::after(&pair.key, &prefix);
    reader.number()?;
    reader.number()?;
    Ok(Some(BatchId(reader.wide()?)))
}

/// Takes a batch that is gone out of the queue; its places are found by a scan.
fn drop_places(
    store: &mut dyn Store,
    route: &RouteId,
    customer: &CustomerId,
    batch: BatchId,
) -> Result<()> {
    for prefix in [small_key(route, customer), due_place_key(route, customer)] {
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

fn clock(store: &dyn Store, route: &RouteId) -> Result<u64> {
    Ok(table::get(store, &clock_key(route))?.unwrap_or_default())
}

// ---------------------------------------------------------------------------------------------
// Keys

/// The waiting items of a batch on a route.
pub(super) fn waiting_key(batch: BatchId, route: &RouteId) -> Key {
    all_waiting_key(batch).name(route.as_str())
}

/// The waiting items of a batch on all routes.
pub(super) fn all_waiting_key(batch: BatchId) -> Key {
    Key::new("queue-item").wide(batch.0)
}

fn clock_key(route: &RouteId) -> Key {
    Key::new("queue-clock").name(route.as_str())
}

fn share_key(route: &RouteId, customer: &CustomerId) -> Key {
    Key::new("queue-share")
        .name(route.as_str())
        .name(customer.as_str())
}

fn queue_key(route: &RouteId) -> Key {
    Key::new("queue-order").name(route.as_str())
}

fn queue_place(route: &RouteId, served: u64, customer: &CustomerId) -> Key {
    queue_key(route).number(served).name(customer.as_str())
}

fn due_place_key(route: &RouteId, customer: &CustomerId) -> Key {
    Key::new("queue-due")
        .name(route.as_str())
        .name(customer.as_str())
}

fn due_place(header: &Header, route: &RouteId, batch: BatchId) -> Key {
    due_place_key(route, &header.customer)
        .number(header.deadline())
        .number(header.created.0)
        .wide(batch.0)
}

fn small_key(route: &RouteId, customer: &CustomerId) -> Key {
    Key::new("queue-small")
        .name(route.as_str())
        .name(customer.as_str())
}

fn small_place(header: &Header, route: &RouteId, batch: BatchId) -> Key {
    small_key(route, &header.customer)
        .number(header.items.into())
        .number(header.created.0)
        .wide(batch.0)
}
