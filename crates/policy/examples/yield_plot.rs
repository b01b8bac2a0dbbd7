//! Plots chat latency against batch throughput for each policy to `docs/design/yield.svg`, and
//! prints a table.

#[path = "../tests/fill/mod.rs"]
mod fill;

use std::error::Error;

use clem_policy::Balance;
use fill::{Figures, Policy, Run, Shape, perfect};
use plotters::prelude::*;

type Result<T> = std::result::Result<T, Box<dyn Error>>;

const SEEDS: [u64; 3] = [1, 2, 3];
const SIZE: (u32, u32) = (760, 460);
const PLOT: &str = "docs/design/yield.svg";
/// Maximum relative p99 to first token and minimum batch fraction of the default balance.
const TARGET: (f64, f64) = (1.10, 0.85);

/// Mean of the runs of one policy, relative to runs without batch.
#[derive(Debug)]
struct Point {
    name: String,
    policy: Policy,
    first: f64,
    between: f64,
    share: f64,
}

fn main() -> Result<()> {
    let alone: Vec<Figures> = SEEDS
        .iter()
        .map(|seed| run(*seed, Policy::NoBatch))
        .collect();
    let mut points = Vec::new();
    for (name, policy) in policies() {
        points.push(point(name, policy, &alone));
    }
    println!("| policy | p99 to first token | p95 between tokens | batch, of a perfect filler |");
    println!("|---|---|---|---|");
    for point in &points {
        println!(
            "| {} | x{:.2} | x{:.2} | {:.2} |",
            point.name, point.first, point.between, point.share
        );
    }
    draw(&points)
}

fn policies() -> Vec<(String, Policy)> {
    let mut policies = vec![
        ("no priority".to_owned(), Policy::NoPriority),
        ("pause on burst".to_owned(), Policy::PauseOnBurst),
    ];
    for streams in [1, 2, 4, 8] {
        policies.push((
            format!("fixed split, {streams}"),
            Policy::FixedSplit(streams),
        ));
    }
    for point in [0, 25, 50, 75, 100] {
        let balance = Balance::new(point).unwrap_or(Balance::DEFAULT);
        policies.push((format!("balance {point}"), Policy::Admission(balance)));
    }
    policies
}

fn run(seed: u64, policy: Policy) -> Figures {
    Run::new(seed, Shape::Bursts, policy).figures()
}

fn point(name: String, policy: Policy, alone: &[Figures]) -> Point {
    let (mut first, mut between, mut share) = (0.0, 0.0, 0.0);
    let runs = SEEDS.len() as f64;
    for (seed, alone) in SEEDS.iter().zip(alone) {
        let run = run(*seed, policy);
        first += run.first_p99.as_secs_f64() / alone.first_p99.as_secs_f64() / runs;
        between += run.between_p95.as_secs_f64() / alone.between_p95.as_secs_f64() / runs;
        share += run.batch_tokens as f64 / perfect(alone) as f64 / runs;
    }
    Point {
        name,
        policy,
        first,
        between,
        share,
    }
}

fn draw(points: &[Point]) -> Result<()> {
    let area = SVGBackend::new(PLOT, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .caption(
            "Batch tokens against the p99 to a chat's first token",
            ("sans-serif", 17),
        )
        .x_label_area_size(44)
        .y_label_area_size(52)
        .build_cartesian_2d(0.0..1.4, (0.9..60.0).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("batch tokens, as a share of a perfect filler's")
        .y_desc("p99 to first token, times that without batch")
        .y_label_formatter(&|y| format!("x{y:.0}"))
        .draw()?;
    let (slowdown, share) = TARGET;
    chart.draw_series([Rectangle::new(
        [(share, 0.9), (1.4, slowdown)],
        GREEN.mix(0.15).filled(),
    )])?;
    let agent = points
        .iter()
        .filter(|p| is_agent(p))
        .map(|p| (p.share, p.first));
    chart.draw_series(LineSeries::new(agent, BLUE))?;
    for point in points {
        let colour = if is_agent(point) { BLUE } else { RED };
        let place = (point.share, point.first);
        chart.draw_series([Circle::new(place, 4, colour.filled())])?;
        let label = Text::new(point.name.clone(), place, ("sans-serif", 12));
        chart.draw_series([label])?;
    }
    area.present()?;
    Ok(())
}

fn is_agent(point: &Point) -> bool {
    matches!(point.policy, Policy::Admission(_))
}
