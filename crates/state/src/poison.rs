//! Identifies requests that crash targets (poison requests).
//!
//! If no suspect was in flight at a crash, every request in flight becomes a suspect. If exactly
//! one was, it is classified as poison and the other requests are not suspected. If several were,
//! the crash can't be attributed and nothing changes; agents avoid this by running at most one
//! suspect at a time. See `docs/design/online.md`, "Dispatch".

use clem_store::{Pair, Store};
use clem_types::{BodyHash, CustomerId, Incarnation, TargetId, UnixMillis, Version};
use clem_wire::{
    online::{InFlight, ReportCrash, ReportCrashReply},
    sync::{PoisonEntry, PoisonList, Verdict},
};
use serde::{Deserialize, Serialize};

use crate::{
    Result,
    table::{self, Key, KeyReader},
};

/// How long a request stays a suspect after the crash, in milliseconds.
const SUSPECT_MS: u64 = 10 * 60 * 1000;
/// How long a poison request is refused, in milliseconds.
const POISON_MS: u64 = 24 * 3600 * 1000;
/// Maximum number of entries per customer; beyond it the customer's entry that expires first is
/// dropped.
const MAX_CUSTOMER_ENTRIES: usize = 64;
/// Maximum number of entries in total; beyond it the entry that expires first is dropped.
const MAX_ENTRIES: usize = 1024;

/// The verdict on a request.
#[derive(Debug, Serialize, Deserialize)]
struct Record {
    verdict: Verdict,
    expires: UnixMillis,
}

/// The last recorded crash of a target, so that a resent report counts once.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct LastCrash {
    incarnation: Incarnation,
    crash: u64,
}

pub(crate) fn report(
    store: &mut dyn Store,
    call: &ReportCrash,
    now: UnixMillis,
) -> Result<ReportCrashReply> {
    if record_crash(store, call)? {
        let suspects = count_suspects(store, call)?;
        for request in &call.requests {
            classify(store, request, suspects, now)?;
        }
        increment_version(store)?;
    }
    let mut verdicts = Vec::new();
    for request in &call.requests {
        verdicts.push(verdict(store, request.customer.as_ref(), request.body)?);
    }
    Ok(ReportCrashReply { verdicts })
}

/// Records the crash; returns false if it was already recorded.
fn record_crash(store: &mut dyn Store, call: &ReportCrash) -> Result<bool> {
    let key = seen_key(&call.target);
    let crash = LastCrash {
        incarnation: call.incarnation,
        crash: call.crash,
    };
    if let Some(last) = table::get::<LastCrash>(store, &key)?
        && last.incarnation == crash.incarnation
        && last.crash >= crash.crash
    {
        return Ok(false);
    }
    table::put(store, &key, &crash)?;
    Ok(true)
}

fn count_suspects(store: &dyn Store, call: &ReportCrash) -> Result<usize> {
    let mut suspects = 0;
    for request in &call.requests {
        if verdict(store, request.customer.as_ref(), request.body)?.is_some() {
            suspects += 1;
        }
    }
    Ok(suspects)
}

/// Updates the verdict on a request after a crash with `suspects` suspects in flight.
fn classify(
    store: &mut dyn Store,
    request: &InFlight,
    suspects: usize,
    now: UnixMillis,
) -> Result<()> {
    let customer = request.customer.as_ref();
    let known = verdict(store, customer, request.body)?;
    match known {
        Some(Verdict::Suspect) if suspects == 1 => {
            set(store, customer, request.body, Verdict::Poison, now)
        }
        None if suspects == 0 => set(store, customer, request.body, Verdict::Suspect, now),
        Some(Verdict::Suspect | Verdict::Poison) | None => Ok(()),
    }
}

/// The verdict on a customer's request with this body hash; `None` if it is not a suspect.
pub fn verdict(
    store: &dyn Store,
    customer: Option<&CustomerId>,
    body: BodyHash,
) -> Result<Option<Verdict>> {
    let record: Option<Record> = table::get(store, &entry_key(customer, body))?;
    Ok(record.map(|record| record.verdict))
}

fn set(
    store: &mut dyn Store,
    customer: Option<&CustomerId>,
    body: BodyHash,
    verdict: Verdict,
    now: UnixMillis,
) -> Result<()> {
    remove(store, &entry_key(customer, body))?;
    let own = store.scan_prefix(customer_prefix(customer).as_ref(), MAX_CUSTOMER_ENTRIES)?;
    if own.len() >= MAX_CUSTOMER_ENTRIES {
        let mut oldest: Option<(UnixMillis, Key)> = None;
        for pair in own {
            let record: Record = table::decode(&pair.key, &pair.value)?;
            let key = Key::from_bytes(&pair.key);
            if oldest.as_ref().is_none_or(|(at, _)| record.expires < *at) {
                oldest = Some((record.expires, key));
            }
        }
        if let Some((_, key)) = oldest {
            remove(store, &key)?;
        }
    }
    let expiries = store.scan_prefix(Key::new("poison-expiry").as_ref(), MAX_ENTRIES)?;
    if expiries.len() >= MAX_ENTRIES {
        let key = entry_of(&expiries[0].key)?;
        remove(store, &key)?;
    }
    let ttl = match verdict {
        Verdict::Suspect => SUSPECT_MS,
        Verdict::Poison => POISON_MS,
    };
    let expires = UnixMillis(now.0.saturating_add(ttl));
    let key = entry_key(customer, body);
    table::put(store, &key, &Record { verdict, expires })?;
    table::put(store, &expiry_key(expires, &key), &())
}

fn remove(store: &mut dyn Store, key: &Key) -> Result<()> {
    let Some(record) = table::get::<Record>(store, key)? else {
        return Ok(());
    };
    table::delete(store, &expiry_key(record.expires, key))?;
    table::delete(store, key)
}

/// The entries of the expiry table that are due at `now`.
fn expired(store: &dyn Store, now: UnixMillis, limit: usize) -> Result<Vec<Pair>> {
    let start = Key::new("poison-expiry");
    let end = Key::new("poison-expiry").u64(now.0.saturating_add(1));
    Ok(store.scan(start.as_ref(), Some(end.as_ref()), limit)?)
}

/// Whether an entry has expired.
pub(crate) fn has_expired(store: &dyn Store, now: UnixMillis) -> Result<bool> {
    Ok(!expired(store, now, 1)?.is_empty())
}

/// Drops at most `limit` expired entries and returns their number.
pub(crate) fn expire(store: &mut dyn Store, now: UnixMillis, limit: usize) -> Result<usize> {
    let pairs = expired(store, now, limit)?;
    for pair in &pairs {
        remove(store, &entry_of(&pair.key)?)?;
    }
    if !pairs.is_empty() {
        increment_version(store)?;
    }
    Ok(pairs.len())
}

/// The version of the list, which increases with each change.
pub fn version(store: &dyn Store) -> Result<Version> {
    Ok(table::get(store, &version_key())?.unwrap_or_default())
}

/// The complete list, for distribution to entries and agents.
pub fn list(store: &dyn Store) -> Result<PoisonList> {
    let prefix = Key::new("poison");
    let mut entries = Vec::new();
    for pair in store.scan_prefix(prefix.as_ref(), MAX_ENTRIES)? {
        let record: Record = table::decode(&pair.key, &pair.value)?;
        let mut reader = KeyReader::after(&pair.key, &prefix);
        let name = reader.name()?;
        let customer = match name {
            "" => None,
            name => Some(name.parse().map_err(|_| table::damaged(&pair.key))?),
        };
        entries.push(PoisonEntry {
            customer,
            body: table::decode(&pair.key, reader.rest())?,
            verdict: record.verdict,
        });
    }
    Ok(PoisonList {
        version: version(store)?,
        entries,
    })
}

fn increment_version(store: &mut dyn Store) -> Result<()> {
    let next = version(store)?.next();
    table::put(store, &version_key(), &next)
}

/// The key of the entry that an expiry key refers to.
fn entry_of(expiry: &[u8]) -> Result<Key> {
    let prefix = Key::new("poison-expiry");
    let mut reader = KeyReader::after(expiry, &prefix);
    reader.u64()?;
    Ok(Key::from_bytes(reader.rest()))
}

fn customer_prefix(customer: Option<&CustomerId>) -> Key {
    Key::new("poison").name(customer.map_or("", CustomerId::as_str))
}

fn entry_key(customer: Option<&CustomerId>, body: BodyHash) -> Key {
    // Encoded as MessagePack, so that `list` can decode the hash from the key.
    let body = clem_wire::codec::encode(&body).unwrap_or_default();
    customer_prefix(customer).bytes(&body)
}

fn expiry_key(expires: UnixMillis, key: &Key) -> Key {
    Key::new("poison-expiry").u64(expires.0).bytes(key.as_ref())
}

fn seen_key(target: &TargetId) -> Key {
    Key::new("poison-seen").name(target.as_str())
}

fn version_key() -> Key {
    Key::new("poison-version")
}
