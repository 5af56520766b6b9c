//! Stories: each hard case by its name.

mod bad_input;
mod clients;
mod folders;
mod power;

use crate::check::{Cold, Promise, must_hold};
use crate::world::{ORDER_LIFE, World};
use std::sync::atomic::Ordering::Relaxed;
use std::thread::sleep;
use std::time::{Duration, Instant};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn kept() -> Promise {
    Promise { none_lost: true, waits: true, cold: Vec::new() }
}

/// Hands in messages of both classes at all relays, as fast as it can, for so long.
fn traffic(world: &World, time: Duration, relays: &[usize]) {
    let end = Instant::now() + time;
    let mut n = 0;
    while Instant::now() < end {
        let class = if n % 3 == 0 { "notices" } else { "orders" };
        world.hand(relays[n % relays.len()], class, n % world.partners.len());
        n += 1;
        sleep(ms(4));
    }
}
