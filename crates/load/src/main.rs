//! The load generator: scenarios, checked answers, histograms and reports.

fn main() {}
