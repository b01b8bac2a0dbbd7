//! Randomized fault schedules from seeds; the guarantees of the log are checked in each of them.

mod sim;

use std::{
    panic,
    sync::atomic::{AtomicU64, Ordering},
    thread,
};

use sim::{Faults, World};

/// Schedules per test; 6,000 in the three tests.
const SCHEDULES: u64 = 2000;
const THREADS: usize = 4;
/// Virtual time with faults per schedule, in microseconds.
const FAULT_MICROS: u64 = 12_000_000;

fn run_all(name: &str, faults: Faults) {
    let first = std::env::var("CLEM_SEED").ok().and_then(|s| s.parse().ok());
    let seeds = first.map_or(0..SCHEDULES, |seed| seed..seed + 1);
    let next = AtomicU64::new(seeds.start);
    let acknowledged = AtomicU64::new(0);
    let answered = AtomicU64::new(0);
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds.end {
                        return;
                    }
                    let run = || {
                        let mut world = World::new(seed, faults);
                        world.run(FAULT_MICROS);
                        (world.checks.acknowledged(), world.checks.answered)
                    };
                    let Ok((commands, reads)) = panic::catch_unwind(run) else {
                        panic!("failing seed: CLEM_SEED={seed} cargo test -p clem-log {name}");
                    };
                    acknowledged.fetch_add(commands as u64, Ordering::Relaxed);
                    answered.fetch_add(reads as u64, Ordering::Relaxed);
                }
            });
        }
    });
    let (acknowledged, answered) = (acknowledged.into_inner(), answered.into_inner());
    println!("{name}: {acknowledged} commands acknowledged, {answered} reads answered");
    // Schedules in which nothing succeeds would check nothing.
    assert!(acknowledged > 50 * (seeds.end - seeds.start));
    assert!(answered > 50 * (seeds.end - seeds.start));
}

#[test]
fn messages_lost_delayed_and_duplicated() {
    let faults = Faults {
        loss: 80,
        process: 0,
        disk: 0,
    };
    run_all("messages_lost_delayed_and_duplicated", faults);
}

#[test]
fn crashes_freezes_partitions_and_transfers() {
    let faults = Faults {
        loss: 20,
        process: 25,
        disk: 0,
    };
    run_all("crashes_freezes_partitions_and_transfers", faults);
}

#[test]
fn lost_disks_with_all_other_faults() {
    let faults = Faults {
        loss: 20,
        process: 12,
        disk: 10,
    };
    run_all("lost_disks_with_all_other_faults", faults);
}
