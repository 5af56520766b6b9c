//! `onyxstile trace summarise`: counts of a trace.

use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use onyxstile_trace::Error;
use onyxstile_trace::input::{Selection, each};
use onyxstile_trace::summary::Summary;

use super::output::{Shown, moment, open, say, unless_closed};
use crate::cli::{Done, Failed};

/// Count what became of flows, by class, customer, destination, server and span of time.
#[derive(FromArgs)]
#[argh(subcommand, name = "summarise")]
pub struct Summarise {
    /// the trace
    #[argh(positional)]
    file: PathBuf,
    /// text, json or csv
    #[argh(option, default = "String::from(\"text\")")]
    format: String,
    /// length of a span, seconds
    #[argh(option, default = "60.0")]
    window: f64,
    /// names of each sort at most; more are counted together
    #[argh(option, default = "100_000")]
    names: usize,
    /// from this time on
    #[argh(option)]
    from: Option<String>,
    /// up to this time
    #[argh(option)]
    to: Option<String>,
    /// only of this destination
    #[argh(option, default = "String::new()")]
    destination: String,
    /// only of this customer
    #[argh(option, default = "String::new()")]
    customer: String,
    /// only rows by this: class, customer, destination, server or window (text and csv); may be given again
    #[argh(option)]
    by: Vec<String>,
}

impl Summarise {
    pub(super) fn run(self) -> Done {
        let mut reader = open(&self.file)?;
        let start = reader.header().start_us;
        let wanted = Selection {
            from: moment(&self.from, start)?,
            to: moment(&self.to, start)?,
            destination: self.destination,
            customer: self.customer,
            ..Selection::default()
        };
        if !(self.window > 0.0 && self.window < 1e9) {
            return Err(Failed::unreadable("--window has to be a number of seconds above 0"));
        }
        let window = (self.window * 1e6) as u64;
        let mut summary = Summary::new(window, self.names.max(1), reader.header().sampled);
        let mut shown = Shown::new();
        each(&mut reader, &wanted, &mut |of, at| shown.tell(of, at), &mut |_, _, event| {
            summary.add(start + event.at_us, &event);
            Ok(())
        })?;
        drop(shown);
        summary.close();
        let written = match self.format.as_str() {
            "json" => serde_json::to_string_pretty(&summary)? + "\n",
            "csv" => summary.csv(&self.by),
            "text" => summary.text(&self.by),
            other => return Err(Failed::unreadable(format!("`{other}` is none of `text`, `json`, `csv`"))),
        };
        unless_closed(std::io::stdout().write_all(written.as_bytes()).map_err(Error::from))?;
        say(&reader);
        Ok(ExitCode::SUCCESS)
    }
}
