//! Measures the latency that entry and agent add, by alternating the same load between them and the
//! fake engine.

use std::{fmt, time::Duration};

use eyre::Result;
use serde::Serialize;
use tokio::{
    sync::mpsc,
    time::{Instant, sleep_until},
};

use crate::{
    Client, CustomerShape, Latencies, Outcome, Prompt, Shape,
    stats::{histogram, micros},
};

/// The length of one turn.
const TURN: Duration = Duration::from_secs(2);
/// The start of each turn that isn't measured, because connections are opened in it.
const WARM_UP: Duration = Duration::from_millis(300);

/// The two paths to compare, and the load.
#[derive(Debug, Clone)]
pub struct DirectOptions {
    /// The entry's URL.
    pub entry: String,
    /// The value of the header `authorization` for the entry.
    pub bearer: String,
    /// The engine's URL.
    pub engine: String,
    /// The model's name at the engine, which differs from the name of the route.
    pub engine_model: String,
    /// Requests per second.
    pub rate: u32,
    /// The number of turns for each path.
    pub turns: u32,
    /// The tokens in each response.
    pub tokens: u32,
    /// Whether responses are streamed.
    pub stream: bool,
}

impl DirectOptions {
    /// The shape of the fleet: one fast engine, and a customer with a rate limit that isn't
    /// reached.
    pub fn shape() -> Shape {
        Shape {
            data_centres: ["tamaki-a", "tamaki-a", "tamaki-a"],
            engines: 1,
            services: 1,
            engine_args: "--step-us 100 --step-per-stream-us 10 --prefill-us-per-token 1",
            customers: vec![CustomerShape {
                name: "direct".to_owned(),
                rate: 10_000,
                burst: 20_000,
                weight: 1,
                share: 0.0,
                batch_items: 0,
            }],
        }
    }
}

/// The latencies of both paths.
#[derive(Debug, Clone, Serialize)]
pub struct DirectReport {
    /// Direct calls to the engine.
    pub direct: Latencies,
    /// Calls through entry and agent.
    pub through: Latencies,
    /// Why requests on either path had no complete, expected response.
    pub failed: Vec<String>,
}

impl fmt::Display for DirectReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "direct   {}", self.direct)?;
        writeln!(f, "through  {}", self.through)?;
        writeln!(
            f,
            "added    p50 {:.2}  p95 {:.2}  p99 {:.2} ms",
            self.through.p50 - self.direct.p50,
            self.through.p95 - self.direct.p95,
            self.through.p99 - self.direct.p99
        )?;
        write!(f, "failed   {}", self.failed.len())?;
        for reason in self.failed.iter().take(5) {
            write!(f, "\n  {reason}")?;
        }
        Ok(())
    }
}

/// Sends the same load on both paths, in alternating turns.
///
/// # Errors
/// A histogram can't be created.
pub async fn run_direct(options: &DirectOptions) -> Result<DirectReport> {
    let client = Client::new();
    let mut direct = histogram()?;
    let mut through = histogram()?;
    let mut failed = Vec::new();
    let engine = Endpoint {
        url: format!("{}/v1/chat/completions", options.engine),
        bearer: String::new(),
        model: options.engine_model.clone(),
    };
    let entry = Endpoint {
        url: format!("{}/v1/chat/completions", options.entry),
        bearer: options.bearer.clone(),
        model: "assistant".to_owned(),
    };
    for turn in 0..options.turns {
        for (endpoint, latencies) in [(&engine, &mut direct), (&entry, &mut through)] {
            for (at, outcome) in send_turn(&client, options, endpoint, turn).await {
                match outcome {
                    Outcome::Whole { total, .. } if at >= WARM_UP => {
                        latencies.saturating_record(micros(total));
                    }
                    Outcome::Whole { .. } => {}
                    Outcome::Refused { status, ran } => {
                        failed.push(format!("{}: {status}, ran {ran}", endpoint.url));
                    }
                    Outcome::Wrong(reason) | Outcome::Broken(reason) => {
                        failed.push(format!("{}: {reason}", endpoint.url));
                    }
                }
            }
        }
    }
    Ok(DirectReport {
        direct: Latencies::new(&direct),
        through: Latencies::new(&through),
        failed,
    })
}

struct Endpoint {
    url: String,
    bearer: String,
    model: String,
}

/// Runs one turn on one path. Returns the due time of each request, relative to the start of the
/// turn, and its outcome.
async fn send_turn(
    client: &Client,
    options: &DirectOptions,
    endpoint: &Endpoint,
    turn: u32,
) -> Vec<(Duration, Outcome)> {
    let start = Instant::now();
    let gap = Duration::from_secs(1) / options.rate;
    let (sender, mut outcomes) = mpsc::unbounded_channel();
    let count = options.rate * u32::try_from(TURN.as_secs()).unwrap_or(1);
    for number in 0..count {
        let at = gap * number;
        let due = start + at;
        sleep_until(due).await;
        let prompt = Prompt::new("direct", &format!("{turn}-{number}"), 8, options.tokens);
        let stream = options.stream;
        let (client, sender) = (client.clone(), sender.clone());
        let (url, bearer, model) = (
            endpoint.url.clone(),
            endpoint.bearer.clone(),
            endpoint.model.clone(),
        );
        tokio::spawn(async move {
            let outcome = client
                .chat(&url, &bearer, &model, &prompt, stream, due)
                .await;
            // The receiver outlives all senders.
            let _ = sender.send((at, outcome));
        });
    }
    drop(sender);
    let mut all = Vec::new();
    while let Some(outcome) = outcomes.recv().await {
        all.push(outcome);
    }
    all
}
