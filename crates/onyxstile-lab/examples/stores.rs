//! Stores from the registry and our own on the same work: `cargo run --release -p onyxstile-lab --example stores -- 10000`.
//!
//! Messages of 2 KiB, a commit each that a killed process would not lose; then each is written again, and half are
//! deleted. A second process opens what is there. A third is killed while it writes, and what it had confirmed counted.

use fjall::{Config, PartitionCreateOptions, PersistMode};
use hdrhistogram::Histogram;
use onyxstile_store::disk::OsDisk;
use onyxstile_store::{Change, Options, Store, Sync};
use redb::{Database, Durability, ReadableTableMetadata, TableDefinition};
use std::error::Error;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

type Outcome<T> = Result<T, Box<dyn Error>>;

const STORES: [&str; 4] = ["onyxstile", "redb", "fjall", "sled"];
const TABLE: TableDefinition<u64, &[u8]> = TableDefinition::new("messages");

/// What is asked of a store.
enum Any {
    Ours(Box<Store<OsDisk, 4>>),
    Redb(Database),
    Fjall(fjall::Keyspace, fjall::PartitionHandle),
    Sled(sled::Db),
}

impl Any {
    fn open(name: &str, folder: &Path, limit: u64) -> Outcome<Any> {
        Ok(match name {
            "redb" => Any::Redb(redb::Builder::new().set_cache_size(4 << 20).create(folder.join("redb"))?),
            "fjall" => {
                let keyspace = Config::new(folder).cache_size(1 << 20).max_write_buffer_size(8 << 20);
                let keyspace = keyspace.max_journaling_size(32 << 20).open()?;
                let options = PartitionCreateOptions::default().max_memtable_size(4 << 20);
                let messages = keyspace.open_partition("messages", options)?;
                Any::Fjall(keyspace, messages)
            }
            "sled" => Any::Sled(sled::Config::new().path(folder).cache_capacity(4 << 20).open()?),
            _ => {
                let options = Options { limit, segment: 1 << 20, commit: 1 << 20, verify: true };
                Any::Ours(Box::new(Store::open(OsDisk::new(folder)?, options)?.0))
            }
        })
    }

    fn put(&mut self, key: u64, value: &[u8]) -> Outcome<()> {
        match self {
            Any::Ours(store) => {
                let facets = Some([key % 40, key % 5, key, 0]);
                store.commit(&[Change::Put { key, facets, value: value.to_vec() }], Sync::Written)?;
            }
            Any::Redb(db) => {
                let mut write = db.begin_write()?;
                write.set_durability(Durability::Eventual);
                write.open_table(TABLE)?.insert(key, value)?;
                write.commit()?;
            }
            Any::Fjall(keyspace, messages) => {
                messages.insert(key.to_be_bytes(), value)?;
                keyspace.persist(PersistMode::Buffer)?;
            }
            Any::Sled(db) => {
                db.insert(key.to_be_bytes(), value)?;
                db.flush()?;
            }
        }
        Ok(())
    }

    fn delete(&mut self, key: u64) -> Outcome<()> {
        match self {
            Any::Ours(store) => store.commit(&[Change::Delete(key)], Sync::Written)?,
            Any::Redb(db) => {
                let mut write = db.begin_write()?;
                write.set_durability(Durability::Eventual);
                write.open_table(TABLE)?.remove(key)?;
                write.commit()?;
            }
            Any::Fjall(keyspace, messages) => {
                messages.remove(key.to_be_bytes())?;
                keyspace.persist(PersistMode::Buffer)?;
            }
            Any::Sled(db) => {
                db.remove(key.to_be_bytes())?;
                db.flush()?;
            }
        }
        Ok(())
    }

    fn count(&self) -> Outcome<usize> {
        Ok(match self {
            Any::Ours(store) => store.len(),
            Any::Redb(db) => match db.begin_read()?.open_table(TABLE) {
                Ok(table) => table.len()? as usize,
                Err(redb::TableError::TableDoesNotExist(_)) => 0,
                Err(e) => return Err(e.into()),
            },
            Any::Fjall(_, messages) => messages.len()?,
            Any::Sled(db) => db.len(),
        })
    }

    fn has(&self, key: u64) -> Outcome<bool> {
        Ok(match self {
            Any::Ours(store) => store.get(key)?.is_some(),
            Any::Redb(db) => db.begin_read()?.open_table(TABLE)?.get(key)?.is_some(),
            Any::Fjall(_, messages) => messages.get(key.to_be_bytes())?.is_some(),
            Any::Sled(db) => db.get(key.to_be_bytes())?.is_some(),
        })
    }
}

fn value(key: u64) -> Vec<u8> {
    // Nothing that a codec could make smaller.
    let mut seed = key.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let mut next = || {
        seed ^= seed << 13;
        seed ^= seed >> 7;
        seed ^= seed << 17;
        seed.to_le_bytes()
    };
    (0..256).flat_map(|_| next()).collect()
}

fn bytes(folder: &Path) -> u64 {
    let entries = std::fs::read_dir(folder).into_iter().flatten().filter_map(Result::ok);
    entries
        .map(|e| if e.path().is_dir() { bytes(&e.path()) } else { e.metadata().map_or(0, |m| m.len()) })
        .sum()
}

fn peak_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let kb = status
        .lines()
        .find_map(|l| l.strip_prefix("VmHWM:")?.trim().strip_suffix(" kB")?.parse::<f64>().ok());
    kb.unwrap_or(0.0) / 1024.0
}

fn work(name: &str, folder: &Path, count: u64) -> Outcome<()> {
    let limit = count * 2112 * 8 / 3 + (8 << 20);
    let mut store = Any::open(name, folder, limit)?;
    let mut times = [Histogram::<u64>::new(3)?, Histogram::new(3)?, Histogram::new(3)?];
    let mut most_bytes = 0;
    let timed = |h: &mut Histogram<u64>, began: Instant| h.record(began.elapsed().as_nanos() as u64);
    for round in 0..2 {
        for key in 0..count {
            let value = value(key + round * count);
            let began = Instant::now();
            store.put(key, &value)?;
            timed(&mut times[round as usize], began)?;
            if key % 500 == 0 {
                most_bytes = most_bytes.max(bytes(folder));
            }
        }
    }
    for key in (0..count).step_by(2) {
        let began = Instant::now();
        store.delete(key)?;
        timed(&mut times[2], began)?;
    }
    let all = bytes(folder);
    let us = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1e3;
    println!(
        "{name:10} write {:7.1} us median {:8.1} us 99% {:6.0}/s | again {:7.1} {:8.1} | delete {:7.1} {:8.1} | disk most {:6.1} MB, at the end {:5.2} x live | memory {:6.1} MB",
        us(&times[0], 0.5),
        us(&times[0], 0.99),
        1e9 / times[0].mean(),
        us(&times[1], 0.5),
        us(&times[1], 0.99),
        us(&times[2], 0.5),
        us(&times[2], 0.99),
        most_bytes.max(all) as f64 / 1e6,
        all as f64 / (count as f64 / 2.0 * 2048.0),
        peak_mb()
    );
    Ok(())
}

fn open(name: &str, folder: &Path, count: u64) -> Outcome<()> {
    if name == "onyxstile" {
        // Closed segments by their indexes alone, before the whole log.
        let options = Options { limit: u64::MAX / 2, segment: 1 << 20, commit: 1 << 20, verify: false };
        let began = Instant::now();
        let store = Store::<OsDisk, 4>::open_to_read(OsDisk::read_only(folder), options)?.0;
        let opened = began.elapsed().as_secs_f64() * 1e3;
        println!(
            "{name:10} opened by its indexes in {opened:7.1} ms, {} records, memory {:6.1} MB",
            store.len(),
            peak_mb()
        );
    }
    let began = Instant::now();
    let store = Any::open(name, folder, count * 2112 * 8 / 3 + (8 << 20))?;
    let opened = began.elapsed();
    let count = store.count()?;
    println!(
        "{name:10} opened in {:7.1} ms, {count} records, memory {:6.1} MB",
        opened.as_secs_f64() * 1e3,
        peak_mb()
    );
    Ok(())
}

/// Writes without end and says what was confirmed.
fn confirm(name: &str, folder: &Path) -> Outcome<()> {
    let mut store = Any::open(name, folder, 1 << 30)?;
    for key in 0.. {
        store.put(key, &value(key))?;
        println!("{key}");
    }
    Ok(())
}

fn killed(name: &str, folder: &Path, after: Duration) -> Outcome<(u64, u64)> {
    let mut child = child("confirm", name, folder, 0).stdout(Stdio::piped()).spawn()?;
    let lines = BufReader::new(child.stdout.take().ok_or("no output")?).lines();
    let reader = std::thread::spawn(move || lines.map_while(Result::ok).last());
    std::thread::sleep(after);
    child.kill()?;
    child.wait()?;
    let confirmed = reader.join().map_err(|_| "the reader failed")?.and_then(|l| l.parse::<u64>().ok());
    let store = Any::open(name, folder, 1 << 30)?;
    let all = confirmed.map_or(0, |c| c + 1);
    let mut lost = 0;
    for key in 0..all {
        lost += u64::from(!store.has(key)?);
    }
    Ok((all, lost))
}

fn child(what: &str, name: &str, folder: &Path, count: u64) -> Command {
    let mut command = Command::new(std::env::current_exe().unwrap_or_default());
    command.arg(what).arg(name).arg(folder).arg(count.to_string());
    command
}

fn main() -> Outcome<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let [what, name, folder, count] = &arguments[..] {
        let (folder, count) = (PathBuf::from(folder), count.parse()?);
        return match what.as_str() {
            "work" => work(name, &folder, count),
            "open" => open(name, &folder, count),
            _ => confirm(name, &folder),
        };
    }
    let count: u64 = arguments.first().map_or(Ok(10_000), |c| c.parse())?;
    let base = std::env::temp_dir().join(format!("onyxstile-stores-{}", std::process::id()));
    println!("{count} messages of 2 KiB, one commit each");
    // A second word names the stores; without it all are tried.
    let wanted = |name: &&&str| arguments.get(1).is_none_or(|w| w.split(',').any(|w| w == **name));
    for name in STORES.iter().filter(wanted) {
        let folder = base.join(name);
        std::fs::create_dir_all(&folder)?;
        child("work", name, &folder, count).status()?;
        child("open", name, &folder, count).status()?;
        std::fs::remove_dir_all(&folder)?;
        let (mut all, mut lost) = (0, 0);
        for n in 0..5 {
            std::fs::create_dir_all(&folder)?;
            let (confirmed, missing) = killed(name, &folder, Duration::from_millis(150 + 70 * n))?;
            (all, lost) = (all + confirmed, lost + missing);
            std::fs::remove_dir_all(&folder)?;
        }
        println!("{name:10} killed 5 times: {all} confirmed, {lost} of them lost");
    }
    std::fs::remove_dir_all(&base)?;
    Ok(())
}
