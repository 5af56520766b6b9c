//! Unix sockets in the folder that lasts, for the relay's own user alone.

use std::io;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use tokio::net::UnixListener;

/// Listens at a path, in the place of a socket that an earlier process left there.
///
/// # Errors
/// The socket cannot be made.
pub fn listen(path: &Path) -> io::Result<UnixListener> {
    match std::fs::remove_file(path) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => {}
    }
    let listener = UnixListener::bind(path)?;
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600))?;
    Ok(listener)
}
