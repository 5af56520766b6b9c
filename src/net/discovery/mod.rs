//! Follows discovery's list by a watch that is set up anew whenever it ends or falls silent.

mod lists;
mod pace;

use super::http::{Framing, HttpError, Reader};
use super::inbox::OwnerMessage;
use super::socket::connect;
use lists::{Judged, Lists, Versions};
pub use pace::Pace;
use pace::SILENCE;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::watch::Receiver;
use tokio::time::{sleep, timeout};

/// Bytes of one line of the list, at most.
const LINE_MAX: usize = 1 << 20;

/// What is known of the list.
#[derive(Debug)]
struct Known {
    /// The newest version that was taken in; 0 asks for the whole list.
    rev: u64,
    versions: Versions,
}

/// Follows the list for as long as the program runs, from version `rev` on; at a new address as soon as there
/// is one. The list stands meanwhile: that an address is left says nothing of the endpoints.
pub async fn follow(
    mut addresses: Receiver<SocketAddr>, rev: u64, owner: mpsc::Sender<OwnerMessage>, mut pace: Pace,
) {
    let mut known = Known { rev, versions: Versions::default() };
    let mut pause = pace.start();
    // Guards the log: a discovery that is away for long is asked often, and fails in one way.
    let mut said = String::new();
    loop {
        tokio::select! {
            () = sleep(pause) => {}
            () = moved(&mut addresses) => {
                pause = pace.start();
                continue;
            }
        }
        let (mut begun, address) = (false, *addresses.borrow_and_update());
        let ended = tokio::select! {
            ended = watch(address, &mut known, &mut begun, &owner, pace.patience()) => ended,
            () = moved(&mut addresses) => {
                tracing::info!("discovery: from {address} to {} at version {}", *addresses.borrow(), known.rev);
                pause = pace.start();
                continue;
            }
        };
        let why = ended.err().map_or(String::new(), |e| e.to_string());
        if begun || said != why {
            tracing::info!("discovery: the watch ended at version {}: {why}", known.rev);
        }
        said = why;
        pause = pace.again(begun);
    }
}

/// Returns once there is another address.
pub async fn moved(addresses: &mut Receiver<SocketAddr>) {
    if addresses.changed().await.is_err() {
        // Nobody is left who could name one.
        std::future::pending::<()>().await;
    }
}

/// Asks for a watch; its answer has begun once this returns.
async fn open(address: SocketAddr, known: &mut Known) -> Result<Reader<TcpStream>, HttpError> {
    let mut reader = Reader::new(connect(address).await.map_err(HttpError::Io)?);
    let from = known.rev;
    let request = format!("GET /registry/instances?watch=1&from={from} HTTP/1.1\r\nHost: {address}\r\n\r\n");
    reader.get_mut().write_all(request.as_bytes()).await.map_err(HttpError::Io)?;
    let head = reader.head().await?;
    if matches!(head.first[1].as_str(), "429" | "503") {
        // It has no time for us now, which says nothing of the version: the whole list would cost it more.
        return Err(HttpError::Malformed("discovery is busy"));
    }
    if head.first[1] != "200" || head.framing(Framing::UntilEnd)? != Framing::Chunked {
        // The version may be one that discovery no longer knows: from then on, the whole list.
        known.rev = 0;
        return Err(HttpError::Malformed("no watch"));
    }
    Ok(reader)
}

async fn watch(
    address: SocketAddr, known: &mut Known, begun: &mut bool, owner: &mpsc::Sender<OwnerMessage>,
    patience: Duration,
) -> Result<(), HttpError> {
    let late = |_| HttpError::Malformed("silence");
    let mut reader = timeout(patience, open(address, known)).await.map_err(late)??;
    *begun = true;
    let mut lists = Lists::default();
    while let Some(chunk) = timeout(SILENCE, reader.chunk(LINE_MAX)).await.map_err(late)?? {
        for list in lists.take(&chunk)? {
            match known.versions.judge(list.rev, known.rev, std::time::Instant::now()) {
                Judged::News => {}
                Judged::Late => {
                    tracing::debug!("discovery: version {} comes after {}", list.rev, known.rev);
                    continue;
                }
                Judged::BegunAnew => {
                    known.rev = 0;
                    return Err(HttpError::Malformed("versions begin anew"));
                }
            }
            // The version moves on only with the list on its way: the watch may be left at any wait.
            let Ok(place) = owner.reserve().await else { return Ok(()) };
            known.rev = list.rev;
            place.send(OwnerMessage::List(list));
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
