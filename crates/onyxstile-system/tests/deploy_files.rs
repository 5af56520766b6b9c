//! The deploy files list the packages for a clean build on a machine that has only the Rust toolchain.

use std::path::Path;

/// Guards against empty package lists in both deploy files: a machine without a C compiler and the start files of the C
/// library cannot link.
#[test]
fn deploy_files_list_the_packages_for_a_clean_build() {
    for file in ["system.toml", "balancer.toml"] {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy").join(file);
        let text = std::fs::read_to_string(&path).expect("the deploy file");
        let table: toml::Table = text.parse().expect("TOML");
        let packages = table["packages"].as_array().expect("a list");
        let names: Vec<&str> = packages.iter().filter_map(toml::Value::as_str).collect();
        for needed in ["gcc", "libc6-dev"] {
            assert!(names.contains(&needed), "{file} lists {names:?}");
        }
    }
}
