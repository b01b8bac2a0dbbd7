//! Tests of the rules file parser: accepted files, and the message and position of each finding.

#![allow(clippy::unwrap_used, reason = "a test fails by its panic")]

use clem_rules::{Backend, RuleName, parse};
use clem_types::Version;
use proptest::{prelude::*, test_runner::RngSeed};

const GOOD: &str = r#"
# Kahikatea
customer.totara = { rate = "20/s", burst = 40, weight = 1 }      # asked by Mere, ticket 12
key.totara-1 = { customer = "totara", blake3 = "11111111111111111111111111111111111111111111111111111111111111aa" }             # asked by Mere
route.assistant = { model = "assistant-7b", version = 3, open = false }   # asked by Ana
route.waitlist = { service = "waitlist", timeout = "500ms" } # asked by Ana
target.t1 = { address = "127.0.0.1:7001", data_centre = "tamaki-a", checks_fence = false }  # asked by Ana
target.w1 = { address = "127.0.0.1:7002", data_centre = "tamaki-a", service = "waitlist" }  # asked by Ana
model.assistant-7b = { bytes = 14_000_000_000, adapters = ["letters"] } # asked by Ana
place.main = { model = "assistant-7b", version = 3, data_centre = "tamaki-a", replicas = 1 } # asked by Ana
"#;

fn findings(text: &str) -> String {
    let Err(findings) = parse(text, Version(1)) else {
        return "no findings".to_owned();
    };
    let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

#[test]
fn a_good_file_is_read_with_its_defaults() {
    let rules = parse(GOOD, Version(7)).unwrap();
    assert_eq!(rules.version(), Version(7));
    assert_eq!(rules.all().len(), 8);
    let assistant = &rules.routes()[&"assistant".parse().unwrap()];
    assert!(assistant.idempotent && !assistant.open);
    assert_eq!(assistant.timeout.as_secs(), 60);
    let waitlist = &rules.routes()[&"waitlist".parse().unwrap()];
    assert!(!waitlist.idempotent);
    assert_eq!(waitlist.timeout.as_millis(), 500);
    assert!(matches!(waitlist.backend, Backend::Service(_)));
}

#[test]
fn every_finding_is_reported_with_its_position() {
    let text = r#"
customer.totara = { rate = "20", burst = 0, weight = 1 } # asked by Mere
customer.botez = { rate = "40/s", burst = 80, wieght = 2 }
key.k1 = { customer = "tortara", blake3 = "abc" } # asked by Mere
key.k2 = { customer = "tortara", blake3 = "11111111111111111111111111111111111111111111111111111111111111aa" } # asked by Mere
route.a = { model = "m", version = 3, service = "s" } # asked by Ana
route.a = { service = "nowhere", timeout = "2 days" } #
target.t1 = { address = "127.0.0.1", data_centre = "tamaki a" } # asked by Ana
colour.red = { } # asked by Ana
place.p = { model = "m", version = -1, data_centre = "a", replicas = 3 } # asked by Ana
customer.x = { rate = "20/s", rate = "20/s", burst = 1 } # asked by Mere
customer.y = { rate = "20/s"
[customer]
customer = 5
"#;
    insta::assert_snapshot!(findings(text));
}

#[test]
fn violated_constraints_are_reported() {
    let text = r#"
key.k1 = { customer = "nobody", blake3 = "11111111111111111111111111111111111111111111111111111111111111aa" } # m
key.k2 = { customer = "totara", blake3 = "11111111111111111111111111111111111111111111111111111111111111aa" } # m
customer.totara = { rate = "20/s", burst = 40 } # m
route.hours = { service = "hours", open = true } # m
route.chat = { model = "other", version = 1, adapter = "x" } # m
route.letters = { model = "big", version = 1, adapter = "x" } # m
model.big = { bytes = 5, adapters = ["a", "a"] } # m
model.small = { bytes = 5 } # m
place.p1 = { model = "none", version = 1, data_centre = "a", replicas = 1 } # m
place.p2 = { model = "small", version = 1, data_centre = "a", replicas = 2 } # m
place.p3 = { model = "small", version = 1, data_centre = "a", replicas = 1 } # m
place.p4 = { model = "small", version = 1, data_centre = "b", replicas = 1 } # m
target.t1 = { address = "127.0.0.1:7001", data_centre = "a" } # m
target.t2 = { address = "127.0.0.1:7001", data_centre = "c" } # m
"#;
    insta::assert_snapshot!(findings(text));
}

#[test]
fn an_invalid_target_causes_no_findings_for_other_rules() {
    let text = "target.w = { address = \"127.0.0.1:1\", data_centre = \"a\", service = \"w\" }\n\
                route.w = { service = \"w\" } # asked by Ana";
    insta::assert_snapshot!(findings(text), @"1:73: the comment that says who asked for the rule is missing, such as # asked by Mere");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_text_makes_the_parser_panic(text in "\\PC*") {
        let _ = parse(&text, Version(1));
    }

    #[test]
    fn no_damaged_file_makes_the_parser_panic(at in 0..GOOD.len(), with in "[ -~\n\r\"{}=#.]{0,4}") {
        let mut text = GOOD.to_owned();
        text.replace_range(at..=at, &with);
        if let Ok(rules) = parse(&text, Version(1)) {
            for (name, _) in rules.all() {
                let back: RuleName = name.to_string().parse().unwrap();
                prop_assert_eq!(back, name);
            }
        }
    }
}
