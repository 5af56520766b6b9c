//! Proxies without the other roles: the test sends the feed that an agent would send. All connections of a proxy are closed
//! when its task ends.

use std::net::SocketAddrV4;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use onyxstile_system::control::StoredConfiguration;
use onyxstile_system::registry::{Instance, Stage};
use onyxstile_system::role::rpc::Client;
use onyxstile_system::role::signals::Signals;
use onyxstile_system::role::{proxy, storage};
use onyxstile_system::settings::{Bounds, Settings};
use onyxstile_system::storage_plan::{StorageNode, StoragePlan};
use onyxstile_system::tolerance::Location;
use onyxstile_system::wire::{Feed, PublishedState, Request};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use super::tier::{self, LIMITS, free_ports, request_until, send_request, settings, start_process};

/// Longer than a proxy accepts connections after SIGTERM (2.6 s).
pub const UNTIL_LISTENER_CLOSE: Duration = Duration::from_millis(2605);
/// Longer than a proxy waits before it exits, after its work has ended.
pub const AFTER_SHUTDOWN: Duration = Duration::from_millis(200);
/// More than all buffers of a loopback connection hold.
pub const LARGE_BODY: usize = 32 << 20;

/// Memory limit, in MB, of a proxy that passes on an answer of [`LARGE_BODY`]: one answer may cost a sixteenth of it.
const LARGE_BODY_MEMORY_MB: u64 = 1024;
/// Longer than a proxy takes to read such an answer, at the rate of large answers.
pub const LARGE_BODY_READ_TIME: Duration = Duration::from_secs(2);

/// Hosts of the storage machines.
const STORAGE_HOSTS: [u8; 3] = [5, 6, 7];

/// A configuration with one non-idempotent route.
pub fn configuration() -> String {
    let route = r#"{"name":"r","host":"a.example","path_prefix":"/r/","route_type":"non_idempotent","timeout_ms":5000,"target_latency_ms":200,"priority":0,"service":"api","max_attempts":1}"#;
    format!(
        r#"{{"revision":1,"routes":[{route}],"services":[{{"name":"api","health_check":"/healthz","max_connections":20,"protocol":"h1","tls":false}}],"limits":{LIMITS}}}"#
    )
}

/// Timeout of a feed request.
const FEED_TIMEOUT: Duration = Duration::from_secs(10);

/// A proxy that runs in a task of the test process.
pub struct StandaloneProxy {
    /// Address for clients.
    pub front: SocketAddrV4,
    readiness: SocketAddrV4,
    feed: SocketAddrV4,
    process: JoinHandle<()>,
}

impl StandaloneProxy {
    /// Starts `count` proxies with a configuration and one endpoint of its service `api`, and waits until all are ready.
    pub async fn start(count: u16, configuration: &str, endpoint: SocketAddrV4) -> Vec<StandaloneProxy> {
        StandaloneProxy::start_with(count, configuration, endpoint, |_| {}).await
    }

    /// Starts a proxy whose memory limit allows answers of [`LARGE_BODY`].
    pub async fn start_for_large_body(configuration: &str, endpoint: SocketAddrV4) -> Vec<StandaloneProxy> {
        let change = |settings: &mut Settings| settings.limits.memory_mb = LARGE_BODY_MEMORY_MB;
        StandaloneProxy::start_with(1, configuration, endpoint, change).await
    }

    async fn start_with(
        count: u16, configuration: &str, endpoint: SocketAddrV4, change: impl Fn(&mut Settings),
    ) -> Vec<StandaloneProxy> {
        let folder = std::env::temp_dir();
        let mut proxies = Vec::new();
        for ports in free_ports(count) {
            let mut settings = settings(&ports, Path::new(&folder), "edge-1", 1, "edge");
            change(&mut settings);
            proxies.push(StandaloneProxy::run(Settings { metrics: None, ..settings }));
        }
        for proxy in &proxies {
            proxy.make_ready(configuration, endpoint, StoragePlan::default()).await;
        }
        proxies
    }

    /// Starts a proxy and three storage machines without controllers, and waits until the proxy is ready; also returns the
    /// addresses of the storage machines.
    pub async fn start_with_storage(
        folder: &Path, configuration: &str, endpoint: SocketAddrV4,
    ) -> (StandaloneProxy, Vec<SocketAddrV4>) {
        let ports = free_ports(1).remove(0);
        let mut plan = StoragePlan { epoch: 1, size: 3, ..StoragePlan::default() };
        let mut storage_machines = Vec::new();
        for host in STORAGE_HOSTS {
            let name = format!("storage-{host}");
            let settings = settings(&ports, folder, &name, host, "storage");
            storage_machines.push(SocketAddrV4::new(settings.ip, settings.peer_port()));
            plan.current.push(storage_node(host));
            let settings = Settings { metrics: None, ..settings };
            start_process(
                async move { storage::run(settings, Signals::listen()).await.expect("storage runs") },
            );
        }
        let settings = settings(&ports, folder, "edge-1", 1, "edge");
        let proxy = StandaloneProxy::run(Settings { metrics: None, ..settings });
        wait_until_they_answer(&storage_machines).await;
        proxy.make_ready(configuration, endpoint, plan).await;
        (proxy, storage_machines)
    }

    /// Starts a proxy with a short grace period and a plan of storage machines that accept connections and do not answer.
    pub async fn start_with_silent_storage(
        configuration: &str, endpoint: SocketAddrV4, grace_s: f64,
    ) -> (StandaloneProxy, Vec<TcpListener>) {
        let ports = free_ports(1).remove(0);
        let settings = settings(&ports, &std::env::temp_dir(), "edge-1", 1, "edge");
        let mut plan = StoragePlan { epoch: 1, size: 3, ..StoragePlan::default() };
        let mut listeners = Vec::new();
        for host in STORAGE_HOSTS {
            let node = storage_node(host);
            let address = SocketAddrV4::new(node.ip.into(), settings.peer_port());
            listeners.push(TcpListener::bind(address).await.expect("a free port"));
            plan.current.push(node);
        }
        let bounds = Bounds { grace_s, ..settings.bounds.clone() };
        let proxy = StandaloneProxy::run(Settings { metrics: None, bounds, ..settings });
        proxy.make_ready(configuration, endpoint, plan).await;
        (proxy, listeners)
    }

    async fn make_ready(&self, configuration: &str, endpoint: SocketAddrV4, plan: StoragePlan) {
        self.send_feed(configuration, endpoint, plan).await;
        request_until(200, self.readiness, "GET", "/api/readyz", &[], "").await;
    }

    fn run(settings: Settings) -> StandaloneProxy {
        StandaloneProxy {
            front: settings.listen.front.expect("an address"),
            readiness: settings.listen.readiness.expect("an address"),
            feed: settings.feed_address(),
            process: start_process(async move {
                proxy::run(settings, Signals::listen()).await.expect("the proxy runs")
            }),
        }
    }

    async fn send_feed(&self, configuration: &str, endpoint: SocketAddrV4, plan: StoragePlan) {
        let stored = StoredConfiguration { revision: 1, body: configuration.as_bytes().to_vec() };
        let state =
            PublishedState { sequence: 1, configuration: Some(Rc::new(stored)), storage: Rc::new(plan) };
        let endpoints = vec![instance("i-1", endpoint, Stage::Ready, 1)];
        self.feed(Feed { state: Some(state), endpoints, is_fresh: true, ..Feed::default() }).await;
    }

    /// Sends a call without a body to its route on a new connection, with further headers that each end with a line break.
    pub async fn send_call(&self, headers: &str) -> TcpStream {
        let mut client = TcpStream::connect(self.front).await.expect("a connection");
        let head = format!(
            "POST /r/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\n{headers}Content-Length: 0\r\n\r\n"
        );
        client.write_all(head.as_bytes()).await.expect("sent");
        client
    }

    /// Sends the proxy a record of an endpoint of its service `api`.
    pub async fn update_endpoint(&self, id: &str, address: SocketAddrV4, stage: Stage, sequence: u64) {
        let endpoints = vec![instance(id, address, stage, sequence)];
        self.feed(Feed { endpoints, is_fresh: true, ..Feed::default() }).await;
    }

    async fn feed(&self, feed: Feed) {
        let client = Client::default();
        while client.call(self.feed, &Request::Feed(feed.clone()), FEED_TIMEOUT).await.is_err() {
            tokio::task::yield_now().await;
        }
    }

    /// Whether its task has ended.
    pub fn has_ended(&self) -> bool {
        self.process.is_finished()
    }
}

fn storage_node(host: u8) -> StorageNode {
    let location = Location { region: String::new(), zone: format!("z{host}") };
    StorageNode { name: format!("storage-{host}"), ip: [127, 0, 0, host], disk: 1, location }
}

/// Waits until each machine answers a request: a test may call one as soon as it has started it.
async fn wait_until_they_answer(machines: &[SocketAddrV4]) {
    let client = Client::default();
    for machine in machines {
        while client.call(*machine, &Request::Status, FEED_TIMEOUT).await.is_err() {
            tokio::task::yield_now().await;
        }
    }
}

fn instance(id: &str, address: SocketAddrV4, stage: Stage, sequence: u64) -> Instance {
    Instance {
        id: id.into(),
        service: "api".into(),
        address: (address.ip().octets(), address.port()),
        zone: "z1".into(),
        capacity: 8,
        stage,
        warmup_left_ms: 0,
        sequence,
        is_silent: false,
    }
}

/// Sends SIGTERM, which all proxies of this process receive, and waits until none reports ready.
pub async fn terminate(proxies: &[StandaloneProxy]) {
    tier::terminate();
    for proxy in proxies {
        while send_request(proxy.readiness, "GET", "/api/readyz", &[], "").await.expect("an answer").status
            != 503
        {
            tokio::task::yield_now().await;
        }
    }
}
