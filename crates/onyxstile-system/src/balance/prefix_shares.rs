//! Traffic share of each first prompt part. Performs no I/O.

use std::collections::HashMap;

/// Number of prompts after which the weight of a prompt has halved.
const HALF_LIFE: f64 = 256.0;
/// Maximum number of first parts that are counted. Without a limit, each session of a deployment without shared parts
/// would be kept.
const PREFIXES_MAX: usize = 1024;
/// Ratio of a first part's share of preferred endpoints to its traffic share, so that random variation does not
/// overload them.
const PREFERRED_FACTOR: f64 = 4.0;
/// Weight, in prompts, of the assumption that all first parts have equal shares, so that relays that have counted few
/// prompts agree.
const PRIOR_PROMPTS: f64 = 128.0;
/// Minimum number of preferred endpoints.
const PREFERRED_MIN: usize = 2;

/// Decaying counts of first parts.
#[derive(Debug, Default)]
pub(super) struct PrefixShares {
    counts: HashMap<u64, f64>,
    total: f64,
    weight: f64,
}

impl PrefixShares {
    /// Counts a prompt that begins with `part`.
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

    /// Number of `endpoints` that are preferred for a first part.
    pub(super) fn preferred_count(&self, part: u64, endpoints: usize) -> usize {
        // Counts are in units of the newest prompt's weight, which grows.
        let unit = self.weight.max(1.0);
        let count = self.counts.get(&part).copied().unwrap_or(0.0) / unit;
        let prior = PRIOR_PROMPTS / self.counts.len().max(1) as f64;
        let share = (count + prior) / (self.total / unit + PRIOR_PROMPTS);
        let wanted = (share * PREFERRED_FACTOR * endpoints as f64).ceil() as usize;
        // Rounding up to a power of two makes relays with slightly different counts agree.
        wanted.next_power_of_two().max(PREFERRED_MIN).min(endpoints)
    }
}
