//! The processes of a tier, each with its settings file and data folder, on loopback addresses of their own.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Stdio;

use tokio::process::{Child, Command};

use crate::Failed;

/// Hosts of 127.0.0.0/8 that the roles take: the edge machine, then controllers, then storage machines.
const EDGE: u8 = 1;
const CONTROLLERS: std::ops::RangeInclusive<u8> = 2..=4;
const STORAGE: std::ops::RangeInclusive<u8> = 5..=7;
/// Ports that a machine needs beside each other: internal ones, control, front and readiness.
const PORTS: u16 = 5;
/// Ports are looked for from here, below those that outgoing connections take.
const LOWEST_PORT: u16 = 18_000;
const HIGHEST_PORT: u16 = 30_000;

struct Process {
    name: String,
    child: Child,
}

/// A running tier; its processes end with it.
pub(super) struct Tier {
    processes: Vec<Process>,
    port: u16,
}

impl Tier {
    /// Starts all processes, whose folders lie in `folder`.
    pub(super) fn start(binary: &Path, folder: &Path) -> Result<Tier, Failed> {
        let port = free_ports().ok_or("no free ports on loopback")?;
        let mut tier = Tier { processes: Vec::new(), port };
        for host in CONTROLLERS {
            tier.spawn(binary, folder, "controller", "core", host)?;
        }
        for host in STORAGE {
            tier.spawn(binary, folder, "storage", "storage", host)?;
        }
        tier.spawn(binary, folder, "proxy", "edge", EDGE)?;
        tier.spawn(binary, folder, "agent", "edge", EDGE)?;
        Ok(tier)
    }

    /// Control addresses of the controllers.
    pub(super) fn control(&self) -> Vec<SocketAddr> {
        CONTROLLERS.map(|host| at(host, self.port + 2)).collect()
    }

    /// Where clients connect.
    pub(super) fn front(&self) -> SocketAddr {
        at(EDGE, self.port + 3)
    }

    /// Where the proxy tells whether it is ready.
    pub(super) fn readiness(&self) -> SocketAddr {
        at(EDGE, self.port + 4)
    }

    /// Kills a storage process at once; its name.
    pub(super) fn kill_storage(&mut self) -> Result<String, Failed> {
        let is_storage = |process: &Process| process.name.starts_with("storage");
        let index = self.processes.iter().position(is_storage).ok_or("no storage process")?;
        let mut process = self.processes.remove(index);
        process.child.start_kill()?;
        Ok(process.name)
    }

    /// Ends all processes.
    pub(super) async fn stop(mut self) -> Result<(), Failed> {
        for process in &mut self.processes {
            process.child.kill().await?;
        }
        Ok(())
    }

    fn spawn(
        &mut self, binary: &Path, folder: &Path, role: &str, class: &str, host: u8,
    ) -> Result<(), Failed> {
        let name = format!("{role}-{host}");
        let file = self.write_settings(folder, &name, class, host)?;
        let child = Command::new(binary)
            .arg(role)
            .env("ONYXSTILE_CONFIG", &file)
            .env("ONYXSTILE_LOG", "warn")
            .stdin(Stdio::null())
            .kill_on_drop(true)
            .spawn()
            .map_err(|error| format!("{}: {error}", binary.display()))?;
        self.processes.push(Process { name, child });
        Ok(())
    }

    fn write_settings(&self, folder: &Path, name: &str, class: &str, host: u8) -> std::io::Result<PathBuf> {
        let port = self.port;
        let seeds: Vec<String> = self.control().iter().map(|seed| format!("\"{seed}\"")).collect();
        let text = format!(
            "node_name = \"{name}\"\nmachine_class = \"{class}\"\nip = \"127.0.0.{host}\"\nzone = \"z{host}\"\n\
             internal_port_range = [{port},{}]\nseed_nodes = [{}]\nbootstrap = true\ndata_dir = \"{}\"\n\
             heartbeat_ms = 500\n[listen]\ncontrol = \"{}\"\nfront = \"{}\"\nreadiness = \"{}\"\n\
             [limits]\nmemory_mb = 64\nmax_fds = 1000\ndisk_mb = 100\n[fault_tolerance]\nmachines = 1\n",
            port + 1,
            seeds.join(","),
            folder.join(name).display(),
            at(host, port + 2),
            self.front(),
            self.readiness(),
        );
        let path = folder.join(format!("{name}.toml"));
        std::fs::write(&path, text)?;
        Ok(path)
    }
}

fn at(host: u8, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 0, 0, host), port))
}

/// The first of some ports that are free on every address that the tier takes.
fn free_ports() -> Option<u16> {
    let is_free = |port: u16| (EDGE..=*STORAGE.end()).all(|host| TcpListener::bind(at(host, port)).is_ok());
    let mut firsts = (LOWEST_PORT..HIGHEST_PORT).step_by(usize::from(PORTS));
    firsts.find(|first| (*first..first + PORTS).all(is_free))
}
