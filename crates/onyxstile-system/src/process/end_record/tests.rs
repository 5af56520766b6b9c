//! Tests of the record of a process's end.

use super::*;

fn record(folder: &Path, own: &str) -> EndRecord {
    EndRecord { path: folder.join("last-end-storage"), own: format!("{RUNNING} {own}") }
}

#[test]
fn an_incarnation_sees_how_the_one_before_it_ended() {
    let folder = std::env::temp_dir().join(format!("onyxstile-end-record-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    // No process has an id of this size.
    let (first, second, third) =
        (record(&folder, "900000001"), record(&folder, "900000002"), record(&folder, "900000003"));
    assert_eq!(first.begin(), PreviousEnd::Unknown);
    first.end("SIGTERM");
    assert_eq!(second.begin(), PreviousEnd::Recorded("SIGTERM".into()));
    assert_eq!(third.begin(), PreviousEnd::Unrecorded);
    second.end("too late: the successor runs");
    assert_eq!(record(&folder, "900000004").begin(), PreviousEnd::Unrecorded);
    std::fs::remove_dir_all(&folder).expect("is removed");
}

#[test]
fn a_process_that_runs_is_told_from_one_that_was_killed() {
    assert_eq!(PreviousEnd::parse("running 1"), PreviousEnd::StillRunning);
    assert_eq!(PreviousEnd::parse("running 900000001"), PreviousEnd::Unrecorded);
    assert_eq!(PreviousEnd::parse(&format!("running {}", std::process::id())), PreviousEnd::Unrecorded);
}
