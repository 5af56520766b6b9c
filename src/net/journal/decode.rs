//! Records are read.

use super::encode::{FATES, HEADER, RECORD_MAX};
use super::record::{Owed, Progress, Record, SentTo, Started, TakenFlow};
use crate::core::FlowNo;
use crate::net::parcel::{Envelope, Parcel, Routed};
use onyxstile_peers::Life;
use onyxstile_recovery::Durability;
use std::rc::Rc;
use std::time::Duration;

/// Reads the first record and its length in the file; none if it is not whole and good.
pub(super) fn decode(bytes: &[u8]) -> Option<(Record, usize)> {
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

/// Where the next whole record begins behind bytes that are none, if there is one. Every place is looked at: what spoilt
/// the bytes has spoilt their lengths too.
pub(super) fn resume(bytes: &[u8]) -> Option<usize> {
    (1..bytes.len().saturating_sub(HEADER)).find(|at| decode(&bytes[*at..]).is_some())
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
            12 | 20 => Record::Started(Started {
                at: Duration::from_micros(no.0),
                node: if kind == 20 { Some(self.u64()?.try_into().ok()?) } else { None },
                life: Life {
                    born: self.u64()?.try_into().ok()?,
                    folder: self.u64()?.try_into().ok()?,
                    start: self.u64()?.try_into().ok()?,
                    process: self.u64()?.try_into().ok()?,
                    turn: 0,
                },
                boot: self.text()?,
                durability: if self.flag()? { Durability::Power } else { Durability::Process },
            }),
            13 => Record::Moment(Duration::from_micros(no.0)),
            14 => Record::Closed(Duration::from_micros(no.0)),
            15 => Record::Wait(self.text()?, Duration::from_micros(no.0)),
            16 => {
                let at = self.time()?;
                Record::Over(no.0, *FATES.get(usize::from(self.take(1)?[0]))?, at)
            }
            17 => Record::OverFrom(Duration::from_micros(no.0)),
            18 => Record::Ill(self.text()?, no.0 != 0),
            19 => {
                let rate = Some(f64::from_bits(no.0)).filter(|rate| rate.is_finite() && *rate >= 0.0)?;
                Record::Limit(self.text()?, rate)
            }
            8 => Record::Bounced(no, FlowNo(self.u64()?), self.flow(None)?),
            _ => return None,
        })
    }
}
