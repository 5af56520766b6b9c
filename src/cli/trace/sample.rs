//! `onyxstile trace sample`: a made-up trace.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use onyxstile_trace::{Options, sample};

use super::output::create;
use crate::cli::Done;

/// Write a made-up trace to try the tools on.
#[derive(FromArgs)]
#[argh(subcommand, name = "sample")]
pub struct Sample {
    /// where it goes
    #[argh(positional)]
    output: PathBuf,
    /// the same seed gives the same trace
    #[argh(option, default = "1")]
    seed: u64,
    /// flows that are handed in
    #[argh(option, default = "1000")]
    flows: u64,
    /// customers that they come from
    #[argh(option, default = "50")]
    customers: u64,
    /// the relay's name
    #[argh(option, default = "String::from(\"relay-a\")")]
    relay: String,
}

impl Sample {
    pub(super) fn run(self) -> Done {
        let wanted = sample::Wanted {
            customers: self.customers.max(1),
            relay: self.relay,
            ..sample::Wanted::of(self.seed, self.flows)
        };
        create(&self.output, |out| {
            sample::sample(&wanted, out, Options::default())?;
            Ok(())
        })?;
        Ok(ExitCode::SUCCESS)
    }
}
