//! Records are written: each with its length and checksum.

use super::record::{Record, SentTo, TakenFlow};
use onyxstile_peers::{Fate, Life};
use onyxstile_recovery::Durability;
use std::time::Duration;

/// Bytes of a record's body, at most.
pub(super) const RECORD_MAX: usize = 256 * 1024;
/// Length and checksum before each record.
pub(super) const HEADER: usize = 8;
/// Fates by their number in the file.
pub(super) const FATES: [Fate; 4] = [Fate::Returned, Fate::Taken, Fate::Ended, Fate::Delivered];

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
pub(super) fn encode(record: &Record, out: &mut Vec<u8>) {
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
        Record::Started(s) => {
            // Two forms, as before: an earlier program wrote no node.
            out.push(if s.node.is_some() { 20 } else { 12 });
            put_time(out, s.at);
            s.node.into_iter().for_each(|node| put_u64(out, node.into()));
            let Life { born, folder, start, process, .. } = s.life;
            [born, folder, start, process.into()].into_iter().for_each(|n| put_u64(out, n.into()));
            put_bytes(out, s.boot.as_bytes());
            out.push(u8::from(s.durability == Durability::Power));
        }
        Record::Moment(at) => {
            out.push(13);
            put_time(out, *at);
        }
        Record::Closed(at) => {
            out.push(14);
            put_time(out, *at);
        }
        Record::Wait(uid, until) => {
            out.push(15);
            put_time(out, *until);
            put_bytes(out, uid.as_bytes());
        }
        Record::Over(digest, fate, at) => {
            out.push(16);
            put_u64(out, *digest);
            put_time(out, *at);
            out.push(FATES.iter().position(|f| f == fate).unwrap_or_default() as u8);
        }
        Record::OverFrom(at) => {
            out.push(17);
            put_time(out, *at);
        }
        Record::Ill(uid, on) => {
            out.push(18);
            put_u64(out, u64::from(*on));
            put_bytes(out, uid.as_bytes());
        }
        Record::Limit(uid, rate) => {
            out.push(19);
            put_u64(out, rate.to_bits());
            put_bytes(out, uid.as_bytes());
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
