//! Counters and latency histograms of one phase.

use std::{collections::BTreeMap, time::Duration};

use eyre::Result;
use hdrhistogram::Histogram;

use crate::Outcome;

/// The largest latency that histograms can hold; longer ones are recorded as this.
const MAX_LATENCY_US: u64 = 600_000_000;
/// The precision of the histograms, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;
/// The number of distinct reasons of wrong and broken responses that are kept.
const MAX_EXAMPLES: usize = 5;

/// Creates an empty histogram of microseconds.
///
/// # Errors
/// Never, since the bounds are valid.
pub(crate) fn histogram() -> Result<Histogram<u64>> {
    Ok(Histogram::new_with_bounds(
        1,
        MAX_LATENCY_US,
        SIGNIFICANT_DIGITS,
    )?)
}

pub(crate) fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// The counters of one customer.
#[derive(Debug, Clone)]
pub struct CustomerStats {
    /// Requests sent, apart from skipped ones.
    pub sent: u64,
    /// Requests that were clearly within rate and burst.
    pub inside: u64,
    /// Complete, expected responses.
    pub whole: u64,
    /// Complete, expected responses to requests that were clearly within the limit.
    pub whole_inside: u64,
    /// Responses with a status other than 200.
    pub refused: u64,
    /// Refusals of requests that were clearly within the limit.
    pub refused_inside: u64,
    /// Responses other than the expected one.
    pub wrong: u64,
    /// Missing or incomplete responses.
    pub broken: u64,
    /// Time to first token of streamed responses, in microseconds.
    pub first: Histogram<u64>,
}

/// The counters and histograms of one phase.
#[derive(Debug, Clone)]
pub struct PhaseStats {
    /// The counters of the customers, indexed as in the shape.
    pub customers: Vec<CustomerStats>,
    /// Time to first token of streamed responses, in microseconds.
    pub first: Histogram<u64>,
    /// Time to the end of the response, in microseconds.
    pub total: Histogram<u64>,
    /// The longest time between two tokens of a streamed response, in microseconds.
    pub gap: Histogram<u64>,
    /// Refusals by status and the header `x-clem-ran`.
    pub refusals: BTreeMap<String, u64>,
    /// Some distinct reasons of wrong and broken responses.
    pub examples: Vec<String>,
    /// Requests that were not sent because too many were in flight.
    pub skipped: u64,
}

impl PhaseStats {
    /// Creates empty counters for this many customers.
    ///
    /// # Errors
    /// A histogram can't be created.
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

    /// Records the outcome of one request; `inside` says whether it was clearly within the limit.
    pub fn record(&mut self, index: usize, inside: bool, outcome: Outcome) {
        let customer = &mut self.customers[index];
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
        if self.examples.len() < MAX_EXAMPLES && !self.examples.contains(&text) {
            self.examples.push(text);
        }
    }
}
