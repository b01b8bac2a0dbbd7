//! Runs the placement controller, which compares the fleet with the rules and issues orders to
//! load and unload models and adapters.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use clem_policy::placement::{Build, Decision, EngineAction, Failure, Limits, plan};
use clem_state::{Command, GiveOrder, Outcome, orders};
use clem_types::{CommandId, FenceNumber, TargetId, UnixMillis};
use clem_wire::{
    admin::{GiveOrderReply, OrderView},
    sync::{Action, OrderOutcome},
};

use crate::control::{Control, Replicated, Result};

/// Time between two passes of the controller.
const INTERVAL: Duration = Duration::from_secs(1);
/// How many of the latest orders are searched for failures.
const RECENT_ORDERS: usize = 500;
/// Maximum number of open orders, across the fleet, that a pass considers.
const MAX_OPEN_ORDERS: usize = 10_000;

/// Runs the controller until the process exits; it acts only on the leader.
pub async fn run(control: Arc<Control>) {
    let mut ticks = tokio::time::interval(INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut pass: u64 = 0;
    loop {
        ticks.tick().await;
        pass += 1;
        // A pass that fails, for example because leadership was lost, is repeated at the next tick.
        let _ = run_pass(&control, pass).await;
    }
}

async fn run_pass(control: &Control, pass: u64) -> Result<()> {
    let limits = Limits::default();
    let due = control.with_leader(|lead, now| {
        // A new leader does not know yet which engines are alive; it waits for their reports.
        let placed = !lead.history.rules().placements().is_empty();
        placed && lead.leases.is_complete(now)
    })?;
    if !due {
        return Ok(());
    }
    control.barrier().await?;
    let latest = control
        .replica
        .read(|store| orders::latest(store, RECENT_ORDERS));
    let open = control
        .replica
        .read(|store| orders::all_open(store, MAX_OPEN_ORDERS));
    let failures = failures(&latest, control.wall_time());
    let open = open_moves(&open);
    let (epoch, decisions) = control.with_leader(|lead, now| {
        let rules = lead.history.rules();
        let engines = lead.fleet.engines(rules, &open, now);
        (lead.epoch, plan(rules, &engines, &failures, &limits))
    })?;
    for (number, decision) in decisions.iter().enumerate() {
        let id = format!("place-{epoch}-{pass}-{number}");
        let Ok(command) = id.parse() else {
            continue;
        };
        give_order(control, decision, command).await?;
    }
    Ok(())
}

/// Issues the order, unless the engine has been given another one since it was planned.
async fn give_order(control: &Control, decision: &Decision, command: CommandId) -> Result<()> {
    let target = &decision.target;
    let newest: FenceNumber = control.replica.read(|store| orders::newest(store, target));
    let give = GiveOrder {
        command,
        target: target.clone(),
        action: to_action(&decision.action),
        expect: Some(newest),
        now: control.wall_time(),
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
        control.notify_update();
    }
    Ok(())
}

fn to_action(action: &EngineAction) -> Action {
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

/// Converts an order for the planner; `None` for drain and resume, which are part of the fleet
/// view.
fn to_move(action: &Action) -> Option<EngineAction> {
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
        let Some(action) = to_move(&view.action) else {
            continue;
        };
        moves.entry(view.target.clone()).or_default().push(action);
    }
    moves
}

/// The failed load, unload and adapter orders in `latest`.
fn failures(latest: &[OrderView], now: UnixMillis) -> Vec<Failure> {
    let mut failures = Vec::new();
    for view in latest {
        match &view.outcome {
            Some(OrderOutcome::Failed(_)) => {}
            Some(OrderOutcome::Done | OrderOutcome::Stale { .. }) | None => continue,
        }
        let Some(action) = to_move(&view.action) else {
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
