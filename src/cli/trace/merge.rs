//! `onyxstile trace merge`: pieces or several relays' traces as one.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use onyxstile_trace::merge;

use super::output::{Shown, create};
use crate::cli::{Done, Failed};

/// Join pieces of one trace again, or several relays' traces into one by time. Exits with 1 if something was missing
/// or doubled, which is said on standard error.
#[derive(FromArgs)]
#[argh(subcommand, name = "merge")]
pub struct Merge {
    /// the traces
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// where the result goes
    #[argh(option)]
    output: PathBuf,
    /// NAME=MS: what to add to the times of the relay of that name; may be given again
    #[argh(option)]
    shift: Vec<String>,
}

impl Merge {
    pub(super) fn run(self) -> Done {
        let mut shifts = BTreeMap::new();
        for shift in &self.shift {
            let read = shift.rsplit_once('=').and_then(|(n, ms)| Some((n, ms.parse::<f64>().ok()?)));
            let (name, ms) =
                read.ok_or_else(|| Failed::unreadable(format!("`{shift}` is no name with milliseconds")))?;
            shifts.insert(name.to_string(), (ms * 1e3) as i64);
        }
        let mut shown = Shown::new();
        let mut done = merge::Done::default();
        create(&self.output, |out| {
            done = merge::merge(&self.files, &shifts, out, &mut |of, at| shown.tell(of, at))?;
            Ok(())
        })?;
        drop(shown);
        done.said.iter().for_each(|line| eprintln!("onyxstile: {line}"));
        eprintln!("{} events", done.events);
        Ok(if done.said.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(1) })
    }
}
