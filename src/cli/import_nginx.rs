//! `onyxstile import-nginx`.

use super::{Done, Failed, Format};
use argh::FromArgs;
use onyxstile_nginx::parse::{Disk, parse};
use onyxstile_nginx::{Level, import, write};
use std::path::PathBuf;
use std::process::ExitCode;

/// Write an nginx configuration's upstream, server and location blocks as an operator's file, and what became of
/// the rest, by line, on standard error. Exits with 1 under --strict if anything is not carried over, with 2 if
/// the configuration cannot be read.
#[derive(FromArgs)]
#[argh(subcommand, name = "import-nginx")]
pub struct Import {
    /// the configuration
    #[argh(positional)]
    file: PathBuf,
    /// where the operator's file goes; standard output unless it is given
    #[argh(option)]
    output: Option<PathBuf>,
    /// how diagnostics are written: text or json
    #[argh(option, default = "Format::Text")]
    format: Format,
    /// fail if anything is not carried over
    #[argh(switch)]
    strict: bool,
}

impl Import {
    /// Carries it over.
    pub fn run(self) -> Done {
        let parsed = parse(&Disk, &self.file).map_err(Failed::unreadable)?;
        let imported = import(&parsed);
        let text = write::write(&imported, &self.file.display().to_string());
        match self.format {
            Format::Text => imported.diagnostics.iter().for_each(|d| eprintln!("{d}")),
            Format::Json => eprintln!("{}", serde_json::to_string(&imported.diagnostics)?),
        }
        if self.strict && imported.diagnostics.iter().any(|d| d.level == Level::NotCarried) {
            return Ok(ExitCode::from(1));
        }
        match &self.output {
            Some(path) => {
                let written = std::fs::write(path, text);
                written.map_err(|e| Failed::unreadable(format!("{}: {e}", path.display())))?;
            }
            None => print!("{text}"),
        }
        Ok(ExitCode::SUCCESS)
    }
}
