//! Carries orders out at the target, none that is older than one obeyed before.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use clem_types::FenceNumber;
use clem_wire::sync::{Action, ModelState, Order, OrderOutcome, OrderResult};
use log::info;
use serde_json::{Value, json};
use tokio::sync::mpsc;

use crate::{
    agent::Agent,
    engine::{OrderTaken, TargetError},
};

/// Orders that came with one reply of the control leader.
pub(crate) type Orders = Vec<Order>;

/// How often the engine is asked whether a load has ended.
const POLL: Duration = Duration::from_millis(50);
/// How long a load may take.
const LOAD_TIMEOUT: Duration = Duration::from_secs(600);
/// How long an order waits for a target that is not reached.
const UP_TIMEOUT: Duration = Duration::from_secs(5);
/// How many answers are remembered, for orders that come again before the answer was taken.
const REMEMBERED: usize = 64;

/// Runs for the life of the process.
pub(crate) async fn carry(agent: Arc<Agent>, mut orders: mpsc::UnboundedReceiver<Orders>) {
    let mut answered: VecDeque<OrderResult> = VecDeque::new();
    while let Some(mut group) = orders.recv().await {
        group.sort_by_key(|order| order.fence);
        for order in group {
            let known = answered.iter().find(|result| result.fence == order.fence);
            if let Some(known) = known {
                if !agent.order_results().contains(known) {
                    agent.keep_order(known.clone());
                }
                continue;
            }
            let result = obey(&agent, &order).await;
            info!(
                fence:% = order.fence, action:? = order.action, outcome:? = result.outcome;
                "order"
            );
            answered.push_back(result.clone());
            if answered.len() > REMEMBERED {
                answered.pop_front();
            }
            agent.keep_order(result);
        }
    }
}

async fn obey(agent: &Agent, order: &Order) -> OrderResult {
    let outcome = if agent.raise_fence(order.fence) {
        carry_out(agent, order.fence, &order.action).await
    } else {
        let newest = agent.fence();
        OrderOutcome::Stale { newest }
    };
    OrderResult {
        fence: order.fence,
        outcome,
    }
}

async fn carry_out(agent: &Agent, fence: FenceNumber, action: &Action) -> OrderOutcome {
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
        return OrderOutcome::Failed("the target does not answer".to_owned());
    }
    match agent.engine.order(fence, &engine_order(action)).await {
        Ok(OrderTaken::Yes) => settled(agent, action).await,
        Ok(OrderTaken::Stale) => OrderOutcome::Stale { newest: fence },
        Ok(OrderTaken::Refused(reason)) => OrderOutcome::Failed(reason),
        Err(TargetError::NotSent(reason) | TargetError::Broken(reason)) => {
            OrderOutcome::Failed(reason)
        }
    }
}

/// Waits for a target that has not been reached yet, as after the agent's own start.
async fn is_up_within(agent: &Agent, bound: Duration) -> bool {
    let end = agent.now() + bound;
    while !agent.read(crate::Core::is_up) {
        if agent.now() >= end {
            return false;
        }
        tokio::time::sleep(POLL).await;
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

/// Waits until the engine's models show that an order has been carried out.
async fn settled(agent: &Agent, action: &Action) -> OrderOutcome {
    let end = agent.now() + LOAD_TIMEOUT;
    loop {
        if let Ok(models) = agent.engine.models().await {
            agent.set_models(models);
            if let Some(outcome) = outcome_of(agent, action) {
                return outcome;
            }
        }
        if !agent.read(crate::Core::is_up) {
            return OrderOutcome::Failed("the target died".to_owned());
        }
        if agent.now() >= end {
            return OrderOutcome::Failed("it took too long".to_owned());
        }
        tokio::time::sleep(POLL).await;
    }
}

fn outcome_of(agent: &Agent, action: &Action) -> Option<OrderOutcome> {
    let models = agent.models();
    let find = |model, version| {
        let mut models = models.iter();
        models.find(|m| &m.model == model && &m.version == version)
    };
    match action {
        Action::Load { model, version } => match find(model, version).map(|m| m.state) {
            Some(ModelState::Ready) => Some(OrderOutcome::Done),
            Some(ModelState::Failed) => {
                Some(OrderOutcome::Failed("the engine can't load it".to_owned()))
            }
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
