//! Frame format of RPC connections: body length, call number, body.

use std::io;

use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;

use crate::wire::{self, FRAME_MAX};

/// Reads the next frame; returns its call number and body.
pub(super) async fn read_frame(reader: &mut BufReader<OwnedReadHalf>) -> io::Result<(u64, Vec<u8>)> {
    let length = reader.read_u32().await? as usize;
    let number = reader.read_u64().await?;
    if length > FRAME_MAX {
        return Err(io::Error::other(wire::WireError::TooLong(length)));
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).await?;
    Ok((number, body))
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
