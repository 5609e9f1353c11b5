//! Plots of results over time.

use std::path::Path;

use emulate::TrialReport;
use plotters::prelude::*;

use crate::error::{Error, Result};

/// Size of the plot, in pixels.
const PLOT_SIZE: (u32, u32) = (800, 400);
/// Length of a window of the reports, in seconds.
const WINDOW: f64 = 2.0;

/// Plots the worth over time into the SVG file at `path`: the naive policy in red, the daemon's
/// in blue.
///
/// # Errors
/// Returns an error if the file can't be written.
pub(crate) fn draw(path: &Path, naive: &TrialReport, placed: &TrialReport) -> Result<()> {
    let points = |report: &TrialReport| -> Vec<(f64, f64)> {
        let points = report.windows.iter().enumerate();
        let points = points.map(|(index, window)| (index as f64 * WINDOW, window.worth()));
        points.collect()
    };
    draw_lines(path, &[(points(naive), RED), (points(placed), BLUE)])
        .map_err(|error| Error::Plot(path.display().to_string(), error.to_string()))
}

/// Plots the new version's share of requests over time into the SVG file at `path`: the linear
/// schedule in red, the canary schedule in blue.
///
/// # Errors
/// Returns an error if the file can't be written.
pub(crate) fn draw_shares(path: &Path, linear: &[f64], canary: &[f64]) -> Result<()> {
    let points = |shares: &[f64]| -> Vec<(f64, f64)> {
        let points = shares.iter().enumerate();
        points
            .map(|(second, share)| (second as f64, *share))
            .collect()
    };
    draw_lines(path, &[(points(linear), RED), (points(canary), BLUE)])
        .map_err(|error| Error::Plot(path.display().to_string(), error.to_string()))
}

fn draw_lines(
    path: &Path,
    lines: &[(Vec<(f64, f64)>, RGBColor)],
) -> std::result::Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let points = lines.iter().flat_map(|(points, _)| points);
    let last = points.map(|(at, _)| *at).fold(WINDOW, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(0)
        .y_label_area_size(0)
        .build_cartesian_2d(0.0..last, 0.0..1.0)?;
    for (points, color) in lines {
        chart.draw_series(LineSeries::new(points.iter().copied(), color))?;
    }
    area.present()?;
    Ok(())
}
