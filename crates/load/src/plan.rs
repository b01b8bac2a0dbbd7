//! The arrivals of a run, drawn from a seed before it starts.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{CustomerShape, Shape};

/// How often each customer has a burst of chat.
const BURST_EVERY: Duration = Duration::from_secs(8);
/// How long a burst lasts.
const BURST_LENGTH: Duration = Duration::from_secs(2);
/// The rate in a burst, as a multiple of the average.
const BURST_FACTOR: f64 = 2.5;
/// The tokens of a chat answer, from and up to.
const TOKENS: std::ops::Range<u32> = 8..33;
/// The words of a chat prompt, from and up to.
const WORDS: std::ops::Range<u32> = 5..60;

/// One chat request that will be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// When it is sent, since the start of its phase.
    pub due: Duration,
    /// The customer's place in the shape.
    pub customer: usize,
    /// The entry's place in the fleet.
    pub entry: usize,
    /// Tells requests of a phase apart.
    pub number: u32,
    /// The tokens of the answer.
    pub tokens: u32,
    /// The words of the prompt, after the customer's shared beginning.
    pub words: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
}

/// Draws the chat requests of one phase, in the order in which they are due.
pub fn plan(shape: &Shape, length: Duration, entries: usize, seed: u64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for (place, customer) in shape.customers.iter().enumerate() {
        let mut due = Duration::ZERO;
        // Customers' bursts don't all start at once.
        let offset = BURST_EVERY.mul_f64(rng.random_range(0.0..1.0));
        let peak = f64::from(customer.rate) * customer.share * BURST_FACTOR;
        loop {
            // Thinning: drawn at the peak rate, kept in proportion to the rate of the moment.
            due += gap(&mut rng, peak);
            if due >= length {
                break;
            }
            if !rng.random_bool(rate_at(customer, due + offset) / peak) {
                continue;
            }
            arrivals.push(Arrival {
                due,
                customer: place,
                entry: rng.random_range(0..entries),
                number: 0,
                tokens: rng.random_range(TOKENS),
                words: rng.random_range(WORDS),
                stream: rng.random_bool(0.75),
            });
        }
    }
    arrivals.sort_by_key(|arrival| arrival.due);
    for (number, arrival) in (0..).zip(&mut arrivals) {
        arrival.number = number;
    }
    arrivals
}

/// Requests a second at a moment: high in bursts, lower between them, the share on average.
fn rate_at(customer: &CustomerShape, moment: Duration) -> f64 {
    let average = f64::from(customer.rate) * customer.share;
    let part = BURST_LENGTH.as_secs_f64() / BURST_EVERY.as_secs_f64();
    let position = moment.as_secs_f64() % BURST_EVERY.as_secs_f64();
    if position < BURST_LENGTH.as_secs_f64() {
        average * BURST_FACTOR
    } else {
        average * (1.0 - part * BURST_FACTOR) / (1.0 - part)
    }
}

/// The time to the next arrival of a Poisson process.
fn gap(rng: &mut ChaCha8Rng, rate: f64) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-uniform.ln() / rate)
}
