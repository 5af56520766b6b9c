//! The old process' side: who asks is looked at here, and handed to the owner.

use super::socket;
use super::state::{FORMAT, Hello, read};
use super::wire::{Kind, Peer};
use crate::net::config::Config;
use crate::net::inbox::OwnerMessage;
use crate::net::unix;
use std::io;
use std::time::Duration;
use tokio::net::UnixListener;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

/// How long whoever asks may take to say who it is.
const HELLO_TIME: Duration = Duration::from_millis(500);

/// Listens for processes that want to take over.
///
/// # Errors
/// The socket cannot be made.
pub fn listen(config: &Config) -> io::Result<UnixListener> {
    let (path, _folder) = socket(&config.state)?;
    unix::listen(&path)
}

/// What this process cannot hand over, if there is anything: it assumes that it has the folder for itself.
pub fn never(config: &Config) -> Option<&'static str> {
    let kept = [
        (config.mail.is_some(), "the mail front cannot be handed over"),
        (config.trace.is_some(), "[trace] cannot be handed over"),
        (config.undelivered.is_some(), "[undelivered] cannot be handed over"),
        (config.durability.is_some(), "[durability] cannot be handed over"),
        (config.peers.is_some(), "[peers] cannot be handed over"),
    ];
    kept.into_iter().find(|(there, _)| *there).map(|(_, what)| what)
}

/// Takes those that ask, one after the other, for as long as the program runs.
pub async fn serve(
    listener: UnixListener, settings: Vec<u8>, never: Option<&'static str>, owner: mpsc::Sender<OwnerMessage>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(100)).await;
            continue;
        };
        let mut peer = Peer::new(stream);
        let hello = match timeout(HELLO_TIME, peer.hear()).await {
            Ok(Ok(Some((Kind::Hello, hello)))) => read::<Hello>(&hello),
            _ => continue,
        };
        let no = match hello {
            Err(_) => Some("what was said cannot be read"),
            Ok(hello) if hello.format != FORMAT => Some("the state has another format"),
            Ok(hello) if hello.settings != settings => Some("the settings differ"),
            Ok(_) => never,
        };
        if let Some(why) = no {
            tracing::warn!("an upgrade is refused: {why}");
            let _ = timeout(HELLO_TIME, peer.say(Kind::Never, why.as_bytes())).await;
        } else if owner.send(OwnerMessage::HandOver(peer)).await.is_err() {
            return;
        }
    }
}
