//! How what one relay holds is divided among those that want of it, itself included.
//!
//! Each holder divides its own by the same rule and by the same figures, so all of them together do: what is wanted is given
//! where there is enough; else whoever holds least for what it is handed in comes first, up to the level at which all is given.
//! What each has from elsewhere counts, so two relays that hold alike give each other nothing. The odd units go by a hash that is
//! weighted by what is handed in, so that many holders of one unit each come to the same division.
//!
//! What a relay is handed in does not follow from what it holds, and each step of a division brings those that have too little
//! and those that have too much nearer to one level: it cannot swing further than a holder's own units, and settles.

use crate::rendezvous::mix;

/// One that wants units.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Claimant {
    /// Which relay.
    pub node: u16,
    /// How many it wants at most, of these.
    pub wants: u32,
    /// How many it has from elsewhere.
    pub held: u32,
    /// Messages a second that are handed in there.
    pub demand: f64,
}

impl Claimant {
    /// What it is given where all are served up to this level: units for each message a second.
    fn at(&self, level: f64) -> f64 {
        (level * self.demand.max(1e-6) - f64::from(self.held)).clamp(0.0, self.wants.into())
    }
}

/// The units of each claimant, in their order. `luck` tells this division apart from others' of the same quota.
pub fn divide(units: u32, claimants: &[Claimant], luck: u64) -> Vec<u32> {
    if claimants.iter().map(|c| u64::from(c.wants)).sum::<u64>() <= u64::from(units) {
        return claimants.iter().map(|c| c.wants).collect();
    }
    // The level at which all is given: it lies between nothing and what the neediest would take alone.
    let sum = |level: f64| claimants.iter().map(|c| c.at(level)).sum::<f64>();
    let (mut low, mut high) = (0.0, 1.0);
    while sum(high) < f64::from(units) && high < 1e18 {
        high *= 2.0;
    }
    for _ in 0..60 {
        let middle = (low + high) / 2.0;
        if sum(middle) <= f64::from(units) { low = middle } else { high = middle }
    }
    let mut given: Vec<u32> = claimants.iter().map(|c| c.at(low) as u32).collect();
    let mut left = units.saturating_sub(given.iter().sum());
    // The odd ones: the larger its demand, the likelier a claimant has the highest score.
    let score = |c: &Claimant| {
        let chance = (mix(luck ^ mix(u64::from(c.node) + 1)) >> 11) as f64 / (1u64 << 53) as f64;
        -c.demand.max(1e-6) / chance.max(1e-300).ln()
    };
    let below = |i: &usize| claimants[*i].at(high * 1.001 + 1e-9) > f64::from(given[*i]);
    let mut order: Vec<usize> = (0..claimants.len()).filter(below).collect();
    order.sort_by(|a, b| score(&claimants[*b]).total_cmp(&score(&claimants[*a])));
    for i in order {
        if left > 0 && given[i] < claimants[i].wants {
            given[i] += 1;
            left -= 1;
        }
    }
    given
}
