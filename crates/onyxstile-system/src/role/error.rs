//! Why a role ends by itself, and why an attempt of its start fails.

use std::io;

use quick_error::quick_error;

quick_error! {
    /// Why a role ends without having been told to.
    #[derive(Debug)]
    pub enum RoleError {
        /// Error of a socket or a file.
        Io(what: &'static str, error: io::Error) {
            display("{}: {}", what, error)
        }
        /// A part that the role cannot do without has ended.
        PartEnded(part: &'static str) {
            display("{} has ended", part)
        }
    }
}

quick_error! {
    /// Why an attempt to get what a start needs has failed.
    #[derive(Debug)]
    pub enum StartError {
        /// Error of a socket, a file or a thread.
        Io(error: io::Error) {
            from()
            display("{}", error)
        }
        /// The settings lack a field that the role needs.
        Missing(field: &'static str) {
            display("the settings lack {}", field)
        }
        /// The log of a storage machine cannot be read.
        Log(reason: String) {
            display("{}", reason)
        }
    }
}
