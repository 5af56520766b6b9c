//! Signals of the platform, and settings files that change without one.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::settings::Settings;

/// How often the settings file is read again; it may change without a signal.
const REREAD_EVERY: Duration = Duration::from_secs(2);

/// SIGTERM, heard from the start of a role on: one that comes before anybody waits is not missed, and a second changes nothing.
pub struct Termination(Option<Signal>);

impl Termination {
    /// Begins to listen.
    pub fn listen() -> Termination {
        Termination(heard(SignalKind::terminate(), "SIGTERM"))
    }

    /// Waits for it.
    pub async fn come(self) {
        match self.0 {
            Some(mut signal) => {
                signal.recv().await;
            }
            None => std::future::pending().await,
        }
    }
}

/// SIGHUP, heard from the start of a role on: it would end a process that does not listen.
pub struct Hangups(Option<Signal>);

impl Hangups {
    /// Begins to listen.
    pub fn listen() -> Hangups {
        Hangups(heard(SignalKind::hangup(), "SIGHUP"))
    }

    /// Waits for the next.
    async fn next(&mut self) {
        match &mut self.0 {
            Some(signal) => {
                signal.recv().await;
            }
            None => std::future::pending().await,
        }
    }
}

fn heard(kind: SignalKind, name: &str) -> Option<Signal> {
    signal(kind).inspect_err(|error| log::error!("{name} can't be heard: {error}")).ok()
}

/// Calls `changed` with the settings after each SIGHUP and now and then; a file that can't be read changes nothing.
pub async fn reread(mut hangups: Hangups, settings: Rc<RefCell<Settings>>, changed: impl Fn(&Settings)) {
    loop {
        tokio::select! {
            () = hangups.next() => log::info!("SIGHUP: reading the settings again"),
            () = tokio::time::sleep(REREAD_EVERY) => {}
        }
        match Settings::from_environment() {
            Ok(fresh) => {
                changed(&fresh);
                *settings.borrow_mut() = fresh;
            }
            Err(error) => log::warn!("{error}; the settings stay as they are"),
        }
    }
}
