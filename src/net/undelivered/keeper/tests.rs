//! Tests of the keeper of undelivered messages.

use super::*;
use onyxstile_store::Options;
use onyxstile_undelivered::rules::RuleTable;
use onyxstile_undelivered::{Ran, Rules};
use std::path::PathBuf;

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        Folder(std::env::temp_dir().join(format!("onyxstile-keeper-{name}-{}", std::process::id())))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

const NOW: Duration = Duration::from_secs(1_000_000);

fn settings(folder: &Folder, limit: u64) -> UndeliveredSettings {
    let rule: RuleTable = toml::from_str("well_s = 0").unwrap();
    let rules = Rules {
        rules: vec![rule.check().unwrap()],
        keep_for: Duration::from_secs(1000),
        most: 10_000,
        bytes: limit / 4,
        customer_bytes: limit / 4,
    };
    let store = Options { limit, segment: 1 << 20, commit: 1 << 20, verify: true };
    UndeliveredSettings { folder: folder.0.clone(), store, sync: SyncPolicy::Begins, rules }
}

fn message(keeper: &Keeper, key: u64, bytes: usize) -> (Kept, Body) {
    let mut kept =
        Kept { key, id: format!("m{key}"), class: "orders".into(), destination: 7, ..Kept::default() };
    kept.bytes = bytes as u32;
    kept.failed = keeper.machine.stamp(NOW).into();
    kept.settle_first(Ran::Never, keeper.machine.stamp(NOW));
    (kept, Body { body: vec![key as u8; bytes], ..Body::default() })
}

fn used(folder: &Folder) -> u64 {
    std::fs::read_dir(&folder.0).unwrap().map(|f| f.unwrap().metadata().unwrap().len()).sum()
}

#[test]
fn a_shelf_that_is_full_lets_the_oldest_go_and_its_files_stay_within_their_limit() {
    let folder = Folder::new("full");
    let settings = settings(&folder, 1_000_000);
    let mut keeper = Keeper::open(&settings, NOW, &[], false).unwrap();
    // Many in one step, and the limit is reached in the middle of one.
    for step in 0..60u64 {
        for n in 0..10 {
            let (kept, body) = message(&keeper, step * 10 + n + 1, 3000 + (n * 731 % 4000) as usize);
            keeper.keep(kept, &body);
        }
        keeper.write(vec![], false).unwrap();
        keeper.tidy(NOW);
        assert!(used(&folder) <= 1_000_000, "{}", used(&folder));
    }
    let kept: Vec<u64> = keeper.shelf.keys().collect();
    assert!(
        kept.len() > 30 && kept.last() == Some(&600) && kept.windows(2).all(|w| w[1] == w[0] + 1),
        "{kept:?}"
    );
    assert_eq!(
        (keeper.counts.kept, keeper.counts.made_room, keeper.counts.errors),
        (600, 600 - kept.len() as u64, 0)
    );
    drop(keeper);
    let keeper = Keeper::open(&settings, NOW, &[], false).unwrap();
    assert!(keeper.shelf.keys().eq(kept.iter().copied()));
    assert!(kept.iter().all(|k| keeper.shelf.body(*k).unwrap().unwrap().body[0] == *k as u8));
    // Time passes.
    let mut keeper = keeper;
    (0..10).for_each(|_| keeper.tidy(NOW + Duration::from_secs(1001)));
    keeper.write(vec![], false).unwrap();
    assert_eq!((keeper.shelf.keys().count(), keeper.planner.totals()), (0, (0, 0, 0)));
}

#[test]
fn what_the_journal_has_open_is_not_resent_and_what_it_has_not_never_began() {
    let folder = Folder::new("open");
    let settings = settings(&folder, 1_000_000);
    let mut keeper = Keeper::open(&settings, NOW, &[], false).unwrap();
    for key in 1..=4 {
        let (mut kept, body) = message(&keeper, key, 100);
        keeper.keep(kept.clone(), &body);
        if key > 1 {
            assert!(kept.begin(10 + key, keeper.machine.stamp(NOW)));
            keeper.put(&kept);
        }
    }
    keeper.write(vec![], true).unwrap();
    drop(keeper);
    // 1 was killed between its two records; the resend of 2 is open, 3's is not, and 4's is another's.
    let open = [(FlowNo(1), None), (FlowNo(12), Some(FlowNo(2))), (FlowNo(14), Some(FlowNo(9)))];
    let mut keeper = Keeper::open(&settings, NOW, &open, false).unwrap();
    let state = |keeper: &Keeper, key| keeper.shelf.get(key).unwrap().unwrap().is();
    let states = [1, 2, 3, 4].map(|key| state(&keeper, key));
    assert_eq!(states, [State::Waiting, State::Resending, State::Waiting, State::Waiting]);
    assert!(keeper.goes_on(FlowNo(12), FlowNo(2)) && !keeper.goes_on(FlowNo(14), FlowNo(4)));
    let picks = [keeper.planner.pick(NOW), keeper.planner.pick(NOW)];
    assert_eq!(picks, [None, None], "one of the lane is open");
    keeper.planner.resend_ended(2, true, NOW);
    keeper.remove(2);
    assert_eq!(keeper.planner.pick(NOW).map(|p| p.key), Some(3), "1 waits for its own end");
    keeper.not_failed(FlowNo(1));
    keeper.write(vec![], false).unwrap();
    assert!(!keeper.shelf.has(1));
    drop(keeper);
    // Without a journal to tell by, what was being resent may have run.
    let folder = Folder::new("lost-journal");
    let settings = UndeliveredSettings { folder: folder.0.clone(), ..settings };
    let mut keeper = Keeper::open(&settings, NOW, &[], false).unwrap();
    let (mut kept, body) = message(&keeper, 5, 10);
    keeper.keep(kept.clone(), &body);
    kept.begin(6, keeper.machine.stamp(NOW));
    keeper.put(&kept);
    keeper.write(vec![], true).unwrap();
    drop(keeper);
    let keeper = Keeper::open(&settings, NOW, &[], true).unwrap();
    assert_eq!(state(&keeper, 5), State::MayHaveRun);
}

#[test]
fn a_damaged_store_sends_nothing_again_by_itself() {
    let folder = Folder::new("damage");
    let settings = settings(&folder, 1_000_000);
    let mut keeper = Keeper::open(&settings, NOW, &[], false).unwrap();
    for key in 1..=80 {
        let (kept, body) = message(&keeper, key, 2500);
        keeper.keep(kept, &body);
        keeper.write(vec![], false).unwrap();
    }
    drop(keeper);
    let first = folder.0.join("000000000001.seg");
    let bytes = std::fs::read(&first).unwrap();
    std::fs::write(&first, &bytes[..bytes.len() / 2]).unwrap();
    let mut keeper = Keeper::open(&settings, NOW, &[], false).unwrap();
    let left = keeper.shelf.keys().count();
    assert!(left > 5 && left < 80);
    assert_eq!(keeper.shelf.by_state(State::MayHaveRun).count(), left);
    assert_eq!(keeper.planner.pick(NOW + Duration::from_secs(100)), None);
    // It goes on, and the next start has heard of it.
    let (kept, body) = message(&keeper, 100, 10);
    keeper.keep(kept, &body);
    keeper.write(vec![], false).unwrap();
    drop(keeper);
    let keeper = Keeper::open(&settings, NOW, &[], false).unwrap();
    assert_eq!(keeper.shelf.by_state(State::Waiting).collect::<Vec<_>>(), [100]);
}
