//! Rejects rules files that move a route to a model version that is not ready on any target.

use clem_rules::{Backend, Finding, Rules};
use clem_types::{ModelId, ModelVersion};
use clem_wire::sync::{ModelState, Serves};

use crate::leader::LeaderState;

/// Findings for routes that would move from a model version that is ready to one that is not ready
/// on any target.
///
/// An operator first applies a file that places the new version, and moves the route by a second
/// one once the version is ready. A version that fails to load then never interrupts a route.
pub(super) fn check(lead: &LeaderState, next: &Rules, text: &str) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (id, route) in next.routes() {
        let Some(before) = lead.history.rules().routes().get(id) else {
            continue;
        };
        let (Some((model, version)), Some((old, old_version))) =
            (model_of(&route.backend), model_of(&before.backend))
        else {
            continue;
        };
        let moved = (model, version) != (old, old_version);
        if !moved || is_ready(lead, model, version) || !is_ready(lead, old, old_version) {
            continue;
        }
        findings.push(Finding {
            line: line_of(text, &format!("route.{id}")),
            column: 1,
            message: format!(
                "{model} is ready nowhere in version {version}; place it first, and move the \
                 route when it is ready"
            ),
        });
    }
    findings.sort();
    findings
}

fn model_of(backend: &Backend) -> Option<(&ModelId, ModelVersion)> {
    match backend {
        Backend::Model { model, version, .. } => Some((model, *version)),
        Backend::Service(_) => None,
    }
}

fn is_ready(lead: &LeaderState, model: &ModelId, version: ModelVersion) -> bool {
    let mut views = lead.fleet.views().values();
    views.any(|view| match &view.serves {
        Serves::Models(loaded) => loaded.iter().any(|loaded| {
            loaded.model == *model && loaded.version == version && loaded.state == ModelState::Ready
        }),
        Serves::Service(_) => false,
    })
}

/// The line number of the rule `name`, counted from 1.
fn line_of(text: &str, name: &str) -> u32 {
    let starts = |line: &str| {
        let rest = line.trim_start().strip_prefix(name);
        rest.is_some_and(|rest| rest.starts_with([' ', '=', '\t']))
    };
    let line = text.lines().position(starts).map_or(1, |line| line + 1);
    u32::try_from(line).unwrap_or(u32::MAX)
}
