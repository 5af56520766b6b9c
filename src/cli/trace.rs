//! `onyxstile trace …`: the tools for traces, a file each.

mod anonymise;
mod cat;
mod cut;
mod merge;
mod output;
mod plot;
mod repair;
mod sample;
mod summarise;
mod verify;

use argh::FromArgs;

use super::Done;
use anonymise::Anonymise;
use cat::Cat;
use cut::Cut;
use merge::Merge;
use plot::Plot;
use repair::Repair;
use sample::Sample;
use summarise::Summarise;
use verify::Verify;

/// Read, count, cut, merge, check and draw traces.
#[derive(FromArgs)]
#[argh(subcommand, name = "trace")]
pub struct Trace {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Cat(Cat),
    Summarise(Summarise),
    Cut(Cut),
    Merge(Merge),
    Anonymise(Anonymise),
    Verify(Verify),
    Repair(Repair),
    Plot(Plot),
    Sample(Sample),
}

impl Trace {
    /// Does it.
    pub fn run(self) -> Done {
        match self.command {
            Command::Cat(c) => c.run(),
            Command::Summarise(c) => c.run(),
            Command::Cut(c) => c.run(),
            Command::Merge(c) => c.run(),
            Command::Anonymise(c) => c.run(),
            Command::Verify(c) => c.run(),
            Command::Repair(c) => c.run(),
            Command::Plot(c) => c.run(),
            Command::Sample(c) => c.run(),
        }
    }
}
