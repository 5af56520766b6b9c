//! `onyxstile trace verify`: whether a trace is whole and keeps the rules.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use onyxstile_trace::text;
use onyxstile_trace::verify::verify;

use super::output::{Shown, open};
use crate::cli::Done;

/// Check a trace's structure, and the rules by what it tells. Exits with 1 if anything is wrong.
#[derive(FromArgs)]
#[argh(subcommand, name = "verify")]
pub struct Verify {
    /// the trace
    #[argh(positional)]
    file: PathBuf,
}

impl Verify {
    pub(super) fn run(self) -> Done {
        let mut reader = open(&self.file)?;
        let mut shown = Shown::new();
        let verdict = verify(&mut reader, &mut |of, at| shown.tell(of, at))?;
        drop(shown);
        verdict.structure.iter().for_each(|line| println!("structure: {line}"));
        for broken in &verdict.told {
            println!("event {} at {}: {}", broken.event, text::time(broken.at), broken.what);
        }
        println!(
            "{} events, {} flows taken on, {} ended, {} open at the end, {} attempts, {} events dropped, {} rules broken",
            verdict.events,
            verdict.flows,
            verdict.ended,
            verdict.open,
            verdict.attempts,
            verdict.dropped,
            verdict.broken
        );
        Ok(ExitCode::from(u8::from(!verdict.is_good())))
    }
}
