//! Orders to targets: their fence numbers, drain marks and ends.

use clem_store::Store;
use clem_types::{CommandId, FenceNumber, TargetId, UnixMillis};
use clem_wire::{
    admin::{GiveOrderReply, OrderView},
    sync::{Action, Order, OrderOutcome, OrderResult},
};
use serde::{Deserialize, Serialize};

use crate::{
    Result,
    answers::{self, Recall},
    table::{self, Key, KeyReader},
};

/// How many orders are kept for the record; the oldest that has ended goes first.
const MAX_ORDERS: u64 = 2000;
/// The most open orders of one target.
const MAX_OPEN: usize = 32;

/// Gives an order to a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GiveOrder {
    /// The command, of an operator or of a controller.
    pub command: CommandId,
    /// The target.
    pub target: TargetId,
    /// What to do.
    pub action: Action,
    /// The newest order that the giver knows of, if the order depends on it; 0 for none.
    pub expect: Option<FenceNumber>,
    /// When it is given.
    pub now: UnixMillis,
}

/// Takes the results of orders that an agent reports.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndOrders {
    /// The target.
    pub target: TargetId,
    /// The results.
    pub results: Vec<OrderResult>,
}

pub(crate) fn give(
    store: &mut dyn Store,
    index: u64,
    command: &GiveOrder,
) -> Result<GiveOrderReply> {
    // The time differs when a command is sent again, and says nothing of what is asked for.
    let content = answers::content(&(&command.target, &command.action, command.expect));
    match answers::recall(store, &command.command, content)? {
        Recall::First(answer) => return Ok(answer),
        Recall::Reused => {
            let reason = "the command id was used for another command".to_owned();
            return Ok(GiveOrderReply::Rejected { reason });
        }
        Recall::New => {}
    }
    let newest = newest(store, &command.target)?;
    let reply = match command.expect {
        Some(expect) if expect != newest => GiveOrderReply::Conflict { newest },
        Some(_) | None => put_order(store, index, command)?,
    };
    answers::remember(store, &command.command, content, &reply)?;
    Ok(reply)
}

fn put_order(store: &mut dyn Store, index: u64, command: &GiveOrder) -> Result<GiveOrderReply> {
    if open(store, &command.target)?.len() >= MAX_OPEN {
        let reason = format!("{} has {MAX_OPEN} open orders already", command.target);
        return Ok(GiveOrderReply::Rejected { reason });
    }
    // A log index is used once and only grows, so it is the order's number.
    let fence = FenceNumber(index);
    let target = &command.target;
    let view = OrderView {
        fence,
        target: target.clone(),
        action: command.action.clone(),
        given: command.now,
        outcome: None,
    };
    table::put(store, &order_key(fence), &view)?;
    table::put(store, &open_key(target).number(fence.0), &())?;
    table::put(store, &newest_key(target), &fence)?;
    match command.action {
        Action::Drain => table::put(store, &drain_key(target), &fence)?,
        Action::Resume => table::delete(store, &drain_key(target))?,
        Action::Load { .. } | Action::Unload { .. } | Action::Adapter { .. } => {}
    }
    count_in(store)?;
    Ok(GiveOrderReply::Accepted { fence })
}

pub(crate) fn end(store: &mut dyn Store, command: &EndOrders) -> Result<()> {
    for result in &command.results {
        let key = order_key(result.fence);
        let Some(mut view) = table::get::<OrderView>(store, &key)? else {
            continue;
        };
        if view.target != command.target || view.outcome.is_some() {
            continue;
        }
        view.outcome = Some(bounded(&result.outcome));
        table::put(store, &key, &view)?;
        let open = open_key(&command.target).number(result.fence.0);
        table::delete(store, &open)?;
        let newest = ended(store, &command.target)?.max(result.fence);
        table::put(store, &ended_key(&command.target), &newest)?;
    }
    Ok(())
}

/// The longest reason of a failed order that is kept, in characters.
const MAX_REASON: usize = 300;

fn bounded(outcome: &OrderOutcome) -> OrderOutcome {
    match outcome {
        OrderOutcome::Failed(reason) => {
            OrderOutcome::Failed(reason.chars().take(MAX_REASON).collect())
        }
        OrderOutcome::Done | OrderOutcome::Stale { .. } => outcome.clone(),
    }
}

/// Counts an order, and drops the oldest one when there are many.
fn count_in(store: &mut dyn Store) -> Result<()> {
    let count: u64 = table::get(store, &count_key())?.unwrap_or_default();
    if count < MAX_ORDERS {
        return table::put(store, &count_key(), &(count + 1));
    }
    let oldest = store.scan_prefix(Key::new("order").as_ref(), 1)?;
    for pair in oldest {
        let view: OrderView = table::decode(&pair.key, &pair.value)?;
        let open = open_key(&view.target).number(view.fence.0);
        table::delete(store, &open)?;
        store.delete(&pair.key)?;
    }
    Ok(())
}

/// The number of the newest order to a target; 0 for none.
pub fn newest(store: &dyn Store, target: &TargetId) -> Result<FenceNumber> {
    Ok(table::get(store, &newest_key(target))?.unwrap_or_default())
}

/// The number of the newest order to a target that has ended; 0 for none.
pub fn ended(store: &dyn Store, target: &TargetId) -> Result<FenceNumber> {
    Ok(table::get(store, &ended_key(target))?.unwrap_or_default())
}

/// Orders to a target that have not ended, oldest first.
pub fn open(store: &dyn Store, target: &TargetId) -> Result<Vec<Order>> {
    let prefix = open_key(target);
    let mut orders = Vec::new();
    for pair in store.scan_prefix(prefix.as_ref(), MAX_OPEN)? {
        let fence = FenceNumber(KeyReader::after(&pair.key, &prefix).number()?);
        let Some(view) = table::get::<OrderView>(store, &order_key(fence))? else {
            continue;
        };
        orders.push(Order {
            fence,
            target: view.target,
            action: view.action,
        });
    }
    Ok(orders)
}

/// All orders that have not ended, in no particular order; at most `limit`.
pub fn all_open(store: &dyn Store, limit: usize) -> Result<Vec<OrderView>> {
    let prefix = Key::new("order-open");
    let mut views = Vec::new();
    for pair in store.scan_prefix(prefix.as_ref(), limit)? {
        let mut reader = KeyReader::after(&pair.key, &prefix);
        reader.name()?;
        let fence = FenceNumber(reader.number()?);
        views.extend(table::get::<OrderView>(store, &order_key(fence))?);
    }
    Ok(views)
}

/// The latest orders, newest first.
pub fn latest(store: &dyn Store, limit: usize) -> Result<Vec<OrderView>> {
    let prefix = Key::new("order");
    let end = clem_store::prefix_end(prefix.as_ref());
    let pairs = store.scan_rev(prefix.as_ref(), end.as_deref(), limit)?;
    let mut views = Vec::new();
    for pair in pairs {
        views.push(table::decode(&pair.key, &pair.value)?);
    }
    Ok(views)
}

/// The targets that take no new work by an order.
pub fn drained(store: &dyn Store) -> Result<Vec<TargetId>> {
    let prefix = Key::new("order-drain");
    let mut targets = Vec::new();
    for pair in store.scan_prefix(prefix.as_ref(), usize::MAX)? {
        let name = KeyReader::after(&pair.key, &prefix).name()?;
        targets.push(name.parse().map_err(|_| table::damaged(&pair.key))?);
    }
    Ok(targets)
}

fn order_key(fence: FenceNumber) -> Key {
    Key::new("order").number(fence.0)
}

fn open_key(target: &TargetId) -> Key {
    Key::new("order-open").name(target.as_str())
}

fn newest_key(target: &TargetId) -> Key {
    Key::new("order-newest").name(target.as_str())
}

fn ended_key(target: &TargetId) -> Key {
    Key::new("order-ended").name(target.as_str())
}

fn drain_key(target: &TargetId) -> Key {
    Key::new("order-drain").name(target.as_str())
}

fn count_key() -> Key {
    Key::new("order-count")
}
