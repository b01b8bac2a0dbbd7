//! Orders to targets: their fence numbers, drain flags and outcomes.

use clem_store::Store;
use clem_types::{CommandId, FenceNumber, TargetId, UnixMillis};
use clem_wire::{
    admin::{GiveOrderReply, OrderView},
    sync::{Action, Order, OrderOutcome, OrderResult},
};
use serde::{Deserialize, Serialize};

use crate::{
    Result,
    answers::{self, Lookup},
    table::{self, Key, KeyReader},
};

/// Number of stored orders; beyond it the oldest is dropped.
const MAX_ORDERS: u64 = 2000;
/// Maximum number of open orders per target.
const MAX_OPEN: usize = 32;

/// Creates an order for a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GiveOrder {
    /// The id of the operator's or controller's command; a resent command returns its first answer.
    pub command: CommandId,
    /// The target that the order is for.
    pub target: TargetId,
    /// What the target should do.
    pub action: Action,
    /// The target's newest order that the issuer has seen, 0 for none; the order is rejected as a
    /// conflict if there is a newer one. None skips the check.
    pub expect: Option<FenceNumber>,
    /// The leader's clock, shown to operators.
    pub now: UnixMillis,
}

/// Records the results of orders, as an agent reported them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndOrders {
    /// The agent's target; results of other targets' orders are ignored.
    pub target: TargetId,
    /// The result of each finished order.
    pub results: Vec<OrderResult>,
}

pub(crate) fn give(
    store: &mut dyn Store,
    index: u64,
    command: &GiveOrder,
) -> Result<GiveOrderReply> {
    // The hash leaves out the time, which differs when a command is resent.
    let content = answers::content(&(&command.target, &command.action, command.expect));
    match answers::lookup(store, &command.command, content)? {
        Lookup::Answered(answer) => return Ok(answer),
        Lookup::Reused => {
            let reason = "the command id was used for another command".to_owned();
            return Ok(GiveOrderReply::Rejected { reason });
        }
        Lookup::New => {}
    }
    let newest = newest(store, &command.target)?;
    let reply = match command.expect {
        Some(expect) if expect != newest => GiveOrderReply::Conflict { newest },
        Some(_) | None => put_order(store, index, command)?,
    };
    answers::record(store, &command.command, content, &reply)?;
    Ok(reply)
}

fn put_order(store: &mut dyn Store, index: u64, command: &GiveOrder) -> Result<GiveOrderReply> {
    if open(store, &command.target)?.len() >= MAX_OPEN {
        let reason = format!("{} has {MAX_OPEN} open orders already", command.target);
        return Ok(GiveOrderReply::Rejected { reason });
    }
    // Log indexes are unique and increasing, as fence numbers must be.
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
    table::put(store, &open_prefix(target).u64(fence.0), &())?;
    table::put(store, &newest_key(target), &fence)?;
    match command.action {
        Action::Drain => table::put(store, &drain_key(target), &fence)?,
        Action::Resume => table::delete(store, &drain_key(target))?,
        Action::Load { .. } | Action::Unload { .. } | Action::Adapter { .. } => {}
    }
    count_order(store)?;
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
        view.outcome = Some(truncate_reason(&result.outcome));
        table::put(store, &key, &view)?;
        let open = open_prefix(&command.target).u64(result.fence.0);
        table::delete(store, &open)?;
        let newest = ended(store, &command.target)?.max(result.fence);
        table::put(store, &ended_key(&command.target), &newest)?;
    }
    Ok(())
}

/// Characters of a failed order's reason that are stored.
const MAX_REASON_CHARS: usize = 300;

fn truncate_reason(outcome: &OrderOutcome) -> OrderOutcome {
    match outcome {
        OrderOutcome::Failed(reason) => {
            OrderOutcome::Failed(reason.chars().take(MAX_REASON_CHARS).collect())
        }
        OrderOutcome::Done | OrderOutcome::Stale { .. } => outcome.clone(),
    }
}

/// Counts a new order, and drops the oldest one if there are already [`MAX_ORDERS`].
fn count_order(store: &mut dyn Store) -> Result<()> {
    let count: u64 = table::get(store, &count_key())?.unwrap_or_default();
    if count < MAX_ORDERS {
        return table::put(store, &count_key(), &(count + 1));
    }
    let oldest = store.scan_prefix(Key::new("order").as_ref(), 1)?;
    for pair in oldest {
        let view: OrderView = table::decode(&pair.key, &pair.value)?;
        let open = open_prefix(&view.target).u64(view.fence.0);
        table::delete(store, &open)?;
        store.delete(&pair.key)?;
    }
    Ok(())
}

/// The fence number of a target's newest order; 0 if there is none.
pub fn newest(store: &dyn Store, target: &TargetId) -> Result<FenceNumber> {
    Ok(table::get(store, &newest_key(target))?.unwrap_or_default())
}

/// The fence number of a target's newest finished order; 0 if there is none.
pub fn ended(store: &dyn Store, target: &TargetId) -> Result<FenceNumber> {
    Ok(table::get(store, &ended_key(target))?.unwrap_or_default())
}

/// A target's open orders, oldest first.
pub fn open(store: &dyn Store, target: &TargetId) -> Result<Vec<Order>> {
    let prefix = open_prefix(target);
    let mut orders = Vec::new();
    for pair in store.scan_prefix(prefix.as_ref(), MAX_OPEN)? {
        let fence = FenceNumber(KeyReader::after(&pair.key, &prefix).u64()?);
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

/// At most `limit` open orders of all targets, grouped by target.
pub fn all_open(store: &dyn Store, limit: usize) -> Result<Vec<OrderView>> {
    let prefix = Key::new("order-open");
    let mut views = Vec::new();
    for pair in store.scan_prefix(prefix.as_ref(), limit)? {
        let mut reader = KeyReader::after(&pair.key, &prefix);
        reader.name()?;
        let fence = FenceNumber(reader.u64()?);
        views.extend(table::get::<OrderView>(store, &order_key(fence))?);
    }
    Ok(views)
}

/// At most `limit` orders, open and finished, newest first.
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

/// The targets whose last drain order has not been followed by a resume order.
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
    Key::new("order").u64(fence.0)
}

fn open_prefix(target: &TargetId) -> Key {
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
