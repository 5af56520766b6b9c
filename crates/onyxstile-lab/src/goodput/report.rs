//! Goodput over load, as a table and a chart.

use std::fmt::Write;
use std::path::Path;

use super::{Outcome, Shape, play};
use crate::Failed;
use crate::chart::{Line, panels};

/// Loads that are played.
const LOADS: [f64; 10] = [0.5, 1.0, 2.0, 3.0, 4.0, 5.0, 6.0, 7.0, 8.0, 10.0];

/// One row of the table.
struct Row {
    shape: &'static str,
    load: f64,
    admits: bool,
    outcome: Outcome,
}

/// Plays all shapes at all loads and writes FOLDER/goodput.csv and FOLDER/goodput.svg.
///
/// # Errors
/// A file cannot be written.
pub fn run(folder: &Path, seed: u64, seconds: f64) -> Result<(), Failed> {
    let mut rows = Vec::new();
    let mut slow = Shape::small();
    slow.engine.read_per_ms /= 4.0;
    slow.name = "small and slow to read";
    for shape in [Shape::small(), Shape::medium(), Shape::large(), slow] {
        for admits in [false, true] {
            for load in LOADS {
                let shape = Shape { load, admits, seed, seconds, ..shape.clone() };
                let outcome = play(&shape);
                println!("{}", line(shape.name, load, admits, &outcome));
                rows.push(Row { shape: shape.name, load, admits, outcome });
            }
        }
    }
    write(folder, &rows)
}

fn line(name: &str, load: f64, admits: bool, outcome: &Outcome) -> String {
    let sum = |counts: &[u32]| counts.iter().sum::<u32>();
    let by_class: Vec<String> = outcome
        .asked
        .iter()
        .zip(&outcome.in_aim)
        .map(|(asked, in_aim)| format!("{:.3}", f64::from(*in_aim) / f64::from(*asked).max(1.0)))
        .collect();
    let (asked, in_aim, late) = (sum(&outcome.asked), sum(&outcome.in_aim), sum(&outcome.late));
    let (refusals, given_up) = (outcome.refusals, outcome.given_up);
    format!("{name},{load},{admits},{asked},{in_aim},{late},{},{refusals},{given_up}", by_class.join(","))
}

fn write(folder: &Path, rows: &[Row]) -> Result<(), Failed> {
    let mut table = String::from(
        "shape,load,admits,asked,in_aim,late,least_urgent_part,most_urgent_part,refusals,given_up\n",
    );
    for row in rows {
        writeln!(table, "{}", line(row.shape, row.load, row.admits, &row.outcome))?;
    }
    std::fs::write(folder.join("goodput.csv"), table)?;
    let mut names: Vec<&str> = rows.iter().map(|row| row.shape).collect();
    names.dedup();
    let panel = |name: &str| {
        let of = |admits: bool, label: &str| {
            let rows = rows.iter().filter(|row| row.shape == name && row.admits == admits);
            let most = rows.clone().map(in_aim).fold(1.0, f64::max);
            Line { name: label.to_owned(), points: rows.map(|row| (row.load, in_aim(row) / most)).collect() }
        };
        vec![of(false, "all begin"), of(true, "admission")]
    };
    let panel_list: Vec<(&str, Vec<Line>)> = names.iter().map(|name| (*name, panel(name))).collect();
    let title = "Programs in their aim, as a part of each curve's own most";
    panels(&folder.join("goodput.svg"), title, ("times the quiet day's load", "part"), &panel_list, &[])
}

fn in_aim(row: &Row) -> f64 {
    f64::from(row.outcome.in_aim.iter().sum::<u32>())
}
