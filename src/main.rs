//! The relay's command line: this file only says which sub-commands there are.

mod cli;
mod logger;

use argh::FromArgs;
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
    Serve(cli::serve::Serve),
    Check(cli::check::Check),
    Import(cli::import_nginx::Import),
    Route(cli::route::Route),
    Trace(cli::trace::Trace),
    Undelivered(cli::undelivered::Undelivered),
    Version(cli::version::Version),
}

fn main() -> ExitCode {
    let done = match argh::from_env::<Arguments>().command {
        Command::Serve(options) => options.run(),
        Command::Check(options) => options.run(),
        Command::Import(options) => options.run(),
        Command::Route(options) => options.run(),
        Command::Trace(options) => options.run(),
        Command::Undelivered(options) => options.run(),
        Command::Version(options) => options.run(),
    };
    done.unwrap_or_else(|e| {
        eprintln!("onyxstile: {}", e.what);
        ExitCode::from(e.code)
    })
}
