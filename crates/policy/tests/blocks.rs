//! Blocked parts of batch items, in virtual time.

mod loads;

use std::time::Duration;

use clem_policy::dispatch::{
    Admission, BlockedParts, CrashParts, CrashReport, Dispatcher, GrantOutcome, SlotRequest,
    TargetSlots, Ticket, Urgency, Verdict,
};
use clem_types::{PartId, Time};
use loads::{SERVICE, want};

/// Pause of the keeper after a refusal for a blocked part, in milliseconds.
const HARMFUL_PAUSE: u64 = 2000;
/// Pause of the keeper when no slot was free, in milliseconds.
const BUSY_PAUSE: u64 = 150;
/// How long an item may be at no target when nothing is in trouble, by the platform's rules.
const IDLE_MAX: Duration = Duration::from_secs(18 - 5);

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn dispatcher(targets: usize) -> Dispatcher {
    let mut dispatcher = Dispatcher::default();
    let slots = |number| TargetSlots {
        target: format!("t{number}"),
        data_centre: "dc".to_owned(),
        slots: 8,
        version: None,
    };
    let targets: Vec<_> = (0..targets).map(slots).collect();
    dispatcher.set_targets(Time::ZERO, SERVICE, &targets);
    dispatcher
}

fn report(ticket: u64, parts: &[PartId]) -> CrashReport {
    CrashReport {
        ticket: Ticket(ticket),
        target: format!("gone-{ticket}"),
        parts: parts.to_vec(),
        age_ms: 0,
    }
}

/// The item of a keeper, which asks as `clem-batch` does.
struct Item {
    parts: Vec<PartId>,
    avoid: Vec<String>,
    now: u64,
    tickets: u64,
}

impl Item {
    fn new(part: PartId) -> Self {
        Self {
            parts: vec![part],
            avoid: Vec::new(),
            now: 1,
            tickets: 1000,
        }
    }

    /// Asks until a slot is granted or `until`; returns the ticket and the target.
    fn granted(&mut self, dispatcher: &mut Dispatcher, until: u64) -> Option<(Ticket, String)> {
        while self.now < until {
            self.tickets += 1;
            let ticket = Ticket(self.tickets);
            let asked = SlotRequest {
                urgency: Urgency::Batch {
                    due: Duration::from_secs(10),
                },
                queue_timeout: Duration::from_millis(1200),
                avoid: self.avoid.clone(),
                parts: self.parts.clone(),
                ..want(ticket.0)
            };
            dispatcher.report(at(self.now), "front", &[]);
            dispatcher.request_slot(at(self.now), asked);
            let verdict = loop {
                let mut decided = dispatcher.take_decided();
                if let Some((_, verdict)) = decided.pop() {
                    break verdict;
                }
                self.now += 20;
                dispatcher.report(at(self.now), "front", &[]);
                dispatcher.tick(at(self.now));
            };
            match verdict {
                Verdict::Granted { target, .. } => return Some((ticket, target)),
                Verdict::Harmful => self.now += HARMFUL_PAUSE,
                _ => {
                    self.avoid.clear();
                    self.now += BUSY_PAUSE;
                }
            }
        }
        None
    }

    fn end(&mut self, dispatcher: &mut Dispatcher, slot: (Ticket, String), ended: GrantOutcome) {
        self.now += 60;
        dispatcher.release(at(self.now), slot.0, ended);
        self.avoid.push(slot.1);
    }
}

fn blocked(targets: usize, part: PartId) -> Dispatcher {
    let mut dispatcher = dispatcher(targets);
    for ticket in 0..4 {
        dispatcher.note_crashes(Time::ZERO, &[report(ticket, &[part])]);
    }
    dispatcher
}

#[test]
fn an_item_whose_two_trials_met_other_crashes_is_tried_again_in_time() {
    let part = PartId::of(&[b"first"]);
    let mut dispatcher = blocked(18, part);
    let mut item = Item::new(part);
    for _ in 0..2 {
        let slot = item.granted(&mut dispatcher, 600_000).expect("a trial");
        item.end(&mut dispatcher, slot, GrantOutcome::Crashed);
    }
    let calm = item.now;
    item.granted(&mut dispatcher, 600_000).expect("a trial");
    let waited = Duration::from_millis(item.now - calm);
    assert!(waited <= IDLE_MAX, "{waited:?}");
}

#[test]
fn an_item_that_avoids_the_only_target_loses_no_trial() {
    let part = PartId::of(&[b"first"]);
    let mut dispatcher = blocked(1, part);
    let mut item = Item::new(part);
    let slot = item.granted(&mut dispatcher, 600_000).expect("a trial");
    item.end(&mut dispatcher, slot, GrantOutcome::Crashed);
    let calm = item.now;
    item.granted(&mut dispatcher, 600_000).expect("a trial");
    let waited = Duration::from_millis(item.now - calm);
    assert!(waited <= IDLE_MAX, "{waited:?}");
}

#[test]
fn an_item_that_crashes_targets_reaches_few_in_five_minutes() {
    for part in [PartId::of(&[b"bad"]), PartId::of_whole(&[b"bad"])] {
        let mut dispatcher = dispatcher(18);
        let mut item = Item::new(part);
        let mut crashes = 0;
        let mut times = Vec::new();
        while let Some(slot) = item.granted(&mut dispatcher, 300_000) {
            item.end(&mut dispatcher, slot, GrantOutcome::Crashed);
            crashes += 1;
            times.push(item.now);
        }
        let most = if part.is_whole() { 6 } else { 8 };
        assert!(crashes <= most, "{part:?}: {crashes} crashes at {times:?}");
    }
}

#[test]
fn failed_trials_of_items_refuse_no_online_request_for_good() {
    let part = PartId::of(&[b"first"]);
    let mut dispatcher = blocked(18, part);
    let mut item = Item::new(part);
    for _ in 0..2 {
        let slot = item.granted(&mut dispatcher, 600_000).expect("a trial");
        item.end(&mut dispatcher, slot, GrantOutcome::Crashed);
    }
    // The crashes are over, and the batch is ended by its caller.
    let calm = item.now;
    for now in (calm..calm + 300_000).step_by(1000) {
        dispatcher.report(at(now), "front", &[]);
        let asked = SlotRequest {
            parts: vec![part],
            ..want(now)
        };
        dispatcher.request_slot(at(now), asked);
        let decided = dispatcher.take_decided();
        if matches!(decided[..], [(_, Verdict::Granted { .. })]) {
            println!("granted after {} ms", now - calm);
            return;
        }
    }
    panic!("refused for five minutes after the last crash");
}

#[test]
fn a_part_unblocked_meanwhile_is_not_blocked_by_a_process_that_was_away() {
    let part = PartId::of(&[b"first"]);
    let mut dispatcher = blocked(18, part);
    let away = dispatcher.blocked_parts(Time::ZERO);
    let mut item = Item::new(part);
    let slot = item.granted(&mut dispatcher, 600_000).expect("a trial");
    item.end(&mut dispatcher, slot, GrantOutcome::Answered);
    assert!(dispatcher.blocked_parts(at(item.now)).is_empty());
    // Its first poll since: it has seen the list of another leader.
    dispatcher.restore_blocked(at(item.now + 1000), &away);
    assert!(dispatcher.blocked_parts(at(item.now)).is_empty());
}

#[test]
fn an_item_is_tried_in_time_after_a_change_of_leader() {
    let part = PartId::of(&[b"first"]);
    for trials in [0, 1, 2, 4] {
        let mut dispatcher = dispatcher(18);
        let known = BlockedParts {
            parts: vec![part],
            trials,
            item_trials: 0,
            age_ms: 0,
        };
        dispatcher.restore_blocked(Time::ZERO, &[known]);
        let mut item = Item::new(part);
        item.granted(&mut dispatcher, 600_000).expect("a trial");
        let waited = Duration::from_millis(item.now);
        assert!(waited <= IDLE_MAX, "trials {trials}: {waited:?}");
    }
}

#[test]
fn a_refuted_crash_counts_for_no_new_leader_whoever_reports_first() {
    let part = PartId::of(&[b"first"]);
    let mut away = CrashParts::default();
    let mut present = CrashParts::default();
    for ticket in 0..4 {
        let own = PartId::of(&[b"own", &ticket.to_string().into_bytes()]);
        away.note_crash(at(ticket * 1000), &report(ticket, &[part, own]));
        present.note_crash(at(ticket * 1000), &report(ticket, &[part, own]));
    }
    present.note_sound(at(4000), &[part]);
    for present_first in [true, false] {
        let mut next = CrashParts::default();
        let mut reports = [present.reports(at(9000), 1), away.reports(at(9000), 1)];
        if !present_first {
            reports.reverse();
        }
        for report in reports.iter().flatten() {
            next.note_crash(at(9000), report);
        }
        let admission = next.admit(at(9000), Ticket(100), Urgency::Online, &[part]);
        assert_eq!(admission, Admission::Free, "present first: {present_first}");
    }
}

/// The new leader doesn't know when a slot that it is told of was granted.
#[test]
fn an_answer_to_a_request_sent_before_the_crashes_clears_nothing_at_a_new_leader() {
    let part = PartId::of(&[b"first"]);
    let mut dispatcher = dispatcher(18);
    // Sent long before these crashes, and running at the change of leader.
    let held = clem_policy::dispatch::HeldGrant {
        ticket: Ticket(50),
        service: SERVICE.to_owned(),
        target: "t0".to_owned(),
        batch: false,
        parts: vec![part],
    };
    let reports: Vec<_> = (1..=3).map(|ticket| report(ticket, &[part])).collect();
    dispatcher.note_crashes(at(0), &reports);
    dispatcher.report(at(100), "front", &[held]);
    dispatcher.release(at(3000), Ticket(50), GrantOutcome::Answered);
    assert_eq!(dispatcher.crash_reports(at(3000)).len(), 3);
}

/// Times that lie before the start of a process must not all become its start.
#[test]
fn a_process_that_has_just_started_keeps_crashes_that_nothing_refuted() {
    let part = PartId::of(&[b"bad"]);
    let mut leader = CrashParts::default();
    leader.note_crash(at(30_000), &report(1, &[part]));
    leader.note_sound(at(31_000), &[part]);
    for ticket in 2..=4 {
        leader.note_crash(at(60_000 + ticket * 2000), &report(ticket, &[part]));
    }
    let crashes = leader.reports(at(70_000), 1);
    let sound = leader.sound_parts(at(70_000));
    let mut started = CrashParts::default();
    for report in &crashes {
        started.note_crash(at(1000), report);
    }
    started.note_sound_parts(at(1000), &sound);
    let told =
        |reports: Vec<CrashReport>| reports.iter().filter(|r| r.parts.contains(&part)).count();
    assert_eq!(told(crashes), 3);
    assert_eq!(told(started.reports(at(1000), 1)), 3);
}

#[test]
fn a_blocked_item_is_tried_in_time_though_leaders_are_lost_again_and_again() {
    let part = PartId::of(&[b"first"]);
    let mut leader = blocked(18, part);
    let mut item = Item::new(part);
    for lost in (6000..60_000).step_by(6000) {
        if item.granted(&mut leader, lost).is_some() {
            let waited = Duration::from_millis(item.now);
            assert!(waited <= IDLE_MAX, "{waited:?}");
            return;
        }
        let known = leader.blocked_parts(at(lost));
        leader = dispatcher(18);
        leader.restore_blocked(at(lost), &known);
    }
    panic!("no trial in 60 s");
}

#[test]
fn an_item_that_crashes_targets_reaches_few_in_five_minutes_though_leaders_are_lost() {
    let part = PartId::of(&[b"bad"]);
    let mut leader = dispatcher(18);
    let mut item = Item::new(part);
    let mut crashes = 0;
    for lost in (40_000..=300_000).step_by(40_000) {
        while let Some(slot) = item.granted(&mut leader, lost) {
            item.end(&mut leader, slot, GrantOutcome::Crashed);
            crashes += 1;
        }
        let known = leader.blocked_parts(at(lost));
        leader = dispatcher(18);
        leader.restore_blocked(at(lost), &known);
    }
    assert!(crashes <= 8, "{crashes} crashes");
}

#[test]
fn a_process_that_was_away_makes_no_item_wait_for_an_earlier_block() {
    let part = PartId::of(&[b"first"]);
    let earlier = BlockedParts {
        parts: vec![part],
        trials: 2,
        item_trials: 4,
        age_ms: 5000,
    };
    let mut dispatcher = blocked(18, part);
    dispatcher.restore_blocked(at(1), &[earlier]);
    let mut item = Item::new(part);
    item.granted(&mut dispatcher, 600_000).expect("a trial");
    let waited = Duration::from_millis(item.now);
    assert!(waited <= IDLE_MAX, "{waited:?}");
}
