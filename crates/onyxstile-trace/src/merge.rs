//! Merging: pieces of one file back into it, and files of several relays into one, by time.

use crate::Error;
use crate::events::{Event, FileHeader, Source};
use crate::input::Progress;
use crate::reader::{Block, Reader, Trouble};
use crate::text::time;
use crate::writer::{Options, Writer};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, VecDeque};
use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};

/// What a merge came to.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Done {
    /// Events written.
    pub events: u64,
    /// What was missing, doubled or spoilt, with its times.
    pub said: Vec<String>,
}

/// Things said that are kept.
const SAID_MAX: usize = 1000;

impl Done {
    fn say(&mut self, line: String) {
        if self.said.len() < SAID_MAX {
            self.said.push(line);
        }
    }
}

struct Input {
    path: PathBuf,
    header: FileHeader,
}

fn open(path: &Path) -> Result<Reader<File>, Error> {
    let named = |e: Error| Error::Asked(format!("{}: {e}", path.display()));
    let file = File::open(path).map_err(|e| named(e.into()))?;
    Reader::open(file).map_err(named)
}

/// Goes through files that follow one another, without what they have twice. Only one is open at a time.
struct Chain {
    rest: VecDeque<Input>,
    reader: Option<(Reader<File>, FileHeader)>,
    /// The file of the last block, and the number that its next event should have.
    after: Option<(Vec<u8>, u64)>,
    /// Wall time of the last event.
    last: u64,
    bytes: u64,
}

impl Chain {
    fn new(mut inputs: Vec<Input>) -> Chain {
        let from = |i: &Input| i.header.piece.as_ref().map_or((0, u64::MAX), |p| (p.from, p.to));
        inputs.sort_by_key(|i| (i.header.sequence, i.header.start_us, from(i)));
        Chain { rest: inputs.into(), reader: None, after: None, last: 0, bytes: 0 }
    }

    /// The next block, how many of its events came before, and the header of its file.
    fn next(&mut self, done: &mut Done) -> Result<Option<(Block, usize, FileHeader)>, Error> {
        loop {
            if self.reader.is_none() {
                let Some(input) = self.rest.pop_front() else { return Ok(None) };
                self.reader = Some((open(&input.path)?, input.header));
            }
            let Some((reader, header)) = &mut self.reader else { return Ok(None) };
            let Some(block) = reader.next_block()? else {
                // Pieces are told of by their numbers, below.
                let own = |t: &&Trouble| !matches!(t, Trouble::Gap(..));
                reader.troubles().iter().filter(own).for_each(|t| done.say(format!("{}: {t}", header.relay)));
                self.reader = None;
                continue;
            };
            self.bytes += u64::from(block.head.stored);
            let header = header.clone();
            let (first, end) = (block.head.first, block.head.first + u64::from(block.head.events));
            let same = self.after.as_ref().is_some_and(|(id, _)| *id == header.file_id);
            let expected = match &self.after {
                Some((_, next)) if same => *next,
                _ => 0,
            };
            let at =
                |n: u64| block.events().find(|(m, _)| *m >= n).map_or(0, |(_, e)| header.start_us + e.at_us);
            if first > expected {
                let since = if same { time(self.last) } else { time(header.start_us) };
                let line = format!(
                    "{}: events {expected} to {first} are missing, from {since} to {}",
                    header.relay,
                    time(at(first))
                );
                done.say(line);
            }
            if first < expected {
                let line = format!(
                    "{}: events {first} to {} are there twice, from {}",
                    header.relay,
                    end.min(expected),
                    time(at(first))
                );
                done.say(line);
            }
            let skip = expected.saturating_sub(first).min(u64::from(block.head.events)) as usize;
            self.after = Some((header.file_id.clone(), end.max(expected)));
            if let Some((_, last)) = block.events().last() {
                self.last = header.start_us + last.at_us;
            }
            if skip < block.head.events as usize {
                return Ok(Some((block, skip, header)));
            }
        }
    }
}

/// Merges files. Pieces of one file give that file, byte for byte if all are there. Files of several processes or
/// relays give one in the order of time; `shifts` (microseconds, by relay) are added to their times.
///
/// # Errors
/// A file that cannot be read, or the one that is written.
pub fn merge<W: Write>(
    paths: &[PathBuf], shifts: &BTreeMap<String, i64>, out: W, progress: Progress<'_>,
) -> Result<Done, Error> {
    let mut inputs = Vec::new();
    let mut length = 0;
    for path in paths {
        let reader = open(path)?;
        length += reader.progress().0;
        inputs.push(Input { path: path.clone(), header: reader.header().clone() });
    }
    let first = inputs.first().ok_or_else(|| Error::Asked("no file to merge".into()))?;
    if inputs.iter().all(|i| i.header.file_id == first.header.file_id) {
        join(inputs, out, &mut |at| progress(length, at))
    } else {
        by_time(inputs, shifts, out, &mut |at| progress(length, at))
    }
}

/// Joins the pieces of one file.
fn join<W: Write>(inputs: Vec<Input>, out: W, progress: &mut dyn FnMut(u64)) -> Result<Done, Error> {
    let mut header = inputs[0].header.clone();
    let pieces = inputs.iter().filter_map(|i| i.header.piece.as_ref());
    let begin = pieces.clone().map(|p| p.from).min().unwrap_or(0);
    let end = pieces.clone().map(|p| p.to).max().unwrap_or(0);
    let of = pieces.map(|p| p.of).max().unwrap_or(0);
    let mut done = Done::default();
    if let Some(piece) = &mut header.piece {
        (piece.from, piece.to, piece.of) = (begin, end, of);
    }
    if (begin, end) == (0, of) || inputs.iter().any(|i| i.header.piece.is_none()) {
        header.piece = None;
    } else if end < of {
        done.say(format!("{}: events {end} to {of}, its last, are missing", header.relay));
    }
    let mut writer = Writer::new(out, &header, Options::default())?;
    let mut chain = Chain::new(inputs);
    let mut base = None;
    while let Some((block, skip, _)) = chain.next(&mut done)? {
        let its = (block.head.first - u64::from(block.head.part.0).min(block.head.first), block.head.part.1);
        for (n, encoded, event) in block.both().skip(skip) {
            // What follows the part before it goes into the same block again.
            if base != Some((its, n)) {
                writer.begin_part(n, ((n - its.0) as u32, its.1), block.codec)?;
            }
            writer.push_encoded(encoded, &event)?;
            base = Some((its, n + 1));
            done.events += 1;
        }
        progress(chain.bytes);
    }
    writer.finish()?;
    Ok(done)
}

/// A chain's events, one after the other, with their wall times.
struct Stream {
    chain: Chain,
    shift: i64,
    /// Its sources' places in the merged file.
    sources: Vec<u32>,
    ready: VecDeque<(u64, Event)>,
}

impl Stream {
    fn fill(&mut self, done: &mut Done) -> Result<(), Error> {
        if self.ready.is_empty()
            && let Some((block, skip, header)) = self.chain.next(done)?
        {
            for (_, mut event) in block.events().skip(skip) {
                let at = header.start_us.saturating_add(event.at_us).saturating_add_signed(self.shift);
                event.source = self.sources.get(event.source as usize).copied().unwrap_or(self.sources[0]);
                self.ready.push_back((at, event));
            }
        }
        Ok(())
    }
}

fn sources_of(header: &FileHeader, shift: i64) -> Vec<Source> {
    if header.sources.is_empty() {
        let (relay, process_start_us) = (header.relay.clone(), header.process_start_us);
        return vec![Source { relay, process_start_us, file_id: header.file_id.clone(), shift_us: shift }];
    }
    header.sources.iter().cloned().map(|s| Source { shift_us: s.shift_us + shift, ..s }).collect()
}

/// Merges files of several processes by time.
fn by_time<W: Write>(
    inputs: Vec<Input>, shifts: &BTreeMap<String, i64>, out: W, progress: &mut dyn FnMut(u64),
) -> Result<Done, Error> {
    let shift = |h: &FileHeader| shifts.get(&h.relay).copied().unwrap_or(0);
    let start =
        inputs.iter().map(|i| i.header.start_us.saturating_add_signed(shift(&i.header))).min().unwrap_or(0);
    let mut header = FileHeader { start_us: start, ..inputs[0].header.clone() };
    (header.piece, header.sequence) = (None, 0);
    let mut id = Sha256::new();
    // Files of one process follow one another; merged files are each for themselves.
    let mut groups: BTreeMap<(String, u64, Vec<u8>), Vec<Input>> = BTreeMap::new();
    for input in inputs {
        id.update(&input.header.file_id);
        let h = &input.header;
        header.anonymised &= h.anonymised;
        header.sampled = header.sampled.min(h.sampled);
        if h.relay != header.relay {
            header.relay = "merged".into();
        }
        for class in &h.classes {
            if !header.classes.iter().any(|c| c.name == class.name) {
                header.classes.push(class.clone());
            }
        }
        let own = if h.sources.is_empty() { vec![] } else { h.file_id.clone() };
        groups.entry((h.relay.clone(), h.process_start_us, own)).or_default().push(input);
    }
    header.file_id = id.finalize()[..16].to_vec();
    header.sources.clear();
    let mut streams = Vec::new();
    for inputs in groups.into_values() {
        let first = &inputs[0].header;
        let shift = shift(first);
        let place = header.sources.len() as u32;
        let of_group = sources_of(first, shift);
        let sources = (0..of_group.len() as u32).map(|n| place + n).collect();
        header.sources.extend(of_group);
        streams.push(Stream { chain: Chain::new(inputs), shift, sources, ready: VecDeque::new() });
    }
    let mut writer = Writer::new(out, &header, Options::default())?;
    let mut done = Done::default();
    let mut last = 0;
    loop {
        let mut next: Option<(u64, usize)> = None;
        for (n, stream) in streams.iter_mut().enumerate() {
            stream.fill(&mut done)?;
            let at = stream.ready.front().map(|(at, _)| *at);
            if let Some(at) = at.filter(|at| next.is_none_or(|(t, _)| *at < t)) {
                next = Some((at, n));
            }
        }
        let Some((_, n)) = next else { break };
        if let Some((at, mut event)) = streams[n].ready.pop_front() {
            // Within a process the order stands, whatever its clock did.
            last = at.max(last);
            event.at_us = last - start;
            writer.push(&event)?;
            done.events += 1;
        }
        if done.events.is_multiple_of(4096) {
            progress(streams.iter().map(|s| s.chain.bytes).sum());
        }
    }
    writer.finish()?;
    Ok(done)
}
