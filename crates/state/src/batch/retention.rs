//! Dropping batches whose time is over, in steps of bounded size.

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

/// Sets when a batch is dropped.
pub(super) fn set(
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

/// Drops a batch: from now on it isn't found, and its records go step by step.
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
    let mut names = Vec::new();
    if let Some(text) = &header.idempotency {
        names.push(idempotency_key(&header.customer, text));
    }
    if let Some(content) = header.content {
        names.push(content_key(&header.customer, content));
    }
    for name in names {
        // A newer upload of the job may have taken the name over.
        if table::get::<BatchId>(store, &name)? == Some(batch) {
            table::delete(store, &name)?;
        }
    }
    Header::remove(store, batch)?;
    table::put(
        store,
        &dropped_key().number(now.0).wide(batch.0),
        &header.bytes,
    )
}

/// Drops what is due, at most about `limit` records; says how many.
pub(crate) fn expire(store: &mut dyn Store, now: UnixMillis, limit: usize) -> Result<usize> {
    let mut dropped = 0;
    for batch in expired(store, now, limit)? {
        if let Some(header) = Header::load(store, batch)? {
            drop_batch(store, batch, &header, now)?;
        }
        dropped += 1;
    }
    while dropped < limit {
        let Some(pair) = store.scan_prefix(dropped_key().as_ref(), 1)?.pop() else {
            break;
        };
        let mut reader = KeyReader::after(&pair.key, &dropped_key());
        reader.number()?;
        let batch = BatchId(reader.wide()?);
        let records = drop_records(store, batch, limit - dropped)?;
        dropped += records;
        if records > 0 {
            continue;
        }
        add_bytes(store, 0, table::decode(&pair.key, &pair.value)?)?;
        table::delete(store, &upload::twin_key(batch))?;
        store.delete(&pair.key)?;
        dropped += 1;
    }
    Ok(dropped)
}

/// Whether anything is due.
pub(crate) fn has_expired(store: &dyn Store, now: UnixMillis) -> Result<bool> {
    if !store.scan_prefix(dropped_key().as_ref(), 1)?.is_empty() {
        return Ok(true);
    }
    Ok(!expired(store, now, 1)?.is_empty())
}

fn expired(store: &dyn Store, now: UnixMillis, limit: usize) -> Result<Vec<BatchId>> {
    let prefix = Key::new("batch-expiry");
    let end = Key::new("batch-expiry").number(now.0);
    let mut batches = Vec::new();
    for pair in store.scan(prefix.as_ref(), Some(end.as_ref()), limit)? {
        let mut reader = KeyReader::after(&pair.key, &prefix);
        reader.number()?;
        batches.push(BatchId(reader.wide()?));
    }
    Ok(batches)
}

fn drop_records(store: &mut dyn Store, batch: BatchId, limit: usize) -> Result<usize> {
    let tables = [
        item::contents_key(batch),
        item::all_progress_key(batch),
        item::result_key(batch),
        upload::ids_key(batch),
        queue::all_waiting_key(batch),
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
    Key::new("batch-expiry").number(expires.0).wide(batch.0)
}

fn dropped_key() -> Key {
    Key::new("batch-dropped")
}
