//! Executes orders at the target. An order with a lower fence number than an earlier one is
//! stale and is refused.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use clem_types::FenceNumber;
use clem_wire::sync::{Action, ModelState, Order, OrderOutcome, OrderResult};
use log::info;
use serde_json::{Value, json};
use tokio::sync::mpsc;

use crate::{
    agent::Agent,
    engine::{EngineReply, TargetError},
};

/// Orders from one reply of the control leader.
pub(crate) type Orders = Vec<Order>;

/// Interval at which the state of the target is polled while an order is executed.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout for the engine to finish an order.
const LOAD_TIMEOUT: Duration = Duration::from_secs(600);
/// How long an order waits for the target to come up.
const UP_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of results remembered. The control leader repeats an order until it has its result.
const MAX_RECENT: usize = 64;

/// Executes orders for the lifetime of the process.
pub(crate) async fn run(agent: Arc<Agent>, mut orders: mpsc::UnboundedReceiver<Orders>) {
    let mut recent: VecDeque<OrderResult> = VecDeque::new();
    while let Some(mut group) = orders.recv().await {
        group.sort_by_key(|order| order.fence);
        for order in group {
            let known = recent.iter().find(|result| result.fence == order.fence);
            if let Some(known) = known {
                if !agent.order_results().contains(known) {
                    agent.queue_order_result(known.clone());
                }
                continue;
            }
            let result = execute(&agent, &order).await;
            info!(
                fence:% = order.fence, action:? = order.action, outcome:? = result.outcome;
                "order finished"
            );
            recent.push_back(result.clone());
            if recent.len() > MAX_RECENT {
                recent.pop_front();
            }
            agent.queue_order_result(result);
        }
    }
}

async fn execute(agent: &Agent, order: &Order) -> OrderResult {
    let outcome = if agent.raise_fence(order.fence) {
        apply(agent, order.fence, &order.action).await
    } else {
        let newest = agent.fence();
        OrderOutcome::Stale { newest }
    };
    OrderResult {
        fence: order.fence,
        outcome,
    }
}

async fn apply(agent: &Agent, fence: FenceNumber, action: &Action) -> OrderOutcome {
    match action {
        Action::Drain => {
            agent.change(|core, _| core.set_draining(true));
            return OrderOutcome::Done;
        }
        Action::Resume => {
            agent.change(|core, _| core.set_draining(false));
            return OrderOutcome::Done;
        }
        Action::Load { .. } | Action::Unload { .. } | Action::Adapter { .. } => {}
    }
    if !is_up_within(agent, UP_TIMEOUT).await {
        return OrderOutcome::Failed("the target is down".to_owned());
    }
    match agent.engine.order(fence, &engine_order(action)).await {
        Ok(EngineReply::Accepted) => wait_until_applied(agent, action).await,
        Ok(EngineReply::Stale) => OrderOutcome::Stale { newest: fence },
        Ok(EngineReply::Refused(reason)) => OrderOutcome::Failed(reason),
        Err(TargetError::NotSent(reason) | TargetError::Broken(reason)) => {
            OrderOutcome::Failed(reason)
        }
    }
}

/// Waits for the target to be up. Just after the agent's start it has not been probed yet.
async fn is_up_within(agent: &Agent, bound: Duration) -> bool {
    let end = agent.now() + bound;
    while !agent.read(crate::Core::is_target_up) {
        if agent.now() >= end {
            return false;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    true
}

fn engine_order(action: &Action) -> Value {
    match action {
        Action::Load { model, version } => {
            json!({ "load": { "model": model.as_str(), "version": version.0 } })
        }
        Action::Unload { model, version } => {
            json!({ "unload": { "model": model.as_str(), "version": version.0 } })
        }
        Action::Adapter { model, adapter, .. } => {
            json!({ "adapter": { "model": model.as_str(), "name": adapter.as_str() } })
        }
        Action::Drain | Action::Resume => Value::Null,
    }
}

/// Polls the models of the engine until they show the effect of an order.
async fn wait_until_applied(agent: &Agent, action: &Action) -> OrderOutcome {
    let end = agent.now() + LOAD_TIMEOUT;
    loop {
        if let Ok(models) = agent.engine.models().await {
            agent.set_models(models);
            if let Some(outcome) = current_outcome(agent, action) {
                return outcome;
            }
        }
        if !agent.read(crate::Core::is_target_up) {
            return OrderOutcome::Failed("the target crashed".to_owned());
        }
        if agent.now() >= end {
            return OrderOutcome::Failed("timed out waiting for the engine".to_owned());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn current_outcome(agent: &Agent, action: &Action) -> Option<OrderOutcome> {
    let models = agent.models();
    let find = |model, version| {
        let mut models = models.iter();
        models.find(|m| &m.model == model && &m.version == version)
    };
    match action {
        Action::Load { model, version } => match find(model, version).map(|m| m.state) {
            Some(ModelState::Ready) => Some(OrderOutcome::Done),
            Some(ModelState::Failed) => Some(OrderOutcome::Failed(
                "the engine failed to load the model".to_owned(),
            )),
            Some(ModelState::Loading) | None => None,
        },
        Action::Unload { model, version } => {
            find(model, version).is_none().then_some(OrderOutcome::Done)
        }
        Action::Adapter {
            model,
            version,
            adapter,
        } => find(model, version)
            .is_some_and(|m| m.adapters.contains(adapter))
            .then_some(OrderOutcome::Done),
        Action::Drain | Action::Resume => Some(OrderOutcome::Done),
    }
}
