//! Real processes that are started, told to end, killed, and started again.

use std::cell::{Cell, RefCell};
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus};
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::Run;
use crate::support::send_signal;

/// Times from SIGTERM to the kill, one of which a machine's settings name at a time.
pub const GRACES: [Duration; 2] = [Duration::from_secs(3), Duration::from_secs(6)];
/// What a busy machine may add to that before it counts as overstayed.
const GRACE_SLACK: Duration = Duration::from_millis(1500);
/// A process listens for signals by this time after its start; before, the system has not begun to run its code.
const START: Duration = Duration::from_millis(700);
/// How often processes are looked at.
const LOOK: Duration = Duration::from_millis(10);
/// The longest pause before a process is started again, in ms.
const RESTART_MS: u64 = 400;
const SIGHUP: u32 = 1;
const SIGTERM: u32 = 15;

/// One role of a machine, in one life after the other.
pub struct Process {
    role: &'static str,
    settings: PathBuf,
    pub log: PathBuf,
    child: RefCell<Option<Child>>,
    started: Cell<Option<Instant>>,
    listens: Cell<bool>,
    pub told: Cell<Option<Instant>>,
    /// What its settings name now, and what it goes by.
    named: Cell<Duration>,
    grace: Cell<Duration>,
    /// When the grace became shorter while it was told to end, in all lives.
    pub shortenings: RefCell<Vec<Instant>>,
    pub terminations: RefCell<Vec<Instant>>,
    pub kills: RefCell<Vec<Instant>>,
    is_killed: Cell<bool>,
    was_deaf: Cell<bool>,
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
            listens: Cell::default(),
            told: Cell::default(),
            named: Cell::default(),
            grace: Cell::default(),
            shortenings: RefCell::default(),
            terminations: RefCell::default(),
            kills: RefCell::default(),
            is_killed: Cell::default(),
            was_deaf: Cell::default(),
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
        self.told.set(None);
        self.grace.set(self.named.get());
        self.is_killed.set(false);
        self.listens.set(false);
        self.was_deaf.set(false);
        self.started.set(Some(Instant::now()));
        *self.child.borrow_mut() = Some(child);
    }

    /// Its settings name a grace now. A process that is told to end goes by the shortest since, but for one that is over as it is
    /// named: that is not the kill's.
    pub fn name_grace(&self, grace: Duration) {
        self.named.set(grace);
        match self.told.get() {
            None => self.grace.set(grace),
            Some(told) if told.elapsed() < grace && grace < self.grace.get() => {
                self.grace.set(grace);
                self.shortenings.borrow_mut().push(Instant::now());
            }
            Some(_) => {}
        }
    }

    /// Whether it has run for so long, untold to end.
    pub fn is_steady(&self, time: Duration) -> bool {
        self.told.get().is_none() && self.started.get().is_some_and(|started| started.elapsed() > time)
    }

    /// Whether the process has asked the system for a signal. Until the system has loaded the program it can't: a signal
    /// ends it then, whatever the program is.
    fn listens(&self, signal: u32) -> bool {
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
    pub fn hang_up(&self) {
        if self.listens(SIGHUP) {
            self.signal("-HUP");
        }
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        if self.child.borrow().is_none() {
            return;
        }
        if self.told.get().is_none() {
            self.told.set(Some(Instant::now()));
            self.terminations.borrow_mut().push(Instant::now());
            self.was_deaf.set(!self.listens(SIGTERM));
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
    pub async fn keep(self: Rc<Process>, run: Rc<Run>) {
        loop {
            self.start();
            let status = self.ended(&run).await;
            *self.child.borrow_mut() = None;
            self.judge(status, &run);
            run.rest(RESTART_MS).await;
            if run.is_ending.get() {
                return;
            }
        }
    }

    async fn ended(&self, run: &Run) -> ExitStatus {
        loop {
            let waited = self.child.borrow_mut().as_mut().expect("it was started").try_wait();
            if let Some(status) = waited.expect("its status") {
                return status;
            }
            self.look(run);
            run.pass(LOOK).await;
        }
    }

    /// Holds a process that runs against its times.
    fn look(&self, run: &Run) {
        let age = self.started.get().map(|started| started.elapsed()).unwrap_or_default();
        if !self.listens.get() {
            self.listens.set(self.listens(SIGHUP) && self.listens(SIGTERM));
            if !self.listens.get() && age > START && !self.is_killed.get() {
                run.fault(format!("{} does not listen for signals after {age:?}", self.log.display()));
                self.listens.set(true);
            }
        }
        // A grace that is over as it is named can only be gone by from then on.
        let ends = |told: Instant| {
            let by_grace = told + self.grace.get();
            let shortened = self.shortenings.borrow().last().copied().filter(|at| *at > told);
            shortened.map_or(by_grace, |at| at.max(by_grace))
        };
        let overstays = |told: Instant| Instant::now() > ends(told) + GRACE_SLACK;
        if !self.is_killed.get() && self.told.get().is_some_and(overstays) {
            run.fault(format!("{} goes on after the grace", self.log.display()));
            self.kill();
        }
    }

    fn judge(&self, status: ExitStatus, run: &Run) {
        use std::os::unix::process::ExitStatusExt;
        let is_told = self.told.get().is_some();
        let was_deaf = self.was_deaf.get() && status.signal() == Some(SIGTERM as i32);
        if self.is_killed.get() || is_told && (status.success() || was_deaf) {
            return;
        }
        let age = self.started.get().map(|started| started.elapsed()).unwrap_or_default();
        run.fault(format!("{} ended by itself after {age:?}: {status}", self.log.display()));
    }
}
