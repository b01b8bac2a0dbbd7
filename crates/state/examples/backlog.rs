//! Benchmark of the state machine with a batch of 670,000 items of 1 KB in an on-disk store.
//!
//! Prints the throughput of the upload and of leasing and finishing items, the disk space per item
//! and the memory of the process. Works in a temporary folder, which it removes.

use std::{error::Error, fs, time::Instant};

use clem_state::{Command, Outcome, apply, batch};
use clem_store::RedbStore;
use clem_types::{BatchId, BodyHash, Incarnation, UnixMillis};
use clem_wire::batch::{
    AttemptEnd, BatchBegin, BatchChunk, BatchSeal, FinishItems, FinishedAttempt, Item,
};

const ITEMS: u32 = 670_000;
/// Items per uploaded chunk.
const CHUNK: u32 = 500;
/// Number of items to lease and finish.
const LEASED: u32 = 200_000;
/// Items per lease command.
const ROOM: u32 = 64;
const CACHE_BYTES: usize = 16 * 1024 * 1024;
/// Commands between two syncs to disk.
const SYNC_EVERY: u64 = 64;

struct Bench {
    store: RedbStore,
    index: u64,
}

impl Bench {
    fn apply(&mut self, command: &Command) -> Result<Outcome, Box<dyn Error>> {
        self.index += 1;
        let outcome = apply(&mut self.store, self.index, command)?;
        self.store.commit(self.index)?;
        if self.index.is_multiple_of(SYNC_EVERY) {
            self.store.syncer().sync()?;
        }
        Ok(outcome)
    }
}

fn item(number: u32) -> Item {
    Item {
        custom_id: format!("item-{number}"),
        route: "assistant".parse().expect("a name"),
        body: format!("{number:01000}"),
        idempotent: true,
    }
}

fn memory_kb() -> String {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let lines = status
        .lines()
        .filter(|line| line.starts_with("VmHWM") || line.starts_with("VmRSS"));
    lines
        .collect::<Vec<_>>()
        .join(", ")
        .replace(char::is_whitespace, "")
}

fn main() -> Result<(), Box<dyn Error>> {
    let folder = tempfile::tempdir()?;
    let path = folder.path().join("state.redb");
    let store = RedbStore::open(&path, CACHE_BYTES)?;
    let mut bench = Bench { store, index: 0 };
    upload(&mut bench)?;
    let size = fs::metadata(&path)?.len();
    println!(
        "on disk: {} bytes per item; {}",
        size / u64::from(ITEMS),
        memory_kb()
    );
    run(&mut bench)?;
    println!("after the run: {}", memory_kb());
    drop(bench);
    let start = Instant::now();
    let store = RedbStore::open(&path, CACHE_BYTES)?;
    println!(
        "reopened in {:?} at index {}",
        start.elapsed(),
        store.applied()
    );
    Ok(())
}

fn upload(bench: &mut Bench) -> Result<(), Box<dyn Error>> {
    let start = Instant::now();
    let batch = BatchId(1);
    bench.apply(&Command::BatchBegin(batch::Begin {
        call: BatchBegin {
            batch,
            customer: "totara".parse()?,
            key: "totara-1".parse()?,
            idempotency: None,
            due: None,
            now: UnixMillis(0),
        },
        weight: 1,
        room: u64::MAX,
        retention: 1000,
        now: UnixMillis(0),
    }))?;
    for chunk in 0..ITEMS / CHUNK {
        let items = (chunk * CHUNK..(chunk + 1) * CHUNK).map(item).collect();
        let call = BatchChunk {
            batch,
            upload: 1,
            chunk,
            items,
        };
        bench.apply(&Command::BatchChunk {
            call,
            room: u64::MAX,
        })?;
    }
    let seal_start = Instant::now();
    let call = BatchSeal {
        batch,
        upload: 1,
        chunks: ITEMS / CHUNK,
        items: ITEMS,
        content: BodyHash::of(b"all"),
    };
    bench.apply(&Command::BatchSeal {
        call,
        now: UnixMillis(0),
    })?;
    println!("seal: {:?}", seal_start.elapsed());
    let rate = f64::from(ITEMS) / start.elapsed().as_secs_f64();
    println!(
        "uploaded: {ITEMS} items in {:?}, {rate:.0}/s",
        start.elapsed()
    );
    Ok(())
}

fn run(bench: &mut Bench) -> Result<(), Box<dyn Error>> {
    let start = Instant::now();
    let mut ended = 0;
    let mut sequence = 0;
    while ended < LEASED {
        sequence += 1;
        let lease = Command::Lease(batch::Lease {
            holder: "agent-1".parse()?,
            incarnation: Incarnation(1),
            sequence,
            routes: vec!["assistant".parse()?],
            room: ROOM,
            renew: Vec::new(),
            until: UnixMillis(1000),
            now: UnixMillis(0),
        });
        let Outcome::Lease(reply) = bench.apply(&lease)? else {
            return Err("unexpected outcome".into());
        };
        let mut ends = Vec::new();
        for leased in reply.items {
            let body = "x".repeat(200);
            let end = AttemptEnd::Done { status: 200, body };
            ends.push(FinishedAttempt {
                lease: leased.lease,
                end,
            });
        }
        ended += u32::try_from(ends.len())?;
        let call = FinishItems {
            holder: "agent-1".parse()?,
            incarnation: Incarnation(1),
            ends,
        };
        bench.apply(&Command::Finish {
            call,
            now: UnixMillis(0),
        })?;
    }
    let rate = f64::from(ended) / start.elapsed().as_secs_f64();
    println!(
        "leased and finished: {ended} items in {:?}, {rate:.0}/s",
        start.elapsed()
    );
    Ok(())
}
