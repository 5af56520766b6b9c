//! Files that were cut off, cut into pieces and merged, or spoilt.
#![allow(missing_docs)]

mod common;

use common::*;
use onyxstile_trace::format::{self, Codec};
use onyxstile_trace::input::{Selection, each};
use onyxstile_trace::merge::merge;
use onyxstile_trace::reader::{Reader, Trouble};
use onyxstile_trace::{Error, cut};
use std::collections::BTreeMap;
use std::io::{Cursor, Read};

/// Whole events in the beginning of a block, found by other means than the reader's.
fn whole(stored: &[u8], codec: Codec) -> usize {
    let mut raw = Vec::new();
    match codec {
        Codec::None => raw.extend(stored),
        Codec::Lz4 => {
            // What a cut leaves, by the crate: the longest beginning of the content that it can give with the block's
            // end made up is not to be had, so the format is read a second time, plainly.
            raw = plain_lz4(stored);
        }
        Codec::Deflate => {
            let mut from = flate2::read::DeflateDecoder::new(stored);
            let mut byte = [0];
            while matches!(from.read(&mut byte), Ok(1)) {
                raw.push(byte[0]);
            }
        }
    }
    let (mut at, mut count) = (0, 0);
    while at < raw.len() {
        let (mut length, mut shift) = (0usize, 0);
        loop {
            let Some(byte) = raw.get(at) else { return count };
            (at, length, shift) = (at + 1, length | usize::from(byte & 0x7f) << shift, shift + 7);
            if byte & 0x80 == 0 {
                break;
            }
        }
        at += 2 + length;
        count += usize::from(at <= raw.len());
    }
    count
}

/// LZ4 by its description, for tests: panics where it is not well-formed, stops where it ends.
fn plain_lz4(stored: &[u8]) -> Vec<u8> {
    let (mut raw, mut at) = (Vec::new(), 0);
    let length = |nibble: u8, at: &mut usize| {
        let mut sum = usize::from(nibble);
        if nibble == 15 {
            loop {
                let more = *stored.get(*at)?;
                *at += 1;
                sum += usize::from(more);
                if more < 255 {
                    break;
                }
            }
        }
        Some(sum)
    };
    while let Some(&token) = stored.get(at) {
        at += 1;
        let Some(literals) = length(token >> 4, &mut at) else { break };
        let end = (at + literals).min(stored.len());
        raw.extend(&stored[at..end]);
        at += literals;
        let Some(offset) = stored.get(at..at + 2) else { break };
        let back = usize::from(offset[0]) | usize::from(offset[1]) << 8;
        at += 2;
        let Some(repeat) = length(token & 15, &mut at) else { break };
        for _ in 0..repeat + 4 {
            raw.push(raw[raw.len() - back]);
        }
    }
    raw
}

/// Every byte at which a file may be cut off. Blocks before the one that is cut are read alike whatever follows
/// them, so each cut is made in a file of one block; and some in the whole file.
#[test]
fn a_file_cut_at_any_byte_gives_the_whole_events_before_it() {
    for codec in [Codec::None, Codec::Deflate, Codec::Lz4] {
        let flows = if codec == Codec::None { 700 } else { 3400 };
        let bytes = made(7, flows, 1024, codec);
        assert!(bytes.len() > 200 * 1024, "{}", bytes.len());
        let (all, troubles) = read(&bytes);
        assert!(troubles.is_empty(), "{troubles:?}");
        let blocks = blocks(&bytes);
        assert!(blocks.len() > 20);
        let begin = blocks[0].0;
        let mut before = 0;
        for (offset, length) in &blocks {
            let block = &bytes[*offset..offset + length];
            let alone = [&bytes[..begin], block].concat();
            let mut most = 0;
            for cut in 0..=*length {
                let (events, troubles) = read(&alone[..begin + cut]);
                let expected = if cut < 44 { 0 } else { whole(&block[44..cut], codec) };
                assert_eq!(events.len(), expected, "{codec:?}: cut at {cut} of the block at {offset}");
                assert!(events.iter().eq(all[before..].iter().take(events.len())));
                assert!(!troubles.is_empty() && events.len() >= most);
                most = events.len();
            }
            before += most;
        }
        assert_eq!(before, all.len());
        for cut in (begin..bytes.len()).step_by(4999).chain(bytes.len() - 100..bytes.len()) {
            let (events, troubles) = read(&bytes[..cut]);
            assert!(events.iter().eq(all.iter().take(events.len())) && !troubles.is_empty(), "cut at {cut}");
        }
        // Within the header it is no file yet.
        for cut in 0..begin {
            assert!(Reader::open(Cursor::new(&bytes[..cut])).is_err());
        }
    }
}

#[test]
fn pieces_merge_into_the_file_byte_for_byte() {
    let (folder, mut rng) = (Folder::new("pieces"), rng());
    for round in 0..12 {
        let codec = [Codec::None, Codec::Deflate, Codec::Lz4][round as usize % 3];
        let bytes = made(round, 600, 8192, codec);
        let count = open(&bytes).counted().unwrap().unwrap();
        let mut at: Vec<u64> =
            (0..1 + below(&mut rng, 49)).map(|_| below(&mut rng, count as usize) as u64).collect();
        at.extend([0, count]);
        at.sort();
        at.dedup();
        let mut paths = Vec::new();
        for (n, part) in at.windows(2).enumerate() {
            let mut piece = Vec::new();
            cut::range(&mut open(&bytes), (part[0], part[1]), &mut piece, &mut |_, _| {}).unwrap();
            // Some are cut again.
            let middle = (part[0] + part[1]) / 2;
            if n % 4 == 1 && middle > part[0] {
                for (from, to) in [(part[0], middle), (middle, part[1])] {
                    let mut smaller = Vec::new();
                    cut::range(&mut open(&piece), (from, to), &mut smaller, &mut |_, _| {}).unwrap();
                    paths.push(folder.write(&format!("{round}-{n}-{from}"), &smaller));
                }
            } else {
                paths.push(folder.write(&format!("{round}-{n}"), &piece));
            }
        }
        // In any order.
        for n in (1..paths.len()).rev() {
            paths.swap(n, below(&mut rng, n + 1));
        }
        let mut merged = Vec::new();
        let done = merge(&paths, &BTreeMap::new(), &mut merged, &mut |_, _| {}).unwrap();
        assert!(done.said.is_empty(), "{:?}", done.said);
        assert!(merged == bytes, "round {round}, {} pieces", paths.len());
    }
}

#[test]
fn what_is_missing_or_doubled_in_a_merge_is_said_with_its_times() {
    let folder = Folder::new("gaps");
    let bytes = made(3, 500, 8192, Codec::Deflate);
    let count = open(&bytes).counted().unwrap().unwrap();
    let piece = |from, to| {
        let mut piece = Vec::new();
        cut::range(&mut open(&bytes), (from, to), &mut piece, &mut |_, _| {}).unwrap();
        folder.write(&format!("{from}-{to}"), &piece)
    };
    let merged = |paths: &[_]| {
        let mut merged = Vec::new();
        let done = merge(paths, &BTreeMap::new(), &mut merged, &mut |_, _| {}).unwrap();
        (merged, done.said)
    };
    // Twice: written once.
    let (whole, said) = merged(&[piece(0, 1000), piece(700, count)]);
    assert!(whole == bytes);
    assert!(said.iter().any(|s| s.contains("there twice, from 2026-07-14T14:00:")), "{said:?}");
    // A part is missing: the rest keeps its numbers.
    let (rest, said) = merged(&[piece(0, 400), piece(600, count)]);
    let line = said.iter().find(|s| s.contains("events 400 to 600 are missing, from 2026-07-14T14:00:"));
    assert!(line.is_some(), "{said:?}");
    let (events, troubles) = read(&rest);
    assert_eq!(events.len() as u64, count - 200);
    assert!(events.iter().all(|(n, _)| *n < 400 || *n >= 600) && troubles.contains(&Trouble::Gap(600, 200)));
    let (_, said) = merged(&[piece(0, 400)]);
    assert!(said.iter().any(|s| s.contains("its last, are missing")), "{said:?}");
    let (_, said) = merged(&[piece(400, count)]);
    assert!(said.iter().any(|s| s.contains("events 0 to 400 are missing")), "{said:?}");
}

#[test]
fn a_spoilt_block_is_passed_over_and_said_and_repair_writes_the_rest_with_an_index() {
    let bytes = made(5, 1500, 4096, Codec::Deflate);
    let (all, blocks) = (read(&bytes).0, blocks(&bytes));
    let (offset, length) = blocks[blocks.len() / 2];
    // In its content; in its head, so that even its length is unknown.
    for at in [offset + 44 + 10, offset + 9] {
        let mut spoilt = bytes.clone();
        spoilt[at] ^= 0x40;
        let (events, troubles) = read(&spoilt);
        assert!(events.iter().all(|e| all[e.0 as usize] == *e), "what is read is as it was");
        let lost = all.len() - events.len();
        assert!(lost > 10 && lost < 400, "{lost}");
        match at - offset {
            9 => assert!(troubles.contains(&Trouble::Spoilt(offset as u64, length as u64)), "{troubles:?}"),
            _ => assert!(
                matches!(troubles[0], Trouble::LostBlock(o, _, n) if o == offset as u64 && n as usize == lost)
            ),
        }
        let mut repaired = Vec::new();
        cut::repair(&mut open(&spoilt), &mut repaired, &mut |_, _| {}).unwrap();
        let (again, troubles) = read(&repaired);
        assert_eq!(again, events);
        assert!(matches!(troubles[..], [Trouble::Gap(_, n)] if n as usize == lost), "{troubles:?}");
        assert!(open(&repaired).index(true).unwrap().is_some());
    }
    // A file that was cut off, and one that is whole.
    let mut repaired = Vec::new();
    cut::repair(&mut open(&bytes[..offset + 100]), &mut repaired, &mut |_, _| {}).unwrap();
    assert!(open(&repaired).index(true).unwrap().is_some() && read(&repaired).1.is_empty());
    let mut same = Vec::new();
    cut::repair(&mut open(&bytes), &mut same, &mut |_, _| {}).unwrap();
    assert!(same == bytes);
}

#[test]
fn another_major_version_is_a_clear_error_and_a_newer_minor_one_is_read() {
    let bytes = made(1, 50, 4096, Codec::None);
    let mut major = bytes.clone();
    major[8] = 2;
    let error = Reader::open(Cursor::new(&major[..])).unwrap_err();
    assert!(matches!(error, Error::Version(2, 1)));
    assert_eq!(error.to_string(), "its format is of version 2; this program reads versions up to 1");
    let mut newer = bytes.clone();
    newer[10] = 9;
    // A block of a kind that nobody knows yet, in the middle.
    let (offset, _) = blocks(&bytes)[1];
    let content = b"something new";
    let head = format::BlockHead {
        kind: format::Kind::Other(77),
        codec: 9,
        stored: content.len() as u32,
        raw: 5,
        events: 0,
        first: 0,
        part: (0, 0),
        checksum: 1,
    };
    newer.splice(offset..offset, [&head.write()[..], content].concat());
    let (events, troubles) = read(&newer);
    assert!(events == read(&bytes).0 && troubles.is_empty(), "{troubles:?}");
    assert!(matches!(Reader::open(Cursor::new(b"not a trace at all")), Err(Error::NoTrace)));
}

#[test]
fn an_index_saves_reading_and_one_that_lies_is_said_and_done_without() {
    let bytes = made(9, 6000, 8192, Codec::Deflate);
    let header = open(&bytes).header().clone();
    let wanted = Selection {
        from: Some(header.start_us + 5_000_000),
        to: Some(header.start_us + 6_000_000),
        ..Selection::default()
    };
    let count = |bytes: &[u8]| {
        let (mut reader, mut seen) = (open(bytes), Vec::new());
        each(&mut reader, &wanted, &mut |_, _| {}, &mut |n, _, _| {
            seen.push(n);
            Ok(())
        })
        .unwrap();
        (seen, reader.bytes_read(), reader.troubles().to_vec())
    };
    let (seen, read_bytes, troubles) = count(&bytes);
    assert!(seen.len() > 300 && troubles.is_empty());
    assert!(read_bytes < bytes.len() as u64 / 4, "{read_bytes} of {}", bytes.len());
    // Without the index all of it is read, to the same end.
    let cut = &bytes[..bytes.len() - 1];
    let (same, read_bytes, _) = count(cut);
    assert!(same == seen && read_bytes > bytes.len() as u64 * 9 / 10);
    // Its places moved: into the middle of blocks, and past the end.
    let trailer = format::Trailer::read(bytes[bytes.len() - 32..].try_into().unwrap()).unwrap();
    for shift in [3u64, 1 << 40] {
        let times = trailer.times as usize;
        let head = format::BlockHead::read(bytes[times..times + 44].try_into().unwrap()).unwrap();
        let section = &bytes[times + 44..times + 44 + head.stored as usize];
        let mut index = <onyxstile_trace::events::TimeIndex as prost::Message>::decode(section).unwrap();
        index.offset_step[0] += shift;
        let section = prost::Message::encode_to_vec(&index);
        let length = section.len() as u32;
        let head =
            format::BlockHead { stored: length, raw: length, checksum: crc32fast::hash(&section), ..head };
        let names = (trailer.names as usize)..bytes.len() - 32;
        let mut lies = bytes[..times].to_vec();
        lies.extend(head.write());
        lies.extend(section);
        let moved = format::Trailer { names: lies.len() as u64, ..trailer };
        lies.extend(&bytes[names]);
        lies.extend(moved.write());
        let (same, _, troubles) = count(&lies);
        assert!(same == seen, "{} and {}", same.len(), seen.len());
        assert!(matches!(troubles[0], Trouble::WrongIndex(_)), "{troubles:?}");
    }
}

/// Files that were changed at random: read without a panic, within bounds of memory and time.
#[test]
fn hostile_files_cost_an_error() {
    let mut rng = rng();
    let runs: usize = std::env::var("FUZZ_RUNS").ok().and_then(|n| n.parse().ok()).unwrap_or(3000);
    let corpus =
        [made(1, 40, 2048, Codec::Deflate), made(2, 40, 2048, Codec::None), made(3, 3, 1024, Codec::Deflate)];
    let mut kept = 0usize;
    for run in 0..runs {
        let mut bytes = corpus[run % corpus.len()].clone();
        for _ in 0..1 + below(&mut rng, 6) {
            let at = below(&mut rng, bytes.len());
            match below(&mut rng, 6) {
                0 => bytes[at] = below(&mut rng, 256) as u8,
                1 => bytes[at] ^= 1 << below(&mut rng, 8),
                2 => bytes.truncate(at.max(1)),
                3 => {
                    let other = &corpus[below(&mut rng, corpus.len())];
                    let from = below(&mut rng, other.len());
                    let part = other[from..(from + 200).min(other.len())].to_vec();
                    bytes.splice(at..at, part);
                }
                4 => bytes[at..].iter_mut().take(4).for_each(|b| *b = 0xff),
                // A head or section with a good checksum and figures that lie.
                _ => {
                    let heads: Vec<usize> =
                        bytes.windows(4).enumerate().filter(|(_, w)| *w == b"oBLK").map(|(n, _)| n).collect();
                    let Some(head) = heads.get(below(&mut rng, heads.len())).copied() else { continue };
                    if head + 44 <= bytes.len() {
                        let field = head + 8 + below(&mut rng, 28);
                        bytes[field] = below(&mut rng, 256) as u8;
                        let own = crc32fast::hash(&bytes[head..head + 40]);
                        bytes[head + 40..head + 44].copy_from_slice(&own.to_le_bytes());
                    }
                }
            }
        }
        let Ok(mut reader) = Reader::open(Cursor::new(&bytes[..])) else { continue };
        while let Some(block) = reader.next_block().unwrap() {
            kept += block.events().count();
        }
        assert!(reader.troubles().len() <= 1000);
        reader.rewind();
        let wanted = Selection { from: Some(0), customer: "gori-textile".into(), ..Selection::default() };
        each(&mut reader, &wanted, &mut |_, _| {}, &mut |_, _, _| Ok(())).unwrap();
        reader.rewind();
        let _ = onyxstile_trace::verify::verify(&mut reader, &mut |_, _| {}).unwrap();
    }
    assert!(kept > 0, "some of it can be read");
}
