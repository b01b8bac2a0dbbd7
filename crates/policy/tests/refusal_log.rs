//! Refusals are logged once a second at most, and each is counted in one line.

use std::time::Duration;

use clem_policy::RefusalLog;
use clem_types::Time;

#[test]
fn refusals_of_a_second_share_a_line() {
    let at = |millis| Time::ZERO + Duration::from_millis(millis);
    let mut log = RefusalLog::default();
    assert_eq!(log.count(at(0)), Some(1));
    assert_eq!(log.count(at(10)), None);
    assert_eq!(log.count(at(999)), None);
    assert_eq!(log.count(at(1000)), Some(3));
}
