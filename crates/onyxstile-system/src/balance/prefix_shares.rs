//! How large a part of the traffic begins with which first part of a prompt. Pure.

use std::collections::HashMap;

/// Prompts after which older ones count half.
const HALF_LIFE: f64 = 256.0;
/// First parts that are remembered; without a bound each session of a deployment without shared parts would stay.
const PREFIXES_MAX: usize = 1024;
/// The homes of a first part take this many times its share of the endpoints, so that chance does not crowd them.
const PREFERRED_FACTOR: f64 = 4.0;
/// Prompts that stand for an even share of all first parts before any was counted: relays that have seen few agree all
/// the same.
const PRIOR_PROMPTS: f64 = 128.0;
/// The fewest homes.
const PREFERRED_MIN: usize = 2;

/// Decaying counts of first parts.
#[derive(Debug, Default)]
pub(super) struct PrefixShares {
    counts: HashMap<u64, f64>,
    total: f64,
    weight: f64,
}

impl PrefixShares {
    /// A prompt that begins with `part`.
    pub(super) fn note(&mut self, part: u64) {
        self.weight = if self.weight == 0.0 { 1.0 } else { self.weight * 2f64.powf(1.0 / HALF_LIFE) };
        *self.counts.entry(part).or_default() += self.weight;
        self.total += self.weight;
        if self.weight > 1e12 || self.counts.len() > PREFIXES_MAX {
            self.rescale();
        }
    }

    fn rescale(&mut self) {
        let weight = self.weight;
        let least = 0.05;
        self.counts.values_mut().for_each(|count| *count /= weight);
        self.counts.retain(|_, count| *count > least);
        if self.counts.len() > PREFIXES_MAX {
            self.counts.clear();
        }
        self.total = self.counts.values().sum();
        self.weight = 1.0;
    }

    /// How many of `endpoints` a first part is read at before it is held anywhere.
    pub(super) fn preferred_count(&self, part: u64, endpoints: usize) -> usize {
        // Counts are in units of the newest prompt's weight, which grows.
        let unit = self.weight.max(1.0);
        let count = self.counts.get(&part).copied().unwrap_or(0.0) / unit;
        let prior = PRIOR_PROMPTS / self.counts.len().max(1) as f64;
        let share = (count + prior) / (self.total / unit + PRIOR_PROMPTS);
        let wanted = (share * PREFERRED_FACTOR * endpoints as f64).ceil() as usize;
        // Relays that count shares a little differently agree on a power of two.
        wanted.next_power_of_two().max(PREFERRED_MIN).min(endpoints)
    }
}
