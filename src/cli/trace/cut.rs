//! `onyxstile trace cut`: a part of a trace.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use onyxstile_trace::cut;
use onyxstile_trace::input::Selection;

use super::output::{Shown, create, moment, open, say};
use crate::cli::{Done, Failed};

/// Write a part of a trace: a piece by numbers or times, which can be merged again, or an extract of some flows.
#[derive(FromArgs)]
#[argh(subcommand, name = "cut")]
pub struct Cut {
    /// the trace
    #[argh(positional)]
    file: PathBuf,
    /// where the part goes
    #[argh(option)]
    output: PathBuf,
    /// from the event of this number on
    #[argh(option)]
    from_event: Option<u64>,
    /// up to this event, itself left out
    #[argh(option)]
    to_event: Option<u64>,
    /// from this time on
    #[argh(option)]
    from: Option<String>,
    /// up to this time
    #[argh(option)]
    to: Option<String>,
    /// an extract: only of this destination
    #[argh(option, default = "String::new()")]
    destination: String,
    /// an extract: only of this customer
    #[argh(option, default = "String::new()")]
    customer: String,
    /// an extract: only of the flow with this number
    #[argh(option)]
    flow: Option<u64>,
    /// an extract: only of the flow with this id
    #[argh(option, default = "String::new()")]
    id: String,
}

impl Cut {
    pub(super) fn run(self) -> Done {
        let mut reader = open(&self.file)?;
        let start = reader.header().start_us;
        let (from, to) = (moment(&self.from, start)?, moment(&self.to, start)?);
        let of_some = !self.destination.is_empty()
            || !self.customer.is_empty()
            || self.flow.is_some()
            || !self.id.is_empty();
        let by_number = self.from_event.is_some() || self.to_event.is_some();
        if by_number && (of_some || from.is_some() || to.is_some()) {
            return Err(Failed::unreadable("a cut is by numbers, or by times and names"));
        }
        let mut shown = Shown::new();
        let mut result = cut::Done::default();
        create(&self.output, |out| {
            let progress: &mut dyn FnMut(u64, u64) = &mut |of, at| shown.tell(of, at);
            result = if of_some {
                let (destination, customer) = (self.destination, self.customer);
                let wanted = Selection {
                    from,
                    to,
                    destination,
                    customer,
                    flow: self.flow,
                    id: self.id,
                    ..Selection::default()
                };
                cut::extract(&mut reader, &wanted, out, progress)?
            } else {
                let mut range = cut::extent(&mut reader)?;
                if by_number {
                    range = (self.from_event.unwrap_or(range.0), self.to_event.unwrap_or(range.1));
                } else if from.is_some() || to.is_some() {
                    range = cut::numbers_of_time(&mut reader, from, to)?;
                }
                cut::range(&mut reader, range, out, progress)?
            };
            Ok(())
        })?;
        drop(shown);
        say(&reader);
        eprintln!("{} events, {} to {}", result.events, result.range.0, result.range.1);
        Ok(ExitCode::SUCCESS)
    }
}
