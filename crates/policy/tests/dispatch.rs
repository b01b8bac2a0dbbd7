//! Scheduling, admission control and preemption of the dispatcher under simulated workloads.

mod loads;

use std::time::Duration;

use clem_policy::dispatch::{
    Dispatcher, GrantOutcome, HeldGrant, RateLimit, SlotRequest, TargetSlots, Ticket, Urgency,
    Verdict,
};
use clem_types::Time;
use loads::{SERVICE, want};

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn dispatcher(targets: usize, slots: u32) -> Dispatcher {
    let mut dispatcher = Dispatcher::default();
    let list: Vec<TargetSlots> = (0..targets).map(|n| target(n, slots)).collect();
    dispatcher.set_targets(at(0), SERVICE, &list);
    dispatcher
}

fn target(number: usize, slots: u32) -> TargetSlots {
    TargetSlots {
        target: format!("t{number}"),
        data_centre: "a".to_owned(),
        slots,
        version: None,
    }
}

fn item(ticket: u64, due: u64) -> SlotRequest {
    SlotRequest {
        holder: "keeper".to_owned(),
        rank: 2,
        urgency: Urgency::Batch { due: ms(due) },
        queue_timeout: ms(5000),
        ..want(ticket)
    }
}

fn verdict(dispatcher: &mut Dispatcher, ticket: u64) -> Option<Verdict> {
    let decided = dispatcher.take_decided();
    let found = decided.iter().find(|(known, _)| known.0 == ticket);
    found.map(|(_, verdict)| verdict.clone())
}

fn is_granted(verdict: &Option<Verdict>) -> bool {
    matches!(verdict, Some(Verdict::Granted { .. }))
}

#[test]
fn an_online_request_goes_before_items_that_came_earlier() {
    let mut dispatcher = dispatcher(1, 1);
    dispatcher.request_slot(at(0), want(1));
    assert!(is_granted(&verdict(&mut dispatcher, 1)));
    dispatcher.request_slot(at(1), item(2, 10));
    let mut patient = want(3);
    patient.on_time = ms(2000);
    dispatcher.request_slot(at(2), patient);
    dispatcher.release(at(50), Ticket(1), GrantOutcome::Answered);
    assert!(is_granted(&verdict(&mut dispatcher, 3)));
}

#[test]
fn a_burst_of_online_requests_preempts_the_youngest_items() {
    let mut dispatcher = dispatcher(2, 8);
    for ticket in 0..14 {
        dispatcher.request_slot(at(ticket), item(ticket, 10_000));
    }
    assert_eq!(dispatcher.take_decided().len(), 14);
    for ticket in 100..105 {
        dispatcher.request_slot(at(1000), want(ticket));
    }
    let granted = dispatcher
        .take_decided()
        .iter()
        .filter(|(_, v)| is_granted(&Some(v.clone())))
        .count();
    assert_eq!(granted, 2, "the slots reserved for online requests");
    let recalled = dispatcher.take_recalls("keeper");
    assert_eq!(recalled, [Ticket(13), Ticket(12), Ticket(11)]);
    for ticket in recalled {
        dispatcher.release(at(1005), ticket, GrantOutcome::Answered);
    }
    assert_eq!(
        dispatcher.take_decided().len(),
        3,
        "the preempted slots go to the other three"
    );
}

#[test]
fn items_run_in_order_of_due_time() {
    let mut dispatcher = dispatcher(1, 2);
    dispatcher.request_slot(at(0), item(1, 9000));
    assert!(is_granted(&verdict(&mut dispatcher, 1)));
    dispatcher.request_slot(at(1), item(2, 9000));
    dispatcher.request_slot(at(2), item(3, 2000));
    dispatcher.release(at(3), Ticket(1), GrantOutcome::Answered);
    assert!(is_granted(&verdict(&mut dispatcher, 3)));
}

/// At twice the capacity, requests are either refused quickly or granted in time.
#[test]
fn requests_that_would_be_late_are_refused_quickly() {
    let mut dispatcher = dispatcher(4, 8);
    let mut running: Vec<(u64, u64)> = Vec::new();
    let mut asked = std::collections::HashMap::new();
    let (mut late, mut granted, mut refused) = (0, 0, 0);
    let mut ticket = 0;
    for now in 0..6000 {
        running.retain(|(ticket, end)| {
            let over = *end <= now;
            if over {
                dispatcher.release(at(now), Ticket(*ticket), GrantOutcome::Answered);
            }
            !over
        });
        // 32 slots with 500 ms per request serve 64 requests a second; 125 a second arrive.
        if now % 8 == 0 {
            ticket += 1;
            asked.insert(ticket, now);
            dispatcher.request_slot(at(now), want(ticket));
        }
        dispatcher.tick(at(now));
        for (ticket, verdict) in dispatcher.take_decided() {
            let waited = now - asked[&ticket.0];
            match verdict {
                Verdict::Granted { .. } => {
                    granted += 1;
                    late += u32::from(waited > 240);
                    running.push((ticket.0, now + 500));
                }
                Verdict::Busy { retry, .. } => {
                    refused += 1;
                    assert!(retry >= ms(50));
                    assert!(waited <= 75, "refused only after {waited} ms");
                }
                Verdict::OverRate { .. }
                | Verdict::NoTarget
                | Verdict::Harmful
                | Verdict::Unresumable => {
                    panic!("{verdict:?}")
                }
            }
        }
    }
    assert!(granted >= 350, "the slots are not used: {granted}");
    assert!(refused >= 300, "too few refusals: {refused}");
    assert_eq!(late, 0, "late requests, of {granted} granted");
}

/// Guards against counting a caller's disconnect or a stopped item as a failure of the target: 2 of
/// 72 slots were in use while 88 items waited.
#[test]
fn requests_that_nobody_wants_any_more_say_nothing_of_their_target() {
    let mut dispatcher = dispatcher(1, 8);
    for ticket in 0..6 {
        dispatcher.request_slot(at(ticket), want(ticket));
        dispatcher.release(at(ticket), Ticket(ticket), GrantOutcome::Lost);
    }
    dispatcher.take_decided();
    for ticket in 10..18 {
        dispatcher.request_slot(at(100), want(ticket));
    }
    assert_eq!(dispatcher.take_decided().len(), 8);
}

/// After a cooldown, a target gets one probe request, and all its slots once the probe has run for
/// a while, without waiting for its answer.
#[test]
fn a_target_is_fully_used_after_its_probe_has_run_for_a_while() {
    let mut dispatcher = dispatcher(1, 8);
    dispatcher.request_slot(at(0), want(1));
    dispatcher.release(at(1), Ticket(1), GrantOutcome::Unreachable);
    dispatcher.request_slot(at(100), item(2, 60_000));
    dispatcher.request_slot(at(100), item(3, 60_000));
    assert!(
        !is_granted(&verdict(&mut dispatcher, 2)),
        "the target is in its cooldown"
    );
    // Keeps the holder from timing out.
    dispatcher.report(at(600), "keeper", &[]);
    dispatcher.tick(at(700));
    assert!(is_granted(&verdict(&mut dispatcher, 2)));
    dispatcher.tick(at(900));
    assert!(
        !is_granted(&verdict(&mut dispatcher, 3)),
        "only one probe request"
    );
    dispatcher.tick(at(1300));
    assert!(is_granted(&verdict(&mut dispatcher, 3)));
}

#[test]
fn no_window_holds_more_than_rate_and_burst() {
    let mut dispatcher = dispatcher(50, 50);
    let limit = RateLimit {
        rate: 20.0,
        burst: 10.0,
    };
    let rates = [("c".to_owned(), limit)].into();
    dispatcher.set_rates(at(0), &rates, 10.0);
    let mut granted = Vec::new();
    for now in 0..4000 {
        let mut asked = want(now);
        asked.customer = Some("c".to_owned());
        dispatcher.request_slot(at(now), asked);
        if is_granted(&verdict(&mut dispatcher, now)) {
            granted.push(now);
            dispatcher.release(at(now), Ticket(now), GrantOutcome::Answered);
        }
    }
    for (index, start) in granted.iter().enumerate() {
        let inside = granted[index..]
            .iter()
            .filter(|t| **t < start + 1000)
            .count();
        assert!(inside <= 31, "{inside} in the second after {start}");
    }
    assert!(granted.len() >= 85, "below the rate: {}", granted.len());
}

#[test]
fn reports_reconcile_grants_after_lost_messages() {
    let mut dispatcher = dispatcher(1, 1);
    dispatcher.request_slot(at(0), want(1));
    assert!(is_granted(&verdict(&mut dispatcher, 1)));
    // The release of the slot was lost.
    dispatcher.report(at(1000), "front", &[]);
    dispatcher.request_slot(at(1001), want(2));
    assert!(is_granted(&verdict(&mut dispatcher, 2)));
    // A new leader learns the grants of its predecessor from the report.
    let mut fresh = self::dispatcher(1, 1);
    let held = HeldGrant {
        ticket: Ticket(2),
        service: SERVICE.to_owned(),
        target: "t0".to_owned(),
        batch: false,
        parts: Vec::new(),
    };
    fresh.report(at(0), "front", &[held]);
    fresh.request_slot(at(1), want(3));
    assert!(!is_granted(&verdict(&mut fresh, 3)));
}

#[test]
fn slots_of_a_holder_that_timed_out_are_released() {
    let mut dispatcher = dispatcher(1, 1);
    dispatcher.request_slot(at(0), want(1));
    assert!(is_granted(&verdict(&mut dispatcher, 1)));
    let mut other = want(2);
    other.holder = "other".to_owned();
    other.queue_timeout = ms(10_000);
    other.on_time = ms(10_000);
    dispatcher.request_slot(at(10), other);
    for now in (20..4600).step_by(20) {
        dispatcher.report(at(now), "other", &[]);
        dispatcher.tick(at(now));
    }
    assert!(is_granted(&verdict(&mut dispatcher, 2)));
}

/// Guards against slots that stay taken for as long as a leader leads: the holder went silent while its
/// request was queued.
#[test]
fn a_slot_granted_to_a_silent_holder_is_released() {
    let mut dispatcher = dispatcher(1, 1);
    dispatcher.request_slot(at(0), want(1));
    dispatcher.request_slot(at(0), item(2, 10_000));
    dispatcher.release(at(800), Ticket(1), GrantOutcome::Answered);
    assert!(is_granted(&verdict(&mut dispatcher, 2)));
    for now in (800..3000).step_by(20) {
        dispatcher.report(at(now), "front", &[]);
        dispatcher.tick(at(now));
    }
    dispatcher.request_slot(at(3000), want(3));
    assert!(is_granted(&verdict(&mut dispatcher, 3)));
}

/// Guards against a long holder timeout: a frozen batch keeper occupied 101 of 144 slots for four
/// seconds (botez-cluj).
#[test]
fn a_frozen_holder_keeps_no_crowd_waiting_for_long() {
    let mut dispatcher = dispatcher(4, 8);
    for ticket in 0..40 {
        dispatcher.request_slot(at(0), item(ticket, 10_000));
    }
    dispatcher.take_decided();
    let (mut on_time, mut asked, mut refused) = (0, 0, 0);
    for now in (0..3000_u64).step_by(10) {
        dispatcher.report(at(now), "front", &[]);
        if now >= 1500 && now % 100 == 0 {
            asked += 1;
            dispatcher.request_slot(at(now), want(1000 + now));
        }
        dispatcher.tick(at(now));
        for (ticket, verdict) in dispatcher.take_decided() {
            if !is_granted(&Some(verdict)) {
                refused += 1;
                continue;
            }
            assert!(ticket.0 >= 1000, "an item of the frozen holder got a slot");
            on_time += 1;
        }
    }
    assert_eq!(on_time, asked, "all slots are free again by then");
    assert_eq!(refused, 10, "each queued item is refused");
}

/// The shares of a customer's rate follow the holders' recent requests.
#[test]
fn shares_follow_the_holders_recent_requests() {
    let mut dispatcher = dispatcher(50, 50);
    let limit = RateLimit {
        rate: 100.0,
        burst: 100.0,
    };
    dispatcher.set_rates(at(0), &[("c".to_owned(), limit)].into(), 100.0);
    let mut shares = std::collections::HashMap::new();
    for ticket in 0..2000 {
        let mut asked = want(ticket);
        asked.customer = Some("c".to_owned());
        asked.holder = if ticket % 4 == 0 { "few" } else { "many" }.to_owned();
        let holder = asked.holder.clone();
        dispatcher.request_slot(at(ticket * 10), asked);
        let Some(Verdict::Granted { share, .. }) = verdict(&mut dispatcher, ticket) else {
            panic!("a free slot was not granted");
        };
        shares.insert(holder, share);
    }
    let (few, many) = (shares["few"].part, shares["many"].part);
    assert!(
        (few - 0.25).abs() < 0.05 && (many - 0.75).abs() < 0.05,
        "{few} and {many}"
    );
}

/// A new leader, which has seen few requests, must not assign the whole rate to the first front.
#[test]
fn a_new_leader_assigns_the_whole_rate_to_no_holder() {
    let mut dispatcher = dispatcher(50, 50);
    let limit = RateLimit {
        rate: 100.0,
        burst: 100.0,
    };
    dispatcher.set_rates(at(0), &[("c".to_owned(), limit)].into(), 100.0);
    let mut sum = 0.0;
    for ticket in 0..20 {
        let mut asked = want(ticket);
        asked.customer = Some("c".to_owned());
        asked.holder = format!("front-{ticket}");
        dispatcher.request_slot(at(ticket * 10), asked);
        let Some(Verdict::Granted { share, .. }) = verdict(&mut dispatcher, ticket) else {
            panic!("a free slot was not granted");
        };
        sum += share.part;
    }
    assert!(sum <= 1.0, "20 fronts together have {sum} of the rate");
}
