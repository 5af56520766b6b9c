//! Follows discovery's list by a watch that is set up anew whenever it ends.

use super::http::{Framing, HttpError, Reader};
use super::inbox::ToOwner;
use super::listed::RawList;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::watch::Receiver;
use tokio::time::{sleep, timeout};

/// A sign of life comes every 2 s; two missed ones, and some slack, mean that the watch is dead.
const SILENCE: Duration = Duration::from_millis(4500);
/// Time for a connection, and for the list that is asked for at once.
const ANSWER: Duration = Duration::from_secs(2);
/// First and longest pause before the next try.
const PAUSE: Duration = Duration::from_millis(100);
const PAUSE_MAX: Duration = Duration::from_secs(2);
/// Bytes of one line of the list, at most.
const LINE_MAX: usize = 1 << 20;

/// Follows the list for as long as the program runs, from version `rev` on; at a new address as soon as there
/// is one. The list stands meanwhile: that an address is left says nothing of the real servers.
pub async fn follow(mut addresses: Receiver<SocketAddr>, mut rev: u64, owner: mpsc::Sender<ToOwner>) {
    let mut pause = PAUSE;
    loop {
        let (before, address) = (rev, *addresses.borrow_and_update());
        let ended = tokio::select! {
            ended = watch(address, &mut rev, &owner) => ended,
            () = moved(&mut addresses) => {
                tracing::info!("discovery: from {address} to {} at version {rev}", *addresses.borrow());
                pause = PAUSE;
                continue;
            }
        };
        tracing::info!(
            "discovery: the watch ended at version {rev}: {}",
            ended.err().map_or(String::new(), |e| e.to_string())
        );
        pause = if rev == before { (pause * 2).min(PAUSE_MAX) } else { PAUSE };
        tokio::select! {
            () = sleep(pause) => {}
            () = moved(&mut addresses) => pause = PAUSE,
        }
    }
}

/// Returns once there is another address.
pub async fn moved(addresses: &mut Receiver<SocketAddr>) {
    if addresses.changed().await.is_err() {
        // Nobody is left who could name one.
        std::future::pending::<()>().await;
    }
}

async fn watch(address: SocketAddr, rev: &mut u64, owner: &mpsc::Sender<ToOwner>) -> Result<(), HttpError> {
    let late = |_| HttpError::Malformed("silence");
    let connected = timeout(ANSWER, TcpStream::connect(address)).await.map_err(late)?;
    let mut reader = Reader::new(connected.map_err(HttpError::Io)?);
    let request = format!("GET /registry/instances?watch=1&from={rev} HTTP/1.1\r\nHost: {address}\r\n\r\n");
    reader.get_mut().write_all(request.as_bytes()).await.map_err(HttpError::Io)?;
    let head = timeout(SILENCE, reader.head()).await.map_err(late)??;
    if matches!(head.first[1].as_str(), "429" | "503") {
        // It has no time for us now, which says nothing of the version: the whole list would cost it more.
        return Err(HttpError::Malformed("discovery is busy"));
    }
    if head.first[1] != "200" || head.framing(Framing::UntilEnd)? != Framing::Chunked {
        // The version may be one that discovery no longer knows: from then on, the whole list.
        *rev = 0;
        return Err(HttpError::Malformed("no watch"));
    }
    let mut line = Vec::new();
    while let Some(chunk) = timeout(SILENCE, reader.chunk(LINE_MAX)).await.map_err(late)?? {
        for piece in chunk.split_inclusive(|b| *b == b'\n') {
            line.extend_from_slice(piece);
            if line.len() > LINE_MAX {
                return Err(HttpError::BodyTooLarge);
            }
            if line.ends_with(b"\n") {
                let text = line.trim_ascii();
                if !text.is_empty() {
                    let list: RawList =
                        serde_json::from_slice(text).map_err(|_| HttpError::Malformed("a list"))?;
                    // The version moves on only with the list on its way: the watch may be left at any wait.
                    let Ok(place) = owner.reserve().await else { return Ok(()) };
                    *rev = list.rev;
                    place.send(ToOwner::List(list));
                }
                line.clear();
            }
        }
    }
    Ok(())
}
