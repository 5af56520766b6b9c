//! The relay's command line.

mod logger;

use argh::FromArgs;
use onyxstile::net::{config::Config, relay};
use std::process::ExitCode;

/// Takes messages on and delivers each once.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(Serve),
    Version(Version),
}

/// Run a relay.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

fn main() -> ExitCode {
    let done = match argh::from_env::<Arguments>().command {
        Command::Serve(_) => serve().map_err(|e| e.to_string()),
        Command::Version(_) => {
            println!("onyxstile {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("onyxstile: {e}");
            ExitCode::FAILURE
        }
    }
}

fn serve() -> Result<(), Box<dyn std::error::Error>> {
    logger::start();
    let config = Config::from_environment()?;
    relay::serve(&config)?;
    Ok(())
}
