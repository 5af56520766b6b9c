//! `onyxstile check`.

use super::Done;
use argh::FromArgs;
use onyxstile::net::config::Config;
use std::path::PathBuf;
use std::process::ExitCode;

/// Read an operator's file and say what is wrong with it.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// the file
    #[argh(positional)]
    file: PathBuf,
}

impl Check {
    /// With the platform's configuration where GW_CONFIG names one, else by itself.
    pub fn run(self) -> Done {
        let config = Config::load(Some(&self.file))?;
        println!("{}: good; {} servers", self.file.display(), config.fixed.len());
        match &config.mail {
            Some(m) => println!("mail: {} routes, flows of class {}", m.routes.len(), m.class),
            None => println!("mail: off"),
        }
        match &config.routing {
            Some(r) => println!("routing: {} hosts, {} groups", r.host.len(), r.upstream.len()),
            None => println!("routing: off"),
        }
        match &config.undelivered {
            Some(u) => println!("undelivered: {} rules, {}", u.rules.rules.len(), u.folder.display()),
            None => println!("undelivered: off"),
        }
        Ok(ExitCode::SUCCESS)
    }
}
