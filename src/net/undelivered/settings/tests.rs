//! Tests of the settings of undelivered messages.

use super::*;
use crate::net::operator::OperatorFile;

fn check(text: &str) -> Result<UndeliveredSettings, String> {
    let file = OperatorFile::parse(text).map_err(|e| e.to_string())?;
    let table = file.undelivered.unwrap();
    table.check(Path::new("/var/lib/onyxstile"), 64_000_000).map_err(|e| e.to_string())
}

#[test]
fn the_example_works_and_what_is_wrong_is_said() {
    let example = include_str!("../../../../deploy/undelivered.example.toml");
    let settings = check(example).unwrap();
    let rank = |class| settings.rules.of(class, 7).map(|r| r.rank);
    assert_eq!((rank("orders"), rank("notices"), rank("pings")), (Some(2), Some(1), None));
    assert_eq!((settings.rules.bytes, settings.rules.customer_bytes), (4_000_000, 2_000_000));
    for (from, to, what) in [
        ("disk_mb = 16", "disk_mb = 40", "over half"),
        ("disk_mb = 16", "disk_mb = 0.1", "`disk_mb`"),
        ("keep_h = 72", "keep_h = 0", "`keep_h`"),
        ("from = \"23:30\"", "from = \"24:30\"", "`from`"),
        ("when = \"daily\"", "when = \"well\"", "`from` and `to`"),
        ("per_s = 2", "per_s = 0", "`per_s`"),
        ("well_s = 10", "well_s = -1", "`well_s`"),
        ("at_once = 4", "at_once = 0", "`at_once`"),
        ("rank = 2", "ranks = 2", "unknown field"),
    ] {
        let error = check(&example.replacen(from, to, 1)).unwrap_err();
        assert!(example.contains(from) && error.contains(what), "{to}: {error}");
    }
}
