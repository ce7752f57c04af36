//! Plots that compare two runs of a plan, with one point per second.

use std::{
    error,
    path::Path, //
};

use mulberrynotch_standin::emulator::{
    plan,
    report, //
};
use plotters::prelude::{
    BLACK,
    BLUE,
    ChartBuilder,
    Color,
    IntoDrawingArea,
    LineSeries,
    PathElement,
    RED,
    SVGBackend,
    WHITE, //
};

/// Width and height of a plot, in pixels.
const SIZE_PIXELS: (u32, u32) = (900, 420);

/// Writes an SVG plot of the share of requests answered in aim over time. Vertical lines mark the
/// faults.
///
/// # Errors
///
/// Fails when the file cannot be written.
pub(crate) fn draw(
    path: &Path,
    plan: &plan::Plan,
    steer: &report::Report,
    hash: &report::Report,
) -> Result<(), Box<dyn error::Error>> {
    let area = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE)?;
    let end = f64::from(u32::try_from(plan.seconds)?);
    let mut chart = ChartBuilder::on(&area)
        .caption(
            format!("{}: answered in aim", plan.name),
            ("sans-serif", 20),
        )
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..end, 0.0..1.05)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("share of requests")
        .draw()?;
    for fault in &plan.faults {
        let line = [(fault.at(), 0.0), (fault.at(), 1.05)];
        chart.draw_series([PathElement::new(line, BLACK.mix(0.4))])?;
    }
    for (name, report, colour) in [("steer", steer, BLUE), ("hash", hash, RED)] {
        let windows = report.windows();
        let points = windows.iter().filter_map(|window| {
            let from = u32::try_from(window.from).ok()?;
            Some((f64::from(from) + 0.5, window.in_aim()))
        });
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
