//! Signals that arrive while a process starts.
//!
//! In 3 of some 100 runs of the whole tier a SIGHUP 11 ms after the start terminated a proxy or an agent.
//!
//! The platform requests a reload of the settings at any time, but a process installed its signal handlers only when its
//! role started, after its command line, its log and its settings had been read.
//!
//! Until a handler is installed, the default action of SIGHUP and SIGTERM terminates the process. A process that is
//! blocked in reading its settings was terminated by the signal each time.

mod support;

use std::fs::File;
use std::io::Write;
use std::os::unix::process::ExitStatusExt;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use support::send_signal;
use support::tier::{Ports, free_ports, settings_text};

const ROLES: [(&str, &str, u8); 4] =
    [("proxy", "edge", 1), ("agent", "edge", 1), ("controller", "core", 2), ("storage", "storage", 5)];

/// Looking for free ports binds them for a moment.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Timeout for the end of a process.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A process that is blocked in reading its settings: they are a pipe without data.
struct Starting {
    child: Child,
    pipe: File,
    folder: PathBuf,
    settings: String,
}

impl Starting {
    /// Returns once the process has opened its settings.
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
        // Opening a pipe for writing waits for a reader.
        let pipe = File::options().write(true).open(&path).expect("the process reads its settings");
        Starting { child, pipe, folder, settings }
    }

    /// Writes the settings to the pipe, and replaces it by a file that can be read again.
    fn provide_settings(&mut self) {
        let path = self.folder.join("boot.toml");
        std::fs::remove_file(&path).expect("the pipe is removed");
        std::fs::write(&path, &self.settings).expect("a file");
        // A process that has ended reads nothing; its exit status shows that.
        self.pipe.write_all(self.settings.as_bytes()).ok();
        self.pipe = File::open(&path).expect("the file is there");
    }

    /// Returns the exit status if the process ends within `time`.
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
fn sighup_while_settings_are_read_does_not_end_the_process() {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let ports = free_ports(1).remove(0);
    for (role, class, host) in ROLES {
        let mut process = Starting::start(&ports, role, class, host, "hangup");
        send_signal(process.child.id(), "-HUP");
        process.provide_settings();
        send_signal(process.child.id(), "-TERM");
        let status = process.ends_within(TIMEOUT).unwrap_or_else(|| panic!("{role} has not ended"));
        assert_eq!((status.signal(), status.success()), (None, true), "{role}: {status}");
    }
}

#[test]
fn sigterm_while_settings_are_read_ends_the_process_gracefully() {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let ports = free_ports(1).remove(0);
    for (role, class, host) in ROLES {
        let mut process = Starting::start(&ports, role, class, host, "termination");
        send_signal(process.child.id(), "-TERM");
        process.provide_settings();
        let status = process.ends_within(TIMEOUT).unwrap_or_else(|| panic!("{role} has not ended"));
        assert_eq!((status.signal(), status.success()), (None, true), "{role}: {status}");
    }
}
