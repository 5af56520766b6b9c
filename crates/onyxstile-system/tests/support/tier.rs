//! All four roles on loopback in one process, and a client for them.

use std::net::{Ipv4Addr, SocketAddrV4, TcpListener as StdListener};
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::HeaderMap;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use onyxstile_system::role::signals::Signals;
use onyxstile_system::role::{agent, controller, proxy, storage};
use onyxstile_system::settings::{MetricsAddress, Settings};
use tokio::net::TcpStream;
use tokio::task::{JoinHandle, LocalSet};

use super::send_signal;

/// Timeout of a test, which takes about two seconds.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Ports that all machines of a tier share.
#[derive(Clone, Copy)]
pub struct Ports {
    internal: u16,
    /// Port of controllers for operators and endpoints.
    pub control: u16,
    /// Port of proxies for clients.
    pub front: u16,
    pub(super) readiness: u16,
    /// Metrics port of proxies, controllers and storage machines.
    metrics: u16,
    /// Metrics port of agents.
    agent_metrics: u16,
}

/// Path of the metrics.
pub const METRICS_PATH: &str = "/figures";

/// Host of a core machine in the zone of the first controller, which has no vote while the first controller has one.
pub const STANDBY: u8 = 8;

/// Tests run one after the other, because each uses the first free ports.
static PORT_LOCK: Mutex<()> = Mutex::new(());

/// Keeps the other tests of this test process from using ports until it is dropped.
pub fn lock_ports() -> MutexGuard<'static, ()> {
    PORT_LOCK.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Free loopback ports, below the range of outgoing connections, for this many machines with their own ports.
pub fn free_ports(machines: u16) -> Vec<Ports> {
    const LOWEST: u32 = 18_000;
    const SPAN: u32 = 12_000;
    const BLOCK: u16 = 8;
    let is_free =
        |port| (1..=STANDBY).all(|host| StdListener::bind((Ipv4Addr::new(127, 0, 0, host), port)).is_ok());
    for step in 0..SPAN / u32::from(BLOCK) {
        let first = (LOWEST + (std::process::id() + step) * u32::from(BLOCK) % SPAN) as u16;
        if (first..first + machines * BLOCK).all(is_free) {
            return (0..machines).map(|machine| Ports::beginning_at(first + machine * BLOCK)).collect();
        }
    }
    panic!("no free ports on loopback");
}

fn ports() -> Ports {
    free_ports(1).remove(0)
}

impl Ports {
    /// Feed address of the proxy of a machine, on a host with several machines.
    pub fn feed(&self, host: u8) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, host), self.internal + 1)
    }

    /// First internal port of all machines, over TCP and UDP.
    pub fn peers(&self) -> u16 {
        self.internal
    }

    /// Port of proxies for readiness checks.
    pub fn readiness(&self) -> u16 {
        self.readiness
    }

    /// Port of the metrics of a role's process.
    pub fn metrics_of(&self, role: &str) -> u16 {
        if role == "agent" { self.agent_metrics } else { self.metrics }
    }

    fn beginning_at(internal: u16) -> Ports {
        Ports {
            internal,
            control: internal + 2,
            front: internal + 3,
            readiness: internal + 4,
            metrics: internal + 5,
            agent_metrics: internal + 6,
        }
    }
}

/// Contents of the settings file of a machine.
pub fn settings_text(ports: &Ports, folder: &Path, name: &str, host: u8, class: &str) -> String {
    let Ports { internal, control, front, readiness, .. } = ports;
    let seeds: Vec<String> = (2..=4).map(|seed| format!("\"127.0.0.{seed}:{control}\"")).collect();
    let data = folder.join(name);
    let zone = if host == STANDBY { 2 } else { host };
    format!(
        r#"
node_name = "{name}"
machine_class = "{class}"
ip = "127.0.0.{host}"
zone = "z{zone}"
internal_port_range = [{internal},{}]
seed_nodes = [{}]
bootstrap = true
data_dir = "{}"
heartbeat_ms = 1000
[listen]
control = "127.0.0.{host}:{control}"
front = "127.0.0.{host}:{front}"
readiness = "127.0.0.{host}:{readiness}"
[limits]
memory_mb = 64
max_fds = 2000
disk_mb = 100
[fault_tolerance]
machines = 1
zones = 1
"#,
        internal + 1,
        seeds.join(","),
        data.display()
    )
}

/// Settings of a machine that publishes metrics.
pub(super) fn settings(ports: &Ports, folder: &Path, name: &str, host: u8, class: &str) -> Settings {
    let text = settings_text(ports, folder, name, host, class);
    let settings = Settings::parse(Path::new("boot.toml"), &text).expect("valid settings");
    Settings { metrics: Some(metrics_address(ports.metrics)), ..settings }
}

fn metrics_address(port: u16) -> MetricsAddress {
    format!("{port}{METRICS_PATH}").parse().expect("a port and a path")
}

/// Runs a role in its own task set: when the role ends, its tasks end and its connections close, as when a process exits.
pub(super) fn start_process(role: impl Future<Output = ()> + 'static) -> JoinHandle<()> {
    tokio::task::spawn_local(async move { LocalSet::new().run_until(role).await })
}

/// Sends SIGTERM to this process; all its roles receive it.
pub fn terminate() {
    send_signal(std::process::id(), "-TERM");
}

fn start_controller(ports: &Ports, folder: &Path, host: u8) {
    let settings = settings(ports, folder, &format!("core-{host}"), host, "core");
    start_process(
        async move { controller::run(settings, Signals::listen()).await.expect("the controller runs") },
    );
}

fn start(ports: &Ports, folder: &Path) {
    (2..=4).for_each(|host| start_controller(ports, folder, host));
    for host in 5..=7 {
        let settings = settings(ports, folder, &format!("storage-{host}"), host, "storage");
        start_process(async move { storage::run(settings, Signals::listen()).await.expect("storage runs") });
    }
    start_proxy_and_agent(ports, folder);
}

fn start_proxy_and_agent(ports: &Ports, folder: &Path) {
    let proxy_settings = settings(ports, folder, "edge-1", 1, "edge");
    let agent_settings =
        Settings { metrics: Some(metrics_address(ports.agent_metrics)), ..proxy_settings.clone() };
    start_process(
        async move { proxy::run(proxy_settings, Signals::listen()).await.expect("the proxy runs") },
    );
    start_process(
        async move { agent::run(agent_settings, Signals::listen()).await.expect("the agent runs") },
    );
}

/// An answer; `body` is `None` if it was truncated.
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Option<Bytes>,
}

/// Sends one request on its own connection; `None` if there is no answer.
pub async fn send_request(
    to: SocketAddrV4, method: &str, path: &str, headers: &[(&str, &str)], body: &str,
) -> Option<Answer> {
    let stream = TcpStream::connect(to).await.ok()?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::task::spawn_local(connection);
    let mut request = Request::builder().method(method).uri(path).header("host", "a.example");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::copy_from_slice(body.as_bytes()))).expect("a request");
    let (head, body) = sender.send_request(request).await.ok()?.into_parts();
    let body = body.collect().await.ok().map(|body| body.to_bytes());
    Some(Answer { status: head.status, headers: head.headers, body })
}

/// Repeats a request until the answer has this status.
pub async fn request_until(
    status: u16, to: SocketAddrV4, method: &str, path: &str, headers: &[(&str, &str)], body: &str,
) -> Answer {
    loop {
        if let Some(answer) = send_request(to, method, path, headers, body).await
            && answer.status.as_u16() == status
        {
            return answer;
        }
        tokio::task::yield_now().await;
    }
}

/// Limits of a configuration.
pub const LIMITS: &str =
    r#"{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000}"#;

/// Body of a heartbeat of an endpoint.
pub fn heartbeat(service: &str, endpoint: SocketAddrV4, state: &str, sequence: u64) -> String {
    format!(
        r#"{{"service":"{service}","address":"{endpoint}","zone":"z1","revision":"v1","capacity":4,"state":"{state}","warmup_left_ms":0,"sequence":{sequence}}}"#
    )
}

/// A running tier.
pub struct Tier {
    ports: Ports,
    folder: PathBuf,
}

impl Tier {
    /// Starts all roles, sends a configuration, registers endpoints, and waits until the proxy is ready.
    pub async fn start(name: &str, configuration: &str, endpoints: &[(&str, &str, SocketAddrV4)]) -> Tier {
        let folder = std::env::temp_dir().join(format!("onyxstile-{name}-{}", std::process::id()));
        std::fs::remove_dir_all(&folder).ok();
        let ports = ports();
        start(&ports, &folder);
        let tier = Tier { ports, folder };
        request_until(200, tier.control(2), "PUT", "/api/config", &[("if-match", "0")], configuration).await;
        for (id, service, address) in endpoints {
            let body = heartbeat(service, *address, "ready", 1);
            request_until(200, tier.control(3), "PUT", &format!("/api/instances/{id}"), &[], &body).await;
        }
        let readiness = SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, 1), tier.ports.readiness);
        request_until(200, readiness, "GET", "/api/readyz", &[], "").await;
        tier
    }

    /// Starts only a proxy and its agent.
    pub async fn start_proxy_alone(name: &str) -> Tier {
        let folder = std::env::temp_dir().join(format!("onyxstile-{name}-{}", std::process::id()));
        let ports = ports();
        start_proxy_and_agent(&ports, &folder);
        Tier { ports, folder }
    }

    /// Starts another core machine at the host [`STANDBY`].
    pub fn start_standby(&self) {
        start_controller(&self.ports, &self.folder, STANDBY);
    }

    /// Control address of a controller.
    pub fn control(&self, host: u8) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, host), self.ports.control)
    }

    /// Metrics address of the proxy, a controller or a storage machine.
    pub fn metrics(&self, host: u8) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, host), self.ports.metrics)
    }

    /// Metrics address of the agent.
    pub fn agent_metrics(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, 1), self.ports.agent_metrics)
    }

    /// Address for clients.
    pub fn front(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, 1), self.ports.front)
    }
}

impl Drop for Tier {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.folder).ok();
    }
}

/// Runs a test; it fails if it does not end within the timeout.
pub fn run_test<F: Future<Output = ()>>(test: F) {
    run_test_within(TEST_TIMEOUT, test);
}

/// Runs a test; it fails if it does not end within `timeout`.
pub fn run_test_within<F: Future<Output = ()>>(timeout: Duration, test: F) {
    let _alone = lock_ports();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let local = tokio::task::LocalSet::new();
    let run = local.run_until(async { tokio::time::timeout(timeout, test).await });
    runtime.block_on(run).expect("the test ends within the timeout");
}
