//! Frame format of RPC connections: body length, call number, body.

use std::io;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;

use crate::wire::{self, FRAME_MAX};

/// Time within which a frame has to be complete once its head has come.
const FRAME_TIMEOUT: Duration = Duration::from_secs(30);
/// Bytes of a body that are read at once.
const PIECE_BYTES: usize = 64 * 1024;

/// Head of a frame.
pub(super) struct FrameHead {
    /// Length of the body, in bytes.
    length: usize,
    /// Number of the call.
    pub number: u64,
}

/// Waits for the next frame and reads its head.
pub(super) async fn read_head<R: AsyncRead + Unpin>(reader: &mut R) -> io::Result<FrameHead> {
    let length = reader.read_u32().await? as usize;
    let number = reader.read_u64().await?;
    if length > FRAME_MAX {
        return Err(io::Error::other(wire::WireError::TooLong(length)));
    }
    Ok(FrameHead { length, number })
}

/// Reads the body of a frame. Memory is taken as bytes come, not by the length that the peer has told: `admit` is called with
/// the size of each piece. After it has refused one, the rest is discarded, and the result is `None`.
pub(super) async fn read_frame_body<R: AsyncRead + Unpin>(
    reader: &mut R, head: &FrameHead, mut admit: impl FnMut(usize) -> bool,
) -> io::Result<Option<Vec<u8>>> {
    let reading = async {
        let mut body = Vec::new();
        while body.len() < head.length {
            let piece = PIECE_BYTES.min(head.length - body.len());
            if !admit(piece) {
                let rest = (head.length - body.len()) as u64;
                tokio::io::copy(&mut AsyncReadExt::take(&mut *reader, rest), &mut tokio::io::sink()).await?;
                return Ok(None);
            }
            let start = body.len();
            body.resize(start + piece, 0);
            reader.read_exact(&mut body[start..]).await?;
        }
        Ok(Some(body))
    };
    tokio::time::timeout(FRAME_TIMEOUT, reading).await.map_err(|_| io::ErrorKind::TimedOut)?
}

/// Writes frames until the queue is closed; queued frames are written together.
pub(super) async fn write_frames(
    mut writer: OwnedWriteHalf, mut queue: mpsc::Receiver<(u64, Vec<u8>)>,
) -> io::Result<()> {
    while let Some((number, body)) = queue.recv().await {
        let mut bytes = Vec::with_capacity(body.len() + 12);
        push_frame(&mut bytes, number, &body);
        while let Ok((number, body)) = queue.try_recv() {
            push_frame(&mut bytes, number, &body);
        }
        writer.write_all(&bytes).await?;
    }
    Ok(())
}

fn push_frame(bytes: &mut Vec<u8>, number: u64, body: &[u8]) {
    bytes.extend_from_slice(&(body.len() as u32).to_be_bytes());
    bytes.extend_from_slice(&number.to_be_bytes());
    bytes.extend_from_slice(body);
}
