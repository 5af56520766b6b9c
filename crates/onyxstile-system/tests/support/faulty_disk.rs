//! A disk under a real process that stalls, is slow or refuses: a library that replaces the calls for writes and syncs.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// What a disk does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiskFault {
    /// It answers nothing.
    Stall,
    /// Each sync takes this many ms longer.
    Slow(u64),
    /// It refuses every write and sync.
    Refuse,
}

/// A disk whose faults a test controls.
pub struct FaultyDisk {
    control: PathBuf,
}

impl FaultyDisk {
    /// A healthy disk, controlled by a file at this path.
    pub fn new(control: PathBuf) -> FaultyDisk {
        FaultyDisk { control }
    }

    /// Puts the files of a command that is started later on this disk.
    pub fn attach(&self, command: &mut Command) {
        command.env("LD_PRELOAD", library()).env("FAULTY_DISK", &self.control);
    }

    /// Begins a fault.
    pub fn fail(&self, fault: DiskFault) {
        let text = match fault {
            DiskFault::Stall => "stall".to_owned(),
            DiskFault::Slow(ms) => format!("slow {ms}"),
            DiskFault::Refuse => "refuse".to_owned(),
        };
        // Renamed into place: a call in between must not meet an empty file.
        let aside = self.control.with_extension("aside");
        std::fs::write(&aside, text).expect("the fault is written");
        std::fs::rename(&aside, &self.control).expect("it is renamed");
    }

    /// Ends a fault.
    pub fn heal(&self) {
        std::fs::remove_file(&self.control).ok();
    }
}

impl Drop for FaultyDisk {
    fn drop(&mut self) {
        self.heal();
    }
}

/// Path of the library, which is compiled once in each test process.
fn library() -> &'static Path {
    static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
    LIBRARY.get_or_init(|| {
        let source = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/support/faulty_disk.c");
        let library =
            Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("libfaulty_disk-{}.so", std::process::id()));
        let mut compiler = Command::new("cc");
        compiler.args(["-shared", "-fPIC", "-O1", "-o"]).arg(&library).arg(source).arg("-ldl");
        let status = compiler.status().expect("the C compiler runs");
        assert!(status.success(), "the library is compiled");
        library
    })
}
