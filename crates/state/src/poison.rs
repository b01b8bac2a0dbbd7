//! Requests that were in flight when targets died: suspects, and the ones that are to blame.
//!
//! At a crash without a suspect in flight, everything in flight becomes suspect. At a crash with
//! exactly one suspect in flight, that one is to blame and the others are bystanders. With
//! several suspects in flight nothing is learnt; agents keep suspects apart to avoid it. See
//! `docs/DESIGN.md`, "Poison".

use clem_store::{Pair, Store};
use clem_types::{BodyHash, CustomerId, Incarnation, RulesVersion, TargetId, UnixMillis};
use clem_wire::{
    online::{InFlight, ReportCrash, ReportCrashReply},
    sync::{PoisonEntry, PoisonList, Verdict},
};
use serde::{Deserialize, Serialize};

use crate::{
    Result,
    table::{self, Key, KeyReader},
};

/// How long a suspect is kept after the crash, in milliseconds.
const SUSPECT_MS: u64 = 10 * 60 * 1000;
/// How long a request that is to blame is refused, in milliseconds.
const POISON_MS: u64 = 24 * 3600 * 1000;
/// The most entries of one customer; its oldest goes first.
const MAX_OF_CUSTOMER: usize = 64;
/// The most entries in all; the one that ends first goes first.
const MAX_ENTRIES: usize = 1024;

/// What is kept of a request.
#[derive(Debug, Serialize, Deserialize)]
struct Record {
    verdict: Verdict,
    expires: UnixMillis,
}

/// The latest crash of a target that has been taken in.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Seen {
    incarnation: Incarnation,
    crash: u64,
}

pub(crate) fn report(
    store: &mut dyn Store,
    call: &ReportCrash,
    now: UnixMillis,
) -> Result<ReportCrashReply> {
    if is_new(store, call)? {
        let suspects = count_suspects(store, call)?;
        for request in &call.requests {
            blame(store, request, suspects, now)?;
        }
        change(store)?;
    }
    let mut verdicts = Vec::new();
    for request in &call.requests {
        verdicts.push(verdict(store, request.customer.as_ref(), request.body)?);
    }
    Ok(ReportCrashReply { verdicts })
}

/// Whether this crash hasn't been taken in yet, which is then remembered.
fn is_new(store: &mut dyn Store, call: &ReportCrash) -> Result<bool> {
    let key = seen_key(&call.target);
    let seen = Seen {
        incarnation: call.incarnation,
        crash: call.crash,
    };
    if let Some(last) = table::get::<Seen>(store, &key)?
        && last.incarnation == seen.incarnation
        && last.crash >= seen.crash
    {
        return Ok(false);
    }
    table::put(store, &key, &seen)?;
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

fn blame(
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

/// What a request counts as; none when it is known for nothing.
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
    let own = store.scan_prefix(customer_key(customer).as_ref(), MAX_OF_CUSTOMER)?;
    if own.len() >= MAX_OF_CUSTOMER {
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
    let span = match verdict {
        Verdict::Suspect => SUSPECT_MS,
        Verdict::Poison => POISON_MS,
    };
    let expires = UnixMillis(now.0.saturating_add(span));
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

/// The entries of the expiry table whose time is over.
fn expired(store: &dyn Store, now: UnixMillis, limit: usize) -> Result<Vec<Pair>> {
    let start = Key::new("poison-expiry");
    let end = Key::new("poison-expiry").number(now.0.saturating_add(1));
    Ok(store.scan(start.as_ref(), Some(end.as_ref()), limit)?)
}

/// Whether anything has expired.
pub(crate) fn has_expired(store: &dyn Store, now: UnixMillis) -> Result<bool> {
    Ok(!expired(store, now, 1)?.is_empty())
}

/// Drops entries whose time is over, at most `limit`; says how many.
pub(crate) fn expire(store: &mut dyn Store, now: UnixMillis, limit: usize) -> Result<usize> {
    let pairs = expired(store, now, limit)?;
    for pair in &pairs {
        remove(store, &entry_of(&pair.key)?)?;
    }
    if !pairs.is_empty() {
        change(store)?;
    }
    Ok(pairs.len())
}

/// The version of the list.
pub fn version(store: &dyn Store) -> Result<RulesVersion> {
    Ok(table::get(store, &version_key())?.unwrap_or_default())
}

/// The whole list.
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

fn change(store: &mut dyn Store) -> Result<()> {
    let next = version(store)?.next();
    table::put(store, &version_key(), &next)
}

fn entry_of(expiry: &[u8]) -> Result<Key> {
    let prefix = Key::new("poison-expiry");
    let mut reader = KeyReader::after(expiry, &prefix);
    reader.number()?;
    Ok(Key::from_bytes(reader.rest()))
}

fn customer_key(customer: Option<&CustomerId>) -> Key {
    Key::new("poison").name(customer.map_or("", CustomerId::as_str))
}

fn entry_key(customer: Option<&CustomerId>, body: BodyHash) -> Key {
    // In the codec's form, so that a scan can read the hash back.
    let body = clem_wire::codec::encode(&body).unwrap_or_default();
    customer_key(customer).bytes(&body)
}

fn expiry_key(expires: UnixMillis, key: &Key) -> Key {
    Key::new("poison-expiry")
        .number(expires.0)
        .bytes(key.as_ref())
}

fn seen_key(target: &TargetId) -> Key {
    Key::new("poison-seen").name(target.as_str())
}

fn version_key() -> Key {
    Key::new("poison-version")
}
