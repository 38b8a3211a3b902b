//! Line plots as SVG.

use std::path::Path;

use plotters::prelude::{
    ChartBuilder, Color as _, IntoDrawingArea as _, LineSeries, Palette as _, Palette99,
    PathElement, SVGBackend, WHITE,
};

const SIZE: (u32, u32) = (800, 400);
/// Height of the axis over the largest value.
const HEADROOM: f64 = 1.1;

/// Values over time.
#[derive(Debug)]
pub(crate) struct Series {
    pub(crate) label: String,
    /// Time in seconds, and value.
    pub(crate) points: Vec<(f64, f64)>,
}

/// Error of a plot that cannot be drawn or written.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub(crate) struct Error(String);

/// Writes a plot of the series.
pub(crate) fn draw(path: &Path, title: &str, series: &[Series]) -> Result<(), Error> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    let error = |error: &dyn std::fmt::Display| Error(error.to_string());
    area.fill(&WHITE).map_err(|it| error(&it))?;
    let points = series.iter().flat_map(|it| &it.points);
    let (start, end, most) = points.fold((f64::MAX, 0.0_f64, 0.0_f64), |bounds, point| {
        (
            bounds.0.min(point.0),
            bounds.1.max(point.0),
            bounds.2.max(point.1),
        )
    });
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(start..end, 0.0..most * HEADROOM)
        .map_err(|it| error(&it))?;
    let mut mesh = chart.configure_mesh();
    mesh.x_desc("time, s").draw().map_err(|it| error(&it))?;
    for (number, line) in series.iter().enumerate() {
        let color = Palette99::pick(number);
        let style = color.stroke_width(2);
        let drawn = chart
            .draw_series(LineSeries::new(line.points.iter().copied(), style))
            .map_err(|it| error(&it))?;
        drawn
            .label(line.label.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], style));
    }
    let mut labels = chart.configure_series_labels();
    labels
        .background_style(WHITE)
        .draw()
        .map_err(|it| error(&it))?;
    area.present().map_err(|it| error(&it))
}
