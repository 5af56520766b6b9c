//! Machines of a run: real processes that are started, told to end, killed, and started again.

use std::cell::{Cell, RefCell};
use std::fs::File;
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus};
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::Run;
use crate::support::tier::{Ports, settings_text};

/// Time from SIGTERM to the kill.
const GRACE: Duration = Duration::from_secs(3);
/// What a busy machine may add to that before it counts as overstayed.
const GRACE_SLACK: Duration = Duration::from_millis(1500);
/// A process hears signals from this time after its start on.
const START: Duration = Duration::from_millis(700);
/// How often processes are looked at.
const LOOK: Duration = Duration::from_millis(10);
/// The longest pause before a process is started again, in ms.
const RESTART_MS: u64 = 400;
const SIGTERM: i32 = 15;

/// One machine.
pub struct Machine {
    pub name: String,
    pub host: u8,
    pub processes: Vec<Rc<Process>>,
}

/// One role of a machine, in one life after the other.
pub struct Process {
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: RefCell<Option<Child>>,
    started: Cell<Option<Instant>>,
    told: Cell<Option<Instant>>,
    terminations: Cell<usize>,
    kills: RefCell<Vec<Instant>>,
    is_killed: Cell<bool>,
}

impl Machine {
    /// A machine of a class, not started yet.
    pub fn new(ports: &Ports, folder: &Path, class: &str, host: u8) -> Machine {
        let name = format!("{class}-{host}");
        let grace = format!("[bounds]\ngrace_s = {}\n", GRACE.as_secs());
        let settings = folder.join(format!("{name}.toml"));
        std::fs::write(&settings, settings_text(ports, folder, &name, host, class) + &grace).expect("a file");
        let roles: &[&'static str] = match class {
            "edge" => &["proxy", "agent"],
            "core" => &["controller"],
            _ => &["storage"],
        };
        let process = |role: &&'static str| {
            Rc::new(Process::new(role, &settings, folder.join(format!("{name}-{role}.log"))))
        };
        Machine { processes: roles.iter().map(process).collect(), name, host }
    }

    /// Sends SIGTERM to its processes.
    pub fn terminate(&self) {
        self.processes.iter().for_each(|process| process.terminate());
    }

    /// Kills its processes.
    pub fn kill(&self) {
        self.processes.iter().for_each(|process| process.kill());
    }

    /// Stops of its first process so far.
    pub fn terminations(&self) -> usize {
        self.processes[0].terminations.get()
    }

    /// Whether its first process was killed within a span.
    pub fn was_killed(&self, from: Instant, to: Instant) -> bool {
        self.processes[0].kills.borrow().iter().any(|at| (from..=to).contains(at))
    }

    /// Whether all its processes have run for so long, untold to end.
    pub fn is_steady(&self, time: Duration) -> bool {
        let is_steady = |process: &Rc<Process>| {
            process.told.get().is_none()
                && process.started.get().is_some_and(|started| started.elapsed() > time)
        };
        self.processes.iter().all(is_steady)
    }
}

impl Process {
    fn new(role: &'static str, settings: &Path, log: PathBuf) -> Process {
        Process {
            role,
            settings: settings.to_owned(),
            log,
            child: RefCell::default(),
            started: Cell::default(),
            told: Cell::default(),
            terminations: Cell::default(),
            kills: RefCell::default(),
            is_killed: Cell::default(),
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
        self.is_killed.set(false);
        self.started.set(Some(Instant::now()));
        *self.child.borrow_mut() = Some(child);
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &*self.child.borrow() {
            Command::new("kill").args([name, &child.id().to_string()]).status().expect("kill runs");
        }
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        if self.child.borrow().is_some() && self.told.get().is_none() {
            self.told.set(Some(Instant::now()));
            self.terminations.set(self.terminations.get() + 1);
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
            let overstays = |told: Instant| told.elapsed() > GRACE + GRACE_SLACK;
            if !self.is_killed.get() && self.told.get().is_some_and(overstays) {
                run.fault(format!("{} goes on after the grace", self.log.display()));
                self.kill();
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    fn judge(&self, status: ExitStatus, run: &Run) {
        if self.is_killed.get() || (status.success() && self.told.get().is_some()) {
            return;
        }
        let age = self.started.get().map(|started| started.elapsed()).unwrap_or_default();
        let was_deaf =
            self.told.get().is_some_and(|told| self.started.get().is_some_and(|start| told - start < START));
        if status.signal() == Some(SIGTERM) && was_deaf {
            return;
        }
        run.fault(format!("{} ended by itself after {age:?}: {status}", self.log.display()));
    }
}
