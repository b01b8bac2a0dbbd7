//! Finds the route of a request.

use clem_rules::{Backend, Route, Rules};
use clem_types::RouteId;

/// Finds the route for the `model` field of a chat request or batch item. The name is the id of a
/// model route, or else the id of a model, which selects that model's first route in the order of
/// ids.
pub(crate) fn model_route<'a>(rules: &'a Rules, name: &str) -> Option<(&'a RouteId, &'a Route)> {
    if let Ok(id) = name.parse::<RouteId>()
        && let Some((id, route)) = rules.routes().get_key_value(&id)
        && matches!(route.backend, Backend::Model { .. })
    {
        return Some((id, route));
    }
    rules
        .routes()
        .iter()
        .find(|(_, route)| match &route.backend {
            Backend::Model { model, .. } => model.as_str() == name,
            Backend::Service(_) => false,
        })
}

/// Finds the route to a plain service by its id.
pub(crate) fn service_route<'a>(rules: &'a Rules, name: &str) -> Option<(&'a RouteId, &'a Route)> {
    let id: RouteId = name.parse().ok()?;
    let (id, route) = rules.routes().get_key_value(&id)?;
    match route.backend {
        Backend::Service(_) => Some((id, route)),
        Backend::Model { .. } => None,
    }
}
