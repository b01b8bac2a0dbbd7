//! Tests of rules, orders, at-most-once calls and crash reports.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod common;

use clem_state::{ApplyOutcome, ApplyRules, Command, EndOrders, GiveOrder, Outcome};
use clem_state::{orders, poison, rules};
use clem_types::{BodyHash, FenceNumber, Incarnation, RequestId, Version};
use clem_wire::{
    admin::GiveOrderReply,
    online::{
        InFlight, OnceBegin, OnceBeginReply, OnceFinish, OnceOutcome, OnceResult, ReportCrash,
    },
    sync::{Action, OrderOutcome, OrderResult, Verdict},
};

use common::{Harness, customer, route};

// ---------------------------------------------------------------------------------------------
// Rules

fn apply_rules(harness: &mut Harness, id: &str, expect: u64, text: &str) -> ApplyOutcome {
    let command = Command::Apply(ApplyRules {
        command: id.parse().unwrap(),
        expect: Version(expect),
        text: text.to_owned(),
    });
    match harness.apply(&command) {
        Outcome::Apply(outcome) => outcome,
        other => panic!("{other:?}"),
    }
}

#[test]
fn of_two_applies_with_the_same_version_one_wins() {
    let mut harness = Harness::default();
    let first = apply_rules(&mut harness, "ana", 0, "a");
    assert_eq!(first, ApplyOutcome::Accepted(Version(1)));
    let current = Version(1);
    let second = apply_rules(&mut harness, "mere", 0, "m");
    assert_eq!(second, ApplyOutcome::Conflict { current });
    assert_eq!(rules::file(&harness.store).unwrap().text, "a");
}

#[test]
fn a_resent_command_gets_its_first_answer_and_reverts_nothing() {
    let mut harness = Harness::default();
    let first = apply_rules(&mut harness, "ana", 0, "a");
    apply_rules(&mut harness, "mere", 1, "m");
    let lost = apply_rules(&mut harness, "late", 1, "l");
    apply_rules(&mut harness, "mere-2", 2, "n");
    assert_eq!(apply_rules(&mut harness, "ana", 0, "a"), first);
    assert_eq!(apply_rules(&mut harness, "late", 1, "l"), lost);
    assert_eq!(
        apply_rules(&mut harness, "ana", 3, "other"),
        ApplyOutcome::Reused
    );
    let file = rules::file(&harness.store).unwrap();
    assert_eq!((file.version, file.text.as_str()), (Version(3), "n"));
}

#[test]
fn the_number_of_stored_answers_is_bounded() {
    let mut harness = Harness::default();
    let mut largest = 0;
    for number in 0..10_200 {
        apply_rules(&mut harness, &format!("c{number}"), 9999, "x");
        largest = largest.max(harness.store.len());
    }
    assert!(largest <= 20_010, "{largest} records");
    let current = Version(0);
    let recent = apply_rules(&mut harness, "c10199", 9999, "x");
    assert_eq!(recent, ApplyOutcome::Conflict { current });
}

// ---------------------------------------------------------------------------------------------
// Orders

fn give(harness: &mut Harness, id: &str, action: Action, expect: Option<u64>) -> GiveOrderReply {
    let command = Command::Order(GiveOrder {
        command: id.parse().unwrap(),
        target: "t1".parse().unwrap(),
        action,
        expect: expect.map(FenceNumber),
        now: harness.time(),
    });
    match harness.apply(&command) {
        Outcome::Order(reply) => reply,
        other => panic!("{other:?}"),
    }
}

fn load(version: u32) -> Action {
    Action::Load {
        model: "m".parse().unwrap(),
        version: clem_types::ModelVersion(version),
    }
}

#[test]
fn fence_numbers_increase_and_a_resent_order_keeps_its_own() {
    let mut harness = Harness::default();
    let GiveOrderReply::Accepted { fence: first } = give(&mut harness, "a", load(1), None) else {
        panic!();
    };
    let GiveOrderReply::Accepted { fence: second } = give(&mut harness, "b", load(2), None) else {
        panic!();
    };
    assert!(second > first);
    harness.now += 5;
    let again = give(&mut harness, "a", load(1), None);
    assert_eq!(again, GiveOrderReply::Accepted { fence: first });
    let target = "t1".parse().unwrap();
    assert_eq!(orders::open(&harness.store, &target).unwrap().len(), 2);
}

#[test]
fn of_two_operators_who_saw_the_same_order_one_wins() {
    let mut harness = Harness::default();
    let GiveOrderReply::Accepted { fence } = give(&mut harness, "a", load(1), Some(0)) else {
        panic!();
    };
    let lost = give(&mut harness, "b", load(2), Some(0));
    assert_eq!(lost, GiveOrderReply::Conflict { newest: fence });
    let won = give(&mut harness, "c", load(2), Some(fence.0));
    assert!(matches!(won, GiveOrderReply::Accepted { .. }));
}

#[test]
fn an_order_ends_once() {
    let mut harness = Harness::default();
    let target: clem_types::TargetId = "t1".parse().unwrap();
    let GiveOrderReply::Accepted { fence } = give(&mut harness, "a", Action::Drain, None) else {
        panic!();
    };
    assert_eq!(
        orders::drained(&harness.store).unwrap(),
        vec![target.clone()]
    );
    for outcome in [OrderOutcome::Done, OrderOutcome::Failed("late".to_owned())] {
        let results = vec![OrderResult { fence, outcome }];
        harness.apply(&Command::EndOrders(EndOrders {
            target: target.clone(),
            results,
        }));
    }
    assert!(orders::open(&harness.store, &target).unwrap().is_empty());
    assert_eq!(orders::ended(&harness.store, &target).unwrap(), fence);
    let latest = orders::latest(&harness.store, 1).unwrap();
    assert_eq!(latest[0].outcome, Some(OrderOutcome::Done));
    give(&mut harness, "b", Action::Resume, None);
    assert!(orders::drained(&harness.store).unwrap().is_empty());
}

// ---------------------------------------------------------------------------------------------
// At-most-once calls

fn once(of: &str, request: u128, body: &str) -> OnceBegin {
    OnceBegin {
        customer: Some(customer(of)),
        route: route("waitlist"),
        key: "confirm-7".to_owned(),
        body: BodyHash::of(body.as_bytes()),
        request: RequestId(request),
    }
}

fn begin_once(harness: &mut Harness, call: OnceBegin) -> OnceBeginReply {
    let now = harness.time();
    match harness.apply(&Command::OnceBegin { call, now }) {
        Outcome::OnceBegin(reply) => reply,
        other => panic!("{other:?}"),
    }
}

fn finish_once(harness: &mut Harness, request: u128, outcome: OnceOutcome) {
    harness.apply(&Command::OnceFinish(OnceFinish {
        customer: Some(customer("totara")),
        route: route("waitlist"),
        key: "confirm-7".to_owned(),
        request: RequestId(request),
        outcome,
    }));
}

fn result(text: &str) -> OnceResult {
    OnceResult {
        status: 200,
        headers: Vec::new(),
        body: text.as_bytes().to_vec(),
    }
}

#[test]
fn a_call_runs_at_most_once_whatever_is_sent_again() {
    let mut harness = Harness::default();
    assert_eq!(
        begin_once(&mut harness, once("totara", 1, "x")),
        OnceBeginReply::Go
    );
    // The same request repeats its call after a lost reply; another request id is a resend.
    assert_eq!(
        begin_once(&mut harness, once("totara", 1, "x")),
        OnceBeginReply::Go
    );
    assert_eq!(
        begin_once(&mut harness, once("totara", 2, "x")),
        OnceBeginReply::Unknown
    );
    assert_eq!(
        begin_once(&mut harness, once("totara", 3, "y")),
        OnceBeginReply::Mismatch
    );
    assert_eq!(
        begin_once(&mut harness, once("botez", 4, "y")),
        OnceBeginReply::Go
    );
    finish_once(&mut harness, 2, OnceOutcome::NotRun);
    assert_eq!(
        begin_once(&mut harness, once("totara", 2, "x")),
        OnceBeginReply::Unknown
    );
    finish_once(&mut harness, 1, OnceOutcome::Done(result("first")));
    finish_once(&mut harness, 1, OnceOutcome::Done(result("second")));
    finish_once(&mut harness, 1, OnceOutcome::NotRun);
    let known = OnceBeginReply::Done(result("first"));
    assert_eq!(begin_once(&mut harness, once("totara", 2, "x")), known);
}

#[test]
fn a_call_that_did_not_run_may_be_sent_again() {
    let mut harness = Harness::default();
    begin_once(&mut harness, once("totara", 1, "x"));
    finish_once(&mut harness, 1, OnceOutcome::NotRun);
    assert_eq!(
        begin_once(&mut harness, once("totara", 2, "x")),
        OnceBeginReply::Go
    );
}

#[test]
fn call_records_expire_after_their_retention() {
    let mut harness = Harness::default();
    begin_once(&mut harness, once("totara", 1, "x"));
    harness.wait(24 * 3600 * 1000 - 1);
    assert_eq!(
        begin_once(&mut harness, once("totara", 2, "x")),
        OnceBeginReply::Unknown
    );
    harness.wait(2);
    assert_eq!(
        begin_once(&mut harness, once("totara", 3, "x")),
        OnceBeginReply::Go
    );
}

// ---------------------------------------------------------------------------------------------
// Crashes

fn crash(
    harness: &mut Harness,
    target: &str,
    number: u64,
    bodies: &[&str],
) -> Vec<Option<Verdict>> {
    let mut requests = Vec::new();
    for body in bodies {
        requests.push(InFlight {
            customer: Some(customer("totara")),
            body: BodyHash::of(body.as_bytes()),
            suspect: false,
        });
    }
    let report = ReportCrash {
        target: target.parse().unwrap(),
        incarnation: Incarnation(1),
        crash: number,
        requests,
    };
    let now = harness.time();
    match harness.apply(&Command::Crash { report, now }) {
        Outcome::Crash(reply) => reply.verdicts,
        other => panic!("{other:?}"),
    }
}

#[test]
fn the_cause_is_pinned_at_the_second_crash_and_bystanders_are_not() {
    let mut harness = Harness::default();
    let (suspect, poison) = (Some(Verdict::Suspect), Some(Verdict::Poison));
    assert_eq!(
        crash(&mut harness, "t1", 1, &["bad", "a"]),
        vec![suspect, suspect]
    );
    // A resent report changes nothing.
    assert_eq!(
        crash(&mut harness, "t1", 1, &["bad", "a"]),
        vec![suspect, suspect]
    );
    assert_eq!(
        crash(&mut harness, "t2", 1, &["bad", "b", "c"]),
        vec![poison, None, None]
    );
    let list = poison::list(&harness.store).unwrap();
    assert_eq!(list.entries.len(), 2);
    assert_eq!(list.version, Version(2));
}

#[test]
fn two_suspects_in_one_crash_change_no_verdict() {
    let mut harness = Harness::default();
    let suspect = Some(Verdict::Suspect);
    crash(&mut harness, "t1", 1, &["bad", "a"]);
    assert_eq!(
        crash(&mut harness, "t2", 1, &["bad", "a", "b"]),
        vec![suspect, suspect, None]
    );
}

#[test]
fn suspects_expire_and_are_bounded_for_each_customer() {
    let mut harness = Harness::default();
    for number in 0..200 {
        crash(&mut harness, "t1", number + 1, &[&format!("body {number}")]);
    }
    assert_eq!(poison::list(&harness.store).unwrap().entries.len(), 64);
    harness.wait(10 * 60 * 1000 + 1);
    assert!(poison::list(&harness.store).unwrap().entries.is_empty());
}
