//! The table and the chart of a fleet's return.

use super::{Came, Scene, Way, play};
use crate::Failed;
use crate::chart::{Line, panels};
use std::path::Path;
use std::time::Duration;

/// Plays all sizes and ways, `seeds` times each, prints a table and draws a chart of the largest fleet.
///
/// # Errors
/// The chart cannot be written.
pub fn run(sizes: &[usize], kept: usize, seeds: u64, chart: &Path) -> Result<(), Failed> {
    println!(
        "| relays | way | 50% s | 90% s | 99% s | notes/min | bytes/min | coldest partner, of its budget | fell |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut lines = Vec::new();
    for relays in sizes {
        for way in Way::ALL {
            let came: Vec<_> =
                (1..=seeds).map(|seed| play(Scene { relays: *relays, kept, way, seed })).collect();
            println!("| {relays} | {} | {} |", way.name(), row(&came));
            if relays == sizes.last().unwrap_or(&0) {
                let points = (0..came[0].curve.len()).map(|s| {
                    let mean = came.iter().map(|c| c.curve[s]).sum::<f64>() / seeds as f64;
                    (s as f64, mean)
                });
                lines.push(Line { name: way.name().into(), points: points.collect() });
            }
        }
    }
    let title = format!(
        "{} relays, power back at 6 s: delivered, as a share of what is handed in",
        sizes.last().unwrap_or(&0)
    );
    panels(chart, &title, ("s", "share"), &[("mean of all seeds", lines)], &[(4.0, "lost"), (6.0, "back")])
}

fn row(came: &[Came]) -> String {
    let times = (0..3).map(|k| {
        let seen: Vec<f64> =
            came.iter().filter_map(|c| c.back[k]).map(|d| Duration::as_secs_f64(&d)).collect();
        let missing = came.len() - seen.len();
        let never = if missing > 0 { format!(" ({missing} never)") } else { String::new() };
        format!("{}{never}", with_interval(&seen, 1))
    });
    let of = |f: fn(&Came) -> f64| came.iter().map(f).collect::<Vec<_>>();
    let rest = [
        with_interval(&of(|c| c.notes), 0),
        with_interval(&of(|c| c.note_bytes), 0),
        with_interval(&of(|c| c.coldest), 2),
        with_interval(&of(|c| c.fallen as f64), 1),
    ];
    times.chain(rest).collect::<Vec<_>>().join(" | ")
}

/// The mean and half of its interval at 95%, by Student's t for ten plays.
fn with_interval(of: &[f64], digits: usize) -> String {
    if of.is_empty() {
        return "-".into();
    }
    let n = of.len() as f64;
    let mean = of.iter().sum::<f64>() / n;
    let variance = of.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / (n - 1.0).max(1.0);
    format!("{mean:.digits$} ± {:.digits$}", 2.26 * (variance / n).sqrt())
}
