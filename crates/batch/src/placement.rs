//! Which service may run an item.

use clem_edge::{RouteKind, Ruleset};
use clem_wire::jobs::JobOptions;

/// Where an item may run next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Placement {
    /// At this service.
    At(String),
    /// Nowhere: the rules have no batch route for it any more.
    Gone,
}

impl Placement {
    /// Chooses the service for a run of an item with this `path`. An item that has begun stays at the
    /// service where it `began`, as long as its route has that. `draw` is a random number in `0.0..1.0`.
    ///
    /// Rules that are missing here, or older than those of the submission, decide nothing: the front
    /// chose the service by newer ones.
    pub fn choose(
        rules: Option<&Ruleset>,
        options: &JobOptions,
        path: &str,
        began: Option<&str>,
        draw: f64,
    ) -> Self {
        let Some(rules) = rules.filter(|rules| rules.version >= options.rules) else {
            return Self::At(options.service.clone());
        };
        // A route may get another name, and a path may belong to another route later.
        let route = rules
            .route_named(&options.route)
            .filter(|route| route.host.eq_ignore_ascii_case(&options.host))
            .or_else(|| rules.route(&options.host, path))
            .filter(|route| route.kind == RouteKind::Batch);
        let Some(route) = route else {
            return Self::Gone;
        };
        let service = began
            .filter(|service| route.uses(service))
            .or_else(|| route.pick_service(draw));
        service.map_or(Self::Gone, |service| Self::At(service.to_owned()))
    }
}
