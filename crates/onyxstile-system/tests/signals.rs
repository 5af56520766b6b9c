//! Signals that arrive while a process starts.
//!
//! Failure: in 3 of some 100 runs of the whole tier a SIGHUP 11 ms after the start ended a proxy or an agent.
//!
//! The platform may request a reload of the settings at any time. A process installed its signal handlers only when its role
//! started, after its command line, its log and its settings had been read.
//!
//! Cause: without a handler, the default action of SIGHUP and SIGTERM ends the process. A process that is delayed while it reads
//! its settings reproduces it every time.

mod support;

use std::fs::File;
use std::io::Write;
use std::os::unix::process::ExitStatusExt;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use support::send_signal;
use support::tier::{Ports, free_ports, lock_ports, settings_text};

const ROLES: [(&str, &str, u8); 4] =
    [("proxy", "edge", 1), ("agent", "edge", 1), ("controller", "core", 2), ("storage", "storage", 5)];

/// Timeout of the wait for an exit.
const EXIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A process that is reading its settings from a pipe to which nothing has been written yet.
struct Starting {
    child: Child,
    pipe: File,
    folder: PathBuf,
    settings: String,
}

impl Starting {
    /// Starts the process and returns after it has opened its settings.
    fn start(ports: &Ports, role: &str, class: &str, host: u8, test: &str) -> Starting {
        let folder = std::env::temp_dir().join(format!("onyxstile-{test}-{role}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let path = folder.join("boot.toml");
        assert!(Command::new("mkfifo").arg(&path).status().expect("mkfifo runs").success());
        let settings = settings_text(ports, &folder, &format!("{class}-{host}"), host, class);
        let child = Command::new(env!("CARGO_BIN_EXE_onyxstile-system"))
            .arg(role)
            .env("ONYXSTILE_CONFIG", &path)
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        // Opening a pipe for writing blocks until there is a reader.
        let pipe = File::options().write(true).open(&path).expect("the process reads its settings");
        Starting { child, pipe, folder, settings }
    }

    /// Writes the settings to the pipe, and replaces the pipe by a file that can be read again.
    fn send_settings(&mut self) {
        let path = self.folder.join("boot.toml");
        std::fs::remove_file(&path).expect("the pipe is removed");
        std::fs::write(&path, &self.settings).expect("a file");
        // If the process has exited, the write fails; the exit status is checked later.
        self.pipe.write_all(self.settings.as_bytes()).ok();
        self.pipe = File::open(&path).expect("the file is there");
    }

    /// Its exit status if it exits within `time`.
    fn ends_within(&mut self, time: Duration) -> Option<ExitStatus> {
        let start = Instant::now();
        while start.elapsed() < time {
            if let Some(status) = self.child.try_wait().expect("its status") {
                return Some(status);
            }
            std::thread::yield_now();
        }
        None
    }
}

impl Drop for Starting {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
        std::fs::remove_dir_all(&self.folder).ok();
    }
}

#[test]
fn a_hangup_while_a_process_reads_its_settings_does_not_end_it() {
    let _alone = lock_ports();
    let ports = free_ports(1).remove(0);
    for (role, class, host) in ROLES {
        let mut process = Starting::start(&ports, role, class, host, "hangup");
        send_signal(process.child.id(), "-HUP");
        process.send_settings();
        send_signal(process.child.id(), "-TERM");
        let status = process.ends_within(EXIT_TIMEOUT).unwrap_or_else(|| panic!("{role} goes on"));
        assert_eq!((status.signal(), status.success()), (None, true), "{role}: {status}");
    }
}

#[test]
fn a_termination_while_a_process_reads_its_settings_is_an_orderly_end() {
    let _alone = lock_ports();
    let ports = free_ports(1).remove(0);
    for (role, class, host) in ROLES {
        let mut process = Starting::start(&ports, role, class, host, "termination");
        send_signal(process.child.id(), "-TERM");
        process.send_settings();
        let status = process.ends_within(EXIT_TIMEOUT).unwrap_or_else(|| panic!("{role} goes on"));
        assert_eq!((status.signal(), status.success()), (None, true), "{role}: {status}");
    }
}
