//! The deployments to imitate, scaled down to run on one machine.

use std::{fmt, str::FromStr};

/// A deployment to imitate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// Three data centres, 9 model replicas and 3 service replicas; chat matters most.
    Kahikatea,
    /// Three data centres, 18 model replicas and 3 service replicas; batches matter most.
    Botez,
}

impl fmt::Display for Scenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Kahikatea => "kahikatea",
            Self::Botez => "botez",
        })
    }
}

impl FromStr for Scenario {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "kahikatea" => Ok(Self::Kahikatea),
            "botez" => Ok(Self::Botez),
            _ => Err("it is neither kahikatea nor botez"),
        }
    }
}

/// The fleet and the load of a scenario.
#[derive(Debug, Clone)]
pub struct Shape {
    /// The names of the data centres; processes are spread over them round-robin.
    pub data_centres: [&'static str; 3],
    /// The number of model replicas.
    pub engines: u32,
    /// The number of service replicas.
    pub services: u32,
    /// The command line flags of each fake engine.
    pub engine_args: &'static str,
    /// The customers, with their limits and load.
    pub customers: Vec<CustomerShape>,
}

/// A customer's limits and load.
#[derive(Debug, Clone)]
pub struct CustomerShape {
    /// The customer's id.
    pub name: String,
    /// The rate limit, in requests per second.
    pub rate: u32,
    /// The number of requests that may exceed the rate at once.
    pub burst: u32,
    /// The weight in fair sharing among customers.
    pub weight: u32,
    /// The average chat load as a fraction of the rate limit; above 1 if the customer exceeds it.
    pub share: f64,
    /// The items of the customer's batch in each phase with batches; 0 for no batch.
    pub batch_items: u32,
}

/// The average load of an ordinary customer, as a fraction of its rate limit.
const ORDINARY_SHARE: f64 = 0.4;
/// The average load of the customer that exceeds its rate limit, as a fraction of it.
const EXCESSIVE_SHARE: f64 = 4.0;

impl Scenario {
    /// The fleet and load of this scenario.
    pub fn shape(self) -> Shape {
        match self {
            Self::Kahikatea => Shape {
                data_centres: ["tamaki-a", "tamaki-b", "tamaki-c"],
                engines: 9,
                services: 3,
                engine_args: ENGINE_ARGS,
                customers: customers("school", &[30, 24, 20], 6, 900),
            },
            Self::Botez => Shape {
                data_centres: ["ro-nord-a", "ro-nord-b", "ro-nord-c"],
                engines: 18,
                services: 3,
                engine_args: ENGINE_ARGS,
                customers: customers("parish", &[40, 32, 24], 8, 2500),
            },
        }
    }
}

/// Flags for engines that take about 25 ms per token and are saturated by the scenarios' load.
const ENGINE_ARGS: &str =
    "--step-us 20000 --step-per-stream-us 500 --prefill-us-per-token 100 --prefill-chunk 256";

/// Creates eight customers: large ones with batches, small ones, and a last small one that exceeds
/// its rate limit.
fn customers(name: &str, large: &[u32], small: u32, batch_items: u32) -> Vec<CustomerShape> {
    let mut customers = Vec::new();
    for index in 0..8 {
        let is_large = index < large.len();
        let rate = if is_large { large[index] } else { small };
        customers.push(CustomerShape {
            name: format!("{name}-{}", index + 1),
            rate,
            burst: rate * 2,
            weight: if is_large { 2 } else { 1 },
            share: if index == 7 {
                EXCESSIVE_SHARE
            } else {
                ORDINARY_SHARE
            },
            batch_items: if is_large { batch_items } else { 0 },
        });
    }
    customers
}
