//! Random histories, with a file call that goes wrong in most of them, against a plain map.
//!
//! `STORE_RUNS` says how many, `STORE_SEED` from which seed on. Each history prints its seed where it fails.
#![allow(missing_docs)]

use onyxstile_store::sim::{Fault, SimDisk};
use onyxstile_store::{Change, Options, Store, Sync};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

type Contents = BTreeMap<u64, (Option<[u64; 2]>, Vec<u8>)>;

fn contents(store: &Store<SimDisk, 2>) -> Contents {
    let read = |k: u64| (k, (store.facets(k).copied(), store.get(k).unwrap().unwrap()));
    let all: Contents = store.keys(0..=u64::MAX).map(read).collect();
    // The orders by facets say the same as the records.
    for facet in 0..2 {
        let mut expected: Vec<_> =
            all.iter().filter_map(|(k, (f, _))| Some((f.as_ref()?[facet], *k))).collect();
        expected.sort_unstable();
        assert_eq!(store.by(facet, 0..=u64::MAX).collect::<Vec<_>>(), expected);
    }
    all
}

fn applied(to: &Contents, changes: &[Change<2>]) -> Contents {
    let mut after = to.clone();
    for change in changes {
        match change {
            Change::Put { key, facets, value } => after.insert(*key, (*facets, value.clone())),
            Change::Delete(key) => after.remove(key),
        };
    }
    after
}

struct Random(Pcg64Mcg);

impl Random {
    fn below(&mut self, n: u64) -> u64 {
        self.0.next_u64() % n.max(1)
    }

    fn changes(&mut self) -> Vec<Change<2>> {
        (0..1 + self.below(3))
            .map(|_| {
                let key = self.below(24);
                if self.below(3) == 0 {
                    return Change::Delete(key);
                }
                let facets = (self.below(4) > 0).then(|| [self.below(5), self.below(1000)]);
                let (length, byte) = (self.below(260), self.below(256) as u8);
                Change::Put { key, facets, value: vec![byte; length as usize] }
            })
            .collect()
    }
}

/// What one history showed.
#[derive(Default)]
struct Seen {
    kills: u64,
    power: u64,
    errors: u64,
    removed: u64,
    damaged: u64,
}

fn history(seed: u64, seen: &mut Seen) {
    let mut random = Random(Pcg64Mcg::seed_from_u64(seed));
    let disk = SimDisk::default();
    let options = |r: &mut Random| Options {
        limit: 96 * 1024,
        segment: 4096,
        commit: 1 << 20,
        verify: r.below(2) == 0,
    };
    let (mut store, _) = Store::<SimDisk, 2>::open(disk.clone(), options(&mut random)).unwrap();
    // What the store may hold after a kill, and from where on power may have lost it.
    let mut states: Vec<Contents> = vec![Contents::new()];
    let mut lasting = 0;
    let mut unconfirmed: Option<Contents> = None;
    for _ in 0..2 + random.below(3) {
        let part = random.below(1001) as u32;
        let fault = [Fault::Refused, Fault::Torn(part), Fault::Killed(part), Fault::Killed(part)];
        disk.fail(random.below(220), fault[random.below(4) as usize]);
        for _ in 0..random.below(150) {
            let changes = random.changes();
            let sync = if random.below(6) == 0 { Sync::Lasting } else { Sync::Written };
            let now = states.last().unwrap().clone();
            match store.commit(&changes, sync) {
                Ok(()) => {
                    states.push(applied(&now, &changes));
                    unconfirmed = None;
                    if sync == Sync::Lasting {
                        lasting = states.len() - 1;
                    }
                }
                Err(_) => {
                    seen.errors += 1;
                    unconfirmed = Some(applied(&now, &changes));
                }
            }
            if disk.is_dead() || !store.writes() {
                break;
            }
            if random.below(8) == 0 {
                let _ = store.work();
            }
        }
        if !disk.is_dead() {
            assert_eq!(contents(&store), *states.last().unwrap(), "seed {seed}: while it ran");
        }
        assert!(store.used_bytes() <= 96 * 1024, "seed {seed}");
        drop(store);
        let power = random.below(2) == 0;
        if power {
            seen.power += 1;
            disk.lose_power(|n| random.below(n));
        } else {
            seen.kills += 1;
            disk.restart();
        }
        // The next process may die in its start, too.
        if random.below(4) == 0 {
            disk.fail(random.below(4), Fault::Killed(random.below(1001) as u32));
            let _ = Store::<SimDisk, 2>::open(disk.clone(), options(&mut random));
            disk.restart();
        }
        let (again, report) = Store::<SimDisk, 2>::open(disk.clone(), options(&mut random)).unwrap();
        store = again;
        let found = contents(&store);
        let first = if power { lasting } else { states.len() - 1 };
        let place = states[first..].iter().chain(&unconfirmed).position(|s| *s == found);
        assert!(
            place.is_some(),
            "seed {seed}: power {power}, {report:?}, found {} records; lasting {lasting} of {}",
            found.len(),
            states.len()
        );
        assert!(power || !report.damaged, "seed {seed}: a kill is no damage: {report:?}");
        seen.damaged += u64::from(report.damaged);
        let names = onyxstile_store::disk::Disk::list(&disk).unwrap();
        seen.removed += u64::from(!names.contains(&"000000000001.seg".to_string()));
        store.accept_damage().unwrap();
        (states, lasting, unconfirmed) = (vec![found], 0, None);
        if power {
            continue;
        }
        // What a kill left is there, but power may still lose what was not synced.
        if store.sync().is_err() {
            return;
        }
    }
}

#[test]
fn what_is_found_after_any_fault_is_what_was_confirmed() {
    let number = |name: &str, other| std::env::var(name).map_or(other, |v| v.parse().unwrap());
    let (runs, first) = (number("STORE_RUNS", 10_000), number("STORE_SEED", 1));
    let threads = std::thread::available_parallelism().map_or(4, |n| n.get() as u64);
    let all: Vec<Seen> = std::thread::scope(|scope| {
        let run = |t: u64| {
            move || {
                let mut seen = Seen::default();
                (first..first + runs).filter(|s| s % threads == t).for_each(|seed| history(seed, &mut seen));
                seen
            }
        };
        let tasks: Vec<_> = (0..threads).map(|t| scope.spawn(run(t))).collect();
        tasks.into_iter().map(|t| t.join().unwrap()).collect()
    });
    let sum = |f: fn(&Seen) -> u64| all.iter().map(f).sum::<u64>();
    println!(
        "{runs} histories from seed {first}: {} kills, {} losses of power, {} commits that failed, {} starts after \
         compaction, {} starts with damage",
        sum(|s| s.kills),
        sum(|s| s.power),
        sum(|s| s.errors),
        sum(|s| s.removed),
        sum(|s| s.damaged)
    );
    assert!(sum(|s| s.kills) > runs / 2 && sum(|s| s.power) > runs / 2);
    assert!(sum(|s| s.errors) > runs / 10 && sum(|s| s.removed) > runs / 10);
}
