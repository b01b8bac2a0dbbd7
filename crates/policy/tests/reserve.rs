//! Batch items at targets that must be probed or are limited, without online requests.

mod loads;

use std::time::Duration;

use clem_policy::dispatch::{
    Dispatcher, GrantOutcome, LimitReport, SlotRequest, TargetSlots, Ticket, Urgency, Verdict,
};
use clem_types::{Rate, Time};
use loads::{SERVICE, want};

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn dispatcher(targets: usize, slots: u32) -> Dispatcher {
    let mut dispatcher = Dispatcher::default();
    let one = |number| TargetSlots {
        target: format!("t{number}"),
        data_centre: "dc".to_owned(),
        slots,
        version: None,
    };
    let list: Vec<_> = (0..targets).map(one).collect();
    dispatcher.set_targets(Time::ZERO, SERVICE, &list);
    dispatcher
}

/// Asks again and again, as a batch keeper does; returns when a slot was granted, and the ticket.
fn item_granted(dispatcher: &mut Dispatcher, from: u64) -> Option<(u64, Ticket)> {
    let mut now = from;
    while now < from + 60_000 {
        let ticket = Ticket(now + 1);
        let asked = SlotRequest {
            urgency: Urgency::Batch {
                due: Duration::from_secs(10),
            },
            queue_timeout: Duration::from_millis(1200),
            ..want(ticket.0)
        };
        dispatcher.request_slot(at(now), asked);
        loop {
            dispatcher.report(at(now), "front", &[]);
            dispatcher.tick(at(now));
            match dispatcher.take_decided().pop() {
                Some((_, Verdict::Granted { .. })) => return Some((now, ticket)),
                Some(_) => break,
                None => now += 20,
            }
        }
        now += 150;
    }
    None
}

#[test]
fn items_probe_targets_that_had_failed_when_no_online_request_does() {
    let mut stuck = Vec::new();
    for (targets, slots) in [(1, 8), (1, 12), (1, 24), (3, 8), (3, 12), (3, 16), (18, 12)] {
        let mut dispatcher = dispatcher(targets, slots);
        // Each target was silent once.
        let mut tickets = Vec::new();
        for number in 0..targets as u64 {
            dispatcher.request_slot(at(0), want(1_000_000 + number));
            for (ticket, verdict) in dispatcher.take_decided() {
                assert!(matches!(verdict, Verdict::Granted { .. }), "{verdict:?}");
                tickets.push(ticket);
            }
        }
        for ticket in tickets {
            dispatcher.release(at(100), ticket, GrantOutcome::Silent);
        }
        if item_granted(&mut dispatcher, 5000).is_none() {
            stuck.push((targets, slots));
        }
    }
    assert!(
        stuck.is_empty(),
        "no slot in 60 s with (targets, slots): {stuck:?}"
    );
}

#[test]
fn items_run_at_limited_targets_when_no_online_request_does() {
    let mut stuck = Vec::new();
    for (targets, slots) in [(1, 8), (1, 12), (1, 24), (3, 8), (3, 24), (18, 24)] {
        let mut dispatcher = dispatcher(targets, slots);
        for number in 0..targets {
            let report = LimitReport {
                ticket: Ticket(7),
                target: format!("t{number}"),
                rate: Some(Rate::per_second(2)),
            };
            dispatcher.note_limit(at(0), &report);
        }
        if item_granted(&mut dispatcher, 5000).is_none() {
            stuck.push((targets, slots));
        }
    }
    assert!(
        stuck.is_empty(),
        "no slot in 60 s with (targets, slots): {stuck:?}"
    );
}
