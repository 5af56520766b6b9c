//! The operator of a run, who changes the configuration repeatedly, and the heartbeats of the endpoints.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use crate::Run;
use crate::endless::Endless;
use crate::endpoints::Endpoints;
use crate::programs::TOKENS_PER_EVENT;
use crate::support::tier::{Answer, heartbeat, send_request};

/// Timeout of a request to a controller.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Longest pause between two changes, in ms.
const PAUSE_MAX_MS: u64 = 250;

/// State of the operator.
pub struct Operator {
    /// All sent configurations by revision.
    sent: RefCell<BTreeMap<u64, String>>,
    acknowledged: Cell<u64>,
    changes: Cell<usize>,
    current: Cell<u64>,
}

/// Limits for clients: bodies of up to a megabyte.
const LIMITS: &str =
    r#"{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000}"#;
/// Services, each of which all endpoints serve: `llm` has model endpoints, `api` other ones.
const SERVICES: [&str; 2] = ["api", "llm"];

fn route(name: &str, path: &str, route_type: &str, service: &str, attempts: u32) -> String {
    format!(
        r#"{{"name":"{name}","host":"a.example","path_prefix":"{path}","route_type":"{route_type}","timeout_ms":10000,"target_latency_ms":200,"priority":0,"service":"{service}","max_attempts":{attempts}}}"#
    )
}

fn configuration(revision: u64) -> String {
    let chat = route("chat", "/c/", "streaming", "llm", 1).replace(
        "}",
        r#","retained":true,"retention_s":600.0,"session_affinity":true,"resumable":false,"gap_aim_ms":400}"#,
    );
    let routes = [
        route("r", "/r/", "non_idempotent", "api", 1),
        route("i", "/i/", "idempotent", "api", 2),
        route("s", "/s/", "streaming", "llm", 1),
        chat,
        route("eo", "/eo/", "non_idempotent", "endless", 1),
        route("ei", "/ei/", "idempotent", "endless", 2),
        route("es", "/es/", "streaming", "endless", 1),
        route("idle", &format!("/idle{revision}/"), "non_idempotent", "api", 1),
    ];
    let engine = format!(
        r#"{{"capacity":400,"kv_capacity_tokens":1000,"chunk_size":{TOKENS_PER_EVENT},"models":[{{"name":"m"}}]}}"#
    );
    format!(
        r#"{{"revision":{revision},"routes":[{}],"services":[{{"name":"api","health_check":"/healthz","max_connections":900,"protocol":"h1","tls":false}},{{"name":"endless","health_check":"/healthz","max_connections":900,"protocol":"h1","tls":false}},{{"name":"llm","health_check":"/healthz","max_connections":900,"protocol":"h1","tls":false,"engine":{engine}}}],"limits":{LIMITS}}}"#,
        routes.join(",")
    )
}

async fn call_controller(run: &Run, method: &str, path: &str, base: u64, body: &str) -> Option<Answer> {
    let controller = run.others[run.random_below(3) as usize].host;
    let to = SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, controller), run.ports.control);
    let base = base.to_string();
    tokio::time::timeout(
        REQUEST_TIMEOUT,
        send_request(to, method, path, &[("if-match", base.as_str())], body),
    )
    .await
    .ok()?
}

impl Operator {
    /// Sends the first configuration until it is acknowledged and starts the heartbeats.
    pub async fn start(run: &Rc<Run>, endpoints: Rc<Endpoints>, endless: &Endless) -> Operator {
        let instances = instances(&endpoints, endless);
        tokio::task::spawn_local(send_heartbeats(run.clone(), instances));
        let operator = Operator {
            sent: RefCell::default(),
            acknowledged: Cell::new(0),
            changes: Cell::new(0),
            current: Cell::new(0),
        };
        while operator.acknowledged.get() == 0 {
            operator.put_configuration(run, 1).await;
            run.random_pause(50).await;
        }
        operator
    }

    /// Changes the configuration until the traffic ends.
    pub async fn change_until_over(self: Rc<Operator>, run: Rc<Run>) {
        while !run.is_traffic_over.get() {
            run.random_pause(PAUSE_MAX_MS).await;
            let next = self.sent.borrow().last_key_value().map_or(1, |(revision, _)| revision + 1);
            self.put_configuration(&run, next).await;
            if self.current.get() != next {
                self.read_configuration(&run).await;
            }
        }
    }

    async fn put_configuration(&self, run: &Run, revision: u64) {
        let body = configuration(revision);
        self.sent.borrow_mut().insert(revision, body.clone());
        let answer = call_controller(run, "PUT", "/api/config", self.current.get(), &body).await;
        if answer.is_some_and(|answer| answer.status == 200) {
            self.changes.set(self.changes.get() + 1);
            self.acknowledged.set(revision);
            self.current.set(revision);
        }
    }

    /// Reads the configuration once and returns whether there was an answer. It has to be a sent one, and no older than the newest
    /// acknowledged one.
    async fn read_configuration(&self, run: &Run) -> bool {
        let least = self.acknowledged.get();
        let answer = call_controller(run, "GET", "/api/config", 0, "").await;
        let Some(body) = answer.filter(|answer| answer.status == 200).and_then(|answer| answer.body) else {
            return false;
        };
        let sent = self.sent.borrow();
        match sent.iter().find(|(_, text)| text.as_bytes() == body) {
            Some((revision, _)) if *revision >= least => self.current.set(*revision),
            Some((revision, _)) => {
                run.record_fault(format!("revision {revision} was read after {least} was acknowledged"))
            }
            None => run.record_fault("a configuration was read that was never sent".into()),
        }
        true
    }

    /// Reads the configuration at the end of the run, until a controller answers.
    pub async fn read_back(&self, run: &Run) {
        while !self.read_configuration(run).await {
            run.random_pause(50).await;
        }
    }

    /// Counts of changes.
    pub fn summary(&self) -> String {
        format!("{} of {} changes acknowledged", self.changes.get(), self.sent.borrow().len())
    }
}

/// All endpoints with their services.
fn instances(endpoints: &Endpoints, endless: &Endless) -> Vec<(&'static str, SocketAddrV4)> {
    let addresses = endpoints.addresses.borrow();
    let honest = SERVICES.iter().flat_map(|service| addresses.iter().map(|address| (*service, *address)));
    let faulty = endless.endpoints.iter().map(|endpoint| ("endless", endpoint.address));
    honest.chain(faulty).collect()
}

/// Sends the heartbeats of all endpoints, each with its service, until the run ends.
async fn send_heartbeats(run: Rc<Run>, instances: Vec<(&'static str, SocketAddrV4)>) {
    for sequence in 1.. {
        for (number, (service, address)) in instances.iter().enumerate() {
            let body = heartbeat(service, *address, "ready", sequence)
                .replace(r#""capacity":4"#, r#""capacity":400"#);
            call_controller(&run, "PUT", &format!("/api/instances/{service}-{number}"), 0, &body).await;
        }
        run.sleep(HEARTBEAT_INTERVAL).await;
    }
}
