//! Report lines on standard output that `.ci/run` collects into its summary.

use std::fmt::Display;

/// Reports a measured figure and its target, both in `unit`.
pub fn report_bound(name: &str, figure: impl Display, target: impl Display, unit: &str) {
    println!("BOUND {name}: {figure} {unit}, target {target} {unit}");
}

/// Reports the random seed of a test, with which a failure can be reproduced.
pub fn report_seed(test: &str, seed: u64) {
    println!("SEED {test} {seed}");
}
