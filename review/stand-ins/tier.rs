//! The platform: machines with their settings and the processes of the deploy file, each machine at a loopback address of
//! its own. It starts, kills and restarts the processes, and asks relays whether they are ready.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::record;
use crate::wire;

/// Processes that run, to be ended whatever happens, and the folder of the case.
static RUNNING: Mutex<Vec<(String, Child)>> = Mutex::new(Vec::new());
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

/// Ends all processes and removes their folder.
pub fn end_all() {
    let mut running = RUNNING.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    running.iter_mut().for_each(|(_, child)| drop(child.kill()));
    running.drain(..).for_each(|(_, mut child)| drop(child.wait()));
    if let Some(folder) = FOLDER.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).take() {
        std::fs::remove_dir_all(folder).ok();
    }
}

/// Bounds of a small deployment.
const BOUNDS: &str =
    "seed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4.4\n\
    drain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_apply_ms = 2000\nrevert_slack_ms = 250\n\
    max_skew_ms = 5000\nrecovery_s = 12\npass_ms = 120\nagain_s = 0\nfinish_s = 10\nsettle_ms = 1000\n";
/// Ports of a machine: internal ones from the first to the last, then control, front and readiness.
const INTERNAL_PORTS: u16 = 16;
const PORTS: u16 = INTERNAL_PORTS + 3;

/// Numbers of machines by class.
pub struct Size {
    pub edge: u8,
    pub core: u8,
    pub storage: u8,
    /// Storage machines that may join later.
    pub spare: u8,
}

#[derive(Clone)]
struct Machine {
    name: String,
    class: &'static str,
    is_spare: bool,
    ip: Ipv4Addr,
    zone: usize,
}

/// A deployment.
pub struct Tier {
    folder: PathBuf,
    port: u16,
    machines: Vec<Machine>,
    commands: HashMap<String, Vec<(String, Vec<String>)>>,
}

impl Tier {
    /// Starts all machines.
    pub fn start(size: &Size) -> Result<Tier, String> {
        let folder = std::env::temp_dir().join(format!("onyxstile-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        *FOLDER.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = Some(folder.clone());
        let net = [127, 20 + (std::process::id() % 200) as u8, (std::process::id() / 200 % 250) as u8];
        let mut machines = Vec::new();
        let groups = [
            ("edge", size.edge, false),
            ("core", size.core, false),
            ("storage", size.storage, false),
            ("storage", size.spare, true),
        ];
        for (class, count, is_spare) in groups {
            for number in 0..count {
                let host = machines.len() as u8 + 1;
                machines.push(Machine {
                    name: format!("{class}-z{number}-{}", if is_spare { 2 } else { 1 }),
                    class,
                    is_spare,
                    ip: Ipv4Addr::new(net[0], net[1], net[2], host),
                    zone: usize::from(number % 4),
                });
            }
        }
        let port = free_ports(&machines).ok_or("no free ports")?;
        let commands = deploy_commands(Path::new("deploy/system.toml"))?;
        let tier = Tier { folder, port, machines, commands };
        tier.start_machines(&tier.names(), true)?;
        Ok(tier)
    }

    fn of_class(&self, class: &str) -> Vec<&Machine> {
        self.machines.iter().filter(|machine| machine.class == class).collect()
    }

    fn addresses(&self, class: &str, offset: u16) -> Vec<SocketAddrV4> {
        let address = |machine: &&Machine| SocketAddrV4::new(machine.ip, self.port + INTERNAL_PORTS + offset);
        self.of_class(class).iter().map(address).collect()
    }

    /// Control addresses.
    pub fn control(&self) -> Vec<SocketAddrV4> {
        self.addresses("core", 0)
    }

    /// Addresses for clients.
    pub fn fronts(&self) -> Vec<SocketAddrV4> {
        self.addresses("edge", 1)
    }

    fn readiness(&self) -> Vec<SocketAddrV4> {
        self.addresses("edge", 2)
    }

    /// Name of the relay with this index.
    pub fn edge_name(&self, index: usize) -> String {
        self.of_class("edge")[index].name.clone()
    }

    fn names_where(&self, is_wanted: impl Fn(&Machine) -> bool) -> Vec<String> {
        self.machines
            .iter()
            .filter(|machine| is_wanted(machine))
            .map(|machine| machine.name.clone())
            .collect()
    }

    /// Names of all machines but the spare ones.
    pub fn names(&self) -> Vec<String> {
        self.names_where(|machine| !machine.is_spare)
    }

    /// Names of the machines of a class but the spare ones.
    pub fn names_of(&self, class: &str) -> Vec<String> {
        self.names_where(|machine| machine.class == class && !machine.is_spare)
    }

    /// Names of the spare machines.
    pub fn spare_names(&self) -> Vec<String> {
        self.names_where(|machine| machine.is_spare)
    }

    /// Empties the disk of a machine whose processes do not run.
    pub fn wipe(&self, name: &str) {
        std::fs::remove_dir_all(self.folder.join(format!("{name}-data"))).ok();
        record::note(&format!("{name} has lost its disk"));
    }

    /// Whether a relay calls itself ready.
    pub fn is_ready(&self, index: usize) -> bool {
        let request = wire::request("GET", "/api/readyz", &[("Host", "platform".into())], b"");
        let answer = wire::ask(self.readiness()[index], &request, Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.head.status() == 200)
    }

    /// Waits until all relays are ready.
    pub fn wait_until_ready(&self, limit: Duration) -> Result<(), String> {
        let end = Instant::now() + limit;
        while !(0..self.fronts().len()).all(|index| self.is_ready(index)) {
            if Instant::now() > end {
                return Err("the relays did not become ready".into());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        record::note("all relays are ready");
        Ok(())
    }

    /// Starts the processes of machines.
    pub fn start_machines(&self, names: &[String], is_first_start: bool) -> Result<(), String> {
        for machine in self.machines.iter().filter(|machine| names.contains(&machine.name)) {
            let settings = self.write_settings(machine, is_first_start)?;
            for (role, command) in &self.commands[machine.class] {
                let log = std::fs::File::options()
                    .create(true)
                    .append(true)
                    .open(self.folder.join(format!("{}-{role}.log", machine.name)))
                    .map_err(|error| error.to_string())?;
                let child = Command::new(&command[0])
                    .args(&command[1..])
                    .env_clear()
                    .envs(
                        std::env::vars()
                            .filter(|(name, _)| ["PATH", "HOME", "LANG"].contains(&name.as_str())),
                    )
                    .env("ONYXSTILE_CONFIG", &settings)
                    .stdin(Stdio::null())
                    .stdout(Stdio::null())
                    .stderr(log)
                    .spawn()
                    .map_err(|error| format!("{}: {error}", command[0]))?;
                RUNNING
                    .lock()
                    .unwrap_or_else(|poisoned| poisoned.into_inner())
                    .push((machine.name.clone(), child));
            }
        }
        record::note(&format!("started {}", names.join(" ")));
        Ok(())
    }

    /// Kills the processes of machines at once (SIGKILL).
    pub fn kill_machines(&self, names: &[String]) {
        let mut running = RUNNING.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let is_named = |name: &String| names.contains(name);
        running.iter_mut().filter(|(name, _)| is_named(name)).for_each(|(_, child)| drop(child.kill()));
        running.iter_mut().filter(|(name, _)| is_named(name)).for_each(|(_, child)| drop(child.wait()));
        running.retain(|(name, _)| !is_named(name));
        record::note(&format!("killed {}", names.join(" ")));
    }

    fn write_settings(&self, machine: &Machine, is_first_start: bool) -> Result<PathBuf, String> {
        let Machine { name, class, ip, zone, .. } = machine;
        let first = self.port;
        let (control, front, readiness) =
            (first + INTERNAL_PORTS, first + INTERNAL_PORTS + 1, first + INTERNAL_PORTS + 2);
        let seeds: Vec<String> = self.control().iter().take(3).map(|seed| format!("\"{seed}\"")).collect();
        let zones: Vec<String> = (0..4).map(|zone| format!("z{zone} = \"r\"")).collect();
        // Machines of one host share 127.0.0.1, so each proxy takes its feed at the address of its machine.
        let (listen, limits) = match *class {
            "edge" => (
                format!(
                    "front = \"{ip}:{front}\"\nreadiness = \"{ip}:{readiness}\"\nfeed = \"{ip}:{}\"\n",
                    first + 1
                ),
                "cpu_share = 0.25\ncpu_cores = 1\nmemory_mb = 260\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n",
            ),
            "core" => (
                format!("control = \"{ip}:{control}\"\n"),
                "cpu_share = 0.6\ncpu_cores = 1\nmemory_mb = 256\nmax_fds = 4096\nlink_mbps = 1000.0\ndisk_mb = 128\n",
            ),
            _ => (
                String::new(),
                "cpu_share = 0.5\ncpu_cores = 1\nmemory_mb = 270\nmax_fds = 8200\nlink_mbps = 600.0\ndisk_mb = 370\n",
            ),
        };
        let disk = if *class == "edge" {
            String::new()
        } else {
            format!("data_dir = \"{}\"\n", self.folder.join(format!("{name}-data")).display())
        };
        let text = format!(
            "node_name = \"{name}\"\nrole = \"{class}\"\nmachine_class = \"{class}\"\nip = \"{ip}\"\nzone = \"z{zone}\"\n\
             region = \"r\"\ninternal_port_range = [{first},{}]\nseed_nodes = [{}]\nbootstrap = {is_first_start}\n\
             counts_for_quorum = {}\ndiscovery = \"registration\"\nentry = \"vip\"\nheartbeat_ms = 1200\n{disk}\
             [zones]\n{}\n[listen]\n{listen}[limits]\n{limits}[fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n\
             [bounds]\n{BOUNDS}",
            first + INTERNAL_PORTS - 1,
            seeds.join(","),
            *class != "edge",
            zones.join("\n"),
        );
        let path = self.folder.join(format!("{name}.toml"));
        std::fs::write(&path, text).map_err(|error| error.to_string())?;
        Ok(path)
    }
}

fn free_ports(machines: &[Machine]) -> Option<u16> {
    let is_free = |port: u16| machines.iter().all(|machine| TcpListener::bind((machine.ip, port)).is_ok());
    let start = 18_000 + (std::process::id() % 300) as u16 * PORTS;
    (0..200).map(|step| start + step * PORTS).find(|first| (*first..first + PORTS).all(is_free))
}

/// Commands of the deploy file by class, each with the name of its role.
fn deploy_commands(path: &Path) -> Result<HashMap<String, Vec<(String, Vec<String>)>>, String> {
    let text = std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let mut commands: HashMap<String, Vec<(String, Vec<String>)>> = HashMap::new();
    let (mut role, mut run) = (String::new(), Vec::new());
    for line in text.lines() {
        if let Some(name) = line.strip_prefix("[roles.") {
            role = name.trim_end_matches(']').to_owned();
        }
        let value = |key: &str| {
            let value = line.strip_prefix(key)?.trim_start().strip_prefix('=')?;
            Some(value.trim().trim_matches('"').to_owned())
        };
        if let Some(command) = value("run") {
            run = command.split_whitespace().map(str::to_owned).collect();
        }
        if let Some(class) = value("on") {
            commands.entry(class).or_default().push((role.clone(), run.clone()));
        }
    }
    Ok(commands)
}
