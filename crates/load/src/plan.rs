//! Generates the arrivals of a phase from a seed, before the phase starts.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{CustomerShape, Shape};

/// The period of each customer's bursts of chat.
const BURST_EVERY: Duration = Duration::from_secs(8);
/// The length of a burst.
const BURST_LENGTH: Duration = Duration::from_secs(2);
/// The rate during a burst, as a multiple of the average rate.
const BURST_FACTOR: f64 = 2.5;
/// The range of tokens in a chat response.
const TOKENS: std::ops::Range<u32> = 8..33;
/// The range of words in a chat prompt.
const WORDS: std::ops::Range<u32> = 5..60;

/// A planned chat request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// When to send the request, relative to the start of the phase.
    pub due: Duration,
    /// The index of the customer in the shape.
    pub customer: usize,
    /// The index of the entry in the fleet.
    pub entry: usize,
    /// Unique within the phase, in the order of `due`.
    pub number: u32,
    /// The tokens to request.
    pub tokens: u32,
    /// The words in the prompt after the customer's shared prefix.
    pub words: u32,
    /// Whether to request a streamed response.
    pub stream: bool,
}

/// Draws the chat requests of one phase, ordered by due time.
pub fn plan(shape: &Shape, length: Duration, entries: usize, seed: u64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for (index, customer) in shape.customers.iter().enumerate() {
        let mut due = Duration::ZERO;
        // A random phase per customer, so that bursts don't all coincide.
        let offset = BURST_EVERY.mul_f64(rng.random_range(0.0..1.0));
        let peak = f64::from(customer.rate) * customer.share * BURST_FACTOR;
        loop {
            // Thinning of a Poisson process: draw at the peak rate, keep in proportion to the
            // current rate.
            due += gap(&mut rng, peak);
            if due >= length {
                break;
            }
            if !rng.random_bool(rate_at(customer, due + offset) / peak) {
                continue;
            }
            arrivals.push(Arrival {
                due,
                customer: index,
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

/// The rate in requests per second at a moment: high in bursts and lower between them, with an
/// average of the customer's share of its rate limit.
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

/// Draws the time to the next arrival of a Poisson process, in which gaps are exponential.
fn gap(rng: &mut ChaCha8Rng, rate: f64) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-uniform.ln() / rate)
}
