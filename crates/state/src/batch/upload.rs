//! Batch uploads in chunks; no item is leased before the batch is sealed.

use std::collections::BTreeSet;

use clem_store::Store;
use clem_types::{BatchId, BodyHash, CustomerId, UnixMillis};
use clem_wire::batch::{
    BatchBegin, BatchBeginReply, BatchChunk, BatchChunkReply, BatchSeal, BatchSealReply,
    BatchState, Item, OutcomeCounts,
};
use serde::{Deserialize, Serialize};

use crate::{
    Result,
    table::{self, Key},
};

use super::{
    header::{Header, add_bytes, content_key, due_key, idempotency_key, open_prefix, total_bytes},
    item::{self, bytes, item_ref},
    queue, retention,
};

/// How long an upload may take until it is dropped, in milliseconds.
const UPLOAD_MS: u64 = 3600 * 1000;
/// The upload number of every upload: a restarted upload gets a new batch id instead of a new
/// number.
const UPLOAD: u32 = 1;
/// Maximum number of different routes in a batch.
const MAX_ROUTES: usize = 64;
/// Stored bytes of a custom id's hash; a collision among a million ids is practically impossible.
const ID_HASH_BYTES: usize = 16;

/// Starts an upload.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Begin {
    /// The call, as the entry sent it.
    pub call: BatchBegin,
    /// The customer's weight in the fair queue, from the rules.
    pub weight: u32,
    /// Maximum total size of all batches, in bytes.
    pub room: u64,
    /// How long results are kept after the last outcome, in milliseconds.
    pub retention: u64,
    /// The leader's clock.
    pub now: UnixMillis,
}

pub(crate) fn begin(store: &mut dyn Store, command: &Begin) -> Result<BatchBeginReply> {
    let call = &command.call;
    if let Some(reply) = known_reply(store, call, command.now)? {
        return Ok(reply);
    }
    if total_bytes(store)? >= command.room {
        let reason = "there is no room for more batches".to_owned();
        return Ok(BatchBeginReply::Full { reason });
    }
    let mut header = Header {
        customer: call.customer.clone(),
        key: call.key.clone(),
        weight: command.weight,
        idempotency: call.idempotency.clone(),
        content: None,
        due: call.due,
        created: command.now,
        state: BatchState::Uploading,
        chunks: 0,
        items: 0,
        waiting: 0,
        running: 0,
        counts: OutcomeCounts::default(),
        routes: Vec::new(),
        bytes: 0,
        expires: None,
        retention: command.retention,
    };
    let expires = UnixMillis(command.now.0.saturating_add(UPLOAD_MS));
    retention::set_expiry(store, &mut header, call.batch, Some(expires))?;
    if let Some(text) = &call.idempotency {
        table::put(store, &idempotency_key(&call.customer, text), &call.batch)?;
    }
    header.save(store, call.batch)?;
    Ok(BatchBeginReply::Send {
        batch: call.batch,
        upload: UPLOAD,
    })
}

/// The reply to a resent job, by batch id or idempotency key. An unsealed upload under the same
/// idempotency key is dropped, and none is returned.
fn known_reply(
    store: &mut dyn Store,
    call: &BatchBegin,
    now: UnixMillis,
) -> Result<Option<BatchBeginReply>> {
    if let Some(header) = Header::load(store, call.batch)? {
        if header.customer != call.customer {
            let reason = "the batch id is taken".to_owned();
            return Ok(Some(BatchBeginReply::Full { reason }));
        }
        return Ok(Some(resent_reply(&header, call.batch)));
    }
    let Some(text) = &call.idempotency else {
        return Ok(None);
    };
    let key = idempotency_key(&call.customer, text);
    let Some(batch) = table::get::<BatchId>(store, &key)? else {
        return Ok(None);
    };
    let Some(header) = Header::load(store, batch)? else {
        return Ok(None);
    };
    if header.state == BatchState::Uploading {
        retention::drop_batch(store, batch, &header, now)?;
        return Ok(None);
    }
    Ok(Some(BatchBeginReply::Accepted { batch }))
}

fn resent_reply(header: &Header, batch: BatchId) -> BatchBeginReply {
    match header.state {
        BatchState::Uploading => BatchBeginReply::Send {
            batch,
            upload: UPLOAD,
        },
        BatchState::Running | BatchState::Cancelling | BatchState::Cancelled | BatchState::Done => {
            BatchBeginReply::Accepted { batch }
        }
    }
}

pub(crate) fn chunk(
    store: &mut dyn Store,
    call: &BatchChunk,
    room: u64,
) -> Result<BatchChunkReply> {
    let Some(mut header) = Header::load(store, call.batch)? else {
        return Ok(BatchChunkReply::Superseded);
    };
    if header.state != BatchState::Uploading || call.upload != UPLOAD {
        return Ok(BatchChunkReply::Superseded);
    }
    if call.chunk < header.chunks {
        return Ok(BatchChunkReply::Kept);
    }
    if call.chunk > header.chunks {
        return Ok(BatchChunkReply::Superseded);
    }
    let size: u64 = call.items.iter().map(size_of).sum();
    if total_bytes(store)? + size > room {
        let reason = "there is no room for the rest of the batch".to_owned();
        return Ok(BatchChunkReply::Full { reason });
    }
    if let Some(custom_id) = duplicate_id(store, call)? {
        return Ok(BatchChunkReply::Doubled { custom_id });
    }
    for item in &call.items {
        if header.routes.contains(&item.route) {
            continue;
        }
        if header.routes.len() == MAX_ROUTES {
            let reason = format!("a batch may use {MAX_ROUTES} routes at the most");
            return Ok(BatchChunkReply::Full { reason });
        }
        header.routes.push(item.route.clone());
    }
    for item in &call.items {
        put_item(store, &mut header, call.batch, item)?;
    }
    header.chunks += 1;
    header.bytes += size;
    add_bytes(store, size, 0)?;
    header.save(store, call.batch)?;
    Ok(BatchChunkReply::Kept)
}

fn put_item(
    store: &mut dyn Store,
    header: &mut Header,
    batch: BatchId,
    content: &Item,
) -> Result<()> {
    let item = item_ref(batch, header.items);
    table::put(store, &item::content_key(item), content)?;
    table::put(store, &id_key(batch, &content.custom_id), &())?;
    queue::add(store, header, &content.route, item)?;
    header.items += 1;
    header.waiting += 1;
    Ok(())
}

/// The first custom id of the chunk that occurs twice in the batch.
fn duplicate_id(store: &dyn Store, call: &BatchChunk) -> Result<Option<String>> {
    let mut seen = BTreeSet::new();
    for item in &call.items {
        let key = id_key(call.batch, &item.custom_id);
        if !seen.insert(&item.custom_id) || table::get::<()>(store, &key)?.is_some() {
            return Ok(Some(item.custom_id.clone()));
        }
    }
    Ok(None)
}

fn size_of(item: &Item) -> u64 {
    bytes(item.body.len() + item.custom_id.len())
}

/// The prefix of the keys of a batch's custom ids.
pub(super) fn ids_prefix(batch: BatchId) -> Key {
    Key::new("item-id").u128(batch.0)
}

fn id_key(batch: BatchId, custom_id: &str) -> Key {
    let hash = BodyHash::of(custom_id.as_bytes());
    ids_prefix(batch).bytes(&hash.as_bytes()[..ID_HASH_BYTES])
}

pub(crate) fn seal(
    store: &mut dyn Store,
    call: &BatchSeal,
    now: UnixMillis,
) -> Result<BatchSealReply> {
    let Some(mut header) = Header::load(store, call.batch)? else {
        return dropped_reply(store, call.batch);
    };
    if header.state != BatchState::Uploading {
        return Ok(BatchSealReply::Accepted { batch: call.batch });
    }
    let complete = header.chunks == call.chunks && header.items == call.items;
    if !complete || call.upload != UPLOAD {
        return Ok(BatchSealReply::Superseded);
    }
    if let Some(first) = same_content(store, &header.customer, &header, call.content)? {
        // The same job was uploaded before: drop this copy, and remember which batch it duplicates
        // for a resent seal.
        retention::drop_batch(store, call.batch, &header, now)?;
        table::put(store, &duplicate_key(call.batch), &first)?;
        return Ok(BatchSealReply::Accepted { batch: first });
    }
    accept(store, &mut header, call, now)?;
    Ok(BatchSealReply::Accepted { batch: call.batch })
}

fn accept(
    store: &mut dyn Store,
    header: &mut Header,
    call: &BatchSeal,
    now: UnixMillis,
) -> Result<()> {
    let batch = call.batch;
    header.content = Some(call.content);
    header.created = now;
    header.state = BatchState::Running;
    retention::set_expiry(store, header, batch, None)?;
    if header.idempotency.is_none() {
        table::put(store, &content_key(&header.customer, call.content), &batch)?;
    }
    if let Some(due) = header.due {
        table::put(store, &due_key(due, batch), &())?;
    }
    table::put(store, &open_prefix(&header.customer).u128(batch.0), &())?;
    for route in header.routes.clone() {
        queue::enqueue(store, header, &route, batch)?;
    }
    item::close(store, header, batch, now)?;
    header.save(store, batch)
}

/// The accepted batch with the same content, if neither has an idempotency key.
fn same_content(
    store: &dyn Store,
    customer: &CustomerId,
    header: &Header,
    content: BodyHash,
) -> Result<Option<BatchId>> {
    if header.idempotency.is_some() {
        return Ok(None);
    }
    let Some(batch) = table::get::<BatchId>(store, &content_key(customer, content))? else {
        return Ok(None);
    };
    Ok(Header::load(store, batch)?.map(|_| batch))
}

/// The reply to a seal of a batch without a header, which may have been dropped as a duplicate.
fn dropped_reply(store: &dyn Store, batch: BatchId) -> Result<BatchSealReply> {
    match table::get::<BatchId>(store, &duplicate_key(batch))? {
        Some(batch) => Ok(BatchSealReply::Accepted { batch }),
        None => Ok(BatchSealReply::Superseded),
    }
}

/// Maps a duplicate to the batch that was accepted first, until the duplicate's records are gone.
pub(super) fn duplicate_key(batch: BatchId) -> Key {
    Key::new("batch-twin").u128(batch.0)
}
