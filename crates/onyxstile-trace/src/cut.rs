//! Cutting a file: a range of its events as a piece that can be merged again, or an extract of some flows.

use crate::Error;
use crate::events::Piece;
use crate::input::{Progress, Selection, each};
use crate::reader::Reader;
use crate::writer::{Options, Writer};
use sha2::{Digest, Sha256};
use std::io::{Read, Seek, Write};

/// What a cut came to.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Done {
    /// Events in the new file.
    pub events: u64,
    /// Numbers of the first and of the one after the last.
    pub range: (u64, u64),
}

/// The numbers between which the events of a file lie, by its index or, where it has none or is a piece, by
/// going through it.
///
/// # Errors
/// The file cannot be read.
pub fn extent<R: Read + Seek>(reader: &mut Reader<R>) -> Result<(u64, u64), Error> {
    if let Some(piece) = &reader.header().piece {
        return Ok((piece.from, piece.to));
    }
    if let Some(events) = reader.counted()? {
        return Ok((0, events));
    }
    let mut end = 0;
    while let Some(block) = reader.next_block()? {
        end = end.max(block.head.first + u64::from(block.head.events));
    }
    reader.rewind();
    Ok((0, end))
}

/// Writes the events from one number up to another (itself left out) as a piece.
///
/// # Errors
/// Either file, or a range that the file does not reach.
pub fn range<R: Read + Seek, W: Write>(
    reader: &mut Reader<R>, (from, to): (u64, u64), out: W, progress: Progress<'_>,
) -> Result<Done, Error> {
    let (begin, end) = extent(reader)?;
    if from > to || from < begin || to > end {
        return Err(Error::Asked(format!(
            "events {from} to {to} are asked for; the file has {begin} to {end}"
        )));
    }
    let mut header = reader.header().clone();
    let of = header.piece.as_ref().map_or(end, |p| p.of);
    header.piece = Some(Piece { from, to, of });
    let mut writer = Writer::new(out, &header, Options::default())?;
    let mut done = Done { events: 0, range: (from, to) };
    while let Some(block) = reader.next_block()? {
        let (first, count) = (block.head.first, u64::from(block.head.events));
        if first >= to {
            break;
        }
        if first + count <= from {
            continue;
        }
        let skipped = from.saturating_sub(first);
        let part = (block.head.part.0 + skipped as u32, block.head.part.1);
        writer.begin_part(first + skipped, part, block.codec)?;
        for (n, encoded, event) in block.both() {
            if n >= from && n < to {
                writer.push_encoded(encoded, &event)?;
                done.events += 1;
            }
        }
        let (length, at) = reader.progress();
        progress(length, at);
    }
    writer.finish()?;
    Ok(done)
}

/// The numbers between which the events of a span of wall time lie.
///
/// # Errors
/// The file cannot be read.
pub fn numbers_of_time<R: Read + Seek>(
    reader: &mut Reader<R>, from: Option<u64>, to: Option<u64>,
) -> Result<(u64, u64), Error> {
    let wanted = Selection { from, to, ..Selection::default() };
    let mut found: Option<(u64, u64)> = None;
    each(reader, &wanted, &mut |_, _| {}, &mut |n, _, _| {
        let (first, _) = found.unwrap_or((n, n));
        found = Some((first.min(n), n + 1));
        Ok(())
    })?;
    reader.rewind();
    match found {
        Some(found) => Ok(found),
        None => extent(reader).map(|(begin, _)| (begin, begin)),
    }
}

/// Writes what is asked for as a file of its own, whose events are numbered anew.
///
/// # Errors
/// Either file.
pub fn extract<R: Read + Seek, W: Write>(
    reader: &mut Reader<R>, wanted: &Selection, out: W, progress: Progress<'_>,
) -> Result<Done, Error> {
    let mut header = reader.header().clone();
    let asked = format!("{wanted:?}");
    let id = Sha256::new().chain_update(&header.file_id).chain_update(asked).finalize();
    (header.file_id, header.piece) = (id[..16].to_vec(), None);
    let mut writer = Writer::new(out, &header, Options::default())?;
    let mut events = 0;
    each(reader, wanted, progress, &mut |_, encoded, event| {
        events += 1;
        Ok(writer.push_encoded(encoded, &event)?)
    })?;
    writer.finish()?;
    Ok(Done { events, range: (0, events) })
}

/// Writes a file anew from what can be read of it, with an index.
///
/// # Errors
/// Either file.
pub fn repair<R: Read + Seek, W: Write>(
    reader: &mut Reader<R>, out: W, progress: Progress<'_>,
) -> Result<Done, Error> {
    let mut writer = Writer::new(out, reader.header(), Options::default())?;
    let mut done = Done::default();
    while let Some(block) = reader.next_block()? {
        writer.begin_part(block.head.first, block.head.part, block.codec)?;
        for (_, encoded, event) in block.both() {
            writer.push_encoded(encoded, &event)?;
            done.events += 1;
        }
        done.range.1 = block.head.first + u64::from(block.head.events);
        let (length, at) = reader.progress();
        progress(length, at);
    }
    writer.finish()?;
    Ok(done)
}
