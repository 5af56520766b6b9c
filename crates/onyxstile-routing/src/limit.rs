//! Limits by key: rates as nginx's `limit_req` counts them (a leaky bucket), and requests in hand.
//!
//! Each zone holds so many keys at most, in two generations: once the younger is full, the older is dropped
//! and the younger takes its place, so that a flood of new keys costs no more memory than that and drops what
//! was longest unused. A key that was never seen begins as one whose burst is used up since the start of the
//! process: a restart hands nobody a burst anew.

use crate::config::ZoneConfig;
use crate::table::{Counted, CountedAs};
use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::time::Duration;

/// What is held for a key: the excess over its rate, in requests, and when that was.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    excess: f64,
    at: Duration,
}

#[derive(Debug)]
struct Zone {
    config: ZoneConfig,
    /// By a digest of the key that no client can foresee; the younger generation first.
    rates: [HashMap<u64, Bucket>; 2],
    in_hand: HashMap<u64, u32>,
}

impl Zone {
    /// What a key's bucket holds now; `burst` is what it may hold.
    fn bucket(&self, digest: u64, now: Duration, started: Duration, burst: f64) -> Bucket {
        let rate = self.config.rate_per_s.unwrap_or(1.0);
        let known = self.rates.iter().find_map(|g| g.get(&digest)).copied();
        let held = known.unwrap_or(Bucket { excess: burst, at: started });
        let drained = now.saturating_sub(held.at).as_secs_f64() * rate;
        Bucket { excess: (held.excess - drained).max(0.0), at: now }
    }

    fn put(&mut self, digest: u64, bucket: Bucket) {
        self.rates[0].insert(digest, bucket);
        if self.rates[0].len() > self.config.keys / 2 {
            self.rates.swap(0, 1);
            self.rates[0].clear();
        }
    }
}

/// Why a request is turned down.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limited {
    /// The zone's name.
    pub zone: String,
    /// When there is room again, if nobody else comes.
    pub after: Duration,
}

/// What limits have counted. It outlives the table: a new one takes its zones over by name.
#[derive(Debug)]
pub struct Limits {
    zones: Vec<Zone>,
    digest: RandomState,
    started: Duration,
}

impl Limits {
    /// Nothing counted yet, by a process that started now.
    pub fn new(zones: &[ZoneConfig], now: Duration) -> Limits {
        let mut limits = Limits { zones: Vec::new(), digest: RandomState::new(), started: now };
        limits.take_over(zones);
        limits
    }

    /// Goes by the zones of another table; what was counted in those of the same name and key stays.
    pub fn take_over(&mut self, zones: &[ZoneConfig]) {
        let mut old = std::mem::take(&mut self.zones);
        for config in zones {
            let same = |z: &Zone| z.config.name == config.name && z.config.key == config.key;
            let kept = old.iter().position(same).map(|at| old.swap_remove(at));
            let (rates, in_hand) = kept.map(|z| (z.rates, z.in_hand)).unwrap_or_default();
            self.zones.push(Zone { config: config.clone(), rates, in_hand });
        }
    }

    /// Counts a request if all its limits have room, and holds its places until [`Limits::done`]; counts
    /// nothing if one has none.
    ///
    /// # Errors
    /// The limit that has no room.
    pub fn admit(&mut self, counted: &[Counted], now: Duration) -> Result<(), Limited> {
        let digests: Vec<u64> = counted.iter().map(|c| self.digest.hash_one(&c.key)).collect();
        for (c, digest) in counted.iter().zip(&digests) {
            let Some(zone) = self.zones.get(c.zone) else { continue };
            let limited = |after| Limited { zone: zone.config.name.clone(), after };
            match c.what {
                CountedAs::Rate { burst } => {
                    let rate = zone.config.rate_per_s.unwrap_or(1.0);
                    let bucket = zone.bucket(*digest, now, self.started, f64::from(burst));
                    let over = bucket.excess - f64::from(burst);
                    // One request fits as long as the excess that it finds is within the burst.
                    if over > 1e-9 {
                        return Err(limited(Duration::from_secs_f64(over / rate)));
                    }
                }
                CountedAs::InHand { most } => {
                    if zone.in_hand.get(digest).copied().unwrap_or(0) >= most {
                        return Err(limited(Duration::ZERO));
                    }
                }
            }
        }
        for (c, digest) in counted.iter().zip(digests) {
            let started = self.started;
            let Some(zone) = self.zones.get_mut(c.zone) else { continue };
            match c.what {
                CountedAs::Rate { burst } => {
                    let bucket = zone.bucket(digest, now, started, f64::from(burst));
                    zone.put(digest, Bucket { excess: bucket.excess + 1.0, at: now });
                }
                CountedAs::InHand { .. } => *zone.in_hand.entry(digest).or_default() += 1,
            }
        }
        Ok(())
    }

    /// A request that was admitted is no longer in hand.
    pub fn done(&mut self, counted: &[Counted]) {
        for c in counted.iter().filter(|c| matches!(c.what, CountedAs::InHand { .. })) {
            let digest = self.digest.hash_one(&c.key);
            if let Some(zone) = self.zones.get_mut(c.zone)
                && let Some(n) = zone.in_hand.get_mut(&digest)
            {
                *n = n.saturating_sub(1);
                if *n == 0 {
                    zone.in_hand.remove(&digest);
                }
            }
        }
    }

    /// Keys held.
    pub fn keys(&self) -> usize {
        self.zones.iter().map(|z| z.rates[0].len() + z.rates[1].len() + z.in_hand.len()).sum()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn zone(name: &str, rate_per_s: Option<f64>, keys: usize) -> ZoneConfig {
        ZoneConfig { name: name.into(), key: "$remote_addr".into(), keys, rate_per_s }
    }

    fn rate(key: u64, burst: u32) -> Vec<Counted> {
        vec![Counted { zone: 0, key: key.to_le_bytes().into(), what: CountedAs::Rate { burst } }]
    }

    fn ms(n: u64) -> Duration {
        Duration::from_millis(n)
    }

    #[test]
    fn a_burst_passes_and_then_the_rate_and_the_wait_told_is_true() {
        let mut limits = Limits::new(&[zone("z", Some(10.0), 100)], ms(0));
        let now = ms(10_000);
        let passed = (0..20).filter(|_| limits.admit(&rate(1, 5), now).is_ok()).count();
        assert_eq!(passed, 6, "one and the burst");
        let after = limits.admit(&rate(1, 5), now).unwrap_err().after;
        assert!(limits.admit(&rate(1, 5), now + after - ms(1)).is_err());
        assert!(limits.admit(&rate(1, 5), now + after).is_ok());
        assert!(limits.admit(&rate(2, 5), now).is_ok(), "another key");
        let steady = (0..1000).filter(|n| limits.admit(&rate(1, 5), ms(20_000 + n * 10)).is_ok()).count();
        assert!((100..=106).contains(&steady), "{steady}");
    }

    #[test]
    fn neither_a_restart_nor_a_new_table_hands_out_a_burst_anew() {
        let mut limits = Limits::new(&[zone("z", Some(10.0), 100)], ms(0));
        while limits.admit(&rate(1, 50), ms(9000)).is_ok() {}
        limits.take_over(&[zone("other", Some(1.0), 10), zone("z", Some(10.0), 100)]);
        let moved = |mut c: Vec<Counted>| {
            c[0].zone = 1;
            c
        };
        assert!(limits.admit(&moved(rate(1, 50)), ms(9000)).is_err());
        let mut again = Limits::new(&[zone("z", Some(10.0), 100)], ms(9600));
        let passed = (0..100).filter(|n| again.admit(&rate(1, 50), ms(9600 + n * 10)).is_ok()).count();
        assert!((8..=12).contains(&passed), "{passed} in the first second");
    }

    #[test]
    fn a_flood_of_keys_keeps_memory_flat_and_forgets_the_longest_unused() {
        let mut limits = Limits::new(&[zone("z", Some(1.0), 1000)], ms(0));
        for n in 0..100_000u64 {
            let _ = limits.admit(&rate(n, 0), ms(100_000 + n));
            // One that comes all the time is never forgotten.
            let _ = limits.admit(&rate(7, 0), ms(100_000 + n));
            assert!(limits.keys() <= 1002, "{}", limits.keys());
        }
        let now = ms(200_000);
        let _ = limits.admit(&rate(7, 0), now);
        assert!(limits.admit(&rate(7, 0), now).is_err());
    }

    #[test]
    fn places_in_hand_come_back_and_one_limit_without_room_counts_nothing() {
        let mut limits = Limits::new(&[zone("c", None, 10), zone("z", Some(1.0), 10)], ms(0));
        let both = vec![
            Counted { zone: 0, key: b"a".to_vec(), what: CountedAs::InHand { most: 2 } },
            Counted { zone: 1, key: b"a".to_vec(), what: CountedAs::Rate { burst: 0 } },
        ];
        let now = ms(50_000);
        assert!(limits.admit(&both, now).is_ok());
        assert_eq!(limits.admit(&both, now).unwrap_err().zone, "z");
        assert!(limits.admit(&both[..1], now).is_ok(), "the refused one held no place");
        assert_eq!(limits.admit(&both[..1], now).unwrap_err().zone, "c");
        limits.done(&both[..1]);
        assert!(limits.admit(&both[..1], now).is_ok());
        limits.done(&both);
        limits.done(&both);
        assert_eq!(limits.keys(), 1, "the rate's");
    }
}
