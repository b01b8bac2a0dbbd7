//! The scenarios. Each measures resource usage at one size and returns a row of a table.

use std::{
    fmt,
    path::Path,
    str::FromStr,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use clem_types::{Attempt, BatchId, BodyHash, HolderId, Incarnation, UnixMillis};
use clem_wire::{
    LeaderClient,
    batch::{
        AttemptEnd, BatchBegin, BatchBeginReply, BatchChunk, BatchSeal, FinishItems,
        FinishedAttempt, Item, LeaseItems,
    },
    online::{TakeTokens, TokenRequest},
    sync::{LoadedModel, ModelState},
};
use eyre::{bail, ensure};

use crate::{
    fleet::Control,
    holders::{Counters, hold_lease},
    process::Usage,
    relay::CountingRelay,
    rules,
};

type Result<T> = eyre::Result<T>;

/// The length of the measurement window.
const WINDOW: Duration = Duration::from_secs(10);
/// How long the load runs before the window starts.
const SETTLE: Duration = Duration::from_secs(3);
/// The timeout of a call to control.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// The number of items per chunk of an upload.
const CHUNK_ITEMS: u32 = 256;
/// The size of the text in each item's body.
const ITEM_BODY_BYTES: usize = 1000;
/// The number of items that the simulated agent leases at a time.
const LEASE_ROOM: u32 = 64;
/// The number of holders in the scenario `customers`.
const CUSTOMER_SCENARIO_HOLDERS: usize = 10;
/// The number of applies that are timed per size.
const TIMED_APPLIES: usize = 5;

/// What the size of a scenario stands for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Scenario {
    /// The number of targets, each with an agent that holds a lease.
    Targets,
    /// The number of customers, with one key each.
    Customers,
    /// The number of entries that take rate tokens, each with one call at a time.
    Tokens,
    /// The number of items in one batch, which is uploaded and run.
    Items,
}

impl FromStr for Scenario {
    type Err = &'static str;

    fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
        match text {
            "targets" => Ok(Self::Targets),
            "customers" => Ok(Self::Customers),
            "tokens" => Ok(Self::Tokens),
            "items" => Ok(Self::Items),
            _ => Err("it is not targets, customers, tokens or items"),
        }
    }
}

impl fmt::Display for Scenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Targets => "targets",
            Self::Customers => "customers",
            Self::Tokens => "tokens",
            Self::Items => "items",
        })
    }
}

impl Scenario {
    /// The header of the table, in Markdown.
    pub(crate) fn header(self) -> &'static str {
        match self {
            Self::Targets => {
                "| targets | calls/s | failed | leader cpu % | leader MB | follower cpu % | bytes/s for each agent |\n\
                 |---|---|---|---|---|---|---|"
            }
            Self::Customers => {
                "| customers | file KB | first apply s | apply of one change ms (5 runs) | leader MB | follower MB |\n\
                 |---|---|---|---|---|---|"
            }
            Self::Tokens => {
                "| entries | calls/s | leader cpu % | µs of leader cpu a call |\n|---|---|---|---|"
            }
            Self::Items => {
                "| items | upload s | upload items/s | run s | run items/s | leader MB | disk MB | leader cpu µs an item |\n\
                 |---|---|---|---|---|---|---|---|"
            }
        }
    }

    /// Measures one size and returns its row of the table.
    pub(crate) async fn row(self, program: &Path, size: usize) -> Result<String> {
        match self {
            Self::Targets => targets(program, size).await,
            Self::Customers => customers(program, size).await,
            Self::Tokens => tokens(program, size).await,
            Self::Items => items(program, size).await,
        }
    }
}

async fn targets(program: &Path, size: usize) -> Result<String> {
    let control = Control::start(program).await?;
    control.apply(&rules::file(8, size)).await?;
    let counters = Arc::new(Counters::default());
    let relay = CountingRelay::start(control.leader().await?).await?;
    let relayed = control.client_at(vec![relay.address()]);
    tokio::spawn(hold_lease(relayed, 0, Arc::clone(&counters)));
    for number in 1..size {
        tokio::spawn(hold_lease(control.client(), number, Arc::clone(&counters)));
    }
    tokio::time::sleep(SETTLE).await;
    let calls = counters.calls.load(Ordering::Relaxed);
    let bytes = relay.bytes();
    let window = measure_window(&control).await?;
    let calls = counters.calls.load(Ordering::Relaxed) - calls;
    let bytes = relay.bytes() - bytes;
    counters.stop.store(true, Ordering::Relaxed);
    Ok(format!(
        "| {size} | {:.0} | {} | {:.2} | {:.1} | {:.2} | {:.0} |",
        per_second(calls),
        counters.failures.load(Ordering::Relaxed),
        window.max_cpu(),
        window.max_mb(),
        window.min_cpu(),
        per_second(bytes),
    ))
}

async fn customers(program: &Path, size: usize) -> Result<String> {
    let control = Control::start(program).await?;
    let counters = Arc::new(Counters::default());
    for number in 0..CUSTOMER_SCENARIO_HOLDERS {
        tokio::spawn(hold_lease(control.client(), number, Arc::clone(&counters)));
    }
    let file = rules::file(size, CUSTOMER_SCENARIO_HOLDERS);
    let start = Instant::now();
    control.apply(&file).await?;
    let first = start.elapsed();
    let mut runs = Vec::new();
    for run in 0..TIMED_APPLIES {
        let changed = file.replacen("burst = 40", &format!("burst = {}", 41 + run), 1);
        let start = Instant::now();
        control.apply(&changed).await?;
        runs.push(format!("{}", start.elapsed().as_millis()));
    }
    let usage = control.usage()?;
    counters.stop.store(true, Ordering::Relaxed);
    let most = usage
        .iter()
        .map(|usage| usage.resident_kb)
        .max()
        .unwrap_or(0);
    let least = usage
        .iter()
        .map(|usage| usage.resident_kb)
        .min()
        .unwrap_or(0);
    Ok(format!(
        "| {size} | {} | {:.2} | {} | {:.1} | {:.1} |",
        file.len() / 1024,
        first.as_secs_f64(),
        runs.join(" "),
        most as f64 / 1024.0,
        least as f64 / 1024.0,
    ))
}

async fn tokens(program: &Path, size: usize) -> Result<String> {
    let control = Control::start(program).await?;
    control.apply(&rules::file(100, 1)).await?;
    let counters = Arc::new(Counters::default());
    for number in 0..size {
        tokio::spawn(take_tokens(control.client(), number, Arc::clone(&counters)));
    }
    tokio::time::sleep(SETTLE).await;
    let calls = counters.calls.load(Ordering::Relaxed);
    let window = measure_window(&control).await?;
    let calls = counters.calls.load(Ordering::Relaxed) - calls;
    counters.stop.store(true, Ordering::Relaxed);
    let micros = window.max_cpu() / 100.0 * WINDOW.as_secs_f64() * 1e6 / calls.max(1) as f64;
    Ok(format!(
        "| {size} | {:.0} | {:.1} | {micros:.1} |",
        per_second(calls),
        window.max_cpu()
    ))
}

async fn take_tokens(client: LeaderClient, number: usize, counters: Arc<Counters>) -> Result<()> {
    let holder: HolderId = format!("entry-{number}").parse()?;
    let mut sequence = 0;
    while !counters.stop.load(Ordering::Relaxed) {
        sequence += 1;
        let customer = format!("c{}", sequence % 100).parse()?;
        let call = TakeTokens {
            holder: holder.clone(),
            incarnation: Incarnation(number as u64 + 1),
            sequence,
            wants: vec![TokenRequest {
                customer,
                tokens: 1,
                returned: 0,
                held: 0,
            }],
        };
        match client.call(&call, CALL_TIMEOUT).await {
            Ok(_) => counters.calls.fetch_add(1, Ordering::Relaxed),
            Err(_) => counters.failures.fetch_add(1, Ordering::Relaxed),
        };
    }
    Ok(())
}

async fn items(program: &Path, size: usize) -> Result<String> {
    let control = Control::start(program).await?;
    control.apply(&rules::file(8, 1)).await?;
    let counters = Arc::new(Counters::default());
    tokio::spawn(hold_lease(control.client(), 0, Arc::clone(&counters)));
    let before = control.usage()?;
    let start = Instant::now();
    upload(&control.client(), u32::try_from(size)?).await?;
    let uploaded = start.elapsed();
    let start = Instant::now();
    run_items(&control.client(), size).await?;
    let run = start.elapsed();
    counters.stop.store(true, Ordering::Relaxed);
    let usage = control.usage()?;
    let mut cpu = Duration::ZERO;
    let mut resident = 0;
    for (before, after) in before.iter().zip(&usage) {
        cpu = cpu.max(after.cpu.saturating_sub(before.cpu));
        resident = resident.max(after.resident_kb);
    }
    Ok(format!(
        "| {size} | {:.1} | {:.0} | {:.1} | {:.0} | {:.1} | {:.1} | {:.0} |",
        uploaded.as_secs_f64(),
        size as f64 / uploaded.as_secs_f64(),
        run.as_secs_f64(),
        size as f64 / run.as_secs_f64(),
        resident as f64 / 1024.0,
        control.disk_bytes()? as f64 / 1e6,
        cpu.as_micros() as f64 / size as f64,
    ))
}

async fn upload(client: &LeaderClient, size: u32) -> Result<()> {
    let begin = BatchBegin {
        batch: BatchId(1),
        customer: "c0".parse()?,
        key: "c0-1".parse()?,
        idempotency: None,
        due: None,
        now: UnixMillis(1),
    };
    let BatchBeginReply::Send { batch, upload } = client.call(&begin, CALL_TIMEOUT).await? else {
        bail!("the batch was not accepted for upload")
    };
    let chunks = size.div_ceil(CHUNK_ITEMS);
    for chunk in 0..chunks {
        let first = chunk * CHUNK_ITEMS;
        let mut items = Vec::new();
        for number in first..size.min(first + CHUNK_ITEMS) {
            items.push(Item {
                custom_id: format!("item-{number}"),
                route: "assistant".parse()?,
                body: format!(
                    "{{\"n\":{number},\"text\":\"{}\"}}",
                    "x".repeat(ITEM_BODY_BYTES)
                ),
                idempotent: true,
            });
        }
        client
            .call(
                &BatchChunk {
                    batch,
                    upload,
                    chunk,
                    items,
                },
                CALL_TIMEOUT,
            )
            .await?;
    }
    let content = BodyHash::of(b"slopes");
    client
        .call(
            &BatchSeal {
                batch,
                upload,
                chunks,
                items: size,
                content,
            },
            CALL_TIMEOUT,
        )
        .await?;
    Ok(())
}

async fn run_items(client: &LeaderClient, size: usize) -> Result<()> {
    let holder: HolderId = "agent-0".parse()?;
    let mut sequence = 0;
    let mut done = 0;
    while done < size {
        sequence += 1;
        let lease = LeaseItems {
            holder: holder.clone(),
            incarnation: Incarnation(1),
            sequence,
            models: vec![LoadedModel {
                model: "assistant-7b".parse()?,
                version: "3".parse()?,
                adapters: Vec::new(),
                state: ModelState::Ready,
            }],
            service: None,
            room: LEASE_ROOM,
            renew: Vec::new(),
        };
        let leased = client.call(&lease, CALL_TIMEOUT).await?.items;
        ensure!(
            !leased.is_empty(),
            "no items were leased after {done} of {size}"
        );
        let mut ends = Vec::new();
        for item in leased {
            debug_assert!(item.lease.attempt >= Attempt(1), "attempts count from 1");
            let end = AttemptEnd::Done {
                status: 200,
                body: "{\"ok\":true}".to_owned(),
            };
            ends.push(FinishedAttempt {
                lease: item.lease,
                end,
            });
        }
        done += ends.len();
        let finish = FinishItems {
            holder: holder.clone(),
            incarnation: Incarnation(1),
            ends,
        };
        client.call(&finish, CALL_TIMEOUT).await?;
    }
    Ok(())
}

/// The resource usage of one control process in the window.
#[derive(Debug)]
struct ProcessUsage {
    cpu_percent: f64,
    resident_mb: f64,
}

/// The resource usage of all control processes in the window.
#[derive(Debug)]
struct WindowUsage {
    processes: Vec<ProcessUsage>,
}

impl WindowUsage {
    fn max_cpu(&self) -> f64 {
        self.processes
            .iter()
            .map(|process| process.cpu_percent)
            .fold(0.0, f64::max)
    }

    fn min_cpu(&self) -> f64 {
        self.processes
            .iter()
            .map(|process| process.cpu_percent)
            .fold(f64::MAX, f64::min)
    }

    fn max_mb(&self) -> f64 {
        self.processes
            .iter()
            .map(|process| process.resident_mb)
            .fold(0.0, f64::max)
    }
}

async fn measure_window(control: &Control) -> Result<WindowUsage> {
    let before = control.usage()?;
    tokio::time::sleep(WINDOW).await;
    let after = control.usage()?;
    let mut processes = Vec::new();
    for (before, after) in before.iter().zip(&after) {
        processes.push(ProcessUsage {
            cpu_percent: cpu_percent(before, after),
            resident_mb: after.resident_kb as f64 / 1024.0,
        });
    }
    Ok(WindowUsage { processes })
}

/// Processor time in the window, as a percentage of one core.
fn cpu_percent(before: &Usage, after: &Usage) -> f64 {
    (after.cpu - before.cpu).as_secs_f64() / WINDOW.as_secs_f64() * 100.0
}

fn per_second(count: u64) -> f64 {
    count as f64 / WINDOW.as_secs_f64()
}
