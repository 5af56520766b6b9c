//! `onyxstile trace plot`: charts.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

use crate::cli::{Done, Failed};

/// Draw charts of a trace. The program onyxstile-plot, which stands beside this one, does it.
#[derive(FromArgs)]
#[argh(subcommand, name = "plot")]
pub struct Plot {
    /// the trace
    #[argh(positional)]
    file: PathBuf,
    /// worth, latency, refusals, health or ladder
    #[argh(option, default = "String::from(\"worth\")")]
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

impl Plot {
    pub(super) fn run(self) -> Done {
        let program = std::env::current_exe()?.with_file_name("onyxstile-plot");
        let mut command = std::process::Command::new(&program);
        command.arg(&self.file).arg("--chart").arg(&self.chart).arg("--output").arg(&self.output);
        if let Some(flow) = self.flow {
            command.arg("--flow").arg(flow.to_string());
        }
        for (name, value) in [("--destination", &self.destination), ("--customer", &self.customer)] {
            if !value.is_empty() {
                command.arg(name).arg(value);
            }
        }
        let status = command
            .status()
            .map_err(|e| Failed::unreadable(format!("{}: {e}; `make build` builds it", program.display())))?;
        Ok(ExitCode::from(status.code().and_then(|c| u8::try_from(c).ok()).unwrap_or(1)))
    }
}
