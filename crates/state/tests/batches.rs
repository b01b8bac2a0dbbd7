//! Tests of batches: each item gets exactly one final outcome.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod common;

use clem_state::{Command, batch::MAX_LOSSES, poison};
use clem_types::{BatchId, BodyHash, Incarnation};
use clem_wire::{
    batch::{
        AttemptEnd, BatchBeginReply, BatchChunkReply, BatchSealReply, BatchState, ItemOutcome,
        Recorded,
    },
    online::{InFlight, ReportCrash},
};

use common::{Harness, begin, customer, done, item, items, route, stale};

#[test]
fn a_batch_completes_with_all_results() {
    let mut harness = Harness::default();
    let batch = harness.submit(1, "totara", None, items(3));
    let leased = harness.lease(1, 10);
    assert_eq!(leased.len(), 3);
    assert_eq!(harness.view(batch, "totara").unwrap().running, 3);
    for item in &leased {
        let taken = harness.finish(1, item.lease, done(&item.content.custom_id));
        assert_eq!(taken, Recorded::Yes);
        // A resent result, and one for another attempt, change nothing.
        assert_eq!(harness.finish(1, item.lease, done("late")), Recorded::Stale);
        assert_eq!(
            harness.finish(1, stale(item.lease), done("late")),
            Recorded::Stale
        );
    }
    let view = harness.view(batch, "totara").unwrap();
    assert_eq!((view.state, view.counts.done), (BatchState::Done, 3));
    let results = harness.results(batch, "totara");
    assert_eq!(results.len(), 3);
    for result in results {
        let body = result.custom_id.clone();
        assert_eq!(result.outcome, ItemOutcome::Done { status: 200, body });
    }
}

#[test]
fn no_item_is_leased_before_the_seal() {
    let mut harness = Harness::default();
    let batch = BatchId(1);
    harness.begin(begin(1, "totara", None, None));
    assert_eq!(harness.chunk(batch, 0, items(2)), BatchChunkReply::Kept);
    assert!(harness.lease(1, 10).is_empty());
    // A seal whose counts don't match the upload is refused.
    assert_eq!(harness.seal(batch, 2, 2), BatchSealReply::Superseded);
    assert_eq!(harness.seal(batch, 1, 3), BatchSealReply::Superseded);
    assert!(harness.lease(1, 10).is_empty());
    assert_eq!(
        harness.seal(batch, 1, 2),
        BatchSealReply::Accepted { batch }
    );
    assert_eq!(harness.lease(1, 10).len(), 2);
}

#[test]
fn an_abandoned_upload_expires_and_leaves_no_records() {
    let mut harness = Harness::default();
    let empty = harness.store.len();
    harness.begin(begin(1, "totara", None, Some("job")));
    harness.chunk(BatchId(1), 0, items(600));
    harness.wait(3600 * 1000 + 1);
    assert_eq!(harness.view(BatchId(1), "totara"), None);
    // Only the record with the total size of all batches remains.
    assert_eq!(harness.store.len(), empty + 1);
}

#[test]
fn a_job_sent_again_is_the_same_batch() {
    let mut harness = Harness::default();
    let send = |batch: u128| BatchBeginReply::Send {
        batch: BatchId(batch),
        upload: 1,
    };
    // An interrupted upload is restarted through another entry with the same idempotency key.
    assert_eq!(
        harness.begin(begin(1, "totara", None, Some("job"))),
        send(1)
    );
    harness.chunk(BatchId(1), 0, items(2));
    assert_eq!(
        harness.begin(begin(2, "totara", None, Some("job"))),
        send(2)
    );
    assert_eq!(
        harness.chunk(BatchId(1), 1, items(2)),
        BatchChunkReply::Superseded
    );
    assert_eq!(harness.seal(BatchId(1), 1, 2), BatchSealReply::Superseded);
    assert_eq!(
        harness.chunk(BatchId(2), 0, items(2)),
        BatchChunkReply::Kept
    );
    assert_eq!(
        harness.chunk(BatchId(2), 0, items(2)),
        BatchChunkReply::Kept
    );
    let accepted = BatchSealReply::Accepted { batch: BatchId(2) };
    assert_eq!(harness.seal(BatchId(2), 1, 2), accepted);
    assert_eq!(harness.seal(BatchId(2), 1, 2), accepted);
    // A resend after acceptance returns the batch; the same key of another customer is another job.
    let known = BatchBeginReply::Accepted { batch: BatchId(2) };
    assert_eq!(harness.begin(begin(3, "totara", None, Some("job"))), known);
    assert_eq!(harness.begin(begin(4, "botez", None, Some("job"))), send(4));
    assert_eq!(harness.lease(1, 10).len(), 2);
}

#[test]
fn the_same_content_without_a_key_is_the_same_batch() {
    let mut harness = Harness::default();
    let content = BodyHash::of(b"the whole job");
    for batch in [1, 2] {
        harness.begin(begin(batch, "totara", None, None));
        harness.chunk(BatchId(batch), 0, items(2));
        for _ in 0..2 {
            let reply = harness.seal_with(BatchId(batch), 1, 2, content);
            assert_eq!(reply, BatchSealReply::Accepted { batch: BatchId(1) });
        }
    }
    assert_eq!(harness.lease(1, 10).len(), 2);
}

#[test]
fn a_chunk_with_a_duplicate_custom_id_is_refused() {
    let mut harness = Harness::default();
    harness.begin(begin(1, "totara", None, None));
    let doubled = BatchChunkReply::Doubled {
        custom_id: "i1".to_owned(),
    };
    assert_eq!(
        harness.chunk(BatchId(1), 0, vec![item(1), item(1)]),
        doubled
    );
    assert_eq!(
        harness.chunk(BatchId(1), 0, vec![item(1)]),
        BatchChunkReply::Kept
    );
    assert_eq!(
        harness.chunk(BatchId(1), 1, vec![item(0), item(1)]),
        doubled
    );
    assert_eq!(
        harness.chunk(BatchId(1), 1, vec![item(0)]),
        BatchChunkReply::Kept
    );
}

#[test]
fn a_full_store_refuses_new_batches_and_keeps_accepted_ones() {
    let mut harness = Harness::default();
    let batch = harness.submit(1, "totara", None, items(3));
    harness.room = Some(1);
    let reply = harness.begin(begin(2, "totara", None, None));
    assert!(matches!(reply, BatchBeginReply::Full { .. }));
    assert_eq!(harness.lease(1, 10).len(), 3);
    assert_eq!(harness.view(batch, "totara").unwrap().running, 3);
}

#[test]
fn a_resent_lease_call_returns_the_same_items() {
    let mut harness = Harness::default();
    harness.submit(1, "totara", None, items(10));
    let call = harness.lease_call(1, 4, Vec::new());
    let first = harness.send_lease(&call);
    assert_eq!(first.items.len(), 4);
    assert_eq!(harness.send_lease(&call), first);
    let older = clem_state::batch::Lease {
        sequence: 0,
        ..call
    };
    assert!(harness.send_lease(&older).items.is_empty());
}

#[test]
fn an_agent_that_froze_past_its_lease_cannot_complete_the_item() {
    let mut harness = Harness::default();
    let batch = harness.submit(1, "totara", None, items(1));
    let frozen = harness.lease(1, 1)[0].lease;
    harness.wait(common::LEASE_MS + 1);
    let newer = harness.lease(2, 1)[0].lease;
    assert!(newer.attempt > frozen.attempt);
    assert_eq!(harness.finish(1, frozen, done("old")), Recorded::Stale);
    let call = harness.lease_call(1, 0, vec![frozen]);
    assert_eq!(harness.send_lease(&call).stop, vec![frozen]);
    assert_eq!(harness.finish(2, newer, done("new")), Recorded::Yes);
    let results = harness.results(batch, "totara");
    assert_eq!(results.len(), 1);
}

#[test]
fn an_agent_cannot_complete_its_own_older_attempt() {
    let mut harness = Harness::default();
    harness.submit(1, "totara", None, items(1));
    let older = harness.lease(1, 1)[0].lease;
    harness.wait(common::LEASE_MS + 1);
    let newer = harness.lease(1, 1)[0].lease;
    assert_eq!(harness.finish(1, older, done("old")), Recorded::Stale);
    assert_eq!(harness.finish(1, newer, done("new")), Recorded::Yes);
}

#[test]
fn a_renewed_lease_stays_valid() {
    let mut harness = Harness::default();
    harness.submit(1, "totara", None, items(1));
    let lease = harness.lease(1, 1)[0].lease;
    for _ in 0..5 {
        harness.wait(common::LEASE_MS / 2);
        let call = harness.lease_call(1, 0, vec![lease]);
        assert!(harness.send_lease(&call).stop.is_empty());
    }
    assert_eq!(harness.finish(1, lease, done("x")), Recorded::Yes);
}

#[test]
fn an_item_fails_after_repeated_losses_without_blocking_others() {
    let mut harness = Harness::default();
    let batch = harness.submit(1, "totara", None, items(2));
    let mut attempts = 0;
    while harness.view(batch, "totara").unwrap().state != BatchState::Done {
        for leased in harness.lease(1, 10) {
            if leased.content.custom_id == "i0" {
                attempts += 1;
                let lost = AttemptEnd::Lost { crashed: false };
                harness.finish(1, leased.lease, lost);
            } else {
                harness.finish(1, leased.lease, done("x"));
            }
        }
    }
    assert_eq!(attempts, MAX_LOSSES);
    let view = harness.view(batch, "totara").unwrap();
    assert_eq!((view.counts.done, view.counts.failed), (1, 1));
}

#[test]
fn a_returned_item_does_not_count_as_lost() {
    let mut harness = Harness::default();
    let batch = harness.submit(1, "totara", None, items(1));
    for _ in 0..20 {
        let lease = harness.lease(1, 1)[0].lease;
        assert_eq!(
            harness.finish(1, lease, AttemptEnd::Returned),
            Recorded::Yes
        );
    }
    let lease = harness.lease(1, 1)[0].lease;
    harness.finish(1, lease, done("x"));
    assert_eq!(harness.view(batch, "totara").unwrap().counts.done, 1);
}

#[test]
fn a_non_idempotent_item_is_leased_once() {
    let mut harness = Harness::default();
    let mut once = item(0);
    once.idempotent = false;
    let batch = harness.submit(1, "totara", None, vec![once]);
    let lease = harness.lease(1, 1)[0].lease;
    harness.wait(common::LEASE_MS + 1);
    assert!(harness.lease(2, 1).is_empty());
    assert_eq!(harness.finish(1, lease, done("late")), Recorded::Stale);
    let results = harness.results(batch, "totara");
    assert_eq!(results[0].outcome, ItemOutcome::Unknown);
    assert_eq!(
        harness.view(batch, "totara").unwrap().state,
        BatchState::Done
    );
}

fn crash(harness: &mut Harness, number: u64, bodies: &[&str]) {
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
    let now = harness.time();
    harness.apply(&Command::Crash { report, now });
}

#[test]
fn an_item_that_crashes_targets_is_poisoned_after_two_crashes() {
    let mut harness = Harness::default();
    let batch = harness.submit(1, "totara", None, items(2));
    let bad = item(0).body;
    let leased = harness.lease(1, 2);
    let bodies: Vec<&str> = leased.iter().map(|l| l.content.body.as_str()).collect();
    crash(&mut harness, 1, &bodies);
    for item in &leased {
        harness.finish(1, item.lease, AttemptEnd::Lost { crashed: true });
    }
    let leased = harness.lease(1, 2);
    assert!(leased.iter().all(|item| item.suspect));
    // Agents run at most one suspect at a time, so the bad item is alone at its second crash.
    crash(&mut harness, 2, &[&bad]);
    for item in &leased {
        let end = if item.content.body == bad {
            AttemptEnd::Lost { crashed: true }
        } else {
            done("x")
        };
        harness.finish(1, item.lease, end);
    }
    let view = harness.view(batch, "totara").unwrap();
    assert_eq!((view.counts.done, view.counts.poisoned), (1, 1));
    // The same body in another batch is settled without being leased.
    let again = harness.submit(2, "totara", None, items(1));
    assert!(harness.lease(1, 1).is_empty());
    assert_eq!(harness.view(again, "totara").unwrap().counts.poisoned, 1);
    assert_eq!(poison::list(&harness.store).unwrap().entries.len(), 2);
}

#[test]
fn a_sound_item_in_flight_in_a_burst_of_crashes_is_still_owed() {
    let mut harness = Harness::default();
    let batch = harness.submit(1, "totara", None, items(1));
    let body = item(0).body;
    for number in 1..=5 {
        let leased = harness.lease(1, 1);
        assert_eq!(leased.len(), 1, "not leased before crash {number}");
        crash(&mut harness, number, &[&body]);
        let lost = AttemptEnd::Lost { crashed: true };
        harness.finish(1, leased[0].lease, lost);
    }
    let leased = harness.lease(1, 1);
    assert_eq!(leased.len(), 1);
    harness.finish(1, leased[0].lease, done("x"));
    assert_eq!(harness.view(batch, "totara").unwrap().counts.done, 1);
}

#[test]
fn a_cancelled_batch_stops() {
    let mut harness = Harness::default();
    let batch = harness.submit(1, "totara", None, items(5));
    let leased = harness.lease(1, 2);
    harness.finish(1, leased[0].lease, done("x"));
    // Another customer's cancel doesn't find the batch.
    assert_eq!(harness.cancel(batch, "botez").view, None);
    let outcome = harness.cancel(batch, "totara");
    assert_eq!(outcome.running.len(), 1);
    assert_eq!(outcome.view.unwrap().state, BatchState::Cancelling);
    assert!(harness.lease(2, 10).is_empty());
    let call = harness.lease_call(1, 0, vec![leased[1].lease]);
    assert_eq!(harness.send_lease(&call).stop, vec![leased[1].lease]);
    // A second cancel is no error.
    assert_eq!(harness.cancel(batch, "totara").running.len(), 1);
    harness.finish(1, leased[1].lease, AttemptEnd::Returned);
    let view = harness.view(batch, "totara").unwrap();
    assert_eq!(view.state, BatchState::Cancelled);
    assert_eq!((view.counts.done, view.counts.cancelled), (1, 4));
    assert_eq!(harness.results(batch, "totara").len(), 5);
    assert_eq!(harness.cancel(batch, "totara").view.unwrap(), view);
    assert!(harness.lease(2, 10).is_empty());
}

#[test]
fn customers_share_a_route_evenly_and_small_batches_do_not_starve() {
    let mut harness = Harness::default();
    let giant = harness.submit(1, "totara", Some(5), items(400));
    let small = harness.submit(2, "totara", Some(1_000_000), items(20));
    let other = harness.submit(3, "botez", None, items(100));
    for _ in 0..160 {
        let leased = harness.lease(1, 1);
        harness.finish(1, leased[0].lease, done("x"));
    }
    let ended = |batch, of| harness.view(batch, of).unwrap().counts.done;
    assert_eq!(ended(other, "botez"), 80);
    assert_eq!(ended(small, "totara"), 20);
    assert_eq!(ended(giant, "totara"), 60);
}

#[test]
fn an_idle_customer_gains_no_credit() {
    let mut harness = Harness::default();
    harness.submit(1, "totara", None, items(100));
    for _ in 0..50 {
        harness.lease(1, 1);
    }
    harness.submit(2, "botez", None, items(100));
    let leased = harness.lease(1, 40);
    let late = leased
        .iter()
        .filter(|item| item.customer == customer("botez"))
        .count();
    assert!((19..=21).contains(&late), "{late} of 40");
}

#[test]
fn items_are_leased_only_to_agents_that_serve_their_route() {
    let mut harness = Harness::default();
    let mut other = item(1);
    other.route = route("hours");
    harness.submit(1, "totara", None, vec![item(0), other]);
    let leased = harness.lease(1, 10);
    assert_eq!(leased.len(), 1);
    assert_eq!(leased[0].content.route, route("assistant"));
}

#[test]
fn a_batch_that_will_miss_its_deadline_is_reported_early() {
    let mut harness = Harness::default();
    let batch = harness.submit(1, "totara", Some(10_000), items(10));
    assert!(!harness.view(batch, "totara").unwrap().endangered);
    harness.now = 3000;
    let leased = harness.lease(1, 2);
    harness.finish(1, leased[0].lease, done("x"));
    // One of ten items took 3 s, so the rest will take 27 s.
    assert!(harness.view(batch, "totara").unwrap().endangered);
    let listed = clem_state::batch::endangered(&harness.store, harness.time(), 10).unwrap();
    assert_eq!(listed.len(), 1);
}

#[test]
fn results_expire_after_their_retention_in_steps() {
    let mut harness = Harness::default();
    let batch = harness.submit(1, "totara", Some(50), items(1500));
    while let leased @ [_, ..] = &harness.lease(1, 200)[..] {
        for item in leased {
            harness.finish(1, item.lease, done("x"));
        }
    }
    assert_eq!(harness.results(batch, "totara").len(), 1500);
    harness.wait(common::RETENTION_MS - 1);
    assert_eq!(harness.results(batch, "totara").len(), 1500);
    let before = harness.index;
    harness.wait(2);
    assert!(harness.index - before >= 3, "dropped in steps");
    assert_eq!(harness.view(batch, "totara"), None);
    assert!(
        harness.store.len() < 20,
        "{} records left",
        harness.store.len()
    );
}

#[test]
fn open_batches_of_removed_customers_are_found() {
    let mut harness = Harness::default();
    let gone = [1, 2].map(|number| harness.submit(number, "totara", None, items(1)));
    harness.submit(3, "botez", None, items(1));
    let ended = harness.submit(4, "totara", None, Vec::new());
    assert_eq!(
        harness.view(ended, "totara").unwrap().state,
        BatchState::Done
    );
    let known = |id: &clem_types::CustomerId| id.as_str() == "botez";
    let calls = clem_state::batch::orphaned(&harness.store, known, 10).unwrap();
    let found: Vec<BatchId> = calls.iter().map(|call| call.batch).collect();
    assert_eq!(found, gone);
    for batch in gone {
        harness.cancel(batch, "totara");
    }
    let calls = clem_state::batch::orphaned(&harness.store, known, 10).unwrap();
    assert!(calls.is_empty());
}
