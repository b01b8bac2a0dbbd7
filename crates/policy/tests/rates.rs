//! Rates at the ends of their range, as an operator's rules may set them.

use std::time::Duration;

use clem_policy::dispatch::{RateBucket, RateLimit};
use clem_types::Time;

const HOUR: Duration = Duration::from_secs(3600);

#[test]
fn a_rate_whose_next_token_is_ages_away_ends_no_process() {
    for rate in [
        f64::MIN_POSITIVE,
        1e-300,
        1e-20,
        1e-9,
        1e-3,
        1e300,
        f64::MAX,
    ] {
        for burst in [0.0, 1.0, 1e300, f64::MAX] {
            let limit = RateLimit { rate, burst };
            let mut bucket = RateBucket::new(Time::ZERO, limit, 0.0);
            for millis in [0, 1, 1000, 1_000_000] {
                let Err(wait) = bucket.take(Time::from_millis(millis)) else {
                    continue;
                };
                // Callers are told a time that is a little longer.
                let told = wait.mul_f64(1.5);
                assert!(told <= 2 * HOUR, "{rate} {burst}: {told:?}");
            }
        }
    }
}
