//! Expiry of batches, in steps of bounded size.

use clem_store::Store;
use clem_types::{BatchId, UnixMillis};

use crate::{
    Result,
    table::{self, Key, KeyReader},
};

use super::{
    header::{Header, add_bytes, content_key, due_key, idempotency_key},
    item, queue, upload,
};

/// Sets when a batch expires; the caller saves the header.
pub(super) fn set_expiry(
    store: &mut dyn Store,
    header: &mut Header,
    batch: BatchId,
    expires: Option<UnixMillis>,
) -> Result<()> {
    if let Some(before) = header.expires {
        table::delete(store, &expiry_key(before, batch))?;
    }
    header.expires = expires;
    if let Some(expires) = expires {
        table::put(store, &expiry_key(expires, batch), &())?;
    }
    Ok(())
}

/// Drops a batch: it is no longer found from now on, and [`expire`] deletes its records later.
pub(super) fn drop_batch(
    store: &mut dyn Store,
    batch: BatchId,
    header: &Header,
    now: UnixMillis,
) -> Result<()> {
    if let Some(expires) = header.expires {
        table::delete(store, &expiry_key(expires, batch))?;
    }
    if let Some(due) = header.due {
        table::delete(store, &due_key(due, batch))?;
    }
    let mut keys = Vec::new();
    if let Some(text) = &header.idempotency {
        keys.push(idempotency_key(&header.customer, text));
    }
    if let Some(content) = header.content {
        keys.push(content_key(&header.customer, content));
    }
    for key in keys {
        // The key may already refer to a newer upload of the job.
        if table::get::<BatchId>(store, &key)? == Some(batch) {
            table::delete(store, &key)?;
        }
    }
    Header::remove(store, batch)?;
    table::put(
        store,
        &dropped_prefix().u64(now.0).u128(batch.0),
        &header.bytes,
    )
}

/// Drops expired batches, then deletes records of dropped ones: about `limit` of both together.
/// Returns how many.
pub(crate) fn expire(store: &mut dyn Store, now: UnixMillis, limit: usize) -> Result<usize> {
    let mut dropped = 0;
    for batch in expired(store, now, limit)? {
        if let Some(header) = Header::load(store, batch)? {
            drop_batch(store, batch, &header, now)?;
        }
        dropped += 1;
    }
    while dropped < limit {
        let Some(pair) = store.scan_prefix(dropped_prefix().as_ref(), 1)?.pop() else {
            break;
        };
        let mut reader = KeyReader::after(&pair.key, &dropped_prefix());
        reader.u64()?;
        let batch = BatchId(reader.u128()?);
        let records = drop_records(store, batch, limit - dropped)?;
        dropped += records;
        if records > 0 {
            continue;
        }
        add_bytes(store, 0, table::decode(&pair.key, &pair.value)?)?;
        table::delete(store, &upload::duplicate_key(batch))?;
        store.delete(&pair.key)?;
        dropped += 1;
    }
    Ok(dropped)
}

/// Whether a batch has expired, or records of a dropped one remain.
pub(crate) fn has_expired(store: &dyn Store, now: UnixMillis) -> Result<bool> {
    if !store.scan_prefix(dropped_prefix().as_ref(), 1)?.is_empty() {
        return Ok(true);
    }
    Ok(!expired(store, now, 1)?.is_empty())
}

fn expired(store: &dyn Store, now: UnixMillis, limit: usize) -> Result<Vec<BatchId>> {
    let prefix = Key::new("batch-expiry");
    let end = Key::new("batch-expiry").u64(now.0);
    let mut batches = Vec::new();
    for pair in store.scan(prefix.as_ref(), Some(end.as_ref()), limit)? {
        let mut reader = KeyReader::after(&pair.key, &prefix);
        reader.u64()?;
        batches.push(BatchId(reader.u128()?));
    }
    Ok(batches)
}

/// Deletes at most `limit` records of a dropped batch and returns their number.
fn drop_records(store: &mut dyn Store, batch: BatchId, limit: usize) -> Result<usize> {
    let tables = [
        item::contents_prefix(batch),
        item::progress_prefix(batch),
        item::result_prefix(batch),
        upload::ids_prefix(batch),
        queue::all_waiting_prefix(batch),
    ];
    let mut dropped = 0;
    for table in tables {
        for pair in store.scan_prefix(table.as_ref(), limit - dropped)? {
            store.delete(&pair.key)?;
            dropped += 1;
        }
    }
    Ok(dropped)
}

fn expiry_key(expires: UnixMillis, batch: BatchId) -> Key {
    Key::new("batch-expiry").u64(expires.0).u128(batch.0)
}

/// The prefix of the keys of dropped batches whose records have not all been deleted.
fn dropped_prefix() -> Key {
    Key::new("batch-dropped")
}
