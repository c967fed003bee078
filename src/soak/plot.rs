//! The plot of a run: what callers saw over time, with the faults marked.

use std::path::Path;

use plotters::{
    chart::ChartBuilder,
    drawing::IntoDrawingArea,
    element::PathElement,
    prelude::SVGBackend,
    series::LineSeries,
    style::{BLACK, BLUE, Color, RED, RGBColor, WHITE},
};

use super::{
    SoakError,
    report::{Report, Second},
};

const SIZE: (u32, u32) = (1_000, 420);
const MARGIN: u32 = 12;
const LABELS: u32 = 44;
const ORANGE: RGBColor = RGBColor(230, 130, 0);
const GREY: RGBColor = RGBColor(200, 200, 200);
const LEGEND_WIDTH: i32 = 16;

/// A line of the plot.
struct Line {
    name: &'static str,
    color: RGBColor,
    count: fn(&Second) -> u64,
}

const LINES: [Line; 4] = [
    Line {
        name: "served",
        color: BLUE,
        count: |second| second.served,
    },
    Line {
        name: "refused",
        color: ORANGE,
        count: |second| second.refused,
    },
    Line {
        name: "given up",
        color: BLACK,
        count: |second| second.given_up,
    },
    Line {
        name: "broken",
        color: RED,
        count: |second| second.broken,
    },
];

/// Draws a report as SVG.
///
/// # Errors
///
/// Fails if the file can't be written.
pub fn draw(report: &Report, path: &Path) -> Result<(), SoakError> {
    let failed = |error: &dyn std::fmt::Display| SoakError::Plot {
        why: error.to_string(),
    };
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|error| failed(&error))?;
    let most = report.seconds.iter().map(|second| second.served).max();
    let most = most.unwrap_or(0).max(1) as f64;
    let end = report.seconds.len().max(1) as f64;
    let mut chart = ChartBuilder::on(&area)
        .margin(MARGIN)
        .caption(report.line(), ("sans-serif", 14))
        .x_label_area_size(LABELS)
        .y_label_area_size(LABELS)
        .build_cartesian_2d(0.0..end, 0.0..most * 1.1)
        .map_err(|error| failed(&error))?;
    chart
        .configure_mesh()
        .disable_mesh()
        .x_desc("seconds")
        .y_desc("a second")
        .draw()
        .map_err(|error| failed(&error))?;
    let faults = report.faults.iter().map(|struck| {
        let at = struck.at_ms as f64 / 1000.0;
        PathElement::new(vec![(at, 0.0), (at, most * 1.1)], GREY)
    });
    chart.draw_series(faults).map_err(|error| failed(&error))?;
    for line in LINES {
        let seconds = report.seconds.iter().enumerate();
        let points = seconds.map(|(at, second)| (at as f64 + 0.5, (line.count)(second) as f64));
        chart
            .draw_series(LineSeries::new(points, line.color))
            .map_err(|error| failed(&error))?
            .label(line.name)
            .legend(move |(x, y)| {
                PathElement::new(vec![(x, y), (x + LEGEND_WIDTH, y)], line.color)
            });
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(|error| failed(&error))?;
    area.present().map_err(|error| failed(&error))
}
