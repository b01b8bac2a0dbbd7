//! Idempotency records of at-most-once calls.
//!
//! The record is committed before the call is dispatched, and updated with the outcome afterwards.
//! It is kept for as long as resends are expected. See `docs/design/online.md`, "Dispatch".

use clem_store::{Pair, Store};
use clem_types::{BodyHash, CustomerId, RequestId, RouteId, UnixMillis};
use clem_wire::online::{OnceBegin, OnceBeginReply, OnceFinish, OnceOutcome, OnceResult};
use serde::{Deserialize, Serialize};

use crate::{
    Result,
    table::{self, Key, KeyReader},
};

/// How long a record is kept after its creation, in milliseconds.
const RETENTION_MS: u64 = 24 * 3600 * 1000;
/// Maximum number of records per customer.
const MAX_RECORDS: u32 = 20_000;
/// Maximum size of a stored result body, in bytes; the outcome of a call with a longer one stays
/// unknown.
const MAX_RESULT_BYTES: usize = 256 * 1024;
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// The record of one call.
#[derive(Debug, Serialize, Deserialize)]
struct Record {
    body: BodyHash,
    request: RequestId,
    state: RecordState,
    expires: UnixMillis,
}

#[derive(Debug, Serialize, Deserialize)]
enum RecordState {
    /// The call was permitted to run; its outcome is not known.
    Begun,
    /// The call ran, with this result.
    Done(OnceResult),
}

pub(crate) fn begin(
    store: &mut dyn Store,
    call: &OnceBegin,
    now: UnixMillis,
) -> Result<OnceBeginReply> {
    if call.key.len() > MAX_KEY_BYTES {
        return Ok(OnceBeginReply::Full);
    }
    let key = record_key(call.customer.as_ref(), &call.route, &call.key);
    if let Some(record) = table::get::<Record>(store, &key)? {
        return Ok(known_reply(call, record));
    }
    let count_key = count_key(call.customer.as_ref());
    let count: u32 = table::get(store, &count_key)?.unwrap_or_default();
    if count >= MAX_RECORDS {
        return Ok(OnceBeginReply::Full);
    }
    let record = Record {
        body: call.body,
        request: call.request,
        state: RecordState::Begun,
        expires: UnixMillis(now.0.saturating_add(RETENTION_MS)),
    };
    table::put(store, &count_key, &(count + 1))?;
    table::put(store, &expiry_key(record.expires, &key), &call.customer)?;
    table::put(store, &key, &record)?;
    Ok(OnceBeginReply::Go)
}

/// The reply to a call that already has a record.
fn known_reply(call: &OnceBegin, record: Record) -> OnceBeginReply {
    if record.body != call.body {
        return OnceBeginReply::Mismatch;
    }
    match record.state {
        RecordState::Done(result) => OnceBeginReply::Done(result),
        RecordState::Begun if record.request == call.request => OnceBeginReply::Go,
        RecordState::Begun => OnceBeginReply::Unknown,
    }
}

pub(crate) fn finish(store: &mut dyn Store, call: &OnceFinish) -> Result<()> {
    let key = record_key(call.customer.as_ref(), &call.route, &call.key);
    let Some(mut record) = table::get::<Record>(store, &key)? else {
        return Ok(());
    };
    if record.request != call.request || !matches!(record.state, RecordState::Begun) {
        return Ok(());
    }
    match &call.outcome {
        OnceOutcome::Unknown => Ok(()),
        OnceOutcome::NotRun => drop_record(store, &key, &record, call.customer.as_ref()),
        OnceOutcome::Done(result) if result.body.len() > MAX_RESULT_BYTES => Ok(()),
        OnceOutcome::Done(result) => {
            record.state = RecordState::Done(result.clone());
            table::put(store, &key, &record)
        }
    }
}

/// The entries of the expiry table that are due at `now`.
fn expired(store: &dyn Store, now: UnixMillis, limit: usize) -> Result<Vec<Pair>> {
    let start = Key::new("once-expiry");
    let end = Key::new("once-expiry").u64(now.0.saturating_add(1));
    Ok(store.scan(start.as_ref(), Some(end.as_ref()), limit)?)
}

/// Whether a record has expired.
pub(crate) fn has_expired(store: &dyn Store, now: UnixMillis) -> Result<bool> {
    Ok(!expired(store, now, 1)?.is_empty())
}

/// Drops at most `limit` expired records and returns their number.
pub(crate) fn expire(store: &mut dyn Store, now: UnixMillis, limit: usize) -> Result<usize> {
    let pairs = expired(store, now, limit)?;
    let count = pairs.len();
    for pair in pairs {
        let customer: Option<CustomerId> = table::decode(&pair.key, &pair.value)?;
        let mut reader = KeyReader::after(&pair.key, &Key::new("once-expiry"));
        reader.u64()?;
        let key = Key::from_bytes(reader.rest());
        let Some(record) = table::get::<Record>(store, &key)? else {
            store.delete(&pair.key)?;
            continue;
        };
        drop_record(store, &key, &record, customer.as_ref())?;
    }
    Ok(count)
}

fn drop_record(
    store: &mut dyn Store,
    key: &Key,
    record: &Record,
    customer: Option<&CustomerId>,
) -> Result<()> {
    table::delete(store, key)?;
    table::delete(store, &expiry_key(record.expires, key))?;
    let count_key = count_key(customer);
    let count: u32 = table::get(store, &count_key)?.unwrap_or_default();
    table::put(store, &count_key, &count.saturating_sub(1))
}

fn record_key(customer: Option<&CustomerId>, route: &RouteId, key: &str) -> Key {
    Key::new("once")
        .name(customer.map_or("", CustomerId::as_str))
        .name(route.as_str())
        .bytes(key.as_bytes())
}

fn count_key(customer: Option<&CustomerId>) -> Key {
    Key::new("once-count").name(customer.map_or("", CustomerId::as_str))
}

fn expiry_key(expires: UnixMillis, key: &Key) -> Key {
    Key::new("once-expiry").u64(expires.0).bytes(key.as_ref())
}
