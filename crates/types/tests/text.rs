//! Every newtype reads back what it writes, and refuses what it can't hold.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use clem_types::{BatchId, CustomerId, Key, KeyHash, Rate, Time};
use proptest::prelude::*;

proptest! {
    #[test]
    fn rates_read_back(micros in 1_u64..1_000_000_000_000) {
        let text = format!("{}.{:06}/s", micros / 1_000_000, micros % 1_000_000);
        let rate: Rate = text.parse().unwrap();
        prop_assert_eq!(rate.to_string().parse::<Rate>().unwrap(), rate);
    }

    #[test]
    fn any_text_is_read_without_panic(text in ".{0,80}") {
        let _ = text.parse::<Rate>();
        let _ = text.parse::<CustomerId>();
        let _ = text.parse::<BatchId>();
        let _ = text.parse::<KeyHash>();
    }

    #[test]
    fn batch_ids_read_back(id: u128) {
        prop_assert_eq!(BatchId(id).to_string().parse::<BatchId>().unwrap(), BatchId(id));
    }
}

#[test]
fn names_refuse_what_is_unsafe_in_logs_and_paths() {
    for text in ["", "a b", "a/b", "..", "a\n", "é", "a.b"] {
        assert!(text.parse::<CustomerId>().is_err(), "{text:?}");
    }
    assert!("x".repeat(65).parse::<CustomerId>().is_err());
}

#[test]
fn a_key_is_never_shown() {
    let key: Key = "clem_secret".parse().unwrap();
    assert!(!format!("{key:?} {key}").contains("secret"));
}

#[test]
fn rates_count_whole_spans() {
    let rate: Rate = "30/m".parse().unwrap();
    assert_eq!(rate.micros_in(Duration::from_secs(4)), 2_000_000);
}

#[test]
fn time_never_goes_below_zero() {
    assert_eq!(Time::from_millis(1) - Duration::from_secs(1), Time::ZERO);
    assert_eq!(
        Time::from_millis(1).since(Time::from_millis(2)),
        Duration::ZERO
    );
}
