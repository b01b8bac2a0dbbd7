//! Leases of items to agents.

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
    item::{self, Held, Progress, lease_key},
    queue,
};

/// The most items in one reply.
const MAX_ITEMS: u32 = 256;
/// The most bytes of bodies in one reply.
const MAX_BYTES: usize = 4 * 1024 * 1024;
/// The most items that one command may settle as poison on its way.
const MAX_SETTLED: u32 = 64;
/// The bytes of a body that make about one token.
const TOKEN_BYTES: usize = 4;
/// Tokens that each item costs besides its body.
const BASE_TOKENS: u32 = 64;

/// Leases items to an agent and renews the leases that it has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The agent.
    pub holder: HolderId,
    /// The agent's life.
    pub incarnation: Incarnation,
    /// Counts the agent's calls.
    pub sequence: u64,
    /// The routes that the agent's target serves, by the rules.
    pub routes: Vec<RouteId>,
    /// How many items there is room for.
    pub room: u32,
    /// Leases to renew.
    pub renew: Vec<LeaseRef>,
    /// Until when the leases hold.
    pub until: UnixMillis,
    /// The present.
    pub now: UnixMillis,
}

/// The latest call of an agent, so that one that arrives twice leases once.
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
    let key = last_key(&command.holder);
    let last: Option<LastCall> = table::get(store, &key)?;
    let last = last.filter(|last| last.incarnation == command.incarnation);
    if let Some(last) = last
        && last.sequence >= command.sequence
    {
        if last.sequence == command.sequence {
            reply.items = leased_again(store, command, &last.leased)?;
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

/// Renews a lease; says whether it still stands.
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

/// The progress of an item whose latest attempt this holder has under this lease.
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

/// The items of an earlier call whose answer was lost, as far as they still stand.
fn leased_again(
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

/// Takes items from the routes in turn until the room is used up or nothing waits.
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
        let Some(place) = queue::take(store, &routes[turn])? else {
            routes.remove(turn);
            continue;
        };
        match start(store, command, &routes[turn], place)? {
            Some(item) => {
                bytes += item.content.body.len();
                items.push(item);
            }
            None => settled += 1,
        }
        turn += 1;
    }
    Ok(items)
}

/// Leases an item that was taken out of the queue; none when it is poison and settled as such.
fn start(
    store: &mut dyn Store,
    command: &Lease,
    route: &RouteId,
    place: ItemRef,
) -> Result<Option<LeasedItem>> {
    let (Some(mut header), Some(content)) = (
        Header::load(store, place.batch)?,
        item::content(store, place)?,
    ) else {
        return Ok(None);
    };
    debug_assert!(
        header.is_running(),
        "only running batches stand in the queue"
    );
    let verdict = verdict(store, &header, &content)?;
    header.waiting -= 1;
    if verdict == Some(Verdict::Poison) {
        item::settle(
            store,
            &mut header,
            place,
            ItemOutcome::Poisoned,
            command.now,
        )?;
        header.save(store, place.batch)?;
        return Ok(None);
    }
    header.running += 1;
    header.save(store, place.batch)?;
    let mut progress = item::progress(store, place)?.unwrap_or_default();
    progress.attempt = progress.attempt.next();
    progress.lease = Some(Held {
        holder: command.holder.clone(),
        incarnation: command.incarnation,
        until: command.until,
    });
    item::put_progress(store, place, &progress)?;
    table::put(store, &lease_key(command.until, place), &())?;
    let lease = LeaseRef {
        item: place,
        attempt: progress.attempt,
    };
    let item = leased_item(&header, lease, content, verdict.is_some());
    queue::charge(store, route, &header, item.cost.0)?;
    Ok(Some(item))
}

fn leased_item(header: &Header, lease: LeaseRef, content: Item, suspect: bool) -> LeasedItem {
    let tokens = u32::try_from(content.body.len() / TOKEN_BYTES).unwrap_or(u32::MAX);
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

/// What the item's body counts as.
pub(super) fn verdict(
    store: &dyn Store,
    header: &Header,
    content: &Item,
) -> Result<Option<Verdict>> {
    let body = clem_types::BodyHash::of(content.body.as_bytes());
    poison::verdict(store, Some(&header.customer), body)
}

fn last_key(holder: &HolderId) -> Key {
    Key::new("lease-call").name(holder.as_str())
}
