//! Broken configurations: the samples, changed at random places. Whatever comes of them, it is an answer, never a
//! panic, and a table that was carried over can be built. `FUZZ_SEED` and `FUZZ_RUNS` set seed and count.
#![allow(missing_docs)]

use onyxstile_nginx::parse::{Source, parse};
use onyxstile_nginx::{import, write};
use onyxstile_routing::Table;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::io;
use std::path::Path;

struct One(Vec<u8>);

impl Source for One {
    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        let main = path == Path::new("d/a.conf");
        main.then(|| self.0.clone()).ok_or(io::Error::from(io::ErrorKind::NotFound))
    }
    fn list(&self, _: &Path) -> io::Result<Vec<String>> {
        Ok(vec!["a.conf".into()])
    }
}

const PIECES: &[&str] = &[
    "{",
    "}",
    ";",
    "\"",
    "'",
    "\\",
    "$",
    "${",
    "#",
    "\n",
    "include *;",
    "include a.conf;",
    "server",
    "location ~ (",
    "proxy_pass http://",
    "weight=0",
    "weight=99999999999",
    "zone=a:99999999999g",
    "rate=0r/s",
    "*",
    "~",
    "=",
    "/..",
    "upstream a {",
    "default",
    "hash $;",
    "geo $a {",
    "map $a $a {",
    "content_by_lua_block {",
    "[[",
    "\u{feff}",
    "\0",
];

#[test]
fn no_text_makes_the_importer_panic() {
    let number = |name: &str, otherwise: u64| {
        std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(otherwise)
    };
    let (seed, runs) = (number("FUZZ_SEED", 20_261_201), number("FUZZ_RUNS", 4000));
    println!("seed {seed}, {runs} runs");
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("samples");
    let mut corpus: Vec<_> = std::fs::read_dir(folder).unwrap().map(|e| e.unwrap().path()).collect();
    corpus.sort();
    let corpus: Vec<_> = corpus.iter().filter_map(|p| std::fs::read(p).ok()).collect();
    let mut random = Pcg32::seed_from_u64(seed);
    let (mut read, mut built) = (0, 0);
    for run in 0..runs {
        let mut below = |n: usize| (random.next_u64() % n.max(1) as u64) as usize;
        let mut text = corpus[below(corpus.len())].clone();
        for _ in 0..1 + below(6) {
            let at = below(text.len() + 1);
            match below(4) {
                0 => text.truncate(at),
                1 => drop(text.splice(at..at, PIECES[below(PIECES.len())].bytes())),
                2 => {
                    let end = (at + below(40)).min(text.len());
                    drop(text.splice(at..end, []));
                }
                _ => {
                    if let Some(byte) = text.get_mut(at) {
                        *byte = below(256) as u8;
                    }
                }
            }
        }
        let shown = String::from_utf8_lossy(&text).into_owned();
        let Ok(parsed) = parse(&One(text), Path::new("d/a.conf")) else { continue };
        read += 1;
        let imported = import(&parsed);
        let a = imported.account;
        let sum = a.no_concern + a.carried + a.with_difference + a.not_carried;
        assert_eq!(a.directives, sum, "seed {seed}, run {run}: {shown}");
        assert!(write::write(&imported, "a.conf").contains("[settings]"));
        Table::build(&imported.routing).unwrap_or_else(|e| panic!("seed {seed}, run {run}: {e}\n{shown}"));
        built += 1;
    }
    assert!(
        read > runs / 20 && built == read,
        "{read} read, {built} built of {runs}: the changes are too rough"
    );
}
