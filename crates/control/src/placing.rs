//! Runs the placement controller: from the fleet and the orders to new orders.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use clem_policy::placement::{Build, Decision, EngineAction, Failure, Limits, plan};
use clem_state::{Command, GiveOrder, Outcome, orders};
use clem_types::{CommandId, FenceNumber, TargetId, UnixMillis};
use clem_wire::{
    admin::{GiveOrderReply, OrderView},
    sync::{Action, OrderOutcome},
};

use crate::control::{Control, Replicated, Result};

/// How often the controller looks.
const INTERVAL: Duration = Duration::from_secs(1);
/// How many of the latest orders are looked through for failures.
const LOOKED_ORDERS: usize = 500;
/// The most open orders in the whole fleet that are taken into account.
const MAX_OPEN: usize = 10_000;

/// Runs the controller, for as long as the process runs.
pub async fn run(control: Arc<Control>) {
    let mut ticks = tokio::time::interval(INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut pass: u64 = 0;
    loop {
        ticks.tick().await;
        pass += 1;
        // A pass that is refused is made again at the next tick.
        let _ = place(&control, pass).await;
    }
}

async fn place(control: &Control, pass: u64) -> Result<()> {
    let limits = Limits::default();
    let due = control.lead(|lead, now| {
        // A new leader doesn't know yet which engines live, and gives those time to report.
        let placed = !lead.history.rules().places().is_empty();
        placed && lead.leases.is_complete(now)
    })?;
    if !due {
        return Ok(());
    }
    control.barrier().await?;
    let latest = control
        .replica
        .read(|store| orders::latest(store, LOOKED_ORDERS));
    let open = control
        .replica
        .read(|store| orders::all_open(store, MAX_OPEN));
    let failures = failures(&latest, control.wall());
    let open = open_moves(&open);
    let (epoch, decisions) = control.lead(|lead, now| {
        let rules = lead.history.rules();
        let engines = lead.fleet.engines(rules, &open, now);
        (lead.epoch, plan(rules, &engines, &failures, &limits))
    })?;
    for (number, decision) in decisions.iter().enumerate() {
        let id = format!("place-{epoch}-{pass}-{number}");
        let Ok(command) = id.parse() else {
            continue;
        };
        order(control, decision, command).await?;
    }
    Ok(())
}

/// Gives the order, unless an operator has given the engine another one meanwhile.
async fn order(control: &Control, decision: &Decision, command: CommandId) -> Result<()> {
    let target = &decision.target;
    let newest: FenceNumber = control.replica.read(|store| orders::newest(store, target));
    let give = GiveOrder {
        command,
        target: target.clone(),
        action: action(&decision.action),
        expect: Some(newest),
        now: control.wall(),
    };
    let Outcome::Order(reply) = control.propose(Command::Order(give)).await? else {
        return Ok(());
    };
    log::info!(
        target:% = target,
        action:? = decision.action,
        candidates = decision.candidates,
        reason = decision.reason,
        reply:? = reply;
        "placement decided"
    );
    if matches!(reply, GiveOrderReply::Accepted { .. }) {
        control.wake();
    }
    Ok(())
}

fn action(action: &EngineAction) -> Action {
    match action {
        EngineAction::Load(build) => Action::Load {
            model: build.model.clone(),
            version: build.version,
        },
        EngineAction::Unload(build) => Action::Unload {
            model: build.model.clone(),
            version: build.version,
        },
        EngineAction::Adapter(build, adapter) => Action::Adapter {
            model: build.model.clone(),
            version: build.version,
            adapter: adapter.clone(),
        },
    }
}

/// An order as the planner knows it; none for drain and resume, which the fleet view shows.
fn planned(action: &Action) -> Option<EngineAction> {
    let build = |model: &clem_types::ModelId, version| Build {
        model: model.clone(),
        version,
    };
    match action {
        Action::Load { model, version } => Some(EngineAction::Load(build(model, *version))),
        Action::Unload { model, version } => Some(EngineAction::Unload(build(model, *version))),
        Action::Adapter {
            model,
            version,
            adapter,
        } => Some(EngineAction::Adapter(
            build(model, *version),
            adapter.clone(),
        )),
        Action::Drain | Action::Resume => None,
    }
}

fn open_moves(open: &[OrderView]) -> BTreeMap<TargetId, Vec<EngineAction>> {
    let mut moves: BTreeMap<TargetId, Vec<EngineAction>> = BTreeMap::new();
    for view in open {
        let Some(action) = planned(&view.action) else {
            continue;
        };
        moves.entry(view.target.clone()).or_default().push(action);
    }
    moves
}

/// The orders that failed, out of the latest ones.
fn failures(latest: &[OrderView], now: UnixMillis) -> Vec<Failure> {
    let mut failures = Vec::new();
    for view in latest {
        match &view.outcome {
            Some(OrderOutcome::Failed(_)) => {}
            Some(OrderOutcome::Done | OrderOutcome::Stale { .. }) | None => continue,
        }
        let Some(action) = planned(&view.action) else {
            continue;
        };
        failures.push(Failure {
            target: view.target.clone(),
            action,
            age: Duration::from_millis(now.0.saturating_sub(view.given.0)),
        });
    }
    failures
}
