//! What is remembered of targets that said that they are leaving.

use std::time::Duration;

use clem_policy::dispatch::LeavingTargets;
use clem_types::Time;

const BOUND: Duration = Duration::from_secs(3);

#[test]
fn a_target_is_closed_from_the_bound_on_however_often_it_answers() {
    let mut leaving = LeavingTargets::default();
    assert!(leaving.note(Time::from_millis(100), "i-1"));
    assert!(!leaving.note(Time::from_millis(3000), "i-1"));
    assert!(leaving.contains("i-1"));
    assert!(!leaving.is_closed(Time::from_millis(3099), "i-1", BOUND));
    assert!(leaving.is_closed(Time::from_millis(3100), "i-1", BOUND));
    assert!(!leaving.is_closed(Time::from_millis(9000), "i-2", BOUND));
}

#[test]
fn a_target_is_forgotten_only_long_after_the_list_has_dropped_it() {
    let mut leaving = LeavingTargets::default();
    leaving.note(Time::ZERO, "listed");
    leaving.note(Time::ZERO, "gone");
    leaving.retain(Time::from_millis(30_000), |_| false);
    assert!(leaving.contains("gone"), "a list may be empty for a moment");
    leaving.retain(Time::from_millis(61_000), |target| target == "listed");
    assert!(leaving.contains("listed"));
    assert!(!leaving.contains("gone"));
}

#[test]
fn memory_is_bounded_and_the_oldest_is_forgotten_first() {
    let mut leaving = LeavingTargets::default();
    for number in 0..5000 {
        leaving.note(Time::from_millis(number), &format!("i-{number}"));
    }
    assert_eq!(leaving.ids().count(), 4096);
    assert!(leaving.contains("i-4999"));
    assert!(!leaving.contains("i-0"));
}
