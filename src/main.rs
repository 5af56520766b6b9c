//! The relay's command line.

mod logger;

use argh::FromArgs;
use onyxstile::net::{config::Config, relay};
use std::path::{Path, PathBuf};
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
    Check(Check),
    Version(Version),
}

/// Run a relay.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// the operator's file (TOML): the mail front, and all of a relay without a platform
    #[argh(option)]
    config: Option<PathBuf>,
}

/// Read an operator's file and say what is wrong with it.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the file
    #[argh(positional)]
    file: PathBuf,
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

fn main() -> ExitCode {
    let done = match argh::from_env::<Arguments>().command {
        Command::Serve(options) => serve(options.config).map_err(|e| e.to_string()),
        Command::Check(options) => check(&options.file).map_err(|e| e.to_string()),
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

fn serve(operator: Option<PathBuf>) -> Result<(), Box<dyn std::error::Error>> {
    logger::start();
    let config = Config::load(operator.as_deref())?;
    relay::serve(&config, operator)?;
    Ok(())
}

/// With the platform's configuration where GW_CONFIG names one, else by itself.
fn check(file: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let config = Config::load(Some(file))?;
    println!("{}: good; {} servers", file.display(), config.fixed.len());
    match &config.mail {
        Some(m) => println!("mail: {} routes, flows of class {}", m.routes.len(), m.class),
        None => println!("mail: off"),
    }
    Ok(())
}
