//! An open-loop load: clients come at their times, whether those before them have been answered or not, and a
//! wait is counted from the time at which they were to come.

use crate::Failed;
use crate::http::{Wire, post};
use hdrhistogram::Histogram;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use serde::Serialize;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};

/// Connections kept for the next client, at most.
const KEPT: usize = 256;

/// What is to be asked for.
#[derive(Debug, Clone)]
pub struct Load {
    /// Where.
    pub address: SocketAddr,
    /// The host named.
    pub host: String,
    /// The target.
    pub target: String,
    /// Further fields of each request, each with its line's end.
    pub fields: &'static str,
    /// Clients a second, in the mean; their distances are exponential.
    pub per_s: f64,
    /// For how long.
    pub time: Duration,
    /// For the distances.
    pub seed: u64,
}

/// What came of it.
#[derive(Debug, Serialize)]
pub struct Result {
    /// Clients that came.
    pub offered: u64,
    /// Answers by status; 0 for none.
    pub by_status: BTreeMap<u16, u64>,
    /// Microseconds from the time at which a client was to come to its answer: median, 99th percentile, most.
    pub wait_us: [u64; 3],
    /// Ids that were answered 202 or 200.
    #[serde(skip)]
    pub taken: Vec<String>,
}

/// Runs it.
///
/// # Errors
/// The histogram cannot be made.
pub async fn run(load: Load) -> std::result::Result<Result, Failed> {
    let histogram = Rc::new(RefCell::new(Histogram::<u64>::new_with_bounds(1, 120_000_000, 3)?));
    let seen: Rc<RefCell<Vec<(String, u16)>>> = Rc::default();
    let kept: Rc<RefCell<Vec<Wire>>> = Rc::default();
    let mut random = Pcg32::seed_from_u64(load.seed);
    let started = Instant::now();
    let mut at = Duration::ZERO;
    let mut clients = Vec::new();
    loop {
        let even = (f64::from(random.next_u32()) + 1.0) / (f64::from(u32::MAX) + 2.0);
        at += Duration::from_secs_f64(-even.ln() / load.per_s);
        if at > load.time {
            break;
        }
        let due = started + at;
        sleep_until(due).await;
        let (load, histogram, seen, kept) = (load.clone(), histogram.clone(), seen.clone(), kept.clone());
        let id = format!("l{}-{}", load.seed, clients.len());
        clients.push(spawn_local(async move {
            let request = post(&load.host, &load.target, &id, load.fields);
            let wire = kept.borrow_mut().pop();
            let asked = async {
                if let Some(mut wire) = wire
                    && let Ok(answer) = wire.ask(&request).await
                {
                    return Ok((wire, answer));
                }
                let mut wire = Wire::to(load.address, None).await?;
                let answer = wire.ask(&request).await?;
                Ok::<_, std::io::Error>((wire, answer))
            };
            let status = match asked.await {
                Ok((wire, answer)) => {
                    if answer.field("connection") != Some("close") && kept.borrow().len() < KEPT {
                        kept.borrow_mut().push(wire);
                    }
                    answer.status()
                }
                Err(_) => 0,
            };
            let wait = due.elapsed().as_micros() as u64;
            histogram.borrow_mut().saturating_record(wait.max(1));
            seen.borrow_mut().push((id, status));
        }));
    }
    let offered = clients.len() as u64;
    for client in clients {
        client.await?;
    }
    let mut by_status = BTreeMap::new();
    seen.borrow().iter().for_each(|(_, s)| *by_status.entry(*s).or_default() += 1);
    let taken =
        seen.borrow().iter().filter(|(_, s)| matches!(s, 200 | 202)).map(|(id, _)| id.clone()).collect();
    let h = histogram.borrow();
    let wait_us = [h.value_at_quantile(0.5), h.value_at_quantile(0.99), h.max()];
    Ok(Result { offered, by_status, wait_us, taken })
}
