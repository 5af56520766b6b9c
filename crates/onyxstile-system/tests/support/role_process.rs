//! Single real processes of a role on loopback.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use super::send_signal;
use super::tier::{METRICS_PATH, Ports, settings_text};

/// Roles with the class and the last octet of the address of their machine.
pub const ROLES: [(&str, &str, u8); 4] =
    [("proxy", "edge", 1), ("agent", "edge", 1), ("controller", "core", 2), ("storage", "storage", 5)];

/// Timeout of a wait for a condition.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout of one request for metrics.
const METRICS_TIMEOUT: Duration = Duration::from_secs(2);

/// A machine with the settings file of one role.
pub struct RoleMachine {
    pub ports: Ports,
    pub role: &'static str,
    pub ip: Ipv4Addr,
    pub folder: PathBuf,
    pub settings: String,
}

impl RoleMachine {
    /// A machine with an empty data folder.
    pub fn new(ports: Ports, (role, class, host): (&'static str, &str, u8), test: &str) -> RoleMachine {
        let folder =
            std::env::temp_dir().join(format!("onyxstile-{test}-{role}-{host}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let feed = format!("feed = \"{}\"\n[limits]", ports.feed(host));
        let settings = settings_text(&ports, &folder, "data", host, class).replace("[limits]", &feed);
        let machine = RoleMachine { ports, role, ip: Ipv4Addr::new(127, 0, 0, host), folder, settings };
        machine.write_settings(&machine.settings);
        machine
    }

    /// Path of the settings file.
    pub fn settings_path(&self) -> PathBuf {
        self.folder.join("boot.toml")
    }

    /// Path of the data folder.
    pub fn data_path(&self) -> PathBuf {
        self.folder.join("data")
    }

    /// Path of the log, for a process that is started with one.
    pub fn log_path(&self) -> PathBuf {
        self.folder.join("log")
    }

    /// The log so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.log_path()).unwrap_or_default()
    }

    /// Replaces the contents of the settings file.
    pub fn write_settings(&self, text: &str) {
        std::fs::write(self.settings_path(), text).expect("the settings are written");
    }

    /// Address of a port of this machine.
    pub fn address(&self, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, port)
    }

    /// Arguments of the process.
    pub fn arguments(&self) -> [String; 3] {
        let metrics = format!("{}{METRICS_PATH}", self.ports.metrics_of(self.role));
        [self.role.into(), "--metrics".into(), metrics]
    }

    /// Starts the process.
    pub fn start(&self, stderr: impl Into<Stdio>) -> RoleProcess {
        let mut command = Command::new(env!("CARGO_BIN_EXE_onyxstile-system"));
        command.args(self.arguments());
        self.spawn(command, stderr)
    }

    /// Starts a command that becomes the process.
    pub fn spawn(&self, mut command: Command, stderr: impl Into<Stdio>) -> RoleProcess {
        let child = command
            .env("ONYXSTILE_CONFIG", self.settings_path())
            .stdout(Stdio::null())
            .stderr(stderr)
            .spawn()
            .expect("the program starts");
        RoleProcess { child, metrics: self.address(self.ports.metrics_of(self.role)), role: self.role }
    }
}

impl Drop for RoleMachine {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.folder).ok();
    }
}

/// A running process; it is killed when this is dropped.
pub struct RoleProcess {
    pub child: Child,
    metrics: SocketAddrV4,
    role: &'static str,
}

impl RoleProcess {
    /// Waits until a condition holds; fails if the process ends before.
    pub fn wait_until(&mut self, what: &str, mut condition: impl FnMut(&RoleProcess) -> bool) {
        let start = Instant::now();
        while !condition(self) {
            if let Some(status) = self.child.try_wait().expect("its status") {
                panic!("{}: ended with {status} instead of: {what}", self.role);
            }
            assert!(
                start.elapsed() < CONDITION_TIMEOUT,
                "{}: not in time: {what}; {}",
                self.role,
                self.metrics()
            );
            std::thread::yield_now();
        }
    }

    /// Waits until its metrics have a line that begins like this.
    pub fn wait_for_metric(&mut self, line: &str) {
        self.wait_until(line, |process| process.has_metric(line));
    }

    /// Whether its metrics have a line that begins like this.
    pub fn has_metric(&self, line: &str) -> bool {
        self.metrics().lines().any(|found| found.starts_with(line))
    }

    /// Waits until something accepts connections at an address.
    pub fn wait_for_listener(&mut self, address: SocketAddrV4) {
        self.wait_until(&format!("listening at {address}"), |_| TcpStream::connect(address).is_ok());
    }

    /// Its metrics, or nothing if it does not answer.
    pub fn metrics(&self) -> String {
        let request = format!("GET {METRICS_PATH} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
        let mut text = String::new();
        let fetched = TcpStream::connect(self.metrics).and_then(|mut stream| {
            stream.set_read_timeout(Some(METRICS_TIMEOUT))?;
            stream.write_all(request.as_bytes())?;
            stream.read_to_string(&mut text)
        });
        fetched.map(|_| text).unwrap_or_default()
    }

    /// Sends a signal.
    pub fn signal(&self, name: &str) {
        send_signal(self.child.id(), name);
    }

    /// Its exit status; fails if it runs on.
    pub fn exit_status(&mut self) -> ExitStatus {
        let start = Instant::now();
        while start.elapsed() < CONDITION_TIMEOUT {
            if let Some(status) = self.child.try_wait().expect("its status") {
                return status;
            }
            std::thread::yield_now();
        }
        panic!("{} goes on", self.role);
    }

    /// Sends SIGTERM, after which the process has to end with 0.
    pub fn ends_in_order(&mut self) {
        self.signal("-TERM");
        let status = self.exit_status();
        assert!(status.success(), "{}: {status}", self.role);
    }
}

impl Drop for RoleProcess {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}
