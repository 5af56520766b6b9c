//! `onyxstile trace repair`: a trace anew from what can be read of it.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use onyxstile_trace::cut;

use super::output::{Shown, create, open, say};
use crate::cli::Done;

/// Write a trace anew from what can be read of it, with an index.
#[derive(FromArgs)]
#[argh(subcommand, name = "repair")]
pub struct Repair {
    /// the trace
    #[argh(positional)]
    file: PathBuf,
    /// where the result goes
    #[argh(option)]
    output: PathBuf,
}

impl Repair {
    pub(super) fn run(self) -> Done {
        let mut reader = open(&self.file)?;
        let mut shown = Shown::new();
        let mut done = cut::Done::default();
        create(&self.output, |out| {
            done = cut::repair(&mut reader, out, &mut |of, at| shown.tell(of, at))?;
            Ok(())
        })?;
        drop(shown);
        say(&reader);
        eprintln!("{} events", done.events);
        Ok(ExitCode::SUCCESS)
    }
}
