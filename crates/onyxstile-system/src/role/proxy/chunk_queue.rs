//! Queue of chunks of a streamed body between the task that receives them and the connection of the client, bounded by number
//! and by bytes.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

use super::client_response::Chunk;
use crate::answer_memory::HeldBuffer;

/// Maximum number of chunks queued for a client that reads slowly.
const MAX_QUEUED_CHUNKS: usize = 32;
/// Maximum size of the queued chunks, in bytes. A larger chunk is queued alone.
const MAX_QUEUED_BYTES: usize = 64 * 1024;

/// The client has disconnected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ClientGone;

/// Sending half of a queue.
pub(super) struct ChunkSender {
    chunks: mpsc::Sender<Chunk>,
    space: Arc<Semaphore>,
}

/// A queued chunk with the space that it takes until it has been written.
struct QueuedChunk {
    buffer: HeldBuffer,
    _space: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for QueuedChunk {
    fn as_ref(&self) -> &[u8] {
        self.buffer.as_ref()
    }
}

/// Creates an empty queue.
pub(super) fn chunk_queue() -> (ChunkSender, mpsc::Receiver<Chunk>) {
    let (chunks, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
    (ChunkSender { chunks, space: Arc::new(Semaphore::new(MAX_QUEUED_BYTES)) }, receiver)
}

impl ChunkSender {
    /// Queues bytes; waits while the queue is full.
    pub(super) async fn send(&self, buffer: HeldBuffer) -> Result<(), ClientGone> {
        let size = buffer.as_ref().len().min(MAX_QUEUED_BYTES) as u32;
        let space = tokio::select! {
            space = self.space.clone().acquire_many_owned(size) => space.map_err(|_| ClientGone)?,
            () = self.chunks.closed() => return Err(ClientGone),
        };
        let bytes = Bytes::from_owner(QueuedChunk { buffer, _space: space });
        self.chunks.send(Chunk::Data(bytes)).await.map_err(|_| ClientGone)
    }

    /// Queues the end marker.
    pub(super) async fn end(&self) -> Result<(), ClientGone> {
        self.chunks.send(Chunk::End).await.map_err(|_| ClientGone)
    }

    /// Waits until the client has disconnected.
    pub(super) async fn closed(&self) {
        self.chunks.closed().await;
    }
}
