//! The control socket: an operator's orders to a running relay, over a Unix socket in the folder that lasts.
//!
//! One order a line, as JSON, answered by one line. Only the relay's own user may connect (mode 0600). Orders are
//! bounded in length and time and in how much one does; whoever wants more asks again from where the answer ended.

use super::inbox::OwnerMessage;
pub use super::orders::{Answer, Order, What};
use super::unix;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Bytes of an order, at most.
pub const ORDER_MAX: usize = 64 * 1024;
/// Connections at once, at most.
const CONNECTIONS: usize = 4;
/// How long an order may take to come, and its answer to be taken.
const PATIENCE: Duration = Duration::from_secs(5);
/// How long an idle connection is kept.
const IDLE: Duration = Duration::from_secs(60);

/// Where the socket is.
pub fn path(state: &Path) -> PathBuf {
    state.join("control")
}

/// Listens on the socket.
///
/// # Errors
/// It cannot be made.
pub fn listen(state: &Path) -> io::Result<UnixListener> {
    unix::listen(&path(state))
}

/// Takes orders until the program ends.
pub async fn serve(listener: UnixListener, owner: mpsc::Sender<OwnerMessage>) {
    let places = Rc::new(());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(100)).await;
            continue;
        };
        if Rc::strong_count(&places) > CONNECTIONS {
            continue;
        }
        let place = places.clone();
        let owner = owner.clone();
        spawn_local(async move {
            let _place = place;
            let _ = talk(stream, owner).await;
        });
    }
}

async fn talk(mut stream: UnixStream, owner: mpsc::Sender<OwnerMessage>) -> io::Result<()> {
    let uid = stream.peer_cred().map(|c| c.uid()).ok();
    let mut buffer = Vec::new();
    loop {
        let Some(line) = read_line(&mut stream, &mut buffer).await? else { return Ok(()) };
        let answer = match serde_json::from_slice::<Order>(&line) {
            Err(e) => Answer::error(format!("the order cannot be read: {e}")),
            Ok(order) => {
                let (reply, answer) = oneshot::channel();
                let order = signed(order, uid);
                let sent = timeout(PATIENCE, owner.send(OwnerMessage::Control(order, reply))).await;
                match sent {
                    Ok(Ok(())) => match timeout(PATIENCE, answer).await {
                        Ok(Ok(answer)) => answer,
                        _ => Answer::error("no answer"),
                    },
                    _ => Answer::error("the relay is too busy, or ends"),
                }
            }
        };
        let mut bytes = serde_json::to_vec(&answer)?;
        bytes.push(b'\n');
        timeout(PATIENCE, stream.write_all(&bytes)).await??;
    }
}

/// Names the user beside the name that was given: the system knows the one, anybody can say the other.
fn signed(order: Order, uid: Option<u32>) -> Order {
    match order {
        Order::Change { filter, after, what, by } => {
            let by: String = by.chars().filter(|c| !c.is_control()).take(100).collect();
            let by = uid.map_or(by.clone(), |uid| format!("{by} (uid {uid})"));
            Order::Change { filter, after, what, by }
        }
        order => order,
    }
}

async fn read_line(stream: &mut UnixStream, buffer: &mut Vec<u8>) -> io::Result<Option<Vec<u8>>> {
    let mut patience = IDLE;
    loop {
        if let Some(end) = buffer.iter().position(|b| *b == b'\n') {
            let rest = buffer.split_off(end + 1);
            buffer.truncate(end);
            return Ok(Some(std::mem::replace(buffer, rest)));
        }
        if buffer.len() > ORDER_MAX {
            return Err(io::ErrorKind::InvalidData.into());
        }
        if !buffer.is_empty() {
            patience = PATIENCE;
        }
        let mut part = [0; 4096];
        let n = timeout(patience, stream.read(&mut part)).await??;
        if n == 0 {
            return Ok(None);
        }
        buffer.extend(&part[..n]);
    }
}
