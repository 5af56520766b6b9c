//! The drawing itself.

use crate::series::{Bar, Line, Picture};
use onyxstile_trace::ladder::Rung;
use plotters::coord::Shift;
use plotters::prelude::*;
use std::error::Error;
use std::path::Path;

type Done = Result<(), Box<dyn Error>>;
type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Draws a picture to a file.
///
/// # Errors
/// There is nothing to draw, or the file cannot be written.
pub fn draw(path: &Path, title: &str, picture: Picture) -> Done {
    let height = match &picture {
        Picture::Lines { .. } => 420,
        Picture::Bars { rows, .. } => 110 + 22 * rows.len().max(3) as u32,
        Picture::Rungs(rungs) => 110 + 22 * rungs.len().max(3) as u32,
    };
    let area = SVGBackend::new(path, (1100, height)).into_drawing_area();
    area.fill(&WHITE)?;
    let area = area.titled(title, ("sans-serif", 18))?;
    match picture {
        Picture::Lines { what, lines } => draw_lines(&area, what, &lines)?,
        Picture::Bars { rows, bars, end } => draw_bars(&area, &rows, &bars, end)?,
        Picture::Rungs(rungs) => draw_rungs(&area, &rungs)?,
    }
    area.present()?;
    Ok(())
}

fn draw_lines(area: &Area<'_>, what: &str, lines: &[Line]) -> Done {
    let all = || lines.iter().flat_map(|l| &l.points);
    if all().next().is_none() {
        return Err("the trace holds nothing that this chart shows".into());
    }
    let right = all().map(|p| p.0).fold(1.0, f64::max);
    let top = all().map(|p| p.1).fold(0.001, f64::max) * 1.05;
    let mut chart = ChartBuilder::on(area)
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart.configure_mesh().x_desc("seconds").y_desc(what).light_line_style(WHITE).draw()?;
    for (n, line) in lines.iter().enumerate() {
        let colour = Palette99::pick(n).to_rgba();
        let drawn =
            chart.draw_series(LineSeries::new(line.points.iter().copied(), colour.stroke_width(2)))?;
        drawn.label(&line.name).legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 14, y)], colour));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK.mix(0.3)).draw()?;
    Ok(())
}

/// Colours of what a real server is taken for: well, warming, down.
const STATES: [(RGBColor, &str); 3] =
    [(RGBColor(120, 190, 120), "well"), (RGBColor(240, 190, 70), "cold"), (RGBColor(200, 70, 60), "down")];

fn draw_bars(area: &Area<'_>, rows: &[String], bars: &[Bar], end: f64) -> Done {
    if rows.is_empty() {
        return Err("no real server changed its health in this trace".into());
    }
    let mut chart = ChartBuilder::on(area)
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(10)
        .build_cartesian_2d(0.0..end.max(0.001), 0.0..rows.len() as f64)?;
    chart.configure_mesh().x_desc("seconds").disable_y_mesh().y_labels(0).light_line_style(WHITE).draw()?;
    for (state, (colour, name)) in STATES.iter().enumerate() {
        let its = bars.iter().filter(|b| b.state == state);
        let rectangles = its.map(|b| {
            let row = b.row as f64;
            Rectangle::new([(b.span.0, row + 0.15), (b.span.1, row + 0.85)], colour.filled())
        });
        let drawn = chart.draw_series(rectangles)?;
        drawn
            .label(*name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 14, y + 5)], colour.filled()));
    }
    for (row, name) in rows.iter().enumerate() {
        let at = (end * 0.004, row as f64 + 0.7);
        chart.draw_series([Text::new(name.clone(), at, ("sans-serif", 13))])?;
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK.mix(0.3)).draw()?;
    Ok(())
}

fn draw_rungs(area: &Area<'_>, rungs: &[Rung]) -> Done {
    let start = rungs.iter().map(|r| r.from).min().ok_or("the trace does not hold this flow")?;
    let ms = |at: u64| (at - start) as f64 / 1e3;
    let end = rungs.iter().map(|r| ms(r.to)).fold(1.0, f64::max);
    let count = rungs.len() as f64;
    let mut chart = ChartBuilder::on(area)
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(10)
        .build_cartesian_2d(0.0..end * 1.35, 0.0..count)?;
    chart.configure_mesh().x_desc("ms").disable_y_mesh().y_labels(0).light_line_style(WHITE).draw()?;
    for (n, rung) in rungs.iter().enumerate() {
        let y = count - n as f64 - 0.5;
        let (from, to) = (ms(rung.from), ms(rung.to));
        let colour = if rung.place == "relay" { RGBColor(90, 90, 90) } else { RGBColor(60, 110, 190) };
        if rung.to > rung.from {
            let bar = Rectangle::new([(from, y - 0.25), (to, y + 0.25)], colour.mix(0.6).filled());
            chart.draw_series([bar])?;
        } else {
            chart.draw_series([Circle::new((from, y), 3, colour.filled())])?;
        }
        let text = format!("{} {}  (+{from:.1} ms)", rung.place, rung.what);
        chart.draw_series([Text::new(text, (to + end * 0.01, y + 0.3), ("sans-serif", 13))])?;
    }
    Ok(())
}
