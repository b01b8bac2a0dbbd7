//! Whether an operator's order makes sense.

use clem_rules::{Backend, Rules};
use clem_types::{ModelId, ModelVersion, TargetId};
use clem_wire::{
    admin::GiveOrder,
    sync::{Action, ModelState, Serves, TargetView},
};

use crate::lead::Lead;

/// Why an order is refused, for the operator.
type Result<T> = std::result::Result<T, String>;

/// Checks an operator's order against the rules and the fleet.
///
/// # Errors
/// Why the order makes no sense.
pub(super) fn check(lead: &Lead, order: &GiveOrder) -> Result<()> {
    let rules = lead.history.rules();
    let Some(target) = rules.targets().get(&order.target) else {
        return Err(format!("the rules have no target {}", order.target));
    };
    match &order.action {
        Action::Load { model, version }
        | Action::Unload { model, version }
        | Action::Adapter { model, version, .. } => {
            if target.service.is_some() {
                return Err(format!("{} is no model engine", order.target));
            }
            check_model(rules, model, *version)?;
        }
        Action::Drain | Action::Resume => {}
    }
    if order.force {
        return Ok(());
    }
    match &order.action {
        Action::Drain => check_last(lead, &order.target, None),
        Action::Unload { model, version } => {
            check_last(lead, &order.target, Some((model, *version)))
        }
        Action::Load { .. } | Action::Adapter { .. } | Action::Resume => Ok(()),
    }
}

fn check_model(rules: &Rules, model: &ModelId, version: ModelVersion) -> Result<()> {
    let placed = rules.places().values();
    if placed
        .into_iter()
        .any(|place| place.model == *model && place.version == version)
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
        "no route or placement names {model} in version {version}"
    ))
}

/// Refuses to take the last open replica from a route; `only` limits it to one model version.
fn check_last(
    lead: &Lead,
    target: &TargetId,
    only: Option<(&ModelId, ModelVersion)>,
) -> Result<()> {
    let shown = lead.fleet.shown();
    let Some(leaving) = shown.get(target) else {
        return Ok(());
    };
    for (route, rule) in lead.history.rules().routes() {
        if !is_served(&rule.backend, leaving) || !concerns(&rule.backend, only) {
            continue;
        }
        let others = shown.values().filter(|view| view.target != *target);
        if others
            .into_iter()
            .any(|view| view.open && is_served(&rule.backend, view))
        {
            continue;
        }
        return Err(format!(
            "{target} is the last replica of the route {route}; --force does it all the same"
        ));
    }
    Ok(())
}

fn concerns(backend: &Backend, only: Option<(&ModelId, ModelVersion)>) -> bool {
    match (backend, only) {
        (_, None) => true,
        (Backend::Model { model, version, .. }, Some(only)) => (model, *version) == only,
        (Backend::Service(_), Some(_)) => false,
    }
}

/// Whether a target can answer a route's requests.
fn is_served(backend: &Backend, view: &TargetView) -> bool {
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
