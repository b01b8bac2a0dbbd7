//! Batch makes way for chat: bounds on seeded runs in virtual time. See `docs/notes-agent.md`.

mod fill;

use clem_policy::Balance;
use fill::{Figures, Policy, Run, perfect};

const SEEDS: [u64; 3] = [1, 2, 3];

fn ratio(with: std::time::Duration, without: std::time::Duration) -> f64 {
    with.as_secs_f64() / without.as_secs_f64()
}

fn show(name: &str, seed: u64, alone: &Figures, run: &Figures) -> (f64, f64, f64) {
    let first = ratio(run.first_p99, alone.first_p99);
    let between = ratio(run.between_p95, alone.between_p95);
    let share = run.batch_tokens as f64 / perfect(alone) as f64;
    println!(
        "seed {seed} {name}: first p99 {:?} x{first:.3}, between p95 {:?} x{between:.3}, batch {} of {} = {share:.3}, items {}, longest item {:?}, chats {}",
        run.first_p99,
        run.between_p95,
        run.batch_tokens,
        perfect(alone),
        run.batch_items,
        run.longest_item,
        run.chats
    );
    (first, between, share)
}

#[test]
fn survey() {
    for seed in SEEDS {
        let alone = Run::new(seed, Policy::NoBatch).figures();
        show("no batch", seed, &alone, &alone);
        println!(
            "idle {:?} busy steps {} room {}",
            alone.idle, alone.busy_steps, alone.busy_room
        );
        for (name, policy) in [
            ("no priority", Policy::NoPriority),
            ("fixed split 4", Policy::FixedSplit(4)),
            ("fixed split 2", Policy::FixedSplit(2)),
            ("pause on burst", Policy::PauseOnBurst),
        ] {
            show(name, seed, &alone, &Run::new(seed, policy).figures());
        }
        for point in [0, 25, 50, 75, 100] {
            let balance = Balance::new(point).expect("on the scale");
            let run = Run::new(seed, Policy::Admission(balance)).figures();
            show(&format!("admission {point}"), seed, &alone, &run);
        }
    }
}
