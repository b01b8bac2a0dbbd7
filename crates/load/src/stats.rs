//! Counts and histograms of one phase.

use std::{collections::BTreeMap, time::Duration};

use eyre::Result;
use hdrhistogram::Histogram;

use crate::Outcome;

/// The longest latency that is told apart, in microseconds.
const LONGEST_US: u64 = 600_000_000;
/// The decimal digits of a latency.
const DIGITS: u8 = 3;
/// Different texts of wrong and broken answers that are kept.
const EXAMPLES: usize = 5;

/// An empty histogram of microseconds.
///
/// # Errors
/// Never with these bounds.
pub(crate) fn histogram() -> Result<Histogram<u64>> {
    Ok(Histogram::new_with_bounds(1, LONGEST_US, DIGITS)?)
}

pub(crate) fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// What one customer got.
#[derive(Debug, Clone)]
pub struct CustomerStats {
    /// Requests sent.
    pub sent: u64,
    /// Requests that were clearly inside rate and burst.
    pub inside: u64,
    /// Whole answers.
    pub whole: u64,
    /// Whole answers to requests that were inside.
    pub whole_inside: u64,
    /// Refusals.
    pub refused: u64,
    /// Refusals of requests that were inside.
    pub refused_inside: u64,
    /// Wrong answers.
    pub wrong: u64,
    /// Answers without an end.
    pub broken: u64,
    /// To the first token of streamed answers, in microseconds.
    pub first: Histogram<u64>,
}

/// What a phase brought.
#[derive(Debug, Clone)]
pub struct PhaseStats {
    /// The customers, by their place in the shape.
    pub customers: Vec<CustomerStats>,
    /// To the first token of streamed answers, in microseconds.
    pub first: Histogram<u64>,
    /// To the end of the answer.
    pub total: Histogram<u64>,
    /// The longest time between two tokens of an answer.
    pub gap: Histogram<u64>,
    /// Refusals by status and `x-clem-ran`.
    pub refusals: BTreeMap<String, u64>,
    /// Some texts of wrong and broken answers.
    pub examples: Vec<String>,
    /// Requests that weren't sent, as too many were in flight.
    pub skipped: u64,
}

impl PhaseStats {
    /// Empty counts for so many customers.
    ///
    /// # Errors
    /// A histogram can't be made.
    pub fn new(customers: usize) -> Result<Self> {
        let mut empty = Vec::new();
        for _ in 0..customers {
            empty.push(CustomerStats {
                sent: 0,
                inside: 0,
                whole: 0,
                whole_inside: 0,
                refused: 0,
                refused_inside: 0,
                wrong: 0,
                broken: 0,
                first: histogram()?,
            });
        }
        Ok(Self {
            customers: empty,
            first: histogram()?,
            total: histogram()?,
            gap: histogram()?,
            refusals: BTreeMap::new(),
            examples: Vec::new(),
            skipped: 0,
        })
    }

    /// Counts one answer.
    pub fn record(&mut self, place: usize, inside: bool, outcome: Outcome) {
        let customer = &mut self.customers[place];
        customer.sent += 1;
        customer.inside += u64::from(inside);
        match outcome {
            Outcome::Whole { first, total, gap } => {
                customer.whole += 1;
                customer.whole_inside += u64::from(inside);
                self.total.saturating_record(micros(total));
                if let Some(first) = first {
                    customer.first.saturating_record(micros(first));
                    self.first.saturating_record(micros(first));
                    self.gap.saturating_record(micros(gap));
                }
            }
            Outcome::Refused { status, ran } => {
                customer.refused += 1;
                customer.refused_inside += u64::from(inside);
                let kind = format!("{status} ran: {ran}");
                *self.refusals.entry(kind).or_default() += 1;
            }
            Outcome::Wrong(reason) => {
                customer.wrong += 1;
                self.example(format!("wrong: {reason}"));
            }
            Outcome::Broken(reason) => {
                customer.broken += 1;
                self.example(format!("broken: {reason}"));
            }
        }
    }

    fn example(&mut self, text: String) {
        if self.examples.len() < EXAMPLES && !self.examples.contains(&text) {
            self.examples.push(text);
        }
    }
}
