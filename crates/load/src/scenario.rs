//! The shapes of both users' deployments, scaled so that one machine carries them.

use std::{fmt, str::FromStr};

/// A deployment to imitate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// Three data centres, 9 model replicas, 3 plain services; chat matters most.
    Kahikatea,
    /// Three data centres, 18 model replicas, 3 plain services; batches matter most.
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
            _ => Err("it is not kahikatea or botez"),
        }
    }
}

/// What a scenario's fleet and load consist of.
#[derive(Debug, Clone)]
pub struct Shape {
    /// The data centres.
    pub data_centres: [&'static str; 3],
    /// Model replicas.
    pub engines: u32,
    /// Replicas of the plain service.
    pub services: u32,
    /// The flags of each fake engine.
    pub engine_args: &'static str,
    /// The customers.
    pub customers: Vec<CustomerShape>,
}

/// One customer.
#[derive(Debug, Clone)]
pub struct CustomerShape {
    /// Its id.
    pub name: String,
    /// Requests a second that it may send.
    pub rate: u32,
    /// Requests that may come at once on top.
    pub burst: u32,
    /// Its weight.
    pub weight: u32,
    /// What it sends in chat, as a part of its rate; above 1 for one that sends too much.
    pub share: f64,
    /// The items of its batch in each phase with batches.
    pub batch_items: u32,
}

/// The part of their rates that ordinary customers send on average.
const ORDINARY_SHARE: f64 = 0.4;
/// The part of its rate that the excessive customer sends.
const EXCESSIVE_SHARE: f64 = 4.0;

impl Scenario {
    /// The scenario's shape.
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

/// Engines that make a token in some 25 ms and fill up under the scenarios' load.
const ENGINE_ARGS: &str =
    "--step-us 20000 --step-per-stream-us 500 --prefill-us-per-token 100 --prefill-chunk 256";

/// Eight customers: a few large ones with batches, small ones, and a small one that sends too much.
fn customers(name: &str, large: &[u32], small: u32, batch_items: u32) -> Vec<CustomerShape> {
    let mut customers = Vec::new();
    for place in 0..8 {
        let is_large = place < large.len();
        let rate = if is_large { large[place] } else { small };
        customers.push(CustomerShape {
            name: format!("{name}-{}", place + 1),
            rate,
            burst: rate * 2,
            weight: if is_large { 2 } else { 1 },
            share: if place == 7 {
                EXCESSIVE_SHARE
            } else {
                ORDINARY_SHARE
            },
            batch_items: if is_large { batch_items } else { 0 },
        });
    }
    customers
}
