//! `onyxstile version`.

use super::Done;
use argh::FromArgs;
use std::process::ExitCode;

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
pub struct Version {}

impl Version {
    /// Prints it.
    pub fn run(self) -> Done {
        println!("onyxstile {}", env!("CARGO_PKG_VERSION"));
        Ok(ExitCode::SUCCESS)
    }
}
