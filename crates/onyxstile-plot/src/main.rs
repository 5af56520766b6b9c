//! Draws charts of a relay's trace. `onyxstile trace plot` calls it; it is a program of its own so that the relay
//! carries no chart library.

mod draw;
mod series;

use argh::FromArgs;
use onyxstile_trace::Reader;
use onyxstile_trace::input::{Selection, each};
use std::error::Error;
use std::fs::File;
use std::path::PathBuf;
use std::process::ExitCode;

/// Draw a chart of a trace.
#[derive(FromArgs)]
struct Arguments {
    /// the trace
    #[argh(positional)]
    file: PathBuf,
    /// worth, latency, refusals, health or ladder
    #[argh(option)]
    chart: String,
    /// where the chart goes (SVG)
    #[argh(option)]
    output: PathBuf,
    /// the flow of a ladder
    #[argh(option)]
    flow: Option<u64>,
    /// only of this destination
    #[argh(option, default = "String::new()")]
    destination: String,
    /// only of this customer
    #[argh(option, default = "String::new()")]
    customer: String,
}

fn main() -> ExitCode {
    match run(&argh::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("onyxstile-plot: {e}");
            ExitCode::from(2)
        }
    }
}

fn run(asked: &Arguments) -> Result<(), Box<dyn Error>> {
    let mut reader = Reader::open(File::open(&asked.file)?)?;
    let header = reader.header().clone();
    let wanted = Selection {
        destination: asked.destination.clone(),
        customer: asked.customer.clone(),
        flow: asked.flow,
        ..Selection::default()
    };
    let mut chart = series::Chart::new(&asked.chart, &header, asked.flow)?;
    each(&mut reader, &wanted, &mut |_, _| {}, &mut |_, _, event| {
        chart.add(header.start_us + event.at_us, &event);
        Ok(())
    })?;
    let title = format!("{}: {}", header.relay, asked.chart);
    draw::draw(&asked.output, &title, chart.close())
}
