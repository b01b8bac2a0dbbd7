//! What entry and agent add: the same load through them and straight to the fake engine, in turns.

use std::{fmt, time::Duration};

use eyre::Result;
use serde::Serialize;
use tokio::{
    sync::mpsc,
    time::{Instant, sleep_until},
};

use crate::{
    Answer, Client, CustomerShape, Latencies, Outcome, Shape,
    stats::{histogram, micros},
};

/// The length of one turn.
const TURN: Duration = Duration::from_secs(2);
/// The start of each turn that isn't counted: connections are made in it.
const SETTLE: Duration = Duration::from_millis(300);

/// What is compared.
#[derive(Debug, Clone)]
pub struct DirectOptions {
    /// The entry's URL.
    pub entry: String,
    /// The value of the header `authorization` for the entry.
    pub bearer: String,
    /// The engine's URL.
    pub engine: String,
    /// The engine's own name of the model.
    pub engine_model: String,
    /// Requests a second.
    pub rate: u32,
    /// The turns on each way.
    pub turns: u32,
    /// The tokens of each answer.
    pub tokens: u32,
    /// Whether answers are streamed.
    pub stream: bool,
}

impl DirectOptions {
    /// A fleet with one fast engine, and a customer whose rate is never reached.
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

/// The latencies of both ways.
#[derive(Debug, Clone, Serialize)]
pub struct DirectReport {
    /// Straight to the engine.
    pub direct: Latencies,
    /// Through entry and agent.
    pub through: Latencies,
    /// What was not a whole answer, on either way.
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

/// Sends the same load both ways in turns.
///
/// # Errors
/// A histogram can't be made.
pub async fn run_direct(options: &DirectOptions) -> Result<DirectReport> {
    let client = Client::new();
    let mut direct = histogram()?;
    let mut through = histogram()?;
    let mut failed = Vec::new();
    let engine = Way {
        url: format!("{}/v1/chat/completions", options.engine),
        bearer: String::new(),
        model: options.engine_model.clone(),
    };
    let entry = Way {
        url: format!("{}/v1/chat/completions", options.entry),
        bearer: options.bearer.clone(),
        model: "assistant".to_owned(),
    };
    for turn in 0..options.turns {
        for (way, latencies) in [(&engine, &mut direct), (&entry, &mut through)] {
            for (at, outcome) in send_turn(&client, options, way, turn).await {
                match outcome {
                    Outcome::Whole { total, .. } if at >= SETTLE => {
                        latencies.saturating_record(micros(total));
                    }
                    Outcome::Whole { .. } => {}
                    Outcome::Refused { status, ran } => {
                        failed.push(format!("{}: {status}, ran {ran}", way.url));
                    }
                    Outcome::Wrong(reason) | Outcome::Broken(reason) => {
                        failed.push(format!("{}: {reason}", way.url));
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

struct Way {
    url: String,
    bearer: String,
    model: String,
}

/// One turn on one way; returns each request's due time in the turn, and its outcome.
async fn send_turn(
    client: &Client,
    options: &DirectOptions,
    way: &Way,
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
        let answer = Answer::new("direct", &format!("{turn}-{number}"), 8, options.tokens);
        let stream = options.stream;
        let (client, sender) = (client.clone(), sender.clone());
        let (url, bearer, model) = (way.url.clone(), way.bearer.clone(), way.model.clone());
        tokio::spawn(async move {
            let outcome = client
                .chat(&url, &bearer, &model, &answer, stream, due)
                .await;
            // The receiver waits for all.
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
