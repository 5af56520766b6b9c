//! `onyxstile trace anonymise`: a trace without names.

use std::fs::File;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use onyxstile_trace::anonymise::{Anonymiser, anonymise};

use super::output::{Shown, create, open, say};
use crate::cli::{Done, Failed};

/// Replace the names in a trace by keyed digests.
#[derive(FromArgs)]
#[argh(subcommand, name = "anonymise")]
pub struct Anonymise {
    /// the trace
    #[argh(positional)]
    file: PathBuf,
    /// where the result goes
    #[argh(option)]
    output: PathBuf,
    /// a file with the key; without it one is made and forgotten
    #[argh(option)]
    key_file: Option<PathBuf>,
    /// addresses of one network stay in one network
    #[argh(switch)]
    keep_networks: bool,
}

impl Anonymise {
    pub(super) fn run(self) -> Done {
        let mut reader = open(&self.file)?;
        let key = match &self.key_file {
            Some(path) => {
                std::fs::read(path).map_err(|e| Failed::unreadable(format!("{}: {e}", path.display())))?
            }
            // Kernel's randomness; nobody can make the same digests again.
            None => {
                let mut key = [0; 32];
                std::io::Read::read_exact(&mut File::open("/dev/urandom")?, &mut key)?;
                key.to_vec()
            }
        };
        let mut by = Anonymiser::new(&key, self.keep_networks).map_err(Failed::unreadable)?;
        let mut shown = Shown::new();
        let mut counts = (0, 0);
        create(&self.output, |out| {
            counts = anonymise(&mut reader, &mut by, out, &mut |of, at| shown.tell(of, at))?;
            Ok(())
        })?;
        drop(shown);
        say(&reader);
        if counts.1 > 0 {
            eprintln!("onyxstile: {} events of a newer version were left out", counts.1);
        }
        eprintln!("{} events", counts.0);
        Ok(ExitCode::SUCCESS)
    }
}
