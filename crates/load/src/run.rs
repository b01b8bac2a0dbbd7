//! Runs a scenario against a fleet: chat only, batches only, both, and both while targets are
//! killed.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use eyre::{OptionExt, Result};
use http::Method;
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use serde_json::Value;
use tokio::{
    sync::mpsc,
    time::{Instant, sleep_until},
};

use crate::{
    Arrival, BatchTally, Client, FleetFile, Outcome, PhaseReport, PhaseStats, Prompt, Report,
    Scenario, Shape, TokenBucket, batch_lines, check_results, plan,
};

/// The number of requests in flight above which new ones are skipped and counted as such.
const MAX_IN_FLIGHT: usize = 20_000;
/// How long responses and batches may take after the end of a phase. Longer than the client's
/// timeout.
const DRAIN: Duration = Duration::from_secs(70);
/// The interval at which the results of a cancelled batch are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// The length of the unreported first phase, which opens connections.
const WARM_UP: Duration = Duration::from_secs(3);

/// The options of a run.
#[derive(Debug, Clone)]
pub struct RunOptions {
    /// The deployment to imitate.
    pub scenario: Scenario,
    /// The length of each phase.
    pub phase: Duration,
    /// The number of targets to kill; if 0, there is no phase `faults`.
    pub kills: usize,
    /// The random seed of the arrivals.
    pub seed: u64,
}

/// A phase of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    WarmUp,
    Online,
    Batch,
    Mixed,
    Faults,
}

impl Phase {
    fn name(self) -> &'static str {
        match self {
            Self::WarmUp => "warm-up",
            Self::Online => "online",
            Self::Batch => "batch",
            Self::Mixed => "mixed",
            Self::Faults => "faults",
        }
    }

    fn has_batches(self) -> bool {
        match self {
            Self::WarmUp | Self::Online => false,
            Self::Batch | Self::Mixed | Self::Faults => true,
        }
    }

    fn has_chat(self) -> bool {
        match self {
            Self::Batch => false,
            Self::WarmUp | Self::Online | Self::Mixed | Self::Faults => true,
        }
    }
}

/// Runs all phases; calls `progress` with the name of each phase when it starts.
///
/// # Errors
/// A batch call fails, a customer has no key, or a target can't be killed. Failed chat requests are
/// counted instead.
pub async fn run(
    fleet: FleetFile,
    options: &RunOptions,
    mut progress: impl FnMut(&str),
) -> Result<Report> {
    let shape = options.scenario.shape();
    let runner = Runner {
        client: Client::new(),
        fleet,
        shape,
    };
    let mut phases = Vec::new();
    let mut list = vec![Phase::WarmUp, Phase::Online, Phase::Batch, Phase::Mixed];
    if options.kills > 0 {
        list.push(Phase::Faults);
    }
    for phase in list {
        progress(phase.name());
        let length = if phase == Phase::WarmUp {
            WARM_UP
        } else {
            options.phase
        };
        let kills = if phase == Phase::Faults {
            options.kills
        } else {
            0
        };
        let report = run_phase(&runner, phase, length, kills, options.seed).await?;
        if phase != Phase::WarmUp {
            phases.push(report);
        }
    }
    Ok(Report::new(options, phases))
}

struct Runner {
    client: Client,
    fleet: FleetFile,
    shape: Shape,
}

/// An accepted batch.
struct Batch {
    url: String,
    bearer: String,
    prompts: BTreeMap<String, Prompt>,
}

async fn run_phase(
    runner: &Runner,
    phase: Phase,
    length: Duration,
    kills: usize,
    seed: u64,
) -> Result<PhaseReport> {
    let entries = runner.fleet.entries.len();
    // The same seed in each phase, so that phases are comparable.
    let mut arrivals = plan(&runner.shape, length, entries, seed);
    if !phase.has_chat() {
        arrivals.clear();
    }
    let mut batches = Vec::new();
    if phase.has_batches() {
        batches = runner.submit_all(phase, seed).await?;
    }
    let start = Instant::now();
    let killer = kill_targets(&runner.fleet, length, kills, start);
    let (stats, killed) = tokio::join!(send_all(runner, phase, &arrivals, start), killer);
    sleep_until(start + length).await;
    let mut in_phase = 0;
    for batch in &batches {
        in_phase += runner.tally(batch).await?.done;
    }
    let mut stats = stats?;
    stats.drain().await;
    let mut tally = BatchTally::default();
    for batch in &batches {
        runner.cancel(batch).await?;
    }
    for batch in &batches {
        let last = runner.finish(batch).await?;
        tally.add(&last);
    }
    Ok(PhaseReport::new(
        phase.name(),
        &runner.shape,
        &stats.stats,
        length,
        in_phase,
        tally,
        killed?,
    ))
}

impl BatchTally {
    fn add(&mut self, other: &Self) {
        self.done += other.done;
        self.wrong += other.wrong;
        self.doubled += other.doubled;
        self.missing += other.missing;
        for (name, count) in &other.others {
            *self.others.entry(name.clone()).or_default() += count;
        }
    }
}

// ----------------------------------------------------------------------------
// Chat

/// The outcomes recorded so far, and the channel on which further ones arrive.
struct Progress {
    stats: PhaseStats,
    outcomes: mpsc::UnboundedReceiver<(usize, bool, Outcome)>,
    in_flight: usize,
}

impl Progress {
    fn record(&mut self, (customer, inside, outcome): (usize, bool, Outcome)) {
        self.in_flight -= 1;
        self.stats.record(customer, inside, outcome);
    }

    /// Waits for the requests that are still in flight.
    async fn drain(&mut self) {
        let end = Instant::now() + DRAIN;
        while self.in_flight > 0 {
            let next = tokio::time::timeout_at(end, self.outcomes.recv()).await;
            let Ok(Some(outcome)) = next else {
                return;
            };
            self.record(outcome);
        }
    }
}

async fn send_all(
    runner: &Runner,
    phase: Phase,
    arrivals: &[Arrival],
    start: Instant,
) -> Result<Progress> {
    let customers = &runner.shape.customers;
    let mut buckets: Vec<_> = customers.iter().map(TokenBucket::new).collect();
    let (sender, outcomes) = mpsc::unbounded_channel();
    let mut progress = Progress {
        stats: PhaseStats::new(customers.len())?,
        outcomes,
        in_flight: 0,
    };
    for arrival in arrivals {
        let due = start + arrival.due;
        sleep_until(due).await;
        while let Ok(outcome) = progress.outcomes.try_recv() {
            progress.record(outcome);
        }
        let index = arrival.customer;
        let inside = buckets[index].take(arrival.due);
        if progress.in_flight >= MAX_IN_FLIGHT {
            progress.stats.skipped += 1;
            continue;
        }
        progress.in_flight += 1;
        let sender = sender.clone();
        let chat = runner.chat(phase, arrival, due)?;
        tokio::spawn(async move {
            let outcome = chat.await;
            // The receiver is dropped if the drain timed out.
            let _ = sender.send((index, inside, outcome));
        });
    }
    Ok(progress)
}

impl Runner {
    fn chat(
        &self,
        phase: Phase,
        arrival: &Arrival,
        due: Instant,
    ) -> Result<impl Future<Output = Outcome> + Send + use<>> {
        let customer = &self.shape.customers[arrival.customer].name;
        let name = format!("{}-{}", phase.name(), arrival.number);
        let prompt = Prompt::new(customer, &name, arrival.words, arrival.tokens);
        let bearer = self.fleet.bearer(customer)?;
        let url = format!("{}/v1/chat/completions", self.fleet.entries[arrival.entry]);
        let client = self.client.clone();
        let stream = arrival.stream;
        Ok(async move {
            client
                .chat(&url, &bearer, "assistant", &prompt, stream, due)
                .await
        })
    }
}

// ----------------------------------------------------------------------------
// Batches

impl Runner {
    async fn submit_all(&self, phase: Phase, seed: u64) -> Result<Vec<Batch>> {
        let mut batches = Vec::new();
        for (index, customer) in self.shape.customers.iter().enumerate() {
            if customer.batch_items == 0 {
                continue;
            }
            let entry = &self.fleet.entries[index % self.fleet.entries.len()];
            // The seed and process id make the custom ids unique among runs.
            let name = format!("{}-{seed}-{}", phase.name(), std::process::id());
            let (text, prompts) = batch_lines(&customer.name, &name, customer.batch_items);
            let bearer = self.fleet.bearer(&customer.name)?;
            let url = format!("{entry}/v1/batches");
            let reply = self.client.fetch(Method::POST, &url, &bearer, text).await?;
            let reply: Value = serde_json::from_slice(&reply)?;
            let id = reply["id"]
                .as_str()
                .ok_or_eyre("the reply to the batch has no id")?;
            batches.push(Batch {
                url: format!("{url}/{id}"),
                bearer,
                prompts,
            });
        }
        Ok(batches)
    }

    async fn tally(&self, batch: &Batch) -> Result<BatchTally> {
        let url = format!("{}/results", batch.url);
        let client = &self.client;
        let results = client
            .fetch(Method::GET, &url, &batch.bearer, Bytes::new())
            .await?;
        Ok(check_results(
            &String::from_utf8_lossy(&results),
            &batch.prompts,
        ))
    }

    async fn cancel(&self, batch: &Batch) -> Result<()> {
        let url = format!("{}/cancel", batch.url);
        let client = &self.client;
        client
            .fetch(Method::POST, &url, &batch.bearer, Bytes::new())
            .await?;
        Ok(())
    }

    /// Waits until every item of a cancelled batch has an outcome, or the drain times out.
    async fn finish(&self, batch: &Batch) -> Result<BatchTally> {
        let end = Instant::now() + DRAIN;
        loop {
            let tally = self.tally(batch).await?;
            if tally.missing == 0 || Instant::now() > end {
                return Ok(tally);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

// ----------------------------------------------------------------------------
// Faults

/// Kills `count` targets, evenly spaced over the phase; returns the number killed.
async fn kill_targets(
    fleet: &FleetFile,
    length: Duration,
    count: usize,
    start: Instant,
) -> Result<usize> {
    let pids = fleet.target_pids.iter().take(count);
    let mut killed = 0;
    for (index, &pid) in (1..).zip(pids) {
        let part = f64::from(index) / (count as f64 + 1.0);
        sleep_until(start + length.mul_f64(part)).await;
        kill(Pid::from_raw(pid), Signal::SIGKILL)?;
        killed += 1;
    }
    Ok(killed)
}
