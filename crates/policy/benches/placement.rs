//! Time of one pass of the placement controller at 1,300 engines and 11 models.

use std::{collections::BTreeMap, hint::black_box, time::Duration};

use clem_policy::placement::{Build, BuildState, Engine, EngineState, Limits, Stage, plan};
use clem_rules::{Rules, parse};
use clem_types::{ModelVersion, TargetId, Version};
use criterion::{Criterion, criterion_group, criterion_main};

const TARGETS: usize = 1300;
const MODELS: usize = 11;
const CENTRES: usize = 5;

fn rules() -> Rules {
    let mut text = String::new();
    for model in 0..MODELS {
        text += &format!("model.m{model} = {{ bytes = 5 }} # a\n");
        text += &format!("route.r{model} = {{ model = \"m{model}\", version = 1 }} # a\n");
        for centre in 0..CENTRES {
            let replicas = TARGETS / MODELS / CENTRES;
            text += &format!(
                "place.p{model}-{centre} = {{ model = \"m{model}\", version = 1, \
                 data_centre = \"c{centre}\", replicas = {replicas} }} # a\n"
            );
        }
    }
    for target in 0..TARGETS {
        let (high, low) = (target / 250 + 1, target % 250 + 1);
        let centre = target % CENTRES;
        text += &format!(
            "target.t{target} = {{ address = \"10.0.{high}.{low}:1\", data_centre = \"c{centre}\" }} # a\n"
        );
    }
    parse(&text, Version(1)).expect("the file has no findings")
}

fn engines(lost: usize) -> BTreeMap<TargetId, Engine> {
    let mut engines = BTreeMap::new();
    for target in 0..TARGETS {
        let model = (target / CENTRES) % MODELS;
        let build = Build {
            model: format!("m{model}").parse().expect("a name"),
            version: ModelVersion(1),
        };
        let held = BuildState {
            stage: Stage::Ready,
            adapters: Vec::new(),
        };
        let state = if target < lost {
            EngineState::Lost(Duration::from_secs(60))
        } else {
            EngineState::Open
        };
        let engine = Engine {
            data_centre: format!("c{}", target % CENTRES).parse().expect("a name"),
            state,
            builds: BTreeMap::from([(build, held)]),
            open: Vec::new(),
        };
        engines.insert(format!("t{target}").parse().expect("a name"), engine);
    }
    engines
}

fn passes(c: &mut Criterion) {
    let rules = rules();
    for lost in [0, 150] {
        let engines = engines(lost);
        c.bench_function(
            &format!("pass, 1300 targets, 11 models, {lost} lost"),
            |b| {
                b.iter(|| black_box(plan(&rules, &engines, &[], &Limits::default())));
            },
        );
    }
}

criterion_group!(benches, passes);
criterion_main!(benches);
