//! Draws worth over time.

use std::path::Path;

use emulate::TrialReport;
use plotters::prelude::*;

use crate::error::{Error, Result};

/// Size of the picture, in pixels.
const SIZE: (u32, u32) = (800, 400);
/// Seconds of a window of the reports.
const WINDOW: f64 = 2.0;

/// Draws both ways into the SVG file at `path`: the naive one in red.
///
/// # Errors
/// Where the file can't be written.
pub(crate) fn draw(path: &Path, naive: &TrialReport, placed: &TrialReport) -> Result<()> {
    draw_lines(path, naive, placed)
        .map_err(|error| Error::Plot(path.display().to_string(), error.to_string()))
}

fn draw_lines(
    path: &Path,
    naive: &TrialReport,
    placed: &TrialReport,
) -> std::result::Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let last = placed.windows.len() as f64 * WINDOW;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(0)
        .y_label_area_size(0)
        .build_cartesian_2d(0.0..last, 0.0..1.0)?;
    for (report, color) in [(naive, RED), (placed, BLUE)] {
        let points = report.windows.iter().enumerate();
        let points = points.map(|(index, window)| (index as f64 * WINDOW, window.worth()));
        chart.draw_series(LineSeries::new(points, &color))?;
    }
    area.present()?;
    Ok(())
}
