//! How a process ends, and the exit code that says so.

use std::process::ExitCode;

/// How a process ends by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// As it was told to: SIGTERM, or a command that is done.
    Done,
    /// A command failed, such as a check that found an error.
    Failed,
    /// A part that the role cannot do without has ended.
    PartEnded,
    /// The operating system has no event queue for the process.
    NoRuntime,
    /// The environment does not name the settings file.
    NoSettings,
    /// A panic in the main thread.
    Panicked,
}

impl Exit {
    /// The exit code; 2 stands for a command line that is not understood, and is given by its parser.
    pub fn code(self) -> u8 {
        match self {
            Exit::Done => 0,
            Exit::Failed => 1,
            Exit::PartEnded => 70,
            Exit::NoRuntime => 71,
            Exit::NoSettings => 78,
            Exit::Panicked => 101,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit.code())
    }
}
