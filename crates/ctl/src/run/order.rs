//! `clemctl drain`, `resume` and `order`: sends orders to targets.

use clem_wire::{
    LeaderClient,
    admin::{GiveOrder, GiveOrderReply},
};

use crate::{Exit, command::TargetOrder};

use super::{Result, TIMEOUT};

/// Sends an order and prints its fence number. It completes in the background.
pub(super) async fn give(client: LeaderClient, order: TargetOrder) -> Result {
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
            println!("order {fence} is accepted");
            Ok(Exit::Done)
        }
        GiveOrderReply::Conflict { newest } => {
            eprintln!("clemctl: conflict: the newest order is {newest}, nothing was done");
            Ok(Exit::Conflict)
        }
        GiveOrderReply::Rejected { reason } => {
            eprintln!("clemctl: rejected, nothing was done: {reason}");
            Ok(Exit::Findings)
        }
    }
}
