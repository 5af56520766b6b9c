//! Writes events to files, on a thread of its own.
//!
//! House style has no locks and one thread; this is the one exception, for a write to a slow disk would hold up
//! every decision. The thread shares nothing with the relay but a bounded channel and a count of what waits in it.

use super::settings::TraceSettings;
use onyxstile_trace::batch::Encoded;
use onyxstile_trace::events::event::What;
use onyxstile_trace::events::{Class, Dropped, FileHeader};
use onyxstile_trace::{Batch, Options, Writer};
use std::fs::{self, File};
use std::io::{self, Seek, SeekFrom};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Batches that may wait; what they hold is bounded by the count of events.
const BATCHES: usize = 1024;
/// Events of a batch, at least, unless they have waited long enough.
const BATCH: usize = 256;
/// How long the end of the program waits for the last events.
const LAST: Duration = Duration::from_millis(120);
/// How often a disk that fails is told of.
const TOLD_EVERY: Duration = Duration::from_secs(10);

/// Whose traces they are.
#[derive(Debug, Clone)]
pub struct Whose {
    /// The relay's name.
    pub relay: String,
    /// Wall time at which the process began.
    pub since: Duration,
    /// The classes that it knows.
    pub classes: Vec<Class>,
}

/// The owner's end of it.
#[derive(Debug)]
pub struct Recorder {
    to: Option<SyncSender<Batch>>,
    /// What the next batch holds, and since when: a batch for each step would wake the thread as often.
    pending: Batch,
    since: Duration,
    patience: Duration,
    waiting: Arc<AtomicUsize>,
    most: usize,
    dropped: u64,
    dropped_in_all: u64,
    told: Option<Instant>,
    thread: Option<JoinHandle<()>>,
}

impl Recorder {
    /// Starts the thread. Files that the disk will not take are its matter, later.
    ///
    /// # Errors
    /// The folder cannot be made, or there is no thread to be had.
    pub fn start(settings: &TraceSettings, whose: Whose) -> io::Result<Recorder> {
        fs::create_dir_all(&settings.folder)
            .map_err(|e| io::Error::new(e.kind(), format!("{}: {e}", settings.folder.display())))?;
        let (to, from) = sync_channel(BATCHES);
        let waiting = Arc::new(AtomicUsize::new(0));
        let (count, most) = (waiting.clone(), settings.buffer);
        let files = Files::new(settings.clone(), whose);
        let thread =
            std::thread::Builder::new().name("trace".into()).spawn(move || write(&from, &count, files))?;
        Ok(Recorder {
            to: Some(to),
            pending: Batch::default(),
            since: Duration::ZERO,
            patience: settings.flush / 8,
            waiting,
            most,
            dropped: 0,
            dropped_in_all: 0,
            told: None,
            thread: Some(thread),
        })
    }

    /// How long whoever makes the events may keep what they are made of; as long may they wait here.
    pub fn patience(&self) -> Duration {
        self.patience
    }

    /// When what is pending has to go, by the clock of [`Recorder::take`].
    pub fn due(&self) -> Option<Duration> {
        (!self.pending.is_empty()).then_some(self.since + self.patience)
    }

    /// Takes what a step made, and leaves the batch empty. It is handed over once there is enough, or the first of it has waited long enough.
    pub fn take(&mut self, events: &mut Batch, now: Duration) {
        if self.pending.is_empty() {
            self.since = now;
        }
        self.pending.append(events);
        if self.pending.len() >= BATCH.min(self.most) || self.due().is_some_and(|due| due <= now) {
            let events = std::mem::take(&mut self.pending);
            self.hand_over(events);
        }
    }

    /// Hands events over; never waits. What finds no room is counted, and the count goes before the next that do.
    fn hand_over(&mut self, mut events: Batch) {
        let (Some(to), Some(at_us)) = (&self.to, events.iter().next().map(|e| e.at_us)) else { return };
        if self.dropped > 0 {
            let mut begin = Batch::default();
            begin.push(at_us, &What::Dropped(Dropped { events: self.dropped, disk: false }));
            begin.append(&mut events);
            events = begin;
        }
        let count = events.len();
        // The owner is the only one that adds; what the thread takes away meanwhile only makes room.
        let fits = self.waiting.load(Relaxed) + count <= self.most;
        if fits {
            self.waiting.fetch_add(count, Relaxed);
            if to.try_send(events).is_ok() {
                self.dropped = 0;
                return;
            }
            self.waiting.fetch_sub(count, Relaxed);
        }
        let lost = count as u64 - u64::from(self.dropped > 0);
        (self.dropped, self.dropped_in_all) = (self.dropped + lost, self.dropped_in_all + lost);
        if self.told.is_none_or(|t| t.elapsed() > TOLD_EVERY) {
            self.told = Some(Instant::now());
            tracing::warn!("trace: {} events dropped so far, the writer is behind", self.dropped_in_all);
        }
    }

    /// Writes what there is and ends the file, if that can be done in time.
    pub fn close(mut self) {
        let events = std::mem::take(&mut self.pending);
        self.hand_over(events);
        drop(self.to.take());
        let end = Instant::now() + LAST;
        if let Some(thread) = self.thread.take() {
            while !thread.is_finished() && Instant::now() < end {
                std::thread::sleep(Duration::from_millis(2));
            }
            if thread.is_finished() {
                let _ = thread.join();
            }
        }
    }
}

fn write(from: &Receiver<Batch>, waiting: &AtomicUsize, mut files: Files) {
    loop {
        match from.recv_timeout(files.patience()) {
            Ok(events) => {
                waiting.fetch_sub(events.len(), Relaxed);
                events.iter().for_each(|event| files.push(event));
                files.pass();
            }
            Err(RecvTimeoutError::Timeout) => files.pass(),
            Err(RecvTimeoutError::Disconnected) => return files.end(),
        }
    }
}

/// A file that is being written.
struct Open {
    writer: Writer<File>,
    path: PathBuf,
    /// Wall time from which its events count, microseconds.
    start: u64,
    /// Up to where it is known to be good.
    good: u64,
    /// When the oldest event in its block came.
    since: Option<Instant>,
}

/// The files of one process.
struct Files {
    settings: TraceSettings,
    whose: Whose,
    sequence: u32,
    open: Option<Open>,
    lost: u64,
    told: Option<Instant>,
    /// After a failure nothing is tried for a while.
    rest_until: Option<Instant>,
}

impl Files {
    fn new(settings: TraceSettings, whose: Whose) -> Files {
        // The rest of the interval passes before events come here.
        let settings = TraceSettings { flush: settings.flush * 3 / 4, ..settings };
        Files { settings, whose, sequence: 0, open: None, lost: 0, told: None, rest_until: None }
    }

    /// How long nothing has to be done.
    fn patience(&self) -> Duration {
        let since = self.open.as_ref().and_then(|o| o.since);
        since.map_or(self.settings.flush, |s| {
            (s + self.settings.flush).saturating_duration_since(Instant::now())
        })
    }

    fn push(&mut self, event: Encoded<'_>) {
        if self.rest_until.is_some_and(|t| Instant::now() < t) {
            self.lost += 1;
            return;
        }
        if let Err(e) = self.try_push(event) {
            self.failed(&e);
        }
    }

    fn try_push(&mut self, event: Encoded<'_>) -> io::Result<()> {
        if self.open.as_ref().is_some_and(|o| o.writer.size().0 >= self.settings.file) {
            self.end_file()?;
        }
        if self.open.is_none() {
            self.begin_file(event.at_us)?;
        }
        let lost = std::mem::take(&mut self.lost);
        let Some(open) = &mut self.open else { return Ok(()) };
        if lost > 0 {
            let mut told = Batch::default();
            told.push(event.at_us, &What::Dropped(Dropped { events: lost, disk: true }));
            told.iter().try_for_each(|e| open.writer.push_batched(e, open.start))?;
        }
        open.since.get_or_insert_with(Instant::now);
        let before = open.writer.size().0;
        // On an error the event is still in the block, and goes with it.
        open.writer.push_batched(event, open.start)?;
        if open.writer.size().0 > before {
            (open.good, open.since) = (open.writer.size().0, Some(Instant::now()));
        }
        Ok(())
    }

    /// Writes a block that has waited long enough.
    fn pass(&mut self) {
        let flush = self.settings.flush;
        let due = |o: &&mut Open| o.since.is_some_and(|s| s.elapsed() >= flush);
        if let Some(open) = self.open.as_mut().filter(due) {
            open.since = None;
            match open.writer.flush() {
                Ok(()) => open.good = open.writer.size().0,
                Err(e) => self.failed(&e),
            }
        }
    }

    /// Counts what a failed write costs, and makes the file good again up to there.
    fn failed(&mut self, e: &io::Error) {
        if let Some(mut open) = self.open.take() {
            self.lost += u64::from(open.writer.give_up());
            let file = open.writer.get_mut();
            let again = file.set_len(open.good).and_then(|()| file.seek(SeekFrom::Start(open.good)));
            if again.is_ok() {
                open.since = None;
                self.open = Some(open);
            }
        } else {
            self.lost += 1;
        }
        self.rest_until = Some(Instant::now() + Duration::from_secs(1));
        if self.told.is_none_or(|t| t.elapsed() > TOLD_EVERY) {
            self.told = Some(Instant::now());
            tracing::error!("trace: {e}; {} events lost so far since the last that was written", self.lost);
        }
    }

    fn begin_file(&mut self, at_us: u64) -> io::Result<()> {
        self.prune()?;
        let mut file_id = vec![0; 16];
        io::Read::read_exact(&mut File::open("/dev/urandom")?, &mut file_id)?;
        let since = self.whose.since.as_micros() as u64;
        let header = FileHeader {
            file_id,
            relay: self.whose.relay.clone(),
            start_us: at_us,
            start_mono_us: at_us.saturating_sub(since),
            process_start_us: since,
            sequence: self.sequence,
            program: concat!("onyxstile ", env!("CARGO_PKG_VERSION")).into(),
            sampled: self.settings.sample,
            classes: self.whose.classes.clone(),
            ..FileHeader::default()
        };
        let path =
            self.settings.folder.join(format!("{}{since:016}-{:06}.trace", self.prefix(), self.sequence));
        let options = Options { block: self.settings.block, codec: self.settings.codec };
        let writer = Writer::new(File::create(&path)?, &header, options).inspect_err(|_| {
            let _ = fs::remove_file(&path);
        })?;
        let good = writer.size().0;
        self.sequence += 1;
        self.open = Some(Open { writer, path, start: at_us, good, since: None });
        Ok(())
    }

    /// What the names of this relay's files begin with.
    fn prefix(&self) -> String {
        let safe = |c: char| if c.is_ascii_alphanumeric() || "-_.".contains(c) { c } else { '_' };
        format!("{}-", self.whose.relay.chars().map(safe).take(64).collect::<String>())
    }

    /// Takes away the oldest files until one more fits.
    fn prune(&self) -> io::Result<()> {
        let mut files = files(&self.settings.folder, &self.prefix())?;
        let mut total: u64 = files.iter().map(|f| f.1).sum();
        files.reverse();
        // A file ends a block and an index after its size.
        let room = self.settings.file + self.settings.file / 16 + 2 * self.settings.block as u64;
        while total + room > self.settings.total
            && let Some((path, size)) = files.pop()
        {
            fs::remove_file(path)?;
            total -= size;
        }
        Ok(())
    }

    fn end_file(&mut self) -> io::Result<()> {
        let Some(open) = self.open.take() else { return Ok(()) };
        tracing::debug!("trace: {} is full", open.path.display());
        open.writer.finish().map(|_| ())
    }

    fn end(mut self) {
        if let Err(e) = self.end_file() {
            tracing::error!("trace: {e}; the last file has no index");
        }
    }
}

/// The traces of a folder whose names begin so, the oldest first, with their sizes.
fn files(folder: &Path, prefix: &str) -> io::Result<Vec<(PathBuf, u64)>> {
    let mut found = Vec::new();
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        let name = entry.file_name();
        let rest = name.to_str().and_then(|n| n.strip_prefix(prefix)?.strip_suffix(".trace"));
        // Another relay's name may begin with this one's.
        if rest.is_some_and(|r| r.len() == 23 && r.bytes().all(|b| b.is_ascii_digit() || b == b'-')) {
            found.push((entry.path(), entry.metadata()?.len()));
        }
    }
    found.sort();
    Ok(found)
}

#[cfg(test)]
mod tests {
    use super::*;
    use onyxstile_trace::Reader;
    use onyxstile_trace::events::{Event, Phase, Sent};
    use onyxstile_trace::format::Codec;

    struct Folder(PathBuf);

    impl Folder {
        fn new(name: &str) -> Folder {
            Folder(std::env::temp_dir().join(format!("onyxstile-recorder-{name}-{}", std::process::id())))
        }
    }

    impl Drop for Folder {
        fn drop(&mut self) {
            let _ = fs::remove_dir_all(&self.0);
        }
    }

    fn settings(folder: &Folder) -> TraceSettings {
        TraceSettings {
            folder: folder.0.clone(),
            file: 20_000,
            total: 100_000,
            block: 2048,
            codec: Codec::None,
            flush: Duration::from_millis(20),
            buffer: 100_000,
            sample: 1_000_000,
            events: [true; onyxstile_trace::about::NAMES.len()],
        }
    }

    fn whose() -> Whose {
        Whose { relay: "r/1".into(), since: Duration::from_secs(1000), classes: vec![] }
    }

    fn event(n: u64) -> Event {
        let what = What::Sent(Sent { server: format!("server-{n}"), ..Sent::default() });
        Event { at_us: 1_000_000_000 + n * 1000, source: 0, what: Some(what) }
    }

    fn batch(events: impl IntoIterator<Item = Event>) -> Batch {
        let mut batch = Batch::default();
        events.into_iter().for_each(|e| batch.push(e.at_us, e.what.as_ref().unwrap()));
        batch
    }

    fn push(files: &mut Files, event: Event) {
        batch([event]).iter().for_each(|e| files.push(e));
    }

    fn read(folder: &Folder) -> (Vec<Event>, Vec<(PathBuf, u64)>, usize) {
        let files = files(&folder.0, "r_1-").unwrap();
        let (mut events, mut whole) = (Vec::new(), 0);
        for (path, _) in &files {
            let mut reader = Reader::open(File::open(path).unwrap()).unwrap();
            let start = reader.header().start_us;
            while let Some(block) = reader.next_block().unwrap() {
                events.extend(block.events().map(|(_, e)| Event { at_us: e.at_us + start, ..e }));
            }
            whole += usize::from(reader.troubles().is_empty());
        }
        (events, files, whole)
    }

    #[test]
    fn files_follow_one_another_and_the_oldest_go_within_the_limit() {
        let folder = Folder::new("rotation");
        let mut recorder = Recorder::start(&settings(&folder), whose()).unwrap();
        for round in 0..400 {
            recorder.hand_over(batch((0..20).map(|n| event(round * 20 + n))));
            std::thread::sleep(Duration::from_micros(200));
        }
        recorder.close();
        let (events, files, whole) = read(&folder);
        assert!(files.len() >= 3 && whole == files.len(), "{files:?}");
        assert!(files.iter().map(|f| f.1).sum::<u64>() <= 100_000, "{files:?}");
        // The newest, without a gap.
        let first = 8000 - events.len() as u64;
        assert!(events.into_iter().eq((first..8000).map(event)));
    }

    #[test]
    fn what_was_handed_over_is_in_the_file_after_the_flush_interval_without_an_end() {
        let folder = Folder::new("flush");
        let mut recorder = Recorder::start(&settings(&folder), whose()).unwrap();
        recorder.hand_over(batch([event(1), event(2)]));
        let end = Instant::now() + Duration::from_secs(5);
        while read(&folder).0.len() < 2 {
            assert!(Instant::now() < end);
            std::thread::sleep(Duration::from_millis(5));
        }
        recorder.close();
    }

    #[test]
    fn a_writer_that_is_behind_costs_events_which_are_counted_and_no_time() {
        let folder = Folder::new("behind");
        // No file gives way to another here.
        let small = TraceSettings { buffer: 100, total: 10_000_000, ..settings(&folder) };
        let mut recorder = Recorder::start(&small, whose()).unwrap();
        let began = Instant::now();
        for n in 0..200 {
            recorder.hand_over(batch((0..50).map(|m| event(n * 50 + m))));
        }
        assert!(began.elapsed() < Duration::from_secs(1));
        // However fast the thread is, this is more than the buffer holds.
        recorder.hand_over(batch((0..150).map(|m| event(9000 + m))));
        // A machine that is busy may keep the thread from its work for longer than the end of a program waits.
        let end = Instant::now() + Duration::from_secs(20);
        while recorder.waiting.load(Relaxed) > 0 && Instant::now() < end {
            std::thread::sleep(Duration::from_millis(5));
        }
        recorder.hand_over(batch([event(10_000)]));
        recorder.close();
        let last = |events: &[Event]| events.iter().any(|e| *e == event(10_000));
        while !last(&read(&folder).0) && Instant::now() < end {
            std::thread::sleep(Duration::from_millis(5));
        }
        let (events, ..) = read(&folder);
        let dropped = |e: &Event| match &e.what {
            Some(What::Dropped(d)) => d.events,
            _ => 0,
        };
        let lost: u64 = events.iter().map(dropped).sum();
        let kept = events.iter().filter(|e| matches!(e.what, Some(What::Sent(_)))).count() as u64;
        assert!(lost >= 150, "{lost}");
        assert_eq!(lost + kept, 10_151);
    }

    #[test]
    fn a_disk_that_fails_costs_events_which_are_counted_and_no_panic() {
        let folder = Folder::new("disk");
        let mut files = {
            fs::create_dir_all(&folder.0).unwrap();
            Files::new(settings(&folder), whose())
        };
        push(&mut files, event(0));
        files.open.as_mut().unwrap().since = Some(Instant::now() - Duration::from_secs(1));
        files.pass();
        // From here on no write succeeds: the file is open for reading only.
        let open = files.open.as_mut().unwrap();
        let (path, good) = (open.path.clone(), open.good);
        let whole = std::mem::replace(open.writer.get_mut(), File::open(&path).unwrap());
        (1..200).for_each(|n| push(&mut files, event(n)));
        assert!(files.lost > 0 && files.rest_until.is_some());
        assert_eq!(fs::metadata(&path).unwrap().len(), good);
        // It takes writes again: the count of what is missing comes first.
        files.rest_until = None;
        match &mut files.open {
            Some(open) => {
                *open.writer.get_mut() = whole;
                open.writer.get_mut().seek(SeekFrom::Start(good)).unwrap();
            }
            None => drop(whole),
        }
        let lost = files.lost;
        push(&mut files, event(500));
        files.end();
        let (events, ..) = read(&folder);
        let told = |e: &Event| matches!(&e.what, Some(What::Dropped(d)) if d.disk && d.events == lost);
        assert!(events.iter().any(told), "{events:?}");
        assert!(events.iter().any(|e| *e == event(500)) && events.iter().any(|e| *e == event(0)));
    }

    #[test]
    fn another_relay_s_files_are_left_alone() {
        let folder = Folder::new("others");
        fs::create_dir_all(&folder.0).unwrap();
        let other = folder.0.join("r_1-b-0000001000000000-000000.trace");
        fs::write(&other, vec![0; 200_000]).unwrap();
        fs::write(folder.0.join("r_1-0000000000000001-000000.trace"), vec![0; 200_000]).unwrap();
        let mut recorder = Recorder::start(&settings(&folder), whose()).unwrap();
        let what = Some(What::Phase(Phase { stage: 1 }));
        recorder.hand_over(batch([Event { at_us: 1_000_000_000, source: 0, what }]));
        recorder.close();
        assert!(other.exists());
        assert_eq!(files(&folder.0, "r_1-").unwrap().len(), 1, "its own old one gave way");
    }
}
