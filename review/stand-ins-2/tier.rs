//! A small deployment on loopback: the platform, the operator, endpoints and clients. Standard library only.

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const BINARY: &str = "target/release/onyxstile-system";

/// The record of a run: one line for what was sent, answered or run, with the time in ms since the start.
pub struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    pub fn create(path: &str) -> Arc<Record> {
        let file = File::create(path).expect("the record can be written");
        Arc::new(Record { file: Mutex::new(file), began: Instant::now() })
    }

    pub fn ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{:>7} {text}", self.ms()).ok();
    }
}

/// Ends the run: 0 held, 1 broken, 2 could not run.
pub fn unable(record: &Record, why: &str) -> i32 {
    record.line(&format!("could not run: {why}"));
    2
}

#[derive(Clone, Copy, PartialEq)]
pub enum Class {
    Edge,
    Core,
    Storage,
}

pub fn ip(class: Class, number: u8) -> Ipv4Addr {
    match class {
        Class::Edge => Ipv4Addr::new(127, 0, 1, number),
        Class::Core => Ipv4Addr::new(127, 0, 2, number),
        Class::Storage => Ipv4Addr::new(127, 0, 3, number),
    }
}

/// What one machine is given.
#[derive(Clone)]
pub struct Machine {
    pub class: Class,
    pub number: u8,
}

impl Machine {
    pub fn name(&self) -> String {
        let class = match self.class {
            Class::Edge => "edge",
            Class::Core => "core",
            Class::Storage => "storage",
        };
        format!("{class}-z{}-1", self.number)
    }
}

struct Process {
    machine: Machine,
    role: &'static str,
    child: Option<Child>,
}

/// The platform: it writes the settings, starts the processes and ends them.
pub struct Platform {
    folder: PathBuf,
    base: u16,
    cores: u8,
    processes: Mutex<Vec<Process>>,
    record: Arc<Record>,
}

fn is_free(ip: Ipv4Addr, port: u16) -> bool {
    TcpListener::bind((ip, port)).is_ok() && UdpSocket::bind((ip, port)).is_ok()
}

impl Platform {
    /// Starts `edges` edge, `cores` core and `storages` storage machines.
    pub fn start(record: &Arc<Record>, edges: u8, cores: u8, storages: u8) -> Platform {
        let mut machines = Vec::new();
        for number in 1..=cores {
            machines.push(Machine { class: Class::Core, number });
        }
        for number in 1..=storages {
            machines.push(Machine { class: Class::Storage, number });
        }
        for number in 1..=edges {
            machines.push(Machine { class: Class::Edge, number });
        }
        let all_free = |base: &u16| {
            machines
                .iter()
                .all(|machine| (0..6).all(|port| is_free(ip(machine.class, machine.number), base + port)))
        };
        let base = (18_000..30_000).step_by(8).find(all_free).expect("free ports");
        let folder = std::env::temp_dir().join(format!("onyxstile-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let platform = Platform { folder, base, cores, processes: Mutex::default(), record: record.clone() };
        for machine in &machines {
            platform.write_settings(machine, true);
            platform.run(machine);
        }
        platform
    }

    fn run(&self, machine: &Machine) {
        let roles: &[&'static str] = match machine.class {
            Class::Edge => &["proxy", "agent"],
            Class::Core => &["controller"],
            Class::Storage => &["storage"],
        };
        for role in roles {
            let child = self.spawn(machine, role);
            let process = Process { machine: machine.clone(), role, child: Some(child) };
            self.processes.lock().unwrap().push(process);
        }
    }

    /// The command of the deploy file.
    fn spawn(&self, machine: &Machine, role: &str) -> Child {
        let metrics = match role {
            "proxy" => "9464/metrics",
            "agent" => "9465/metrics",
            "controller" => "9466/metrics",
            _ => "9467/metrics",
        };
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}-{role}.log", machine.name())))
            .expect("a log file");
        let mut command = Command::new(BINARY);
        command
            .args([role, "--metrics", metrics])
            .env("ONYXSTILE_CONFIG", self.settings_path(machine))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        command.spawn().expect("the program starts")
    }

    fn settings_path(&self, machine: &Machine) -> PathBuf {
        self.folder.join(format!("{}.toml", machine.name()))
    }

    fn write_settings(&self, machine: &Machine, bootstrap: bool) {
        let base = self.base;
        let own = ip(machine.class, machine.number);
        let seeds: Vec<String> = (1..=self.cores.min(3))
            .map(|number| format!("\"{}:{}\"", ip(Class::Core, number), base + 2))
            .collect();
        let (class, serves, limits, listen) = match machine.class {
            Class::Edge => (
                "edge",
                "edge",
                "cpu_share = 0.25\ncpu_cores = 1\nmemory_mb = 260\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0",
                format!(
                    "front = \"{own}:{}\"\nreadiness = \"{own}:{}\"\nfeed = \"{own}:{}\"",
                    base + 3,
                    base + 4,
                    base + 1
                ),
            ),
            Class::Core => (
                "core",
                "control_plane",
                "cpu_share = 0.6\ncpu_cores = 1\nmemory_mb = 256\nmax_fds = 4096\nlink_mbps = 1000.0\ndisk_mb = 128",
                format!("control = \"{own}:{}\"", base + 2),
            ),
            Class::Storage => (
                "storage",
                "storage",
                "cpu_share = 0.5\ncpu_cores = 1\nmemory_mb = 260\nmax_fds = 8200\nlink_mbps = 600.0\ndisk_mb = 300",
                String::new(),
            ),
        };
        let data = if machine.class == Class::Edge {
            String::new()
        } else {
            format!("data_dir = \"{}\"\n", self.folder.join(format!("{}-data", machine.name())).display())
        };
        if !data.is_empty() {
            std::fs::create_dir_all(self.folder.join(format!("{}-data", machine.name()))).ok();
        }
        let counts = machine.class != Class::Edge;
        let text = format!(
            "node_name = \"{}\"\nrole = \"my-{class}\"\nmachine_class = \"{class}\"\nserves = [\"{serves}\"]\nip = \"{own}\"\n\
             zone = \"z{}\"\nregion = \"r\"\ninternal_port_range = [{base},{}]\nseed_nodes = [{}]\nbootstrap = {bootstrap}\n\
             counts_for_quorum = {counts}\n{data}discovery = \"registration\"\nentry = \"vip\"\nheartbeat_ms = 1200\n\
             [zones]\nz1 = \"r\"\nz2 = \"r\"\nz3 = \"r\"\nz4 = \"r\"\n[listen]\n{listen}\n[limits]\n{limits}\n\
             [fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\n\
             ack_ms = 4000\ncatch_up_s = 4.1\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_apply_ms = 2000\n\
             revert_slack_ms = 250\nmax_skew_ms = 5000\nrecovery_s = 12\npass_ms = 120\nagain_s = 0\nfinish_s = 10\nsettle_ms = 1000\n",
            machine.name(),
            machine.number,
            base + 1,
            seeds.join(",")
        );
        std::fs::write(self.settings_path(machine), text).expect("the settings can be written");
    }

    pub fn front(&self, edge: u8) -> SocketAddrV4 {
        SocketAddrV4::new(ip(Class::Edge, edge), self.base + 3)
    }

    pub fn readiness(&self, edge: u8) -> SocketAddrV4 {
        SocketAddrV4::new(ip(Class::Edge, edge), self.base + 4)
    }

    pub fn control(&self) -> Vec<SocketAddrV4> {
        (1..=self.cores).map(|number| SocketAddrV4::new(ip(Class::Core, number), self.base + 2)).collect()
    }

    /// Process id of a role on a machine, while it runs.
    pub fn pid(&self, class: Class, number: u8, role: &str) -> Option<u32> {
        let processes = self.processes.lock().unwrap();
        let process = processes.iter().find(|process| {
            process.machine.class == class && process.machine.number == number && process.role == role
        })?;
        process.child.as_ref().map(Child::id)
    }

    /// Sends a signal to all processes of a machine.
    pub fn signal(&self, class: Class, number: u8, signal: &str) {
        let processes = self.processes.lock().unwrap();
        for process in processes
            .iter()
            .filter(|process| process.machine.class == class && process.machine.number == number)
        {
            if let Some(child) = &process.child {
                send_signal(child.id(), signal);
            }
        }
        self.record.line(&format!("platform: {signal} to {}", Machine { class, number }.name()));
    }

    /// Kills one process and starts it again after `pause`, as the platform does.
    pub fn kill_and_restart(&self, class: Class, number: u8, role: &str, pause: Duration) {
        let find = |process: &Process| {
            process.machine.class == class && process.machine.number == number && process.role == role
        };
        {
            let mut processes = self.processes.lock().unwrap();
            let Some(process) = processes.iter_mut().find(|process| find(process)) else { return };
            if let Some(mut child) = process.child.take() {
                child.kill().ok();
                child.wait().ok();
            }
        }
        thread::sleep(pause);
        let mut processes = self.processes.lock().unwrap();
        let Some(process) = processes.iter_mut().find(|process| find(process)) else { return };
        let machine = process.machine.clone();
        self.write_settings(&machine, false);
        process.child = Some(self.spawn(&machine, process.role));
    }

    /// Whether all processes of a machine have ended.
    pub fn has_ended(&self, class: Class, number: u8) -> bool {
        let mut processes = self.processes.lock().unwrap();
        processes
            .iter_mut()
            .filter(|process| process.machine.class == class && process.machine.number == number)
            .all(|process| process.child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_)))))
    }

    /// Resident memory of a process in MB.
    pub fn memory_mb(pid: u32) -> Option<f64> {
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kb: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kb / 1024.0)
    }

    /// Waits until all edge machines call themselves ready.
    pub fn wait_ready(&self, edges: u8, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        for edge in 1..=edges {
            loop {
                let answer =
                    request(self.readiness(edge), "GET", "/api/readyz", &[], b"", Duration::from_secs(1));
                if answer.is_ok_and(|answer| answer.status == 200) {
                    break;
                }
                if Instant::now() > until {
                    return false;
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        true
    }

    /// Sends a configuration until it is acknowledged.
    pub fn configure(&self, base: u64, body: &str, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        let base = base.to_string();
        while Instant::now() < until {
            for control in self.control() {
                let headers = [("If-Match", base.as_str()), ("Content-Type", "application/json")];
                let answer =
                    request(control, "PUT", "/api/config", &headers, body.as_bytes(), Duration::from_secs(1));
                if answer.is_ok_and(|answer| answer.status == 200) {
                    self.record
                        .line(&format!("operator: configuration on top of {base} acknowledged by {control}"));
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        for process in self.processes.lock().unwrap().iter_mut() {
            if let Some(child) = &mut process.child {
                child.kill().ok();
                child.wait().ok();
            }
        }
        if std::env::var_os("KEEP").is_none() {
            std::fs::remove_dir_all(Path::new(&self.folder)).ok();
        }
    }
}

pub fn send_signal(pid: u32, signal: &str) {
    Command::new("kill").args([signal, &pid.to_string()]).status().ok();
}

/// One message of HTTP/1.1, read whole.
#[derive(Debug, Default)]
pub struct Message {
    pub start: String,
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads the head of a message; `None` if the connection ended before its first byte.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_owned();
    message.status = message.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

/// Reads the next chunk of a chunked body; empty at its end.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(line.trim(), 16).map_err(|_| io::Error::other("no chunk size"))?;
    let mut bytes = vec![0; size + 2];
    reader.read_exact(&mut bytes)?;
    bytes.truncate(size);
    Ok(bytes)
}

/// Reads the body that follows a head.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    if message.header("transfer-encoding").contains("chunked") {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                break;
            }
            message.body.extend_from_slice(&chunk);
        }
    } else if let Ok(length) = message.header("content-length").parse::<usize>() {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    message.is_whole = true;
    Ok(())
}

pub fn connect(to: SocketAddrV4) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&to.into(), Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Sends one request on a connection of its own and reads the answer.
pub fn request(
    to: SocketAddrV4, method: &str, path: &str, headers: &[(&str, &str)], body: &[u8], timeout: Duration,
) -> io::Result<Message> {
    let mut stream = connect(to)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let mut head =
        format!("{method} {path} HTTP/1.1\r\nConnection: close\r\nContent-Length: {}\r\n", body.len());
    if !headers.iter().any(|(name, _)| *name == "Host") {
        head.push_str("Host: tier.example\r\n");
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    let mut message = read_head(&mut reader)?.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))?;
    match read_body(&mut reader, &mut message) {
        Ok(()) => Ok(message),
        // The head came, the body did not end.
        Err(_) => Ok(message),
    }
}

/// What an endpoint does with a request. It writes the answer itself; false closes the connection.
pub type Work = Arc<dyn Fn(&Endpoint, &Message, &mut TcpStream) -> bool + Send + Sync>;

/// A stand-in for an endpoint: it registers itself, says when it leaves, and serves one request at a time on a connection.
pub struct Endpoint {
    pub id: String,
    pub address: SocketAddrV4,
    service: String,
    capacity: u32,
    zone: u8,
    sequence: AtomicU64,
    is_draining: AtomicBool,
    running: AtomicU64,
    control: Vec<SocketAddrV4>,
    record: Arc<Record>,
}

impl Endpoint {
    pub fn start(
        record: &Arc<Record>, platform: &Platform, service: &str, number: u8, capacity: u32, work: Work,
    ) -> Arc<Endpoint> {
        let listener = TcpListener::bind((Ipv4Addr::new(127, 0, 4, number), 0)).expect("an endpoint listens");
        let std::net::SocketAddr::V4(address) = listener.local_addr().unwrap() else { unreachable!() };
        let endpoint = Arc::new(Endpoint {
            id: format!("i-{service}-{number}"),
            address,
            service: service.to_owned(),
            capacity,
            zone: 1 + number % 3,
            sequence: AtomicU64::new(0),
            is_draining: AtomicBool::new(false),
            running: AtomicU64::new(0),
            control: platform.control(),
            record: record.clone(),
        });
        let served = endpoint.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (served, work) = (served.clone(), work.clone());
                thread::Builder::new().stack_size(128 * 1024).spawn(move || served.serve(stream, &work)).ok();
            }
        });
        let beating = endpoint.clone();
        thread::spawn(move || {
            loop {
                beating.beat();
                thread::sleep(Duration::from_millis(1200));
            }
        });
        endpoint
    }

    fn serve(&self, stream: TcpStream, work: &Work) {
        stream.set_nodelay(true).ok();
        let mut writer = stream.try_clone().expect("a second handle");
        let mut reader = BufReader::new(stream);
        while let Ok(Some(mut message)) = read_head(&mut reader) {
            if read_body(&mut reader, &mut message).is_err() {
                return;
            }
            if message.header("expect-instance") != "" && message.header("expect-instance") != self.id {
                let id = message.header("request-id");
                let answer = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                );
                if writer.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            self.running.fetch_add(1, Ordering::SeqCst);
            let goes_on = work(self, &message, &mut writer);
            self.running.fetch_sub(1, Ordering::SeqCst);
            if !goes_on {
                return;
            }
        }
    }

    /// Sends one heartbeat to one controller after the other until one acknowledges it.
    pub fn beat(&self) -> bool {
        let state = if self.is_draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            r#"{{"service":"{}","address":"{}","zone":"z{}","revision":"v1","capacity":{},"state":"{state}","warmup_left_ms":0,"phase":"both","models":[{{"name":"m","revision":1,"adapters":[]}}],"sequence":{sequence}}}"#,
            self.service, self.address, self.zone, self.capacity
        );
        let path = format!("/api/instances/{}", self.id);
        for control in &self.control {
            let answer = request(*control, "PUT", &path, &[], body.as_bytes(), Duration::from_secs(1));
            if answer.is_ok_and(|answer| (200..300).contains(&answer.status)) {
                return true;
            }
        }
        false
    }

    /// Requests that it works on.
    pub fn running(&self) -> u64 {
        self.running.load(Ordering::SeqCst)
    }

    /// The header with its load.
    pub fn load(&self) -> String {
        format!("Server-Load: {},0,{}\r\n", self.running.load(Ordering::SeqCst), self.capacity)
    }

    /// Says `draining` until that is acknowledged.
    pub fn drain(&self) {
        self.is_draining.store(true, Ordering::SeqCst);
        while !self.beat() {
            thread::sleep(Duration::from_millis(100));
        }
        self.record.line(&format!("endpoint {}: draining, acknowledged", self.id));
    }
}
