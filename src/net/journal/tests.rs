//! The journal's tests.

use super::*;
use crate::net::parcel::{Envelope, Parcel, Routed};
use std::rc::Rc;
use std::time::Duration;

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("onyxstile-{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path).unwrap();
    path
}

fn taken(no: u64, size: usize) -> Record {
    let mail = Some(Envelope { from: "a@b".into(), to: "c@d".into() }).filter(|_| no.is_multiple_of(2));
    let routed = Some(Routed { path: "/a?b".into(), key: vec![0, 9] }).filter(|_| no.is_multiple_of(3));
    let parcel =
        Parcel { id: format!("f{no}"), key: Some("k".into()), mail, routed, body: vec![7; size].into() };
    let (deadline, class) = (Duration::from_secs(1_000_000 + no), "orders".to_string());
    let resend_of = Some(FlowNo(no + 100)).filter(|_| no.is_multiple_of(4));
    let flow =
        TakenFlow { deadline, class, tenant: None, destination: 3, parcel: Rc::new(parcel), resend_of };
    Record::Taken(FlowNo(no), flow)
}

fn sent(no: u64) -> Record {
    Record::Sent(FlowNo(no), SentTo { at: Duration::from_secs(9), server: "s-1".into() })
}

#[test]
fn a_tail_torn_at_any_byte_loses_only_itself() {
    let folder = folder("torn");
    let owed = Owed { id: "f1".into(), returned_after: Some(Duration::from_millis(5)) };
    let records = [
        taken(1, 20),
        sent(1),
        Record::CallEnded(FlowNo(1), false),
        Record::Ended(FlowNo(1), Some(owed)),
        taken(2, 9),
        sent(2),
    ];
    let mut ends = vec![0];
    let mut journal = Journal::open(&folder, 1 << 20, Durability::Process).unwrap();
    for record in &records {
        journal.write(std::slice::from_ref(record)).unwrap();
        ends.push(journal.length as usize);
    }
    let whole = fs::read(folder.join("journal")).unwrap();
    for cut in 0..=whole.len() {
        for spoilt in [false, true] {
            let mut bytes = whole[..cut].to_vec();
            if spoilt {
                bytes.extend([0x55; 11]);
            }
            fs::write(folder.join("journal"), &bytes).unwrap();
            let kept = ends.iter().filter(|e| **e <= cut).count() - 1;
            let mut expected = Ledger::default();
            records[..kept].iter().for_each(|r| expected.apply(r));
            let mut journal = Journal::open(&folder, 1 << 20, Durability::Process).unwrap();
            assert_eq!(journal.ledger.open, expected.open, "cut at {cut}");
            assert_eq!(journal.ledger.owed, expected.owed, "cut at {cut}");
            // What is written after the cut is read back.
            journal.write(&[taken(9, 1)]).unwrap();
            assert!(
                Journal::open(&folder, 1 << 20, Durability::Process)
                    .unwrap()
                    .ledger
                    .open
                    .contains_key(&FlowNo(9))
            );
        }
    }
    fs::remove_dir_all(folder).unwrap();
}

#[test]
fn the_folder_never_outgrows_its_limit_and_what_was_admitted_is_kept() {
    let folder = folder("full");
    let limit = 200_000;
    let mut journal = Journal::open(&folder, limit, Durability::Process).unwrap();
    let mut held = std::collections::VecDeque::new();
    for no in 1..3000u64 {
        if journal.has_room(1, 900 + 1024) {
            journal.write(&[taken(no, 900)]).unwrap();
            held.push_back(no);
        } else {
            let no = held.pop_front().unwrap();
            journal.write(&[sent(no), Record::CallEnded(FlowNo(no), false)]).unwrap();
            journal.write(&[Record::Ended(FlowNo(no), None)]).unwrap();
        }
        let size: u64 = fs::read_dir(&folder).unwrap().map(|f| f.unwrap().metadata().unwrap().len()).sum();
        // The old file and the one that would replace it.
        assert!(size + journal.live <= limit, "{size} and {} of {limit}", journal.live);
    }
    assert!(held.len() > 10, "{}", held.len());
    let again = Journal::open(&folder, limit, Durability::Process).unwrap();
    assert!(again.ledger.open.keys().map(|no| no.0).eq(held.iter().copied()));
    assert_eq!(again.ledger.open, journal.ledger.open);
    assert!(again.ledger.next >= journal.ledger.next);
    fs::remove_dir_all(folder).unwrap();
}

#[test]
fn a_ban_is_kept_through_rewrites_and_kills_until_one_record_ends_it() {
    let folder = folder("ban");
    let mut journal = Journal::open(&folder, 1 << 20, Durability::Process).unwrap();
    let ban = |uid: &str, on| Record::Banned(uid.into(), on);
    journal.write(&[ban("a", true), ban("b", true), ban("b", true), ban("a", false)]).unwrap();
    let live = journal.live;
    for no in 1..2000 {
        journal.write(&[taken(no, 900), Record::Ended(FlowNo(no), None)]).unwrap();
    }
    assert!(journal.length < 200_000, "it was rewritten");
    assert_eq!(journal.live, live);
    let mut journal = Journal::open(&folder, 1 << 20, Durability::Process).unwrap();
    assert_eq!((&journal.ledger.bans, journal.live), (&["b".to_string()].into(), live));
    journal.write(&[ban("b", false)]).unwrap();
    assert_eq!((journal.ledger.bans.len(), journal.live), (0, 0));
    fs::remove_dir_all(folder).unwrap();
}

/// What a process logs while it opens a folder's journal.
fn log_of_opening(folder: &Path, durability: Durability) -> String {
    let log = std::sync::Arc::new(std::sync::Mutex::new(Vec::new()));
    let to = log.clone();
    let subscriber = tracing_subscriber::fmt()
        .with_max_level(tracing::Level::DEBUG)
        .with_ansi(false)
        .with_writer(move || Sink(to.clone()))
        .finish();
    tracing::subscriber::with_default(subscriber, || Journal::open(folder, 1 << 20, durability).unwrap());
    let bytes = log.lock().unwrap().clone();
    String::from_utf8(bytes).unwrap()
}

struct Sink(std::sync::Arc<std::sync::Mutex<Vec<u8>>>);

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend(bytes);
        Ok(bytes.len())
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A journal with a gap is written anew as it is opened, before the process has written a word of its own. Where writes
/// outlast a loss of power that file is synced before it takes the old one's name, or both could be gone.
#[test]
fn a_file_that_takes_the_place_of_one_with_a_gap_is_synced_first() {
    let folder = folder("gap-sync");
    for (durability, synced) in [(Durability::Power, 1), (Durability::Process, 0)] {
        let _ = fs::remove_file(folder.join("journal"));
        let mut journal = Journal::open(&folder, 1 << 20, durability).unwrap();
        (1..4).for_each(|no| journal.write(&[taken(no, 50)]).unwrap());
        let mut bytes = fs::read(folder.join("journal")).unwrap();
        let middle = bytes.len() / 2;
        bytes[middle] ^= 0xff;
        fs::write(folder.join("journal"), bytes).unwrap();
        let log = log_of_opening(&folder, durability);
        assert!(log.contains("in its middle are no records"), "{log}");
        assert_eq!(log.matches("journal synced").count(), synced, "{durability:?}: {log}");
        let journal = Journal::open(&folder, 1 << 20, durability).unwrap();
        assert_eq!(journal.ledger.open.len(), 2, "the one in the middle is gone, the last is there");
        assert!(!folder.join("journal.old").exists());
    }
    fs::remove_dir_all(folder).unwrap();
}

#[test]
fn a_call_that_a_kill_cut_off_may_have_run_for_all_later_processes() {
    let folder = folder("twice");
    let at = |n: u64| SentTo { at: Duration::from_secs(n), server: format!("s-{n}") };
    let mut journal = Journal::open(&folder, 1 << 20, Durability::Process).unwrap();
    journal.write(&[taken(1, 9), Record::Sent(FlowNo(1), at(1))]).unwrap();
    // Killed; the next process sends again, is refused, and is killed as well.
    let mut journal = Journal::open(&folder, 1 << 20, Durability::Process).unwrap();
    journal.write(&[Record::Sent(FlowNo(1), at(2)), Record::CallEnded(FlowNo(1), true)]).unwrap();
    let journal = Journal::open(&folder, 1 << 20, Durability::Process).unwrap();
    let progress = &journal.ledger().open[&FlowNo(1)].1;
    assert_eq!((progress.attempts, &progress.out, &progress.risk), (2, &None, &Some(at(1))));
    fs::remove_dir_all(folder).unwrap();
}

#[test]
fn what_was_seen_of_endpoints_is_kept_through_rewrites_until_it_changes() {
    let folder = folder("seen");
    let mut journal = Journal::open(&folder, 1 << 20, Durability::Process).unwrap();
    let told = [("a".to_string(), 4.0), ("b".to_string(), 2.5)].into();
    let ill = ["a".to_string()].into();
    journal.write(&journal.ledger.sights(&ill, &told)).unwrap();
    assert!(journal.ledger.sights(&ill, &told).is_empty(), "nothing has changed");
    for no in 1..2000 {
        journal.write(&[taken(no, 900), Record::Ended(FlowNo(no), None)]).unwrap();
    }
    assert!(journal.length < 200_000, "it was rewritten");
    let mut journal = Journal::open(&folder, 1 << 20, Durability::Process).unwrap();
    assert_eq!((&journal.ledger.limits, &journal.ledger.ill), (&told, &ill));
    // One is lowered, and the other tells none any more.
    let lowered = [("b".to_string(), 1.0)].into();
    let records = journal.ledger.sights(&ill, &lowered);
    assert_eq!(records, [Record::Limit("b".into(), 1.0), Record::Limit("a".into(), 0.0)]);
    journal.write(&records).unwrap();
    let journal = Journal::open(&folder, 1 << 20, Durability::Process).unwrap();
    assert_eq!(journal.ledger.limits, lowered);
    fs::remove_dir_all(folder).unwrap();
}

/// A record of a limit that is no number is no record: nothing is read from there on, as of any other damage.
#[test]
fn a_limit_that_is_no_number_is_no_record() {
    for rate in [f64::NAN, f64::INFINITY, -1.0] {
        let mut bytes = Vec::new();
        encode(&Record::Limit("a".into(), rate), &mut bytes);
        assert!(decode(&bytes).is_none(), "{rate}");
    }
}
