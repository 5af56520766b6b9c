//! Tells the platform how flows ended that were taken on and not delivered.

use super::discovery::moved;
use super::http::{Framing, HttpError, Reader};
use super::inbox::OwnerMessage;
use super::journal::Owed;
use super::socket::connect;
use crate::core::FlowNo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::watch::Receiver;
use tokio::time::{sleep, timeout};

/// Time for the first exchange of a batch, and for the last ones; it doubles in between. The platform answers at
/// once, and a notice is overdue 300 ms after its flow's time: a connection that fell silent unseen must not
/// take longer than that to be left for a new one. Told twice, a notice does no harm.
const ANSWER: Duration = Duration::from_millis(80);
const ANSWER_MAX: Duration = Duration::from_secs(1);
/// First and longest pause before the next try.
const PAUSE: Duration = Duration::from_millis(25);
const PAUSE_MAX: Duration = Duration::from_secs(1);
/// Notices in one request, at most.
pub const BATCH: usize = 128;

/// Takes batches from `due` one after the other, and reports each to `owner` once it has been heard.
pub async fn tell(
    mut addresses: Receiver<SocketAddr>, mut due: mpsc::Receiver<Vec<(FlowNo, Owed)>>,
    owner: mpsc::Sender<OwnerMessage>,
) {
    let mut connection = None;
    while let Some(batch) = due.recv().await {
        let flows = batch.iter().map(|(no, _)| *no).collect();
        if !tell_all(&mut addresses, &mut connection, &batch).await {
            // Not understood together: one faulty line must not hold up the others, nor come for ever.
            for one in batch.chunks(1) {
                if !tell_all(&mut addresses, &mut connection, one).await {
                    tracing::error!("the platform does not take the notice for {}", one[0].1.id);
                }
            }
        }
        if owner.send(OwnerMessage::NoticesAcknowledged(flows)).await.is_err() {
            return;
        }
    }
}

/// Where no platform is told: each end stands in the log, which is all that hears of it.
pub async fn tell_log(mut due: mpsc::Receiver<Vec<(FlowNo, Owed)>>, owner: mpsc::Sender<OwnerMessage>) {
    while let Some(batch) = due.recv().await {
        batch.iter().for_each(|(_, owed)| tracing::warn!("undelivered: {}", line(owed).trim_end()));
        let flows = batch.into_iter().map(|(no, _)| no).collect();
        if owner.send(OwnerMessage::NoticesAcknowledged(flows)).await.is_err() {
            return;
        }
    }
}

/// Tells until there is an answer; whether it was understood.
async fn tell_all(
    addresses: &mut Receiver<SocketAddr>, connection: &mut Option<Reader<TcpStream>>,
    batch: &[(FlowNo, Owed)],
) -> bool {
    let body: String = batch.iter().map(|(_, owed)| line(owed)).collect();
    let (mut pause, mut patience) = (PAUSE, ANSWER);
    loop {
        // Guards against notices told where nobody listens any more: a new address gets them at once.
        if addresses.has_changed().unwrap_or(false) {
            *connection = None;
            pause = PAUSE;
        }
        let address = *addresses.borrow_and_update();
        let told = tokio::select! {
            told = timeout(patience, post(address, connection, &body)) => told,
            () = moved(addresses) => {
                addresses.mark_changed();
                continue;
            }
        };
        match told {
            Ok(Ok(204)) => return true,
            Ok(Ok(400)) => return false,
            Ok(Ok(status)) => tracing::warn!("notices: the platform answers {status}"),
            Ok(Err(e)) => tracing::warn!("notices: {e}"),
            Err(_) => {
                // Silence says nothing of the platform yet: a new connection is tried at once.
                tracing::warn!("notices: no answer within {patience:?}");
                *connection = None;
                if patience < ANSWER_MAX {
                    patience = (patience * 2).min(ANSWER_MAX);
                    continue;
                }
            }
        }
        *connection = None;
        tokio::select! {
            () = sleep(pause) => pause = (pause * 2).min(PAUSE_MAX),
            () = moved(addresses) => addresses.mark_changed(),
        }
    }
}

fn line(owed: &Owed) -> String {
    let mut notice = serde_json::json!({ "id": owed.id, "state": "failed" });
    if let Some(after) = owed.returned_after {
        notice["state"] = "returned".into();
        notice["after_ms"] = (after.as_millis() as u64).into();
    }
    format!("{notice}\n")
}

async fn post(
    address: SocketAddr, connection: &mut Option<Reader<TcpStream>>, body: &str,
) -> Result<u16, HttpError> {
    let mut reader = match connection.take() {
        Some(reader) => reader,
        None => Reader::new(connect(address).await.map_err(HttpError::Io)?),
    };
    let head = format!(
        "POST /v1/outcomes HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/x-ndjson\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    reader.get_mut().write_all((head + body).as_bytes()).await.map_err(HttpError::Io)?;
    let head = reader.head().await?;
    let status = head.first[1].parse().map_err(|_| HttpError::Malformed("the status"))?;
    // A 204 has no body, whatever else its head says.
    let framing = if status == 204 { Framing::Length(0) } else { head.framing(Framing::UntilEnd)? };
    reader.body(framing).await?;
    if head.keeps_alive(&head.first[0]) && framing != Framing::UntilEnd {
        *connection = Some(reader);
    }
    Ok(status)
}
