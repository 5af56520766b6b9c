//! Endpoints that are full refuse calls, and some of them send a share of their answers once more, late. A call that must
//! not run twice is refused and sent again.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::client::{self, new_id};
use crate::endpoint::{Endpoint, Kind, Runs, Work};
use crate::record;
use crate::tier::{Size, Tier};
use crate::wire;
use crate::Verdict;

const ROUTE: &str = r#"{"name":"reports","host":"tier.example","path_prefix":"/reports/","route_type":"non_idempotent","timeout_ms":3000,"target_latency_ms":500,"priority":2,"service":"api","max_attempts":1,"retained":false,"session_affinity":false,"resumable":false}"#;
const SERVICE: &str =
    r#"{"name":"api","health_check":"/healthz","max_connections":96,"protocol":"h1","tls":false}"#;
const ENDPOINTS: usize = 5;
/// Share of the endpoints in trouble, and of their answers that are sent once more, as in the site file.
const TROUBLED: usize = 3;
const SURPLUS: f64 = 0.03;
/// Length of one trouble in the site file, and the pause before the next one.
const TROUBLE: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_secs(1);
/// Time for which calls are sent.
const TRAFFIC: Duration = Duration::from_secs(96);
/// Clients at each relay: the shares are not even.
const CLIENTS: [usize; 6] = [5, 5, 5, 5, 5, 60];

/// The status of each call; 0 if there was no answer.
type Answers = Arc<Mutex<BTreeMap<String, u16>>>;

pub fn run(has_trouble: bool) -> Result<Verdict, String> {
    let tier = Tier::start(&Size { edge: CLIENTS.len() as u8, core: 3, storage: 3, spare: 0 })?;
    client::configure(&tier, ROUTE, SERVICE)?;
    let runs = Runs::default();
    let mut endpoints = Vec::new();
    for number in 0..ENDPOINTS {
        let kind = Kind {
            service: "api",
            id: format!("i-{number}"),
            zone: format!("z{}", number % 3),
            capacity: 6,
            queue: 4,
            work: Work::Plain(Duration::from_millis(104)),
            surplus: SURPLUS,
        };
        let seed = u64::from(std::process::id()) * 16 + number as u64;
        let endpoint =
            Endpoint::start(kind, &runs, &tier.control(), seed).map_err(|error| error.to_string())?;
        endpoints.push(endpoint);
    }
    tier.wait_until_ready(Duration::from_secs(8))?;
    std::thread::sleep(Duration::from_secs(1));
    let (answers, is_over) = (Answers::default(), Arc::new(AtomicBool::new(false)));
    let mut clients = Vec::new();
    for (relay, count) in CLIENTS.into_iter().enumerate() {
        for _ in 0..count {
            let (front, answers, is_over) = (tier.fronts()[relay], answers.clone(), is_over.clone());
            clients.push(std::thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    call(front, &answers);
                }
            }));
        }
    }
    let end = Instant::now() + TRAFFIC;
    while Instant::now() < end {
        endpoints.iter().take(TROUBLED).for_each(|endpoint| endpoint.set_trouble(has_trouble));
        std::thread::sleep(TROUBLE);
        endpoints.iter().for_each(|endpoint| endpoint.set_trouble(false));
        std::thread::sleep(PAUSE);
    }
    is_over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    std::thread::sleep(Duration::from_secs(1));

    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for run in runs.lock().unwrap_or_else(PoisonError::into_inner).iter() {
        *counts.entry(run.request.clone()).or_default() += 1;
    }
    let answers = answers.lock().unwrap_or_else(PoisonError::into_inner);
    let total = |count: fn(&Endpoint) -> u64| endpoints.iter().map(|endpoint| count(endpoint)).sum::<u64>();
    record::note(&format!(
        "{} calls, {} ran; answers in trouble {}, sent once more {}",
        answers.len(),
        counts.len(),
        total(|endpoint| endpoint.answers.load(Ordering::Relaxed)),
        total(|endpoint| endpoint.repeated.load(Ordering::Relaxed))
    ));
    let mut is_broken = false;
    for (id, count) in &counts {
        let status = answers.get(id).copied().unwrap_or(0);
        if *count > 1 {
            record::note(&format!("TWICE: {id} ran {count} times; its client got {status}"));
            is_broken = true;
        }
        if [408, 421, 429, 503].contains(&status) {
            record::note(&format!("REFUSED: {id} ran {count} times; its client got {status}"));
            is_broken = true;
        }
    }
    if answers.values().filter(|status| **status == 200).count() * 2 < answers.len() {
        return Err("fewer than half of the calls were served".into());
    }
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}

/// Sends one call on a new connection.
fn call(front: SocketAddrV4, answers: &Answers) {
    let id = new_id("report");
    let fields =
        [("Host", "tier.example".to_owned()), ("Request-Id", id.clone()), ("Deadline-Ms", "3000".to_owned())];
    let request = wire::request("POST", "/reports/boiler", &fields, b"a report");
    record::note(&format!("client sends {id} to {front}"));
    let answer = wire::ask(front, &request, Duration::from_millis(3500));
    let status = answer.map_or(0, |answer| if answer.is_whole { answer.head.status() } else { 0 });
    record::note(&format!("client got {status} for {id}"));
    answers.lock().unwrap_or_else(PoisonError::into_inner).insert(id, status);
    if status == 503 {
        std::thread::sleep(Duration::from_millis(250));
    }
}
