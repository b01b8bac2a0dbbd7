//! Orders to targets.

use clem_wire::{
    ControlClient,
    admin::{GiveOrder, GiveOrderReply},
};

use crate::{Exit, command::OrderTarget};

use super::{Result, TIMEOUT};

/// Gives an order.
pub(super) async fn give(client: ControlClient, order: OrderTarget) -> Result {
    eprintln!("clemctl: command id {}", order.id);
    let call = GiveOrder {
        command: order.id,
        target: order.target,
        action: order.action,
        expect: order.expect,
        force: order.force,
    };
    match client.call(&call, TIMEOUT).await? {
        GiveOrderReply::Accepted { fence } => {
            println!("order {fence} is given");
            Ok(Exit::Done)
        }
        GiveOrderReply::Conflict { newest } => {
            eprintln!("clemctl: conflict: order {newest} came first, nothing was done");
            Ok(Exit::Conflict)
        }
        GiveOrderReply::Rejected { reason } => {
            eprintln!("clemctl: refused, nothing was done: {reason}");
            Ok(Exit::Findings)
        }
    }
}
