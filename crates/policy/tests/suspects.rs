//! What the leader knows of the requests with suspected parts that run, and of silent holders.

mod loads;

use std::time::Duration;

use clem_policy::dispatch::{
    CrashReport, Dispatcher, RunningSuspect, SlotRequest, TargetSlots, Ticket, Urgency, Verdict,
};
use clem_types::{PartId, Time};
use loads::{SERVICE, want};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn the_holders_of_running_suspects_and_of_silent_slots_are_known() {
    let mut dispatcher = Dispatcher::default();
    let at = Time::from_millis;
    let slots = TargetSlots {
        target: "t0".to_owned(),
        data_centre: "dc".to_owned(),
        slots: 1,
        version: None,
    };
    dispatcher.set_targets(at(0), SERVICE, &[slots]);
    let parts = [PartId::of(&[b"first"]), PartId::of(&[b"second"])];
    for (index, part) in parts.iter().enumerate() {
        let reports = [1, 2].map(|number| CrashReport {
            ticket: Ticket(10 * index as u64 + number),
            target: format!("gone-{index}-{number}"),
            parts: vec![*part],
            age_ms: 0,
        });
        dispatcher.note_crashes(at(0), &reports);
    }
    let asked = |ticket: u64, holder: &str, part: PartId| SlotRequest {
        holder: holder.to_owned(),
        urgency: Urgency::Batch { due: SECOND },
        parts: vec![part],
        ..want(ticket)
    };
    dispatcher.request_slot(at(0), asked(100, "runs", parts[0]));
    dispatcher.request_slot(at(0), asked(101, "waits", parts[1]));
    let suspect = |ticket: u64, holder: &str, target: Option<&str>, part: PartId| RunningSuspect {
        ticket: Ticket(ticket),
        holder: Some(holder.to_owned()),
        target: target.map(str::to_owned),
        parts: vec![part],
    };
    let expected = [
        suspect(100, "runs", Some("t0"), parts[0]),
        suspect(101, "waits", None, parts[1]),
    ];
    assert_eq!(dispatcher.running_suspects(), expected);
    dispatcher.take_decided();
    dispatcher.request_slot(at(10), asked(102, "waits", parts[0]));
    let decided = dispatcher.take_decided();
    let told = matches!(decided[..], [(Ticket(102), Verdict::Busy { suspected, .. })] if suspected);
    assert!(told, "{decided:?}");
    assert_eq!(dispatcher.silent_slots(at(999), SECOND), 0);
    assert_eq!(dispatcher.silent_slots(at(1000), SECOND), 1);
    dispatcher.tick(at(1300));
    assert_eq!(dispatcher.silent_slots(at(1300), SECOND), 0, "revoked");
    assert_eq!(dispatcher.running_suspects(), []);
}
