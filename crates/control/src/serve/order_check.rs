//! Validates operators' orders before they are proposed.

use clem_rules::{Backend, Rules};
use clem_types::{ModelId, ModelVersion, TargetId};
use clem_wire::{
    admin::GiveOrder,
    sync::{Action, ModelState, Serves, TargetView},
};

use crate::leader::LeaderState;

/// The error is the reason for which the order is refused, as shown to the operator.
type Result<T> = std::result::Result<T, String>;

/// Checks an operator's order against the rules and the fleet view.
///
/// # Errors
/// The reason for which the order is refused: its target or model is not in the rules, or it would
/// remove the last replica of a route and is not forced.
pub(super) fn check(lead: &LeaderState, order: &GiveOrder) -> Result<()> {
    let rules = lead.history.rules();
    let Some(target) = rules.targets().get(&order.target) else {
        return Err(format!("the rules have no target {}", order.target));
    };
    match &order.action {
        Action::Load { model, version }
        | Action::Unload { model, version }
        | Action::Adapter { model, version, .. } => {
            if target.service.is_some() {
                return Err(format!("{} is not a model engine", order.target));
            }
            check_model(rules, model, *version)?;
        }
        Action::Drain | Action::Resume => {}
    }
    if order.force {
        return Ok(());
    }
    match &order.action {
        Action::Drain => check_last_replica(lead, &order.target, None),
        Action::Unload { model, version } => {
            check_last_replica(lead, &order.target, Some((model, *version)))
        }
        Action::Load { .. } | Action::Adapter { .. } | Action::Resume => Ok(()),
    }
}

fn check_model(rules: &Rules, model: &ModelId, version: ModelVersion) -> Result<()> {
    let placed = rules.placements().values();
    if placed
        .into_iter()
        .any(|placement| placement.model == *model && placement.version == version)
    {
        return Ok(());
    }
    for route in rules.routes().values() {
        match &route.backend {
            Backend::Model {
                model: named,
                version: wanted,
                ..
            } if named == model && *wanted == version => return Ok(()),
            Backend::Model { .. } | Backend::Service(_) => {}
        }
    }
    Err(format!(
        "no route or placement uses {model} version {version}"
    ))
}

/// Refuses to remove the last open replica of a route. `only` limits the check to routes to one
/// model version.
fn check_last_replica(
    lead: &LeaderState,
    target: &TargetId,
    only: Option<(&ModelId, ModelVersion)>,
) -> Result<()> {
    let views = lead.fleet.views();
    let Some(leaving) = views.get(target) else {
        return Ok(());
    };
    for (route, rule) in lead.history.rules().routes() {
        if !can_serve(&rule.backend, leaving) || !uses_model(&rule.backend, only) {
            continue;
        }
        let others = views.values().filter(|view| view.target != *target);
        if others
            .into_iter()
            .any(|view| view.open && can_serve(&rule.backend, view))
        {
            continue;
        }
        return Err(format!(
            "{target} is the last replica of the route {route}; use --force to override"
        ));
    }
    Ok(())
}

fn uses_model(backend: &Backend, only: Option<(&ModelId, ModelVersion)>) -> bool {
    match (backend, only) {
        (_, None) => true,
        (Backend::Model { model, version, .. }, Some(only)) => (model, *version) == only,
        (Backend::Service(_), Some(_)) => false,
    }
}

/// Whether a target has the service, or the ready model version, that a route needs.
fn can_serve(backend: &Backend, view: &TargetView) -> bool {
    match (backend, &view.serves) {
        (Backend::Service(wanted), Serves::Service(service)) => wanted == service,
        (Backend::Model { model, version, .. }, Serves::Models(loaded)) => {
            loaded.iter().any(|loaded| {
                loaded.model == *model
                    && loaded.version == *version
                    && loaded.state == ModelState::Ready
            })
        }
        (Backend::Service(_), Serves::Models(_)) | (Backend::Model { .. }, Serves::Service(_)) => {
            false
        }
    }
}
