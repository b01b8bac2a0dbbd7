//! Where items of an accepted batch run while the rules change.

use std::time::Duration;

use clem_batch::Placement;
use clem_edge::{Backend, Route, RouteKind, Ruleset};
use clem_types::Version;
use clem_wire::jobs::JobOptions;

const SPAN: Duration = Duration::from_secs(60);

fn route(name: &str, prefix: &str, kind: RouteKind, services: &[(&str, u32)]) -> Route {
    let backends = services.iter().map(|(service, weight)| Backend {
        service: (*service).to_owned(),
        weight: *weight,
    });
    Route {
        name: name.to_owned(),
        host: "one.example".to_owned(),
        prefix: prefix.to_owned(),
        kind,
        timeout: SPAN,
        objective: SPAN,
        rank: 0,
        backends: backends.collect(),
        attempts: 3,
        public: false,
        prompts: true,
        resumable: false,
        batch: None,
    }
}

fn rules(version: u64, routes: Vec<Route>) -> Ruleset {
    Ruleset {
        version: Version(version),
        routes,
        ..Ruleset::default()
    }
}

/// A submission by the rules of version 5, whose items went to the service `old`.
fn choose(rules: Option<&Ruleset>, began: Option<&str>, draw: f64) -> Placement {
    let options = JobOptions {
        route: "letters".to_owned(),
        host: "One.example".to_owned(),
        service: "old".to_owned(),
        rules: Version(5),
        rank: 0,
        due: SPAN,
        keep: SPAN,
        attempts: 3,
        token_cap: 0,
    };
    Placement::choose(rules, &options, "/letters/3", began, draw)
}

fn at(service: &str) -> Placement {
    Placement::At(service.to_owned())
}

fn batch(services: &[(&str, u32)]) -> Vec<Route> {
    vec![route("letters", "/letters/", RouteKind::Batch, services)]
}

#[test]
fn rules_older_than_those_of_the_submission_move_no_item() {
    assert_eq!(choose(None, None, 0.0), at("old"));
    let older = rules(4, batch(&[("older", 1)]));
    assert_eq!(choose(Some(&older), None, 0.0), at("old"));
    assert_eq!(choose(Some(&rules(4, Vec::new())), None, 0.0), at("old"));
    let same = rules(5, batch(&[("old", 1)]));
    assert_eq!(choose(Some(&same), None, 0.0), at("old"));
    let newer = rules(6, batch(&[("new", 1)]));
    assert_eq!(choose(Some(&newer), None, 0.0), at("new"));
}

#[test]
fn an_item_that_has_begun_stays_only_while_its_route_has_the_service() {
    let split = rules(6, batch(&[("old", 1), ("new", 9)]));
    assert_eq!(choose(Some(&split), Some("old"), 0.9), at("old"));
    assert_eq!(choose(Some(&split), None, 0.9), at("new"));
    assert_eq!(choose(Some(&split), None, 0.05), at("old"));
    let moved = rules(7, batch(&[("old", 0), ("new", 9)]));
    assert_eq!(choose(Some(&moved), Some("old"), 0.0), at("new"));
}

#[test]
fn an_item_ends_with_its_route_and_not_with_the_name_of_it() {
    let renamed = route("mail", "/letters/", RouteKind::Batch, &[("new", 1)]);
    let unrelated = route("other", "/other/", RouteKind::Batch, &[("new", 1)]);
    let online = route("letters", "/letters/", RouteKind::Stream, &[("new", 1)]);
    let mut away = route("letters", "/letters/", RouteKind::Batch, &[("new", 1)]);
    away.host = "two.example".to_owned();
    assert_eq!(choose(Some(&rules(6, vec![renamed])), None, 0.0), at("new"));
    for rest in [unrelated, online, away] {
        let rules = rules(6, vec![rest]);
        assert_eq!(choose(Some(&rules), None, 0.0), Placement::Gone);
    }
}
