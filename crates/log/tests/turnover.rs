//! Randomized schedules of members that are lost, stopped, retired and replaced.

mod sim;

use std::{
    panic,
    sync::atomic::{AtomicU64, Ordering},
    thread,
};

use sim::Turnover;

const SCHEDULES: u64 = 150;
const THREADS: usize = 3;
/// Virtual time with faults per schedule, in microseconds.
const FAULT_MICROS: u64 = 40_000_000;

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

fn run_all(name: &str, voters: usize) {
    let first = number("CLEM_SEED");
    let count = number("CLEM_COUNT");
    let start = first.or(number("CLEM_FROM")).unwrap_or(0);
    let end = start + count.unwrap_or(if first.is_some() { 1 } else { SCHEDULES });
    let next = AtomicU64::new(start);
    let acknowledged = AtomicU64::new(0);
    let red = std::sync::Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= end {
                        return;
                    }
                    let run = || Turnover::new(seed, voters).run(FAULT_MICROS);
                    match panic::catch_unwind(run) {
                        Ok(commands) => {
                            acknowledged.fetch_add(commands as u64, Ordering::Relaxed);
                        }
                        Err(_) => red.lock().expect("no panic in it").push(seed),
                    }
                }
            });
        }
    });
    let red = red.into_inner().expect("no panic in it");
    let acknowledged = acknowledged.into_inner();
    println!(
        "{name}: {acknowledged} commands acknowledged, {} red",
        red.len()
    );
    assert!(
        red.is_empty(),
        "failing seeds {red:?} of {start}..{end}: CLEM_SEED=N cargo test -p clem-log {name}"
    );
    // Schedules in which nothing succeeds would check nothing.
    assert!(acknowledged > 200 * (end - start));
}

#[test]
fn three_voters_that_are_lost_and_replaced_by_plan() {
    run_all("three_voters_that_are_lost_and_replaced_by_plan", 3);
}

#[test]
fn five_voters_that_are_lost_and_replaced_by_plan() {
    run_all("five_voters_that_are_lost_and_replaced_by_plan", 5);
}
