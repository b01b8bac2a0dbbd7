//! Which service may run an item.

use clem_edge::{Backend, Route, RouteKind, Ruleset};
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
        let Some(rules) = binding(rules, options) else {
            return Self::At(options.service.clone());
        };
        // The route may have another name now.
        let by_path = || {
            rules
                .route(&options.host, path)
                .filter(|route| takes_batches(route))
        };
        let Some(route) = named(rules, options).or_else(by_path) else {
            return Self::Gone;
        };
        let service = began
            .filter(|service| route.uses(service))
            .or_else(|| route.pick_service(draw));
        service.map_or(Self::Gone, |service| Self::At(service.to_owned()))
    }
}

/// The services that may run the items of a job; `None` if the rules have no route of its name, so that
/// the path of each item decides.
pub(crate) fn services<'a>(
    rules: Option<&'a Ruleset>,
    options: &'a JobOptions,
) -> Option<Vec<&'a str>> {
    let Some(rules) = binding(rules, options) else {
        return Some(vec![&options.service]);
    };
    let used = |backend: &&'a Backend| backend.weight > 0;
    let backends = named(rules, options)?.backends.iter().filter(used);
    Some(backends.map(|backend| backend.service.as_str()).collect())
}

/// The rules if they are as new as those of the submission.
fn binding<'a>(rules: Option<&'a Ruleset>, options: &JobOptions) -> Option<&'a Ruleset> {
    rules.filter(|rules| rules.version >= options.rules)
}

/// The batch route that has the name and host of the submission's.
fn named<'a>(rules: &'a Ruleset, options: &JobOptions) -> Option<&'a Route> {
    let route = rules.route_named(&options.route)?;
    (route.host.eq_ignore_ascii_case(&options.host) && takes_batches(route)).then_some(route)
}

fn takes_batches(route: &Route) -> bool {
    route.kind == RouteKind::Batch
}
