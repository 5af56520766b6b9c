#![allow(dead_code)]
use onyxstile_trace::events::Event;
use onyxstile_trace::events::event::What;
use onyxstile_trace::format::Codec;
use onyxstile_trace::reader::{Reader, Trouble};
use onyxstile_trace::sample::{Wanted, sample};
use onyxstile_trace::{FileHeader, Options, Writer};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::io::Cursor;
use std::path::PathBuf;

/// A sample's bytes.
pub fn made(seed: u64, flows: u64, block: usize, codec: Codec) -> Vec<u8> {
    sample(&Wanted::of(seed, flows), Vec::new(), Options { block, codec }).unwrap()
}

/// A file of these events, each a millisecond after the one before.
pub fn file(header: &FileHeader, events: &[What]) -> Vec<u8> {
    let mut writer = Writer::new(Vec::new(), header, Options::default()).unwrap();
    for (n, what) in events.iter().enumerate() {
        writer.push(&Event { at_us: n as u64 * 1000, source: 0, what: Some(what.clone()) }).unwrap();
    }
    writer.finish().unwrap()
}

pub fn open(bytes: &[u8]) -> Reader<Cursor<&[u8]>> {
    Reader::open(Cursor::new(bytes)).unwrap()
}

/// All events that can be read, encoded, with their numbers, and what was found wrong.
pub fn read(bytes: &[u8]) -> (Vec<(u64, Vec<u8>)>, Vec<Trouble>) {
    let mut reader = open(bytes);
    let mut events = Vec::new();
    while let Some(block) = reader.next_block().unwrap() {
        events.extend(block.encoded().map(|(n, e)| (n, e.to_vec())));
    }
    (events, reader.troubles().to_vec())
}

/// Where blocks of events begin, and how long they are with their heads.
pub fn blocks(bytes: &[u8]) -> Vec<(usize, usize)> {
    let mut reader = open(bytes);
    let mut found = Vec::new();
    while let Some(block) = reader.next_block().unwrap() {
        found.push((block.offset as usize, 44 + block.head.stored as usize));
    }
    found
}

/// A seeded source; the seed is printed, and may be given as `SEED`.
pub fn rng() -> Pcg64Mcg {
    let given = std::env::var("SEED").ok().and_then(|s| s.parse().ok());
    let seed = given.unwrap_or_else(|| u64::from(std::process::id()) << 20 | 0x5eed);
    println!("SEED={seed}");
    Pcg64Mcg::seed_from_u64(seed)
}

pub fn below(rng: &mut Pcg64Mcg, n: usize) -> usize {
    (rng.next_u64() % n.max(1) as u64) as usize
}

/// A folder of its own, gone with its owner.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("onyxstile-trace-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    pub fn write(&self, name: &str, bytes: &[u8]) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, bytes).unwrap();
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
