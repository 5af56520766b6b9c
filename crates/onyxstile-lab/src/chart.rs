//! Pictures of what was measured, as SVG.

use crate::Failed;
use plotters::prelude::*;
use std::path::Path;

/// A line of a chart.
#[derive(Debug, Clone)]
pub struct Line {
    /// Its name.
    pub name: String,
    /// Its points.
    pub points: Vec<(f64, f64)>,
}

/// Draws panels of lines beside one another, all to one scale; `marks` are moments with a name.
///
/// # Errors
/// The file cannot be written.
pub fn panels(
    path: &Path, title: &str, axes: (&str, &str), panels: &[(&str, Vec<Line>)], marks: &[(f64, &str)],
) -> Result<(), Failed> {
    let area = SVGBackend::new(path, (1100, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let area = area.titled(title, ("sans-serif", 20))?;
    let all = || panels.iter().flat_map(|(_, lines)| lines).flat_map(|l| &l.points);
    let right = all().map(|p| p.0).fold(1.0, f64::max);
    let top = all().map(|p| p.1).fold(1.0, f64::max) * 1.05;
    for (part, (name, lines)) in area.split_evenly((1, panels.len().max(1))).iter().zip(panels) {
        let mut chart = ChartBuilder::on(part)
            .caption(name, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(36)
            .y_label_area_size(46)
            .build_cartesian_2d(0.0..right, 0.0..top)?;
        chart.configure_mesh().x_desc(axes.0).y_desc(axes.1).light_line_style(WHITE).draw()?;
        for (at, what) in marks {
            chart.draw_series([PathElement::new(vec![(*at, 0.0), (*at, top)], BLACK.mix(0.3))])?;
            chart.draw_series([Text::new(what.to_string(), (*at, top), ("sans-serif", 11))])?;
        }
        for (n, line) in lines.iter().enumerate() {
            let colour = Palette99::pick(n).to_rgba();
            let drawn =
                chart.draw_series(LineSeries::new(line.points.iter().copied(), colour.stroke_width(2)))?;
            drawn.label(&line.name).legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 14, y)], colour));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.3))
            .draw()?;
    }
    area.present()?;
    Ok(())
}
