//! Evacuations in the replicated state: orders arrive twice, late and beside members of an earlier
//! release.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod common;

use clem_policy::dispatch::LowBuckets;
use clem_state::{
    Command,
    document::{self, DocumentChange},
    evacuations::{self, EVACUATED_MAX, EvacuationChange},
    low_buckets,
};
use clem_types::Version;
use clem_wire::{codec, fleet::RulesDocument};
use common::Harness;

fn order(harness: &mut Harness, change: EvacuationChange) -> Vec<String> {
    harness.apply(&Command::Document(change.into()));
    let kept = evacuations::read(&harness.store).unwrap();
    kept.data_centres.into_iter().collect()
}

fn start(name: &str) -> EvacuationChange {
    EvacuationChange::Start(name.to_owned())
}

fn end(name: &str) -> EvacuationChange {
    EvacuationChange::End(name.to_owned())
}

/// Guards against a resent order that ends or doubles an evacuation.
#[test]
fn repeated_orders_change_nothing() {
    let mut harness = Harness::default();
    assert_eq!(order(&mut harness, end("a")), Vec::<String>::new());
    assert_eq!(order(&mut harness, start("a")), ["a"]);
    assert_eq!(order(&mut harness, start("a")), ["a"]);
    assert_eq!(order(&mut harness, start("b")), ["a", "b"]);
    assert_eq!(order(&mut harness, end("a")), ["b"]);
    assert_eq!(order(&mut harness, end("a")), ["b"]);
}

#[test]
fn the_record_is_bounded_and_still_ends_evacuations() {
    let mut harness = Harness::default();
    for number in 0..=EVACUATED_MAX {
        order(&mut harness, start(&format!("dc-{number:03}")));
    }
    let kept = order(&mut harness, end("dc-000"));
    assert_eq!(kept.len(), EVACUATED_MAX - 1);
    assert!(!kept.contains(&format!("dc-{EVACUATED_MAX:03}")));
}

/// Guards against an order that overwrites the rules, and rules that lose an evacuation.
#[test]
fn rules_and_evacuations_are_kept_side_by_side() {
    let mut harness = Harness::default();
    let rules = RulesDocument::new(Version(7), b"rules").unwrap();
    harness.apply(&Command::Document(rules.clone().into()));
    assert_eq!(order(&mut harness, start("a")), ["a"]);
    assert_eq!(document::document(&harness.store).unwrap(), rules);
    harness.apply(&Command::Document(
        RulesDocument::new(Version(8), b"newer").unwrap().into(),
    ));
    assert_eq!(order(&mut harness, start("a")), ["a"]);
}

/// A member of an earlier release exits on an entry that it can't decode: to it, an order must be a
/// document of version 0, which is never newer than its own.
#[test]
fn an_earlier_release_reads_an_order_as_a_document_that_it_skips() {
    #[derive(serde::Deserialize)]
    enum Earlier {
        Document(RulesDocument),
    }
    let entry = codec::encode(&Command::Document(start("a").into())).unwrap();
    let Earlier::Document(read) = codec::decode(&entry).unwrap();
    assert_eq!(read.version, Version(0));
    let rules = RulesDocument::new(Version(7), b"rules").unwrap();
    let entry = codec::encode(&rules).unwrap();
    let read: DocumentChange = codec::decode(&entry).unwrap();
    assert_eq!(read, DocumentChange::from(rules));
}

/// The record of low buckets travels like an order: it must change neither rules nor evacuations.
#[test]
fn low_buckets_are_kept_beside_evacuations() {
    let mut harness = Harness::default();
    order(&mut harness, start("a"));
    let low = LowBuckets {
        all: false,
        customers: ["c".to_owned()].into(),
    };
    assert_eq!(low_buckets::read(&harness.store).unwrap(), None);
    harness.apply(&Command::Document(low.clone().into()));
    assert_eq!(low_buckets::read(&harness.store).unwrap(), Some(low));
    assert_eq!(order(&mut harness, start("a")), ["a"]);
    assert_eq!(document::version(&harness.store).unwrap(), Version(0));
}
