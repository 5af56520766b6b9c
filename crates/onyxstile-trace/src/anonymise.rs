//! Names replaced by keyed digests: the same name by the same digest, throughout and in all files of one key.
//!
//! Digests are HMAC-SHA-256 (RFC 2104) cut to 48 bits, with a letter before them for what they stand for. Addresses
//! stay addresses; where it is asked for, those of one network stay in one network (each bit is turned over or not by
//! a digest of the bits before it, as Crypto-PAn has it). Times, sizes, outcomes and classes stay.

use crate::Error;
use crate::about::kind;
use crate::events::event::What;
use crate::events::{Event, FileHeader, Flow};
use crate::input::{Progress, Selection, each};
use crate::reader::Reader;
use crate::writer::{Options, Writer};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::collections::HashMap;
use std::io::{Read, Seek, Write};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

/// Digests that are kept at hand; with more names than that they are made anew.
const CACHE: usize = 65_536;

/// Replaces names under a key.
pub struct Anonymiser {
    mac: Hmac<Sha256>,
    networks: bool,
    cache: HashMap<(u8, String), String>,
}

/// What a name stands for.
#[derive(Clone, Copy)]
#[repr(u8)]
enum As {
    Relay,
    Customer,
    Destination,
    Server,
    Id,
}

impl Anonymiser {
    /// Under a key of any length. `networks`: addresses keep their networks.
    ///
    /// # Errors
    /// A key without a byte.
    pub fn new(key: &[u8], networks: bool) -> Result<Self, Error> {
        let mac = <Hmac<Sha256> as KeyInit>::new_from_slice(key).ok().filter(|_| !key.is_empty());
        let mac = mac.ok_or_else(|| Error::Asked("the key is empty".into()))?;
        Ok(Anonymiser { mac, networks, cache: HashMap::new() })
    }

    fn digest(&self, what: u8, text: &[u8]) -> [u8; 32] {
        self.mac.clone().chain_update([what]).chain_update(text).finalize().into_bytes().into()
    }

    fn hex(&self, what: u8, text: &str) -> String {
        self.digest(what, text.as_bytes())[..6].iter().map(|b| format!("{b:02x}")).collect()
    }

    fn name(&mut self, what: As, name: &str) -> String {
        if name.is_empty() {
            return String::new();
        }
        let at = (what as u8, name.to_string());
        if let Some(known) = self.cache.get(&at) {
            return known.clone();
        }
        let digest = |letter: &str| format!("{letter}-{}", self.hex(what as u8, name));
        let made = match what {
            As::Id if name.contains('@') => self.mail(name),
            As::Relay => digest("r"),
            As::Customer => digest("c"),
            As::Destination => digest("d"),
            As::Id => digest("i"),
            // Servers are named by group and address, by address, or by a word.
            As::Server => match name.rsplit_once('/') {
                Some((group, address)) if address.parse::<SocketAddr>().is_ok() => {
                    format!("g-{}/{}", self.hex(9, group), self.address(address))
                }
                _ if name.parse::<SocketAddr>().is_ok() => self.address(name),
                _ => digest("s"),
            },
        };
        if self.cache.len() >= CACHE {
            self.cache.clear();
        }
        self.cache.insert(at, made.clone());
        made
    }

    /// A mail address: both parts for themselves, so that those of one domain show as such.
    fn mail(&self, address: &str) -> String {
        let (local, domain) = address.rsplit_once('@').unwrap_or((address, ""));
        format!("m{}@d{}.invalid", self.hex(20, local), self.hex(21, domain))
    }

    /// An address and port, of which the port stays; what is no address is digested whole.
    fn address(&self, text: &str) -> String {
        match text.parse::<SocketAddr>() {
            Ok(address) => SocketAddr::new(self.ip(address.ip()), address.port()).to_string(),
            Err(_) if text.is_empty() => String::new(),
            Err(_) => format!("a-{}", self.hex(22, text)),
        }
    }

    fn ip(&self, ip: IpAddr) -> IpAddr {
        match ip {
            IpAddr::V4(ip) => {
                let bits = self.bits(u128::from(u32::from(ip)) << 96, 32);
                IpAddr::V4(Ipv4Addr::from((bits >> 96) as u32))
            }
            IpAddr::V6(ip) => IpAddr::V6(Ipv6Addr::from(self.bits(u128::from(ip), 128))),
        }
    }

    /// The first `length` bits, changed.
    fn bits(&self, bits: u128, length: u32) -> u128 {
        let mask = |n: u32| u128::MAX.checked_shl(128 - n).unwrap_or(0);
        if !self.networks {
            let digest = self.digest(23, &[&bits.to_be_bytes()[..], &[length as u8]].concat());
            let other = digest[..16].iter().fold(0u128, |all, b| all << 8 | u128::from(*b));
            return other & mask(length);
        }
        let mut out = 0;
        for n in 0..length {
            let before = bits & mask(n);
            let turn =
                self.digest(24, &[&before.to_be_bytes()[..], &[n as u8, length as u8]].concat())[0] & 1;
            let bit = (bits >> (127 - n) & 1) ^ u128::from(turn);
            out |= bit << (127 - n);
        }
        out
    }

    fn flow(&mut self, flow: &mut Option<Flow>) {
        if let Some(f) = flow {
            f.customer = self.name(As::Customer, &f.customer);
            f.destination = self.name(As::Destination, &f.destination);
        }
    }

    /// Replaces the names in an event.
    pub fn event(&mut self, event: &mut Event) {
        let Some(what) = &mut event.what else { return };
        match what {
            What::Offered(e) => {
                self.flow(&mut e.flow);
                e.id = self.name(As::Id, &e.id);
            }
            What::Taken(e) => self.flow(&mut e.flow),
            What::TurnedDown(e) => {
                self.flow(&mut e.flow);
                e.id = self.name(As::Id, &e.id);
            }
            What::Recovered(e) => {
                self.flow(&mut e.flow);
                e.id = self.name(As::Id, &e.id);
            }
            What::Sent(e) => {
                self.flow(&mut e.flow);
                e.server = self.name(As::Server, &e.server);
            }
            What::AttemptEnded(e) => {
                self.flow(&mut e.flow);
                e.server = self.name(As::Server, &e.server);
            }
            What::AttemptStopped(e) => self.flow(&mut e.flow),
            What::TimerFired(e) => self.flow(&mut e.flow),
            What::Ended(e) => self.flow(&mut e.flow),
            What::NoticeOwed(e) => self.flow(&mut e.flow),
            What::WaitTold(e) => {
                e.destination = self.name(As::Destination, &e.destination);
                e.server = self.name(As::Server, &e.server);
            }
            What::WaitEnded(e) => {
                e.destination = self.name(As::Destination, &e.destination);
                e.server = self.name(As::Server, &e.server);
            }
            What::Health(e) => {
                e.destination = self.name(As::Destination, &e.destination);
                e.server = self.name(As::Server, &e.server);
            }
            What::Probed(e) => {
                e.destination = self.name(As::Destination, &e.destination);
                e.server = self.name(As::Server, &e.server);
            }
            What::ListChanged(e) => {
                e.destination = self.name(As::Destination, &e.destination);
                e.server = self.name(As::Server, &e.server);
                e.address = self.address(&e.address);
            }
            What::NoticeHeard(_) | What::ConfigurationChanged(_) | What::Phase(_) | What::Dropped(_) => {}
        }
    }

    /// Replaces the names in a header.
    pub fn header(&mut self, header: &mut FileHeader) {
        header.relay = self.name(As::Relay, &header.relay);
        for source in &mut header.sources {
            source.relay = self.name(As::Relay, &source.relay);
        }
        let id = self.digest(25, &header.file_id);
        (header.file_id, header.anonymised) = (id[..16].to_vec(), true);
    }
}

/// Writes a file anew with its names replaced. Events of a newer version are left out, for nobody knows what they
/// name. Returns the events written and left out.
///
/// # Errors
/// Either file.
pub fn anonymise<R: Read + Seek, W: Write>(
    reader: &mut Reader<R>, by: &mut Anonymiser, out: W, progress: Progress<'_>,
) -> Result<(u64, u64), Error> {
    let mut header = reader.header().clone();
    by.header(&mut header);
    let mut writer = Writer::new(out, &header, Options::default())?;
    let (mut written, mut left) = (0, 0);
    each(reader, &Selection::default(), progress, &mut |_, _, mut event| {
        if event.what.as_ref().map(kind).is_none() {
            left += 1;
            return Ok(());
        }
        by.event(&mut event);
        written += 1;
        Ok(writer.push(&event)?)
    })?;
    writer.finish()?;
    Ok((written, left))
}
