//! Tests of the response checks, the counters and the rate limit check that reports are based on.

use std::{collections::BTreeMap, time::Duration};

use clem_load::{
    BatchTally, Outcome, PhaseStats, Prompt, Scenario, TokenBucket, batch_lines, check_plain,
    check_results, check_streamed, plan,
};
use serde_json::json;

const SEED: u64 = 7;

fn event(index: u32, content: &str) -> String {
    json!({"index": index, "choices": [{"delta": {"content": content}}]}).to_string()
}

#[test]
fn a_streamed_answer_must_be_expected_complete_and_sent_once() {
    let prompt = Prompt::new("totara", "r1", 3, 2);
    let text = prompt.expected_text();
    let (first, second) = text.split_at(text.find(' ').unwrap() + 1);
    let whole = [event(0, first), event(1, second), "[DONE]".to_owned()];
    let check = |events: &[&String]| check_streamed(&prompt, events.iter().map(|e| e.as_str()));

    assert_eq!(check(&[&whole[0], &whole[1], &whole[2]]), Ok(()));
    assert!(check(&[&whole[0], &whole[1]]).is_err(), "[DONE] is missing");
    assert!(check(&[&whole[0], &whole[2]]).is_err(), "a token is lost");
    assert!(
        check(&[&whole[0], &whole[0], &whole[1], &whole[2]]).is_err(),
        "repeated"
    );
    assert!(
        check(&[&whole[1], &whole[0], &whole[2]]).is_err(),
        "out of order"
    );
    assert!(
        check(&[&whole[0], &whole[1], &whole[2], &whole[2]]).is_err(),
        "an event after [DONE]"
    );
    let other = Prompt::new("totara", "r2", 3, 2);
    let events = whole.iter().map(String::as_str);
    assert!(
        check_streamed(&other, events).is_err(),
        "the answer to another request"
    );
}

#[test]
fn a_plain_answer_must_be_the_expected_one() {
    let prompt = Prompt::new("totara", "r1", 3, 2);
    let body = json!({"choices": [{"message": {"content": prompt.expected_text()}}]}).to_string();
    assert_eq!(check_plain(&prompt, body.as_bytes()), Ok(()));
    assert!(check_plain(&Prompt::new("botez", "r1", 3, 2), body.as_bytes()).is_err());
    assert!(check_plain(&prompt, b"{}").is_err());
}

#[test]
fn batch_results_are_counted_once_each() {
    let (text, prompts) = batch_lines("totara", "b", 5);
    assert_eq!(text.lines().count(), 5);
    let done = |id: &str, text: String| {
        let body = json!({"choices": [{"message": {"content": text}}]});
        json!({"custom_id": id, "outcome": "done", "body": body}).to_string()
    };
    let results = [
        done("b-0", prompts["b-0"].expected_text()),
        done("b-0", prompts["b-0"].expected_text()),
        done("b-1", prompts["b-2"].expected_text()),
        done("x", String::new()),
        json!({"custom_id": "b-3", "outcome": "cancelled"}).to_string(),
    ];
    let tally = check_results(&results.join("\n"), &prompts);
    let expected = BatchTally {
        done: 1,
        others: BTreeMap::from([("cancelled".to_owned(), 1)]),
        wrong: 2,
        doubled: 1,
        missing: 2,
    };
    assert_eq!(tally, expected);
}

#[test]
fn ordinary_customers_stay_inside_and_the_excessive_one_does_not() {
    println!("SEED ordinary_customers_stay_inside {SEED}");
    for scenario in [Scenario::Kahikatea, Scenario::Botez] {
        let shape = scenario.shape();
        let length = Duration::from_secs(60);
        let arrivals = plan(&shape, length, 2, SEED);
        let mut buckets: Vec<_> = shape.customers.iter().map(TokenBucket::new).collect();
        let mut counts = vec![(0, 0); buckets.len()];
        for arrival in &arrivals {
            let count = &mut counts[arrival.customer];
            count.0 += 1;
            count.1 += u32::from(buckets[arrival.customer].take(arrival.due));
        }
        for (customer, (sent, inside)) in shape.customers.iter().zip(counts) {
            let offered = f64::from(sent) / 60.0 / f64::from(customer.rate);
            assert!(
                (offered / customer.share - 1.0).abs() < 0.25,
                "{offered} {customer:?}"
            );
            let part = f64::from(inside) / f64::from(sent);
            assert_eq!(part > 0.95, customer.share < 1.0, "{part} {customer:?}");
        }
    }
}

#[test]
fn refusals_inside_and_outside_are_told_apart() {
    let mut stats = PhaseStats::new(1).unwrap();
    let refused = || Outcome::Refused {
        status: 429,
        ran: "no".to_owned(),
    };
    stats.record(0, true, refused());
    stats.record(0, false, refused());
    stats.record(0, true, Outcome::Broken("cut".to_owned()));
    let customer = &stats.customers[0];
    assert_eq!(
        (customer.refused, customer.refused_inside, customer.broken),
        (2, 1, 1)
    );
    assert_eq!(stats.refusals["429 ran: no"], 2);
}
