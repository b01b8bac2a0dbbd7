//! Reading batches.

use std::collections::BTreeMap;

use clem_store::Store;
use clem_types::{BatchId, CustomerId, ItemIndex, UnixMillis};
use clem_wire::batch::{
    BatchCancel, BatchResults, BatchState, BatchStatus, BatchView, ItemOutcome, ItemResult,
    ResultsPage,
};

use crate::{
    Result,
    table::{self, Key, KeyReader},
};

use super::{
    header::{Header, open_key},
    item::{self, item_ref},
};

/// The most results on one page.
const PAGE_ITEMS: u32 = 1000;
/// The bytes of bodies after which a page ends.
const PAGE_BYTES: usize = 2 * 1024 * 1024;
/// How many open batches are looked at for ones in danger, earliest due time first.
const MAX_LOOKED: usize = 500;

/// How far a batch is; none when the customer has no such batch.
pub fn status(store: &dyn Store, call: &BatchStatus, now: UnixMillis) -> Result<Option<BatchView>> {
    let header = own(store, call.batch, &call.customer)?;
    Ok(header.map(|header| header.view(call.batch, now)))
}

fn own(store: &dyn Store, batch: BatchId, customer: &CustomerId) -> Result<Option<Header>> {
    let header = Header::load(store, batch)?;
    Ok(header.filter(|header| header.customer == *customer))
}

/// A page of results; none when the customer has no such batch.
pub fn results(store: &dyn Store, call: &BatchResults) -> Result<Option<ResultsPage>> {
    let Some(header) = own(store, call.batch, &call.customer)? else {
        return Ok(None);
    };
    let mut page = if header.state == BatchState::Cancelled {
        // The items of a cancelled batch are looked at one by one: those without a record were
        // cancelled.
        page_of_all(store, call, header.items)?
    } else {
        page_of_records(store, call)?
    };
    if page.next.is_some_and(|next| next.0 >= header.items) {
        page.next = None;
    }
    Ok(Some(page))
}

fn page_of_records(store: &dyn Store, call: &BatchResults) -> Result<ResultsPage> {
    let mut page = ResultsPage {
        results: Vec::new(),
        next: None,
    };
    let start = item::result_key(call.batch).small(call.from.0);
    let end = clem_store::prefix_end(item::result_key(call.batch).as_ref());
    let mut bytes = 0;
    for pair in store.scan(start.as_ref(), end.as_deref(), PAGE_ITEMS as usize)? {
        let result: ItemResult = table::decode(&pair.key, &pair.value)?;
        bytes += pair.value.len();
        page.next = Some(result.item.next());
        page.results.push(result);
        if bytes >= PAGE_BYTES {
            return Ok(page);
        }
    }
    if page.results.len() < PAGE_ITEMS as usize {
        page.next = None;
    }
    Ok(page)
}

fn page_of_all(store: &dyn Store, call: &BatchResults, items: u32) -> Result<ResultsPage> {
    let first = call.from.0;
    let end = items.min(first.saturating_add(PAGE_ITEMS));
    let mut known = BTreeMap::new();
    for result in page_of_records(store, call)?.results {
        known.insert(result.item, result);
    }
    let mut page = ResultsPage {
        results: Vec::new(),
        next: Some(ItemIndex(end)),
    };
    let mut bytes = 0;
    for index in first..end {
        let place = item_ref(call.batch, index);
        let result = match known.remove(&place.item) {
            Some(result) => result,
            None => record(store, place)?,
        };
        if let ItemOutcome::Done { body, .. } = &result.outcome {
            bytes += body.len();
        }
        page.results.push(result);
        if bytes >= PAGE_BYTES {
            page.next = Some(ItemIndex(index + 1));
            break;
        }
    }
    Ok(page)
}

/// The result of an item in a cancelled batch.
fn record(store: &dyn Store, place: clem_wire::sync::ItemRef) -> Result<ItemResult> {
    let key = item::result_key(place.batch).small(place.item.0);
    if let Some(result) = table::get(store, &key)? {
        return Ok(result);
    }
    let content = item::content(store, place)?;
    Ok(ItemResult {
        item: place.item,
        custom_id: content.map(|content| content.custom_id).unwrap_or_default(),
        outcome: ItemOutcome::Cancelled,
    })
}

/// Batches in danger of their due times, the earliest first; at most `limit`.
pub fn endangered(store: &dyn Store, now: UnixMillis, limit: usize) -> Result<Vec<BatchView>> {
    let prefix = Key::new("batch-due");
    let mut views = Vec::new();
    for pair in store.scan_prefix(prefix.as_ref(), MAX_LOOKED)? {
        let mut reader = KeyReader::after(&pair.key, &prefix);
        reader.number()?;
        let batch = BatchId(reader.wide()?);
        let Some(header) = Header::load(store, batch)? else {
            continue;
        };
        if !header.is_endangered(now) {
            continue;
        }
        views.push(header.view(batch, now));
        if views.len() == limit {
            break;
        }
    }
    Ok(views)
}

/// Open batches whose customers `is_known` doesn't know, at most `limit`.
pub fn orphaned(
    store: &dyn Store,
    is_known: impl Fn(&CustomerId) -> bool,
    limit: usize,
) -> Result<Vec<BatchCancel>> {
    let prefix = Key::new("batch-open");
    let end = clem_store::prefix_end(prefix.as_ref());
    let mut start = prefix.as_ref().to_vec();
    let mut calls = Vec::new();
    while let Some(pair) = store.scan(&start, end.as_deref(), 1)?.pop() {
        let mut reader = KeyReader::after(&pair.key, &prefix);
        let customer: CustomerId = reader
            .name()?
            .parse()
            .map_err(|_| table::damaged(&pair.key))?;
        if is_known(&customer) {
            // On to the next customer, past all batches of this one.
            let Some(next) = clem_store::prefix_end(open_key(&customer).as_ref()) else {
                break;
            };
            start = next;
            continue;
        }
        let batch = BatchId(reader.wide()?);
        calls.push(BatchCancel { batch, customer });
        if calls.len() == limit {
            break;
        }
        start = pair.key.to_vec();
        start.push(0);
    }
    Ok(calls)
}
