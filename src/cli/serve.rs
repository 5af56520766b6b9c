//! `onyxstile serve`.

use super::Done;
use crate::logger;
use argh::FromArgs;
use onyxstile::net::{config::Config, relay};
use std::path::PathBuf;
use std::process::ExitCode;

/// Run a relay.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct Serve {
    /// the operator's file (TOML): the mail front, and all of a relay without a platform
    #[argh(option)]
    config: Option<PathBuf>,
}

impl Serve {
    /// Runs it until it is told to end.
    pub fn run(self) -> Done {
        logger::start();
        let config = Config::load(self.config.as_deref())?;
        relay::serve(&config, self.config)?;
        Ok(ExitCode::SUCCESS)
    }
}
