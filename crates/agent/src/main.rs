//! The process beside each target: admission, priorities, fences, drain and reports.

fn main() {}
