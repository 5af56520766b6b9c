//! Machines of a run, each with a settings file and its processes.

use std::cell::Cell;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::process::{GRACE_PERIODS, Process};
use crate::support::faulty_disk::{DiskFault, FaultyDisk};
use crate::support::tier::{Ports, settings_text};

/// Zone of all edge machines.
const EDGE_ZONE: &str = "z10";

/// A machine.
pub struct Machine {
    pub name: String,
    pub host: u8,
    pub processes: Vec<Rc<Process>>,
    settings: PathBuf,
    text: String,
    disk: Rc<FaultyDisk>,
    has_disk_fault: Cell<bool>,
    /// End of the last fault of its disk.
    disk_healed_at: Cell<Option<Instant>>,
}

/// Drains of a proxy over all its incarnations.
pub struct Drains {
    /// Number of listeners whose close began.
    pub begun: usize,
    /// Number of listeners that have closed.
    pub closed: usize,
    /// Number of requests that arrived after the close, on connections accepted before.
    pub late: usize,
}

impl Machine {
    /// A machine of a class, not started yet.
    pub fn new(ports: &Ports, folder: &Path, class: &str, host: u8) -> Machine {
        let name = format!("{class}-{host}");
        let mut text = settings_text(ports, folder, &name, host, class);
        if class == "edge" {
            let feed = ports.feed(host);
            text = text.replace("[listen]", &format!("[listen]\nfeed = \"{feed}\""));
            text = text.replace(&format!("zone = \"z{host}\""), &format!("zone = \"{EDGE_ZONE}\""));
        }
        let settings = folder.join(format!("{name}.toml"));
        let roles: &[&'static str] = match class {
            "edge" => &["proxy", "agent"],
            "core" => &["controller"],
            _ => &["storage"],
        };
        let disk = Rc::new(FaultyDisk::new(folder.join(format!("{name}.disk"))));
        let process = |role: &&'static str| {
            Rc::new(Process::new(role, &settings, folder.join(format!("{name}-{role}.log")), disk.clone()))
        };
        let processes = roles.iter().map(process).collect();
        let machine = Machine {
            processes,
            name,
            host,
            settings,
            text,
            disk,
            has_disk_fault: Cell::default(),
            disk_healed_at: Cell::default(),
        };
        machine.set_grace_period(0);
        machine
    }

    /// Writes its settings file with the grace period `GRACE_PERIODS[index]`.
    pub fn set_grace_period(&self, index: usize) {
        let grace = GRACE_PERIODS[index];
        for process in &self.processes {
            process.configure_grace(grace);
        }
        let text = format!("{}[bounds]\ngrace_s = {}\n", self.text, grace.as_secs());
        let aside = self.settings.with_extension("aside");
        std::fs::write(&aside, text).expect("a file");
        std::fs::rename(&aside, &self.settings).expect("it is renamed");
    }

    /// Sends SIGTERM to its processes.
    pub fn terminate(&self) {
        self.processes.iter().for_each(|process| process.terminate());
    }

    /// Starts the next incarnations of its processes while these still drain.
    pub fn start_successors(&self) {
        self.processes.iter().for_each(|process| process.start_successor());
    }

    /// Sends SIGHUP to its processes.
    pub fn reload(&self) {
        self.processes.iter().for_each(|process| process.reload());
    }

    /// Kills its processes.
    pub fn kill(&self) {
        self.processes.iter().for_each(|process| process.kill());
    }

    /// Times of SIGTERM to its first process.
    pub fn terminations(&self) -> Vec<Instant> {
        self.processes[0].terminations.borrow().clone()
    }

    /// Times at which the grace period of its first process was shortened during a drain.
    pub fn shortenings(&self) -> Vec<Instant> {
        self.processes[0].shortenings.borrow().clone()
    }

    /// Times at which its first process was killed.
    pub fn kills(&self) -> Vec<Instant> {
        self.processes[0].kills.borrow().clone()
    }

    /// Begins a fault of its disk.
    pub fn fail_disk(&self, fault: DiskFault) {
        self.has_disk_fault.set(true);
        self.disk.fail(fault);
    }

    /// Ends a fault of its disk.
    pub fn heal_disk(&self) {
        if self.has_disk_fault.replace(false) {
            self.disk.heal();
            self.disk_healed_at.set(Some(Instant::now()));
        }
    }

    /// Whether all its processes have run for at least `time` without SIGTERM, with a healthy disk.
    pub fn is_stable(&self, time: Duration) -> bool {
        let has_healthy_disk = !self.has_disk_fault.get()
            && self.disk_healed_at.get().is_none_or(|healed_at| healed_at.elapsed() > time);
        has_healthy_disk && self.processes.iter().all(|process| process.is_stable(time))
    }

    /// Drains of its first process, from its log.
    pub fn drains(&self) -> Drains {
        let log = std::fs::read_to_string(&self.processes[0].log).unwrap_or_default();
        let count = |text: &str| log.lines().filter(|line| line.contains(text)).count();
        let late = log
            .lines()
            .filter_map(|line| line.strip_suffix(" requests came after the close")?.rsplit(' ').next());
        Drains {
            begun: count("the listener closes"),
            closed: count("the listener has closed"),
            late: late.filter_map(|text| text.parse::<usize>().ok()).sum(),
        }
    }
}
