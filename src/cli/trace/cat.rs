//! `onyxstile trace cat`: a trace's events, one a line.

use std::io::{BufWriter, IsTerminal, Write};
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use onyxstile_trace::input::{Selection, each};
use onyxstile_trace::text;

use super::output::{Shown, moment, open, say, unless_closed};
use crate::cli::{Done, Failed};

/// Write a trace's events, one a line.
#[derive(FromArgs)]
#[argh(subcommand, name = "cat")]
pub struct Cat {
    /// the trace
    #[argh(positional)]
    file: PathBuf,
    /// text or json (one object a line)
    #[argh(option, default = "String::from(\"text\")")]
    format: String,
    /// from this time on: RFC 3339 in UTC, a clock time of the day on which the trace begins, or Unix seconds
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
    /// only of the flow with this number
    #[argh(option)]
    flow: Option<u64>,
    /// only of the flow with this id
    #[argh(option, default = "String::new()")]
    id: String,
    /// only events of this name; may be given again
    #[argh(option)]
    event: Vec<String>,
}

impl Cat {
    pub(super) fn run(self) -> Done {
        let mut reader = open(&self.file)?;
        let start = reader.header().start_us;
        let mut wanted = Selection {
            from: moment(&self.from, start)?,
            to: moment(&self.to, start)?,
            destination: self.destination,
            customer: self.customer,
            flow: self.flow,
            id: self.id,
            ..Selection::default()
        };
        self.event.iter().try_for_each(|name| wanted.add_event(name)).map_err(Failed::unreadable)?;
        let as_json = match self.format.as_str() {
            "json" => true,
            "text" => false,
            other => return Err(Failed::unreadable(format!("`{other}` is neither `text` nor `json`"))),
        };
        let header = reader.header().clone();
        let mut out = BufWriter::new(std::io::stdout().lock());
        let mut shown = Shown::new();
        shown.on &= !std::io::stdout().is_terminal();
        let done = each(&mut reader, &wanted, &mut |of, at| shown.tell(of, at), &mut |n, _, event| {
            let line =
                if as_json { text::json_line(&header, n, &event) } else { text::line(&header, n, &event) };
            Ok(writeln!(out, "{line}")?)
        });
        unless_closed(done.and_then(|()| Ok(out.flush()?)))?;
        drop(shown);
        say(&reader);
        Ok(ExitCode::SUCCESS)
    }
}
