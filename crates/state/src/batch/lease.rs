//! Leasing of items to agents, and renewal of leases.

use clem_store::Store;
use clem_types::{HolderId, Incarnation, RouteId, Tokens, UnixMillis};
use clem_wire::{
    batch::{Item, ItemOutcome, LeaseItemsReply, LeaseRef, LeasedItem},
    sync::{ItemRef, Verdict},
};
use serde::{Deserialize, Serialize};

use crate::{
    Result, poison,
    table::{self, Key},
};

use super::{
    header::Header,
    item::{self, ItemLease, Progress, lease_key},
    queue,
};

/// Maximum number of items in one reply.
const MAX_ITEMS: u32 = 256;
/// Total size of request bodies after which a reply ends, in bytes.
const MAX_BYTES: usize = 4 * 1024 * 1024;
/// Poison items that one command may settle instead of leasing them, so that a command stays short.
const MAX_SETTLED: u32 = 64;
/// Approximate number of bytes of a request body per token, for the cost estimate.
const BYTES_PER_TOKEN: usize = 4;
/// Estimated cost of an item in addition to its body, in tokens.
const BASE_TOKENS: u32 = 64;

/// Leases items to an agent and renews its existing leases.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The agent that asks.
    pub holder: HolderId,
    /// The agent's incarnation; leases of an earlier one are not renewed.
    pub incarnation: Incarnation,
    /// Sequence number of the call within the incarnation; a resent call returns the same items.
    pub sequence: u64,
    /// The routes that the agent's target serves, according to the rules.
    pub routes: Vec<RouteId>,
    /// Maximum number of items to lease.
    pub room: u32,
    /// Leases to renew.
    pub renew: Vec<LeaseRef>,
    /// When the new and the renewed leases expire.
    pub until: UnixMillis,
    /// The leader's clock.
    pub now: UnixMillis,
}

/// An agent's latest call, so that a resent call returns the same items instead of new ones.
#[derive(Debug, Serialize, Deserialize)]
struct LastCall {
    incarnation: Incarnation,
    sequence: u64,
    leased: Vec<LeaseRef>,
}

pub(crate) fn lease(store: &mut dyn Store, command: &Lease) -> Result<LeaseItemsReply> {
    let mut reply = LeaseItemsReply {
        items: Vec::new(),
        lease_ms: 0,
        stop: Vec::new(),
    };
    for renewed in &command.renew {
        if !renew(store, command, *renewed)? {
            reply.stop.push(*renewed);
        }
    }
    let key = last_call_key(&command.holder);
    let last: Option<LastCall> = table::get(store, &key)?;
    let last = last.filter(|last| last.incarnation == command.incarnation);
    if let Some(last) = last
        && last.sequence >= command.sequence
    {
        if last.sequence == command.sequence {
            reply.items = resend_items(store, command, &last.leased)?;
        }
        return Ok(reply);
    }
    reply.items = take(store, command)?;
    let last = LastCall {
        incarnation: command.incarnation,
        sequence: command.sequence,
        leased: reply.items.iter().map(|item| item.lease).collect(),
    };
    table::put(store, &key, &last)?;
    Ok(reply)
}

/// Renews a lease; returns false if the item must stop.
fn renew(store: &mut dyn Store, command: &Lease, lease: LeaseRef) -> Result<bool> {
    let Some(mut progress) = held(store, &command.holder, command.incarnation, lease)? else {
        return Ok(false);
    };
    let Some(header) = Header::load(store, lease.item.batch)? else {
        return Ok(false);
    };
    if !header.is_running() {
        return Ok(false);
    }
    let Some(held) = progress.lease.as_mut() else {
        return Ok(false);
    };
    let before = held.until;
    held.until = before.max(command.until);
    let until = held.until;
    table::delete(store, &lease_key(before, lease.item))?;
    table::put(store, &lease_key(until, lease.item), &())?;
    item::put_progress(store, lease.item, &progress)?;
    Ok(true)
}

/// The progress of an item, if this holder runs its latest attempt under this lease.
pub(super) fn held(
    store: &dyn Store,
    holder: &HolderId,
    incarnation: Incarnation,
    lease: LeaseRef,
) -> Result<Option<Progress>> {
    let Some(progress) = item::progress(store, lease.item)? else {
        return Ok(None);
    };
    let own = progress.attempt == lease.attempt
        && progress
            .lease
            .as_ref()
            .is_some_and(|held| held.holder == *holder && held.incarnation == incarnation);
    Ok(own.then_some(progress))
}

/// The items of the previous call, whose reply was lost, as far as their leases are still valid.
fn resend_items(
    store: &dyn Store,
    command: &Lease,
    leased: &[LeaseRef],
) -> Result<Vec<LeasedItem>> {
    let mut items = Vec::new();
    for lease in leased {
        if held(store, &command.holder, command.incarnation, *lease)?.is_none() {
            continue;
        }
        let Some(header) = Header::load(store, lease.item.batch)? else {
            continue;
        };
        let Some(content) = item::content(store, lease.item)? else {
            continue;
        };
        let suspect = verdict(store, &header, &content)?.is_some();
        items.push(leased_item(&header, *lease, content, suspect));
    }
    Ok(items)
}

/// Leases items from the routes in turn, until a limit is reached or no item waits.
fn take(store: &mut dyn Store, command: &Lease) -> Result<Vec<LeasedItem>> {
    let mut items = Vec::new();
    let mut bytes = 0;
    let mut settled = 0;
    let mut routes = command.routes.clone();
    let room = command.room.min(MAX_ITEMS);
    let mut turn = 0;
    while !routes.is_empty() && bytes < MAX_BYTES && settled < MAX_SETTLED {
        if u32::try_from(items.len()).unwrap_or(u32::MAX) >= room {
            break;
        }
        turn %= routes.len();
        let Some(item) = queue::take(store, &routes[turn])? else {
            routes.remove(turn);
            continue;
        };
        match start(store, command, &routes[turn], item)? {
            Some(leased) => {
                bytes += leased.content.body.len();
                items.push(leased);
            }
            None => settled += 1,
        }
        turn += 1;
    }
    Ok(items)
}

/// Leases an item that was taken from the queue; returns `None` if it is poison and was settled as
/// such.
fn start(
    store: &mut dyn Store,
    command: &Lease,
    route: &RouteId,
    item: ItemRef,
) -> Result<Option<LeasedItem>> {
    let (Some(mut header), Some(content)) = (
        Header::load(store, item.batch)?,
        item::content(store, item)?,
    ) else {
        return Ok(None);
    };
    debug_assert!(header.is_running(), "only running batches are in the queue");
    let verdict = verdict(store, &header, &content)?;
    header.waiting -= 1;
    if verdict == Some(Verdict::Poison) {
        item::settle(store, &mut header, item, ItemOutcome::Poisoned, command.now)?;
        header.save(store, item.batch)?;
        return Ok(None);
    }
    header.running += 1;
    header.save(store, item.batch)?;
    let mut progress = item::progress(store, item)?.unwrap_or_default();
    progress.attempt = progress.attempt.next();
    progress.lease = Some(ItemLease {
        holder: command.holder.clone(),
        incarnation: command.incarnation,
        until: command.until,
    });
    item::put_progress(store, item, &progress)?;
    table::put(store, &lease_key(command.until, item), &())?;
    let lease = LeaseRef {
        item,
        attempt: progress.attempt,
    };
    let leased = leased_item(&header, lease, content, verdict.is_some());
    queue::charge(store, route, &header, leased.cost.0)?;
    Ok(Some(leased))
}

fn leased_item(header: &Header, lease: LeaseRef, content: Item, suspect: bool) -> LeasedItem {
    let tokens = u32::try_from(content.body.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX);
    LeasedItem {
        lease,
        customer: header.customer.clone(),
        key: header.key.clone(),
        content,
        due: header.due,
        weight: header.weight,
        cost: Tokens(tokens.saturating_add(BASE_TOKENS)),
        suspect,
    }
}

/// The verdict on the item's request body.
pub(super) fn verdict(
    store: &dyn Store,
    header: &Header,
    content: &Item,
) -> Result<Option<Verdict>> {
    let body = clem_types::BodyHash::of(content.body.as_bytes());
    poison::verdict(store, Some(&header.customer), body)
}

fn last_call_key(holder: &HolderId) -> Key {
    Key::new("lease-call").name(holder.as_str())
}
