//! Stops, kills and signals of a run, drawn one after the other; their effects overlap.

use std::rc::Rc;
use std::time::Duration;

use crate::Run;
use crate::machine::Machine;

/// The longest pause between two of them, in ms.
const PAUSE_MS: u64 = 300;
/// The longest pause between the stops of a zone's machines one after the other, in ms.
const STEP_MS: u64 = 1500;
/// Core and storage machines bear the loss of one: the next goes only after all have run for so long.
const STABLE_TIME: Duration = Duration::from_millis(2500);

/// Strikes until the run is over.
pub async fn inject_faults(run: Rc<Run>) {
    while !run.is_traffic_over.get() {
        run.random_pause(PAUSE_MS).await;
        let edge = run.edges[run.random_below(run.edges.len() as u64) as usize].clone();
        match run.random_below(22) {
            0..=4 => edge.terminate(),
            5 => terminate_again(&run, &edge).await,
            6 | 7 => {
                tokio::task::spawn_local(drain_zone(run.clone()));
            }
            8 => run.edges.iter().for_each(|edge| edge.terminate()),
            9 | 10 => edge.reload(),
            11 => change_grace(&run, &edge),
            12 => change_grace_in_drain(&run, &edge).await,
            13 => edge.processes[0].kill(),
            14 => edge.processes[1].kill(),
            15 => edge.processes[1].terminate(),
            16 => run.others[run.random_below(run.others.len() as u64) as usize].reload(),
            17..=19 => stop_one(&run, Machine::terminate),
            _ => stop_one(&run, Machine::kill),
        }
    }
}

async fn terminate_again(run: &Run, edge: &Machine) {
    edge.terminate();
    run.random_pause(PAUSE_MS).await;
    edge.terminate();
}

/// Stops the zone's machines one after the other.
async fn drain_zone(run: Rc<Run>) {
    for edge in &run.edges {
        if run.is_traffic_over.get() {
            return;
        }
        edge.terminate();
        run.random_pause(STEP_MS).await;
    }
}

fn change_grace(run: &Run, edge: &Machine) {
    edge.set_grace_period(run.random_below(2) as usize);
    edge.reload();
}

async fn change_grace_in_drain(run: &Run, edge: &Machine) {
    edge.terminate();
    run.random_pause(STEP_MS).await;
    change_grace(run, edge);
}

/// Stops one of the machines that count, if none is away.
fn stop_one(run: &Run, how: impl Fn(&Machine)) {
    if run.others.iter().all(|machine| machine.is_stable(STABLE_TIME)) {
        how(&run.others[run.random_below(run.others.len() as u64) as usize]);
    }
}

/// Kills every process of the tier at one moment; all of them return.
pub fn kill_all(run: &Run) {
    run.edges.iter().chain(&run.others).for_each(|machine| machine.kill());
}
