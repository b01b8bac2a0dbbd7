//! Batches: exactly one final outcome for each item, whatever comes in between.

#![allow(clippy::unwrap_used, reason = "a test fails by its panic")]

mod common;

use clem_state::{Command, batch::MAX_LOSSES, poison};
use clem_types::{BatchId, BodyHash, Incarnation};
use clem_wire::{
    batch::{
        AttemptEnd, BatchBeginReply, BatchChunkReply, BatchSealReply, BatchState, ItemOutcome,
        Taken,
    },
    online::{InFlight, ReportCrash},
};

use common::{World, begin, customer, done, item, items, route, stale};

#[test]
fn a_batch_runs_to_its_results() {
    let mut world = World::default();
    let batch = world.submit(1, "totara", None, items(3));
    let leased = world.lease(1, 10);
    assert_eq!(leased.len(), 3);
    assert_eq!(world.view(batch, "totara").unwrap().running, 3);
    for item in &leased {
        let taken = world.finish(1, item.lease, done(&item.content.custom_id));
        assert_eq!(taken, Taken::Yes);
        // The same result again, and one under another attempt, change nothing.
        assert_eq!(world.finish(1, item.lease, done("late")), Taken::Stale);
        assert_eq!(
            world.finish(1, stale(item.lease), done("late")),
            Taken::Stale
        );
    }
    let view = world.view(batch, "totara").unwrap();
    assert_eq!((view.state, view.counts.done), (BatchState::Done, 3));
    let results = world.results(batch, "totara");
    assert_eq!(results.len(), 3);
    for result in results {
        let body = result.custom_id.clone();
        assert_eq!(result.outcome, ItemOutcome::Done { status: 200, body });
    }
}

#[test]
fn nothing_runs_before_the_seal() {
    let mut world = World::default();
    let batch = BatchId(1);
    world.begin(begin(1, "totara", None, None));
    assert_eq!(world.chunk(batch, 0, items(2)), BatchChunkReply::Kept);
    assert!(world.lease(1, 10).is_empty());
    // A seal that misses a chunk or an item is refused.
    assert_eq!(world.seal(batch, 2, 2), BatchSealReply::Superseded);
    assert_eq!(world.seal(batch, 1, 3), BatchSealReply::Superseded);
    assert!(world.lease(1, 10).is_empty());
    assert_eq!(world.seal(batch, 1, 2), BatchSealReply::Accepted { batch });
    assert_eq!(world.lease(1, 10).len(), 2);
}

#[test]
fn a_cut_upload_is_dropped_and_leaves_nothing() {
    let mut world = World::default();
    let empty = world.store.len();
    world.begin(begin(1, "totara", None, Some("job")));
    world.chunk(BatchId(1), 0, items(600));
    world.wait(3600 * 1000 + 1);
    assert_eq!(world.view(BatchId(1), "totara"), None);
    // What stays is the counter of all bytes.
    assert_eq!(world.store.len(), empty + 1);
}

#[test]
fn a_job_sent_again_is_the_same_batch() {
    let mut world = World::default();
    let send = |batch: u128| BatchBeginReply::Send {
        batch: BatchId(batch),
        upload: 1,
    };
    // A cut upload is begun anew, by the same idempotency key, through another entry.
    assert_eq!(world.begin(begin(1, "totara", None, Some("job"))), send(1));
    world.chunk(BatchId(1), 0, items(2));
    assert_eq!(world.begin(begin(2, "totara", None, Some("job"))), send(2));
    assert_eq!(
        world.chunk(BatchId(1), 1, items(2)),
        BatchChunkReply::Superseded
    );
    assert_eq!(world.seal(BatchId(1), 1, 2), BatchSealReply::Superseded);
    assert_eq!(world.chunk(BatchId(2), 0, items(2)), BatchChunkReply::Kept);
    assert_eq!(world.chunk(BatchId(2), 0, items(2)), BatchChunkReply::Kept);
    let accepted = BatchSealReply::Accepted { batch: BatchId(2) };
    assert_eq!(world.seal(BatchId(2), 1, 2), accepted);
    assert_eq!(world.seal(BatchId(2), 1, 2), accepted);
    // After the acceptance a resend gets the batch, and another customer's key is another job.
    let known = BatchBeginReply::Accepted { batch: BatchId(2) };
    assert_eq!(world.begin(begin(3, "totara", None, Some("job"))), known);
    assert_eq!(world.begin(begin(4, "botez", None, Some("job"))), send(4));
    assert_eq!(world.lease(1, 10).len(), 2);
}

#[test]
fn the_same_content_without_a_key_is_the_same_batch() {
    let mut world = World::default();
    let content = BodyHash::of(b"the whole job");
    for batch in [1, 2] {
        world.begin(begin(batch, "totara", None, None));
        world.chunk(BatchId(batch), 0, items(2));
        for _ in 0..2 {
            let reply = world.seal_with(BatchId(batch), 1, 2, content);
            assert_eq!(reply, BatchSealReply::Accepted { batch: BatchId(1) });
        }
    }
    assert_eq!(world.lease(1, 10).len(), 2);
}

#[test]
fn a_doubled_custom_id_is_refused_whole() {
    let mut world = World::default();
    world.begin(begin(1, "totara", None, None));
    let doubled = BatchChunkReply::Doubled {
        custom_id: "i1".to_owned(),
    };
    assert_eq!(world.chunk(BatchId(1), 0, vec![item(1), item(1)]), doubled);
    assert_eq!(
        world.chunk(BatchId(1), 0, vec![item(1)]),
        BatchChunkReply::Kept
    );
    assert_eq!(world.chunk(BatchId(1), 1, vec![item(0), item(1)]), doubled);
    assert_eq!(
        world.chunk(BatchId(1), 1, vec![item(0)]),
        BatchChunkReply::Kept
    );
}

#[test]
fn a_full_store_refuses_new_batches_and_keeps_accepted_ones() {
    let mut world = World::default();
    let batch = world.submit(1, "totara", None, items(3));
    world.room = Some(1);
    let reply = world.begin(begin(2, "totara", None, None));
    assert!(matches!(reply, BatchBeginReply::Full { .. }));
    assert_eq!(world.lease(1, 10).len(), 3);
    assert_eq!(world.view(batch, "totara").unwrap().running, 3);
}

#[test]
fn a_lease_call_that_arrives_twice_leases_once() {
    let mut world = World::default();
    world.submit(1, "totara", None, items(10));
    let call = world.lease_call(1, 4, Vec::new());
    let first = world.send_lease(&call);
    assert_eq!(first.items.len(), 4);
    assert_eq!(world.send_lease(&call), first);
    let older = clem_state::batch::Lease {
        sequence: 0,
        ..call
    };
    assert!(world.send_lease(&older).items.is_empty());
}

#[test]
fn an_agent_that_froze_past_its_lease_cannot_complete_the_item() {
    let mut world = World::default();
    let batch = world.submit(1, "totara", None, items(1));
    let frozen = world.lease(1, 1)[0].lease;
    world.wait(common::LEASE_MS + 1);
    let newer = world.lease(2, 1)[0].lease;
    assert!(newer.attempt > frozen.attempt);
    assert_eq!(world.finish(1, frozen, done("old")), Taken::Stale);
    let call = world.lease_call(1, 0, vec![frozen]);
    assert_eq!(world.send_lease(&call).stop, vec![frozen]);
    assert_eq!(world.finish(2, newer, done("new")), Taken::Yes);
    let results = world.results(batch, "totara");
    assert_eq!(results.len(), 1);
}

#[test]
fn an_agent_that_has_the_item_again_cannot_complete_its_older_attempt() {
    let mut world = World::default();
    world.submit(1, "totara", None, items(1));
    let older = world.lease(1, 1)[0].lease;
    world.wait(common::LEASE_MS + 1);
    let newer = world.lease(1, 1)[0].lease;
    assert_eq!(world.finish(1, older, done("old")), Taken::Stale);
    assert_eq!(world.finish(1, newer, done("new")), Taken::Yes);
}

#[test]
fn a_renewed_lease_goes_on() {
    let mut world = World::default();
    world.submit(1, "totara", None, items(1));
    let lease = world.lease(1, 1)[0].lease;
    for _ in 0..5 {
        world.wait(common::LEASE_MS / 2);
        let call = world.lease_call(1, 0, vec![lease]);
        assert!(world.send_lease(&call).stop.is_empty());
    }
    assert_eq!(world.finish(1, lease, done("x")), Taken::Yes);
}

#[test]
fn an_item_that_is_lost_again_and_again_fails_and_holds_nothing_up() {
    let mut world = World::default();
    let batch = world.submit(1, "totara", None, items(2));
    let mut attempts = 0;
    while world.view(batch, "totara").unwrap().state != BatchState::Done {
        for leased in world.lease(1, 10) {
            if leased.content.custom_id == "i0" {
                attempts += 1;
                let lost = AttemptEnd::Lost { crashed: false };
                world.finish(1, leased.lease, lost);
            } else {
                world.finish(1, leased.lease, done("x"));
            }
        }
    }
    assert_eq!(attempts, MAX_LOSSES);
    let view = world.view(batch, "totara").unwrap();
    assert_eq!((view.counts.done, view.counts.failed), (1, 1));
}

#[test]
fn an_item_given_back_has_lost_no_attempt() {
    let mut world = World::default();
    let batch = world.submit(1, "totara", None, items(1));
    for _ in 0..20 {
        let lease = world.lease(1, 1)[0].lease;
        assert_eq!(world.finish(1, lease, AttemptEnd::Returned), Taken::Yes);
    }
    let lease = world.lease(1, 1)[0].lease;
    world.finish(1, lease, done("x"));
    assert_eq!(world.view(batch, "totara").unwrap().counts.done, 1);
}

#[test]
fn an_item_that_may_not_be_repeated_is_dispatched_once() {
    let mut world = World::default();
    let mut once = item(0);
    once.idempotent = false;
    let batch = world.submit(1, "totara", None, vec![once]);
    let lease = world.lease(1, 1)[0].lease;
    world.wait(common::LEASE_MS + 1);
    assert!(world.lease(2, 1).is_empty());
    assert_eq!(world.finish(1, lease, done("late")), Taken::Stale);
    let results = world.results(batch, "totara");
    assert_eq!(results[0].outcome, ItemOutcome::Unknown);
    assert_eq!(world.view(batch, "totara").unwrap().state, BatchState::Done);
}

fn crash(world: &mut World, number: u64, bodies: &[&str]) {
    let mut requests = Vec::new();
    for body in bodies {
        requests.push(InFlight {
            customer: Some(customer("totara")),
            body: BodyHash::of(body.as_bytes()),
            suspect: false,
        });
    }
    let report = ReportCrash {
        target: "t1".parse().unwrap(),
        incarnation: Incarnation(1),
        crash: number,
        requests,
    };
    let now = world.wall();
    world.apply(&Command::Crash { report, now });
}

#[test]
fn an_item_that_crashes_targets_is_poisoned_after_two_crashes() {
    let mut world = World::default();
    let batch = world.submit(1, "totara", None, items(2));
    let bad = item(0).body;
    let leased = world.lease(1, 2);
    let bodies: Vec<&str> = leased.iter().map(|l| l.content.body.as_str()).collect();
    crash(&mut world, 1, &bodies);
    for item in &leased {
        world.finish(1, item.lease, AttemptEnd::Lost { crashed: true });
    }
    let leased = world.lease(1, 2);
    assert!(leased.iter().all(|item| item.suspect));
    // The agent runs suspects apart: the bad one crashes the target alone.
    crash(&mut world, 2, &[&bad]);
    for item in &leased {
        let end = if item.content.body == bad {
            AttemptEnd::Lost { crashed: true }
        } else {
            done("x")
        };
        world.finish(1, item.lease, end);
    }
    let view = world.view(batch, "totara").unwrap();
    assert_eq!((view.counts.done, view.counts.poisoned), (1, 1));
    // The same body in another batch is settled without a run.
    let again = world.submit(2, "totara", None, items(1));
    assert!(world.lease(1, 1).is_empty());
    assert_eq!(world.view(again, "totara").unwrap().counts.poisoned, 1);
    assert_eq!(poison::list(&world.store).unwrap().entries.len(), 2);
}

#[test]
fn a_cancelled_batch_stops() {
    let mut world = World::default();
    let batch = world.submit(1, "totara", None, items(5));
    let leased = world.lease(1, 2);
    world.finish(1, leased[0].lease, done("x"));
    // Another customer finds no such batch.
    assert_eq!(world.cancel(batch, "botez").view, None);
    let outcome = world.cancel(batch, "totara");
    assert_eq!(outcome.running.len(), 1);
    assert_eq!(outcome.view.unwrap().state, BatchState::Cancelling);
    assert!(world.lease(2, 10).is_empty());
    let call = world.lease_call(1, 0, vec![leased[1].lease]);
    assert_eq!(world.send_lease(&call).stop, vec![leased[1].lease]);
    // Cancelled twice is no error.
    assert_eq!(world.cancel(batch, "totara").running.len(), 1);
    world.finish(1, leased[1].lease, AttemptEnd::Returned);
    let view = world.view(batch, "totara").unwrap();
    assert_eq!(view.state, BatchState::Cancelled);
    assert_eq!((view.counts.done, view.counts.cancelled), (1, 4));
    assert_eq!(world.results(batch, "totara").len(), 5);
    assert_eq!(world.cancel(batch, "totara").view.unwrap(), view);
    assert!(world.lease(2, 10).is_empty());
}

#[test]
fn customers_share_a_route_evenly_and_small_batches_do_not_starve() {
    let mut world = World::default();
    let giant = world.submit(1, "totara", Some(5), items(400));
    let small = world.submit(2, "totara", Some(1_000_000), items(20));
    let other = world.submit(3, "botez", None, items(100));
    for _ in 0..160 {
        let leased = world.lease(1, 1);
        world.finish(1, leased[0].lease, done("x"));
    }
    let ended = |batch, of| world.view(batch, of).unwrap().counts.done;
    assert_eq!(ended(other, "botez"), 80);
    assert_eq!(ended(small, "totara"), 20);
    assert_eq!(ended(giant, "totara"), 60);
}

#[test]
fn an_idle_customer_saves_up_no_share() {
    let mut world = World::default();
    world.submit(1, "totara", None, items(100));
    for _ in 0..50 {
        world.lease(1, 1);
    }
    world.submit(2, "botez", None, items(100));
    let leased = world.lease(1, 40);
    let late = leased
        .iter()
        .filter(|item| item.customer == customer("botez"))
        .count();
    assert!((19..=21).contains(&late), "{late} of 40");
}

#[test]
fn routes_are_leased_only_to_those_that_serve_them() {
    let mut world = World::default();
    let mut other = item(1);
    other.route = route("hours");
    world.submit(1, "totara", None, vec![item(0), other]);
    let leased = world.lease(1, 10);
    assert_eq!(leased.len(), 1);
    assert_eq!(leased[0].content.route, route("assistant"));
}

#[test]
fn a_batch_in_danger_is_said_so_early() {
    let mut world = World::default();
    let batch = world.submit(1, "totara", Some(10_000), items(10));
    assert!(!world.view(batch, "totara").unwrap().endangered);
    world.now = 3000;
    let leased = world.lease(1, 2);
    world.finish(1, leased[0].lease, done("x"));
    // One of ten after 3 s: the rest needs 27 s.
    assert!(world.view(batch, "totara").unwrap().endangered);
    let listed = clem_state::batch::endangered(&world.store, world.wall(), 10).unwrap();
    assert_eq!(listed.len(), 1);
}

#[test]
fn results_are_kept_for_their_time_and_then_dropped_in_steps() {
    let mut world = World::default();
    let batch = world.submit(1, "totara", Some(50), items(1500));
    while let leased @ [_, ..] = &world.lease(1, 200)[..] {
        for item in leased {
            world.finish(1, item.lease, done("x"));
        }
    }
    assert_eq!(world.results(batch, "totara").len(), 1500);
    world.wait(common::RETENTION_MS - 1);
    assert_eq!(world.results(batch, "totara").len(), 1500);
    let before = world.index;
    world.wait(2);
    assert!(world.index - before >= 3, "dropped in steps");
    assert_eq!(world.view(batch, "totara"), None);
    assert!(world.store.len() < 20, "{} records left", world.store.len());
}

#[test]
fn open_batches_of_customers_that_are_gone_are_found() {
    let mut world = World::default();
    let gone = [1, 2].map(|number| world.submit(number, "totara", None, items(1)));
    world.submit(3, "botez", None, items(1));
    let ended = world.submit(4, "totara", None, Vec::new());
    assert_eq!(world.view(ended, "totara").unwrap().state, BatchState::Done);
    let known = |id: &clem_types::CustomerId| id.as_str() == "botez";
    let calls = clem_state::batch::orphaned(&world.store, known, 10).unwrap();
    let found: Vec<BatchId> = calls.iter().map(|call| call.batch).collect();
    assert_eq!(found, gone);
    for batch in gone {
        world.cancel(batch, "totara");
    }
    let calls = clem_state::batch::orphaned(&world.store, known, 10).unwrap();
    assert!(calls.is_empty());
}
