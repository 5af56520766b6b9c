//! Conversations that last longer than the retention time, on a proxy and storage machines whose clock the test moves.

mod support;

use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use onyxstile_system::program::{Record, Turn, TurnLease};
use onyxstile_system::role::rpc::Client;
use onyxstile_system::wire::{Request, Response};
use support::listener::{field, listen, read_head};
use support::standalone_proxy::StandaloneProxy;
use support::tier::{LIMITS, run_test, send_request};
use support::virtual_time::{VirtualTime, run_ready_tasks};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const RETENTION_MS: u64 = 4_000;
/// No turn of this test expires earlier than this after the second one has ended.
const KEPT: Duration = Duration::from_secs(30);
/// Longer than any turn of this test is kept after that, in steps of one second.
const STEPS: u32 = 12;
const STEP: Duration = Duration::from_secs(1);
const RPC_TIMEOUT: Duration = Duration::from_secs(5);
/// Storage epoch of the proxy's plan.
const EPOCH: u64 = 1;

fn configuration() -> String {
    let retention_s = RETENTION_MS / 1000;
    format!(
        r#"{{"revision":1,"routes":[
        {{"name":"chat","host":"a.example","path_prefix":"/chat/","route_type":"streaming","timeout_ms":3000,"target_latency_ms":250,"priority":0,"service":"api","max_attempts":2,"retained":true,"retention_s":{retention_s},"session_affinity":true,"resumable":false,"gap_aim_ms":400}}],
        "services":[{{"name":"api","health_check":"/healthz","max_connections":20,"protocol":"h1","tls":false}}],"limits":{LIMITS}}}"#
    )
}

/// Answers each request with a stream of one event.
async fn serve_streams(mut stream: TcpStream) {
    let mut buffer = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buffer).await {
        let id = field(&head, "request-id").expect("an id");
        let event = "id: 1\ndata: word\n\n";
        let length = event.len();
        let answer = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\nContent-Length: {length}\r\n\r\n{event}"
        );
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

fn wall_clock_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
}

/// A turn that began a conversation `age_ms` ago.
fn first_turn(id: &str, age_ms: u64) -> Rc<Turn> {
    Rc::new(Turn {
        id: id.into(),
        ancestors: Vec::new(),
        input: b"in".to_vec(),
        output: b"out\n".to_vec(),
        retention_ms: RETENTION_MS,
        ended_ms: wall_clock_ms() - age_ms,
    })
}

struct Scenario {
    folder: PathBuf,
    proxy: StandaloneProxy,
    storage_machines: Vec<SocketAddrV4>,
    client: Client,
}

impl Scenario {
    async fn start(name: &str) -> Scenario {
        let folder = std::env::temp_dir().join(format!("onyxstile-{name}-{}", std::process::id()));
        std::fs::remove_dir_all(&folder).ok();
        let endpoint = listen(serve_streams).await;
        let (proxy, storage_machines) =
            StandaloneProxy::start_with_storage(&folder, &configuration(), endpoint).await;
        Scenario { folder, proxy, storage_machines, client: Client::default() }
    }

    async fn store(&self, turn: Rc<Turn>) {
        for machine in &self.storage_machines {
            let write = Request::Write { epoch: EPOCH, records: vec![Record::Turn(turn.clone())] };
            let response = self.client.call(*machine, &write, RPC_TIMEOUT).await;
            assert_eq!(response.expect("a response"), Response::Done);
        }
    }

    async fn send_turn(&self, id: &str, previous: &str) -> u16 {
        let headers = [("request-id", id), ("deadline-ms", "2500"), ("previous", previous)];
        let answer = send_request(self.proxy.front, "POST", "/chat/x", &headers, "more").await;
        answer.expect("an answer").status.as_u16()
    }

    /// For each storage machine, which of the turns it holds.
    async fn held(&self, ids: &[&str]) -> Vec<Vec<bool>> {
        let mut held = Vec::new();
        for machine in &self.storage_machines {
            let ids = ids.iter().map(|id| (*id).to_owned()).collect();
            let request = Request::GetTurns { epoch: EPOCH, ids };
            match self.client.call(*machine, &request, RPC_TIMEOUT).await.expect("a response") {
                Response::Turns { turns, .. } => held.push(turns.iter().map(Option::is_some).collect()),
                other => panic!("unexpected response {other:?}"),
            }
        }
        held
    }
}

impl Drop for Scenario {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.folder).ok();
    }
}

/// Guards against LOST: a conversation lost its beginning while its last turn was still kept (review/1).
#[test]
fn no_turn_is_dropped_before_the_turns_that_continue_it() {
    run_test(async {
        let scenario = Scenario::start("long-conversation").await;
        scenario.store(first_turn("first", RETENTION_MS + 2_000)).await;
        let time = VirtualTime::stop();
        time.advance(Duration::from_millis(3_000)).await;
        let mut turn = pin!(scenario.send_turn("second", "first"));
        let status = loop {
            tokio::select! {
                status = &mut turn => break status,
                // The proxy waits for some ms before it uses a new connection.
                () = time.advance(Duration::from_millis(1)) => {}
            }
        };
        assert_eq!(status, 200);
        // The proxy waits for a quorum; the write to the third machine may still be under way.
        while scenario.held(&["second", "first"]).await != vec![vec![true, true]; 3] {
            run_ready_tasks().await;
        }
        time.advance(KEPT).await;
        for step in 0..STEPS {
            time.advance(STEP).await;
            for held in scenario.held(&["second", "first"]).await {
                assert!(held[1] || !held[0], "step {step}: the chain of a kept turn has lost its beginning");
            }
        }
        assert_eq!(scenario.held(&["second", "first"]).await, vec![vec![false, false]; 3], "not continued");
    });
}

/// Guards against counting a machine as a holder of a turn that it lacks, also before it knows the storage plan.
#[test]
fn a_lease_on_a_missing_turn_is_refused() {
    run_test(async {
        let scenario = Scenario::start("missing-turn").await;
        scenario.store(first_turn("held", 0)).await;
        let lease =
            |turn: &str| TurnLease { turn: turn.into(), until_ms: wall_clock_ms(), duration_ms: 1000 };
        for (turn, expected) in [("held", Response::Done), ("missing", Response::Refused)] {
            let records = vec![Record::TurnLease(lease(turn))];
            let write = Request::Write { epoch: EPOCH, records };
            for machine in &scenario.storage_machines {
                let response = scenario.client.call(*machine, &write, RPC_TIMEOUT).await;
                assert_eq!(response.expect("a response"), expected, "{turn}");
            }
        }
    });
}
