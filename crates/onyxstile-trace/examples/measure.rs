//! What events cost to write, read and find: `cargo run --release -p onyxstile-trace --example measure -- FOLDER MB`.

use onyxstile_trace::input::{Selection, each};
use onyxstile_trace::sample::{Wanted, sample};
use onyxstile_trace::text::json_line;
use onyxstile_trace::{Options, Reader, Writer};
use std::error::Error;
use std::fs::File;
use std::io::{BufReader, BufWriter, Read, Write};
use std::path::PathBuf;
use std::time::Instant;

fn main() -> Result<(), Box<dyn Error>> {
    let mut arguments = std::env::args().skip(1);
    let folder = PathBuf::from(arguments.next().ok_or("a folder is needed")?);
    let mb: f64 = arguments.next().map_or(Ok(100.0), |m| m.parse())?;
    let path = folder.join("measured.trace");
    // About 100 bytes a flow, in a sample.
    let flows = (mb * 1e6 / 105.0) as u64;
    sample(&Wanted::of(1, flows), BufWriter::new(File::create(&path)?), Options::default())?;
    let size = std::fs::metadata(&path)?.len();

    let mut reader = Reader::open(File::open(&path)?)?;
    let (began, mut events) = (Instant::now(), Vec::new());
    let mut count = 0u64;
    while let Some(block) = reader.next_block()? {
        for (_, event) in block.events() {
            count += 1;
            if events.len() < 1_000_000 {
                events.push(event);
            }
        }
    }
    let read = began.elapsed().as_secs_f64();
    println!("{count} events in {size} bytes, {:.1} bytes an event", size as f64 / count as f64);
    println!("read: {:.0} events a second", count as f64 / read);

    let header = reader.header().clone();
    use onyxstile_trace::format::Codec;
    for codec in [Codec::None, Codec::Deflate, Codec::Lz4] {
        let began = Instant::now();
        let mut writer = Writer::new(Vec::new(), &header, Options { codec, ..Options::default() })?;
        events.iter().try_for_each(|e| writer.push(e))?;
        let bytes = writer.finish()?.len();
        let per_s = events.len() as f64 / began.elapsed().as_secs_f64();
        println!(
            "written, {codec:?}: {per_s:.0} events a second, {:.1} bytes an event",
            bytes as f64 / events.len() as f64
        );
    }

    // The same as JSON lines, packed by gzip.
    let lines = folder.join("measured.json.gz");
    let began = Instant::now();
    let mut out =
        flate2::write::GzEncoder::new(BufWriter::new(File::create(&lines)?), flate2::Compression::new(5));
    for (n, event) in events.iter().enumerate() {
        writeln!(out, "{}", json_line(&header, n as u64, event))?;
    }
    out.finish()?.flush()?;
    let wrote = events.len() as f64 / began.elapsed().as_secs_f64();
    let bytes = std::fs::metadata(&lines)?.len() as f64 / events.len() as f64;
    let began = Instant::now();
    let mut text = String::new();
    flate2::read::GzDecoder::new(BufReader::new(File::open(&lines)?)).read_to_string(&mut text)?;
    let parsed = text.lines().filter(|l| serde_json::from_str::<serde_json::Value>(l).is_ok()).count();
    let read = parsed as f64 / began.elapsed().as_secs_f64();
    println!("JSON lines by gzip: {bytes:.1} bytes an event, {wrote:.0} written and {read:.0} read a second");
    std::fs::remove_file(&lines)?;

    // One minute in the middle, by the index and without it.
    let from = header.start_us + (flows as f64 / 400.0 * 0.5e6) as u64;
    for (name, customer) in [("one minute", ""), ("one minute of rustavi-steel", "rustavi-steel")] {
        let wanted = Selection {
            from: Some(from),
            to: Some(from + 60_000_000),
            customer: customer.into(),
            ..Selection::default()
        };
        let mut reader = Reader::open(File::open(&path)?)?;
        let (began, mut found) = (Instant::now(), 0);
        each(&mut reader, &wanted, &mut |_, _| {}, &mut |_, _, _| {
            found += 1;
            Ok(())
        })?;
        let ms = began.elapsed().as_secs_f64() * 1e3;
        println!("{name}: {found} events, {ms:.1} ms, {} bytes read of {size}", reader.bytes_read());
    }
    Ok(())
}
