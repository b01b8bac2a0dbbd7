//! Text forms round-trip, and invalid or out-of-range text is rejected.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use clem_types::{BatchId, CustomerId, Key, KeyHash, Rate, Time};
use proptest::prelude::*;

proptest! {
    #[test]
    fn rates_round_trip(micros in 1_u64..1_000_000_000_000) {
        let text = format!("{}.{:06}/s", micros / 1_000_000, micros % 1_000_000);
        let rate: Rate = text.parse().unwrap();
        prop_assert_eq!(rate.to_string().parse::<Rate>().unwrap(), rate);
    }

    #[test]
    fn parsing_any_text_never_panics(text in ".{0,80}") {
        let _ = text.parse::<Rate>();
        let _ = text.parse::<CustomerId>();
        let _ = text.parse::<BatchId>();
        let _ = text.parse::<KeyHash>();
    }

    #[test]
    fn batch_ids_round_trip(id: u128) {
        prop_assert_eq!(BatchId(id).to_string().parse::<BatchId>().unwrap(), BatchId(id));
    }
}

#[test]
fn names_reject_characters_unsafe_in_logs_and_paths() {
    for text in ["", "a b", "a/b", "..", "a\n", "é", "a.b"] {
        assert!(text.parse::<CustomerId>().is_err(), "{text:?}");
    }
    assert!("x".repeat(65).parse::<CustomerId>().is_err());
}

#[test]
fn debug_and_display_hide_the_key() {
    let key: Key = "clem_secret".parse().unwrap();
    assert!(!format!("{key:?} {key}").contains("secret"));
}

#[test]
fn rate_accrues_over_a_span() {
    let rate: Rate = "30/m".parse().unwrap();
    assert_eq!(rate.micros_in(Duration::from_secs(4)), 2_000_000);
}

#[test]
fn time_saturates_at_zero() {
    assert_eq!(Time::from_millis(1) - Duration::from_secs(1), Time::ZERO);
    assert_eq!(
        Time::from_millis(1).since(Time::from_millis(2)),
        Duration::ZERO
    );
}
