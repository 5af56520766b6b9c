//! Frames and sockets between two processes, over a Unix socket.

use super::state::STATE_MAX;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, ReturnFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, recvmsg, sendmsg,
};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{BorrowedFd, OwnedFd};
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::UnixStream;

/// Sockets that one message carries, at most; the system takes 253.
const AT_ONCE: usize = 128;

/// What a frame is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Kind {
    /// Who asks.
    Hello = b'H',
    /// No, and why.
    Never = b'N',
    /// Not now, and why.
    Later = b'L',
    /// All but the sockets, which follow.
    State = b'S',
    /// Built; waiting for the word.
    Ready = b'Y',
    /// Yours.
    Go = b'G',
    /// Mine again.
    Resumed = b'R',
    /// The one that took over has ended in order.
    Bye = b'B',
}

impl Kind {
    fn of(byte: u8) -> io::Result<Kind> {
        use Kind::{Bye, Go, Hello, Later, Never, Ready, Resumed, State};
        let all = [Hello, Never, Later, State, Ready, Go, Resumed, Bye];
        all.into_iter().find(|k| *k as u8 == byte).ok_or_else(|| bad("an unknown frame"))
    }
}

fn bad(what: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

/// The other process.
#[derive(Debug)]
pub struct Peer(UnixStream);

impl Peer {
    /// At the other end of a socket.
    pub fn new(stream: UnixStream) -> Peer {
        Peer(stream)
    }

    /// Says something.
    ///
    /// # Errors
    /// The socket is gone.
    pub async fn say(&mut self, kind: Kind, what: &[u8]) -> io::Result<()> {
        let length = u32::try_from(what.len()).map_err(|_| bad("a frame too long"))?;
        let mut head = [kind as u8; 5];
        head[1..].copy_from_slice(&length.to_le_bytes());
        self.0.write_all(&head).await?;
        self.0.write_all(what).await
    }

    /// What the other says; none once it has nothing more to say.
    ///
    /// # Errors
    /// The socket failed, or what comes is no frame.
    pub async fn hear(&mut self) -> io::Result<Option<(Kind, Vec<u8>)>> {
        let mut head = [0; 5];
        if let Err(e) = self.0.read_exact(&mut head).await {
            let gone = matches!(e.kind(), io::ErrorKind::UnexpectedEof | io::ErrorKind::ConnectionReset);
            return if gone { Ok(None) } else { Err(e) };
        }
        let kind = Kind::of(head[0])?;
        let length = u32::from_le_bytes([head[1], head[2], head[3], head[4]]) as usize;
        if length > STATE_MAX {
            return Err(bad("a frame too long"));
        }
        let mut what = vec![0; length];
        self.0.read_exact(&mut what).await?;
        Ok(Some((kind, what)))
    }

    /// Sends sockets; they stay open here.
    ///
    /// # Errors
    /// The socket is gone.
    pub async fn send_sockets(&mut self, sockets: &[BorrowedFd<'_>]) -> io::Result<()> {
        for some in sockets.chunks(AT_ONCE) {
            let count = [some.len() as u8];
            let sent = self.0.async_io(Interest::WRITABLE, || {
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(AT_ONCE))];
                let mut with = SendAncillaryBuffer::new(&mut space);
                with.push(SendAncillaryMessage::ScmRights(some));
                Ok(sendmsg(&self.0, &[IoSlice::new(&count)], &mut with, SendFlags::NOSIGNAL)?)
            });
            if sent.await? != 1 {
                return Err(bad("sockets were not sent"));
            }
        }
        Ok(())
    }

    /// Receives so many sockets.
    ///
    /// # Errors
    /// The socket is gone, or others come.
    pub async fn receive_sockets(&mut self, count: usize) -> io::Result<Vec<OwnedFd>> {
        let mut sockets = Vec::with_capacity(count);
        while sockets.len() < count {
            let come = self.0.async_io(Interest::READABLE, || {
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(AT_ONCE))];
                let mut with = RecvAncillaryBuffer::new(&mut space);
                let mut number = [0];
                let got = recvmsg(
                    &self.0,
                    &mut [IoSliceMut::new(&mut number)],
                    &mut with,
                    RecvFlags::CMSG_CLOEXEC,
                )?;
                let come: Vec<OwnedFd> = with
                    .drain()
                    .filter_map(|m| if let RecvAncillaryMessage::ScmRights(s) = m { Some(s) } else { None })
                    .flatten()
                    .collect();
                // What did not fit into this process' descriptors is missing.
                let whole = got.bytes == 1 && come.len() == usize::from(number[0]);
                if !whole || come.is_empty() || got.flags.contains(ReturnFlags::CTRUNC) {
                    return Err(bad("sockets are missing"));
                }
                Ok(come)
            });
            sockets.extend(come.await?);
        }
        if sockets.len() == count { Ok(sockets) } else { Err(bad("more sockets than were told")) }
    }
}
