//! Request handling: deadlines, disconnected clients, split routes, a proxy without a configuration, and endpoints with another
//! version of the weights.

mod support;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::{Duration, Instant};

use support::listener::{field, listen, read_head};
use support::tier::{Answer, LIMITS, Tier, run_test, send_request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// How an endpoint handles requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Behaviour {
    /// Responds with 200.
    Answers,
    /// Responds with 200, or with 421 to requests that require a version of the weights.
    HasOtherVersion,
    /// Responds that it did not execute the request.
    Refuses,
    /// Does not respond; waits until the caller disconnects.
    Silent,
}

/// Simulated endpoint that records its requests.
struct Endpoint {
    name: &'static str,
    behaviour: Behaviour,
    /// Heads of all requests since the last reset.
    heads: RefCell<Vec<String>>,
    /// Number of received requests.
    request_count: Cell<usize>,
    /// Number of requests whose caller disconnected before a response.
    disconnected: Cell<usize>,
    changed: Notify,
}

impl Endpoint {
    fn new(name: &'static str, behaviour: Behaviour) -> Rc<Endpoint> {
        Rc::new(Endpoint {
            name,
            behaviour,
            heads: RefCell::default(),
            request_count: Cell::new(0),
            disconnected: Cell::new(0),
            changed: Notify::new(),
        })
    }

    async fn listen(self: &Rc<Endpoint>) -> SocketAddrV4 {
        let endpoint = self.clone();
        listen(move |stream| endpoint.clone().serve(stream)).await
    }

    async fn serve(self: Rc<Endpoint>, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Some(head) = read_head(&mut stream, &mut buffer).await {
            let id = field(&head, "request-id").unwrap_or_default();
            let expects_version = field(&head, "expect-version").is_some();
            self.heads.borrow_mut().push(head);
            self.request_count.set(self.request_count.get() + 1);
            self.changed.notify_one();
            let refused = |status: &str| {
                format!(
                    "HTTP/1.1 {status}\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                )
            };
            let answer = match self.behaviour {
                Behaviour::Silent => {
                    // The caller sends nothing more, so this read ends when it disconnects.
                    stream.read_buf(&mut buffer).await.ok();
                    self.disconnected.set(self.disconnected.get() + 1);
                    self.changed.notify_one();
                    return;
                }
                Behaviour::Refuses => refused("503 Full"),
                Behaviour::HasOtherVersion if expects_version => refused("421 Other version"),
                Behaviour::Answers | Behaviour::HasOtherVersion => format!(
                    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: {}\r\nContent-Length: 2\r\n\r\nok",
                    self.name
                ),
            };
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// Deadline of each request, in ms.
    fn deadlines(&self) -> Vec<u64> {
        let heads = self.heads.borrow();
        heads
            .iter()
            .map(|head| field(head, "deadline-ms").expect("a deadline").parse().expect("a number"))
            .collect()
    }

    fn count(&self) -> usize {
        self.heads.borrow().len()
    }

    /// Waits until `count` requests have been received and `disconnected` of the callers have disconnected.
    async fn wait_until_reached(&self, count: usize, disconnected: usize) {
        while self.count() < count || self.disconnected.get() < disconnected {
            self.changed.notified().await;
        }
    }
}

/// Routes: `plain` and `short` (timeout 300 ms) to `api`, `split` to `api` and `other`.
fn configuration() -> String {
    let route = |name: &str, timeout_ms: u64, target: &str| {
        format!(
            r#"{{"name":"{name}","host":"a.example","path_prefix":"/{name}/","route_type":"idempotent","timeout_ms":{timeout_ms},"target_latency_ms":200,"priority":0,{target},"max_attempts":3}}"#
        )
    };
    let service = |name: &str| {
        format!(
            r#"{{"name":"{name}","health_check":"/healthz","max_connections":20,"protocol":"h1","tls":false}}"#
        )
    };
    let split = r#""traffic_split":[{"service":"api","weight":70},{"service":"other","weight":30}]"#;
    format!(
        r#"{{"revision":1,"routes":[{},{},{}],"services":[{},{}],"limits":{LIMITS}}}"#,
        route("plain", 3000, r#""service":"api""#),
        route("short", 300, r#""service":"api""#),
        route("split", 3000, split),
        service("api"),
        service("other"),
    )
}

/// Starts a tier with these endpoints of `api`.
async fn tier(name: &str, endpoints: &[Rc<Endpoint>]) -> Tier {
    let mut listed = Vec::new();
    for endpoint in endpoints {
        listed.push((endpoint.name, "api", endpoint.listen().await));
    }
    let tier = Tier::start(name, &configuration(), &listed).await;
    // The proxy receives endpoints shortly after it is ready.
    while endpoints.iter().all(|endpoint| endpoint.count() == 0) {
        let headers = [("request-id", "first"), ("deadline-ms", "100")];
        send_request(tier.front(), "GET", "/plain/x", &headers, "").await;
    }
    endpoints.iter().for_each(|endpoint| endpoint.heads.borrow_mut().clear());
    tier
}

async fn get(tier: &Tier, path: &str, id: &str, more: &[(&str, &str)]) -> Answer {
    let mut headers = vec![("request-id", id)];
    headers.extend(more);
    send_request(tier.front(), "GET", path, &headers, "").await.expect("an answer")
}

/// BUDGET: the deadline that an endpoint receives never exceeds the remaining time, in first sends and resends.
#[test]
fn forwarded_deadline_never_exceeds_the_clients_remaining_time() {
    run_test(async {
        let endpoints = [Endpoint::new("i-1", Behaviour::Refuses), Endpoint::new("i-2", Behaviour::Refuses)];
        let tier = tier("deadline", &endpoints).await;
        for round in 0..2 {
            let before: usize = endpoints.iter().map(|endpoint| endpoint.count()).sum();
            let began = Instant::now();
            get(&tier, "/plain/x", &format!("r{round}"), &[("deadline-ms", "1500")]).await;
            let took = began.elapsed().as_millis() as u64;
            let mut given: Vec<u64> =
                endpoints.iter().flat_map(|endpoint| endpoint.deadlines()).skip(before).collect();
            given.sort_unstable();
            assert!(given.iter().all(|deadline| (1..=1500).contains(deadline)), "{given:?}");
            assert!(given.first().is_none_or(|least| *least + took + 100 >= 1400), "{given:?} in {took} ms");
            endpoints.iter().for_each(|endpoint| endpoint.heads.borrow_mut().clear());
        }
    });
}

#[test]
fn request_without_a_deadline_is_forwarded_with_one() {
    run_test(async {
        let endpoint = Endpoint::new("i-1", Behaviour::Answers);
        let tier = tier("no-deadline", std::slice::from_ref(&endpoint)).await;
        assert_eq!(get(&tier, "/plain/x", "r1", &[]).await.status, 200);
        assert!(endpoint.deadlines().iter().all(|deadline| *deadline > 0));
    });
}

/// GONE: an endpoint does not continue to work for a client that has disconnected.
#[test]
fn client_disconnect_cancels_the_work_at_the_endpoint() {
    run_test(async {
        let endpoint = Endpoint::new("i-1", Behaviour::Silent);
        let tier = tier("gone", std::slice::from_ref(&endpoint)).await;
        // Waits for the end of the requests that set up the tier.
        let before = endpoint.request_count.get();
        endpoint.wait_until_reached(0, before).await;
        let mut client = TcpStream::connect(tier.front()).await.expect("a connection");
        let request =
            "GET /plain/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\nDeadline-Ms: 30000\r\n\r\n";
        client.write_all(request.as_bytes()).await.expect("sent");
        endpoint.wait_until_reached(1, before).await;
        let began = Instant::now();
        drop(client);
        endpoint.wait_until_reached(1, before + 1).await;
        assert!(
            began.elapsed() < Duration::from_millis(1500),
            "the route timeout is 3 s; took {:?}",
            began.elapsed()
        );
    });
}

/// CONFIG: no response comes much later than the route's timeout, however long the client's deadline is.
#[test]
fn silent_endpoint_is_answered_with_an_error_at_the_route_timeout() {
    run_test(async {
        let endpoint = Endpoint::new("i-1", Behaviour::Silent);
        let tier = tier("short", std::slice::from_ref(&endpoint)).await;
        let began = Instant::now();
        let answer = get(&tier, "/short/x", "r1", &[("deadline-ms", "20000")]).await;
        assert!([502, 503, 504].contains(&answer.status.as_u16()), "{}", answer.status);
        assert!(began.elapsed() < Duration::from_millis(2000), "{:?}", began.elapsed());
    });
}

/// Duty: each service of a `traffic_split` gets its share of requests; a session stays with its service.
#[test]
fn services_of_a_split_route_get_their_shares() {
    run_test(async {
        let one = Endpoint::new("i-1", Behaviour::Answers);
        let other = Endpoint::new("i-2", Behaviour::Answers);
        let listed = [("i-1", "api", one.listen().await), ("i-2", "other", other.listen().await)];
        let tier = Tier::start("split", &configuration(), &listed).await;
        while one.count() == 0 || other.count() == 0 {
            get(&tier, "/split/x", "first", &[("deadline-ms", "300")]).await;
        }
        let mut parts: BTreeMap<String, u32> = BTreeMap::new();
        let mut affinity: BTreeMap<String, String> = BTreeMap::new();
        for number in 0..400 {
            let session = format!("s{}", number % 40);
            let is_session = number >= 200;
            let id = format!("r{number}");
            let more: &[(&str, &str)] = if is_session { &[("session", &session)] } else { &[] };
            let answer = get(&tier, "/split/x", &id, more).await;
            let seal = answer.headers["response-seal"].to_str().expect("text").to_owned();
            if is_session {
                assert_eq!(
                    *affinity.entry(session).or_insert_with(|| seal.clone()),
                    seal,
                    "the session moved to another service"
                );
            } else {
                *parts.entry(seal).or_default() += 1;
            }
        }
        let share = f64::from(parts["i-1"]) / 200.0;
        // Five standard deviations.
        assert!((0.53..=0.87).contains(&share), "{parts:?}");
    });
}

/// DENIED: a proxy without a configuration does not respond that there is no such route.
#[test]
fn proxy_without_a_configuration_sends_retry_after() {
    run_test(async {
        let tier = Tier::start_proxy_alone("alone").await;
        let answer = loop {
            let headers = [("request-id", "r1"), ("deadline-ms", "1000")];
            if let Some(answer) = send_request(tier.front(), "GET", "/plain/x", &headers, "").await {
                break answer;
            }
            tokio::task::yield_now().await;
        };
        assert_eq!(answer.status, 503);
        let wait: f64 = answer.headers["retry-after"].to_str().expect("text").parse().expect("a number");
        assert!(wait > 0.0 && wait < 2.0, "{wait}");
    });
}

/// Guards against treating an endpoint with another version of the weights as gone: it received no further calls.
#[test]
fn endpoint_with_another_weights_version_stays_usable() {
    run_test(async {
        let endpoint = Endpoint::new("i-1", Behaviour::HasOtherVersion);
        let tier = tier("version", std::slice::from_ref(&endpoint)).await;
        for round in 0..3 {
            let wanted = [("deadline-ms", "400"), ("expect-version", "7")];
            let answer = get(&tier, "/plain/x", &format!("v{round}"), &wanted).await;
            assert_eq!(answer.status, 503, "not executed; the client may retry");
            let answer = get(&tier, "/plain/x", &format!("r{round}"), &[("deadline-ms", "2000")]).await;
            assert_eq!(answer.status, 200, "round {round}");
        }
    });
}
