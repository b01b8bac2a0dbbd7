//! Ends of attempts: reported by agents, or caused by expired leases.

use clem_store::Store;
use clem_types::UnixMillis;
use clem_wire::{
    batch::{AttemptEnd, FinishItems, FinishItemsReply, Item, ItemOutcome, LeaseRef, Recorded},
    sync::{ItemRef, Verdict},
};

use crate::{
    Result,
    table::{self, Key, KeyReader},
};

use super::{
    header::Header,
    item::{self, MAX_CRASHES, MAX_LOSSES, Progress, item_ref, lease_key},
    lease::{held, verdict},
    queue,
};

/// What happens to an item after an attempt has ended.
enum Next {
    /// Its final outcome is recorded.
    Settle(ItemOutcome),
    /// It is queued for another attempt.
    Wait,
}

pub(crate) fn finish(
    store: &mut dyn Store,
    call: &FinishItems,
    now: UnixMillis,
) -> Result<FinishItemsReply> {
    let mut recorded = Vec::new();
    for end in &call.ends {
        let progress = held(store, &call.holder, call.incarnation, end.lease)?;
        let Some(progress) = progress else {
            recorded.push(Recorded::Stale);
            continue;
        };
        end_attempt(store, end.lease.item, progress, &end.end, now)?;
        recorded.push(Recorded::Yes);
    }
    Ok(FinishItemsReply { recorded })
}

/// Ends the latest attempt at an item; `progress` must still hold the attempt's lease.
fn end_attempt(
    store: &mut dyn Store,
    item: ItemRef,
    mut progress: Progress,
    end: &AttemptEnd,
    now: UnixMillis,
) -> Result<()> {
    if let Some(held) = progress.lease.take() {
        table::delete(store, &lease_key(held.until, item))?;
    }
    let (Some(mut header), Some(content)) = (
        Header::load(store, item.batch)?,
        item::content(store, item)?,
    ) else {
        return Ok(());
    };
    let next = next(store, &header, &content, &mut progress, end)?;
    header.running -= 1;
    match next {
        Next::Settle(outcome) => item::settle(store, &mut header, item, outcome, now)?,
        Next::Wait => {
            header.waiting += 1;
            item::put_progress(store, item, &progress)?;
            queue::add(store, &header, &content.route, item)?;
        }
    }
    header.save(store, item.batch)
}

/// Decides what happens to an item, and counts a lost attempt.
fn next(
    store: &dyn Store,
    header: &Header,
    content: &Item,
    progress: &mut Progress,
    end: &AttemptEnd,
) -> Result<Next> {
    let crashed = match end {
        AttemptEnd::Done { status, body } => {
            let (status, body) = (*status, body.clone());
            return Ok(Next::Settle(ItemOutcome::Done { status, body }));
        }
        AttemptEnd::Returned if header.is_running() => return Ok(Next::Wait),
        AttemptEnd::Returned => return Ok(Next::Settle(ItemOutcome::Cancelled)),
        AttemptEnd::Lost { crashed } => *crashed,
    };
    if !content.idempotent {
        return Ok(Next::Settle(ItemOutcome::Unknown));
    }
    if !header.is_running() {
        return Ok(Next::Settle(ItemOutcome::Cancelled));
    }
    if verdict(store, header, content)? == Some(Verdict::Poison) {
        return Ok(Next::Settle(ItemOutcome::Poisoned));
    }
    if crashed {
        progress.crashes += 1;
    } else {
        progress.losses += 1;
    }
    if progress.losses < MAX_LOSSES && progress.crashes < MAX_CRASHES {
        return Ok(Next::Wait);
    }
    let reason = format!(
        "no attempt came to an end: {} were lost, in {} the target died",
        progress.losses, progress.crashes
    );
    Ok(Next::Settle(ItemOutcome::Failed { reason }))
}

/// Ends at most `limit` attempts whose leases have expired, and returns their number.
pub(crate) fn expire_leases(store: &mut dyn Store, now: UnixMillis, limit: usize) -> Result<usize> {
    let expired = expired(store, now, limit)?;
    for lease in &expired {
        let Some(progress) = item::progress(store, lease.item)? else {
            continue;
        };
        let lost = AttemptEnd::Lost { crashed: false };
        end_attempt(store, lease.item, progress, &lost, now)?;
    }
    Ok(expired.len())
}

/// Whether a lease has expired.
pub(crate) fn has_expired_lease(store: &dyn Store, now: UnixMillis) -> Result<bool> {
    Ok(!expired(store, now, 1)?.is_empty())
}

fn expired(store: &dyn Store, now: UnixMillis, limit: usize) -> Result<Vec<LeaseRef>> {
    let prefix = Key::new("item-lease");
    let end = Key::new("item-lease").u64(now.0);
    let mut expired = Vec::new();
    for pair in store.scan(prefix.as_ref(), Some(end.as_ref()), limit)? {
        let mut reader = KeyReader::after(&pair.key, &prefix);
        reader.u64()?;
        let batch = clem_types::BatchId(reader.u128()?);
        let item = item_ref(batch, reader.u32()?);
        let attempt = item::progress(store, item)?
            .map(|progress| progress.attempt)
            .unwrap_or_default();
        expired.push(LeaseRef { item, attempt });
    }
    Ok(expired)
}
