//! Batches: what is submitted, and the check of what comes back.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write as _,
};

use serde_json::{Value, json};

use crate::{Answer, request_body};

/// The tokens of an item's answer.
const ITEM_TOKENS: u32 = 48;
/// The words of an item's prompt.
const ITEM_WORDS: u32 = 40;

/// What the results of a batch amount to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BatchTally {
    /// Items with the right answer, once.
    pub done: u64,
    /// Items with another final outcome, by its name.
    pub others: BTreeMap<String, u64>,
    /// Items with a wrong answer, or that nobody asked for.
    pub wrong: u64,
    /// Outcomes of items that had one before.
    pub doubled: u64,
    /// Items without an outcome yet.
    pub missing: u64,
}

/// The JSON lines of a batch of `items`, and the answers that they must bring, by custom id.
pub fn lines(customer: &str, name: &str, items: u32) -> (String, BTreeMap<String, Answer>) {
    let mut text = String::new();
    let mut answers = BTreeMap::new();
    for item in 0..items {
        let id = format!("{name}-{item}");
        let answer = Answer::new(customer, &id, ITEM_WORDS, ITEM_TOKENS);
        let body = request_body(&answer, "assistant", false);
        let body: Value = serde_json::from_str(&body).unwrap_or_default();
        let line = json!({"custom_id": id, "model": "assistant", "body": body});
        // Writing to a string can't fail.
        let _ = writeln!(text, "{line}");
        answers.insert(id, answer);
    }
    (text, answers)
}

/// Compares results, as JSON lines, with the answers that were asked for.
pub fn check_results(results: &str, answers: &BTreeMap<String, Answer>) -> BatchTally {
    let mut tally = BatchTally::default();
    let mut seen = BTreeSet::new();
    for line in results.lines() {
        let Ok(line) = serde_json::from_str::<Value>(line) else {
            tally.wrong += 1;
            continue;
        };
        let id = line["custom_id"].as_str().unwrap_or_default().to_owned();
        let Some(answer) = answers.get(&id) else {
            tally.wrong += 1;
            continue;
        };
        if !seen.insert(id) {
            tally.doubled += 1;
            continue;
        }
        let outcome = line["outcome"].as_str().unwrap_or("none");
        if outcome != "done" {
            *tally.others.entry(outcome.to_owned()).or_default() += 1;
            continue;
        }
        if content(&line) == Some(answer.text().as_str()) {
            tally.done += 1;
        } else {
            tally.wrong += 1;
        }
    }
    tally.missing = (answers.len() - seen.len()) as u64;
    tally
}

/// The answer's text, in the target's body.
fn content(line: &Value) -> Option<&str> {
    line["body"]["choices"][0]["message"]["content"].as_str()
}
