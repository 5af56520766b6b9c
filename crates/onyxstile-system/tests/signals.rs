//! Signals that come while a process starts.
//!
//! Seen: in 3 of some 100 runs of the whole tier a SIGHUP 11 ms after a start ended a proxy or an agent.
//!
//! How it came about: the platform tells processes to read their settings again whenever it likes. A process listened for
//! signals only once its role ran, after its command line, its log and its settings had been read.
//!
//! Cause: until somebody listens, the system's own answer to SIGHUP and SIGTERM is the end of the process. Proof: a process
//! that is held up in reading its settings ends by the signal, each time.

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

/// Whoever looks for free ports takes them for a moment.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Bounds the wait for an end.
const PATIENCE: Duration = Duration::from_secs(20);

/// A process that waits for its settings: they are a pipe that nobody has written to yet.
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

    /// Gives it its settings, and a file that can be read again.
    fn go_on(&mut self) {
        let path = self.folder.join("boot.toml");
        std::fs::remove_file(&path).expect("the pipe is removed");
        std::fs::write(&path, &self.settings).expect("a file");
        // A process that has ended reads nothing; its status says so.
        self.pipe.write_all(self.settings.as_bytes()).ok();
        self.pipe = File::open(&path).expect("the file is there");
    }

    /// Its status if it ends within `time`.
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
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let ports = free_ports(1).remove(0);
    for (role, class, host) in ROLES {
        let mut process = Starting::start(&ports, role, class, host, "hangup");
        send_signal(process.child.id(), "-HUP");
        process.go_on();
        send_signal(process.child.id(), "-TERM");
        let status = process.ends_within(PATIENCE).unwrap_or_else(|| panic!("{role} goes on"));
        assert_eq!((status.signal(), status.success()), (None, true), "{role}: {status}");
    }
}

#[test]
fn a_termination_while_a_process_reads_its_settings_is_an_orderly_end() {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let ports = free_ports(1).remove(0);
    for (role, class, host) in ROLES {
        let mut process = Starting::start(&ports, role, class, host, "termination");
        send_signal(process.child.id(), "-TERM");
        process.go_on();
        let status = process.ends_within(PATIENCE).unwrap_or_else(|| panic!("{role} goes on"));
        assert_eq!((status.signal(), status.success()), (None, true), "{role}: {status}");
    }
}
