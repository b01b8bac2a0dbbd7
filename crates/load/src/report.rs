//! The report: the three measures, and the figures that they are computed from.

use std::{fmt, time::Duration};

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::{BatchTally, PhaseStats, RunOptions, Shape};

/// Latency percentiles, in milliseconds.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Latencies {
    /// The median.
    pub p50: f64,
    /// The 95th percentile.
    pub p95: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The 99.9th percentile.
    pub p999: f64,
    /// The maximum.
    pub max: f64,
    /// The number of samples.
    pub count: u64,
}

impl Latencies {
    /// Summarises a histogram of microseconds.
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

/// The results of one customer in a phase.
#[derive(Debug, Clone, Serialize)]
pub struct CustomerReport {
    /// The customer's id.
    pub name: String,
    /// The customer's rate limit, in requests per second.
    pub rate: u32,
    /// Chat requests sent, apart from skipped ones.
    pub sent: u64,
    /// Requests sent that were clearly within rate and burst.
    pub inside: u64,
    /// Complete, expected responses.
    pub whole: u64,
    /// Responses with a status other than 200.
    pub refused: u64,
    /// Refusals of requests that were clearly within the limit. Zero for a customer that exceeds
    /// its rate, since its refusals can't be attributed to single requests.
    pub refused_inside: u64,
    /// Responses other than the expected one.
    pub wrong: u64,
    /// Missing or incomplete responses.
    pub broken: u64,
    /// The most requests that rate and burst allow in the phase.
    pub allowed: u64,
    /// `whole` as a fraction of the smaller of `sent` and `allowed`.
    pub served: f64,
    /// From the due time to the first token.
    pub first: Latencies,
}

/// The results of one phase.
#[derive(Debug, Clone, Serialize)]
pub struct PhaseReport {
    /// `online`, `batch`, `mixed` or `faults`.
    pub name: &'static str,
    /// The length of the phase, in seconds.
    pub seconds: f64,
    /// From the due time to the first token.
    pub first: Latencies,
    /// From the due time to the end of the response.
    pub total: Latencies,
    /// The longest time between two tokens of a response.
    pub gap: Latencies,
    /// Batch items finished per second during the phase.
    pub batch_rate: f64,
    /// All batch items finished, including those after the end of the phase.
    pub batch_done: u64,
    /// Batch items with other outcomes, by outcome.
    pub batch_others: std::collections::BTreeMap<String, u64>,
    /// Wrong, duplicate and missing outcomes of batch items.
    pub batch_wrong: u64,
    /// Refusals by status and the header `x-clem-ran`.
    pub refusals: std::collections::BTreeMap<String, u64>,
    /// Requests that were not sent because too many were in flight.
    pub skipped: u64,
    /// The number of targets killed.
    pub killed: usize,
    /// The results per customer.
    pub customers: Vec<CustomerReport>,
    /// Some reasons of wrong and broken responses.
    pub examples: Vec<String>,
}

impl PhaseReport {
    /// Summarises a phase.
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

    /// The customer with the lowest `served`; among equals, the one with the highest p99 time to
    /// first token.
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

    /// The refusals of requests that were clearly within their customers' limits, and the number of
    /// such requests.
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

/// The results of a run.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// The name of the scenario.
    pub scenario: String,
    /// The random seed of the arrivals.
    pub seed: u64,
    /// The results of the phases, in order.
    pub phases: Vec<PhaseReport>,
    /// Wrong responses, and wrong, duplicate or missing batch outcomes. Must be zero.
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

    /// The phase called `name`, if it was run.
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
