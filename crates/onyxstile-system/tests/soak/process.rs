//! Real processes that are started, terminated_at to end, killed, and started again.

use std::cell::{Cell, RefCell};
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus};
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::Run;
use crate::support::send_signal;

/// Times from SIGTERM to the kill, one of which a machine's settings name at a time.
pub const GRACE_PERIODS: [Duration; 2] = [Duration::from_secs(3), Duration::from_secs(6)];
/// What a busy machine may add to that before it counts as overstayed.
const GRACE_SLACK: Duration = Duration::from_millis(1500);
/// A process listens for signals by this time after its start; before, the system has not begun to run its code.
const STARTUP_TIMEOUT: Duration = Duration::from_millis(700);
/// How often processes are looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The longest pause before a process is started again, in ms.
const RESTART_PAUSE_MAX_MS: u64 = 400;
const SIGHUP: u32 = 1;
const SIGTERM: u32 = 15;

/// One role of a machine, in one life after the other.
pub struct Process {
    role: &'static str,
    settings: PathBuf,
    pub log: PathBuf,
    child: RefCell<Option<Child>>,
    started: Cell<Option<Instant>>,
    has_handlers: Cell<bool>,
    pub terminated_at: Cell<Option<Instant>>,
    /// What its settings name now, and what it goes by.
    configured_grace: Cell<Duration>,
    effective_grace: Cell<Duration>,
    /// When the grace became shorter while it was terminated_at to end, in all lives.
    pub shortenings: RefCell<Vec<Instant>>,
    pub terminations: RefCell<Vec<Instant>>,
    pub kills: RefCell<Vec<Instant>>,
    is_killed: Cell<bool>,
    had_no_handler: Cell<bool>,
}

impl Process {
    /// One that is not started yet.
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

    /// Its settings name a grace now. A process that is terminated_at to end goes by the shortest since, but for one that is over as it is
    /// configured_grace: that is not the kill's.
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

    /// Whether it has run for so long, untold to end.
    pub fn is_stable(&self, time: Duration) -> bool {
        self.terminated_at.get().is_none()
            && self.started.get().is_some_and(|started| started.elapsed() > time)
    }

    /// Whether the process has asked the system for a signal. Until the system has loaded the program it can't: a signal
    /// ends it then, whatever the program is.
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

    /// Sends SIGHUP. A process that has not begun reads its settings anyway.
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

    /// Kills it.
    pub fn kill(&self) {
        if let Some(child) = &mut *self.child.borrow_mut() {
            self.is_killed.set(true);
            self.kills.borrow_mut().push(Instant::now());
            child.kill().ok();
        }
    }

    /// Starts it, and starts it again after each end, until the run is over.
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
            let waited = self.child.borrow_mut().as_mut().expect("it was started").try_wait();
            if let Some(status) = waited.expect("its status") {
                return status;
            }
            self.check_timing(run);
            run.sleep(POLL_INTERVAL).await;
        }
    }

    /// Holds a process that runs against its times.
    fn check_timing(&self, run: &Run) {
        let age = self.started.get().map(|started| started.elapsed()).unwrap_or_default();
        if !self.has_handlers.get() {
            self.has_handlers.set(self.catches(SIGHUP) && self.catches(SIGTERM));
            if !self.has_handlers.get() && age > STARTUP_TIMEOUT && !self.is_killed.get() {
                run.record_fault(format!("{} does not listen for signals after {age:?}", self.log.display()));
                self.has_handlers.set(true);
            }
        }
        // A grace that is over as it is configured_grace can only be gone by from then on.
        let ends = |terminated_at: Instant| {
            let by_grace = terminated_at + self.effective_grace.get();
            let shortened = self.shortenings.borrow().last().copied().filter(|at| *at > terminated_at);
            shortened.map_or(by_grace, |at| at.max(by_grace))
        };
        let exceeds_grace = |terminated_at: Instant| Instant::now() > ends(terminated_at) + GRACE_SLACK;
        if !self.is_killed.get() && self.terminated_at.get().is_some_and(exceeds_grace) {
            run.record_fault(format!("{} goes on after the grace", self.log.display()));
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
        run.record_fault(format!("{} ended by itself after {age:?}: {status}", self.log.display()));
    }
}
