//! Generates batches and verifies their results.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write as _,
};

use serde_json::{Value, json};

use crate::{Prompt, request_body};

/// The tokens requested by each item.
const ITEM_TOKENS: u32 = 48;
/// The words in each item's prompt.
const ITEM_WORDS: u32 = 40;

/// Counts of the results of a batch.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BatchTally {
    /// Items with the expected response.
    pub done: u64,
    /// Items with another final outcome, by the name of the outcome.
    pub others: BTreeMap<String, u64>,
    /// Items with a wrong response, and items that were not submitted.
    pub wrong: u64,
    /// Further outcomes of items that already had one.
    pub doubled: u64,
    /// Items without an outcome so far.
    pub missing: u64,
}

/// Generates the JSON lines of a batch with `items` items, and their prompts by custom id.
pub fn batch_lines(customer: &str, name: &str, items: u32) -> (String, BTreeMap<String, Prompt>) {
    let mut text = String::new();
    let mut prompts = BTreeMap::new();
    for item in 0..items {
        let id = format!("{name}-{item}");
        let prompt = Prompt::new(customer, &id, ITEM_WORDS, ITEM_TOKENS);
        let body = request_body(&prompt, "assistant", false);
        let body: Value = serde_json::from_str(&body).unwrap_or_default();
        let line = json!({"custom_id": id, "model": "assistant", "body": body});
        // Writing to a string can't fail.
        let _ = writeln!(text, "{line}");
        prompts.insert(id, prompt);
    }
    (text, prompts)
}

/// Compares the results of a batch, as JSON lines, with the responses expected for `prompts`.
pub fn check_results(results: &str, prompts: &BTreeMap<String, Prompt>) -> BatchTally {
    let mut tally = BatchTally::default();
    let mut seen = BTreeSet::new();
    for line in results.lines() {
        let Ok(line) = serde_json::from_str::<Value>(line) else {
            tally.wrong += 1;
            continue;
        };
        let id = line["custom_id"].as_str().unwrap_or_default().to_owned();
        let Some(prompt) = prompts.get(&id) else {
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
        if content(&line) == Some(prompt.expected_text().as_str()) {
            tally.done += 1;
        } else {
            tally.wrong += 1;
        }
    }
    tally.missing = (prompts.len() - seen.len()) as u64;
    tally
}

/// The text of the response, from the body that the target returned.
fn content(line: &Value) -> Option<&str> {
    line["body"]["choices"][0]["message"]["content"].as_str()
}
