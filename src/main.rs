//! The relay's command line.

mod logger;

use argh::FromArgs;
use onyxstile::import_nginx;
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
    Import(Import),
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

/// Write the upstream and location blocks of an nginx configuration as an operator's file on standard output,
/// and what could not be carried over, by line, on standard error.
#[derive(FromArgs)]
#[argh(subcommand, name = "import-nginx")]
struct Import {
    /// the configuration
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
        Command::Import(options) => import(&options.file).map_err(|e| e.to_string()),
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

fn import(file: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let imported = import_nginx::import(&text).map_err(|e| format!("{}: {e}", file.display()))?;
    print!("{}", imported.file);
    for (line, what) in &imported.left {
        eprintln!("{}:{line}: {what}", file.display());
    }
    Ok(())
}
