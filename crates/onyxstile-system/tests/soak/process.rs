//! Real processes that are started, terminated, killed and restarted.

use std::cell::{Cell, RefCell};
use std::fs::File;
use std::io::Write;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

use onyxstile_system::process::ResidentMemory;

use crate::Run;
use crate::support::faulty_disk::FaultyDisk;
use crate::support::send_signal;

/// Grace periods between SIGTERM and the kill; the settings of a machine name one of them.
pub const GRACE_PERIODS: [Duration; 2] = [Duration::from_secs(3), Duration::from_secs(6)];
/// Margin for a busy machine before a process counts as exceeding its grace period.
const GRACE_SLACK: Duration = Duration::from_millis(1500);
/// Time after its start within which a process installs its signal handlers; this includes the loading of the program by the system.
const STARTUP_TIMEOUT: Duration = Duration::from_millis(700);
/// Interval between checks of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Longest pause before a process is restarted.
const RESTART_PAUSE_MAX_MS: u64 = 400;
/// Memory limit in the settings of all machines, in MB.
const MEMORY_MB: u64 = 64;
/// Number of checks of a process between two checks of its memory.
const POLLS_PER_MEMORY_CHECK: u32 = 20;
/// One incarnation in this many has a log whose reader has gone, another one a log that nobody reads.
const LOG_KINDS: u32 = 4;
/// Number of changes of the settings in the report of a fault.
const HISTORY_LENGTH: usize = 6;
/// Roles that keep data on a disk.
const ROLES_WITH_DISK: [&str; 2] = ["controller", "storage"];
const SIGHUP: u32 = 1;
const SIGTERM: u32 = 15;

/// A running process.
struct Incarnation {
    child: Child,
    started: Instant,
    /// The other end of its standard error if that is a pipe that nobody reads.
    _unread_log: Option<UnixStream>,
}

impl Incarnation {
    fn id(&self) -> u32 {
        self.child.id()
    }

    /// The system's list of facts about the process.
    fn status(&self) -> Option<String> {
        std::fs::read_to_string(format!("/proc/{}/status", self.id())).ok()
    }

    /// Whether the process has a handler for a signal. While the system loads the program there is none, and the signal ends the
    /// process, whatever the program is.
    fn catches(&self, signal: u32) -> bool {
        let status = self.status().unwrap_or_default();
        let mask = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
        let mask = mask.and_then(|text| u64::from_str_radix(text.trim(), 16).ok()).unwrap_or(0);
        mask & (1 << (signal - 1)) != 0
    }
}

/// Fills a pipe until it takes nothing more.
fn fill(mut pipe: &UnixStream) {
    pipe.set_nonblocking(true).expect("is set");
    while pipe.write(&[b'.'; 4096]).is_ok() {}
    while pipe.write(b".").is_ok() {}
    pipe.set_nonblocking(false).expect("is set");
}

/// The process of one role of a machine, over all its incarnations.
pub struct Process {
    role: &'static str,
    settings: PathBuf,
    pub log: PathBuf,
    disk: Rc<FaultyDisk>,
    child: RefCell<Option<Incarnation>>,
    /// The next incarnation, if it was started while this one drains.
    successor: RefCell<Option<Incarnation>>,
    incarnations: Cell<u32>,
    started: Cell<Option<Instant>>,
    has_handlers: Cell<bool>,
    pub terminated_at: Cell<Option<Instant>>,
    /// Grace period in the settings, and the one that applies to the running process.
    configured_grace: Cell<Duration>,
    effective_grace: Cell<Duration>,
    /// Grace periods that were written to the settings, over all incarnations.
    written_grace: RefCell<Vec<(Instant, Duration)>>,
    /// Times of SIGHUP, over all incarnations.
    hangups: RefCell<Vec<Instant>>,
    /// Times at which the grace period was shortened after SIGTERM, over all incarnations.
    pub shortenings: RefCell<Vec<Instant>>,
    pub terminations: RefCell<Vec<Instant>>,
    pub kills: RefCell<Vec<Instant>>,
    is_killed: Cell<bool>,
    polls: Cell<u32>,
    /// Peak of the resident memory over all incarnations, in MB.
    pub peak_mb: Cell<u64>,
    had_no_handler: Cell<bool>,
}

impl Process {
    /// A process that is not started yet.
    pub fn new(role: &'static str, settings: &Path, log: PathBuf, disk: Rc<FaultyDisk>) -> Process {
        Process {
            role,
            settings: settings.to_owned(),
            log,
            disk,
            child: RefCell::default(),
            successor: RefCell::default(),
            incarnations: Cell::default(),
            started: Cell::default(),
            has_handlers: Cell::default(),
            terminated_at: Cell::default(),
            configured_grace: Cell::default(),
            effective_grace: Cell::default(),
            written_grace: RefCell::default(),
            hangups: RefCell::default(),
            shortenings: RefCell::default(),
            terminations: RefCell::default(),
            kills: RefCell::default(),
            is_killed: Cell::default(),
            polls: Cell::default(),
            peak_mb: Cell::default(),
            had_no_handler: Cell::default(),
        }
    }

    fn spawn(&self) -> Incarnation {
        let (stderr, unread_log) = self.standard_error();
        let mut command = Command::new(env!("CARGO_BIN_EXE_onyxstile-system"));
        command.arg(self.role).env("ONYXSTILE_CONFIG", &self.settings).stderr(stderr);
        if ROLES_WITH_DISK.contains(&self.role) {
            self.disk.attach(&mut command);
        }
        let child = command.spawn().expect("the program starts");
        Incarnation { child, started: Instant::now(), _unread_log: unread_log }
    }

    /// The standard error of the next incarnation: the log, or, for some of those whose log nothing is checked by, a pipe whose
    /// reader has gone, or one that nobody reads.
    fn standard_error(&self) -> (Stdio, Option<UnixStream>) {
        let number = self.incarnations.replace(self.incarnations.get() + 1);
        let (output, reader) = UnixStream::pair().expect("a pair");
        match number % LOG_KINDS {
            1 if self.role != "proxy" => (Stdio::from(OwnedFd::from(output)), None),
            2 if self.role != "proxy" => {
                fill(&output);
                (Stdio::from(OwnedFd::from(output)), Some(reader))
            }
            _ => {
                let log = File::options().create(true).append(true).open(&self.log).expect("a log");
                (log.into(), None)
            }
        }
    }

    /// Starts the next incarnation while this one still drains.
    pub fn start_successor(&self) {
        if self.terminated_at.get().is_some() && self.successor.borrow().is_none() {
            *self.successor.borrow_mut() = Some(self.spawn());
        }
    }

    fn start(&self) {
        let successor = self.successor.borrow_mut().take();
        let child = successor.unwrap_or_else(|| self.spawn());
        self.terminated_at.set(None);
        self.effective_grace.set(self.configured_grace.get());
        self.is_killed.set(false);
        self.has_handlers.set(false);
        self.had_no_handler.set(false);
        self.started.set(Some(child.started));
        *self.child.borrow_mut() = Some(child);
    }

    /// Notes a new grace period in the settings. After SIGTERM the shortest one since applies, except for one that has already elapsed:
    /// the kill does not go by that.
    pub fn configure_grace(&self, grace: Duration) {
        self.configured_grace.set(grace);
        self.written_grace.borrow_mut().push((Instant::now(), grace));
        match self.terminated_at.get() {
            None => self.effective_grace.set(grace),
            Some(terminated_at) if terminated_at.elapsed() < grace && grace < self.effective_grace.get() => {
                self.effective_grace.set(grace);
                self.shortenings.borrow_mut().push(Instant::now());
            }
            Some(_) => {}
        }
    }

    /// Whether it has run for at least `time` without SIGTERM.
    pub fn is_stable(&self, time: Duration) -> bool {
        self.terminated_at.get().is_none()
            && self.started.get().is_some_and(|started| started.elapsed() > time)
    }

    /// Whether the running incarnation has a handler for a signal.
    fn catches(&self, signal: u32) -> bool {
        self.child.borrow().as_ref().is_some_and(|child| child.catches(signal))
    }

    fn signal(&self, name: &str) {
        if let Some(child) = &*self.child.borrow() {
            send_signal(child.id(), name);
        }
    }

    /// Sends SIGHUP to each incarnation that handles it. A process that has not begun reads its settings anyway; a successor that
    /// waits for the end of the one before it has read them.
    pub fn reload(&self) {
        for incarnation in [&self.child, &self.successor] {
            if let Some(incarnation) = incarnation.borrow().as_ref().filter(|one| one.catches(SIGHUP)) {
                self.hangups.borrow_mut().push(Instant::now());
                send_signal(incarnation.id(), "-HUP");
            }
        }
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        if self.child.borrow().is_none() {
            return;
        }
        if self.terminated_at.get().is_none() {
            self.terminated_at.set(Some(Instant::now()));
            self.terminations.borrow_mut().push(Instant::now());
            self.had_no_handler.set(!self.catches(SIGTERM));
        }
        self.signal("-TERM");
    }

    /// Kills the process.
    pub fn kill(&self) {
        if let Some(mut successor) = self.successor.borrow_mut().take() {
            successor.child.kill().ok();
            successor.child.wait().ok();
        }
        if let Some(child) = &mut *self.child.borrow_mut() {
            self.is_killed.set(true);
            self.kills.borrow_mut().push(Instant::now());
            child.child.kill().ok();
        }
    }

    /// Starts the process, and restarts it after each exit until the run is shutting down.
    pub async fn supervise(self: Rc<Process>, run: Rc<Run>) {
        loop {
            self.start();
            if run.is_shutting_down.get() {
                self.terminate();
            }
            let status = self.wait_for_exit(&run).await;
            *self.child.borrow_mut() = None;
            self.check(status, &run);
            if self.successor.borrow().is_some() {
                continue;
            }
            run.random_pause(RESTART_PAUSE_MAX_MS).await;
            if run.is_shutting_down.get() {
                return;
            }
        }
    }

    async fn wait_for_exit(&self, run: &Run) -> ExitStatus {
        loop {
            let waited = self.child.borrow_mut().as_mut().expect("a started process").child.try_wait();
            if let Some(status) = waited.expect("its status") {
                return status;
            }
            self.check_timing(run);
            self.check_memory(run);
            run.sleep(POLL_INTERVAL).await;
        }
    }

    /// Checks that the resident memory of the process has stayed within the limit in its settings. Until it has its handlers, it
    /// may not have loaded the program, and the system lists the memory of this test for it. The peak covers that time.
    fn check_memory(&self, run: &Run) {
        let polls = self.polls.replace(self.polls.get() + 1);
        if !self.has_handlers.get() || !polls.is_multiple_of(POLLS_PER_MEMORY_CHECK) {
            return;
        }
        let status = self.child.borrow().as_ref().and_then(Incarnation::status);
        let memory = status.and_then(|status| ResidentMemory::parse(&status));
        let peak_mb = memory.map_or(0, |memory| memory.peak) / (1024 * 1024);
        self.peak_mb.set(self.peak_mb.get().max(peak_mb));
        if peak_mb > MEMORY_MB {
            run.record_fault(format!("{} has used {peak_mb} MB", self.log.display()));
        }
    }

    /// Checks that the process installs its signal handlers and exits in time.
    fn check_timing(&self, run: &Run) {
        let age = self.started.get().map(|started| started.elapsed()).unwrap_or_default();
        if !self.has_handlers.get() {
            self.has_handlers.set(self.catches(SIGHUP) && self.catches(SIGTERM));
            if !self.has_handlers.get() && age > STARTUP_TIMEOUT && !self.is_killed.get() {
                run.record_fault(format!("{} has no signal handlers after {age:?}", self.log.display()));
                self.has_handlers.set(true);
            }
        }
        // A grace period that has already elapsed when it is configured counts from that moment.
        let ends = |terminated_at: Instant| {
            let by_grace = terminated_at + self.effective_grace.get();
            let shortened = self.shortenings.borrow().last().copied().filter(|at| *at > terminated_at);
            shortened.map_or(by_grace, |at| at.max(by_grace))
        };
        let exceeds_grace = |terminated_at: Instant| Instant::now() > ends(terminated_at) + GRACE_SLACK;
        if !self.is_killed.get()
            && let Some(terminated_at) = self.terminated_at.get().filter(|at| exceeds_grace(*at))
        {
            let grace = self.effective_grace.get();
            let shortened =
                self.shortenings.borrow().last().map(|at| at.saturating_duration_since(terminated_at));
            run.record_fault(format!(
                "{} is still running after the grace period of {grace:?}, shortened {shortened:?} after SIGTERM; {}",
                self.log.display(),
                self.settings_history(terminated_at)
            ));
            self.kill();
        }
    }

    /// Grace periods written and SIGHUPs sent lately, in ms from SIGTERM.
    fn settings_history(&self, terminated_at: Instant) -> String {
        let ms = |at: Instant| match at.checked_duration_since(terminated_at) {
            Some(after) => format!("+{}", after.as_millis()),
            None => format!("-{}", (terminated_at - at).as_millis()),
        };
        let last = |list: Vec<String>| list[list.len().saturating_sub(HISTORY_LENGTH)..].join(" ");
        let written = self.written_grace.borrow();
        let written = written.iter().map(|(at, grace)| format!("{}:{}s", ms(*at), grace.as_secs())).collect();
        let hangups = self.hangups.borrow().iter().map(|at| ms(*at)).collect();
        format!("written {}; SIGHUP {}", last(written), last(hangups))
    }

    fn check(&self, status: ExitStatus, run: &Run) {
        use std::os::unix::process::ExitStatusExt;
        let is_terminated = self.terminated_at.get().is_some();
        let had_no_handler = self.had_no_handler.get() && status.signal() == Some(SIGTERM as i32);
        if self.is_killed.get() || is_terminated && (status.success() || had_no_handler) {
            return;
        }
        let age = self.started.get().map(|started| started.elapsed()).unwrap_or_default();
        run.record_fault(format!("{} exited unexpectedly after {age:?}: {status}", self.log.display()));
    }
}
