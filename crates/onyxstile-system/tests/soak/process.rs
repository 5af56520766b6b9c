//! Real processes that are started, terminated, killed and restarted.

use std::cell::{Cell, RefCell};
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus};
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::Run;
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
const SIGHUP: u32 = 1;
const SIGTERM: u32 = 15;

/// The process of one role of a machine, over all its incarnations.
pub struct Process {
    role: &'static str,
    settings: PathBuf,
    pub log: PathBuf,
    child: RefCell<Option<Child>>,
    started: Cell<Option<Instant>>,
    has_handlers: Cell<bool>,
    pub terminated_at: Cell<Option<Instant>>,
    /// Grace period in the settings, and the one that applies to the running process.
    configured_grace: Cell<Duration>,
    effective_grace: Cell<Duration>,
    /// Times at which the grace period was shortened after SIGTERM, over all incarnations.
    pub shortenings: RefCell<Vec<Instant>>,
    pub terminations: RefCell<Vec<Instant>>,
    pub kills: RefCell<Vec<Instant>>,
    is_killed: Cell<bool>,
    had_no_handler: Cell<bool>,
}

impl Process {
    /// A process that is not started yet.
    pub fn new(role: &'static str, settings: &Path, log: PathBuf) -> Process {
        Process {
            role,
            settings: settings.to_owned(),
            log,
            child: RefCell::default(),
            started: Cell::default(),
            has_handlers: Cell::default(),
            terminated_at: Cell::default(),
            configured_grace: Cell::default(),
            effective_grace: Cell::default(),
            shortenings: RefCell::default(),
            terminations: RefCell::default(),
            kills: RefCell::default(),
            is_killed: Cell::default(),
            had_no_handler: Cell::default(),
        }
    }

    fn start(&self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log");
        let child = Command::new(env!("CARGO_BIN_EXE_onyxstile-system"))
            .arg(self.role)
            .env("ONYXSTILE_CONFIG", &self.settings)
            .stderr(log)
            .spawn()
            .expect("the program starts");
        self.terminated_at.set(None);
        self.effective_grace.set(self.configured_grace.get());
        self.is_killed.set(false);
        self.has_handlers.set(false);
        self.had_no_handler.set(false);
        self.started.set(Some(Instant::now()));
        *self.child.borrow_mut() = Some(child);
    }

    /// Notes a new grace period in the settings. After SIGTERM the shortest one since applies, except for one that has already elapsed:
    /// the kill does not go by that.
    pub fn configure_grace(&self, grace: Duration) {
        self.configured_grace.set(grace);
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

    /// Whether the process has a handler for a signal. While the system loads the program there is none, and the signal ends the
    /// process, whatever the program is.
    fn catches(&self, signal: u32) -> bool {
        let Some(id) = self.child.borrow().as_ref().map(Child::id) else { return false };
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let mask = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
        let mask = mask.and_then(|text| u64::from_str_radix(text.trim(), 16).ok()).unwrap_or(0);
        mask & (1 << (signal - 1)) != 0
    }

    fn signal(&self, name: &str) {
        if let Some(child) = &*self.child.borrow() {
            send_signal(child.id(), name);
        }
    }

    /// Sends SIGHUP if the process handles it. A process that has not begun reads its settings anyway.
    pub fn reload(&self) {
        if self.catches(SIGHUP) {
            self.signal("-HUP");
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
        if let Some(child) = &mut *self.child.borrow_mut() {
            self.is_killed.set(true);
            self.kills.borrow_mut().push(Instant::now());
            child.kill().ok();
        }
    }

    /// Starts the process, and restarts it after each exit until the run is shutting down.
    pub async fn supervise(self: Rc<Process>, run: Rc<Run>) {
        loop {
            self.start();
            let status = self.wait_for_exit(&run).await;
            *self.child.borrow_mut() = None;
            self.check(status, &run);
            run.random_pause(RESTART_PAUSE_MAX_MS).await;
            if run.is_shutting_down.get() {
                return;
            }
        }
    }

    async fn wait_for_exit(&self, run: &Run) -> ExitStatus {
        loop {
            let waited = self.child.borrow_mut().as_mut().expect("a started process").try_wait();
            if let Some(status) = waited.expect("its status") {
                return status;
            }
            self.check_timing(run);
            run.sleep(POLL_INTERVAL).await;
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
                "{} is still running after the grace period of {grace:?}, shortened {shortened:?} after SIGTERM",
                self.log.display()
            ));
            self.kill();
        }
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
