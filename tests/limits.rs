//! Size limits of the decision module, which is to be ported by hand.
#![allow(missing_docs)]

use std::collections::BTreeSet;
use std::path::Path;

/// The files of the module as listed in deploy/balancer.toml.
fn policy() -> Vec<String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).unwrap();
    let deploy: toml::Table = deploy.parse().unwrap();
    deploy["policy"].as_array().unwrap().iter().map(|f| f.as_str().unwrap().to_string()).collect()
}

#[test]
fn the_module_keeps_its_line_limits() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let texts: Vec<String> =
        policy().iter().map(|file| std::fs::read_to_string(root.join(file)).unwrap()).collect();
    let lines = texts.iter().flat_map(|t| t.lines()).filter(|l| !l.trim().is_empty()).count();
    assert!((900..=1010).contains(&lines), "{lines} non-blank lines");
    let long = |l: &&str| l.chars().count() > 110;
    let long: Vec<_> = texts.iter().flat_map(|t| t.lines()).filter(long).collect();
    assert!(long.is_empty(), "over 110 characters: {long:?}");
    assert!(texts.iter().all(|t| t.lines().count() <= 250), "a file of over 250 lines");
    assert!(texts[0].lines().take(5).any(|l| l.contains("src/api.rs")), "the top names the interface file");
}

/// Every file of the module is listed, except its tests and its read-only views.
#[test]
fn the_deploy_file_names_all_of_the_module() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let parts = std::fs::read_dir(root.join("src/control")).unwrap();
    let parts = parts.map(|f| format!("src/control/{}", f.unwrap().file_name().display()));
    let apart = ["src/control/tests.rs", "src/control/view.rs"];
    let all: BTreeSet<String> = parts.filter(|f| !apart.contains(&f.as_str())).collect();
    let named: BTreeSet<String> = policy().into_iter().filter(|f| f != "src/control.rs").collect();
    assert_eq!(named, all);
}
