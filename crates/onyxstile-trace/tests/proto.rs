//! The types in src/events.rs are what trace.proto says. `PROTO_WRITE=1 cargo test -p onyxstile-trace --test proto`
//! writes them anew after a change.
#![allow(missing_docs)]

use std::path::Path;

#[test]
fn the_types_are_those_of_the_description() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let described = protox::compile(["trace.proto"], [root.join("proto")]).expect("trace.proto is sound");
    let folder = std::env::temp_dir().join(format!("onyxstile-proto-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let mut config = prost_build::Config::new();
    config.out_dir(&folder).compile_fds(described).unwrap();
    let made = std::fs::read_to_string(folder.join("onyxstile.trace.v1.rs")).unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    let kept = root.join("src/events.rs");
    if std::env::var_os("PROTO_WRITE").is_some() {
        std::fs::write(&kept, &made).unwrap();
    }
    assert!(std::fs::read_to_string(kept).unwrap() == made, "src/events.rs is not what trace.proto says");
}
