//! The report as a self-contained HTML page with plots.

use plotters::prelude::*;

use crate::error::{Error, Result};
use crate::objective::{BurnKind, BurnRow, burn_rows};
use crate::report;
use crate::slice::{BurnSlice, SLICE_LENGTH};

/// Size of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (760, 240);
/// Minimum upper end of a plot's y axis.
const MIN_Y_MAX: f64 = 2.0;

/// Renders the page for the slices up to the slice `now`.
///
/// # Errors
/// Returns an error if a plot can't be drawn.
pub fn html_page(deployment: &conf::Deployment, slices: &[BurnSlice], now: u64) -> Result<String> {
    let rows = burn_rows(deployment, slices, now);
    let mut plots = String::new();
    for kind in [
        BurnKind::Latency,
        BurnKind::Availability,
        BurnKind::Headroom,
    ] {
        plots.push_str(&format!("<h2>Burn rate: {}</h2>\n", kind.as_str()));
        plots.push_str(&plot(deployment, slices, now, kind, &rows)?);
    }
    Ok(format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>{name}: service-level burn</title>\
         <style>body{{font-family:sans-serif;margin:2em;max-width:60em}}pre{{overflow-x:auto}}</style>\
         </head><body>\n<h1>{name}: service-level burn</h1>\n\
         <p>A rate of 1 uses the budget up exactly by the end of its period.</p>\n\
         <pre>{table}</pre>\n{plots}</body></html>\n",
        name = escape(&deployment.name),
        table = escape(&report::text_report(&rows, slices)),
    ))
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

/// Plots the five-minute burn rate of every service and region over time.
fn plot(
    deployment: &conf::Deployment,
    slices: &[BurnSlice],
    now: u64,
    kind: BurnKind,
    rows: &[BurnRow],
) -> Result<String> {
    let first = slices.iter().map(|slice| slice.number).min().unwrap_or(now);
    let mut lines: Vec<(String, Vec<(f64, f64)>)> = Vec::new();
    for row in rows.iter().filter(|row| row.kind == kind) {
        let name = format!("{} {}", row.key.service, row.key.region);
        lines.push((name, Vec::new()));
    }
    for number in first..=now {
        let at = -((now - number) as f64) * SLICE_LENGTH.as_secs_f64() / 60.0;
        for row in burn_rows(deployment, slices, number) {
            let name = format!("{} {}", row.key.service, row.key.region);
            let rate = row.rates.first().copied().flatten();
            let line = lines.iter_mut().find(|(known, _)| *known == name);
            if let (true, Some(rate), Some((_, points))) = (row.kind == kind, rate, line) {
                points.push((at, rate));
            }
        }
    }
    draw(
        &lines,
        -((now - first).max(1) as f64) * SLICE_LENGTH.as_secs_f64() / 60.0,
    )
}

fn draw(lines: &[(String, Vec<(f64, f64)>)], oldest: f64) -> Result<String> {
    let plot_error = |cause: &dyn std::fmt::Display| Error::Plot(cause.to_string());
    let highest = lines
        .iter()
        .flat_map(|(_, points)| points)
        .map(|point| point.1);
    let top = highest.fold(MIN_Y_MAX, f64::max) * 1.05;
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(|cause| plot_error(&cause))?;
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(44)
            .build_cartesian_2d(oldest..0.0, 0.0..top)
            .map_err(|cause| plot_error(&cause))?;
        chart
            .configure_mesh()
            .x_desc("minutes before now")
            .draw()
            .map_err(|cause| plot_error(&cause))?;
        for (index, (_, points)) in lines.iter().enumerate() {
            let colour = Palette99::pick(index).mix(0.9);
            chart
                .draw_series(LineSeries::new(
                    points.iter().copied(),
                    colour.stroke_width(2),
                ))
                .map_err(|cause| plot_error(&cause))?;
            chart
                .draw_series(
                    points
                        .iter()
                        .map(|point| Circle::new(*point, 2, colour.filled())),
                )
                .map_err(|cause| plot_error(&cause))?;
        }
        area.present().map_err(|cause| plot_error(&cause))?;
    }
    svg.push_str("<p>");
    for (index, (name, _)) in lines.iter().enumerate() {
        let (r, g, b) = Palette99::pick(index).rgb();
        let name = escape(name);
        svg.push_str(&format!(
            "<span style=\"color:rgb({r},{g},{b})\">&#9632;</span> {name} &nbsp; "
        ));
    }
    svg.push_str("</p>\n");
    Ok(svg)
}
