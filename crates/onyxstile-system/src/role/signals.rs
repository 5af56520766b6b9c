//! Signals of the platform, and settings files that change without one.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::settings::Settings;

/// How often the settings file is read again; it may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// The platform's signals to one process.
pub struct Signals {
    /// SIGTERM.
    pub termination: Termination,
    /// SIGHUP.
    pub hangups: Hangups,
}

impl Signals {
    /// Begins to listen. Until then either signal ends the process by the system's default, so this is the first thing that a
    /// process does: before its command line, its log and its settings are read.
    pub fn listen() -> Signals {
        Signals {
            termination: Termination(register(SignalKind::terminate(), "SIGTERM")),
            hangups: Hangups(register(SignalKind::hangup(), "SIGHUP")),
        }
    }

    /// Waits for either; for what has no orderly end.
    pub async fn wait_any(mut self) {
        tokio::select! {
            () = self.termination.received() => {}
            () = self.hangups.next() => {}
        }
    }
}

/// SIGTERM: one that comes before anybody waits is not missed, and a second changes nothing.
pub struct Termination(Option<Signal>);

impl Termination {
    /// Waits for it.
    pub async fn received(self) {
        match self.0 {
            Some(mut signal) => {
                signal.recv().await;
            }
            None => std::future::pending().await,
        }
    }
}

/// SIGHUP: some that come while nobody waits are heard as one.
pub struct Hangups(Option<Signal>);

impl Hangups {
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

fn register(kind: SignalKind, name: &str) -> Option<Signal> {
    // There is no log yet.
    signal(kind).inspect_err(|error| eprintln!("{name} can't be heard: {error}")).ok()
}

/// Calls `changed` with the settings after each SIGHUP and now and then; a file that can't be read changes nothing.
pub async fn reload_settings(
    mut hangups: Hangups, settings: Rc<RefCell<Settings>>, changed: impl Fn(&Settings),
) {
    loop {
        tokio::select! {
            () = hangups.next() => log::info!("SIGHUP: reading the settings again"),
            () = tokio::time::sleep(RELOAD_INTERVAL) => {}
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
