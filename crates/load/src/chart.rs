//! Draws the report as a chart: time to first token of each phase, and how each customer was
//! served.

use std::path::Path;

use eyre::{Result, eyre};
use plotters::{
    coord::Shift,
    prelude::{
        ChartBuilder, Color, DrawingArea, IntoDrawingArea, IntoSegmentedCoord, LineSeries,
        PathElement, Rectangle, SVGBackend, SegmentValue, WHITE,
    },
    style::{BLACK, Palette, Palette99},
};

use crate::{PhaseReport, Report};

/// Width and height of the chart, in pixels.
const SIZE: (u32, u32) = (900, 800);
const FONT: &str = "sans-serif";

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Writes the chart of a report to an SVG file.
///
/// # Errors
/// The file can't be written.
pub fn draw(report: &Report, path: &Path) -> Result<()> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    let drawn = (|| {
        root.fill(&WHITE).map_err(text)?;
        let (upper, lower) = root.split_vertically(SIZE.1 / 2);
        draw_latencies(report, &upper)?;
        draw_customers(report, &lower)?;
        root.present().map_err(text)
    })();
    drawn.map_err(|error| eyre!("failed to draw the chart: {error}"))
}

fn text(error: impl std::fmt::Display) -> String {
    error.to_string()
}

fn points(phase: &PhaseReport) -> [(f64, f64); 4] {
    let first = &phase.first;
    [
        (50.0, first.p50),
        (95.0, first.p95),
        (99.0, first.p99),
        (99.9, first.p999),
    ]
}

fn draw_latencies(report: &Report, area: &Area<'_>) -> Result<(), String> {
    let highest = report.phases.iter().map(|phase| phase.first.p999);
    let highest = highest.fold(1.0, f64::max) * 1.1;
    let title = format!("{}: time to first token", report.scenario);
    let mut chart = ChartBuilder::on(area)
        .caption(title, (FONT, 20))
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(60)
        .build_cartesian_2d(50.0..100.0, 0.0..highest)
        .map_err(text)?;
    let mut mesh = chart.configure_mesh();
    mesh.x_desc("percentile")
        .y_desc("ms")
        .draw()
        .map_err(text)?;
    for (index, phase) in report.phases.iter().enumerate() {
        if phase.first.count == 0 {
            continue;
        }
        let colour = Palette99::pick(index);
        let line = LineSeries::new(points(phase), colour.stroke_width(2)).point_size(3);
        let colour = Palette99::pick(index);
        chart
            .draw_series(line)
            .map_err(text)?
            .label(phase.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], colour.stroke_width(2)));
    }
    let mut labels = chart.configure_series_labels();
    labels.border_style(BLACK).draw().map_err(text)
}

fn draw_customers(report: &Report, area: &Area<'_>) -> Result<(), String> {
    let Some(phase) = report.phases.last() else {
        return Ok(());
    };
    let names: Vec<_> = phase.customers.iter().map(|c| c.name.as_str()).collect();
    let title = format!(
        "answers in phase {}, % of each customer's allowance",
        phase.name
    );
    let mut chart = ChartBuilder::on(area)
        .caption(title, (FONT, 20))
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(60)
        .build_cartesian_2d((0..names.len()).into_segmented(), 0.0..110.0)
        .map_err(text)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(names.len())
        .x_label_formatter(&|index| match index {
            SegmentValue::CenterOf(index) => (*names.get(*index).unwrap_or(&"")).to_owned(),
            SegmentValue::Exact(_) | SegmentValue::Last => String::new(),
        })
        .draw()
        .map_err(text)?;
    let bars = phase.customers.iter().enumerate().map(|(index, customer)| {
        let corners = [
            (SegmentValue::Exact(index), 0.0),
            (SegmentValue::Exact(index + 1), customer.served * 100.0),
        ];
        let mut bar = Rectangle::new(corners, Palette99::pick(index).filled());
        bar.set_margin(0, 0, 8, 8);
        bar
    });
    chart.draw_series(bars).map_err(text)?;
    Ok(())
}
