//! Lines that `.ci/run` gathers from the tests into its summary.

use std::fmt::Display;

/// Reports a measured figure beside its target; `unit` stands behind both.
pub fn report_bound(name: &str, figure: impl Display, target: impl Display, unit: &str) {
    println!("BOUND {name}: {figure} {unit}, target {target} {unit}");
}

/// Reports the seed of a test.
pub fn report_seed(test: &str, seed: u64) {
    println!("SEED {test} {seed}");
}
