//! Callers of endpoints whose answers never end, beside the other clients of a run: whatever such an endpoint sends, its caller
//! is answered in time, nothing false is passed on, and its connection is closed.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::Run;
use crate::connection::{ANSWER_SLACK, Connection};
use crate::support::endless_endpoint::{EndlessEndpoint, FORM_HEADER, FORMS, STATUS_HEADER};

/// Number of faulty endpoints.
const ENDPOINTS: usize = 2;
/// Deadline of the calls, in ms.
const DEADLINE_MS: u64 = 1200;
/// Longest pause between two rounds of calls, in ms.
const PAUSE_MAX_MS: u64 = 1500;
/// Maximum number of calls of a round, which run at once.
const CALLS_MAX: u64 = 4;
/// Time after the last call within which all connections to the endpoints have to be closed.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Interval between two looks at them.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Paths of the routes to the faulty service: non-idempotent, idempotent, streaming.
const PATHS: [&str; 3] = ["/eo/x", "/ei/x", STREAM_PATH];
const STREAM_PATH: &str = "/es/x";

/// The faulty endpoints of a run and their callers.
pub struct Endless {
    pub endpoints: Vec<EndlessEndpoint>,
    calls: Cell<u64>,
}

impl Endless {
    /// Starts the endpoints.
    pub fn start() -> Rc<Endless> {
        let endpoints = (0..ENDPOINTS).map(|_| EndlessEndpoint::start_faulty()).collect();
        Rc::new(Endless { endpoints, calls: Cell::default() })
    }

    /// Calls them until the traffic ends, and checks that their connections are closed afterwards.
    pub async fn call_until_over(self: Rc<Endless>, run: Rc<Run>) {
        while !run.is_traffic_over.get() {
            run.random_pause(PAUSE_MAX_MS).await;
            let mut calls = tokio::task::JoinSet::new();
            for _ in 0..=run.random_below(CALLS_MAX) {
                calls.spawn_local(self.clone().call(run.clone()));
            }
            while calls.join_next().await.is_some() {}
        }
        let ended = Instant::now();
        while self.open() > 0 && ended.elapsed() < CLOSE_TIMEOUT {
            run.sleep(CLOSE_POLL_INTERVAL).await;
        }
        if self.open() > 0 {
            run.record_fault(format!("{} connections to endless endpoints are open", self.open()));
        }
    }

    async fn call(self: Rc<Endless>, run: Rc<Run>) {
        self.calls.set(self.calls.get() + 1);
        let edge = run.random_below(run.edges.len() as u64) as usize;
        let form = FORMS[run.random_below(FORMS.len() as u64) as usize];
        let path = PATHS[run.random_below(PATHS.len() as u64) as usize];
        let status = if run.random_below(2) == 0 { "200" } else { "500" };
        let Ok(mut connection) = Connection::open(run.front(edge), run.random_below(4) == 0).await else {
            return;
        };
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: e{}\r\nDeadline-Ms: {DEADLINE_MS}\r\n{FORM_HEADER}: {}\r\n{STATUS_HEADER}: {status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
            self.calls.get(),
            form.name()
        );
        connection.send(head.as_bytes()).await;
        let ended = connection.read_to_end(Duration::from_millis(DEADLINE_MS) + ANSWER_SLACK).await;
        let fault = match ended.map(|ended| (ended.status, ended.has_end_marker)) {
            None => Some("neither answered nor closed in time".to_owned()),
            // No answer comes from a process that is stopped meanwhile.
            Some((None | Some(502..=504), _)) => None,
            Some((Some(200 | 500), _)) if form.is_complete() => None,
            // A stream that is cut off has no end marker.
            Some((Some(200), false)) if path == STREAM_PATH => None,
            Some((Some(other), _)) => Some(format!("answered {other}")),
        };
        if let Some(fault) = fault {
            let name = &run.edges[edge].name;
            run.record_fault(format!("{form:?} behind {status} on {path} at {name}: {fault}"));
        }
    }

    fn open(&self) -> usize {
        self.endpoints.iter().map(EndlessEndpoint::open).sum()
    }

    /// Counts of calls and answers.
    pub fn summary(&self) -> String {
        let begun: usize = self.endpoints.iter().map(EndlessEndpoint::begun).sum();
        format!("{} calls for {begun} endless answers", self.calls.get())
    }
}
