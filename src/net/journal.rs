//! What outlives the process: a file of records, each with its length and checksum.
//!
//! A record is in the file once `write(2)` has taken it, which is all that a killed process needs. The journal
//! keeps the state that its records add up to, so that it can write that state to a new file and take it in
//! the old one's place; both together never outgrow the folder's limit.

use super::parcel::{Envelope, Parcel, Routed};
use crate::api::Past;
use crate::core::{End, FlowNo, ServerNo};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// Bytes of a record's body, at most.
const RECORD_MAX: usize = 256 * 1024;
/// Length and checksum before each record.
const HEADER: usize = 8;
/// Room kept for what an open flow will still need: its attempts, its end and its notice.
const FLOW_RESERVE: u64 = 2048;
/// The folder itself and the last, partly filled blocks of both files.
const SLACK: u64 = 8 * 1024;
/// Longer than any key's window.
const LONG_AGO: Duration = Duration::from_secs(30 * 86_400);
/// A file under this size is not worth rewriting.
const COMPACT_FROM: u64 = 128 * 1024;

/// A flow as it was taken, in terms that outlive the settings' numbering.
#[derive(Debug, Clone, PartialEq)]
pub struct TakenFlow {
    /// When it is given up, Unix time.
    pub deadline: Duration,
    /// Its class, by name.
    pub class: String,
    /// Its tenant, by name.
    pub tenant: Option<String>,
    /// Its destination.
    pub destination: u64,
    /// What is delivered.
    pub parcel: Rc<Parcel>,
    /// For a resend: the flow that had failed, by whose number it is kept. Nobody is owed word of a resend's end.
    pub resend_of: Option<FlowNo>,
}

/// A send: when, Unix time, and to which real server, by its lasting name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SentTo {
    /// When.
    pub at: Duration,
    /// Where to.
    pub server: String,
}

/// What the platform still has to be told of a flow's end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Owed {
    /// The flow's id on the wire.
    pub id: String,
    /// None: failed. Else it was handed back, and may come again after this time.
    pub returned_after: Option<Duration>,
}

/// One record.
#[derive(Debug, Clone, PartialEq)]
pub enum Record {
    /// A flow was taken.
    Taken(FlowNo, TakenFlow),
    /// A call is about to go out.
    Sent(FlowNo, SentTo),
    /// The call that was out has ended; true: it is proved that it never ran.
    CallEnded(FlowNo, bool),
    /// The flow is over, and this is still owed.
    Ended(FlowNo, Option<Owed>),
    /// A mail flow is over, and the notification of that is taken as a flow of its own: both or neither.
    Bounced(FlowNo, FlowNo, TakenFlow),
    /// What was owed has been heard.
    Noticed(FlowNo),
    /// Operators have banned a real server, by its lasting name, or (false) ended that.
    Banned(String, bool),
    /// In a rewritten file: what the records of an open flow added up to.
    Progress(FlowNo, Progress),
    /// In a rewritten file: the next flow's number.
    Next(FlowNo),
}

/// What was done for an open flow.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Progress {
    /// Attempts that went out.
    pub attempts: u32,
    /// The call that is out.
    pub out: Option<SentTo>,
    /// The first call that may have run.
    pub risk: Option<SentTo>,
}

impl Owed {
    /// What is owed for a flow that ended so; nothing for one that was delivered.
    pub fn of(id: &str, end: End) -> Option<Owed> {
        let returned_after = match end {
            End::Delivered | End::Over => return None,
            End::Failed => None,
            End::Returned(wait) => Some(wait),
        };
        Some(Owed { id: id.to_string(), returned_after })
    }
}

impl Progress {
    /// What the next process makes of it at its start. A call that was out may have run.
    pub fn past(self, now: Duration, number: impl FnOnce(&str) -> ServerNo) -> Past {
        // Guards keyed flows against a clock that was set back: nobody can tell how old such a send is.
        let age = |at| now.checked_sub(at).unwrap_or(LONG_AGO);
        let risk = self.risk.or(self.out).map(|r| (age(r.at), number(&r.server)));
        Past { held: true, attempts: self.attempts, risk }
    }
}

/// What the records add up to.
#[derive(Debug, Default)]
pub struct Ledger {
    /// The open flows.
    pub open: BTreeMap<FlowNo, (TakenFlow, Progress)>,
    /// What is owed for flows that are over.
    pub owed: BTreeMap<FlowNo, Owed>,
    /// Real servers that operators have banned.
    pub bans: BTreeSet<String>,
    /// The number of the next flow.
    pub next: u64,
}

impl Ledger {
    fn apply(&mut self, record: &Record) {
        match record {
            Record::Taken(no, flow) => {
                self.next = self.next.max(no.0 + 1);
                self.open.insert(*no, (flow.clone(), Progress::default()));
            }
            Record::Sent(no, to) => {
                if let Some((_, p)) = self.open.get_mut(no) {
                    p.attempts += 1;
                    // Guards keyed flows after a second kill: a call whose end was never written down was out when
                    // a process died, and may have run, whatever becomes of this one.
                    let lost = p.out.replace(to.clone());
                    p.risk = p.risk.take().or(lost);
                }
            }
            Record::CallEnded(no, never_ran) => {
                if let Some((_, p)) = self.open.get_mut(no) {
                    let out = p.out.take().filter(|_| !never_ran);
                    p.risk = p.risk.take().or(out);
                }
            }
            Record::Ended(no, owed) => {
                self.open.remove(no);
                if let Some(owed) = owed {
                    self.owed.insert(*no, owed.clone());
                }
                self.next = self.next.max(no.0 + 1);
            }
            Record::Bounced(no, new, flow) => {
                self.apply(&Record::Ended(*no, None));
                self.apply(&Record::Taken(*new, flow.clone()));
            }
            Record::Noticed(no) => {
                self.owed.remove(no);
            }
            Record::Progress(no, progress) => {
                if let Some((_, p)) = self.open.get_mut(no) {
                    *p = progress.clone();
                }
            }
            Record::Banned(uid, true) => {
                self.bans.insert(uid.clone());
            }
            Record::Banned(uid, false) => {
                self.bans.remove(uid);
            }
            Record::Next(no) => self.next = self.next.max(no.0),
        }
    }

    /// The shortest list of records that adds up to this.
    fn records(&self) -> impl Iterator<Item = Record> + '_ {
        let open = self.open.iter().flat_map(|(no, (flow, progress))| {
            [Record::Taken(*no, flow.clone()), Record::Progress(*no, progress.clone())]
        });
        let owed = self.owed.iter().map(|(no, owed)| Record::Ended(*no, Some(owed.clone())));
        let bans = self.bans.iter().map(|uid| Record::Banned(uid.clone(), true));
        std::iter::once(Record::Next(FlowNo(self.next))).chain(bans).chain(open).chain(owed)
    }
}

/// The journal of one relay.
#[derive(Debug)]
pub struct Journal {
    path: PathBuf,
    file: File,
    /// Length of the file as far as it is good.
    length: u64,
    /// Most bytes that the folder may hold.
    limit: u64,
    /// Bytes that the open flows would take in a new file, by flow, and their sum with what is owed.
    sizes: BTreeMap<FlowNo, u64>,
    live: u64,
    ledger: Ledger,
    buffer: Vec<u8>,
    broken: bool,
}

impl Journal {
    /// Reads the journal that another process has open and does not write meanwhile, and touches nothing.
    ///
    /// # Errors
    /// The folder cannot be read, or holds another length than `length`, or what is no whole record.
    pub fn beside(folder: &Path, limit: u64, length: u64) -> io::Result<Journal> {
        let journal = Journal::read(folder, limit, |_| Err(io::Error::other("the journal's tail is torn")))?;
        if journal.length == length {
            Ok(journal)
        } else {
            Err(io::Error::other(format!("the journal has {} bytes, not {length}", journal.length)))
        }
    }

    /// The length of the file.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Opens the journal in `folder`, cutting off what a killed process left unfinished.
    ///
    /// # Errors
    /// The folder cannot be read or written.
    pub fn open(folder: &Path, limit: u64) -> io::Result<Journal> {
        let path = folder.join("journal");
        // Every error names what it is about: without, nobody knows which folder was meant.
        let named = |e: io::Error| io::Error::new(e.kind(), format!("{}: {e}", path.display()));
        fs::create_dir_all(folder).map_err(named)?;
        // A rewrite that was not finished; the old file still stands.
        match fs::remove_file(path.with_extension("new")) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(named(e)),
            _ => {}
        }
        Journal::read(folder, limit, |journal| journal.file.set_len(journal.length))
    }

    fn read(folder: &Path, limit: u64, torn: impl FnOnce(&Journal) -> io::Result<()>) -> io::Result<Journal> {
        let path = folder.join("journal");
        let named = |e: io::Error| io::Error::new(e.kind(), format!("{}: {e}", path.display()));
        let bytes = match fs::read(&path) {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == io::ErrorKind::NotFound => Vec::new(),
            Err(e) => return Err(named(e)),
        };
        let file = OpenOptions::new().append(true).create(true).open(&path).map_err(named)?;
        let ledger = Ledger::default();
        let sizes = BTreeMap::new();
        let (length, live, buffer, broken) = (0, 0, Vec::new(), false);
        let mut journal = Journal { path, file, length, limit, sizes, live, ledger, buffer, broken };
        let mut rest = &bytes[..];
        while let Some((record, taken)) = decode(rest) {
            journal.apply(&record, taken as u64);
            journal.length += taken as u64;
            rest = &rest[taken..];
        }
        if !rest.is_empty() {
            // Guards against a tail torn by a kill in the middle of a write: what was not written whole was
            // never promised to anyone.
            tracing::warn!("journal: cutting off {} bytes that are no whole record", rest.len());
            torn(&journal)?;
        }
        Ok(journal)
    }

    /// What the records add up to.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Whether so many flows with so many bytes of parcels can be taken and all their later records still fit,
    /// with the room that a rewrite needs beside the old file.
    pub fn has_room(&mut self, flows: usize, bytes: usize) -> bool {
        // After a write error, a rewrite that works shows that the folder can be written again.
        self.broken = self.broken && self.rewrite().is_err();
        let open = (self.ledger.open.len() + flows) as u64;
        let live = self.live + bytes as u64;
        !self.broken && 2 * (live + open * FLOW_RESERVE) + SLACK <= self.limit
    }

    /// Writes the records, all of them or none.
    ///
    /// # Errors
    /// They could not be written; the file is as it was before.
    pub fn write(&mut self, records: &[Record]) -> io::Result<()> {
        if records.is_empty() {
            return Ok(());
        }
        let mut buffer = std::mem::take(&mut self.buffer);
        buffer.clear();
        let mut lengths = Vec::with_capacity(records.len());
        for record in records {
            let before = buffer.len();
            encode(record, &mut buffer);
            lengths.push((buffer.len() - before) as u64);
        }
        let mut written = if self.length + self.live + buffer.len() as u64 + SLACK > self.limit {
            Err(io::Error::from(io::ErrorKind::StorageFull))
        } else {
            self.file.write_all(&buffer)
        };
        if written.is_err() {
            // Guards the file against half a record in its middle, and against growing past the folder's
            // limit: a rewrite gives it a clean end and drops what is over.
            written = self.rewrite().and_then(|()| self.file.write_all(&buffer));
        }
        self.buffer = buffer;
        self.broken = written.is_err();
        if let Err(e) = written {
            let _ = self.file.set_len(self.length);
            return Err(e);
        }
        for (record, length) in records.iter().zip(lengths) {
            self.length += length;
            self.apply(record, length);
        }
        if self.length > COMPACT_FROM.min(self.limit / 4) && self.length > 3 * self.live {
            // The old file stands if this fails, and the next write tries again.
            if let Err(e) = self.rewrite() {
                tracing::warn!("journal: not rewritten: {e}");
            }
        }
        Ok(())
    }

    fn apply(&mut self, record: &Record, length: u64) {
        match record {
            Record::Taken(no, _) | Record::Bounced(_, no, _) => {
                if let Record::Bounced(old, ..) = record {
                    self.live -= self.sizes.remove(old).unwrap_or(0);
                }
                let size = length + 256;
                self.live += size;
                self.sizes.insert(*no, size);
            }
            Record::Ended(no, owed) => {
                self.live -= self.sizes.remove(no).unwrap_or(0);
                if owed.is_some() {
                    self.live += length;
                    self.sizes.insert(*no, length);
                }
            }
            Record::Noticed(no) => self.live -= self.sizes.remove(no).unwrap_or(0),
            // As long in a new file as it was here.
            Record::Banned(uid, on) if *on != self.ledger.bans.contains(uid) => {
                self.live = if *on { self.live + length } else { self.live - length };
            }
            _ => {}
        }
        self.ledger.apply(record);
    }

    /// Puts a file with the present state in the old one's place.
    fn rewrite(&mut self) -> io::Result<()> {
        let mut buffer = Vec::new();
        self.ledger.records().for_each(|record| encode(&record, &mut buffer));
        if self.length + buffer.len() as u64 + SLACK / 2 > self.limit {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        let new = self.path.with_extension("new");
        let done = (|| {
            let mut file = OpenOptions::new().append(true).create_new(true).open(&new)?;
            file.write_all(&buffer)?;
            fs::rename(&new, &self.path)?;
            Ok(file)
        })();
        match done {
            Ok(file) => {
                (self.file, self.length) = (file, buffer.len() as u64);
                Ok(())
            }
            Err(e) => {
                let _ = fs::remove_file(&new);
                Err(e)
            }
        }
    }
}

// ---- Form -------------------------------------------------------------------------------------------------

fn put_u64(out: &mut Vec<u8>, n: u64) {
    out.extend(n.to_le_bytes());
}

fn put_bytes(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend((bytes.len() as u32).to_le_bytes());
    out.extend(bytes);
}

fn put_time(out: &mut Vec<u8>, time: Duration) {
    put_u64(out, u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
}

fn put_maybe<T>(out: &mut Vec<u8>, value: Option<T>, put: impl FnOnce(&mut Vec<u8>, T)) {
    out.push(u8::from(value.is_some()));
    if let Some(value) = value {
        put(out, value);
    }
}

fn put_sent(out: &mut Vec<u8>, to: &SentTo) {
    put_time(out, to.at);
    put_bytes(out, to.server.as_bytes());
}

fn put_flow(out: &mut Vec<u8>, flow: &TakenFlow) {
    put_time(out, flow.deadline);
    put_bytes(out, flow.class.as_bytes());
    put_maybe(out, flow.tenant.as_deref(), |o, t| put_bytes(o, t.as_bytes()));
    put_u64(out, flow.destination);
    put_bytes(out, flow.parcel.id.as_bytes());
    put_maybe(out, flow.parcel.key.as_deref(), |o, k| put_bytes(o, k.as_bytes()));
    put_maybe(out, flow.parcel.mail.as_ref(), |o, m| {
        put_bytes(o, m.from.as_bytes());
        put_bytes(o, m.to.as_bytes());
    });
    put_bytes(out, &flow.parcel.body);
}

/// Appends a record with its length and checksum.
fn encode(record: &Record, out: &mut Vec<u8>) {
    let start = out.len();
    out.extend([0; HEADER]);
    match record {
        Record::Taken(no, flow) => {
            let routed = flow.parcel.routed.as_ref();
            // Several forms, so that what earlier programs wrote can be read.
            out.push(if flow.resend_of.is_some() {
                10
            } else if routed.is_some() {
                9
            } else {
                1
            });
            put_u64(out, no.0);
            if let Some(of) = flow.resend_of {
                put_u64(out, of.0);
                out.push(u8::from(routed.is_some()));
            }
            if let Some(routed) = routed {
                put_bytes(out, routed.path.as_bytes());
                put_bytes(out, &routed.key);
            }
            put_flow(out, flow);
        }
        Record::Bounced(no, new, flow) => {
            out.push(8);
            put_u64(out, no.0);
            put_u64(out, new.0);
            put_flow(out, flow);
        }
        Record::Sent(no, to) => {
            out.push(2);
            put_u64(out, no.0);
            put_sent(out, to);
        }
        Record::CallEnded(no, never_ran) => {
            out.push(3);
            put_u64(out, no.0);
            out.push(u8::from(*never_ran));
        }
        Record::Ended(no, owed) => {
            out.push(4);
            put_u64(out, no.0);
            put_maybe(out, owed.as_ref(), |o, owed| {
                put_bytes(o, owed.id.as_bytes());
                put_maybe(o, owed.returned_after, put_time);
            });
        }
        Record::Noticed(no) => {
            out.push(5);
            put_u64(out, no.0);
        }
        Record::Progress(no, progress) => {
            out.push(6);
            put_u64(out, no.0);
            put_u64(out, u64::from(progress.attempts));
            put_maybe(out, progress.out.as_ref(), put_sent);
            put_maybe(out, progress.risk.as_ref(), put_sent);
        }
        Record::Next(no) => {
            out.push(7);
            put_u64(out, no.0);
        }
        Record::Banned(uid, on) => {
            out.push(11);
            put_u64(out, u64::from(*on));
            put_bytes(out, uid.as_bytes());
        }
    }
    let length = (out.len() - start - HEADER) as u32;
    let sum = crc32fast::hash(&out[start + HEADER..]);
    out[start..start + 4].copy_from_slice(&length.to_le_bytes());
    out[start + 4..start + HEADER].copy_from_slice(&sum.to_le_bytes());
}

/// Reads the first record and its length in the file; none if it is not whole and good.
fn decode(bytes: &[u8]) -> Option<(Record, usize)> {
    let length = u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
    let sum = u32::from_le_bytes(bytes.get(4..HEADER)?.try_into().ok()?);
    if length > RECORD_MAX {
        return None;
    }
    let body = bytes.get(HEADER..HEADER + length)?;
    if crc32fast::hash(body) != sum {
        return None;
    }
    let mut parts = Parts(body);
    let record = parts.record().filter(|_| parts.0.is_empty())?;
    Some((record, HEADER + length))
}

struct Parts<'a>(&'a [u8]);

impl Parts<'_> {
    fn take(&mut self, n: usize) -> Option<&[u8]> {
        let (taken, rest) = self.0.split_at_checked(n)?;
        self.0 = rest;
        Some(taken)
    }

    fn u64(&mut self) -> Option<u64> {
        Some(u64::from_le_bytes(self.take(8)?.try_into().ok()?))
    }

    fn flag(&mut self) -> Option<bool> {
        Some(self.take(1)?[0] != 0)
    }

    fn bytes(&mut self) -> Option<Vec<u8>> {
        let length = u32::from_le_bytes(self.take(4)?.try_into().ok()?);
        Some(self.take(length as usize)?.to_vec())
    }

    fn text(&mut self) -> Option<String> {
        String::from_utf8(self.bytes()?).ok()
    }

    fn time(&mut self) -> Option<Duration> {
        self.u64().map(Duration::from_micros)
    }

    fn maybe<T>(&mut self, read: impl FnOnce(&mut Self) -> Option<T>) -> Option<Option<T>> {
        if self.flag()? { read(self).map(Some) } else { Some(None) }
    }

    fn sent(&mut self) -> Option<SentTo> {
        Some(SentTo { at: self.time()?, server: self.text()? })
    }

    fn flow(&mut self, routed: Option<Routed>) -> Option<TakenFlow> {
        let deadline = self.time()?;
        let class = self.text()?;
        let tenant = self.maybe(Self::text)?;
        let destination = self.u64()?;
        let id = self.text()?;
        let key = self.maybe(Self::text)?;
        let mail = self.maybe(|p| Some(Envelope { from: p.text()?, to: p.text()? }))?;
        let parcel = Rc::new(Parcel { id, key, mail, routed, body: self.bytes()?.into() });
        Some(TakenFlow { deadline, class, tenant, destination, parcel, resend_of: None })
    }

    fn record(&mut self) -> Option<Record> {
        let kind = self.take(1)?[0];
        let no = FlowNo(self.u64()?);
        Some(match kind {
            1 => Record::Taken(no, self.flow(None)?),
            9 => {
                let routed = Routed { path: self.text()?, key: self.bytes()? };
                Record::Taken(no, self.flow(Some(routed))?)
            }
            10 => {
                let resend_of = Some(FlowNo(self.u64()?));
                let routed = self.maybe(|p| Some(Routed { path: p.text()?, key: p.bytes()? }))?;
                Record::Taken(no, TakenFlow { resend_of, ..self.flow(routed)? })
            }
            2 => Record::Sent(no, self.sent()?),
            3 => Record::CallEnded(no, self.flag()?),
            4 => Record::Ended(
                no,
                self.maybe(|p| Some(Owed { id: p.text()?, returned_after: p.maybe(Self::time)? }))?,
            ),
            5 => Record::Noticed(no),
            6 => {
                let attempts = u32::try_from(self.u64()?).ok()?;
                let (out, risk) = (self.maybe(Self::sent)?, self.maybe(Self::sent)?);
                Record::Progress(no, Progress { attempts, out, risk })
            }
            7 => Record::Next(no),
            11 => Record::Banned(self.text()?, no.0 != 0),
            8 => Record::Bounced(no, FlowNo(self.u64()?), self.flow(None)?),
            _ => return None,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn folder(name: &str) -> PathBuf {
        let path = std::env::temp_dir().join(format!("onyxstile-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).unwrap();
        path
    }

    fn taken(no: u64, size: usize) -> Record {
        let mail = Some(Envelope { from: "a@b".into(), to: "c@d".into() }).filter(|_| no.is_multiple_of(2));
        let routed = Some(Routed { path: "/a?b".into(), key: vec![0, 9] }).filter(|_| no.is_multiple_of(3));
        let parcel =
            Parcel { id: format!("f{no}"), key: Some("k".into()), mail, routed, body: vec![7; size].into() };
        let (deadline, class) = (Duration::from_secs(1_000_000 + no), "orders".to_string());
        let resend_of = Some(FlowNo(no + 100)).filter(|_| no.is_multiple_of(4));
        let flow =
            TakenFlow { deadline, class, tenant: None, destination: 3, parcel: Rc::new(parcel), resend_of };
        Record::Taken(FlowNo(no), flow)
    }

    fn sent(no: u64) -> Record {
        Record::Sent(FlowNo(no), SentTo { at: Duration::from_secs(9), server: "s-1".into() })
    }

    #[test]
    fn a_tail_torn_at_any_byte_loses_only_itself() {
        let folder = folder("torn");
        let owed = Owed { id: "f1".into(), returned_after: Some(Duration::from_millis(5)) };
        let records = [
            taken(1, 20),
            sent(1),
            Record::CallEnded(FlowNo(1), false),
            Record::Ended(FlowNo(1), Some(owed)),
            taken(2, 9),
            sent(2),
        ];
        let mut ends = vec![0];
        let mut journal = Journal::open(&folder, 1 << 20).unwrap();
        for record in &records {
            journal.write(std::slice::from_ref(record)).unwrap();
            ends.push(journal.length as usize);
        }
        let whole = fs::read(folder.join("journal")).unwrap();
        for cut in 0..=whole.len() {
            for spoilt in [false, true] {
                let mut bytes = whole[..cut].to_vec();
                if spoilt {
                    bytes.extend([0x55; 11]);
                }
                fs::write(folder.join("journal"), &bytes).unwrap();
                let kept = ends.iter().filter(|e| **e <= cut).count() - 1;
                let mut expected = Ledger::default();
                records[..kept].iter().for_each(|r| expected.apply(r));
                let mut journal = Journal::open(&folder, 1 << 20).unwrap();
                assert_eq!(journal.ledger.open, expected.open, "cut at {cut}");
                assert_eq!(journal.ledger.owed, expected.owed, "cut at {cut}");
                // What is written after the cut is read back.
                journal.write(&[taken(9, 1)]).unwrap();
                assert!(Journal::open(&folder, 1 << 20).unwrap().ledger.open.contains_key(&FlowNo(9)));
            }
        }
        fs::remove_dir_all(folder).unwrap();
    }

    #[test]
    fn the_folder_never_outgrows_its_limit_and_what_was_admitted_is_kept() {
        let folder = folder("full");
        let limit = 200_000;
        let mut journal = Journal::open(&folder, limit).unwrap();
        let mut held = std::collections::VecDeque::new();
        for no in 1..3000u64 {
            if journal.has_room(1, 900 + 1024) {
                journal.write(&[taken(no, 900)]).unwrap();
                held.push_back(no);
            } else {
                let no = held.pop_front().unwrap();
                journal.write(&[sent(no), Record::CallEnded(FlowNo(no), false)]).unwrap();
                journal.write(&[Record::Ended(FlowNo(no), None)]).unwrap();
            }
            let size: u64 =
                fs::read_dir(&folder).unwrap().map(|f| f.unwrap().metadata().unwrap().len()).sum();
            // The old file and the one that would replace it.
            assert!(size + journal.live <= limit, "{size} and {} of {limit}", journal.live);
        }
        assert!(held.len() > 10, "{}", held.len());
        let again = Journal::open(&folder, limit).unwrap();
        assert!(again.ledger.open.keys().map(|no| no.0).eq(held.iter().copied()));
        assert_eq!(again.ledger.open, journal.ledger.open);
        assert!(again.ledger.next >= journal.ledger.next);
        fs::remove_dir_all(folder).unwrap();
    }

    #[test]
    fn a_ban_is_kept_through_rewrites_and_kills_until_one_record_ends_it() {
        let folder = folder("ban");
        let mut journal = Journal::open(&folder, 1 << 20).unwrap();
        let ban = |uid: &str, on| Record::Banned(uid.into(), on);
        journal.write(&[ban("a", true), ban("b", true), ban("b", true), ban("a", false)]).unwrap();
        let live = journal.live;
        for no in 1..2000 {
            journal.write(&[taken(no, 900), Record::Ended(FlowNo(no), None)]).unwrap();
        }
        assert!(journal.length < 200_000, "it was rewritten");
        assert_eq!(journal.live, live);
        let mut journal = Journal::open(&folder, 1 << 20).unwrap();
        assert_eq!((&journal.ledger.bans, journal.live), (&["b".to_string()].into(), live));
        journal.write(&[ban("b", false)]).unwrap();
        assert_eq!((journal.ledger.bans.len(), journal.live), (0, 0));
        fs::remove_dir_all(folder).unwrap();
    }

    #[test]
    fn a_call_that_a_kill_cut_off_may_have_run_for_all_later_processes() {
        let folder = folder("twice");
        let at = |n: u64| SentTo { at: Duration::from_secs(n), server: format!("s-{n}") };
        let mut journal = Journal::open(&folder, 1 << 20).unwrap();
        journal.write(&[taken(1, 9), Record::Sent(FlowNo(1), at(1))]).unwrap();
        // Killed; the next process sends again, is refused, and is killed as well.
        let mut journal = Journal::open(&folder, 1 << 20).unwrap();
        journal.write(&[Record::Sent(FlowNo(1), at(2)), Record::CallEnded(FlowNo(1), true)]).unwrap();
        let journal = Journal::open(&folder, 1 << 20).unwrap();
        let progress = &journal.ledger().open[&FlowNo(1)].1;
        assert_eq!((progress.attempts, &progress.out, &progress.risk), (2, &None, &Some(at(1))));
        fs::remove_dir_all(folder).unwrap();
    }
}
