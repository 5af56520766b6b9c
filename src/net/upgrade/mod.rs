//! A new version takes over under load: everything that the old process has moves to the new one, sockets too.
//!
//! At each moment one process decides and writes: the one that has the [`lock`]. A new process that finds it taken asks
//! its holder ([`ask`], [`give`]); what both sides then do is said by two machines of named states ([`machine`]), what
//! goes from one to the other by [`state`], and how by [`wire`]. Tasks leave their sockets in the [`parking`].

pub mod ask;
pub mod give;
pub mod lock;
pub mod machine;
pub mod parking;
pub mod state;
pub mod wire;

use std::fs::File;
use std::io;
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The socket's name in the folder that lasts.
const SOCKET: &str = "upgrade";
/// The longest path that a Unix socket's address takes.
const PATH_MAX: usize = 100;
/// How long the new process may take from the last socket to its word that it is ready. Clients wait meanwhile.
pub const READY_TIME: Duration = Duration::from_millis(1000);
/// How long the old one may take until all its tasks have left their sockets.
pub const PARK_TIME: Duration = Duration::from_millis(1200);

/// Where the socket is, by a path short enough for an address, and what keeps that path good.
///
/// # Errors
/// The folder cannot be opened.
fn socket(folder: &Path) -> io::Result<(PathBuf, Option<File>)> {
    let path = folder.join(SOCKET);
    if path.as_os_str().len() <= PATH_MAX {
        return Ok((path, None));
    }
    let folder = File::open(folder)?;
    let path = format!("/proc/self/fd/{}/{SOCKET}", folder.as_raw_fd());
    Ok((path.into(), Some(folder)))
}

/// Makes this process the program's start again, with the same arguments; returns only if that fails. `tries`: how often
/// this has been done, for whoever starts.
pub fn start_again(tries: u32) -> io::Error {
    let arguments = std::env::args_os().skip(1);
    std::process::Command::new("/proc/self/exe").args(arguments).env(TRIES, tries.to_string()).exec()
}

const TRIES: &str = "ONYXSTILE_STARTED_AGAIN";

/// How often this process has started itself again.
pub fn tries() -> u32 {
    std::env::var(TRIES).ok().and_then(|t| t.parse().ok()).unwrap_or(0)
}
