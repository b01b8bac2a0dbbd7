//! The report: the three measures, and what they rest on.

use std::{fmt, time::Duration};

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::{BatchTally, PhaseStats, RunOptions, Shape};

/// Latencies in milliseconds.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Latencies {
    /// The median.
    pub p50: f64,
    /// 95 in 100 are at most this.
    pub p95: f64,
    /// 99 in 100.
    pub p99: f64,
    /// 999 in 1000.
    pub p999: f64,
    /// The longest.
    pub max: f64,
    /// How many were measured.
    pub count: u64,
}

impl Latencies {
    /// Reads a histogram of microseconds.
    pub fn new(histogram: &Histogram<u64>) -> Self {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        Self {
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
            p999: at(0.999),
            max: histogram.max() as f64 / 1000.0,
            count: histogram.len(),
        }
    }
}

impl fmt::Display for Latencies {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "p50 {:.2}  p95 {:.2}  p99 {:.2}  p99.9 {:.2}  max {:.2} ms  (n {})",
            self.p50, self.p95, self.p99, self.p999, self.max, self.count
        )
    }
}

/// What one customer got in a phase.
#[derive(Debug, Clone, Serialize)]
pub struct CustomerReport {
    /// The customer.
    pub name: String,
    /// Requests a second that it may send.
    pub rate: u32,
    /// Requests sent.
    pub sent: u64,
    /// Of these, clearly inside rate and burst.
    pub inside: u64,
    /// Whole answers.
    pub whole: u64,
    /// Refusals.
    pub refused: u64,
    /// Refusals of requests that were inside; zero for a customer that sends too much, whose
    /// refusals can't be told apart.
    pub refused_inside: u64,
    /// Wrong answers.
    pub wrong: u64,
    /// Answers without an end.
    pub broken: u64,
    /// The most that rate and burst allow in the phase.
    pub allowed: u64,
    /// Whole answers as a part of what it was due: the lesser of what it sent and was allowed.
    pub served: f64,
    /// To the first token.
    pub first: Latencies,
}

/// One phase.
#[derive(Debug, Clone, Serialize)]
pub struct PhaseReport {
    /// `online`, `mixed` or `faults`.
    pub name: &'static str,
    /// Its length in seconds.
    pub seconds: f64,
    /// From the due time to the first token.
    pub first: Latencies,
    /// From the due time to the end.
    pub total: Latencies,
    /// The longest time between two tokens of an answer.
    pub gap: Latencies,
    /// Batch items finished in the phase, a second.
    pub batch_rate: f64,
    /// Batch items finished in all.
    pub batch_done: u64,
    /// Other outcomes of items.
    pub batch_others: std::collections::BTreeMap<String, u64>,
    /// Wrong, doubled and missing outcomes of items.
    pub batch_wrong: u64,
    /// Refusals by status and `x-clem-ran`.
    pub refusals: std::collections::BTreeMap<String, u64>,
    /// Requests that weren't sent, as too many were in flight.
    pub skipped: u64,
    /// Targets killed.
    pub killed: usize,
    /// The customers.
    pub customers: Vec<CustomerReport>,
    /// Some texts of wrong and broken answers.
    pub examples: Vec<String>,
}

impl PhaseReport {
    /// Sums a phase up.
    pub(crate) fn new(
        name: &'static str,
        shape: &Shape,
        stats: &PhaseStats,
        length: Duration,
        done_in_phase: u64,
        tally: BatchTally,
        killed: usize,
    ) -> Self {
        let seconds = length.as_secs_f64();
        Self {
            name,
            seconds,
            first: Latencies::new(&stats.first),
            total: Latencies::new(&stats.total),
            gap: Latencies::new(&stats.gap),
            batch_rate: done_in_phase as f64 / seconds,
            batch_done: tally.done,
            batch_wrong: tally.wrong + tally.doubled + tally.missing,
            batch_others: tally.others,
            refusals: stats.refusals.clone(),
            skipped: stats.skipped,
            killed,
            customers: customers(shape, stats, seconds),
            examples: stats.examples.clone(),
        }
    }

    /// The customer that got the least of what it was due; the slowest of these.
    pub fn worst(&self) -> Option<&CustomerReport> {
        let mut worst: Option<&CustomerReport> = None;
        for customer in &self.customers {
            let worse = worst.is_none_or(|worst| {
                (customer.served, -customer.first.p99) < (worst.served, -worst.first.p99)
            });
            if worse {
                worst = Some(customer);
            }
        }
        worst
    }

    /// Refusals of requests that were inside their customers' rates, and all such requests.
    pub fn refused_inside(&self) -> (u64, u64) {
        let mut sums = (0, 0);
        for customer in &self.customers {
            sums.0 += customer.refused_inside;
            sums.1 += customer.inside;
        }
        sums
    }
}

fn customers(shape: &Shape, stats: &PhaseStats, seconds: f64) -> Vec<CustomerReport> {
    let mut reports = Vec::new();
    for (customer, stats) in shape.customers.iter().zip(&stats.customers) {
        let allowed = (f64::from(customer.rate) * seconds) as u64 + u64::from(customer.burst);
        let due = stats.sent.min(allowed).max(1);
        reports.push(CustomerReport {
            name: customer.name.clone(),
            rate: customer.rate,
            sent: stats.sent,
            inside: stats.inside,
            whole: stats.whole,
            refused: stats.refused,
            refused_inside: if customer.share > 1.0 {
                0
            } else {
                stats.refused_inside
            },
            wrong: stats.wrong,
            broken: stats.broken,
            allowed,
            served: stats.whole as f64 / due as f64,
            first: Latencies::new(&stats.first),
        });
    }
    reports
}

/// A whole run.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// The scenario.
    pub scenario: String,
    /// The seed of the arrivals.
    pub seed: u64,
    /// The phases.
    pub phases: Vec<PhaseReport>,
    /// Answers that were wrong in any way; must be zero.
    pub wrong: u64,
}

impl Report {
    pub(crate) fn new(options: &RunOptions, phases: Vec<PhaseReport>) -> Self {
        let mut wrong = 0;
        for phase in &phases {
            wrong += phase.batch_wrong;
            for customer in &phase.customers {
                wrong += customer.wrong;
            }
        }
        Self {
            scenario: options.scenario.to_string(),
            seed: options.seed,
            phases,
            wrong,
        }
    }

    /// The phase of this name.
    pub fn phase(&self, name: &str) -> Option<&PhaseReport> {
        self.phases.iter().find(|phase| phase.name == name)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "scenario {}, seed {}\n", self.scenario, self.seed)?;
        if let (Some(online), Some(mixed)) = (self.phase("online"), self.phase("mixed")) {
            let harm = mixed.first.p99 / online.first.p99.max(0.001);
            writeln!(
                f,
                "1. batch throughput {:.1} items/s ({:.1} without chat); first token p99 {:.1} ms without batches, {:.1} ms with: x{harm:.2}",
                mixed.batch_rate,
                self.phase("batch").map_or(0.0, |phase| phase.batch_rate),
                online.first.p99,
                mixed.first.p99
            )?;
            for phase in &self.phases {
                let Some(worst) = phase.worst() else {
                    continue;
                };
                if worst.sent == 0 {
                    continue;
                }
                writeln!(
                    f,
                    "2. worst-served customer ({}): {}, {:.1} % of its due, first token p99 {:.1} ms",
                    phase.name,
                    worst.name,
                    worst.served * 100.0,
                    worst.first.p99
                )?;
            }
            for phase in &self.phases {
                let (refused, inside) = phase.refused_inside();
                if inside == 0 {
                    continue;
                }
                writeln!(
                    f,
                    "3. refusals inside the rate ({}): {refused} of {inside}",
                    phase.name
                )?;
            }
        }
        writeln!(f, "wrong answers: {}", self.wrong)?;
        for phase in &self.phases {
            write!(f, "\n{phase}")?;
        }
        Ok(())
    }
}

impl fmt::Display for PhaseReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "phase {}, {:.0} s, {} targets killed",
            self.name, self.seconds, self.killed
        )?;
        writeln!(f, "  first token  {}", self.first)?;
        writeln!(f, "  whole answer {}", self.total)?;
        writeln!(f, "  longest gap  {}", self.gap)?;
        writeln!(
            f,
            "  batch {:.1} items/s in the phase, {} done in all, wrong, doubled or missing {}, others {:?}",
            self.batch_rate, self.batch_done, self.batch_wrong, self.batch_others
        )?;
        writeln!(
            f,
            "  refusals {:?}, skipped {}",
            self.refusals, self.skipped
        )?;
        writeln!(
            f,
            "  {:<12}{:>6}{:>7}{:>7}{:>7}{:>8}{:>9}{:>7}{:>7}{:>8}{:>10}",
            "customer",
            "rate",
            "sent",
            "inside",
            "whole",
            "refused",
            "(inside)",
            "wrong",
            "broken",
            "served",
            "p99 ms"
        )?;
        for c in &self.customers {
            writeln!(
                f,
                "  {:<12}{:>6}{:>7}{:>7}{:>7}{:>8}{:>9}{:>7}{:>7}{:>7.1}%{:>10.1}",
                c.name,
                c.rate,
                c.sent,
                c.inside,
                c.whole,
                c.refused,
                c.refused_inside,
                c.wrong,
                c.broken,
                c.served * 100.0,
                c.first.p99
            )?;
        }
        for example in &self.examples {
            writeln!(f, "  e.g. {example}")?;
        }
        Ok(())
    }
}
