//! The whole tier in real processes under traffic, planned stops, restarts, configuration changes, endpoints whose answers never
//! end, and disks that stall, are slow or refuse, in overlapping series and in real time.
//!
//! The seed determines the random choices of a run. `SOAK=50 SEED=1` runs 50 seeds from 1 on (`make soak`), `SOAK_S` sets the
//! seconds of traffic per seed and `SOAK_LANES` the number of parallel runs; the defaults give a short form. A tier has three edge
//! machines in one zone, three core and three storage machines: twelve processes. The logs of a run that shows a fault are kept.

#![allow(missing_docs)]

#[path = "../support/mod.rs"]
mod support;

mod clients;
mod connection;
mod endless;
mod endpoints;
mod faults;
mod ledger;
mod machine;
mod operator;
mod process;
mod programs;

use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use clients::Clients;
use endless::Endless;
use endpoints::Endpoints;
use machine::{Drains, Machine};
use operator::Operator;
use programs::Programs;
use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;
use support::env_number;
use support::tier::{Ports, free_ports};
use tokio::task::{JoinSet, LocalSet};

/// Number of parallel runs.
const PARALLEL_RUNS: u64 = 8;
/// Number of seeds of the short form.
const DEFAULT_SEEDS: u64 = 16;
/// Duration of traffic and faults in one run of the short form, in seconds.
const TRAFFIC_S: u64 = 8;
/// Time after the end of traffic within which a run has to finish.
const RUN_TIMEOUT: Duration = Duration::from_secs(90);
/// Number of concurrent clients of a run.
const CLIENTS: usize = 12;
/// Number of concurrent programs of a run.
const PROGRAMS: usize = 3;
/// Last octets of the addresses of the edge machines.
const EDGES: std::ops::RangeInclusive<u8> = 10..=12;
/// One run in this many ends its traffic with a simultaneous kill of all processes.
const KILL_ALL_EVERY: u64 = 3;

/// State shared by all tasks of a run.
pub struct Run {
    pub folder: PathBuf,
    pub ports: Ports,
    pub began: Instant,
    /// Whether traffic and fault injection have ended.
    pub is_traffic_over: Cell<bool>,
    /// Whether processes that exit are no longer restarted.
    pub is_shutting_down: Cell<bool>,
    pub edges: Vec<Rc<Machine>>,
    pub others: Vec<Rc<Machine>>,
    pub faults: RefCell<Vec<String>>,
    /// Number of faults of disks.
    pub disk_faults: Cell<u32>,
    rng: RefCell<Pcg64Mcg>,
}

impl Run {
    /// Address for clients of an edge machine.
    pub fn front(&self, edge: usize) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, self.edges[edge].host), self.ports.front)
    }

    /// A random number below `bound`.
    pub fn random_below(&self, bound: u64) -> u64 {
        u64::from(self.rng.borrow_mut().next_u32()) % bound
    }

    /// Sleeps in real time, because the processes are real. No other test does so.
    pub async fn sleep(&self, time: Duration) {
        tokio::time::sleep(time).await;
    }

    /// Sleeps for a random time of up to `max_ms`.
    pub async fn random_pause(&self, max_ms: u64) {
        self.sleep(Duration::from_millis(self.random_below(max_ms + 1))).await;
    }

    /// Records a violation of a rule.
    pub fn record_fault(&self, text: String) {
        self.faults.borrow_mut().push(text);
    }
}

fn prepare(seed: u64, ports: Ports) -> Rc<Run> {
    let folder = std::env::temp_dir().join(format!("onyxstile-soak-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("folder created");
    let machine = |class: &'static str, host: u8| Rc::new(Machine::new(&ports, &folder, class, host));
    let others =
        (2..=4).map(|host| machine("core", host)).chain((5..=7).map(|host| machine("storage", host)));
    Rc::new(Run {
        is_traffic_over: Cell::new(false),
        is_shutting_down: Cell::new(false),
        edges: EDGES.map(|host| machine("edge", host)).collect(),
        others: others.collect(),
        faults: RefCell::default(),
        disk_faults: Cell::new(0),
        rng: RefCell::new(Pcg64Mcg::new(u128::from(seed) << 1 | 1)),
        folder,
        ports,
        began: Instant::now(),
    })
}

async fn run_tier(run: Rc<Run>, seed: u64, traffic_time: Duration) -> String {
    let mut supervisors = JoinSet::new();
    for machine in run.edges.iter().chain(&run.others) {
        for process in &machine.processes {
            supervisors.spawn_local(process.clone().supervise(run.clone()));
        }
    }
    let endpoints = Endpoints::start(&run).await;
    let (clients, programs) = (Clients::new(), Programs::new(endpoints.clone()));
    let endless = Endless::start();
    let operator = Rc::new(Operator::start(&run, endpoints.clone(), &endless).await);
    let mut workloads = JoinSet::new();
    (0..CLIENTS).for_each(|_| drop(workloads.spawn_local(clients.clone().client(run.clone()))));
    (0..PROGRAMS).for_each(|_| drop(workloads.spawn_local(programs.clone().run(run.clone()))));
    workloads.spawn_local(operator.clone().change_until_over(run.clone()));
    workloads.spawn_local(endless.clone().call_until_over(run.clone()));
    workloads.spawn_local(faults::inject_faults(run.clone()));
    run.sleep(traffic_time).await;
    run.is_traffic_over.set(true);
    faults::heal_disks(&run);
    if seed.is_multiple_of(KILL_ALL_EVERY) {
        faults::kill_all(&run);
    }
    while workloads.join_next().await.is_some() {}
    operator.read_back(&run).await;
    programs.clone().read_back(run.clone()).await;
    run.is_shutting_down.set(true);
    run.edges.iter().for_each(|machine| machine.terminate());
    run.others.iter().for_each(|machine| machine.terminate());
    while supervisors.join_next().await.is_some() {}
    clients.ledger.check(&run, &endpoints);
    let processes = run.edges.iter().chain(&run.others).flat_map(|machine| &machine.processes);
    let peak_mb = processes.map(|process| process.peak_mb.get()).max().unwrap_or(0);
    format!(
        "{}, {} faults of disks, peak memory {peak_mb} MB, {}, {}, {}, {}",
        check_stops(&run),
        run.disk_faults.get(),
        clients.ledger.summary(),
        endless.summary(),
        programs.summary(),
        operator.summary()
    )
}

/// Checks that each listener whose close began has closed, unless its process was killed meanwhile. Returns a summary of the
/// stops of proxies.
fn check_stops(run: &Run) -> String {
    let mut stops = 0;
    let mut total = Drains { begun: 0, closed: 0, late: 0 };
    for edge in &run.edges {
        let drains = edge.drains();
        if drains.begun > drains.closed + edge.kills().len() {
            let (name, begun, closed) = (&edge.name, drains.begun, drains.closed);
            run.record_fault(format!("{name}: {begun} listeners began to close, {closed} closed"));
        }
        stops += edge.terminations().len();
        total.begun += drains.begun;
        total.closed += drains.closed;
        total.late += drains.late;
    }
    format!(
        "{stops} stops of proxies, {} of {} listeners closed, {} requests after it",
        total.closed, total.begun, total.late
    )
}

/// Runs one seed and returns its summary and the faults found.
fn run_seed(seed: u64, ports: Ports, traffic_time: Duration) -> (String, Vec<String>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let run = prepare(seed, ports);
    let shared = run.clone();
    let outcome = LocalSet::new().block_on(&runtime, async {
        tokio::time::timeout(traffic_time + RUN_TIMEOUT, run_tier(shared, seed, traffic_time)).await
    });
    run.edges.iter().chain(&run.others).for_each(|machine| machine.kill());
    let mut faults = run.faults.take();
    let summary = outcome.unwrap_or_else(|_| {
        faults.push("the run timed out".into());
        String::new()
    });
    if faults.is_empty() {
        std::fs::remove_dir_all(&run.folder).ok();
    }
    (summary, faults)
}

#[test]
fn no_request_is_lost_during_overlapping_stops_restarts_and_changes() {
    let (count, first) = (env_number("SOAK", DEFAULT_SEEDS), env_number("SEED", 1));
    let (parallel, traffic_time) =
        (env_number("SOAK_LANES", PARALLEL_RUNS), Duration::from_secs(env_number("SOAK_S", TRAFFIC_S)));
    let seeds = Mutex::new(first..first + count);
    let failed = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for ports in free_ports(parallel as u16) {
            let (seeds, failed) = (&seeds, &failed);
            scope.spawn(move || {
                loop {
                    let Some(seed) = seeds.lock().expect("no panic").next() else { return };
                    let began = Instant::now();
                    let (summary, faults) = run_seed(seed, ports, traffic_time);
                    println!(
                        "seed {seed}: {summary}, {:.1} s, {} faults",
                        began.elapsed().as_secs_f64(),
                        faults.len()
                    );
                    let reported = faults.iter().take(10).map(|fault| format!("seed {seed}: {fault}"));
                    failed.lock().expect("no panic").extend(reported);
                }
            });
        }
    });
    let failed = failed.into_inner().expect("no panic");
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}
