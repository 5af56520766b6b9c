//! The size of the decision module: it is to be ported by hand.
#![allow(missing_docs)]

#[test]
fn the_module_keeps_its_line_limits() {
    let text = include_str!("../src/control.rs");
    let lines = text.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(lines <= 1010, "{lines} lines that are not blank");
    let long: Vec<_> = text.lines().filter(|l| l.chars().count() > 110).collect();
    assert!(long.is_empty(), "over 110 characters: {long:?}");
    assert!(text.lines().take(5).any(|l| l.contains("src/api.rs")), "the top names the interface file");
}
