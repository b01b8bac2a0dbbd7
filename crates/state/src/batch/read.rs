//! Queries on batches.

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
    header::{Header, open_prefix},
    item::{self, item_ref},
};

/// Maximum number of results on one page.
const PAGE_ITEMS: u32 = 1000;
/// Total size of results after which a page ends, in bytes.
const PAGE_BYTES: usize = 2 * 1024 * 1024;
/// Number of open batches that [`endangered`] checks, earliest deadline first.
const MAX_CHECKED: usize = 500;

/// The progress of a batch; `None` if the customer has no such batch.
pub fn status(store: &dyn Store, call: &BatchStatus, now: UnixMillis) -> Result<Option<BatchView>> {
    let header = load_own(store, call.batch, &call.customer)?;
    Ok(header.map(|header| header.view(call.batch, now)))
}

/// The header of a batch, if the batch belongs to the customer.
fn load_own(store: &dyn Store, batch: BatchId, customer: &CustomerId) -> Result<Option<Header>> {
    let header = Header::load(store, batch)?;
    Ok(header.filter(|header| header.customer == *customer))
}

/// A page of results; `None` if the customer has no such batch.
pub fn results(store: &dyn Store, call: &BatchResults) -> Result<Option<ResultsPage>> {
    let Some(header) = load_own(store, call.batch, &call.customer)? else {
        return Ok(None);
    };
    let mut page = if header.state == BatchState::Cancelled {
        // Cancelled items have no result record, so the page is built item by item.
        page_of_items(store, call, header.items)?
    } else {
        page_of_records(store, call)?
    };
    if page.next.is_some_and(|next| next.0 >= header.items) {
        page.next = None;
    }
    Ok(Some(page))
}

/// A page of the items that have a result record.
fn page_of_records(store: &dyn Store, call: &BatchResults) -> Result<ResultsPage> {
    let mut page = ResultsPage {
        results: Vec::new(),
        next: None,
    };
    let start = item::result_prefix(call.batch).u32(call.from.0);
    let end = clem_store::prefix_end(item::result_prefix(call.batch).as_ref());
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

/// A page with every item; those without a result record count as cancelled.
fn page_of_items(store: &dyn Store, call: &BatchResults, items: u32) -> Result<ResultsPage> {
    let first = call.from.0;
    let end = items.min(first.saturating_add(PAGE_ITEMS));
    let mut records = BTreeMap::new();
    for result in page_of_records(store, call)?.results {
        records.insert(result.item, result);
    }
    let mut page = ResultsPage {
        results: Vec::new(),
        next: Some(ItemIndex(end)),
    };
    let mut bytes = 0;
    for index in first..end {
        let item = item_ref(call.batch, index);
        let result = match records.remove(&item.item) {
            Some(result) => result,
            None => cancelled_result(store, item)?,
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
fn cancelled_result(store: &dyn Store, item: clem_wire::sync::ItemRef) -> Result<ItemResult> {
    let key = item::result_prefix(item.batch).u32(item.item.0);
    if let Some(result) = table::get(store, &key)? {
        return Ok(result);
    }
    let content = item::content(store, item)?;
    Ok(ItemResult {
        item: item.item,
        custom_id: content.map(|content| content.custom_id).unwrap_or_default(),
        outcome: ItemOutcome::Cancelled,
    })
}

/// At most `limit` batches that are at risk of missing their deadlines, earliest deadline first.
pub fn endangered(store: &dyn Store, now: UnixMillis, limit: usize) -> Result<Vec<BatchView>> {
    let prefix = Key::new("batch-due");
    let mut views = Vec::new();
    for pair in store.scan_prefix(prefix.as_ref(), MAX_CHECKED)? {
        let mut reader = KeyReader::after(&pair.key, &prefix);
        reader.u64()?;
        let batch = BatchId(reader.u128()?);
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

/// At most `limit` open batches of customers for which `is_known` returns false.
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
            // Skip to the next customer, past all batches of this one.
            let Some(next) = clem_store::prefix_end(open_prefix(&customer).as_ref()) else {
                break;
            };
            start = next;
            continue;
        }
        let batch = BatchId(reader.u128()?);
        calls.push(BatchCancel { batch, customer });
        if calls.len() == limit {
            break;
        }
        start = pair.key.to_vec();
        start.push(0);
    }
    Ok(calls)
}
