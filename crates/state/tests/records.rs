//! Rules, orders, calls that run at most once, and crash reports.

#![allow(clippy::unwrap_used, reason = "a test fails by its panic")]

mod common;

use clem_state::{ApplyOutcome, ApplyRules, Command, EndOrders, GiveOrder, Outcome};
use clem_state::{orders, poison, rules};
use clem_types::{BodyHash, FenceNumber, Incarnation, RequestId, RulesVersion};
use clem_wire::{
    admin::GiveOrderReply,
    online::{
        InFlight, OnceBegin, OnceBeginReply, OnceFinish, OnceOutcome, OnceResult, ReportCrash,
    },
    sync::{Action, OrderOutcome, OrderResult, Verdict},
};

use common::{World, customer, route};

// ---------------------------------------------------------------------------------------------
// Rules

fn apply_rules(world: &mut World, id: &str, expect: u64, text: &str) -> ApplyOutcome {
    let command = Command::Apply(ApplyRules {
        command: id.parse().unwrap(),
        expect: RulesVersion(expect),
        text: text.to_owned(),
    });
    match world.apply(&command) {
        Outcome::Apply(outcome) => outcome,
        other => panic!("{other:?}"),
    }
}

#[test]
fn of_two_operators_with_the_same_number_one_wins() {
    let mut world = World::default();
    let first = apply_rules(&mut world, "ana", 0, "a");
    assert_eq!(first, ApplyOutcome::Accepted(RulesVersion(1)));
    let current = RulesVersion(1);
    let second = apply_rules(&mut world, "mere", 0, "m");
    assert_eq!(second, ApplyOutcome::Conflict { current });
    assert_eq!(rules::file(&world.store).unwrap().text, "a");
}

#[test]
fn a_resent_command_gets_its_first_answer_and_reverts_nothing() {
    let mut world = World::default();
    let first = apply_rules(&mut world, "ana", 0, "a");
    apply_rules(&mut world, "mere", 1, "m");
    let lost = apply_rules(&mut world, "late", 1, "l");
    apply_rules(&mut world, "mere-2", 2, "n");
    assert_eq!(apply_rules(&mut world, "ana", 0, "a"), first);
    assert_eq!(apply_rules(&mut world, "late", 1, "l"), lost);
    assert_eq!(
        apply_rules(&mut world, "ana", 3, "other"),
        ApplyOutcome::Reused
    );
    let file = rules::file(&world.store).unwrap();
    assert_eq!((file.version, file.text.as_str()), (RulesVersion(3), "n"));
}

#[test]
fn the_table_of_first_answers_is_bounded() {
    let mut world = World::default();
    let mut largest = 0;
    for number in 0..10_200 {
        apply_rules(&mut world, &format!("c{number}"), 9999, "x");
        largest = largest.max(world.store.len());
    }
    assert!(largest <= 20_010, "{largest} records");
    let current = RulesVersion(0);
    let recent = apply_rules(&mut world, "c10199", 9999, "x");
    assert_eq!(recent, ApplyOutcome::Conflict { current });
}

// ---------------------------------------------------------------------------------------------
// Orders

fn give(world: &mut World, id: &str, action: Action, expect: Option<u64>) -> GiveOrderReply {
    let command = Command::Order(GiveOrder {
        command: id.parse().unwrap(),
        target: "t1".parse().unwrap(),
        action,
        expect: expect.map(FenceNumber),
        now: world.wall(),
    });
    match world.apply(&command) {
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
fn orders_have_rising_numbers_and_a_resent_one_keeps_its_own() {
    let mut world = World::default();
    let GiveOrderReply::Accepted { fence: first } = give(&mut world, "a", load(1), None) else {
        panic!();
    };
    let GiveOrderReply::Accepted { fence: second } = give(&mut world, "b", load(2), None) else {
        panic!();
    };
    assert!(second > first);
    world.now += 5;
    let again = give(&mut world, "a", load(1), None);
    assert_eq!(again, GiveOrderReply::Accepted { fence: first });
    let target = "t1".parse().unwrap();
    assert_eq!(orders::open(&world.store, &target).unwrap().len(), 2);
}

#[test]
fn of_two_operators_who_saw_the_same_order_one_wins() {
    let mut world = World::default();
    let GiveOrderReply::Accepted { fence } = give(&mut world, "a", load(1), Some(0)) else {
        panic!();
    };
    let lost = give(&mut world, "b", load(2), Some(0));
    assert_eq!(lost, GiveOrderReply::Conflict { newest: fence });
    let won = give(&mut world, "c", load(2), Some(fence.0));
    assert!(matches!(won, GiveOrderReply::Accepted { .. }));
}

#[test]
fn an_order_ends_once() {
    let mut world = World::default();
    let target: clem_types::TargetId = "t1".parse().unwrap();
    let GiveOrderReply::Accepted { fence } = give(&mut world, "a", Action::Drain, None) else {
        panic!();
    };
    assert_eq!(orders::drained(&world.store).unwrap(), vec![target.clone()]);
    for outcome in [OrderOutcome::Done, OrderOutcome::Failed("late".to_owned())] {
        let results = vec![OrderResult { fence, outcome }];
        world.apply(&Command::EndOrders(EndOrders {
            target: target.clone(),
            results,
        }));
    }
    assert!(orders::open(&world.store, &target).unwrap().is_empty());
    assert_eq!(orders::ended(&world.store, &target).unwrap(), fence);
    let latest = orders::latest(&world.store, 1).unwrap();
    assert_eq!(latest[0].outcome, Some(OrderOutcome::Done));
    give(&mut world, "b", Action::Resume, None);
    assert!(orders::drained(&world.store).unwrap().is_empty());
}

// ---------------------------------------------------------------------------------------------
// Calls that run at most once

fn once(of: &str, request: u128, body: &str) -> OnceBegin {
    OnceBegin {
        customer: Some(customer(of)),
        route: route("waitlist"),
        key: "confirm-7".to_owned(),
        body: BodyHash::of(body.as_bytes()),
        request: RequestId(request),
    }
}

fn begin_once(world: &mut World, call: OnceBegin) -> OnceBeginReply {
    let now = world.wall();
    match world.apply(&Command::OnceBegin { call, now }) {
        Outcome::OnceBegin(reply) => reply,
        other => panic!("{other:?}"),
    }
}

fn finish_once(world: &mut World, request: u128, outcome: OnceOutcome) {
    world.apply(&Command::OnceFinish(OnceFinish {
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
    let mut world = World::default();
    assert_eq!(
        begin_once(&mut world, once("totara", 1, "x")),
        OnceBeginReply::Go
    );
    // The same request asks again after a lost answer; another one is a resend.
    assert_eq!(
        begin_once(&mut world, once("totara", 1, "x")),
        OnceBeginReply::Go
    );
    assert_eq!(
        begin_once(&mut world, once("totara", 2, "x")),
        OnceBeginReply::Unknown
    );
    assert_eq!(
        begin_once(&mut world, once("totara", 3, "y")),
        OnceBeginReply::Mismatch
    );
    assert_eq!(
        begin_once(&mut world, once("botez", 4, "y")),
        OnceBeginReply::Go
    );
    finish_once(&mut world, 2, OnceOutcome::NotRun);
    assert_eq!(
        begin_once(&mut world, once("totara", 2, "x")),
        OnceBeginReply::Unknown
    );
    finish_once(&mut world, 1, OnceOutcome::Done(result("first")));
    finish_once(&mut world, 1, OnceOutcome::Done(result("second")));
    finish_once(&mut world, 1, OnceOutcome::NotRun);
    let known = OnceBeginReply::Done(result("first"));
    assert_eq!(begin_once(&mut world, once("totara", 2, "x")), known);
}

#[test]
fn a_call_that_did_not_run_may_be_sent_again() {
    let mut world = World::default();
    begin_once(&mut world, once("totara", 1, "x"));
    finish_once(&mut world, 1, OnceOutcome::NotRun);
    assert_eq!(
        begin_once(&mut world, once("totara", 2, "x")),
        OnceBeginReply::Go
    );
}

#[test]
fn records_of_calls_are_kept_for_their_time() {
    let mut world = World::default();
    begin_once(&mut world, once("totara", 1, "x"));
    world.wait(24 * 3600 * 1000 - 1);
    assert_eq!(
        begin_once(&mut world, once("totara", 2, "x")),
        OnceBeginReply::Unknown
    );
    world.wait(2);
    assert_eq!(
        begin_once(&mut world, once("totara", 3, "x")),
        OnceBeginReply::Go
    );
}

// ---------------------------------------------------------------------------------------------
// Crashes

fn crash(world: &mut World, target: &str, number: u64, bodies: &[&str]) -> Vec<Option<Verdict>> {
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
    let now = world.wall();
    match world.apply(&Command::Crash { report, now }) {
        Outcome::Crash(reply) => reply.verdicts,
        other => panic!("{other:?}"),
    }
}

#[test]
fn the_cause_is_pinned_at_the_second_crash_and_bystanders_are_not() {
    let mut world = World::default();
    let (suspect, poison) = (Some(Verdict::Suspect), Some(Verdict::Poison));
    assert_eq!(
        crash(&mut world, "t1", 1, &["bad", "a"]),
        vec![suspect, suspect]
    );
    // The report comes twice.
    assert_eq!(
        crash(&mut world, "t1", 1, &["bad", "a"]),
        vec![suspect, suspect]
    );
    assert_eq!(
        crash(&mut world, "t2", 1, &["bad", "b", "c"]),
        vec![poison, None, None]
    );
    let list = poison::list(&world.store).unwrap();
    assert_eq!(list.entries.len(), 2);
    assert_eq!(list.version, RulesVersion(2));
}

#[test]
fn two_suspects_in_one_crash_tell_nothing() {
    let mut world = World::default();
    let suspect = Some(Verdict::Suspect);
    crash(&mut world, "t1", 1, &["bad", "a"]);
    assert_eq!(
        crash(&mut world, "t2", 1, &["bad", "a", "b"]),
        vec![suspect, suspect, None]
    );
}

#[test]
fn suspects_expire_and_are_bounded_for_each_customer() {
    let mut world = World::default();
    for number in 0..200 {
        crash(&mut world, "t1", number + 1, &[&format!("body {number}")]);
    }
    assert_eq!(poison::list(&world.store).unwrap().entries.len(), 64);
    world.wait(10 * 60 * 1000 + 1);
    assert!(poison::list(&world.store).unwrap().entries.is_empty());
}
