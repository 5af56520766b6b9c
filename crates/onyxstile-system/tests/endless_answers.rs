//! Real processes beside endpoints whose answers never end.
//!
//! Failure: a faulty endpoint sent bytes until its caller closed the connection. Relays collected them until they were ended for
//! their memory, or stood still; requests of other clients ended with them (rule FAULT).
//!
//! Each test plays one form of such answers, behind 200 and behind 500, on routes of every kind at once, and asks a healthy
//! service meanwhile.

mod support;

use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::process::Stdio;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use support::endless_endpoint::{CORRECT_BODY, EndlessEndpoint, FORM_HEADER, Form, STATUS_HEADER};
use support::metric_value;
use support::role_process::{ROLES, RoleMachine, RoleProcess};
use support::tier::{LIMITS, Ports, free_ports, heartbeat, request_until, run_test_within};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Memory limit in the settings, in bytes.
const MEMORY_LIMIT: f64 = 64.0 * 1024.0 * 1024.0;
/// A play is ended at this multiple of the limit, so that a fault does not use up the memory of the host.
const END_OF_PLAY_FACTOR: u64 = 4;
/// Deadline of the calls to the faulty service.
const DEADLINE: Duration = Duration::from_millis(2500);
/// Time after the deadline within which a call has to be answered (rule CONFIG).
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// Time within which the healthy service has to be answered.
const HEALTHY_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after the last answer within which the connections to the faulty endpoint have to be closed.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Callers of each route.
const CALLERS: usize = 4;
/// Timeout of a test.
const TEST_TIMEOUT: Duration = Duration::from_secs(120);

/// Routes to the faulty service, by the first part of the path; `stream` answers with events.
const ROUTES: [&str; 5] = ["once", "often", "stream", "resume", "kept"];

fn is_stream(route: &str) -> bool {
    !matches!(route, "once" | "often" | "healthy")
}

fn route(name: &str, service: &str) -> String {
    let route_type = match name {
        "once" => "non_idempotent",
        "often" | "healthy" => "idempotent",
        _ => "streaming",
    };
    let more = match name {
        "resume" => r#","resumable":true,"gap_aim_ms":400"#,
        "kept" => {
            r#","resumable":false,"retained":true,"retention_s":60.0,"session_affinity":true,"gap_aim_ms":400"#
        }
        _ => "",
    };
    format!(
        r#"{{"name":"{name}","host":"a.example","path_prefix":"/{name}/","route_type":"{route_type}","timeout_ms":2500,"target_latency_ms":250,"priority":0,"service":"{service}","max_attempts":2{more}}}"#
    )
}

/// Routes with two attempts have a correct endpoint beside the faulty one.
fn configuration() -> String {
    let routes = [
        route("once", "faulty"),
        route("often", "mixed"),
        route("stream", "faulty"),
        route("resume", "mixed"),
        route("kept", "faulty"),
        route("healthy", "healthy"),
    ];
    let service = |name: &str| {
        format!(
            r#"{{"name":"{name}","health_check":"/healthz","max_connections":40,"protocol":"h1","tls":false}}"#
        )
    };
    let services = [service("faulty"), service("mixed"), service("healthy")];
    format!(
        r#"{{"revision":1,"routes":[{}],"services":[{}],"limits":{LIMITS}}}"#,
        routes.join(","),
        services.join(",")
    )
}

type Sender = SendRequest<Full<Bytes>>;

/// Opens a connection to a relay.
async fn connect(front: SocketAddrV4) -> Option<Sender> {
    let stream = TcpStream::connect(front).await.ok()?;
    let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::task::spawn_local(connection);
    Some(sender)
}

/// What a call has brought.
#[derive(Debug)]
struct Received {
    status: Option<u16>,
    body_bytes: usize,
    /// The last bytes of the body, as many as a correct one has.
    tail: Vec<u8>,
    is_complete: bool,
    took: Duration,
}

/// A tier in real processes with a faulty endpoint.
struct Scenario {
    faulty: EndlessEndpoint,
    front: SocketAddrV4,
    processes: RefCell<Vec<RoleProcess>>,
    _machines: Vec<RoleMachine>,
    last_id: Cell<u32>,
    healthy: Cell<u32>,
    /// Connection of the client of the healthy service.
    healthy_connection: RefCell<Option<Sender>>,
    faults: RefCell<Vec<String>>,
}

impl Scenario {
    async fn start(name: &str) -> Rc<Scenario> {
        let ports = free_ports(1).remove(0);
        let machines = machines(ports, name);
        let processes = machines.iter().map(|machine| machine.start(Stdio::null())).collect();
        let (faulty, correct) = (EndlessEndpoint::start_faulty(), EndlessEndpoint::start_correct());
        let core = |host| SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, host), ports.control);
        request_until(200, core(2), "PUT", "/api/config", &[("if-match", "0")], &configuration()).await;
        let registered = [
            ("i-1", "faulty", faulty.address),
            ("i-2", "mixed", faulty.address),
            ("i-3", "mixed", correct.address),
            ("i-4", "healthy", correct.address),
        ];
        for (id, service, address) in registered {
            let body = heartbeat(service, address, "ready", 1).replace(r#""capacity":4"#, r#""capacity":40"#);
            request_until(200, core(3), "PUT", &format!("/api/instances/{id}"), &[], &body).await;
        }
        let scenario = Rc::new(Scenario {
            faulty,
            front: SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, 1), ports.front),
            processes: RefCell::new(processes),
            _machines: machines,
            last_id: Cell::default(),
            healthy: Cell::default(),
            healthy_connection: RefCell::default(),
            faults: RefCell::default(),
        });
        for route in ROUTES {
            while scenario.call(route, &[], true).await.status != Some(200) {}
        }
        scenario.check_healthy().await;
        scenario
    }

    /// Metrics of the relay.
    fn metrics(&self) -> String {
        self.processes.borrow()[0].metrics()
    }

    /// Resident memory of the relay, as the system counts it.
    fn resident_bytes(&self) -> u64 {
        let id = self.processes.borrow()[0].child.id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        onyxstile_system::process::ResidentMemory::parse(&status).map_or(0, |memory| memory.current)
    }

    fn fault(&self, text: String) {
        self.faults.borrow_mut().push(text);
    }

    /// Sends a call on a connection of its own and discards the body of its answer. A client that does not read leaves the body
    /// where it is.
    async fn call(&self, route: &str, headers: &[(&str, &str)], reads: bool) -> Received {
        let mut connection = None;
        self.call_on(&mut connection, route, headers, reads).await
    }

    /// Sends a call on a connection, which is opened first if it is closed.
    async fn call_on(
        &self, connection: &mut Option<Sender>, route: &str, headers: &[(&str, &str)], reads: bool,
    ) -> Received {
        self.last_id.set(self.last_id.get() + 1);
        let id = format!("r{}", self.last_id.get());
        let request = Request::builder()
            .method("POST")
            .uri(format!("/{route}/x"))
            .header("host", "a.example")
            .header("request-id", id)
            .header("deadline-ms", DEADLINE.as_millis().to_string());
        let request = headers.iter().fold(request, |request, (name, value)| request.header(*name, *value));
        let request = request.body(Full::new(Bytes::from_static(b"body"))).expect("a request");
        let began = Instant::now();
        let mut received = Received {
            status: None,
            body_bytes: 0,
            tail: Vec::new(),
            is_complete: false,
            took: Duration::ZERO,
        };
        let answering = async {
            let is_usable = match connection {
                Some(sender) => sender.ready().await.is_ok(),
                None => false,
            };
            if !is_usable {
                *connection = connect(self.front).await;
            }
            let sender = connection.as_mut()?;
            let response = sender.send_request(request).await.ok()?;
            received.status = Some(response.status().as_u16());
            let mut body = response.into_body();
            if !reads {
                std::future::pending::<()>().await;
            }
            while let Some(frame) = body.frame().await {
                let data = frame.ok()?.into_data().unwrap_or_default();
                received.body_bytes += data.len();
                received.tail.extend_from_slice(&data);
                let surplus = received.tail.len().saturating_sub(CORRECT_BODY.len());
                received.tail.drain(..surplus);
            }
            received.is_complete = true;
            Some(())
        };
        // Without an end in time, what has come so far is the result.
        tokio::time::timeout(DEADLINE + ANSWER_SLACK, answering).await.ok();
        received.took = began.elapsed();
        received
    }

    /// Asks the healthy service once.
    async fn check_healthy(&self) {
        let mut connection = self.healthy_connection.take();
        let received = self.call_on(&mut connection, "healthy", &[], true).await;
        *self.healthy_connection.borrow_mut() = connection;
        self.healthy.set(self.healthy.get() + 1);
        let is_good = received.status == Some(200)
            && received.is_complete
            && received.body_bytes == CORRECT_BODY.len()
            && received.took < HEALTHY_TIMEOUT;
        if !is_good {
            self.fault(format!("the healthy service: {received:?}"));
        }
    }

    /// Calls a route once and checks what comes.
    async fn call_faulty(&self, route: &str, form: Form, status: &str, reads: bool) {
        let headers = [(FORM_HEADER, form.name()), (STATUS_HEADER, status.to_owned())];
        let headers = headers.each_ref().map(|(name, value)| (*name, value.as_str()));
        let received = self.call(route, &headers, reads).await;
        if !reads {
            return;
        }
        let is_in_time = received.took < DEADLINE + ANSWER_SLACK;
        let is_true = match received.status {
            // A stream that was cut off after whole events, and resumed at the correct endpoint.
            Some(200) if received.is_complete && route == "resume" && form.has_events() => {
                received.tail == CORRECT_BODY.as_bytes()
            }
            // A complete answer is that of the correct endpoint, or one that is complete before the bytes that follow it.
            Some(200) if received.is_complete => {
                received.body_bytes == CORRECT_BODY.len() && received.tail == CORRECT_BODY.as_bytes()
            }
            // A stream may break off after whole events, and the client can tell.
            Some(200) => is_stream(route),
            Some(500) => form.is_complete() && received.is_complete,
            Some(502..=504) => received.is_complete,
            _ => false,
        };
        if !(is_in_time && is_true) {
            self.fault(format!("{route} behind {status}: {received:?}"));
        }
    }

    /// Plays a form behind a status on all routes.
    async fn play(self: &Rc<Scenario>, form: Form, status: &'static str) {
        let mut calls = JoinSet::new();
        for caller in 0..ROUTES.len() * CALLERS {
            let scenario = self.clone();
            let route = ROUTES[caller % ROUTES.len()];
            // One caller of each kind of stream does not read what it gets.
            let reads = !(is_stream(route) && caller / ROUTES.len() == 0);
            calls.spawn_local(async move { scenario.call_faulty(route, form, status, reads).await });
        }
        let ended = async { while calls.join_next().await.is_some() {} };
        let watched = async {
            loop {
                self.check_healthy().await;
                let resident = self.resident_bytes();
                if resident > END_OF_PLAY_FACTOR * MEMORY_LIMIT as u64 {
                    return self.fault(format!("{} MB in use behind {status}", resident >> 20));
                }
                tokio::task::yield_now().await;
            }
        };
        tokio::select! {
            () = ended => {}
            () = watched => return,
        }
        self.check_closed(status).await;
        self.check_healthy().await;
    }

    /// Checks that the relay has closed its connections to endpoints that send on.
    async fn check_closed(&self, status: &str) {
        let began = Instant::now();
        while self.faulty.open() > 0 && began.elapsed() < CLOSE_TIMEOUT {
            tokio::task::yield_now().await;
        }
        if self.faulty.open() > 0 {
            self.fault(format!("{} connections are still open behind {status}", self.faulty.open()));
        }
    }

    /// Checks the memory of the relay and that it ends in order.
    fn finish(&self, form: Form) {
        let text = self.metrics();
        let peak = metric_value(&text, "onyxstile_resident_peak_bytes").unwrap_or(f64::INFINITY);
        println!(
            "{form:?}: peak {:.0} MB, {} answers without end, {} requests to the healthy service",
            peak / 1e6,
            self.faulty.begun(),
            self.healthy.get()
        );
        if peak >= MEMORY_LIMIT {
            self.fault(format!("peak of {peak} bytes"));
        }
        if self.faulty.begun() == 0 {
            self.fault("no answer without end".into());
        }
        let faults = self.faults.take();
        assert!(faults.is_empty(), "{form:?}: {} faults\n{}", faults.len(), faults.join("\n"));
        self.processes.borrow_mut()[0].ends_in_order();
    }
}

/// The relay with its agent first.
fn machines(ports: Ports, name: &str) -> Vec<RoleMachine> {
    let [proxy, agent, (core, core_class, _), (storage, storage_class, _)] = ROLES;
    let others = (2..=4).map(|host| (core, core_class, host));
    let others = others.chain((5..=7).map(|host| (storage, storage_class, host)));
    [proxy, agent].into_iter().chain(others).map(|role| RoleMachine::new(ports, role, name)).collect()
}

fn run_form(form: Form) {
    run_test_within(TEST_TIMEOUT, async {
        let scenario = Scenario::start(&format!("endless-{form:?}")).await;
        for status in ["200", "500"] {
            scenario.play(form, status).await;
        }
        scenario.finish(form);
    });
}

/// Guards against FAULT: see above.
#[test]
fn one_endless_header_line_does_not_harm_a_relay() {
    run_form(Form::HeaderLine);
}

/// Guards against FAULT: see above.
#[test]
fn endless_header_lines_do_not_harm_a_relay() {
    run_form(Form::HeaderLines);
}

/// Guards against FAULT: see above.
#[test]
fn endless_informational_heads_do_not_harm_a_relay() {
    run_form(Form::InformationalHeads);
}

/// Guards against FAULT: see above.
#[test]
fn endless_junk_for_the_size_of_a_chunk_does_not_harm_a_relay() {
    run_form(Form::JunkForChunkSize);
}

/// Guards against FAULT: see above.
#[test]
fn an_endless_extension_of_a_chunk_does_not_harm_a_relay() {
    run_form(Form::ChunkExtension);
}

/// Guards against FAULT: see above.
#[test]
fn one_endless_chunk_does_not_harm_a_relay() {
    run_form(Form::OneChunk);
}

/// Guards against FAULT: see above.
#[test]
fn endless_chunks_of_one_byte_do_not_harm_a_relay() {
    run_form(Form::OneByteChunks);
}

/// Guards against FAULT: see above.
#[test]
fn endless_trailers_do_not_harm_a_relay() {
    run_form(Form::Trailers);
}

/// Guards against FAULT: see above.
#[test]
fn a_huge_told_length_does_not_harm_a_relay() {
    run_form(Form::HugeLength);
}

/// Guards against FAULT: see above.
#[test]
fn an_endless_body_without_a_length_does_not_harm_a_relay() {
    run_form(Form::NoLength);
}

/// Guards against FAULT: see above.
#[test]
fn endless_pieces_that_complete_no_event_do_not_harm_a_relay() {
    run_form(Form::IncompleteEvent);
}

/// Guards against FAULT: see above.
#[test]
fn endless_whole_events_do_not_harm_a_relay() {
    run_form(Form::WholeEvents);
}

/// Guards against FAULT: see above.
#[test]
fn endless_events_without_a_length_do_not_harm_a_relay() {
    run_form(Form::UnframedEvents);
}

/// Guards against FAULT: see above.
#[test]
fn endless_empty_events_do_not_harm_a_relay() {
    run_form(Form::EmptyEvents);
}

/// Guards against FAULT: see above.
#[test]
fn endless_bytes_behind_an_answer_do_not_harm_a_relay() {
    run_form(Form::UnrequestedBytes);
}
