//! Real processes of storage and controllers while a disk does not answer.

mod support;

use std::net::SocketAddrV4;
use std::process::{Command, Stdio};
use std::rc::Rc;
use std::time::Duration;

use onyxstile_system::program::{Record, Turn};
use onyxstile_system::registry::{Instance, Stage};
use onyxstile_system::role::rpc::Client;
use onyxstile_system::wire::{Request, Response};
use support::faulty_disk::{DiskFault, FaultyDisk};
use support::metric_value;
use support::role_process::{ROLES, RoleMachine, RoleProcess};
use support::tier::{LIMITS, Ports, free_ports, request_until, run_test_within};
use tokio::task::{JoinHandle, JoinSet, yield_now};

/// Memory limit in the settings, in bytes.
const MEMORY_LIMIT: f64 = 64.0 * 1024.0 * 1024.0;
/// Size of a turn, in bytes.
const TURN_BYTES: usize = 128 * 1024;
/// Number of turns whose bytes are twice the memory limit.
const TURNS: usize = 1024;
/// Number of turns that the writer may have taken when the disk stops answering: the first, and then a batch.
const TURNS_WITH_WRITER: usize = 9;
/// Timeout of a call; the calls that a test waits for are answered much earlier.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout of a test, which takes a few seconds.
const TEST_TIMEOUT: Duration = Duration::from_secs(120);
/// Turns per request for them.
const TURNS_PER_REQUEST: usize = 32;

const CONTROLLER: (&str, &str, u8) = ROLES[2];
const STORAGE: (&str, &str, u8) = ROLES[3];

/// A storage machine on a faulty disk.
struct StorageMachine {
    machine: RoleMachine,
    disk: FaultyDisk,
    client: Client,
}

impl StorageMachine {
    fn new(ports: Ports, test: &str) -> Rc<StorageMachine> {
        let machine = RoleMachine::new(ports, STORAGE, test);
        let disk = FaultyDisk::new(machine.folder.join("disk"));
        Rc::new(StorageMachine { machine, disk, client: Client::default() })
    }

    fn peers(&self) -> SocketAddrV4 {
        self.machine.address(self.machine.ports.peers())
    }

    /// Starts the process and waits until it serves.
    fn start(&self) -> RoleProcess {
        let mut process = start_on(&self.machine, &self.disk);
        process.wait_for_listener(self.peers());
        process
    }

    async fn call(&self, request: &Request) -> Option<Response> {
        self.client.call(self.peers(), request, CALL_TIMEOUT).await.ok()
    }

    async fn write(&self, number: usize) -> Option<Response> {
        self.call(&Request::Write { epoch: 0, records: vec![Record::Turn(Rc::new(turn(number)))] }).await
    }

    /// Stops the disk and writes a turn; returns once the call to the disk has lasted for `seconds`.
    async fn write_during_stall(
        self: &Rc<StorageMachine>, process: &RoleProcess, number: usize, seconds: f64,
    ) -> JoinHandle<Option<Response>> {
        self.disk.fail(DiskFault::Stall);
        let storage = self.clone();
        let write = tokio::task::spawn_local(async move { storage.write(number).await });
        while metric(process, "onyxstile_disk_call_seconds") < seconds {
            yield_now().await;
        }
        write
    }

    /// Numbers of the turns below `count` that the machine holds.
    async fn held_turns(&self, count: usize) -> Vec<usize> {
        // The connection of the other client may lead to an earlier process.
        let client = Client::default();
        let numbers: Vec<usize> = (0..count).collect();
        let mut held = Vec::new();
        for numbers in numbers.chunks(TURNS_PER_REQUEST) {
            let ids = numbers.iter().map(|number| turn_id(*number)).collect();
            let request = Request::GetTurns { epoch: 0, ids };
            let response = client.call(self.peers(), &request, CALL_TIMEOUT).await;
            let Ok(Response::Turns { turns, .. }) = response else { panic!("no turns: {response:?}") };
            let found = numbers.iter().zip(turns).filter(|(_, turn)| turn.is_some());
            held.extend(found.map(|(number, _)| *number));
        }
        held
    }
}

fn start_on(machine: &RoleMachine, disk: &FaultyDisk) -> RoleProcess {
    let mut command = Command::new(env!("CARGO_BIN_EXE_onyxstile-system"));
    command.args(machine.arguments());
    disk.attach(&mut command);
    machine.spawn(command, Stdio::null())
}

fn turn_id(number: usize) -> String {
    format!("turn-{number}")
}

fn turn(number: usize) -> Turn {
    Turn {
        id: turn_id(number),
        ancestors: Vec::new(),
        input: vec![b'a'; TURN_BYTES],
        output: Vec::new(),
        retention_ms: 600_000,
        ended_ms: 0,
    }
}

/// Value of a metric of a process.
fn metric(process: &RoleProcess, name: &str) -> f64 {
    let text = process.metrics();
    metric_value(&text, name).unwrap_or_else(|| panic!("no {name} in {text}"))
}

fn run_test(test: impl Future<Output = ()>) {
    run_test_within(TEST_TIMEOUT, test);
}

/// Guards against a storage machine that keeps whatever its callers send while its disk does not answer, until its memory is
/// over the limit (rule FAULT). It also must not lose what it acknowledged, nor hold what it refused.
#[test]
fn a_stalled_disk_does_not_fill_the_memory_of_storage() {
    run_test(async {
        let storage = StorageMachine::new(free_ports(1).remove(0), "disk-stall");
        let process = storage.start();
        assert_eq!(storage.write(0).await, Some(Response::Done), "before the stall");
        storage.disk.fail(DiskFault::Stall);
        let mut writes = JoinSet::new();
        for number in 1..TURNS {
            let storage = storage.clone();
            writes.spawn_local(async move { (number, storage.write(number).await) });
        }
        let mut answers = Vec::new();
        while answers.len() < TURNS - 1 - TURNS_WITH_WRITER {
            let (number, answer) = writes.join_next().await.expect("a write").expect("no panic");
            assert_eq!(answer, Some(Response::Refused), "turn {number} during the stall");
            answers.push((number, answer));
        }
        storage.disk.heal();
        while let Some(written) = writes.join_next().await {
            answers.push(written.expect("no panic"));
        }
        let peak = metric(&process, "onyxstile_resident_peak_bytes");
        assert!(peak < MEMORY_LIMIT, "peak of {peak} bytes");
        assert_eq!(storage.write(TURNS).await, Some(Response::Done), "after the stall");
        let is_done = |(number, answer): &(usize, Option<Response>)| {
            (*answer == Some(Response::Done)).then_some(*number)
        };
        let mut acknowledged: Vec<usize> = answers.iter().filter_map(is_done).collect();
        acknowledged.extend([0, TURNS]);
        acknowledged.sort_unstable();
        assert_eq!(storage.held_turns(TURNS + 1).await, acknowledged, "what it holds");
        drop(process);
        let _process = storage.start();
        assert_eq!(storage.held_turns(TURNS + 1).await, acknowledged, "what it holds after a restart");
    });
}

/// Guards against callers that wait for a turn from a machine whose disk does not answer, instead of asking another one.
#[test]
fn a_read_is_inconclusive_at_once_while_the_disk_stalls() {
    run_test(async {
        let storage = StorageMachine::new(free_ports(1).remove(0), "disk-stall-read");
        let mut process = storage.start();
        // Twice as many bytes as the cache takes, so that the first turns are on the disk only.
        for number in 0..32 {
            assert_eq!(storage.write(number).await, Some(Response::Done));
        }
        let write = storage.write_during_stall(&process, 40, 0.5).await;
        let lookup = Request::GetTurns { epoch: 0, ids: vec![turn_id(0)] };
        let expected = Response::Turns { turns: vec![None], is_conclusive: false };
        assert_eq!(storage.call(&lookup).await, Some(expected));
        storage.disk.heal();
        assert_eq!(write.await.expect("no panic"), Some(Response::Done));
        assert_eq!(storage.held_turns(1).await, [0]);
        process.ends_in_order();
    });
}

/// Guards against a storage machine that does not hear SIGTERM while its disk does not answer.
#[test]
fn storage_ends_in_order_while_its_disk_stalls() {
    run_test(async {
        let storage = StorageMachine::new(free_ports(1).remove(0), "disk-stall-end");
        let mut process = storage.start();
        let write = storage.write_during_stall(&process, 0, f64::MIN_POSITIVE).await;
        process.ends_in_order();
        assert_eq!(write.await.expect("no panic"), None);
    });
}

/// A configuration of a megabyte.
fn configuration(revision: u64) -> String {
    let text = format!(r#"{{"revision":{revision},"routes":[],"services":[],"limits":{LIMITS}}}"#);
    text + &" ".repeat(1 << 20)
}

/// Guards against a storage machine that keeps every configuration it is sent while its disk does not take a storage plan.
#[test]
fn configurations_do_not_fill_the_memory_of_storage_while_its_disk_stalls() {
    const CONFIGURATIONS: u64 = 120;
    const NAME: &str = "disk-stall-plan";
    run_test(async {
        let ports = free_ports(1).remove(0);
        let storage = StorageMachine::new(ports, NAME);
        let mut process = storage.start();
        storage.disk.fail(DiskFault::Stall);
        let machine = |(role, class, _), host| RoleMachine::new(ports, (role, class, host), NAME);
        let core: Vec<RoleMachine> = (2..=4).map(|host| machine(CONTROLLER, host)).collect();
        let others: Vec<RoleMachine> = (6..=7).map(|host| machine(STORAGE, host)).collect();
        let _running: Vec<RoleProcess> =
            core.iter().chain(&others).map(|machine| machine.start(Stdio::null())).collect();
        // The plan has come, and the disk does not take its epoch.
        process.wait_for_metric("onyxstile_disk_backlog_requests 1");
        let control = core[0].address(ports.control);
        for revision in 1..=CONFIGURATIONS {
            let base = (revision - 1).to_string();
            let body = configuration(revision);
            request_until(200, control, "PUT", "/api/config", &[("if-match", &base)], &body).await;
        }
        storage.disk.heal();
        process.wait_until("a storage plan", |process| metric(process, "onyxstile_storage_epoch") > 0.0);
        let peak = metric(&process, "onyxstile_resident_peak_bytes");
        assert!(peak < MEMORY_LIMIT, "peak of {peak} bytes");
    });
}

/// Guards against callers that a controller never answers while its disk does not take the drain of an endpoint.
#[test]
fn a_drain_is_refused_in_time_while_the_disk_of_a_controller_stalls() {
    run_test(async {
        let ports = free_ports(1).remove(0);
        let machine = RoleMachine::new(ports, CONTROLLER, "disk-stall-drain");
        let disk = FaultyDisk::new(machine.folder.join("disk"));
        let mut process = start_on(&machine, &disk);
        let peers = machine.address(ports.peers());
        process.wait_for_listener(peers);
        let client = Client::default();
        let leaving = |number: u32| Instance {
            id: format!("i-{number}"),
            service: "api".into(),
            address: ([127, 0, 0, 1], 9),
            zone: "z1".into(),
            capacity: 1,
            stage: Stage::Draining,
            warmup_left_ms: 0,
            sequence: 1,
            is_silent: false,
        };
        let register =
            async |number| client.call(peers, &Request::Register(leaving(number)), CALL_TIMEOUT).await.ok();
        assert_eq!(register(1).await, Some(Response::Done));
        disk.fail(DiskFault::Stall);
        assert_eq!(register(2).await, Some(Response::Refused));
        disk.heal();
        assert_eq!(register(3).await, Some(Response::Done));
    });
}
