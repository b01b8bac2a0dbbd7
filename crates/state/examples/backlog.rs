//! What a batch of 670,000 items of 1 KB costs the state machine, on a store on disk.
//!
//! Prints the time to take it in, to lease and finish items, the bytes on disk for each item and
//! the process's memory. Works in a folder of its own, which it removes.

use std::{error::Error, fs, time::Instant};

use clem_state::{Command, Outcome, apply, batch};
use clem_store::RedbStore;
use clem_types::{BatchId, BodyHash, Incarnation, UnixMillis};
use clem_wire::batch::{AttemptEnd, BatchBegin, BatchChunk, BatchSeal, FinishItems, Item, ItemEnd};

const ITEMS: u32 = 670_000;
const CHUNK: u32 = 500;
const LEASED: u32 = 200_000;
const ROOM: u32 = 64;
const CACHE_BYTES: usize = 16 * 1024 * 1024;
/// After so many commands what is committed is made durable.
const SYNC_EVERY: u64 = 64;

struct Machine {
    store: RedbStore,
    index: u64,
}

impl Machine {
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
    let mut machine = Machine { store, index: 0 };
    take_in(&mut machine)?;
    let size = fs::metadata(&path)?.len();
    println!(
        "on disk: {} bytes an item; {}",
        size / u64::from(ITEMS),
        memory_kb()
    );
    run(&mut machine)?;
    println!("afterwards: {}", memory_kb());
    drop(machine);
    let start = Instant::now();
    let store = RedbStore::open(&path, CACHE_BYTES)?;
    println!(
        "opened again after {:?} at index {}",
        start.elapsed(),
        store.applied()
    );
    Ok(())
}

fn take_in(machine: &mut Machine) -> Result<(), Box<dyn Error>> {
    let start = Instant::now();
    let batch = BatchId(1);
    machine.apply(&Command::BatchBegin(batch::Begin {
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
        machine.apply(&Command::BatchChunk {
            call,
            room: u64::MAX,
        })?;
    }
    let sealing = Instant::now();
    let call = BatchSeal {
        batch,
        upload: 1,
        chunks: ITEMS / CHUNK,
        items: ITEMS,
        content: BodyHash::of(b"all"),
    };
    machine.apply(&Command::BatchSeal {
        call,
        now: UnixMillis(0),
    })?;
    println!("seal: {:?}", sealing.elapsed());
    let rate = f64::from(ITEMS) / start.elapsed().as_secs_f64();
    println!(
        "taken in: {ITEMS} items in {:?}, {rate:.0}/s",
        start.elapsed()
    );
    Ok(())
}

fn run(machine: &mut Machine) -> Result<(), Box<dyn Error>> {
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
        let Outcome::Lease(reply) = machine.apply(&lease)? else {
            return Err("another outcome".into());
        };
        let mut ends = Vec::new();
        for leased in reply.items {
            let body = "x".repeat(200);
            let end = AttemptEnd::Done { status: 200, body };
            ends.push(ItemEnd {
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
        machine.apply(&Command::Finish {
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
